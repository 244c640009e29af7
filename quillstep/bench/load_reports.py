"""Load reports at scale: drains with and without the report load in one run, and what reading costs; on loopback.

Each size and way of reading is one played day.  In its first half the proxies' reports are heavy in every other span:
all of them tell of all endpoints once a period; in the other spans they send none.  The drains fall into both kinds of
spans in turn.  Rules, channel, rounds and acknowledgements are read from the sockets' record and the pilot's own log.
"""

import json
from pathlib import Path
from typing import Any

from quillstep.bench.results import acknowledgement_times, machine_name
from quillstep.bench.streams import ENDPOINTS_A_ZONE, ZONES, scenario_of
from quillstep.config.scenario import ScenarioSettings
from quillstep.invariants import Evidence, check_invariants, longest_queue
from quillstep.testbed.scenarios.arm import Arm
from quillstep.testbed.scenarios.runner import play_arm
from quillstep.testbed.scenarios.service_quality import service_quality

SPAN_S = 8.0  # of reports, then of none
LINES_A_PROXY = 15.0  # lines a second of channel for each proxy, as the fleet of 262 has them
DRAINS_A_SPAN = 3
WAYS = {
    "inbox": {"by": "inbox"},
    "thread": {"by": "thread"},
    "processes": {"by": "processes"},
}


def scaled_day(proxies: int, way: str, exchanges_per_s: float, spans: int, more: dict[str, Any]) -> ScenarioSettings:
    """Spans with and without reports in turn, drains in each; the channel grows with the fleet."""
    seconds = SPAN_S * spans
    base = scenario_of(proxies, exchanges_per_s, seconds, 1).model_dump()
    base["troubles"] = [
        {
            "at_s": SPAN_S * span + 1.0 + at * (SPAN_S - 3.5) / DRAINS_A_SPAN,
            "for_s": 4.0,
            "what": "drain",
            "count": 1,
        }
        for span in range(spans)
        for at in range(DRAINS_A_SPAN)
    ]
    for span in range(spans):
        what = "reports_cut" if span % 2 else "reports_heavy"
        base["troubles"].append({"at_s": SPAN_S * span, "for_s": SPAN_S, "what": what, "count": proxies})
    lines = max(3900.0, LINES_A_PROXY * proxies)
    base["fleet"]["channel"].update(lines_per_s=lines, lines_waiting_most=lines * 1.8)
    base["limits"].update(connections_most=max(2048, 2 * proxies), news_most=max(4096, 4 * proxies))
    base["proxy_processes"] = max(1, min(4, proxies // 32))
    base["warm_up_s"] = 6.0 + proxies / 60.0
    base["reports"] = {**WAYS[way], **more}
    if way == "processes":
        base["reports"]["listen"] = ["127.0.0.1:0"] * max(1, round(proxies / 500.0))
    return ScenarioSettings.model_validate({**base, "name": f"{proxies} by {way}"})


def acknowledged(evidence: Evidence, begin_ms: float) -> tuple[list[float], list[float], list[float], list[float]]:
    """Milliseconds from the roster's word of a drain to each proxy's acknowledgement, and to the last of each drain:
    with reports, without."""
    acks = acknowledgement_times(evidence)
    each: tuple[list[float], list[float]] = ([], [])
    last: tuple[list[float], list[float]] = ([], [])
    drains = {
        str(row["endpoint"]): row["at"]
        for row in evidence.discovery_updates
        if row["state"] == "terminating" and row["at"] >= begin_ms
    }
    times: dict[str, list[float]] = {name: [] for name in drains}
    for row in evidence.applied_updates:
        for name, _ in row["changed"]:
            if "/withdrawn/" in name:
                number = name.rpartition("/")[2]
                at = acks.get((row["proxy"], row["nonce"]))
                if number in drains and at is not None and at >= drains[number]:
                    times[number].append(at - drains[number])
    for number, told in drains.items():
        quiet = int((told - begin_ms) / 1000.0 / SPAN_S) % 2
        # A drain that comes back and goes again tells of itself once more; the first word to each proxy counts.
        if times[number]:
            each[quiet].extend(times[number])
            last[quiet].append(max(times[number]))
    return *each, *last


def part(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return round(ordered[min(len(ordered) - 1, int(share * len(ordered)))], 1) if ordered else 0.0


def last_status(arm: Arm, event: str = "status") -> dict[str, Any]:
    """The fields of the first controller's last log line of an event; nothing where there is none."""
    found: dict[str, Any] = {}
    for line in (arm.folder / "pilot-0.log").read_text().splitlines():
        if f'"{event}"' in line and (row := json.loads(line))["event"] == event:
            found = row
    return found


def measure(
    proxies: int, way: str, exchanges_per_s: float, spans: int, folder: Path, more: dict[str, Any]
) -> dict[str, Any]:
    """One size by one way, played once."""
    day = scaled_day(proxies, way, exchanges_per_s, spans, more)
    arm = play_arm(day, folder / f"{proxies}-{way}")
    evidence = arm.evidence()
    loud, quiet, loud_last, quiet_last = acknowledged(evidence, arm.begin_ms)
    status = last_status(arm)
    breaks = check_invariants(evidence)
    seconds = SPAN_S * spans
    cpu = status.get("cpu_s", {})
    readers = {name: sum(parts.values()) for name, parts in cpu.items() if isinstance(parts, dict)}
    limit = day.fleet.channel.max_queued_lines
    row = {
        "proxies": proxies, "by": way, "endpoints": ENDPOINTS_A_ZONE * len(ZONES),
        "reports_per_s": round(status.get("reports", 0) / (seconds / 2.0 + day.warm_up_s), 1),
        "groups": status.get("groups", 1), "times": status.get("times", 1),
        "rules_broken": len(breaks), "breaks": [found.to_row() for found in breaks[:5]],
        "service": service_quality(day.fleet, evidence.requests)["service"],
        "drains": len(loud_last) + len(quiet_last),
    }  # fmt: skip
    for name, values in (("with", loud), ("without", quiet)):
        row[f"ack_ms_{name}"] = [part(values, 0.5), part(values, 0.99), part(values, 1.0)]
    for name, values in (("with", loud_last), ("without", quiet_last)):
        row[f"last_ack_ms_{name}"] = [part(values, 0.5), part(values, 1.0)]
    row["ratio_last_ack"] = round(part(loud_last, 0.5) / max(1.0, part(quiet_last, 0.5)), 2)
    row["ratio_p99"] = round(part(loud, 0.99) / max(1.0, part(quiet, 0.99)), 2)
    row["channel_of_limit"] = round(longest_queue(evidence) / limit, 3)
    row["rounds_late_ms"] = list(status.get("late_ms", {}).values())
    row["deciding_cpu"] = round(cpu.get("deciding", 0.0) / arm.duration_s, 3)
    row["pilot_cpu"] = round(cpu.get("process", 0.0) / arm.duration_s, 3)
    row["readers_cpu"] = round(sum(readers.values()) / arm.duration_s, 3)
    row["reader_parts_s"] = {name: parts for name, parts in cpu.items() if isinstance(parts, dict)}
    row["stolen"] = round(arm.stolen_share, 3)
    return row


def run(
    sizes: list[int], ways: list[str], exchanges_per_s: float, spans: int, folder: Path, more: dict[str, Any]
) -> dict[str, Any]:
    """All sizes by all ways, one after another."""
    rows = [measure(size, way, exchanges_per_s, spans, folder, more) for size in sizes for way in ways]
    machine = machine_name()
    return {"bench": "reports", "machine": machine, "rows": rows}
