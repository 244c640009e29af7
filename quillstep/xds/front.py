"""The xDS front's side in the decision thread: handles requests on streams, and sends updates as responses."""

from typing import Any, NamedTuple

from envoy.service.load_stats.v3 import lrs_pb2

from quillstep.routing.ack_latency import IN_TIME, LATE, LOST, STALLED, AckDelay
from quillstep.xds.delta import DeltaStream
from quillstep.xds.events import StreamEnded, StreamEvent, StreamOpened
from quillstep.xds.grpc import RESOURCE_EXHAUSTED, UNAVAILABLE
from quillstep.xds.load_stats import incarnation_of, load_request, read_report
from quillstep.xds.proxy_front import FrontContext, ProxyFront
from quillstep.xds.server import DELTA, LOAD, Peer, Server
from quillstep.xds.sotw import SotwStream
from quillstep.xds.stream import Response, StreamError

MAINTENANCE_INTERVAL_MS = 500.0
REPLACED_REASON = "the proxy dialled anew"  # sent as a status message and recorded
DELAY_EVENTS = {IN_TIME: "update in time", LATE: "update late", STALLED: "update stalled", LOST: "update lost"}

DiscoveryStream = DeltaStream | SotwStream


class StreamKey(NamedTuple):
    """One stream of one connection."""

    peer: Peer
    stream: int


class XdsFront(ProxyFront):
    """All discovery streams of one controller."""

    def __init__(self, context: FrontContext) -> None:
        super().__init__(context, logger="xds", maintenance_interval_ms=MAINTENANCE_INTERVAL_MS)
        self.server: Server | None = None
        self.streams: dict[StreamKey, DiscoveryStream] = {}
        self.by_proxy: dict[int, StreamKey] = {}  # the newest stream of each proxy
        self.reporters: dict[StreamKey, str] = {}  # node ids of proxies, by the stream that carries their load reports
        self.full_peers: list[Peer] = []  # peers whose send buffer was full at the last pump

    # Events

    def handle_event(self, event: StreamEvent, now_ms: float) -> None:
        """Handles one event of the server."""
        key = StreamKey(event.peer, event.stream)
        if isinstance(event, StreamOpened):
            self._open(key, event.method)
        elif isinstance(event, StreamEnded):
            self._end(key, event.reason, now_ms)
        elif isinstance(event.message, lrs_pb2.LoadStatsRequest):
            self._handle_report(key, event.message, event.data)
        elif key in self.streams:
            try:
                self._handle_request(key, event.message, now_ms)
            except StreamError as error:
                self.log.warning("stream closed", proxy=self._node_of(key), reason=str(error))
                self._finish(key, error.status, str(error), now_ms)

    def drop(self, proxy: int, reason: str, now_ms: float) -> None:
        """Closes the stream of a proxy that has joined another front."""
        if proxy in self.by_proxy:
            self._finish(self.by_proxy[proxy], UNAVAILABLE, reason, now_ms)

    def _open(self, key: StreamKey, method: str) -> None:
        if method != LOAD:
            stream_type = DeltaStream if method == DELTA else SotwStream
            limits = self.settings.limits
            self.streams[key] = stream_type(self.tables, self.encoder, limits, self.epoch, self.revision_time_ms)

    def _node_of(self, key: StreamKey) -> str:
        stream = self.streams.get(key)
        return self.nodes.get(stream.proxy, "") if stream else self.reporters.get(key, "")

    def _handle_request(self, key: StreamKey, request: Any, now_ms: float) -> None:
        stream = self.streams[key]
        if stream.proxy < 0:
            self._join(key, stream, request, now_ms)
        elif self.by_proxy.get(stream.proxy) != key:
            return  # a late request on an old stream: the proxy has opened a new one
        acknowledged, nack = stream.handle_request(request, now_ms)
        node = self.nodes[stream.proxy]
        if acknowledged:
            self.tap("ack", now_ms, proxy=node, nonce=request.response_nonce)
        if nack:
            self.tap("nack", now_ms, proxy=node, nonce=request.response_nonce)
            first = nack.changes[0].resource
            self._log_nack(stream.proxy, nack, first.version if first else "removal")
            self.retry_ms[stream.proxy] = self.tables.proxies[stream.proxy].split_retry_ms

    def _join(self, key: StreamKey, stream: DiscoveryStream, request: Any, now_ms: float) -> None:
        """Joins the proxy that a stream's first request names; closes its previous stream, if any."""
        held = stream.initial_versions(request)
        node = request.node
        is_fresh = not held and not getattr(request, "version_info", "")
        previous = self.hooks.joined_number(node.id)
        if previous is not None and previous in self.by_proxy:
            self.log.info("stream replaced", proxy=node.id, reason=REPLACED_REASON)
            self._finish(self.by_proxy[previous], UNAVAILABLE, REPLACED_REASON, now_ms)
        rate_per_s = node.metadata.fields["usual"].number_value if "usual" in node.metadata.fields else 0.0
        zone = node.locality.zone
        stream.proxy = self.hooks.add_proxy(node.id, zone, rate_per_s, held, is_fresh, self, incarnation_of(node))
        self.by_proxy[stream.proxy] = key
        self._record_joined(stream.proxy, node.id, zone, is_fresh, len(held), now_ms)

    def _finish(self, key: StreamKey, status: int, text: str, now_ms: float) -> None:
        """Closes a stream with a gRPC status."""
        assert self.server
        self.server.finish(*key, status, text)
        self._end(key, text, now_ms)

    def _end(self, key: StreamKey, reason: str, now_ms: float) -> None:
        """Handles the end of a stream; if it was the newest one of its proxy, the proxy has left."""
        self.reporters.pop(key, None)
        stream = self.streams.pop(key, None)
        if stream is None or self.by_proxy.get(stream.proxy) != key:
            return
        del self.by_proxy[stream.proxy]
        self.retry_ms.pop(stream.proxy, None)
        self._record_left(stream.proxy, reason, now_ms)

    def _handle_report(self, key: StreamKey, request: lrs_pb2.LoadStatsRequest, data: bytes) -> None:
        """Handles a load report that arrives as an event: the case without a report reader."""
        if key not in self.reporters:
            self.reporters[key] = request.node.id
            key.peer.send(key.stream, load_request(self.settings.fleet.proxies.report_interval_ms, True))
        proxy = self.hooks.joined_number(self.reporters[key])
        if proxy is not None and request.cluster_stats:  # reports of a proxy that has not joined are ignored
            self.hooks.add_load_report(
                proxy, read_report(request, data, self.hooks.class_indexes, self.hooks.endpoint_numbers)
            )

    # Updates

    def pump(self, now_ms: float, changed: set[int]) -> None:
        """Sends pending updates to each proxy of this front that has changes or whose retry time has come."""
        self.full_peers = []
        super().pump(now_ms, changed)

    def _send_changes(self, proxy: int, now_ms: float) -> None:
        key = self.by_proxy.get(proxy)
        if key is None:
            return
        if key.peer.unsent_bytes() > self.settings.limits.max_unsent_bytes:
            self.full_peers.append(key.peer)
            self.tables.pending_proxies.add(proxy)  # the newest state is sent once there is space, without a backlog
            return
        for response in self.streams[key].pump(now_ms):
            self._send(proxy, key, response, now_ms)
        ledger = self.tables.proxies.get(proxy)
        if ledger and (retry_ms := ledger.next_retry_ms(now_ms)) is not None:
            self.retry_ms[proxy] = max(now_ms, retry_ms)

    def _send(self, proxy: int, key: StreamKey, response: Response, now_ms: float) -> None:
        if response.updated or response.removed:
            self.tap(
                "send",
                now_ms,
                proxy=self.nodes[proxy],
                order=response.revision,
                ordered=self.revision_time_ms(response.revision),
                lines=response.updated + response.removed,
                bytes=len(response.message),
                nonce=response.nonce,
                type=response.type_url.rpartition(".")[2],
            )
        key.peer.send(key.stream, response.message)

    def _maintain(self, now_ms: float) -> None:
        """Closes streams without acknowledgements: an update that is never applied must not stay in flight for ever."""
        max_age_ms = self.settings.limits.ack_timeout_ms
        for proxy, key in list(self.by_proxy.items()):
            self._log_overdue_ejections(proxy, now_ms)
            ledger = self.tables.proxies[proxy]
            for delay in ledger.new_ack_delays(now_ms, key.peer.last_received_ms):
                self._record_ack_delay(proxy, delay, now_ms)
            if ledger.has_late_ack(now_ms):
                self.retry_ms[proxy] = now_ms  # a probe may be due
            oldest_ms = ledger.oldest_sent_ms()
            if oldest_ms is not None and now_ms - oldest_ms > max_age_ms:
                text = f"no acknowledgement within {max_age_ms:g} ms"
                self.log.warning("stream closed", proxy=self.nodes[proxy], reason=text)
                assert self.server
                self.server.finish(*key, RESOURCE_EXHAUSTED, text)
                key.peer.close(text)
                self._end(key, text, now_ms)

    def _record_ack_delay(self, proxy: int, delay: AckDelay, now_ms: float) -> None:
        """Records and logs the cause of a late acknowledgement, or that acknowledgements are in time again."""
        node, waiting_ms = self.nodes[proxy], round(delay.waiting_ms, 1)
        self.tap("verdict", now_ms, proxy=node, nonce=delay.nonce, kind=delay.status, waits=waiting_ms)
        log = self.log.info if delay.status == IN_TIME else self.log.warning
        reason = delay.reason or "acknowledged in time again"
        log(DELAY_EVENTS[delay.status], proxy=node, version=delay.nonce, waits_ms=waiting_ms, reason=reason)
