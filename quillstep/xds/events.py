"""Events that the xDS server publishes to the decision thread."""

from typing import Any

import msgspec

from quillstep.xds.http2 import GrpcPeer


class StreamOpened(msgspec.Struct, frozen=True, gc=False):
    """A peer has opened a stream of one of the served methods."""

    peer: GrpcPeer
    stream: int
    method: str


class StreamRequest(msgspec.Struct, frozen=True, gc=False):
    """A message has arrived on an open stream; `data` is its encoded form as received."""

    peer: GrpcPeer
    stream: int
    message: Any
    data: bytes


class StreamEnded(msgspec.Struct, frozen=True, gc=False):
    """A stream or its connection has closed."""

    peer: GrpcPeer
    stream: int
    reason: str


StreamEvent = StreamOpened | StreamRequest | StreamEnded
