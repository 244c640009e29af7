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
from quillstep.routing.unacknowledged import (
    RECHECK_INTERVAL_MS,
    is_saturated_by_outdated_weights,
    warming_endpoint_that_gains,
)

OPEN_RATE = 1e5  # a rate from which on nothing is held back: no limit is sent


class ProxyUpdate(NamedTuple):
    """What one order means for one proxy: its lines wait in the channel until it may be released."""

    proxy: int
    revision: int
    lines: float


@dataclass(slots=True)
class Table:
    """The lines and levels of one table."""

    weights: dict[int, float] = field(default_factory=dict)
    admission: dict[int, tuple[float, int]] = field(default_factory=dict)  # allowed and tries by class
    proxies: set[int] = field(default_factory=set)


class Tables:
    """The desired state of all, and `ledgers` by proxy number."""

    proxy_state_type: type[ProxyState] = ProxyState

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
        self.ejected: dict[int, str] = {}  # status by endpoint
        self.addresses: dict[int, tuple[str, int]] = {}
        self.proxies: dict[int, ProxyState] = {}
        self.revision = 0
        self.update_lines: dict[int, float] = {}
        self.update_keys: dict[int, set[Key]] = {}
        self.ack_serial: int | None = None
        self.pending_proxies: set[int] = set()  # proxies that may have something to be sent
        self.ack_candidates: set[int] = set()  # proxies that may have completed a receipt
        self.shared_resources: dict[Key, Resource] = {}  # contents by key, made anew when an order touches them
        self.max_ack_delay_ms, self.stall_ms = max_ack_delay_ms, stall_ms
        self.message_limit = (max_messages, message_window_ms)
        self.line_cost = LineCostEstimate()
        self.retry_policies = ways or RetryPolicies([], [])
        self.warming_up: dict[int, float] = {}  # cold endpoints, and when they started
        self.saturation_checks: dict[
            int, tuple[float, bool]
        ] = {}  # of these: looked until when, whether old lines push it enough

    # who is there

    def add_proxy(self, proxy: int, zone: str, held: Mapping[Key, str]) -> ProxyState:
        """A proxy's stream stands; it keeps what it says it holds until it is bound."""
        pace = AckLatency(self.max_ack_delay_ms, self.stall_ms, self.line_cost.line_ms())
        ledger = self.proxy_state_type(proxy, zone, pace, MessageQuota(*self.message_limit), dict(held))
        ledger.released_revision = self.revision
        self.remove_proxy(proxy)
        self.proxies[proxy] = ledger
        return ledger

    def remove_proxy(self, proxy: int) -> None:
        ledger = self.proxies.pop(proxy, None)
        self.pending_proxies.discard(proxy)
        if ledger:
            for table in set(ledger.assignments.values()):
                self.tables[table].proxies.discard(proxy)

    def add_acknowledged(self, proxy: int, held: Mapping[Key, str]) -> None:
        """A proxy tells of more that it holds, in the first words on a further type."""
        ledger = self.proxies[proxy]
        if (ROUTES,) in held:
            self.retry_policies.add_proxy(proxy, False, self.default_retry_policy)
        for key, version in held.items():
            if key not in ledger.in_flight:
                ledger.acknowledged[key] = version
            if ledger.assignments:
                ledger.mark_pending(key, ledger.released_revision)
        self.pending_proxies.add(proxy)

    def subscribe(self, proxy: int, keys: Iterable[Key], anew: bool) -> None:
        """A proxy asks for these; `anew`: it wants them said again though it may hold them."""
        ledger = self.proxies[proxy]
        for key in keys:
            if key[0] == EJECTED and not ledger.assignments and not anew:
                continue  # what was withdrawn before it came is told with its tables, as it is counted there
            if anew and key not in ledger.in_flight:
                ledger.acknowledged.pop(key, None)
                ledger.must_resend.add(key)
            ledger.mark_pending(key, ledger.released_revision)
        self.pending_proxies.add(proxy)

    # orders

    def begin(self) -> None:
        self.revision += 1
        self.update_lines, self.update_keys, self.ack_serial = {}, {}, None

    def set_address(self, endpoint: int, host: str, port: int) -> None:
        """Where an endpoint is reached; a change of it changes every line that names it."""
        if self.addresses.get(endpoint) == (host, port):
            return
        moved = endpoint in self.addresses
        self.addresses[endpoint] = (host, port)
        if moved:
            for number, table in self.tables.items():
                if endpoint in table.weights:
                    self.mark_all_pending((WEIGHT, number, endpoint), table.proxies, 0.0)
            if endpoint in self.ejected:
                self.mark_all_pending((EJECTED, endpoint), self.proxies, 0.0)

    def set_weight(self, table: int, endpoint: int, weight: float) -> None:
        record = self.tables.setdefault(table, Table())
        if weight > 0:
            record.weights[endpoint] = weight
        else:
            record.weights.pop(endpoint, None)
        self.mark_all_pending((WEIGHT, table, endpoint), record.proxies, 1.0)

    def set_ejected(self, endpoint: int, out: bool, status: str) -> None:
        if out:
            self.ejected[endpoint] = status
        else:
            self.ejected.pop(endpoint, None)
        self.mark_all_pending((EJECTED, endpoint), self.proxies, 1.0)

    def set_admission(self, table: int, classes: Iterable[int], allowed: float, tries: int) -> None:
        record = self.tables.setdefault(table, Table())
        for place in classes:
            record.admission[place] = (allowed, tries)
        self.shared_resources.pop((ADMISSION, table), None)
        for proxy in record.proxies:
            self.mark_pending(proxy, (ROUTES,), 1.0)
            if self.admission == "share":
                self.mark_pending(proxy, (ADMISSION, table), 0.0)

    def assign_table(self, proxy: int, table: int, classes: Iterable[int]) -> None:
        ledger = self.proxies.get(proxy)
        if ledger is None:
            return  # it has left since
        record = self.tables.setdefault(table, Table())
        places = list(classes)
        first = not ledger.assignments
        before = set(ledger.assignments.values())
        ledger.assignments.update(dict.fromkeys(places, table))
        after = set(ledger.assignments.values())
        for gone in before - after:
            self.tables[gone].proxies.discard(proxy)
            self.mark_pending(proxy, (CLUSTER, gone), 0.0)
        record.proxies.add(proxy)
        held_out = sum(endpoint in self.ejected for endpoint in record.weights)
        self.mark_pending(proxy, (CLUSTER, table), 1.0 + len(places) + len(record.weights) + held_out)
        self.mark_pending(proxy, (ADMISSION, table), 0.0)
        for endpoint in record.weights:
            self.mark_pending(proxy, (WEIGHT, table, endpoint), 0.0)
        self.mark_pending(proxy, (ROUTES,), 0.0)
        if first:
            self.mark_pending(proxy, (LISTENER,), 0.0)
            for endpoint in self.ejected:
                self.mark_pending(proxy, (EJECTED, endpoint), 0.0)
            for key in list(ledger.acknowledged):
                self.mark_pending(proxy, key, 0.0)

    def request_ack(self, serial: int) -> None:
        self.ack_serial = serial

    def commit(self) -> list[ProxyUpdate]:
        """The pushes of this order, in the sequence in which proxies were first concerned."""
        pushes = []
        for proxy, lines in self.update_lines.items():
            ledger = self.proxies.get(proxy)
            if ledger is None:
                continue
            if not lines:
                lines = 1.0  # an address moved: it is sent as a line, though no order counted it
            extra = self.lines_per_message
            if self.ack_serial is not None:
                extra += 1.0
                ledger.awaited_acks.append((self.revision, self.ack_serial, self.update_keys[proxy]))
            pushes.append(ProxyUpdate(proxy, self.revision, lines + extra))
        self.update_lines, self.update_keys = {}, {}
        return pushes

    def mark_all_pending(self, key: Key, proxies: Iterable[int], lines: float) -> None:
        self.shared_resources.pop(key, None)
        for proxy in proxies:
            self.mark_pending(proxy, key, lines)

    def mark_pending(self, proxy: int, key: Key, lines: float) -> None:
        self.proxies[proxy].mark_pending(key, self.revision)
        self.update_lines[proxy] = self.update_lines.get(proxy, 0.0) + lines
        self.update_keys.setdefault(proxy, set()).add(key)

    # what a front carries

    def release(self, proxy: int, number: int) -> None:
        """A push has left the channel."""
        ledger = self.proxies.get(proxy)
        if ledger and number > ledger.released_revision:
            ledger.released_revision = number
            self.pending_proxies.add(proxy)
            self.ack_candidates.add(proxy)

    def changes_to_send(
        self, proxy: int, now_ms: float, wants: Callable[[Key], bool], together: bool = False
    ) -> list[Change]:
        """What a front should send this proxy now; `wants` tells what it has asked for."""
        ledger = self.proxies[proxy]
        self.ack_candidates.add(proxy)
        found = ledger.changes_to_send(now_ms, wants, lambda key: self.desired_resource(ledger, key), together)
        if self.warming_up and found:
            found = self.without_saturating(ledger, found, now_ms)
        if (
            self.retry_policies.is_unknown(proxy)
            and ledger.assignments
            and (ROUTES,) in ledger.acknowledged
            and (ROUTES,) not in ledger.pending
        ):
            routes = self.desired_routes(ledger)
            if routes and routes.version == ledger.acknowledged[(ROUTES,)]:
                self.retry_policies.record_reported(proxy, retry_policies_of(routes), now_ms)
        return found

    def without_saturating(self, ledger: ProxyState, changes: list[Change], now_ms: float) -> list[Change]:
        """Changes less those that would send more to a cold endpoint that old lines push enough already.

        Guards against a proxy that never applied a death: by its old line it sends a whole part to the endpoint when
        that is back and cold, and all the others would send theirs beside it.
        """
        kept = []
        for change in changes:
            endpoint = warming_endpoint_that_gains(change, ledger, self.warming_up)
            if endpoint is None or not self.is_saturated(endpoint, now_ms):
                kept.append(change)
            else:
                ledger.warm_up_retry_ms = now_ms + RECHECK_INTERVAL_MS
        return kept

    def is_saturated(self, endpoint: int, now_ms: float) -> bool:
        until, full = self.saturation_checks.get(endpoint, (0.0, False))
        if now_ms < until:
            return full
        full = False
        for number, table in self.tables.items():
            wanted = self.shared_resource((WEIGHT, number, endpoint)) if endpoint in table.weights else None
            if wanted and table.proxies:
                users = (self.proxies[proxy] for proxy in table.proxies)
                usual = sum(table.weights.values()) / len(table.weights)
                full |= is_saturated_by_outdated_weights(users, (WEIGHT, number, endpoint), wanted, usual)
        self.saturation_checks[endpoint] = (now_ms + RECHECK_INTERVAL_MS, full)
        return full

    def record_sent(self, proxy: int, nonce: str, changes: list[Change], now_ms: float, lane: str = "") -> None:
        """These changes are on their way to a proxy."""
        ledger = self.proxies[proxy]
        ledger.record_sent(nonce, changes, now_ms, lane)
        if changes:
            ledger.message_quota.count(ledger.released_revision, now_ms)
        for key, want in changes:
            if key[0] == ROUTES and want:
                self.retry_policies.record_sent(proxy, nonce, retry_policies_of(want))

    def record_ack(self, proxy: int, nonce: str, now_ms: float = 0.0) -> list[Change]:
        """What a proxy holds by this word; one on what is not under way says nothing."""
        self.pending_proxies.add(proxy)
        self.ack_candidates.add(proxy)
        ledger = self.proxies[proxy]
        found = ledger.record_ack(nonce, now_ms)
        if found:
            self.retry_policies.record_ack(proxy, nonce, now_ms)
            if ledger.ack_latency.last_line_ms is not None:
                self.line_cost.add(ledger.ack_latency.last_line_ms)
                ledger.ack_latency.last_line_ms = None
        return found

    def completed_acks(self) -> list[int]:
        """The receipts that proxies have completed since the last call, one for each proxy that did."""
        done: list[int] = []
        for proxy in sorted(self.ack_candidates):
            if ledger := self.proxies.get(proxy):
                done += ledger.completed_acks()
        self.ack_candidates.clear()
        return done

    def record_nack(self, proxy: int, nonce: str, reason: str, now_ms: float, whole: bool = False) -> Nack | None:
        self.pending_proxies.add(proxy)
        self.retry_policies.record_nack(proxy, nonce)
        return self.proxies[proxy].record_nack(nonce, reason, now_ms, whole)

    def desired_keys(self, proxy: int) -> list[Key]:
        """All keys that a proxy should hold now, but for what it holds unbound."""
        ledger = self.proxies[proxy]
        keys: list[Key] = [(LISTENER,)] + [(EJECTED, endpoint) for endpoint in self.ejected]
        for number in sorted(set(ledger.assignments.values())):
            keys += [(CLUSTER, number), (ADMISSION, number)]
            keys += [(WEIGHT, number, endpoint) for endpoint in self.tables[number].weights]
        return keys + [(ROUTES,)] if ledger.assignments else keys

    def desired_resource(self, ledger: ProxyState, key: Key) -> Resource | None:
        """What a proxy should hold under a key; unbound, it keeps what it has."""
        kind = key[0]
        if kind == ROUTES:
            return self.desired_routes(ledger)
        if kind == LISTENER:
            return self.shared_resource(key)
        if kind == EJECTED:
            return self.shared_resource(key)
        if not ledger.assignments:
            version = ledger.acknowledged.get(key)
            return Resource(version, ()) if version is not None else None
        if kind == FOREIGN or key[1] not in ledger.assignments.values():
            return None
        return self.shared_resource(key)

    def shared_resource(self, key: Key) -> Resource | None:
        """The content of a key that is the same for all who should hold it."""
        made = self.shared_resources.get(key)
        if made is None:
            what = self.shared_content(key)
            if what is None:
                return None
            made = self.shared_resources[key] = make_resource(key, what)
        return made

    def shared_content(self, key: Key) -> tuple | None:
        kind = key[0]
        if kind == WEIGHT:
            weight = self.tables[key[1]].weights.get(key[2])
            return (*self.addresses[key[2]], weight) if weight and key[2] in self.addresses else None
        if kind == EJECTED:
            status = self.ejected.get(key[1])
            return (*self.addresses[key[1]], status) if status and key[1] in self.addresses else None
        if kind == ADMISSION:
            if self.admission != "share":
                return ()
            return tuple((p, round(a, 4)) for p, (a, _) in sorted(self.tables[key[1]].admission.items()))
        return ()

    def desired_routes(self, ledger: ProxyState) -> Resource | None:
        if not ledger.assignments:
            version = ledger.acknowledged.get((ROUTES,))
            return Resource(version, ()) if version is not None else None
        rows = []
        for place, table in sorted(ledger.assignments.items()):
            allowed, tries = self.tables[table].admission.get(place, (None, self.default_retry_policy))
            rate = self.admission == "rate" and allowed is not None and allowed < OPEN_RATE
            rows.append((place, table, round(allowed, 4) if rate and allowed is not None else None, tries))
        return make_resource((ROUTES,), tuple(rows))


def retry_policies_of(routes: Resource) -> dict[int, int]:
    """The way of trying again of each class, of routes of ours."""
    return {place: tries for place, _, _, tries in routes.content}
