"""gRPC's framing of messages and its status codes, without I/O (the published gRPC over HTTP/2 protocol)."""

import struct

OK, INVALID_ARGUMENT, PERMISSION_DENIED, RESOURCE_EXHAUSTED = 0, 3, 7, 8
UNIMPLEMENTED, INTERNAL, UNAVAILABLE = 12, 13, 14


class FramingError(Exception):
    """What came is no readable message; `status` is the gRPC code to answer with."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


def frame(message: bytes) -> bytes:
    """One message, uncompressed, with its prefix."""
    return struct.pack(">BI", 0, len(message)) + message


class Unframer:
    """Cuts a stream of bytes into messages of `most` bytes each."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.held = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        self.held += data
        messages = []
        while len(self.held) >= 5:
            packed, size = struct.unpack_from(">BI", self.held)
            if packed:
                raise FramingError(UNIMPLEMENTED, "a compressed message, and none was agreed on")
            if size > self.most:
                raise FramingError(RESOURCE_EXHAUSTED, f"a message of {size} bytes, {self.most} at most")
            if len(self.held) < 5 + size:
                break
            messages.append(bytes(self.held[5 : 5 + size]))
            del self.held[: 5 + size]
        return messages
