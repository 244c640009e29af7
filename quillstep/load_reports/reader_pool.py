"""The pilot's side of its reading processes: starts them, tells them what they need, takes their windows in.

A process that dies is started again at its address; what it had read and not handed over is lost, and so not heard.
"""

import contextlib
import dataclasses
import os
import queue
import subprocess
import sys
import threading
from collections.abc import Callable
from typing import Any

import structlog

from quillstep.config.controller import ControllerSettings
from quillstep.load_reports.aggregator import Asked
from quillstep.load_reports.framing import Frames, framed
from quillstep.load_reports.ownership import ReportOwnership, Telling

CHUNK = 256 * 1024
READY_S = 30.0
AGAIN_S = 0.2  # before a process that died is started again


class Processes:
    """All reading processes of one pilot.  `put` takes a window of sums and may block."""

    def __init__(self, record: ControllerSettings, put: Callable[[tuple], None]) -> None:
        self.record, self.put = record, put
        self.places = ReportOwnership(record.fleet.proxies.report_interval_ms)
        self.lock = threading.Lock()
        self.addresses = list(record.reports.listen)
        self.says: list[queue.SimpleQueue[bytes | None]] = [queue.SimpleQueue() for _ in self.addresses]
        self.stopping = threading.Event()
        self.log = structlog.get_logger("reports")

    def start(self) -> None:
        """Returns once all of them listen; raises RuntimeError where one does not."""
        ready = [threading.Event() for _ in self.addresses]
        for at in range(len(self.addresses)):
            threading.Thread(target=self.keep, args=(at, ready[at]), daemon=True).start()
        if not all(each.wait(READY_S) for each in ready):
            raise RuntimeError("a process that reads load reports did not start")

    def keep(self, at: int, ready: threading.Event) -> None:
        """One process after another at one address."""
        while not self.stopping.is_set():
            self.one(at, ready)
            if not self.stopping.is_set():
                self.log.error("reading process ended", reader=at, next="it is started again")
                self.stopping.wait(AGAIN_S)

    def one(self, at: int, ready: threading.Event) -> None:
        child = subprocess.Popen(
            [sys.executable, "-m", "quillstep.load_reports.reader_process"],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        assert child.stdin and child.stdout
        record = self.record
        opening = [self.addresses[at], record.reports.model_dump(), record.fleet.model_dump(),
                   record.limits.model_dump()]  # fmt: skip
        with self.lock:
            says: queue.SimpleQueue[bytes | None] = queue.SimpleQueue()
            self.says[at] = says
            says.put(framed(opening))
            if self.places.addresses:
                says.put(framed(["listed", self.places.addresses]))
        threading.Thread(target=self.write, args=(child, says), daemon=True).start()
        frames = Frames()
        with contextlib.suppress(OSError):
            while data := os.read(child.stdout.fileno(), CHUNK):
                for message in frames.feed(data):
                    self.heard(at, ready, message)
        says.put(None)
        with self.lock:
            self.places.ended(at)
        child.stdout.close()
        child.wait()

    @staticmethod
    def write(child: subprocess.Popen, says: "queue.SimpleQueue[bytes | None]") -> None:
        assert child.stdin
        with contextlib.suppress(OSError):
            while (data := says.get()) is not None:
                child.stdin.write(data)
                child.stdin.flush()
        with contextlib.suppress(OSError):
            child.stdin.close()

    def heard(self, at: int, ready: threading.Event, message: list[Any]) -> None:
        kind, *rest = message
        if kind == "window":
            self.put(("reports", at, rest[0]))
        elif kind == "ready":
            self.addresses[at] = rest[0]
            ready.set()
        else:
            with self.lock:
                if kind == "hello":
                    self.say(self.places.hello(at, rest[0]))
                elif kind == "released":
                    self.say(self.places.released(at, *rest))

    def say(self, tellings: list[Telling]) -> None:
        for reader, message in tellings:
            self.says[reader].put(framed(message))

    def tell(self, moves: list[tuple], asked: list[Asked], names: dict[int, str]) -> None:
        """From the deciding thread: who joined and left, what is listed, what proxies are asked for."""
        with self.lock:
            for kind, *rest in moves:
                if kind == "listed":
                    self.say(self.places.listed(rest[0], len(self.says)))
                elif kind == "joined":
                    self.say(self.places.joined(*rest))
                else:
                    self.say(self.places.left(*rest))
            for each in asked:
                if each.proxy in names:
                    self.say(self.places.ask(each.proxy, names[each.proxy], list(dataclasses.astuple(each))))

    def stop(self) -> None:
        self.stopping.set()
        for says in self.says:
            says.put(None)
