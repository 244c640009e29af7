"""A process that only reads load reports: one thread over many streams.  `python -m quillstep.reports.process`.

Its sockets are blocking ones; a poll says which have something, and none is read while what it brought before waits
to be read: that is how back-pressure reaches a proxy.  One thread is enough for what one Python process can parse, and
a thousand readers would only fight for its interpreter (measured: docs/reports.md).  The pilot's word comes on standard
input, windows of sums leave on standard output; it ends when its input does.
"""

import contextlib
import os
import select
import socket
import time
from dataclasses import dataclass, field
from typing import Any

import msgspec
import structlog

from quillstep import logs
from quillstep.reports.desk import Desk
from quillstep.reports.gather import Asked, Gatherer
from quillstep.reports.guard import Account
from quillstep.reports.link import Frames, framed
from quillstep.reports.reader import now_ms, say
from quillstep.settings import FleetRecord, LimitsRecord, ReportsRecord
from quillstep.xds.grpc import UNIMPLEMENTED
from quillstep.xds.http2 import ConnectionBroken, GrpcConnection
from quillstep.xds.server import LOAD

CHUNK = 32 * 1024
INPUT_CHUNK = 256 * 1024
IDLE_MS = 500.0
TEND_MS = 1000.0
READ, READ_WRITE, WRITE = select.POLLIN, select.POLLIN | select.POLLOUT, select.POLLOUT


@dataclass(slots=True, eq=False)
class Connection:
    """A peer's socket, its protocol state, and what it has not taken yet."""

    sock: socket.socket
    http2: GrpcConnection
    begun_ms: float
    heard_ms: float
    out: bytearray = field(default_factory=bytearray)
    streams: set[int] = field(default_factory=set)
    polled: int = READ
    greeted: bool = False


class ReadingProcess:
    """All connections of one reading process."""

    def __init__(self, listen: str, facts: ReportsRecord, fleet: FleetRecord, limits: LimitsRecord) -> None:
        self.facts, self.limits = facts, limits
        self.usual_ms = fleet.proxies.report_every_ms
        self.desk = Desk(Gatherer(facts, fleet))
        host, _, port = listen.rpartition(":")
        self.listener = socket.create_server((host.strip("[]"), int(port)), backlog=1024)
        self.address = "{}:{}".format(*self.listener.getsockname()[:2])
        self.poll = select.poll()
        self.connections: dict[int, Connection] = {}
        self.input = Frames()
        self.cpu_s = {"streams": 0.0, "parse": 0.0, "fold": 0.0}
        self.tended_ms = now_ms()
        self.log = structlog.get_logger("reports")

    def run(self) -> None:
        """Until the input ends."""
        self.poll.register(self.listener, READ)
        self.poll.register(0, READ)
        self.say(["ready", self.address])
        due_ms = float("inf")
        while True:
            wait_ms = min(IDLE_MS, max(0.0, due_ms - now_ms()))
            ready = self.poll.poll(wait_ms)
            begun = time.thread_time()
            for number, events in ready:
                if number == 0:
                    if not self.told():
                        return
                elif number == self.listener.fileno():
                    self.accept()
                elif number in self.connections:
                    self.serve(self.connections[number], events)
            parsed = time.thread_time()
            due_ms = self.work()
            folded = time.thread_time()
            self.cpu_s["streams"] += parsed - begun
            self.cpu_s["parse"] += folded - parsed
            if self.desk.gatherer.due_ms() <= now_ms():
                self.hand_over()
            if now_ms() - self.tended_ms > TEND_MS:
                self.tend()

    @staticmethod
    def say(message: list[Any]) -> None:
        data = memoryview(framed(message))
        while data:
            data = data[os.write(1, data) :]

    # the pilot's word

    def told(self) -> bool:
        """False where the pilot has ended."""
        data = os.read(0, INPUT_CHUNK)
        for what, *rest in self.input.feed(data):
            if what == "joined":
                self.joined(*rest)
            elif what == "release":
                account = self.desk.gatherer.release(rest[0])
                self.say(["released", rest[0], msgspec.to_builtins(account) if account else None])
            elif what == "listed":
                self.desk.gatherer.listed({(host, port): number for host, port, number in rest[0]})
            elif what == "ask":
                self.desk.ask(Asked(*rest[0]))
        return bool(data)

    def joined(self, name: str, proxy: int, zone: str, life: str, kept: dict[str, Any] | None) -> None:
        if kept is not None:
            self.desk.gatherer.gone[name] = msgspec.convert(kept, Account)
        self.desk.joined(Account(proxy, zone, life, self.usual_ms, self.usual_ms), name)

    # sockets

    def accept(self) -> None:
        sock, _ = self.listener.accept()
        if len(self.connections) >= self.limits.connections_most:
            self.log.warning("connection refused", reason="too many connections", most=len(self.connections))
            sock.close()
            return
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        http2 = GrpcConnection(False, self.facts.message_most_bytes, self.limits.headers_most_bytes)
        made = Connection(sock, http2, now_ms(), now_ms())
        self.connections[sock.fileno()] = made
        self.poll.register(sock, READ)
        self.flush(made)

    def serve(self, connection: Connection, events: int) -> None:
        try:
            if events & (select.POLLIN | select.POLLHUP | select.POLLERR):
                data = connection.sock.recv(CHUNK, socket.MSG_DONTWAIT)
                if not data:
                    self.close(connection, "")
                    return
                connection.heard_ms = now_ms()
                for event in connection.http2.receive(data):
                    self.event(connection, event)
            self.flush(connection)
        except BlockingIOError:
            pass
        except ConnectionBroken as trouble:
            self.close(connection, str(trouble))
        except OSError as trouble:
            self.close(connection, type(trouble).__name__)

    def event(self, connection: Connection, event: tuple) -> None:
        kind, stream = event[0], event[1]
        key = (connection, stream)
        if kind == "open":
            if event[2] != LOAD:
                connection.http2.finish(
                    stream, UNIMPLEMENTED, f"no method {event[2]} here: load reports alone"
                )
                return
            connection.http2.accept(stream)
            connection.streams.add(stream)
            self.desk.opened(key)
        elif kind == "message" and stream in connection.streams:
            connection.greeted = True
            self.desk.message(key, event[2], now_ms())
        elif kind == "end" and stream in connection.streams:
            if event[2]:
                self.log.warning(
                    "stream ended", reason=event[3], code=event[2], proxy=self.desk.lines[key].name
                )
            connection.streams.discard(stream)
            self.desk.ended(key)

    def flush(self, connection: Connection) -> None:
        """Send what the peer takes now; raises OSError.  One that takes nothing is cut off at its bound."""
        connection.out += connection.http2.pump()
        if connection.out:
            try:
                sent = connection.sock.send(connection.out, socket.MSG_DONTWAIT)
                del connection.out[:sent]
            except BlockingIOError:
                pass
        if len(connection.out) > self.limits.unsent_most_bytes:
            raise ConnectionBroken("it reads more slowly than its bound allows")
        waits = any(
            self.desk.lines[connection, s].waits
            for s in connection.streams
            if (connection, s) in self.desk.lines
        )
        wanted = (0 if waits else READ) | (WRITE if connection.out else 0)
        if wanted != connection.polled:
            connection.polled = wanted
            self.poll.modify(connection.sock, wanted)

    def close(self, connection: Connection, reason: str) -> None:
        if reason:
            self.log.warning("connection ended", reason=reason)
        for stream in connection.streams:
            self.desk.ended((connection, stream))
        self.connections.pop(connection.sock.fileno(), None)
        with contextlib.suppress(KeyError, OSError):
            self.poll.unregister(connection.sock)
        connection.sock.close()

    def tend(self) -> None:
        """Connections that say nothing at all are closed."""
        now = self.tended_ms = now_ms()
        for connection in list(self.connections.values()):
            if not connection.greeted and now - connection.begun_ms > self.limits.handshake_ms:
                self.close(connection, "no report stream opened in time")
            elif (
                connection.polled & READ
                and now - connection.heard_ms > self.limits.silent_ms + 8 * self.usual_ms
            ):
                self.close(connection, "it was silent for too long")

    # reading

    def work(self) -> float:
        due_ms = self.desk.work(now_ms())
        outcome = self.desk.take_outcome()
        touched: dict[Connection, None] = {}
        for (connection, stream), data in outcome.sends:
            connection.http2.send(stream, data)
            touched[connection] = None
        for (connection, stream), status, text in outcome.ends:
            connection.http2.finish(stream, status, text)
            connection.streams.discard(stream)
            touched[connection] = None
        for (connection, _), _ in outcome.taken:
            touched[connection] = None
        for connection in touched:
            if connection.sock.fileno() < 0:
                continue
            try:
                self.flush(connection)
            except (OSError, ConnectionBroken) as trouble:
                self.close(connection, str(trouble) or type(trouble).__name__)
        for name, life in outcome.hellos:
            self.say(["hello", name, life])
        say(self.log, self.desk.gatherer)
        return due_ms

    def hand_over(self) -> None:
        begun = time.thread_time()
        found = self.desk.gatherer.hand_over(now_ms())
        self.cpu_s["fold"] += time.thread_time() - begun
        found["cpu_s"] = {name: round(spent, 4) for name, spent in self.cpu_s.items()}
        found["held_bytes"] = self.desk.held_bytes
        self.say(["window", found])


def main() -> None:
    frames = Frames()
    opening: list[list[Any]] = []
    while not opening:
        data = os.read(0, INPUT_CHUNK)
        if not data:
            return
        opening = frames.feed(data)
    listen, facts, fleet, limits = opening[0]
    logs.set_up("auto", "info")
    process = ReadingProcess(
        listen,
        ReportsRecord.model_validate(facts),
        FleetRecord.model_validate(fleet),
        LimitsRecord.model_validate(limits),
    )
    process.input = frames
    with contextlib.suppress(KeyboardInterrupt, BrokenPipeError):
        process.run()


if __name__ == "__main__":
    main()
