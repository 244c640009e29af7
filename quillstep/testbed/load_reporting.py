"""How a stand-in proxy reports its load: as often and as fully as asked, numbered, stamped, nothing twice as new.

Its stream is its follower's, or one of its own to a reading process; then it needs no thread: it is looked at
whenever a report is due.  While its pilot takes nothing, sums add up here.  A report whose stream broke under it is
sent again under its number, for it may have been read or not.
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
MAX_UNSENT_BYTES = 32 * 1024  # beyond it sums stay here and add up
MAX_DELAYED_REPORTS = 64  # reports that are held back
BUCKETS_MS = [5.0 * 2.0**at for at in range(12)]
TOOK_NAMES = [f"{LATENCY_BUCKET_PREFIX}{bound:g}" for bound in BUCKETS_MS]


def bucket(took_ms: float) -> int:
    return next((at for at, bound in enumerate(BUCKETS_MS) if took_ms <= bound), len(BUCKETS_MS) - 1)


class DedicatedReportStream:
    """A load report stream on a connection of its own, without threads: all calls come from the reporting thread."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.sock = connect(address, CONNECT_TIMEOUT_MS)
        self.sock.settimeout(None)  # it blocks, but for what says it must not
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.http2 = GrpcConnection(True, MAX_MESSAGE_BYTES)
        self.stream = self.http2.open(LOAD, address)
        self.out = bytearray()

    def unsent(self) -> int:
        return len(self.out) + self.http2.unsent_bytes

    def send(self, data: bytes) -> None:
        self.http2.send(self.stream, data)
        self.flush()

    def flush(self) -> None:
        """Raises OSError or ConnectionBroken where the stream has ended."""
        self.out += self.http2.pump()
        if self.out:
            with contextlib.suppress(BlockingIOError):
                sent = self.sock.send(self.out, socket.MSG_DONTWAIT)
                del self.out[:sent]

    def messages(self) -> list[bytes]:
        """What has come; raises as `flush`."""
        found = []
        with contextlib.suppress(BlockingIOError):
            while True:
                data = self.sock.recv(65536, socket.MSG_DONTWAIT)
                if not data:
                    raise ProtocolError("the pilot closed the connection")
                for event in self.http2.receive(data):
                    if isinstance(event, MessageReceived):
                        found.append(event.data)
                    elif isinstance(event, StreamEnded):
                        raise ProtocolError(event.reason or "the pilot ended the stream")
        self.flush()
        return found

    def close(self) -> None:
        self.sock.close()


class LoadReporter:
    """One proxy's reports."""

    def __init__(self, proxy: ProxyInterface) -> None:
        self.proxy = proxy
        self.usual_ms = self.period_ms = proxy.host.proxies["report_every_ms"]
        self.full = True
        self.number = 0
        self.late_until = self.late_ms = self.heavy_until = self.cut_until = 0.0
        self.held: list[tuple[float, lrs_pb2.LoadStatsRequest]] = []  # when to send what
        self.last: lrs_pb2.LoadStatsRequest | None = None
        self.own: DedicatedReportStream | None = None
        self.said_to: Any = None  # the stream that the node was named on
        self.padding = b""
        self.padded = 0

    # what is asked

    def asked(self, data: bytes) -> None:
        """A pilot's answer on the stream."""
        with contextlib.suppress(DecodeError):
            answer = lrs_pb2.LoadStatsResponse.FromString(data)
            self.period_ms = max(1.0, answer.load_reporting_interval.ToNanoseconds() / 1e6)
            self.full = answer.report_endpoint_granularity

    # reporting

    def tick(self) -> float:
        """What is due now; returns after how many milliseconds to come again."""
        now = now_ms()
        stream = self.stream()
        if stream is not None:
            with contextlib.suppress(OSError, ProtocolError):
                self.attend(stream, now)
        return self.period_ms

    def attend(self, stream: Any, now: float) -> None:
        try:
            if isinstance(stream, DedicatedReportStream):
                for data in stream.messages():
                    self.asked(data)
            if stream is not self.said_to:
                self.greet(stream)
            if stream.unsent() > MAX_UNSENT_BYTES:
                return
            if len(self.held) < MAX_DELAYED_REPORTS:
                late = self.late_ms if self.late_until > now else 0.0
                self.held.append((now + late, self.make(now)))
            for due, request in list(self.held):
                if due <= now:
                    self.held.remove((due, request))
                    self.send(stream, request, now)
        except (OSError, ProtocolError):
            if stream is self.own and self.own:
                self.own.close()
                self.own = None
            raise

    def greet(self, stream: Any) -> None:
        """A new stream: say who this is, and again what the stream before may not have brought."""
        opening = lrs_pb2.LoadStatsRequest()
        self.proxy.describe(opening.node)
        stream.send(opening.SerializeToString())
        self.said_to = stream
        self.period_ms, self.full = self.usual_ms, True
        if self.last is not None:
            self.send(stream, self.last, now_ms())

    def send(self, stream: Any, request: lrs_pb2.LoadStatsRequest, now: float) -> None:
        stamps = request.node.metadata.fields["report"].struct_value.fields
        stamps["sent_ms"].number_value = now
        self.last = request
        stream.send(request.SerializeToString() + (self.pad() if self.heavy_until > now else b""))

    def stream(self) -> Any:
        """The stream to report on now; None while there is none."""
        proxy = self.proxy
        subscriber = proxy.subscriber
        if subscriber is None or subscriber.stalled_ms > now_ms() or self.cut_until > now_ms():
            self.drop()
            return None
        address = subscriber.report_address()
        if address is None:
            self.drop()
            return subscriber.load_stream
        if self.own and self.own.address != address:
            self.drop()
        if self.own is None:
            with contextlib.suppress(OSError):
                self.own = DedicatedReportStream(address)
        return self.own

    def drop(self) -> None:
        if self.own:
            self.own.close()
            self.own = None

    def make(self, now: float) -> lrs_pb2.LoadStatsRequest:
        """What was met since the last report, which starts anew; by endpoint only where that is asked."""
        proxy = self.proxy
        sums, came, covers_ms = proxy.hand_over()
        self.number += 1
        request = lrs_pb2.LoadStatsRequest()
        stamps = request.node.metadata.fields["report"].struct_value.fields
        stamps["number"].number_value, stamps["until_ms"].number_value = self.number, now
        names = sorted(set(came) | ({next(iter(proxy.host.classes))} if sums else set()))
        for place, name in enumerate(names or list(proxy.host.classes)[:1]):
            stats = request.cluster_stats.add(cluster_name=name)
            stats.load_report_interval.FromNanoseconds(round(covers_ms * 1e6))
            locality = stats.upstream_locality_stats.add()
            locality.locality.zone = proxy.zone
            row = came.get(name)
            arrived, unanswered, refused = row.counts if row else (0, 0, 0)
            stats.total_dropped_requests = refused
            metrics: list[tuple[str, int, float]] = [
                ("arrived", arrived, arrived),
                ("unanswered", unanswered, unanswered),
            ]
            metrics += [(TOOK_NAMES[at], *met) for at, met in sorted(row.took.items())] if row else []
            for metric, count, total in metrics:
                told = locality.load_metric_stats.add(metric_name=metric, total_metric_value=total)
                told.num_requests_finished_with_metric = count
            if place == 0 and self.full:
                for address, each in sums.items():
                    name_endpoint(locality.upstream_endpoint_stats.add(), address, each)
        return request

    def pad(self) -> bytes:
        """Rows of all endpoints in this proxy's tables on which nothing has ended: what a report in full of a proxy
        with much traffic weighs, without saying anything."""
        if not self.full:
            return b""
        addresses = {row[0] for lines in [*self.proxy.held.tables.values()] for row in [*lines.values()]}
        if len(addresses) != self.padded:
            self.padded = len(addresses)
            request = lrs_pb2.LoadStatsRequest()
            locality = request.cluster_stats.add(cluster_name="").upstream_locality_stats.add()
            for address in sorted(addresses):
                row = locality.upstream_endpoint_stats.add(total_requests_in_progress=1)
                name_endpoint(row, address, [0, 0, 0.0, {"cpu_utilization": [0, 0.0]}])
            self.padding = request.SerializeToString()
        return self.padding

    def address_of(self, addresses: list[str]) -> str:
        """The same reading process each time."""
        return addresses[zlib.crc32(self.proxy.name.encode()) % len(addresses)]


def name_endpoint(told: Any, address: tuple[str, int], met: list) -> None:
    """A row: good, failed, time of the good ones, load figures by name."""
    good, failed, good_ms, load = met
    told.address.socket_address.address, told.address.socket_address.port_value = address
    told.total_successful_requests, told.total_error_requests = good, failed
    told.total_issued_requests = good + failed
    metrics: dict[str, Any] = {"took_ms": [good, good_ms]}
    metrics.update({"util" if name == "cpu_utilization" else name: value for name, value in load.items()})
    for metric, (count, total) in metrics.items():
        row = told.load_metric_stats.add(metric_name=metric, total_metric_value=total)
        row.num_requests_finished_with_metric = count
