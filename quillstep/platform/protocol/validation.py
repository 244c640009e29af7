"""Checks messages that were received, and returns them as typed values.  Without I/O.

A message that does not hold what it should raises `InvalidMessageError`, whose text is the reason that it is counted
under.
"""

import math
from collections.abc import Callable
from typing import Any, NamedTuple

from quillstep.errors import QuillstepError
from quillstep.planner.messages import DownstreamStats, UpstreamStats
from quillstep.platform.protocol import names
from quillstep.platform.protocol.codec import Message

MAX_FIGURE = 10**9
MAX_UTILIZATION = 2.0  # a share of the processor, which may be measured with noise
MAX_WINDOW_MS = 3.6e6
MAX_MEAN_DEADLINES = 4.0  # deadlines that the mean latency of successful attempts can't reach
ACK_SERIALS = 65536


class InvalidMessageError(QuillstepError):
    """A message to be dropped."""


class Deployment(NamedTuple):
    """What exists, by the settings; a message may name nothing else."""

    proxies: int
    zones: frozenset[str]
    class_indexes: dict[str, int]  # by the class's name
    max_deadline_ms: float  # of all classes


class ProxyRegistration(NamedTuple):
    """The first message of a proxy."""

    proxy: int
    zone: str
    expected_requests_per_s: float
    is_fresh: bool  # it holds nothing from earlier updates


def message_kind(message: Message) -> str:
    """Return the kind that a message gives; empty where it is no text."""
    kind = message.get(names.KIND)
    return kind if type(kind) is str else ""


def parse_proxy_registration(message: Message, deployment: Deployment) -> ProxyRegistration:
    """Return a proxy's registration.

    Raises:
        InvalidMessageError: A field is missing or invalid.
    """
    requests_per_s = _field(message, names.REQUESTS_PER_S, _is_figure)
    is_fresh = _field(message, names.IS_FRESH, _is_boolean)
    proxy, zone = _parse_proxy(message, deployment), parse_zone(message, deployment)
    return ProxyRegistration(proxy, zone, float(requests_per_s), is_fresh)


def parse_zone(message: Message, deployment: Deployment) -> str:
    """Return the zone of a message, all that a collector's registration holds.

    Raises:
        InvalidMessageError: The field is missing, or there is no such zone.
    """
    zone: str = _field(message, names.ZONE, _is_text)
    if zone not in deployment.zones:
        raise InvalidMessageError("no such zone")
    return zone


def parse_ack(message: Message, deployment: Deployment) -> tuple[int, int]:
    """Return a proxy, and the serial of the update that it acknowledges.

    Raises:
        InvalidMessageError: A field is missing or invalid.
    """
    _field(message, names.APPLY_DURATION, _is_figure)
    return _parse_proxy(message, deployment), _field(message, names.ACK_SERIAL, _is_ack_serial)


def parse_upstream_stats(message: Message, deployment: Deployment) -> tuple[str, UpstreamStats]:
    """Return a zone, and what its proxies met at an endpoint.

    Raises:
        InvalidMessageError: A field is missing or invalid.
    """
    attempts: int = _field(message, names.COUNT, _is_count)
    failures = _field(message, names.FAILURES, lambda value: _is_count(value) and value <= attempts)
    mean_ms = 0.0
    if names.MEAN_SUCCESS_MS in message or attempts > failures:
        max_ms = MAX_MEAN_DEADLINES * deployment.max_deadline_ms
        mean_ms = _field(message, names.MEAN_SUCCESS_MS, lambda value: _is_figure(value) and value <= max_ms)
    window_ms = _field(message, names.WINDOW_MS, _is_window)
    endpoint = _field(message, names.ENDPOINT, _is_text)
    load = _parse_load_report(message.get(names.LOAD_REPORT))
    stats = UpstreamStats(endpoint, attempts, failures, float(mean_ms), float(window_ms), load)
    return parse_zone(message, deployment), stats


def parse_downstream_stats(message: Message, deployment: Deployment) -> DownstreamStats:
    """Return what reached one proxy of one class.

    Raises:
        InvalidMessageError: A field is missing or invalid.
    """
    class_name = _field(message, names.CLASS, _is_text)
    if class_name not in deployment.class_indexes:
        raise InvalidMessageError("no such class")
    # Requests may have arrived in an earlier window: more of them may be unanswered than arrived in this one.
    requests, unanswered = _field(message, names.COUNT, _is_count), _field(message, names.FAILURES, _is_count)
    proxy = _parse_proxy(message, deployment)
    window_ms = _field(message, names.WINDOW_MS, _is_window)
    return DownstreamStats(deployment.class_indexes[class_name], proxy, requests, unanswered, float(window_ms))


def _field(message: Message, name: str, is_valid: Callable[[Any], bool]) -> Any:
    if name not in message:
        raise InvalidMessageError(f"{name} is missing")
    value = message[name]
    if not is_valid(value):
        raise InvalidMessageError(f"{name} is of another type or out of range")
    return value


def _parse_proxy(message: Message, deployment: Deployment) -> int:
    proxy: int = _field(message, names.PROXY, _is_count)
    if proxy >= deployment.proxies:
        raise InvalidMessageError("no such proxy")
    return proxy


def _parse_load_report(report: Any) -> dict[str, float]:
    if report is None:
        return {}
    is_valid = isinstance(report, dict) and all(_is_figure(value) for value in report.values())
    if not is_valid or report.get(names.UTILIZATION, 0.0) > MAX_UTILIZATION:
        raise InvalidMessageError("the load report is of another type or out of range")
    found: dict[str, float] = report
    return found


def _is_count(value: Any) -> bool:
    return type(value) is int and 0 <= value <= MAX_FIGURE


def _is_figure(value: Any) -> bool:
    return type(value) in (int, float) and 0.0 <= value <= MAX_FIGURE and math.isfinite(value)


def _is_window(value: Any) -> bool:
    return _is_figure(value) and 0.0 < value <= MAX_WINDOW_MS


def _is_text(value: Any) -> bool:
    return type(value) is str and bool(value)


def _is_boolean(value: Any) -> bool:
    return type(value) is bool


def _is_ack_serial(value: Any) -> bool:
    return _is_count(value) and value < ACK_SERIALS
