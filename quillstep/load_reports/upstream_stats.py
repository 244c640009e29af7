"""Mergeable windows of validated load reports, and their summaries.

Performs no I/O and reads no clock.  A window stores reports by identity, so merging two windows is a set union: however
the same reports are repeated, reordered or split, the summary is the same bit for bit (`math.fsum` rounds once,
whatever the order).  Times are in milliseconds; counts are requests or attempts.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

from quillstep.load_reports.summary import DownstreamRow, LatencyRow, ProxyRow, ReportSummary, UpstreamRow

MAX_PROXY_SHARE = 0.25  # largest share of an endpoint's statistics from one proxy, if eight or more report it
MIN_BOUNDED_PROXIES = 32  # number of proxies from which `MAX_PROXY_SHARE` also limits each one's share of all traffic
MIN_REMAINING_SHARE = 1e-9  # avoids a division by zero when all shares are clipped

ReportIdentity = tuple[int, str, int]  # proxy, incarnation, number


class EndpointRow(msgspec.Struct, gc=False):
    """The attempts of one proxy at one endpoint."""

    endpoint: int
    succeeded: int
    failed: int
    succeeded_ms: float  # summed latency of the successful attempts
    load: float | None


class ClassArrivals(msgspec.Struct, gc=False):
    """The requests of one class that arrived at one proxy."""

    class_index: int
    arrived: int
    unanswered: int


class ClassLatency(msgspec.Struct, gc=False):
    """The latencies of one class in one histogram bucket of a proxy."""

    class_index: int
    count: int
    total_ms: float


@dataclass(slots=True)
class CountedReport:
    """A validated report: what one proxy measured over `window_ms` up to `end_ms`."""

    proxy: int
    incarnation: str
    number: int  # report number sent by the proxy, or a digest of the message
    zone: str
    arrived_ms: float
    end_ms: float
    window_ms: float
    grace_ms: float  # longer of the requested period and the fleet's report interval
    uncounted_share: float = 1.0  # share of its window that was not counted before
    sampling_factor: float = 1.0  # number of proxies that its rows represent; 0 if the rows do not count
    arrivals: list[ClassArrivals] = field(default_factory=list)
    rows: list[EndpointRow] = field(default_factory=list)
    latencies: list[ClassLatency] = field(default_factory=list)
    current_share: float = 1.0  # share of its attempts that count as current traffic
    rows_cost: float = -1.0  # cost of reading its rows, in rows; below 0 if none were requested

    @property
    def identity(self) -> ReportIdentity:
        """The unique key of the report."""
        return self.proxy, self.incarnation, self.number


class ReportWindow:
    """The reports of one window by identity; `merge` is associative, commutative and idempotent."""

    def __init__(self, reports: Iterable[CountedReport] = ()) -> None:
        self.reports: dict[ReportIdentity, CountedReport] = {}
        for report in reports:
            self.add(report)

    def add(self, report: CountedReport) -> bool:
        """Adds a report; returns False if one with the same identity is present."""
        return self.reports.setdefault(report.identity, report) is report

    def merge(self, other: "ReportWindow") -> "ReportWindow":
        """Returns a window with the reports of both."""
        return ReportWindow([*self.reports.values(), *other.reports.values()])

    def sorted_reports(self) -> list[CountedReport]:
        """Returns the reports sorted by identity."""
        return [self.reports[identity] for identity in sorted(self.reports)]


EndpointKey = tuple[str, int]  # zone and endpoint


class WeightedRow(msgspec.Struct, gc=False):
    """A row of a report, with its weight and the share of its attempts that count as current traffic."""

    report: CountedReport
    weight: float
    current_share: float
    row: EndpointRow


class EndpointMemory:
    """State of each zone and endpoint that is retained between summaries.

    Attributes:
        newest_ms: End of the latest window that reported the endpoint.
        carried: Attempts of superseded rows, added to the endpoint's next fresh rows.
    """

    def __init__(self) -> None:
        self.newest_ms: dict[EndpointKey, float] = {}
        self.carried: dict[EndpointKey, float] = {}

    def evict_older(self, now_ms: float, max_age_ms: float) -> None:
        """Evicts the times of endpoints that have not been reported for `max_age_ms`."""
        self.newest_ms = {key: at_ms for key, at_ms in self.newest_ms.items() if now_ms - at_ms < max_age_ms}


def summarize(
    window: ReportWindow, weigh: Callable[[CountedReport], float], memory: EndpointMemory, slack_ms: float
) -> ReportSummary:
    """Summarizes a window: attempts by zone and endpoint, arrivals by class and proxy, latencies by zone and class.

    Args:
        window: The reports.
        weigh: Returns a report's weight by age, 0 to 1.
        memory: State retained between summaries; it is updated.
        slack_ms: Rows whose window ended more than this, plus their own period, before the latest one of their endpoint
            are superseded and omitted, as they don't describe its present state.  Their attempts were still made: they
            are carried over to the endpoint's next fresh rows.
    """
    summary = ReportSummary()
    rows: dict[EndpointKey, list[WeightedRow]] = {}
    latencies: dict[tuple[str, int], list[ClassLatency]] = {}
    reports = window.sorted_reports()
    remaining = _remaining_shares(reports)
    for report in reports:
        weight = weigh(report) * report.uncounted_share
        if weight <= 0.0:
            continue
        _add_proxy(summary, report, weight)
        for latency in report.latencies:
            latencies.setdefault((report.zone, latency.class_index), []).append(latency)
        if report.sampling_factor > 0.0:
            factor = report.sampling_factor * remaining.get(report.proxy, 1.0)
            current_share = report.uncounted_share * report.current_share * factor
            for row in report.rows:
                weighted = WeightedRow(report, weight * factor, current_share, row)
                rows.setdefault((report.zone, row.endpoint), []).append(weighted)
    for key, weighted_rows in rows.items():
        _add_endpoint(summary, key, weighted_rows, memory, slack_ms)
    for (zone, class_index), buckets in sorted(latencies.items()):
        count = sum(bucket.count for bucket in buckets)
        if count:
            mean_ms = math.fsum(bucket.total_ms for bucket in buckets) / count
            summary.latencies.append(LatencyRow(zone, class_index, mean_ms, count))
    return summary


def _remaining_shares(reports: list[CountedReport]) -> dict[int, float]:
    """Returns, for each proxy above `MAX_PROXY_SHARE` of all attempts, the share of its attempts that counts.

    Empty if fewer than `MIN_BOUNDED_PROXIES` report.
    """
    attempts: dict[int, float] = {}
    for report in reports:
        if report.rows:
            reported = sum(row.succeeded + row.failed for row in report.rows) * report.sampling_factor
            attempts[report.proxy] = attempts.get(report.proxy, 0.0) + reported
    if len(attempts) < MIN_BOUNDED_PROXIES:
        return {}
    clipped = clip_shares(list(attempts.values()), MAX_PROXY_SHARE)
    return {
        proxy: counted / reported
        for (proxy, reported), counted in zip(attempts.items(), clipped, strict=True)
        if counted < reported
    }


def _add_proxy(summary: ReportSummary, report: CountedReport, weight: float) -> None:
    """Adds a report's arrivals, and a row about the report itself."""
    arrived = 0
    for row in report.arrivals:
        arrived += row.arrived
        summary.downstream.append(
            DownstreamRow(
                row.class_index,
                report.proxy,
                row.arrived * weight,
                row.unanswered * weight,
                report.window_ms * weight,
                report.end_ms,
            )
        )
    failed = sum(row.failed for row in report.rows)
    attempts = failed + sum(row.succeeded for row in report.rows)
    summary.proxies.append(
        ProxyRow(
            report.proxy,
            report.arrived_ms,
            report.end_ms,
            report.window_ms,
            report.rows_cost,
            arrived,
            failed / attempts if attempts else 0.0,
        )
    )


def _add_endpoint(
    summary: ReportSummary, key: EndpointKey, rows: list[WeightedRow], memory: EndpointMemory, slack_ms: float
) -> None:
    """Adds the merged rows of one zone and endpoint, or carries their attempts over if all are superseded."""
    newest_ms = max(memory.newest_ms.get(key, float("-inf")), max(row.report.end_ms for row in rows))
    memory.newest_ms[key] = newest_ms
    fresh = [row for row in rows if row.report.end_ms >= newest_ms - slack_ms - row.report.grace_ms]
    summary.superseded += len(rows) - len(fresh)
    attempts = memory.carried.pop(key, 0.0) + math.fsum(
        row.current_share * (row.row.succeeded + row.row.failed) for row in rows
    )
    if fresh:
        summary.upstream.append(_merge_endpoint_rows(key, fresh, attempts, newest_ms))
    else:
        memory.carried[key] = attempts


class _ProxyTotals(msgspec.Struct, gc=False):
    """Weighted totals of what one proxy reported about one endpoint."""

    succeeded: float = 0.0
    failed: float = 0.0
    succeeded_ms: float = 0.0
    load_weight: float = 0.0
    weighted_load: float = 0.0

    def add(self, weighted: WeightedRow) -> None:
        row, weight = weighted.row, weighted.weight
        self.succeeded += row.succeeded * weight
        self.failed += row.failed * weight
        self.succeeded_ms += row.succeeded_ms * weight
        if row.load is not None:
            self.load_weight += weight * max(1, row.succeeded + row.failed)
            self.weighted_load += weight * max(1, row.succeeded + row.failed) * row.load

    @property
    def attempts(self) -> float:
        return self.succeeded + self.failed


def _merge_endpoint_rows(key: EndpointKey, rows: list[WeightedRow], attempts: float, end_ms: float) -> UpstreamRow:
    """Merges the rows of one zone and endpoint.

    All reported attempts count towards the total.  The failed share, the latency and the load are weighted means and
    medians in which no proxy has more than `MAX_PROXY_SHARE`, which limits the effect of one false report among many.
    """
    by_proxy: dict[int, _ProxyTotals] = {}
    for row in rows:
        proxy_totals = by_proxy.get(row.report.proxy)
        if proxy_totals is None:
            proxy_totals = by_proxy[row.report.proxy] = _ProxyTotals()
        proxy_totals.add(row)
    totals = [by_proxy[proxy] for proxy in sorted(by_proxy)]
    clipped = clip_shares([each.attempts for each in totals], MAX_PROXY_SHARE)
    shares = [
        min(1.0, counted / each.attempts) if each.attempts else 0.0
        for counted, each in zip(clipped, totals, strict=True)
    ]
    succeeded = math.fsum(each.succeeded * share for each, share in zip(totals, shares, strict=True))
    failed = math.fsum(each.failed * share for each, share in zip(totals, shares, strict=True))
    succeeded_ms = math.fsum(each.succeeded_ms * share for each, share in zip(totals, shares, strict=True))
    scale = attempts / (succeeded + failed) if succeeded + failed else 0.0
    load = weighted_median(
        [WeightedFigure(each.weighted_load / each.load_weight, each.load_weight) for each in totals if each.load_weight]
    )
    begin_ms = min(row.report.end_ms - row.report.window_ms for row in rows)
    last_ms = max(row.report.end_ms for row in rows)
    return UpstreamRow(
        *key,
        succeeded * scale,
        failed * scale,
        succeeded_ms * scale,
        load.weight,
        load.figure * load.weight,
        last_ms - begin_ms,
        end_ms,
    )


def clip_shares(shares: list[float], max_share: float) -> list[float]:
    """Clips shares so that none is above `max_share` of the sum of the clipped shares.

    With few shares above 0 the limit is twice an equal part: with one or two there is nothing to compare them with.
    """
    max_share = max(max_share, 2.0 / max(1, sum(each > 0.0 for each in shares)))
    if not shares or max(shares) <= max_share * math.fsum(shares):
        return shares
    ordered = sorted(shares, reverse=True)
    # With the `cut` largest shares clipped to a limit L: L = max_share x (cut x L + sum of the others).
    for cut in range(1, len(ordered)):
        if cut * max_share > 1.0 - MIN_REMAINING_SHARE:  # the clipped shares make up the whole, so they are equal
            limit = ordered[cut - 1]
            break
        limit = max_share * math.fsum(ordered[cut:]) / (1.0 - cut * max_share)
        if ordered[cut] <= limit:
            break
    return [min(each, limit) for each in shares]


class WeightedFigure(NamedTuple):
    """A value and its weight."""

    figure: float
    weight: float


def weighted_median(figures: list[WeightedFigure]) -> WeightedFigure:
    """Returns the weighted median and the total weight, or zeros if there are no figures.

    For the median, no weight counts for more than `MAX_PROXY_SHARE` of all.
    """
    if not figures:
        return WeightedFigure(0.0, 0.0)
    figures.sort()
    weights = clip_shares([each.weight for each in figures], MAX_PROXY_SHARE)
    total = math.fsum(each.weight for each in figures)
    half, cumulative = 0.5 * math.fsum(weights), 0.0
    for (figure, _), weight in zip(figures, weights, strict=True):
        cumulative += weight
        if cumulative >= half:
            return WeightedFigure(figure, total)
    return WeightedFigure(figures[-1].figure, total)
