"""One accepted connection: its socket, its protocol's codec, and what it has used of its limits."""

import select
import socket
import threading
from collections.abc import Callable
from typing import Any, Generic, Protocol, TypeVar

from quillstep.net.clock import now_ms
from quillstep.net.codec import Codec

CodecT = TypeVar("CodecT", bound=Codec[Any])


class Limits(Protocol):
    """What one connection may cost, and how many there may be."""

    @property
    def max_unsent_bytes(self) -> int:
        """Bytes that may wait for a peer that reads slowly."""

    @property
    def max_connections(self) -> int:
        """Connections, registered or not."""

    @property
    def max_unregistered(self) -> int:
        """Connections that have not registered yet."""

    @property
    def messages_per_s(self) -> float:
        """Events that are read from one connection, and the burst on top."""

    @property
    def handshake_timeout_ms(self) -> float:
        """How long a connection may stay unregistered."""

    @property
    def write_timeout_ms(self) -> float:
        """How long a peer may take no bytes while some wait for it."""

    @property
    def idle_timeout_ms(self) -> float:
        """How long a registered peer may be silent."""

    @property
    def ping_interval_ms(self) -> float:
        """How long a registered peer may be silent before it is pinged."""


class Scheduler(Protocol):
    """The poller, as its connections see it."""

    limits: Limits

    def schedule(self, connection: Any, /) -> None:
        """Have the poller's thread write, pause or close this connection as it now stands."""


class Connection(Generic[CodecT]):
    """One accepted connection.

    `send`, `with_codec`, `unsent_bytes`, `set_paused` and `close` may be called from any thread and never block; the
    rest belongs to the poller's thread.  `lock` guards the codec and `is_closed`.
    """

    def __init__(self, poller: Scheduler, sock: socket.socket, codec: CodecT, accept_number: int) -> None:
        self.poller, self.sock, self.codec = poller, sock, codec
        self.accept_number = accept_number  # of two connections, the higher one was accepted later
        self.lock = threading.Lock()
        self.send_buffer = bytearray()  # what the socket has not taken yet; the poller's thread alone touches it
        self.accepted_ms = self.last_received_ms = self.last_ping_ms = self.last_written_ms = now_ms()
        self.message_budget, self.budget_updated_ms = poller.limits.messages_per_s, self.accepted_ms
        self.poll_mask = select.POLLIN
        self.is_paused = False  # it is not read while this stands
        self.is_scheduled = False  # it waits for the poller's thread to look at it
        self.close_reason = ""  # why it is to be closed; empty while it is not
        self.is_closed = False

    @property
    def is_registered(self) -> bool:
        """Whether the peer has said who it is, or opened a stream."""
        return self.codec.is_registered

    def unsent_bytes(self) -> int:
        """Return how many bytes wait for the peer."""
        return self.codec.unsent_bytes + len(self.send_buffer)

    def send(self, stream: int, message: bytes) -> bool:
        """Queue a message; return False if the connection is closed, or is to be since too much waits for its peer."""
        with self.lock:
            if self.close_reason or self.is_closed:
                return False
            self.codec.send(stream, message)
            is_over = self.unsent_bytes() > self.poller.limits.max_unsent_bytes + 2 * len(message)
        if is_over:
            self.close("it reads more slowly than its bound allows")
        self.poller.schedule(self)
        return not is_over

    def with_codec(self, action: Callable[[CodecT], None]) -> None:
        """Call `action` with the codec under the lock; the poller then writes what it made."""
        with self.lock:
            if not self.is_closed:
                action(self.codec)
        self.poller.schedule(self)

    def set_paused(self, is_paused: bool) -> None:
        """Stop reading from the peer, or go on."""
        if self.is_paused != is_paused:
            self.is_paused = is_paused
            self.poller.schedule(self)

    def close(self, reason: str) -> None:
        """Have the poller close the connection, after what can be sent at once."""
        if not self.close_reason:
            self.close_reason = reason
        self.poller.schedule(self)
