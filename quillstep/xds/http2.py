"""One HTTP/2 connection that carries gRPC streams, without I/O: bytes in, events out, bytes out (h2 does HTTP/2).

Events are plain tuples: ("open", stream, path), ("message", stream, bytes), ("end", stream, status, text).
"""

from collections import deque
from typing import Any

import h2.config
import h2.connection
import h2.errors
import h2.events
import h2.exceptions
import h2.settings

from quillstep.net.codec import ProtocolError
from quillstep.net.connection import Connection
from quillstep.xds.grpc import INTERNAL, UNAVAILABLE, FramingError, Unframer, frame

STREAMS_MOST = 16  # on one connection
WINDOW = 2**20
STREAM_WINDOW = 2**16 - 1  # of one stream, at a server: what waits of a peer's reports is never more

Event = tuple


def texts(headers: Any) -> dict[str, str]:
    """Header fields as text; bytes that are none are kept readable, they only ever go to a log."""
    return {bytes(name).decode("latin-1"): bytes(value).decode("latin-1") for name, value in headers or ()}


class GrpcConnection:
    """Either end of a connection; not safe for threads, its owner holds a lock."""

    def __init__(self, client: bool, message_most: int, headers_most: int = 16384) -> None:
        config = h2.config.H2Configuration(client_side=client, header_encoding=None)
        self.h2 = h2.connection.H2Connection(config)
        self.client, self.message_most = client, message_most
        self.h2.local_settings = h2.settings.Settings(
            client=client,
            initial_values={
                h2.settings.SettingCodes.MAX_CONCURRENT_STREAMS: STREAMS_MOST,
                h2.settings.SettingCodes.MAX_HEADER_LIST_SIZE: headers_most,
                h2.settings.SettingCodes.INITIAL_WINDOW_SIZE: WINDOW if client else STREAM_WINDOW,
            },
        )
        self.h2.decoder.max_header_list_size = headers_most
        self.unframers: dict[int, Unframer] = {}
        self.outgoing: dict[int, deque[bytes]] = {}  # framed messages that flow control holds back
        self.closing: dict[int, tuple[int, str]] = {}  # streams to be ended once their messages are out
        self.answered: set[int] = set()  # streams whose response headers are out
        self.unsent_bytes = 0
        self.is_registered = False  # the first request has come
        self.owed: dict[int, list[int]] = {}  # streams that get room by `taken`: bytes and messages not taken yet
        self.h2.initiate_connection()
        self.h2.increment_flow_control_window(WINDOW)

    def receive(self, data: bytes) -> list[Event]:
        """What the peer sent; raises ConnectionBroken."""
        try:
            found = self.h2.receive_data(data)
        except (h2.exceptions.ProtocolError, h2.exceptions.H2Error) as trouble:
            raise ProtocolError(f"{type(trouble).__name__}: {trouble}") from None
        except Exception as trouble:  # whatever else a hostile peer makes h2 or hpack raise ends its connection
            raise ProtocolError(f"unreadable: {type(trouble).__name__}: {trouble}") from None
        events: list[Event] = []
        for event in found:
            events += self.translate(event)
        self.is_registered = self.is_registered or bool(events)
        return events

    def translate(self, event: h2.events.Event) -> list[Event]:
        if isinstance(event, h2.events.RequestReceived):
            headers = texts(event.headers)
            stream = event.stream_id or 0
            self.unframers[stream] = Unframer(self.message_most)
            kind = headers.get("content-type", "")
            if headers.get(":method") != "POST" or not kind.startswith("application/grpc"):
                self.h2.send_headers(stream, [(":status", "415")], end_stream=True)
                self.forget(stream)
                return []
            return [("open", stream, headers.get(":path", ""))]
        if isinstance(event, h2.events.DataReceived):
            stream = event.stream_id or 0
            unframer = self.unframers.get(stream)
            try:
                messages = unframer.feed(event.data or b"") if unframer else []
                self.give_room(stream, event.flow_controlled_length or 0, len(messages))
                return [("message", stream, message) for message in messages]
            except FramingError as trouble:
                if self.client:
                    raise ProtocolError(str(trouble)) from None
                self.finish(stream, trouble.status, str(trouble))
                self.unframers.pop(stream, None)
                return [("end", stream, trouble.status, str(trouble))]
        if isinstance(event, h2.events.TrailersReceived | h2.events.ResponseReceived):
            headers = texts(event.headers)
            stream = event.stream_id or 0
            status = headers.get(":status", "200")
            if status != "200":
                return [("end", stream, INTERNAL, f"HTTP status {status}")]
            if "grpc-status" in headers:
                code = headers["grpc-status"]
                return [
                    (
                        "end",
                        stream,
                        int(code) if code.isdigit() else INTERNAL,
                        headers.get("grpc-message", ""),
                    )
                ]
            return []
        if isinstance(event, h2.events.StreamEnded):
            stream = event.stream_id or 0
            known = stream in self.unframers
            self.unframers.pop(stream, None)
            if known and not self.client and stream not in self.closing:
                self.finish(stream, 0, "")
            return [("end", stream, 0, "")] if known else []
        if isinstance(event, h2.events.StreamReset):
            stream = event.stream_id or 0
            self.forget(stream)
            return [("end", stream, UNAVAILABLE, f"reset with code {event.error_code}")]
        if isinstance(event, h2.events.ConnectionTerminated):
            raise ProtocolError(f"the peer says goodbye, code {event.error_code}")
        return []

    def hold(self, stream: int, message_most: int) -> None:
        """Let this stream's peer send more only as its messages are `taken`, none of them larger than this."""
        self.owed[stream] = [0, 0]
        if stream in self.unframers:
            self.unframers[stream].most = message_most

    def give_room(self, stream: int, size: int, messages: int) -> None:
        """Room for what has come: at once, or for whole messages of a held stream as they are taken."""
        if not size:
            return
        owed = self.owed.get(stream)
        if owed is None or not messages:
            self.h2.acknowledge_received_data(size, stream)
            return
        self.h2.increment_flow_control_window(size)  # other streams of this connection don't wait for this one
        owed[0] += size
        owed[1] += messages

    def taken(self, stream: int) -> None:
        """A message of a held stream has been taken."""
        owed = self.owed.get(stream)
        if not owed or not owed[1]:
            return
        size = owed[0] // owed[1]
        owed[0] -= size
        owed[1] -= 1
        if size and stream in self.unframers:
            try:
                self.h2.increment_flow_control_window(size, stream)
            except h2.exceptions.ProtocolError:
                pass  # the stream has ended under us

    def forget(self, stream: int) -> None:
        self.owed.pop(stream, None)
        self.unframers.pop(stream, None)
        self.closing.pop(stream, None)
        for message in self.outgoing.pop(stream, ()):
            self.unsent_bytes -= len(message)

    def open(self, path: str, authority: str) -> int:
        """As a client: open a stream to this method; returns its number."""
        stream = self.h2.get_next_available_stream_id()
        headers = [
            (":method", "POST"), (":scheme", "http"), (":path", path), (":authority", authority),
            ("content-type", "application/grpc"), ("te", "trailers"),
        ]  # fmt: skip
        self.h2.send_headers(stream, headers)
        self.unframers[stream] = Unframer(self.message_most)
        return stream

    def accept(self, stream: int) -> None:
        """As a server: answer a stream's opening."""
        self.h2.send_headers(stream, [(":status", "200"), ("content-type", "application/grpc")])
        self.answered.add(stream)

    def send(self, stream: int, message: bytes) -> None:
        framed = frame(message)
        self.outgoing.setdefault(stream, deque()).append(framed)
        self.unsent_bytes += len(framed)

    def finish(self, stream: int, status: int, text: str) -> None:
        """As a server: end a stream with a status, after what was sent."""
        self.closing[stream] = (status, text)

    def reset(self, stream: int) -> None:
        try:
            self.h2.reset_stream(stream, h2.errors.ErrorCodes.CANCEL)
        except h2.exceptions.ProtocolError:
            pass  # it has ended already
        self.forget(stream)

    def ping(self) -> None:
        self.h2.ping(b"quillste")

    def goodbye(self) -> bytes:
        """What the protocol has to say to one that broke it."""
        return self.h2.data_to_send()[:4096]

    def pump(self) -> bytes:
        """The bytes to be written now, as far as the peer's windows reach."""
        for stream in list(self.outgoing):
            try:
                self.drain(stream)
            except h2.exceptions.ProtocolError:
                self.forget(stream)  # the stream has ended under us
        for stream, (status, text) in list(self.closing.items()):
            if not self.outgoing.get(stream):
                del self.closing[stream]
                self.trail(stream, status, text)
        return self.h2.data_to_send()

    def drain(self, stream: int) -> None:
        queue = self.outgoing[stream]
        while queue:
            room = min(self.h2.local_flow_control_window(stream), self.h2.max_outbound_frame_size)
            if room <= 0:
                return
            head = queue.popleft()
            if len(head) > room:
                queue.appendleft(head[room:])
                head = head[:room]
            self.h2.send_data(stream, head)
            self.unsent_bytes -= len(head)
        del self.outgoing[stream]

    def trail(self, stream: int, status: int, text: str) -> None:
        end = [("grpc-status", str(status)), ("grpc-message", text.replace("\n", " ")[:200])]
        try:
            if stream not in self.answered:
                end = [(":status", "200"), ("content-type", "application/grpc"), *end]
            self.h2.send_headers(stream, end, end_stream=True)
        except h2.exceptions.ProtocolError:
            pass  # the peer has reset it
        self.answered.discard(stream)
        self.owed.pop(stream, None)
        self.unframers.pop(stream, None)


GrpcPeer = Connection[GrpcConnection]  # a connection that was accepted

__all__ = ["ProtocolError", "Event", "GrpcConnection", "GrpcPeer", "texts"]
