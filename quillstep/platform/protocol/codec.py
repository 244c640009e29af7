"""Frames without I/O: a length of four bytes, most significant first, then so many bytes of one JSON object.

Events are ("message", fields) and, last, ("broken", why): from there on nothing can be read any more.
"""

from typing import Any

import msgspec

from quillstep.net.framing import add_length, remove_bodies

MESSAGE_MOST = 2**20
NO_OBJECT = "a message that is no JSON object"
OPENS = b"{ \t\r\n"  # what an object may begin with

encode = msgspec.json.Encoder().encode
decode = msgspec.json.Decoder(dict[str, Any]).decode

Event = tuple


class MalformedMessageError(Exception):
    """Nothing can be read any more; the text says why."""


class MessageCodec:
    """One connection's reading and writing.  `stranger_most`: the longest message before it has `started`."""

    def __init__(self, stranger_most: int) -> None:
        self.stranger_most = stranger_most
        self.is_registered = False
        self.unsent_bytes = 0
        self.buffer = bytearray()
        self.outgoing: list[bytes] = []
        self.broken = False

    def receive(self, data: bytes) -> list[Event]:
        events: list[Event] = []
        if self.broken:
            return events
        self.buffer += data

        def check(length: int, first: bytes) -> None:
            """A stranger's is judged before it is held; its first message may be followed at once by others."""
            if not 2 <= length <= (MESSAGE_MOST if self.is_registered or events else self.stranger_most):
                raise MalformedMessageError(f"a message of {length} bytes")
            if first and first not in OPENS:
                raise MalformedMessageError(NO_OBJECT)

        try:
            for body in remove_bodies(self.buffer, check):
                events.append(("message", decode(body)))
        except MalformedMessageError as trouble:
            events.append(self.breaks(str(trouble)))
        except (msgspec.DecodeError, RecursionError, ValueError):
            events.append(self.breaks(NO_OBJECT))
        return events

    def breaks(self, why: str) -> Event:
        self.broken = True
        self.buffer.clear()
        return ("broken", why)

    def send(self, stream: int, message: bytes) -> None:
        """`message` is framed already; a connection has one stream."""
        self.outgoing.append(message)
        self.unsent_bytes += len(message)

    def pump(self) -> bytes:
        data = b"".join(self.outgoing)
        self.outgoing.clear()
        self.unsent_bytes = 0
        return data

    def ping(self) -> None:
        """The protocol has none that a pilot may send."""

    def goodbye(self) -> bytes:
        return b""


__all__ = ["MessageCodec", "decode", "encode", "add_length"]
