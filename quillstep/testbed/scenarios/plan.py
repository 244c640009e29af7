"""What a day's script means for one fleet: who is there, what comes when.  From the seed alone, without I/O."""

import random
from dataclasses import dataclass, field
from typing import Any

from quillstep.config.scenario import FaultSettings, ScenarioSettings

PROXY_STEPS = {
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


@dataclass(slots=True)
class Plan:
    """Endpoints and proxies as their stand-ins are set up, and steps (second, part, command) in time."""

    endpoints: list[dict[str, Any]] = field(default_factory=list)
    proxies: list[dict[str, Any]] = field(default_factory=list)
    steps: list[tuple[float, str, dict[str, Any]]] = field(default_factory=list)


def plan(day: ScenarioSettings) -> Plan:
    """The same for every arm of a day, so that they meet the same exchanges and troubles."""
    chance = random.Random(day.seed)
    made = Plan()
    for zone in day.fleet.zones:
        for kind in day.endpoints:
            row = {**kind.model_dump(exclude={"each_zone"}), "zone": zone, "state": "in_service"}
            made.endpoints += [{**row, "id": chance.randrange(1, 2**32), "up": True} for _ in range(kind.each_zone)]
        first = {**day.endpoints[0].model_dump(exclude={"each_zone"}), "zone": zone}
        made.endpoints += [
            {**first, "id": chance.randrange(1, 2**32), "up": False, "state": "terminated"} for _ in range(day.reserves)
        ]
    sizes = [chance.expovariate(1.0) ** day.callers_skew + 0.05 for _ in range(day.proxies)]
    for at in range(day.proxies):
        zone = day.fleet.zones[at % len(day.fleet.zones)]
        near = [row["id"] for row in made.endpoints if row["up"] and row["zone"] == zone]
        standing = chance.sample(near, min(len(near), day.fleet.proxies.initial_table_size))
        first_pilot = chance.randrange(day.controllers)
        made.proxies.append({
            "name": f"proxy/{at}", "zone": zone, "usual": day.requests_per_s * sizes[at] / sum(sizes),
            "standing": standing, "pilots": [(first_pilot + k) % day.controllers for k in range(day.controllers)],
            "files": at >= day.proxies - round(day.file_proxies * day.proxies),
            "sotw": at < round(day.sotw_proxies * day.proxies),
        })  # fmt: skip
    for trouble in day.faults:
        strike(made, trouble, day, chance)
    made.steps.sort(key=lambda step: step[0])
    return made


def strike(made: Plan, trouble: FaultSettings, day: ScenarioSettings, chance: random.Random) -> None:
    """The steps of one trouble."""
    at, until, for_ms = trouble.at_s, trouble.at_s + trouble.for_s, trouble.for_s * 1000.0
    what = trouble.what
    if what == "tighten":
        made.steps.append((at, "settings", {"do": what, "kind": trouble.class_name, "for_ms": for_ms}))
        return
    if what.startswith("pilot"):
        for pilot in chance.sample(range(day.controllers), min(trouble.count, day.controllers)):
            made.steps.append((at, "pilot", {"do": what, "pilot": pilot}))
            made.steps.append((until, "pilot", {"do": f"{what}_over", "pilot": pilot}))
        return
    if what.startswith(("proxy", "reports")):
        fit = [row["name"] for row in made.proxies if trouble.zone in ("", row["zone"])]
        if what == "proxy_loses":  # a client of whole states has one response of a type at a time: none comes after it
            fit = [row["name"] for row in made.proxies if row["name"] in fit and not (row["sotw"] or row["files"])]
        if what == "proxy_moves":  # whole states tell no versions of lines to take along
            fit = [row["name"] for row in made.proxies if row["name"] in fit and not row["sotw"]]
        for name in chance.sample(fit, min(trouble.count, len(fit))):
            do = PROXY_STEPS[what]
            made.steps.append((at, "proxy", {"do": do, "proxy": name, "for_ms": for_ms, "factor": trouble.factor}))
        return
    fit = [row for row in made.endpoints if trouble.zone in ("", row["zone"]) and row["up"] == (what != "join")]
    count = len(fit) if what == "zone_loss" else min(trouble.count, len(fit))
    for row in chance.sample(fit, count):
        number = row["id"]
        if what in ("die", "zone_loss"):
            made.steps += [(at, "endpoint", {"do": "die", "endpoint": number}),
                           (at, "roster", {"id": number, "state": "terminated"}),
                           (until, "endpoint", {"do": "start", "endpoint": number}),
                           (until, "roster", {"id": number, "state": "in_service", "began": True})]  # fmt: skip
        elif what == "drain":
            made.steps += [(at, "roster", {"id": number, "state": "terminating"}),
                           (at, "endpoint", {"do": "drain", "endpoint": number}),
                           (until, "endpoint", {"do": "die", "endpoint": number}),
                           (until, "roster", {"id": number, "state": "terminated"})]  # fmt: skip
        elif what == "join":
            made.steps += [(at, "endpoint", {"do": "start", "endpoint": number}),
                           (at, "roster", {"id": number, "state": "in_service", "began": True})]  # fmt: skip
            row["up"] = True
        elif what in ("slow", "fail", "lose_answers"):
            factor = trouble.factor if what == "slow" else 1.0 - 1.0 / max(1.0, trouble.factor)
            over = 1.0 if what == "slow" else 0.0
            made.steps += [(at, "endpoint", {"do": what, "endpoint": number, "factor": factor}),
                           (until, "endpoint", {"do": what, "endpoint": number, "factor": over})]  # fmt: skip
        else:
            made.steps.append((at, "endpoint", {"do": what, "endpoint": number, "for_ms": for_ms}))
