"""How many proxies a pilot carries, how soon a drain reaches the last, what a changed slot costs; on loopback.

Each size is one played day with real sockets; figures come from the sockets' record and from the processes' CPU time.
"""

from collections import defaultdict
from pathlib import Path
from typing import Any

from quillstep.bench.results import machine_name
from quillstep.config.scenario import ScenarioSettings
from quillstep.invariants import Evidence, check_invariants, longest_drain_ms, longest_queue
from quillstep.testbed.scenarios.runner import play_arm
from quillstep.testbed.scenarios.service_quality import service_quality

ENDPOINTS_A_ZONE = 23
ZONES = ["norte", "sur", "oriente", "poniente"]
TIMES = {"agreed_ms": 1200.0, "cut_off_ms": 3000.0, "late_credit": 0.2}


def day_of(proxies: int, exchanges_per_s: float, seconds: float, pilots: int) -> ScenarioSettings:
    """A plain day at one size: three drains and a return, the rest is traffic."""
    drains = [{"at_s": at, "for_s": 4.0, "what": "drain", "count": 1} for at in (seconds * k / 5 for k in (1, 2, 3))]
    return ScenarioSettings.model_validate({
        "name": f"{proxies} proxies", "seed": 5, "seconds": seconds, "proxies": proxies, "pilots": pilots,
        "warm_up_s": 4.0 + 24000.0 / 3900.0 * proxies / 262.0 / pilots * 2.5,
        "proxy_processes": max(1, min(4, proxies // 16)), "exchanges_per_s": exchanges_per_s,
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
        "endpoints": [{"each_zone": ENDPOINTS_A_ZONE, "connections_most": 250}],
        "baselines": [], "troubles": drains,
    })  # fmt: skip


def drain_times(evidence: Evidence) -> list[float]:
    """For each drain: milliseconds from the roster's word to a pilot to the last acknowledgement of its proxies."""
    acks = {(row["proxy"], row["nonce"]): row["at"] for row in evidence.channel_rows if row["what"] == "ack"}
    held: dict[str, list[tuple[str, str, float]]] = defaultdict(list)  # resource: proxy, nonce
    for row in evidence.applied_updates:
        for name, _ in row["changed"]:
            if "/withdrawn/" in name:
                held[name.rpartition("/")[2]].append((row["proxy"], row["nonce"], row["at"]))
    found = []
    for told in evidence.discovery_updates:
        if told["state"] != "terminating":
            continue
        times = [
            acks[proxy, nonce] - told["at"]
            for proxy, nonce, at in held[str(told["endpoint"])]
            if at >= told["at"] and nonce.startswith(f"{told['pilot']}-") and (proxy, nonce) in acks
        ]
        if times:
            found.append(max(times))
    return found


def line_costs(evidence: Evidence) -> dict[str, float]:
    """Bytes and lines of one changed slot, and of a whole table, as they went over the sockets."""
    lines = [row for row in evidence.applied_updates if row["type"] == "LbEndpoint"]
    single = [row["bytes"] for row in lines if len(row["changed"]) == 1 and not row["removed"]]
    whole = [(row["bytes"], len(row["changed"])) for row in lines if len(row["changed"]) >= ENDPOINTS_A_ZONE]
    if not single or not whole:
        return {}
    size = sum(each for each, _ in whole) / len(whole)
    return {
        "slot_bytes": round(sum(single) / len(single), 1), "slot_lines": 1, "table_bytes": round(size, 1),
        "table_lines": round(sum(count for _, count in whole) / len(whole), 1),
        "bytes_ratio": round(size / (sum(single) / len(single)), 1),
    }  # fmt: skip


def measure(proxies: int, exchanges_per_s: float, seconds: float, pilots: int, folder: Path) -> dict[str, Any]:
    """One size, played once."""
    day = day_of(proxies, exchanges_per_s, seconds, pilots)
    arm = play_arm(day, folder / f"{proxies}")
    evidence = arm.evidence()
    drains = drain_times(evidence)
    violations = check_invariants(evidence)
    served = service_quality(day.fleet, evidence.requests)
    sent = [row for row in evidence.channel_rows if row["what"] == "send"]
    return {
        "proxies": proxies, "pilots": pilots, "endpoints": ENDPOINTS_A_ZONE * len(ZONES),
        "exchanges_per_s": round(len(evidence.requests) / seconds, 1), "service": served["service"],
        "rules_broken": len(violations), "breaks": [violation.to_row() for violation in violations[:5]],
        "drains": len(drains), "drain_to_last_ack_ms": round(max(drains, default=0.0), 1),
        "last_try_after_drain_ms": round(longest_drain_ms(evidence), 1),
        "pilot_cpu_ms_a_proxy_a_s": round(arm.controller_cpu_s * 1000.0 / arm.duration_s / proxies, 3),
        "pilot_cpu_of_a_core": round(arm.controller_cpu_s / arm.duration_s / pilots, 3),
        "stolen": round(arm.stolen_share, 3),
        "longest_channel": round(longest_queue(evidence), 1), "responses": len(sent),
        **line_costs(evidence),
    }  # fmt: skip


def run(sizes: list[int], exchanges_per_s: float, seconds: float, pilots: int, folder: Path) -> dict[str, Any]:
    """All sizes, one after another; traffic in proportion to the largest."""
    most = max(sizes)
    rows = [measure(size, exchanges_per_s * size / most, seconds, pilots, folder) for size in sizes]
    return {
        "bench": "streams",
        "machine": machine_name(),
        "rows": rows,
    }
