"""Reads recordings: their incarnations and records, and where one is truncated; cuts a span out."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from quillstep.config.controller import ControllerSettings
from quillstep.config.loading import check_older
from quillstep.recording.format import (
    BLOCK_MAGIC,
    SEGMENT_HEAD,
    CorruptBlockError,
    Header,
    Record,
    decode_block,
    decode_header,
    encode_block,
    encode_header,
    iterate_blocks,
    kind_of,
    taken_ms_of,
)
from quillstep.recording.index import find_places

CUT_BLOCK_RECORDS = 512


@dataclass(slots=True)
class Incarnation:
    """The recording of one incarnation of a controller.

    Attributes:
        header: The first segment's header.
        segments: Its files, in sequence.
        records: Number of records.
        first_ms: When the first record was taken.
        last_ms: When the last one was.
        size_bytes: Of all segments.
        record_counts: Records by kind.
        truncation: What was cut off at the end, and where; empty if nothing was.
    """

    header: Header
    segments: list[Path] = field(default_factory=list)
    records: int = 0
    first_ms: float = 0.0
    last_ms: float = 0.0
    size_bytes: int = 0
    record_counts: Counter[str] = field(default_factory=Counter)
    truncation: str = ""

    def count(self, record: Record) -> None:
        """Counts one more record."""
        taken_ms = taken_ms_of(record)
        self.records += 1
        self.record_counts[kind_of(record)] += 1
        self.first_ms = self.first_ms or taken_ms
        self.last_ms = max(self.last_ms, taken_ms)


def read_incarnations(folder: Path) -> list[Incarnation]:
    """All incarnations in a folder by their first time, each read through and counted.

    Raises:
        CorruptBlockError: A header is bad, or a recording is damaged before its end.
    """
    incarnations: dict[str, Incarnation] = {}
    for path in sorted(folder.glob("*.qcap")):
        header = read_header(path)
        incarnation = incarnations.setdefault(header.epoch, Incarnation(header))
        incarnation.segments.append(path)
        incarnation.size_bytes += path.stat().st_size
    for incarnation in incarnations.values():
        for record in read_records(incarnation):
            incarnation.count(record)
    return sorted(incarnations.values(), key=lambda incarnation: incarnation.first_ms)


def read_header(path: Path) -> Header:
    """A segment's header, without reading the rest of the file.

    Raises:
        CorruptBlockError: The file does not begin with a header.
    """
    with path.open("rb") as file:
        head = file.read(SEGMENT_HEAD.size)
        size = SEGMENT_HEAD.unpack(head)[2] if len(head) == SEGMENT_HEAD.size else 0
        return decode_header(head + file.read(size))[0]


def read_records(incarnation: Incarnation) -> Iterator[Record]:
    """An incarnation's records in sequence.

    A truncated end is cut at the last complete block, and noted in `incarnation.truncation`.

    Raises:
        CorruptBlockError: A segment is missing, or a block is damaged that has complete ones after it: what follows
            would depend on what is not there.
    """
    last = len(incarnation.segments) - 1
    for number, path in enumerate(incarnation.segments):
        data = path.read_bytes()
        header, offset = decode_header(data)
        if header.segment != number:
            raise CorruptBlockError(0, f"{path.name} is segment {header.segment}, {number} is missing")
        try:
            for block in iterate_blocks(data, offset):
                yield from decode_block(block, header.version)
        except CorruptBlockError as error:
            if number != last or _has_complete_block_after(data, error.offset):
                text = f"{path.name}: {error}, and there is more behind it"
                raise CorruptBlockError(error.offset, text) from error
            incarnation.truncation = f"{path.name}: {error}; {len(data) - error.offset} bytes cut off"


def _has_complete_block_after(data: bytes, offset: int) -> bool:
    """Whether any complete block follows a bad one."""
    offset = data.find(BLOCK_MAGIC, offset + 1)
    while offset >= 0:
        try:
            next(iterate_blocks(data, offset))
            return True
        except (CorruptBlockError, StopIteration):
            offset = data.find(BLOCK_MAGIC, offset + 1)
    return False


def read_span(incarnation: Incarnation, folder: Path, first_ms: float, last_ms: float) -> Iterator[Record]:
    """The records taken within a time span; by the index where it knows the blocks, else by reading through.

    Raises:
        CorruptBlockError: The recording is damaged.
    """
    for record in _read_near(incarnation, folder, first_ms, last_ms):
        if first_ms <= taken_ms_of(record) <= last_ms:
            yield record


def _read_near(incarnation: Incarnation, folder: Path, first_ms: float, last_ms: float) -> Iterator[Record]:
    """The records of all blocks that meet a time span, or all records."""
    places = find_places(folder, incarnation.header.epoch, first_ms, last_ms)
    if places is None:
        yield from read_records(incarnation)
        return
    for place in places:
        with incarnation.segments[place.segment].open("rb") as file:
            file.seek(place.offset)
            data = file.read(place.size)
        for block in iterate_blocks(data, 0):
            yield from decode_block(block, incarnation.header.version)


def recorded_settings(header: Header) -> ControllerSettings:
    """The settings that an incarnation ran with.

    Raises:
        ConfigError: They do not check.
    """
    return check_older(ControllerSettings, _settings_values(header))


def _settings_values(header: Header) -> dict[str, Any]:
    """The settings as plain values.  Before version 3 all load reports came with the other events."""
    return header.settings if "reports" in header.settings else {**header.settings, "reports": {"by": "inbox"}}


def cut_span(incarnation: Incarnation, first_ms: float, last_ms: float, out: Path) -> int:
    """Writes the records of a time span as a recording of its own, and returns their number.

    It replays from its beginning only if that is the incarnation's own: what came before is not in it.
    """
    out.mkdir(parents=True, exist_ok=True)
    records = [record for record in read_records(incarnation) if first_ms <= taken_ms_of(record) <= last_ms]
    whole = incarnation.header
    header = Header(whole.controller, whole.epoch, 0, _settings_values(whole), whole.wall_offset_ms)
    with (out / f"{header.epoch}-0000.qcap").open("wb") as file:
        file.write(encode_header(header))
        for begin in range(0, len(records), CUT_BLOCK_RECORDS):
            file.write(encode_block(records[begin : begin + CUT_BLOCK_RECORDS]))
    return len(records)
