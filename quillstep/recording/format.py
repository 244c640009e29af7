"""The form of a capture, without I/O: segments of checksummed, compressed blocks of records.

    segment  = MAGIC  version:u16  size:u32  header (MessagePack)  block*
    block    = MARK  size:u32  count:u32  first_ms:f64  last_ms:f64  xxh3:u64  payload (zstd of a MessagePack array)

A record is an array `[kind, arrived_ms, taken_ms, ...]`; times are the pilot's clock, milliseconds.  `arrived`: when it
came to the process; `taken`: when the deciding thread took it in.  Kinds and what follows the times:

    open     peer, stream, method            request  peer, stream, method, bytes (the message as it came)
    end      peer, stream, why               roster   kind, entries, addresses
    probe    endpoint, answered, took, load  files    kind, directory, payload, age_ms
    step     peers that were full            orders   round, the module's orders in sequence
    sent     proxy, fields                   (what left, came back or was refused, for people to read)
    reports  reader, what a window of load reports came to

Version 1 had no `arrived_ms`; it is read with `arrived = taken`.  Up to version 2 all load reports are requests.
"""

import struct
from collections.abc import Iterator
from typing import Any, NamedTuple

import msgspec
import xxhash
import zstandard

MAGIC, MARK = b"QCAP", b"QBLK"
VERSION = 3
HEAD = struct.Struct("<4sHI")
BLOCK = struct.Struct("<4sIIddQ")
BLOCK_MOST = 64 * 2**20
PAYLOAD_MOST = 256 * 2**20
LEVEL = 3
Record = list[Any]
_encode = msgspec.msgpack.Encoder().encode


class CorruptBlockError(Exception):
    """A block that is cut off or not what its checksum says; `at` is its offset in the segment."""

    def __init__(self, at: int, text: str) -> None:
        super().__init__(f"at byte {at}: {text}")
        self.at = at


class Header(msgspec.Struct):
    """What a segment begins with: whose life it is of, its number, the settings and the clock."""

    pilot: str
    epoch: str
    segment: int
    settings: dict[str, Any]
    wall_offset_ms: float  # add to a time of the capture for wall-clock milliseconds
    version: int = VERSION


class Block(NamedTuple):
    """A block's place and span, before its payload is unpacked."""

    at: int
    size: int  # with its head
    records: int
    first_ms: float
    last_ms: float
    payload: bytes


def encode_header(header: Header) -> bytes:
    body = _encode(header)
    return HEAD.pack(MAGIC, header.version, len(body)) + body


def decode_header(data: bytes) -> tuple[Header, int]:
    """A segment's header and where its blocks begin.  Raises BadBlock."""
    if len(data) < HEAD.size:
        raise CorruptBlockError(0, "no header")
    magic, version, size = HEAD.unpack_from(data)
    if magic != MAGIC:
        raise CorruptBlockError(0, "no capture")
    if not 1 <= version <= VERSION:
        raise CorruptBlockError(0, f"version {version}, and this program reads up to {VERSION}")
    if len(data) < HEAD.size + size:
        raise CorruptBlockError(0, "a header that is cut off")
    try:
        header = msgspec.msgpack.decode(data[HEAD.size : HEAD.size + size], type=Header)
    except msgspec.DecodeError as trouble:
        raise CorruptBlockError(0, str(trouble)) from None
    header.version = version
    return header, HEAD.size + size


def encode_block(records: list[Record]) -> bytes:
    payload = zstandard.ZstdCompressor(level=LEVEL).compress(_encode(records))
    times = [record[2] for record in records]
    digest = xxhash.xxh3_64_intdigest(payload)
    return BLOCK.pack(MARK, len(payload), len(records), min(times), max(times), digest) + payload


def blocks(data: bytes, at: int) -> Iterator[Block]:
    """The blocks from an offset on; raises BadBlock at the first that is not whole."""
    while at < len(data):
        if len(data) < at + BLOCK.size:
            raise CorruptBlockError(at, "a block's head is cut off")
        mark, size, count, first, last, digest = BLOCK.unpack_from(data, at)
        if mark != MARK or size > BLOCK_MOST:
            raise CorruptBlockError(at, "no block begins here")
        payload = data[at + BLOCK.size : at + BLOCK.size + size]
        if len(payload) < size:
            raise CorruptBlockError(at, "a block is cut off")
        if xxhash.xxh3_64_intdigest(payload) != digest:
            raise CorruptBlockError(at, "a block is not what its checksum says")
        yield Block(at, BLOCK.size + size, count, first, last, payload)
        at += BLOCK.size + size


def decode_block(block: Block, version: int) -> list[Record]:
    """A block's records, older versions brought to this one's form.  Raises BadBlock."""
    try:
        raw = zstandard.ZstdDecompressor().decompress(block.payload, max_output_size=PAYLOAD_MOST)
        records = msgspec.msgpack.decode(raw, type=list[list])
    except (zstandard.ZstdError, msgspec.DecodeError) as trouble:
        raise CorruptBlockError(block.at, str(trouble)) from None
    if version == 1:
        records = [[record[0], record[1], *record[1:]] for record in records]
    return records
