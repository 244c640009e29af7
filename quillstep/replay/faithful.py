"""The faithful replay: runs a recorded incarnation through the decision loop and requires identical output.

Time comes from the recording, the transport accepts every message, and the seed is that of the settings.  The first
difference is reported with its control interval and the events since the previous one.
"""

import sys
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

import msgspec
import xxhash

from quillstep.config.controller import ControllerSettings
from quillstep.controller.decision_loop import DecisionLoop
from quillstep.controller.event_codec import OUTPUT, SENT, STEP, EventDecoder
from quillstep.errors import QuillstepError
from quillstep.files.disk import Disk
from quillstep.files.events import FileEvent
from quillstep.files.proxy_generations import PendingGeneration
from quillstep.recording import Header, Record, recorded_settings
from quillstep.xds.server import Peer, Server

MAX_LISTED_EVENTS = 12
NO_OUTPUT = "no further order"


class UnexpectedFileEventError(QuillstepError):
    """A file front published an event of its own; in a replay all events come from the recording."""


class ReplayedPeer(Peer):
    """A connection in a replay: accepts all messages; its send buffer is full when the recorded one was."""

    def __init__(self, number: int) -> None:
        self.number, self.is_full = number, False
        self.last_received_ms = 0.0  # It is only logged, with late acknowledgements; no decision depends on it.

    def unsent_bytes(self) -> int:
        """Returns a size above any limit if the buffer is full, otherwise 0."""
        return sys.maxsize if self.is_full else 0

    def send(self, stream: int, message: bytes) -> bool:
        """Accepts a message and drops it."""
        return True

    def close(self, reason: str) -> None:
        """Does nothing: the recording has an event for the closed connection."""


class ReplayedServer(Server):
    """A server without sockets."""

    def __init__(self) -> None:
        """Opens no socket."""

    def finish(self, peer: Peer, stream: int, status: int, text: str) -> None:
        """Does nothing: the recording has an event for the closed stream."""


class ReplayedDisk(Disk):
    """A disk that is never accessed: reads and writes are events of the recording."""

    def __init__(self) -> None:
        self.root = ""


@dataclass(slots=True)
class ReplayOutcome:
    """The result of a replay.

    Attributes:
        intervals: The number of control intervals compared.
        records: The number of records replayed.
        span_ms: The recorded time between the first and the last of them.
        digest: A hash over the planner's output in all control intervals.
        difference: The first difference and its context; empty if there was none.
        sent: The number of messages sent.
    """

    intervals: int = 0
    records: int = 0
    span_ms: float = 0.0
    digest: str = ""
    difference: dict[str, Any] = field(default_factory=dict)
    sent: int = 0

    @property
    def is_identical(self) -> bool:
        """Whether all output equals the recorded output."""
        return not self.difference


class Replay:
    """Replays one incarnation.

    Args:
        header: The header of the incarnation's recording.
        settings: Other settings than those of the header; the output may then differ.
    """

    def __init__(self, header: Header, settings: ControllerSettings | None = None) -> None:
        self.settings = settings or recorded_settings(header)
        self._loop = DecisionLoop(self.settings, header.epoch, self._count_sent, _reject_file_event, ReplayedDisk())
        self._loop.streams.server = ReplayedServer()
        self._core = self._loop.core
        self._core.recorded_output = []
        self._peers: dict[int, ReplayedPeer] = {}
        self._full_peers: list[int] = []
        self._decoder = EventDecoder(self._peer, self._take_generation)
        self._pending_generations: dict[tuple[str, int], PendingGeneration] = {}
        self._outcome = ReplayOutcome()
        self._hash = xxhash.xxh3_128()
        self._recent_events: list[str] = []

    def play(self, records: Iterable[Record]) -> ReplayOutcome:
        """Replays records in sequence, up to the first difference."""
        first_ms = None
        for record in records:
            at_ms = record[2]
            first_ms = at_ms if first_ms is None else first_ms
            self._outcome.records += 1
            self._outcome.span_ms = at_ms - first_ms
            self._replay_record(record)
            if self._outcome.difference:
                break
        self._outcome.digest = self._hash.hexdigest()
        return self._outcome

    def _replay_record(self, record: Record) -> None:
        kind, at_ms = record[0], record[2]
        if kind == STEP:
            self._run_interval(at_ms, record[3])
        elif kind == OUTPUT:
            self._compare_output(at_ms, record[3], record[4])
        elif kind != SENT:
            if len(self._recent_events) < MAX_LISTED_EVENTS:
                self._recent_events.append(f"{kind} at {at_ms:.1f}")
            event = self._decoder.decode(record)
            if event:
                self._loop.handle(event, at_ms)

    def _run_interval(self, now_ms: float, full_peers: list[int]) -> None:
        self._update_full_peers(full_peers)
        self._loop.run_pass(now_ms)
        self._core.health_check_requests = []
        self._core.reports.membership_changes = []
        self._core.reports.requests = []
        self._core.operations.completed = []
        self._core.new_versions.clear()
        self._collect_pending_generations()

    def _update_full_peers(self, full_peers: list[int]) -> None:
        if full_peers or self._full_peers:
            for number in {*self._full_peers, *full_peers}:
                self._peer(number).is_full = number in full_peers
            self._full_peers = full_peers

    def _collect_pending_generations(self) -> None:
        """Collects what the file front submitted to its writer, whose thread does not run in a replay."""
        if self._loop.files:
            queue = self._loop.files.writer.queue
            while not queue.empty():
                pending = queue.get()
                if pending:
                    self._pending_generations[pending.directory, pending.generation.number] = pending

    def _compare_output(self, at_ms: float, interval: int, recorded: list[list[Any]]) -> None:
        """Compares the planner's output in a control interval with the recorded one."""
        output = self._core.recorded_output or []
        self._hash.update(msgspec.msgpack.encode([self._core.completed_intervals, output]))
        self._outcome.intervals = self._core.completed_intervals
        replayed = _as_recorded(output)
        if self._core.completed_intervals != interval:
            self._set_difference(at_ms, interval, f"round {interval}", f"round {self._core.completed_intervals}")
        elif replayed != recorded:
            index = _first_difference(replayed, recorded)
            self._set_difference(at_ms, interval, _item_at(recorded, index), _item_at(replayed, index))
        self._recent_events = []

    def _set_difference(self, at_ms: float, interval: int, recorded: Any, replayed: Any) -> None:
        self._outcome.difference = {
            "round": interval, "at_ms": at_ms, "captured": recorded, "replayed": replayed,
            "since_the_round_before": self._recent_events,
        }  # fmt: skip

    def _peer(self, number: int) -> ReplayedPeer:
        return self._peers.setdefault(number, ReplayedPeer(number))

    def _take_generation(self, directory: str, number: int) -> PendingGeneration | None:
        return self._pending_generations.pop((directory, number), None)

    def _count_sent(self, what: str, at_ms: float, **fields: Any) -> None:
        self._outcome.sent += what == "send"


def _reject_file_event(event: FileEvent) -> None:
    raise UnexpectedFileEventError(f"file front published an event during a replay: {event!r}")


def _as_recorded(output: list[list[Any]]) -> list[list[Any]]:
    """Returns the planner's output in its recorded form: tuples become lists."""
    decoded: list[list[Any]] = msgspec.msgpack.decode(msgspec.msgpack.encode(output))
    return decoded


def _first_difference(replayed: list[list[Any]], recorded: list[list[Any]]) -> int:
    """Returns the index of the first item that differs; the shorter length if one list is a prefix of the other."""
    for index, (one, other) in enumerate(zip(replayed, recorded, strict=False)):
        if one != other:
            return index
    return min(len(replayed), len(recorded))


def _item_at(items: list[list[Any]], index: int) -> list[Any] | str:
    return items[index] if index < len(items) else NO_OUTPUT
