"""The decisions of quillstep: which endpoints the proxies use, in what parts, and what they let in.

Call: `Planner(facts, seed)` at each start, then `planner.run_interval(incoming, orders)` once for all that came in.
The interface (facts, incoming, orders) is in quillstep/interface.py; times are milliseconds, ids as given.

The design (docs/design.md): a Q for each endpoint learns from a load-derived payoff each turn; Q x listed
weight, normalised, is rounded into the slots of one calendar that all joined proxies share; changes are
gathered and sent as differences, drains and deaths first; a just-started endpoint's part is capped.
Beside it stand these mechanisms, six at most:
  1. health         an endpoint is shut out where the sums suggest it and probes confirm it
  2. last line      no table loses its last usable line; who may hold none gets a piece of the calendar
  3. levels         under overload less is let in, least credit per work first
  4. further tries  follow what a class allows, and there are fewer of them under overload
  5. order budget   lines and messages are counted; drains and joins go before ordinary changes
  6. starting over  every start begins clean, asks for the list and binds each proxy as it joins
"""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from random import Random

from quillstep.planner.messages import (
    ClassConfig,
    EndpointListUpdate,
    Observations,
    PlannerConfig,
    PlannerOutput,
    ProxyStreamEvent,
)

ALPHA, GAMMA = 0.15, 0.1  # the update's learning and discount rate
TURN_MS = 1000.0  # the design's turn, and the window over which changes are gathered
SLOTS = 10  # calendar slots for each listed endpoint
RESEND = 0.1  # a slot count is sent again after moving by more than this part of what was sent
SHARED, PIECES = 0, 1000  # the calendar's table, then one a zone for home-only classes; pieces of these
TURN, URGENT = 1, 2  # wake tokens
OPEN_RATE = 1e6  # a rate level that lets all in
SETTLE = 5  # turns until reports show what a proxy that came or went has changed
TARGET = 0.85  # the load on the fleet that levels aim at
IDLE = 0.7  # the load on the fleet below which levels need not hold
OPENS = 0.15  # the part of the offered work by which levels open each turn that the fleet is idle
SLOW = 0.5  # the mean time of a try, over the agreed time, from which a full fleet counts as late
QUICK = 0.35  # the same of an endpoint below which a lost answer counts as work done
KEEPS = 0.7  # what is kept of the smoothed arrivals after a turn
STALLS = 2.5  # agreed times that a proxy may stand still between two tries
CALM = 0.5  # the load on the fleet below which a further try follows any failure
COMES = 3  # times that a client is taken to come with an exchange that is refused each time
PACE = 0.5  # the part of its usual pace that the channel is trusted to keep
RECEIPTS = 64  # serials in use
MUST = -1e9  # the rank from which on a change is a drain, a death or a cold endpoint's fall
ORDINARY, JOINS, ALL = 0.4, 0.5, 0.93  # what ordinary changes, joins and all may fill of the channel's limit
GRACE = 0.2  # the part of the grace for drains that ordinary changes may take in the channel
FORGETS = 20  # turns after which what has left the list is taken out of tables and forgotten
OUT_MOST = 0.8  # the part of the listed endpoints that health may shut out


@dataclass(slots=True)
class Endpoint:
    """All that is known of one listed endpoint."""

    zone: str
    ready: bool
    listed: float
    started_ms: float
    q: float | None = None  # None until first heard
    load: float | None = None  # the newest figure since the last turn
    tries: float = 0  # since the last turn
    failed: float = 0
    good_ms: float = 0.0  # summed time of the good ones
    learnt_ms: float | None = None
    busy: float | None = None  # smoothed load
    silent: float = 0  # tries failed since the last good one
    bad_probes: int = 0  # in a row
    good_probes: int = 0
    out: bool = False
    sent: dict[int, int] = field(default_factory=dict)  # slots by table, as ordered
    withdrawn: bool = False  # kept out of all tables by order
    gone_ms: float | None = None  # when it was found to be listed no more


@dataclass(slots=True)
class Proxy:
    """A joined proxy: its zone, and what reaches it of each class, exchanges a second."""

    zone: str
    arrives: list[float]
    pieces: list[list[int]] = field(default_factory=list)  # the endpoints of its pieces of the calendar
    bound: bool = False  # on the calendar
    heard: bool = False  # its reports have come


@dataclass(slots=True)
class ClassLevel:
    """A row of the class table: what orders go by, and what was ordered last."""

    tries: int
    calm_tries: int
    priority_per_work: float
    level: float
    part: float = 1.0  # the part of what arrives that was let in of late
    sent: dict[int, tuple[float, int]] = field(default_factory=dict)  # level and tries by table


class Planner:
    """Decides for one pilot from a start to the next."""

    def __init__(self, facts: PlannerConfig, seed: int) -> None:
        self.facts = facts
        self.draw = Random(seed).random
        self.endpoints: dict[int, Endpoint] = {}
        self.proxies: dict[int, Proxy] = {}
        self.pieces: dict[int, list[int]] = {}  # what each table that holds a piece of the calendar names
        self.classes = [self.class_row(row) for row in facts.classes]
        self.gain = 1.0  # what must be let in to get what is allowed, over that
        self.fit = 1.0  # the part of the offered work that is let in
        self.open = 1.0  # the least of it while the fleet is idle
        self.pressure = self.strain = 0.0  # mean load of what is in use; above 1 where tries are late too
        # What each proxy of ours may send a unit of listed capacity until it is full, learnt while it is not.
        self.unit = 0.0
        self.measures = 0  # turns that it was learnt in; after a storm at the start it counts as learnt
        self.flow = 0.0  # tries a second that our proxies had answered, smoothed
        self.slowness = 0.0  # the mean time of a try over the agreed time, one without an answer as a whole
        self.turn_ms: float | None = None
        self.learnt_ms = self.counted_ms = 0.0
        # When a proxy went or came with another pilot's orders, when one came so; next wake; last push.
        self.moved_ms = self.joined_ms = self.wake_ms = self.pushed_ms = float("-inf")
        self.room = facts.max_queued_lines or float("inf")
        # Lines that leave within the grace for drains, and that receipts lag behind; no limit where none is told.
        self.grace = facts.drain_grace_ms * facts.channel_lines_per_s / 1000.0 or float("inf")
        self.lag = facts.channel_lines_per_s * facts.max_update_delay_ms / 1000.0 or float("inf")
        self.written = self.left = 0.0  # lines that went into the channel, and that are taken to have left it
        self.proven = 0.0  # the last of these that a receipt has told of, at `counted_ms`
        self.serial = 0
        self.receipts: dict[int, list[float]] = {}  # lines written before, and a message, by serial
        self.urgent = self.ask = False  # news that can't wait for the turn; the list must be asked for again

    def class_row(self, row: ClassConfig) -> ClassLevel:
        """After proof that a try never ran all may try again; after any failure where a repeat is safe."""
        # A keyed repeat must be dropped still after the wait, a stall of the proxy and the way of an order.
        held_ms = (
            self.facts.attempt_timeout_factor + STALLS
        ) * row.latency_objective_ms + self.facts.max_update_delay_ms
        shares_key = row.idempotency_scope == "all" or (row.idempotency_scope == "zone" and row.home_zone_only)
        keyed = row.semantics == "keyed" and shares_key and row.idempotency_window_ms >= held_ms
        calm_tries = 2 if row.semantics == "safe" or keyed else 1
        return ClassLevel(1, calm_tries, row.priority_weight / max(row.latency_objective_ms, 1.0), 1.0)

    def run_interval(self, incoming: Observations, orders: PlannerOutput) -> None:
        """Take in what came and write what follows from it."""
        if self.facts.slices:
            return  # sites with slices are not decided here
        now = incoming.now_ms
        if self.turn_ms is None:
            self.turn_ms = now + TURN_MS * self.draw()
            orders.set_timer(TURN, self.turn_ms)
            if self.facts.watches_on_request:
                orders.watch_endpoints()
            self.learnt_ms, self.moved_ms, self.urgent = now, now, True
        for update in incoming.endpoint_lists:
            self.take_list(update, now)
        for stream in incoming.proxy_streams:
            self.take_stream(stream, now)
        self.take_reports(incoming)
        due = now >= self.turn_ms
        if due:
            self.measure(now)
            self.learn(now)
            self.judge(now, orders)
        if due or self.urgent:
            self.set_levels(now, due)
        if due:
            if self.ask:
                orders.watch_endpoints()
            self.ask, self.turn_ms = False, now + TURN_MS
            orders.set_timer(TURN, self.turn_ms)
        self.push(now, due, orders)

    # what came in

    def take_list(self, update: EndpointListUpdate, now: float) -> None:
        if update.kind == "error":
            self.ask = True  # at the next turn, not at once: a call that failed may have found it full
            return
        if update.kind != "partial":
            named = {entry.endpoint for entry in update.entries}
            for endpoint, record in self.endpoints.items():
                if endpoint not in named and record.gone_ms is None:
                    self.urgent |= record.ready
                    record.ready, record.gone_ms = False, now
        for endpoint, zone, state, listed, started_ms in update.entries:
            known = self.endpoints.get(endpoint)
            if known is None or started_ms > known.started_ms:
                sent, withdrawn = (known.sent, known.withdrawn) if known else ({}, False)
                known = Endpoint(zone, bool(sent), listed, started_ms, sent=sent, withdrawn=withdrawn)
                self.endpoints[endpoint] = known
                self.urgent |= bool(sent) and not withdrawn
            ready = state == "in_service"
            self.urgent |= known.ready and not ready
            known.ready, known.listed = ready, listed
            known.gone_ms = now if state == "terminated" else None

    def take_stream(self, stream: ProxyStreamEvent, now: float) -> None:
        if self.proxies.pop(stream.proxy, None):
            self.moved_ms = now
        if stream.is_open:
            usual = stream.expected_requests_per_s / max(1, len(self.classes))
            self.proxies[stream.proxy] = Proxy(stream.zone, [usual] * len(self.classes))
            if not stream.is_fresh:
                self.joined_ms, self.moved_ms, self.urgent = now, now, True

    def take_reports(self, incoming: Observations) -> None:
        for stats in incoming.upstream_stats:
            if record := self.endpoints.get(stats.endpoint):
                record.tries += stats.attempts
                record.failed += stats.failures
                record.silent = record.silent + stats.failures if stats.failures >= stats.attempts else 0
                record.good_ms += stats.mean_success_ms * (stats.attempts - stats.failures)
                record.load = stats.load.get("util", record.load)
        for result in incoming.health_checks:
            if record := self.endpoints.get(result.endpoint):
                # Else a full endpoint that falls silent would keep its last, lower figure.
                record.load = result.load.get("util", record.load) if result.is_healthy else 1.0
                record.bad_probes = 0 if result.is_healthy else record.bad_probes + 1
                record.good_probes = record.good_probes + 1 if result.is_healthy else 0
        for serial in incoming.acks:
            # Messages leave in order: so many receipts, so many messages and all that was written before.
            answered = self.receipts.get(serial, [0.0, 0.0])
            answered[0] += answered[1]
            if answered[0] > self.proven:
                self.proven, self.counted_ms = min(self.written, answered[0]), incoming.now_ms
        for arrivals in incoming.downstream_stats:
            proxy, place = self.proxies.get(arrivals.proxy), arrivals.class_index
            if proxy and arrivals.window_ms > 0:
                step = 1.0 - KEEPS ** (arrivals.window_ms / TURN_MS)  # by its age
                proxy.heard = True
                proxy.arrives[place] += step * (arrivals.requests * 1000.0 / arrivals.window_ms - proxy.arrives[place])

    # the design

    def arrives(self) -> list[float]:
        """What reaches our proxies of each class, exchanges a second."""
        return [sum(p.arrives[place] for p in self.proxies.values()) for place in range(len(self.classes))]

    def first_arrivals(self) -> list[float]:
        """What arrives for the first time; levels that count what is refused and comes again open late."""
        again = [sum((1.0 - row.part) ** time for time in range(COMES)) for row in self.classes]
        return [each / times for each, times in zip(self.arrives(), again, strict=True)]

    def measure(self, now: float) -> None:
        """What all sums since the last turn say of the whole fleet."""
        arrives = self.arrives()
        work = sum(each * row.latency_objective_ms for each, row in zip(arrives, self.facts.classes, strict=True))
        agreed = work / sum(arrives) if sum(arrives) else 0.0
        tries = spent = done = 0.0
        for record in self.endpoints.values():
            good = record.tries - record.failed
            tries += record.tries
            spent += record.good_ms + record.failed * agreed
            # Where the answers that come are quick, one that is lost was work all the same.
            quick = record.good_ms < QUICK * agreed * good and (record.busy or 0.0) < TARGET
            done += record.tries if quick else good
        if tries and agreed:
            self.slowness += 0.5 * (spent / tries / agreed - self.slowness)
        self.flow += 0.5 * (1000.0 * done / max(1.0, now - self.learnt_ms) - self.flow)
        self.learnt_ms = now

    def learn(self, now: float) -> None:
        """Q <- Q + alpha (R + gamma - Q), once for each figure, by its age."""
        for record in self.endpoints.values():
            failing = record.failed / record.tries if record.tries else 0.0
            if record.load is None and failing > 0.5:
                record.load = 1.0  # it takes tries and answers none: no figure will come to say so
            if record.load is not None:
                load = min(1.0, max(0.0, record.load))
                # Failing tries count as load: where most fail is no room, whatever the few answers show.
                seen = max(load, failing)
                record.busy = seen if record.busy is None else record.busy + 0.7 * (seen - record.busy)
                payoff = (1.0 - load) * (1.0 - failing) ** 2
                if record.q is None:
                    record.q = self.mean_q()
                turns = 1.0 if record.learnt_ms is None else min(2.0, (now - record.learnt_ms) / TURN_MS)
                record.q += (1.0 - (1.0 - ALPHA) ** turns) * (payoff + GAMMA - record.q)
                record.learnt_ms = now
            record.load, record.tries, record.failed, record.good_ms = None, 0, 0, 0.0

    def mean_q(self) -> float:
        heard = [record.q for record in self.endpoints.values() if record.q is not None and record.ready]
        return sum(heard) / len(heard) if heard else 1.0

    def capacity(self, record: Endpoint, now: float) -> float:
        """The part of its capacity that an endpoint surely has, by its age."""
        if not record.started_ms or not self.facts.warm_up_ms:
            return 1.0
        low = self.facts.initial_capacity
        return min(1.0, low + (1.0 - low) * max(0.0, now - record.started_ms) / self.facts.warm_up_ms)

    def weights(self, now: float, zone: str | None) -> dict[int, float]:
        """Q x listed weight for each usable endpoint, cold ones capped at their part of the mean."""
        ready = {e: r for e, r in self.endpoints.items() if r.ready and (zone is None or r.zone == zone)}
        usable = {e: r for e, r in ready.items() if not r.out} or ready
        mean_q = self.mean_q()
        warm = {e: r for e, r in usable.items() if self.capacity(r, now) >= 1.0}
        moving = now - self.moved_ms < SETTLE * TURN_MS
        joining = not all(proxy.bound for proxy in self.proxies.values())
        full = self.strain > (TARGET if self.fit == 1.0 else IDLE) or self.slowness > SLOW
        # In a storm a cold one gets all that avoids others; it is told by load or, as on h8c6833, by tries
        # that fail or are late.  Tables before a join give a cold one its full part.
        # Where none is warm there is nothing to wait behind: a table without lines would leave proxies bare.
        if warm and (joining or moving or not self.unit or full):
            usable = warm
        weights = {e: (mean_q if r.q is None else r.q) * (r.listed or 1.0) for e, r in usable.items()}
        mean = sum(weights[e] for e in warm or usable) / max(1, len(warm or usable))
        for endpoint, record in usable.items():
            if endpoint not in warm:
                capped = mean * self.capacity(record, now) / max(1.0, self.strain)
                weights[endpoint] = min(weights[endpoint], capped)
        return weights

    def slots(self, now: float, zone: str | None) -> dict[int, int]:
        weights = self.weights(now, zone)
        total = sum(weights.values()) or 1.0
        return {e: max(1, round(SLOTS * len(weights) * w / total)) for e, w in weights.items()}

    # beside the design

    def judge(self, now: float, orders: PlannerOutput) -> None:
        """Shut out what fails far more than its fellows and fails its probes; ask the probes due."""
        ready = {e: r for e, r in self.endpoints.items() if r.ready}
        room = int(len(ready) * OUT_MOST) - sum(record.out for record in ready.values())
        # Where those that answer are full too, it is overload and not a fault of the silent.
        least = max(1, self.facts.local_ejection_failures)
        answering = [r.busy for r in ready.values() if r.silent < least and r.busy is not None]
        others = sum(answering) / len(answering) if answering else 1.0
        for endpoint, record in ready.items():
            suspect = self.lost(record) and others < TARGET
            # A slow or overloaded endpoint still answers some; one to shut out answers none.
            if record.out and record.good_probes >= 2:
                record.out, record.silent, record.q, self.urgent = False, 0, self.mean_q() * 0.1, True
            elif not record.out and suspect and room > 0:
                record.out, record.good_probes, self.urgent = True, 0, True
                room -= 1
                orders.log_note(f"{endpoint} is shut out: {record.silent} tries since its last good answer")
            if self.facts.health_checks_allowed and (
                self.facts.load_from_health_checks or record.out or record.silent > 2
            ):
                orders.request_health_check(endpoint)

    def reached(self) -> list[Endpoint]:
        """The endpoints that our proxies can use, also where no more may be shut out.

        Found on i263a7f: half waited for room in the channel, idle, and hid that the others were full.
        """
        ready = [r for r in self.endpoints.values() if r.ready and not r.out and not self.lost(r)]
        return [r for r in ready if r.sent and not r.withdrawn] or ready

    def lost(self, record: Endpoint) -> bool:
        """Sums suggest it, probes confirm it: as many failures in a row as a proxy bears, two bad probes."""
        return record.silent >= max(1, self.facts.local_ejection_failures) and record.bad_probes >= 2

    def set_levels(self, now: float, due: bool) -> None:
        """Move the part of the work that is let in, and share it out over classes and proxies."""
        reached = self.reached()
        usable = sum((r.listed or 1.0) * self.capacity(r, now) for r in reached)
        if due:
            busy = [r.busy for r in reached if r.busy is not None]
            self.pressure = sum(busy) / len(busy) if busy else 0.0
            self.strain = self.pressure * (max(1.0, self.slowness / SLOW) if self.pressure > 0.8 else 1.0)
            if self.strain > 0.0 and self.flow > 0.0 and usable and self.proxies:
                self.learn_room(usable * max(1, sum(proxy.heard for proxy in self.proxies.values())))
        first = self.first_arrivals()
        arrives = sum(first)
        # Endpoints that are lost or found count at once, before the load on the others shows it.
        allowed = TARGET * self.unit * len(self.proxies) * usable / max(1.0, self.strain)
        # What a proxy that moves here brings may have been held back by another pilot: it counts as new.
        joined = now - self.joined_ms < SETTLE * TURN_MS and self.strain > CALM
        likely = joined or self.strain > IDLE or self.fit < 1.0
        self.fit = min(1.0, allowed / arrives) if likely and self.unit and arrives else 1.0
        # Found on sockets: repeats of what was refused counted as demand, and half was refused at a load of
        # 0.5.  It could harm where the load stays low while tries fail; these count as load for that.
        if self.strain > IDLE or joined:
            self.open = self.fit
        elif due:
            self.open = min(1.0, self.open + OPENS)
        self.fit = max(self.fit, self.open)
        if self.strain > IDLE or self.slowness > SLOW:
            self.gain = 1.0 + 0.5 * (self.gain - 1.0)
        elif due and self.fit < 1.0:
            self.gain = min(2.0, max(1.0, self.gain * (1.05 if self.flow < allowed else 0.95)))
        # Nothing is surely measured yet: let in as much as is left of the list.  Found on sockets: a start
        # let in little by its first figures, and the little that came of it kept them low.
        if not self.unit or self.measures < SETTLE and self.strain < 0.95:
            self.fit = usable / (sum(r.listed or 1.0 for r in self.endpoints.values()) or 1.0)
        loads = [each * row.latency_objective_ms for each, row in zip(first, self.facts.classes, strict=True)]
        excess = (1.0 - self.fit) * sum(loads)
        moving = now - self.moved_ms < SETTLE * TURN_MS
        for place in sorted(range(len(loads)), key=lambda at: self.classes[at].priority_per_work):
            cut = min(excess, 0.9 * loads[place])
            excess -= cut
            row = self.classes[place]
            part = 1.0 - (cut / loads[place]) ** (1.0 / COMES) if loads[place] > 0 else 1.0
            if due:
                row.part += 0.5 * (part - row.part)
            row.tries = row.calm_tries if self.strain < CALM and not moving else 1 if self.strain < 1.0 else 0
            row.level = self.level(place, part)

    def learn_room(self, usable: float) -> None:
        """What fills a unit of capacity, a proxy: measured while there is room, back while there is not.

        Found on sockets: learnt for all proxies together it was too low after some had moved away or here,
        and those that had not reported yet made it nothing.  So it is counted by those that have.
        """
        if self.strain < 0.95:
            room = self.flow / self.strain / usable
            self.measures += 1
            self.unit += (1.0 if room > self.unit and self.measures <= SETTLE else 0.3) * (room - self.unit)
        elif not self.unit:  # started over into a storm: most of what is tried is tried again
            self.unit, self.measures = self.flow / self.strain**2 / usable, SETTLE
        elif self.strain > 1.1:
            self.unit *= 0.92

    def level(self, place: int, part: float) -> float:
        """A part of a class as the wire wants it: a share, or one rate for all proxies that fits in sum."""
        if self.facts.admission != "rate":
            return part
        if part >= 1.0:
            return OPEN_RATE
        # Found at full size: a cap at many small proxies lets in less than its sum, for what comes to each is
        # uneven; from that little the capacity was learnt, and half was refused at 0.6 load.
        left = self.gain * part * sum(proxy.arrives[place] for proxy in self.proxies.values())
        rates = sorted(proxy.arrives[place] for proxy in self.proxies.values())
        for at, rate in enumerate(rates):
            if rate * (len(rates) - at) >= left:
                return left / (len(rates) - at)
            left -= rate
        return OPEN_RATE

    def tables(self) -> list[tuple[int, str | None, list[int]]]:
        """The tables in use: number, zone, classes.  Home-only classes need one a zone."""
        homes = [place for place, row in enumerate(self.facts.classes) if row.home_zone_only]
        shared = [place for place in range(len(self.classes)) if place not in homes]
        tables: list[tuple[int, str | None, list[int]]] = [(SHARED, None, shared)] if shared else []
        if homes:
            tables += [(1 + at, zone, homes) for at, zone in enumerate(self.facts.zones)]
        return tables

    def push(self, now: float, due: bool, orders: PlannerOutput) -> None:
        """Drains, deaths and cold falls at once, joins as the channel has room, at the turn what moved most.

        Found at full size: the joins of a start alone overran the channel.  What waits there is what was
        written less what has left by receipts, and since the last of them at half the usual pace.
        Found on sockets: the channel ran at a seventh of its pace, half was counted on beside late receipts,
        and too much waited.  Where a few receipts are lost this holds changes back until the next message.
        """
        facts = self.facts
        if self.left >= self.written:
            self.proven, self.counted_ms = self.written, now
        drained = PACE * facts.channel_lines_per_s / 1000.0 * (now - self.counted_ms)
        self.left = min(self.written, self.proven + drained)
        crowded = self.written - self.left > JOINS * self.room
        # Found as hee13f4: deaths told one by one each took a message, and none was left for the last.
        gap = 1.2 * facts.message_window_ms / facts.max_messages if facts.max_messages else 0.0
        before, seekers = self.written, self.seekers()
        messages = self.bind(seekers, True, orders)
        if (due or self.urgent) and not crowded and now >= self.pushed_ms + gap:
            self.urgent = False
            sent = self.send(now, due, messages < len(seekers), orders)
            self.pushed_ms = now if sent else self.pushed_ms
            messages += sent
        if not seekers:
            unbound = [(sum(p.arrives), number) for number, p in self.proxies.items() if not p.bound]
            messages += self.bind([number for _, number in sorted(unbound, reverse=True)], False, orders)
        waits = self.urgent or not all(proxy.bound for proxy in self.proxies.values())
        if waits and self.wake_ms <= now:
            self.wake_ms = now + 0.2 * TURN_MS
            orders.set_timer(URGENT, self.wake_ms)
        if messages:
            self.written += messages
            self.serial = (self.serial + 1) % RECEIPTS
            self.receipts[self.serial] = [before, (self.written - before) / messages]
            orders.request_ack(self.serial)

    def send(self, now: float, due: bool, pieces: bool, orders: PlannerOutput) -> int:
        """Write the differences between what is wanted and what was sent; returns the messages they make.

        While `pieces` wait for the channel it takes no more than receipts lag behind.
        """
        tables = self.tables()
        zones = [proxy.zone for proxy in self.proxies.values() if proxy.bound]
        users = {table: zones.count(zone) if zone else len(zones) for table, zone, _ in tables}
        joined, bound = len(self.proxies), len(zones)
        wanted = {table: self.slots(now, zone) for table, zone, _ in tables}
        lines = sum(users[table] * self.send_levels(table, classes, orders) for table, _, classes in tables)
        messages = bound if lines else 0
        # A piece of the calendar that lacks an endpoint needs no word of it.
        unbound = [proxy.pieces for proxy in self.proxies.values() if not proxy.bound]
        holders = Counter(endpoint for held in unbound for piece in held for endpoint in piece)
        every, some = joined - sum(map(bool, unbound)), 0
        most = self.lag if pieces else ALL * self.room
        taken = self.written - self.left + self.facts.lines_per_message * joined
        # Found as hd47e6d: a mass of drains went behind changes; these take a part of its grace at most.
        ordinary = min(most, ORDINARY * self.room, GRACE * self.grace)
        ordinary *= 1.0 if bound == joined else 0.5  # joins go first
        for rank, endpoint, moves, out in sorted(self.changes(now, wanted), key=lambda change: change[0]):
            record = self.endpoints[endpoint]
            told = every + holders[endpoint] if out else joined
            cost = sum(users[table] for table in moves) + told * (out != record.withdrawn)
            if cost and rank > MUST and not due:
                continue
            if taken + lines + cost > (ordinary if rank > MUST else most):
                self.urgent |= rank <= MUST  # the rest comes soon
                continue
            some += told - every if out != record.withdrawn else 0
            reached = min(joined, every + some) if out != record.withdrawn else bound if cost else 0
            messages = max(messages, reached)
            lines += cost
            for table, want in moves.items():
                orders.set_weight(table, endpoint, want)
                record.sent[table] = want
            if out != record.withdrawn:
                orders.set_ejected(endpoint, out)
                record.withdrawn = out
            if record.gone_ms is not None and not out:
                del self.endpoints[endpoint]
        self.written += lines + self.facts.lines_per_message * messages
        return messages

    def changes(self, now: float, wanted: dict[int, dict[int, int]]) -> Iterator[tuple]:
        """What should be sent of each endpoint: rank, endpoint, slots by table, whether it is to be out.

        What no table wants is withdrawn: one line a proxy, and it holds for tables of any origin.
        """
        for endpoint, record in self.endpoints.items():
            want = {table: slots.get(endpoint, 0) for table, slots in wanted.items()}
            out = not any(want.values())
            weak = not record.ready or self.capacity(record, now) < 1.0
            if self.forgettable(record, now):
                yield 0.0, endpoint, dict.fromkeys(record.sent, 0), False
            elif out and not record.withdrawn and (record.sent or not record.ready):
                yield MUST * (weak + (not record.ready)) - sum(record.sent.values()), endpoint, {}, True
            elif not out:
                had = record.sent
                moves = {t: n for t, n in want.items() if abs(n - had.get(t, 0)) > RESEND * had.get(t, 0)}
                falls = weak and any(n < had.get(t, 0) for t, n in moves.items())
                if moves or record.withdrawn:
                    # One that comes or comes back has few slots at first, and yet brings a whole endpoint.
                    whole = 3 * SLOTS * (record.withdrawn or not had)
                    moved = max(whole, *(abs(n - had.get(t, 0)) for t, n in want.items()))
                    yield MUST * falls - moved, endpoint, moves, False

    def forgettable(self, record: Endpoint, now: float) -> bool:
        """Whether an endpoint has gone for good: its lines go, and then nothing is left to keep out.

        Found on sockets: endpoints replaced under new ids all day stayed in every table and binding.  A proxy
        that is not on the calendar may still hold the gone one, so none is let back before all are.
        """
        gone = record.gone_ms is not None and now - record.gone_ms >= FORGETS * TURN_MS
        return gone and record.withdrawn and all(proxy.bound for proxy in self.proxies.values())

    def send_levels(self, table: int, classes: list[int], orders: PlannerOutput) -> int:
        lines = 0
        for place, row in ((place, self.classes[place]) for place in classes):
            level, tries = row.sent.get(table, (0.0, -1))
            if row.tries != tries or abs(row.level - level) > RESEND * level:
                orders.set_admission(table, [place], row.level, row.tries)
                row.sent[table] = (row.level, row.tries)
                lines += 1
        return lines

    def seekers(self) -> list[int]:
        """Unbound proxies that get a piece of the calendar before all else, in the order they joined.

        Found on i2d06fb and ia78055: many held none but dead endpoints after a zone loss or release.  Found on
        mass days: what a proxy came with may name endpoints that no list here tells of any more, and where the
        calendar for all who wait, or drains told to each, fill the grace, that is used beyond it.
        """
        unbound = [number for number, proxy in self.proxies.items() if not proxy.bound]
        gone = {endpoint for endpoint, record in self.endpoints.items() if record.withdrawn}
        calendars = len(unbound) * (len(self.endpoints) + self.facts.lines_per_message)
        usable = any(record.sent and not record.withdrawn for record in self.endpoints.values())
        if not usable or not gone and calendars <= PACE * self.grace:
            return []
        return [number for number in unbound if self.bare(self.proxies[number], gone)]

    def bind(self, numbers: list[int], pieces: bool, orders: PlannerOutput) -> int:
        """Put joined proxies on the calendar, or on pieces of it; the others keep what they hold."""
        gone = {endpoint for endpoint, record in self.endpoints.items() if record.withdrawn}
        # What receipts lag behind at full pace, no more: a drain may have to wait behind it.
        window = min(JOINS * self.room, self.lag)
        size, messages = self.facts.initial_table_size if pieces else len(self.endpoints), 0  # about what a join writes
        for number in numbers:
            if self.left < self.written and self.written - self.left + size > window:
                break
            proxy = self.proxies[number]
            proxy.pieces, proxy.bound = [], not pieces
            for table, zone, classes in self.tables():
                if zone not in (None, proxy.zone):
                    continue
                held = [endpoint for endpoint, record in self.endpoints.items() if record.sent.get(table)]
                own = PIECES + number * (1 + len(self.facts.zones)) + table if pieces else table
                if pieces:
                    usable = [e for e in held if e not in gone]
                    usable = [e for e in usable if self.endpoints[e].ready] or usable
                    step = max(1, len(usable) // max(1, self.facts.initial_table_size))
                    held = usable[number % step :: step]
                    for endpoint in (e for e in self.pieces.get(own, ()) if e not in held):
                        orders.set_weight(own, endpoint, 0)
                    for endpoint in held:
                        orders.set_weight(own, endpoint, self.endpoints[endpoint].sent[table])
                    self.pieces[own] = held
                    proxy.pieces.append(held)
                orders.assign_table(number, own, classes)
                self.written += 1 + len(classes) + len(held) + len(gone.intersection(held))
            self.written += self.facts.lines_per_message
            messages += 1
        return messages

    def bare(self, proxy: Proxy, gone: set[int]) -> bool:
        """Whether all of a proxy's piece, or all that it came with, may be withdrawn."""
        return not proxy.pieces or any(piece and gone.issuperset(piece) for piece in proxy.pieces)
