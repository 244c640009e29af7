"""Load reports at scale: drain times with and without many reports, and the cost of reading; on loopback.

Each size and reader is one played scenario.  Spans in which all proxies report on all endpoints once a period alternate
with spans without reports; drains happen in both.  Figures come from the socket record and the controller's log.
"""

import json
from pathlib import Path
from typing import Any, NamedTuple

from quillstep.bench.results import (
    MAX_REPORTED_VIOLATIONS,
    acknowledgement_times,
    ejected_endpoints,
    machine_name,
    quantile,
)
from quillstep.bench.streams import ENDPOINTS_PER_ZONE, ZONES, drain_scenario
from quillstep.config.scenario import ScenarioSettings
from quillstep.invariants import Evidence, check_invariants, longest_queue
from quillstep.testbed.scenarios.arm import Arm
from quillstep.testbed.scenarios.runner import play_arm
from quillstep.testbed.scenarios.service_quality import service_quality

SPAN_S = 8.0  # Length of a span with reports, and of one without.
LINES_PER_S_PER_PROXY = 15.0  # Rate of the update channel; about 3900 lines/s for 262 proxies.
MIN_LINES_PER_S = 3900.0
DRAINS_PER_SPAN = 3
DRAIN_S = 4.0


def scaled_scenario(
    proxies: int, reader: str, requests_per_s: float, spans: int, settings: dict[str, Any]
) -> ScenarioSettings:
    """Returns a scenario of alternating spans with and without reports, with drains in each.

    The rate of the update channel grows with the fleet.
    """
    seconds = SPAN_S * spans
    base = drain_scenario(proxies, requests_per_s, seconds, 1).model_dump()
    base["troubles"] = [
        {
            "at_s": SPAN_S * span + 1.0 + index * (SPAN_S - 3.5) / DRAINS_PER_SPAN,
            "for_s": DRAIN_S,
            "what": "drain",
            "count": 1,
        }
        for span in range(spans)
        for index in range(DRAINS_PER_SPAN)
    ]
    for span in range(spans):
        fault = "reports_cut" if span % 2 else "reports_heavy"
        base["troubles"].append({"at_s": SPAN_S * span, "for_s": SPAN_S, "what": fault, "count": proxies})
    lines_per_s = max(MIN_LINES_PER_S, LINES_PER_S_PER_PROXY * proxies)
    base["fleet"]["channel"].update(lines_per_s=lines_per_s, lines_waiting_most=lines_per_s * 1.8)
    base["limits"].update(connections_most=max(2048, 2 * proxies), news_most=max(4096, 4 * proxies))
    base["proxy_processes"] = max(1, min(4, proxies // 32))
    base["warm_up_s"] = 6.0 + proxies / 60.0
    base["reports"] = {"by": reader, **settings}
    if reader == "processes":
        base["reports"]["listen"] = ["127.0.0.1:0"] * max(1, round(proxies / 500.0))
    return ScenarioSettings.model_validate({**base, "name": f"{proxies} by {reader}"})


class DrainTimes(NamedTuple):
    """Milliseconds from the notification of a drain to acknowledgements.

    Attributes:
        each: To each proxy's acknowledgement.
        last: To the last acknowledgement of each drain.
    """

    each: list[float]
    last: list[float]


class DrainTimesBySpan(NamedTuple):
    """Drain times of the spans with load reports, and of those without."""

    with_reports: DrainTimes
    without_reports: DrainTimes


def drain_times(evidence: Evidence, begin_ms: float) -> DrainTimesBySpan:
    """Reads the times of all drains from the socket record.

    An endpoint that drains again is notified again; times count from its last notification.
    """
    drained_ms = {
        str(row["endpoint"]): row["at"]
        for row in evidence.discovery_updates
        if row["state"] == "terminating" and row["at"] >= begin_ms
    }
    times_ms = _times_by_endpoint(evidence, drained_ms)
    by_span = DrainTimesBySpan(DrainTimes([], []), DrainTimes([], []))
    for endpoint, notified_ms in drained_ms.items():
        if times_ms[endpoint]:
            times = by_span[int((notified_ms - begin_ms) / 1000.0 / SPAN_S) % 2]
            times.each.extend(times_ms[endpoint])
            times.last.append(max(times_ms[endpoint]))
    return by_span


def _times_by_endpoint(evidence: Evidence, drained_ms: dict[str, float]) -> dict[str, list[float]]:
    acknowledged_ms = acknowledgement_times(evidence)
    times_ms: dict[str, list[float]] = {endpoint: [] for endpoint in drained_ms}
    for row in evidence.applied_updates:
        at_ms = acknowledged_ms.get((row["proxy"], row["nonce"]))
        if at_ms is None:
            continue
        for endpoint in ejected_endpoints(row):
            if endpoint in drained_ms and at_ms >= drained_ms[endpoint]:
                times_ms[endpoint].append(at_ms - drained_ms[endpoint])
    return times_ms


def last_status(arm: Arm, event: str = "status") -> dict[str, Any]:
    """Returns the fields of the first controller's last log line of an event; empty if there is none."""
    status: dict[str, Any] = {}
    for line in (arm.folder / "pilot-0.log").read_text().splitlines():
        if f'"{event}"' in line and (row := json.loads(line))["event"] == event:
            status = row
    return status


def measure(
    proxies: int, reader: str, requests_per_s: float, spans: int, folder: Path, settings: dict[str, Any]
) -> dict[str, Any]:
    """Plays one size with one reader once."""
    scenario = scaled_scenario(proxies, reader, requests_per_s, spans, settings)
    arm = play_arm(scenario, folder / f"{proxies}-{reader}")
    evidence = arm.evidence()
    status = last_status(arm)
    violations = check_invariants(evidence)
    drains = drain_times(evidence, arm.begin_ms)
    reporting_s = SPAN_S * spans / 2.0 + scenario.warm_up_s
    return {
        "proxies": proxies,
        "by": reader,
        "endpoints": ENDPOINTS_PER_ZONE * len(ZONES),
        "reports_per_s": round(status.get("reports", 0) / reporting_s, 1),
        "groups": status.get("groups", 1),
        "times": status.get("times", 1),
        "rules_broken": len(violations),
        "breaks": [violation.to_row() for violation in violations[:MAX_REPORTED_VIOLATIONS]],
        "service": service_quality(scenario.fleet, evidence.requests)["service"],
        "drains": len(drains.with_reports.last) + len(drains.without_reports.last),
        **_drain_figures(drains),
        "channel_of_limit": round(longest_queue(evidence) / scenario.fleet.channel.max_queued_lines, 3),
        "rounds_late_ms": list(status.get("late_ms", {}).values()),
        **_cpu_figures(status.get("cpu_s", {}), arm),
        "stolen": round(arm.stolen_share, 3),
    }


def _drain_figures(drains: DrainTimesBySpan) -> dict[str, Any]:
    reporting, idle = drains
    return {
        "ack_ms_with": [quantile(reporting.each, share) for share in (0.5, 0.99, 1.0)],
        "ack_ms_without": [quantile(idle.each, share) for share in (0.5, 0.99, 1.0)],
        "last_ack_ms_with": [quantile(reporting.last, share) for share in (0.5, 1.0)],
        "last_ack_ms_without": [quantile(idle.last, share) for share in (0.5, 1.0)],
        "ratio_last_ack": round(quantile(reporting.last, 0.5) / max(1.0, quantile(idle.last, 0.5)), 2),
        "ratio_p99": round(quantile(reporting.each, 0.99) / max(1.0, quantile(idle.each, 0.99)), 2),
    }


def _cpu_figures(cpu_s: dict[str, Any], arm: Arm) -> dict[str, Any]:
    """Returns CPU time as shares of a core, and that of each reader by part in seconds."""
    by_reader = {name: parts for name, parts in cpu_s.items() if isinstance(parts, dict)}
    readers_s = sum(sum(parts.values()) for parts in by_reader.values())
    return {
        "deciding_cpu": round(cpu_s.get("deciding", 0.0) / arm.duration_s, 3),
        "pilot_cpu": round(cpu_s.get("process", 0.0) / arm.duration_s, 3),
        "readers_cpu": round(readers_s / arm.duration_s, 3),
        "reader_parts_s": by_reader,
    }


def run(
    sizes: list[int], readers: list[str], requests_per_s: float, spans: int, folder: Path, settings: dict[str, Any]
) -> dict[str, Any]:
    """Plays all sizes with all readers, one after another.

    Args:
        sizes: Numbers of proxies.
        readers: Where reports are read: `inbox`, `thread` or `processes`.
        requests_per_s: Requests per second, at every size.
        spans: The number of spans, alternating with and without reports.
        folder: The folder for the arms' records.
        settings: Further settings of load reports.
    """
    rows = [measure(size, reader, requests_per_s, spans, folder, settings) for size in sizes for reader in readers]
    return {"bench": "reports", "machine": machine_name(), "rows": rows}
