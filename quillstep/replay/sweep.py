"""Several values of a setting over one captured day, on all cores; each replay is a process's own."""

import multiprocessing
from concurrent.futures import ProcessPoolExecutor
from typing import Any

from quillstep.config.loading import changed
from quillstep.replay.inference import InferredEndpoints
from quillstep.replay.recorded_scenario import RecordedScenario
from quillstep.replay.whatif import learn, play


def one(
    book: RecordedScenario, inferred: InferredEndpoints, change: dict[str, Any], seed: int
) -> tuple[float, int, str]:
    found = play(book, inferred, change, seed)
    return found["service"]["service"], len(found["breaks"]), found["digest"]


def run(book: RecordedScenario, changes: list[dict[str, Any]], seeds: int) -> list[dict[str, Any]]:
    """A row a change, with the mean and the noise over seeds.  Raises `ConfigError` where a change does not check."""
    for change in changes:
        changed(book.incarnations[0].settings, change)
    inferred, _ = learn(book)
    with ProcessPoolExecutor(mp_context=multiprocessing.get_context("spawn")) as pool:
        played = [[pool.submit(one, book, inferred, change, seed) for seed in range(seeds)] for change in changes]
        rows = []
        for change, futures in zip(changes, played, strict=True):
            found = [future.result() for future in futures]
            services = [row[0] for row in found]
            mean = sum(services) / len(services)
            noise = (sum((each - mean) ** 2 for each in services) / max(1, len(services) - 1)) ** 0.5
            rows.append({
                "value": next(iter(change.values())), "service": round(mean, 4), "noise": round(noise, 4),
                "rules_broken": max(row[1] for row in found), "digests": [row[2] for row in found],
            })  # fmt: skip
        return rows
