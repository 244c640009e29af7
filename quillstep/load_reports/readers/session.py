"""Report streams of one reader: buffers their messages and reads them as far as the aggregator's budget allows.

Performs no I/O.  The transport reports opened streams, received messages and closed streams, calls `read_messages`, and
then applies the pending actions: messages to send, streams to end, and messages that were consumed.  Only once a
message is consumed may the peer send more, which applies back-pressure to the proxy.
"""

from collections import deque
from collections.abc import Hashable
from dataclasses import dataclass, field
from typing import Generic, NamedTuple, TypeVar

from envoy.service.load_stats.v3 import lrs_pb2
from google.protobuf.message import DecodeError

from quillstep.load_reports.aggregator import ReportAggregator
from quillstep.load_reports.messages import ReportRequest
from quillstep.load_reports.validation import ReportAccount
from quillstep.xds.grpc import INVALID_ARGUMENT, PERMISSION_DENIED, UNAVAILABLE
from quillstep.xds.load_stats import incarnation_of, load_request, read_report

JOIN_POLL_PERIODS = 0.1  # interval between checks whether a proxy whose reports arrived first has joined
IDLE_PERIODS = 3.0  # idle time after which a stream's name may be claimed by a stream without an incarnation

Key = TypeVar("Key", bound=Hashable)  # identifies a stream to the transport


class BufferedMessage(NamedTuple):
    """A received message that has not been read."""

    arrived_ms: float
    data: bytes


@dataclass(slots=True)
class ReportStream:
    """One report stream: the proxy that it claims to be, and its buffered messages."""

    name: str = ""
    incarnation: str = ""
    buffered: deque[BufferedMessage] = field(default_factory=deque)
    due_ms: float = 0.0  # earliest time to read its next message; 0 for at once
    read_ms: float = 0.0  # time of its last read; 0 before the first


class MessageToSend(NamedTuple, Generic[Key]):
    """A response on a stream."""

    key: Key
    data: bytes


class StreamToEnd(NamedTuple, Generic[Key]):
    """A stream to end with a gRPC status."""

    key: Key
    status: int
    text: str


class ConsumedMessage(NamedTuple, Generic[Key]):
    """A message that was read, for flow control."""

    key: Key
    size_bytes: int


class NamedStream(NamedTuple):
    """A proxy that has opened a stream at this reader."""

    name: str
    incarnation: str


@dataclass(slots=True)
class PendingActions(Generic[Key]):
    """Actions that the transport must apply."""

    sends: list[MessageToSend[Key]] = field(default_factory=list)
    ends: list[StreamToEnd[Key]] = field(default_factory=list)
    consumed: list[ConsumedMessage[Key]] = field(default_factory=list)
    opened: list[NamedStream] = field(default_factory=list)


class ReaderSession(Generic[Key]):
    """Reads the streams of one reader for one aggregator.

    Attributes:
        by_name: The accepted stream of each proxy, by name.
        readable: Streams with buffered messages, in round-robin order.
        buffered_bytes: Total size of all buffered messages.
        pending: Actions for the transport since the last `drain_pending`.
    """

    def __init__(self, aggregator: ReportAggregator) -> None:
        self.aggregator = aggregator
        self.streams: dict[Key, ReportStream] = {}
        self.by_name: dict[str, Key] = {}
        self.readable: deque[Key] = deque()
        self.buffered_bytes = 0
        self.pending: PendingActions[Key] = PendingActions()

    # Streams

    def open_stream(self, key: Key) -> None:
        """Handles an opened stream."""
        self.streams[key] = ReportStream()

    def add_message(self, key: Key, data: bytes, now_ms: float) -> None:
        """Buffers a received message; ignored if the stream is not open."""
        stream = self.streams.get(key)
        if stream is None:
            return
        if not stream.buffered:
            self.readable.append(key)
        stream.buffered.append(BufferedMessage(now_ms, data))
        self.buffered_bytes += len(data)

    def end_stream(self, key: Key) -> None:
        """Handles a closed stream; its buffered messages are dropped."""
        stream = self.streams.pop(key, None)
        if stream is None:
            return
        self.buffered_bytes -= sum(len(message.data) for message in stream.buffered)
        stream.buffered.clear()
        if self.by_name.get(stream.name) == key:
            del self.by_name[stream.name]

    # Messages from the controller

    def add_proxy(self, account: ReportAccount, name: str) -> None:
        """Handles a joined proxy: sends its stream a report request, or ends a stream of another incarnation."""
        self.aggregator.add_proxy(account, name)
        key = self.by_name.get(name)
        if key is None:
            return
        if account.incarnation and self.streams[key].incarnation != account.incarnation:
            self._reject_claim(key)
        else:
            self.streams[key].due_ms = 0.0
            self._send_request(key, account.period_ms, account.is_full)

    def request_reports(self, request: ReportRequest) -> None:
        """Changes how a proxy is to report, and sends it the request if that differs."""
        name = self.aggregator.set_request(request)
        if name in self.by_name:
            account = self.aggregator.accounts[name]
            self._send_request(self.by_name[name], account.period_ms, account.is_full)

    # Reading

    def read_messages(self, now_ms: float) -> float:
        """Reads at most one message per stream; returns when to call it again if nothing else happens."""
        due_ms = float("inf")
        for _ in range(len(self.readable)):
            key = self.readable.popleft()
            stream = self.streams.get(key)
            if stream is None or not stream.buffered:
                continue
            if stream.due_ms <= now_ms:
                self._read_next(key, stream, now_ms)
            if stream.buffered:
                self.readable.append(key)
                due_ms = min(due_ms, stream.due_ms or now_ms)
        return min(due_ms, self.aggregator.due_ms())

    def drain_pending(self) -> PendingActions[Key]:
        """Returns the actions that have accumulated since the last call."""
        pending, self.pending = self.pending, PendingActions()
        return pending

    def _read_next(self, key: Key, stream: ReportStream, now_ms: float) -> None:
        """Reads the next message of a stream, or sets the time at which it may be read."""
        arrived_ms, data = stream.buffered[0]
        stream.due_ms = self._wait_until_ms(stream, arrived_ms, len(data), now_ms)
        if not stream.due_ms:
            stream.buffered.popleft()
            self.buffered_bytes -= len(data)
            self.pending.consumed.append(ConsumedMessage(key, len(data)))
            self._read(key, stream, data, arrived_ms, now_ms)

    def _wait_until_ms(self, stream: ReportStream, arrived_ms: float, size_bytes: int, now_ms: float) -> float:
        """Returns 0 if a message may be read now, else when to try again."""
        default_period_ms = self.aggregator.default_period_ms
        has_joined = stream.name in self.aggregator.accounts
        if stream.name and not has_joined and now_ms - arrived_ms < default_period_ms:
            return now_ms + JOIN_POLL_PERIODS * default_period_ms  # the proxy's discovery stream may open shortly
        return self.aggregator.wait_until_ms(stream.name, size_bytes, now_ms)

    def _read(self, key: Key, stream: ReportStream, data: bytes, arrived_ms: float, now_ms: float) -> None:
        """Decodes and counts one message."""
        aggregator = self.aggregator
        cost = aggregator.charge(len(data))
        stream.read_ms = now_ms
        try:
            request = lrs_pb2.LoadStatsRequest.FromString(data)
        except DecodeError:
            aggregator.warn(stream.name, "malformed message", now_ms)
            self._end(key, INVALID_ARGUMENT, "a message that is no report")
            return
        if not stream.name and not self._identify(key, stream, request, now_ms):
            return
        if request.cluster_stats:
            report = read_report(request, data, aggregator.class_indexes, aggregator.endpoints)
            aggregator.add_report(stream.name, report, arrived_ms, now_ms, cost)

    def _identify(self, key: Key, stream: ReportStream, request: lrs_pb2.LoadStatsRequest, now_ms: float) -> bool:
        """Handles a stream's first message, which names its proxy; returns False if the stream is ended.

        A name that has joined with another incarnation can't be claimed; nor, without an incarnation, can a name that
        has another active stream.
        """
        name, incarnation = request.node.id, incarnation_of(request.node)
        if not name:
            self._end(key, INVALID_ARGUMENT, "the first request names no node")
            return False
        stream.name, stream.incarnation = name, incarnation
        account = self.aggregator.accounts.get(name)
        if account is not None and account.incarnation and account.incarnation != incarnation:
            self._reject_claim(key)
            return False
        period_ms = account.period_ms if account else self.aggregator.default_period_ms
        previous = self.by_name.get(name)
        if previous is not None:
            is_active = now_ms - self.streams[previous].read_ms < IDLE_PERIODS * period_ms
            if not incarnation and is_active:
                self._reject_claim(key)
                return False
            self._end(previous, UNAVAILABLE, "the proxy dialled anew")
        self.by_name[name] = key
        self.pending.opened.append(NamedStream(name, incarnation))
        self._send_request(key, period_ms, account.is_full if account else True)
        return True

    def _send_request(self, key: Key, period_ms: float, is_full: bool) -> None:
        self.pending.sends.append(MessageToSend(key, load_request(period_ms, is_full)))

    def _reject_claim(self, key: Key) -> None:
        stream = self.streams[key]
        self.aggregator.warn(stream.name, "name is claimed by another stream", stream.read_ms)
        self._end(key, PERMISSION_DENIED, "this name is another's")

    def _end(self, key: Key, status: int, text: str) -> None:
        self.pending.ends.append(StreamToEnd(key, status, text))
        self.end_stream(key)
