"""Validation and rate limits of one proxy's load reports.

Performs no I/O and reads no clock; times are in milliseconds.  Values that are out of range are rejected and logged.
The effect of values that are plausible but false is limited where reports are merged
(`upstream_stats.MAX_PROXY_SHARE`).  All state stored for a proxy is bounded.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

from quillstep.load_reports.aging import ExcessDelay, SeenNumbers, max_age_ms
from quillstep.load_reports.upstream_stats import ClassArrivals, ClassLatency, CountedReport, EndpointRow

MAX_RATE_PER_S = 100_000.0  # largest rate of requests or attempts accepted from one proxy
MAX_WINDOW_MS = 86_400_000.0  # one day
MAX_TIME_STAMP_MS = 1e15
MAX_LATENCY_DEADLINES = 10.0  # largest mean latency accepted in a row or bucket, in deadlines
MAX_LOAD = 16.0  # larger load values are ignored
MAX_ATTEMPTS_PER_REQUEST = 3.0  # no retry policy allows more
ARRIVED_DECAY = 0.8  # weight that earlier arrivals, whose attempts may end later, retain at each report
ATTEMPTS_TOLERANCE = 8.0  # attempts or unanswered requests accepted beyond those that the arrivals explain
MAX_BURST = 4.0  # reports that may be read at once
MAX_REPORTS_PER_PERIOD = 2.0  # mean rate at which reports are read
WINDOW_TOLERANCE_PERIODS = 2.0  # window time counted beyond the elapsed time, for clock differences and jitter
MAX_CURRENT_PERIODS = 1.5  # window time that may count as current traffic at once
DELAY_SPAN_PERIODS = 60.0  # span of the minimum delay offset, which expires after two spans
MAX_DIGESTS = 32  # digests stored per proxy to detect duplicates of reports without a number


@dataclass(slots=True)
class LoadReport:
    """A decoded report, not yet validated."""

    number: int  # below 0 if the proxy sent none
    sent_ms: float | None  # None if the proxy sent none
    end_ms: float | None  # end of the window, on the same clock as `sent_ms`
    window_ms: float
    digest: int
    arrivals: list[ClassArrivals] = field(default_factory=list)
    rows: list[EndpointRow] = field(default_factory=list)
    latencies: list[ClassLatency] = field(default_factory=list)
    unlisted_rows: int = 0  # rows of endpoints that are not in the endpoint list
    has_arrivals: bool = True  # whether it reported requests separately from attempts


# `rename` gives the field names in accounts that the controller and its reader processes exchange.


class ReportAccount(
    msgspec.Struct,
    rename={
        "incarnation": "life", "default_period_ms": "usual_ms", "is_full": "full", "sampling_factor": "factor",
        "window_budget_ms": "cover_ms", "end_ms": "until_ms", "readable_reports": "allowed",
        "readable_at_ms": "allowed_ms", "arrived": "came", "current_budget_ms": "flow_ms",
        "current_at_ms": "flow_at_ms",
    },
):  # fmt: skip
    """The state of one joined proxy's reports: deduplication, delay and budgets."""

    number: int
    zone: str
    incarnation: str
    period_ms: float  # requested interval between reports
    default_period_ms: float  # the fleet's report interval
    is_full: bool = True
    sampling_factor: float = 1.0
    counts_from_ms: float = float("-inf")  # interval in which its rows count, when groups report in full in turn
    counts_to_ms: float = float("inf")
    numbers: SeenNumbers = msgspec.field(default_factory=SeenNumbers)
    digests: list[int] = msgspec.field(default_factory=list)
    delay: ExcessDelay = msgspec.field(default_factory=ExcessDelay)
    window_budget_ms: float = float("inf")  # window time that may still be counted
    end_ms: float | None = None  # end of the latest window
    readable_reports: float = MAX_BURST  # reports that may be read now
    readable_at_ms: float | None = None  # last update of `readable_reports`
    arrived: float = 0.0  # requests whose attempts may still end
    current_budget_ms: float = float("inf")  # window time that may still count as current traffic
    current_at_ms: float | None = None  # last update of `current_budget_ms`

    @property
    def longest_period_ms(self) -> float:
        """The longer of the requested period and the fleet's report interval."""
        return max(self.period_ms, self.default_period_ms)

    def restore(self, previous: "ReportAccount") -> None:
        """Restores deduplication, delay and window budget from an earlier account of the same incarnation."""
        self.numbers, self.digests, self.delay = previous.numbers, previous.digests, previous.delay
        self.window_budget_ms, self.end_ms = previous.window_budget_ms, previous.end_ms

    def current_share(self, window_ms: float, now_ms: float) -> float:
        """Returns the share of a report's attempts that count as current traffic, 0 to 1, and charges it to the budget.

        Window time counts up to the time that has passed, so that a proxy whose reports are always late counts in full,
        and one that sends ten periods at once counts for `MAX_CURRENT_PERIODS`.
        """
        max_budget_ms = MAX_CURRENT_PERIODS * self.longest_period_ms
        passed_ms = now_ms - self.current_at_ms if self.current_at_ms is not None else max_budget_ms
        self.current_budget_ms = min(max_budget_ms, self.current_budget_ms + max(0.0, passed_ms))
        self.current_at_ms = now_ms
        share = min(1.0, self.current_budget_ms / window_ms)
        self.current_budget_ms -= share * window_ms
        return share

    def wait_until_ms(self, now_ms: float) -> float:
        """Returns 0 if a report may be read now, else when; limits too frequent reports to `MAX_REPORTS_PER_PERIOD`."""
        if self.readable_at_ms is not None:
            reports_per_ms = MAX_REPORTS_PER_PERIOD / self.default_period_ms
            self.readable_reports = min(
                MAX_BURST, self.readable_reports + (now_ms - self.readable_at_ms) * reports_per_ms
            )
            self.readable_at_ms = now_ms
            if self.readable_reports < 1.0:
                return now_ms + (1.0 - self.readable_reports) / reports_per_ms
        self.readable_at_ms = now_ms
        return 0.0


class ValidationResult(NamedTuple):
    """The result of validating a report."""

    rejection: str  # why the complete report is rejected, or empty
    dropped_rows: int


class Rejected(NamedTuple):
    """A report that does not count, with the reason."""

    reason: str


def validate(report: LoadReport, account: ReportAccount, deadline_ms: float, max_rows: int) -> ValidationResult:
    """Validates a report and drops its invalid rows in place.

    Args:
        report: The report; rows and latencies that are out of range are removed from it.
        account: The proxy's account; its arrivals are updated.
        deadline_ms: The longest deadline of any request class.
        max_rows: The largest number of endpoint rows; with more, all are dropped and latencies are not checked.

    Returns:
        The reason if the complete report is rejected, and the number of rows dropped.
    """
    max_count = MAX_RATE_PER_S * max(report.window_ms, account.default_period_ms) / 1000.0
    arrived = sum(row.arrived for row in report.arrivals)
    if rejection := _rejection_reason(report, account, max_count):
        return ValidationResult(rejection, 0)
    row_count = len(report.rows)
    if row_count > max_rows:
        report.rows = []
        return ValidationResult("", row_count)
    max_latency_ms = MAX_LATENCY_DEADLINES * deadline_ms
    report.rows = [row for row in report.rows if _is_valid_row(row, max_count, max_latency_ms)]
    account.arrived = ARRIVED_DECAY * account.arrived + arrived
    attempts = sum(row.succeeded + row.failed for row in report.rows)
    if report.has_arrivals and attempts > MAX_ATTEMPTS_PER_REQUEST * account.arrived + ATTEMPTS_TOLERANCE:
        report.rows = []
    report.latencies = [
        row
        for row in report.latencies
        if 0 <= row.count <= max_count and 0.0 <= row.total_ms <= row.count * max_latency_ms
    ]
    return ValidationResult("", row_count - len(report.rows))


# The comparisons below are written so that a NaN fails them as well.


def _rejection_reason(report: LoadReport, account: ReportAccount, max_count: float) -> str:
    """Returns why a complete report is rejected, or an empty string."""
    if not 0.0 < report.window_ms <= MAX_WINDOW_MS:
        return "invalid window length"
    if report.sent_ms is not None and (
        report.end_ms is None or not report.end_ms <= report.sent_ms or not abs(report.sent_ms) < MAX_TIME_STAMP_MS
    ):
        return "window ends in the future"
    for row in report.arrivals:
        if not (
            0 <= row.arrived <= max_count and 0 <= row.unanswered <= row.arrived + account.arrived + ATTEMPTS_TOLERANCE
        ):
            return "impossible arrivals"
    return ""


def _is_valid_row(row: EndpointRow, max_count: float, max_latency_ms: float) -> bool:
    """Returns whether a row may count; removes a load value that is out of range from it."""
    if not (
        0 <= row.succeeded <= max_count
        and 0 <= row.failed <= max_count
        and 0.0 <= row.succeeded_ms <= row.succeeded * max_latency_ms
    ):
        return False
    if row.load is not None and not 0.0 <= row.load <= MAX_LOAD:
        row.load = None
    return True


def count_report(report: LoadReport, account: ReportAccount, arrived_ms: float) -> CountedReport | Rejected:
    """Converts a validated report to one that counts, with its age on the reader's clock.

    A window counts only as far as it is covered by the time that has passed since the previous ones.

    Returns:
        The report to be counted, or the reason if it is a duplicate or its window was counted before.
    """
    if not _is_new(report, account):
        return Rejected("duplicate")
    late_ms = 0.0
    if report.sent_ms is not None and report.end_ms is not None:
        span_ms = DELAY_SPAN_PERIODS * account.default_period_ms
        late_ms = report.sent_ms - report.end_ms + account.delay.measure(report.sent_ms, arrived_ms, span_ms)
    end_ms = arrived_ms - late_ms
    share = _consume_window(account, report.window_ms, end_ms)
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
    """Records a report's number or digest; returns False if it was seen before.

    Reports without a number are identified by their digest: no two reports have the same latencies.
    """
    if report.number >= 0:
        return account.numbers.add(report.number)
    if report.digest in account.digests:
        return False
    account.digests = [*account.digests[1 - MAX_DIGESTS :], report.digest]
    return True


def _consume_window(account: ReportAccount, window_ms: float, end_ms: float) -> float:
    """Returns the share of a window that was not counted before, 0 to 1, and charges it to the window budget.

    Reports over the same time count for it once, whatever their numbers.
    """
    max_budget_ms = max_age_ms(account.longest_period_ms, account.default_period_ms)
    max_budget_ms += WINDOW_TOLERANCE_PERIODS * account.longest_period_ms
    if account.end_ms is None:
        account.window_budget_ms, account.end_ms = max_budget_ms, end_ms
    else:
        passed_ms = max(0.0, end_ms - account.end_ms)
        account.window_budget_ms = min(max_budget_ms, account.window_budget_ms + passed_ms)
        account.end_ms = max(account.end_ms, end_ms)
    share = min(1.0, account.window_budget_ms / window_ms)
    account.window_budget_ms -= share * window_ms
    return share
