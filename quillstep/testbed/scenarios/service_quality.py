"""Service quality from the proxies' record: priority weight earned over priority weight offered.  Does no I/O."""

from collections import Counter, defaultdict
from dataclasses import dataclass
from typing import Any, NamedTuple

from quillstep.config.fleet import ClassSettings, FleetSettings

WINDOW_MS = 5000.0


class Earned(NamedTuple):
    """The share of its priority weight that a request earned, and its outcome."""

    share: float
    outcome: str


@dataclass(slots=True)
class WeightTotals:
    """Total priority weight of requests, offered and earned."""

    offered: float = 0.0
    earned: float = 0.0

    @property
    def share(self) -> float:
        """The earned share of the weight offered; 0 without requests."""
        return self.earned / self.offered if self.offered else 0.0


def earned_share(class_: ClassSettings, row: dict[str, Any]) -> Earned:
    """Returns a share of 1 within the latency objective, the class's late share within the deadline, 0 otherwise."""
    took_ms = row["end"] - row["at"]
    if row["outcome"] == "ok" and took_ms <= class_.latency_objective_ms:
        return Earned(1.0, "in time")
    if row["outcome"] == "ok" and took_ms <= class_.deadline_ms:
        return Earned(class_.late_priority_weight, "late")
    return Earned(0.0, row["outcome"])


def service_quality(fleet: FleetSettings, requests: list[dict[str, Any]]) -> dict[str, Any]:
    """Returns the printed service: of all requests, by class and of the worst window, with the outcomes' counts."""
    classes = {row.name: row for row in fleet.classes}
    by_class: dict[str, WeightTotals] = defaultdict(WeightTotals)
    by_window: dict[int, WeightTotals] = defaultdict(WeightTotals)
    outcomes: Counter[str] = Counter()
    begin_ms = min((row["at"] for row in requests), default=0.0)
    for row in requests:
        class_ = classes[row["class"]]
        earned = earned_share(class_, row)
        outcomes[earned.outcome] += 1
        window = by_window[int((row["at"] - begin_ms) // WINDOW_MS)]
        for totals in (by_class[class_.name], window):
            totals.offered += class_.priority_weight
            totals.earned += earned.share * class_.priority_weight
    offered = sum(totals.offered for totals in by_class.values())
    earned_weight = sum(totals.earned for totals in by_class.values())
    return {
        "service": round(earned_weight / offered, 4) if offered else 0.0,
        "worst_5_s": round(min((totals.share for totals in by_window.values() if totals.offered), default=0.0), 4),
        "by_class": {name: round(by_class[name].share, 4) for name in sorted(by_class)},
        "exchanges": dict(sorted(outcomes.items())),
        "tries": sum(len(row["tries"]) for row in requests),
    }
