"""Bodies behind a length of four bytes, most significant first.  Without I/O; what is in them is the caller's."""

import struct
from collections.abc import Callable, Iterator

HEAD = struct.Struct(">I")


def framed(body: bytes) -> bytes:
    return HEAD.pack(len(body)) + body


def bodies(held: bytearray, check: Callable[[int, bytes], None]) -> Iterator[bytes]:
    """Take whole bodies off the head of what is held.

    `check` gets a length and the first byte of the body, empty if it has not come, ahead of the rest; it may raise.
    """
    while len(held) >= HEAD.size:
        (size,) = HEAD.unpack_from(held)
        check(size, bytes(held[HEAD.size : HEAD.size + 1]))
        if len(held) < HEAD.size + size:
            return
        body = bytes(held[HEAD.size : HEAD.size + size])
        del held[: HEAD.size + size]
        yield body
