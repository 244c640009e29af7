"""The load report reader process: `python -m quillstep.load_reports.readers.process`.

One thread polls all connections.  A connection is not read while messages from it are buffered, which applies
back-pressure to the proxy.  Messages from the controller arrive on standard input, window summaries are written to
standard output, and the process exits when its input is closed.
"""

import contextlib
import os
import time

import structlog

from quillstep.config.controller import LimitSettings, LoadReportSettings
from quillstep.config.fleet import FleetSettings
from quillstep.load_reports.aggregator import ReportAggregator
from quillstep.load_reports.messages import (
    AddEndpoints,
    AddProxy,
    Configuration,
    MessageFromReader,
    MessageToReader,
    ProxyReleased,
    ReaderReady,
    ReleaseProxy,
    ReportStreamOpened,
    RequestReports,
    WindowDrained,
)
from quillstep.load_reports.readers.connections import StreamKey, finish_stream, log_warnings, send_messages
from quillstep.load_reports.readers.framing import FrameBuffer, decode_configuration, decode_to_reader, encode_frame
from quillstep.load_reports.readers.session import PendingActions, ReaderSession
from quillstep.load_reports.validation import ReportAccount
from quillstep.logging import configure_logging
from quillstep.net.clock import now_ms
from quillstep.net.poller import Poller
from quillstep.xds.grpc import UNIMPLEMENTED
from quillstep.xds.http2 import Event, GrpcConnection, GrpcPeer, MessageReceived, StreamEnded, StreamOpened
from quillstep.xds.server import LOAD

INPUT_BYTES = 256 * 1024  # largest single read of standard input
MAX_REQUESTED_PERIODS = 8.0  # longest report period that is requested, in fleet report intervals
STDIN, STDOUT = 0, 1


class ReaderProcess:
    """A reader process with all its connections and streams."""

    def __init__(self, listen: str, settings: LoadReportSettings, fleet: FleetSettings, limits: LimitSettings) -> None:
        self.default_period_ms = fleet.proxies.report_interval_ms
        self.session: ReaderSession[StreamKey] = ReaderSession(ReportAggregator(settings, fleet))
        self.aggregator = self.session.aggregator
        self.poller = Poller(
            listen,
            limits,
            lambda: GrpcConnection(False, settings.max_message_bytes, limits.max_headers_bytes),
            self.handle_event,
            self.handle_closed,
            idle_timeout_ms=limits.idle_timeout_ms + MAX_REQUESTED_PERIODS * self.default_period_ms,
            after_pass=self.read_messages,
        )
        self.poller.add_input(STDIN, self.read_input)
        self.streams: dict[GrpcPeer, set[int]] = {}
        self.input = FrameBuffer()
        self.cpu_s = {"parse": 0.0, "fold": 0.0}
        self.log = structlog.get_logger("reports")

    def run(self) -> None:
        """Notifies the controller that the process is ready, then runs until the input is closed."""
        self.send(ReaderReady(self.poller.address))
        self.poller.run()

    @staticmethod
    def send(message: MessageFromReader) -> None:
        """Writes a message to the controller."""
        data = memoryview(encode_frame(message))
        while data:
            data = data[os.write(STDOUT, data) :]

    # Messages from the controller

    def read_input(self) -> bool:
        """Reads and handles messages from the controller; returns False when the input is closed."""
        data = os.read(STDIN, INPUT_BYTES)
        for encoded in self.input.feed(data):
            self.handle(decode_to_reader(encoded))
        return bool(data)

    def handle(self, message: MessageToReader) -> None:
        """Handles a message from the controller."""
        match message:
            case AddProxy():
                self.add_proxy(message)
            case ReleaseProxy(name):
                self.send(ProxyReleased(name, self.aggregator.release(name)))
            case AddEndpoints():
                self.aggregator.add_endpoints(message.by_address())
            case RequestReports(request):
                self.session.request_reports(request)

    def add_proxy(self, added: AddProxy) -> None:
        """Counts a proxy's reports from now on, continuing its account if the controller sent one."""
        if added.account is not None:
            self.aggregator.left_accounts[added.name] = added.account
        account = ReportAccount(
            added.proxy, added.zone, added.incarnation, self.default_period_ms, self.default_period_ms
        )
        self.session.add_proxy(account, added.name)

    # Streams

    def handle_event(self, connection: GrpcPeer, event: Event) -> None:
        """Handles one event of a connection."""
        streams = self.streams.setdefault(connection, set())
        key = StreamKey(connection, event.stream)
        match event:
            case StreamOpened():
                self.handle_opened(key, event.path)
            case MessageReceived() if event.stream in streams:
                self.session.add_message(key, event.data, now_ms())
                connection.set_paused(True)
            case StreamEnded() if event.stream in streams:
                if event.status:
                    name = self.session.streams[key].name
                    self.log.warning("stream closed", reason=event.reason, code=event.status, proxy=name)
                streams.discard(event.stream)
                self.session.end_stream(key)

    def handle_opened(self, key: StreamKey, method: str) -> None:
        """Accepts a load report stream; rejects a stream of any other method."""
        connection, stream = key
        if method != LOAD:
            text = f"no method {method} here: load reports alone"
            connection.with_codec(lambda codec: codec.finish(stream, UNIMPLEMENTED, text))
            return
        connection.with_codec(lambda codec: codec.accept(stream))
        self.streams[connection].add(stream)
        self.session.open_stream(key)

    def handle_closed(self, connection: GrpcPeer, reason: str) -> None:
        """Handles a closed connection; it is logged if no report stream was open on it."""
        streams = self.streams.pop(connection, set())
        if not streams:
            self.log.warning("connection closed", reason=reason)
        for stream in streams:
            self.session.end_stream(StreamKey(connection, stream))

    # Reading

    def read_messages(self) -> float:
        """Reads buffered messages as far as the budget allows; returns when to call it again, in milliseconds."""
        started_s = time.thread_time()
        due_ms = self.session.read_messages(now_ms())
        self.apply_actions(self.session.drain_pending())
        log_warnings(self.log, self.aggregator.drain_warnings())
        self.cpu_s["parse"] += time.thread_time() - started_s
        if self.aggregator.due_ms() <= now_ms():
            self.drain_window()
        return due_ms

    def apply_actions(self, pending: PendingActions[StreamKey]) -> None:
        """Applies the session's pending actions to the connections and notifies the controller of opened streams."""
        send_messages(pending.sends)
        for end in pending.ends:
            self.streams.get(end.key.connection, set()).discard(end.key.stream)
            finish_stream(end)
        for connection in {consumed.key.connection for consumed in pending.consumed}:
            connection.set_paused(self.has_buffered(connection))
        for opened in pending.opened:
            self.send(ReportStreamOpened(opened.name, opened.incarnation))

    def has_buffered(self, connection: GrpcPeer) -> bool:
        """Returns whether messages of a connection are buffered."""
        keys = (StreamKey(connection, stream) for stream in self.streams.get(connection, ()))
        streams = (self.session.streams.get(key) for key in keys)
        return any(stream is not None and stream.buffered for stream in streams)

    def drain_window(self) -> None:
        """Drains the window and sends its summary to the controller."""
        started_s = time.thread_time()
        summary = self.aggregator.drain(now_ms())
        self.cpu_s["fold"] += time.thread_time() - started_s
        cpu_s = {"streams": self.poller.io_cpu_s, **self.cpu_s}
        summary.cpu_s = {name: round(seconds, 4) for name, seconds in cpu_s.items()}
        summary.buffered_bytes = self.session.buffered_bytes
        self.send(WindowDrained(summary))


def read_configuration(frames: FrameBuffer) -> tuple[Configuration, list[bytes]] | None:
    """Returns the configuration and any messages read along with it; None if the input is closed first."""
    while True:
        data = os.read(STDIN, INPUT_BYTES)
        if not data:
            return None
        messages = frames.feed(data)
        if messages:
            return decode_configuration(messages[0]), messages[1:]


def main() -> None:
    """Reads load reports until standard input is closed."""
    frames = FrameBuffer()
    first = read_configuration(frames)
    if first is None:
        return
    configuration, messages = first
    configure_logging("auto", "info")
    process = ReaderProcess(
        configuration.listen,
        LoadReportSettings.model_validate(configuration.reports),
        FleetSettings.model_validate(configuration.fleet),
        LimitSettings.model_validate(configuration.limits),
    )
    process.input = frames
    for message in messages:
        process.handle(decode_to_reader(message))
    with contextlib.suppress(KeyboardInterrupt, BrokenPipeError):
        process.run()


if __name__ == "__main__":
    main()
