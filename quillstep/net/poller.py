"""Many connections served by one thread: blocking sockets, a poll that says which of them have something.

A thousand reader and writer threads cost a Python process more in fights for its interpreter than all that they read
(measured, see docs/reports.md); one thread reads what has come, hands each event on, and writes what there is room
for.  A peer that reads slowly, stalls, floods or breaks the protocol costs its own connection alone: it is read no
further than its budget, and what it does not take has a bound and a time.
"""

import contextlib
import errno
import os
import select
import socket
import threading
import time
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

import structlog

CHUNK = 64 * 1024
IDLE_MS = 500.0
TEND_MS = 250.0
REFUSED_MS = 1000.0  # between two lines of the log on connections that find no room
ACCEPTS = 64  # connections taken between two looks at the others
FULL = (errno.EMFILE, errno.ENFILE)
READ, WRITE = select.POLLIN, select.POLLOUT
ENDED = select.POLLHUP | select.POLLERR | select.POLLNVAL


Event = tuple


class ProtocolError(Exception):
    """The peer broke the protocol; the connection can't go on.  The text is for the log."""


class Codec(Protocol):
    """One connection's protocol without I/O; not safe for threads, its `Connection` holds a lock.

    `receive` raises ConnectionBroken.  Until `started` a connection counts as a stranger's.
    """

    started: bool
    held_bytes: int

    def receive(self, data: bytes) -> list[Event]: ...
    def send(self, stream: int, message: bytes) -> None: ...
    def pump(self) -> bytes: ...
    def ping(self) -> None: ...
    def goodbye(self) -> bytes: ...


class Limits(Protocol):
    """What one connection may cost."""

    @property
    def max_unsent_bytes(self) -> int: ...
    @property
    def max_connections(self) -> int: ...
    @property
    def max_unregistered(self) -> int: ...
    @property
    def messages_per_s(self) -> float: ...
    @property
    def handshake_timeout_ms(self) -> float: ...
    @property
    def write_timeout_ms(self) -> float: ...
    @property
    def idle_timeout_ms(self) -> float: ...
    @property
    def ping_interval_ms(self) -> float: ...


def now_ms() -> float:
    return time.monotonic() * 1000.0


class Connection:
    """One connection.  `send`, `with_connection`, `unsent`, `stop` may be called from any thread and never block."""

    def __init__(self, poller: "Poller", sock: socket.socket, codec: Any, order: int) -> None:
        self.poller, self.sock, self.codec = poller, sock, codec
        self.order = order  # its place among all that were accepted: of two, the later dialled later
        self.lock = threading.Lock()
        self.out = bytearray()  # what the socket has not taken yet; the poller's thread alone touches it
        self.begun_ms = self.heard_ms = self.pinged_ms = self.written_ms = now_ms()
        self.budget, self.counted_ms = poller.limits.messages_per_s, self.begun_ms
        self.polled = READ
        self.holds = False  # it is not read while this stands
        self.touched = False
        self.stopping = ""  # why it is to end
        self.gone = False

    @property
    def started(self) -> bool:
        return self.codec.started

    def unsent(self) -> int:
        return self.codec.held_bytes + len(self.out)

    def send(self, stream: int, message: bytes) -> bool:
        """Queue a message; False if the peer is over its bound and is cut off."""
        with self.lock:
            if self.stopping or self.gone:
                return False
            self.codec.send(stream, message)
            over = self.unsent() > self.poller.limits.max_unsent_bytes + 2 * len(message)
        if over:
            self.stop("it reads more slowly than its bound allows")
        self.poller.touch(self)
        return not over

    def with_connection(self, what: Callable[[Any], None]) -> None:
        """Do something with the connection; the poller sees to the rest."""
        with self.lock:
            if not self.gone:
                what(self.codec)
        self.poller.touch(self)

    def hold(self, holds: bool) -> None:
        """Read no further for now, or on again."""
        if self.holds != holds:
            self.holds = holds
            self.poller.touch(self)

    def stop(self, reason: str) -> None:
        """End the connection, after what can be sent at once."""
        if not self.stopping:
            self.stopping = reason
        self.poller.touch(self)


class Poller:
    """A listening socket and all that it accepted.

    `sink(peer, event)` and `closed(peer, reason)` are called in the poller's thread.  `passed`, where given, is called
    after each pass and returns when, on the monotonic clock in milliseconds, the next one is due at the latest.
    """

    def __init__(
        self,
        listen: str,
        limits: Limits,
        codec: Callable[[], Codec],
        sink: Callable[[Connection, Event], None],
        closed: Callable[[Connection, str], None],
        *,
        idle_timeout_ms: float,
        passed: Callable[[], float] | None = None,
    ) -> None:
        self.limits, self.sink, self.closed, self.passed = limits, sink, closed, passed
        self.codec, self.idle_timeout_ms = codec, idle_timeout_ms
        host, _, port = listen.rpartition(":")
        self.listener = socket.create_server((host.strip("[]"), int(port)), backlog=1024)
        self.address = "{}:{}".format(*self.listener.getsockname()[:2])
        self.poll = select.poll()
        self.listener.settimeout(0)  # several wait at once; the accepted ones block
        self.peers: dict[int, Connection] = {}
        self.strangers: dict[int, Connection] = {}  # those of them that have not started, oldest first
        # Other descriptors; False from one of these ends the poller.
        self.inputs: dict[int, Callable[[], bool]] = {}
        self.touched: deque[Connection] = deque()
        self.waker, woken = os.pipe()
        os.set_blocking(self.waker, False)
        os.set_blocking(woken, False)
        # Closed with this object: who wakes a poller that has ended must not write to another's descriptor.
        self.woken = os.fdopen(woken, "wb", buffering=0)
        self.awake = False
        self.ending = threading.Event()
        self.accepted = 0
        self.accepting = True  # False: no descriptor is left, the listener is left alone until the next look
        self.tended_ms = now_ms()
        self.refused_ms = float("-inf")
        self.read_s = 0.0  # processor time spent on sockets and streams
        self.log = structlog.get_logger("net")

    def listen_to(self, descriptor: int, take: Callable[[], bool]) -> None:
        self.inputs[descriptor] = take

    def touch(self, peer: Connection) -> None:
        """Have the poller's thread look at a peer."""
        if not peer.touched:
            peer.touched = True
            self.touched.append(peer)
            self.wake()

    def wake(self) -> None:
        if not self.awake:
            self.awake = True
            with contextlib.suppress(OSError):
                self.woken.write(b"x")

    def end(self) -> None:
        """End all connections and the poller's thread, after what can be sent at once."""
        self.ending.set()
        self.awake = False
        self.wake()

    # the poller's thread

    def run(self) -> None:
        self.poll.register(self.listener, READ)
        self.poll.register(self.waker, READ)
        for descriptor in self.inputs:
            self.poll.register(descriptor, READ)
        due_ms = float("inf")
        while not self.ending.is_set():
            ready = self.poll.poll(min(IDLE_MS, max(0.0, due_ms - now_ms())))
            begun = time.thread_time()
            for descriptor, events in ready:
                if descriptor in self.peers:
                    self.serve(self.peers[descriptor], events)
                elif descriptor == self.waker:
                    self.awake = False  # before the read: a wake after it writes again
                    with contextlib.suppress(BlockingIOError):
                        os.read(self.waker, 4096)
                elif descriptor in self.inputs:
                    if not self.inputs[descriptor]():
                        self.ending.set()
                else:
                    self.accept()
            self.look_at_touched()
            if now_ms() - self.tended_ms > TEND_MS:
                self.tend()
            self.read_s += time.thread_time() - begun
            due_ms = self.passed() if self.passed else float("inf")
            self.look_at_touched()
        self.listener.close()
        for peer in list(self.peers.values()):
            peer.stopping = peer.stopping or "the pilot stops"
            self.look_at(peer)
        os.close(self.waker)

    def accept(self) -> None:
        """Take what waits, up to a number; the rest at the next pass, after a look at the others."""
        for _ in range(ACCEPTS):
            try:
                sock, _ = self.listener.accept()
            except BlockingIOError:
                return
            except OSError as trouble:
                if trouble.errno in FULL and not self.give_up_a_stranger():
                    self.refuse("no descriptor is left")
                    self.listen_on(False)
                return
            self.take_in(sock)

    def listen_on(self, accepting: bool) -> None:
        """Look at the listener or not: one whose connections can't be taken would wake the poller all the time."""
        if self.accepting != accepting:
            self.accepting = accepting
            self.poll.modify(self.listener, READ if accepting else 0)

    def take_in(self, sock: socket.socket) -> None:
        limits = self.limits
        sock.settimeout(None)
        if len(self.peers) >= limits.max_connections and not self.give_up_a_stranger():
            self.refuse("too many connections")
            sock.close()
            return
        while len(self.strangers) >= limits.max_unregistered:
            self.give_up_a_stranger()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.accepted += 1
        peer = Connection(self, sock, self.codec(), self.accepted)
        self.peers[sock.fileno()] = self.strangers[sock.fileno()] = peer
        self.poll.register(sock, READ)
        self.look_at(peer)

    def refuse(self, reason: str) -> None:
        """Say so, at most once a second."""
        if now_ms() - self.refused_ms > REFUSED_MS:
            self.refused_ms = now_ms()
            self.log.warning("connection refused", reason=reason, most=len(self.peers))

    def give_up_a_stranger(self) -> bool:
        """End the oldest connection that has not started, so that silent ones by hundreds use up no descriptors.

        Read first: what has come may be its start.  This could harm one that starts late while many come at once; it
        dials anew.
        """
        while self.strangers:
            if self.give_up(next(iter(self.strangers.values())), "too many connections have not started"):
                return True
        return False

    def give_up(self, stranger: Connection, reason: str) -> bool:
        """End a connection that has not started, after a last look at what it has sent; False if that starts it.

        Found in reading: after a pause of the process its time was over while its start waited to be read.
        """
        self.serve(stranger, READ)
        self.settle(stranger)
        if stranger.gone:
            return True
        if stranger.started:
            return False
        self.finish(stranger, reason)
        return True

    def settle(self, peer: Connection) -> None:
        """One that has started is no stranger any more."""
        if peer.started:
            self.strangers.pop(peer.sock.fileno(), None)

    def serve(self, peer: Connection, events: int) -> None:
        """Read what has come, hand it on, write what there is room for."""
        if events & (READ | ENDED):
            try:
                data = peer.sock.recv(CHUNK, socket.MSG_DONTWAIT)
                if not data:
                    self.finish(peer, peer.stopping or "it closed the connection")
                    return
                self.take(peer, data)
            except BlockingIOError:
                pass
            except ProtocolError as trouble:
                self.say_goodbye(peer)
                self.finish(peer, str(trouble))
                return
            except OSError as trouble:
                self.finish(peer, peer.stopping or type(trouble).__name__)
                return
            except Exception as trouble:
                self.fail(peer, trouble)
                return
        if not peer.gone:
            self.look_at(peer)

    def fail(self, peer: Connection, trouble: Exception) -> None:
        """A fault of ours while a connection was served: it ends that one, with its traceback, and not the thread."""
        self.log.error("a connection met a fault of ours", exc_info=trouble)
        self.finish(peer, f"{type(trouble).__name__}: {trouble}")

    def take(self, peer: Connection, data: bytes) -> None:
        peer.heard_ms = now_ms()
        with peer.lock:
            events = peer.codec.receive(data)
        for event in events:
            self.sink(peer, event)
        if events:
            peer.budget -= len(events)
            self.settle(peer)

    def look_at_touched(self) -> None:
        while self.touched:
            peer = self.touched.popleft()
            peer.touched = False
            if not peer.gone:
                self.look_at(peer)

    def look_at(self, peer: Connection) -> None:
        """Write what there is room for; poll it for what it may do; end it if it is to end."""
        try:
            with peer.lock:
                peer.out += peer.codec.pump()
            if peer.out:
                self.write(peer)
        except OSError:
            self.finish(peer, peer.stopping or "the connection broke")
            return
        except Exception as trouble:
            self.fail(peer, trouble)
            return
        if peer.stopping:
            self.finish(peer, peer.stopping)
            return
        # One that asks for more answers than it reads is read no further, until its time to take them is over.
        waits = peer.holds or peer.budget < 0 or len(peer.out) > self.limits.max_unsent_bytes
        wanted = (0 if waits else READ) | (WRITE if peer.out else 0)
        if wanted != peer.polled:
            peer.polled = wanted
            self.poll.modify(peer.sock, wanted)

    def write(self, peer: Connection) -> None:
        """Raises OSError."""
        if not peer.polled & WRITE:
            peer.written_ms = now_ms()
        try:
            sent = peer.sock.send(peer.out, socket.MSG_DONTWAIT)
            if sent:
                del peer.out[:sent]
                peer.written_ms = now_ms()
        except BlockingIOError:
            pass

    @staticmethod
    def say_goodbye(peer: Connection) -> None:
        """What the protocol has to say to one that broke it, if it still reads."""
        with peer.lock, contextlib.suppress(OSError):
            peer.sock.send(peer.codec.goodbye(), socket.MSG_DONTWAIT)

    def finish(self, peer: Connection, reason: str) -> None:
        with peer.lock:
            if peer.gone:
                return
            peer.gone = True
        self.peers.pop(peer.sock.fileno(), None)
        self.strangers.pop(peer.sock.fileno(), None)
        with contextlib.suppress(KeyError, OSError, ValueError):
            self.poll.unregister(peer.sock)
        with contextlib.suppress(OSError):
            peer.sock.shutdown(socket.SHUT_WR)
        peer.sock.close()
        self.closed(peer, reason)

    def tend(self) -> None:
        """Time limits, pings, and budgets that come back."""
        now = self.tended_ms = now_ms()
        limits = self.limits
        self.listen_on(True)
        for peer in list(self.peers.values()):
            if peer.gone:
                continue
            held = peer.budget < 0
            back = (now - peer.counted_ms) * limits.messages_per_s / 1000.0
            peer.budget = min(limits.messages_per_s, peer.budget + back)
            peer.counted_ms = now
            if not peer.started and now - peer.begun_ms > limits.handshake_timeout_ms:
                self.give_up(peer, "no request came in time")
            elif peer.out and now - peer.written_ms > limits.write_timeout_ms:
                self.finish(peer, "it takes no bytes")
            elif peer.started and not peer.holds and now - peer.heard_ms > self.idle_timeout_ms:
                self.finish(peer, "it was silent for too long")
            elif peer.started and now - max(peer.heard_ms, peer.pinged_ms) > limits.ping_interval_ms:
                peer.pinged_ms = now
                with peer.lock:
                    peer.codec.ping()
                self.look_at(peer)
            elif held:
                self.look_at(peer)


__all__ = ["Codec", "ProtocolError", "Event", "Limits", "Poller", "Connection", "now_ms"]
