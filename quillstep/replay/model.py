"""Proxies and endpoints in virtual time: a first, honest model that meets the real pilot core.

Modelled: picks evenly by weight, avoidance, levels, further tries, queues at cores, cold starts, hidden failures as
inferred, connections with their limit and cost, keyed repeats dropped in their window, load in probes, the delays
of messages and the moments of reports as captured.  Not modelled: processor time and stalls of the proxies.
"""

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable
from typing import Any

from quillstep.config.fleet import ClassSettings, FleetSettings
from quillstep.load_reports.upstream_stats import ClassArrivals, EndpointRow
from quillstep.load_reports.validation import LoadReport
from quillstep.replay.inference import NETWORK_MS, InferredEndpoints
from quillstep.routing import Change
from quillstep.routing.resources import ADMISSION, CLUSTER, EJECTED, ROUTES, WEIGHT

LOAD_SPAN_MS = 500.0
FILL_MS = 250.0


class Clock:
    """Events in virtual time, in sequence of their times, then of their making."""

    def __init__(self, begin_ms: float) -> None:
        self.now = begin_ms
        self.events: list[tuple[float, int, Callable[..., None], tuple]] = []
        self.counter = itertools.count()

    def at(self, at_ms: float, what: Callable[..., None], *arguments: Any) -> None:
        heapq.heappush(self.events, (max(at_ms, self.now), next(self.counter), what, arguments))

    def run(self, until_ms: float) -> None:
        while self.events and self.events[0][0] <= until_ms:
            self.now, _, what, arguments = heapq.heappop(self.events)
            what(*arguments)
        self.now = until_ms


class Endpoint:
    """Cores that work comes to in sequence; hidden states as inferred."""

    def __init__(
        self, number: int, row: dict[str, Any], fleet: FleetSettings, inferred: InferredEndpoints, draw: Any
    ) -> None:
        self.number, self.fleet, self.inferred, self.draw = number, fleet, inferred, draw
        self.address = f"{row['host']}:{row['port']}"
        self.speed = inferred.speeds.get(number, row.get("speed", 1.0))
        self.free = [0.0] * row["cores"]
        self.busy: deque[tuple[float, float]] = deque()
        self.started_ms = 0.0
        self.draining = False
        self.max_connections = row.get("connections_most", 10**9)
        self.connect_work_ms = row.get("connect_work_ms", 0.0)
        self.idle: dict[str, list[float]] = {}  # since when, by proxy
        self.using = 0

    def connect(self, proxy: str, at: float) -> bool:
        """A connection of this proxy's, an idle one if there is; False where no more are taken."""
        idle_ms = self.fleet.proxies.keep_alive_ms
        held = self.idle.get(proxy)
        while held:
            if at - held.pop() < idle_ms:
                self.using += 1
                return True
        if self.using + sum(len(rows) for rows in self.idle.values()) >= self.max_connections:
            for name, rows in self.idle.items():  # those that have idled too long are closed by now
                self.idle[name] = [since for since in rows if at - since < idle_ms]
            if self.using + sum(len(rows) for rows in self.idle.values()) >= self.max_connections:
                return False
        self.using += 1
        self.schedule(self.connect_work_ms, at, 1.0)
        return True

    def give_back(self, proxy: str, at: float, good: bool) -> None:
        """The try has ended; what broke or timed out is closed."""
        self.using -= 1
        if good:
            self.idle.setdefault(proxy, []).append(at)

    def capacity(self, at: float) -> float:
        rules = self.fleet.rules
        if not self.started_ms:
            return 1.0
        low = rules.initial_capacity
        return min(1.0, low + (1.0 - low) * max(0.0, at - self.started_ms) / rules.warm_up_ms)

    def schedule(self, work_ms: float, at: float, slow: float) -> tuple[float, float]:
        begin = max(at, self.free[0])
        end = begin + work_ms * slow / (self.speed * self.capacity(at))
        heapq.heapreplace(self.free, end)
        self.busy.append((begin, end))
        return begin, end

    def load(self, at: float) -> dict[str, float]:
        since = at - LOAD_SPAN_MS
        while self.busy and self.busy[0][1] < since:
            self.busy.popleft()
        spent = sum(max(0.0, min(at, end) - max(since, begin)) for begin, end in self.busy)
        return {
            "util": min(1.0, spent / (LOAD_SPAN_MS * len(self.free))),
            "qps": len(self.busy) * 1000.0 / LOAD_SPAN_MS,
        }

    def tried(self, kind: ClassSettings, at: float, until: float, dropped: bool) -> tuple[str, float, bool]:
        """One try on a connection: its result, when it is known, whether it ran."""
        condition = self.inferred.condition_at(self.number, at)
        if self.draw() < condition.failing:
            return "error", at + NETWORK_MS, False
        if dropped:
            return "ok", at + NETWORK_MS, False
        lost = self.draw() < condition.unresponsive
        if max(at, self.free[0]) > until:
            return "time-out", until, False
        _, end = self.schedule(kind.work_ms, at, condition.slowdown)
        if lost or end + NETWORK_MS > until:
            return "time-out", until, True
        return "ok", end + NETWORK_MS, True

    def probed(self, at: float, timeout_ms: float) -> tuple[bool, float, dict[str, float]]:
        condition = self.inferred.condition_at(self.number, at)
        if self.draw() < max(condition.unreachable, condition.unresponsive):
            return False, timeout_ms if condition.unresponsive > condition.unreachable else NETWORK_MS, {}
        _, end = self.schedule(2.0, at, 1.0)
        took = end - at + NETWORK_MS
        return took < timeout_ms and not self.draining, min(took, timeout_ms), self.load(at)


class Proxy:
    """A proxy that does what its tables say."""

    def __init__(self, name: str, row: dict[str, Any], day: "VirtualDay", draw: Any) -> None:
        self.name, self.zone, self.usual, self.day, self.draw = name, row["zone"], row["usual"], day, draw
        self.standing = {f"{h}:{p}": 1.0 for h, p in row["standing"]}
        self.tables: dict[int, dict[str, float]] = {}
        self.lines: dict[tuple, str] = {}  # address by key, for removals
        self.out: dict[int, str] = {}
        self.routes: dict[int, tuple[int, float | None, int]] = {}
        self.shares: dict[int, dict[int, float]] = {}
        self.versions: dict[tuple, str] = {}
        self.turns: dict[int, dict[str, float]] = {}
        self.fails: dict[str, int] = {}
        self.avoids: dict[str, float] = {}
        self.buckets: dict[int, list[float]] = {}  # rate, tokens, at
        self.sums: dict[str, list[float]] = {}  # tries, failed, good_ms
        self.came: dict[int, list[int]] = {}
        self.reported_ms = day.clock.now
        self.reports = 0

    def apply(self, changes: list[Change]) -> None:
        for key, want in changes:
            if want:
                self.versions[key] = want.version
            else:
                self.versions.pop(key, None)
            if key[0] == WEIGHT:
                before = self.lines.pop(key, None)
                lines = self.tables.setdefault(key[1], {})
                if before:
                    lines.pop(before, None)
                if want:
                    address = f"{want.content[0]}:{want.content[1]}"
                    lines[address] = want.content[2]
                    self.lines[key] = address
            elif key[0] == EJECTED:
                if want:
                    self.out[key[1]] = f"{want.content[0]}:{want.content[1]}"
                else:
                    self.out.pop(key[1], None)
            elif key[0] == ROUTES and want:
                self.routes = {place: (table, allowed, tries) for place, table, allowed, tries in want.content}
            elif key[0] == ADMISSION and want:
                self.shares[key[1]] = dict(want.content)
            elif key[0] == CLUSTER and want is None:
                self.drop(key[1])

    def drop(self, table: int) -> None:
        self.tables.pop(table, None)
        for key in [key for key in self.versions if key[0] in (WEIGHT, ADMISSION) and key[1] == table]:
            self.versions.pop(key)
            self.lines.pop(key, None)

    def pick(self, place: int, without: set[str], now: float) -> str | None:
        table = self.routes[place][0] if place in self.routes else -1
        lines = self.tables.get(table) if table >= 0 else None
        if lines is None:
            table, lines = -1, self.standing
        out = set(self.out.values())
        usable = [(a, w) for a, w in lines.items() if a not in out and a not in without]
        near = [(a, w) for a, w in usable if self.avoids.get(a, 0.0) <= now] or usable
        if not near:
            return None
        turns = self.turns.setdefault(table, {})
        total, best, most = 0.0, "", float("-inf")
        for address, weight in near:
            turn = turns.get(address)
            turn = self.draw() * weight + weight if turn is None else turn + weight
            turns[address] = turn
            total += weight
            if turn > most:
                best, most = address, turn
        turns[best] -= total
        return best

    def lets_in(self, place: int, now: float) -> bool:
        route = self.routes.get(place)
        if route is None:
            return True
        table, allowed, _ = route
        if allowed is not None:
            if allowed <= 0.0:
                return False
            bucket = self.buckets.get(place)
            most = max(1.0, round(allowed * FILL_MS / 1000.0))
            if bucket is None or bucket[0] != allowed:
                bucket = self.buckets[place] = [allowed, most, now]
            bucket[1] = min(most, bucket[1] + (now - bucket[2]) * allowed / 1000.0)
            bucket[2] = now
            if bucket[1] < 1.0:
                return False
            bucket[1] -= 1.0
            return True
        share = self.shares.get(table, {}).get(place, 1.0)
        return share >= 1.0 or self.draw() < share

    # exchanges

    def arrive(self, row: dict[str, Any]) -> None:
        """An exchange comes at its captured moment."""
        day, now = self.day, self.day.clock.now
        place = day.places[row["class"]]
        self.came.setdefault(place, [0, 0])[0] += 1
        made = {"at": now, "end": now, "proxy": self.name, "class": row["class"], "exchange": row["exchange"],
                "outcome": "refused", "tries": []}  # fmt: skip
        day.exchanges.append(made)
        if self.lets_in(place, now):
            self.attempt(made, place, 0, set())

    def attempt(self, made: dict[str, Any], place: int, turn: int, used: set[str]) -> None:
        day, now = self.day, self.day.clock.now
        kind = day.classes[place]
        address = self.pick(place, used, now)
        if address is None:
            made.update(end=now, outcome="failed" if made["tries"] else "bare")
            self.came.setdefault(place, [0, 0])[1] += 1
            return
        mode = self.routes[place][2] if place in self.routes else day.fleet.proxies.default_retry_policy
        more = 2 if mode == 3 else 1 if mode else 0
        until = made["at"] + kind.deadline_ms
        again = turn < more
        limit = (
            min(until, now + day.fleet.proxies.attempt_timeout_factor * kind.latency_objective_ms)
            if again and mode > 1
            else until
        )
        endpoint = day.by_address[address]
        if self.draw() < endpoint.inferred.condition_at(endpoint.number, now).unreachable:
            result, ended, ran = "no connection", now + NETWORK_MS, False
        elif not endpoint.connect(self.name, now):
            result, ended, ran = "reset", now + NETWORK_MS, False
        else:
            result, ended, ran = endpoint.tried(kind, now, limit, day.repeated(kind, made["exchange"], now))
            day.clock.at(ended, endpoint.give_back, self.name, ended, result in ("ok", "error"))
        if ran:
            day.served.append((endpoint.number, now, kind, self.name, made["exchange"]))
        day.clock.at(ended, self.ended, made, place, turn, used | {address}, address, now, result, again, mode)

    def ended(
        self, made: dict[str, Any], place: int, turn: int, used: set[str], address: str, sent: float,
        result: str, again: bool, mode: int,
    ) -> None:  # fmt: skip
        now = self.day.clock.now
        kind = self.day.classes[place]
        made["tries"].append([address, sent, now, result, ""])
        self.count(address, result == "ok", now - sent, now)
        little = now + 0.1 * kind.latency_objective_ms > made["at"] + kind.deadline_ms
        if result == "ok":
            made.update(end=now, outcome="ok")
        elif again and not little and (mode > 1 or result == "no connection"):
            self.attempt(made, place, turn + 1, used)
        else:
            made.update(end=now, outcome="failed")
            self.came.setdefault(place, [0, 0])[1] += 1

    def count(self, address: str, good: bool, took: float, now: float) -> None:
        row = self.sums.setdefault(address, [0, 0, 0.0])
        row[0] += 1
        knobs = self.day.fleet.proxies
        if good:
            row[2] += took
            self.fails.pop(address, None)
            return
        row[1] += 1
        self.fails[address] = self.fails.get(address, 0) + 1
        if knobs.local_ejection_failures and self.fails[address] >= knobs.local_ejection_failures:
            self.avoids[address] = now + knobs.local_ejection_ms
            self.fails[address] = 0

    def hand_over(self) -> LoadReport:
        """Its sums, at the moment up to which a report of its told then; they start anew."""
        now = self.day.clock.now
        covers, self.reported_ms = now - self.reported_ms, now
        sums, came = self.sums, self.came
        self.sums, self.came = {}, {}
        self.reports += 1
        report = LoadReport(self.reports, now, now, covers, 0)
        for address, (tries, failed, good_ms) in sums.items():
            known = self.day.by_address[address]
            load = None if self.day.fleet.probes.load_only_here else known.load(now)["util"]
            report.rows.append(EndpointRow(known.number, int(tries - failed), int(failed), good_ms, load))
        report.arrivals = [ClassArrivals(place, arrived, unanswered) for place, (arrived, unanswered) in came.items()]
        return report


class VirtualDay:
    """What all parts of a replayed day share."""

    def __init__(self, fleet: FleetSettings, begin_ms: float, seed: int) -> None:
        self.fleet, self.clock = fleet, Clock(begin_ms)
        self.classes = list(fleet.classes)
        self.places = {row.name: place for place, row in enumerate(fleet.classes)}
        self.by_address: dict[str, Endpoint] = {}
        self.endpoints: dict[int, Endpoint] = {}
        self.proxies: dict[str, Proxy] = {}
        self.exchanges: list[dict[str, Any]] = []
        self.served: list[tuple] = []
        self.chance = random.Random(seed)
        self.seen: dict[tuple[str, str], float] = {}

    def repeated(self, kind: ClassSettings, exchange: str, at: float) -> bool:
        """Whether endpoints drop this as a repeat; a first one is remembered.  Groups are taken as all of a zone's."""
        if kind.semantics != "keyed":
            return False
        before = self.seen.get((kind.name, exchange))
        if before is not None and at - before <= kind.idempotency_window_ms:
            return True
        self.seen[kind.name, exchange] = at
        return False
