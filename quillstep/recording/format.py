"""The form of a recording, without I/O: segments of checksummed, compressed blocks of records.

    segment  = SEGMENT_MAGIC  version:u16  size:u32  header (MessagePack)  block*
    block    = BLOCK_MAGIC  size:u32  count:u32  first_ms:f64  last_ms:f64  xxh3:u64  payload
    payload  = zstd of a MessagePack array of records

A record is an array `[kind, arrived_ms, taken_ms, ...]`; times are the controller's clock, milliseconds.  `arrived`:
when the event came to the process; `taken`: when the deciding thread handled it.  Kinds and what follows the times:

    open     peer, stream, method            request  peer, stream, method, bytes (the message as it came)
    end      peer, stream, reason            roster   kind, entries, addresses (an endpoint list)
    probe    endpoint, healthy, took, load   files    kind, directory, payload, age_ms
    step     peers that were full            orders   interval, the planner's output in sequence, revision
    sent     what, fields                    (what left, came back or was rejected, for people to read)
    reports  reader, what a window of load reports came to

Version 1 had no `arrived_ms`; it is read with `arrived = taken`.  Up to version 2 all load reports are requests.
"""

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

Record: TypeAlias = list[Any]  # in its stored form; `controller/event_codec.py` has the typed events

_encode = msgspec.msgpack.Encoder().encode


class CorruptBlockError(QuillstepError):
    """A block or header that is truncated or does not match its checksum.

    Attributes:
        offset: Where it begins in the segment, in bytes.
    """

    def __init__(self, offset: int, text: str) -> None:
        super().__init__(f"at byte {offset}: {text}")
        self.offset = offset


class Header(msgspec.Struct):
    """What a segment begins with.

    Attributes:
        controller: The controller's name.
        epoch: The name of its incarnation.
        segment: The segment's number in that incarnation's recording, from 0.
        settings: The settings it ran with, as plain values.
        wall_offset_ms: Added to a time of the recording, it gives wall-clock milliseconds.
        version: Of the format.
    """

    controller: str = msgspec.field(name="pilot")
    epoch: str
    segment: int
    settings: dict[str, Any]
    wall_offset_ms: float
    version: int = VERSION


class Block(NamedTuple):
    """A block's place and time span, before its payload is unpacked; `size` includes its head."""

    offset: int
    size: int
    record_count: int
    first_ms: float
    last_ms: float
    payload: bytes


def kind_of(record: Record) -> str:
    """A record's kind."""
    kind: str = record[0]
    return kind


def taken_ms_of(record: Record) -> float:
    """When the deciding thread handled a record's event."""
    taken_ms: float = record[2]
    return taken_ms


def encode_header(header: Header) -> bytes:
    """The beginning of a segment."""
    body = _encode(header)
    return SEGMENT_HEAD.pack(SEGMENT_MAGIC, header.version, len(body)) + body


def decode_header(data: bytes) -> tuple[Header, int]:
    """A segment's header, and the offset at which its blocks begin.

    Raises:
        CorruptBlockError: The data is no segment of a version that this program reads.
    """
    if len(data) < SEGMENT_HEAD.size:
        raise CorruptBlockError(0, "no header")
    magic, version, size = SEGMENT_HEAD.unpack_from(data)
    if magic != SEGMENT_MAGIC:
        raise CorruptBlockError(0, "no capture")
    if not 1 <= version <= VERSION:
        raise CorruptBlockError(0, f"version {version}, and this program reads up to {VERSION}")
    end = SEGMENT_HEAD.size + size
    if len(data) < end:
        raise CorruptBlockError(0, "a header that is cut off")
    try:
        header = msgspec.msgpack.decode(data[SEGMENT_HEAD.size : end], type=Header)
    except msgspec.DecodeError as error:
        raise CorruptBlockError(0, str(error)) from error
    header.version = version
    return header, end


def encode_block(records: list[Record]) -> bytes:
    """One block of records, of which there is at least one."""
    payload = zstandard.ZstdCompressor(level=COMPRESSION_LEVEL).compress(_encode(records))
    times_ms = [taken_ms_of(record) for record in records]
    digest = xxhash.xxh3_64_intdigest(payload)
    head = BLOCK_HEAD.pack(BLOCK_MAGIC, len(payload), len(records), min(times_ms), max(times_ms), digest)
    return head + payload


def iterate_blocks(data: bytes, offset: int) -> Iterator[Block]:
    """The blocks from an offset on.

    Raises:
        CorruptBlockError: At the first block that is truncated or does not match its checksum.
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
    """A block's records, those of older versions in this version's form.

    Raises:
        CorruptBlockError: The payload cannot be unpacked.
    """
    try:
        raw = zstandard.ZstdDecompressor().decompress(block.payload, max_output_size=MAX_PAYLOAD_BYTES)
        records = msgspec.msgpack.decode(raw, type=list[list[Any]])
    except (zstandard.ZstdError, msgspec.DecodeError) as error:
        raise CorruptBlockError(block.offset, str(error)) from error
    if version == 1:
        records = [[record[0], record[1], *record[1:]] for record in records]
    return records
