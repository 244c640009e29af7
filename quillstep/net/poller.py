"""Serves many connections in one thread, which polls their sockets for readiness.

With one or two threads for each of a thousand connections, contention for the interpreter lock would cost more than
reading (figures in docs/reports.md).  One thread reads the available data, passes each event on, and writes what the
sockets accept.  A peer that reads slowly, stalls, floods or violates the protocol affects only its own connection: it
is read no faster than its message budget allows, and output that waits for it is limited in bytes and time.
"""

import contextlib
import select
import socket
import threading
import time
from collections import deque
from collections.abc import Callable
from typing import Generic, TypeVar

import structlog

from quillstep.net.clock import now_ms
from quillstep.net.codec import ProtocolError
from quillstep.net.connection import CodecT, Connection, Limits
from quillstep.net.errors import is_out_of_memory
from quillstep.net.listener import Listener
from quillstep.net.log_limit import LogLimiter
from quillstep.net.receive_budget import ReceiveBudget
from quillstep.net.wakeup import Wakeup

EventT = TypeVar("EventT")

RECEIVE_BYTES = 64 * 1024
MAX_POLL_MS = 500.0
MAINTENANCE_INTERVAL_MS = 250.0
POLL_RETRY_S = 0.02
SUSPENSION_LOG_INTERVAL_MS = 1000.0
NO_EVENTS = 0
READ, WRITE = select.POLLIN, select.POLLOUT
HANGUP = select.POLLHUP | select.POLLERR | select.POLLNVAL


class Poller(Generic[CodecT, EventT]):
    """A listening socket and all connections that it accepted.

    `schedule` and `stop` may be called from any thread; everything else is used only by the thread that calls `run`.
    """

    def __init__(
        self,
        listen: str,
        limits: Limits,
        make_codec: Callable[[], CodecT],
        on_event: Callable[[Connection[CodecT], EventT], None],
        on_closed: Callable[[Connection[CodecT], str], None],
        *,
        idle_timeout_ms: float,
        after_pass: Callable[[], float] | None = None,
    ) -> None:
        """Bind the socket; connections are accepted once `run` is called.

        Args:
            listen: Host and port, separated by a colon.
            limits: Limits on connections.
            make_codec: Returns a new codec for each connection.
            on_event: Called with each event, in the poller's thread.
            on_closed: Called with the reason after a connection was closed, in the poller's thread.
            idle_timeout_ms: Time after which an idle registered peer is disconnected, unless it is paused.
            after_pass: Called after each pass; returns the latest time of the next pass, on the monotonic clock in
                milliseconds.

        Raises:
            OSError: The address can't be bound.
        """
        self.limits, self.make_codec, self.idle_timeout_ms = limits, make_codec, idle_timeout_ms
        self.on_event, self.on_closed, self.after_pass = on_event, on_closed, after_pass
        self.poll = select.poll()
        self.listener = Listener(listen, self.poll)
        self.address = self.listener.address
        self.connections: dict[int, Connection[CodecT]] = {}  # all connections, by descriptor
        self.unregistered: dict[int, Connection[CodecT]] = {}  # connections that have not registered, oldest first
        self.inputs: dict[int, Callable[[], bool]] = {}  # other descriptors and their handlers
        self.scheduled: deque[Connection[CodecT]] = deque()
        self.wakeup = Wakeup()
        self.stopping = threading.Event()
        self.accepted = 0
        self.last_maintenance_ms = now_ms()
        self.receive_budget: ReceiveBudget[Connection[CodecT]] = ReceiveBudget()
        self.is_poll_failing = False
        self.suspension_log_limiter = LogLimiter(SUSPENSION_LOG_INTERVAL_MS)
        self.io_cpu_s = 0.0  # processor time spent on sockets and streams
        self.log = structlog.get_logger("net")

    def add_input(self, descriptor: int, handler: Callable[[], bool]) -> None:
        """Poll another descriptor, before `run`; the poller stops once its handler returns False."""
        self.inputs[descriptor] = handler

    def schedule(self, connection: Connection[CodecT]) -> None:
        """Have the poller's thread apply this connection's state: write its output, pause it, or close it."""
        if not connection.is_scheduled:
            connection.is_scheduled = True
            self.scheduled.append(connection)
            self.wakeup.notify()

    def stop(self) -> None:
        """Have `run` write what sockets accept without blocking, close all connections, and return."""
        self.stopping.set()
        self.wakeup.is_pending = False
        self.wakeup.notify()

    def run(self) -> None:
        """Serve connections until `stop` is called or the handler of an input returns False."""
        for descriptor in (self.listener.sock.fileno(), self.wakeup.descriptor, *self.inputs):
            self.poll.register(descriptor, READ)
        due_ms = float("inf")
        while not self.stopping.is_set():
            ready = self._wait_until_ready(min(MAX_POLL_MS, max(0.0, due_ms - now_ms())))
            started_s = time.thread_time()
            for descriptor, events in ready:
                self._serve(descriptor, events)
            self.update_scheduled()
            if now_ms() - self.last_maintenance_ms > MAINTENANCE_INTERVAL_MS:
                self.run_maintenance()
            self.io_cpu_s += time.thread_time() - started_s
            due_ms = self.after_pass() if self.after_pass else float("inf")
            self.update_scheduled()
        self._shut_down()

    def _wait_until_ready(self, timeout_ms: float) -> list[tuple[int, int]]:
        """Return the ready descriptors and their events; if `poll` failed, none, after a pause."""
        try:
            ready = self.poll.poll(timeout_ms)
        except OSError as error:
            if not self.is_poll_failing:
                self.log.warning("poll failed", reason=error.strerror)
            self.is_poll_failing = True
            self.stopping.wait(POLL_RETRY_S)
            return []
        self.is_poll_failing = False
        return ready

    def _serve(self, descriptor: int, events: int) -> None:
        if descriptor in self.connections:
            self.handle_ready(self.connections[descriptor], events)
        elif descriptor == self.wakeup.descriptor:
            self.wakeup.clear()
        elif descriptor in self.inputs:
            if not self.inputs[descriptor]():
                self.stopping.set()
        else:
            self.accept()

    def _shut_down(self) -> None:
        self.listener.close()
        for connection in list(self.connections.values()):
            connection.close_reason = connection.close_reason or "the server is shutting down"
            self.update(connection)
        self.wakeup.close()

    # Accepting

    def accept(self) -> None:
        """Accept pending connections."""
        self.listener.accept(self._add, self.evict_oldest_unregistered, self._log_rejection)

    def _add(self, sock: socket.socket) -> None:
        sock.settimeout(None)
        if len(self.connections) >= self.limits.max_connections and not self.evict_oldest_unregistered():
            self._log_rejection("too many connections")
            sock.close()
            return
        while len(self.unregistered) >= self.limits.max_unregistered:
            self.evict_oldest_unregistered()
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError as error:
            self._log_rejection(f"cannot set TCP_NODELAY: {error.strerror}")
            sock.close()
            return
        self.accepted += 1
        connection = Connection(self, sock, self.make_codec(), self.accepted)
        self.connections[sock.fileno()] = self.unregistered[sock.fileno()] = connection
        self.poll.register(sock, READ)
        self.update(connection)

    def _log_rejection(self, reason: str) -> None:
        self.listener.log_rejection(reason, len(self.connections))

    def evict_oldest_unregistered(self) -> bool:
        """Close the oldest unregistered connection, so that idle ones can't exhaust the file descriptors.

        Pending bytes are read first, because they may register the connection.  While many peers connect at once, one
        that registers late may be disconnected and must reconnect.  Returns False if every connection has registered.
        """
        while self.unregistered:
            if self.evict_unregistered(next(iter(self.unregistered.values())), "too many unregistered connections"):
                return True
        return False

    def evict_unregistered(self, connection: Connection[CodecT], reason: str) -> bool:
        """Close a connection unless its pending bytes register it; return whether it is closed.

        After a pause of the process, the handshake timeout may have passed while the registration waits to be read.
        """
        self.handle_ready(connection, READ)
        self._update_registration(connection)
        if connection.is_closed:
            return True
        if connection.is_registered:
            return False
        self.close_now(connection, reason)
        return True

    def _update_registration(self, connection: Connection[CodecT]) -> None:
        if connection.is_registered:
            self.unregistered.pop(connection.sock.fileno(), None)

    # Reading and writing

    def handle_ready(self, connection: Connection[CodecT], events: int) -> None:
        """Read available data, pass its events on, and write what the socket accepts."""
        if events & (READ | HANGUP):
            try:
                data = connection.sock.recv(RECEIVE_BYTES, socket.MSG_DONTWAIT)
                if not data:
                    self.close_now(connection, connection.close_reason or "the peer closed the connection")
                    return
                self._receive(connection, data)
            except BlockingIOError:
                pass
            except ProtocolError as error:
                self._send_closing_bytes(connection)
                self.close_now(connection, str(error))
                return
            except OSError as error:
                if not is_out_of_memory(error):
                    self.close_now(connection, connection.close_reason or type(error).__name__)
                    return
                self._suspend(connection, error)
            except Exception as error:
                self._close_after_error(connection, error)
                return
        if not connection.is_closed:
            self.update(connection)

    def _suspend(self, connection: Connection[CodecT], error: OSError) -> None:
        """Leave a connection alone until the next maintenance, as the system has no memory for it now."""
        connection.is_suspended = True
        connection.poll_mask = NO_EVENTS
        with contextlib.suppress(KeyError):
            self.poll.unregister(connection.sock)  # a mask of 0 would still report a hang-up, again and again
        if self.suspension_log_limiter.is_due():
            self.log.warning("connection suspended", reason=error.strerror)

    def _close_after_error(self, connection: Connection[CodecT], error: Exception) -> None:
        """Log an internal error with its traceback and close only the connection that was being served."""
        self.log.error("connection handler failed", exc_info=error)
        self.close_now(connection, f"{type(error).__name__}: {error}")

    def _receive(self, connection: Connection[CodecT], data: bytes) -> None:
        connection.last_received_ms = now_ms()
        with connection.lock:
            events = connection.codec.receive(data)
        for event in events:
            self.on_event(connection, event)
        if events:
            connection.message_budget -= len(events)
            self._update_registration(connection)
        if not connection.is_closed:
            self.receive_budget.update(connection, connection.codec)
        while largest := self.receive_budget.connection_over_budget():
            self.close_now(largest, "incomplete messages: memory limit reached")

    def update_scheduled(self) -> None:
        """Update all scheduled connections."""
        while self.scheduled:
            connection = self.scheduled.popleft()
            connection.is_scheduled = False
            if not connection.is_closed:
                self.update(connection)

    def update(self, connection: Connection[CodecT]) -> None:
        """Write what the socket accepts, update the poll mask, and close the connection if it is to be closed."""
        try:
            with connection.lock:
                connection.send_buffer += connection.codec.pump()
            if connection.send_buffer:
                self._write(connection)
        except OSError as error:
            if not is_out_of_memory(error):
                self.close_now(connection, connection.close_reason or f"write failed: {error.strerror}")
                return
            self._suspend(connection, error)
        except Exception as error:
            self._close_after_error(connection, error)
            return
        if connection.close_reason:
            self.close_now(connection, connection.close_reason)
            return
        # A peer that requests more than it reads is not read until it catches up or the write timeout closes it.
        is_blocked = (
            connection.is_paused
            or connection.message_budget < 0
            or len(connection.send_buffer) > self.limits.max_unsent_bytes
        )
        if connection.is_suspended:
            return
        mask = (0 if is_blocked else READ) | (WRITE if connection.send_buffer else 0)
        if mask != connection.poll_mask:
            connection.poll_mask = mask
            self.poll.register(connection.sock, mask)

    @staticmethod
    def _write(connection: Connection[CodecT]) -> None:
        if not connection.poll_mask & WRITE:
            connection.last_written_ms = now_ms()
        try:
            sent = connection.sock.send(connection.send_buffer, socket.MSG_DONTWAIT)
            if sent:
                del connection.send_buffer[:sent]
                connection.last_written_ms = now_ms()
        except BlockingIOError:
            pass

    @staticmethod
    def _send_closing_bytes(connection: Connection[CodecT]) -> None:
        with connection.lock, contextlib.suppress(OSError):
            connection.sock.send(connection.codec.closing_bytes(), socket.MSG_DONTWAIT)

    def close_now(self, connection: Connection[CodecT], reason: str) -> None:
        """Close a connection and call `on_closed`; do nothing if it is already closed."""
        with connection.lock:
            if connection.is_closed:
                return
            connection.is_closed = True
        self.connections.pop(connection.sock.fileno(), None)
        self.unregistered.pop(connection.sock.fileno(), None)
        self.receive_budget.release(connection)
        with contextlib.suppress(KeyError, OSError, ValueError):
            self.poll.unregister(connection.sock)
        with contextlib.suppress(OSError):
            connection.sock.shutdown(socket.SHUT_WR)
        connection.sock.close()
        self.on_closed(connection, reason)

    # Timeouts

    def run_maintenance(self) -> None:
        """Enforce timeouts, send pings, refill message budgets, and resume polling the listener."""
        now = self.last_maintenance_ms = now_ms()
        self.listener.set_accepting(True)
        for connection in list(self.connections.values()):
            if not connection.is_closed:
                self._maintain(connection, now)

    def _maintain(self, connection: Connection[CodecT], now: float) -> None:
        limits = self.limits
        was_blocked = connection.message_budget < 0 or connection.is_suspended
        if connection.is_suspended:
            connection.is_suspended = False
            self.poll.register(connection.sock, NO_EVENTS)
        refill = (now - connection.budget_updated_ms) * limits.messages_per_s / 1000.0
        connection.message_budget = min(limits.messages_per_s, connection.message_budget + refill)
        connection.budget_updated_ms = now
        idle_ms = now - connection.last_received_ms
        if not connection.is_registered and now - connection.accepted_ms > limits.handshake_timeout_ms:
            self.evict_unregistered(connection, "registration timed out")
        elif connection.send_buffer and now - connection.last_written_ms > limits.write_timeout_ms:
            self.close_now(connection, "write timed out")
        elif connection.is_registered and not connection.is_paused and idle_ms > self.idle_timeout_ms:
            self.close_now(connection, f"idle for {self.idle_timeout_ms / 1000.0:g} s")
        elif connection.is_registered and min(idle_ms, now - connection.last_ping_ms) > limits.ping_interval_ms:
            connection.last_ping_ms = now
            with connection.lock:
                connection.codec.ping()
            self.update(connection)
        elif was_blocked:
            self.update(connection)
