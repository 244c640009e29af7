"""The store on disk: one LMDB environment with one writer, and readers that never block it.

LMDB writes copies of pages and updates the pointers to them last, so a process killed at any time leaves the last
committed state.  LMDB does not detect damaged pages; the checksums of `records.py` do.
"""

import contextlib
import errno
import os
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import lmdb
import msgspec

from quillstep.store.errors import (
    CorruptValueError,
    InvalidExportError,
    StoreCorruptError,
    StoreDiskError,
    StoreError,
    StoreFullError,
    StoreReadOnlyError,
    StoreSchemaTooNewError,
)
from quillstep.store.records import (
    CHECKSUM_BYTES,
    JOURNAL,
    META,
    PARTS,
    PINS,
    SCHEMA,
    VERSIONS,
    Entry,
    VersionRow,
    migrate_row,
    number_key,
    numbers_of,
    pack,
    unpack,
)
from quillstep.store.retention import StoredVersion, numbers_to_drop

SCHEMA_KEY = number_key(0)
MAX_READERS = 64
MOMENTARY_ERRORS = (
    errno.EIO,
    errno.ENOSPC,
    errno.EDQUOT,
    errno.ENOMEM,
    errno.EAGAIN,
    errno.EMFILE,
    errno.ENFILE,
)
DEFAULT_MAX_SIZE_BYTES = 2**30


def ignore_step(step: str) -> None:
    """Ignores a write point."""


class Store:
    """The store in one folder.

    `on_step` is called at each write point, so that a test can kill the process there.

    Raises:
        StoreError: The store cannot be opened; the subclass gives the cause.
    """

    def __init__(
        self,
        folder: str | Path,
        max_size_bytes: int = DEFAULT_MAX_SIZE_BYTES,
        fsync: bool = True,
        write: bool = True,
        on_step: Callable[[str], None] = ignore_step,
    ) -> None:
        self.folder, self.on_step = Path(folder), on_step
        self.max_size_bytes, self.fsync = max_size_bytes, fsync
        self._open(write)

    def _open(self, write: bool) -> None:
        with self._errors_at_opening(self.max_size_bytes):
            if write:
                self.folder.mkdir(parents=True, exist_ok=True)
            self.env = lmdb.open(
                str(self.folder),
                map_size=self.max_size_bytes,
                max_dbs=len(PARTS),
                sync=self.fsync,
                readonly=not write,
                create=write,
                max_readers=MAX_READERS,
            )
            self.parts = {name: self.env.open_db(name.encode(), create=write) for name in PARTS}
        try:
            self._check_schema(write)
        except BaseException:
            self.env.close()
            raise

    def close(self) -> None:
        """Closes the environment."""
        self.env.close()

    def reopen(self) -> None:
        """Opens the environment anew after a write has failed: what the failed sync has lost is not taken as stored.

        Raises:
            StoreError: The store cannot be opened; the subclass gives the cause.
        """
        self.env.close()
        self._open(write=True)

    @contextlib.contextmanager
    def _errors_at_opening(self, max_size_bytes: int) -> Iterator[None]:
        """Converts errors raised while the store is opened to a StoreError."""
        try:
            yield
        except lmdb.MapFullError as error:
            raise StoreFullError(f"{self.folder}: size limit of {max_size_bytes} bytes reached") from error
        except (lmdb.ReadonlyError, PermissionError) as error:
            raise StoreReadOnlyError(f"{self.folder}: {error}") from error
        except OSError as error:
            raise _opening_error(error)(f"{self.folder}: {error}") from error
        except lmdb.NotFoundError as error:
            raise StoreCorruptError(f"{self.folder}: a database of the store is missing") from error
        except lmdb.Error as error:
            raise _lmdb_error(error)(f"{self.folder}: {error}") from error

    def _check_schema(self, write: bool) -> None:
        """Migrates a store of an older schema if it is opened for writing."""
        with self.reading(META) as (txn, part):
            value = txn.get(SCHEMA_KEY, db=part)
        try:
            schema = int(unpack(META, SCHEMA_KEY, value)) if value else 0
        except CorruptValueError as error:
            raise StoreCorruptError(f"{self.folder}: {error}") from error
        if schema > SCHEMA:
            raise StoreSchemaTooNewError(f"{self.folder}: expected schema {SCHEMA} or older, got {schema}")
        if schema < SCHEMA and write:
            self._migrate(schema)

    def _migrate(self, schema: int) -> None:
        """Rewrites all rows in the current schema, in one commit; a new store has schema 0."""
        entries = [Entry(META, SCHEMA_KEY, SCHEMA)]
        for name in PARTS if schema else ():
            if name == META:
                continue
            with self.reading(name) as (txn, part):
                for key, value in txn.cursor(db=part):
                    row = msgspec.msgpack.decode(bytes(value)[CHECKSUM_BYTES:])
                    entries.append(Entry(name, bytes(key), migrate_row(name, row, schema)))
        self.write(entries)

    # reads

    @contextlib.contextmanager
    def reading(self, part: str) -> Iterator[tuple[Any, Any]]:
        """Returns a context manager that yields a read transaction on a snapshot, and the database of a part.

        Raises:
            StoreError: Pages are corrupt, or the disk cannot be read now.
        """
        try:
            with self.env.begin() as txn:
                yield txn, self.parts[part]
        except lmdb.Error as error:
            raise _lmdb_error(error)(f"{self.folder}: {error}") from error

    def rows(self, part: str, prefix: bytes = b"") -> list[tuple[bytes, Any]]:
        """Returns the keys and rows of a part, sorted by key.

        Raises:
            StoreCorruptError: A page or a value is corrupt.
        """
        rows = []
        with self.reading(part) as (txn, db):
            cursor = txn.cursor(db=db)
            if cursor.set_range(prefix) if prefix else cursor.first():
                for key, value in cursor:
                    if not bytes(key).startswith(prefix):
                        break
                    try:
                        rows.append((bytes(key), unpack(part, bytes(key), bytes(value))))
                    except CorruptValueError as error:
                        raise StoreCorruptError(f"{self.folder}: {error}") from error
        return rows

    def versions(self, table: int) -> list[VersionRow]:
        """Returns a table's versions, oldest first."""
        return [row for _, row in self.rows(VERSIONS, number_key(table))]

    def last_number(self, part: str, prefix: bytes) -> int:
        """Returns the last number in the highest key with this prefix; 0 if no key has the prefix."""
        with self.reading(part) as (txn, db):
            cursor = txn.cursor(db=db)
            above = number_key(*numbers_of(prefix)[:-1], numbers_of(prefix)[-1] + 1) if prefix else b"\xff" * 8
            has_key = cursor.prev() if cursor.set_range(above) else cursor.last()
            key = bytes(cursor.key()) if has_key else b""
        return numbers_of(key)[-1] if key and key.startswith(prefix) else 0

    # writes

    def write(self, entries: list[Entry]) -> None:
        """Writes all entries or none; they are durable when this returns, unless `fsync` is off.

        Raises:
            StoreError: The entries could not be written; the subclass gives the cause.
        """
        try:
            self.on_step("begin")
            with self.env.begin(write=True) as txn:
                for part, key, row in entries:
                    if row is None:
                        txn.delete(key, db=self.parts[part])
                    else:
                        txn.put(key, pack(key, row), db=self.parts[part])
                    self.on_step("put")
                self.on_step("before commit")
            self.on_step("after commit")
        except lmdb.MapFullError as error:
            raise StoreFullError(f"{self.folder}: no room for {len(entries)} more rows") from error
        except lmdb.ReadonlyError as error:
            raise StoreReadOnlyError(f"{self.folder}: {error}") from error
        except lmdb.Error as error:
            raise _lmdb_error(error)(f"{self.folder}: {error}") from error

    def apply_retention(self, now_ms: float, max_versions: int, max_age_ms: float, max_journal_rows: int) -> int:
        """Removes the rows that exceed the retention limits; returns how many."""
        entries = self._versions_to_drop(now_ms, max_versions, max_age_ms)
        journal = [key for key, _ in self.rows(JOURNAL)]
        entries += [Entry(JOURNAL, key, None) for key in journal[: max(0, len(journal) - max_journal_rows)]]
        if entries:
            self.write(entries)
        return len(entries)

    def _versions_to_drop(self, now_ms: float, max_versions: int, max_age_ms: float) -> list[Entry]:
        """Returns entries that remove each table's versions beyond the retention limits."""
        pinned: dict[int, set[str]] = {}
        for _, pin in self.rows(PINS):
            pinned.setdefault(pin.table, set()).add(pin.name)
        by_table: dict[int, list[StoredVersion]] = {}
        for key, row in self.rows(VERSIONS):
            by_table.setdefault(row.table, []).append(StoredVersion(numbers_of(key)[1], row.name, row.wall_ms))
        return [
            Entry(VERSIONS, number_key(table, number), None)
            for table, versions in by_table.items()
            for number in numbers_to_drop(versions, pinned.get(table, set()), now_ms, max_versions, max_age_ms)
        ]

    # operators' commands

    def check(self) -> dict[str, Any]:
        """Reads the complete store; returns the rows of each part, the corrupt values, the bytes used and the limit."""
        result: dict[str, Any] = {"rows": {}, "bad": []}
        for part in PARTS:
            count = 0
            with self.reading(part) as (txn, db):
                for key, value in txn.cursor(db=db):
                    count += 1
                    try:
                        unpack(part, bytes(key), bytes(value))
                    except CorruptValueError as error:
                        result["bad"].append(str(error))
            result["rows"][part] = count
        info = self.env.info()
        result["bytes_used"] = info["last_pgno"] * self.env.stat()["psize"]
        result["bytes_most"] = info["map_size"]
        return result

    def compact(self, to: Path) -> None:
        """Copies the store without its free pages to a new folder."""
        to.mkdir(parents=True)
        self.env.copy(str(to), compact=True)

    def export_rows(self) -> Iterator[dict[str, Any]]:
        """Yields all rows, each as a dict of plain values."""
        for part in PARTS:
            for key, row in self.rows(part):
                yield {"part": part, "key": key.hex(), "row": msgspec.to_builtins(row)}

    def import_rows(self, exported: Iterator[dict[str, Any]]) -> int:
        """Writes rows in the form yielded by `export_rows`, in one commit; returns how many.

        Raises:
            InvalidExportError: A row is invalid; nothing was written.
        """
        entries = []
        for line in exported:
            try:
                entries.append(_imported_entry(line["part"], bytes.fromhex(line["key"]), line["row"]))
            except (KeyError, TypeError, ValueError, OverflowError, CorruptValueError) as error:
                raise InvalidExportError(f"row {len(entries) + 1}: {error}") from error
        self.write(entries)
        return len(entries)


def _imported_entry(part: str, key: bytes, row: Any) -> Entry:
    """Returns the entry of an exported row, after it was encoded and decoded as it will be in the store."""
    return Entry(part, key, unpack(part, key, pack(key, msgspec.convert(row, PARTS[part]))))


def _opening_error(error: OSError) -> type[StoreError]:
    if error.errno in (errno.EROFS, errno.EACCES):
        return StoreReadOnlyError
    return StoreDiskError if error.errno in MOMENTARY_ERRORS else StoreError


def _lmdb_error(error: lmdb.Error) -> type[StoreError]:
    """Returns the type of an error; one of the disk must not pass for corruption, which sets the store aside."""
    is_of_disk = isinstance(error, lmdb.DiskError | lmdb.PanicError) or _is_io_error(error)
    return StoreDiskError if is_of_disk else StoreCorruptError


def _is_io_error(error: lmdb.Error) -> bool:
    """Whether LMDB passed on an error of the system; the library has no type of its own for it."""
    return any(os.strerror(number) in str(error) for number in MOMENTARY_ERRORS)


def rename_corrupt_store(folder: Path) -> Path:
    """Renames the folder of a corrupt store, to free its path for a new one; returns the new path."""
    path = folder.with_name(f"{folder.name}.aside-{time.time_ns()}")
    folder.replace(path)
    return path
