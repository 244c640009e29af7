"""Compares both fronts, and each with a baseline that sends full tables, on loopback.

Arms: `streams` (delta), `files` (unchanged shards are linked), `streams whole` (state of the world: a changed weight
sends its table), `files whole` (one file per table).  Each arm plays a scenario of one size with the same requests.
"""

import statistics
from collections import defaultdict
from pathlib import Path
from typing import Any, NamedTuple

from quillstep.bench.results import acknowledgement_times, machine_name
from quillstep.bench.streams import drain_scenario
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
    """A proxy's acknowledgement of a revision; milliseconds."""

    revision_time_ms: float  # When the planner made the revision.
    acknowledged_ms: float


class RevisionKey(NamedTuple):
    """A revision of one incarnation of a controller."""

    incarnation: str
    revision: int


def acknowledged_updates(evidence: Evidence) -> dict[RevisionKey, list[AcknowledgedUpdate]]:
    """Returns the acknowledged updates of each revision."""
    acknowledged_ms = acknowledgement_times(evidence)
    updates: dict[RevisionKey, list[AcknowledgedUpdate]] = defaultdict(list)
    for row in evidence.channel_rows:
        if row["what"] == "send" and (row["proxy"], row["nonce"]) in acknowledged_ms:
            key = RevisionKey(row["nonce"].rpartition(".")[0], row["order"])
            update = AcknowledgedUpdate(row["ordered"], acknowledged_ms[row["proxy"], row["nonce"]])
            updates[key].append(update)
    return updates


def drain_times(evidence: Evidence) -> list[float]:
    """Returns the milliseconds from each drain's notification to the last acknowledgement of the next revision."""
    updates_by_revision = acknowledged_updates(evidence)
    drains_ms = []
    for notified in evidence.discovery_updates:
        if notified["state"] != "terminating":
            continue
        controller = notified["pilot"]
        later = [
            updates
            for key, updates in updates_by_revision.items()
            if key.incarnation.rpartition("-")[0] == controller and updates[0].revision_time_ms >= notified["at"]
        ]
        if later:
            first = min(later, key=lambda updates: updates[0].revision_time_ms)
            drains_ms.append(max(update.acknowledged_ms for update in first) - notified["at"])
    return drains_ms


def median_update_time(evidence: Evidence, proxies: int) -> float:
    """Returns the median time of revisions for most proxies to their last ack, milliseconds; 0 without any."""
    times_ms = [
        max(update.acknowledged_ms for update in updates) - updates[0].revision_time_ms
        for updates in acknowledged_updates(evidence).values()
        if len(updates) * 2 > proxies
    ]
    return round(statistics.median(times_ms), 1) if times_ms else 0.0


def measure(name: str, proxies: int, requests_per_s: float, seconds: float, folder: Path) -> dict[str, Any]:
    """Plays one arm at one size."""
    base = drain_scenario(proxies, requests_per_s, seconds, 1).model_dump()
    scenario = ScenarioSettings.model_validate({**base, **ARMS[name], "name": f"{name} {proxies}"})
    arm = play_arm(scenario, folder / f"{name.replace(' ', '-')}-{proxies}")
    evidence = arm.evidence()
    # Without the updates sent when proxies joined.
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
    """Plays all arms at all sizes; traffic is proportional to size, `requests_per_s` at the largest."""
    largest = max(sizes)
    rows = [measure(name, size, requests_per_s * size / largest, seconds, folder) for size in sizes for name in ARMS]
    return {
        "bench": "fronts",
        "machine": machine_name(),
        "rows": rows,
    }
