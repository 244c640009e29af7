"""Which ways of trying again may still be in force at which proxies.  Without I/O and clocks; times are milliseconds.

A way is 0 (never), 1 (after proof that a try never ran), 2 or 3 (after any failure, once or twice).  A looser way
counts as in force from the moment it is sent, a tighter one only when its proxy has acknowledged it and all exchanges
that had begun before are over: a proxy goes through with an exchange by the routes that it began with.  What a proxy
brought from elsewhere is taken for the loosest there is until it holds routes of ours.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

LOOSEST = 3
PROOF = 1  # needs proof that nothing ran: never looser than any class allows


class Standing(NamedTuple):
    """A class with a way looser than it allows: at which proxies, also those that left with it."""

    place: int
    way: int
    proxies: list[int]


class Told(NamedTuple):
    """What has changed of a class: who may go by too loose a way now, who no longer can, how many may."""

    place: int
    way: int
    loose: list[int]
    tight: list[int]
    stand: int


@dataclass(slots=True)
class Held:
    """One proxy's ways by class: held by its word, under way by nonce, and running out until a time."""

    ways: dict[int, int] = field(default_factory=dict)
    flights: dict[str, dict[int, int]] = field(default_factory=dict)
    ends: dict[int, list[tuple[int, float]]] = field(default_factory=dict)  # way, until when
    known: bool = True  # what it holds is ours; else it may be anything


class RetryPolicies:
    """`allowed`: the loosest way that each class may be tried again by; `deadline_ms`: how long an exchange lasts."""

    def __init__(self, allowed: list[int], deadline_ms: list[float]) -> None:
        self.allowed, self.deadline_ms = allowed, deadline_ms
        self.held: dict[int, Held] = {}
        self.said: dict[int, set[int]] = {}  # the proxies with too loose a way that were last told, by class
        self.moved = False  # something has changed since `changes` was called last
        self.due_ms = float("inf")  # when time alone changes something

    def join(self, proxy: int, fresh: bool, base: int) -> None:
        """`fresh`: it holds no routes, and tries again as proxies do by themselves (`base`).

        One that breaks off and comes back goes on with exchanges that it had begun, so what is known of it stays, and
        what it may have been told elsewhere is added.
        """
        held = Held() if fresh else self.held.get(proxy, Held())
        held.known = fresh
        held.ways = dict.fromkeys(range(len(self.allowed)), base if fresh else LOOSEST)
        self.held[proxy] = held
        self.moved = True

    def unknown(self, proxy: int) -> bool:
        """Whether it came with routes that are not known yet."""
        held = self.held.get(proxy)
        return held is not None and not held.known

    def holds(self, proxy: int, ways: Mapping[int, int], now_ms: float) -> None:
        """What it came with has turned out to be these."""
        if self.unknown(proxy):
            held = self.held[proxy]
            held.flights[""] = dict(ways)
            self.acknowledge(proxy, "", now_ms)

    def send(self, proxy: int, nonce: str, ways: Mapping[int, int]) -> None:
        """Routes with these ways are on their way to it."""
        if proxy in self.held:
            self.held[proxy].flights[nonce] = dict(ways)
            self.moved = True

    def acknowledge(self, proxy: int, nonce: str, now_ms: float) -> None:
        """It holds them for exchanges that begin from now on; those that it is at go on as they began.

        Routes that were sent before these and have no word may have been held for a while.
        """
        held = self.held.get(proxy)
        if held is None or nonce not in held.flights:
            return
        sent = list(held.flights)
        overtaken = [held.flights.pop(each) for each in sent[: sent.index(nonce)]]
        for place, way in held.flights.pop(nonce).items():
            before = max([held.ways.get(place, 0), *(ways.get(place, 0) for ways in overtaken)])
            if before > way:
                held.ends.setdefault(place, []).append((before, now_ms + self.deadline_ms[place]))
            held.ways[place] = way
        held.known = self.moved = True

    def refuse(self, proxy: int, nonce: str) -> None:
        """It keeps what it had."""
        if proxy in self.held:
            self.held[proxy].flights.pop(nonce, None)

    def loosest(self, proxy: int, place: int, now_ms: float) -> int:
        """The loosest way that an exchange of this class may go by at this proxy now."""
        held = self.held[proxy]
        ends = [end for end in held.ends.get(place, ()) if end[1] > now_ms]
        held.ends[place] = ends
        return max([held.ways.get(place, 0), *(f.get(place, 0) for f in held.flights.values()), *(w for w, _ in ends)])

    def standing(self, now_ms: float) -> list[Standing]:
        """The classes that may still be tried again by a looser way than they allow."""
        found = []
        for place, allowed in enumerate(self.allowed):
            ways = {proxy: self.loosest(proxy, place, now_ms) for proxy in self.held}
            loose = [proxy for proxy, way in ways.items() if way > allowed]
            if loose:
                found.append(Standing(place, max(ways[proxy] for proxy in loose), sorted(loose)))
        return found

    def changes(self, now_ms: float) -> list[Told]:
        """What is to be told since the last time, by class."""
        if not self.moved and now_ms < self.due_ms:
            return []
        self.moved = False
        standing = {row.place: row for row in self.standing(now_ms)}
        ends = [end for held in self.held.values() for rows in held.ends.values() for _, end in rows]
        self.due_ms = min((end for end in ends if end > now_ms), default=float("inf"))
        told = []
        for place in range(len(self.allowed)):
            row = standing.get(place)
            now, before = set(row.proxies if row else ()), self.said.get(place, set())
            if now != before:
                self.said[place] = now
                told.append(Told(place, row.way if row else 0, sorted(now - before), sorted(before - now), len(now)))
        return told


def allowed_way(semantics: str) -> int:
    """The loosest way that a class may be tried again by, whatever the module orders: a safe one any, a keyed one once
    within its window, all others after proof only."""
    return {"safe": LOOSEST, "keyed": 2}.get(semantics, PROOF)
