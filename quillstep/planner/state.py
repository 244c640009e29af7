"""The planner's state between control intervals: endpoints, joined proxies, classes and recent changes.

`FleetState` applies the observations; the other modules of this package read it, and update the learned and published
values of its records.  Times are milliseconds of the caller's clock.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from quillstep.planner.messages import (
    ClassConfig,
    DownstreamStats,
    EndpointEntry,
    EndpointId,
    EndpointListUpdate,
    HealthCheckResult,
    PlannerConfig,
    ProxyStreamEvent,
    UpstreamStats,
)

CONTROL_INTERVAL_MS = 1000.0
SETTLING_INTERVALS = 5  # time until reports reflect a proxy that joined or left
SHARED_TABLE = 0  # calendar of the classes that may leave their zone; the zones' tables follow
REQUEST_RATE_RETENTION = 0.7  # weight of the previous smoothed rate after one control interval

NO_RETRY = 0
RETRY_IF_NOT_STARTED = 1  # one retry, if the attempt provably did not start
RETRY_ANY_FAILURE = 2  # one retry, after any failure
MAX_PROXY_STALL_OBJECTIVES = 2.5  # longest proxy stall between two attempts, in latency objectives


class CalendarTable(NamedTuple):
    """One table that holds a calendar; a zone's table lists only that zone's endpoints."""

    number: int
    zone: str | None
    classes: list[int]


class PublishedAdmission(NamedTuple):
    """The limit and retry policy of a class that were last published for a table."""

    limit: float
    retry_policy: int


@dataclass(slots=True)
class EndpointState:
    """One endpoint: its listed, observed, learned and published values."""

    zone: str
    is_in_service: bool
    listed_weight: float
    started_ms: float
    # Observed since the last control interval.
    reported_load: float | None = None  # newest load report
    attempts: float = 0
    failures: float = 0
    total_success_ms: float = 0.0
    # Learned.
    q_value: float | None = None  # None until a load has been reported
    q_updated_ms: float | None = None
    utilization: float | None = None  # smoothed; failing attempts count as load
    goodput_per_s: float = 0.0  # completed attempts, smoothed
    failures_since_success: float = 0
    failed_health_checks: int = 0  # consecutive
    passed_health_checks: int = 0  # consecutive
    is_outlier: bool = False
    # Published.
    published_slots: dict[int, int] = field(default_factory=dict)  # by table number
    is_ejected: bool = False  # ejected from all tables of the proxies
    delisted_ms: float | None = None  # when it left the endpoint list, or was listed as terminated
    left_service_ms: float | None = None  # since when it has been draining or gone; the drain grace runs from then on

    def record_service(self, now_ms: float) -> None:
        """Records since when the endpoint has not been in service; called after each change of `is_in_service`."""
        if self.is_in_service:
            self.left_service_ms = None
        elif self.left_service_ms is None:
            self.left_service_ms = now_ms

    @property
    def awaits_ejection(self) -> bool:
        """Whether the endpoint is draining or gone, and its ejection has not been published."""
        return not self.is_in_service and not self.is_ejected


@dataclass(slots=True)
class JoinedProxy:
    """A proxy with an open stream, and the requests per second of each class that it receives."""

    zone: str
    request_rates: list[float]
    joined_ms: float
    subsets: list[list[EndpointId]] = field(default_factory=list)  # endpoints of each assigned subset
    has_calendar: bool = False
    has_had_calendar: bool = False  # since it joined; no other controller's tables are in use there any more
    has_reported: bool = False


@dataclass(slots=True)
class ClassState:
    """One class: its admission limit and retry policy, and their published values."""

    normal_retry_policy: int  # without load, and with no recent joins or leaves
    priority_per_work: float  # priority weight per millisecond of the latency objective
    retry_policy: int = RETRY_IF_NOT_STARTED
    admission_limit: float = 1.0
    smoothed_admitted_share: float = 1.0
    published: dict[int, PublishedAdmission] = field(default_factory=dict)  # by table number


class FleetState:
    """The endpoints, proxies and classes of one planner, from one start to the next.

    Attributes:
        tables: The calendar tables, derived from the configuration.
        ejections_reach_all: Each ejection is sent to all proxies, not only to those whose tables list the endpoint.
        has_urgent_change: A change must be published before the next control interval is due.
        must_watch_again: Discovery reported an error; the watch is requested again when the next interval is due.
        last_proxy_change_ms: When a proxy left, or joined while it held another controller's updates.
        last_migration_ms: When a proxy last joined while it held another controller's updates.
    """

    def __init__(self, config: PlannerConfig, ejections_reach_all: bool = False) -> None:
        self.config, self.ejections_reach_all = config, ejections_reach_all
        self.endpoints: dict[EndpointId, EndpointState] = {}
        self.proxies: dict[int, JoinedProxy] = {}
        self.classes = [class_state(row, config) for row in config.classes]
        self.tables = calendar_tables(config)
        self.has_urgent_change = False
        self.must_watch_again = False
        self.now_ms = 0.0  # time of the present control interval
        self.last_proxy_change_ms = self.last_migration_ms = float("-inf")

    def apply_endpoint_list(self, update: EndpointListUpdate, now_ms: float) -> None:
        """Applies a complete endpoint list or a change to it."""
        if update.kind == "error":
            # Not requested again at once: discovery may have failed because it is overloaded.
            self.must_watch_again = True
            return
        if update.kind != "partial":
            self._delist_all_but({entry.endpoint for entry in update.entries}, now_ms)
        for entry in update.entries:
            self._apply_entry(entry, now_ms)

    def _delist_all_but(self, listed: set[EndpointId], now_ms: float) -> None:
        for endpoint, state in self.endpoints.items():
            if endpoint not in listed and state.delisted_ms is None:
                self.has_urgent_change |= state.is_in_service
                state.is_in_service, state.delisted_ms = False, now_ms
                state.record_service(now_ms)

    def _apply_entry(self, entry: EndpointEntry, now_ms: float) -> None:
        state = self.endpoints.get(entry.endpoint)
        if state is None or entry.started_ms > state.started_ms:
            state = self._restarted(entry, state)
            self.endpoints[entry.endpoint] = state
        is_in_service = entry.state == "in_service"
        self.has_urgent_change |= state.is_in_service and not is_in_service
        state.is_in_service, state.listed_weight = is_in_service, entry.weight
        state.delisted_ms = now_ms if entry.state == "terminated" else None
        state.record_service(now_ms)

    def _restarted(self, entry: EndpointEntry, before: EndpointState | None) -> EndpointState:
        """Returns the state of an endpoint that was added or restarted.

        The published values carry over, and the goodput, which late reports are part of.
        """
        state = EndpointState(entry.zone, False, entry.weight, entry.started_ms)
        if before is not None:
            state.is_in_service = bool(before.published_slots)
            state.published_slots, state.is_ejected = before.published_slots, before.is_ejected
            state.goodput_per_s = before.goodput_per_s
        self.has_urgent_change |= bool(state.published_slots) and not state.is_ejected
        return state

    def apply_proxy_stream(self, event: ProxyStreamEvent, now_ms: float) -> None:
        """Adds a proxy that joined or removes one that left; state is reset when a proxy joins again."""
        if self.proxies.pop(event.proxy, None):
            self.last_proxy_change_ms = now_ms
        if event.is_open:
            expected = event.expected_requests_per_s / max(1, len(self.classes))
            self.proxies[event.proxy] = JoinedProxy(event.zone, [expected] * len(self.classes), now_ms)
            if not event.is_fresh:
                self.last_migration_ms = self.last_proxy_change_ms = now_ms
                self.has_urgent_change = True

    def apply_upstream_stats(self, rows: Iterable[UpstreamStats]) -> None:
        """Adds up the outcomes of attempts at each endpoint."""
        for stats in rows:
            state = self.endpoints.get(stats.endpoint)
            if state is None:
                continue
            state.attempts += stats.attempts
            state.failures += stats.failures
            if stats.failures >= stats.attempts:
                state.failures_since_success += stats.failures
            else:
                state.failures_since_success = 0
            state.total_success_ms += stats.mean_success_ms * (stats.attempts - stats.failures)
            state.reported_load = stats.load.get("util", state.reported_load)

    def apply_health_checks(self, results: Iterable[HealthCheckResult]) -> None:
        """Counts the outcomes of health checks, and applies their load reports.

        A failed check counts as full load: an overloaded endpoint that stops responding must not keep its last, lower
        load.
        """
        for result in results:
            state = self.endpoints.get(result.endpoint)
            if state is None:
                continue
            if result.is_healthy:
                state.reported_load = result.load.get("util", state.reported_load)
                state.failed_health_checks = 0
                state.passed_health_checks += 1
            else:
                state.reported_load = 1.0
                state.failed_health_checks += 1
                state.passed_health_checks = 0

    def apply_downstream_stats(self, rows: Iterable[DownstreamStats]) -> None:
        """Smooths the request rate of each proxy and class, weighted by the window that each report covers."""
        for stats in rows:
            proxy, window_ms = self.proxies.get(stats.proxy), stats.window_ms
            if proxy is None or window_ms <= 0:
                continue
            step = 1.0 - REQUEST_RATE_RETENTION ** (window_ms / CONTROL_INTERVAL_MS)
            proxy.has_reported = True
            rates, index = proxy.request_rates, stats.class_index
            rates[index] += step * (stats.requests * 1000.0 / window_ms - rates[index])

    def request_rates(self) -> list[float]:
        """Returns requests per second by class, over all joined proxies."""
        proxies = self.proxies.values()
        return [sum(proxy.request_rates[index] for proxy in proxies) for index in range(len(self.classes))]

    def ejected_endpoints(self) -> set[EndpointId]:
        """Returns the endpoints whose ejection has been published."""
        return {endpoint for endpoint, state in self.endpoints.items() if state.is_ejected}

    def all_proxies_have_calendar(self) -> bool:
        """Whether all joined proxies have been assigned the calendar."""
        return all(proxy.has_calendar for proxy in self.proxies.values())

    def uses_other_tables(self) -> bool:
        """Whether a joined proxy may still use tables that this planner did not assign."""
        return not all(proxy.has_had_calendar for proxy in self.proxies.values())

    def has_recent_migration(self, now_ms: float) -> bool:
        """Whether a proxy migrated from another controller so recently that reports do not reflect it yet."""
        return now_ms - self.last_migration_ms < SETTLING_INTERVALS * CONTROL_INTERVAL_MS

    def is_settling(self, now_ms: float) -> bool:
        """Whether proxies joined or left so recently that reports do not reflect it yet."""
        return now_ms - self.last_proxy_change_ms < SETTLING_INTERVALS * CONTROL_INTERVAL_MS


def class_state(row: ClassConfig, config: PlannerConfig) -> ClassState:
    """Returns the initial state of a class, with the retry policy that its semantics allow without overload."""
    priority_per_work = row.priority_weight / max(row.latency_objective_ms, 1.0)
    return ClassState(_normal_retry_policy(row, config), priority_per_work)


def _normal_retry_policy(row: ClassConfig, config: PlannerConfig) -> int:
    """Allows retries after any failure only if a repeat is safe, or is recognised wherever and whenever it arrives."""
    # A repeat may be delayed by the timeout of the first attempt, a stall of the proxy and a delayed update.
    longest_repeat_ms = (
        config.attempt_timeout_factor + MAX_PROXY_STALL_OBJECTIVES
    ) * row.latency_objective_ms + config.max_update_delay_ms
    is_key_shared = row.idempotency_scope == "all" or (row.idempotency_scope == "zone" and row.home_zone_only)
    is_idempotent = row.semantics == "keyed" and is_key_shared and row.idempotency_window_ms >= longest_repeat_ms
    return RETRY_ANY_FAILURE if row.semantics == "safe" or is_idempotent else RETRY_IF_NOT_STARTED


def calendar_tables(config: PlannerConfig) -> list[CalendarTable]:
    """Returns a shared table, and a table per zone for the classes that may not leave their zone."""
    home_classes = [index for index, row in enumerate(config.classes) if row.home_zone_only]
    shared_classes = [index for index, row in enumerate(config.classes) if not row.home_zone_only]
    tables = []
    if shared_classes:
        tables.append(CalendarTable(SHARED_TABLE, None, shared_classes))
    if home_classes:
        for number, zone in enumerate(config.zones, SHARED_TABLE + 1):
            tables.append(CalendarTable(number, zone, home_classes))
    return tables
