"""The store on disk: one LMDB environment, one writer, readers that never block it.

LMDB writes copies of pages and points to them last, so that a process killed at any moment leaves the last committed
state; what it does not do is to see that a page went bad, which the checksums of `format.py` are for.
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

from quillstep.store.records import (
    PARTS,
    SCHEMA,
    CorruptValueError,
    Entry,
    VersionRow,
    migrated,
    number_key,
    numbers_of,
    pack,
    unpack,
)
from quillstep.store.retention import Stood, to_drop

META = number_key(0)
STEPS = ("begin", "put", "before commit", "after commit")


class StoreError(Exception):
    """The store can't be used; `kind` is full, read-only, newer, bad, locked or broken."""

    def __init__(self, kind: str, text: str) -> None:
        super().__init__(text)
        self.kind = kind


def nothing(step: str) -> None:
    """No crash is being tried."""


class Store:
    """One folder.  `step` is called at each write point, for harnesses that kill there."""

    def __init__(
        self, folder: str | Path, size_most: int = 2**30, fsync: bool = True, write: bool = True,
        step: Callable[[str], None] = nothing,
    ) -> None:  # fmt: skip
        """Raises StoreTrouble."""
        self.folder, self.step = Path(folder), step
        try:
            if write:
                self.folder.mkdir(parents=True, exist_ok=True)
            self.env = lmdb.open(
                str(self.folder), map_size=size_most, max_dbs=len(PARTS), sync=fsync, readonly=not write,
                create=write, max_readers=64,
            )  # fmt: skip
            self.parts = {name: self.env.open_db(name.encode(), create=write) for name in PARTS}
        except lmdb.MapFullError:
            raise StoreError("full", f"{folder}: its {size_most} bytes are full") from None
        except (lmdb.ReadonlyError, PermissionError) as trouble:
            raise StoreError("read-only", f"{folder}: {trouble}") from None
        except OSError as trouble:
            kind = "read-only" if trouble.errno in (errno.EROFS, errno.EACCES) else "broken"
            raise StoreError(kind, f"{folder}: {trouble}") from None
        except lmdb.NotFoundError:
            raise StoreError("bad", f"{folder}: a part of it is missing") from None
        except lmdb.Error as trouble:
            raise StoreError("bad", f"{folder}: {trouble}") from None
        try:
            self.check_schema(write)
        except BaseException:
            self.env.close()
            raise

    def close(self) -> None:
        self.env.close()

    def check_schema(self, write: bool) -> None:
        with self.reading("meta") as (txn, part):
            found = txn.get(META, db=part)
        try:
            schema = int(unpack("meta", META, found)) if found else 0
        except CorruptValueError as trouble:
            raise StoreError("bad", f"{self.folder}: {trouble}") from None
        if schema > SCHEMA:
            raise StoreError("newer", f"{self.folder}: schema {schema}, this version knows {SCHEMA} at most")
        if schema < SCHEMA and write:
            self.migrate(schema)

    def migrate(self, schema: int) -> None:
        """Bring all rows forward in one commit; 0: it is new."""
        entries = [Entry("meta", META, SCHEMA)]
        if schema:
            for name in PARTS:
                if name == "meta":
                    continue
                with self.reading(name) as (txn, part):
                    for key, value in txn.cursor(db=part):
                        row = msgspec.msgpack.decode(bytes(value)[8:])
                        entries.append(Entry(name, bytes(key), migrated(name, row, schema)))
        self.write(entries)

    # reading

    @contextlib.contextmanager
    def reading(self, part: str) -> Iterator[tuple[Any, Any]]:
        """A reader's view of one moment; raises StoreTrouble where pages don't read."""
        try:
            with self.env.begin() as txn:
                yield txn, self.parts[part]
        except lmdb.Error as trouble:
            raise StoreError("bad", f"{self.folder}: {trouble}") from None

    def rows(self, part: str, prefix: bytes = b"") -> list[tuple[bytes, Any]]:
        """All rows of a part, in the sequence of their keys; raises StoreTrouble."""
        found = []
        with self.reading(part) as (txn, db):
            cursor = txn.cursor(db=db)
            if cursor.set_range(prefix) if prefix else cursor.first():
                for key, value in cursor:
                    if not bytes(key).startswith(prefix):
                        break
                    try:
                        found.append((bytes(key), unpack(part, bytes(key), bytes(value))))
                    except CorruptValueError as trouble:
                        raise StoreError("bad", f"{self.folder}: {trouble}") from None
        return found

    def versions(self, table: int) -> list[VersionRow]:
        """A table's versions, oldest first."""
        return [row for _, row in self.rows("versions", number_key(table))]

    def last_number(self, part: str, prefix: bytes) -> int:
        """The last of the numbers that keys of this prefix end with; 0: there is none."""
        with self.reading(part) as (txn, db):
            cursor = txn.cursor(db=db)
            above = number_key(*numbers_of(prefix)[:-1], numbers_of(prefix)[-1] + 1) if prefix else b"\xff" * 8
            found = cursor.prev() if cursor.set_range(above) else cursor.last()
            key = bytes(cursor.key()) if found else b""
        return numbers_of(key)[-1] if key and key.startswith(prefix) else 0

    # writing

    def write(self, entries: list[Entry]) -> None:
        """All of them or none, durable when this returns (where `fsync` holds); raises StoreTrouble."""
        try:
            self.step("begin")
            with self.env.begin(write=True) as txn:
                for part, key, row in entries:
                    if row is None:
                        txn.delete(key, db=self.parts[part])
                    else:
                        txn.put(key, pack(key, row), db=self.parts[part])
                    self.step("put")
                self.step("before commit")
            self.step("after commit")
        except lmdb.MapFullError:
            raise StoreError("full", f"{self.folder}: no room for {len(entries)} more rows") from None
        except lmdb.ReadonlyError as trouble:
            raise StoreError("read-only", f"{self.folder}: {trouble}") from None
        except lmdb.DiskError as trouble:
            raise StoreError("full", f"{self.folder}: {trouble}") from None
        except lmdb.Error as trouble:
            raise StoreError("broken", f"{self.folder}: {trouble}") from None

    def retain(self, now_ms: float, count_most: int, age_most_ms: float, journal_most: int) -> int:
        """Drop what is kept no longer; how many rows that were."""
        pinned: dict[int, set[str]] = {}
        for _, pin in self.rows("pins"):
            pinned.setdefault(pin.table, set()).add(pin.name)
        by_table: dict[int, list[Stood]] = {}
        for key, row in self.rows("versions"):
            by_table.setdefault(row.table, []).append(Stood(numbers_of(key)[1], row.name, row.wall_ms))
        entries = [
            Entry("versions", number_key(table, number), None)
            for table, rows in by_table.items()
            for number in to_drop(rows, pinned.get(table, set()), now_ms, count_most, age_most_ms)
        ]
        journal = [key for key, _ in self.rows("journal")]
        entries += [Entry("journal", key, None) for key in journal[: max(0, len(journal) - journal_most)]]
        if entries:
            self.write(entries)
        return len(entries)

    # an operator's tools

    def check(self) -> dict[str, Any]:
        """Read all of it: rows a part, and what does not read."""
        found: dict[str, Any] = {"rows": {}, "bad": []}
        for part in PARTS:
            count = 0
            with self.reading(part) as (txn, db):
                for key, value in txn.cursor(db=db):
                    count += 1
                    try:
                        unpack(part, bytes(key), bytes(value))
                    except CorruptValueError as trouble:
                        found["bad"].append(str(trouble))
            found["rows"][part] = count
        info = self.env.info()
        found["bytes_used"] = info["last_pgno"] * self.env.stat()["psize"]
        found["bytes_most"] = info["map_size"]
        return found

    def compact(self, to: Path) -> None:
        """A copy without free pages, which then takes this one's place; nobody may have it open."""
        to.mkdir(parents=True)
        self.env.copy(str(to), compact=True)

    def exported(self) -> Iterator[dict[str, Any]]:
        """All rows as plain values, a line each."""
        for part in PARTS:
            for key, row in self.rows(part):
                yield {"part": part, "key": key.hex(), "row": msgspec.to_builtins(row)}

    def take_in(self, lines: Iterator[dict[str, Any]]) -> int:
        """Rows as `exported` gave them; in one commit.  Raises ValueError where one does not read."""
        entries = []
        for line in lines:
            try:
                kind = PARTS[line["part"]]
                entries.append(Entry(line["part"], bytes.fromhex(line["key"]), msgspec.convert(line["row"], kind)))
            except (KeyError, TypeError, ValueError, msgspec.ValidationError) as trouble:
                raise ValueError(f"row {len(entries) + 1}: {trouble}") from None
        self.write(entries)
        return len(entries)


def set_aside(folder: Path) -> Path:
    """Move a store that can't be used out of the way; where it is now."""
    aside = folder.with_name(f"{folder.name}.aside-{time.time_ns()}")
    os.replace(folder, aside)
    return aside
