"""The index of a recording: the locations of its blocks, by incarnation and time.

It speeds up the search for a time span; a recording without an index is read from its beginning.
"""

from pathlib import Path
from typing import NamedTuple

import lmdb
import msgspec

INDEX_FOLDER = "index.lmdb"
MAX_INDEX_BYTES = 64 * 2**20


class IndexEntry(NamedTuple):
    """Location, time span and contents of a block; stored as an array in the order of its fields."""

    segment: int
    offset: int
    size: int
    first_ms: float
    last_ms: float
    record_counts: dict[str, int]  # records by kind


def open_index(folder: Path) -> lmdb.Environment:
    """Opens the index in a folder for writing.

    Raises:
        lmdb.Error: The index cannot be opened.
    """
    return lmdb.open(str(folder / INDEX_FOLDER), map_size=MAX_INDEX_BYTES, sync=False, subdir=True)


def add_entry(index: lmdb.Environment, epoch: str, entry: IndexEntry) -> None:
    """Adds the entry of a block of an incarnation."""
    key = f"{epoch}\0{entry.first_ms:020.3f}\0{entry.segment:06d}\0{entry.offset:012d}".encode()
    with index.begin(write=True) as transaction:
        transaction.put(key, msgspec.msgpack.encode(entry))


def find_entries(folder: Path, epoch: str, first_ms: float, last_ms: float) -> list[IndexEntry] | None:
    """Returns the entries of an incarnation's blocks that overlap a time span; None without a readable index."""
    if not (folder / INDEX_FOLDER).exists():
        return None
    try:
        with (
            lmdb.open(str(folder / INDEX_FOLDER), readonly=True, lock=False) as index,
            index.begin() as transaction,
        ):
            return _scan(transaction, f"{epoch}\0".encode(), first_ms, last_ms)
    except (lmdb.Error, msgspec.DecodeError, RecursionError):
        return None


def _scan(transaction: lmdb.Transaction, prefix: bytes, first_ms: float, last_ms: float) -> list[IndexEntry] | None:
    cursor = transaction.cursor()
    if not cursor.set_range(prefix):
        return None
    entries = []
    for key, value in cursor:
        if not bytes(key).startswith(prefix):
            break
        entry = msgspec.msgpack.decode(value, type=IndexEntry)
        if entry.first_ms <= last_ms and entry.last_ms >= first_ms:
            entries.append(entry)
    return entries
