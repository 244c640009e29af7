"""The framing of the protocol without I/O: a length of four bytes, then one JSON object of so many bytes."""

from typing import Any, NamedTuple

import msgspec

from quillstep.errors import QuillstepError
from quillstep.net.framing import add_length, remove_bodies

MAX_MESSAGE_BYTES = 2**20
MIN_MESSAGE_BYTES = 2  # an empty object
NOT_AN_OBJECT = "a message that is no JSON object"
OBJECT_STARTS = b"{ \t\r\n"  # the bytes that a JSON object may begin with

Message = dict[str, Any]

_encode = msgspec.json.Encoder().encode
_decode = msgspec.json.Decoder(Message).decode


class MalformedMessageError(QuillstepError):
    """The stream can't be read from here on; the text says why."""


class StreamBroken(NamedTuple):
    """The last event of a connection whose bytes can't be read any further."""

    reason: str


MessageEvent = Message | StreamBroken


def encode_message(message: Message) -> bytes:
    """Return a message as it is written, its length included."""
    return add_length(_encode(message))


class MessageCodec:
    """The codec of one connection (`quillstep.net.codec.Codec`); its events are messages and `StreamBroken`."""

    def __init__(self, max_unregistered_bytes: int) -> None:
        """`max_unregistered_bytes` bounds a message from a peer that has not registered."""
        self.max_unregistered_bytes = max_unregistered_bytes
        self.is_registered = False
        self.unsent_bytes = 0
        self.buffer = bytearray()
        self.outgoing: list[bytes] = []
        self.is_broken = False

    def receive(self, data: bytes) -> list[MessageEvent]:
        """Return the messages that these bytes complete, and `StreamBroken` last where they can't be read."""
        events: list[MessageEvent] = []
        if self.is_broken:
            return events
        self.buffer += data

        def check(length: int, first_byte: bytes) -> None:
            # The peer may register by its first message and follow it at once with longer ones.
            is_bounded = not (self.is_registered or events)
            max_bytes = self.max_unregistered_bytes if is_bounded else MAX_MESSAGE_BYTES
            if not MIN_MESSAGE_BYTES <= length <= max_bytes:
                raise MalformedMessageError(f"a message of {length} bytes")
            if first_byte and first_byte not in OBJECT_STARTS:
                raise MalformedMessageError(NOT_AN_OBJECT)

        try:
            for body in remove_bodies(self.buffer, check):
                events.append(_decode(body))
        except MalformedMessageError as error:
            events.append(self._break(str(error)))
        except (msgspec.DecodeError, RecursionError, ValueError):
            events.append(self._break(NOT_AN_OBJECT))
        return events

    def _break(self, reason: str) -> StreamBroken:
        self.is_broken = True
        self.buffer.clear()
        return StreamBroken(reason)

    def send(self, stream: int, message: bytes) -> None:
        """Queue an encoded message; a connection has one stream."""
        self.outgoing.append(message)
        self.unsent_bytes += len(message)

    def pump(self) -> bytes:
        """Remove and return the bytes that wait to be written."""
        data = b"".join(self.outgoing)
        self.outgoing.clear()
        self.unsent_bytes = 0
        return data

    def ping(self) -> None:
        """Do nothing: the protocol has no ping that a controller may send."""

    def closing_bytes(self) -> bytes:
        """Return nothing: the protocol has no message for a peer that broke it."""
        return b""
