"""The index beside a recording: where the blocks are, by incarnation and time, so that a moment is found quickly.

The index is a convenience: a recording without one is read through.
"""

from pathlib import Path
from typing import NamedTuple

import lmdb
import msgspec

INDEX_FOLDER = "index.lmdb"
MAX_INDEX_BYTES = 64 * 2**20


class BlockPlace(NamedTuple):
    """Where a block is, and what it holds; the order of the fields is the index's."""

    segment: int
    offset: int
    size: int
    first_ms: float
    last_ms: float
    record_counts: dict[str, int]  # by kind


def open_index(folder: Path) -> lmdb.Environment:
    """Opens the index of a folder for writing.

    Raises:
        lmdb.Error: It cannot be opened.
    """
    return lmdb.open(str(folder / INDEX_FOLDER), map_size=MAX_INDEX_BYTES, sync=False, subdir=True)


def add_place(index: lmdb.Environment, epoch: str, place: BlockPlace) -> None:
    """Adds a block of an incarnation."""
    key = f"{epoch}\0{place.first_ms:020.3f}\0{place.segment:06d}\0{place.offset:012d}".encode()
    with index.begin(write=True) as transaction:
        transaction.put(key, msgspec.msgpack.encode(place))


def find_places(folder: Path, epoch: str, first_ms: float, last_ms: float) -> list[BlockPlace] | None:
    """The blocks of an incarnation that meet a time span; None without an index that can be read."""
    if not (folder / INDEX_FOLDER).exists():
        return None
    try:
        with (
            lmdb.open(str(folder / INDEX_FOLDER), readonly=True, lock=False) as index,
            index.begin() as transaction,
        ):
            return _scan(transaction, f"{epoch}\0".encode(), first_ms, last_ms)
    except lmdb.Error:
        return None


def _scan(transaction: lmdb.Transaction, prefix: bytes, first_ms: float, last_ms: float) -> list[BlockPlace] | None:
    cursor = transaction.cursor()
    if not cursor.set_range(prefix):
        return None
    places = []
    for key, value in cursor:
        if not bytes(key).startswith(prefix):
            break
        place = msgspec.msgpack.decode(value, type=BlockPlace)
        if place.first_ms <= last_ms and place.last_ms >= first_ms:
            places.append(place)
    return places
