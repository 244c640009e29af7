"""Events that the xDS server hands to the deciding thread."""

from typing import Any

import msgspec

from quillstep.xds.http2 import GrpcPeer


class StreamOpened(msgspec.Struct, frozen=True, gc=False):
    """A peer has opened a stream of one of the served methods."""

    peer: GrpcPeer
    stream: int
    method: str


class StreamRequest(msgspec.Struct, frozen=True, gc=False):
    """A message has come on an open stream, as a protobuf message and as the bytes that were sent."""

    peer: GrpcPeer
    stream: int
    message: Any
    data: bytes


class StreamEnded(msgspec.Struct, frozen=True, gc=False):
    """A stream has ended, or its connection has."""

    peer: GrpcPeer
    stream: int
    reason: str


StreamEvent = StreamOpened | StreamRequest | StreamEnded
