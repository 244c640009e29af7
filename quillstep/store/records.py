"""Records of the store: MessagePack with a checksum, and sortable keys.  Performs no I/O.

A stored value consists of an 8-byte xxh3 checksum of its key and body, followed by the body.  The checksum detects both
damaged pages and values stored under the wrong key.  Rows are stored as arrays, so the order of their fields is part of
the format.  `rename` defines the field names in exports and reports.
"""

import struct
from typing import Any, NamedTuple

import msgspec
import xxhash

from quillstep.store.errors import CorruptValueError

SCHEMA = 2
CHECKSUM_BYTES = 8
_encode = msgspec.msgpack.Encoder().encode

# The parts of the store.  The values are the names of LMDB databases on disk.
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

    Weights are (endpoint, weight), admission limits (class index, limit, retry policy).  `cause` is module (the
    planner), pin, rollback, release or gate; `operator` is empty if no operator requested it.
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
    """An operator's pin, which keeps a table at a version."""

    table: int
    name: str
    operator: str
    wall_ms: float
    cause: str = "pin"


class OperatorCommand(msgspec.Struct, array_like=True, rename={"operator": "who"}):
    """A pin, rollback or release that an operator requests from a controller.

    Targets are (table, version name); the name is empty for a release.
    """

    kind: str
    targets: list[tuple[int, str]]
    operator: str
    wall_ms: float


class AcknowledgedUpdate(msgspec.Struct, array_like=True, rename={"incarnation": "life", "revision": "order"}):
    """The newest revision that a proxy has acknowledged, the incarnation that sent it, and the time."""

    node: str
    incarnation: str
    revision: int
    wall_ms: float


class IncarnationRow(msgspec.Struct, array_like=True, rename={"incarnation": "life", "started_ms": "begun_ms"}):
    """One incarnation of the controller; `ended_ms` is 0 until it has closed the store regularly."""

    incarnation: str
    started_ms: float
    ended_ms: float = 0.0


class Entry(NamedTuple):
    """A row to write to a part under a key; None as `row` removes the key."""

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
# How many numbers the keys of a part are made of.
KEY_NUMBERS = {META: 1, VERSIONS: 2, PINS: 1, OPERATOR_COMMANDS: 1, INCARNATIONS: 1, JOURNAL: 1}
KEY_NUMBER_BYTES = 8


def pack(key: bytes, row: Any) -> bytes:
    """Returns the stored value of a row under a key: the checksum and the encoded row."""
    body = _encode(row)
    return xxhash.xxh3_64_digest(key + body) + body


def unpack(part: str, key: bytes, value: bytes) -> Any:
    """Returns the row of a stored value.

    Raises:
        CorruptValueError: The checksum does not match, or the body is not a valid row of this part.
    """
    body = value[CHECKSUM_BYTES:]
    if not body or xxhash.xxh3_64_digest(key + body) != value[:CHECKSUM_BYTES]:
        raise CorruptValueError(f"{part}/{key.hex()}: its checksum does not fit")
    check_key(part, key)
    try:
        return msgspec.msgpack.decode(body, type=PARTS[part])
    except (msgspec.DecodeError, RecursionError) as error:
        raise CorruptValueError(f"{part}/{key.hex()}: {error}") from error


def check_key(part: str, key: bytes) -> None:
    """Checks that a key of a part whose keys are made of numbers holds as many as it should.

    Raises:
        CorruptValueError: The key is too short or too long.
    """
    numbers = KEY_NUMBERS.get(part)
    if numbers is not None and len(key) != numbers * KEY_NUMBER_BYTES:
        raise CorruptValueError(f"{part}/{key.hex()}: a key of {len(key)} bytes, expected {numbers * KEY_NUMBER_BYTES}")


def number_key(*numbers: int) -> bytes:
    """Returns a key made of numbers; keys sort in the order of their numbers."""
    return struct.pack(f">{len(numbers)}Q", *numbers)


def numbers_of(key: bytes) -> tuple[int, ...]:
    """Returns the numbers in a key made by `number_key`."""
    return struct.unpack(f">{len(key) // KEY_NUMBER_BYTES}Q", key)


def migrate_row(part: str, row: list[Any], schema: int) -> list[Any]:
    """Returns a row of an older schema converted to the current schema.

    Schema 1 had no incarnation in a version, and no cause in a pin.
    """
    if schema < 2 and part == VERSIONS:
        return [*row[:6], "", *row[6:]]
    if schema < 2 and part == PINS:
        return [*row, "pin"]
    return row
