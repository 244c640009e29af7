"""Service quality from the proxies' event logs: priority weight earned over priority weight requested.  Without I/O."""

from collections import Counter, defaultdict
from typing import Any

from quillstep.config.fleet import ClassSettings, FleetSettings

WINDOW_MS = 5000.0


def earned_share(kind: ClassSettings, request: dict[str, Any]) -> tuple[float, str]:
    """Return the share of its priority weight that a request earned, and how it ended.

    `request` is its line in the event log.
    """
    latency_ms = request["end"] - request["at"]
    if request["outcome"] == "ok" and latency_ms <= kind.latency_objective_ms:
        return 1.0, "in time"
    if request["outcome"] == "ok" and latency_ms <= kind.deadline_ms:
        return kind.late_priority_weight, "late"
    return 0.0, request["outcome"]


def service_quality(fleet: FleetSettings, requests: list[dict[str, Any]]) -> dict[str, Any]:
    """Return the quality overall, by class and of the worst window of 5 s, and how requests ended."""
    classes = {kind.name: kind for kind in fleet.classes}
    requested: dict[str, float] = defaultdict(float)
    earned: dict[str, float] = defaultdict(float)
    windows: dict[int, list[float]] = defaultdict(lambda: [0.0, 0.0])  # requested and earned
    outcomes: Counter[str] = Counter()
    begin_ms = min((request["at"] for request in requests), default=0.0)
    for request in requests:
        kind = classes[request["class"]]
        share, outcome = earned_share(kind, request)
        outcomes[outcome] += 1
        window = windows[int((request["at"] - begin_ms) // WINDOW_MS)]
        requested[kind.name] += kind.priority_weight
        earned[kind.name] += share * kind.priority_weight
        window[0] += kind.priority_weight
        window[1] += share * kind.priority_weight
    total = sum(requested.values())
    by_window = (won / weight for weight, won in windows.values() if weight)
    return {
        "service": round(sum(earned.values()) / total, 4) if total else 0.0,
        "worst_5_s": round(min(by_window, default=0.0), 4),
        "by_class": {name: round(earned[name] / requested[name], 4) for name in sorted(requested)},
        "exchanges": dict(sorted(outcomes.items())),
        "tries": sum(len(request["tries"]) for request in requests),
    }
