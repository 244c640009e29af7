"""Length-prefixed framing: a four-byte big-endian length, then the body.  Performs no I/O; bodies are opaque."""

import struct
from collections.abc import Callable, Iterator

LENGTH = struct.Struct(">I")


def add_length(body: bytes) -> bytes:
    """Return the body with its length prefix."""
    return LENGTH.pack(len(body)) + body


def remove_bodies(buffer: bytearray, check: Callable[[int, bytes], None]) -> Iterator[bytes]:
    """Remove and yield the complete bodies at the start of the buffer.

    Args:
        buffer: The bytes received so far; an incomplete body stays in it.
        check: Called with each length and the first byte of the body (empty if not received yet) before the body is
            complete, so that an invalid body is rejected before it is buffered.  Its exceptions end the iteration.

    Yields:
        Each complete body.
    """
    while len(buffer) >= LENGTH.size:
        (length,) = LENGTH.unpack_from(buffer)
        check(length, bytes(buffer[LENGTH.size : LENGTH.size + 1]))
        if len(buffer) < LENGTH.size + length:
            return
        body = bytes(buffer[LENGTH.size : LENGTH.size + length])
        del buffer[: LENGTH.size + length]
        yield body
