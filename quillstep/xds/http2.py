"""One HTTP/2 connection that carries gRPC streams, without I/O, on top of the h2 library."""

import contextlib
import re
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

MAX_STREAMS = 16  # concurrent streams on one connection
CONNECTION_WINDOW_BYTES = 2**20
SERVER_STREAM_WINDOW_BYTES = 2**16 - 1  # bounds the unread load reports of one peer
MAX_HEADER_BYTES = 16384
MAX_GOAWAY_BYTES = 4096
MAX_STATUS_CHARS = 200  # a longer grpc-message is cut
PING_DATA = b"quillste"
GRPC_STATUS = re.compile(r"[0-9]{1,3}")


class StreamOpened(msgspec.Struct, frozen=True, gc=False):
    """The peer has opened a stream; `path` names the method."""

    stream: int
    path: str


class MessageReceived(msgspec.Struct, frozen=True, gc=False):
    """A complete message has arrived on a stream."""

    stream: int
    data: bytes


class StreamEnded(msgspec.Struct, frozen=True, gc=False):
    """A stream has closed with a gRPC status; `reason` is the status message."""

    stream: int
    status: int
    reason: str


Event = StreamOpened | MessageReceived | StreamEnded


def decode_headers(headers: Any) -> dict[str, str]:
    """Returns header fields decoded as Latin-1, which accepts any bytes; values outside ASCII are only logged."""
    return {bytes(name).decode("latin-1"): bytes(value).decode("latin-1") for name, value in headers or ()}


class _UnacknowledgedMessages(msgspec.Struct, gc=False):
    """Messages that have arrived on a stream with manual flow control and are not acknowledged yet."""

    size_bytes: int = 0
    messages: int = 0


class GrpcConnection:
    """Client or server side of a connection.  Not thread-safe: its owner calls it under a lock."""

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
        self.send_queues: dict[int, deque[bytes]] = {}  # framed messages that wait for a flow control window
        self.pending_trailers: dict[int, tuple[int, str]] = {}  # statuses to send once a stream's messages are sent
        self.headers_sent: set[int] = set()  # streams whose response headers are sent
        self.unsent_bytes = 0
        self.is_registered = False  # whether the peer has opened a stream
        self.unacknowledged: dict[int, _UnacknowledgedMessages] = {}  # streams with manual flow control
        self._handlers: dict[type[Any], Callable[[Any], list[Event]]] = {
            h2.events.RequestReceived: self._on_request,
            h2.events.DataReceived: self._on_data,
            h2.events.TrailersReceived: self._on_response_headers,
            h2.events.ResponseReceived: self._on_response_headers,
            h2.events.StreamEnded: self._on_stream_end,
            h2.events.StreamReset: self._on_stream_reset,
            h2.events.ConnectionTerminated: self._on_goaway,
        }
        self.h2.initiate_connection()
        self.h2.increment_flow_control_window(CONNECTION_WINDOW_BYTES)

    # Receiving

    @property
    def buffered_bytes(self) -> int:
        """Size of the incomplete messages that have been received on all streams."""
        return sum(len(decoder.buffered) for decoder in self.decoders.values())

    def receive(self, data: bytes) -> list[Event]:
        """Returns the events that are completed by `data`.

        Raises:
            ProtocolError: The peer violated the protocol; the connection cannot continue.
        """
        try:
            received = self.h2.receive_data(data)
        except (h2.exceptions.ProtocolError, h2.exceptions.H2Error) as error:
            raise ProtocolError(f"{type(error).__name__}: {error}") from error
        except Exception as error:  # malicious input can make h2 and hpack raise other errors; close the connection
            raise ProtocolError(f"invalid HTTP/2 data: {type(error).__name__}: {error}") from error
        events: list[Event] = []
        for each in received:
            handler = self._handlers.get(type(each))
            if handler:
                events += handler(each)
        self.is_registered = self.is_registered or bool(events)
        return events

    def _on_request(self, received: h2.events.RequestReceived) -> list[Event]:
        headers = decode_headers(received.headers)
        stream = received.stream_id or 0
        self.decoders[stream] = FrameDecoder(self.max_message_bytes)
        content_type = headers.get("content-type", "")
        if headers.get(":method") != "POST" or not content_type.startswith("application/grpc"):
            self.h2.send_headers(stream, [(":status", "415")], end_stream=True)
            self._discard_stream(stream)
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
        headers = decode_headers(received.headers)
        stream = received.stream_id or 0
        http_status = headers.get(":status", "200")
        if http_status != "200":
            return [StreamEnded(stream, INTERNAL, f"HTTP status {http_status}")]
        if "grpc-status" not in headers:
            return []
        code = headers["grpc-status"]
        status = int(code) if GRPC_STATUS.fullmatch(code) else INTERNAL
        return [StreamEnded(stream, status, headers.get("grpc-message", ""))]

    def _on_stream_end(self, received: h2.events.StreamEnded) -> list[Event]:
        stream = received.stream_id or 0
        if self.decoders.pop(stream, None) is None:
            return []
        if not self.is_client and stream not in self.pending_trailers:
            self.finish(stream, OK, "")
        return [StreamEnded(stream, OK, "")]

    def _on_stream_reset(self, received: h2.events.StreamReset) -> list[Event]:
        stream = received.stream_id or 0
        self._discard_stream(stream)
        return [StreamEnded(stream, UNAVAILABLE, f"reset with code {received.error_code}")]

    def _on_goaway(self, received: h2.events.ConnectionTerminated) -> list[Event]:
        raise ProtocolError(f"the peer sent GOAWAY with code {received.error_code}")

    # Flow control

    def use_manual_flow_control(self, stream: int, max_message_bytes: int) -> None:
        """Opens a stream's window only by `acknowledge_message`, and sets the size limit of its messages."""
        self.unacknowledged[stream] = _UnacknowledgedMessages()
        if stream in self.decoders:
            self.decoders[stream].max_message_bytes = max_message_bytes

    def acknowledge_message(self, stream: int) -> None:
        """Opens the window of a stream with manual flow control by the size of one message, after it was read."""
        unacknowledged = self.unacknowledged.get(stream)
        if not unacknowledged or not unacknowledged.messages:
            return
        size = unacknowledged.size_bytes // unacknowledged.messages
        unacknowledged.size_bytes -= size
        unacknowledged.messages -= 1
        if size and stream in self.decoders:
            with contextlib.suppress(h2.exceptions.ProtocolError):  # the stream may be closed
                self.h2.increment_flow_control_window(size, stream)

    def _acknowledge_data(self, stream: int, size_bytes: int, messages: int) -> None:
        """Opens the windows by the received size: at once, or under manual flow control once messages are read."""
        if not size_bytes:
            return
        unacknowledged = self.unacknowledged.get(stream)
        if unacknowledged is None or not messages:
            self.h2.acknowledge_received_data(size_bytes, stream)
            return
        self.h2.increment_flow_control_window(size_bytes)  # other streams on the connection must not wait
        unacknowledged.size_bytes += size_bytes
        unacknowledged.messages += messages

    # Streams

    def open(self, path: str, authority: str) -> int:
        """Client only: opens a stream to a method; returns the stream's number."""
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
        """Server only: accepts a stream by sending the response headers."""
        self.h2.send_headers(stream, [(":status", "200"), ("content-type", "application/grpc")])
        self.headers_sent.add(stream)

    def send(self, stream: int, message: bytes) -> None:
        """Queues a message on a stream."""
        framed = frame(message)
        self.send_queues.setdefault(stream, deque()).append(framed)
        self.unsent_bytes += len(framed)

    def finish(self, stream: int, status: int, text: str) -> None:
        """Server only: closes a stream with a status once its queued messages are sent."""
        self.pending_trailers[stream] = (status, text)

    def reset(self, stream: int) -> None:
        """Client only: cancels a stream."""
        with contextlib.suppress(h2.exceptions.ProtocolError):  # the stream may be closed already
            self.h2.reset_stream(stream, h2.errors.ErrorCodes.CANCEL)
        self._discard_stream(stream)

    def _discard_stream(self, stream: int) -> None:
        self.unacknowledged.pop(stream, None)
        self.decoders.pop(stream, None)
        self.pending_trailers.pop(stream, None)
        for message in self.send_queues.pop(stream, ()):
            self.unsent_bytes -= len(message)

    # Sending

    def ping(self) -> None:
        """Queues a ping."""
        self.h2.ping(PING_DATA)

    def closing_bytes(self) -> bytes:
        """Returns the last output for a peer that violated the protocol, with the GOAWAY frame."""
        return self.pending_output()[:MAX_GOAWAY_BYTES]

    def pending_output(self) -> bytes:
        """Removes and returns the frames that h2 has produced, without any queued messages."""
        data: bytes = self.h2.data_to_send()
        return data

    def pump(self) -> bytes:
        """Removes and returns the bytes that may be written now, within the peer's flow control windows."""
        for stream in list(self.send_queues):
            try:
                self._send_queued(stream)
            except h2.exceptions.ProtocolError:
                self._discard_stream(stream)  # the stream is closed
        for stream, (status, text) in list(self.pending_trailers.items()):
            if not self.send_queues.get(stream):
                del self.pending_trailers[stream]
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
        trailers = [("grpc-status", str(status)), ("grpc-message", text.replace("\n", " ")[:MAX_STATUS_CHARS])]
        if stream not in self.headers_sent:
            trailers = [(":status", "200"), ("content-type", "application/grpc"), *trailers]
        with contextlib.suppress(h2.exceptions.ProtocolError):  # the peer may have reset the stream
            self.h2.send_headers(stream, trailers, end_stream=True)
        self.headers_sent.discard(stream)
        self.unacknowledged.pop(stream, None)
        self.decoders.pop(stream, None)


GrpcPeer = Connection[GrpcConnection]  # an accepted connection

__all__ = [
    "Event",
    "GrpcConnection",
    "GrpcPeer",
    "MessageReceived",
    "ProtocolError",
    "StreamEnded",
    "StreamOpened",
    "decode_headers",
]
