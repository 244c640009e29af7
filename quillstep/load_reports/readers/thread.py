"""The load report reader thread of a controller; its streams share connections with other streams."""

import queue
import threading
import time
from collections.abc import Callable
from typing import NamedTuple

import structlog

from quillstep.config.controller import LoadReportSettings
from quillstep.config.fleet import FleetSettings
from quillstep.load_reports.aggregator import ReportAggregator
from quillstep.load_reports.events import ReportsSummarized
from quillstep.load_reports.messages import AddEndpoints, MembershipChange, ProxyJoined, ProxyLeft, ReportRequest
from quillstep.load_reports.readers.connections import StreamKey, finish_stream, log_warnings, send_messages
from quillstep.load_reports.readers.session import ReaderSession
from quillstep.load_reports.validation import ReportAccount
from quillstep.net.clock import now_ms
from quillstep.xds.http2 import GrpcPeer

MAX_WAIT_S = 0.5


class StreamOpened(NamedTuple):
    """A report stream was opened."""

    key: StreamKey


class MessageArrived(NamedTuple):
    """A message was received on a report stream."""

    key: StreamKey
    data: bytes


class StreamEnded(NamedTuple):
    """A report stream was closed."""

    key: StreamKey


class Stop(NamedTuple):
    """Requests the thread to exit."""


ReaderEvent = StreamOpened | MessageArrived | StreamEnded | MembershipChange | ReportRequest | Stop


class ReaderThread:
    """The queue and the thread of one reader.

    `open_stream`, `add_message` and `end_stream` are called from the connections' threads and never block; `notify` is
    called from the decision thread.  All of them use one queue, which is bounded by the streams' flow control: a peer
    may send more only as its messages are read.
    """

    def __init__(
        self, settings: LoadReportSettings, fleet: FleetSettings, put: Callable[[ReportsSummarized], None]
    ) -> None:
        self.max_message_bytes = settings.max_message_bytes
        self.session: ReaderSession[StreamKey] = ReaderSession(ReportAggregator(settings, fleet))
        self.put = put
        self.default_period_ms = fleet.proxies.report_interval_ms
        self.events: queue.SimpleQueue[ReaderEvent] = queue.SimpleQueue()
        self.log = structlog.get_logger("reports")

    def open_stream(self, connection: GrpcPeer, stream: int) -> None:
        """Enqueues an opened report stream."""
        self.events.put(StreamOpened(StreamKey(connection, stream)))

    def add_message(self, connection: GrpcPeer, stream: int, data: bytes) -> None:
        """Enqueues a message received on a report stream."""
        self.events.put(MessageArrived(StreamKey(connection, stream), data))

    def end_stream(self, connection: GrpcPeer, stream: int) -> None:
        """Enqueues a closed report stream."""
        self.events.put(StreamEnded(StreamKey(connection, stream)))

    def notify(self, changes: list[MembershipChange], requests: list[ReportRequest]) -> None:
        """Enqueues membership changes and report requests."""
        for change in changes:
            self.events.put(change)
        for request in requests:
            self.events.put(request)

    def start(self) -> None:
        """Starts the thread."""
        threading.Thread(target=self.run, name="report-reader", daemon=True).start()

    def stop(self) -> None:
        """Requests the thread to exit, without waiting: it may block in `put`, whose events are no longer read."""
        self.events.put(Stop())

    def run(self) -> None:
        """Runs until `stop` is called."""
        due_ms = float("inf")
        while self._handle_events(min(MAX_WAIT_S, max(0.0, due_ms - now_ms()) / 1000.0)):
            due_ms = self._read_messages()

    def _handle_events(self, wait_s: float) -> bool:
        """Waits for an event, then handles all queued events; returns False if the thread is to exit."""
        try:
            event = self.events.get(timeout=wait_s) if wait_s else self.events.get_nowait()
            while not isinstance(event, Stop):
                self._handle(event)
                event = self.events.get_nowait()
        except queue.Empty:
            return True
        return False

    def _handle(self, event: ReaderEvent) -> None:
        session = self.session
        match event:
            case MessageArrived(key, data):
                session.add_message(key, data, now_ms())
            case StreamOpened(key):
                session.open_stream(key)
            case StreamEnded(key):
                session.end_stream(key)
            case ProxyJoined():
                account = ReportAccount(
                    event.proxy, event.zone, event.incarnation, self.default_period_ms, self.default_period_ms
                )
                session.add_proxy(account, event.name)
            case ProxyLeft():
                session.aggregator.remove_proxy(event.name)
            case AddEndpoints():
                session.aggregator.add_endpoints(event.by_address())
            case ReportRequest():
                session.request_reports(event)

    def _read_messages(self) -> float:
        """Reads messages as far as the budget allows; returns when to call it again, in milliseconds."""
        due_ms = self.session.read_messages(now_ms())
        pending = self.session.drain_pending()
        for (connection, stream), _ in pending.consumed:
            _acknowledge_message(connection, stream)
        send_messages(pending.sends)
        for end in pending.ends:
            finish_stream(end)
        aggregator = self.session.aggregator
        log_warnings(self.log, aggregator.drain_warnings())
        if aggregator.due_ms() <= now_ms():
            summary = aggregator.drain(now_ms())
            summary.cpu_s = {"reader": round(time.thread_time(), 4)}
            self.put(ReportsSummarized(0, summary))
        return due_ms


def _acknowledge_message(connection: GrpcPeer, stream: int) -> None:
    """Extends the stream's flow-control window by the message that was read."""
    connection.with_codec(lambda codec: codec.acknowledge_message(stream))
