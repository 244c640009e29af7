"""Why a round ordered what it did, from a capture: the news it had, how old it was, what it wrote.  No I/O."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from quillstep.recording.format import Record

NEWS = ("roster", "probe", "reports", "files", "open", "request", "end")
KEPT_MOST = 12  # pieces of news that are told one by one


@dataclass(slots=True)
class Round:
    """One round of the module, as its pilot's capture has it; ages are milliseconds at the moment of the round."""

    number: int
    at_ms: float
    news: dict[str, int] = field(default_factory=dict)  # pieces by kind
    oldest_ms: dict[str, float] = field(default_factory=dict)  # by kind
    told: list[str] = field(default_factory=list)
    orders: list[list[Any]] = field(default_factory=list)  # those that concern what was asked for
    notes: list[str] = field(default_factory=list)


def why(records: Iterable[Record], number: int, resource: str) -> Round | None:
    """A round of one life; None where the capture does not reach it.  `resource`: whose orders to tell."""
    news: list[Record] = []
    for record in records:
        kind = record[0]
        if kind in NEWS:
            news.append(record)
        elif kind == "orders":
            if record[5 if len(record) > 5 else 3] == number:  # older captures: orders and rounds were one
                return made(record, news, resource)
            news = []
    return None


def made(record: Record, news: list[Record], resource: str) -> Round:
    found = Round(record[3], record[2])
    for row in news:
        kind = row[0]
        found.news[kind] = found.news.get(kind, 0) + 1
        age = record[2] - row[1]
        if kind == "reports":
            age = max([age, *(record[2] - each[2] for each in row[4]["heard"])])
        found.oldest_ms[kind] = round(max(found.oldest_ms.get(kind, 0.0), age), 1)
        if len(found.told) < KEPT_MOST and (text := telling(row)):
            found.told.append(f"{text}, {age:.0f} ms before")
    found.orders = [order for order in record[4] if concerns(order, resource)]
    found.notes = [order[1] for order in record[4] if order[0] == "note"]
    return found


def telling(row: Record) -> str:
    """A piece of news in words, where it is one of few."""
    kind = row[0]
    if kind == "roster":
        states = [f"{entry[0]} {entry[2]}" for entry in row[4][:4]]
        return f"roster, {row[3]}: {', '.join(states)}" + (f" and {len(row[4]) - 4} more" if len(row[4]) > 4 else "")
    if kind == "probe":
        return f"probe of {row[3]}: {'answered' if row[4] else 'no answer'}"
    if kind == "reports":
        return f"reports of {len(row[4]['heard'])} proxies"
    return ""


def concerns(order: list[Any], resource: str) -> bool:
    """Whether an order is about a resource: a line, a withdrawal, or what routes are made of."""
    kind = order[0]
    group, _, endpoint = resource.rpartition("/")
    table = group.rpartition("/")[2].removeprefix("table-")
    if kind == "line":
        return [str(order[1]), str(order[2])] == [table, endpoint]
    if kind == "withdraw":
        return str(order[1]) == endpoint
    return kind in ("level", "bind") and "/" not in resource
