"""Load reports of a stand-in proxy, at the interval and with the detail that its controller asks for.

Reports are numbered and time-stamped, and each request is counted in one report only.  They use the subscription's
stream, or a connection to a reader process, which is polled when a report is due and needs no thread.  While the peer
does not read, stats accumulate here.  The last report of a broken stream is sent again under the same number, as it
may or may not have been read.
"""

import contextlib
import socket
import zlib
from typing import Any

from envoy.service.load_stats.v3 import lrs_pb2
from google.protobuf.message import DecodeError

from quillstep.net.clock import now_ms
from quillstep.testbed.proxy_interface import ProxyInterface
from quillstep.xds.client import MAX_MESSAGE_BYTES
from quillstep.xds.http2 import GrpcConnection, MessageReceived, ProtocolError, StreamEnded
from quillstep.xds.load_stats import LATENCY_BUCKET_PREFIX
from quillstep.xds.peer import connect
from quillstep.xds.server import LOAD

CONNECT_TIMEOUT_MS = 250.0
MAX_UNSENT_BYTES = 32 * 1024  # above it no report is made, and stats accumulate
MAX_DELAYED_REPORTS = 64
BUCKETS_MS = [5.0 * 2.0**exponent for exponent in range(12)]
LATENCY_METRICS = [f"{LATENCY_BUCKET_PREFIX}{bound:g}" for bound in BUCKETS_MS]


def bucket_index(latency_ms: float) -> int:
    """Return the index of the latency bucket; latencies above all bounds count in the last one."""
    return next((index for index, bound in enumerate(BUCKETS_MS) if latency_ms <= bound), len(BUCKETS_MS) - 1)


class DedicatedReportStream:
    """A load report stream on its own connection, without threads: all calls come from the reporting thread."""

    def __init__(self, address: str) -> None:
        """Connect to a reader process at `host:port`.

        Raises:
            OSError: The reader can't be reached.
        """
        self.address = address
        self.sock = connect(address, CONNECT_TIMEOUT_MS)
        self.sock.settimeout(None)  # blocking; calls that must not block use MSG_DONTWAIT
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.http2 = GrpcConnection(True, MAX_MESSAGE_BYTES)
        self.stream = self.http2.open(LOAD, address)
        self.output = bytearray()

    def unsent(self) -> int:
        """Return how many bytes wait to be sent."""
        return len(self.output) + self.http2.unsent_bytes

    def send(self, data: bytes) -> None:
        """Send one report, as far as the socket takes it without blocking.

        Raises:
            OSError: The connection is broken.
        """
        self.http2.send(self.stream, data)
        self.flush()

    def flush(self) -> None:
        """Write pending output without blocking.

        Raises:
            OSError: The connection is broken.
        """
        self.output += self.http2.pump()
        if self.output:
            with contextlib.suppress(BlockingIOError):
                sent = self.sock.send(self.output, socket.MSG_DONTWAIT)
                del self.output[:sent]

    def messages(self) -> list[bytes]:
        """Return the messages that have been received, without blocking.

        Raises:
            OSError: The connection is broken.
            ProtocolError: The stream or the connection was closed.
        """
        received = []
        with contextlib.suppress(BlockingIOError):
            while True:
                data = self.sock.recv(65536, socket.MSG_DONTWAIT)
                if not data:
                    raise ProtocolError("the peer closed the connection")
                for event in self.http2.receive(data):
                    if isinstance(event, MessageReceived):
                        received.append(event.data)
                    elif isinstance(event, StreamEnded):
                        raise ProtocolError(event.reason or "the peer closed the stream")
        self.flush()
        return received

    def close(self) -> None:
        """Close the connection."""
        self.sock.close()


class LoadReporter:
    """The load reports of one proxy."""

    def __init__(self, proxy: ProxyInterface) -> None:
        self.proxy = proxy
        self.default_period_ms = self.period_ms = proxy.host.proxy_settings["report_every_ms"]
        self.is_full = True  # whether reports include stats by endpoint
        self.number = 0
        # Faults that a scenario injects, each until a time on the monotonic clock.
        self.delay_until_ms = self.delay_ms = self.padded_until_ms = self.disconnected_until_ms = 0.0
        self.delayed: list[tuple[float, lrs_pb2.LoadStatsRequest]] = []  # reports by the time at which each is due
        self.last: lrs_pb2.LoadStatsRequest | None = None
        self.dedicated: DedicatedReportStream | None = None
        self.greeted_stream: Any = None  # the stream on which the node has been sent
        self.padding = b""
        self.padded_endpoints = 0

    def handle_response(self, data: bytes) -> None:
        """Apply a controller's response: the reporting interval, and whether to report each endpoint."""
        with contextlib.suppress(DecodeError):
            response = lrs_pb2.LoadStatsResponse.FromString(data)
            self.period_ms = max(1.0, response.load_reporting_interval.ToNanoseconds() / 1e6)
            self.is_full = response.report_endpoint_granularity

    def tick(self) -> float:
        """Make a report and send the reports that are due; return the milliseconds until the next call."""
        now = now_ms()
        stream = self._stream()
        if stream is not None:
            with contextlib.suppress(OSError, ProtocolError):
                self._report(stream, now)
        return self.period_ms

    def _report(self, stream: Any, now: float) -> None:
        try:
            if isinstance(stream, DedicatedReportStream):
                for data in stream.messages():
                    self.handle_response(data)
            if stream is not self.greeted_stream:
                self._greet(stream)
            if stream.unsent() > MAX_UNSENT_BYTES:
                return
            if len(self.delayed) < MAX_DELAYED_REPORTS:
                delay_ms = self.delay_ms if self.delay_until_ms > now else 0.0
                self.delayed.append((now + delay_ms, self._make_report(now)))
            for due, request in list(self.delayed):
                if due <= now:
                    self.delayed.remove((due, request))
                    self._send(stream, request, now)
        except (OSError, ProtocolError):
            if stream is self.dedicated and self.dedicated:
                self.dedicated.close()
                self.dedicated = None
            raise

    def _greet(self, stream: Any) -> None:
        """Send the node on a new stream, and the last report again, which the old stream may not have delivered."""
        opening = lrs_pb2.LoadStatsRequest()
        self.proxy.describe(opening.node)
        stream.send(opening.SerializeToString())
        self.greeted_stream = stream
        self.period_ms, self.is_full = self.default_period_ms, True
        if self.last is not None:
            self._send(stream, self.last, now_ms())

    def _send(self, stream: Any, request: lrs_pb2.LoadStatsRequest, now: float) -> None:
        stamps = request.node.metadata.fields["report"].struct_value.fields
        stamps["sent_ms"].number_value = now
        self.last = request
        stream.send(request.SerializeToString() + (self._pad() if self.padded_until_ms > now else b""))

    def _stream(self) -> Any:
        """Return the stream to report on now; None while there is none."""
        proxy = self.proxy
        subscriber = proxy.subscriber
        if subscriber is None or subscriber.stalled_until_ms > now_ms() or self.disconnected_until_ms > now_ms():
            self._close_dedicated()
            return None
        address = subscriber.report_address()
        if address is None:
            self._close_dedicated()
            return subscriber.report_stream
        if self.dedicated and self.dedicated.address != address:
            self._close_dedicated()
        if self.dedicated is None:
            with contextlib.suppress(OSError):
                self.dedicated = DedicatedReportStream(address)
        return self.dedicated

    def _close_dedicated(self) -> None:
        if self.dedicated:
            self.dedicated.close()
            self.dedicated = None

    def _make_report(self, now: float) -> lrs_pb2.LoadStatsRequest:
        """Drain the proxy's stats into a report; stats of each endpoint only where the controller asks for them."""
        proxy = self.proxy
        endpoint_stats, class_stats, window_ms = proxy.drain_stats()
        self.number += 1
        request = lrs_pb2.LoadStatsRequest()
        stamps = request.node.metadata.fields["report"].struct_value.fields
        stamps["number"].number_value, stamps["until_ms"].number_value = self.number, now
        names = sorted(set(class_stats) | ({next(iter(proxy.host.classes))} if endpoint_stats else set()))
        for position, name in enumerate(names or list(proxy.host.classes)[:1]):
            cluster = request.cluster_stats.add(cluster_name=name)
            cluster.load_report_interval.FromNanoseconds(round(window_ms * 1e6))
            locality = cluster.upstream_locality_stats.add()
            locality.locality.zone = proxy.zone
            stats = class_stats.get(name)
            arrived, unanswered, shed = stats.counts if stats else (0, 0, 0)
            cluster.total_dropped_requests = shed
            metrics: list[tuple[str, int, float]] = [
                ("arrived", arrived, arrived),
                ("unanswered", unanswered, unanswered),
            ]
            metrics += (
                [(LATENCY_METRICS[bucket], *totals) for bucket, totals in sorted(stats.latencies.items())]
                if stats
                else []
            )
            for metric, count, total in metrics:
                added = locality.load_metric_stats.add(metric_name=metric, total_metric_value=total)
                added.num_requests_finished_with_metric = count
            if position == 0 and self.is_full:
                for address, row in endpoint_stats.items():
                    fill_endpoint_stats(locality.upstream_endpoint_stats.add(), address, row)
        return request

    def _pad(self) -> bytes:
        """Return empty stats of all endpoints in this proxy's tables.

        They give a report the size of a busy proxy's full report without changing any count.
        """
        if not self.is_full:
            return b""
        addresses = {entry[0] for entries in [*self.proxy.routing.tables.values()] for entry in [*entries.values()]}
        if len(addresses) != self.padded_endpoints:
            self.padded_endpoints = len(addresses)
            request = lrs_pb2.LoadStatsRequest()
            locality = request.cluster_stats.add(cluster_name="").upstream_locality_stats.add()
            for address in sorted(addresses):
                row = locality.upstream_endpoint_stats.add(total_requests_in_progress=1)
                fill_endpoint_stats(row, address, [0, 0, 0.0, {"cpu_utilization": [0, 0.0]}])
            self.padding = request.SerializeToString()
        return self.padding

    def select_reader(self, addresses: list[str]) -> str:
        """Return the address of this proxy's reader process, the same one at each call."""
        return addresses[zlib.crc32(self.proxy.name.encode()) % len(addresses)]


def fill_endpoint_stats(message: Any, address: tuple[str, int], stats: list[Any]) -> None:
    """Fill in an `UpstreamEndpointStats` message.

    Args:
        message: The message to fill in.
        address: Host and port of the endpoint.
        stats: Successes, failures, total latency of the successes in milliseconds, and load metrics by name, each
            with its count and total.
    """
    succeeded, failed, latency_ms, load = stats
    message.address.socket_address.address, message.address.socket_address.port_value = address
    message.total_successful_requests, message.total_error_requests = succeeded, failed
    message.total_issued_requests = succeeded + failed
    metrics: dict[str, Any] = {"took_ms": [succeeded, latency_ms]}
    metrics.update({"util" if name == "cpu_utilization" else name: value for name, value in load.items()})
    for metric, (count, total) in metrics.items():
        row = message.load_metric_stats.add(metric_name=metric, total_metric_value=total)
        row.num_requests_finished_with_metric = count
