"""The logic of one load report reader: which reports to read, which to count, and the summary of each window.

Performs no I/O and reads no clock: the same aggregator runs in a thread of the controller, in a reader process, and on
the virtual time of a replay.  Cost is measured in rows, with a fixed overhead for each message, so that a budget means
the same on any machine.
"""

from typing import NamedTuple

from quillstep.config.controller import LoadReportSettings
from quillstep.config.fleet import FleetSettings
from quillstep.load_reports.aging import MAX_HALVINGS, age_weight, max_age_ms
from quillstep.load_reports.messages import ReportRequest
from quillstep.load_reports.summary import ReportSummary
from quillstep.load_reports.upstream_stats import CountedReport, EndpointMemory, ReportWindow, summarize
from quillstep.load_reports.validation import LoadReport, Rejected, ReportAccount, count_report, validate

MESSAGE_COST = 40.0  # fixed cost of reading one message, in rows; see docs/reports.md
MIN_ROW_BYTES = 60.0  # approximate smallest encoded size of a row; bounds the rows in a message before it is decoded
WARNING_INTERVAL_MS = 10000.0  # minimum interval between warnings of the same kind about the same proxy
MAX_WARNINGS = 64  # maximum warnings per window
MAX_WARNING_KINDS = 4096  # maximum (proxy, kind) pairs whose last warning time is stored
MAX_LEFT_PROXIES = 4096  # maximum accounts retained for proxies that have left
NEWEST_PER_ENDPOINT = 64  # latest window ends stored per endpoint (one per zone) before old ones are evicted
NEWEST_RETENTION_PERIODS = 60 * MAX_HALVINGS  # report periods after which an unreported endpoint may be evicted
COST_TOLERANCE = 1e-6  # rows; absorbs floating-point rounding in the budget


def message_cost(size_bytes: int) -> float:
    """Returns the upper bound, in rows, of the cost of reading a message, from its size alone."""
    return MESSAGE_COST + size_bytes / MIN_ROW_BYTES


class ReportWarning(NamedTuple):
    """A problem with one proxy's reports, to be logged."""

    proxy: str
    reason: str


class ReportAggregator:
    """The accounts of all joined proxies, the current window, and the reading budget.

    Attributes:
        default_period_ms: The fleet's report interval.
        deadline_ms: The longest deadline of any request class.
        class_indexes: Request class indexes by name.
        accounts: Accounts of joined proxies by name.
        left_accounts: Accounts of proxies that have left, by name, oldest first.
        names: Names of joined proxies by proxy number.
        window_budget: Rows that may be read per window.
    """

    def __init__(self, settings: LoadReportSettings, fleet: FleetSettings) -> None:
        self.settings = settings
        self.default_period_ms = fleet.proxies.report_interval_ms
        self.deadline_ms = max(row.deadline_ms for row in fleet.classes)
        self.class_indexes = {row.name: index for index, row in enumerate(fleet.classes)}
        self.endpoints: dict[tuple[str, int], int] = {}  # endpoint numbers by host and port
        self.accounts: dict[str, ReportAccount] = {}
        self.left_accounts: dict[str, ReportAccount] = {}
        self.names: dict[int, str] = {}
        self.memory = EndpointMemory()
        self.window = ReportWindow()
        self.window_began_ms: float | None = None
        self.window_budget = settings.rows_per_s * settings.window_ms / 1000.0
        self.budget = self.window_budget  # rows that may be read now
        self.budget_at_ms: float | None = None
        self.spent = 0.0  # rows read since the last drain
        self.rejected: dict[str, int] = {}  # rejected reports since the last drain, by reason
        self.warnings: list[ReportWarning] = []
        self.last_warning_ms: dict[tuple[str, str], float] = {}  # time of the last warning, by proxy and kind

    # Membership

    def add_endpoints(self, addresses: dict[tuple[str, int], int]) -> None:
        """Adds endpoints, by host and port, whose rows are counted from now on."""
        self.endpoints.update(addresses)

    def add_proxy(self, account: ReportAccount, name: str) -> None:
        """Counts a proxy's reports from now on; restores the retained account if the incarnation is the same."""
        previous = self.left_accounts.pop(name, None)
        if previous is not None and previous.incarnation == account.incarnation:
            account.restore(previous)
        self.accounts[name] = account
        self.names[account.number] = name

    def remove_proxy(self, name: str) -> None:
        """Rejects a proxy's reports until it joins again; its account is retained."""
        account = self.accounts.pop(name, None)
        if account is None:
            return
        self.names.pop(account.number, None)
        self.left_accounts[name] = account
        if len(self.left_accounts) > MAX_LEFT_PROXIES:
            del self.left_accounts[next(iter(self.left_accounts))]

    def release(self, name: str) -> ReportAccount | None:
        """Removes a proxy and returns its account, if there is one, for the reader that takes over its reports."""
        self.remove_proxy(name)
        return self.left_accounts.pop(name, None)

    def set_request(self, request: ReportRequest) -> str | None:
        """Stores how a proxy is to report; returns its name if its period or detail changed and it must be notified."""
        name = self.names.get(request.proxy)
        if name is None:
            return None
        account = self.accounts[name]
        is_changed = (account.period_ms, account.is_full) != (request.period_ms, request.is_full)
        account.period_ms, account.is_full = request.period_ms, request.is_full
        account.sampling_factor = request.sampling_factor
        account.counts_from_ms, account.counts_to_ms = request.counts_from_ms, request.counts_to_ms
        return name if is_changed else None

    # Reading

    def wait_until_ms(self, name: str, size_bytes: int, now_ms: float) -> float:
        """Returns 0 if a message of this size may be read now, else the time in milliseconds at which to ask again.

        Nothing is charged until `charge` is called.  A message that costs more than a full window's budget waits until
        the budget is full and then uses all of it.
        """
        account = self.accounts.get(name)
        if account is not None and (until_ms := account.wait_until_ms(now_ms)):
            self.warn(name, "reports more often than requested", now_ms)
            return until_ms
        cost = min(message_cost(size_bytes), self.window_budget)
        self._refill(now_ms)
        if self.budget + COST_TOLERANCE < cost:
            return now_ms + (cost - self.budget) * 1000.0 / self.settings.rows_per_s
        return 0.0

    def _refill(self, now_ms: float) -> None:
        """Refills the budget for the time elapsed, up to one window's budget."""
        if self.budget_at_ms is None:
            self.budget_at_ms = now_ms
        self.budget = min(
            max(self.window_budget, self.budget),
            self.budget + (now_ms - self.budget_at_ms) * self.settings.rows_per_s / 1000.0,
        )
        self.budget_at_ms = now_ms

    def charge(self, size_bytes: int) -> float:
        """Charges the budget for a message that is about to be read.

        Returns:
            The full cost in rows, also where the charge is limited to one window's budget.
        """
        cost = min(message_cost(size_bytes), self.window_budget)
        self.budget -= cost
        self.spent += cost
        return message_cost(size_bytes)

    def add_report(
        self, name: str, report: LoadReport, arrived_ms: float, now_ms: float, cost: float = MESSAGE_COST
    ) -> None:
        """Validates one report and counts it; `cost` is what reading it cost, in rows."""
        account = self.accounts.get(name)
        if account is None:
            self._count_rejected("proxy has not joined")
            return
        account.readable_reports -= 1.0
        rejection, dropped_rows = validate(report, account, self.deadline_ms, self.settings.max_rows)
        if dropped_rows:
            self.warn(name, f"{dropped_rows} rows dropped: values out of range or too many rows", now_ms)
        if report.unlisted_rows:
            self.warn(name, f"{report.unlisted_rows} rows for unlisted endpoints", now_ms)
        if rejection:
            self.warn(name, rejection, now_ms)
            self._count_rejected(rejection)
            return
        counted = count_report(report, account, arrived_ms)
        if isinstance(counted, Rejected):
            self._count_rejected(counted.reason)
            return
        self._add_counted(counted, account, now_ms, cost)

    def _add_counted(self, report: CountedReport, account: ReportAccount, now_ms: float, cost: float) -> None:
        if now_ms - report.end_ms > max_age_ms(report.grace_ms, self.default_period_ms) and self.settings.ageing:
            self._count_rejected("too old")
            return
        if self.settings.ageing:
            report.current_share = account.current_share(report.uncounted_share * report.window_ms, now_ms)
        report.rows_cost = max(0.0, cost - MESSAGE_COST) if account.is_full else -1.0
        self.window.add(report)
        if self.window_began_ms is None:
            self.window_began_ms = now_ms

    def _count_rejected(self, reason: str) -> None:
        self.rejected[reason] = self.rejected.get(reason, 0) + 1

    def warn(self, name: str, reason: str, now_ms: float) -> None:
        """Records a warning about a proxy, rate-limited by proxy and kind: the reason without its leading number."""
        kind = (name, reason.lstrip("0123456789 "))
        is_due = now_ms - self.last_warning_ms.get(kind, float("-inf")) >= WARNING_INTERVAL_MS
        if is_due and len(self.warnings) < MAX_WARNINGS:
            if len(self.last_warning_ms) > MAX_WARNING_KINDS:
                self.last_warning_ms.clear()
            self.last_warning_ms[kind] = now_ms
            self.warnings.append(ReportWarning(name, reason))

    def drain_warnings(self) -> list[ReportWarning]:
        """Returns the warnings since the last call."""
        warnings, self.warnings = self.warnings, []
        return warnings

    # Summaries

    def due_ms(self) -> float:
        """Returns when the window must be drained, in milliseconds; infinity while it is empty."""
        if self.window_began_ms is None:
            return float("inf")
        return self.window_began_ms + self.settings.window_ms

    def drain(self, now_ms: float) -> ReportSummary:
        """Returns the summary of the current window and starts a new one."""
        slack_ms = self.default_period_ms if self.settings.ageing else float("inf")
        summary = summarize(self.window, lambda report: self._weight(report, now_ms), self.memory, slack_ms)
        summary.rejected, summary.cost = self.rejected, round(self.spent, 1)
        self.window, self.window_began_ms, self.spent, self.rejected = ReportWindow(), None, 0.0, {}
        if len(self.memory.newest_ms) > NEWEST_PER_ENDPOINT * (len(self.endpoints) + 1):
            self.memory.evict_older(now_ms, NEWEST_RETENTION_PERIODS * self.default_period_ms)
        return summary

    def _weight(self, report: CountedReport, now_ms: float) -> float:
        """Returns a report's weight by age; time spent waiting in the window does not count as age."""
        if not self.settings.ageing:
            return 1.0
        return age_weight(
            max(0.0, now_ms - report.end_ms - self.settings.window_ms),
            report.window_ms,
            report.grace_ms,
            self.default_period_ms,
        )
