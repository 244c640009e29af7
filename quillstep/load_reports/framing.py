"""Messages between a pilot and its reading processes: a length, then a MessagePack array.  Sans-I/O."""

from typing import Any

import msgspec

from quillstep.net import framing

FRAME_MOST = 64 * 2**20
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder().decode


def framed(message: list[Any]) -> bytes:
    return framing.add_length(_encode(message))


def check(size: int, first: bytes) -> None:
    if size > FRAME_MOST:
        raise ValueError(f"a message of {size} bytes")


class Frames:
    """Cuts bytes into messages; raises ValueError where they are none."""

    def __init__(self) -> None:
        self.held = bytearray()

    def feed(self, data: bytes) -> list[list[Any]]:
        self.held += data
        return [_decode(body) for body in framing.remove_bodies(self.held, check)]
