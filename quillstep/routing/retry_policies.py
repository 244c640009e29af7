"""Which ways of trying again may still be in force at which proxies.  Without I/O and clocks; times are milliseconds.

A way is 0 (never), 1 (after proof that a try never ran), 2 or 3 (after any failure, once or twice).  A looser way
counts as in force from the moment it is sent, a tighter one only when its proxy has acknowledged it and all exchanges
that had begun before are over: a proxy goes through with an exchange by the routes that it began with.  What a proxy
brought from elsewhere is taken for the loosest there is until it holds routes of ours.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

MAX_RETRY_POLICY = 3
ONLY_IF_NOT_EXECUTED = 1  # needs proof that nothing ran: never looser than any class allows


class PolicyExcess(NamedTuple):
    """A class with a way looser than it allows: at which proxies, also those that left with it."""

    class_index: int
    retry_policy: int
    proxies: list[int]


class PolicyExcessChange(NamedTuple):
    """What has changed of a class: who may go by too loose a way now, who no longer can, how many may."""

    class_index: int
    retry_policy: int
    exceeding: list[int]
    compliant: list[int]
    count_exceeding: int


@dataclass(slots=True)
class ProxyRetryPolicies:
    """One proxy's ways by class: held by its word, under way by nonce, and running out until a time."""

    acknowledged: dict[int, int] = field(default_factory=dict)
    in_flight: dict[str, dict[int, int]] = field(default_factory=dict)
    expiring: dict[int, list[tuple[int, float]]] = field(default_factory=dict)  # way, until when
    is_known: bool = True  # what it holds is ours; else it may be anything


class RetryPolicies:
    """`allowed`: the loosest way that each class may be tried again by; `deadline_ms`: how long an exchange lasts."""

    def __init__(self, allowed: list[int], deadline_ms: list[float]) -> None:
        self.allowed, self.deadline_ms = allowed, deadline_ms
        self.proxies: dict[int, ProxyRetryPolicies] = {}
        self.logged_excess: dict[int, set[int]] = {}  # the proxies with too loose a way that were last told, by class
        self.has_changed = False  # something has changed since `changes` was called last
        self.next_expiry_ms = float("inf")  # when time alone changes something

    def add_proxy(self, proxy: int, fresh: bool, base: int) -> None:
        """`fresh`: it holds no routes, and tries again as proxies do by themselves (`base`).

        One that breaks off and comes back goes on with exchanges that it had begun, so what is known of it stays, and
        what it may have been told elsewhere is added.
        """
        held = ProxyRetryPolicies() if fresh else self.proxies.get(proxy, ProxyRetryPolicies())
        held.is_known = fresh
        held.acknowledged = dict.fromkeys(range(len(self.allowed)), base if fresh else MAX_RETRY_POLICY)
        self.proxies[proxy] = held
        self.has_changed = True

    def is_unknown(self, proxy: int) -> bool:
        """Whether it came with routes that are not known yet."""
        held = self.proxies.get(proxy)
        return held is not None and not held.is_known

    def record_reported(self, proxy: int, ways: Mapping[int, int], now_ms: float) -> None:
        """What it came with has turned out to be these."""
        if self.is_unknown(proxy):
            held = self.proxies[proxy]
            held.in_flight[""] = dict(ways)
            self.record_ack(proxy, "", now_ms)

    def record_sent(self, proxy: int, nonce: str, ways: Mapping[int, int]) -> None:
        """Routes with these ways are on their way to it."""
        if proxy in self.proxies:
            self.proxies[proxy].in_flight[nonce] = dict(ways)
            self.has_changed = True

    def record_ack(self, proxy: int, nonce: str, now_ms: float) -> None:
        """It holds them for exchanges that begin from now on; those that it is at go on as they began.

        Routes that were sent before these and have no word may have been held for a while.
        """
        held = self.proxies.get(proxy)
        if held is None or nonce not in held.in_flight:
            return
        sent = list(held.in_flight)
        overtaken = [held.in_flight.pop(each) for each in sent[: sent.index(nonce)]]
        for place, way in held.in_flight.pop(nonce).items():
            before = max([held.acknowledged.get(place, 0), *(ways.get(place, 0) for ways in overtaken)])
            if before > way:
                held.expiring.setdefault(place, []).append((before, now_ms + self.deadline_ms[place]))
            held.acknowledged[place] = way
        held.is_known = self.has_changed = True

    def record_nack(self, proxy: int, nonce: str) -> None:
        """It keeps what it had."""
        if proxy in self.proxies:
            self.proxies[proxy].in_flight.pop(nonce, None)

    def highest_in_effect(self, proxy: int, place: int, now_ms: float) -> int:
        """The loosest way that an exchange of this class may go by at this proxy now."""
        held = self.proxies[proxy]
        ends = [end for end in held.expiring.get(place, ()) if end[1] > now_ms]
        held.expiring[place] = ends
        return max(
            [
                held.acknowledged.get(place, 0),
                *(f.get(place, 0) for f in held.in_flight.values()),
                *(w for w, _ in ends),
            ]
        )

    def excesses(self, now_ms: float) -> list[PolicyExcess]:
        """The classes that may still be tried again by a looser way than they allow."""
        found = []
        for place, allowed in enumerate(self.allowed):
            ways = {proxy: self.highest_in_effect(proxy, place, now_ms) for proxy in self.proxies}
            loose = [proxy for proxy, way in ways.items() if way > allowed]
            if loose:
                found.append(PolicyExcess(place, max(ways[proxy] for proxy in loose), sorted(loose)))
        return found

    def changes(self, now_ms: float) -> list[PolicyExcessChange]:
        """What is to be told since the last time, by class."""
        if not self.has_changed and now_ms < self.next_expiry_ms:
            return []
        self.has_changed = False
        standing = {row.class_index: row for row in self.excesses(now_ms)}
        ends = [end for held in self.proxies.values() for rows in held.expiring.values() for _, end in rows]
        self.next_expiry_ms = min((end for end in ends if end > now_ms), default=float("inf"))
        told = []
        for place in range(len(self.allowed)):
            row = standing.get(place)
            now, before = set(row.proxies if row else ()), self.logged_excess.get(place, set())
            if now != before:
                self.logged_excess[place] = now
                told.append(
                    PolicyExcessChange(
                        place, row.retry_policy if row else 0, sorted(now - before), sorted(before - now), len(now)
                    )
                )
        return told


def max_retry_policy(semantics: str) -> int:
    """The loosest way that a class may be tried again by, whatever the module orders: a safe one any, a keyed one once
    within its window, all others after proof only."""
    return {"safe": MAX_RETRY_POLICY, "keyed": 2}.get(semantics, ONLY_IF_NOT_EXECUTED)
