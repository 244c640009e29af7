"""What a scenario means for one fleet: its endpoints and proxies, and the commands that inject its faults.

Everything follows from the scenario's seed; there is no I/O here.  The order of random draws is part of a
scenario: a plan must not change with the code.
"""

import random
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, NamedTuple

import msgspec

from quillstep.config.scenario import EndpointKindSettings, FaultSettings, ScenarioSettings

# What proxies are told to do for a fault, by the fault's name in scenario files.
PROXY_ACTIONS = {
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


class ControllerAction(StrEnum):
    """What happens to a controller's process."""

    KILL = "kill"
    RESTART = "restart"
    PAUSE = "pause"
    RESUME = "resume"


class EndpointCommand(NamedTuple):
    """A command to the program of an endpoint; the parameters are sent by their names."""

    endpoint: int
    action: str
    parameters: dict[str, float]


class DiscoveryCommand(NamedTuple):
    """A change of the endpoint list; `is_start`: the endpoint starts with it."""

    endpoint: int
    state: str
    is_start: bool = False


class ProxyCommand(NamedTuple):
    """A command to the program of a proxy."""

    proxy: str
    action: str
    for_ms: float
    factor: float


class ControllerCommand(NamedTuple):
    """An action on one controller's process."""

    controller: int
    action: ControllerAction


class TightenCommand(NamedTuple):
    """A class becomes unsafe in the settings of all controllers; gives up after `for_ms`."""

    class_name: str
    for_ms: float


Command = EndpointCommand | DiscoveryCommand | ProxyCommand | ControllerCommand | TightenCommand


class Step(NamedTuple):
    """A command and its time from the scenario's begin."""

    at_s: float
    command: Command


@dataclass(slots=True)
class PlannedEndpoint:
    """One endpoint; `is_up` is false for a reserve that no fault starts."""

    kind: EndpointKindSettings
    zone: str
    number: int
    state: str
    is_up: bool

    def to_row(self) -> dict[str, Any]:
        """The endpoint as the programs of the testbed read it."""
        row = self.kind.model_dump(exclude={"each_zone"})
        return {**row, "zone": self.zone, "state": self.state, "id": self.number, "up": self.is_up}


class PlannedProxy(msgspec.Struct, rename={
    "requests_per_s": "usual", "initial_endpoints": "standing", "controllers": "pilots", "uses_files": "files",
    "uses_sotw": "sotw",
}):  # fmt: skip
    """One proxy; it tries its controllers in this order.  It is encoded as the programs of the testbed read it."""

    name: str
    zone: str
    requests_per_s: float
    initial_endpoints: list[int]
    controllers: list[int]
    uses_files: bool
    uses_sotw: bool


@dataclass(slots=True)
class ScenarioPlan:
    """The endpoints, the proxies, and the steps in order of time."""

    endpoints: list[PlannedEndpoint] = field(default_factory=list)
    proxies: list[PlannedProxy] = field(default_factory=list)
    steps: list[Step] = field(default_factory=list)


def plan_scenario(scenario: ScenarioSettings) -> ScenarioPlan:
    """Returns the plan, the same for every arm of a scenario, so that all meet the same requests and faults."""
    chance = random.Random(scenario.seed)
    plan = ScenarioPlan()
    plan.endpoints = plan_endpoints(scenario, chance)
    plan.proxies = plan_proxies(scenario, plan.endpoints, chance)
    for fault in scenario.faults:
        plan.steps += steps_of_fault(fault, scenario, plan, chance)
    plan.steps.sort(key=lambda step: step.at_s)
    return plan


def plan_endpoints(scenario: ScenarioSettings, chance: random.Random) -> list[PlannedEndpoint]:
    """Draws the endpoints zone by zone, each zone's reserves last."""
    endpoints = []
    for zone in scenario.fleet.zones:
        for kind in scenario.endpoints:
            for _ in range(kind.each_zone):
                number = chance.randrange(1, 2**32)
                endpoints.append(PlannedEndpoint(kind, zone, number, "in_service", is_up=True))
        for _ in range(scenario.reserves):
            number = chance.randrange(1, 2**32)
            endpoints.append(PlannedEndpoint(scenario.endpoints[0], zone, number, "terminated", is_up=False))
    return endpoints


def plan_proxies(
    scenario: ScenarioSettings, endpoints: list[PlannedEndpoint], chance: random.Random
) -> list[PlannedProxy]:
    """Draws the proxies' traffic, their initial endpoints in the own zone, and the controller that each tries first."""
    zones = scenario.fleet.zones
    sizes = [chance.expovariate(1.0) ** scenario.callers_skew + 0.05 for _ in range(scenario.proxies)]
    first_with_files = scenario.proxies - round(scenario.file_proxies * scenario.proxies)
    sotw_count = round(scenario.sotw_proxies * scenario.proxies)
    proxies = []
    for at in range(scenario.proxies):
        zone = zones[at % len(zones)]
        near = [endpoint.number for endpoint in endpoints if endpoint.is_up and endpoint.zone == zone]
        initial = chance.sample(near, min(len(near), scenario.fleet.proxies.initial_table_size))
        first = chance.randrange(scenario.controllers)
        proxies.append(PlannedProxy(
            name=f"proxy/{at}", zone=zone, requests_per_s=scenario.requests_per_s * sizes[at] / sum(sizes),
            initial_endpoints=initial,
            controllers=[(first + offset) % scenario.controllers for offset in range(scenario.controllers)],
            uses_files=at >= first_with_files, uses_sotw=at < sotw_count,
        ))  # fmt: skip
    return proxies


def steps_of_fault(
    fault: FaultSettings, scenario: ScenarioSettings, plan: ScenarioPlan, chance: random.Random
) -> list[Step]:
    """Draws whom a fault meets and returns its steps."""
    if fault.what == "tighten":
        return [Step(fault.at_s, TightenCommand(fault.class_name, fault.for_s * 1000.0))]
    if fault.what in ("pilot_kill", "pilot_stall"):
        return steps_at_controllers(fault, scenario.controllers, chance)
    if fault.what in PROXY_ACTIONS:
        return steps_at_proxies(fault, plan.proxies, chance)
    return steps_at_endpoints(fault, plan.endpoints, chance)


def steps_at_controllers(fault: FaultSettings, controllers: int, chance: random.Random) -> list[Step]:
    """Kills or pauses controllers, each until the fault is over."""
    if fault.what == "pilot_kill":
        begin, end = ControllerAction.KILL, ControllerAction.RESTART
    else:
        begin, end = ControllerAction.PAUSE, ControllerAction.RESUME
    steps = []
    for controller in chance.sample(range(controllers), min(fault.count, controllers)):
        steps.append(Step(fault.at_s, ControllerCommand(controller, begin)))
        steps.append(Step(fault.at_s + fault.for_s, ControllerCommand(controller, end)))
    return steps


def steps_at_proxies(fault: FaultSettings, proxies: list[PlannedProxy], chance: random.Random) -> list[Step]:
    """One command to each proxy met, which ends the fault itself."""
    candidates = [proxy.name for proxy in proxies if can_be_met(proxy, fault)]
    action, for_ms = PROXY_ACTIONS[fault.what], fault.for_s * 1000.0
    return [
        Step(fault.at_s, ProxyCommand(name, action, for_ms, fault.factor))
        for name in chance.sample(candidates, min(fault.count, len(candidates)))
    ]


def can_be_met(proxy: PlannedProxy, fault: FaultSettings) -> bool:
    """Whether a fault makes sense at a proxy."""
    if fault.zone not in ("", proxy.zone):
        return False
    if fault.what == "proxy_loses":
        # A state-of-the-world client has one response of a type at a time: after a lost one none comes.
        return not (proxy.uses_sotw or proxy.uses_files)
    if fault.what == "proxy_moves":
        # A state-of-the-world client knows no versions of single resources to take along.
        return not proxy.uses_sotw
    return True


def steps_at_endpoints(fault: FaultSettings, endpoints: list[PlannedEndpoint], chance: random.Random) -> list[Step]:
    """Steps at the endpoints met: those that run or, for `join`, reserves, which count as running from then on."""
    is_join = fault.what == "join"
    candidates = [
        endpoint for endpoint in endpoints if fault.zone in ("", endpoint.zone) and endpoint.is_up == (not is_join)
    ]
    count = len(candidates) if fault.what == "zone_loss" else min(fault.count, len(candidates))
    steps = []
    for endpoint in chance.sample(candidates, count):
        steps += steps_at_endpoint(fault, endpoint.number)
        if is_join:
            endpoint.is_up = True
    return steps


def steps_at_endpoint(fault: FaultSettings, number: int) -> list[Step]:
    """The steps of a fault at one endpoint, from its begin to its end."""
    begin_s, end_s = fault.at_s, fault.at_s + fault.for_s
    start = EndpointCommand(number, "start", {})
    die = EndpointCommand(number, "die", {})
    match fault.what:
        case "die" | "zone_loss":
            return [
                Step(begin_s, die),
                Step(begin_s, DiscoveryCommand(number, "terminated")),
                Step(end_s, start),
                Step(end_s, DiscoveryCommand(number, "in_service", is_start=True)),
            ]
        case "drain":
            return [
                Step(begin_s, DiscoveryCommand(number, "terminating")),
                Step(begin_s, EndpointCommand(number, "drain", {})),
                Step(end_s, die),
                Step(end_s, DiscoveryCommand(number, "terminated")),
            ]
        case "join":
            return [Step(begin_s, start), Step(begin_s, DiscoveryCommand(number, "in_service", is_start=True))]
        case "slow":
            return [
                Step(begin_s, EndpointCommand(number, "slow", {"factor": fault.factor})),
                Step(end_s, EndpointCommand(number, "slow", {"factor": 1.0})),
            ]
        case "fail" | "lose_answers":
            share = 1.0 - 1.0 / max(1.0, fault.factor)
            return [
                Step(begin_s, EndpointCommand(number, fault.what, {"factor": share})),
                Step(end_s, EndpointCommand(number, fault.what, {"factor": 0.0})),
            ]
        case _:
            return [Step(begin_s, EndpointCommand(number, fault.what, {"for_ms": fault.for_s * 1000.0}))]
