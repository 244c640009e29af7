"""The interface of a protocol for `Connection` and `Poller`: one state machine without I/O for each connection."""

from typing import Protocol, TypeVar

from quillstep.errors import QuillstepError

EventT = TypeVar("EventT")


class ProtocolError(QuillstepError):
    """The peer violated the protocol and the connection must be closed; the message is for the log."""


class Codec(Protocol[EventT]):
    """The protocol state of one connection.  Not thread-safe: its `Connection` calls it under a lock.

    Attributes:
        is_registered: Whether the peer has identified itself or opened a stream; until then it may be evicted.
        unsent_bytes: Size of the queued messages.
        buffered_bytes: Size of the received bytes that do not complete a message yet.
    """

    is_registered: bool
    unsent_bytes: int

    @property
    def buffered_bytes(self) -> int:
        """See the class."""

    def receive(self, data: bytes) -> list[EventT]:
        """Return the events that these bytes complete.

        Raises:
            ProtocolError: The peer violated the protocol.
        """

    def send(self, stream: int, message: bytes) -> None:
        """Queue a message on a stream."""

    def pump(self) -> bytes:
        """Remove and return the bytes that may be written now."""

    def ping(self) -> None:
        """Queue a ping, if the protocol has one."""

    def closing_bytes(self) -> bytes:
        """Return the last bytes for a peer that violated the protocol; empty if the protocol has no such message."""
