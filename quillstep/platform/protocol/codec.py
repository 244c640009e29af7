"""The protocol's framing: a length of four bytes, then a JSON object of that many bytes.  Performs no I/O."""

from typing import Any, NamedTuple

import msgspec

from quillstep.errors import QuillstepError
from quillstep.net.framing import add_length, remove_bodies
from quillstep.net.json_decoder import JsonDecoder, MalformedJsonError, NestingTooDeepError

MAX_MESSAGE_BYTES = 2**20
MIN_MESSAGE_BYTES = 2  # an empty object
NOT_AN_OBJECT = "invalid message: expected a JSON object"
OBJECT_STARTS = b"{ \t\r\n"  # first bytes of a JSON object or the whitespace before it

Message = dict[str, Any]

_encode = msgspec.json.Encoder().encode
_decode = JsonDecoder(Message).decode


class MalformedMessageError(QuillstepError):
    """The rest of the stream cannot be decoded; the message is the reason."""


class StreamBroken(NamedTuple):
    """The last event of a connection whose remaining bytes cannot be decoded."""

    reason: str


MessageEvent = Message | StreamBroken


def encode_message(message: Message) -> bytes:
    """Encode a message with its length prefix."""
    return add_length(_encode(message))


class MessageCodec:
    """The codec of one connection (`quillstep.net.codec.Codec`); its events are messages and `StreamBroken`."""

    def __init__(self, max_unregistered_bytes: int) -> None:
        """`max_unregistered_bytes` is the maximum message size from a peer that has not registered."""
        self.max_unregistered_bytes = max_unregistered_bytes
        self.is_registered = False
        self.unsent_bytes = 0
        self.buffer = bytearray()
        self.outgoing: list[bytes] = []
        self.is_broken = False

    @property
    def buffered_bytes(self) -> int:
        """Size of the incomplete message that has been received."""
        return len(self.buffer)

    def receive(self, data: bytes) -> list[MessageEvent]:
        """Decode received bytes; return the complete messages, followed by `StreamBroken` if the rest is malformed.

        Nothing is decoded after `StreamBroken`.
        """
        events: list[MessageEvent] = []
        if self.is_broken:
            return events
        self.buffer += data

        def check(length: int, first_byte: bytes) -> None:
            # The first message may register the peer, and longer ones may follow it in the same data.
            is_bounded = not (self.is_registered or events)
            max_bytes = self.max_unregistered_bytes if is_bounded else MAX_MESSAGE_BYTES
            if not MIN_MESSAGE_BYTES <= length <= max_bytes:
                raise MalformedMessageError(f"message length out of range: {length} bytes")
            if first_byte and first_byte not in OBJECT_STARTS:
                raise MalformedMessageError(NOT_AN_OBJECT)

        try:
            for body in remove_bodies(self.buffer, check):
                events.append(_decode(body))
        except MalformedMessageError as error:
            events.append(self._mark_broken(str(error)))
        except NestingTooDeepError as error:
            events.append(self._mark_broken(f"invalid message: {error}"))
        except MalformedJsonError:
            events.append(self._mark_broken(NOT_AN_OBJECT))
        return events

    def _mark_broken(self, reason: str) -> StreamBroken:
        self.is_broken = True
        self.buffer.clear()
        return StreamBroken(reason)

    def send(self, stream: int, message: bytes) -> None:
        """Queue an encoded message; `stream` is ignored, since a connection has a single stream."""
        self.outgoing.append(message)
        self.unsent_bytes += len(message)

    def pump(self) -> bytes:
        """Remove and return the queued bytes."""
        data = b"".join(self.outgoing)
        self.outgoing.clear()
        self.unsent_bytes = 0
        return data

    def ping(self) -> None:
        """Do nothing: the protocol has no ping from the controller."""

    def closing_bytes(self) -> bytes:
        """Return no bytes: the protocol has no error message for a peer that violates it."""
        return b""
