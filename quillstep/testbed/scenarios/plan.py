"""What a scenario means for one fleet: which endpoints and proxies exist, and which command comes when.

Everything is drawn from the scenario's seed, without I/O, so that every arm of a comparison meets the same requests and
faults.  The order of draws decides what comes out.
"""

import random
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from quillstep.config.scenario import FaultSettings, ScenarioSettings

# The command to a proxy for each fault of the settings.
PROXY_COMMANDS = {
    "proxy_moves": "moves",
    "proxy_stall": "stall",
    "proxy_refuses": "refuse",
    "proxy_reads_nothing": "reads_nothing",
    "proxy_cut": "cut",
    "proxy_slow_lines": "slow_lines",
    "proxy_late_words": "late_words",
    "proxy_loses": "loses",
    "reports_late": "reports_late",
    "reports_heavy": "reports_heavy",
    "reports_cut": "reports_cut",
}
MIN_PROXY_SIZE = 0.05  # relative to the mean


class Step(NamedTuple):
    """One command of the scenario."""

    at_s: float
    target: str  # endpoint, proxy, pilot, roster or settings
    command: dict[str, Any]


@dataclass(slots=True)
class ScenarioPlan:
    """Endpoints and proxies as their stand-ins are set up, and the steps in the order of time."""

    endpoints: list[dict[str, Any]] = field(default_factory=list)
    proxies: list[dict[str, Any]] = field(default_factory=list)
    steps: list[Step] = field(default_factory=list)


def plan_scenario(scenario: ScenarioSettings) -> ScenarioPlan:
    """Return the plan of a scenario."""
    draw = random.Random(scenario.seed)
    plan = ScenarioPlan()
    for zone in scenario.fleet.zones:
        _add_endpoints(plan, scenario, zone, draw)
    sizes = [draw.expovariate(1.0) ** scenario.callers_skew + MIN_PROXY_SIZE for _ in range(scenario.proxies)]
    for number in range(scenario.proxies):
        requests_per_s = scenario.requests_per_s * sizes[number] / sum(sizes)
        plan.proxies.append(_proxy(plan, scenario, number, requests_per_s, draw))
    for fault in scenario.faults:
        plan.steps.extend(_steps_of_fault(plan, fault, scenario, draw))
    plan.steps.sort(key=lambda step: step.at_s)
    return plan


def _add_endpoints(plan: ScenarioPlan, scenario: ScenarioSettings, zone: str, draw: random.Random) -> None:
    for kind in scenario.endpoints:
        row = {**kind.model_dump(exclude={"each_zone"}), "zone": zone, "state": "in_service"}
        for _ in range(kind.each_zone):
            plan.endpoints.append({**row, "id": draw.randrange(1, 2**32), "up": True})
    first_kind = {**scenario.endpoints[0].model_dump(exclude={"each_zone"}), "zone": zone}
    for _ in range(scenario.reserves):
        plan.endpoints.append({**first_kind, "id": draw.randrange(1, 2**32), "up": False, "state": "terminated"})


def _proxy(
    plan: ScenarioPlan, scenario: ScenarioSettings, number: int, requests_per_s: float, draw: random.Random
) -> dict[str, Any]:
    zone = scenario.fleet.zones[number % len(scenario.fleet.zones)]
    in_zone = [row["id"] for row in plan.endpoints if row["up"] and row["zone"] == zone]
    initial_table = draw.sample(in_zone, min(len(in_zone), scenario.fleet.proxies.initial_table_size))
    first_controller = draw.randrange(scenario.controllers)
    return {
        "name": f"proxy/{number}",
        "zone": zone,
        "usual": requests_per_s,
        "standing": initial_table,
        "pilots": [(first_controller + offset) % scenario.controllers for offset in range(scenario.controllers)],
        "files": number >= scenario.proxies - round(scenario.file_proxies * scenario.proxies),
        "sotw": number < round(scenario.sotw_proxies * scenario.proxies),
    }


def _steps_of_fault(
    plan: ScenarioPlan, fault: FaultSettings, scenario: ScenarioSettings, draw: random.Random
) -> Iterator[Step]:
    if fault.what == "tighten":
        command = {"do": fault.what, "kind": fault.class_name, "for_ms": fault.for_s * 1000.0}
        yield Step(fault.at_s, "settings", command)
    elif fault.what.startswith("pilot"):
        for controller in draw.sample(range(scenario.controllers), min(fault.count, scenario.controllers)):
            yield Step(fault.at_s, "pilot", {"do": fault.what, "pilot": controller})
            yield Step(fault.at_s + fault.for_s, "pilot", {"do": f"{fault.what}_over", "pilot": controller})
    elif fault.what.startswith(("proxy", "reports")):
        yield from _steps_of_proxy_fault(plan, fault, draw)
    else:
        yield from _steps_of_endpoint_fault(plan, fault, draw)


def _steps_of_proxy_fault(plan: ScenarioPlan, fault: FaultSettings, draw: random.Random) -> Iterator[Step]:
    candidates = [row["name"] for row in plan.proxies if _is_suited(row, fault)]
    do, for_ms = PROXY_COMMANDS[fault.what], fault.for_s * 1000.0
    for name in draw.sample(candidates, min(fault.count, len(candidates))):
        yield Step(fault.at_s, "proxy", {"do": do, "proxy": name, "for_ms": for_ms, "factor": fault.factor})


def _is_suited(proxy: dict[str, Any], fault: FaultSettings) -> bool:
    if fault.zone not in ("", proxy["zone"]):
        return False
    if fault.what == "proxy_loses":  # a client of whole states has one response at a time: no later one follows
        return not (proxy["sotw"] or proxy["files"])
    if fault.what == "proxy_moves":  # whole states give no versions of lines to take along
        return not proxy["sotw"]
    return True


def _steps_of_endpoint_fault(plan: ScenarioPlan, fault: FaultSettings, draw: random.Random) -> Iterator[Step]:
    is_up = fault.what != "join"
    candidates = [row for row in plan.endpoints if fault.zone in ("", row["zone"]) and row["up"] == is_up]
    count = len(candidates) if fault.what == "zone_loss" else min(fault.count, len(candidates))
    for row in draw.sample(candidates, count):
        yield from _steps_at_endpoint(row["id"], fault)
        if fault.what == "join":
            row["up"] = True


def _steps_at_endpoint(endpoint: int, fault: FaultSettings) -> list[Step]:
    begin_s, end_s = fault.at_s, fault.at_s + fault.for_s

    def order(at_s: float, do: str, **arguments: Any) -> Step:
        return Step(at_s, "endpoint", {"do": do, "endpoint": endpoint, **arguments})

    def list_as(at_s: float, state: str, **arguments: Any) -> Step:
        return Step(at_s, "roster", {"id": endpoint, "state": state, **arguments})

    match fault.what:
        case "die" | "zone_loss":
            return [
                order(begin_s, "die"),
                list_as(begin_s, "terminated"),
                order(end_s, "start"),
                list_as(end_s, "in_service", began=True),
            ]
        case "drain":
            return [
                list_as(begin_s, "terminating"),
                order(begin_s, "drain"),
                order(end_s, "die"),
                list_as(end_s, "terminated"),
            ]
        case "join":
            return [order(begin_s, "start"), list_as(begin_s, "in_service", began=True)]
        case "slow":
            return [order(begin_s, "slow", factor=fault.factor), order(end_s, "slow", factor=1.0)]
        case "fail" | "lose_answers":
            factor = 1.0 - 1.0 / max(1.0, fault.factor)
            return [order(begin_s, fault.what, factor=factor), order(end_s, fault.what, factor=0.0)]
        case _:
            return [order(begin_s, fault.what, for_ms=fault.for_s * 1000.0)]
