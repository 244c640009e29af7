"""Events that connections publish to the deciding thread.

Statistics are published as the planner's own types, `UpstreamStats` and `DownstreamStats`.
"""

from typing import NamedTuple

from quillstep.net.connection import Connection
from quillstep.planner.messages import DownstreamStats, UpstreamStats
from quillstep.platform.protocol.codec import MessageCodec

ProtocolConnection = Connection[MessageCodec]


class ProxyConnected(NamedTuple):
    """A proxy has registered on a connection, which is its stream from now on.

    `expected_requests_per_s` is the request rate that the proxy states in its registration.
    """

    connection: ProtocolConnection
    proxy: int
    zone: str
    expected_requests_per_s: float
    is_fresh: bool  # whether the proxy has no state from earlier updates


class ProxyDisconnected(NamedTuple):
    """A proxy's stream has closed."""

    connection: ProtocolConnection
    proxy: int


class AckReceived(NamedTuple):
    """A proxy has applied every update up to the one with this serial."""

    connection: ProtocolConnection
    proxy: int
    serial: int


ProtocolEvent = ProxyConnected | ProxyDisconnected | AckReceived | UpstreamStats | DownstreamStats
