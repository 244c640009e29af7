"""Parses and validates discovery's endpoint lists.  Performs no I/O.

Discovery's field names (`members`, `host_port`, `phase` and others) are mapped to the planner's here.  Elsewhere they
occur only in the initial list of the configuration.
"""

import re
import socket
from typing import Any, NamedTuple

from quillstep.controller.start_times import ListedEndpoint
from quillstep.errors import QuillstepError
from quillstep.net.http import MAX_PORT

# The planner's endpoint state by discovery's phase.
ENDPOINT_STATES = {"ready": "in_service", "draining": "terminating", "gone": "terminated"}
MAX_VALUE = 10**15  # limit of sizes, times and revisions; sums of larger values could overflow
NUMERIC_ADDRESS = re.compile(r"([0-9.]+|\[[0-9A-Fa-f:.]+\]):([0-9]{1,5})")

Address = tuple[str, int]


class MalformedListError(QuillstepError):
    """A response of discovery is not a valid endpoint list."""


class DiscoveryUpdate(NamedTuple):
    """A complete endpoint list, or changes to it.

    `kind` is passed to the planner: `complete`, `partial`, or `persisted` for the configuration's list.  A list with
    rejected entries is `partial`, since the rejected endpoints may still exist.  `is_complete` is discovery's own flag.
    """

    kind: str
    entries: list[ListedEndpoint]
    addresses: dict[str, Address]  # by endpoint name
    revision: int
    rejected: list[str]  # reasons for the entries that were left out
    is_complete: bool


def parse_endpoint_list(document: Any, kind: str = "") -> DiscoveryUpdate:
    """Convert a decoded endpoint list to typed entries.

    Invalid entries are left out and reported in `DiscoveryUpdate.rejected`.

    Args:
        document: The decoded JSON document.
        kind: The update's kind; derived from the document if empty.

    Raises:
        MalformedListError: The revision, the members or the flag `complete` is missing or invalid.
    """
    revision = document.get("revision") if isinstance(document, dict) else None
    if type(revision) is not int or not 0 <= revision <= MAX_VALUE:
        raise MalformedListError("endpoint list: missing or invalid `revision`")
    if not isinstance(document.get("members"), list) or type(document.get("complete")) is not bool:
        raise MalformedListError("endpoint list: missing or invalid `members` or `complete`")
    entries: list[ListedEndpoint] = []
    addresses: dict[str, Address] = {}
    rejected: list[str] = []
    for member in document["members"]:
        try:
            entry, address = parse_entry(member)
        except ValueError as error:
            rejected.append(str(error))
            continue
        entries.append(entry)
        addresses[entry.endpoint] = address
    found_kind = "complete" if document["complete"] and not rejected else "partial"
    return DiscoveryUpdate(kind or found_kind, entries, addresses, revision, rejected, document["complete"])


def parse_address(text: str) -> Address:
    """Parse a numeric host and a port; IPv6 addresses are in brackets.

    Host names are rejected: the platform has no DNS, and a lookup would block a thread beyond any deadline.

    Raises:
        ValueError: The text is not a numeric address with a port.
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


def parse_entry(member: Any) -> tuple[ListedEndpoint, Address]:
    """Parse one entry of an endpoint list.

    Raises:
        ValueError: A field is missing or invalid.
    """
    if not isinstance(member, dict):
        raise ValueError("a member that is no object")
    for name in ("id", "locality", "phase", "host_port"):
        if type(member.get(name)) is not str or not member[name]:
            raise ValueError(f"{name}: expected a non-empty string")
    try:
        address = parse_address(member["host_port"])
    except ValueError as error:
        raise ValueError(f"host_port: {error}") from error
    if member["phase"] not in ENDPOINT_STATES:
        raise ValueError("phase is none that is known")
    size, started_unix_ms = member.get("size", 1.0), member.get("up_since_ms", 0)
    for name, value in (("size", size), ("up_since_ms", started_unix_ms)):
        if type(value) not in (int, float) or not 0 <= value <= MAX_VALUE:
            raise ValueError(f"{name} is no number that it can be")
    state = ENDPOINT_STATES[member["phase"]]
    return ListedEndpoint(member["id"], member["locality"], state, float(size), started_unix_ms), address
