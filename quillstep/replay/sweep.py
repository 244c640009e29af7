"""Replays one recorded scenario with several values of a setting, on all cores, in worker processes."""

import multiprocessing
from concurrent.futures import ProcessPoolExecutor
from typing import Any, NamedTuple

from quillstep.config.loading import changed
from quillstep.replay.comparison import mean, standard_deviation
from quillstep.replay.inference import InferredEndpoints
from quillstep.replay.recorded_scenario import RecordedScenario
from quillstep.replay.whatif import infer_from, play


class ReplayResult(NamedTuple):
    """The result of one replay: service, the number of invariant violations, a hash over all requests."""

    service: float
    violations: int
    digest: str


def run(scenario: RecordedScenario, changes: list[dict[str, Any]], seeds: int) -> list[dict[str, Any]]:
    """Replays a scenario with each change of settings and each seed.

    Args:
        scenario: The recorded scenario.
        changes: Each change, as values by path in the controllers' settings.
        seeds: The number of replays of each change.

    Returns:
        A row for each change, with the mean and the noise (the standard deviation) of service over the seeds.

    Raises:
        ConfigError: A change is invalid.
    """
    for change in changes:
        changed(scenario.incarnations[0].settings, change)
    inferred = infer_from(scenario).endpoints
    with ProcessPoolExecutor(mp_context=multiprocessing.get_context("spawn")) as pool:
        futures = [
            [pool.submit(_replay, scenario, inferred, change, seed) for seed in range(seeds)] for change in changes
        ]
        return [
            _summarize(change, [future.result() for future in submitted])
            for change, submitted in zip(changes, futures, strict=True)
        ]


def _replay(scenario: RecordedScenario, inferred: InferredEndpoints, change: dict[str, Any], seed: int) -> ReplayResult:
    outcome = play(scenario, inferred, change, seed)
    return ReplayResult(outcome.service, len(outcome.violations), outcome.digest)


def _summarize(change: dict[str, Any], results: list[ReplayResult]) -> dict[str, Any]:
    services = [result.service for result in results]
    noise = standard_deviation(services)
    return {
        "value": next(iter(change.values())), "service": round(mean(services), 4), "noise": round(noise, 4),
        "rules_broken": max(result.violations for result in results), "digests": [result.digest for result in results],
    }  # fmt: skip
