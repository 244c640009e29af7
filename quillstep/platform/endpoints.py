"""Lists of endpoints in discovery's words, read entry by entry.  Without I/O."""

import math
from typing import Any, NamedTuple

PHASES = {"ready": "in_service", "draining": "terminating", "gone": "terminated"}


class Unreadable(Exception):
    """What discovery sent is no list."""


class News(NamedTuple):
    """A list in the interface's words: kind, entries, and addresses by endpoint."""

    kind: str
    entries: list[tuple]
    addresses: dict[str, tuple[str, int]]
    revision: int
    spoilt: list[str]  # why entries were left out


def read_list(told: Any, offset_ms: float, kind: str = "") -> News:
    """Raises Unreadable.  A spoilt entry is left out; a list with one is not whole: what it lacks is not gone."""
    if not isinstance(told, dict) or type(told.get("revision")) is not int or told["revision"] < 0:
        raise Unreadable("a list without a revision")
    if not isinstance(told.get("members"), list) or type(told.get("complete")) is not bool:
        raise Unreadable("a list without its members, or that does not say whether it is complete")
    entries, addresses, spoilt = [], {}, []
    for member in told["members"]:
        try:
            entry, address = read_entry(member, offset_ms)
        except ValueError as trouble:
            spoilt.append(str(trouble))
            continue
        entries.append(entry)
        addresses[entry[0]] = address
    whole = told["complete"] and not spoilt
    return News(kind or ("complete" if whole else "partial"), entries, addresses, told["revision"], spoilt)


def read_entry(member: Any, offset_ms: float) -> tuple[tuple, tuple[str, int]]:
    """(endpoint, zone, state, listed weight, started on the pilot's clock), and its address; raises ValueError."""
    if not isinstance(member, dict):
        raise ValueError("a member that is no object")
    for name in ("id", "locality", "phase", "host_port"):
        if type(member.get(name)) is not str or not member[name]:
            raise ValueError(f"{name} is missing or no text")
    host, _, port = member["host_port"].rpartition(":")
    if not host or not port.isdigit() or int(port) > 65535:
        raise ValueError("host_port is no address")
    if member["phase"] not in PHASES:
        raise ValueError("phase is none that is known")
    size, up_ms = member.get("size", 1.0), member.get("up_since_ms", 0)
    for name, value in (("size", size), ("up_since_ms", up_ms)):
        if type(value) not in (int, float) or not math.isfinite(value) or value < 0:
            raise ValueError(f"{name} is no number that it can be")
    entry = (
        member["id"], member["locality"], PHASES[member["phase"]], float(size),
        up_ms + offset_ms if up_ms else 0.0,
    )  # fmt: skip
    return entry, (host.strip("[]"), int(port))
