"""One HTTP/2 connection that carries gRPC streams, without I/O: bytes in, events out, bytes out (h2 does HTTP/2)."""

import contextlib
from collections import deque
from collections.abc import Callable
from typing import Any

import h2.config
import h2.connection
import h2.errors
import h2.events
import h2.exceptions
import h2.settings
import msgspec

from quillstep.net.codec import ProtocolError
from quillstep.net.connection import Connection
from quillstep.xds.grpc import INTERNAL, OK, UNAVAILABLE, FrameDecoder, FramingError, frame

MAX_STREAMS = 16  # on one connection
CONNECTION_WINDOW_BYTES = 2**20
SERVER_STREAM_WINDOW_BYTES = 2**16 - 1  # what waits of a peer's reports is never more
MAX_HEADER_BYTES = 16384
MAX_GOODBYE_BYTES = 4096
MAX_STATUS_TEXT = 200  # characters
PING_DATA = b"quillste"


class StreamOpened(msgspec.Struct, frozen=True, gc=False):
    """A peer has opened a stream to a method."""

    stream: int
    path: str


class MessageReceived(msgspec.Struct, frozen=True, gc=False):
    """A message has arrived."""

    stream: int
    data: bytes


class StreamEnded(msgspec.Struct, frozen=True, gc=False):
    """A stream has ended, with a gRPC status and its text."""

    stream: int
    status: int
    reason: str


Event = StreamOpened | MessageReceived | StreamEnded


def header_texts(headers: Any) -> dict[str, str]:
    """Header fields as text; what is not ASCII is kept readable, it is only ever logged."""
    return {bytes(name).decode("latin-1"): bytes(value).decode("latin-1") for name, value in headers or ()}


class _Unacknowledged(msgspec.Struct, gc=False):
    """What arrived on a stream with manual flow control and is not acknowledged yet."""

    size_bytes: int = 0
    messages: int = 0


class GrpcConnection:
    """Either end of a connection; not safe for threads, its owner holds a lock."""

    def __init__(self, is_client: bool, max_message_bytes: int, max_header_bytes: int = MAX_HEADER_BYTES) -> None:
        config = h2.config.H2Configuration(client_side=is_client, header_encoding=None)
        self.h2 = h2.connection.H2Connection(config)
        self.is_client, self.max_message_bytes = is_client, max_message_bytes
        stream_window = CONNECTION_WINDOW_BYTES if is_client else SERVER_STREAM_WINDOW_BYTES
        self.h2.local_settings = h2.settings.Settings(
            client=is_client,
            initial_values={
                h2.settings.SettingCodes.MAX_CONCURRENT_STREAMS: MAX_STREAMS,
                h2.settings.SettingCodes.MAX_HEADER_LIST_SIZE: max_header_bytes,
                h2.settings.SettingCodes.INITIAL_WINDOW_SIZE: stream_window,
            },
        )
        self.h2.decoder.max_header_list_size = max_header_bytes
        self.decoders: dict[int, FrameDecoder] = {}
        self.send_queues: dict[int, deque[bytes]] = {}  # framed messages that flow control holds back
        self.finishing: dict[int, tuple[int, str]] = {}  # status of streams that end once their messages are sent
        self.answered: set[int] = set()  # streams whose response headers are sent
        self.unsent_bytes = 0
        self.is_registered = False  # the first request has come
        self.unacknowledged: dict[int, _Unacknowledged] = {}  # of streams with manual flow control
        self._handlers: dict[type[Any], Callable[[Any], list[Event]]] = {
            h2.events.RequestReceived: self._on_request,
            h2.events.DataReceived: self._on_data,
            h2.events.TrailersReceived: self._on_response_headers,
            h2.events.ResponseReceived: self._on_response_headers,
            h2.events.StreamEnded: self._on_stream_end,
            h2.events.StreamReset: self._on_stream_reset,
            h2.events.ConnectionTerminated: self._on_termination,
        }
        self.h2.initiate_connection()
        self.h2.increment_flow_control_window(CONNECTION_WINDOW_BYTES)

    # what the peer sends

    def receive(self, data: bytes) -> list[Event]:
        """The events that these bytes complete.

        Raises:
            ProtocolError: The peer broke the protocol.
        """
        try:
            received = self.h2.receive_data(data)
        except (h2.exceptions.ProtocolError, h2.exceptions.H2Error) as error:
            raise ProtocolError(f"{type(error).__name__}: {error}") from error
        except Exception as error:  # whatever else a hostile peer makes h2 or hpack raise ends its connection
            raise ProtocolError(f"unreadable: {type(error).__name__}: {error}") from error
        events: list[Event] = []
        for each in received:
            handler = self._handlers.get(type(each))
            if handler:
                events += handler(each)
        self.is_registered = self.is_registered or bool(events)
        return events

    def _on_request(self, received: h2.events.RequestReceived) -> list[Event]:
        headers = header_texts(received.headers)
        stream = received.stream_id or 0
        self.decoders[stream] = FrameDecoder(self.max_message_bytes)
        content_type = headers.get("content-type", "")
        if headers.get(":method") != "POST" or not content_type.startswith("application/grpc"):
            self.h2.send_headers(stream, [(":status", "415")], end_stream=True)
            self._forget(stream)
            return []
        return [StreamOpened(stream, headers.get(":path", ""))]

    def _on_data(self, received: h2.events.DataReceived) -> list[Event]:
        stream = received.stream_id or 0
        decoder = self.decoders.get(stream)
        try:
            messages = decoder.feed(received.data or b"") if decoder else []
            self._acknowledge_data(stream, received.flow_controlled_length or 0, len(messages))
        except FramingError as error:
            if self.is_client:
                raise ProtocolError(str(error)) from error
            self.finish(stream, error.status, str(error))
            self.decoders.pop(stream, None)
            return [StreamEnded(stream, error.status, str(error))]
        return [MessageReceived(stream, message) for message in messages]

    def _on_response_headers(self, received: Any) -> list[Event]:
        headers = header_texts(received.headers)
        stream = received.stream_id or 0
        http_status = headers.get(":status", "200")
        if http_status != "200":
            return [StreamEnded(stream, INTERNAL, f"HTTP status {http_status}")]
        if "grpc-status" not in headers:
            return []
        code = headers["grpc-status"]
        status = int(code) if code.isdigit() else INTERNAL
        return [StreamEnded(stream, status, headers.get("grpc-message", ""))]

    def _on_stream_end(self, received: h2.events.StreamEnded) -> list[Event]:
        stream = received.stream_id or 0
        if self.decoders.pop(stream, None) is None:
            return []
        if not self.is_client and stream not in self.finishing:
            self.finish(stream, OK, "")
        return [StreamEnded(stream, OK, "")]

    def _on_stream_reset(self, received: h2.events.StreamReset) -> list[Event]:
        stream = received.stream_id or 0
        self._forget(stream)
        return [StreamEnded(stream, UNAVAILABLE, f"reset with code {received.error_code}")]

    def _on_termination(self, received: h2.events.ConnectionTerminated) -> list[Event]:
        raise ProtocolError(f"the peer says goodbye, code {received.error_code}")

    # flow control

    def use_manual_flow_control(self, stream: int, max_message_bytes: int) -> None:
        """Lets a stream's peer send more only as its messages are acknowledged, none larger than this."""
        self.unacknowledged[stream] = _Unacknowledged()
        if stream in self.decoders:
            self.decoders[stream].max_message_bytes = max_message_bytes

    def acknowledge_message(self, stream: int) -> None:
        """A message of a stream with manual flow control was read: its peer may send as much again."""
        unacknowledged = self.unacknowledged.get(stream)
        if not unacknowledged or not unacknowledged.messages:
            return
        size = unacknowledged.size_bytes // unacknowledged.messages
        unacknowledged.size_bytes -= size
        unacknowledged.messages -= 1
        if size and stream in self.decoders:
            with contextlib.suppress(h2.exceptions.ProtocolError):  # the stream may have ended
                self.h2.increment_flow_control_window(size, stream)

    def _acknowledge_data(self, stream: int, size_bytes: int, messages: int) -> None:
        """Lets the peer send as much again: at once, or with manual flow control once the messages are read."""
        if not size_bytes:
            return
        unacknowledged = self.unacknowledged.get(stream)
        if unacknowledged is None or not messages:
            self.h2.acknowledge_received_data(size_bytes, stream)
            return
        self.h2.increment_flow_control_window(size_bytes)  # other streams of this connection don't wait for this one
        unacknowledged.size_bytes += size_bytes
        unacknowledged.messages += messages

    # streams

    def open(self, path: str, authority: str) -> int:
        """As a client: opens a stream to this method; returns its number."""
        stream: int = self.h2.get_next_available_stream_id()
        headers = [
            (":method", "POST"),
            (":scheme", "http"),
            (":path", path),
            (":authority", authority),
            ("content-type", "application/grpc"),
            ("te", "trailers"),
        ]
        self.h2.send_headers(stream, headers)
        self.decoders[stream] = FrameDecoder(self.max_message_bytes)
        return stream

    def accept(self, stream: int) -> None:
        """As a server: answers a stream's opening."""
        self.h2.send_headers(stream, [(":status", "200"), ("content-type", "application/grpc")])
        self.answered.add(stream)

    def send(self, stream: int, message: bytes) -> None:
        """Queues a message."""
        framed = frame(message)
        self.send_queues.setdefault(stream, deque()).append(framed)
        self.unsent_bytes += len(framed)

    def finish(self, stream: int, status: int, text: str) -> None:
        """As a server: ends a stream with a status, after what was sent."""
        self.finishing[stream] = (status, text)

    def reset(self, stream: int) -> None:
        """As a client: cancels a stream."""
        with contextlib.suppress(h2.exceptions.ProtocolError):  # it may have ended already
            self.h2.reset_stream(stream, h2.errors.ErrorCodes.CANCEL)
        self._forget(stream)

    def _forget(self, stream: int) -> None:
        self.unacknowledged.pop(stream, None)
        self.decoders.pop(stream, None)
        self.finishing.pop(stream, None)
        for message in self.send_queues.pop(stream, ()):
            self.unsent_bytes -= len(message)

    # what is sent

    def ping(self) -> None:
        """Queues a ping."""
        self.h2.ping(PING_DATA)

    def closing_bytes(self) -> bytes:
        """What the protocol has to say to a peer that broke it."""
        return self.pending_output()[:MAX_GOODBYE_BYTES]

    def pending_output(self) -> bytes:
        """Removes and returns the answers that h2 has made, without any queued messages."""
        data: bytes = self.h2.data_to_send()
        return data

    def pump(self) -> bytes:
        """Removes and returns the bytes that may be written now, as far as the peer's windows reach."""
        for stream in list(self.send_queues):
            try:
                self._send_queued(stream)
            except h2.exceptions.ProtocolError:
                self._forget(stream)  # the stream has ended
        for stream, (status, text) in list(self.finishing.items()):
            if not self.send_queues.get(stream):
                del self.finishing[stream]
                self._send_trailers(stream, status, text)
        return self.pending_output()

    def _send_queued(self, stream: int) -> None:
        queue = self.send_queues[stream]
        while queue:
            window = min(self.h2.local_flow_control_window(stream), self.h2.max_outbound_frame_size)
            if window <= 0:
                return
            head = queue.popleft()
            if len(head) > window:
                queue.appendleft(head[window:])
                head = head[:window]
            self.h2.send_data(stream, head)
            self.unsent_bytes -= len(head)
        del self.send_queues[stream]

    def _send_trailers(self, stream: int, status: int, text: str) -> None:
        trailers = [("grpc-status", str(status)), ("grpc-message", text.replace("\n", " ")[:MAX_STATUS_TEXT])]
        if stream not in self.answered:
            trailers = [(":status", "200"), ("content-type", "application/grpc"), *trailers]
        with contextlib.suppress(h2.exceptions.ProtocolError):  # the peer may have reset it
            self.h2.send_headers(stream, trailers, end_stream=True)
        self.answered.discard(stream)
        self.unacknowledged.pop(stream, None)
        self.decoders.pop(stream, None)


GrpcPeer = Connection[GrpcConnection]  # a connection that was accepted

__all__ = [
    "Event",
    "GrpcConnection",
    "GrpcPeer",
    "MessageReceived",
    "ProtocolError",
    "StreamEnded",
    "StreamOpened",
    "header_texts",
]
