"""Sums that merge: what proxies met, by report, and what a window of reports comes to.  Without I/O and clocks.

A window holds each report under its identity, so merging two windows is a union: repeated, reordered or split as they
may be, the same reports come to the same figures, bit for bit (`math.fsum` rounds once, whatever the sequence).
Times are milliseconds, counts are exchanges or tries.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

ONE_MOST = 0.25  # the part of a judgement that one proxy's word may make up, where eight or more speak
ENOUGH = 32  # proxies from which on one may not make up more than that of all traffic
Row = tuple[int, int, int, float, float | None]  # endpoint, good, failed, summed time of the good, load
Word = tuple["Report", float, float, Row]  # what it is worth, and how much of it is flow of the present


@dataclass(slots=True)
class Report:
    """What one proxy met over `covers_ms` until `until_ms`, checked; `factor` is what it stands for."""

    proxy: int
    life: str
    number: int  # told by the proxy, or a digest of what it sent
    zone: str
    arrived_ms: float
    until_ms: float
    covers_ms: float
    grace_ms: float  # the period that the proxy was asked for
    part: float = 1.0  # of its cover that was not counted before
    factor: float = 1.0  # proxies that its rows stand for; 0: its rows don't count
    arrivals: list[tuple[int, int, int]] = field(default_factory=list)  # class place, arrived, unanswered
    rows: list[Row] = field(default_factory=list)
    took: list[tuple[int, int, float]] = field(default_factory=list)  # class place, count, summed time
    volume: float = 1.0  # of its tries that count as flow of the present
    rows_work: float = -1.0  # what its rows cost to read; below 0: it was not to tell of endpoints

    @property
    def identity(self) -> tuple[int, str, int]:
        return self.proxy, self.life, self.number


class Window:
    """The reports of one window by identity; `merge` is associative, commutative and idempotent."""

    def __init__(self, reports: Iterable[Report] = ()) -> None:
        self.reports: dict[tuple[int, str, int], Report] = {}
        for report in reports:
            self.add(report)

    def add(self, report: Report) -> bool:
        """False where this very report is there already."""
        return self.reports.setdefault(report.identity, report) is report

    def merge(self, other: "Window") -> "Window":
        return Window([*self.reports.values(), *other.reports.values()])

    def in_order(self) -> list[Report]:
        return [self.reports[identity] for identity in sorted(self.reports)]


@dataclass(slots=True)
class Folded:
    """What a window came to, as plain rows for the way to the deciding thread."""

    # zone, endpoint, good, failed, summed time of the good, weight of load figures, weighted load, covers, until
    sums: list[list[Any]] = field(default_factory=list)
    # class place, proxy, arrived, unanswered, covers_ms, until_ms
    arrivals: list[list[Any]] = field(default_factory=list)
    took: list[list[Any]] = field(default_factory=list)  # zone, place, mean time, count
    # proxy, arrived_ms, until_ms, covers_ms, work of its rows, arrived, part of its tries that failed
    heard: list[list[Any]] = field(default_factory=list)
    overtaken: int = 0  # rows left out because fresher ones had told of their endpoint


def clip(shares: list[float], most: float) -> list[float]:
    """Shares of a whole with none above `most` of what is left of all, or above twice an equal part of it where few
    speak: with one or two there is nobody to say who lies."""
    most = max(most, 2.0 / max(1, sum(each > 0.0 for each in shares)))
    if not shares or max(shares) <= most * math.fsum(shares):
        return shares
    ordered = sorted(shares, reverse=True)
    # With the greatest `cut` of them cut to a limit L, L = most x (cut x L + the rest).
    for cut in range(1, len(ordered)):
        if cut * most > 1.0 - 1e-9:  # those that were cut make up all there is: they are equal
            limit = ordered[cut - 1]
            break
        limit = most * math.fsum(ordered[cut:]) / (1.0 - cut * most)
        if ordered[cut] <= limit:
            break
    return [min(each, limit) for each in shares]


def fold(
    window: Window,
    now_ms: float,
    weigh: Callable[[Report, float], float],
    newest: dict[tuple[str, int], float],
    slack_ms: float,
    carried: dict[tuple[str, int], float],
) -> Folded:
    """Sums by zone and endpoint, arrivals by class and proxy, times by zone and class.

    `weigh(report, now_ms)` gives a report's worth; `newest` says until when each zone had told of each endpoint
    before, and is brought up to date: rows that end over `slack_ms` (and their own period) before it say nothing of how
    the endpoint is; that their tries were made is `carried` to the next sum of it.
    """
    found = Folded()
    spoken: dict[tuple[str, int], list[Word]] = {}
    took: dict[tuple[str, int], list[tuple[int, float]]] = {}
    reports = window.in_order()
    bounds = bounded(reports)
    for report in reports:
        counts = weigh(report, now_ms) * report.part
        if counts <= 0.0:
            continue
        tell_heard(found, report, counts)
        for place, count, total in report.took:
            took.setdefault((report.zone, place), []).append((count, total))
        if report.factor > 0.0:
            stands = report.factor * bounds.get(report.proxy, 1.0)
            word = (report, counts * stands, report.part * report.volume * stands)
            for row in report.rows:
                spoken.setdefault((report.zone, row[0]), []).append((*word, row))
    for key, words in spoken.items():
        until = max(newest.get(key, float("-inf")), max(word[0].until_ms for word in words))
        newest[key] = until
        fresh = [word for word in words if word[0].until_ms >= until - slack_ms - word[0].grace_ms]
        found.overtaken += len(words) - len(fresh)
        volume = carried.pop(key, 0.0) + math.fsum(word[2] * (word[3][1] + word[3][2]) for word in words)
        if fresh:
            found.sums.append(summed(key, fresh, volume, until))
        else:
            carried[key] = volume  # that these tries were made is no old news
    for (zone, place), means in sorted(took.items()):
        count = sum(each for each, _ in means)
        if count:
            found.took.append([zone, place, math.fsum(total for _, total in means) / count, count])
    return found


def bounded(reports: list[Report]) -> dict[int, float]:
    """What is left of the word of those that tell of more than `ONE_MOST` of all tries; few proxies are not bounded."""
    tries: dict[int, float] = {}
    for report in reports:
        if report.rows:
            told = sum(row[1] + row[2] for row in report.rows) * report.factor
            tries[report.proxy] = tries.get(report.proxy, 0.0) + told
    if len(tries) < ENOUGH:
        return {}
    left = clip(list(tries.values()), ONE_MOST)
    return {proxy: kept / told for (proxy, told), kept in zip(tries.items(), left, strict=True) if kept < told}


def tell_heard(found: Folded, report: Report, counts: float) -> None:
    """Arrivals, and a line on the proxy itself."""
    came = 0
    for place, arrived, unanswered in report.arrivals:
        came += arrived
        found.arrivals.append([
            place, report.proxy, arrived * counts, unanswered * counts, report.covers_ms * counts, report.until_ms
        ])  # fmt: skip
    failed = sum(row[2] for row in report.rows)
    tries = failed + sum(row[1] for row in report.rows)
    found.heard.append([
        report.proxy, report.arrived_ms, report.until_ms, report.covers_ms, report.rows_work, came,
        failed / tries if tries else 0.0,
    ])  # fmt: skip


def summed(key: tuple[str, int], rows: list[Word], volume: float, until_ms: float) -> list[Any]:
    """One endpoint as one zone met it.  Volume is all that was told; the parts that failed, the times and the load
    are judged by what each word is worth, with none above `ONE_MOST` of the whole: one liar among many moves little."""
    by_proxy: dict[int, list[float]] = {}  # good, failed, good_ms, load weight, weighted load
    for report, worth, _, (_, good, failed, good_ms, load) in rows:
        held = by_proxy.get(report.proxy)
        if held is None:
            held = by_proxy[report.proxy] = [0.0, 0.0, 0.0, 0.0, 0.0]
        held[0] += good * worth
        held[1] += failed * worth
        held[2] += good_ms * worth
        if load is not None:
            held[3] += worth * max(1, good + failed)
            held[4] += worth * max(1, good + failed) * load
    words = [by_proxy[proxy] for proxy in sorted(by_proxy)]
    clipped = clip([word[0] + word[1] for word in words], ONE_MOST)
    parts = [min(1.0, c / (w[0] + w[1])) if w[0] + w[1] else 0.0 for c, w in zip(clipped, words, strict=True)]
    met = [math.fsum(word[at] * part for word, part in zip(words, parts, strict=True)) for at in range(3)]
    scale = volume / (met[0] + met[1]) if met[0] + met[1] else 0.0
    weight, figure = middle([(word[4] / word[3], word[3]) for word in words if word[3]])
    begin = min(report.until_ms - report.covers_ms for report, *_ in rows)
    end = max(report.until_ms for report, *_ in rows)
    return [*key, *(each * scale for each in met), weight, figure * weight, end - begin, until_ms]


def middle(figures: list[tuple[float, float]]) -> tuple[float, float]:
    """The weight of all figures and their weighted median, no figure's weight above `ONE_MOST` of all."""
    if not figures:
        return 0.0, 0.0
    figures.sort()
    weights = clip([each for _, each in figures], ONE_MOST)
    half, so_far = 0.5 * math.fsum(weights), 0.0
    for (figure, _), each in zip(figures, weights, strict=True):
        so_far += each
        if so_far >= half:
            return math.fsum(each for _, each in figures), figure
    return math.fsum(each for _, each in figures), figures[-1][0]
