"""A connection that was dialled: a reader and a writer thread with small stacks, bounded both ways.

Few connections are dialled; those that are accepted have no threads of their own (`net/poller.py`).
"""

import contextlib
import socket
import threading
from collections.abc import Callable

from quillstep.xds.http2 import MAX_GOODBYE_BYTES, Event, GrpcConnection, ProtocolError

STACK_BYTES = 256 * 1024
CHUNK_BYTES = 64 * 1024
LAST_WRITE_TIMEOUT_S = 0.2


class DialledConnection:
    """A connection from its dial to its end.

    `on_event(connection, event)` is called in the reader's thread for each event and may block, which holds up this
    connection alone; `on_closed(connection, reason)` once, in the reader's thread.  `lock` guards the codec, `answers`,
    `reason` and `is_stopping`.  The threads end when the connection does; who closes it does not wait for them, as the
    reader may be blocked in `on_event`.  Times are milliseconds.
    """

    def __init__(
        self,
        sock: socket.socket,
        codec: GrpcConnection,
        on_event: Callable[["DialledConnection", Event], None],
        on_closed: Callable[["DialledConnection", str], None],
        *,
        write_timeout_ms: float = 5000.0,
        idle_timeout_ms: float = 15000.0,
        ping_interval_ms: float = 3000.0,
        max_unsent_bytes: int = 256 * 1024,
    ) -> None:
        self.sock, self.codec, self.on_event, self.on_closed = sock, codec, on_event, on_closed
        self.write_timeout_ms, self.idle_timeout_ms = write_timeout_ms, idle_timeout_ms
        self.ping_interval_ms, self.max_unsent_bytes = ping_interval_ms, max_unsent_bytes
        self.lock = threading.Lock()
        self.wake = threading.Condition(self.lock)
        self.answers = bytearray()  # what the protocol itself answers
        self.reason = ""
        self.is_stopping = False
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.write_sock = sock.dup()
        self.threads = [
            threading.Thread(target=self._read, name="grpc-client-reader", daemon=True),
            threading.Thread(target=self._write, name="grpc-client-writer", daemon=True),
        ]

    def start(self) -> None:
        """Starts both threads."""
        for thread in self.threads:
            thread.start()

    def unsent_bytes(self) -> int:
        """Bytes that wait for the peer."""
        return self.codec.unsent_bytes + len(self.answers)

    def send(self, stream: int, message: bytes) -> bool:
        """Queues a message; False if the connection has ended, or is closed since too much waits for its peer."""
        with self.wake:
            if self.is_stopping:
                return False
            self.codec.send(stream, message)
            is_over = self.codec.unsent_bytes > self.max_unsent_bytes + 2 * len(message)
            self.wake.notify()
        if is_over:
            self.close("it reads more slowly than its bound allows")
        return not is_over

    def with_codec(self, action: Callable[[GrpcConnection], None]) -> None:
        """Calls `action` with the codec under the lock; the writer then sends what it made."""
        with self.wake:
            if not self.is_stopping:
                action(self.codec)
                self.wake.notify()

    def close(self, reason: str) -> None:
        """Ends the connection; its threads follow."""
        with self.wake:
            if self.is_stopping:
                return
            self.reason, self.is_stopping = reason, True
            self.wake.notify()
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)

    def _read(self) -> None:
        reason = "it closed the connection"
        try:
            self._read_until_end()
        except TimeoutError:
            reason = "it was silent for too long"
        except ProtocolError as error:
            reason = str(error)
            with self.lock:
                self.answers += self.codec.pending_output()  # our goodbye, if it still reads
        except OSError as error:
            reason = type(error).__name__
        self._finish(self.reason or reason)

    def _read_until_end(self) -> None:
        self.sock.settimeout(self.idle_timeout_ms / 1000.0)
        while not self.is_stopping:
            data = self.sock.recv(CHUNK_BYTES)
            if not data:
                return
            with self.wake:
                events = self.codec.receive(data)
                self.answers += self.codec.pending_output()
                if len(self.answers) > self.max_unsent_bytes:
                    raise ProtocolError("it asks for more answers than it reads")
                self.wake.notify()
            for event in events:
                self.on_event(self, event)

    def _finish(self, reason: str) -> None:
        with self.wake:
            last = bytes(self.answers[:MAX_GOODBYE_BYTES])
            self.reason, self.is_stopping = reason, True
            self.wake.notify()
        if last:
            with contextlib.suppress(OSError):
                self.sock.settimeout(LAST_WRITE_TIMEOUT_S)
                self.sock.send(last)
        for sock in (self.sock, self.write_sock):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()
        self.on_closed(self, reason)

    def _write(self) -> None:
        self.write_sock.settimeout(self.write_timeout_ms / 1000.0)
        try:
            while (data := self._wait_for_output()) is not None:
                for at in range(0, len(data), CHUNK_BYTES):
                    self.write_sock.sendall(data[at : at + CHUNK_BYTES])
        except TimeoutError:
            self.close("it takes no bytes")
        except OSError:
            self.close("the connection broke")
        except Exception as error:  # a broken protocol state must end this connection, not the thread silently
            self.close(f"{type(error).__name__}: {error}")

    def _wait_for_output(self) -> bytes | None:
        """Waits for something to send, with a ping after a silence; None where the connection ends."""
        with self.wake:
            data = self._outgoing()
            if not data and not self.is_stopping:
                if not self.wake.wait(self.ping_interval_ms / 1000.0):
                    self.codec.ping()
                data = self._outgoing()
            return None if self.is_stopping else data

    def _outgoing(self) -> bytes:
        data = bytes(self.answers)
        self.answers.clear()
        return data + self.codec.pump()


def dial(address: str, timeout_ms: float) -> socket.socket:
    """A connection to `host:port`.

    Raises:
        OSError: There is none.
    """
    host, _, port = address.rpartition(":")
    return socket.create_connection((host.strip("[]"), int(port)), timeout_ms / 1000.0)
