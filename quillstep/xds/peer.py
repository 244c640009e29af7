"""A connection that was dialled: a reader and a writer thread with small stacks, bounded both ways.

Few connections are dialled; those that are accepted have no threads of their own (`poller.py`).
"""

import contextlib
import socket
import threading
from collections.abc import Callable

from quillstep.xds.http2 import Event, GrpcConnection, ProtocolError

STACK_BYTES = 256 * 1024
CHUNK = 64 * 1024


class Peer:
    """A connection from its dial to its end.

    `sink(peer, event)` is called in the reader's thread for each event and may block, which holds up this peer
    alone; `closed(peer, reason)` once, in the reader's thread.  Times are milliseconds.
    """

    def __init__(
        self,
        sock: socket.socket,
        connection: GrpcConnection,
        sink: Callable[["Peer", Event], None],
        closed: Callable[["Peer", str], None],
        *,
        write_timeout_ms: float = 5000.0,
        idle_timeout_ms: float = 15000.0,
        ping_interval_ms: float = 3000.0,
        unsent_most: int = 256 * 1024,
    ) -> None:
        self.sock, self.connection, self.sink, self.closed = sock, connection, sink, closed
        self.write_timeout_ms, self.idle_timeout_ms, self.ping_interval_ms, self.unsent_most = (
            write_timeout_ms,
            idle_timeout_ms,
            ping_interval_ms,
            unsent_most,
        )
        self.lock = threading.Lock()
        self.wake = threading.Condition(self.lock)
        self.control = bytearray()  # what the reader's part of the protocol has to say
        self.reason = ""
        self.stopping = False
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.write_sock = sock.dup()
        self.threads = [
            threading.Thread(target=self.read, daemon=True),
            threading.Thread(target=self.write, daemon=True),
        ]

    def start(self) -> None:
        for thread in self.threads:
            thread.start()

    def unsent(self) -> int:
        return self.connection.unsent_bytes + len(self.control)

    def send(self, stream: int, message: bytes) -> bool:
        """Queue a message; False if the peer is over its bound and has been cut off."""
        with self.wake:
            if self.stopping:
                return False
            self.connection.send(stream, message)
            over = self.connection.unsent_bytes > self.unsent_most + 2 * len(message)
            self.wake.notify()
        if over:
            self.stop("it reads more slowly than its bound allows")
        return not over

    def with_connection(self, what: Callable[[GrpcConnection], None]) -> None:
        """Do something with the connection under its lock, then let the writer see to the rest."""
        with self.wake:
            if not self.stopping:
                what(self.connection)
                self.wake.notify()

    def stop(self, reason: str) -> None:
        """End the connection; its threads follow."""
        with self.wake:
            if self.stopping:
                return
            self.reason, self.stopping = reason, True
            self.wake.notify()
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)

    def read(self) -> None:
        reason = "it closed the connection"
        try:
            self.sock.settimeout(self.idle_timeout_ms / 1000.0)
            while not self.stopping:
                data = self.sock.recv(CHUNK)
                if not data:
                    break
                with self.wake:
                    events = self.connection.receive(data)
                    self.control += self.connection.h2.data_to_send()
                    if len(self.control) > self.unsent_most:
                        raise ProtocolError("it asks for more answers than it reads")
                    self.wake.notify()
                for event in events:
                    self.sink(self, event)
        except TimeoutError:
            reason = "it was silent for too long"
        except ProtocolError as trouble:
            reason = str(trouble)
            with self.lock:
                self.control += self.connection.h2.data_to_send()  # our goodbye, if it still reads
        except OSError as trouble:
            reason = f"{type(trouble).__name__}"
        self.finish(self.reason or reason)

    def finish(self, reason: str) -> None:
        with self.wake:
            last = bytes(self.control[:4096])
            self.reason, self.stopping = reason, True
            self.wake.notify()
        if last:
            with contextlib.suppress(OSError):
                self.sock.settimeout(0.2)
                self.sock.send(last)
        for sock in (self.sock, self.write_sock):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()
        self.closed(self, reason)

    def write(self) -> None:
        self.write_sock.settimeout(self.write_timeout_ms / 1000.0)
        try:
            while True:
                with self.wake:
                    data = self.outgoing()
                    if not data and not self.stopping:
                        if not self.wake.wait(self.ping_interval_ms / 1000.0):
                            self.connection.ping()
                        data = self.outgoing()
                    if self.stopping:
                        return
                for at in range(0, len(data), CHUNK):
                    self.write_sock.sendall(data[at : at + CHUNK])
        except TimeoutError:
            self.stop("it takes no bytes")
        except OSError:
            self.stop("the connection broke")
        except Exception as trouble:  # a broken protocol state must end this connection, not the thread silently
            self.stop(f"{type(trouble).__name__}: {trouble}")

    def outgoing(self) -> bytes:
        data = bytes(self.control)
        self.control.clear()
        return data + self.connection.pump()


def dial(address: str, timeout_ms: float) -> socket.socket:
    """A connection to `host:port`; raises OSError."""
    host, _, port = address.rpartition(":")
    return socket.create_connection((host.strip("[]"), int(port)), timeout_ms / 1000.0)
