"""Both fronts side by side, and whole tables sent again as the baseline of each, on loopback.

Arms: `streams` (deltas), `files` (shards linked), `streams whole` (state of the world: a changed line sends its
table), `files whole` (a table is one file).  Each is a played scenario at one size with the same requests.
"""

import statistics
from collections import defaultdict
from pathlib import Path
from typing import Any, NamedTuple

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


class AcknowledgedUpdate(NamedTuple):
    """One proxy's acknowledgement of a revision; milliseconds."""

    ordered_ms: float  # when the planner decided on the revision
    acknowledged_ms: float


class RevisionKey(NamedTuple):
    """A revision of one incarnation of a controller."""

    incarnation: str
    revision: int


def acknowledged_updates(evidence: Evidence) -> dict[RevisionKey, list[AcknowledgedUpdate]]:
    """The acknowledged updates of each revision."""
    acknowledged_ms = acknowledgement_times(evidence)
    updates: dict[RevisionKey, list[AcknowledgedUpdate]] = defaultdict(list)
    for row in evidence.channel_rows:
        if row["what"] == "send" and (row["proxy"], row["nonce"]) in acknowledged_ms:
            key = RevisionKey(row["nonce"].rpartition(".")[0], row["order"])
            update = AcknowledgedUpdate(row["ordered"], acknowledged_ms[row["proxy"], row["nonce"]])
            updates[key].append(update)
    return updates


def drain_times(evidence: Evidence) -> list[float]:
    """Milliseconds from each drain's notification to the last acknowledgement of the revision that followed it."""
    updates_by_revision = acknowledged_updates(evidence)
    drains_ms = []
    for notified in evidence.discovery_updates:
        if notified["state"] != "terminating":
            continue
        controller = notified["pilot"]
        later = [
            updates
            for key, updates in updates_by_revision.items()
            if key.incarnation.rpartition("-")[0] == controller and updates[0].ordered_ms >= notified["at"]
        ]
        if later:
            first = min(later, key=lambda updates: updates[0].ordered_ms)
            drains_ms.append(max(update.acknowledged_ms for update in first) - notified["at"])
    return drains_ms


def median_update_time(evidence: Evidence, proxies: int) -> float:
    """The median time from a revision that reaches most proxies to its last acknowledgement, milliseconds."""
    times_ms = [
        max(update.acknowledged_ms for update in updates) - updates[0].ordered_ms
        for updates in acknowledged_updates(evidence).values()
        if len(updates) * 2 > proxies
    ]
    return round(statistics.median(times_ms), 1) if times_ms else 0.0


def measure(name: str, proxies: int, requests_per_s: float, seconds: float, folder: Path) -> dict[str, Any]:
    """Plays one arm at one size."""
    base = scenario_of(proxies, requests_per_s, seconds, 1).model_dump()
    scenario = ScenarioSettings.model_validate({**base, **ARMS[name], "name": f"{name} {proxies}"})
    arm = play_arm(scenario, folder / f"{name.replace(' ', '-')}-{proxies}")
    evidence = arm.evidence()
    # Without what proxies were sent when they joined.
    sent = [row for row in evidence.channel_rows if row["what"] == "send" and row["at"] >= arm.begin_ms]
    lines = sum(row["lines"] for row in sent)
    size = sum(row["bytes"] for row in sent)
    drains_ms = drain_times(evidence)
    return {
        "arm": name, "proxies": proxies, "rules_broken": len(check_invariants(evidence)),
        "service": service_quality(scenario.fleet, evidence.requests)["service"],
        "writes": len(sent), "lines": lines, "bytes": size, "bytes_a_line": round(size / max(1, lines), 1),
        "drain_to_last_ack_ms": round(max(drains_ms, default=0.0), 1),
        "turn_to_last_ack_ms": median_update_time(evidence, proxies),
        "pilot_cpu_of_a_core": round(arm.controller_cpu_s / arm.duration_s, 3), "stolen": round(arm.stolen_share, 3),
        "longest_channel": round(longest_queue(evidence), 1),
    }  # fmt: skip


def run(sizes: list[int], requests_per_s: float, seconds: float, folder: Path) -> dict[str, Any]:
    """Plays all arms at all sizes; traffic is in proportion to the largest."""
    largest = max(sizes)
    rows = [measure(name, size, requests_per_s * size / largest, seconds, folder) for size in sizes for name in ARMS]
    return {
        "bench": "fronts",
        "machine": machine_name(),
        "rows": rows,
    }
