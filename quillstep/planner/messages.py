"""The planner's inputs, and the output interface that it calls.

Times are milliseconds with fractions, and ids are as the caller received them.  The caller creates one `Planner`
(see `quillstep.planner.planner`) at each start and passes `run_interval` everything observed since the previous call.
A control interval delivers thousands of statistics, so they are slotted dataclasses: their attributes are read faster
than those of named tuples.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, Literal, NamedTuple, Protocol

EndpointId = Any  # an integer or a string
ListedState = Literal["in_service", "terminating", "terminated"]
EndpointListKind = Literal["partial", "complete", "persisted", "error"]


class ClassConfig(NamedTuple):
    """The settings of one class of requests; its position in the list is its index."""

    latency_objective_ms: float
    priority_weight: float
    semantics: str  # safe, keyed (idempotent by an idempotency key) or unsafe
    idempotency_scope: str  # the endpoints that recognise a repeated idempotency key: all, zone or cell
    idempotency_window_ms: float  # how long these endpoints recognise a repeated key
    home_zone_only: bool


@dataclass(slots=True)
class PlannerConfig:
    """The planner's settings from one start to the next; a setting that was not given is 0, empty or false."""

    classes: list[ClassConfig] = field(default_factory=list)
    zones: list[str] = field(default_factory=list)
    slices: int = 0
    watches_on_request: bool = False
    health_checks_allowed: bool = False
    load_from_health_checks: bool = False
    admission: str = "none"  # share, rate or none
    default_retry_policy: int = 0  # the proxies' retry policy until one is assigned
    attempt_timeout_factor: float = 0.0  # attempt timeout divided by the latency objective
    local_ejection_failures: int = 0  # consecutive failures after which a proxy avoids an endpoint; 0: never
    initial_table_size: int = 0  # maximum number of endpoints in a proxy's initial table
    report_interval_ms: float = 0.0
    channel_lines_per_s: float = 0.0
    lines_per_message: float = 0.0
    max_queued_lines: float = 0.0
    max_messages: int = 0  # maximum messages to one proxy per message_window_ms; 0: no limit
    message_window_ms: float = 0.0
    max_update_delay_ms: float = 0.0
    drain_grace_ms: float = 0.0
    initial_capacity: float = 0.0  # fraction of its capacity that an endpoint has at its start
    warm_up_ms: float = 0.0
    overload_multiple: float = 0.0  # load at which a warming endpoint fails, divided by its present capacity


class EndpointEntry(NamedTuple):
    """One endpoint of an endpoint list."""

    endpoint: EndpointId
    zone: str
    state: str  # a ListedState
    weight: float
    started_ms: float


class EndpointListUpdate(NamedTuple):
    """A complete endpoint list or a change to one; an update of kind `error` has no entries."""

    kind: str  # an EndpointListKind
    entries: list[EndpointEntry]


class ProxyStreamEvent(NamedTuple):
    """A proxy's stream was opened or closed; the last three fields apply only to a stream that was opened."""

    proxy: int
    is_open: bool
    zone: str = ""
    expected_requests_per_s: float = 0.0
    is_fresh: bool = False  # the proxy holds nothing from earlier updates


@dataclass(slots=True)
class UpstreamStats:
    """The outcomes of the proxies' attempts at one endpoint, and its load report."""

    endpoint: EndpointId
    attempts: float
    failures: float
    mean_success_ms: float
    window_ms: float
    load: dict[str, float]  # the load report: values by metric name


@dataclass(slots=True)
class DownstreamStats:
    """The requests of one class that one proxy received."""

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
    """Everything observed for one planner since its last control interval, each kind in order of arrival."""

    now_ms: float
    endpoint_lists: list[EndpointListUpdate] = field(default_factory=list)
    proxy_streams: list[ProxyStreamEvent] = field(default_factory=list)
    upstream_stats: list[UpstreamStats] = field(default_factory=list)
    downstream_stats: list[DownstreamStats] = field(default_factory=list)
    health_checks: list[HealthCheckResult] = field(default_factory=list)
    acks: list[int] = field(default_factory=list)  # serials of `PlannerOutput.request_ack`, one per proxy and ack


class PlannerOutput(Protocol):
    """Receives the planner's updates, which take effect in the order of the calls."""

    def set_weight(self, table: int, endpoint: EndpointId, weight: float) -> None:
        """Sets an endpoint's weight in a table; 0 removes it."""

    def set_ejected(self, endpoint: EndpointId, ejected: bool) -> None:
        """Ejects an endpoint from all tables of joined proxies, whichever controller wrote them, or restores it."""

    def assign_table(self, proxy: int, table: int, classes: Iterable[int]) -> None:
        """Assigns a table to a joined proxy for the given classes."""

    def set_admission(self, table: int, classes: Iterable[int], limit: float, retry_policy: int) -> None:
        """Sets the admission limit and the retry policy of the given classes for the proxies that use a table."""

    def request_health_check(self, endpoint: EndpointId) -> None:
        """Requests one health check of an endpoint."""

    def request_ack(self, serial: int) -> None:
        """Requests an ack with this serial from each proxy that receives updates of this interval."""

    def watch_endpoints(self) -> None:
        """Requests a watch of the endpoint list."""

    def set_timer(self, token: int, at_ms: float) -> None:
        """Requests a control interval at the given time; the token identifies the timer."""

    def log_note(self, text: str) -> None:
        """Adds a line of text to the report."""
