"""What may stand in a message that comes in.  Without I/O.

A message that doesn't hold what it should raises `InvalidMessageError`, whose text is the reason it is counted under.
"""

import math
from collections.abc import Callable
from typing import Any, NamedTuple

from quillstep.planner.messages import DownstreamStats, UpstreamStats

COUNT_MOST = 10**9
LOAD_MOST = 2.0  # a share of the processor with its noise
COVERS_MOST_MS = 3.6e6
LATE = 4.0  # cut-offs that the mean time of good tries can't reach
SERIALS = 65536


class InvalidMessageError(Exception):
    """A message to be dropped."""


class Known(NamedTuple):
    """What the settings say exists."""

    proxies: int
    zones: frozenset[str]
    places: dict[str, int]  # of the classes, by name
    deadline_ms: float  # the longest


def take(fields: dict[str, Any], name: str, fits: Callable[[Any], bool]) -> Any:
    if name not in fields:
        raise InvalidMessageError(f"{name} is missing")
    value = fields[name]
    if not fits(value):
        raise InvalidMessageError(f"{name} is of another type or out of range")
    return value


def kind(fields: dict[str, Any]) -> str:
    """What a message says it is; empty where that is no text, which could be a list or an object."""
    name = fields.get("t")
    return name if type(name) is str else ""


def count(value: Any) -> bool:
    return type(value) is int and 0 <= value <= COUNT_MOST


def figure(value: Any) -> bool:
    return type(value) in (int, float) and 0.0 <= value <= COUNT_MOST and math.isfinite(value)


def covers(value: Any) -> bool:
    return figure(value) and 0.0 < value <= COVERS_MOST_MS


def text(value: Any) -> bool:
    return type(value) is str and bool(value)


def proxy(fields: dict[str, Any], known: Known) -> int:
    number = take(fields, "id", count)
    if number >= known.proxies:
        raise InvalidMessageError("no such proxy")
    return number


def zone(fields: dict[str, Any], known: Known) -> str:
    name = take(fields, "site", text)
    if name not in known.zones:
        raise InvalidMessageError("no such zone")
    return name


def joining(fields: dict[str, Any], known: Known) -> tuple[int, str, float, bool]:
    """Of a proxy: its number, its zone, its usual exchanges a second, whether it holds no earlier orders."""
    usual = take(fields, "rps", figure)
    fresh = take(fields, "new", lambda value: type(value) is bool)
    return proxy(fields, known), zone(fields, known), float(usual), fresh


def receipt(fields: dict[str, Any], known: Known) -> tuple[int, int]:
    """A proxy and the mark it answers."""
    take(fields, "ms", figure)
    return proxy(fields, known), take(fields, "seq", lambda value: count(value) and value < SERIALS)


def both(fields: dict[str, Any]) -> tuple[int, int]:
    tried = take(fields, "count", count)
    return tried, take(fields, "fail", lambda value: count(value) and value <= tried)


def sums(fields: dict[str, Any], known: Known) -> tuple[str, UpstreamStats]:
    """A zone, and what its proxies met at an endpoint, as the interface has it."""
    tried, failed = both(fields)
    mean_ms = 0.0
    if "mean" in fields or tried > failed:
        mean_ms = take(fields, "mean", lambda value: figure(value) and value <= LATE * known.deadline_ms)
    over = take(fields, "over", covers)
    endpoint, report = take(fields, "target", text), load(fields.get("util"))
    row = UpstreamStats(endpoint, tried, failed, float(mean_ms), float(over), report)
    return zone(fields, known), row


def load(report: Any) -> dict[str, float]:
    if report is None:
        return {}
    sound = isinstance(report, dict) and all(figure(value) for value in report.values())
    if not sound or report.get("util", 0.0) > LOAD_MOST:
        raise InvalidMessageError("the load report is of another type or out of range")
    return report


def usage(fields: dict[str, Any], known: Known) -> DownstreamStats:
    """What reached a proxy of a class, as the interface has it."""
    lane = take(fields, "lane", text)
    if lane not in known.places:
        raise InvalidMessageError("no such class")
    # Unanswered ones may have arrived in an earlier period: more of them than arrived in this one is no fault.
    arrived, unanswered = take(fields, "count", count), take(fields, "fail", count)
    number, over = proxy(fields, known), float(take(fields, "over", covers))
    return DownstreamStats(known.places[lane], number, arrived, unanswered, over)
