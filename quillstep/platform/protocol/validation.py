"""Validates received messages and converts them to typed values.  Performs no I/O.

An invalid message raises `InvalidMessageError`.  Its text is the reason under which the dropped message is counted, so
it must not contain values from the message.
"""

import math
from collections.abc import Callable
from typing import Any, NamedTuple

from quillstep.errors import QuillstepError
from quillstep.planner.messages import DownstreamStats, UpstreamStats
from quillstep.platform.protocol import names
from quillstep.platform.protocol.codec import Message

MAX_VALUE = 10**9  # limit of all numbers in messages
MAX_UTILIZATION = 2.0  # share of the processor; above 1 to allow for measurement noise
MAX_WINDOW_MS = 3.6e6
# A mean latency of successful attempts above this multiple of the longest class deadline is impossible.
MAX_MEAN_LATENCY_FACTOR = 4.0
ACK_SERIAL_LIMIT = 65536  # serials are below this


class InvalidMessageError(QuillstepError):
    """A message is invalid and is to be dropped; the message text is the reason."""


class Deployment(NamedTuple):
    """Proxies, zones and classes according to the settings; messages that refer to others are invalid."""

    proxies: int  # number of proxies; proxy IDs are below it
    zones: frozenset[str]
    class_indexes: dict[str, int]  # by class name
    max_deadline_ms: float  # longest deadline of all classes


class ProxyRegistration(NamedTuple):
    """A proxy's registration, the first message on its stream."""

    proxy: int
    zone: str
    expected_requests_per_s: float
    is_fresh: bool  # whether the proxy has no state from earlier updates


def message_kind(message: Message) -> str:
    """Return the kind of a message; empty if it is missing or not a string."""
    kind = message.get(names.KIND)
    return kind if type(kind) is str else ""


def parse_proxy_registration(message: Message, deployment: Deployment) -> ProxyRegistration:
    """Parse the registration of a proxy.

    Raises:
        InvalidMessageError: A field is missing or invalid.
    """
    requests_per_s = _required_field(message, names.REQUESTS_PER_S, _is_number)
    is_fresh = _required_field(message, names.IS_FRESH, _is_boolean)
    proxy, zone = _parse_proxy(message, deployment), parse_zone(message, deployment)
    return ProxyRegistration(proxy, zone, float(requests_per_s), is_fresh)


def parse_zone(message: Message, deployment: Deployment) -> str:
    """Parse the zone of a message; it is the only field of a collector's registration.

    Raises:
        InvalidMessageError: The field is missing or invalid, or the zone is unknown.
    """
    zone: str = _required_field(message, names.ZONE, _is_nonempty_string)
    if zone not in deployment.zones:
        raise InvalidMessageError("unknown zone")
    return zone


def parse_ack(message: Message, deployment: Deployment) -> tuple[int, int]:
    """Parse an ack; return the proxy and the serial that it acknowledges.

    Raises:
        InvalidMessageError: A field is missing or invalid.
    """
    _required_field(message, names.APPLY_DURATION, _is_number)
    return _parse_proxy(message, deployment), _required_field(message, names.ACK_SERIAL, _is_ack_serial)


def parse_upstream_stats(message: Message, deployment: Deployment) -> tuple[str, UpstreamStats]:
    """Parse a collector's report; return the zone and the stats of its proxies' attempts at one endpoint.

    Raises:
        InvalidMessageError: A field is missing or invalid.
    """
    attempts: int = _required_field(message, names.COUNT, _is_count)
    failures = _required_field(message, names.FAILURES, lambda value: _is_count(value) and value <= attempts)
    mean_ms = 0.0
    if names.MEAN_SUCCESS_MS in message or attempts > failures:
        max_ms = MAX_MEAN_LATENCY_FACTOR * deployment.max_deadline_ms
        mean_ms = _required_field(message, names.MEAN_SUCCESS_MS, lambda value: _is_number(value) and value <= max_ms)
    window_ms = _required_field(message, names.WINDOW_MS, _is_window)
    endpoint = _required_field(message, names.ENDPOINT, _is_nonempty_string)
    load = _parse_load_report(message.get(names.LOAD_REPORT))
    stats = UpstreamStats(endpoint, attempts, failures, float(mean_ms), float(window_ms), load)
    return parse_zone(message, deployment), stats


def parse_downstream_stats(message: Message, deployment: Deployment) -> DownstreamStats:
    """Parse a report on the requests of one class at one proxy.

    Raises:
        InvalidMessageError: A field is missing or invalid.
    """
    class_name = _required_field(message, names.CLASS, _is_nonempty_string)
    if class_name not in deployment.class_indexes:
        raise InvalidMessageError("unknown class")
    # Unanswered requests may have arrived in an earlier window, so they can exceed the requests of this one.
    requests, unanswered = (
        _required_field(message, names.COUNT, _is_count),
        _required_field(message, names.FAILURES, _is_count),
    )
    proxy = _parse_proxy(message, deployment)
    window_ms = _required_field(message, names.WINDOW_MS, _is_window)
    return DownstreamStats(deployment.class_indexes[class_name], proxy, requests, unanswered, float(window_ms))


def _required_field(message: Message, name: str, is_valid: Callable[[Any], bool]) -> Any:
    if name not in message:
        raise InvalidMessageError(f"missing field {name}")
    value = message[name]
    if not is_valid(value):
        raise InvalidMessageError(f"invalid field {name}: wrong type or out of range")
    return value


def _parse_proxy(message: Message, deployment: Deployment) -> int:
    proxy: int = _required_field(message, names.PROXY, _is_count)
    if proxy >= deployment.proxies:
        raise InvalidMessageError("unknown proxy")
    return proxy


def _parse_load_report(report: Any) -> dict[str, float]:
    if report is None:
        return {}
    is_valid = isinstance(report, dict) and all(_is_number(value) for value in report.values())
    if not is_valid or report.get(names.UTILIZATION, 0.0) > MAX_UTILIZATION:
        raise InvalidMessageError("invalid load report: wrong type or out of range")
    load: dict[str, float] = report
    return load


def _is_count(value: Any) -> bool:
    return type(value) is int and 0 <= value <= MAX_VALUE


def _is_number(value: Any) -> bool:
    return type(value) in (int, float) and 0.0 <= value <= MAX_VALUE and math.isfinite(value)


def _is_window(value: Any) -> bool:
    return _is_number(value) and 0.0 < value <= MAX_WINDOW_MS


def _is_nonempty_string(value: Any) -> bool:
    return type(value) is str and bool(value)


def _is_boolean(value: Any) -> bool:
    return type(value) is bool


def _is_ack_serial(value: Any) -> bool:
    return _is_count(value) and value < ACK_SERIAL_LIMIT
