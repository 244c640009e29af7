"""One proxy's side: what was ordered, what is under way, what it holds by its own word, what it refused.

Free of I/O and clocks: times come in, milliseconds.  Nothing counts as held that was not acknowledged.
"""

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from quillstep.routing.ack_latency import LOST, ON_ITS_WAY, AckLatency, Verdict
from quillstep.routing.message_quota import KEPT_FREE, MessageQuota
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
    number: int  # the newest order in it
    sent_ms: float
    lane: str = ""  # words on what goes in one lane come in sequence; empty: in none
    asked: int = 0  # questions that were sent after it


@dataclass(slots=True)
class ProxyState:
    """The record of one joined proxy.  `number` always means the number of an order, rising."""

    proxy: int
    zone: str
    pace: AckLatency = field(default_factory=AckLatency)
    ration: MessageQuota = field(default_factory=MessageQuota)
    held: dict[Key, str] = field(default_factory=dict)  # versions, by the proxy's own word
    dirty: dict[Key, int] = field(default_factory=dict)  # what may differ, and since which order
    asked: set[Key] = field(default_factory=set)  # must be answered though nothing differs
    flights: dict[str, InFlightUpdate] = field(default_factory=dict)  # by nonce
    sent: dict[Key, tuple[str | None, str, int]] = field(default_factory=dict)  # newest under way
    refused: dict[Key, str | None] = field(default_factory=dict)  # versions that must not be repeated
    again: dict[Key, float] = field(default_factory=dict)  # what was refused, and when to try it again
    insisted: dict[Key, int] = field(default_factory=dict)  # how often each has been refused
    apart: deque[list[Key]] = field(default_factory=deque)  # parts of a refused piece, tried one by one
    released: int = 0  # orders up to this one have left the channel
    bound: dict[int, int] = field(default_factory=dict)  # class to table
    routed: frozenset[int] = frozenset()  # tables that the routes it holds name, as far as we know
    waiting: deque[tuple[int, int, set[Key]]] = field(  # receipts due: number, serial, keys
        default_factory=lambda: deque(maxlen=MAX_AWAITED_ACKS)
    )
    refusals: int = 0  # in a row
    not_before_ms: float = 0.0
    verdicts: list[Verdict] = field(default_factory=list)  # on responses, not told yet
    grows_ms: float = 0.0  # until then it waits with more for a cold endpoint
    rationed_ms: float = 0.0  # until then it gets no more messages, or drains alone
    judged: dict[str, str] = field(default_factory=dict)  # verdict by nonce, of what is in flight

    def mark(self, key: Key, number: int) -> None:
        """This key may differ since that order; an older mark stays, so that nothing waits twice."""
        if key not in self.dirty:
            self.dirty[key] = number

    def have(self, key: Key) -> str | None:
        under_way = self.sent.get(key)
        return under_way[0] if under_way else self.held.get(key)

    def differs(self, key: Key, want: Resource | None) -> bool:
        version = want.version if want else None
        if key in self.refused:
            if self.refused[key] == version:
                return False  # refused: not repeated unchanged
            # Something else is wanted since; when the same is wanted again, that is a new order.  Found in a
            # played day: an endpoint's second withdrawal looked like the refused first one and never left.
            del self.refused[key]
        return self.have(key) != version or (key in self.asked and key not in self.sent)

    def take(
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
        for key in [key for key, due_ms in self.again.items() if due_ms <= now_ms]:
            del self.again[key]
            if self.refused.pop(key, None) is not None:
                self.mark(key, self.released)
        room = self.ration.room(self.released, now_ms)
        if room <= KEPT_FREE:
            self.rationed_ms = self.ration.next_ms()
        if not room:
            return []
        # Found by exploring all states: where no part differed any more, what else was due waited for the next order.
        if (parted := self.take_apart(now_ms, wants, desired)) or self.apart:
            return parted
        found: list[Change] = []
        settled: list[Key] = []
        for key, number in self.dirty.items():
            if number > self.released or not wants(key) or not (self.bound or key[0] in (EJECTED, LISTENER)):
                continue
            want = desired(key)
            if self.differs(key, want):
                change = Change(key, want)
                if room > KEPT_FREE or change.is_urgent:
                    found.append(change)
            else:
                settled.append(key)  # it holds this, or it is under way, or it was refused
        for key in settled:
            del self.dirty[key]
        if not together:
            found = [change for change in found if not self.too_early(change, wants)]
        found.sort(key=lambda change: send_rank(change.key, change.resource is None))
        return found

    def take_apart(
        self,
        now_ms: float,
        wants: Callable[[Key], bool],
        desired: Callable[[Key], Resource | None],
    ) -> list[Change]:
        """The next part of what was refused as a whole; endpoints to keep out don't wait for the back-off."""
        while self.apart:
            keys = self.apart[0]
            urgent = all(key[0] == EJECTED for key in keys)
            if now_ms < self.not_before_ms and not urgent:
                return []
            self.apart.popleft()
            found = [Change(key, desired(key)) for key in keys if wants(key)]
            found = [change for change in found if self.differs(*change)]
            if found:
                return found
        return []

    def too_early(self, change: Change, wants: Callable[[Key], bool]) -> bool:
        """Routes wait until the tables they name are held whole; a table goes after the routes to it.

        Guards against routes that name a table which isn't there, and against a proxy left bare between two
        messages.  Levels alone, on tables that the proxy's routes name already, wait for nothing.  Found in a
        played day: what the routes of a proxy from another pilot name is not known, and its lines were taken
        away before its new routes came.
        """
        key, want = change
        if key[0] == ROUTES and want:
            tables = {row[1] for row in want.content}
            number = self.dirty.get(key, 0)
            return any(self.lacks(table, number) for table in tables - self.routed)
        if want is None and key[0] in (CLUSTER, ADMISSION, WEIGHT) and key[1] not in self.bound.values():
            routes = (ROUTES,)
            moving = routes in self.dirty or routes in self.sent or routes in self.refused
            if key[0] == CLUSTER:
                return moving and wants(routes)
            # The table takes its lines with it; what is left then goes by itself.
            pool = (CLUSTER, key[1])
            return pool in self.held or pool in self.sent or (moving and wants(routes))
        return False

    def lacks(self, table: int, number: int) -> bool:
        """Whether anything of a table, as it was ordered up to this number, is not yet held."""
        if (CLUSTER, table) not in self.held:
            return True
        parts = ((CLUSTER, table), (ADMISSION, table))
        if any(key in self.dirty and key not in self.refused for key in parts):
            return True
        if any(key in self.sent for key in parts):
            return True
        for key, since in self.dirty.items():
            if key[0] == WEIGHT and key[1] == table and since <= number and key not in self.refused:
                return True
        under_way = any(key[0] == WEIGHT and key[1] == table and s[2] <= number for key, s in self.sent.items())
        return under_way or not any(key[0] == WEIGHT and key[1] == table for key in self.held)

    def send(self, nonce: str, changes: list[Change], now_ms: float, lane: str = "") -> None:
        """These changes are on their way under this nonce."""
        number = self.released
        self.flights[nonce] = InFlightUpdate(changes, number, now_ms, lane)
        for key, want in changes:
            self.sent[key] = (want.version if want else None, nonce, self.dirty.pop(key, number))
            self.asked.discard(key)

    def acknowledge(self, nonce: str, now_ms: float = 0.0) -> list[Change]:
        """The proxy holds what went under this nonce; an unknown or old nonce acknowledges nothing."""
        flight = self.landed(nonce, now_ms)
        if flight is None:
            return []
        for key, want in flight.changes:
            if want:
                self.held[key] = want.version
                if key[0] == ROUTES:
                    self.routed = frozenset(row[1] for row in want.content)
            else:
                self.held.pop(key, None)
            self.refused.pop(key, None)
            self.insisted.pop(key, None)
            if key in self.sent and self.sent[key][1] == nonce:
                del self.sent[key]
        self.refusals = 0
        return flight.changes

    def refuse(self, nonce: str, reason: str, now_ms: float, whole: bool = False) -> Nack | None:
        """The proxy stays with what it had; what was refused alone is set apart until its version changes.

        `whole`: the front can't send less than all, so that all of it is set apart.

        A piece of several changes is tried again in halves, never unchanged: one bad line must not keep
        a drain that came with it from a proxy for ever.
        """
        flight = self.landed(nonce, now_ms)
        if flight is None:
            return None
        keys = []
        alone = whole or len(flight.changes) == 1
        for key, want in flight.changes:
            if key in self.sent and self.sent[key][1] == nonce:
                del self.sent[key]
                keys.append(key)
                self.mark(key, flight.number)
                if alone:
                    self.refused[key] = want.version if want else None
        if not alone and keys:
            self.apart.extend(parts(keys))
        self.not_before_ms = now_ms + NACK_BACKOFF_MS * min(MAX_NACK_BACKOFF_FACTOR, 2.0**self.refusals)
        if alone:
            for key in keys:
                if key[0] in NACK_BACKOFF_FACTORS and self.refused[key]:
                    times = self.insisted[key] = self.insisted.get(key, 0) + 1
                    back_off = NACK_BACKOFF_FACTORS[key[0]] * 2.0 ** (times - 1)
                    self.again[key] = now_ms + NACK_BACKOFF_MS * min(MAX_NACK_BACKOFF_FACTOR, back_off)
        self.refusals += 1
        return Nack(flight.changes, reason, alone)

    def landed(self, nonce: str, now_ms: float) -> InFlightUpdate | None:
        """A word on a response: what was sent before it in its lane and has none is lost, and is sent again.

        Found by a played day: a proxy that dropped one response was told no more of what it held until its stream was
        ended for silence, eight seconds later; a drain was in it.
        """
        flight = self.flights.get(nonce)
        if flight is None:
            return None
        self.pace.answered(len(flight.changes), flight.sent_ms, now_ms)
        earlier = []
        for other, held in self.flights.items():
            if other == nonce:
                break
            if flight.lane and held.lane == flight.lane:
                earlier.append(other)
        for other in earlier:
            waited = now_ms - self.flights[other].sent_ms
            self.verdicts.append(Verdict(other, LOST, waited, "a later word came, this one did not"))
            self.unsend(other)
        self.judged.pop(nonce, None)
        return self.flights.pop(nonce)

    def behind(self, now_ms: float) -> bool:
        """Whether a response has no word for longer than it may; those behind it wait for it."""
        nonce = next(iter(self.flights), None)
        return nonce is not None and self.pace.judge(nonce, *self.size(nonce), now_ms, None).kind != ON_ITS_WAY

    def question(self, now_ms: float) -> str | None:
        """The lane in which to ask whether a late response was lost, where nothing else under way there will tell.

        A question is a response without changes.  Its word comes after that on the late one, or proves that there will
        be none; found by played days: where nothing more was ordered, a lost drain waited until the stream was ended.
        Found by exploring all states: a question is lost as well as anything, so it is asked again, ever more seldom.
        """
        if not self.behind(now_ms):
            return None
        oldest = next(iter(self.flights.values()))
        newest = [flight for flight in self.flights.values() if flight.lane == oldest.lane][-1]
        waits_ms = self.pace.late_ms(len(newest.changes)) * 2.0**oldest.asked
        if not oldest.lane or now_ms - newest.sent_ms <= waits_ms:
            return None
        oldest.asked += 1
        return oldest.lane

    def size(self, nonce: str) -> tuple[int, float]:
        flight = self.flights[nonce]
        return len(flight.changes), flight.sent_ms

    def judge(self, now_ms: float, heard_ms: float | None) -> list[Verdict]:
        """What is to be told of responses without a word, each once for each verdict; see `AckLatency.judge`."""
        found, self.verdicts = self.verdicts, []
        nonce = next(iter(self.flights), None)
        if nonce is not None:
            verdict = self.pace.judge(nonce, *self.size(nonce), now_ms, heard_ms)
            if verdict.kind != self.judged.get(nonce, ON_ITS_WAY):
                self.judged[nonce] = verdict.kind
                found.append(verdict)
        return found

    def piece(self, changes: list[Change], now_ms: float) -> list[Change]:
        """As much of what may be sent now as the proxy takes at once.

        Guards against exchanges that wait while a proxy applies a whole table.  Endpoints to keep out go at once;
        what comes up new goes before what it replaces, so that no piece leaves a proxy bare.
        """
        most = self.pace.lines_most()
        if most is None or (len(changes) <= most and now_ms >= self.pace.next_ms):
            return changes
        if now_ms < self.pace.next_ms or any(flight.lane for flight in self.flights.values()):
            return [change for change in changes if change.is_urgent]
        return changes[:most]

    def look_ms(self, now_ms: float) -> float | None:
        """When something that was refused or waits is to be tried again; None: nothing is."""
        waits = [*self.again.values()]
        if self.apart:
            waits.append(self.not_before_ms)
        waits += [at for at in (self.pace.next_ms, self.grows_ms, self.rationed_ms) if at > now_ms and self.dirty]
        return min(waits, default=None)

    def receipts(self) -> list[int]:
        """The receipts that are complete by now, oldest first; each is given out once.

        An order is held when it has left the channel and none of its keys is still to be sent, under way or
        refused: the newest content of a key has all older ones in it.
        """
        done: list[int] = []
        left: deque[tuple[int, int, set[Key]]] = deque(maxlen=MAX_AWAITED_ACKS)
        for number, serial, due in self.waiting:
            if number <= self.released:
                due = {key for key in due if key in self.dirty or key in self.sent or key in self.refused}
            if number <= self.released and not due:
                done.append(serial)
            else:
                left.append((number, serial, due))  # a refused key must not hold up what came after
        self.waiting = left
        return done

    def unsend(self, nonce: str) -> None:
        """What went under this nonce never left: it is to be sent as before."""
        flight = self.flights.pop(nonce, None)
        self.judged.pop(nonce, None)
        for key, _ in flight.changes if flight else ():
            if key in self.sent and self.sent[key][1] == nonce:
                self.mark(key, self.sent.pop(key)[2])

    def merge(self, nonces: Iterable[str], into: str) -> None:
        """Several pieces become one, the newest: the proxy met them as one."""
        merged: dict[Key, Change] = {}
        newest = self.flights[into]
        for nonce in nonces:
            for change in self.flights.pop(nonce).changes:
                if self.sent.get(change.key, ("", "", 0))[1] == nonce:
                    version, _, number = self.sent[change.key]
                    self.sent[change.key] = (version, into, number)
                    merged[change.key] = change
        merged.update({change.key: change for change in newest.changes})
        newest.changes = list(merged.values())

    def overdue(self, now_ms: float, most_ms: float) -> list[tuple[str, int]]:
        """Nonce and endpoint of each withdrawal that has waited longer than this for its acknowledgement."""
        return [
            (nonce, change.key[1])
            for nonce, flight in self.flights.items()
            if now_ms - flight.sent_ms > most_ms
            for change in flight.changes
            if change.key[0] == EJECTED and change.resource
        ]

    def forget(self, keys: Iterable[Key]) -> None:
        """The proxy no longer asks for these; what it holds of them is not known."""
        for key in keys:
            self.held.pop(key, None)
            self.sent.pop(key, None)
            self.asked.discard(key)

    def oldest_flight_ms(self) -> float | None:
        return min((flight.sent_ms for flight in self.flights.values()), default=None)


def parts(keys: list[Key]) -> list[list[Key]]:
    """A refused piece in smaller pieces: endpoints to keep out apart from the rest, else halves."""
    out = [key for key in keys if key[0] == EJECTED]
    rest = [key for key in keys if key[0] != EJECTED]
    if out and rest:
        return [out, rest]
    if len(keys) < 2:
        return [keys]
    return [keys[: len(keys) // 2], keys[len(keys) // 2 :]]
