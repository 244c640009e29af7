"""Reads captures: lives, their records, what is torn; cuts a piece out."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import lmdb
import msgspec

from quillstep.config.controller import ControllerSettings
from quillstep.config.loading import check_older
from quillstep.recording.format import (
    HEAD,
    MARK,
    CorruptBlockError,
    Header,
    Record,
    blocks,
    decode_block,
    decode_header,
    encode_block,
    encode_header,
)
from quillstep.recording.writer import INDEX


@dataclass(slots=True)
class Incarnation:
    """One life of one pilot: its segments in sequence, what they hold, where they are torn."""

    header: Header
    segments: list[Path] = field(default_factory=list)
    records: int = 0
    first_ms: float = 0.0
    last_ms: float = 0.0
    bytes: int = 0
    kinds: Counter = field(default_factory=Counter)
    torn: str = ""  # what was cut off at the end, and where


def lives(folder: Path) -> list[Incarnation]:
    """All lives in a folder, by their first time, read through and counted.  Raises BadBlock for a bad header."""
    found: dict[str, Incarnation] = {}
    for path in sorted(folder.glob("*.qcap")):
        header = header_of(path)
        life = found.setdefault(header.epoch, Incarnation(header))
        life.segments.append(path)
        life.bytes += path.stat().st_size
    for life in found.values():
        for record in read_life(life):
            life.records += 1
            life.kinds[record[0]] += 1
            life.first_ms = life.first_ms or record[2]
            life.last_ms = max(life.last_ms, record[2])
    return sorted(found.values(), key=lambda life: life.first_ms)


def header_of(path: Path) -> Header:
    """A segment's header, without reading the rest of it.  Raises BadBlock."""
    with path.open("rb") as file:
        head = file.read(HEAD.size)
        size = HEAD.unpack(head)[2] if len(head) == HEAD.size else 0
        return decode_header(head + file.read(size))[0]


def read_life(life: Incarnation) -> Iterator[Record]:
    """Its records in sequence.  A torn tail is cut at the last whole block, and said in `torn`.

    A break that is not the tail (a block damaged before whole ones, a segment that is missing) is a BadBlock: what
    comes after it would follow from what is not there.
    """
    last = len(life.segments) - 1
    for place, path in enumerate(life.segments):
        data = path.read_bytes()
        header, at = decode_header(data)
        if header.segment != place:
            raise CorruptBlockError(0, f"{path.name} is segment {header.segment}, {place} is missing")
        try:
            for block in blocks(data, at):
                yield from decode_block(block, header.version)
                at = block.at + block.size
        except CorruptBlockError as trouble:
            if place != last or whole_after(data, trouble.at):
                raise CorruptBlockError(trouble.at, f"{path.name}: {trouble}, and there is more behind it") from None
            life.torn = f"{path.name}: {trouble}; {len(data) - trouble.at} bytes cut off"


def whole_after(data: bytes, at: int) -> bool:
    """Whether any whole block follows a bad one."""
    at = data.find(MARK, at + 1)
    while at >= 0:
        try:
            next(blocks(data, at))
            return True
        except (CorruptBlockError, StopIteration):
            at = data.find(MARK, at + 1)
    return False


def between(life: Incarnation, folder: Path, first_ms: float, last_ms: float) -> Iterator[Record]:
    """The records of a span; by the index where it knows the blocks, else by reading through."""
    places = indexed(folder, life.header.epoch, first_ms, last_ms)
    if places is None:
        for record in read_life(life):
            if first_ms <= record[2] <= last_ms:
                yield record
        return
    for segment, at, size in places:
        with life.segments[segment].open("rb") as file:
            file.seek(at)
            data = file.read(size)
        for block in blocks(data, 0):
            for record in decode_block(block, life.header.version):
                if first_ms <= record[2] <= last_ms:
                    yield record


def indexed(folder: Path, epoch: str, first_ms: float, last_ms: float) -> list[tuple[int, int, int]] | None:
    """The blocks that meet a span: segment, offset, size; None without an index that reads."""
    if not (folder / INDEX).exists():
        return None
    try:
        with lmdb.open(str(folder / INDEX), readonly=True, lock=False) as index, index.begin() as read:
            found = []
            cursor = read.cursor()
            prefix = f"{epoch}\0".encode()
            if not cursor.set_range(prefix):
                return None
            for key, value in cursor:
                if not bytes(key).startswith(prefix):
                    break
                segment, at, size, first, last, _ = msgspec.msgpack.decode(value)
                if first <= last_ms and last >= first_ms:
                    found.append((segment, at, size))
            return found
    except lmdb.Error:
        return None


def settings_of(header: Header) -> dict[str, Any]:
    """The settings of a life, as plain values.  Before version 3 all load reports came with the news."""
    return header.settings if "reports" in header.settings else {**header.settings, "reports": {"by": "inbox"}}


def record_of(header: Header) -> ControllerSettings:
    return check_older(ControllerSettings, settings_of(header))


def cut(life: Incarnation, first_ms: float, last_ms: float, out: Path) -> int:
    """A piece of a life as a capture of its own; returns its records.  It replays from its beginning only if that is
    the life's own beginning: what came before is not in it."""
    out.mkdir(parents=True, exist_ok=True)
    kept = [record for record in read_life(life) if first_ms <= record[2] <= last_ms]
    header = Header(
        life.header.pilot,
        life.header.epoch,
        0,
        settings_of(life.header),
        life.header.wall_offset_ms,
    )
    path = out / f"{life.header.epoch}-0000.qcap"
    with path.open("wb") as file:
        file.write(encode_header(header))
        for at in range(0, len(kept), 512):
            file.write(encode_block(kept[at : at + 512]))
    return len(kept)
