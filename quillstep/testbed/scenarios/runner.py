"""Plays scenarios: one arm with the controllers under test and one for each baseline, all at the same time."""

from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any, NamedTuple

from quillstep.config.scenario import ScenarioSettings
from quillstep.invariants import Evidence, check_invariants, longest_drain_ms, longest_queue
from quillstep.net.clock import now_ms
from quillstep.testbed.scenarios.arm import Arm
from quillstep.testbed.scenarios.plan import plan_scenario
from quillstep.testbed.scenarios.service_quality import service_quality

UNDER_TEST = "learnt"
MAX_PRINTED_VIOLATIONS = 20
STEAL_FIELD, CPU_FIELDS = 7, 8  # first line of /proc/stat: index of steal time, and number of fields in the total


class MachineTicks(NamedTuple):
    """Processor time of the machine since it booted, in clock ticks."""

    stolen: float  # used by other guests of its host
    total: float


def machine_ticks() -> MachineTicks:
    """Returns the machine's processor time so far; no stolen time where the system does not report it."""
    try:
        line = Path("/proc/stat").read_text().split("\n", 1)[0]
    except OSError:
        return MachineTicks(0.0, 1.0)
    ticks = [float(field) for field in line.split()[1:]]
    return MachineTicks(ticks[STEAL_FIELD] if len(ticks) > STEAL_FIELD else 0.0, sum(ticks[:CPU_FIELDS]))


def play_arm(scenario: ScenarioSettings, folder: Path, planner_kind: str = UNDER_TEST) -> Arm:
    """Plays one arm alone and returns it with its measurements, after stopping it.

    Raises:
        ChildError: A process ended or did not answer in time.
    """
    arm = Arm(scenario, plan_scenario(scenario), planner_kind, folder)
    before = machine_ticks()
    try:
        arm.start()
        arm.begin_ms = now_ms() + scenario.warm_up_s * 1000.0
        arm.play(arm.begin_ms)
        arm.duration_s = (now_ms() - arm.begin_ms) / 1000.0 + scenario.warm_up_s
        arm.controller_cpu_s = arm.controllers.cpu_s()
    finally:
        arm.stop()
    after = machine_ticks()
    arm.stolen_share = (after.stolen - before.stolen) / max(1.0, after.total - before.total)
    return arm


def play_scenario(scenario: ScenarioSettings, folder: Path, arms: list[str] | None = None) -> dict[str, Any]:
    """Plays all arms at the same time and returns the result as `quillstep scenario` prints it.

    Args:
        scenario: The scenario's settings.
        folder: The folder below which each arm writes to its own.
        arms: Planner kinds; by default the one under test and the scenario's baselines.

    Raises:
        ChildError: A process ended or did not answer in time.
    """
    kinds = [UNDER_TEST, *scenario.baselines] if arms is None else arms
    plan = plan_scenario(scenario)
    played = [Arm(scenario, plan, kind, folder / kind) for kind in kinds]
    try:
        with ThreadPoolExecutor(len(played), thread_name_prefix="arm") as pool:
            list(pool.map(lambda arm: arm.start(), played))
            begin_ms = now_ms() + scenario.warm_up_s * 1000.0
            list(pool.map(lambda arm: arm.play(begin_ms), played))
    finally:
        for arm in played:
            arm.stop()
    return result_of(scenario, {arm.planner_kind: arm.evidence() for arm in played})


def result_of(scenario: ScenarioSettings, evidence: dict[str, Evidence]) -> dict[str, Any]:
    """Returns the printed result: violations and service of the arm under test, and service of the baselines."""
    main_kind = UNDER_TEST if UNDER_TEST in evidence else next(iter(evidence))
    main = evidence[main_kind]
    violations = check_invariants(main)
    baselines = {}
    for kind, baseline_evidence in evidence.items():
        if kind != main_kind:
            baselines[kind] = service_quality(scenario.fleet, baseline_evidence.requests)["service"]
    kinds = [row["what"] for row in main.channel_rows]
    responses = [row for row in main.channel_rows if row["what"] == "send"]
    return {
        "day": scenario.name,
        "rules_broken": len(violations),
        "breaks": [violation.to_row() for violation in violations[:MAX_PRINTED_VIOLATIONS]],
        **service_quality(scenario.fleet, main.requests),
        "baselines": baselines,
        "versions": {
            "sent": len(responses),
            "acknowledged": kinds.count("ack"),
            "refused": kinds.count("nack"),
            "lines": sum(row["lines"] for row in responses),
            "bytes": sum(row["bytes"] for row in responses),
        },
        "longest_channel": round(longest_queue(main), 1),
        "slowest_drain_ms": round(longest_drain_ms(main), 1),
    }
