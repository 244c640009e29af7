"""Reads load reports in a thread of the controller, from streams that share their connections with all else."""

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
    """A report stream has opened."""

    key: StreamKey


class MessageArrived(NamedTuple):
    """A message has arrived on a report stream."""

    key: StreamKey
    data: bytes


class StreamEnded(NamedTuple):
    """A report stream has ended."""

    key: StreamKey


class Stop(NamedTuple):
    """The thread is to end."""


ReaderEvent = StreamOpened | MessageArrived | StreamEnded | MembershipChange | ReportRequest | Stop


class ReaderThread:
    """The queue and the thread of one reader.

    `open_stream`, `add_message` and `end_stream` come from the connections' threads and never block; `notify` from the
    deciding thread.  All go through one queue.  What waits there is bounded by the streams' flow control: a peer may
    send more as its messages are read.
    """

    def __init__(
        self, settings: LoadReportSettings, fleet: FleetSettings, put: Callable[[ReportsSummarized], None]
    ) -> None:
        self.max_message_bytes = settings.max_message_bytes
        self.session: ReaderSession[StreamKey] = ReaderSession(ReportAggregator(settings, fleet))
        self.put = put
        self.usual_ms = fleet.proxies.report_interval_ms
        self.events: queue.SimpleQueue[ReaderEvent] = queue.SimpleQueue()
        self.log = structlog.get_logger("reports")

    def open_stream(self, connection: GrpcPeer, stream: int) -> None:
        """A report stream has opened."""
        self.events.put(StreamOpened(StreamKey(connection, stream)))

    def add_message(self, connection: GrpcPeer, stream: int, data: bytes) -> None:
        """A message has arrived on a report stream."""
        self.events.put(MessageArrived(StreamKey(connection, stream), data))

    def end_stream(self, connection: GrpcPeer, stream: int) -> None:
        """A report stream has ended."""
        self.events.put(StreamEnded(StreamKey(connection, stream)))

    def notify(self, changes: list[MembershipChange], requests: list[ReportRequest]) -> None:
        """Passes on who joined and left, which endpoints are listed, and what proxies have to report."""
        for change in changes:
            self.events.put(change)
        for request in requests:
            self.events.put(request)

    def start(self) -> None:
        """Starts the thread."""
        threading.Thread(target=self.run, name="report-reader", daemon=True).start()

    def stop(self) -> None:
        """Ends the thread, without waiting: it may be blocked in `put`, which nobody takes from any more."""
        self.events.put(Stop())

    def run(self) -> None:
        """Until `stop`."""
        due_ms = float("inf")
        while self._handle_events(min(MAX_WAIT_S, max(0.0, due_ms - now_ms()) / 1000.0)):
            due_ms = self._read_messages()

    def _handle_events(self, wait_s: float) -> bool:
        """Waits for an event, then handles all there are; False where the thread is to end."""
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
                account = ReportAccount(event.proxy, event.zone, event.incarnation, self.usual_ms, self.usual_ms)
                session.add_proxy(account, event.name)
            case ProxyLeft():
                session.aggregator.remove_proxy(event.name)
            case AddEndpoints():
                session.aggregator.add_endpoints(event.by_address())
            case ReportRequest():
                session.request_reports(event)

    def _read_messages(self) -> float:
        """Reads what may be read; returns when to do it again."""
        due_ms = self.session.read_messages(now_ms())
        pending = self.session.drain_pending()
        for (connection, stream), _ in pending.consumed:
            _allow_more(connection, stream)
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


def _allow_more(connection: GrpcPeer, stream: int) -> None:
    """Has the stream's flow control let the peer send as much as was read."""
    connection.with_codec(lambda codec: codec.acknowledge_message(stream))
