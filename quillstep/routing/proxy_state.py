"""One proxy's side: what was ordered, what is under way, what it holds by its own word, what it refused.

Free of I/O and clocks: times come in, milliseconds.  Nothing counts as held that was not acknowledged.
"""

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from quillstep.routing.ack_latency import IN_TIME, LOST, AckDelay, AckLatency
from quillstep.routing.message_quota import EJECTION_RESERVE, MessageQuota
from quillstep.routing.resources import ADMISSION, CLUSTER, EJECTED, LISTENER, ROUTES, WEIGHT, Key, Resource, send_rank

NACK_BACKOFF_MS = 100.0  # after a refusal, doubled with each in a row
MAX_NACK_BACKOFF_FACTOR = 64.0  # times that
# What is tried again though nothing about it has changed, and the first back-off in times of BACK_OFF_MS: an endpoint
# to keep out, for drains must be kept; and what all lines wait for.  Found by exploring all states: a proxy that
# refused its table's cluster once was sent nothing of that table ever again, for a cluster's content never changes.
NACK_BACKOFF_FACTORS = {EJECTED: 1.0, LISTENER: 8.0, CLUSTER: 8.0, ADMISSION: 8.0, ROUTES: 8.0}
MAX_AWAITED_ACKS = 32  # that one proxy may owe; serials come round again


class Change(NamedTuple):
    """A content to hold from now on; None: to hold no more."""

    key: Key
    resource: Resource | None

    @property
    def is_urgent(self) -> bool:
        """Whether it waits for nobody: an endpoint to keep out."""
        return self.key[0] == EJECTED and self.resource is not None


class Nack(NamedTuple):
    """What a proxy refused and why; `alone` if it was the only change, so that it is set apart: lines until they
    change, all else is tried again after a back-off."""

    changes: list[Change]
    reason: str
    is_isolated: bool


@dataclass(slots=True)
class InFlightUpdate:
    """Changes sent in one piece that wait for their acknowledgement."""

    changes: list[Change]
    revision: int  # the newest order in it
    sent_ms: float
    type_url: str = ""  # words on what goes in one lane come in sequence; empty: in none
    probes: int = 0  # questions that were sent after it


@dataclass(slots=True)
class ProxyState:
    """The record of one joined proxy.  `number` always means the number of an order, rising."""

    proxy: int
    zone: str
    ack_latency: AckLatency = field(default_factory=AckLatency)
    message_quota: MessageQuota = field(default_factory=MessageQuota)
    acknowledged: dict[Key, str] = field(default_factory=dict)  # versions, by the proxy's own word
    pending: dict[Key, int] = field(default_factory=dict)  # what may differ, and since which order
    must_resend: set[Key] = field(default_factory=set)  # must be answered though nothing differs
    in_flight_updates: dict[str, InFlightUpdate] = field(default_factory=dict)  # by nonce
    in_flight: dict[Key, tuple[str | None, str, int]] = field(default_factory=dict)  # newest under way
    nacked: dict[Key, str | None] = field(default_factory=dict)  # versions that must not be repeated
    nack_retries_ms: dict[Key, float] = field(default_factory=dict)  # what was refused, and when to try it again
    nack_counts: dict[Key, int] = field(default_factory=dict)  # how often each has been refused
    split_updates: deque[list[Key]] = field(default_factory=deque)  # parts of a refused piece, tried one by one
    released_revision: int = 0  # orders up to this one have left the channel
    assignments: dict[int, int] = field(default_factory=dict)  # class to table
    routed_tables: frozenset[int] = frozenset()  # tables that the routes it holds name, as far as we know
    awaited_acks: deque[tuple[int, int, set[Key]]] = field(  # receipts due: number, serial, keys
        default_factory=lambda: deque(maxlen=MAX_AWAITED_ACKS)
    )
    consecutive_nacks: int = 0  # in a row
    split_retry_ms: float = 0.0
    unreported_delays: list[AckDelay] = field(default_factory=list)  # on responses, not told yet
    warm_up_retry_ms: float = 0.0  # until then it waits with more for a cold endpoint
    quota_retry_ms: float = 0.0  # until then it gets no more messages, or drains alone
    reported_statuses: dict[str, str] = field(default_factory=dict)  # verdict by nonce, of what is in flight

    def mark_pending(self, key: Key, number: int) -> None:
        """This key may differ since that order; an older mark stays, so that nothing waits twice."""
        if key not in self.pending:
            self.pending[key] = number

    def newest_sent_version(self, key: Key) -> str | None:
        under_way = self.in_flight.get(key)
        return under_way[0] if under_way else self.acknowledged.get(key)

    def must_send(self, key: Key, want: Resource | None) -> bool:
        version = want.version if want else None
        if key in self.nacked:
            if self.nacked[key] == version:
                return False  # refused: not repeated unchanged
            # Something else is wanted since; when the same is wanted again, that is a new order.  Found in a
            # played day: an endpoint's second withdrawal looked like the refused first one and never left.
            del self.nacked[key]
        return self.newest_sent_version(key) != version or (key in self.must_resend and key not in self.in_flight)

    def changes_to_send(
        self,
        now_ms: float,
        wants: Callable[[Key], bool],
        desired: Callable[[Key], Resource | None],
        together: bool = False,
    ) -> list[Change]:
        """What should be sent now of the keys the proxy has asked for, in the sequence to send it.

        Keys that turn out not to differ are settled; keys that can't go yet stay marked.  `together`: the front
        hands all of it over as one set that is applied as a whole, so that nothing has to wait for anything.
        """
        # A drain must be kept whatever was refused a moment ago.  Found in a played day: a proxy that refused all for a
        # second refused a withdrawal, was never told again, and went on trying the endpoint.
        for key in [key for key, due_ms in self.nack_retries_ms.items() if due_ms <= now_ms]:
            del self.nack_retries_ms[key]
            if self.nacked.pop(key, None) is not None:
                self.mark_pending(key, self.released_revision)
        room = self.message_quota.remaining(self.released_revision, now_ms)
        if room <= EJECTION_RESERVE:
            self.quota_retry_ms = self.message_quota.next_expiry_ms()
        if not room:
            return []
        # Found by exploring all states: where no part differed any more, what else was due waited for the next order.
        if (parted := self.next_split_update(now_ms, wants, desired)) or self.split_updates:
            return parted
        found: list[Change] = []
        settled: list[Key] = []
        for key, number in self.pending.items():
            if (
                number > self.released_revision
                or not wants(key)
                or not (self.assignments or key[0] in (EJECTED, LISTENER))
            ):
                continue
            want = desired(key)
            if self.must_send(key, want):
                change = Change(key, want)
                if room > EJECTION_RESERVE or change.is_urgent:
                    found.append(change)
            else:
                settled.append(key)  # it holds this, or it is under way, or it was refused
        for key in settled:
            del self.pending[key]
        if not together:
            found = [change for change in found if not self.must_wait(change, wants)]
        found.sort(key=lambda change: send_rank(change.key, change.resource is None))
        return found

    def next_split_update(
        self,
        now_ms: float,
        wants: Callable[[Key], bool],
        desired: Callable[[Key], Resource | None],
    ) -> list[Change]:
        """The next part of what was refused as a whole; endpoints to keep out don't wait for the back-off."""
        while self.split_updates:
            keys = self.split_updates[0]
            urgent = all(key[0] == EJECTED for key in keys)
            if now_ms < self.split_retry_ms and not urgent:
                return []
            self.split_updates.popleft()
            found = [Change(key, desired(key)) for key in keys if wants(key)]
            found = [change for change in found if self.must_send(*change)]
            if found:
                return found
        return []

    def must_wait(self, change: Change, wants: Callable[[Key], bool]) -> bool:
        """Routes wait until the tables they name are held whole; a table goes after the routes to it.

        Guards against routes that name a table which isn't there, and against a proxy left bare between two
        messages.  Levels alone, on tables that the proxy's routes name already, wait for nothing.  Found in a
        played day: what the routes of a proxy from another pilot name is not known, and its lines were taken
        away before its new routes came.
        """
        key, want = change
        if key[0] == ROUTES and want:
            tables = {row[1] for row in want.content}
            number = self.pending.get(key, 0)
            return any(self.lacks_table_parts(table, number) for table in tables - self.routed_tables)
        if want is None and key[0] in (CLUSTER, ADMISSION, WEIGHT) and key[1] not in self.assignments.values():
            routes = (ROUTES,)
            moving = routes in self.pending or routes in self.in_flight or routes in self.nacked
            if key[0] == CLUSTER:
                return moving and wants(routes)
            # The table takes its lines with it; what is left then goes by itself.
            pool = (CLUSTER, key[1])
            return pool in self.acknowledged or pool in self.in_flight or (moving and wants(routes))
        return False

    def lacks_table_parts(self, table: int, number: int) -> bool:
        """Whether anything of a table, as it was ordered up to this number, is not yet held."""
        if (CLUSTER, table) not in self.acknowledged:
            return True
        parts = ((CLUSTER, table), (ADMISSION, table))
        if any(key in self.pending and key not in self.nacked for key in parts):
            return True
        if any(key in self.in_flight for key in parts):
            return True
        for key, since in self.pending.items():
            if key[0] == WEIGHT and key[1] == table and since <= number and key not in self.nacked:
                return True
        under_way = any(key[0] == WEIGHT and key[1] == table and s[2] <= number for key, s in self.in_flight.items())
        return under_way or not any(key[0] == WEIGHT and key[1] == table for key in self.acknowledged)

    def record_sent(self, nonce: str, changes: list[Change], now_ms: float, lane: str = "") -> None:
        """These changes are on their way under this nonce."""
        number = self.released_revision
        self.in_flight_updates[nonce] = InFlightUpdate(changes, number, now_ms, lane)
        for key, want in changes:
            self.in_flight[key] = (want.version if want else None, nonce, self.pending.pop(key, number))
            self.must_resend.discard(key)

    def record_ack(self, nonce: str, now_ms: float = 0.0) -> list[Change]:
        """The proxy holds what went under this nonce; an unknown or old nonce acknowledges nothing."""
        flight = self.end_in_flight(nonce, now_ms)
        if flight is None:
            return []
        for key, want in flight.changes:
            if want:
                self.acknowledged[key] = want.version
                if key[0] == ROUTES:
                    self.routed_tables = frozenset(row[1] for row in want.content)
            else:
                self.acknowledged.pop(key, None)
            self.nacked.pop(key, None)
            self.nack_counts.pop(key, None)
            if key in self.in_flight and self.in_flight[key][1] == nonce:
                del self.in_flight[key]
        self.consecutive_nacks = 0
        return flight.changes

    def record_nack(self, nonce: str, reason: str, now_ms: float, whole: bool = False) -> Nack | None:
        """The proxy stays with what it had; what was refused alone is set apart until its version changes.

        `whole`: the front can't send less than all, so that all of it is set apart.

        A piece of several changes is tried again in halves, never unchanged: one bad line must not keep
        a drain that came with it from a proxy for ever.
        """
        flight = self.end_in_flight(nonce, now_ms)
        if flight is None:
            return None
        keys = []
        alone = whole or len(flight.changes) == 1
        for key, want in flight.changes:
            if key in self.in_flight and self.in_flight[key][1] == nonce:
                del self.in_flight[key]
                keys.append(key)
                self.mark_pending(key, flight.revision)
                if alone:
                    self.nacked[key] = want.version if want else None
        if not alone and keys:
            self.split_updates.extend(parts(keys))
        self.split_retry_ms = now_ms + NACK_BACKOFF_MS * min(MAX_NACK_BACKOFF_FACTOR, 2.0**self.consecutive_nacks)
        if alone:
            for key in keys:
                if key[0] in NACK_BACKOFF_FACTORS and self.nacked[key]:
                    times = self.nack_counts[key] = self.nack_counts.get(key, 0) + 1
                    back_off = NACK_BACKOFF_FACTORS[key[0]] * 2.0 ** (times - 1)
                    self.nack_retries_ms[key] = now_ms + NACK_BACKOFF_MS * min(MAX_NACK_BACKOFF_FACTOR, back_off)
        self.consecutive_nacks += 1
        return Nack(flight.changes, reason, alone)

    def end_in_flight(self, nonce: str, now_ms: float) -> InFlightUpdate | None:
        """A word on a response: what was sent before it in its lane and has none is lost, and is sent again.

        Found by a played day: a proxy that dropped one response was told no more of what it held until its stream was
        ended for silence, eight seconds later; a drain was in it.
        """
        flight = self.in_flight_updates.get(nonce)
        if flight is None:
            return None
        self.ack_latency.record_ack(len(flight.changes), flight.sent_ms, now_ms)
        earlier = []
        for other, held in self.in_flight_updates.items():
            if other == nonce:
                break
            if flight.type_url and held.type_url == flight.type_url:
                earlier.append(other)
        for other in earlier:
            waited = now_ms - self.in_flight_updates[other].sent_ms
            self.unreported_delays.append(AckDelay(other, LOST, waited, "a later word came, this one did not"))
            self.cancel_in_flight(other)
        self.reported_statuses.pop(nonce, None)
        return self.in_flight_updates.pop(nonce)

    def has_late_ack(self, now_ms: float) -> bool:
        """Whether a response has no word for longer than it may; those behind it wait for it."""
        nonce = next(iter(self.in_flight_updates), None)
        return (
            nonce is not None
            and self.ack_latency.ack_delay(nonce, *self.in_flight_size(nonce), now_ms, None).status != IN_TIME
        )

    def probe_type_url(self, now_ms: float) -> str | None:
        """The lane in which to ask whether a late response was lost, where nothing else under way there will tell.

        A question is a response without changes.  Its word comes after that on the late one, or proves that there will
        be none; found by played days: where nothing more was ordered, a lost drain waited until the stream was ended.
        Found by exploring all states: a question is lost as well as anything, so it is asked again, ever more seldom.
        """
        if not self.has_late_ack(now_ms):
            return None
        oldest = next(iter(self.in_flight_updates.values()))
        newest = [flight for flight in self.in_flight_updates.values() if flight.type_url == oldest.type_url][-1]
        waits_ms = self.ack_latency.late_ms(len(newest.changes)) * 2.0**oldest.probes
        if not oldest.type_url or now_ms - newest.sent_ms <= waits_ms:
            return None
        oldest.probes += 1
        return oldest.type_url

    def in_flight_size(self, nonce: str) -> tuple[int, float]:
        flight = self.in_flight_updates[nonce]
        return len(flight.changes), flight.sent_ms

    def new_ack_delays(self, now_ms: float, heard_ms: float | None) -> list[AckDelay]:
        """What is to be told of responses without a word, each once for each verdict; see `AckLatency.judge`."""
        found, self.unreported_delays = self.unreported_delays, []
        nonce = next(iter(self.in_flight_updates), None)
        if nonce is not None:
            verdict = self.ack_latency.ack_delay(nonce, *self.in_flight_size(nonce), now_ms, heard_ms)
            if verdict.status != self.reported_statuses.get(nonce, IN_TIME):
                self.reported_statuses[nonce] = verdict.status
                found.append(verdict)
        return found

    def limit_update(self, changes: list[Change], now_ms: float) -> list[Change]:
        """As much of what may be sent now as the proxy takes at once.

        Guards against exchanges that wait while a proxy applies a whole table.  Endpoints to keep out go at once;
        what comes up new goes before what it replaces, so that no piece leaves a proxy bare.
        """
        most = self.ack_latency.max_lines()
        if most is None or (len(changes) <= most and now_ms >= self.ack_latency.rest_until_ms):
            return changes
        if now_ms < self.ack_latency.rest_until_ms or any(
            flight.type_url for flight in self.in_flight_updates.values()
        ):
            return [change for change in changes if change.is_urgent]
        return changes[:most]

    def next_retry_ms(self, now_ms: float) -> float | None:
        """When something that was refused or waits is to be tried again; None: nothing is."""
        waits = [*self.nack_retries_ms.values()]
        if self.split_updates:
            waits.append(self.split_retry_ms)
        waits += [
            at
            for at in (self.ack_latency.rest_until_ms, self.warm_up_retry_ms, self.quota_retry_ms)
            if at > now_ms and self.pending
        ]
        return min(waits, default=None)

    def completed_acks(self) -> list[int]:
        """The receipts that are complete by now, oldest first; each is given out once.

        An order is held when it has left the channel and none of its keys is still to be sent, under way or
        refused: the newest content of a key has all older ones in it.
        """
        done: list[int] = []
        left: deque[tuple[int, int, set[Key]]] = deque(maxlen=MAX_AWAITED_ACKS)
        for number, serial, due in self.awaited_acks:
            if number <= self.released_revision:
                due = {key for key in due if key in self.pending or key in self.in_flight or key in self.nacked}
            if number <= self.released_revision and not due:
                done.append(serial)
            else:
                left.append((number, serial, due))  # a refused key must not hold up what came after
        self.awaited_acks = left
        return done

    def cancel_in_flight(self, nonce: str) -> None:
        """What went under this nonce never left: it is to be sent as before."""
        flight = self.in_flight_updates.pop(nonce, None)
        self.reported_statuses.pop(nonce, None)
        for key, _ in flight.changes if flight else ():
            if key in self.in_flight and self.in_flight[key][1] == nonce:
                self.mark_pending(key, self.in_flight.pop(key)[2])

    def merge_in_flight(self, nonces: Iterable[str], into: str) -> None:
        """Several pieces become one, the newest: the proxy met them as one."""
        merged: dict[Key, Change] = {}
        newest = self.in_flight_updates[into]
        for nonce in nonces:
            for change in self.in_flight_updates.pop(nonce).changes:
                if self.in_flight.get(change.key, ("", "", 0))[1] == nonce:
                    version, _, number = self.in_flight[change.key]
                    self.in_flight[change.key] = (version, into, number)
                    merged[change.key] = change
        merged.update({change.key: change for change in newest.changes})
        newest.changes = list(merged.values())

    def overdue_ejections(self, now_ms: float, most_ms: float) -> list[tuple[str, int]]:
        """Nonce and endpoint of each withdrawal that has waited longer than this for its acknowledgement."""
        return [
            (nonce, change.key[1])
            for nonce, flight in self.in_flight_updates.items()
            if now_ms - flight.sent_ms > most_ms
            for change in flight.changes
            if change.key[0] == EJECTED and change.resource
        ]

    def unsubscribe(self, keys: Iterable[Key]) -> None:
        """The proxy no longer asks for these; what it holds of them is not known."""
        for key in keys:
            self.acknowledged.pop(key, None)
            self.in_flight.pop(key, None)
            self.must_resend.discard(key)

    def oldest_sent_ms(self) -> float | None:
        return min((flight.sent_ms for flight in self.in_flight_updates.values()), default=None)


def parts(keys: list[Key]) -> list[list[Key]]:
    """A refused piece in smaller pieces: endpoints to keep out apart from the rest, else halves."""
    out = [key for key in keys if key[0] == EJECTED]
    rest = [key for key in keys if key[0] != EJECTED]
    if out and rest:
        return [out, rest]
    if len(keys) < 2:
        return [keys]
    return [keys[: len(keys) // 2], keys[len(keys) // 2 :]]
