"""One accepted connection: its socket, its protocol's codec, and its use of the limits."""

import select
import socket
import threading
from collections.abc import Callable
from typing import Any, Generic, Protocol, TypeVar

from quillstep.net.clock import now_ms
from quillstep.net.codec import Codec

CodecT = TypeVar("CodecT", bound=Codec[Any])


class Limits(Protocol):
    """Limits on connections and on their number."""

    @property
    def max_unsent_bytes(self) -> int:
        """Maximum number of bytes that wait for a peer that reads slowly."""

    @property
    def max_connections(self) -> int:
        """Maximum number of connections, registered or not."""

    @property
    def max_unregistered(self) -> int:
        """Maximum number of connections that have not registered."""

    @property
    def messages_per_s(self) -> float:
        """Rate at which events are read from one connection; also the size of a burst."""

    @property
    def handshake_timeout_ms(self) -> float:
        """Time in which a connection must register."""

    @property
    def write_timeout_ms(self) -> float:
        """Time without progress after which a write to a peer is given up."""

    @property
    def idle_timeout_ms(self) -> float:
        """Time after which an idle registered peer is disconnected."""

    @property
    def ping_interval_ms(self) -> float:
        """Time after which an idle registered peer is pinged."""


class Scheduler(Protocol):
    """What a connection needs of its poller."""

    limits: Limits

    def schedule(self, connection: Any, /) -> None:
        """Have the poller's thread apply this connection's state: write its output, pause it, or close it."""


class Connection(Generic[CodecT]):
    """One accepted connection of a poller.

    `send`, `with_codec`, `unsent_bytes`, `set_paused` and `close` may be called from any thread and never block;
    everything else is used by the poller's thread alone.  `lock` guards the codec and `is_closed`.
    """

    def __init__(self, poller: Scheduler, sock: socket.socket, codec: CodecT, accept_number: int) -> None:
        self.poller, self.sock, self.codec = poller, sock, codec
        self.accept_number = accept_number  # increases in the order in which connections were accepted
        self.lock = threading.Lock()
        self.send_buffer = bytearray()  # bytes not written yet; used by the poller's thread alone
        self.accepted_ms = self.last_received_ms = self.last_ping_ms = self.last_written_ms = now_ms()
        self.message_budget, self.budget_updated_ms = poller.limits.messages_per_s, self.accepted_ms
        self.poll_mask = select.POLLIN
        self.is_paused = False  # while True, the connection is not read
        self.is_suspended = False  # while True, the connection is neither read nor written: the system lacks memory
        self.is_scheduled = False  # queued for an update by the poller's thread
        self.close_reason = ""  # set once the connection is to be closed
        self.is_closed = False

    @property
    def is_registered(self) -> bool:
        """Whether the peer has identified itself or opened a stream."""
        return self.codec.is_registered

    def unsent_bytes(self) -> int:
        """Return the number of bytes that wait for the peer."""
        return self.codec.unsent_bytes + len(self.send_buffer)

    def send(self, stream: int, message: bytes) -> bool:
        """Queue a message; return False if the connection is closed or now closes because too many bytes are unsent."""
        with self.lock:
            if self.close_reason or self.is_closed:
                return False
            self.codec.send(stream, message)
            is_over_limit = self.unsent_bytes() > self.poller.limits.max_unsent_bytes + 2 * len(message)
        if is_over_limit:
            self.close("unsent data: size limit reached")
        self.poller.schedule(self)
        return not is_over_limit

    def with_codec(self, action: Callable[[CodecT], None]) -> None:
        """Call `action` with the codec under the lock; the poller then writes the output."""
        with self.lock:
            if not self.is_closed:
                action(self.codec)
        self.poller.schedule(self)

    def set_paused(self, is_paused: bool) -> None:
        """Stop or resume reading from the peer."""
        if self.is_paused != is_paused:
            self.is_paused = is_paused
            self.poller.schedule(self)

    def close(self, reason: str) -> None:
        """Have the poller close the connection, after it has written what the socket accepts without blocking."""
        if not self.close_reason:
            self.close_reason = reason
        self.poller.schedule(self)
