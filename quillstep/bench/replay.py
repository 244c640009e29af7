"""Speed, repeatability and accuracy of the replays of recorded scenarios.

The scenarios are first played on loopback with recordings; everything is then measured on one core.
"""

import resource
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any, NamedTuple

from quillstep.bench.results import machine_name
from quillstep.bench.streams import drain_scenario
from quillstep.config.scenario import ScenarioSettings
from quillstep.recording import read_incarnations, read_records
from quillstep.replay.comparison import mean
from quillstep.replay.faithful import Replay
from quillstep.replay.recorded_scenario import read_recorded_scenario
from quillstep.replay.whatif import infer_from, play
from quillstep.testbed.scenarios.runner import play_arm
from quillstep.testbed.scenarios.service_quality import service_quality

SMALL_SCENARIO_S = 20.0
SEEDS = 3  # Replays of each small scenario.
CLASS_TIMES = {"agreed_ms": 400.0, "cut_off_ms": 1200.0, "late_credit": 0.2}
FAULTS_BY_KIND: dict[str, dict[str, Any]] = {
    "quiet": {},
    "zone lost": {"troubles": [{"at_s": 6.0, "for_s": 4.0, "what": "zone_loss", "zone": "norte"}]},
    "flapping": {
        "troubles": [
            {"at_s": at, "for_s": 2.0, "what": what, "count": 3, "factor": 10.0}
            for at, what in ((3.0, "fail"), (6.0, "silent"), (10.0, "fail"), (14.0, "silent"))
        ]
    },
    "answers lost": {"troubles": [{"at_s": 5.0, "for_s": 10.0, "what": "lose_answers", "count": 4, "factor": 2.0}]},
    "overload": {"phases": [{"at_s": 6.0, "for_s": 8.0, "times": 3.0}]},
}


def small_scenario(kind: str) -> ScenarioSettings:
    """Returns a scenario with 12 endpoints, 12 proxies, two controllers and one kind of fault."""
    return ScenarioSettings.model_validate({
        "name": kind, "seed": 41, "seconds": SMALL_SCENARIO_S, "proxies": 12, "pilots": 2, "exchanges_per_s": 220.0,
        "fleet": {
            "zones": ["norte", "sur"],
            "classes": [
                {"name": "lookup", "credit": 1.0, "semantics": "safe", "work_ms": 40.0, "share": 0.7, **CLASS_TIMES},
                {"name": "issue", "credit": 3.0, "semantics": "unsafe", "work_ms": 30.0, "share": 0.3, **CLASS_TIMES},
            ],
            "rules": {"warm_after_ms": 6000.0, "drain_grace_ms": 2500.0},
            "channel": {"lines_per_s": 2000.0, "lines_waiting_most": 2500.0, "late_most_ms": 300.0},
            "proxies": {"standing": 3, "avoid_ms": 3000.0},
            "probes": {"timeout_ms": 600.0},
        },
        "endpoints": [{"each_zone": 6, "connections_most": 150}], "baselines": [], "capture": True,
        **FAULTS_BY_KIND[kind],
    })  # fmt: skip


def measure_fidelity(kind: str, folder: Path) -> dict[str, Any]:
    """Returns the errors of the replay with the recorded settings, in total and by class."""
    recorded = read_recorded_scenario(folder)
    fleet = recorded.incarnations[0].settings.fleet
    inferred, held_out = infer_from(recorded)
    measured = service_quality(fleet, recorded.requests)
    outcomes = [play(recorded, inferred, {}, seed) for seed in range(SEEDS)]
    replayed = mean(outcome.service for outcome in outcomes)
    errors = {
        name: round(mean(outcome.quality["by_class"][name] for outcome in outcomes) - share, 4)
        for name, share in measured["by_class"].items()
    }
    return {
        "day": kind, "exchanges": len(recorded.requests), "measured": measured["service"],
        "replayed": round(replayed, 4), "error": round(replayed - measured["service"], 4),
        "worst_class_error": max(errors.values(), key=abs), "told_apart": held_out["told_apart"],
        "time_error_median": held_out["time_error_median"],
    }  # fmt: skip


class FaithfulSpeed(NamedTuple):
    """Two faithful replays of all recordings of a folder; the times are those of the first."""

    is_identical: bool
    is_repeatable: bool
    cpu_s: float
    recorded_s: float


def measure_faithful(folder: Path) -> FaithfulSpeed:
    """Replays all recordings through the controller's decision loop, twice."""
    cpu_s = recorded_s = 0.0
    digests: list[list[str]] = [[], []]
    is_identical = True
    for run_index in range(2):
        for path in sorted(folder.glob("capture-*")):
            for incarnation in read_incarnations(path):
                begun_s = time.process_time()
                outcome = Replay(incarnation.header).play(read_records(incarnation))
                is_identical = is_identical and outcome.is_identical
                digests[run_index].append(outcome.digest)
                if run_index == 0:
                    cpu_s += time.process_time() - begun_s
                    recorded_s += outcome.span_ms / 1000.0
    return FaithfulSpeed(is_identical, digests[0] == digests[1], cpu_s, recorded_s)


def measure_speed(folder: Path) -> dict[str, Any]:
    """Measures both replays of one scenario: speed relative to real time, repeatability, memory."""
    faithful = measure_faithful(folder)
    recorded = read_recorded_scenario(folder)
    inferred = infer_from(recorded).endpoints
    begun_s = time.process_time()
    first = play(recorded, inferred, {}, 1)
    whatif_s = time.process_time() - begun_s
    second = play(recorded, inferred, {}, 1)
    begin_ms = min(incarnation.first_ms for incarnation in recorded.incarnations)
    recorded_s = (recorded.end_ms - begin_ms) / 1000.0
    measured = service_quality(recorded.incarnations[0].settings.fleet, recorded.requests)
    recording_bytes = sum(file.stat().st_size for file in folder.glob("capture-*/*.qcap"))
    return {
        "day": f"{len(recorded.proxies)} proxies", "exchanges": len(recorded.requests),
        "faithful_identical": faithful.is_identical, "faithful_twice_alike": faithful.is_repeatable,
        "faithful_times_real": round(faithful.recorded_s / faithful.cpu_s, 1),
        "whatif_times_real": round(recorded_s / whatif_s, 1), "whatif_twice_alike": first.digest == second.digest,
        "measured": measured["service"], "replayed": first.service,
        "memory_MB": round(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0),
        "capture_kB_a_s": round(recording_bytes / 1000.0 / recorded_s, 1),
    }  # fmt: skip


def measure_recording_cost(proxies: int, requests_per_s: float, seconds: float, folder: Path) -> dict[str, Any]:
    """Compares the controller's CPU time with and without a recording, in two runs of one scenario."""
    plain = drain_scenario(proxies, requests_per_s, seconds, 1)
    cpu_share = {}
    for is_recorded in (False, True):
        scenario = ScenarioSettings.model_validate({**plain.model_dump(), "capture": is_recorded})
        arm = play_arm(scenario, folder / f"cost-{is_recorded}")
        cpu_share[is_recorded] = arm.controller_cpu_s / arm.duration_s
    return {
        "day": f"{proxies} proxies, captured or not", "pilot_cpu_without": round(cpu_share[False], 4),
        "pilot_cpu_with": round(cpu_share[True], 4), "with_over_without": round(cpu_share[True] / cpu_share[False], 3),
    }  # fmt: skip


def run(proxies: int, requests_per_s: float, seconds: float, folder: Path) -> dict[str, Any]:
    """Measures the large scenario, then five small ones, which are played in parallel."""
    large = ScenarioSettings.model_validate(
        {**drain_scenario(proxies, requests_per_s, seconds, 1).model_dump(), "capture": True}
    )

    def play_small(kind: str) -> Path:
        return play_arm(small_scenario(kind), folder / kind.replace(" ", "-")).folder

    rows = [measure_speed(play_arm(large, folder / "large").folder)]
    rows.append(measure_recording_cost(max(16, proxies // 4), requests_per_s / 4.0, 20.0, folder))
    with ThreadPoolExecutor(len(FAULTS_BY_KIND)) as pool:
        folders = list(pool.map(play_small, FAULTS_BY_KIND))
    rows += [measure_fidelity(kind, each) for kind, each in zip(FAULTS_BY_KIND, folders, strict=True)]
    return {
        "bench": "replay",
        "machine": machine_name(),
        "rows": rows,
    }
