"""Merges the summaries of all readers into statistics for the planner, and plans how proxies are to report.

Performs no I/O and reads no clock.  Summaries of several readers are additive and may arrive in any order.  Endpoints
and classes that were not reported are omitted, not reported as zero.
"""

import math
from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import Any, NamedTuple

from hdrh.histogram import HdrHistogram

from quillstep.config.controller import ControllerSettings
from quillstep.load_reports.messages import ReportRequest
from quillstep.load_reports.sampling import Sampler
from quillstep.load_reports.summary import DownstreamRow, LatencyRow, ProxyRow, ReportSummary, UpstreamRow
from quillstep.load_reports.upstream_stats import MAX_PROXY_SHARE, MIN_BOUNDED_PROXIES, EndpointKey
from quillstep.planner.messages import DownstreamStats, UpstreamStats

DRAIN_INTERVAL_PERIODS = 0.5  # interval between drains for the planner, in report periods
LATENCY_DIGITS = 2  # significant digits of the latency histograms
MAX_LATENCY_DEADLINES = 10.0  # histogram range, in longest deadlines; longer latencies are clamped to it
BUSY_SHARE = 0.9  # share of a window's budget above which a reader has no budget to spare
RATE_DECAY = 0.7  # weight that the estimate of a proxy's arrival rate retains at each report
LOGGED_PERCENTILES = (50.0, 99.0)


class ProxyClass(NamedTuple):
    """One request class at one proxy."""

    class_index: int
    proxy: int


class ReportCollector:
    """Collects the readers' summaries with `add_summary` and returns merged statistics from `drain`, once an interval.

    Attributes:
        default_period_ms: The fleet's report interval.
        window_budget: Rows that one reader may read per window.
        totals: Counters for the log, by field name.
        rejected: Reports and rows that did not count, by reason.
    """

    def __init__(self, settings: ControllerSettings) -> None:
        fleet, reports = settings.fleet, settings.reports
        self.default_period_ms = fleet.proxies.report_interval_ms
        self.interval_ms = DRAIN_INTERVAL_PERIODS * self.default_period_ms
        self.ageing = reports.ageing
        self.class_count = len(fleet.classes)
        self.drained_ms = float("-inf")
        self.pending_since_ms = 0.0  # arrival of the first summary since the last drain
        self.upstream: dict[EndpointKey, list[UpstreamRow]] = {}
        self.downstream: dict[ProxyClass, list[DownstreamRow]] = {}
        self.newest_ms: dict[EndpointKey, float] = {}
        self.arrivals_end_ms: dict[ProxyClass, float] = {}  # end of the latest window of arrivals
        self.carried: dict[
            EndpointKey, float
        ] = {}  # attempts of superseded rows, added to the next fresh rows of their endpoint
        self.arrival_rates: dict[int, float] = {}  # requests per second, by proxy
        budget_per_s = reports.rows_per_s * max(1, len(reports.listen))
        self.sampler = Sampler(budget_per_s, self.default_period_ms, settings.seed) if reports.sampling else None
        self.window_budget = reports.rows_per_s * reports.window_ms / 1000.0
        self.max_latency_ms = max(row.deadline_ms for row in fleet.classes) * MAX_LATENCY_DEADLINES
        self.latency: dict[tuple[str, int], HdrHistogram] = {}  # histograms by zone and class index
        self.totals: defaultdict[str, float] = defaultdict(float)
        self.rejected: Counter[str] = Counter()
        self.bounded: set[int] = set()  # proxies whose arrivals were scaled down to the limit

    # Membership

    def add_proxy(self, proxy: int, now_ms: float) -> None:
        """Handles a proxy that has joined."""
        if self.sampler:
            self.sampler.add_proxy(proxy, now_ms)

    def remove_proxy(self, proxy: int) -> None:
        """Handles a proxy that has left; drops its state."""
        if self.sampler:
            self.sampler.remove_proxy(proxy)
        self.arrival_rates.pop(proxy, None)
        self.bounded.discard(proxy)
        for class_index in range(self.class_count):
            self.arrivals_end_ms.pop(ProxyClass(class_index, proxy), None)

    # Summaries from the readers

    def add_summary(self, summary: ReportSummary, now_ms: float) -> None:
        """Adds the summary of one window of one reader."""
        if not (self.upstream or self.downstream):
            self.pending_since_ms = now_ms
        for upstream in summary.upstream:
            self._add_upstream(upstream)
        for downstream in summary.downstream:
            self._add_downstream(downstream)
        for proxy in summary.proxies:
            self._add_proxy_row(proxy, now_ms)
        for latency in summary.latencies:
            self._add_latency(latency)
        for reason, count in summary.rejected.items():
            self.rejected[reason] += count
        if summary.superseded:
            self.rejected["superseded rows"] += summary.superseded
        self.totals["work"] += summary.cost
        if self.sampler and summary.cost > BUSY_SHARE * self.window_budget:
            self.sampler.plan_soon(now_ms)

    def _add_upstream(self, row: UpstreamRow) -> None:
        key = (row.zone, row.endpoint)
        newest_ms = self.newest_ms.get(key, float("-inf"))
        if self.ageing and row.end_ms < newest_ms - self.default_period_ms - self.interval_ms:
            # Another reader had fresher rows of this endpoint; the attempts are carried over, as they were still made.
            self.rejected["superseded endpoint sums"] += 1
            self.carried[key] = self.carried.get(key, 0.0) + row.succeeded + row.failed
            return
        self.newest_ms[key] = max(newest_ms, row.end_ms)
        self.upstream.setdefault(key, []).append(row)
        self.totals["tries"] += row.succeeded + row.failed

    def _add_downstream(self, row: DownstreamRow) -> None:
        key = ProxyClass(row.class_index, row.proxy)
        latest_ms = self.arrivals_end_ms.get(key, float("-inf"))
        if self.ageing and row.end_ms < latest_ms - self.default_period_ms:
            self.rejected["superseded arrivals"] += 1
            return
        self.arrivals_end_ms[key] = max(row.end_ms, latest_ms)
        self.downstream.setdefault(key, []).append(row)

    def _add_proxy_row(self, row: ProxyRow, now_ms: float) -> None:
        self.totals["reports"] += 1
        self.totals["rows"] += max(0.0, row.rows_cost)
        if row.window_ms > 0.0:
            rate = self.arrival_rates.get(row.proxy, 0.0)
            self.arrival_rates[row.proxy] = rate + (1.0 - RATE_DECAY) * (row.arrived * 1000.0 / row.window_ms - rate)
        if self.sampler:
            self.sampler.observe(row, now_ms)

    def _add_latency(self, row: LatencyRow) -> None:
        key = (row.zone, row.class_index)
        histogram = self.latency.get(key)
        if histogram is None:
            histogram = self.latency[key] = self._new_histogram()
        latency_ms = max(1, min(round(self.max_latency_ms), round(row.mean_ms)))
        histogram.record_value(latency_ms, row.count)

    def _new_histogram(self) -> HdrHistogram:
        return HdrHistogram(1, max(2, round(self.max_latency_ms)), LATENCY_DIGITS)

    # Statistics for the planner

    def due_ms(self) -> float:
        """Returns when `drain` is due, in milliseconds; infinity while there is nothing to drain."""
        if not (self.upstream or self.downstream):
            return float("inf")
        return max(self.pending_since_ms, self.drained_ms + self.interval_ms)

    def drain(self, now_ms: float) -> tuple[list[UpstreamStats], list[DownstreamStats]]:
        """Returns the upstream and downstream statistics since the last call, sorted by key."""
        upstream_stats = [
            _merge_rows(endpoint, rows, self.carried.pop((zone, endpoint), 0.0))
            for (zone, endpoint), rows in sorted(self.upstream.items())
        ]
        max_rate = self._max_arrival_rate()
        downstream_stats = []
        for key, rows in sorted(self.downstream.items()):
            arrived = math.fsum(row.arrived for row in rows)
            unanswered = math.fsum(row.unanswered for row in rows)
            window_ms = math.fsum(row.window_ms for row in rows)
            scale = 1.0
            rate = self.arrival_rates.get(key.proxy, 0.0)
            if rate > max_rate:
                scale = max_rate / rate
                self.bounded.add(key.proxy)
            if window_ms > 0.0:
                downstream_stats.append(
                    DownstreamStats(key.class_index, key.proxy, arrived * scale, unanswered * scale, window_ms)
                )
        self.upstream, self.downstream, self.drained_ms = {}, {}, now_ms
        return upstream_stats, downstream_stats

    def _max_arrival_rate(self) -> float:
        """Returns the arrival rate, in requests per second, above which a proxy's arrivals are scaled down.

        The limit is a bounded share of all arrivals, so that one faulty proxy can't dominate the demand; there is none
        while few proxies report.
        """
        if len(self.arrival_rates) < MIN_BOUNDED_PROXIES:
            return float("inf")
        ordered = sorted(self.arrival_rates.values(), reverse=True)
        rest = math.fsum(ordered[1:])
        return max(MAX_PROXY_SHARE / (1.0 - MAX_PROXY_SHARE) * rest, ordered[1])

    # Requests to the proxies

    def plan_requests(self, now_ms: float) -> list[ReportRequest]:
        """Returns the report requests that have changed since the last call."""
        return self.sampler.plan(now_ms) if self.sampler and now_ms >= self.sampler.due_ms else []

    def plan_due_ms(self) -> float:
        """Returns when `plan_requests` is due, in milliseconds; infinity without sampling."""
        return self.sampler.due_ms if self.sampler else float("inf")

    def statistics(self, class_names: Iterable[str]) -> dict[str, Any]:
        """Returns totals of all reports so far, as fields of a log event."""
        fields: dict[str, Any] = {name: round(total) for name, total in self.totals.items()}
        fields["void"] = self.rejected
        if self.sampler:
            fields["groups"], fields["times"] = self.sampler.turn.stage.groups, self.sampler.turn.stage.period_factor
        for class_index, name in enumerate(class_names):
            histograms = [each for (_, index), each in self.latency.items() if index == class_index]
            if histograms:
                total = self._new_histogram()
                for each in histograms:
                    total.add(each)
                fields[name] = [total.get_value_at_percentile(percentile) for percentile in LOGGED_PERCENTILES]
        return fields


def _merge_rows(endpoint: int, rows: list[UpstreamRow], carried: float) -> UpstreamStats:
    """Merges the rows of one endpoint and zone, scaled up to include the `carried` attempts of superseded rows."""
    succeeded = math.fsum(row.succeeded for row in rows)
    failed = math.fsum(row.failed for row in rows)
    succeeded_ms = math.fsum(row.succeeded_ms for row in rows)
    load_weight = math.fsum(row.load_weight for row in rows)
    weighted_load = math.fsum(row.weighted_load for row in rows)
    if carried and succeeded + failed:
        scale = 1.0 + carried / (succeeded + failed)
        succeeded, failed, succeeded_ms = succeeded * scale, failed * scale, succeeded_ms * scale
    begin_ms = min(row.end_ms - row.window_ms for row in rows)
    end_ms = max(row.end_ms for row in rows)
    load = {"util": weighted_load / load_weight} if load_weight else {}
    mean_ms = succeeded_ms / max(succeeded, 1e-9) if succeeded else 0.0
    return UpstreamStats(endpoint, succeeded + failed, failed, mean_ms, end_ms - begin_ms, load)
