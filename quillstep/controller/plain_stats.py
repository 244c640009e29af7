"""The first pilot's intake, kept as the baseline that `reports.by: "inbox"` brings back.  Without I/O and clocks.

Reports come with all other news and add up until the next hand-over; nothing is aged, bounded, sampled or told apart.
"""

from dataclasses import dataclass, field

from quillstep.planner.messages import DownstreamStats, UpstreamStats


@dataclass(slots=True)
class Sum:
    """What the proxies of a zone met at one endpoint since the last hand-over."""

    tries: int = 0
    failed: int = 0
    good_ms: float = 0.0
    load: dict[str, float] = field(default_factory=dict)


class PlainStats:
    """Sums by zone and endpoint, handed over once a period, as one figure each; arrivals as they come."""

    def __init__(self, period_ms: float) -> None:
        self.period_ms = period_ms
        self.since_ms: float | None = None
        self.sums: dict[tuple[str, int], Sum] = {}
        self.arrivals: list[DownstreamStats] = []

    def tried(self, zone: str, endpoint: int, tries: int, failed: int, good_ms: float, load: dict[str, float]) -> None:
        row = self.sums.get((zone, endpoint))
        if row is None:
            row = self.sums[zone, endpoint] = Sum()
        row.tries += tries
        row.failed += failed
        row.good_ms += good_ms
        row.load.update(load)

    def arrived(self, place: int, proxy: int, arrived: int, unanswered: int, covers_ms: float) -> None:
        self.arrivals.append(DownstreamStats(place, proxy, arrived, unanswered, covers_ms))

    def due_ms(self) -> float:
        """When what has gathered is to be handed over; never while there is nothing."""
        if not (self.sums or self.arrivals):
            return float("inf")
        return (self.since_ms or 0.0) + self.period_ms

    def drain(self, now_ms: float) -> tuple[list[UpstreamStats], list[DownstreamStats]]:
        """Sums and arrivals in the interface's shape; starts anew."""
        covers = self.period_ms if self.since_ms is None else now_ms - self.since_ms
        sums = [
            UpstreamStats(endpoint, s.tries, s.failed, s.good_ms / max(1, s.tries - s.failed), covers, s.load)
            for (_, endpoint), s in self.sums.items()
        ]
        arrivals = self.arrivals
        self.sums, self.arrivals, self.since_ms = {}, [], now_ms
        return sums, arrivals
