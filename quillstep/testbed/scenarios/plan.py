"""The plan of a scenario: its endpoints and proxies, and the commands that inject its faults.

The plan follows from the scenario's seed; nothing here does I/O.  The order of random draws is part of a scenario and
must not change, as a changed order gives every stored scenario another plan.
"""

import random
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, NamedTuple

import msgspec

from quillstep.config.scenario import EndpointKindSettings, FaultSettings, ScenarioSettings

# Commands to proxies by the name of the fault in scenario files.
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
    """An action on a controller's process."""

    KILL = "kill"
    RESTART = "restart"
    PAUSE = "pause"
    RESUME = "resume"


class EndpointCommand(NamedTuple):
    """A command to the process of an endpoint; the parameters are sent under their names."""

    endpoint: int
    action: str
    parameters: dict[str, float]


class DiscoveryCommand(NamedTuple):
    """A change of the endpoint list; `is_start` says whether the endpoint starts at that time."""

    endpoint: int
    state: str
    is_start: bool = False


class ProxyCommand(NamedTuple):
    """A command to the process of a proxy."""

    proxy: str
    action: str
    for_ms: float
    factor: float


class ControllerCommand(NamedTuple):
    """An action on one controller's process."""

    controller: int
    action: ControllerAction


class TightenCommand(NamedTuple):
    """Makes a class unsafe in the settings of all controllers; abandoned if it takes longer than `for_ms`."""

    class_name: str
    for_ms: float


Command = EndpointCommand | DiscoveryCommand | ProxyCommand | ControllerCommand | TightenCommand


class Step(NamedTuple):
    """A command and its time from the start of the scenario."""

    at_s: float
    command: Command


@dataclass(slots=True)
class PlannedEndpoint:
    """One endpoint; `is_up` is false for a reserve until a fault starts it."""

    kind: EndpointKindSettings
    zone: str
    number: int
    state: str
    is_up: bool

    def to_row(self) -> dict[str, Any]:
        """Returns the endpoint's setup as the testbed's processes read it."""
        row = self.kind.model_dump(exclude={"each_zone"})
        return {**row, "zone": self.zone, "state": self.state, "id": self.number, "up": self.is_up}


class PlannedProxy(msgspec.Struct, rename={
    "requests_per_s": "usual", "initial_endpoints": "standing", "controllers": "pilots", "uses_files": "files",
    "uses_sotw": "sotw",
}):  # fmt: skip
    """One proxy, which tries its controllers in this order; encoded as the testbed's processes read it."""

    name: str
    zone: str
    requests_per_s: float
    initial_endpoints: list[int]
    controllers: list[int]
    uses_files: bool
    uses_sotw: bool


@dataclass(slots=True)
class ScenarioPlan:
    """The endpoints, the proxies, and the steps ordered by time."""

    endpoints: list[PlannedEndpoint] = field(default_factory=list)
    proxies: list[PlannedProxy] = field(default_factory=list)
    steps: list[Step] = field(default_factory=list)


def plan_scenario(scenario: ScenarioSettings) -> ScenarioPlan:
    """Returns the plan of a scenario.  All arms share it, so they get the same requests and faults."""
    rng = random.Random(scenario.seed)
    plan = ScenarioPlan()
    plan.endpoints = plan_endpoints(scenario, rng)
    plan.proxies = plan_proxies(scenario, plan.endpoints, rng)
    for fault in scenario.faults:
        plan.steps += steps_of_fault(fault, scenario, plan, rng)
    plan.steps.sort(key=lambda step: step.at_s)
    return plan


def plan_endpoints(scenario: ScenarioSettings, rng: random.Random) -> list[PlannedEndpoint]:
    """Returns the endpoints zone by zone, each zone's reserves last, with random numbers."""
    endpoints = []
    for zone in scenario.fleet.zones:
        for kind in scenario.endpoints:
            for _ in range(kind.each_zone):
                number = rng.randrange(1, 2**32)
                endpoints.append(PlannedEndpoint(kind, zone, number, "in_service", is_up=True))
        for _ in range(scenario.reserves):
            number = rng.randrange(1, 2**32)
            endpoints.append(PlannedEndpoint(scenario.endpoints[0], zone, number, "terminated", is_up=False))
    return endpoints


def plan_proxies(
    scenario: ScenarioSettings, endpoints: list[PlannedEndpoint], rng: random.Random
) -> list[PlannedProxy]:
    """Draws each proxy's traffic, its initial endpoints from its own zone, and its first controller at random."""
    zones = scenario.fleet.zones
    sizes = [rng.expovariate(1.0) ** scenario.callers_skew + 0.05 for _ in range(scenario.proxies)]
    first_with_files = scenario.proxies - round(scenario.file_proxies * scenario.proxies)
    sotw_count = round(scenario.sotw_proxies * scenario.proxies)
    proxies = []
    for index in range(scenario.proxies):
        zone = zones[index % len(zones)]
        near = [endpoint.number for endpoint in endpoints if endpoint.is_up and endpoint.zone == zone]
        initial = rng.sample(near, min(len(near), scenario.fleet.proxies.initial_table_size))
        first = rng.randrange(scenario.controllers)
        proxies.append(PlannedProxy(
            name=f"proxy/{index}", zone=zone, requests_per_s=scenario.requests_per_s * sizes[index] / sum(sizes),
            initial_endpoints=initial,
            controllers=[(first + offset) % scenario.controllers for offset in range(scenario.controllers)],
            uses_files=index >= first_with_files, uses_sotw=index < sotw_count,
        ))  # fmt: skip
    return proxies


def steps_of_fault(
    fault: FaultSettings, scenario: ScenarioSettings, plan: ScenarioPlan, rng: random.Random
) -> list[Step]:
    """Draws the targets of a fault at random and returns its steps."""
    if fault.what == "tighten":
        return [Step(fault.at_s, TightenCommand(fault.class_name, fault.for_s * 1000.0))]
    if fault.what in ("pilot_kill", "pilot_stall"):
        return steps_at_controllers(fault, scenario.controllers, rng)
    if fault.what in PROXY_ACTIONS:
        return steps_at_proxies(fault, plan.proxies, rng)
    return steps_at_endpoints(fault, plan.endpoints, rng)


def steps_at_controllers(fault: FaultSettings, controllers: int, rng: random.Random) -> list[Step]:
    """Returns the steps that kill or pause controllers, and restart or resume them when the fault ends."""
    if fault.what == "pilot_kill":
        begin, end = ControllerAction.KILL, ControllerAction.RESTART
    else:
        begin, end = ControllerAction.PAUSE, ControllerAction.RESUME
    steps = []
    for controller in rng.sample(range(controllers), min(fault.count, controllers)):
        steps.append(Step(fault.at_s, ControllerCommand(controller, begin)))
        steps.append(Step(fault.at_s + fault.for_s, ControllerCommand(controller, end)))
    return steps


def steps_at_proxies(fault: FaultSettings, proxies: list[PlannedProxy], rng: random.Random) -> list[Step]:
    """Returns one command for each proxy drawn; the proxy ends the fault by itself."""
    candidates = [proxy.name for proxy in proxies if is_applicable(proxy, fault)]
    action, for_ms = PROXY_ACTIONS[fault.what], fault.for_s * 1000.0
    return [
        Step(fault.at_s, ProxyCommand(name, action, for_ms, fault.factor))
        for name in rng.sample(candidates, min(fault.count, len(candidates)))
    ]


def is_applicable(proxy: PlannedProxy, fault: FaultSettings) -> bool:
    """Returns whether a fault can be injected at a proxy."""
    if fault.zone not in ("", proxy.zone):
        return False
    if fault.what == "proxy_loses":
        # A state-of-the-world stream has one unacknowledged response per type: a lost one would block it forever.
        return not (proxy.uses_sotw or proxy.uses_files)
    if fault.what == "proxy_moves":
        # A state-of-the-world client has no versions of single resources to present to the other front.
        return not proxy.uses_sotw
    return True


def steps_at_endpoints(fault: FaultSettings, endpoints: list[PlannedEndpoint], rng: random.Random) -> list[Step]:
    """Returns the steps at endpoints drawn from those that run or, for `join`, from the reserves, which then run."""
    is_join = fault.what == "join"
    candidates = [
        endpoint for endpoint in endpoints if fault.zone in ("", endpoint.zone) and endpoint.is_up == (not is_join)
    ]
    count = len(candidates) if fault.what == "zone_loss" else min(fault.count, len(candidates))
    steps = []
    for endpoint in rng.sample(candidates, count):
        steps += steps_at_endpoint(fault, endpoint.number)
        if is_join:
            endpoint.is_up = True
    return steps


def steps_at_endpoint(fault: FaultSettings, number: int) -> list[Step]:
    """Returns the steps of a fault at one endpoint, from its start to its end."""
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
