"""Proxies and endpoints in virtual time: a first, honest model that meets the real pilot core.

Modelled: picks evenly by weight, avoidance, levels, further tries, queues at cores, cold starts, hidden failures as
inferred, connections with their limit and cost, keyed repeats dropped in their window, load in probes, the delays
of messages and the moments of reports as captured.  Not modelled: processor time and stalls of the proxies.
"""

import random
from typing import Any

from quillstep.config.fleet import ClassSettings, FleetSettings
from quillstep.load_reports.upstream_stats import ClassArrivals, EndpointRow
from quillstep.load_reports.validation import LoadReport
from quillstep.replay.endpoint_model import AttemptOutcome, ModelledEndpoint
from quillstep.replay.inference import NETWORK_MS
from quillstep.replay.proxy_tables import ProxyTables
from quillstep.replay.virtual_clock import VirtualClock

FILL_MS = 250.0


class Proxy:
    """A proxy that does what its tables say."""

    def __init__(self, name: str, row: dict[str, Any], day: "VirtualDay", draw: Any) -> None:
        self.name, self.zone, self.usual, self.day, self.draw = name, row["zone"], row["usual"], day, draw
        self.standing = {f"{h}:{p}": 1.0 for h, p in row["standing"]}
        self.tables = ProxyTables()
        self.turns: dict[int, dict[str, float]] = {}
        self.fails: dict[str, int] = {}
        self.avoids: dict[str, float] = {}
        self.buckets: dict[int, list[float]] = {}  # rate, tokens, at
        self.sums: dict[str, list[float]] = {}  # tries, failed, good_ms
        self.came: dict[int, list[int]] = {}
        self.reported_ms = day.clock.now_ms
        self.reports = 0

    def pick(self, place: int, without: set[str], now: float) -> str | None:
        table = self.tables.routes[place].table if place in self.tables.routes else -1
        lines = self.tables.weights.get(table) if table >= 0 else None
        if lines is None:
            table, lines = -1, self.standing
        out = self.tables.ejected_addresses
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
        route = self.tables.routes.get(place)
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
        share = self.tables.admitted_shares.get(table, {}).get(place, 1.0)
        return share >= 1.0 or self.draw() < share

    # exchanges

    def arrive(self, row: dict[str, Any]) -> None:
        """An exchange comes at its captured moment."""
        day, now = self.day, self.day.clock.now_ms
        place = day.places[row["class"]]
        self.came.setdefault(place, [0, 0])[0] += 1
        made = {"at": now, "end": now, "proxy": self.name, "class": row["class"], "exchange": row["exchange"],
                "outcome": "refused", "tries": []}  # fmt: skip
        day.exchanges.append(made)
        if self.lets_in(place, now):
            self.attempt(made, place, 0, set())

    def attempt(self, made: dict[str, Any], place: int, turn: int, used: set[str]) -> None:
        day, now = self.day, self.day.clock.now_ms
        kind = day.classes[place]
        address = self.pick(place, used, now)
        if address is None:
            made.update(end=now, outcome="failed" if made["tries"] else "bare")
            self.came.setdefault(place, [0, 0])[1] += 1
            return
        mode = (
            self.tables.routes[place].retry_policy
            if place in self.tables.routes
            else day.fleet.proxies.default_retry_policy
        )
        more = 2 if mode == 3 else 1 if mode else 0
        until = made["at"] + kind.deadline_ms
        again = turn < more
        limit = (
            min(until, now + day.fleet.proxies.attempt_timeout_factor * kind.latency_objective_ms)
            if again and mode > 1
            else until
        )
        endpoint = day.by_address[address]
        if self.draw() < endpoint.unreachable_share(now):
            outcome = AttemptOutcome("no connection", now + NETWORK_MS, False)
        elif not endpoint.connect(self.name, now):
            outcome = AttemptOutcome("reset", now + NETWORK_MS, False)
        else:
            outcome = endpoint.attempt(kind, now, limit, day.repeated(kind, made["exchange"], now))
            is_reusable = outcome.result in ("ok", "error")
            day.clock.call_at(outcome.ended_ms, endpoint.release, self.name, outcome.ended_ms, is_reusable)
        if outcome.was_executed:
            day.served.append((endpoint.number, now, kind, self.name, made["exchange"]))
        day.clock.call_at(
            outcome.ended_ms, self.ended, made, place, turn, used | {address}, address, now, outcome.result, again, mode
        )

    def ended(
        self, made: dict[str, Any], place: int, turn: int, used: set[str], address: str, sent: float,
        result: str, again: bool, mode: int,
    ) -> None:  # fmt: skip
        now = self.day.clock.now_ms
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
        now = self.day.clock.now_ms
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
        self.fleet, self.clock = fleet, VirtualClock(begin_ms)
        self.classes = list(fleet.classes)
        self.places = {row.name: place for place, row in enumerate(fleet.classes)}
        self.by_address: dict[str, ModelledEndpoint] = {}
        self.endpoints: dict[int, ModelledEndpoint] = {}
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
