"""The xDS server: accepts streams and publishes their messages as events for the decision thread."""

import threading
from collections.abc import Callable
from typing import Any, Protocol

import structlog
from envoy.service.discovery.v3 import discovery_pb2
from envoy.service.load_stats.v3 import lrs_pb2
from google.protobuf.message import DecodeError

from quillstep.config.controller import LimitSettings
from quillstep.net.poller import Poller
from quillstep.xds import events
from quillstep.xds.grpc import INVALID_ARGUMENT, RESOURCE_EXHAUSTED, UNIMPLEMENTED
from quillstep.xds.http2 import Event, GrpcConnection, MessageReceived, StreamEnded, StreamOpened
from quillstep.xds.http2 import GrpcPeer as Peer

ADS = "/envoy.service.discovery.v3.AggregatedDiscoveryService/"
DELTA, SOTW = ADS + "DeltaAggregatedResources", ADS + "StreamAggregatedResources"
LOAD = "/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats"
REQUESTS: dict[str, Any] = {
    DELTA: discovery_pb2.DeltaDiscoveryRequest,
    SOTW: discovery_pb2.DiscoveryRequest,
    LOAD: lrs_pb2.LoadStatsRequest,
}


class ReportReader(Protocol):
    """Receives the messages of load report streams instead of the event queue.  No method may block."""

    max_message_bytes: int

    def open_stream(self, connection: Peer, stream: int) -> None:
        """Handles a new load report stream."""

    def add_message(self, connection: Peer, stream: int, data: bytes) -> None:
        """Handles a message on a load report stream."""

    def end_stream(self, connection: Peer, stream: int) -> None:
        """Handles the end of a load report stream."""


class Server:
    """The server side of all xDS streams.

    `put` publishes one event and blocks while the queue is full.  If there is a `report_reader`, load reports go to
    it instead, so that acknowledgements do not wait behind them.
    """

    def __init__(
        self,
        listen: str,
        limits: LimitSettings,
        put: Callable[[events.StreamEvent], None],
        report_reader: ReportReader | None = None,
    ) -> None:
        self.put, self.report_reader = put, report_reader
        self.log = structlog.get_logger("xds")
        self.poller = Poller(
            listen,
            limits,
            lambda: GrpcConnection(False, limits.max_message_bytes, limits.max_headers_bytes),
            self._on_event,
            self._on_closed,
            idle_timeout_ms=limits.idle_timeout_ms,
        )
        self.address = self.poller.address
        self.methods: dict[tuple[Peer, int], str] = {}
        self.streams: dict[Peer, set[int]] = {}

    def start(self) -> None:
        """Starts the thread that serves all connections."""
        threading.Thread(target=self.poller.run, name="xds-server", daemon=True).start()

    def stop(self) -> None:
        """Stops the thread without waiting for it: it may be blocked in `put` on a queue that is no longer read."""
        self.poller.stop()

    def finish(self, peer: Peer, stream: int, status: int, text: str) -> None:
        """Closes a stream with a gRPC status."""
        self.methods.pop((peer, stream), None)
        peer.with_codec(lambda codec: codec.finish(stream, status, text))

    def _on_event(self, peer: Peer, event: Event) -> None:
        match event:
            case StreamOpened(stream, path):
                self._on_opened(peer, stream, path)
            case MessageReceived(stream, data):
                self._on_message(peer, stream, data)
            case StreamEnded(stream, status, reason):
                if method := self.methods.pop((peer, stream), None):
                    if status:
                        self.log.warning("stream closed", reason=reason, code=status)
                    self._end(peer, stream, method, reason)

    def _on_opened(self, peer: Peer, stream: int, method: str) -> None:
        if method not in REQUESTS:
            self.log.warning("stream rejected", reason="unknown method", method=method)
            peer.with_codec(lambda codec: codec.finish(stream, UNIMPLEMENTED, f"no method {method}"))
            return
        self.methods[peer, stream] = method
        self.streams.setdefault(peer, set()).add(stream)
        peer.with_codec(lambda codec: codec.accept(stream))
        if self.report_reader and method == LOAD:
            max_bytes = self.report_reader.max_message_bytes
            peer.with_codec(lambda codec: codec.use_manual_flow_control(stream, max_bytes))
            self.report_reader.open_stream(peer, stream)
        else:
            self.put(events.StreamOpened(peer, stream, method))

    def _on_message(self, peer: Peer, stream: int, data: bytes) -> None:
        method = self.methods.get((peer, stream))
        if method is None:
            return
        if self.report_reader and method == LOAD:
            self._on_report(self.report_reader, peer, stream, data)
            return
        try:
            message = REQUESTS[method].FromString(data)
        except DecodeError:
            reason = "a message that is no request"
            self.log.warning("stream closed", reason=reason, method=method)
            self.finish(peer, stream, INVALID_ARGUMENT, reason)
            self.put(events.StreamEnded(peer, stream, reason))
            return
        self.put(events.StreamRequest(peer, stream, message, data))

    def _on_report(self, reader: ReportReader, peer: Peer, stream: int, data: bytes) -> None:
        if len(data) > reader.max_message_bytes:  # arrived with the stream's headers, before the limit was set
            reason = "a report that is too large"
            self.finish(peer, stream, RESOURCE_EXHAUSTED, reason)
            self._end(peer, stream, LOAD, reason)
        else:
            reader.add_message(peer, stream, data)

    def _end(self, peer: Peer, stream: int, method: str, reason: str) -> None:
        if self.report_reader and method == LOAD:
            self.report_reader.end_stream(peer, stream)
        else:
            self.put(events.StreamEnded(peer, stream, reason))

    def _on_closed(self, peer: Peer, reason: str) -> None:
        streams = sorted(self.streams.pop(peer, ()))
        if not streams or not peer.is_registered:
            self.log.warning("connection closed", reason=reason)
        for stream in streams:
            if method := self.methods.pop((peer, stream), None):
                self._end(peer, stream, method, reason)


__all__ = ["DELTA", "LOAD", "SOTW", "Peer", "ReportReader", "Server"]
