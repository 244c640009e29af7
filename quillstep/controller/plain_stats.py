"""Unfiltered load report statistics, the baseline selected by `reports.by: "inbox"`.  No I/O; times are arguments.

Reports arrive in the same queue as all other events and are summed until drained.  They are not aged, bounded, sampled
or validated.
"""

from dataclasses import dataclass, field

from quillstep.load_reports.validation import LoadReport
from quillstep.planner.messages import DownstreamStats, UpstreamStats


@dataclass(slots=True)
class UpstreamTotals:
    """Attempts, failures and load that the proxies of a zone observed at one endpoint since the last drain."""

    attempts: int = 0
    failures: int = 0
    success_ms: float = 0.0
    load: dict[str, float] = field(default_factory=dict)


class PlainStats:
    """Totals by zone and endpoint, drained once a period, and downstream statistics of each report."""

    def __init__(self, period_ms: float) -> None:
        self.period_ms = period_ms
        self.drained_ms: float | None = None
        self.upstream: dict[tuple[str, int], UpstreamTotals] = {}
        self.downstream: list[DownstreamStats] = []

    def add_report(self, proxy: int, zone: str, report: LoadReport) -> None:
        """Adds a report without validation."""
        for row in report.rows:
            totals = self.upstream.get((zone, row.endpoint))
            if totals is None:
                totals = self.upstream[zone, row.endpoint] = UpstreamTotals()
            totals.attempts += row.succeeded + row.failed
            totals.failures += row.failed
            totals.success_ms += row.succeeded_ms
            totals.load.update({} if row.load is None else {"util": row.load})
        for arrivals in report.arrivals:
            stats = DownstreamStats(
                arrivals.class_index, proxy, arrivals.arrived, arrivals.unanswered, report.window_ms
            )
            self.downstream.append(stats)

    def due_ms(self) -> float:
        """Returns when the totals are due to be drained; infinity if there are none."""
        if not (self.upstream or self.downstream):
            return float("inf")
        return (self.drained_ms or 0.0) + self.period_ms

    def drain(self, now_ms: float) -> tuple[list[UpstreamStats], list[DownstreamStats]]:
        """Returns and resets the upstream and downstream statistics since the last call."""
        window_ms = self.period_ms if self.drained_ms is None else now_ms - self.drained_ms
        upstream = []
        for (_, endpoint), totals in self.upstream.items():
            mean_ms = totals.success_ms / max(1, totals.attempts - totals.failures)
            upstream.append(UpstreamStats(endpoint, totals.attempts, totals.failures, mean_ms, window_ms, totals.load))
        downstream = self.downstream
        self.upstream, self.downstream, self.drained_ms = {}, [], now_ms
        return upstream, downstream
