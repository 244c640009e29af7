"""gRPC message framing and status codes, without I/O.

See "gRPC over HTTP2" and "Status codes and their use in gRPC" in the gRPC documentation.
"""

import struct

from quillstep.errors import QuillstepError

OK, INVALID_ARGUMENT, PERMISSION_DENIED, RESOURCE_EXHAUSTED = 0, 3, 7, 8
UNIMPLEMENTED, INTERNAL, UNAVAILABLE = 12, 13, 14

PREFIX = struct.Struct(">BI")  # compressed flag, message length in bytes


class FramingError(QuillstepError):
    """A message frame is invalid; `status` is the gRPC status to answer with."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


def frame(message: bytes) -> bytes:
    """Returns an uncompressed message with its prefix."""
    return PREFIX.pack(0, len(message)) + message


class FrameDecoder:
    """Splits a byte stream into messages of at most `max_message_bytes`."""

    def __init__(self, max_message_bytes: int) -> None:
        self.max_message_bytes = max_message_bytes
        self.buffered = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the messages that are completed by `data`.

        Raises:
            FramingError: A message is compressed or larger than the limit.
        """
        self.buffered += data
        messages = []
        while len(self.buffered) >= PREFIX.size:
            is_compressed, size = PREFIX.unpack_from(self.buffered)
            if is_compressed:
                raise FramingError(UNIMPLEMENTED, "a compressed message, and none was agreed on")
            if size > self.max_message_bytes:
                text = f"a message of {size} bytes, {self.max_message_bytes} at most"
                raise FramingError(RESOURCE_EXHAUSTED, text)
            end = PREFIX.size + size
            if len(self.buffered) < end:
                break
            messages.append(bytes(self.buffered[PREFIX.size : end]))
            del self.buffered[:end]
        return messages
