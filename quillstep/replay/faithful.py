"""The faithful replay: a captured life through the same decider; its orders must come out bit for bit.

The clock is the capture's, the transport takes whatever is sent, the seed is the settings'.  The first difference is
told with its round and with what had come in since the round before.
"""

import sys
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

import msgspec
import xxhash

from quillstep.config.controller import ControllerSettings
from quillstep.controller.decision_loop import DecisionLoop
from quillstep.controller.event_codec import ORDERS, SENT, STEP, EventDecoder
from quillstep.files.disk import Disk
from quillstep.files.events import FileEvent
from quillstep.files.proxy_generations import PendingGeneration
from quillstep.recording import Header, Record, recorded_settings
from quillstep.xds.server import Peer, Server

CAUSES_MOST = 12


class PlayedPeer(Peer):
    """A peer of a captured day: takes what is sent, is as full as it was then."""

    def __init__(self, number: int) -> None:
        self.number, self.is_full = number, False
        self.last_received_ms = 0.0  # only words on late responses go by it

    def unsent_bytes(self) -> int:
        return sys.maxsize if self.is_full else 0

    def send(self, stream: int, message: bytes) -> bool:
        return True

    def close(self, reason: str) -> None:
        """Its end comes from the capture."""


class PlayedServer(Server):
    """A server without sockets."""

    def __init__(self) -> None:
        """Nothing listens."""

    def finish(self, peer: Peer, stream: int, status: int, text: str) -> None:
        """Its end comes from the capture."""


class PlayedDisk(Disk):
    """A disk that is never touched: what was read and written comes from the capture."""

    def __init__(self) -> None:
        self.root = ""


@dataclass(slots=True)
class Outcome:
    """What a replay came to; `digest` is over all orders of all rounds."""

    rounds: int = 0
    records: int = 0
    span_ms: float = 0.0
    digest: str = ""
    difference: dict[str, Any] = field(default_factory=dict)
    sent: int = 0

    @property
    def identical(self) -> bool:
        return not self.difference


class Replay:
    """One life played again; `change` makes another record of the settings, for orders that may then differ."""

    def __init__(self, header: Header, record: ControllerSettings | None = None) -> None:
        self.record = record or recorded_settings(header)
        self.decider = DecisionLoop(self.record, header.epoch, self.tap, self.never, PlayedDisk())
        self.decider.streams.server = PlayedServer()
        self.core = self.decider.core
        self.core.recorded_output = []
        self.peers: dict[int, PlayedPeer] = {}
        self.full: list[int] = []
        self.decoder = EventDecoder(self.peer, self.take_generation)
        self.jobs: dict[tuple[str, int], PendingGeneration] = {}
        self.outcome = Outcome()
        self.hash = xxhash.xxh3_128()
        self.causes: list[str] = []
        self.round_ms = 0.0

    def tap(self, what: str, at_ms: float, **fields: Any) -> None:
        self.outcome.sent += what == "send"

    @staticmethod
    def never(event: FileEvent) -> None:
        raise AssertionError("a replay starts no threads")

    def play(self, records: Iterable[Record]) -> Outcome:
        """All records in sequence; stops at the first difference."""
        first = None
        for record in records:
            first = record[2] if first is None else first
            self.outcome.records += 1
            self.outcome.span_ms = record[2] - first
            self.one(record)
            if self.outcome.difference:
                break
        self.outcome.digest = self.hash.hexdigest()
        return self.outcome

    def one(self, record: Record) -> None:
        kind, taken = record[0], record[2]
        if kind == STEP:
            self.step(taken, record[3])
        elif kind == ORDERS:
            self.compare(record)
        elif kind != SENT:
            if len(self.causes) < CAUSES_MOST:
                self.causes.append(f"{kind} at {taken:.1f}")
            event = self.decoder.decode(record)
            if event:
                self.decider.handle(event, taken)

    def peer(self, number: int) -> PlayedPeer:
        return self.peers.setdefault(number, PlayedPeer(number))

    def take_generation(self, directory: str, number: int) -> PendingGeneration | None:
        """The submitted generation, which its record takes away."""
        return self.jobs.pop((directory, number), None)

    def step(self, now_ms: float, full: list[int]) -> None:
        if full or self.full:
            for number in {*self.full, *full}:
                self.peer(number).is_full = number in full
            self.full = full
        self.decider.turn(now_ms)
        (
            self.core.health_check_requests,
            self.core.reports.membership_changes,
            self.core.reports.requests,
            self.core.operations.completed,
        ) = [], [], [], []
        self.core.new_versions.clear()
        if self.decider.files:
            while not self.decider.files.writer.queue.empty():
                job = self.decider.files.writer.queue.get()
                if job:
                    self.jobs[job.directory, job.generation.number] = job

    def compare(self, record: Record) -> None:
        """The module's orders of a round, against those of the capture."""
        number, orders = record[3], record[4]
        made = self.core.recorded_output or []
        self.hash.update(msgspec.msgpack.encode([self.core.completed_intervals, made]))
        self.outcome.rounds = self.core.completed_intervals
        if self.core.completed_intervals != number:
            self.differ(record, f"round {number}", f"round {self.core.completed_intervals}")
        elif plain(made) != orders:
            at = next((k for k, (a, b) in enumerate(zip(plain(made), orders, strict=False)) if a != b), None)
            at = min(len(made), len(orders)) if at is None else at
            self.differ(
                record,
                orders[at] if at < len(orders) else "no further order",
                plain(made)[at] if at < len(made) else "no further order",
            )
        self.causes, self.round_ms = [], record[2]

    def differ(self, record: Record, captured: Any, replayed: Any) -> None:
        self.outcome.difference = {
            "round": record[3], "at_ms": record[2], "captured": captured, "replayed": replayed,
            "since_the_round_before": self.causes,
        }  # fmt: skip


def plain(orders: list[list[Any]]) -> list[list[Any]]:
    """Orders as they come back from a capture."""
    return msgspec.msgpack.decode(msgspec.msgpack.encode(orders))
