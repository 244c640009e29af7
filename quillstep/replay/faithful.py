"""The faithful replay: a recorded incarnation through the same decision loop, whose output must be identical.

The clock is the recording's, the transport accepts whatever is sent, the seed is that of the settings.  The first
difference is reported with its control interval and the events since the interval before.
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
    """A file front published an event of its own, although a replay takes all events from the recording."""


class ReplayedPeer(Peer):
    """A connection of a recording: accepts all messages, and its buffer is full when it was full then."""

    def __init__(self, number: int) -> None:
        self.number, self.is_full = number, False
        self.last_received_ms = 0.0  # Decides nothing: it is only logged with late acknowledgements.

    def unsent_bytes(self) -> int:
        """Returns a size above any limit where the buffer was full, 0 elsewhere."""
        return sys.maxsize if self.is_full else 0

    def send(self, stream: int, message: bytes) -> bool:
        """Accepts a message and drops it."""
        return True

    def close(self, reason: str) -> None:
        """Does nothing: the end of the connection is an event of the recording."""


class ReplayedServer(Server):
    """A server without sockets."""

    def __init__(self) -> None:
        """Opens no socket."""

    def finish(self, peer: Peer, stream: int, status: int, text: str) -> None:
        """Does nothing: the end of the stream is an event of the recording."""


class ReplayedDisk(Disk):
    """A disk that is never accessed: what was read and written are events of the recording."""

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
        difference: The first difference with its circumstances; empty where there was none.
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
        """Whether all output was that of the recording."""
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
        """Takes what the file front submitted to its writer, which has no thread here."""
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
            place = _first_difference(replayed, recorded)
            self._set_difference(at_ms, interval, _item_at(recorded, place), _item_at(replayed, place))
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
    raise UnexpectedFileEventError(f"a replay starts no threads, but one published {event!r}")


def _as_recorded(output: list[list[Any]]) -> list[list[Any]]:
    """The planner's output as a recording holds it: tuples become lists."""
    decoded: list[list[Any]] = msgspec.msgpack.decode(msgspec.msgpack.encode(output))
    return decoded


def _first_difference(replayed: list[list[Any]], recorded: list[list[Any]]) -> int:
    """The place of the first item that differs; the shorter length where one list begins the other."""
    for place, (one, other) in enumerate(zip(replayed, recorded, strict=False)):
        if one != other:
            return place
    return min(len(replayed), len(recorded))


def _item_at(items: list[list[Any]], place: int) -> list[Any] | str:
    return items[place] if place < len(items) else NO_OUTPUT
