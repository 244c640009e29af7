"""Frames without I/O: a length of four bytes, most significant first, then so many bytes of one JSON object.

Events are ("message", fields) and, last, ("broken", why): from there on nothing can be read any more.
"""

from typing import Any

import msgspec

from quillstep.net.poller import Event

HEAD = 4
MESSAGE_MOST = 2**20
OPENS = b"{ \t\r\n"  # what an object may begin with

encode = msgspec.json.Encoder().encode
decode = msgspec.json.Decoder(dict[str, Any]).decode


def framed(body: bytes) -> bytes:
    return len(body).to_bytes(HEAD, "big") + body


class FrameCodec:
    """One connection's reading and writing.  `stranger_most`: the longest message before it has `started`."""

    def __init__(self, stranger_most: int) -> None:
        self.stranger_most = stranger_most
        self.started = False
        self.held_bytes = 0
        self.buffer = bytearray()
        self.outgoing: list[bytes] = []
        self.broken = False

    def receive(self, data: bytes) -> list[Event]:
        events: list[Event] = []
        if self.broken:
            return events
        self.buffer += data
        at, size = 0, len(self.buffer)
        while size - at >= HEAD:
            length = int.from_bytes(self.buffer[at : at + HEAD], "big")
            # A stranger's is judged before it is held; its first message may be followed at once by others.
            most = MESSAGE_MOST if self.started or events else self.stranger_most
            if not 2 <= length <= most:
                events.append(self.breaks(f"a message of {length} bytes"))
                return events
            if size - at > HEAD and self.buffer[at + HEAD] not in OPENS:
                events.append(self.breaks("a message that is no JSON object"))
                return events
            if size - at < HEAD + length:
                break
            body = bytes(self.buffer[at + HEAD : at + HEAD + length])
            at += HEAD + length
            try:
                events.append(("message", decode(body)))
            except (msgspec.DecodeError, RecursionError, ValueError):
                events.append(self.breaks("a message that is no JSON object"))
                return events
        del self.buffer[:at]
        return events

    def breaks(self, why: str) -> Event:
        self.broken = True
        self.buffer.clear()
        return ("broken", why)

    def send(self, stream: int, message: bytes) -> None:
        """`message` is framed already; a connection has one stream."""
        self.outgoing.append(message)
        self.held_bytes += len(message)

    def pump(self) -> bytes:
        data = b"".join(self.outgoing)
        self.outgoing.clear()
        self.held_bytes = 0
        return data

    def ping(self) -> None:
        """The protocol has none that a pilot may send."""

    def goodbye(self) -> bytes:
        return b""
