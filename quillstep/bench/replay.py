"""How fast captured days replay, whether twice alike, and how near the model comes to five kinds of days; loopback.

The days are played first, with captures; then everything is measured on one core.
"""

import resource
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

from quillstep.bench.results import machine_name
from quillstep.bench.streams import scenario_of
from quillstep.config.scenario import ScenarioSettings
from quillstep.recording import read_incarnations, read_records
from quillstep.replay.faithful import Replay
from quillstep.replay.recorded_scenario import read_recorded_scenario
from quillstep.replay.whatif import infer_from, play
from quillstep.testbed.scenarios.runner import play_arm
from quillstep.testbed.scenarios.service_quality import service_quality

SECONDS = 20.0
TIMES = {"agreed_ms": 400.0, "cut_off_ms": 1200.0, "late_credit": 0.2}
KINDS: dict[str, dict[str, Any]] = {
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


def small_day(kind: str) -> ScenarioSettings:
    """Twelve endpoints, twelve proxies, two pilots, one kind of trouble."""
    return ScenarioSettings.model_validate({
        "name": kind, "seed": 41, "seconds": SECONDS, "proxies": 12, "pilots": 2, "exchanges_per_s": 220.0,
        "fleet": {
            "zones": ["norte", "sur"],
            "classes": [
                {"name": "lookup", "credit": 1.0, "semantics": "safe", "work_ms": 40.0, "share": 0.7, **TIMES},
                {"name": "issue", "credit": 3.0, "semantics": "unsafe", "work_ms": 30.0, "share": 0.3, **TIMES},
            ],
            "rules": {"warm_after_ms": 6000.0, "drain_grace_ms": 2500.0},
            "channel": {"lines_per_s": 2000.0, "lines_waiting_most": 2500.0, "late_most_ms": 300.0},
            "proxies": {"standing": 3, "avoid_ms": 3000.0},
            "probes": {"timeout_ms": 600.0},
        },
        "endpoints": [{"each_zone": 6, "connections_most": 150}], "baselines": [], "capture": True, **KINDS[kind],
    })  # fmt: skip


def fidelity(kind: str, folder: Path) -> dict[str, Any]:
    """How near the day's own replay comes, on the whole, by class and in the worst second missed most."""
    book = read_recorded_scenario(folder)
    fleet = book.incarnations[0].settings.fleet
    inferred, held_out = infer_from(book)
    measured = service_quality(fleet, book.requests)
    found = [play(book, inferred, {}, seed) for seed in range(3)]
    replayed = sum(row.service for row in found) / len(found)
    by_class = {
        name: round(sum(row.quality["by_class"][name] for row in found) / len(found) - part, 4)
        for name, part in measured["by_class"].items()
    }
    return {
        "day": kind, "exchanges": len(book.requests), "measured": measured["service"],
        "replayed": round(replayed, 4), "error": round(replayed - measured["service"], 4),
        "worst_class_error": max(by_class.values(), key=abs), "told_apart": held_out["told_apart"],
        "time_error_median": held_out["time_error_median"],
    }  # fmt: skip


def speed(folder: Path) -> dict[str, Any]:
    """Both replays of one day: times real time, twice alike, memory."""
    faithful_s = span_s = 0.0
    digests: list[list[str]] = [[], []]
    identical = True
    for run in range(2):
        for path in sorted(folder.glob("capture-*")):
            for life in read_incarnations(path):
                begun = time.process_time()
                outcome = Replay(life.header).play(read_records(life))
                identical = identical and outcome.is_identical
                digests[run].append(outcome.digest)
                if run == 0:
                    faithful_s += time.process_time() - begun
                    span_s += outcome.span_ms / 1000.0
    book = read_recorded_scenario(folder)
    inferred, _ = infer_from(book)
    begun = time.process_time()
    one = play(book, inferred, {}, 1)
    whatif_s = time.process_time() - begun
    two = play(book, inferred, {}, 1)
    day_s = (book.end_ms - min(life.first_ms for life in book.incarnations)) / 1000.0
    return {
        "day": f"{len(book.proxies)} proxies", "exchanges": len(book.requests),
        "faithful_identical": identical, "faithful_twice_alike": digests[0] == digests[1],
        "faithful_times_real": round(span_s / faithful_s, 1), "whatif_times_real": round(day_s / whatif_s, 1),
        "whatif_twice_alike": one.digest == two.digest, "measured": service_quality(
            book.incarnations[0].settings.fleet, book.requests)["service"], "replayed": one.service,
        "memory_MB": round(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0),
        "capture_kB_a_s": round(sum(f.stat().st_size for f in folder.glob("capture-*/*.qcap")) / 1000.0 / day_s, 1),
    }  # fmt: skip


def capture_cost(proxies: int, exchanges_per_s: float, seconds: float, folder: Path) -> dict[str, Any]:
    """The pilot's processor time with a capture over that without, the same day played twice in one run."""
    plain = scenario_of(proxies, exchanges_per_s, seconds, 1)
    used = {}
    for capture in (False, True):
        day = ScenarioSettings.model_validate({**plain.model_dump(), "capture": capture})
        arm = play_arm(day, folder / f"cost-{capture}")
        used[capture] = arm.controller_cpu_s / arm.duration_s
    return {
        "day": f"{proxies} proxies, captured or not", "pilot_cpu_without": round(used[False], 4),
        "pilot_cpu_with": round(used[True], 4), "with_over_without": round(used[True] / used[False], 3),
    }  # fmt: skip


def run(proxies: int, exchanges_per_s: float, seconds: float, folder: Path) -> dict[str, Any]:
    """The large day first, then five small ones side by side."""
    large = ScenarioSettings.model_validate(
        {**scenario_of(proxies, exchanges_per_s, seconds, 1).model_dump(), "capture": True}
    )

    def played(kind: str) -> Path:
        return play_arm(small_day(kind), folder / kind.replace(" ", "-")).folder

    rows = [speed(play_arm(large, folder / "large").folder)]
    rows.append(capture_cost(max(16, proxies // 4), exchanges_per_s / 4.0, 20.0, folder))
    with ThreadPoolExecutor(len(KINDS)) as pool:
        folders = list(pool.map(played, KINDS))
    rows += [fidelity(kind, each) for kind, each in zip(KINDS, folders, strict=True)]
    return {
        "bench": "replay",
        "machine": machine_name(),
        "rows": rows,
    }
