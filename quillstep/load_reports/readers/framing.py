"""Framing of messages between a controller and its reader processes: a length prefix and MessagePack.  No I/O."""

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
    """A frame exceeds the size limit."""


def encode_frame(message: Any) -> bytes:
    """Encodes a message as MessagePack with a length prefix; it may be any type that msgspec can encode."""
    return framing.add_length(_encode(message))


def _check_size(size: int, first: bytes) -> None:
    if size > MAX_FRAME_BYTES:
        raise FrameTooLargeError(f"frame of {size} bytes exceeds size limit of {MAX_FRAME_BYTES} bytes")


class FrameBuffer:
    """Splits a byte stream into the encoded messages of its frames."""

    def __init__(self) -> None:
        self.buffered = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Adds received bytes and returns the encoded messages that are now complete.

        Raises:
            FrameTooLargeError: A frame exceeds `MAX_FRAME_BYTES`.
        """
        self.buffered += data
        return list(framing.remove_bodies(self.buffered, _check_size))
