"""The format of recordings, without I/O: segments of checksummed, compressed blocks of records.

    segment  = SEGMENT_MAGIC  version:u16  size:u32  header (MessagePack)  block*
    block    = BLOCK_MAGIC  size:u32  count:u32  first_ms:f64  last_ms:f64  xxh3:u64  payload
    payload  = zstd of a MessagePack array of records

A record is an array `[kind, arrived_ms, handled_ms, ...]`; times are milliseconds of the controller's clock.
`arrived_ms`: when the event reached the process; `handled_ms`: when the deciding thread handled it.  Kinds and the
fields that follow the times:

    open     peer, stream, method            request  peer, stream, method, bytes (the message as received)
    end      peer, stream, reason            roster   kind, entries, addresses (an endpoint list)
    probe    endpoint, healthy, took, load   files    kind, directory, payload, age_ms
    step     peers with a full send buffer   orders   interval, the planner's output in sequence, revision
    sent     what, fields                    (an event of the socket record; informational, not replayed)
    reports  reader, summary of a window of load reports

Version 1 had no `arrived_ms`; it is read as `handled_ms`.  Up to version 2 all load reports are requests.
"""

import math
import struct
from collections.abc import Iterator
from typing import Any, NamedTuple, TypeAlias

import msgspec
import xxhash
import zstandard

from quillstep.errors import QuillstepError

VERSION = 3
SEGMENT_MAGIC, BLOCK_MAGIC = b"QCAP", b"QBLK"
SEGMENT_HEAD = struct.Struct("<4sHI")
BLOCK_HEAD = struct.Struct("<4sIIddQ")
MAX_BLOCK_BYTES = 64 * 2**20
MAX_PAYLOAD_BYTES = 256 * 2**20
COMPRESSION_LEVEL = 3
HEAD_FIELDS = 3  # fields that all records begin with: the kind and two times

Record: TypeAlias = list[Any]  # the stored form; `controller/event_codec.py` converts it to typed events

_encode = msgspec.msgpack.Encoder().encode


class CorruptBlockError(QuillstepError):
    """A block or header is truncated, malformed or does not match its checksum.

    Attributes:
        offset: Offset of the block or header in the segment, in bytes.
    """

    def __init__(self, offset: int, text: str) -> None:
        super().__init__(f"at byte {offset}: {text}")
        self.offset = offset


class Header(msgspec.Struct):
    """The header at the beginning of a segment.

    Attributes:
        controller: Name of the controller.
        epoch: Name of the incarnation.
        segment: Number of the segment in the recording of that incarnation, from 0.
        settings: Settings of the controller, as plain values.
        wall_offset_ms: Wall-clock time minus the recording's clock, in milliseconds.
        version: Version of the format.
    """

    controller: str = msgspec.field(name="pilot")
    epoch: str
    segment: int
    settings: dict[str, Any]
    wall_offset_ms: float
    version: int = VERSION


class Block(NamedTuple):
    """A block whose payload is not decoded yet; `offset` and `size` are bytes, `size` includes the block's header."""

    offset: int
    size: int
    record_count: int
    first_ms: float
    last_ms: float
    payload: bytes


def kind_of(record: Record) -> str:
    """Returns a record's kind."""
    kind: str = record[0]
    return kind


def handled_ms_of(record: Record) -> float:
    """Returns the time at which the deciding thread handled a record's event, in milliseconds."""
    handled_ms: float = record[2]
    return handled_ms


def encode_header(header: Header) -> bytes:
    """Encodes a segment's header."""
    body = _encode(header)
    return SEGMENT_HEAD.pack(SEGMENT_MAGIC, header.version, len(body)) + body


def decode_header(data: bytes) -> tuple[Header, int]:
    """Decodes a segment's header; returns it and the offset of the first block, in bytes.

    Raises:
        CorruptBlockError: The data is not a segment, is truncated, or has an unsupported version.
    """
    if len(data) < SEGMENT_HEAD.size:
        raise CorruptBlockError(0, "too short for a header")
    magic, version, size = SEGMENT_HEAD.unpack_from(data)
    if magic != SEGMENT_MAGIC:
        raise CorruptBlockError(0, "not a segment of a recording: wrong magic bytes")
    if not 1 <= version <= VERSION:
        raise CorruptBlockError(0, f"unsupported version {version}: this program reads up to {VERSION}")
    end = SEGMENT_HEAD.size + size
    if len(data) < end:
        raise CorruptBlockError(0, "header truncated")
    try:
        header = msgspec.msgpack.decode(data[SEGMENT_HEAD.size : end], type=Header)
    except (msgspec.DecodeError, RecursionError) as error:
        raise CorruptBlockError(0, str(error)) from error
    header.version = version
    return header, end


def encode_block(records: list[Record]) -> bytes:
    """Encodes one block of at least one record."""
    payload = zstandard.ZstdCompressor(level=COMPRESSION_LEVEL).compress(_encode(records))
    times_ms = [handled_ms_of(record) for record in records]
    digest = xxhash.xxh3_64_intdigest(payload)
    head = BLOCK_HEAD.pack(BLOCK_MAGIC, len(payload), len(records), min(times_ms), max(times_ms), digest)
    return head + payload


def iterate_blocks(data: bytes, offset: int) -> Iterator[Block]:
    """Yields the blocks from an offset on, in bytes.

    Raises:
        CorruptBlockError: A block is truncated, malformed or does not match its checksum.
    """
    while offset < len(data):
        block = _read_block(data, offset)
        yield block
        offset += block.size


def _read_block(data: bytes, offset: int) -> Block:
    if len(data) < offset + BLOCK_HEAD.size:
        raise CorruptBlockError(offset, "a block's head is cut off")
    magic, size, count, first_ms, last_ms, digest = BLOCK_HEAD.unpack_from(data, offset)
    if magic != BLOCK_MAGIC or size > MAX_BLOCK_BYTES:
        raise CorruptBlockError(offset, "no block begins here")
    begin = offset + BLOCK_HEAD.size
    payload = data[begin : begin + size]
    if len(payload) < size:
        raise CorruptBlockError(offset, "a block is cut off")
    if xxhash.xxh3_64_intdigest(payload) != digest:
        raise CorruptBlockError(offset, "a block is not what its checksum says")
    return Block(offset, BLOCK_HEAD.size + size, count, first_ms, last_ms, payload)


def decode_block(block: Block, version: int) -> list[Record]:
    """Decodes a block's records; records of older versions are converted to the current form.

    Raises:
        CorruptBlockError: The payload cannot be decompressed or decoded.
    """
    try:
        raw = zstandard.ZstdDecompressor().decompress(block.payload, max_output_size=MAX_PAYLOAD_BYTES)
        records = msgspec.msgpack.decode(raw, type=list[list[Any]])
    except (zstandard.ZstdError, msgspec.DecodeError, RecursionError) as error:
        raise CorruptBlockError(block.offset, str(error)) from error
    if version == 1:
        records = [[*record[:2], *record[1:]] for record in records]
    if not all(_has_valid_head(record) for record in records):
        raise CorruptBlockError(block.offset, "a record does not begin with its kind and two times")
    return records


def _has_valid_head(record: Record) -> bool:
    if len(record) < HEAD_FIELDS or type(record[0]) is not str:
        return False
    return all(type(time_ms) in (int, float) and math.isfinite(time_ms) for time_ms in record[1:HEAD_FIELDS])
