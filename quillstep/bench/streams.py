"""Streams at scale: CPU time per proxy, the time until a drain reaches all proxies, update sizes; on loopback.

Each size is one played scenario; figures come from the socket record and from the processes' CPU time.
"""

from collections import defaultdict
from pathlib import Path
from typing import Any

from quillstep.bench.results import MAX_REPORTED_VIOLATIONS, acknowledgement_times, ejected_endpoints, machine_name
from quillstep.config.scenario import ScenarioSettings
from quillstep.invariants import Evidence, check_invariants, longest_drain_ms, longest_queue
from quillstep.invariants.evidence import Row
from quillstep.testbed.scenarios.runner import play_arm
from quillstep.testbed.scenarios.service_quality import service_quality

ENDPOINTS_PER_ZONE = 23
ZONES = ["norte", "sur", "oriente", "poniente"]
TIMES = {"agreed_ms": 1200.0, "cut_off_ms": 3000.0, "late_credit": 0.2}


def drain_scenario(proxies: int, requests_per_s: float, seconds: float, controllers: int) -> ScenarioSettings:
    """Returns a scenario of one size with traffic and three drains, after each of which the endpoint returns."""
    drains = [{"at_s": at, "for_s": 4.0, "what": "drain", "count": 1} for at in (seconds * k / 5 for k in (1, 2, 3))]
    return ScenarioSettings.model_validate({
        "name": f"{proxies} proxies", "seed": 5, "seconds": seconds, "proxies": proxies, "pilots": controllers,
        "warm_up_s": 4.0 + 24000.0 / 3900.0 * proxies / 262.0 / controllers * 2.5,
        "proxy_processes": max(1, min(4, proxies // 16)), "exchanges_per_s": requests_per_s,
        "fleet": {
            "zones": ZONES,
            "classes": [
                {"name": "lookup", "credit": 1.0, "semantics": "safe", "work_ms": 90.0, "share": 0.61, **TIMES},
                {"name": "save", "credit": 3.0, "semantics": "keyed", "scope": "zone", "window_ms": 2000.0,
                 "work_ms": 90.0, "share": 0.26, **TIMES},
                {"name": "issue", "credit": 2.0, "semantics": "unsafe", "work_ms": 60.0, "share": 0.13, **TIMES},
            ],
            "rules": {"drain_grace_ms": 3000.0, "warm_after_ms": 18000.0, "start_capacity": 0.15},
            "channel": {"lines_per_s": 3900.0, "lines_waiting_most": 7000.0, "late_most_ms": 600.0},
        },
        "endpoints": [{"each_zone": ENDPOINTS_PER_ZONE, "connections_most": 250}],
        "baselines": [], "troubles": drains,
    })  # fmt: skip


def drain_times(evidence: Evidence) -> list[float]:
    """Returns the milliseconds from a drain's notification to the last ack, for each drain and controller."""
    ack_times = acknowledgement_times(evidence)
    ejections: dict[str, list[Row]] = defaultdict(list)  # Applied updates, by the endpoint that they eject.
    for row in evidence.applied_updates:
        for endpoint in ejected_endpoints(row):
            ejections[endpoint].append(row)
    drains_ms = []
    for update in evidence.discovery_updates:
        if update["state"] != "terminating":
            continue
        incarnations = f"{update['pilot']}-"
        times_ms = []
        for row in ejections[str(update["endpoint"])]:
            acknowledged_ms = ack_times.get((row["proxy"], row["nonce"]))
            is_later = row["at"] >= update["at"] and row["nonce"].startswith(incarnations)
            if is_later and acknowledged_ms is not None:
                times_ms.append(acknowledged_ms - update["at"])
        if times_ms:
            drains_ms.append(max(times_ms))
    return drains_ms


def update_sizes(evidence: Evidence) -> dict[str, float]:
    """Returns the bytes and lines on the wire of one changed slot, and of a full table."""
    updates = [row for row in evidence.applied_updates if row["type"] == "LbEndpoint"]
    slots = [row["bytes"] for row in updates if len(row["changed"]) == 1 and not row["removed"]]
    tables = [row for row in updates if len(row["changed"]) >= ENDPOINTS_PER_ZONE]
    if not slots or not tables:
        return {}
    slot_bytes = sum(slots) / len(slots)
    table_bytes = sum(row["bytes"] for row in tables) / len(tables)
    return {
        "slot_bytes": round(slot_bytes, 1),
        "slot_lines": 1,
        "table_bytes": round(table_bytes, 1),
        "table_lines": round(sum(len(row["changed"]) for row in tables) / len(tables), 1),
        "bytes_ratio": round(table_bytes / slot_bytes, 1),
    }


def measure(proxies: int, requests_per_s: float, seconds: float, controllers: int, folder: Path) -> dict[str, Any]:
    """Plays the scenario at one size."""
    scenario = drain_scenario(proxies, requests_per_s, seconds, controllers)
    arm = play_arm(scenario, folder / f"{proxies}")
    evidence = arm.evidence()
    drains_ms = drain_times(evidence)
    violations = check_invariants(evidence)
    return {
        "proxies": proxies,
        "pilots": controllers,
        "endpoints": ENDPOINTS_PER_ZONE * len(ZONES),
        "exchanges_per_s": round(len(evidence.requests) / seconds, 1),
        "service": service_quality(scenario.fleet, evidence.requests)["service"],
        "rules_broken": len(violations),
        "breaks": [violation.to_row() for violation in violations[:MAX_REPORTED_VIOLATIONS]],
        "drains": len(drains_ms),
        "drain_to_last_ack_ms": round(max(drains_ms, default=0.0), 1),
        "last_try_after_drain_ms": round(longest_drain_ms(evidence), 1),
        "pilot_cpu_ms_a_proxy_a_s": round(arm.controller_cpu_s * 1000.0 / arm.duration_s / proxies, 3),
        "pilot_cpu_of_a_core": round(arm.controller_cpu_s / arm.duration_s / controllers, 3),
        "stolen": round(arm.stolen_share, 3),
        "longest_channel": round(longest_queue(evidence), 1),
        "responses": sum(row["what"] == "send" for row in evidence.channel_rows),
        **update_sizes(evidence),
    }


def run(sizes: list[int], requests_per_s: float, seconds: float, controllers: int, folder: Path) -> dict[str, Any]:
    """Plays all sizes, one after another; traffic is proportional to size, `requests_per_s` at the largest."""
    largest = max(sizes)
    rows = [measure(size, requests_per_s * size / largest, seconds, controllers, folder) for size in sizes]
    return {"bench": "streams", "machine": machine_name(), "rows": rows}
