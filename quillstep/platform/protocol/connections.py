"""Who connects: proxies by their streams, collectors, and peers that have not registered.

All of it runs in the poller's thread.  An unregistered connection may send a heartbeat and register, nothing else; of
a registered one every message is read, and an invalid one is dropped and counted.
"""

from collections import Counter
from collections.abc import Callable, Hashable
from typing import Any, NamedTuple, Protocol

import structlog

from quillstep.net.clock import now_ms
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

HEARTBEAT_ANSWER = encode_message({names.KIND: names.HEARTBEAT_ANSWER})
MAX_UNREGISTERED_MESSAGE_BYTES = 4096
MAX_COLLECTORS_PER_ZONE = 2  # one that connects, and one whose end has not been seen yet
DROP_LOG_INTERVAL_MS = 2000.0  # between two log lines on messages dropped for the same reason


class ConnectionLimits(NamedTuple):
    """What one connection may cost; see `quillstep.net.connection.Limits`."""

    max_connections: int
    max_unregistered: int
    max_unsent_bytes: int = 128 * 1024
    messages_per_s: float = 20000.0
    handshake_timeout_ms: float = 1000.0
    write_timeout_ms: float = 15000.0
    idle_timeout_ms: float = float("inf")  # no peer is obliged to send anything
    ping_interval_ms: float = float("inf")


class Publish(Protocol):
    """Passes an event to the deciding thread without blocking; see `EventQueue.put_nowait`."""

    def __call__(
        self, event: ProtocolEvent, key: Hashable = None, merge: Callable[[Any, Any], Any] | None = None
    ) -> None:
        """Publish the event, merged with others of its key where the queue is full."""


class ConnectionManager:
    """The listening socket, and who is registered on which connection."""

    def __init__(self, listen: str, limits: ConnectionLimits, deployment: Deployment, publish: Publish) -> None:
        """Bind the socket; see `Poller`.

        Raises:
            OSError: The address can't be bound.
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
        self.collectors: dict[ProtocolConnection, str] = {}  # and their zones
        self.dropped: Counter[str] = Counter()  # messages by reason
        self.closed_unregistered: Counter[str] = Counter()  # connections by reason
        self.last_logged_ms: dict[str, float] = {}  # by reason of dropped messages
        self.log = structlog.get_logger("connections")

    def handle_event(self, connection: ProtocolConnection, event: MessageEvent) -> None:
        """Answer, publish or drop one message; close the connection where it can't be read."""
        if connection.close_reason:
            return
        if isinstance(event, StreamBroken):
            connection.close(event.reason)
            return
        kind = validation.message_kind(event)
        if kind == names.HEARTBEAT:
            connection.send(0, HEARTBEAT_ANSWER)
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
        """Publish that a proxy's stream has ended; count a connection that never registered."""
        proxy = self.proxies.pop(connection, None)
        if proxy is not None:
            self.log.info("proxy disconnected", proxy=proxy, reason=reason)
            self.publish(ProxyDisconnected(connection, proxy))
        elif self.collectors.pop(connection, None) is None:
            self.closed_unregistered[reason] += 1

    def _register(self, connection: ProtocolConnection, kind: str, message: Message) -> None:
        if kind == names.PROXY_REGISTRATION:
            registration = validation.parse_proxy_registration(message, self.deployment)
            self.proxies[connection] = registration.proxy
            self.publish(ProxyConnected(connection, *registration))
        elif kind == names.COLLECTOR_REGISTRATION:
            self._register_collector(connection, validation.parse_zone(message, self.deployment))
        else:
            raise InvalidMessageError("it began without registering")
        connection.codec.is_registered = True

    def _register_collector(self, connection: ProtocolConnection, zone: str) -> None:
        others = [other for other, its_zone in self.collectors.items() if its_zone == zone]
        if len(others) >= MAX_COLLECTORS_PER_ZONE:
            # Not the oldest: it may be the one that works, while the others only claim to be collectors.
            min(others, key=lambda other: other.last_received_ms).close("its zone has newer collectors")
        self.collectors[connection] = zone

    def _handle_report(self, connection: ProtocolConnection, kind: str, message: Message) -> None:
        if kind not in REPORT_HANDLERS:
            raise InvalidMessageError("its kind is none that a controller is sent here")
        REPORT_HANDLERS[kind](self, connection, message)

    def _handle_upstream_stats(self, connection: ProtocolConnection, message: Message) -> None:
        zone, stats = validation.parse_upstream_stats(message, self.deployment)
        self.publish(stats, (zone, stats.endpoint), merge_upstream_stats)

    def _handle_downstream_stats(self, connection: ProtocolConnection, message: Message) -> None:
        stats = validation.parse_downstream_stats(message, self.deployment)
        if self.proxies.get(connection, stats.proxy) != stats.proxy:
            raise InvalidMessageError("it is of another proxy")
        self.publish(stats, (stats.class_index, stats.proxy), merge_downstream_stats)

    def _handle_ack(self, connection: ProtocolConnection, message: Message) -> None:
        proxy, serial = validation.parse_ack(message, self.deployment)
        if self.proxies.get(connection) != proxy:
            raise InvalidMessageError("it is of another proxy")
        self.publish(AckReceived(connection, proxy, serial))

    def _drop(self, reason: str) -> None:
        self.dropped[reason] += 1
        if now_ms() - self.last_logged_ms.get(reason, float("-inf")) > DROP_LOG_INTERVAL_MS:
            self.last_logged_ms[reason] = now_ms()
            self.log.warning("message dropped", reason=reason, dropped=self.dropped[reason])


REPORT_HANDLERS: dict[str, Callable[[ConnectionManager, ProtocolConnection, Message], None]] = {
    names.UPSTREAM_STATS: ConnectionManager._handle_upstream_stats,
    names.DOWNSTREAM_STATS: ConnectionManager._handle_downstream_stats,
    names.ACK: ConnectionManager._handle_ack,
}
