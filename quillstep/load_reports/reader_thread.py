"""Reads load reports in a thread of the pilot, from streams that share their connections with all else."""

import queue
import time
from collections.abc import Callable
from typing import Any

import structlog

from quillstep.config.controller import LoadReportSettings
from quillstep.config.fleet import FleetSettings
from quillstep.load_reports.aggregator import Asked, ReportAggregator
from quillstep.load_reports.reader_session import Desk
from quillstep.load_reports.validation import ReportAccount
from quillstep.net.clock import now_ms
from quillstep.xds.server import Peer

IDLE_S = 0.5


class ThreadReader:
    """`opened`, `message` and `ended` come from the connections' threads and never block; `tell` from the deciding one.

    What waits is bounded by the streams' flow control: a peer gets room for more as its messages are read.
    """

    def __init__(self, facts: LoadReportSettings, fleet: FleetSettings, put: Callable[[tuple], None]) -> None:
        self.message_most = facts.max_message_bytes
        self.desk = Desk(ReportAggregator(facts, fleet))
        self.put = put
        self.usual_ms = fleet.proxies.report_interval_ms
        self.came: queue.SimpleQueue[tuple] = queue.SimpleQueue()
        self.log = structlog.get_logger("reports")

    def opened(self, peer: Peer, stream: int) -> None:
        self.came.put(("opened", (peer, stream)))

    def message(self, peer: Peer, stream: int, data: bytes) -> None:
        self.came.put(("message", (peer, stream), data))

    def ended(self, peer: Peer, stream: int) -> None:
        self.came.put(("ended", (peer, stream)))

    def tell(self, moves: list[tuple], asked: list[Asked]) -> None:
        for move in moves:
            self.came.put(move)
        for each in asked:
            self.came.put(("ask", each))

    def stop(self) -> None:
        self.came.put(("stop",))

    def run(self) -> None:
        due_ms = float("inf")
        while True:
            wait = min(IDLE_S, max(0.0, due_ms - now_ms()) / 1000.0)
            try:
                what = self.came.get(timeout=wait) if wait else self.came.get_nowait()
                while True:
                    if what[0] == "stop":
                        return
                    self.take(what)
                    what = self.came.get_nowait()
            except queue.Empty:
                pass
            due_ms = self.work()

    def take(self, what: tuple) -> None:
        kind, *rest = what
        desk = self.desk
        if kind == "message":
            key, data = rest
            desk.message(key, data, now_ms())
        elif kind == "joined":
            name, proxy, zone, life = rest
            desk.joined(ReportAccount(proxy, zone, life, self.usual_ms, self.usual_ms), name)
        elif kind == "left":
            desk.gatherer.left(*rest)
        elif kind == "listed":
            desk.gatherer.listed({(host, port): number for host, port, number in rest[0]})
        else:
            {"opened": desk.opened, "ended": desk.ended, "ask": desk.ask}[kind](*rest)

    def work(self) -> float:
        due_ms = self.desk.work(now_ms())
        outcome = self.desk.take_outcome()
        for (peer, stream), _ in outcome.taken:
            peer.with_codec(lambda c, s=stream: c.taken(s))  # type: ignore[misc]
        for (peer, stream), data in outcome.sends:
            peer.send(stream, data)
        for (peer, stream), status, text in outcome.ends:
            peer.with_codec(lambda c, s=stream, n=status, t=text: c.finish(s, n, t))  # type: ignore[misc]
        gatherer = self.desk.gatherer
        say(self.log, gatherer)
        if gatherer.due_ms() <= now_ms():
            found = gatherer.hand_over(now_ms())
            found["cpu_s"] = {"reader": round(time.thread_time(), 4)}
            self.put(("reports", 0, found))
        return due_ms


def say(log: Any, gatherer: ReportAggregator) -> None:
    """Say what was wrong with whose reports."""
    for name, text in gatherer.complaints:
        log.warning("load report doubted", proxy=name, reason=text)
    gatherer.complaints = []
