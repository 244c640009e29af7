"""Messages between a pilot and its reading processes: a length, then a MessagePack array.  Sans-I/O."""

import struct
from typing import Any

import msgspec

HEAD = struct.Struct(">I")
FRAME_MOST = 64 * 2**20
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder().decode


def framed(message: list[Any]) -> bytes:
    data = _encode(message)
    return HEAD.pack(len(data)) + data


class Frames:
    """Cuts bytes into messages; raises ValueError where they are none."""

    def __init__(self) -> None:
        self.held = bytearray()

    def feed(self, data: bytes) -> list[list[Any]]:
        self.held += data
        found = []
        while len(self.held) >= HEAD.size:
            (size,) = HEAD.unpack_from(self.held)
            if size > FRAME_MOST:
                raise ValueError(f"a message of {size} bytes")
            if len(self.held) < HEAD.size + size:
                break
            found.append(_decode(bytes(self.held[HEAD.size : HEAD.size + size])))
            del self.held[: HEAD.size + size]
        return found
