"""Finds the control interval behind a revision in a recording: its events, their ages and its output.  No I/O."""

from collections.abc import Iterable
from typing import Any, NamedTuple

import msgspec

from quillstep.recording.format import Record, kind_of

EVENT_KINDS = ("roster", "probe", "reports", "files", "open", "request", "end")
MAX_DESCRIBED_EVENTS = 12
MAX_DESCRIBED_ENDPOINTS = 4  # per event

Command = list[Any]  # a command of the planner's output as recorded: its name, then its arguments


class IntervalCause(msgspec.Struct):
    """A control interval from a controller's recording; the names in JSON are those that `quillstep trace` prints.

    Attributes:
        number: Number of the interval.
        at_ms: Time of the interval on the recording's clock, in milliseconds.
        event_counts: Number of events since the previous interval, by kind.
        oldest_ms: Age of the oldest event at the interval, in milliseconds, by kind.
        descriptions: Descriptions of the first events.
        commands: Commands of the output that concern the resource in question.
        notes: Notes of the planner.
    """

    number: int
    at_ms: float
    event_counts: dict[str, int] = msgspec.field(name="news", default_factory=dict)
    oldest_ms: dict[str, float] = msgspec.field(default_factory=dict)
    descriptions: list[str] = msgspec.field(name="told", default_factory=list)
    commands: list[Command] = msgspec.field(name="orders", default_factory=list)
    notes: list[str] = msgspec.field(default_factory=list)


class RecordedInterval(NamedTuple):
    """The fields of a control interval's record."""

    at_ms: float
    number: int
    commands: list[Command]
    revision: int

    @classmethod
    def from_record(cls, record: Record) -> "RecordedInterval":
        """Parses a record of the kind `orders`; in older recordings, revisions are numbered like intervals."""
        _, _, at_ms, number, commands, *revision = record
        return cls(at_ms, number, commands, revision[0] if revision else number)


def find_cause(records: Iterable[Record], revision: int, resource: str) -> IntervalCause | None:
    """Finds the control interval behind a revision.

    Args:
        records: The records of one incarnation, in sequence.
        revision: Revision of the interval's output.
        resource: Name of the resource whose commands are returned.

    Returns:
        The interval; None if the recording does not contain it.
    """
    events: list[Record] = []
    for record in records:
        kind = kind_of(record)
        if kind in EVENT_KINDS:
            events.append(record)
        elif kind == "orders":
            interval = RecordedInterval.from_record(record)
            if interval.revision == revision:
                return _describe_interval(interval, events, resource)
            events = []
    return None


def _describe_interval(interval: RecordedInterval, events: list[Record], resource: str) -> IntervalCause:
    cause = IntervalCause(interval.number, interval.at_ms)
    for event in events:
        kind = kind_of(event)
        age_ms = _age_ms(event, interval.at_ms)
        cause.event_counts[kind] = cause.event_counts.get(kind, 0) + 1
        cause.oldest_ms[kind] = round(max(cause.oldest_ms.get(kind, 0.0), age_ms), 1)
        if len(cause.descriptions) < MAX_DESCRIBED_EVENTS and (text := _describe_event(event)):
            cause.descriptions.append(f"{text}, {age_ms:.0f} ms before")
    cause.commands = [command for command in interval.commands if concerns(command, resource)]
    cause.notes = [command[1] for command in interval.commands if command[0] == "note"]
    return cause


def _age_ms(event: Record, at_ms: float) -> float:
    """Returns the time since an event arrived; for load reports, the age of the oldest one."""
    arrived_ms: float = event[1]
    age_ms = at_ms - arrived_ms
    match event:
        case ["reports", _, _, _, {"heard": reports}, *_]:
            return max([age_ms, *(at_ms - report[2] for report in reports)])
    return age_ms


def _describe_event(event: Record) -> str:
    """Describes an event; empty for kinds that are too frequent to be described."""
    match event:
        case ["roster", _, _, update_kind, entries, *_]:
            states = ", ".join(f"{entry[0]} {entry[2]}" for entry in entries[:MAX_DESCRIBED_ENDPOINTS])
            omitted = len(entries) - MAX_DESCRIBED_ENDPOINTS
            return f"roster, {update_kind}: {states}" + (f" and {omitted} more" if omitted > 0 else "")
        case ["probe", _, _, endpoint, healthy, *_]:
            return f"probe of {endpoint}: {'answered' if healthy else 'no answer'}"
        case ["reports", _, _, _, {"heard": reports}, *_]:
            return f"reports of {len(reports)} proxies"
    return ""


def concerns(command: Command, resource: str) -> bool:
    """Whether a command affects a resource: its weight, the ejection of its endpoint, or the routes."""
    group, _, endpoint = resource.rpartition("/")
    table = group.rpartition("/")[2].removeprefix("table-")
    match command[0]:
        case "line":
            return [str(command[1]), str(command[2])] == [table, endpoint]
        case "withdraw":
            return str(command[1]) == endpoint
        case "level" | "bind":
            return "/" not in resource
    return False
