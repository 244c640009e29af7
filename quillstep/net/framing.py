"""Bodies behind a length of four bytes, most significant first.  Without I/O; what is in them is the caller's."""

import struct
from collections.abc import Callable, Iterator

LENGTH = struct.Struct(">I")


def add_length(body: bytes) -> bytes:
    """Return the body behind its length."""
    return LENGTH.pack(len(body)) + body


def remove_bodies(buffer: bytearray, check: Callable[[int, bytes], None]) -> Iterator[bytes]:
    """Remove complete bodies from the head of the buffer.

    Args:
        buffer: The bytes received so far; what is left in it is incomplete.
        check: Is given each length and the first byte of its body, empty if it has not arrived, ahead of the rest, so
            that a body is judged before it is buffered.  What it raises ends the iteration.

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
