"""All tables of one pilot: what its orders have made of them, and the ledger of each joined proxy.

Orders are written between `begin` and `commit`; commit says what each proxy concerned is to be sent, counted
in lines as the module counts them.  What a push costs has left the channel when `release` is called; only then
may a front send the differences.  Without I/O and clocks.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from quillstep.routing.ack_latency import AckLatency, LineCostEstimate
from quillstep.routing.message_quota import MessageQuota
from quillstep.routing.proxy_state import Change, Nack, ProxyState
from quillstep.routing.resources import (
    ADMISSION,
    CLUSTER,
    EJECTED,
    FOREIGN,
    LISTENER,
    ROUTES,
    WEIGHT,
    Key,
    Resource,
    make_resource,
)
from quillstep.routing.retry_policies import RetryPolicies
from quillstep.routing.unacknowledged import LOOK_MS, grows, spent

OPEN_RATE = 1e5  # a rate from which on nothing is held back: no limit is sent


class ProxyUpdate(NamedTuple):
    """What one order means for one proxy: its lines wait in the channel until it may be released."""

    proxy: int
    number: int
    lines: float


@dataclass(slots=True)
class Table:
    """The lines and levels of one table."""

    lines: dict[int, float] = field(default_factory=dict)
    levels: dict[int, tuple[float, int]] = field(default_factory=dict)  # allowed and tries by class
    users: set[int] = field(default_factory=set)


class Tables:
    """The desired state of all, and `ledgers` by proxy number."""

    ledger_type: type[ProxyState] = ProxyState

    def __init__(
        self,
        classes: int,
        admission: str,
        default_retry_policy: int,
        lines_per_message: float,
        *,
        max_ack_delay_ms: float = 0.0,
        stall_ms: float = 0.0,
        ways: RetryPolicies | None = None,
        max_messages: int = 0,
        message_window_ms: float = 0.0,
    ) -> None:
        """`max_ack_delay_ms`: from when on an order is late; 0: never.  `stall_ms`: that one piece may make a proxy
        stand still for; 0: no bound.  `max_messages` to one proxy within `message_window_ms`; 0: no limit."""
        self.classes, self.admission, self.default_retry_policy = classes, admission, default_retry_policy
        self.lines_per_message = lines_per_message
        self.tables: dict[int, Table] = {}
        self.withdrawn: dict[int, str] = {}  # status by endpoint
        self.addresses: dict[int, tuple[str, int]] = {}
        self.ledgers: dict[int, ProxyState] = {}
        self.number = 0
        self.costs: dict[int, float] = {}
        self.marked: dict[int, set[Key]] = {}
        self.serial: int | None = None
        self.stirred: set[int] = set()  # proxies that may have something to be sent
        self.answering: set[int] = set()  # proxies that may have completed a receipt
        self.made: dict[Key, Resource] = {}  # contents by key, made anew when an order touches them
        self.max_ack_delay_ms, self.stall_ms = max_ack_delay_ms, stall_ms
        self.messages = (max_messages, message_window_ms)
        self.line_cost = LineCostEstimate()
        self.ways = ways or RetryPolicies([], [])
        self.cold: dict[int, float] = {}  # cold endpoints, and when they started
        self.full: dict[int, tuple[float, bool]] = {}  # of these: looked until when, whether old lines push it enough

    # who is there

    def join(self, proxy: int, zone: str, held: Mapping[Key, str]) -> ProxyState:
        """A proxy's stream stands; it keeps what it says it holds until it is bound."""
        pace = AckLatency(self.max_ack_delay_ms, self.stall_ms, self.line_cost.line_ms())
        ledger = self.ledger_type(proxy, zone, pace, MessageQuota(*self.messages), dict(held))
        ledger.released = self.number
        self.leave(proxy)
        self.ledgers[proxy] = ledger
        return ledger

    def leave(self, proxy: int) -> None:
        ledger = self.ledgers.pop(proxy, None)
        self.stirred.discard(proxy)
        if ledger:
            for table in set(ledger.bound.values()):
                self.tables[table].users.discard(proxy)

    def holds(self, proxy: int, held: Mapping[Key, str]) -> None:
        """A proxy tells of more that it holds, in the first words on a further type."""
        ledger = self.ledgers[proxy]
        if (ROUTES,) in held:
            self.ways.join(proxy, False, self.default_retry_policy)
        for key, version in held.items():
            if key not in ledger.sent:
                ledger.held[key] = version
            if ledger.bound:
                ledger.mark(key, ledger.released)
        self.stirred.add(proxy)

    def ask(self, proxy: int, keys: Iterable[Key], anew: bool) -> None:
        """A proxy asks for these; `anew`: it wants them said again though it may hold them."""
        ledger = self.ledgers[proxy]
        for key in keys:
            if key[0] == EJECTED and not ledger.bound and not anew:
                continue  # what was withdrawn before it came is told with its tables, as it is counted there
            if anew and key not in ledger.sent:
                ledger.held.pop(key, None)
                ledger.asked.add(key)
            ledger.mark(key, ledger.released)
        self.stirred.add(proxy)

    # orders

    def begin(self) -> None:
        self.number += 1
        self.costs, self.marked, self.serial = {}, {}, None

    def place(self, endpoint: int, host: str, port: int) -> None:
        """Where an endpoint is reached; a change of it changes every line that names it."""
        if self.addresses.get(endpoint) == (host, port):
            return
        moved = endpoint in self.addresses
        self.addresses[endpoint] = (host, port)
        if moved:
            for number, table in self.tables.items():
                if endpoint in table.lines:
                    self.touch((WEIGHT, number, endpoint), table.users, 0.0)
            if endpoint in self.withdrawn:
                self.touch((EJECTED, endpoint), self.ledgers, 0.0)

    def line(self, table: int, endpoint: int, weight: float) -> None:
        record = self.tables.setdefault(table, Table())
        if weight > 0:
            record.lines[endpoint] = weight
        else:
            record.lines.pop(endpoint, None)
        self.touch((WEIGHT, table, endpoint), record.users, 1.0)

    def withdraw(self, endpoint: int, out: bool, status: str) -> None:
        if out:
            self.withdrawn[endpoint] = status
        else:
            self.withdrawn.pop(endpoint, None)
        self.touch((EJECTED, endpoint), self.ledgers, 1.0)

    def level(self, table: int, classes: Iterable[int], allowed: float, tries: int) -> None:
        record = self.tables.setdefault(table, Table())
        for place in classes:
            record.levels[place] = (allowed, tries)
        self.made.pop((ADMISSION, table), None)
        for proxy in record.users:
            self.mark(proxy, (ROUTES,), 1.0)
            if self.admission == "share":
                self.mark(proxy, (ADMISSION, table), 0.0)

    def bind(self, proxy: int, table: int, classes: Iterable[int]) -> None:
        ledger = self.ledgers.get(proxy)
        if ledger is None:
            return  # it has left since
        record = self.tables.setdefault(table, Table())
        places = list(classes)
        first = not ledger.bound
        before = set(ledger.bound.values())
        ledger.bound.update(dict.fromkeys(places, table))
        after = set(ledger.bound.values())
        for gone in before - after:
            self.tables[gone].users.discard(proxy)
            self.mark(proxy, (CLUSTER, gone), 0.0)
        record.users.add(proxy)
        held_out = sum(endpoint in self.withdrawn for endpoint in record.lines)
        self.mark(proxy, (CLUSTER, table), 1.0 + len(places) + len(record.lines) + held_out)
        self.mark(proxy, (ADMISSION, table), 0.0)
        for endpoint in record.lines:
            self.mark(proxy, (WEIGHT, table, endpoint), 0.0)
        self.mark(proxy, (ROUTES,), 0.0)
        if first:
            self.mark(proxy, (LISTENER,), 0.0)
            for endpoint in self.withdrawn:
                self.mark(proxy, (EJECTED, endpoint), 0.0)
            for key in list(ledger.held):
                self.mark(proxy, key, 0.0)

    def receipt(self, serial: int) -> None:
        self.serial = serial

    def commit(self) -> list[ProxyUpdate]:
        """The pushes of this order, in the sequence in which proxies were first concerned."""
        pushes = []
        for proxy, lines in self.costs.items():
            ledger = self.ledgers.get(proxy)
            if ledger is None:
                continue
            if not lines:
                lines = 1.0  # an address moved: it is sent as a line, though no order counted it
            extra = self.lines_per_message
            if self.serial is not None:
                extra += 1.0
                ledger.waiting.append((self.number, self.serial, self.marked[proxy]))
            pushes.append(ProxyUpdate(proxy, self.number, lines + extra))
        self.costs, self.marked = {}, {}
        return pushes

    def touch(self, key: Key, proxies: Iterable[int], lines: float) -> None:
        self.made.pop(key, None)
        for proxy in proxies:
            self.mark(proxy, key, lines)

    def mark(self, proxy: int, key: Key, lines: float) -> None:
        self.ledgers[proxy].mark(key, self.number)
        self.costs[proxy] = self.costs.get(proxy, 0.0) + lines
        self.marked.setdefault(proxy, set()).add(key)

    # what a front carries

    def release(self, proxy: int, number: int) -> None:
        """A push has left the channel."""
        ledger = self.ledgers.get(proxy)
        if ledger and number > ledger.released:
            ledger.released = number
            self.stirred.add(proxy)
            self.answering.add(proxy)

    def take(self, proxy: int, now_ms: float, wants: Callable[[Key], bool], together: bool = False) -> list[Change]:
        """What a front should send this proxy now; `wants` tells what it has asked for."""
        ledger = self.ledgers[proxy]
        self.answering.add(proxy)
        found = ledger.take(now_ms, wants, lambda key: self.desired(ledger, key), together)
        if self.cold and found:
            found = self.without_full(ledger, found, now_ms)
        if self.ways.unknown(proxy) and ledger.bound and (ROUTES,) in ledger.held and (ROUTES,) not in ledger.dirty:
            routes = self.routes(ledger)
            if routes and routes.version == ledger.held[(ROUTES,)]:
                self.ways.holds(proxy, ways_of(routes), now_ms)
        return found

    def without_full(self, ledger: ProxyState, changes: list[Change], now_ms: float) -> list[Change]:
        """Changes less those that would send more to a cold endpoint that old lines push enough already.

        Guards against a proxy that never applied a death: by its old line it sends a whole part to the endpoint when
        that is back and cold, and all the others would send theirs beside it.
        """
        kept = []
        for change in changes:
            endpoint = grows(change, ledger, self.cold)
            if endpoint is None or not self.is_full(endpoint, now_ms):
                kept.append(change)
            else:
                ledger.grows_ms = now_ms + LOOK_MS
        return kept

    def is_full(self, endpoint: int, now_ms: float) -> bool:
        until, full = self.full.get(endpoint, (0.0, False))
        if now_ms < until:
            return full
        full = False
        for number, table in self.tables.items():
            wanted = self.content((WEIGHT, number, endpoint)) if endpoint in table.lines else None
            if wanted and table.users:
                users = (self.ledgers[proxy] for proxy in table.users)
                usual = sum(table.lines.values()) / len(table.lines)
                full |= spent(users, (WEIGHT, number, endpoint), wanted, usual)
        self.full[endpoint] = (now_ms + LOOK_MS, full)
        return full

    def send(self, proxy: int, nonce: str, changes: list[Change], now_ms: float, lane: str = "") -> None:
        """These changes are on their way to a proxy."""
        ledger = self.ledgers[proxy]
        ledger.send(nonce, changes, now_ms, lane)
        if changes:
            ledger.ration.count(ledger.released, now_ms)
        for key, want in changes:
            if key[0] == ROUTES and want:
                self.ways.send(proxy, nonce, ways_of(want))

    def acknowledge(self, proxy: int, nonce: str, now_ms: float = 0.0) -> list[Change]:
        """What a proxy holds by this word; one on what is not under way says nothing."""
        self.stirred.add(proxy)
        self.answering.add(proxy)
        ledger = self.ledgers[proxy]
        found = ledger.acknowledge(nonce, now_ms)
        if found:
            self.ways.acknowledge(proxy, nonce, now_ms)
            if ledger.pace.last_line_ms is not None:
                self.line_cost.add(ledger.pace.last_line_ms)
                ledger.pace.last_line_ms = None
        return found

    def receipts(self) -> list[int]:
        """The receipts that proxies have completed since the last call, one for each proxy that did."""
        done: list[int] = []
        for proxy in sorted(self.answering):
            if ledger := self.ledgers.get(proxy):
                done += ledger.receipts()
        self.answering.clear()
        return done

    def refuse(self, proxy: int, nonce: str, reason: str, now_ms: float, whole: bool = False) -> Nack | None:
        self.stirred.add(proxy)
        self.ways.refuse(proxy, nonce)
        return self.ledgers[proxy].refuse(nonce, reason, now_ms, whole)

    def keys(self, proxy: int) -> list[Key]:
        """All keys that a proxy should hold now, but for what it holds unbound."""
        ledger = self.ledgers[proxy]
        keys: list[Key] = [(LISTENER,)] + [(EJECTED, endpoint) for endpoint in self.withdrawn]
        for number in sorted(set(ledger.bound.values())):
            keys += [(CLUSTER, number), (ADMISSION, number)]
            keys += [(WEIGHT, number, endpoint) for endpoint in self.tables[number].lines]
        return keys + [(ROUTES,)] if ledger.bound else keys

    def desired(self, ledger: ProxyState, key: Key) -> Resource | None:
        """What a proxy should hold under a key; unbound, it keeps what it has."""
        kind = key[0]
        if kind == ROUTES:
            return self.routes(ledger)
        if kind == LISTENER:
            return self.content(key)
        if kind == EJECTED:
            return self.content(key)
        if not ledger.bound:
            version = ledger.held.get(key)
            return Resource(version, ()) if version is not None else None
        if kind == FOREIGN or key[1] not in ledger.bound.values():
            return None
        return self.content(key)

    def content(self, key: Key) -> Resource | None:
        """The content of a key that is the same for all who should hold it."""
        made = self.made.get(key)
        if made is None:
            what = self.what(key)
            if what is None:
                return None
            made = self.made[key] = make_resource(key, what)
        return made

    def what(self, key: Key) -> tuple | None:
        kind = key[0]
        if kind == WEIGHT:
            weight = self.tables[key[1]].lines.get(key[2])
            return (*self.addresses[key[2]], weight) if weight and key[2] in self.addresses else None
        if kind == EJECTED:
            status = self.withdrawn.get(key[1])
            return (*self.addresses[key[1]], status) if status and key[1] in self.addresses else None
        if kind == ADMISSION:
            if self.admission != "share":
                return ()
            return tuple((p, round(a, 4)) for p, (a, _) in sorted(self.tables[key[1]].levels.items()))
        return ()

    def routes(self, ledger: ProxyState) -> Resource | None:
        if not ledger.bound:
            version = ledger.held.get((ROUTES,))
            return Resource(version, ()) if version is not None else None
        rows = []
        for place, table in sorted(ledger.bound.items()):
            allowed, tries = self.tables[table].levels.get(place, (None, self.default_retry_policy))
            rate = self.admission == "rate" and allowed is not None and allowed < OPEN_RATE
            rows.append((place, table, round(allowed, 4) if rate and allowed is not None else None, tries))
        return make_resource((ROUTES,), tuple(rows))


def ways_of(routes: Resource) -> dict[int, int]:
    """The way of trying again of each class, of routes of ours."""
    return {place: tries for place, _, _, tries in routes.content}
