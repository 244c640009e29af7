"""One pilot as a process: the deciding thread, its inbox, and what carries news to it and orders from it."""

import os
import queue
import threading
import time
from typing import Any

import msgspec
import structlog

from quillstep.files.front import FileFront
from quillstep.pilot.core import Core
from quillstep.pilot.probes import Prober
from quillstep.pilot.roster import RosterClient
from quillstep.settings import PilotRecord
from quillstep.xds.front import XdsFront
from quillstep.xds.peer import STACK_BYTES
from quillstep.xds.server import Server

BATCH = 512  # pieces of news between two looks at the channel
IDLE_S = 0.5


class SocketRecord:
    """Writes down what passed on this pilot's sockets, a JSON line each; nothing of what the pilot believes."""

    def __init__(self, path: str) -> None:
        self.file = open(path, "ab") if path else None  # noqa: SIM115 (held as long as the pilot lives)
        self.encode = msgspec.json.Encoder().encode
        self.lines: list[bytes] = []

    def tap(self, what: str, at_ms: float, **fields: Any) -> None:
        if self.file:
            self.lines.append(self.encode({"at": at_ms, "what": what, **fields}))

    def flush(self) -> None:
        if self.file and self.lines:
            self.file.write(b"\n".join(self.lines) + b"\n")
            self.file.flush()
            self.lines = []


class Pilot:
    """Wires core, front, prober and roster together; `run` is the deciding thread."""

    def __init__(self, record: PilotRecord) -> None:
        threading.stack_size(STACK_BYTES)
        self.record = record
        self.inbox: queue.Queue[tuple] = queue.Queue(record.limits.news_most)
        self.core = Core(record)
        self.socket_record = SocketRecord(record.record)
        epoch = f"{record.name}-{os.getpid()}"
        self.front = XdsFront(
            record, self.core.tables, self.core, epoch, self.core.ordered_ms, self.socket_record.tap
        )
        self.fronts: list[Any] = [self.front]
        self.files: FileFront | None = None
        if record.files.root:
            self.files = FileFront(
                record,
                self.core.tables,
                self.core,
                epoch,
                self.core.ordered_ms,
                self.socket_record.tap,
                self.inbox.put,
            )
            self.fronts.append(self.files)
        self.server = Server(record.listen, record.limits, self.inbox.put)
        self.front.server = self.server
        self.prober = Prober(record.fleet.probes.at_once, record.fleet.probes.timeout_ms, self.inbox.put)
        self.stopping = False
        self.log = structlog.get_logger("pilot")

    def run(self) -> None:
        """Decide until `stop`; one round's failure is logged with its cause and ends the process."""
        offset_ms = self.now_ms() - time.time() * 1000.0
        self.server.start()
        if self.files:
            self.files.start()
        self.roster = RosterClient(
            self.record.roster, self.record.name, self.record.zone, offset_ms, self.inbox.put
        )
        self.log.info("pilot ready", pilot=self.record.name, address=self.server.address)
        while not self.stopping:
            self.turn()
        self.server.stop()
        if self.files:
            self.files.stop()
        self.socket_record.flush()

    @staticmethod
    def now_ms() -> float:
        return time.monotonic() * 1000.0

    def turn(self) -> None:
        """Wait for news or for what is due next, take it in, decide, send."""
        due = min([self.core.next_ms(), *(front.next_ms() for front in self.fronts)])
        wait_s = (due - self.now_ms()) / 1000.0
        try:
            news = self.inbox.get(timeout=min(IDLE_S, wait_s)) if wait_s > 0 else self.inbox.get_nowait()
            self.take(news)
            for _ in range(BATCH):
                self.take(self.inbox.get_nowait())
        except queue.Empty:
            pass
        now = self.now_ms()
        self.core.step(now)
        stirred, self.core.tables.stirred = self.core.tables.stirred, set()
        for front in self.fronts:
            front.pump(now, stirred)
        for endpoint, host, port in self.core.probes:
            self.prober.ask(endpoint, host, port)
        self.core.probes = []
        self.socket_record.flush()

    def take(self, news: tuple) -> None:
        now = self.now_ms()
        self.core.now_ms = now
        if news[0] == "roster":
            self.core.roster(*news[1:])
            self.core.heard(now)
        elif news[0] == "probe":
            self.core.probed(*news[1:])
        elif news[0] == "stop":
            self.stopping = True
        elif news[0] == "files" and self.files:
            self.files.take(news, now)
        else:
            self.front.take(news, now)

    def stop(self) -> None:
        self.inbox.put(("stop",))
