"""What gatherers hand over, as the module gets it; and what is asked of proxies because of it.  No I/O, no clocks.

The figures of several gatherers add up, whatever the sequence in which they come.  What was not heard is left out: no
sum is not a sum of zero.
"""

import math
from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import Any

from hdrh.histogram import HdrHistogram

from quillstep.config.controller import ControllerSettings
from quillstep.load_reports.aggregator import Asked
from quillstep.load_reports.sampling import Sampler
from quillstep.load_reports.upstream_stats import ENOUGH, ONE_MOST
from quillstep.planner.messages import DownstreamStats, UpstreamStats

INTAKE_PART = 0.5  # of the report period between two hand-overs to the module
LATENCY_DIGITS = 2
PRESSED = 0.9  # of a window's work, from which a gatherer has none to spare
KEEPS = 0.7  # of what is known of a proxy's arrivals, for the bound on its word


class ReportCollector:
    """Between the gatherers and the module: `take` what one handed over, `hand_over` once a period."""

    def __init__(self, record: ControllerSettings) -> None:
        fleet, facts = record.fleet, record.reports
        self.usual_ms = fleet.proxies.report_interval_ms
        self.period_ms = INTAKE_PART * self.usual_ms
        self.ageing = facts.ageing
        self.classes = len(fleet.classes)
        self.since_ms = float("-inf")
        self.first_ms = 0.0  # when the first came of what has gathered
        self.sums: dict[tuple[str, int], list[list[Any]]] = {}
        self.arrivals: dict[tuple[int, int], list[list[float]]] = {}  # by class place and proxy
        self.newest: dict[tuple[str, int], float] = {}
        self.told: dict[tuple[int, int], float] = {}  # until when arrivals were told, by class place and proxy
        self.carried: dict[tuple[str, int], float] = {}  # tries that wait for fresh news of their endpoint
        self.rates: dict[int, float] = {}  # exchanges a second by proxy, for the bound on one's word
        work = facts.rows_per_s * max(1, len(facts.listen))
        self.sampler = Sampler(work, self.usual_ms, record.seed) if facts.sampling else None
        self.window_work = facts.rows_per_s * facts.window_ms / 1000.0
        self.longest_ms = max(row.deadline_ms for row in fleet.classes) * 10.0
        self.latency: dict[tuple[str, int], HdrHistogram] = {}
        self.stats: defaultdict[str, float] = defaultdict(float)
        self.void: Counter[str] = Counter()
        self.bounded: set[int] = set()  # proxies whose word has been bounded

    def joined(self, proxy: int, now_ms: float) -> None:
        if self.sampler:
            self.sampler.joined(proxy, now_ms)

    def left(self, proxy: int) -> None:
        if self.sampler:
            self.sampler.left(proxy)
        self.rates.pop(proxy, None)
        self.bounded.discard(proxy)
        for place in range(self.classes):
            self.told.pop((place, proxy), None)

    def take(self, found: dict[str, Any], now_ms: float) -> None:
        """One gatherer's window."""
        if not (self.sums or self.arrivals):
            self.first_ms = now_ms
        for row in found["sums"]:
            self.take_sum(row)
        for place, proxy, arrived, unanswered, covers_ms, until_ms in found["arrivals"]:
            key = (place, proxy)
            if self.ageing and until_ms < self.told.get(key, float("-inf")) - self.usual_ms:
                self.count("overtaken arrivals")
                continue  # what is known of it is newer
            self.told[key] = max(until_ms, self.told.get(key, float("-inf")))
            self.arrivals.setdefault(key, []).append([arrived, unanswered, covers_ms])
        for proxy, _, _, covers_ms, rows, arrived, failing in found["heard"]:
            self.heard(proxy, covers_ms, rows, arrived, failing, now_ms)
        for zone, place, mean_ms, count in found["took"]:
            self.histogram(zone, place).record_value(max(1, min(round(self.longest_ms), round(mean_ms))), count)
        for reason, count in found["void"].items():
            self.count(reason, count)
        if found["overtaken"]:
            self.count("overtaken rows", found["overtaken"])
        self.stats["work"] += found["work"]
        if self.sampler and found["work"] > PRESSED * self.window_work:
            self.sampler.pressed(now_ms)

    def take_sum(self, row: list[Any]) -> None:
        zone, endpoint, *_, until_ms = row
        key = (zone, endpoint)
        newest = self.newest.get(key, float("-inf"))
        if self.ageing and until_ms < newest - self.usual_ms - self.period_ms:
            self.count("overtaken sums")  # another gatherer had fresher news of it; the tries were made all the same
            self.carried[key] = self.carried.get(key, 0.0) + row[2] + row[3]
            return
        self.newest[key] = max(newest, until_ms)
        self.sums.setdefault(key, []).append(row)
        self.stats["tries"] += row[2] + row[3]

    def heard(
        self,
        proxy: int,
        covers_ms: float,
        rows: int,
        arrived: int,
        failing: float,
        now_ms: float,
    ) -> None:
        self.stats["reports"] += 1
        self.stats["rows"] += max(0.0, rows)
        if covers_ms > 0.0:
            rate = self.rates.get(proxy, 0.0)
            self.rates[proxy] = rate + (1.0 - KEEPS) * (arrived * 1000.0 / covers_ms - rate)
        if self.sampler:
            self.sampler.heard(proxy, covers_ms, rows, arrived, failing, now_ms)

    def count(self, reason: str, times: int = 1) -> None:
        self.void[reason] += times

    def histogram(self, zone: str, place: int) -> HdrHistogram:
        held = self.latency.get((zone, place))
        if held is None:
            held = self.latency[zone, place] = HdrHistogram(1, max(2, round(self.longest_ms)), LATENCY_DIGITS)
        return held

    # to the module

    def due_ms(self) -> float:
        """When what has gathered is to be handed over; never while there is nothing."""
        if not (self.sums or self.arrivals):
            return float("inf")
        return max(self.first_ms, self.since_ms + self.period_ms)

    def hand_over(self, now_ms: float) -> tuple[list[UpstreamStats], list[DownstreamStats]]:
        """The statistics since the last call, for the planner."""
        sums = [merged(key[1], rows, self.carried.pop(key, 0.0)) for key, rows in sorted(self.sums.items())]
        most = self.bound()
        arrivals = []
        for (place, proxy), rows in sorted(self.arrivals.items()):
            arrived, unanswered, covers_ms = (math.fsum(column) for column in zip(*rows, strict=True))
            scale = 1.0
            if self.rates.get(proxy, 0.0) > most:
                scale = most / self.rates[proxy]
                self.bounded.add(proxy)
            if covers_ms > 0.0:
                arrivals.append(DownstreamStats(place, proxy, arrived * scale, unanswered * scale, covers_ms))
        self.sums, self.arrivals, self.since_ms = {}, {}, now_ms
        return sums, arrivals

    def bound(self) -> float:
        """The most exchanges a second that one proxy's word may make the module believe in."""
        if len(self.rates) < ENOUGH:
            return float("inf")
        ordered = sorted(self.rates.values(), reverse=True)
        rest = math.fsum(ordered[1:])
        return max(ONE_MOST / (1.0 - ONE_MOST) * rest, ordered[1])

    # to the proxies

    def plan(self, now_ms: float) -> list[Asked]:
        return self.sampler.plan(now_ms) if self.sampler and now_ms >= self.sampler.due_ms else []

    def plan_ms(self) -> float:
        return self.sampler.due_ms if self.sampler else float("inf")

    def summary(self, names: Iterable[str]) -> dict[str, Any]:
        """What an operator wants to know of the reports so far."""
        found: dict[str, Any] = {
            **{name: round(value) for name, value in self.stats.items()},
            "void": self.void,
        }
        if self.sampler:
            found["groups"], found["times"] = self.sampler.stage.groups, self.sampler.stage.times
        for place, name in enumerate(names):
            held = [h for (_, p), h in self.latency.items() if p == place]
            if held:
                total = HdrHistogram(1, max(2, round(self.longest_ms)), LATENCY_DIGITS)
                for each in held:
                    total.add(each)
                found[name] = [total.get_value_at_percentile(p) for p in (50.0, 99.0)]
        return found


def merged(endpoint: int, rows: list[list[Any]], carried: float) -> UpstreamStats:
    """The rows of one endpoint and zone as one sum of the interface, with tries that older rows told of."""
    good, failed, good_ms, weight, load = (math.fsum(row[at] for row in rows) for at in range(2, 7))
    if carried and good + failed:
        more = 1.0 + carried / (good + failed)
        good, failed, good_ms = good * more, failed * more, good_ms * more
    begin = min(row[8] - row[7] for row in rows)
    end = max(row[8] for row in rows)
    told = {"util": load / weight} if weight else {}
    mean_ms = good_ms / max(good, 1e-9) if good else 0.0
    return UpstreamStats(endpoint, good + failed, failed, mean_ms, end - begin, told)


__all__ = ["ReportCollector"]
