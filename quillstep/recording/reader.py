"""Reads recordings: their incarnations and records, and a truncated end; copies time spans out of them."""

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
    handled_ms_of,
    iterate_blocks,
    kind_of,
)
from quillstep.recording.index import find_entries

CUT_BLOCK_RECORDS = 512


@dataclass(slots=True)
class Incarnation:
    """The recording of one incarnation of a controller.

    Attributes:
        header: Header of the first segment.
        segments: Files of the segments, in sequence.
        records: Number of records.
        first_ms: Time at which the first record was handled.
        last_ms: Time at which the last record was handled.
        size_bytes: Total size of the segments.
        record_counts: Number of records by kind.
        truncation: Where and why the end was cut off; empty if the recording is complete.
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
        """Adds a record to the counts and times."""
        handled_ms = handled_ms_of(record)
        self.records += 1
        self.record_counts[kind_of(record)] += 1
        self.first_ms = self.first_ms or handled_ms
        self.last_ms = max(self.last_ms, handled_ms)


def read_incarnations(folder: Path) -> list[Incarnation]:
    """Reads all incarnations in a folder, sorted by the time of their first record.

    Raises:
        CorruptBlockError: A header is invalid, or a recording is corrupt before its end.
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
    """Reads only the header of a segment.

    Raises:
        CorruptBlockError: The file does not begin with a valid header.
    """
    with path.open("rb") as file:
        head = file.read(SEGMENT_HEAD.size)
        size = SEGMENT_HEAD.unpack(head)[2] if len(head) == SEGMENT_HEAD.size else 0
        return decode_header(head + file.read(size))[0]


def read_records(incarnation: Incarnation) -> Iterator[Record]:
    """Yields an incarnation's records in sequence.

    A truncated end is cut off after the last complete block, and described in `incarnation.truncation`.

    Raises:
        CorruptBlockError: A segment is missing, or a corrupt block is followed by complete ones, which depend on the
            records that are missing.
    """
    last = len(incarnation.segments) - 1
    for number, path in enumerate(incarnation.segments):
        data = path.read_bytes()
        header, offset = decode_header(data)
        if header.segment != number:
            raise CorruptBlockError(0, f"{path.name} is segment {header.segment}, segment {number} is missing")
        try:
            for block in iterate_blocks(data, offset):
                yield from decode_block(block, header.version)
        except CorruptBlockError as error:
            if number != last or _has_complete_block_after(data, error.offset):
                text = f"{path.name}: {error}, followed by further blocks or segments"
                raise CorruptBlockError(error.offset, text) from error
            incarnation.truncation = f"{path.name}: {error}; {len(data) - error.offset} bytes cut off"


def _has_complete_block_after(data: bytes, offset: int) -> bool:
    """Whether any complete block follows the corrupt one at `offset`."""
    offset = data.find(BLOCK_MAGIC, offset + 1)
    while offset >= 0:
        try:
            next(iterate_blocks(data, offset))
            return True
        except (CorruptBlockError, StopIteration):
            offset = data.find(BLOCK_MAGIC, offset + 1)
    return False


def read_span(incarnation: Incarnation, folder: Path, first_ms: float, last_ms: float) -> Iterator[Record]:
    """Yields the records handled within a time span; without an index of the blocks, all records are read.

    Raises:
        CorruptBlockError: The recording is corrupt.
    """
    for record in _read_overlapping_blocks(incarnation, folder, first_ms, last_ms):
        if first_ms <= handled_ms_of(record) <= last_ms:
            yield record


def _read_overlapping_blocks(
    incarnation: Incarnation, folder: Path, first_ms: float, last_ms: float
) -> Iterator[Record]:
    """Yields the records of all blocks that overlap a time span; all records without an index."""
    entries = find_entries(folder, incarnation.header.epoch, first_ms, last_ms)
    if entries is None:
        yield from read_records(incarnation)
        return
    for entry in entries:
        with incarnation.segments[entry.segment].open("rb") as file:
            file.seek(entry.offset)
            data = file.read(entry.size)
        for block in iterate_blocks(data, 0):
            yield from decode_block(block, incarnation.header.version)


def recorded_settings(header: Header) -> ControllerSettings:
    """Returns the settings that an incarnation ran with.

    Raises:
        pydantic.ValidationError: The settings are invalid.
    """
    return check_older(ControllerSettings, _settings_values(header))


def _settings_values(header: Header) -> dict[str, Any]:
    """Returns the settings as plain values; before version 3, load reports were recorded like other requests."""
    return header.settings if "reports" in header.settings else {**header.settings, "reports": {"by": "inbox"}}


def cut_span(incarnation: Incarnation, first_ms: float, last_ms: float, out: Path) -> int:
    """Copies the records of a time span into a new recording, and returns their number.

    It can be replayed only if the span starts at the incarnation's beginning, as it lacks all earlier events.
    """
    out.mkdir(parents=True, exist_ok=True)
    records = [record for record in read_records(incarnation) if first_ms <= handled_ms_of(record) <= last_ms]
    source = incarnation.header
    header = Header(source.controller, source.epoch, 0, _settings_values(source), source.wall_offset_ms)
    with (out / f"{header.epoch}-0000.qcap").open("wb") as file:
        file.write(encode_header(header))
        for begin in range(0, len(records), CUT_BLOCK_RECORDS):
            file.write(encode_block(records[begin : begin + CUT_BLOCK_RECORDS]))
    return len(records)
