"""Discovery's endpoint lists, checked entry by entry.  Without I/O.

Discovery's names (`members`, `host_port`, `phase` and the rest) are mapped here to the planner's, and known nowhere
else but in the configuration's first list.
"""

import re
import socket
from typing import Any, NamedTuple

from quillstep.errors import QuillstepError
from quillstep.planner.messages import EndpointEntry

ENDPOINT_STATES = {"ready": "in_service", "draining": "terminating", "gone": "terminated"}  # by discovery's phase
MAX_FIGURE = 10**15  # of a size, a time or a revision: sums beyond it could overflow
MAX_PORT = 65535
NUMERIC_ADDRESS = re.compile(r"([0-9.]+|\[[0-9A-Fa-f:.]+\]):([0-9]{1,5})")

Address = tuple[str, int]


class MalformedListError(QuillstepError):
    """What discovery sent is no endpoint list."""


class DiscoveryUpdate(NamedTuple):
    """An endpoint list, or changes of it.

    `kind` is what the planner is given: `complete`, `partial`, or `persisted` for the configuration's list.  A list
    with rejected entries is `partial`, since what it lacks may still exist; `is_complete` says what discovery sent.
    """

    kind: str
    entries: list[EndpointEntry]
    addresses: dict[str, Address]  # by endpoint
    revision: int
    rejected: list[str]  # why entries were left out
    is_complete: bool


def parse_endpoint_list(document: Any, clock_offset_ms: float, kind: str = "") -> DiscoveryUpdate:
    """Return a decoded endpoint list as the planner takes it.

    Args:
        document: The JSON document.
        clock_offset_ms: What to add to Unix time to get this process's monotonic clock.
        kind: The update's kind, where it is not to follow from the document.

    Raises:
        MalformedListError: The document is no endpoint list.  An invalid entry alone is left out.
    """
    revision = document.get("revision") if isinstance(document, dict) else None
    if type(revision) is not int or not 0 <= revision <= MAX_FIGURE:
        raise MalformedListError("a list without a revision")
    if not isinstance(document.get("members"), list) or type(document.get("complete")) is not bool:
        raise MalformedListError("a list without its members, or that does not say whether it is complete")
    entries: list[EndpointEntry] = []
    addresses: dict[str, Address] = {}
    rejected: list[str] = []
    for member in document["members"]:
        try:
            entry, address = parse_entry(member, clock_offset_ms)
        except ValueError as error:
            rejected.append(str(error))
            continue
        entries.append(entry)
        addresses[entry.endpoint] = address
    found_kind = "complete" if document["complete"] and not rejected else "partial"
    return DiscoveryUpdate(kind or found_kind, entries, addresses, revision, rejected, document["complete"])


def parse_address(text: str) -> Address:
    """Return a numeric host and a port.

    The platform has no DNS: looking up a name would keep a thread beyond any deadline.

    Raises:
        ValueError: The text is no such address.
    """
    match = NUMERIC_ADDRESS.fullmatch(text)
    if not match or int(match[2]) > MAX_PORT:
        raise ValueError("it is no address")
    host = match[1].strip("[]")
    try:
        socket.inet_pton(socket.AF_INET6 if ":" in host else socket.AF_INET, host)
    except OSError as error:
        raise ValueError("it is no address") from error
    return host, int(match[2])


def parse_entry(member: Any, clock_offset_ms: float) -> tuple[EndpointEntry, Address]:
    """Return an entry of a list, its start on this process's clock, and its address.

    Raises:
        ValueError: A field is missing or invalid.
    """
    if not isinstance(member, dict):
        raise ValueError("a member that is no object")
    for name in ("id", "locality", "phase", "host_port"):
        if type(member.get(name)) is not str or not member[name]:
            raise ValueError(f"{name} is missing or no text")
    try:
        address = parse_address(member["host_port"])
    except ValueError as error:
        raise ValueError(f"host_port: {error}") from error
    if member["phase"] not in ENDPOINT_STATES:
        raise ValueError("phase is none that is known")
    size, started_unix_ms = member.get("size", 1.0), member.get("up_since_ms", 0)
    for name, value in (("size", size), ("up_since_ms", started_unix_ms)):
        if type(value) not in (int, float) or not 0 <= value <= MAX_FIGURE:
            raise ValueError(f"{name} is no number that it can be")
    started_ms = started_unix_ms + clock_offset_ms if started_unix_ms else 0.0  # 0: long ago
    entry = EndpointEntry(member["id"], member["locality"], ENDPOINT_STATES[member["phase"]], float(size), started_ms)
    return entry, address
