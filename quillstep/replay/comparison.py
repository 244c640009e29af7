"""Compares replays of a recorded scenario with and without a change of settings, over the same seeds.

A comparison is meaningful only if the replay without any change comes close to what was measured.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import Any

from quillstep.config.fleet import ClassSettings, FleetSettings
from quillstep.replay.modelled_scenario import Row
from quillstep.replay.recorded_scenario import RecordedScenario
from quillstep.replay.whatif import ReplayOutcome, infer_from, play
from quillstep.testbed.scenarios.service_quality import earned_share, service_quality

MAX_REPLAY_ERROR = 0.03  # Largest error of replayed service at which a comparison is meaningful.
WINDOW_MS = 1000.0
MAX_REPORTED_VIOLATIONS = 5


def compare(recorded: RecordedScenario, against: dict[str, Any], change: dict[str, Any], seeds: int) -> dict[str, Any]:
    """Compares two changes of settings over the same seeds.

    Args:
        recorded: The recorded scenario.
        against: The change to compare with, as values by path in the controllers' settings; empty for the recorded
            settings.
        change: The change to evaluate, in the same form.
        seeds: The number of replays with each change.

    Returns:
        The comparison, with the keys that `quillstep replay compare` prints.

    Raises:
        ConfigError: A change is invalid.
    """
    inferred, held_out = infer_from(recorded)

    def play_all(values: dict[str, Any]) -> list[ReplayOutcome]:
        return [play(recorded, inferred, values, seed) for seed in range(seeds)]

    replayed = play_all({})
    base = play_all(against) if against else replayed
    other = play_all(change) if change else base
    runs = {"replayed": replayed, "against": base, "changed": other}
    measured = service_quality(recorded.incarnations[0].settings.fleet, recorded.requests)
    replayed_service = mean(outcome.service for outcome in replayed)
    error = replayed_service - measured["service"]
    gains = [after.service - before.service for before, after in zip(base, other, strict=True)]
    return {
        "measured": measured["service"],
        "replayed": round(replayed_service, 4),
        "error": round(error, 4),
        "tells": abs(error) <= MAX_REPLAY_ERROR,
        "tolerance": MAX_REPLAY_ERROR,
        "held_out": held_out,
        "against": against,
        "change": change,
        "gain": round(mean(gains), 4),
        "noise": round(standard_deviation(gains), 4),
        "seeds": seeds,
        **_compare_runs(recorded, measured, runs),
    }


def _compare_runs(
    recorded: RecordedScenario, measured: dict[str, Any], runs: dict[str, list[ReplayOutcome]]
) -> dict[str, Any]:
    """Returns the parts of a comparison that have a value for each run."""
    fleet = recorded.incarnations[0].settings.fleet

    def with_measured(function: Callable[[FleetSettings, list[Row]], Any]) -> dict[str, Any]:
        by_run = {run: function(fleet, outcomes[0].requests) for run, outcomes in runs.items()}
        return {"measured": function(fleet, recorded.requests), **by_run}

    other = runs["changed"][0]
    return {
        "service": {run: round(mean(each.service for each in outcomes), 4) for run, outcomes in runs.items()},
        "by_class": _service_by_class(measured, runs),
        "windows": with_measured(service_by_window),
        "lost_by_cause": with_measured(lost_by_cause),
        "changed_fate": changed_outcomes(fleet, runs["against"][0].requests, other.requests),
        "rules_broken": {run: max(len(each.violations) for each in outcomes) for run, outcomes in runs.items()},
        "breaks": [violation.to_row() for violation in other.violations[:MAX_REPORTED_VIOLATIONS]],
        "digests": {run: [each.digest for each in outcomes] for run, outcomes in runs.items()},
    }


def _service_by_class(measured: dict[str, Any], runs: dict[str, list[ReplayOutcome]]) -> dict[str, Any]:
    rows: dict[str, Any] = {}
    for name, share in measured["by_class"].items():
        rows[name] = {"measured": share}
        for run, outcomes in runs.items():
            rows[name][run] = round(mean(each.quality["by_class"][name] for each in outcomes), 4)
    return rows


def service_by_window(fleet: FleetSettings, requests: list[Row]) -> list[float]:
    """Returns service in each window of `WINDOW_MS` from the first request on; 1 in a window without requests."""
    classes = {class_.name: class_ for class_ in fleet.classes}
    begin_ms = min((row["at"] for row in requests), default=0.0)
    offered: dict[int, float] = defaultdict(float)
    earned: dict[int, float] = defaultdict(float)
    for row in requests:
        window = int((row["at"] - begin_ms) // WINDOW_MS)
        class_ = classes[row["class"]]
        offered[window] += class_.priority_weight
        earned[window] += class_.priority_weight * earned_share(class_, row).share
    windows = range(max(offered, default=-1) + 1)
    return [round(earned[window] / offered[window], 4) if offered[window] else 1.0 for window in windows]


def lost_by_cause(fleet: FleetSettings, requests: list[Row]) -> dict[str, float]:
    """Returns the share of the offered priority weight that was lost to each cause."""
    classes = {class_.name: class_ for class_ in fleet.classes}
    offered = sum(classes[row["class"]].priority_weight for row in requests) or 1.0
    lost: dict[str, float] = defaultdict(float)
    for row in requests:
        class_ = classes[row["class"]]
        if cause := cause_of_loss(class_, row):
            lost[cause] += (1.0 - earned_share(class_, row).share) * class_.priority_weight / offered
    return {cause: round(share, 4) for cause, share in sorted(lost.items())}


def cause_of_loss(class_: ClassSettings, row: Row) -> str:
    """Returns why a request did not earn its full priority weight; empty if it did."""
    if earned_share(class_, row).share == 1.0:
        return ""
    if row["outcome"] == "ok":
        return "late"
    if row["outcome"] in ("refused", "bare"):
        return str(row["outcome"])
    return "tried twice" if len(row["tries"]) > 1 else "lost"


def changed_outcomes(fleet: FleetSettings, before: list[Row], after: list[Row]) -> dict[str, int]:
    """Counts the requests answered in time only after the change (`won`) and only before it (`lost`)."""
    in_time_before, in_time_after = answered_in_time(fleet, before), answered_in_time(fleet, after)
    return {"won": len(in_time_after - in_time_before), "lost": len(in_time_before - in_time_after)}


def answered_in_time(fleet: FleetSettings, requests: list[Row]) -> set[str]:
    """Returns the identifiers of the requests that earned their full priority weight."""
    classes = {class_.name: class_ for class_ in fleet.classes}
    return {row["exchange"] for row in requests if earned_share(classes[row["class"]], row).share == 1.0}


def mean(values: Iterable[float]) -> float:
    """Returns the arithmetic mean of at least one value."""
    items = list(values)
    return sum(items) / len(items)


def standard_deviation(values: list[float]) -> float:
    """Returns the sample standard deviation; 0 for a single value."""
    average = mean(values)
    return float((sum((value - average) ** 2 for value in values) / max(1, len(values) - 1)) ** 0.5)
