"""Service quality from the proxies' record: priority weight earned over priority weight offered.  Without I/O."""

from collections import Counter, defaultdict
from dataclasses import dataclass
from typing import Any, NamedTuple

from quillstep.config.fleet import ClassSettings, FleetSettings

WINDOW_MS = 5000.0


class Earned(NamedTuple):
    """What a request earned: the share of its priority weight, and how it ended."""

    share: float
    outcome: str


@dataclass(slots=True)
class WeightSums:
    """Priority weight of requests, offered and earned."""

    offered: float = 0.0
    earned: float = 0.0

    @property
    def share(self) -> float:
        """What was earned of the weight offered; 0 without requests."""
        return self.earned / self.offered if self.offered else 0.0


def earned_share(class_: ClassSettings, row: dict[str, Any]) -> Earned:
    """What a request earned: all within the latency objective, the late weight within the deadline, else nothing."""
    took_ms = row["end"] - row["at"]
    if row["outcome"] == "ok" and took_ms <= class_.latency_objective_ms:
        return Earned(1.0, "in time")
    if row["outcome"] == "ok" and took_ms <= class_.deadline_ms:
        return Earned(class_.late_priority_weight, "late")
    return Earned(0.0, row["outcome"])


def service_quality(fleet: FleetSettings, requests: list[dict[str, Any]]) -> dict[str, Any]:
    """Service of all requests, by class and of the worst window, and how requests ended, as it is printed."""
    classes = {row.name: row for row in fleet.classes}
    by_class: dict[str, WeightSums] = defaultdict(WeightSums)
    by_window: dict[int, WeightSums] = defaultdict(WeightSums)
    outcomes: Counter[str] = Counter()
    begin_ms = min((row["at"] for row in requests), default=0.0)
    for row in requests:
        class_ = classes[row["class"]]
        earned = earned_share(class_, row)
        outcomes[earned.outcome] += 1
        window = by_window[int((row["at"] - begin_ms) // WINDOW_MS)]
        for sums in (by_class[class_.name], window):
            sums.offered += class_.priority_weight
            sums.earned += earned.share * class_.priority_weight
    offered = sum(sums.offered for sums in by_class.values())
    earned_weight = sum(sums.earned for sums in by_class.values())
    return {
        "service": round(earned_weight / offered, 4) if offered else 0.0,
        "worst_5_s": round(min((sums.share for sums in by_window.values() if sums.offered), default=0.0), 4),
        "by_class": {name: round(by_class[name].share, 4) for name in sorted(by_class)},
        "exchanges": dict(sorted(outcomes.items())),
        "tries": sum(len(row["tries"]) for row in requests),
    }
