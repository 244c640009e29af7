"""What one proxy's reports may contain and how often they may come.  Without I/O and clocks; times are milliseconds.

Impossible figures are rejected and logged; what is plausible but false is bounded where reports are summed
(`upstream_stats.MAX_PROXY_SHARE`).  All that is kept for a proxy has a bound.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

from quillstep.load_reports.aging import ExcessDelay, SeenNumbers, max_age_ms
from quillstep.load_reports.upstream_stats import ClassArrivals, ClassLatency, CountedReport, EndpointRow

MAX_RATE_PER_S = 100_000.0  # requests or attempts that one proxy may report at all
MAX_WINDOW_MS = 86_400_000.0
MAX_TIME_STAMP_MS = 1e15
MAX_LATENCY_DEADLINES = 10.0  # deadlines that one attempt may have taken
MAX_LOAD = 16.0  # a larger load figure is ignored
MAX_ATTEMPTS_PER_REQUEST = 3.0  # no retry policy makes more
ARRIVED_DECAY = 0.8  # of the arrivals whose attempts may still end, a report later
SPARE_ATTEMPTS = 8.0
MAX_BURST = 4.0  # reports that may come at once
MAX_REPORTS_PER_PERIOD = 2.0  # in the mean
SPARE_WINDOW_PERIODS = 2.0  # of window beyond the time that has passed, for clocks and jitter
MAX_CURRENT_PERIODS = 1.5  # of window that may count as current traffic at once
DELAY_SPAN_PERIODS = 60.0  # after which the least delay is forgotten
MAX_DIGESTS = 32


@dataclass(slots=True)
class LoadReport:
    """A report as it was read, nothing of it checked."""

    number: int  # below 0 where the proxy sent none
    sent_ms: float | None  # None where the proxy sent none
    end_ms: float | None  # on the clock of `sent_ms`
    window_ms: float
    digest: int
    arrivals: list[ClassArrivals] = field(default_factory=list)
    rows: list[EndpointRow] = field(default_factory=list)
    latencies: list[ClassLatency] = field(default_factory=list)
    unlisted_rows: int = 0  # of endpoints that are in no list
    has_arrivals: bool = True  # it reported requests apart from attempts


# The names in `rename` are those of the accounts that travel between the controller and its reader processes.


class ReportAccount(
    msgspec.Struct,
    rename={
        "incarnation": "life", "is_full": "full", "sampling_factor": "factor", "window_budget_ms": "cover_ms",
        "end_ms": "until_ms", "readable_reports": "allowed", "readable_at_ms": "allowed_ms", "arrived": "came",
        "current_budget_ms": "flow_ms", "current_at_ms": "flow_at_ms",
    },
):  # fmt: skip
    """What is remembered of one joined proxy's reports."""

    number: int
    zone: str
    incarnation: str
    period_ms: float  # as requested
    usual_ms: float  # the fleet's period
    is_full: bool = True
    sampling_factor: float = 1.0
    counts_from_ms: float = float("-inf")  # when its rows count, where groups of proxies report in full in turn
    counts_to_ms: float = float("inf")
    numbers: SeenNumbers = msgspec.field(default_factory=SeenNumbers)
    digests: list[int] = msgspec.field(default_factory=list)
    delay: ExcessDelay = msgspec.field(default_factory=ExcessDelay)
    window_budget_ms: float = float("inf")  # window that may still be counted
    end_ms: float | None = None  # of the latest window
    readable_reports: float = MAX_BURST  # that may be read now
    readable_at_ms: float | None = None  # when that was brought up to date
    arrived: float = 0.0  # requests whose attempts may still end
    current_budget_ms: float = float("inf")  # of window whose attempts may still count as current traffic
    current_at_ms: float | None = None

    @property
    def longest_period_ms(self) -> float:
        """The period as requested, or the fleet's where that is longer."""
        return max(self.period_ms, self.usual_ms)

    def restore(self, before: "ReportAccount") -> None:
        """Takes over what was remembered of the same incarnation."""
        self.numbers, self.digests, self.delay = before.numbers, before.digests, before.delay
        self.window_budget_ms, self.end_ms = before.window_budget_ms, before.end_ms

    def current_share(self, window_ms: float, now_ms: float) -> float:
        """The share of a report's attempts that counts as current traffic.

        As much window counts as time has passed, so that a proxy that is always late counts in full, and one that sends
        ten periods at once for a little over one.
        """
        most_ms = MAX_CURRENT_PERIODS * self.longest_period_ms
        passed_ms = now_ms - self.current_at_ms if self.current_at_ms is not None else most_ms
        self.current_budget_ms = min(most_ms, self.current_budget_ms + max(0.0, passed_ms))
        self.current_at_ms = now_ms
        share = min(1.0, self.current_budget_ms / window_ms)
        self.current_budget_ms -= share * window_ms
        return share

    def wait_until_ms(self, now_ms: float) -> float:
        """0 where a report may be read now, else when; too frequent reports are read at the pace of the period."""
        if self.readable_at_ms is not None:
            reports_per_ms = MAX_REPORTS_PER_PERIOD / self.usual_ms
            self.readable_reports = min(
                MAX_BURST, self.readable_reports + (now_ms - self.readable_at_ms) * reports_per_ms
            )
            self.readable_at_ms = now_ms
            if self.readable_reports < 1.0:
                return now_ms + (1.0 - self.readable_reports) / reports_per_ms
        self.readable_at_ms = now_ms
        return 0.0


class ValidationResult(NamedTuple):
    """What came of checking a report."""

    rejection: str  # why nothing of it counts, or empty
    dropped_rows: int


class Rejected(NamedTuple):
    """Why a report does not count."""

    reason: str


def validate(report: LoadReport, account: ReportAccount, deadline_ms: float, max_rows: int) -> ValidationResult:
    """Drops impossible rows of a report, or says why it is rejected whole."""
    most = MAX_RATE_PER_S * max(report.window_ms, account.usual_ms) / 1000.0
    arrived = sum(row.arrived for row in report.arrivals)
    if rejection := _rejection(report, account, most):
        return ValidationResult(rejection, 0)
    row_count = len(report.rows)
    if row_count > max_rows:
        report.rows = []
        return ValidationResult("", row_count)
    max_latency_ms = MAX_LATENCY_DEADLINES * deadline_ms
    report.rows = [row for row in report.rows if _is_possible(row, most, max_latency_ms)]
    account.arrived = ARRIVED_DECAY * account.arrived + arrived
    attempts = sum(row.succeeded + row.failed for row in report.rows)
    if report.has_arrivals and attempts > MAX_ATTEMPTS_PER_REQUEST * account.arrived + SPARE_ATTEMPTS:
        report.rows = []
    report.latencies = [
        row for row in report.latencies if 0 <= row.count <= most and 0.0 <= row.total_ms <= row.count * max_latency_ms
    ]
    return ValidationResult("", row_count - len(report.rows))


# The comparisons below are written so that a NaN fails too.


def _rejection(report: LoadReport, account: ReportAccount, most: float) -> str:
    """Why a report is rejected whole, or an empty text."""
    if not 0.0 < report.window_ms <= MAX_WINDOW_MS:
        return "invalid window length"
    if report.sent_ms is not None and (
        report.end_ms is None or not report.end_ms <= report.sent_ms or not abs(report.sent_ms) < MAX_TIME_STAMP_MS
    ):
        return "window ends in the future"
    for row in report.arrivals:
        if not (0 <= row.arrived <= most and 0 <= row.unanswered <= row.arrived + account.arrived + SPARE_ATTEMPTS):
            return "impossible arrivals"
    return ""


def _is_possible(row: EndpointRow, most: float, max_latency_ms: float) -> bool:
    """Whether a row may count; a load figure that can't be is taken out of it."""
    if not (
        0 <= row.succeeded <= most
        and 0 <= row.failed <= most
        and 0.0 <= row.succeeded_ms <= row.succeeded * max_latency_ms
    ):
        return False
    if row.load is not None and not 0.0 <= row.load <= MAX_LOAD:
        row.load = None
    return True


def count_report(report: LoadReport, account: ReportAccount, arrived_ms: float) -> CountedReport | Rejected:
    """The report as it counts: its age on our clock, its window no longer than the time that has passed."""
    if not _is_new(report, account):
        return Rejected("duplicate")
    late_ms = 0.0
    if report.sent_ms is not None and report.end_ms is not None:
        span_ms = DELAY_SPAN_PERIODS * account.usual_ms
        late_ms = report.sent_ms - report.end_ms + account.delay.measure(report.sent_ms, arrived_ms, span_ms)
    end_ms = arrived_ms - late_ms
    share = _take_window(account, report.window_ms, end_ms)
    if share <= 0.0:
        return Rejected("overlapping windows")
    counts = account.is_full and account.counts_from_ms <= arrived_ms < account.counts_to_ms
    return CountedReport(
        proxy=account.number,
        incarnation=account.incarnation,
        number=report.number if report.number >= 0 else report.digest,
        zone=account.zone,
        arrived_ms=arrived_ms,
        end_ms=end_ms,
        window_ms=report.window_ms,
        grace_ms=account.longest_period_ms,
        uncounted_share=share,
        sampling_factor=account.sampling_factor if counts else 0.0,
        arrivals=report.arrivals,
        rows=report.rows,
        latencies=report.latencies,
    )


def _is_new(report: LoadReport, account: ReportAccount) -> bool:
    """Remembers a report; False where it was there before.

    A proxy without report numbers is known by what it sent: its latencies are such that no two reports are alike.
    """
    if report.number >= 0:
        return account.numbers.add(report.number)
    if report.digest in account.digests:
        return False
    account.digests = [*account.digests[1 - MAX_DIGESTS :], report.digest]
    return True


def _take_window(account: ReportAccount, window_ms: float, end_ms: float) -> float:
    """The share of a window that was not counted before.

    Two reports over the same time, however they are numbered, count for that time once.
    """
    most_ms = max_age_ms(account.longest_period_ms, account.usual_ms)
    most_ms += SPARE_WINDOW_PERIODS * account.longest_period_ms
    if account.end_ms is None:
        account.window_budget_ms, account.end_ms = most_ms, end_ms
    else:
        passed_ms = max(0.0, end_ms - account.end_ms)
        account.window_budget_ms = min(most_ms, account.window_budget_ms + passed_ms)
        account.end_ms = max(account.end_ms, end_ms)
    share = min(1.0, account.window_budget_ms / window_ms)
    account.window_budget_ms -= share * window_ms
    return share
