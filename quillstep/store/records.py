"""Records of the store: msgpack behind a checksum, keys that sort.  Without I/O.

A value is eight bytes of xxh3 over key and body, then the body: a page that went bad, and a value that stands under
another's key, do not read.
"""

import struct
from typing import Any, NamedTuple

import msgspec
import xxhash

SCHEMA = 2
_encode = msgspec.msgpack.Encoder().encode


class CorruptValueError(Exception):
    """A value that does not read; the text says where and why."""


class VersionRow(msgspec.Struct, array_like=True):
    """A table's version; lines are [endpoint, weight], levels [class place, allowed, tries]."""

    name: str
    table: int
    parent: str
    cause: str
    who: str
    wall_ms: float
    life: str
    order: int
    lines: list[tuple[int, float]]
    levels: list[tuple[int, float, int]]


class PinRow(msgspec.Struct, array_like=True):
    """An operator's pin: this table stays at this version."""

    table: int
    name: str
    who: str
    wall_ms: float
    cause: str = "pin"


class OperatorCommand(msgspec.Struct, array_like=True):
    """What an operator asks a pilot for: pin, rollback or release; targets are [table, version's name], no name to
    release."""

    kind: str
    targets: list[tuple[int, str]]
    who: str
    wall_ms: float


class AcknowledgedRow(msgspec.Struct, array_like=True):
    """What a proxy acknowledged last: of which life, which order, and when."""

    node: str
    life: str
    order: int
    wall_ms: float


class IncarnationRow(msgspec.Struct, array_like=True):
    """One life of the pilot; `ended`: it closed the store itself."""

    life: str
    begun_ms: float
    ended_ms: float = 0.0


class Entry(NamedTuple):
    """One thing to be written: into which part, under which key; None: to be removed."""

    part: str
    key: bytes
    row: Any


PARTS: dict[str, Any] = {
    "meta": int,
    "versions": VersionRow,
    "pins": PinRow,
    "wishes": OperatorCommand,
    "holds": AcknowledgedRow,
    "lives": IncarnationRow,
    "journal": list[Any],
}


def pack(key: bytes, row: Any) -> bytes:
    body = _encode(row)
    return xxhash.xxh3_64_digest(key + body) + body


def unpack(part: str, key: bytes, value: bytes) -> Any:
    """Raises BadValue."""
    body = value[8:]
    if len(value) < 9 or xxhash.xxh3_64_digest(key + body) != value[:8]:
        raise CorruptValueError(f"{part}/{key.hex()}: its checksum does not fit")
    try:
        return msgspec.msgpack.decode(body, type=PARTS[part])
    except msgspec.DecodeError as trouble:
        raise CorruptValueError(f"{part}/{key.hex()}: {trouble}") from None


def number_key(*numbers: int) -> bytes:
    """Numbers as a key that sorts as they do."""
    return struct.pack(f">{len(numbers)}Q", *numbers)


def numbers_of(key: bytes) -> tuple[int, ...]:
    return struct.unpack(f">{len(key) // 8}Q", key)


def migrated(part: str, row: list[Any], schema: int) -> list[Any]:
    """A row of an older schema as today's.  Schema 1 had no life in a version, and no cause in a pin."""
    if schema < 2 and part == "versions":
        return [*row[:6], "", *row[6:]]
    if schema < 2 and part == "pins":
        return [*row, "pin"]
    return row
