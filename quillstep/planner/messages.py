"""What a caller hands to the decision module, and what the module calls back.

Times are milliseconds with fractions and ids are as the caller got them.  The caller makes one `Planner`
(see `quillstep.planner.planner`) at each start and calls its `round` once for all that has come in since the last.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, NamedTuple, Protocol

Id = Any  # an endpoint's, a number or a text


class ClassFacts(NamedTuple):
    """What the module reads of one class of exchange; its place in the list is its number."""

    agreed_ms: float
    credit: float
    semantics: str  # safe, keyed or unsafe
    scope: str  # the endpoints that drop a keyed repeat: all, zone or cell
    window_ms: float  # how long they drop it
    home_only: bool


@dataclass(slots=True)
class StartFacts:
    """What holds from a start to the next; a figure that was not told is 0, empty or false."""

    classes: list[ClassFacts] = field(default_factory=list)
    zones: list[str] = field(default_factory=list)
    slices: int = 0
    list_on_request: bool = False
    may_probe: bool = False
    load_by_probe: bool = False
    admission: str = "none"  # share, rate or none
    base_mode: int = 0  # the further tries that proxies make where none are ordered
    try_factor: float = 0.0
    ejects: int = 0  # a proxy avoids an endpoint after this many of its own failures in a row; 0: never
    standing: int = 0  # the most endpoints in the table that a proxy starts with
    report_every_ms: float = 0.0
    channel_rate: float = 0.0  # lines a second
    lines_per_message: float = 0.0
    lines_waiting_most: float = 0.0
    messages_most: int = 0  # to one proxy, within messages_over_ms; 0: no limit
    messages_over_ms: float = 0.0
    order_late_most_ms: float = 0.0
    drain_grace_ms: float = 0.0
    start_capacity: float = 0.0
    warm_after_ms: float = 0.0
    fall_multiple: float = 0.0


@dataclass(slots=True)
class Incoming:
    """All that came in for one instance in one round, a list of plain tuples for each kind, in order."""

    now_ms: float
    # (kind, entries); kind is partial, complete, persisted or error; an entry is
    # (endpoint, zone, state, weight, started_ms) with state in_service, terminating or terminated
    lists: list[tuple] = field(default_factory=list)
    # (proxy, joined, zone, usual exchanges a second, fresh: it holds no earlier orders); the last three only
    # where it joined
    streams: list[tuple] = field(default_factory=list)
    # (endpoint, tries, failed, mean time of the good ones, covers_ms, load report by name)
    sums: list[tuple] = field(default_factory=list)
    # (class place, proxy, arrived, unanswered, covers_ms)
    arrivals: list[tuple] = field(default_factory=list)
    # (endpoint, answered, took_ms, load report by name)
    probes: list[tuple] = field(default_factory=list)
    # the number given with `Orders.receipt`, once for each proxy that answers
    receipts: list[int] = field(default_factory=list)


class Orders(Protocol):
    """The writer that is passed in with each round; an order takes effect in the sequence written."""

    def line(self, table: int, endpoint: Id, weight: float) -> None:
        """Give an endpoint this weight in a table; 0 takes it out."""

    def withdraw(self, endpoint: Id, out: bool) -> None:
        """Keep an endpoint out of all tables that joined proxies hold, whoever wrote them, or let it back."""

    def bind(self, proxy: int, table: int, classes: Iterable[int]) -> None:
        """Put a joined proxy on a table for these classes."""

    def level(self, table: int, classes: Iterable[int], allowed: float, tries: int) -> None:
        """Set what a table's proxies let in of these classes, and their way of trying again."""

    def probe(self, endpoint: Id) -> None:
        """Ask for one health check."""

    def receipt(self, serial: int) -> None:
        """Ask each proxy that this round's orders reach to answer with this number once it holds them."""

    def watch_list(self) -> None:
        """Ask for the list's changes from now on."""

    def wake(self, token: int, at_ms: float) -> None:
        """Ask for a round at this time."""

    def note(self, text: str) -> None:
        """Add a line to the report."""
