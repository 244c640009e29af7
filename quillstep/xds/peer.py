"""A client connection: one reader and one writer thread, and bounded buffers both ways.

A process has few client connections.  Accepted connections have no threads of their own; see `net/poller.py`.
"""

import contextlib
import socket
import threading
from collections.abc import Callable

from quillstep.xds.http2 import MAX_GOAWAY_BYTES, Event, GrpcConnection, ProtocolError

CHUNK_BYTES = 64 * 1024
FINAL_WRITE_TIMEOUT_S = 0.2


class ClientConnection:
    """A connection opened by this process.

    `on_event(connection, event)` is called in the reader thread for each event; it may block, which delays only this
    connection.  `on_closed(connection, reason)` is called once, in the reader thread.  `lock` guards the codec,
    `protocol_output`, `reason` and `is_stopping`.  Both threads end when the connection closes; `close` does not wait
    for them, as the reader may be blocked in `on_event`.
    """

    def __init__(
        self,
        sock: socket.socket,
        codec: GrpcConnection,
        on_event: Callable[["ClientConnection", Event], None],
        on_closed: Callable[["ClientConnection", str], None],
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
        self.protocol_output = bytearray()  # HTTP/2 control frames to send, without queued messages
        self.reason = ""
        self.is_stopping = False
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.write_sock = sock.dup()
        self.threads = [
            threading.Thread(target=self._read, name="grpc-client-reader", daemon=True),
            threading.Thread(target=self._write, name="grpc-client-writer", daemon=True),
        ]

    def start(self) -> None:
        """Starts the reader and writer threads."""
        for thread in self.threads:
            thread.start()

    def unsent_bytes(self) -> int:
        """Returns how many bytes wait to be sent."""
        return self.codec.unsent_bytes + len(self.protocol_output)

    def send(self, stream: int, message: bytes) -> bool:
        """Queues a message; returns False if the connection is closed, or is closed now as too many bytes wait."""
        with self.wake:
            if self.is_stopping:
                return False
            self.codec.send(stream, message)
            is_over_limit = self.codec.unsent_bytes > self.max_unsent_bytes + 2 * len(message)
            self.wake.notify()
        if is_over_limit:
            self.close("unsent data: size limit reached")
        return not is_over_limit

    def with_codec(self, action: Callable[[GrpcConnection], None]) -> None:
        """Calls `action` with the codec under the lock; the writer then sends the output."""
        with self.wake:
            if not self.is_stopping:
                action(self.codec)
                self.wake.notify()

    def close(self, reason: str) -> None:
        """Closes the connection; both threads then end."""
        with self.wake:
            if self.is_stopping:
                return
            self.reason, self.is_stopping = reason, True
            self.wake.notify()
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)

    def _read(self) -> None:
        reason = "the peer closed the connection"
        try:
            self._read_until_end()
        except TimeoutError:
            reason = f"idle for {self.idle_timeout_ms / 1000.0:g} s"
        except ProtocolError as error:
            reason = str(error)
            with self.lock:
                self.protocol_output += self.codec.pending_output()  # includes the GOAWAY frame
        except OSError as error:
            reason = type(error).__name__
        except Exception as error:  # as in `_write`: the owner must learn that nothing more is read
            reason = f"{type(error).__name__}: {error}"
        self._finish(self.reason or reason)

    def _read_until_end(self) -> None:
        self.sock.settimeout(self.idle_timeout_ms / 1000.0)
        while not self.is_stopping:
            data = self.sock.recv(CHUNK_BYTES)
            if not data:
                return
            with self.wake:
                events = self.codec.receive(data)
                self.protocol_output += self.codec.pending_output()
                if len(self.protocol_output) > self.max_unsent_bytes:
                    raise ProtocolError("unsent control frames: size limit reached")
                self.wake.notify()
            for event in events:
                self.on_event(self, event)

    def _finish(self, reason: str) -> None:
        with self.wake:
            last = bytes(self.protocol_output[:MAX_GOAWAY_BYTES])
            self.reason, self.is_stopping = reason, True
            self.wake.notify()
        if last:
            with contextlib.suppress(OSError):
                self.sock.settimeout(FINAL_WRITE_TIMEOUT_S)
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
                for offset in range(0, len(data), CHUNK_BYTES):
                    self.write_sock.sendall(data[offset : offset + CHUNK_BYTES])
        except TimeoutError:
            self.close("write timed out")
        except OSError:
            self.close("write failed")
        except Exception as error:  # an invalid protocol state must close the connection, not end the thread unnoticed
            self.close(f"{type(error).__name__}: {error}")

    def _wait_for_output(self) -> bytes | None:
        """Waits for output, with a ping after each idle ping interval; returns None once the connection closes."""
        with self.wake:
            data = self._outgoing()
            if not data and not self.is_stopping:
                if not self.wake.wait(self.ping_interval_ms / 1000.0):
                    self.codec.ping()
                data = self._outgoing()
            return None if self.is_stopping else data

    def _outgoing(self) -> bytes:
        data = bytes(self.protocol_output)
        self.protocol_output.clear()
        return data + self.codec.pump()


def connect(address: str, timeout_ms: float) -> socket.socket:
    """Opens a connection to `host:port`.

    Raises:
        OSError: The connection cannot be opened.
        ValueError: The port is not an integer.
    """
    host, _, port = address.rpartition(":")
    return socket.create_connection((host.strip("[]"), int(port)), timeout_ms / 1000.0)
