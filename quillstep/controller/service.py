"""The controller process: the deciding thread, and the threads that pass events to it and updates from it.

The deciding thread, which calls `Controller.run`, owns the core, the fronts' state, and the queues of the recording and
the store.  The server's poller, the discovery client, the health checkers, the readers of load reports, the file front
and the store writer pass events to it through one `EventQueue` and block while it is full.  All are started here and
stopped at the end of `run`.  They are daemons and not joined, because each may wait for a peer or a disk.
"""

import os
import sys
import threading
from typing import Any

import structlog

from quillstep.config.controller import ControllerSettings
from quillstep.controller.decision_loop import ControllerEvent, DecisionLoop
from quillstep.controller.discovery_client import DiscoveryClient
from quillstep.controller.event_codec import OUTPUT, SENT, STEP, EventEncoder
from quillstep.controller.event_queue import EventQueue
from quillstep.controller.events import StopRequested
from quillstep.controller.health_checker import HealthChecker
from quillstep.controller.socket_record import SocketRecord
from quillstep.controller.start_times import StartTimes
from quillstep.controller.status import ControllerStatus
from quillstep.controller.store_submission import StoreSubmission
from quillstep.load_reports.events import ReportsSummarized
from quillstep.load_reports.readers.pool import ReaderPool
from quillstep.load_reports.readers.thread import ReaderThread
from quillstep.net.clock import now_ms, wall_clock_offset_ms
from quillstep.net.threads import set_thread_stack_size
from quillstep.recording.writer import RecordingWriter
from quillstep.store import Store
from quillstep.store.writer import StoreWriter
from quillstep.xds.server import Server

MAX_EVENTS_PER_PASS = 512
MAX_QUEUED_SUMMARIES = 64  # summaries of load reports that may wait for the deciding thread
MAX_WAIT_S = 0.5
SWITCH_INTERVAL_S = 0.001  # bounds how long another thread may hold the interpreter while the deciding thread waits
STATUS_INTERVAL_MS = 10000.0
REMOVED_ENDPOINT_RETENTION_MS = 30000.0  # an endpoint that returns later counts as restarted


class Controller:
    """Connects core, server, readers, store and recording; `run` is the body of the deciding thread."""

    def __init__(self, settings: ControllerSettings, store: Store | None = None) -> None:
        """Binds the server's socket, and starts reader processes and health checkers; `run` starts everything else.

        Raises:
            OSError: An address can't be bound or a file can't be opened.
            UnusableFileError: The file front's root directory can't be used.
        """
        set_thread_stack_size()
        sys.setswitchinterval(SWITCH_INTERVAL_S)
        self.settings = settings
        self.log = structlog.get_logger("controller")
        self.event_queue: EventQueue[ControllerEvent | StopRequested] = EventQueue(
            settings.limits.max_queued_events, MAX_QUEUED_SUMMARIES
        )
        self.epoch = f"{settings.name}-{os.getpid()}"
        self.loop = DecisionLoop(settings, self.epoch, self.tap, self.publish)
        self.core = self.loop.core
        self.status = ControllerStatus()
        self._stop_requested = False
        self._logged_ms = 0.0
        self._set_up_records(store)
        self._set_up_readers()
        self.server = Server(settings.listen, settings.limits, self.publish, self.reader)
        self.loop.streams.server = self.server
        checks = settings.fleet.probes
        self.health_checker = HealthChecker(checks.max_concurrent, checks.timeout_ms, self.publish)

    def _set_up_records(self, store: Store | None) -> None:
        """Sets up the socket record, the store, the recording and spans, as far as the settings enable them."""
        settings = self.settings
        self.socket_record = SocketRecord(settings.socket_record)
        self.store_writer = StoreWriter(settings.store, store, self.epoch, self.publish) if store else None
        self.store_submission = StoreSubmission(self.store_writer) if self.store_writer else None
        self.encoder = EventEncoder()
        self.recording: RecordingWriter | None = None
        if settings.capture.folder:
            self.recording = RecordingWriter(
                settings.capture.folder,
                settings.name,
                self.epoch,
                settings.model_dump(),
                settings.capture.segment_bytes,
            )
        if store or self.recording:
            self.core.recorded_output = []
        self.spans: Any = None
        if settings.spans.file:
            from quillstep.tracing.spans import SpanRecorder  # its library is needed only if spans are enabled

            spans = settings.spans
            self.spans = SpanRecorder(spans.file, spans.sampled_share, spans.max_spans_per_s, settings.name)

    def _set_up_readers(self) -> None:
        """Sets up the reader of load reports: a thread of this process, separate processes, or none."""
        self.reader: ReaderThread | None = None
        self.processes: ReaderPool | None = None
        if self.settings.reports.by == "thread":
            self.reader = ReaderThread(self.settings.reports, self.settings.fleet, self.publish_summary)
        elif self.settings.reports.by == "processes":
            self.processes = ReaderPool(self.settings, self.publish_summary)
            self.processes.start()

    # From any thread

    def publish(self, event: ControllerEvent | StopRequested) -> None:
        """Queues an event for the deciding thread; blocks while the queue is full."""
        self.event_queue.put(now_ms(), event)

    def publish_summary(self, event: ReportsSummarized) -> None:
        """Queues a summary of load reports, which is handled after all other events; blocks while the queue is full."""
        self.event_queue.put_stats(now_ms(), event)

    def stop(self) -> None:
        """Makes `run` return."""
        self.publish(StopRequested())

    # The deciding thread

    def tap(self, what: str, at_ms: float, **fields: Any) -> None:
        """Passes a row to the socket record, the recording, the spans and the store, as far as they are enabled."""
        self.socket_record.tap(what, at_ms, **fields)
        if self.recording:
            self.recording.put([SENT, at_ms, at_ms, what, fields])
        if self.spans:
            self.spans.record_channel_event(self.epoch, what, at_ms, fields)
        if self.store_submission:
            self.store_submission.tap(what, fields)

    def run(self) -> None:
        """Runs passes until `stop`; an error of the planner ends the process with a traceback."""
        self._start()
        while not self._stop_requested:
            self.run_pass()
        self.log_status()
        self.server.stop()
        for part in (self.reader, self.processes, self.loop.files, self.store_writer):
            if part:
                part.stop()
        self.socket_record.flush()
        if self.spans:
            self.spans.close()
        if self.recording:
            self.recording.close()
            cpu_s = round(self.recording.cpu_s, 3)
            self.log.info("recording closed", records=self.recording.written, cpu_s=cpu_s)

    def _start(self) -> None:
        self.server.start()
        if self.store_writer:
            self.publish(self.store_writer.opened_event())
            threading.Thread(target=self.store_writer.run, name="store-writer", daemon=True).start()
        if self.reader:
            self.reader.start()
        if self.loop.files:
            self.loop.files.start()
        settings = self.settings
        start_times = StartTimes(wall_clock_offset_ms(), REMOVED_ENDPOINT_RETENTION_MS)
        self.discovery = DiscoveryClient(
            settings.discovery_address, settings.name, settings.zone, start_times, self.publish
        )
        self.log.info("controller ready", controller=settings.name, address=self.server.address)

    def run_pass(self) -> None:
        """Waits for events or the next due time, handles the events that have arrived, decides, and sends."""
        wait_s = (self.loop.next_ms() - now_ms()) / 1000.0
        if wait_s > 0:
            self.event_queue.wait(min(MAX_WAIT_S, wait_s))
        for arrived_ms, event in self.event_queue.drain(MAX_EVENTS_PER_PASS):
            self._handle(arrived_ms, event)
        now = now_ms()
        intervals_before = self.core.completed_intervals
        due_ms = self.core.due_ms()
        if due_ms <= now:
            self.status.record_interval(now - due_ms)
        self.loop.run_pass(now)
        self._record_pass(now, due_ms, ran_interval=self.core.completed_intervals != intervals_before)
        for endpoint, host, port in self.core.health_check_requests:
            self.health_checker.request(endpoint, host, port)
        self.core.health_check_requests = []
        self._notify_readers()
        self.socket_record.flush()
        if now - self._logged_ms > STATUS_INTERVAL_MS:
            self._logged_ms = now
            self.log_status()

    def _handle(self, arrived_ms: float, event: ControllerEvent | StopRequested) -> None:
        if isinstance(event, StopRequested):
            self._stop_requested = True
            return
        if isinstance(event, ReportsSummarized):
            self.status.reader_cpu_s[f"reader {event.reader}"] = event.summary.pop_cpu_s()
        now = now_ms()
        if self.recording:
            self.recording.put(self.encoder.encode(event, arrived_ms, now))
        self.loop.handle(event, now)

    def _record_pass(self, now: float, due_ms: float, ran_interval: bool) -> None:
        """Passes the results of this pass to the store, the recording and the spans."""
        core = self.core
        if self.store_submission:
            self.store_submission.submit(core, now)
        if self.recording:
            full_peers = [self.encoder.peer_number(peer) for peer in self.loop.streams.full_peers]
            self.recording.put([STEP, now, now, full_peers])
            if ran_interval:
                output = [OUTPUT, now, now, core.completed_intervals, core.recorded_output, core.tables.revision]
                self.recording.put(output)
            self.recording.flush()
        if self.spans and ran_interval:
            late_ms = max(0.0, now - due_ms)
            self.spans.record_interval(self.epoch, core.tables.revision, now, now_ms(), late_ms=late_ms)

    def _notify_readers(self) -> None:
        """Notifies the readers of membership changes and of report requests to proxies."""
        reports = self.core.reports
        changes, requests = reports.membership_changes, reports.requests
        reports.membership_changes, reports.requests = [], []
        if self.reader:
            self.reader.notify(changes, requests)
        elif self.processes and (changes or requests):
            self.processes.notify(changes, requests, reports.aggregator.names)

    def log_status(self) -> None:
        """Logs statistics of control intervals, load reports and the store since the start."""
        self.log.info("status", **self.status.fields(self.core))
        if self.store_writer:
            self.log.info("store status", late=self.core.release.late_count, **self.store_writer.commit_stats())
