"""Limits the memory for messages that have arrived in part, over all connections of a poller."""

from typing import Generic, Protocol, TypeVar

MAX_BUFFERED_BYTES = 16 * 2**20


class Receiver(Protocol):
    """The part of a connection's codec that this module reads."""

    @property
    def buffered_bytes(self) -> int:
        """Size of the received bytes that do not complete a message yet."""


ConnectionT = TypeVar("ConnectionT")


class ReceiveBudget(Generic[ConnectionT]):
    """Counts the buffered bytes of each connection; used by the poller's thread alone."""

    def __init__(self, max_bytes: int = MAX_BUFFERED_BYTES) -> None:
        self.max_bytes = max_bytes
        self.total_bytes = 0
        self._buffered: dict[ConnectionT, int] = {}

    def update(self, connection: ConnectionT, codec: Receiver) -> None:
        """Counts a connection after it has received data."""
        self.release(connection)
        if codec.buffered_bytes:
            self._buffered[connection] = codec.buffered_bytes
            self.total_bytes += codec.buffered_bytes

    def release(self, connection: ConnectionT) -> None:
        """Forgets a connection."""
        self.total_bytes -= self._buffered.pop(connection, 0)

    def connection_over_budget(self) -> ConnectionT | None:
        """Returns the connection with most buffered bytes if all together exceed the limit, else None."""
        if self.total_bytes <= self.max_bytes:
            return None
        return max(self._buffered, key=self._buffered.__getitem__)
