"""A small gRPC client on a blocking socket: what a pilot needs to follow the roster."""

import contextlib
import queue
from collections.abc import Iterator

from quillstep.xds.http2 import Event, GrpcConnection
from quillstep.xds.peer import Peer, dial

MESSAGE_MOST = 16 * 2**20


class GrpcClient:
    """One connection as its client.  `events` gives what comes until the connection ends."""

    def __init__(self, address: str, timeout_ms: float, idle_timeout_ms: float = 15000.0) -> None:
        self.address = address
        sock = dial(address, timeout_ms)
        self.inbox: queue.Queue[Event | None] = queue.Queue(1024)
        self.reason = ""
        connection = GrpcConnection(True, MESSAGE_MOST, 64 * 1024)
        self.peer = Peer(
            sock, connection, self.take, self.closed, idle_timeout_ms=idle_timeout_ms, unsent_most=4 * 2**20
        )
        self.peer.start()

    def take(self, peer: Peer, event: Event) -> None:
        self.inbox.put(event)

    def closed(self, peer: Peer, reason: str) -> None:
        self.reason = reason
        with contextlib.suppress(queue.Full):
            self.inbox.put(None, timeout=1.0)

    def open(self, path: str) -> int:
        opened: list[int] = []
        self.peer.with_connection(lambda c: opened.append(c.open(path, self.address)))
        if not opened:
            raise ConnectionError(self.reason or "the connection is closed")
        return opened[0]

    def send(self, stream: int, message: bytes) -> bool:
        return self.peer.send(stream, message)

    def events(self) -> Iterator[Event]:
        while (event := self.inbox.get()) is not None:
            yield event

    def close(self) -> None:
        self.peer.stop("closed by its owner")
