"""The pilot without I/O: news in, rounds of the module, orders into tables and channel.  Time is an argument.

The same core runs on sockets in real time and wherever else news and a clock are passed in.
"""

from collections import deque
from collections.abc import Iterable
from typing import Any

import structlog

from quillstep.config.controller import ControllerSettings
from quillstep.config.planner_config import planner_config
from quillstep.controller.baselines import EvenPlanner, ListedPlanner
from quillstep.controller.control_intervals import ControlIntervals
from quillstep.controller.events import EndpointListReceived
from quillstep.controller.plain_stats import PlainStats
from quillstep.controller.update_channel import UpdateChannel
from quillstep.load_reports.aggregator import ReportAggregator
from quillstep.load_reports.collector import DRAIN_INTERVAL_PERIODS, ReportCollector
from quillstep.load_reports.messages import AddEndpoints, MembershipChange, ProxyJoined, ProxyLeft, ReportRequest
from quillstep.load_reports.readers.connections import log_warnings
from quillstep.load_reports.summary import ReportSummary
from quillstep.load_reports.validation import LoadReport, ReportAccount
from quillstep.planner.messages import (
    EndpointListUpdate,
    HealthCheckResult,
    Observations,
    ProxyStreamEvent,
)
from quillstep.planner.planner import Planner
from quillstep.routing import ProxyUpdate, Tables
from quillstep.routing.ack_latency import MAX_STALL_SHARE
from quillstep.routing.recovery import recovery_trust_ms
from quillstep.routing.resources import table_number_offset
from quillstep.routing.retry_policies import RetryPolicies, max_retry_policy
from quillstep.routing.rollout_gate import RolloutGate
from quillstep.routing.versioned_tables import VersionedTables
from quillstep.routing.versions import TableVersion, version_from_row
from quillstep.store.events import OperatorRequest, StoreEvent, StoreLost, StoreOpened, UpdatesStored

PLANNERS: dict[str, Any] = {"learnt": Planner, "even": EvenPlanner, "listed": ListedPlanner}
ORDERS_KEPT = 4096  # whose times are remembered
URGENT_KEPT = 256  # orders with an endpoint to keep out
CATCH_UP_MS = 200.0  # between two orders of the book's own, where messages have no limit
CATCH_UP_PART = 0.5  # of the channel's limit that these may fill
HELD_AGAIN_MS = 10000.0  # between two lines of the log on the same thing


def forget(version: TableVersion) -> None:
    """There is no store."""


class ControllerCore:
    """Gathers news, calls the module once a round with all of it, and lets pushes leave the channel."""

    def __init__(self, record: ControllerSettings) -> None:
        self.record = record
        self.facts = planner_config(record.fleet)
        channel, proxies = record.fleet.channel, record.fleet.proxies
        self.planner = PLANNERS[record.planner_kind](self.facts, record.seed)
        self.control_intervals = ControlIntervals(self.planner, record.batch_window_ms)
        classes = record.fleet.classes
        self.ways = RetryPolicies(
            [max_retry_policy(row.semantics) for row in classes], [row.deadline_ms for row in classes]
        )
        stall_ms = (
            MAX_STALL_SHARE * min(row.latency_objective_ms for row in classes) if record.limits.splits_updates else 0.0
        )
        self.tables = Tables(
            proxies.admission, proxies.default_retry_policy, channel.lines_per_message, retry_policies=self.ways,
            max_ack_delay_ms=channel.max_ack_delay_ms, stall_ms=stall_ms,
            max_messages=channel.max_messages, message_window_ms=channel.message_window_ms,
        )  # fmt: skip
        knobs = record.gate
        gate = RolloutGate(knobs.max_moved_share, knobs.move_window_ms, self.ways.allowed) if knobs.enabled else None
        self.versions: list[TableVersion] = []  # that have come to stand, and are to be stored
        self.book = VersionedTables(self.tables, gate, self.versions.append if record.store.folder else forget)
        self.granted: list[tuple[str, str, list[TableVersion]]] = []  # operators' wishes: key, kind, versions or tables
        self.durable = 0.0 if record.store.folder else float("inf")  # orders up to this one are stored
        self.unstored: deque[tuple[ProxyUpdate, float]] = (
            deque()
        )  # pushes that have left the channel and wait for the store
        self.urgent: deque[int] = deque(maxlen=URGENT_KEPT)  # orders that wait for no store
        self.late_stores = 0  # pushes that left before they were durable
        self.catch_up_ms = 0.0  # when tables that wait are looked at next
        self.told_held: dict[tuple[int, str, int, int], float] = {}  # what the gate kept, and when it was told
        self.terms = table_number_offset(record.fleet.zones, any(row.home_zone_only for row in classes))
        self.started: dict[int, float] = {}  # when each listed endpoint started, 0: long ago
        self.channel = UpdateChannel(channel.lines_per_s)
        self.plain = PlainStats(DRAIN_INTERVAL_PERIODS * proxies.report_interval_ms)
        self.intake = ReportCollector(record)
        self.by_inbox = record.reports.by == "inbox"
        self.gatherer = ReportAggregator(
            record.reports, record.fleet
        )  # of reports that come with the news, as files do
        self.asked: list[ReportRequest] = []  # what proxies are to be asked for
        self.moves: list[MembershipChange] = []  # what other gatherers are to be told: joins, leaves, addresses
        self.places = {row.name: place for place, row in enumerate(record.fleet.classes)}
        self.numbers: dict[str, int] = {}  # proxies by node name
        self.zones: dict[int, str] = {}  # of joined proxies
        self.fronts: dict[int, Any] = {}  # who carries to each joined proxy
        self.endpoints: dict[tuple[str, int], int] = {}  # by address
        self.states: dict[int, str] = {}
        self.listed = False  # the roster has spoken
        self.ordered: dict[int, float] = {}
        self.probes: list[tuple[int, str, int]] = []  # to be asked: endpoint and address
        self.placed: list[tuple[int, str, int]] = []
        self.now_ms = 0.0
        self.orders: list[list[Any]] | None = None  # of the last round, where somebody wants them kept
        self.log = structlog.get_logger("pilot")

    # news

    @property
    def incoming(self) -> Observations:
        return self.control_intervals.pending

    @property
    def rounds(self) -> int:
        return self.control_intervals.completed

    def heard(self, now_ms: float) -> None:
        self.control_intervals.record_arrival(now_ms)

    def handle_endpoint_list(self, event: EndpointListReceived) -> None:
        """Take in an answer of endpoint discovery."""
        kind, entries, addresses = event
        for endpoint, (host, port) in addresses.items():
            self.endpoints[host, port] = endpoint
            self.placed.append((endpoint, host, port))
        if addresses:
            self.gatherer.add_endpoints(self.endpoints)
            self.moves.append(AddEndpoints([(host, port, number) for number, (host, port) in addresses.items()]))
        for entry in entries:
            self.states[entry.endpoint], self.started[entry.endpoint] = entry.state, entry.started_ms
        self.listed = self.listed or kind != "error"
        self.incoming.endpoint_lists.append(EndpointListUpdate(kind, entries))

    def join(
        self, node: str, zone: str, usual: float, held: dict, fresh: bool, front: Any = None, life: str = ""
    ) -> int:
        """A proxy is there by this front; one that another front had is dropped there first."""
        proxy = self.proxy_of(node)
        before = self.fronts.get(proxy) if proxy is not None else None
        if proxy is not None and before is not None and before is not front:
            before.drop(proxy, "it has moved to another front", self.now_ms)
        proxy = self.numbers.setdefault(node, len(self.numbers))
        self.zones[proxy] = zone
        self.fronts[proxy] = front
        self.tables.add_proxy(proxy, zone, held)
        self.ways.add_proxy(proxy, fresh, self.record.fleet.proxies.default_retry_policy)
        usual_ms = self.record.fleet.proxies.report_interval_ms
        self.gatherer.add_proxy(ReportAccount(proxy, zone, life, usual_ms, usual_ms), node)
        self.intake.add_proxy(proxy, self.now_ms)
        self.moves.append(ProxyJoined(node, proxy, zone, life))
        self.incoming.proxy_streams.append(ProxyStreamEvent(proxy, True, zone, usual, fresh))
        self.heard(self.now_ms)
        return proxy

    def leave(self, proxy: int) -> None:
        self.zones.pop(proxy, None)
        self.fronts.pop(proxy, None)
        self.tables.remove_proxy(proxy)
        self.channel.drop(proxy)
        node = self.gatherer.names[proxy]
        self.gatherer.remove_proxy(node)
        self.intake.remove_proxy(proxy)
        self.moves.append(ProxyLeft(node))
        self.incoming.proxy_streams.append(ProxyStreamEvent(proxy, False))
        self.heard(self.now_ms)

    def proxy_of(self, node: str) -> int | None:
        proxy = self.numbers.get(node)
        return proxy if proxy in self.zones else None

    def told(self, proxy: int, report: LoadReport) -> None:
        """A load report that came with the news."""
        if self.by_inbox:
            self.take_plain(proxy, report)
        else:
            self.gatherer.add_report(self.gatherer.names[proxy], report, self.now_ms, self.now_ms)

    def take_plain(self, proxy: int, report: LoadReport) -> None:
        """As the first pilot did: all of it, whatever it says."""
        for row in report.rows:
            load = {} if row.load is None else {"util": row.load}
            attempts = row.succeeded + row.failed
            self.plain.tried(self.zones[proxy], row.endpoint, attempts, row.failed, row.succeeded_ms, load)
        for arrivals in report.arrivals:
            self.plain.arrived(arrivals.class_index, proxy, arrivals.arrived, arrivals.unanswered, report.window_ms)

    def gathered(self, summary: ReportSummary) -> None:
        """What another gatherer hands over."""
        self.intake.add_summary(summary, self.now_ms)

    def probed(self, result: HealthCheckResult) -> None:
        self.incoming.health_checks.append(result)
        self.heard(self.now_ms)

    # time

    def step(self, now_ms: float) -> None:
        """Let pushes leave, and call the module if anything is due; the caller then has its fronts pump."""
        self.now_ms = now_ms
        self.let_go(now_ms)
        if self.gatherer.due_ms() <= now_ms:
            self.log_invalid_reports()
            self.intake.add_summary(self.gatherer.drain(now_ms), now_ms)
        self.ask(self.intake.plan_requests(now_ms) if not self.by_inbox else [])
        if receipts := self.tables.completed_acks():
            self.incoming.acks += receipts
            self.heard(now_ms)
        if self.listed and self.due_ms() <= now_ms:
            self.round(now_ms)
        if self.book.recovery_expires_ms() <= now_ms:
            self.look(now_ms)
        if self.book.is_behind() and self.catch_up_ms <= now_ms:
            self.catch_up(now_ms)

    def let_go(self, now_ms: float) -> None:
        """Release what has left the channel and is durable; drains and deaths wait for no disk, nothing waits long."""
        self.unstored.extend((push, now_ms) for push in self.channel.leave(now_ms))
        wait_ms = self.record.store.max_durability_wait_ms
        kept: deque[tuple[ProxyUpdate, float]] = deque()
        while self.unstored:
            push, since_ms = self.unstored.popleft()
            stored = push.revision <= self.durable or push.revision in self.urgent
            if not stored and now_ms < since_ms + wait_ms:
                kept.append((push, since_ms))
                continue
            if not stored:
                self.late_stores += 1
            self.tables.release(push.proxy, push.revision)
        self.unstored = kept

    def catch_up(self, now_ms: float) -> None:
        """An order of the book's own: what operators or the gate kept apart moves on, as the channel has room."""
        channel = self.record.fleet.channel
        gap_ms = channel.message_window_ms / channel.max_messages if channel.max_messages else 0.0
        self.catch_up_ms = now_ms + max(CATCH_UP_MS, gap_ms)
        room = CATCH_UP_PART * channel.max_queued_lines - self.channel.waiting
        self.look(now_ms)
        self.tables.begin()
        self.ordered[self.tables.revision] = now_ms
        self.book.catch_up(room - channel.lines_per_message * len(self.zones))
        self.channel.put(self.tables.commit(), now_ms)
        self.tell_held(now_ms)

    def look(self, now_ms: float) -> None:
        """What the book and the gate go by."""
        rules = self.record.fleet.rules
        warm_ms = rules.warm_up_ms
        self.tables.saturation.warming_up = {e: at for e, at in self.started.items() if at and now_ms - at < warm_ms}
        self.book.now_ms = now_ms
        self.book.endpoints.started_ms = self.started
        self.book.end_expired_recovery()
        self.book.endpoints.in_service = {endpoint for endpoint, state in self.states.items() if state == "in_service"}
        low = rules.initial_capacity
        self.book.endpoints.capacity_shares = {
            e: low + (1.0 - low) * max(0.0, now_ms - at) / warm_ms
            for e, at in self.tables.saturation.warming_up.items()
        }

    def tell_held(self, now_ms: float) -> None:
        """Say what the gate kept, each thing once in a while."""
        held, self.book.withheld = self.book.withheld, []
        for each in held:
            key = (each.table, each.rule, each.endpoint, each.class_index)
            if now_ms - self.told_held.get(key, float("-inf")) > HELD_AGAIN_MS:
                self.told_held[key] = now_ms
                self.log.warning("held by the gate", rule=each.rule, reason=each.reason, table=each.table - self.terms,
                                 endpoint=each.endpoint, place=each.class_index)  # fmt: skip

    def handle_store_event(self, event: StoreEvent) -> None:
        """What earlier incarnations left, what is durable, what operators request, that the store is lost."""
        match event:
            case UpdatesStored(number):
                self.durable = max(self.durable, number)
            case StoreLost():
                self.durable = float("inf")
            case StoreOpened():
                self.recover(event)
            case OperatorRequest():
                self.grant(event)

    def recover(self, event: StoreOpened) -> None:
        """Start from the versions and pins of earlier incarnations."""
        for row in event.versions:
            self.book.add_stored_version(version_from_row(row))
        knobs = self.record.store
        self.book.now_ms = self.now_ms
        self.book.recover(
            event.wall_ms, lambda age_ms: recovery_trust_ms(age_ms, knobs.recovery_trust_ms, knobs.max_recovery_age_ms)
        )
        for row, cause, operator in event.pins:
            version = version_from_row(row)._replace(cause=cause, operator=operator)
            self.book.pin(version)
            self.log.info(
                "table pinned", table=version.table - self.terms, version=version.name, by=operator, cause=cause
            )

    def grant(self, request: OperatorRequest) -> None:
        """Pin tables to versions from now on, or release them to the planner."""
        done = []
        for table, row in request.targets:
            if request.kind == "release":
                if self.book.release(table):
                    self.log.info("table released", table=table - self.terms, by=request.operator)
                done.append(TableVersion("", table, "", request.kind, request.operator, 0.0, 0, {}, {}))
            elif row:
                version = version_from_row(row)._replace(cause=request.kind, operator=request.operator)
                self.book.pin(version)
                self.log.info(
                    "table pinned", table=table - self.terms, version=version.name, by=request.operator,
                    cause=request.kind,
                )  # fmt: skip
                done.append(version)
        self.granted.append((request.key, request.kind, done))
        self.catch_up_ms = 0.0  # at once

    def ask(self, requests: list[ReportRequest]) -> None:
        for request in requests:
            self.gatherer.set_request(request)
        self.asked += requests

    def log_invalid_reports(self) -> None:
        """Logs what is wrong with whose reports."""
        log_warnings(self.log, self.gatherer.drain_warnings())
        for proxy in sorted(self.intake.bounded):
            name = self.gatherer.names.get(proxy, "")
            self.log.warning("invalid load report", proxy=name, reason="over its share of all traffic")
        self.intake.bounded.clear()

    def due_ms(self) -> float:
        """When the next round is due."""
        if not self.listed:
            return float("inf")
        return min(self.control_intervals.due_ms(), self.plain.due_ms(), self.intake.due_ms())

    def next_ms(self) -> float:
        """When `step` has something to do next."""
        due = min(self.due_ms(), self.channel.next_ms(), self.gatherer.due_ms())
        due = min(due, self.book.recovery_expires_ms())
        if self.book.is_behind():
            due = min(due, self.catch_up_ms)
        if self.unstored:
            due = min(due, self.unstored[0][1] + self.record.store.max_durability_wait_ms)
        return due if self.by_inbox else min(due, self.intake.plan_due_ms())

    def round(self, now_ms: float) -> None:
        incoming = self.control_intervals.start(now_ms)
        intake = self.plain if self.by_inbox else self.intake
        if intake.due_ms() <= now_ms:
            incoming.upstream_stats, incoming.downstream_stats = intake.drain(now_ms)
            incoming.downstream_stats = [row for row in incoming.downstream_stats if row.proxy in self.zones]
        self.tables.begin()
        self.look(now_ms)
        for endpoint, host, port in self.placed:
            self.tables.set_address(endpoint, host, port)
        self.placed = []
        self.ordered[self.tables.revision] = now_ms
        self.ordered.pop(self.tables.revision - ORDERS_KEPT, None)
        if self.orders is not None:
            self.orders = []
        self.control_intervals.run(
            incoming, CoreOutput(self) if self.orders is None else RecordingOutput(self, self.orders)
        )
        self.book.flush()
        self.channel.put(self.tables.commit(), now_ms)
        self.tell_held(now_ms)

    def ordered_ms(self, number: int) -> float:
        return self.ordered.get(number, self.now_ms)


class CoreOutput:
    """The `PlannerOutput` of the interface: into the tables, the prober, the wakes and the log."""

    def __init__(self, core: ControllerCore) -> None:
        self.core = core

    def set_weight(self, table: int, endpoint: int, weight: float) -> None:
        self.core.book.set_weight(self.core.terms + table, endpoint, weight)

    def set_ejected(self, endpoint: int, out: bool) -> None:
        core = self.core
        status = "draining" if core.states.get(endpoint) == "terminating" else "lost"
        core.tables.set_ejected(endpoint, out, status)
        if out:
            core.urgent.append(core.tables.revision)
        where = "{}:{}".format(*core.tables.addresses.get(endpoint, ("", 0)))
        said = "endpoint withdrawn" if out else "endpoint let back"
        core.log.info(said, endpoint=endpoint, address=where, status=status if out else "ready")

    def assign_table(self, proxy: int, table: int, classes: Iterable[int]) -> None:
        self.core.book.flush(self.core.terms + table)
        self.core.tables.assign_table(proxy, self.core.terms + table, classes)

    def set_admission(self, table: int, classes: Iterable[int], allowed: float, tries: int) -> None:
        self.core.book.set_admission(self.core.terms + table, classes, allowed, tries)

    def request_health_check(self, endpoint: int) -> None:
        if endpoint in self.core.tables.addresses:
            self.core.probes.append((endpoint, *self.core.tables.addresses[endpoint]))

    def request_ack(self, serial: int) -> None:
        self.core.tables.request_ack(serial)

    def watch_endpoints(self) -> None:
        """Nothing to do: the roster's stream is dialled anew by itself, and brings what was missed."""

    def set_timer(self, token: int, at_ms: float) -> None:
        self.core.control_intervals.set_timer(token, at_ms)

    def log_note(self, text: str) -> None:
        self.core.log.info("note", reason=text)


# Names of what the planner writes, in recordings and in the store's journal.
RECORDED_NAMES = {
    "set_weight": "line",
    "set_ejected": "withdraw",
    "assign_table": "bind",
    "set_admission": "level",
    "request_health_check": "probe",
    "request_ack": "receipt",
    "watch_endpoints": "watch_list",
    "set_timer": "wake",
    "log_note": "note",
}


class RecordingOutput:
    """Keeps each order as a plain list, and passes it on."""

    def __init__(self, core: ControllerCore, kept: list[list[Any]]) -> None:
        self.writer, self.kept = CoreOutput(core), kept

    def __getattr__(self, name: str) -> Any:
        order = getattr(self.writer, name)

        def write(*arguments: Any) -> None:
            plain = [list(each) if isinstance(each, range | tuple) else each for each in arguments]
            self.kept.append([RECORDED_NAMES[name], *plain])
            order(*arguments)

        return write
