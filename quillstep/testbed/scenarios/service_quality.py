"""Service from the proxies' record: credit within the agreed time over credit asked.  Without I/O."""

from collections import Counter, defaultdict
from typing import Any

from quillstep.config.fleet import ClassSettings, FleetSettings


def earned_part(kind: ClassSettings, row: dict[str, Any]) -> tuple[float, str]:
    """The part of its credit that an exchange earned, and how it ended."""
    took = row["end"] - row["at"]
    if row["outcome"] == "ok" and took <= kind.latency_objective_ms:
        return 1.0, "in time"
    if row["outcome"] == "ok" and took <= kind.deadline_ms:
        return kind.late_priority_weight, "late"
    return 0.0, row["outcome"]


def service(fleet: FleetSettings, exchanges: list[dict[str, Any]]) -> dict[str, Any]:
    """Service of the whole, by class, of the worst 5 s; and how exchanges ended."""
    classes = {row.name: row for row in fleet.classes}
    asked: dict[str, float] = defaultdict(float)
    won_by: dict[str, float] = defaultdict(float)
    windows: dict[int, list[float]] = defaultdict(lambda: [0.0, 0.0])
    ends: Counter[str] = Counter()
    begin = min((row["at"] for row in exchanges), default=0.0)
    for row in exchanges:
        kind = classes[row["class"]]
        part, how = earned_part(kind, row)
        ends[how] += 1
        window = windows[int((row["at"] - begin) // 5000.0)]
        asked[kind.name] += kind.priority_weight
        won_by[kind.name] += part * kind.priority_weight
        window[0] += kind.priority_weight
        window[1] += part * kind.priority_weight
    total = sum(asked.values())
    return {
        "service": round(sum(won_by.values()) / total, 4) if total else 0.0,
        "worst_5_s": round(min((won / all_ for all_, won in windows.values() if all_), default=0.0), 4),
        "by_class": {name: round(won_by[name] / asked[name], 4) for name in sorted(asked)},
        "exchanges": dict(sorted(ends.items())),
        "tries": sum(len(row["tries"]) for row in exchanges),
    }
