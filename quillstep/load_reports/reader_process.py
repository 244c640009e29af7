"""A process that only reads load reports.  `python -m quillstep.load_reports.reader_process`.

One thread polls all its streams, and none is read while what it brought before waits to be read: that is how
back-pressure reaches a proxy.  The pilot's word comes on standard input, windows of sums leave on standard output; it
ends when its input does.
"""

import contextlib
import os
import time
from typing import Any

import msgspec
import structlog

from quillstep.config.controller import LimitSettings, LoadReportSettings
from quillstep.config.fleet import FleetSettings
from quillstep.load_reports.aggregator import Asked, ReportAggregator
from quillstep.load_reports.framing import Frames, framed
from quillstep.load_reports.reader_session import Desk
from quillstep.load_reports.reader_thread import say
from quillstep.load_reports.validation import ReportAccount
from quillstep.logging import configure_logging
from quillstep.net.clock import now_ms
from quillstep.net.connection import Connection
from quillstep.net.poller import Poller
from quillstep.xds.grpc import UNIMPLEMENTED
from quillstep.xds.http2 import GrpcConnection
from quillstep.xds.server import LOAD

INPUT_CHUNK = 256 * 1024
LONGEST = 8.0  # usual periods that a proxy may be asked for


class ReadingProcess:
    """All streams of one reading process."""

    def __init__(self, listen: str, facts: LoadReportSettings, fleet: FleetSettings, limits: LimitSettings) -> None:
        self.usual_ms = fleet.proxies.report_interval_ms
        self.desk = Desk(ReportAggregator(facts, fleet))
        self.poller = Poller(
            listen, limits, lambda: GrpcConnection(False, facts.max_message_bytes, limits.max_headers_bytes),
            self.event, self.closed,
            idle_timeout_ms=limits.idle_timeout_ms + LONGEST * self.usual_ms, after_pass=self.work,
        )  # fmt: skip
        self.poller.add_input(0, self.told)
        self.streams: dict[Connection, set[int]] = {}
        self.input = Frames()
        self.cpu_s = {"parse": 0.0, "fold": 0.0}
        self.log = structlog.get_logger("reports")

    def run(self) -> None:
        """Until the input ends."""
        self.say(["ready", self.poller.address])
        self.poller.run()

    @staticmethod
    def say(message: list[Any]) -> None:
        data = memoryview(framed(message))
        while data:
            data = data[os.write(1, data) :]

    # the pilot's word

    def told(self) -> bool:
        """False where the pilot has ended."""
        data = os.read(0, INPUT_CHUNK)
        self.hear(self.input.feed(data))
        return bool(data)

    def hear(self, messages: list[list[Any]]) -> None:
        for what, *rest in messages:
            if what == "joined":
                self.joined(*rest)
            elif what == "release":
                account = self.desk.gatherer.release(rest[0])
                self.say(["released", rest[0], msgspec.to_builtins(account) if account else None])
            elif what == "listed":
                self.desk.gatherer.listed({(host, port): number for host, port, number in rest[0]})
            elif what == "ask":
                self.desk.ask(Asked(*rest[0]))

    def joined(self, name: str, proxy: int, zone: str, life: str, kept: dict[str, Any] | None) -> None:
        if kept is not None:
            self.desk.gatherer.gone[name] = msgspec.convert(kept, ReportAccount)
        self.desk.joined(ReportAccount(proxy, zone, life, self.usual_ms, self.usual_ms), name)

    # streams

    def event(self, peer: Connection, event: tuple) -> None:
        kind, stream = event[0], event[1]
        held = self.streams.setdefault(peer, set())
        if kind == "open":
            if event[2] != LOAD:
                text = f"no method {event[2]} here: load reports alone"
                peer.with_codec(lambda c: c.finish(stream, UNIMPLEMENTED, text))
                return
            peer.with_codec(lambda c: c.accept(stream))
            held.add(stream)
            self.desk.opened((peer, stream))
        elif kind == "message" and stream in held:
            self.desk.message((peer, stream), event[2], now_ms())
            peer.set_paused(True)
        elif kind == "end" and stream in held:
            if event[2]:
                name = self.desk.lines[peer, stream].name
                self.log.warning("stream ended", reason=event[3], code=event[2], proxy=name)
            held.discard(stream)
            self.desk.ended((peer, stream))

    def closed(self, peer: Connection, reason: str) -> None:
        streams = self.streams.pop(peer, set())
        if not streams:
            self.log.warning("connection ended", reason=reason)
        for stream in streams:
            self.desk.ended((peer, stream))

    # reading

    def work(self) -> float:
        """Read as far as the gatherer lets; returns when to come again."""
        begun = time.thread_time()
        due_ms = self.desk.work(now_ms())
        outcome = self.desk.take_outcome()
        for (peer, stream), data in outcome.sends:
            peer.send(stream, data)
        for (peer, stream), status, text in outcome.ends:
            self.streams.get(peer, set()).discard(stream)
            peer.with_codec(lambda c, s=stream, n=status, t=text: c.finish(s, n, t))  # type: ignore[misc]
        for peer in {peer for (peer, _), _ in outcome.taken}:
            lines = (self.desk.lines.get((peer, stream)) for stream in self.streams.get(peer, ()))
            peer.set_paused(any(line is not None and line.waits for line in lines))
        for name, life in outcome.hellos:
            self.say(["hello", name, life])
        say(self.log, self.desk.gatherer)
        self.cpu_s["parse"] += time.thread_time() - begun
        if self.desk.gatherer.due_ms() <= now_ms():
            self.hand_over()
        return due_ms

    def hand_over(self) -> None:
        begun = time.thread_time()
        found = self.desk.gatherer.hand_over(now_ms())
        self.cpu_s["fold"] += time.thread_time() - begun
        spent = {"streams": self.poller.io_cpu_s, **self.cpu_s}
        found["cpu_s"] = {name: round(each, 4) for name, each in spent.items()}
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
    configure_logging("auto", "info")
    process = ReadingProcess(
        listen,
        LoadReportSettings.model_validate(facts),
        FleetSettings.model_validate(fleet),
        LimitSettings.model_validate(limits),
    )
    process.input = frames
    process.hear(opening[1:])  # what came right behind it
    with contextlib.suppress(KeyboardInterrupt, BrokenPipeError):
        process.run()


if __name__ == "__main__":
    main()
