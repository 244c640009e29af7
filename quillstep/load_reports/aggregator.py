"""What one reader of load reports decides: which to read, which count, what a window comes to.  Without I/O and clocks.

The same aggregator runs in a thread of the controller, in a process of its own, and on the virtual time of a replay.
Cost is counted in rows: a message costs as much as so many rows of it, so that the figure is the same on any machine.
"""

from typing import NamedTuple

from quillstep.config.controller import LoadReportSettings
from quillstep.config.fleet import FleetSettings
from quillstep.load_reports.aging import MAX_HALVINGS, age_weight, max_age_ms
from quillstep.load_reports.messages import ReportRequest
from quillstep.load_reports.summary import ReportSummary
from quillstep.load_reports.upstream_stats import CountedReport, EndpointMemory, ReportWindow, summarize
from quillstep.load_reports.validation import LoadReport, Rejected, ReportAccount, count_report, validate

MESSAGE_COST = 40.0  # of reading one message, in rows; measured, see docs/reports.md
MIN_ROW_BYTES = 60.0  # about the least that a row takes
WARNING_INTERVAL_MS = 10000.0  # between two warnings of a kind about a proxy
MAX_WARNINGS = 64  # in one window
MAX_WARNING_TIMES = 4096  # kinds of warnings whose time is remembered
MAX_LEFT_PROXIES = 4096  # proxies that left and are remembered
NEWEST_PER_ENDPOINT = 64  # zones whose latest times are remembered for each endpoint, before old ones are dropped
NEWEST_KEPT_PERIODS = 60 * MAX_HALVINGS
SPARE_COST = 1e-6


def message_cost(size_bytes: int) -> float:
    """What a message may cost at most, in rows, before it is read."""
    return MESSAGE_COST + size_bytes / MIN_ROW_BYTES


class ReportWarning(NamedTuple):
    """What was wrong with a proxy's reports."""

    proxy: str
    reason: str


class ReportAggregator:
    """Accounts of all joined proxies by name, the window that is being filled, and its budget."""

    def __init__(self, settings: LoadReportSettings, fleet: FleetSettings) -> None:
        self.settings = settings
        self.usual_ms = fleet.proxies.report_interval_ms
        self.deadline_ms = max(row.deadline_ms for row in fleet.classes)
        self.class_indexes = {row.name: index for index, row in enumerate(fleet.classes)}
        self.endpoints: dict[tuple[str, int], int] = {}  # by address
        self.accounts: dict[str, ReportAccount] = {}
        self.left_accounts: dict[str, ReportAccount] = {}
        self.names: dict[int, str] = {}
        self.memory = EndpointMemory()
        self.window = ReportWindow()
        self.window_began_ms: float | None = None
        self.window_budget = settings.rows_per_s * settings.window_ms / 1000.0
        self.budget = self.window_budget  # what may be spent now
        self.budget_at_ms: float | None = None
        self.spent = 0.0  # since the last drain
        self.rejected: dict[str, int] = {}  # reports by reason, since the last drain
        self.warnings: list[ReportWarning] = []
        self.warned_ms: dict[tuple[str, str], float] = {}

    # membership

    def add_endpoints(self, addresses: dict[tuple[str, int], int]) -> None:
        """Endpoints, by address, whose rows count from now on."""
        self.endpoints.update(addresses)

    def add_proxy(self, account: ReportAccount, name: str) -> None:
        """A proxy's reports count here from now on; an earlier account of the same incarnation is restored."""
        before = self.left_accounts.pop(name, None)
        if before is not None and before.incarnation == account.incarnation:
            account.restore(before)
        self.accounts[name] = account
        self.names[account.number] = name

    def remove_proxy(self, name: str) -> None:
        """A proxy's reports are rejected until it joins again."""
        account = self.accounts.pop(name, None)
        if account is None:
            return
        self.names.pop(account.number, None)
        self.left_accounts[name] = account
        if len(self.left_accounts) > MAX_LEFT_PROXIES:
            del self.left_accounts[next(iter(self.left_accounts))]

    def release(self, name: str) -> ReportAccount | None:
        """Forgets a proxy; its account goes to whoever reads its reports next."""
        self.remove_proxy(name)
        return self.left_accounts.pop(name, None)

    def set_request(self, request: ReportRequest) -> str | None:
        """Notes how a proxy is to report; returns its name where it must be notified."""
        name = self.names.get(request.proxy)
        if name is None:
            return None
        account = self.accounts[name]
        is_changed = (account.period_ms, account.is_full) != (request.period_ms, request.is_full)
        account.period_ms, account.is_full = request.period_ms, request.is_full
        account.sampling_factor = request.sampling_factor
        account.counts_from_ms, account.counts_to_ms = request.counts_from_ms, request.counts_to_ms
        return name if is_changed else None

    # reading

    def wait_until_ms(self, name: str, size_bytes: int, now_ms: float) -> float:
        """0 where a message of this size may be read now, else when to ask again.

        It costs nothing until it is charged.  A message larger than a whole window's budget waits until a window is
        whole, and then uses it up.
        """
        account = self.accounts.get(name)
        if account is not None and (until_ms := account.wait_until_ms(now_ms)):
            self.warn(name, "reports more often than requested", now_ms)
            return until_ms
        cost = min(message_cost(size_bytes), self.window_budget)
        self._refill(now_ms)
        if self.budget + SPARE_COST < cost:
            return now_ms + (cost - self.budget) * 1000.0 / self.settings.rows_per_s
        return 0.0

    def _refill(self, now_ms: float) -> None:
        """Brings the budget up to date; a window's worth at most accumulates."""
        if self.budget_at_ms is None:
            self.budget_at_ms = now_ms
        self.budget = min(
            max(self.window_budget, self.budget),
            self.budget + (now_ms - self.budget_at_ms) * self.settings.rows_per_s / 1000.0,
        )
        self.budget_at_ms = now_ms

    def charge(self, size_bytes: int) -> float:
        """Charges for a message that is about to be read; returns what it costs."""
        cost = min(message_cost(size_bytes), self.window_budget)
        self.budget -= cost
        self.spent += cost
        return message_cost(size_bytes)

    def add_report(
        self, name: str, report: LoadReport, arrived_ms: float, now_ms: float, cost: float = MESSAGE_COST
    ) -> None:
        """Checks and counts one report, which cost so much to read."""
        account = self.accounts.get(name)
        if account is None:
            self._count_rejected("proxy has not joined")
            return
        account.readable_reports -= 1.0
        rejection, dropped_rows = validate(report, account, self.deadline_ms, self.settings.max_rows)
        if dropped_rows:
            self.warn(name, f"{dropped_rows} rows with impossible figures, or too many rows", now_ms)
        if report.unlisted_rows:
            self.warn(name, f"{report.unlisted_rows} rows of endpoints that are not listed", now_ms)
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
        if now_ms - report.end_ms > max_age_ms(report.grace_ms, self.usual_ms) and self.settings.ageing:
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
        """Notes what is wrong with a proxy's reports, not too often."""
        kind = (name, reason.lstrip("0123456789 "))
        is_due = now_ms - self.warned_ms.get(kind, float("-inf")) >= WARNING_INTERVAL_MS
        if is_due and len(self.warnings) < MAX_WARNINGS:
            if len(self.warned_ms) > MAX_WARNING_TIMES:
                self.warned_ms.clear()
            self.warned_ms[kind] = now_ms
            self.warnings.append(ReportWarning(name, reason))

    def drain_warnings(self) -> list[ReportWarning]:
        """The warnings since the last call."""
        warnings, self.warnings = self.warnings, []
        return warnings

    # summaries

    def due_ms(self) -> float:
        """When the window is to be drained; never while it is empty."""
        if self.window_began_ms is None:
            return float("inf")
        return self.window_began_ms + self.settings.window_ms

    def drain(self, now_ms: float) -> ReportSummary:
        """The summary of the window; a new one begins."""
        slack_ms = self.usual_ms if self.settings.ageing else float("inf")
        summary = summarize(self.window, lambda report: self._weight(report, now_ms), self.memory, slack_ms)
        summary.rejected, summary.cost = self.rejected, round(self.spent, 1)
        self.window, self.window_began_ms, self.spent, self.rejected = ReportWindow(), None, 0.0, {}
        if len(self.memory.newest_ms) > NEWEST_PER_ENDPOINT * (len(self.endpoints) + 1):
            self.memory.forget_older(now_ms, NEWEST_KEPT_PERIODS * self.usual_ms)
        return summary

    def _weight(self, report: CountedReport, now_ms: float) -> float:
        """A report's weight by its age; the time that it may spend in the window is no age."""
        if not self.settings.ageing:
            return 1.0
        return age_weight(
            max(0.0, now_ms - report.end_ms - self.settings.window_ms),
            report.window_ms,
            report.grace_ms,
            self.usual_ms,
        )
