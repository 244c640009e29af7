"""Records of the store: MessagePack behind a checksum, and keys that sort.  Without I/O.

A stored value is eight bytes of xxh3 over its key and body, then the body, so that neither a damaged page nor a value
under another value's key is read.  Rows are stored as arrays: the order of their fields is the format.  The names that
exports and reports show of them are given by `rename`.
"""

import struct
from typing import Any, NamedTuple

import msgspec
import xxhash

from quillstep.store.errors import CorruptValueError

SCHEMA = 2
CHECKSUM_BYTES = 8
_encode = msgspec.msgpack.Encoder().encode

# The store's parts; the values are names on disk.
META = "meta"
VERSIONS = "versions"
PINS = "pins"
OPERATOR_COMMANDS = "wishes"
ACKNOWLEDGED_UPDATES = "holds"
INCARNATIONS = "lives"
JOURNAL = "journal"


class VersionRow(
    msgspec.Struct,
    array_like=True,
    rename={
        "operator": "who",
        "incarnation": "life",
        "revision": "order",
        "weights": "lines",
        "admission": "levels",
    },
):
    """One version of a table.

    Weights are (endpoint, weight), admission limits (class index, limit, retry policy).  `cause` is module, pin,
    rollback, release or gate; `operator` is empty where no person asked for it.
    """

    name: str
    table: int
    parent: str
    cause: str
    operator: str
    wall_ms: float
    incarnation: str
    revision: int
    weights: list[tuple[int, float]]
    admission: list[tuple[int, float, int]]


class PinRow(msgspec.Struct, array_like=True, rename={"operator": "who"}):
    """An operator's pin: the table stays at this version."""

    table: int
    name: str
    operator: str
    wall_ms: float
    cause: str = "pin"


class OperatorCommand(msgspec.Struct, array_like=True, rename={"operator": "who"}):
    """A pin, rollback or release that an operator asks a controller for.

    Targets are (table, version name); the name is empty in a release.
    """

    kind: str
    targets: list[tuple[int, str]]
    operator: str
    wall_ms: float


class AcknowledgedUpdate(msgspec.Struct, array_like=True, rename={"incarnation": "life", "revision": "order"}):
    """The newest revision that a proxy has acknowledged, of which incarnation, and when."""

    node: str
    incarnation: str
    revision: int
    wall_ms: float


class IncarnationRow(msgspec.Struct, array_like=True, rename={"incarnation": "life", "started_ms": "begun_ms"}):
    """One incarnation of the controller; `ended_ms` is 0 until it has closed the store itself."""

    incarnation: str
    started_ms: float
    ended_ms: float = 0.0


class Entry(NamedTuple):
    """One row to write into a part under a key; `row` None removes it."""

    part: str
    key: bytes
    row: Any


PARTS: dict[str, Any] = {
    META: int,
    VERSIONS: VersionRow,
    PINS: PinRow,
    OPERATOR_COMMANDS: OperatorCommand,
    ACKNOWLEDGED_UPDATES: AcknowledgedUpdate,
    INCARNATIONS: IncarnationRow,
    JOURNAL: list[Any],
}


def pack(key: bytes, row: Any) -> bytes:
    """Returns a row as it is stored under a key."""
    body = _encode(row)
    return xxhash.xxh3_64_digest(key + body) + body


def unpack(part: str, key: bytes, value: bytes) -> Any:
    """Returns the row of a stored value.

    Raises:
        CorruptValueError: The checksum does not fit, or the body is no row of this part.
    """
    body = value[CHECKSUM_BYTES:]
    if not body or xxhash.xxh3_64_digest(key + body) != value[:CHECKSUM_BYTES]:
        raise CorruptValueError(f"{part}/{key.hex()}: its checksum does not fit")
    try:
        return msgspec.msgpack.decode(body, type=PARTS[part])
    except msgspec.DecodeError as error:
        raise CorruptValueError(f"{part}/{key.hex()}: {error}") from error


def number_key(*numbers: int) -> bytes:
    """Returns numbers as a key that sorts as they do."""
    return struct.pack(f">{len(numbers)}Q", *numbers)


def numbers_of(key: bytes) -> tuple[int, ...]:
    """Returns the numbers that a key of `number_key` was made of."""
    return struct.unpack(f">{len(key) // 8}Q", key)


def migrated(part: str, row: list[Any], schema: int) -> list[Any]:
    """Returns a row of an older schema as one of the present schema.

    Schema 1 had no incarnation in a version, and no cause in a pin.
    """
    if schema < 2 and part == VERSIONS:
        return [*row[:6], "", *row[6:]]
    if schema < 2 and part == PINS:
        return [*row, "pin"]
    return row
