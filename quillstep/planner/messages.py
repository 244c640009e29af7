"""What a caller passes to the planner, and what the planner calls back.

Times are milliseconds with fractions, and ids are as the caller received them.  The caller makes one `Planner`
(see `quillstep.planner.planner`) at each start and calls its `run_interval` once with all that was observed since the
last call.  Statistics come in by the thousand a control interval, so they are slotted dataclasses, whose attributes are
read faster than those of named tuples.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, Literal, NamedTuple, Protocol

EndpointId = Any  # a number or a text
ListedState = Literal["in_service", "terminating", "terminated"]
EndpointListKind = Literal["partial", "complete", "persisted", "error"]


class ClassConfig(NamedTuple):
    """What the planner reads of one class of requests; its place in the list is its index."""

    latency_objective_ms: float
    priority_weight: float
    semantics: str  # safe, keyed (idempotent by a key) or unsafe
    idempotency_scope: str  # the endpoints that recognise a repeated key: all, zone or cell
    idempotency_window_ms: float  # how long they recognise it
    home_zone_only: bool


@dataclass(slots=True)
class PlannerConfig:
    """What holds from a start to the next; a figure that was not given is 0, empty or false."""

    classes: list[ClassConfig] = field(default_factory=list)
    zones: list[str] = field(default_factory=list)
    slices: int = 0
    watches_on_request: bool = False
    health_checks_allowed: bool = False
    load_from_health_checks: bool = False
    admission: str = "none"  # share, rate or none
    default_retry_policy: int = 0  # what proxies follow where none is assigned
    attempt_timeout_factor: float = 0.0  # of the latency objective, after which an attempt is retried
    local_ejection_failures: int = 0  # own failures in a row after which a proxy avoids an endpoint; 0: never
    initial_table_size: int = 0  # the most endpoints in the table that a proxy starts with
    report_interval_ms: float = 0.0
    channel_lines_per_s: float = 0.0
    lines_per_message: float = 0.0
    max_queued_lines: float = 0.0
    max_messages: int = 0  # to one proxy, within message_window_ms; 0: no limit
    message_window_ms: float = 0.0
    max_update_delay_ms: float = 0.0
    drain_grace_ms: float = 0.0
    initial_capacity: float = 0.0  # the share of its capacity that an endpoint has at its start
    warm_up_ms: float = 0.0
    overload_multiple: float = 0.0  # times its present capacity, beyond which a warming endpoint fails


class EndpointEntry(NamedTuple):
    """One endpoint of an endpoint list."""

    endpoint: EndpointId
    zone: str
    state: str  # a ListedState
    weight: float
    started_ms: float


class EndpointListUpdate(NamedTuple):
    """An endpoint list, or a change of it; `error` has no entries."""

    kind: str  # an EndpointListKind
    entries: list[EndpointEntry]


class ProxyStreamEvent(NamedTuple):
    """A proxy's stream was opened or has ended; the last three fields only mean something where it was opened."""

    proxy: int
    is_open: bool
    zone: str = ""
    expected_requests_per_s: float = 0.0
    is_fresh: bool = False  # it holds nothing from earlier updates


@dataclass(slots=True)
class UpstreamStats:
    """What proxies met at one endpoint."""

    endpoint: EndpointId
    attempts: float
    failures: float
    mean_success_ms: float
    window_ms: float
    load: dict[str, float]  # the load report by metric


@dataclass(slots=True)
class DownstreamStats:
    """What reached one proxy of one class."""

    class_index: int
    proxy: int
    requests: float
    unanswered: float
    window_ms: float


class HealthCheckResult(NamedTuple):
    """The outcome of one health check."""

    endpoint: EndpointId
    is_healthy: bool
    duration_ms: float
    load: dict[str, float]


@dataclass(slots=True)
class Observations:
    """All that came in for one planner since its last control interval, each kind in the order of its arrival."""

    now_ms: float
    endpoint_lists: list[EndpointListUpdate] = field(default_factory=list)
    proxy_streams: list[ProxyStreamEvent] = field(default_factory=list)
    upstream_stats: list[UpstreamStats] = field(default_factory=list)
    downstream_stats: list[DownstreamStats] = field(default_factory=list)
    health_checks: list[HealthCheckResult] = field(default_factory=list)
    acks: list[int] = field(default_factory=list)  # the serial of `PlannerOutput.request_ack`, once for each proxy


class PlannerOutput(Protocol):
    """Where the planner writes; what is written takes effect in the sequence written."""

    def set_weight(self, table: int, endpoint: EndpointId, weight: float) -> None:
        """Sets an endpoint's weight in a table; 0 removes it."""

    def set_ejected(self, endpoint: EndpointId, ejected: bool) -> None:
        """Keeps an endpoint out of all tables that joined proxies hold, whoever wrote them, or restores it."""

    def assign_table(self, proxy: int, table: int, classes: Iterable[int]) -> None:
        """Assigns a table to a joined proxy for these classes."""

    def set_admission(self, table: int, classes: Iterable[int], limit: float, retry_policy: int) -> None:
        """Sets what a table's proxies admit of these classes, and their retry policy."""

    def request_health_check(self, endpoint: EndpointId) -> None:
        """Requests one health check."""

    def request_ack(self, serial: int) -> None:
        """Asks each proxy that this interval's updates reach to acknowledge with this number once it holds them."""

    def watch_endpoints(self) -> None:
        """Requests the endpoint list's changes from now on."""

    def set_timer(self, token: int, at_ms: float) -> None:
        """Requests a control interval at this time."""

    def log_note(self, text: str) -> None:
        """Adds a line to the report."""
