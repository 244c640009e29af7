"""Both fronts side by side, and whole tables sent again as the baseline of each, on loopback.

Arms: `streams` (deltas), `files` (shards linked), `streams whole` (state of the world: a changed line sends its
table), `files whole` (a table is one file).  Each is a played day at one size with the same script.
"""

import statistics
from collections import defaultdict
from pathlib import Path
from typing import Any

from quillstep.bench.results import acknowledgement_times, machine_name
from quillstep.bench.streams import scenario_of
from quillstep.config.scenario import ScenarioSettings
from quillstep.invariants import Evidence, check_invariants, longest_queue
from quillstep.testbed.scenarios.runner import play_arm
from quillstep.testbed.scenarios.service_quality import service_quality

ARMS: dict[str, dict[str, Any]] = {
    "streams": {},
    "files": {"file_proxies": 1.0},
    "streams whole": {"sotw_proxies": 1.0},
    "files whole": {"file_proxies": 1.0, "files": {"shards": 1}},
}


def answered(evidence: Evidence) -> dict[tuple[str, int], list[tuple[float, float]]]:
    """For each pilot's life and order: when it was ordered and when each proxy's acknowledgement came."""
    acks = acknowledgement_times(evidence)
    found: dict[tuple[str, int], list[tuple[float, float]]] = defaultdict(list)
    for row in evidence.channel_rows:
        if row["what"] == "send" and (row["proxy"], row["nonce"]) in acks:
            life = row["nonce"].rpartition(".")[0]
            found[life, row["order"]].append((row["ordered"], acks[row["proxy"], row["nonce"]]))
    return found


def drain_times(evidence: Evidence) -> list[float]:
    """Milliseconds from the roster's word of a drain to the last acknowledgement of the order that followed it."""
    orders = answered(evidence)
    found = []
    for told in evidence.discovery_updates:
        if told["state"] != "terminating":
            continue
        after = [
            rows
            for (life, _), rows in orders.items()
            if life.rpartition("-")[0] == told["pilot"] and rows[0][0] >= told["at"]
        ]
        if after:
            first = min(after, key=lambda rows: rows[0][0])
            found.append(max(at for _, at in first) - told["at"])
    return found


def turn_ms(evidence: Evidence, proxies: int) -> float:
    """The median time from an order that reaches most proxies to its last acknowledgement."""
    spans = [max(at for _, at in rows) - rows[0][0] for rows in answered(evidence).values() if len(rows) * 2 > proxies]
    return round(statistics.median(spans), 1) if spans else 0.0


def measure(name: str, proxies: int, exchanges_per_s: float, seconds: float, folder: Path) -> dict[str, Any]:
    """One arm at one size."""
    base = scenario_of(proxies, exchanges_per_s, seconds, 1).model_dump()
    day = ScenarioSettings.model_validate({**base, **ARMS[name], "name": f"{name} {proxies}"})
    arm = play_arm(day, folder / f"{name.replace(' ', '-')}-{proxies}")
    evidence = arm.evidence()
    # Joins apart from the rest.
    sent = [row for row in evidence.channel_rows if row["what"] == "send" and row["at"] >= arm.begin_ms]
    lines = sum(row["lines"] for row in sent)
    carried = sum(row["bytes"] for row in sent)
    drains = drain_times(evidence)
    return {
        "arm": name, "proxies": proxies, "rules_broken": len(check_invariants(evidence)),
        "service": service_quality(day.fleet, evidence.requests)["service"],
        "writes": len(sent), "lines": lines, "bytes": carried, "bytes_a_line": round(carried / max(1, lines), 1),
        "drain_to_last_ack_ms": round(max(drains, default=0.0), 1), "turn_to_last_ack_ms": turn_ms(evidence, proxies),
        "pilot_cpu_of_a_core": round(arm.controller_cpu_s / arm.duration_s, 3), "stolen": round(arm.stolen_share, 3),
        "longest_channel": round(longest_queue(evidence), 1),
    }  # fmt: skip


def run(sizes: list[int], exchanges_per_s: float, seconds: float, folder: Path) -> dict[str, Any]:
    """All arms at all sizes; traffic in proportion to the largest."""
    most = max(sizes)
    rows = [measure(name, size, exchanges_per_s * size / most, seconds, folder) for size in sizes for name in ARMS]
    return {
        "bench": "fronts",
        "machine": machine_name(),
        "rows": rows,
    }
