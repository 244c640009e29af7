"""Sums that merge: checked reports, windows of them, and what a window comes to.  Without I/O and clocks.

A window holds each report under its identity, so merging two windows is a union: repeated, reordered or split as they
may be, the same reports come to the same figures, bit for bit (`math.fsum` rounds once, whatever the sequence).
Times are milliseconds, counts are requests or attempts.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

from quillstep.load_reports.summary import DownstreamRow, LatencyRow, ProxyRow, ReportSummary, UpstreamRow

MAX_PROXY_SHARE = 0.25  # of an endpoint's figures that one proxy may make up, where eight or more report it
MIN_BOUNDED_PROXIES = 32  # proxies from which on none may make up more than that of all traffic
MIN_REMAINING_SHARE = 1e-9

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
    """The requests of one class in one latency bucket."""

    class_index: int
    count: int
    total_ms: float


@dataclass(slots=True)
class CountedReport:
    """What one proxy measured over `window_ms` until `end_ms`, checked."""

    proxy: int
    incarnation: str
    number: int  # sent by the proxy, or a digest of what it sent
    zone: str
    arrived_ms: float
    end_ms: float
    window_ms: float
    grace_ms: float  # the period that was requested from the proxy
    uncounted_share: float = 1.0  # of its window that was not counted before
    sampling_factor: float = 1.0  # proxies that its rows stand for; 0: its rows don't count
    arrivals: list[ClassArrivals] = field(default_factory=list)
    rows: list[EndpointRow] = field(default_factory=list)
    latencies: list[ClassLatency] = field(default_factory=list)
    current_share: float = 1.0  # of its attempts that count as current traffic
    rows_cost: float = -1.0  # what its rows cost to read, in rows; below 0: it was not to have any

    @property
    def identity(self) -> ReportIdentity:
        """What no other report has."""
        return self.proxy, self.incarnation, self.number


class ReportWindow:
    """The reports of one window by identity; `merge` is associative, commutative and idempotent."""

    def __init__(self, reports: Iterable[CountedReport] = ()) -> None:
        self.reports: dict[ReportIdentity, CountedReport] = {}
        for report in reports:
            self.add(report)

    def add(self, report: CountedReport) -> bool:
        """False where this very report is there already."""
        return self.reports.setdefault(report.identity, report) is report

    def merge(self, other: "ReportWindow") -> "ReportWindow":
        """A window with the reports of both."""
        return ReportWindow([*self.reports.values(), *other.reports.values()])

    def in_order(self) -> list[CountedReport]:
        """The reports by identity."""
        return [self.reports[identity] for identity in sorted(self.reports)]


EndpointKey = tuple[str, int]  # zone and endpoint


class WeightedRow(msgspec.Struct, gc=False):
    """A report's row, what it weighs, and how many of its attempts count as current traffic."""

    report: CountedReport
    weight: float
    current_share: float
    row: EndpointRow


class EndpointMemory:
    """What summaries remember of each zone and endpoint: how recent its figures are, and attempts not yet passed on."""

    def __init__(self) -> None:
        self.newest_ms: dict[EndpointKey, float] = {}  # when the latest window ended
        self.carried: dict[EndpointKey, float] = {}  # attempts of superseded rows, added to the next fresh ones

    def forget_older(self, now_ms: float, max_age_ms: float) -> None:
        """Drops the times of endpoints that nobody has reported for so long."""
        self.newest_ms = {key: at_ms for key, at_ms in self.newest_ms.items() if now_ms - at_ms < max_age_ms}


def summarize(
    window: ReportWindow, weigh: Callable[[CountedReport], float], memory: EndpointMemory, slack_ms: float
) -> ReportSummary:
    """Sums by zone and endpoint, arrivals by class and proxy, latencies by zone and class.

    Args:
        window: The reports.
        weigh: A report's weight by age, 0 to 1.
        memory: Brought up to date.
        slack_ms: Rows that end by more than this (and their own period) before the latest of their endpoint are left
            out, as they say nothing of how it is now; that their attempts were made is carried to its next sum.
    """
    summary = ReportSummary()
    rows: dict[EndpointKey, list[WeightedRow]] = {}
    latencies: dict[tuple[str, int], list[ClassLatency]] = {}
    reports = window.in_order()
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
    """By proxy, the share that counts of what it reported, where it reported over `MAX_PROXY_SHARE` of all attempts.

    Empty where few proxies report.
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
    """Adds a report's arrivals, and a row on the report itself."""
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
    """Adds the sum of one zone's rows of one endpoint, or carries its attempts where all rows are superseded."""
    newest_ms = max(memory.newest_ms.get(key, float("-inf")), max(row.report.end_ms for row in rows))
    memory.newest_ms[key] = newest_ms
    fresh = [row for row in rows if row.report.end_ms >= newest_ms - slack_ms - row.report.grace_ms]
    summary.superseded += len(rows) - len(fresh)
    attempts = memory.carried.pop(key, 0.0) + math.fsum(
        row.current_share * (row.row.succeeded + row.row.failed) for row in rows
    )
    if fresh:
        summary.upstream.append(_sum_rows(key, fresh, attempts, newest_ms))
    else:
        memory.carried[key] = attempts


class _ProxySum(msgspec.Struct, gc=False):
    """What one proxy reported of one endpoint, by weight."""

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


def _sum_rows(key: EndpointKey, rows: list[WeightedRow], attempts: float, end_ms: float) -> UpstreamRow:
    """One endpoint as one zone met it.

    The number of attempts is all that was reported; the shares that failed, the latency and the load go by weight, with
    no proxy above `MAX_PROXY_SHARE` of the whole: one false report among many moves little.
    """
    by_proxy: dict[int, _ProxySum] = {}
    for row in rows:
        held = by_proxy.get(row.report.proxy)
        if held is None:
            held = by_proxy[row.report.proxy] = _ProxySum()
        held.add(row)
    sums = [by_proxy[proxy] for proxy in sorted(by_proxy)]
    clipped = clip_shares([each.attempts for each in sums], MAX_PROXY_SHARE)
    shares = [
        min(1.0, counted / each.attempts) if each.attempts else 0.0 for counted, each in zip(clipped, sums, strict=True)
    ]
    succeeded = math.fsum(each.succeeded * share for each, share in zip(sums, shares, strict=True))
    failed = math.fsum(each.failed * share for each, share in zip(sums, shares, strict=True))
    succeeded_ms = math.fsum(each.succeeded_ms * share for each, share in zip(sums, shares, strict=True))
    scale = attempts / (succeeded + failed) if succeeded + failed else 0.0
    load = weighted_median(
        [WeightedFigure(each.weighted_load / each.load_weight, each.load_weight) for each in sums if each.load_weight]
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


def clip_shares(shares: list[float], most: float) -> list[float]:
    """Shares of a whole with none above `most` of what is left of all.

    Where few shares are above 0 the limit is twice an equal part: with one or two there is nobody to compare with.
    """
    most = max(most, 2.0 / max(1, sum(each > 0.0 for each in shares)))
    if not shares or max(shares) <= most * math.fsum(shares):
        return shares
    ordered = sorted(shares, reverse=True)
    # With the greatest `cut` of them cut to a limit L, L = most x (cut x L + the rest).
    for cut in range(1, len(ordered)):
        if cut * most > 1.0 - MIN_REMAINING_SHARE:  # those that were cut make up all there is: they are equal
            limit = ordered[cut - 1]
            break
        limit = most * math.fsum(ordered[cut:]) / (1.0 - cut * most)
        if ordered[cut] <= limit:
            break
    return [min(each, limit) for each in shares]


class WeightedFigure(NamedTuple):
    """A figure and its weight."""

    figure: float
    weight: float


def weighted_median(figures: list[WeightedFigure]) -> WeightedFigure:
    """The weighted median, with the weight of all figures; no figure's weight is above `MAX_PROXY_SHARE` of all."""
    if not figures:
        return WeightedFigure(0.0, 0.0)
    figures.sort()
    weights = clip_shares([each.weight for each in figures], MAX_PROXY_SHARE)
    total = math.fsum(each.weight for each in figures)
    half, so_far = 0.5 * math.fsum(weights), 0.0
    for (figure, _), weight in zip(figures, weights, strict=True):
        so_far += weight
        if so_far >= half:
            return WeightedFigure(figure, total)
    return WeightedFigure(figures[-1].figure, total)
