"""What `Connection` and `Poller` need of a protocol: a state machine without I/O, one for each connection."""

from typing import Protocol, TypeVar

from quillstep.errors import QuillstepError

EventT = TypeVar("EventT")


class ProtocolError(QuillstepError):
    """The peer broke the protocol and the connection can't go on; the text is for the log."""


class Codec(Protocol[EventT]):
    """One connection's protocol.  Not safe for threads: its `Connection` calls it under a lock."""

    is_registered: bool  # the peer has said who it is, or opened a stream; until then it may be evicted
    unsent_bytes: int

    def receive(self, data: bytes) -> list[EventT]:
        """Return the events that these bytes complete.

        Raises:
            ProtocolError: The peer broke the protocol.
        """

    def send(self, stream: int, message: bytes) -> None:
        """Queue a message on a stream."""

    def pump(self) -> bytes:
        """Remove and return the bytes that may be written now."""

    def ping(self) -> None:
        """Queue a ping, where the protocol has one."""

    def goodbye(self) -> bytes:
        """Return what is to be said to a peer that broke the protocol."""
