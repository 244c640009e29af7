"""Collects load report statistics for the planner, and plans report requests.  No I/O; times are arguments."""

from typing import Any

from quillstep.config.controller import ControllerSettings
from quillstep.controller.plain_stats import PlainStats
from quillstep.load_reports.aggregator import ReportAggregator
from quillstep.load_reports.collector import DRAIN_INTERVAL_PERIODS, ReportCollector
from quillstep.load_reports.messages import AddEndpoints, MembershipChange, ProxyJoined, ProxyLeft, ReportRequest
from quillstep.load_reports.readers.connections import log_warnings
from quillstep.load_reports.summary import ReportSummary
from quillstep.load_reports.validation import LoadReport, ReportAccount
from quillstep.planner.messages import DownstreamStats, UpstreamStats


class ReportIntake:
    """The aggregator of reports that arrive as events, and the collector of all summaries.

    Attributes:
        is_plain: Whether reports are summed by `PlainStats` (`reports.by: "inbox"`) instead of the collector.
        requests: Report requests to proxies that the readers have not been notified of.
        membership_changes: Proxies that joined or left, and new endpoints, that the readers have not been notified of.
    """

    def __init__(self, settings: ControllerSettings) -> None:
        self.report_interval_ms = settings.fleet.proxies.report_interval_ms
        self.is_plain = settings.reports.by == "inbox"
        self.plain_stats = PlainStats(DRAIN_INTERVAL_PERIODS * self.report_interval_ms)
        self.collector = ReportCollector(settings)
        self.aggregator = ReportAggregator(settings.reports, settings.fleet)
        self.requests: list[ReportRequest] = []
        self.membership_changes: list[MembershipChange] = []

    def add_endpoints(self, numbers: dict[tuple[str, int], int], added: dict[int, tuple[str, int]]) -> None:
        """Makes endpoints known to the report readers; `numbers` holds all by address, `added` the new addresses."""
        self.aggregator.add_endpoints(numbers)
        rows = [(host, port, number) for number, (host, port) in added.items()]
        self.membership_changes.append(AddEndpoints(rows))

    def add_proxy(self, proxy: int, node: str, zone: str, incarnation: str, now_ms: float) -> None:
        """Accepts reports of a proxy that has joined."""
        interval_ms = self.report_interval_ms
        self.aggregator.add_proxy(ReportAccount(proxy, zone, incarnation, interval_ms, interval_ms), node)
        self.collector.add_proxy(proxy, now_ms)
        self.membership_changes.append(ProxyJoined(node, proxy, zone, incarnation))

    def remove_proxy(self, proxy: int) -> None:
        """Accepts no more reports of a proxy that has left."""
        node = self.aggregator.names[proxy]
        self.aggregator.remove_proxy(node)
        self.collector.remove_proxy(proxy)
        self.membership_changes.append(ProxyLeft(node))

    def add_report(self, proxy: int, zone: str, report: LoadReport, now_ms: float) -> None:
        """Adds a report that arrived as an event."""
        if self.is_plain:
            self.plain_stats.add_report(proxy, zone, report)
        else:
            self.aggregator.add_report(self.aggregator.names[proxy], report, now_ms, now_ms)

    def add_summary(self, summary: ReportSummary, now_ms: float) -> None:
        """Adds a reader's summary of one window."""
        self.collector.add_summary(summary, now_ms)

    def update(self, now_ms: float, log: Any) -> None:
        """Collects the aggregator's window if it has ended, and plans report requests to proxies."""
        if self.aggregator.due_ms() <= now_ms:
            self._log_invalid_reports(log)
            self.collector.add_summary(self.aggregator.drain(now_ms), now_ms)
        requests = [] if self.is_plain else self.collector.plan_requests(now_ms)
        for request in requests:
            self.aggregator.set_request(request)
        self.requests += requests

    def _log_invalid_reports(self, log: Any) -> None:
        log_warnings(log, self.aggregator.drain_warnings())
        for proxy in sorted(self.collector.bounded):
            name = self.aggregator.names.get(proxy, "")
            log.warning("invalid load report", proxy=name, reason="over its share of all traffic")
        self.collector.bounded.clear()

    def stats_due_ms(self) -> float:
        """Returns when statistics for the planner are due."""
        return min(self.plain_stats.due_ms(), self.collector.due_ms())

    def drain_due(self, now_ms: float) -> tuple[list[UpstreamStats], list[DownstreamStats]] | None:
        """Returns the statistics since the last call, if they are due."""
        source = self.plain_stats if self.is_plain else self.collector
        return source.drain(now_ms) if source.due_ms() <= now_ms else None

    def next_ms(self) -> float:
        """Returns when `update` must be called next."""
        due_ms = self.aggregator.due_ms()
        return due_ms if self.is_plain else min(due_ms, self.collector.plan_due_ms())
