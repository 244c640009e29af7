"""A minimal gRPC client on a blocking socket, with which a controller follows endpoint discovery."""

import contextlib
import queue
from collections.abc import Iterator

from quillstep.xds.http2 import Event, GrpcConnection
from quillstep.xds.peer import ClientConnection, connect

MAX_MESSAGE_BYTES = 16 * 2**20
MAX_HEADER_BYTES = 64 * 1024
MAX_UNSENT_BYTES = 4 * 2**20
MAX_QUEUED_EVENTS = 1024
CLOSE_TIMEOUT_S = 1.0  # how long to wait for space in a full event queue when the connection closes


class GrpcClient:
    """A client connection; `events` yields what the server sends until the connection closes."""

    def __init__(self, address: str, timeout_ms: float, idle_timeout_ms: float = 15000.0) -> None:
        self.address = address
        sock = connect(address, timeout_ms)
        self.queue: queue.Queue[Event | None] = queue.Queue(MAX_QUEUED_EVENTS)
        self.reason = ""
        self.connection = ClientConnection(
            sock,
            GrpcConnection(True, MAX_MESSAGE_BYTES, MAX_HEADER_BYTES),
            self._on_event,
            self._on_closed,
            idle_timeout_ms=idle_timeout_ms,
            max_unsent_bytes=MAX_UNSENT_BYTES,
        )
        self.connection.start()

    def open(self, path: str) -> int:
        """Opens a stream to a method and returns the stream's number.

        Raises:
            ConnectionError: The connection is closed.
        """
        opened: list[int] = []
        self.connection.with_codec(lambda codec: opened.append(codec.open(path, self.address)))
        if not opened:
            raise ConnectionError(self.reason or "the connection is closed")
        return opened[0]

    def send(self, stream: int, message: bytes) -> bool:
        """Queues a message; returns False if the connection is closed."""
        return self.connection.send(stream, message)

    def events(self) -> Iterator[Event]:
        """Yields events until the connection closes."""
        while (event := self.queue.get()) is not None:
            yield event

    def close(self) -> None:
        """Closes the connection."""
        self.connection.close("closed by the client")

    def _on_event(self, connection: ClientConnection, event: Event) -> None:
        self.queue.put(event)

    def _on_closed(self, connection: ClientConnection, reason: str) -> None:
        self.reason = reason
        with contextlib.suppress(queue.Full):
            self.queue.put(None, timeout=CLOSE_TIMEOUT_S)
