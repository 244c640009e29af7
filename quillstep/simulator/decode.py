"""Decodes lines of the simulator's protocol to the planner's messages.

The protocol's names are confined to this module, to `quillstep.config.start_settings` for the settings of a start, and
to `quillstep.simulator.output` for replies.  Times are microseconds in the protocol and milliseconds in the code.
"""

from typing import NamedTuple

from quillstep.config.start_settings import (
    Fields,
    planner_config_from_start,
    read_flag,
    read_integer,
    read_milliseconds,
    read_number,
)
from quillstep.errors import QuillstepError
from quillstep.planner.messages import (
    DownstreamStats,
    EndpointEntry,
    HealthCheckResult,
    PlannerConfig,
    ProxyStreamEvent,
    UpstreamStats,
)

# Names of the lines that this program handles.
BATCH_START = "turn"
BATCH_END = "over_to_you"
START = "start"
STOP = "stop"
ENDPOINT_LIST = "manifest"
ENDPOINT_ENTRY = "item"
ENDPOINT_LIST_UPDATE = "membership"
HEALTH_CHECK_RESULT = "health"
PROXY_JOINED = "joined"
PROXY_LEFT = "disconnected"
UPSTREAM_STATS = "observed"
DOWNSTREAM_STATS = "traffic"
ACK = "applied"

REQUIRED_FIELDS: dict[str, tuple[str, ...]] = {
    BATCH_START: ("atTime",),
    BATCH_END: (),
    START: ("i", "randomSeed"),
    STOP: ("i",),
    ENDPOINT_LIST: ("bank", "membersList"),
    ENDPOINT_ENTRY: ("endpoint", "regionPart", "availability", "part"),
    ENDPOINT_LIST_UPDATE: ("i", "mode"),
    HEALTH_CHECK_RESULT: ("i", "endpoint", "disposition"),
    PROXY_JOINED: ("i", "agent", "regionPart"),
    PROXY_LEFT: ("i", "agent"),
    UPSTREAM_STATS: ("i", "endpoint", "many", "errors"),
    DOWNSTREAM_STATS: ("i", "service", "many", "agent"),
    ACK: ("i", "serial", "agent"),
    # These only trigger a control interval of their instance.
    "timer": ("i", "cookie"),
    "heard": ("i",),
    "weight_seen": ("i", "mapId"),
    "assigned_to_me": ("i", "mapId"),
    "held": ("i", "mapId", "endpoint"),
}
HEALTHY = "done"


class MalformedLineError(QuillstepError, ValueError):
    """A line that violates the protocol, or is out of order."""


class Line(NamedTuple):
    """One line of the protocol: its name, and its fields as text."""

    name: str
    fields: Fields


class ListAnnouncement(NamedTuple):
    """The start of a numbered endpoint list, whose entries follow one per line."""

    number: int
    entries: int


class ListReference(NamedTuple):
    """An endpoint list update of an instance; `number` refers to the list that holds its entries."""

    kind: str
    number: int


def parse_line(text: str) -> Line:
    """Splits a line into its name and fields.

    Raises:
        MalformedLineError: The name is unknown, a part is not a `name=value` pair, or a required field is missing.
    """
    name, *parts = text.split(" ")
    if name not in REQUIRED_FIELDS:
        raise MalformedLineError(f"unknown line name {name!r}")
    fields = {}
    for part in parts:
        key, equals, value = part.partition("=")
        if not equals or not key:
            raise MalformedLineError(f"expected a name=value pair, got {part!r}")
        fields[key] = value
    for key in REQUIRED_FIELDS[name]:
        if key not in fields:
            raise MalformedLineError(f"missing field {key!r} of {name!r}")
    return Line(name, fields)


# Each of the following functions raises `InvalidFieldError` if a value is invalid.


def batch_time_ms(fields: Fields) -> float:
    """Returns the time of a batch, in milliseconds."""
    return read_milliseconds(fields, "atTime")


def instance_name(fields: Fields) -> str:
    """Returns the name of the instance that a line belongs to."""
    return fields["i"]


def start_config(fields: Fields) -> tuple[PlannerConfig, list[str]]:
    """Returns the planner's configuration at a start, and the names of the classes in order of their indexes."""
    return planner_config_from_start(fields)


def start_seed(fields: Fields) -> int:
    """Returns the random seed of an instance."""
    return read_integer(fields, "randomSeed")


def list_announcement(fields: Fields) -> ListAnnouncement:
    """Returns the number of an endpoint list, and how many entries it has."""
    entries = read_integer(fields, "membersList")
    if entries < 0:
        raise MalformedLineError(f"membersList={entries} is negative")
    return ListAnnouncement(read_integer(fields, "bank"), entries)


def endpoint_entry(fields: Fields) -> EndpointEntry:
    """Returns one endpoint of a list."""
    return EndpointEntry(
        read_integer(fields, "endpoint"),
        fields["regionPart"],
        fields["availability"],
        read_number(fields, "part", 1.0),
        read_milliseconds(fields, "upSince"),
    )


def list_reference(fields: Fields) -> ListReference:
    """Returns the kind of an endpoint list update, and the number of its list."""
    return ListReference(fields["mode"].lower(), read_integer(fields, "bank"))


def proxy_joined(fields: Fields) -> ProxyStreamEvent:
    """Returns the event of a proxy's stream that was opened."""
    expected_requests_per_s, is_fresh = read_number(fields, "part"), read_flag(fields, "active")
    proxy = read_integer(fields, "agent")
    return ProxyStreamEvent(proxy, True, fields["regionPart"], expected_requests_per_s, is_fresh)


def proxy_left(fields: Fields) -> ProxyStreamEvent:
    """Returns the event of a proxy's stream that was closed."""
    return ProxyStreamEvent(read_integer(fields, "agent"), False)


def upstream_stats(fields: Fields) -> UpstreamStats:
    """Returns the outcomes of the proxies' attempts at an endpoint."""
    return UpstreamStats(
        read_integer(fields, "endpoint"),
        read_integer(fields, "many"),
        read_integer(fields, "errors"),
        read_milliseconds(fields, "timeTaken"),
        read_milliseconds(fields, "covers"),
        load_report(fields),
    )


def downstream_stats(fields: Fields, class_indexes: dict[str, int]) -> DownstreamStats:
    """Returns the requests of one class that a proxy received.

    Raises:
        MalformedLineError: The class is not one of the instance's classes.
    """
    class_index = class_indexes.get(fields["service"])
    if class_index is None:
        raise MalformedLineError(f"unknown class service={fields['service']!r}")
    return DownstreamStats(
        class_index,
        read_integer(fields, "agent"),
        read_integer(fields, "many"),
        read_integer(fields, "errors"),
        read_milliseconds(fields, "covers"),
    )


def health_check_result(fields: Fields) -> HealthCheckResult:
    """Returns the outcome of a health check."""
    return HealthCheckResult(
        read_integer(fields, "endpoint"),
        fields["disposition"] == HEALTHY,
        read_milliseconds(fields, "timeTaken"),
        load_report(fields),
    )


def ack_serial(fields: Fields) -> int:
    """Returns the serial of an ack."""
    return read_integer(fields, "serial")


def load_report(fields: Fields) -> dict[str, float]:
    """Returns a load report by metric name, from comma-separated `name:value` pairs."""
    pairs = dict(part.partition(":")[::2] for part in fields.get("gauge", "").split(",") if part)
    return {metric: read_number(pairs, metric) for metric in pairs}
