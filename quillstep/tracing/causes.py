"""Why a control interval wrote what it did, from a recording: its events, their ages and its output.  No I/O."""

from collections.abc import Iterable
from typing import Any

import msgspec

from quillstep.recording.format import Record

EVENT_KINDS = ("roster", "probe", "reports", "files", "open", "request", "end")
MAX_DESCRIBED_EVENTS = 12
MAX_LISTED_ENDPOINTS = 4

Command = list[Any]  # one command of the planner's output, as recordings hold it: its name, then its arguments


class IntervalCause(msgspec.Struct):
    """One control interval, as its controller's recording holds it; the names in JSON are those of `quillstep trace`.

    Attributes:
        number: The interval's number.
        at_ms: When it ran, on the recording's clock.
        event_counts: Events since the interval before, by kind.
        oldest_ms: Age of the oldest event at the interval, in milliseconds, by kind.
        descriptions: The first events in words.
        commands: The part of the output that concerns the resource in question.
        notes: Notes that the planner wrote.
    """

    number: int
    at_ms: float
    event_counts: dict[str, int] = msgspec.field(name="news", default_factory=dict)
    oldest_ms: dict[str, float] = msgspec.field(default_factory=dict)
    descriptions: list[str] = msgspec.field(name="told", default_factory=list)
    commands: list[Command] = msgspec.field(name="orders", default_factory=list)
    notes: list[str] = msgspec.field(default_factory=list)


def find_cause(records: Iterable[Record], revision: int, resource: str) -> IntervalCause | None:
    """Finds the control interval behind a revision.

    Args:
        records: The records of one incarnation, in sequence.
        revision: The revision that the interval's output had.
        resource: Name of the resource whose commands are wanted.

    Returns:
        The interval; None where the recording does not reach it.
    """
    events: list[Record] = []
    for record in records:
        kind = record[0]
        if kind in EVENT_KINDS:
            events.append(record)
        elif kind == "orders":
            if _revision_of(record) == revision:
                return _describe_interval(record, events, resource)
            events = []
    return None


def _revision_of(record: Record) -> int:
    """The revision of an interval's output; older recordings number intervals and revisions alike."""
    revision: int = record[5] if len(record) > 5 else record[3]
    return revision


def _describe_interval(record: Record, events: list[Record], resource: str) -> IntervalCause:
    at_ms, commands = record[2], record[4]
    cause = IntervalCause(record[3], at_ms)
    for event in events:
        kind = event[0]
        age_ms = _age_ms(event, at_ms)
        cause.event_counts[kind] = cause.event_counts.get(kind, 0) + 1
        cause.oldest_ms[kind] = round(max(cause.oldest_ms.get(kind, 0.0), age_ms), 1)
        if len(cause.descriptions) < MAX_DESCRIBED_EVENTS and (text := _describe_event(event)):
            cause.descriptions.append(f"{text}, {age_ms:.0f} ms before")
    cause.commands = [command for command in commands if concerns(command, resource)]
    cause.notes = [command[1] for command in commands if command[0] == "note"]
    return cause


def _age_ms(event: Record, at_ms: float) -> float:
    """Age of an event since it arrived; of load reports, the age of the oldest one."""
    age_ms: float = at_ms - event[1]
    if event[0] == "reports":
        return max([age_ms, *(at_ms - report[2] for report in event[4]["heard"])])
    return age_ms


def _describe_event(event: Record) -> str:
    """An event in words; empty for kinds of which there are too many to describe."""
    match event[0]:
        case "roster":
            entries = event[4]
            states = ", ".join(f"{entry[0]} {entry[2]}" for entry in entries[:MAX_LISTED_ENDPOINTS])
            unlisted = len(entries) - MAX_LISTED_ENDPOINTS
            return f"roster, {event[3]}: {states}" + (f" and {unlisted} more" if unlisted > 0 else "")
        case "probe":
            return f"probe of {event[3]}: {'answered' if event[4] else 'no answer'}"
        case "reports":
            return f"reports of {len(event[4]['heard'])} proxies"
    return ""


def concerns(command: Command, resource: str) -> bool:
    """Whether a command is about a resource: its weight, its endpoint's ejection, or what routes are made of."""
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
