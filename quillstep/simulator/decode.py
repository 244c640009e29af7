"""Reads lines of the simulator's wire, and maps their names and units to the planner's messages.

The wire's names of lines and fields appear here alone (the settings of a start in `quillstep.config.start_settings`,
what is written in `quillstep.simulator.output`).  Times are microseconds on the wire and milliseconds in the code.
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

# The names of the lines that this program acts on.
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
    # Only give their instance a control interval.
    "timer": ("i", "cookie"),
    "heard": ("i",),
    "weight_seen": ("i", "mapId"),
    "assigned_to_me": ("i", "mapId"),
    "held": ("i", "mapId", "endpoint"),
}
HEALTHY = "done"


class MalformedLineError(QuillstepError, ValueError):
    """A line that is not as the wire has it, or out of order; the message says what is wrong."""


class Line(NamedTuple):
    """One line of the wire: its name, and its fields as text."""

    name: str
    fields: Fields


class ListAnnouncement(NamedTuple):
    """A numbered endpoint list, whose entries follow line by line."""

    number: int
    entries: int


class ListReference(NamedTuple):
    """An update of an instance's endpoint list, by the number of the list that holds its entries."""

    kind: str
    number: int


def parse_line(text: str) -> Line:
    """Splits a line into its name and fields.

    Raises:
        MalformedLineError: The name is not known, a part is not a pair, or a required field is missing.
    """
    name, *parts = text.split(" ")
    if name not in REQUIRED_FIELDS:
        raise MalformedLineError(f"its name {name!r} is not known")
    fields = {}
    for part in parts:
        key, equals, value = part.partition("=")
        if not equals or not key:
            raise MalformedLineError(f"{part!r} is not a name=value pair")
        fields[key] = value
    for key in REQUIRED_FIELDS[name]:
        if key not in fields:
            raise MalformedLineError(f"the field {key!r} of {name!r} is missing")
    return Line(name, fields)


# Each of these raises `InvalidFieldError` where a value can't be read.


def batch_time_ms(fields: Fields) -> float:
    """The clock of a batch."""
    return read_milliseconds(fields, "atTime")


def instance_name(fields: Fields) -> str:
    """The instance that a line is about."""
    return fields["i"]


def start_config(fields: Fields) -> tuple[PlannerConfig, list[str]]:
    """The planner's configuration at a start, and the names of the classes by their indexes."""
    return planner_config_from_start(fields)


def start_seed(fields: Fields) -> int:
    """The seed of an instance's random numbers."""
    return read_integer(fields, "randomSeed")


def list_announcement(fields: Fields) -> ListAnnouncement:
    """The number of an endpoint list, and of its entries."""
    return ListAnnouncement(read_integer(fields, "bank"), read_integer(fields, "membersList"))


def endpoint_entry(fields: Fields) -> EndpointEntry:
    """One endpoint of a list."""
    return EndpointEntry(
        read_integer(fields, "endpoint"),
        fields["regionPart"],
        fields["availability"],
        read_number(fields, "part", 1.0),
        read_milliseconds(fields, "upSince"),
    )


def list_reference(fields: Fields) -> ListReference:
    """The kind of an endpoint list update, and the number of its list."""
    return ListReference(fields["mode"].lower(), read_integer(fields, "bank"))


def proxy_joined(fields: Fields) -> ProxyStreamEvent:
    """A proxy's stream that was opened."""
    expected_requests_per_s, is_fresh = read_number(fields, "part"), read_flag(fields, "active")
    proxy = read_integer(fields, "agent")
    return ProxyStreamEvent(proxy, True, fields["regionPart"], expected_requests_per_s, is_fresh)


def proxy_left(fields: Fields) -> ProxyStreamEvent:
    """A proxy's stream that has ended."""
    return ProxyStreamEvent(read_integer(fields, "agent"), False)


def upstream_stats(fields: Fields) -> UpstreamStats:
    """What proxies met at an endpoint."""
    return UpstreamStats(
        read_integer(fields, "endpoint"),
        read_integer(fields, "many"),
        read_integer(fields, "errors"),
        read_milliseconds(fields, "timeTaken"),
        read_milliseconds(fields, "covers"),
        load_report(fields),
    )


def downstream_stats(fields: Fields, class_indexes: dict[str, int]) -> DownstreamStats:
    """What reached a proxy of one class.

    Raises:
        MalformedLineError: The class is not one of the start's.
    """
    class_index = class_indexes.get(fields["service"])
    if class_index is None:
        raise MalformedLineError(f"service={fields['service']!r} is no class of the settings")
    return DownstreamStats(
        class_index,
        read_integer(fields, "agent"),
        read_integer(fields, "many"),
        read_integer(fields, "errors"),
        read_milliseconds(fields, "covers"),
    )


def health_check_result(fields: Fields) -> HealthCheckResult:
    """The outcome of a health check."""
    return HealthCheckResult(
        read_integer(fields, "endpoint"),
        fields["disposition"] == HEALTHY,
        read_milliseconds(fields, "timeTaken"),
        load_report(fields),
    )


def ack_serial(fields: Fields) -> int:
    """The serial that an ack answers."""
    return read_integer(fields, "serial")


def load_report(fields: Fields) -> dict[str, float]:
    """A load report by metric; on the wire `name:value` pairs with commas between them."""
    pairs = dict(part.partition(":")[::2] for part in fields.get("gauge", "").split(",") if part)
    return {metric: read_number(pairs, metric) for metric in pairs}
