"""One pilot as a process: the deciding thread, its inbox, and what carries news to it and orders from it."""

import os
import sys
import threading
import time
from typing import Any

import msgspec
import structlog
from hdrh.histogram import HdrHistogram

from quillstep.config.controller import ControllerSettings
from quillstep.controller.decision_loop import ControllerEvent, DecisionLoop
from quillstep.controller.discovery_client import DiscoveryClient
from quillstep.controller.event_codec import ORDERS, SENT, STEP, EventEncoder
from quillstep.controller.event_queue import EventQueue
from quillstep.controller.events import StopRequested
from quillstep.controller.health_checker import HealthChecker
from quillstep.load_reports.events import ReportsSummarized
from quillstep.load_reports.readers.pool import ReaderPool
from quillstep.load_reports.readers.thread import ReaderThread
from quillstep.recording.writer import RecordingWriter
from quillstep.store import Store
from quillstep.store.writer import StoreWriter
from quillstep.xds.peer import STACK_BYTES
from quillstep.xds.server import Server

BATCH = 512  # pieces of news between two looks at the channel
SUMS_MOST = 64  # windows of sums that may wait for the deciding thread
IDLE_S = 0.5
SWITCH_S = 0.001  # that another thread may hold the interpreter while the deciding one waits for it
SENT_MOST = 65536  # responses without a word whose order is remembered
HOLDS_MS = 1000.0  # between two looks at what proxies hold
SAY_MS = 10000.0  # between two lines on what was read of load reports
LATE_MOST = 600_000  # tenths of a millisecond that the histogram of rounds reaches to


class SocketRecord:
    """Writes down what passed on this pilot's sockets, a JSON line each; nothing of what the pilot believes."""

    def __init__(self, path: str) -> None:
        self.file = open(path, "ab") if path else None  # noqa: SIM115 (held as long as the pilot lives)
        self.encode = msgspec.json.Encoder().encode
        self.lines: list[bytes] = []

    def tap(self, what: str, at_ms: float, **fields: Any) -> None:
        if self.file:
            self.lines.append(self.encode({"at": at_ms, "what": what, **fields}))

    def flush(self) -> None:
        if self.file and self.lines:
            self.file.write(b"\n".join(self.lines) + b"\n")
            self.file.flush()
            self.lines = []


class Controller:
    """Wires decider, prober, roster and capture together; `run` is the deciding thread."""

    def __init__(self, record: ControllerSettings, store: Store | None = None) -> None:
        threading.stack_size(STACK_BYTES)
        sys.setswitchinterval(SWITCH_S)
        self.record = record
        self.event_queue: EventQueue[ControllerEvent | StopRequested] = EventQueue(
            record.limits.max_queued_events, SUMS_MOST
        )
        self.socket_record = SocketRecord(record.socket_record)
        self.epoch = f"{record.name}-{os.getpid()}"
        self.decider = DecisionLoop(record, self.epoch, self.tap, self.put)
        self.core = self.decider.core
        self.capture: RecordingWriter | None = None
        self.encoder = EventEncoder()
        self.keeper = StoreWriter(record.store, store, self.epoch, self.put) if store else None
        self.kept_number = 0  # the last order that the store has been given
        self.orders_sent: dict[tuple[str, str], int] = {}  # by proxy and nonce, without a word yet
        self.holds: dict[str, int] = {}  # the order that each proxy acknowledged last, not stored yet
        self.holds_ms = 0.0
        if store or record.capture.folder:
            self.core.recorded_output = []
        if record.capture.folder:
            self.capture = RecordingWriter(
                record.capture.folder,
                record.name,
                self.epoch,
                record.model_dump(),
                record.capture.segment_bytes,
            )
        self.spans: Any = None
        if record.spans.file:
            from quillstep.tracing.spans import SpanRecorder  # only who wants spans needs the library for them

            self.spans = SpanRecorder(
                record.spans.file, record.spans.sampled_share, record.spans.max_spans_per_s, record.name
            )
        self.reader: ReaderThread | None = None
        self.processes: ReaderPool | None = None
        if record.reports.by == "thread":
            self.reader = ReaderThread(record.reports, record.fleet, self.put_report_summary)
        elif record.reports.by == "processes":
            self.processes = ReaderPool(record, self.put_report_summary)
            self.processes.start()
        self.server = Server(record.listen, record.limits, self.put, self.reader)
        self.decider.streams.server = self.server
        self.health_checker = HealthChecker(
            record.fleet.probes.max_concurrent, record.fleet.probes.timeout_ms, self.put
        )
        self.stopping = False
        self.late = HdrHistogram(1, LATE_MOST, 2)  # of rounds behind the time they were due, tenths of a millisecond
        self.said_ms = 0.0
        self.cpu_s: dict[str, dict[str, float]] = {}  # of readers, by part
        self.log = structlog.get_logger("pilot")

    def put(self, event: ControllerEvent | StopRequested) -> None:
        """Hand an event to the deciding thread; blocks while its queue is full."""
        self.event_queue.put(self.now_ms(), event)

    def put_report_summary(self, event: ReportsSummarized) -> None:
        """Hand over what load reports came to; it is taken after all other events."""
        self.event_queue.put_stats(self.now_ms(), event)

    def tap(self, what: str, at_ms: float, **fields: Any) -> None:
        self.socket_record.tap(what, at_ms, **fields)
        if self.capture:
            self.capture.put([SENT, at_ms, at_ms, what, fields])
        if self.spans:
            self.spans.record_channel_event(self.epoch, what, at_ms, fields)
        if self.keeper:
            self.held(what, fields)

    def held(self, what: str, fields: dict[str, Any]) -> None:
        """Remember which order each proxy acknowledged last."""
        if what == "send":
            self.orders_sent[fields["proxy"], fields["nonce"]] = fields["order"]
            if len(self.orders_sent) > SENT_MOST:
                self.orders_sent.clear()  # words that never come
        elif what == "ack" and (order := self.orders_sent.pop((fields["proxy"], fields["nonce"]), 0)):
            self.holds[fields["proxy"]] = order

    def keep(self, keeper: StoreWriter, now: float) -> None:
        """Hand the store what this turn brought: versions, pins, the order; once a while what proxies hold."""
        wall_ms = time.time() * 1000.0
        entries = [keeper.version_entry(version, wall_ms) for version in self.core.new_versions]
        self.core.new_versions.clear()
        for key, kind, versions in self.core.operations.completed:
            for version in versions:
                release = kind == "release"
                entries.append(keeper.release_entry(version.table) if release else keeper.pin_entry(version, wall_ms))
            entries.append(keeper.command_done_entry(key))
        self.core.operations.completed = []
        number = self.core.tables.revision
        if number != self.kept_number:
            entries += keeper.journal_entries(number, wall_ms, self.core.recorded_output or [])
        if self.holds and now - self.holds_ms > HOLDS_MS:
            self.holds_ms = now
            entries += [keeper.acknowledged_entry(node, order, wall_ms) for node, order in self.holds.items()]
            self.holds = {}
        if entries or number != self.kept_number:
            self.kept_number = number
            keeper.submit(number, entries)

    def run(self) -> None:
        """Decide until `stop`; one round's failure is logged with its cause and ends the process."""
        offset_ms = self.now_ms() - time.time() * 1000.0
        self.server.start()
        if self.keeper:
            self.put(self.keeper.opened_event())
            threading.Thread(target=self.keeper.run, daemon=True).start()
        if self.reader:
            self.reader.start()
        if self.decider.files:
            self.decider.files.start()
        self.roster = DiscoveryClient(
            self.record.discovery_address, self.record.name, self.record.zone, offset_ms, self.put
        )
        self.log.info("pilot ready", pilot=self.record.name, address=self.server.address)
        while not self.stopping:
            self.turn()
        self.say()
        self.server.stop()
        for part in (self.reader, self.processes, self.decider.files, self.keeper):
            if part:
                part.stop()
        self.socket_record.flush()
        if self.spans:
            self.spans.close()
        if self.capture:
            self.capture.close()
            self.log.info("capture closed", records=self.capture.written, cpu_s=round(self.capture.cpu_s, 3))

    @staticmethod
    def now_ms() -> float:
        return time.monotonic() * 1000.0

    def turn(self) -> None:
        """Wait for news or for what is due next, take it in, decide, send."""
        wait_s = (self.decider.next_ms() - self.now_ms()) / 1000.0
        if wait_s > 0:
            self.event_queue.wait(min(IDLE_S, wait_s))
        for entry in self.event_queue.drain(BATCH):
            self.handle(*entry)
        now = self.now_ms()
        rounds = self.core.completed_intervals
        due = self.core.due_ms()
        if due <= now:
            self.late.record_value(max(1, min(LATE_MOST, round(10.0 * (now - due)))))
        self.decider.turn(now)
        if self.keeper:
            self.keep(self.keeper, now)
        if self.capture:
            full = [self.encoder.peer_number(peer) for peer in self.decider.streams.full]
            self.capture.put([STEP, now, now, full])
            if self.core.completed_intervals != rounds:
                number = self.core.tables.revision
                self.capture.put([ORDERS, now, now, self.core.completed_intervals, self.core.recorded_output, number])
            self.capture.flush()
        if self.spans and self.core.completed_intervals != rounds:
            self.spans.record_interval(
                self.epoch, self.core.tables.revision, now, self.now_ms(), late_ms=max(0.0, now - due)
            )
        for endpoint, host, port in self.core.health_check_requests:
            self.health_checker.request(endpoint, host, port)
        self.core.health_check_requests = []
        self.tell()
        self.socket_record.flush()
        if now - self.said_ms > SAY_MS:
            self.said_ms = now
            self.say()

    def tell(self) -> None:
        """Pass on who joined and left, and what proxies are asked for."""
        moves, asked = self.core.reports.membership_changes, self.core.reports.requests
        self.core.reports.membership_changes, self.core.reports.requests = [], []
        if self.reader:
            self.reader.notify(moves, asked)
        elif self.processes and (moves or asked):
            self.processes.notify(moves, asked, self.core.reports.aggregator.names)

    def say(self) -> None:
        """How reports and rounds went so far; what is counted runs from the start."""
        late = {f"p{part:g}": self.late.get_value_at_percentile(part) / 10.0 for part in (50.0, 99.0)}
        late["worst"] = self.late.get_max_value() / 10.0 if self.late.get_total_count() else 0.0
        names = [row.name for row in self.record.fleet.classes]
        usual_ms = self.core.tables.line_cost.line_ms()
        statistics = self.core.reports.collector.statistics(names)
        self.log.info(
            "reports read", rounds=self.core.completed_intervals, rounds_late_ms=late, **statistics,
            line_ms=usual_ms and round(usual_ms, 3),
            cpu_s={**self.cpu_s, "deciding": round(time.thread_time(), 3), "process": round(time.process_time(), 3)},
        )  # fmt: skip

        if self.keeper:
            self.log.info("store kept", late=self.core.release.late_count, **self.keeper.figures())

    def handle(self, arrived_ms: float, event: ControllerEvent | StopRequested) -> None:
        if isinstance(event, StopRequested):
            self.stopping = True
            return
        if isinstance(event, ReportsSummarized):
            self.cpu_s[f"reader {event.reader}"] = event.summary.take_cpu_s()
        now = self.now_ms()
        if self.capture:
            self.capture.put(self.encoder.encode(event, arrived_ms, now))
        self.decider.handle(event, now)

    def stop(self) -> None:
        self.put(StopRequested())
