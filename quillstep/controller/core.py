"""The controller without I/O: handles events, runs control intervals, and passes updates to tables and update channel.

Time is an argument, so the same core runs in real time on sockets and in virtual time in a replay.
"""

from collections.abc import Callable, Mapping
from functools import partial
from typing import Any

import structlog

from quillstep.config.controller import ControllerSettings
from quillstep.config.planner_config import planner_config
from quillstep.controller.baselines import EvenPlanner, ListedWeightPlanner
from quillstep.controller.control_intervals import ControlIntervals
from quillstep.controller.decision_log import DecisionLog
from quillstep.controller.endpoint_directory import EndpointDirectory
from quillstep.controller.events import EndpointListReceived
from quillstep.controller.output import CoreOutput, RecordingOutput
from quillstep.controller.proxy_registry import ProxyFrontInterface, ProxyRegistry
from quillstep.controller.report_intake import ReportIntake
from quillstep.controller.table_operations import TableOperations
from quillstep.controller.update_channel import UpdateChannel
from quillstep.controller.update_release import UpdateRelease
from quillstep.load_reports.summary import ReportSummary
from quillstep.load_reports.validation import LoadReport
from quillstep.planner.messages import EndpointListUpdate, HealthCheckResult, Observations, ProxyStreamEvent
from quillstep.planner.planner import Planner
from quillstep.routing import Key, Tables
from quillstep.routing.ack_latency import MAX_STALL_SHARE
from quillstep.routing.resources import table_number_offset
from quillstep.routing.retry_policies import RetryPolicies, max_retry_policy
from quillstep.routing.rollout_gate import RolloutGate
from quillstep.routing.versioned_tables import VersionedTables
from quillstep.routing.versions import TableVersion
from quillstep.store.events import OperatorRequest, StoreEvent, StoreOpened, StoreUnavailable, UpdatesStored

PLANNERS: dict[str, Callable[..., Any]] = {
    "learnt": partial(Planner, ejections_reach_all=True),
    "even": EvenPlanner,
    "listed": ListedWeightPlanner,
}
MAX_REVISION_TIMES = 4096
MIN_CATCH_UP_INTERVAL_MS = 200.0  # minimum time between catch-up updates where the message rate has no limit
CATCH_UP_SHARE = 0.5  # catch-up updates may fill the channel's queue up to this share of its limit


class ControllerCore:
    """Runs the planner on the observations of each control interval, and applies its output to the proxies' tables.

    Attributes:
        settings: The controller's settings.
        planner: The planner, or a baseline that replaces it.
        tables: For each proxy, the tables that it should hold, that it was sent, and that it has acknowledged.
        versioned_tables: Versions of the tables; the planner writes to these, and they update `tables`.
        channel: Updates queued for sending.
        release: Updates that have left the channel and wait until they are durable.
        reports: Load reports of proxies.
        operations: Recovery, pins and rollbacks.
        endpoints: Endpoints that discovery lists.
        proxies: Joined proxies.
        new_versions: Versions that took effect since the last submission to the store.
        health_check_requests: Endpoints to check, each with its address.
        recorded_output: The planner's output in the last control interval; None if it is not recorded.
    """

    def __init__(self, settings: ControllerSettings) -> None:
        self.settings = settings
        self.log = structlog.get_logger("controller")
        self.planner = PLANNERS[settings.planner_kind](planner_config(settings.fleet), settings.seed)
        self.control_intervals: ControlIntervals[Any] = ControlIntervals(self.planner, settings.batch_window_ms)
        self.decision_log = DecisionLog(self.planner) if isinstance(self.planner, Planner) else None
        self._set_up_tables()
        self.channel = UpdateChannel(settings.fleet.channel.lines_per_s)
        self.release = UpdateRelease(bool(settings.store.folder), settings.store.max_durability_wait_ms)
        self.reports = ReportIntake(settings)
        self.operations = TableOperations(self.versioned_tables, settings.store, self.table_offset, self.log)
        rules = settings.fleet.rules
        self.endpoints = EndpointDirectory(rules.initial_capacity, rules.warm_up_ms)
        self.proxies = ProxyRegistry()
        self.health_check_requests: list[tuple[int, str, int]] = []
        self.recorded_output: list[list[Any]] | None = None
        self.now_ms = 0.0
        self._next_catch_up_ms = 0.0
        self._revision_times_ms: dict[int, float] = {}

    def _set_up_tables(self) -> None:
        fleet, gate = self.settings.fleet, self.settings.gate
        classes, channel = fleet.classes, fleet.channel
        self.retry_policies = RetryPolicies(
            [max_retry_policy(row.semantics) for row in classes], [row.deadline_ms for row in classes]
        )
        stall_ms = 0.0
        if self.settings.limits.splits_updates:
            stall_ms = MAX_STALL_SHARE * min(row.latency_objective_ms for row in classes)
        self.tables = Tables(
            fleet.proxies.admission,
            fleet.proxies.default_retry_policy,
            channel.lines_per_message,
            retry_policies=self.retry_policies,
            max_ack_delay_ms=channel.max_ack_delay_ms,
            max_stall_ms=stall_ms,
            max_messages=channel.max_messages,
            message_window_ms=channel.message_window_ms,
        )
        rollout_gate = None
        if gate.enabled:
            rollout_gate = RolloutGate(gate.max_moved_share, gate.move_window_ms, self.retry_policies.allowed)
        self.new_versions: list[TableVersion] = []
        on_version = self.new_versions.append if self.settings.store.folder else _ignore_version
        self.versioned_tables = VersionedTables(self.tables, rollout_gate, on_version)
        self.table_offset = table_number_offset(fleet.zones, any(row.home_zone_only for row in classes))
        self.class_indexes = {row.name: index for index, row in enumerate(classes)}

    # Events

    @property
    def pending(self) -> Observations:
        """Observations for the next control interval."""
        return self.control_intervals.pending

    @property
    def completed_intervals(self) -> int:
        """Number of control intervals since the start."""
        return self.control_intervals.completed

    @property
    def endpoint_numbers(self) -> Mapping[tuple[str, int], int]:
        """Numbers of the listed endpoints, by address."""
        return self.endpoints.numbers

    def record_arrival(self, now_ms: float) -> None:
        """Makes a control interval due at the end of the batch window."""
        self.control_intervals.record_arrival(now_ms)

    def handle_endpoint_list(self, event: EndpointListReceived) -> None:
        """Applies an endpoint list that discovery sent."""
        self.endpoints.apply(event)
        if event.addresses:
            self.reports.add_endpoints(self.endpoints.numbers, event.addresses)
        self.pending.endpoint_lists.append(EndpointListUpdate(event.kind, event.entries))

    def add_proxy(
        self,
        node: str,
        zone: str,
        expected_requests_per_s: float,
        held: Mapping[Key, str],
        is_fresh: bool,
        front: ProxyFrontInterface | None = None,
        incarnation: str = "",
    ) -> int:
        """Adds a proxy that has joined through a front, and returns its number.

        Args:
            node: The proxy's name.
            zone: Its zone.
            expected_requests_per_s: The request rate that it usually receives.
            held: Versions of the resources that it holds.
            is_fresh: Whether it holds nothing from earlier updates.
            front: The front that serves it; a different front that served it before drops it.
            incarnation: The identifier that the proxy gave for this run of its process, if any.
        """
        proxy = self.proxies.add(node, zone, front, self.now_ms)
        self.tables.add_proxy(proxy, zone, held)
        self.retry_policies.add_proxy(proxy, is_fresh, self.settings.fleet.proxies.default_retry_policy)
        self.reports.add_proxy(proxy, node, zone, incarnation, self.now_ms)
        event = ProxyStreamEvent(proxy, True, zone, expected_requests_per_s, is_fresh)
        self.pending.proxy_streams.append(event)
        self.record_arrival(self.now_ms)
        return proxy

    def remove_proxy(self, proxy: int) -> None:
        """Removes a proxy that has left."""
        self.proxies.remove(proxy)
        self.tables.remove_proxy(proxy)
        self.channel.remove_proxy(proxy)
        self.reports.remove_proxy(proxy)
        self.pending.proxy_streams.append(ProxyStreamEvent(proxy, False))
        self.record_arrival(self.now_ms)

    def joined_number(self, node: str) -> int | None:
        """Returns the number of a joined proxy, or None."""
        return self.proxies.joined_number(node)

    def add_load_report(self, proxy: int, report: LoadReport) -> None:
        """Adds a load report of a joined proxy."""
        self.reports.add_report(proxy, self.proxies.zones[proxy], report, self.now_ms)

    def add_report_summary(self, summary: ReportSummary) -> None:
        """Adds a reader's summary of the load reports in one window."""
        self.reports.add_summary(summary, self.now_ms)

    def add_health_check(self, result: HealthCheckResult) -> None:
        """Adds the result of a health check to the observations."""
        self.pending.health_checks.append(result)
        self.record_arrival(self.now_ms)

    def handle_store_event(self, event: StoreEvent) -> None:
        """Handles an event of the store: its opening, newly durable updates, an operator's request, or its failure."""
        match event:
            case UpdatesStored(revision):
                self.release.record_durable(revision)
            case StoreUnavailable():
                self.release.record_store_lost()
            case StoreOpened():
                self.operations.recover(event, self.now_ms)
            case OperatorRequest():
                self.operations.execute(event)
                self._next_catch_up_ms = 0.0

    # Time

    def step(self, now_ms: float) -> None:
        """Releases updates, and runs a control interval if one is due; the caller then lets the fronts send."""
        self.now_ms = now_ms
        self.release.release_due(self.channel, self.tables, now_ms)
        self.reports.update(now_ms, self.log)
        if acks := self.tables.completed_acks():
            self.pending.acks += acks
            self.record_arrival(now_ms)
        if self.endpoints.has_list and self.due_ms() <= now_ms:
            self._run_interval(now_ms)
        if self.versioned_tables.recovery_expires_ms() <= now_ms:
            self.update_endpoint_states(now_ms)
        if self.versioned_tables.is_behind() and self._next_catch_up_ms <= now_ms:
            self._catch_up(now_ms)

    def _run_interval(self, now_ms: float) -> None:
        observations = self.control_intervals.start(now_ms)
        if stats := self.reports.drain_due(now_ms):
            observations.upstream_stats, downstream = stats
            observations.downstream_stats = [row for row in downstream if row.proxy in self.proxies.zones]
        self.tables.begin()
        self.update_endpoint_states(now_ms)
        self.endpoints.update_addresses(self.tables)
        self._revision_times_ms[self.tables.revision] = now_ms
        self._revision_times_ms.pop(self.tables.revision - MAX_REVISION_TIMES, None)
        if self.recorded_output is None:
            self.control_intervals.run(observations, CoreOutput(self))
        else:
            self.recorded_output = []
            self.control_intervals.run(observations, RecordingOutput(self, self.recorded_output))
        if self.decision_log:
            self.decision_log.record()
        self.versioned_tables.flush()
        updates = self.tables.commit()
        if self.tables.ack_serial is not None and isinstance(self.planner, Planner):
            self.planner.record_messages(len(updates))
        self.channel.put(updates, now_ms)
        self.operations.log_withheld(now_ms)

    def _catch_up(self, now_ms: float) -> None:
        """Sends changes that the rollout gate or an operator's command delayed, as far as the channel has room."""
        channel = self.settings.fleet.channel
        message_gap_ms = channel.message_window_ms / channel.max_messages if channel.max_messages else 0.0
        self._next_catch_up_ms = now_ms + max(MIN_CATCH_UP_INTERVAL_MS, message_gap_ms)
        self.update_endpoint_states(now_ms)
        self.tables.begin()
        self._revision_times_ms[self.tables.revision] = now_ms
        self.versioned_tables.catch_up(self._catch_up_lines())
        messages = len(self.tables.update_lines)
        if messages and isinstance(self.planner, Planner):
            self.planner.record_own_update(sum(self.tables.update_lines.values()), messages, CoreOutput(self))
        self.channel.put(self.tables.commit(), now_ms)
        self.operations.log_withheld(now_ms)

    def _catch_up_lines(self) -> float:
        """Returns how many lines of changes a catch-up update may have, over all proxies.

        The least change takes effect in an empty channel, however much of its limit the heads of messages take.
        """
        channel, proxies = self.settings.fleet.channel, len(self.proxies.zones)
        head_lines = channel.lines_per_message * proxies
        available_lines = CATCH_UP_SHARE * channel.max_queued_lines - self.channel.queued_lines - head_lines
        if self.channel.queue or available_lines >= proxies:
            return available_lines
        can_plan = not isinstance(self.planner, Planner) or self.planner.has_capacity_for(1)
        return float(proxies) if can_plan else 0.0

    def update_endpoint_states(self, now_ms: float) -> None:
        """Passes the endpoints' current states to the tables and the rollout gate."""
        self.endpoints.update_states(self.tables, self.versioned_tables, now_ms)

    def due_ms(self) -> float:
        """Returns when the next control interval is due; infinity before the first endpoint list."""
        if not self.endpoints.has_list:
            return float("inf")
        return min(self.control_intervals.due_ms(), self.reports.stats_due_ms())

    def next_ms(self) -> float:
        """Returns when `step` must be called next."""
        due_ms = min(self.due_ms(), self.channel.next_ms(), self.reports.next_ms(), self.release.due_ms())
        due_ms = min(due_ms, self.versioned_tables.recovery_expires_ms())
        if self.versioned_tables.is_behind():
            due_ms = min(due_ms, self._next_catch_up_ms)
        return due_ms

    def revision_time_ms(self, revision: int) -> float:
        """Returns when a revision of the tables was decided; the current time for one that is no longer known."""
        return self._revision_times_ms.get(revision, self.now_ms)


def _ignore_version(version: TableVersion) -> None:
    """Discards a version: without a store, versions are not recorded."""
