"""Accepts connections of proxies and collectors, and registers them.

Everything here runs in the poller's thread.  An unregistered peer may only send heartbeats and register; any other
message closes the connection.  Invalid messages of a registered peer are dropped and counted.
"""

from collections import Counter
from collections.abc import Callable, Hashable
from typing import Any, NamedTuple, Protocol

import structlog

from quillstep.net.log_limit import LogLimiter
from quillstep.net.poller import Poller
from quillstep.platform.protocol import names, validation
from quillstep.platform.protocol.codec import Message, MessageCodec, MessageEvent, StreamBroken, encode_message
from quillstep.platform.protocol.events import (
    AckReceived,
    ProtocolConnection,
    ProtocolEvent,
    ProxyConnected,
    ProxyDisconnected,
)
from quillstep.platform.protocol.stats_merging import merge_downstream_stats, merge_upstream_stats
from quillstep.platform.protocol.validation import Deployment, InvalidMessageError

HEARTBEAT_REPLY = encode_message({names.KIND: names.HEARTBEAT_REPLY})
MAX_UNREGISTERED_MESSAGE_BYTES = 4096
MAX_COLLECTORS_PER_ZONE = 2  # a new connection, and an old one not yet seen as closed
DROP_LOG_INTERVAL_MS = 2000.0  # between log lines with the same reason


class ConnectionLimits(NamedTuple):
    """Resource limits of the connections; see `quillstep.net.connection.Limits`."""

    max_connections: int
    max_unregistered: int
    max_unsent_bytes: int = 128 * 1024
    messages_per_s: float = 20000.0
    handshake_timeout_ms: float = 1000.0
    write_timeout_ms: float = 15000.0
    idle_timeout_ms: float = float("inf")  # peers may be idle: the protocol requires no keep-alives
    ping_interval_ms: float = float("inf")


class Publish(Protocol):
    """Queues an event for the deciding thread without blocking; see `EventQueue.put_nowait`."""

    def __call__(
        self, event: ProtocolEvent, key: Hashable = None, merge: Callable[[Any, Any], Any] | None = None
    ) -> None:
        """Publish the event; if the queue is full, it is merged with a queued event of the same key."""


class ConnectionManager:
    """The listening socket, and the proxies and collectors registered on its connections."""

    def __init__(self, listen: str, limits: ConnectionLimits, deployment: Deployment, publish: Publish) -> None:
        """Bind the listening socket; see `Poller`.

        Raises:
            OSError: The address cannot be bound.
        """
        self.deployment, self.publish = deployment, publish
        self.poller: Poller[MessageCodec, MessageEvent] = Poller(
            listen,
            limits,
            lambda: MessageCodec(MAX_UNREGISTERED_MESSAGE_BYTES),
            self.handle_event,
            self.handle_closed,
            idle_timeout_ms=limits.idle_timeout_ms,
        )
        self.proxies: dict[ProtocolConnection, int] = {}
        self.collectors: dict[ProtocolConnection, str] = {}  # zone by collector connection
        self.dropped: Counter[str] = Counter()  # dropped messages by reason
        self.closed_unregistered: Counter[str] = Counter()  # connections that closed without registering, by reason
        self.log_limiter = LogLimiter(DROP_LOG_INTERVAL_MS)
        self.log = structlog.get_logger("connections")

    def handle_event(self, connection: ProtocolConnection, event: MessageEvent) -> None:
        """Reply to, publish or drop a message; close the connection if its stream cannot be decoded."""
        if connection.close_reason:
            return
        if isinstance(event, StreamBroken):
            connection.close(event.reason)
            return
        kind = validation.message_kind(event)
        if kind == names.HEARTBEAT:
            connection.send(0, HEARTBEAT_REPLY)
            return
        try:
            if connection.is_registered:
                self._handle_report(connection, kind, event)
            else:
                self._register(connection, kind, event)
        except InvalidMessageError as error:
            if connection.is_registered:
                self._drop(f"{kind if kind in REPORT_HANDLERS else 'message'}: {error}")
            else:
                connection.close(str(error))

    def handle_closed(self, connection: ProtocolConnection, reason: str) -> None:
        """Publish the closing of a proxy's stream; count connections that closed without registering."""
        proxy = self.proxies.pop(connection, None)
        if proxy is not None:
            self.log.info("proxy disconnected", proxy=proxy, reason=reason)
            self.publish(ProxyDisconnected(connection, proxy))
        elif self.collectors.pop(connection, None) is None:
            kind = reason.partition(":")[0]  # without what the peer has sent, so that the counters stay few
            self.closed_unregistered[kind] += 1
            if self.log_limiter.is_due(f"closed: {kind}"):
                self.log.info("unregistered connection closed", reason=reason, closed=self.closed_unregistered[kind])
        else:
            self.log.info("collector disconnected", reason=reason)

    def _register(self, connection: ProtocolConnection, kind: str, message: Message) -> None:
        if kind == names.PROXY_REGISTRATION:
            registration = validation.parse_proxy_registration(message, self.deployment)
            self.proxies[connection] = registration.proxy
            self.publish(ProxyConnected(connection, *registration))
        elif kind == names.COLLECTOR_REGISTRATION:
            self._register_collector(connection, validation.parse_zone(message, self.deployment))
        else:
            raise InvalidMessageError("message received before registration")
        connection.codec.is_registered = True

    def _register_collector(self, connection: ProtocolConnection, zone: str) -> None:
        others = [other for other, other_zone in self.collectors.items() if other_zone == zone]
        if len(others) >= MAX_COLLECTORS_PER_ZONE:
            # Close the one that has been idle for longest rather than the oldest, which may be the only working
            # collector while the others registered but send nothing.
            min(others, key=lambda other: other.last_received_ms).close("replaced by a newer collector of the zone")
        self.collectors[connection] = zone

    def _handle_report(self, connection: ProtocolConnection, kind: str, message: Message) -> None:
        if kind not in REPORT_HANDLERS:
            raise InvalidMessageError("unexpected message kind")
        REPORT_HANDLERS[kind](self, connection, message)

    def _handle_upstream_stats(self, connection: ProtocolConnection, message: Message) -> None:
        zone, stats = validation.parse_upstream_stats(message, self.deployment)
        self.publish(stats, (zone, stats.endpoint), merge_upstream_stats)

    def _handle_downstream_stats(self, connection: ProtocolConnection, message: Message) -> None:
        stats = validation.parse_downstream_stats(message, self.deployment)
        if self.proxies.get(connection, stats.proxy) != stats.proxy:
            raise InvalidMessageError("proxy not registered on this connection")
        self.publish(stats, (stats.class_index, stats.proxy), merge_downstream_stats)

    def _handle_ack(self, connection: ProtocolConnection, message: Message) -> None:
        proxy, serial = validation.parse_ack(message, self.deployment)
        if self.proxies.get(connection) != proxy:
            raise InvalidMessageError("proxy not registered on this connection")
        self.publish(AckReceived(connection, proxy, serial))

    def _drop(self, reason: str) -> None:
        self.dropped[reason] += 1
        if self.log_limiter.is_due(f"dropped: {reason}"):
            self.log.warning("message dropped", reason=reason, dropped=self.dropped[reason])


REPORT_HANDLERS: dict[str, Callable[[ConnectionManager, ProtocolConnection, Message], None]] = {
    names.UPSTREAM_STATS: ConnectionManager._handle_upstream_stats,
    names.DOWNSTREAM_STATS: ConnectionManager._handle_downstream_stats,
    names.ACK: ConnectionManager._handle_ack,
}
