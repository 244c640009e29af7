"""What connections of the streaming front say, as news for the deciding thread."""

import threading
from collections.abc import Callable
from typing import Any, Protocol

import structlog
from envoy.service.discovery.v3 import discovery_pb2
from envoy.service.load_stats.v3 import lrs_pb2
from google.protobuf.message import DecodeError

from quillstep.config.controller import LimitSettings
from quillstep.net.poller import Poller
from quillstep.xds.grpc import INVALID_ARGUMENT, RESOURCE_EXHAUSTED, UNIMPLEMENTED
from quillstep.xds.http2 import Event, GrpcConnection
from quillstep.xds.http2 import GrpcPeer as Peer

ADS = "/envoy.service.discovery.v3.AggregatedDiscoveryService/"
DELTA, SOTW = ADS + "DeltaAggregatedResources", ADS + "StreamAggregatedResources"
LOAD = "/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats"
REQUESTS: dict[str, Any] = {
    DELTA: discovery_pb2.DeltaDiscoveryRequest,
    SOTW: discovery_pb2.DiscoveryRequest,
    LOAD: lrs_pb2.LoadStatsRequest,
}
StreamEvent = (
    tuple  # ("open", peer, stream, path), ("request", peer, stream, message, its bytes), ("end", peer, stream, why)
)


class LoadReader(Protocol):
    """Who takes load reports, apart from all other news; none of these may block."""

    max_message_bytes: int

    def open_stream(self, connection: Peer, stream: int) -> None: ...
    def add_message(self, connection: Peer, stream: int, data: bytes) -> None: ...
    def end_stream(self, connection: Peer, stream: int) -> None: ...


class Server:
    """The front's streams.  `put` hands one piece of news over and blocks while the inbox is full;
    load reports go to `loads` where there is one, so that no acknowledgement waits behind them."""

    def __init__(
        self,
        listen: str,
        limits: LimitSettings,
        put: Callable[[StreamEvent], None],
        loads: LoadReader | None = None,
    ) -> None:
        self.limits, self.put, self.loads = limits, put, loads
        self.log = structlog.get_logger("xds")
        most = limits.max_message_bytes
        self.poller = Poller(
            listen, limits, lambda: GrpcConnection(False, most, limits.max_headers_bytes),
            self.event, self.closed, idle_timeout_ms=limits.idle_timeout_ms,
        )  # fmt: skip
        self.address = self.poller.address
        self.methods: dict[tuple[Peer, int], str] = {}
        self.streams: dict[Peer, set[int]] = {}

    def start(self) -> None:
        threading.Thread(target=self.poller.run, daemon=True).start()

    def event(self, peer: Peer, event: Event) -> None:
        kind, stream = event[0], event[1]
        if kind == "open":
            path = event[2]
            if path not in REQUESTS:
                self.log.warning("stream refused", reason="unknown method", method=path)
                peer.with_codec(lambda c: c.finish(stream, UNIMPLEMENTED, f"no method {path}"))
                return
            self.methods[peer, stream] = path
            self.streams.setdefault(peer, set()).add(stream)
            peer.with_codec(lambda c: c.accept(stream))
            if self.loads and path == LOAD:
                most = self.loads.max_message_bytes
                peer.with_codec(lambda c: c.hold(stream, most))
                self.loads.open_stream(peer, stream)
            else:
                self.put(("open", peer, stream, path))
        elif kind == "message":
            found = self.methods.get((peer, stream))
            if found is None:
                return
            if self.loads and found == LOAD:
                if len(event[2]) > self.loads.max_message_bytes:  # it came with its stream's opening
                    self.finish(peer, stream, RESOURCE_EXHAUSTED, "a report that is too large")
                    self.end(peer, stream, found, "a report that is too large")
                else:
                    self.loads.add_message(peer, stream, event[2])
                return
            try:
                message = REQUESTS[found].FromString(event[2])
            except DecodeError:
                self.log.warning("stream ended", reason="a message that is no request", method=found)
                self.methods.pop((peer, stream), None)
                peer.with_codec(lambda c: c.finish(stream, INVALID_ARGUMENT, "a message that is no request"))
                self.put(("end", peer, stream, "a message that is no request"))
                return
            self.put(("request", peer, stream, message, event[2]))
        elif found := self.methods.pop((peer, stream), None):
            if event[2]:
                self.log.warning("stream ended", reason=event[3], code=event[2])
            self.end(peer, stream, found, event[3])

    def end(self, peer: Peer, stream: int, method: str, reason: str) -> None:
        if self.loads and method == LOAD:
            self.loads.end_stream(peer, stream)
        else:
            self.put(("end", peer, stream, reason))

    def closed(self, peer: Peer, reason: str) -> None:
        streams = sorted(self.streams.pop(peer, ()))
        if not streams or not peer.is_registered:
            self.log.warning("connection ended", reason=reason)
        for stream in streams:
            if method := self.methods.pop((peer, stream), None):
                self.end(peer, stream, method, reason)

    def finish(self, peer: Peer, stream: int, status: int, text: str) -> None:
        """End one stream with a status that its peer can read."""
        self.methods.pop((peer, stream), None)
        peer.with_codec(lambda c: c.finish(stream, status, text))

    def stop(self) -> None:
        self.poller.stop()


__all__ = ["DELTA", "LOAD", "SOTW", "LoadReader", "StreamEvent", "Peer", "Server"]
