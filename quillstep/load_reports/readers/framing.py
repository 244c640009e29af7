"""Messages between a controller and its reader processes: a length, then a MessagePack array.  Without I/O."""

from typing import Any

import msgspec

from quillstep.errors import QuillstepError
from quillstep.load_reports.messages import Configuration, MessageFromReader, MessageToReader
from quillstep.net import framing

MAX_FRAME_BYTES = 64 * 2**20

_encode = msgspec.msgpack.Encoder().encode
decode_configuration = msgspec.msgpack.Decoder(Configuration).decode
decode_to_reader = msgspec.msgpack.Decoder(MessageToReader).decode
decode_from_reader = msgspec.msgpack.Decoder(MessageFromReader).decode


class FrameTooLargeError(QuillstepError):
    """A frame's length is over the limit."""


def encode_frame(message: Any) -> bytes:
    """A message, which may be anything that MessagePack can hold, behind its length."""
    return framing.add_length(_encode(message))


def _check_size(size: int, first: bytes) -> None:
    if size > MAX_FRAME_BYTES:
        raise FrameTooLargeError(f"a message of {size} bytes, over the limit of {MAX_FRAME_BYTES}")


class FrameBuffer:
    """Cuts a byte stream into the encoded messages of its frames."""

    def __init__(self) -> None:
        self.buffered = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """The encoded messages that are complete now.

        Raises:
            FrameTooLargeError: A frame's length is over the limit.
        """
        self.buffered += data
        return list(framing.remove_bodies(self.buffered, _check_size))
