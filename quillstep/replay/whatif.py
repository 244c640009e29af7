"""The what-if replay: captured exchanges, roster news, streams and delays, another setting, compared service.

The pilots are the real decider on virtual time; proxies and endpoints are `model.py`'s.  The delay of a proxy's k-th
message is that of its k-th captured one; once those are used up, one is drawn from them (seeded).
"""

import random
from collections import defaultdict
from typing import Any

import msgspec
import xxhash

from quillstep.config.controller import ControllerSettings
from quillstep.config.fleet import ClassSettings
from quillstep.config.loading import changed
from quillstep.controller.core import ControllerCore
from quillstep.controller.decision_loop import DecisionLoop
from quillstep.controller.events import EndpointListReceived
from quillstep.invariants import Evidence, check_invariants
from quillstep.load_reports.validation import LoadReport
from quillstep.planner.messages import EndpointEntry, HealthCheckResult
from quillstep.replay.endpoint_model import ModelledEndpoint
from quillstep.replay.inference import InferredEndpoints, attempts_by_endpoint, held_out_error, infer_endpoints
from quillstep.replay.model import Proxy, VirtualDay
from quillstep.replay.recorded_scenario import ControllerIncarnation, RecordedScenario
from quillstep.routing.resources import LISTENER
from quillstep.testbed.scenarios.service_quality import earned_share, service_quality

ACK_PART = 0.5  # of a captured delay, the way there; the rest is the word's way back
TOLERANCE = 0.03  # of service, between the day and its own replay, up to which a comparison tells something
USUAL_DELAY_MS = 5.0


class ModelFront:
    """Carries changes to modelled proxies, late as captured."""

    def __init__(self, day: VirtualDay, pilot: "ReplayedController") -> None:
        self.day, self.pilot = day, pilot
        self.nonces = 0

    def pump(self, now_ms: float, stirred: set[int]) -> None:
        core = self.pilot.core
        for number in sorted(stirred):
            proxy = self.pilot.joined.get(number)
            ledger = core.tables.proxies.get(number)
            if proxy is None or ledger is None or len(ledger.in_flight_updates) >= 8:
                continue
            changes = core.tables.changes_to_send(number, now_ms, lambda key: True)
            if changes:
                self.nonces += 1
                nonce = str(self.nonces)
                core.tables.record_sent(number, nonce, changes, now_ms)
                self.pilot.sent(proxy, ledger.released_revision, len(changes), now_ms)
                delay = self.pilot.delay(proxy.name)
                self.day.clock.call_at(now_ms + ACK_PART * delay, self.arrive, number, ledger, proxy, nonce, changes)
                self.day.clock.call_at(now_ms + delay, self.word, number, ledger, nonce)

    def arrive(self, number: int, ledger: Any, proxy: Proxy, nonce: str, changes: list) -> None:
        if self.pilot.core.tables.proxies.get(number) is ledger:
            proxy.tables.apply(changes)

    def word(self, number: int, ledger: Any, nonce: str) -> None:
        tables = self.pilot.core.tables
        if tables.proxies.get(number) is ledger:
            tables.record_ack(number, nonce, self.day.clock.now_ms)
            self.pilot.poke()

    def drop(self, proxy: int, reason: str, now_ms: float) -> None:
        """There is no other front here."""

    def next_ms(self) -> float:
        return float("inf")


class ReplayedController:
    """One life of a pilot, its decider on the day's clock."""

    def __init__(self, day: VirtualDay, life: ControllerIncarnation, record: ControllerSettings, seed: int) -> None:
        self.day, self.life = day, life
        plain = {**record.model_dump(), "files": {}, "capture": {}, "record": ""}
        self.decider = DecisionLoop(
            ControllerSettings.model_validate(plain), life.epoch, lambda *a, **k: None, lambda news: None
        )
        self.core: ControllerCore = self.decider.core
        self.decider.fronts = [ModelFront(day, self)]
        self.joined: dict[int, Proxy] = {}
        self.delays = {name: iter(list(delays)) for name, delays in life.ack_delays_ms.items()}
        self.draw = random.Random(f"{seed} {life.epoch}").choice
        self.taps: list[dict[str, Any]] = []
        self.due = float("inf")
        self.ended = False
        self.plan()

    def plan(self) -> None:
        clock, life = self.day.clock, self.life
        for at, kind, entries, addresses in life.discovery_updates:
            clock.call_at(at, self.roster, kind, entries, addresses)
        for at, is_open, proxy, is_fresh in life.stream_changes:
            if is_open:
                clock.call_at(at, self.join, proxy, is_fresh)
            else:
                clock.call_at(at, self.leave, proxy)
        for at, proxy, late_ms in life.report_arrivals:
            clock.call_at(at - late_ms, self.report, proxy, at)
        clock.call_at(life.last_ms, self.end)

    def delay(self, name: str) -> float:
        """The next captured delay of this proxy, or one drawn from them."""
        held = next(self.delays.get(name, iter(())), None)
        if held is None:
            known = self.life.ack_delays_ms.get(name)
            held = self.draw(known) if known else USUAL_DELAY_MS
        return held

    def sent(self, proxy: Proxy, order: int, lines: int, now: float) -> None:
        self.taps.append({"what": "send", "at": now, "proxy": proxy.name, "order": order, "lines": lines, "bytes": 0,
                          "ordered": self.core.ordered_ms(order), "nonce": f"{self.life.epoch}.{order}"})  # fmt: skip

    # news

    def roster(self, kind: str, entries: list[EndpointEntry], addresses: dict) -> None:
        self.core.now_ms = self.day.clock.now_ms
        self.core.handle_endpoint_list(EndpointListReceived(kind, entries, addresses))
        self.core.record_arrival(self.day.clock.now_ms)
        for entry in entries:
            if endpoint := self.day.endpoints.get(entry.endpoint):
                endpoint.is_draining = entry.state == "terminating"
                endpoint.started_ms = max(endpoint.started_ms, entry.started_ms)
        self.poke()

    def join(self, name: str, is_fresh: bool) -> None:
        proxy = self.day.proxies.get(name)
        if proxy is None:
            return
        self.core.now_ms = self.day.clock.now_ms
        number = self.core.add_proxy(
            name, proxy.zone, proxy.usual, proxy.tables.versions, is_fresh, self.decider.fronts[0]
        )
        self.joined[number] = proxy
        self.core.tables.subscribe(number, [(LISTENER,)], False)
        self.poke()

    def leave(self, name: str) -> None:
        number = self.core.joined_number(name)
        if number is not None:
            self.core.now_ms = self.day.clock.now_ms
            self.joined.pop(number, None)
            self.core.remove_proxy(number)
            self.poke()

    def report(self, name: str, at: float) -> None:
        """A proxy's sums up to now leave it, and arrive as late as they did then."""
        proxy = self.day.proxies.get(name)
        if proxy and self.core.joined_number(name) is not None:
            self.day.clock.call_at(at, self.reported, name, proxy.hand_over(), at)

    def reported(self, name: str, report: LoadReport, at: float) -> None:
        number = self.core.joined_number(name)
        if number is not None and not self.ended:
            report.sent_ms = self.core.now_ms = at
            self.core.add_load_report(number, report)
            self.poke()

    # time

    def poke(self) -> None:
        self.schedule(self.day.clock.now_ms)

    def schedule(self, at: float) -> None:
        if at < self.due and not self.ended:
            self.due = at
            self.day.clock.call_at(at, self.turn, at)

    def turn(self, at: float) -> None:
        if self.ended or at != self.due:
            return  # an earlier turn has taken this one's place
        self.due = float("inf")
        now = self.day.clock.now_ms
        self.decider.run_pass(now)
        for endpoint, _, _ in self.core.health_check_requests:
            if known := self.day.endpoints.get(endpoint):
                answered, took, load = known.check_health(now, self.core.settings.fleet.probes.timeout_ms)
                self.day.clock.call_at(now + took, self.probed, endpoint, answered, took, load)
        self.core.health_check_requests, self.core.reports.membership_changes, self.core.reports.requests = [], [], []
        self.schedule(max(now + 0.05, self.decider.next_ms()))

    def probed(self, endpoint: int, answered: bool, took: float, load: dict[str, float]) -> None:
        if not self.ended:
            self.core.now_ms = self.day.clock.now_ms
            self.core.add_health_check(HealthCheckResult(endpoint, answered, took, load))
            self.poke()

    def end(self) -> None:
        self.ended = True


def play(book: RecordedScenario, inferred: InferredEndpoints, change: dict[str, Any], seed: int) -> dict[str, Any]:
    """A day with some settings changed (path to value); service, rules, exchanges."""
    records = [changed(life.settings, change) for life in book.incarnations]
    day = VirtualDay(records[0].fleet, min(life.first_ms for life in book.incarnations), seed)
    for number, row in book.endpoints.items():
        draw = random.Random(f"{seed} endpoint {number}").random
        made = ModelledEndpoint(number, row, day.fleet, inferred, draw)
        day.endpoints[number] = day.by_address[made.address] = made
    for name, row in book.proxies.items():
        day.proxies[name] = Proxy(name, row, day, random.Random(f"{seed} {name}").random)
    pilots = [
        ReplayedController(day, life, record, seed) for life, record in zip(book.incarnations, records, strict=True)
    ]
    for row in book.requests:
        if row["proxy"] in day.proxies:
            day.clock.call_at(row["at"], day.proxies[row["proxy"]].arrive, row)
    day.clock.run_until(book.end_ms + 100.0)
    evidence = evidence_of(book, day, pilots)
    return {
        "service": service_quality(day.fleet, day.exchanges),
        "breaks": check_invariants(evidence),
        "exchanges": day.exchanges,
        "digest": xxhash.xxh3_128_hexdigest(msgspec.msgpack.encode(day.exchanges)),
        "rounds": sum(pilot.core.completed_intervals for pilot in pilots),
    }


def evidence_of(book: RecordedScenario, day: VirtualDay, pilots: list[ReplayedController]) -> Evidence:
    """What the rule checker reads, from the modelled day."""
    made = Evidence(
        day.fleet,
        endpoints_by_address={address: endpoint.number for address, endpoint in day.by_address.items()},
        endpoint_zones={number: row["zone"] for number, row in book.endpoints.items()},
        endpoint_capacities={n: e.speed * e.cores for n, e in day.endpoints.items()},
        proxy_zones={name: proxy.zone for name, proxy in day.proxies.items()},
    )
    made.requests = day.exchanges
    for number, at, kind, proxy, exchange in day.served:
        made.served_requests.append({
            "what": "exchange", "at": at, "endpoint": number, "exchange": exchange, "class": kind.name, "proxy": proxy,
            "work": kind.work_ms, "effect": kind.semantics == "unsafe", "outcome": "run",
        })  # fmt: skip
    starts: dict[tuple[int, float], None] = {}
    for pilot in pilots:
        life = pilot.life
        name = life.settings.name
        made.channel_rows += pilot.taps
        for at, _, entries, _ in life.discovery_updates:
            for endpoint, zone, state, _, started in entries:
                made.discovery_updates.append(
                    {"at": at, "pilot": name, "endpoint": endpoint, "state": state, "started": started}
                )
                if started:
                    starts[endpoint, started] = None
                made.endpoint_zones.setdefault(endpoint, zone)
        for at, is_open, proxy, _ in life.stream_changes:
            made.stream_changes.append({"at": at, "proxy": proxy, "up": is_open, "pilot": name})
        for proxy in {change.proxy for change in life.stream_changes}:
            made.stream_changes.append({"at": life.last_ms, "proxy": proxy, "up": False, "pilot": name})
    made.endpoint_starts = [{"at": at, "endpoint": endpoint, "cold": True} for endpoint, at in starts]
    return made.sort()


def learn(book: RecordedScenario) -> tuple[InferredEndpoints, dict[str, float]]:
    """What the tries of a day say of its endpoints, and how well half of them tell the other half."""
    classes = {row.name: row for row in book.incarnations[0].settings.fleet.classes}
    addresses = {f"{row['host']}:{row['port']}": number for number, row in book.endpoints.items()}
    attempts = attempts_by_endpoint(book.requests, classes, addresses)
    cores = {number: row["cores"] for number, row in book.endpoints.items()}
    return infer_endpoints(attempts, cores), held_out_error(attempts, cores)


def compare(book: RecordedScenario, against: dict[str, Any], change: dict[str, Any], seeds: int) -> dict[str, Any]:
    """The day as it was, replayed as it was, with one change (`against`; empty: none) and another; seeds paired."""
    fleet = book.incarnations[0].settings.fleet
    inferred, held_out = learn(book)
    measured = service_quality(fleet, book.requests)
    plain = [play(book, inferred, {}, seed) for seed in range(seeds)]
    base = [play(book, inferred, against, seed) for seed in range(seeds)] if against else plain
    other = [play(book, inferred, change, seed) for seed in range(seeds)] if change else base
    gains = [b["service"]["service"] - a["service"]["service"] for a, b in zip(base, other, strict=True)]
    replayed = mean(row["service"]["service"] for row in plain)
    error = replayed - measured["service"]
    gain = mean(gains)
    noise = (sum((each - gain) ** 2 for each in gains) / max(1, len(gains) - 1)) ** 0.5
    runs = {"replayed": plain, "against": base, "changed": other}
    return {
        "measured": measured["service"], "replayed": round(replayed, 4), "error": round(error, 4),
        "tells": abs(error) <= TOLERANCE, "tolerance": TOLERANCE, "held_out": held_out,
        "against": against, "change": change, "gain": round(gain, 4), "noise": round(noise, 4), "seeds": seeds,
        "service": {name: round(mean(r["service"]["service"] for r in rows), 4) for name, rows in runs.items()},
        "by_class": {
            name: {"measured": part, **{run: round(mean(r["service"]["by_class"][name] for r in rows), 4)
                                        for run, rows in runs.items()}}
            for name, part in measured["by_class"].items()
        },
        "windows": {"measured": windows(fleet, book.requests),
                    **{run: windows(fleet, rows[0]["exchanges"]) for run, rows in runs.items()}},
        "lost_by_cause": {"measured": causes(fleet, book.requests),
                          **{run: causes(fleet, rows[0]["exchanges"]) for run, rows in runs.items()}},
        "changed_fate": fates(fleet, base[0]["exchanges"], other[0]["exchanges"]),
        "rules_broken": {run: max(len(row["breaks"]) for row in rows) for run, rows in runs.items()},
        "breaks": [found.to_row() for found in other[0]["breaks"][:5]],
        "digests": {run: [row["digest"] for row in rows] for run, rows in runs.items()},
    }  # fmt: skip


def windows(fleet: Any, exchanges: list[dict[str, Any]], span_ms: float = 1000.0) -> list[float]:
    """Service second by second, from the first exchange on."""
    classes = {row.name: row for row in fleet.classes}
    begin = min((row["at"] for row in exchanges), default=0.0)
    asked: dict[int, float] = defaultdict(float)
    won: dict[int, float] = defaultdict(float)
    for row in exchanges:
        at = int((row["at"] - begin) // span_ms)
        kind = classes[row["class"]]
        asked[at] += kind.priority_weight
        won[at] += kind.priority_weight * earned_share(kind, row)[0]
    return [round(won[at] / asked[at], 4) if asked[at] else 1.0 for at in range(max(asked, default=-1) + 1)]


def mean(values: Any) -> float:
    held = list(values)
    return sum(held) / len(held)


def why_lost(kind: ClassSettings, row: dict[str, Any]) -> str:
    """What cost an exchange its credit, or part of it; empty where it earned all."""
    part, _ = earned_share(kind, row)
    if part == 1.0:
        return ""
    if row["outcome"] == "ok":
        return "late"
    if row["outcome"] in ("refused", "bare"):
        return str(row["outcome"])
    return "tried twice" if len(row["tries"]) > 1 else "lost"


def causes(fleet: Any, exchanges: list[dict[str, Any]]) -> dict[str, float]:
    """The part of all credit lost to each cause."""
    classes = {row.name: row for row in fleet.classes}
    total = sum(classes[row["class"]].priority_weight for row in exchanges) or 1.0
    lost: dict[str, float] = defaultdict(float)
    for row in exchanges:
        kind = classes[row["class"]]
        if why := why_lost(kind, row):
            lost[why] += (1.0 - earned_share(kind, row)[0]) * kind.priority_weight / total
    return {why: round(part, 4) for why, part in sorted(lost.items())}


def fates(fleet: Any, one: list[dict[str, Any]], two: list[dict[str, Any]]) -> dict[str, int]:
    """How many exchanges are answered in time in one and not in the other."""
    classes = {row.name: row for row in fleet.classes}
    good = [
        {row["exchange"] for row in rows if earned_share(classes[row["class"]], row)[0] == 1.0} for rows in (one, two)
    ]
    return {"won": len(good[1] - good[0]), "lost": len(good[0] - good[1])}
