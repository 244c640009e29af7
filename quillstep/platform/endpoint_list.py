"""Lists of endpoints in discovery's words, read entry by entry.  Without I/O."""

import re
import socket
from typing import Any, NamedTuple

from quillstep.planner.messages import EndpointEntry

PHASES = {"ready": "in_service", "draining": "terminating", "gone": "terminated"}


FIGURE_MOST = 10**15  # of a size, a time or a revision; beyond it a sum of ours could overflow
ADDRESS = re.compile(r"([0-9.]+|\[[0-9A-Fa-f:.]+\]):([0-9]{1,5})")


class MalformedListError(Exception):
    """What discovery sent is no list."""


class DiscoveryUpdate(NamedTuple):
    """A list in the interface's words: kind, entries, and addresses by endpoint."""

    kind: str
    entries: list[EndpointEntry]
    addresses: dict[str, tuple[str, int]]
    revision: int
    spoilt: list[str]  # why entries were left out
    whole: bool  # whether it was told as the whole list; with a spoilt entry its kind is partial all the same


def read_list(told: Any, offset_ms: float, kind: str = "") -> DiscoveryUpdate:
    """Raises Unreadable.  A spoilt entry is left out; a list with one is not whole: what it lacks is not gone."""
    revision = told.get("revision") if isinstance(told, dict) else None
    if type(revision) is not int or not 0 <= revision <= FIGURE_MOST:
        raise MalformedListError("a list without a revision")
    if not isinstance(told.get("members"), list) or type(told.get("complete")) is not bool:
        raise MalformedListError("a list without its members, or that does not say whether it is complete")
    entries, addresses, spoilt = [], {}, []
    for member in told["members"]:
        try:
            entry, address = read_entry(member, offset_ms)
        except ValueError as trouble:
            spoilt.append(str(trouble))
            continue
        entries.append(entry)
        addresses[entry.endpoint] = address
    found = "complete" if told["complete"] and not spoilt else "partial"
    return DiscoveryUpdate(kind or found, entries, addresses, revision, spoilt, told["complete"])


def address_of(text: str) -> tuple[str, int]:
    """A host in figures and a port; raises ValueError.

    The platform has no DNS: a name would keep a thread at its look-up beyond any deadline.
    """
    found = ADDRESS.fullmatch(text)
    if not found or int(found[2]) > 65535:
        raise ValueError("it is no address")
    host = found[1].strip("[]")
    try:
        socket.inet_pton(socket.AF_INET6 if ":" in host else socket.AF_INET, host)
    except OSError:
        raise ValueError("it is no address") from None
    return host, int(found[2])


def read_entry(member: Any, offset_ms: float) -> tuple[EndpointEntry, tuple[str, int]]:
    """(endpoint, zone, state, listed weight, started on the pilot's clock), and its address; raises ValueError."""
    if not isinstance(member, dict):
        raise ValueError("a member that is no object")
    for name in ("id", "locality", "phase", "host_port"):
        if type(member.get(name)) is not str or not member[name]:
            raise ValueError(f"{name} is missing or no text")
    try:
        address = address_of(member["host_port"])
    except ValueError as trouble:
        raise ValueError(f"host_port: {trouble}") from None
    if member["phase"] not in PHASES:
        raise ValueError("phase is none that is known")
    size, up_ms = member.get("size", 1.0), member.get("up_since_ms", 0)
    for name, value in (("size", size), ("up_since_ms", up_ms)):
        if type(value) not in (int, float) or not 0 <= value <= FIGURE_MOST:
            raise ValueError(f"{name} is no number that it can be")
    entry = EndpointEntry(
        member["id"], member["locality"], PHASES[member["phase"]], float(size),
        up_ms + offset_ms if up_ms else 0.0,
    )  # fmt: skip
    return entry, address
