"""One pilot as a process: the deciding thread, its inbox, and what carries news to it and orders from it."""

import os
import queue
import threading
import time
from typing import Any

import msgspec
import structlog

from quillstep.capture.writer import Capture
from quillstep.pilot.decide import Decider
from quillstep.pilot.probes import Prober
from quillstep.pilot.roster import RosterClient
from quillstep.pilot.tell import Teller
from quillstep.settings import PilotRecord
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
    """Wires decider, prober, roster and capture together; `run` is the deciding thread."""

    def __init__(self, record: PilotRecord) -> None:
        threading.stack_size(STACK_BYTES)
        self.record = record
        self.inbox: queue.Queue[tuple[float, tuple]] = queue.Queue(record.limits.news_most)
        self.socket_record = SocketRecord(record.record)
        self.epoch = f"{record.name}-{os.getpid()}"
        self.decider = Decider(record, self.epoch, self.tap, self.put)
        self.core = self.decider.core
        self.capture: Capture | None = None
        self.teller = Teller()
        if record.capture.folder:
            self.core.orders = []
            self.capture = Capture(
                record.capture.folder,
                record.name,
                self.epoch,
                record.model_dump(),
                record.capture.segment_bytes,
            )
        self.server = Server(record.listen, record.limits, self.put)
        self.decider.streams.server = self.server
        self.prober = Prober(record.fleet.probes.at_once, record.fleet.probes.timeout_ms, self.put)
        self.stopping = False
        self.log = structlog.get_logger("pilot")

    def put(self, news: tuple) -> None:
        """Hand news to the deciding thread; blocks while its inbox is full."""
        self.inbox.put((self.now_ms(), news))

    def tap(self, what: str, at_ms: float, **fields: Any) -> None:
        self.socket_record.tap(what, at_ms, **fields)
        if self.capture:
            self.capture.put(["sent", at_ms, at_ms, what, fields])

    def run(self) -> None:
        """Decide until `stop`; one round's failure is logged with its cause and ends the process."""
        offset_ms = self.now_ms() - time.time() * 1000.0
        self.server.start()
        if self.decider.files:
            self.decider.files.start()
        self.roster = RosterClient(
            self.record.roster, self.record.name, self.record.zone, offset_ms, self.put
        )
        self.log.info("pilot ready", pilot=self.record.name, address=self.server.address)
        while not self.stopping:
            self.turn()
        self.server.stop()
        if self.decider.files:
            self.decider.files.stop()
        self.socket_record.flush()
        if self.capture:
            self.capture.close()
            self.log.info("capture closed", records=self.capture.written, cpu_s=round(self.capture.cpu_s, 3))

    @staticmethod
    def now_ms() -> float:
        return time.monotonic() * 1000.0

    def turn(self) -> None:
        """Wait for news or for what is due next, take it in, decide, send."""
        wait_s = (self.decider.next_ms() - self.now_ms()) / 1000.0
        try:
            first = self.inbox.get(timeout=min(IDLE_S, wait_s)) if wait_s > 0 else self.inbox.get_nowait()
            self.take(*first)
            for _ in range(BATCH):
                self.take(*self.inbox.get_nowait())
        except queue.Empty:
            pass
        now = self.now_ms()
        rounds = self.core.rounds
        self.decider.turn(now)
        if self.capture:
            full = [self.teller.number(peer) for peer in self.decider.streams.full]
            self.capture.put(["step", now, now, full])
            if self.core.rounds != rounds:
                self.capture.put(["orders", now, now, self.core.rounds, self.core.orders])
            self.capture.flush()
        for endpoint, host, port in self.core.probes:
            self.prober.ask(endpoint, host, port)
        self.core.probes = []
        self.socket_record.flush()

    def take(self, arrived_ms: float, news: tuple) -> None:
        if news[0] == "stop":
            self.stopping = True
            return
        now = self.now_ms()
        if self.capture:
            self.capture.put(self.teller.record(news, arrived_ms, now))
        self.decider.take(news, now)

    def stop(self) -> None:
        self.put(("stop",))
