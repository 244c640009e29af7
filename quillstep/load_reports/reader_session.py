"""One reader's desk: streams of load reports, each with what waits on it, read as far as the gatherer lets.  No I/O.

Whoever carries the bytes says what opened, came and ended, calls `work`, and does what `outcome` says: bytes to send,
streams to end, messages taken (only then may the peer send more: that is how back-pressure reaches a proxy).
"""

from collections import deque
from dataclasses import dataclass, field
from typing import Any

from envoy.service.load_stats.v3 import lrs_pb2
from google.protobuf.message import DecodeError

from quillstep.load_reports.aggregator import Asked, ReportAggregator
from quillstep.load_reports.validation import ReportAccount
from quillstep.xds.grpc import INVALID_ARGUMENT, PERMISSION_DENIED, UNAVAILABLE
from quillstep.xds.load_stats import life_of, load_request, read_report

WAITS = 0.1  # periods between two looks whether a proxy has joined, whose reports came first
SILENT_PERIODS = 3.0  # after which a stream without a life may lose its name to another


@dataclass(slots=True)
class Line:
    """One stream: who it says it is, and what waits on it."""

    name: str = ""
    life: str = ""
    waits: deque[tuple[float, bytes]] = field(default_factory=deque)
    due_ms: float = 0.0  # when its next message may be read
    heard_ms: float = 0.0


@dataclass(slots=True)
class Outcome:
    """What is to be done now; keys are the carrier's own."""

    sends: list[tuple[Any, bytes]] = field(default_factory=list)
    ends: list[tuple[Any, int, str]] = field(default_factory=list)
    taken: list[tuple[Any, int]] = field(default_factory=list)  # key and size of a message that was read
    hellos: list[tuple[str, str]] = field(default_factory=list)  # names that have a stream here, and their lives


class Desk:
    """Reads for one gatherer."""

    def __init__(self, gatherer: ReportAggregator) -> None:
        self.gatherer = gatherer
        self.lines: dict[Any, Line] = {}
        self.at: dict[str, Any] = {}  # the stream that has each name
        self.busy: deque[Any] = deque()  # streams on which something waits, in turn
        self.held_bytes = 0
        self.outcome = Outcome()

    # what came

    def opened(self, key: Any) -> None:
        self.lines[key] = Line()

    def message(self, key: Any, data: bytes, now_ms: float) -> None:
        line = self.lines.get(key)
        if line is None:
            return
        if not line.waits:
            self.busy.append(key)
        line.waits.append((now_ms, data))
        self.held_bytes += len(data)

    def ended(self, key: Any) -> None:
        """A stream is gone; what waited on it can still be read by nobody."""
        line = self.lines.pop(key, None)
        if line is None:
            return
        self.held_bytes -= sum(len(data) for _, data in line.waits)
        line.waits.clear()
        if self.at.get(line.name) == key:
            del self.at[line.name]

    # what the pilot tells

    def joined(self, account: ReportAccount, name: str) -> None:
        self.gatherer.joined(account, name)
        key = self.at.get(name)
        if key is None:
            return
        if account.life and self.lines[key].life != account.life:
            self.refuse(key)
        else:
            self.lines[key].due_ms = 0.0
            self.ask_anew(key, account)

    def ask(self, asked: Asked) -> None:
        name = self.gatherer.ask(asked)
        if name in self.at:
            self.ask_anew(self.at[name], self.gatherer.accounts[name])

    def ask_anew(self, key: Any, account: ReportAccount) -> None:
        self.outcome.sends.append((key, load_request(account.period_ms, account.full)))

    def refuse(self, key: Any) -> None:
        name = self.lines[key].name
        self.gatherer.complain(name, "another claims its name", self.lines[key].heard_ms)
        self.end(key, PERMISSION_DENIED, "this name is another's")

    def end(self, key: Any, status: int, text: str) -> None:
        self.outcome.ends.append((key, status, text))
        self.ended(key)

    # reading

    def work(self, now_ms: float) -> float:
        """Read what may be read; returns when there is something to do without anything new."""
        due = float("inf")
        for _ in range(len(self.busy)):
            key = self.busy.popleft()
            line = self.lines.get(key)
            if line is None or not line.waits:
                continue
            if line.due_ms <= now_ms:
                arrived_ms, data = line.waits[0]
                line.due_ms = self.not_before(line, arrived_ms, len(data), now_ms)
                if not line.due_ms:
                    line.waits.popleft()
                    self.held_bytes -= len(data)
                    self.outcome.taken.append((key, len(data)))
                    self.read(key, line, data, arrived_ms, now_ms)
            if line.waits:
                self.busy.append(key)
                due = min(due, line.due_ms or now_ms)
        return min(due, self.gatherer.due_ms())

    def not_before(self, line: Line, arrived_ms: float, size: int, now_ms: float) -> float:
        """0 where a message may be read now, else when to look again."""
        if line.name and line.name not in self.gatherer.accounts and now_ms - arrived_ms < self.gatherer.usual_ms:
            return now_ms + WAITS * self.gatherer.usual_ms  # its other stream may be about to stand
        return self.gatherer.may_read(line.name, size, now_ms)

    def read(self, key: Any, line: Line, data: bytes, arrived_ms: float, now_ms: float) -> None:
        """Parse one message: its cost has been allowed for by its size."""
        gatherer = self.gatherer
        work = gatherer.spend(len(data))
        line.heard_ms = now_ms
        try:
            request = lrs_pb2.LoadStatsRequest.FromString(data)
        except DecodeError:
            gatherer.complain(line.name, "a message that is no report", now_ms)
            self.end(key, INVALID_ARGUMENT, "a message that is no report")
            return
        if not line.name and not self.greet(key, line, request, now_ms):
            return
        if request.cluster_stats:
            told = read_report(request, data, gatherer.places, gatherer.endpoints)
            gatherer.take(line.name, told, arrived_ms, now_ms, work)

    def greet(self, key: Any, line: Line, request: lrs_pb2.LoadStatsRequest, now_ms: float) -> bool:
        """A stream says who it is.  A name that stands under another life, or that another stream speaks for, is not
        its to take."""
        name, life = request.node.id, life_of(request.node)
        if not name:
            self.end(key, INVALID_ARGUMENT, "the first request names no node")
            return False
        line.name, line.life = name, life
        account = self.gatherer.accounts.get(name)
        if account is not None and account.life and account.life != life:
            self.refuse(key)
            return False
        before = self.at.get(name)
        if before is not None:
            held = self.lines[before]
            most_ms = SILENT_PERIODS * (account.period_ms if account else self.gatherer.usual_ms)
            if not life and now_ms - held.heard_ms < most_ms:
                self.refuse(key)
                return False
            self.end(before, UNAVAILABLE, "the proxy dialled anew")
        self.at[name] = key
        self.outcome.hellos.append((name, life))
        usual = self.gatherer.usual_ms
        self.outcome.sends.append((
            key, load_request(account.period_ms if account else usual, account.full if account else True)
        ))  # fmt: skip
        return True

    def take_outcome(self) -> Outcome:
        found, self.outcome = self.outcome, Outcome()
        return found
