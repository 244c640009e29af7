"""Tracing of all responses on loopback: its cost, and the detection of late and lost updates against the true faults.

One scenario of one size is played alternately in three arms: no record, the socket record, record and spans.  It
drains endpoints, loses updates and responses of endpoints, and has proxies that reject updates, acknowledge late or
apply slowly.  A second scenario, in which proxies apply slowly and lose a controller, is played with and without
splitting large updates.
"""

from collections import Counter, defaultdict
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from quillstep.bench.results import MAX_REPORTED_VIOLATIONS, machine_name, quantile
from quillstep.bench.streams import drain_scenario
from quillstep.config.scenario import ScenarioSettings
from quillstep.invariants import Evidence, Rule, check_invariants
from quillstep.model_checking.runner import check_all
from quillstep.routing.ack_latency import LOST
from quillstep.testbed.scenarios.arm import Arm
from quillstep.testbed.scenarios.runner import play_arm
from quillstep.testbed.scenarios.service_quality import service_quality
from quillstep.tracing.otlp import read_spans
from quillstep.tracing.report import read_trace_index, summarize

SLOW_LINE_MS = 3.0  # Time in which a slow proxy applies a line.
MAX_DETECTION_MS = 8000.0  # A lost update must be detected within this time unless its stream closes.


class TracingArm(NamedTuple):
    """The records that one arm writes."""

    has_record: bool
    sampled_share: float  # Share of traces whose spans are written.


ARMS = {"bare": TracingArm(False, 0.0), "record": TracingArm(True, 0.0), "spans": TracingArm(True, 0.05)}


def traced_scenario(proxies: int, requests_per_s: float, seconds: float) -> ScenarioSettings:
    """Returns the scenario of `bench streams` with all faults that delay or lose updates."""
    base = drain_scenario(proxies, requests_per_s, seconds, 1).model_dump()
    few = max(2, proxies // 20)
    part = seconds / 10.0
    base["troubles"] += [
        {"at_s": 0.5 * part, "for_s": 9.0 * part, "what": "lose_answers", "count": 4, "factor": 1.3},
        {"at_s": 1.0 * part, "for_s": 1.0, "what": "proxy_refuses", "count": few},
        {"at_s": 2.0 * part, "for_s": 1.0, "what": "proxy_loses", "count": few, "factor": 1},
        {"at_s": 3.0 * part, "for_s": 3.0 * part, "what": "proxy_late_words", "count": few, "factor": 0.8},
        {"at_s": 4.0 * part, "for_s": 1.5, "what": "proxy_reads_nothing", "count": few},
        {"at_s": 6.0 * part, "for_s": 3.0 * part, "what": "proxy_slow_lines", "count": few, "factor": SLOW_LINE_MS},
        {"at_s": 7.0 * part, "for_s": 1.0, "what": "proxy_loses", "count": few, "factor": 1},
    ]
    return ScenarioSettings.model_validate({**base, "name": f"traced, {proxies} proxies"})


def slow_scenario(proxies: int, splits_updates: bool) -> ScenarioSettings:
    """Returns a scenario of proxies that apply slowly and move between two controllers with different weights."""
    base = drain_scenario(proxies, 3.0 * proxies, 16.0, 2).model_dump()
    for row in base["fleet"]["classes"]:
        row.update(agreed_ms=400.0, cut_off_ms=1500.0)
    base["limits"]["spreads"] = splits_updates
    base["fleet"]["proxies"]["line_ms"] = SLOW_LINE_MS
    base["warm_up_s"] += 4.0
    base["troubles"] = [
        {"at_s": 3.0, "for_s": 4.0, "what": "pilot_kill", "count": 1},
        {"at_s": 5.0, "for_s": 4.0, "what": "drain", "count": 2},
        {"at_s": 9.0, "for_s": 2.0, "what": "proxy_cut", "count": proxies // 2},
    ]
    return ScenarioSettings.model_validate({**base, "name": f"slow lines, {proxies} proxies"})


def loss_detection_figures(evidence: Evidence) -> dict[str, Any]:
    """Compares the updates that controllers classified as lost with those that proxies recorded as lost."""
    lost_ms = {(row["proxy"], row["nonce"]): row["at"] for row in evidence.lost_responses}
    statuses = [row for row in evidence.channel_rows if row["what"] == "verdict"]
    detected_ms = {(row["proxy"], row["nonce"]): row["at"] for row in statuses if row["kind"] == LOST}
    delays_ms = [at_ms - lost_ms[key] for key, at_ms in detected_ms.items() if key in lost_ms]
    return {
        "verdicts": dict(sorted(Counter(row["kind"] for row in statuses).items())),
        "lost": len(lost_ms),
        "lost_found": len(delays_ms),
        "lost_missed": _count_missed(evidence, {key: at for key, at in lost_ms.items() if key not in detected_ms}),
        "lost_wrongly": sum(key not in lost_ms for key in detected_ms),
        "lost_found_after_ms": round(max(delays_ms, default=0.0), 1),
    }


def _count_missed(evidence: Evidence, undetected_ms: dict[tuple[str, str], float]) -> int:
    """Counts lost updates that were not detected although their stream stayed open and the run was long enough."""
    ends_ms: dict[str, list[float]] = defaultdict(list)
    for row in evidence.stream_changes:
        if not row["up"]:
            ends_ms[row["proxy"]].append(row["at"])
    missed = 0
    for (proxy, _), at_ms in undetected_ms.items():
        has_ended = any(at_ms <= end_ms <= at_ms + MAX_DETECTION_MS for end_ms in ends_ms[proxy])
        missed += not has_ended and at_ms < evidence.end_ms - MAX_DETECTION_MS
    return missed


def latency_quantile(evidence: Evidence, share: float) -> float:
    """Returns a quantile of the latencies of successful requests, milliseconds."""
    return quantile([row["end"] - row["at"] for row in evidence.requests if row["outcome"] == "ok"], share)


class SpanCounts(NamedTuple):
    """The number of spans of an arm, and of those without a written parent."""

    spans: int
    orphans: int


def count_spans(arm: Arm) -> SpanCounts:
    """Counts the spans that the controller and the proxies wrote."""
    spans = [span for path in sorted(arm.folder.glob("spans-*.json")) for span in read_spans(path)]
    written = {(span["traceId"], span["spanId"]) for span in spans}
    orphans = sum("parentSpanId" in span and (span["traceId"], span["parentSpanId"]) not in written for span in spans)
    return SpanCounts(len(spans), orphans)


def measure(scenario: ScenarioSettings, name: str, folder: Path) -> dict[str, Any]:
    """Plays one arm of the traced scenario."""
    has_record, sampled_share = ARMS[name]
    arm = play_arm(scenario.model_copy(update={"record": has_record, "spans": sampled_share}), folder)
    row: dict[str, Any] = {
        "arm": name, "pilot_cpu_of_a_core": round(arm.controller_cpu_s / arm.duration_s, 4),
        "stolen": round(arm.stolen_share, 3),
    }  # fmt: skip
    evidence = arm.evidence()
    row["exchanges_per_s"] = round(len(evidence.requests) / scenario.seconds, 1)
    row["service"] = service_quality(scenario.fleet, evidence.requests)["service"]
    if has_record:
        violations = check_invariants(evidence)
        traced = msgspec.to_builtins(summarize(read_trace_index(arm.folder)))
        row.update(
            rules_broken=len(violations),
            breaks=[violation.to_row() for violation in violations[:MAX_REPORTED_VIOLATIONS]],
            run_twice=sum(violation.rule == Rule.DUPLICATE_EFFECT for violation in violations),
            **{name: traced[name] for name in ("answers", "untraced", "rounds", "word_lost", "standing")},
            **loss_detection_figures(evidence),
        )  # fmt: skip
    if sampled_share:
        row["spans"], row["spans_without_parent"] = count_spans(arm)
    return row


def measure_splitting(proxies: int, splits_updates: bool, folder: Path) -> dict[str, Any]:
    """Plays one arm of the slow scenario; measures how long updates stalled proxies."""
    scenario = slow_scenario(proxies, splits_updates)
    arm = play_arm(scenario, folder)
    evidence = arm.evidence()
    stalls_ms = [row.get("stood", 0.0) for row in evidence.applied_updates if row["at"] >= arm.begin_ms]
    violations = check_invariants(evidence)
    return {
        "arm": "spread" if splits_updates else "all at once", "rules_broken": len(violations),
        "breaks": [violation.to_row() for violation in violations[:MAX_REPORTED_VIOLATIONS]],
        "stood_still_most_ms": quantile(stalls_ms, 1.0),
        "stood_still_p99_ms": quantile(stalls_ms, 0.99),
        "exchange_p99_ms": latency_quantile(evidence, 0.99),
        "service": service_quality(scenario.fleet, evidence.requests)["service"],
    }  # fmt: skip


def run(proxies: int, requests_per_s: float, seconds: float, turns: int, depth: int, folder: Path) -> dict[str, Any]:
    """Plays the arms alternately and the slow scenario, and checks the model to a depth."""
    scenario = traced_scenario(proxies, requests_per_s, seconds)
    rows = [measure(scenario, name, folder / f"lineage-{name}-{turn}") for turn in range(turns) for name in ARMS]
    cpu = {name: sum(row["pilot_cpu_of_a_core"] for row in rows if row["arm"] == name) / turns for name in ARMS}
    slow = [
        measure_splitting(max(8, proxies // 8), is_split, folder / f"slow-{is_split}") for is_split in (True, False)
    ]
    model = check_all(depth)
    traced = [row for row in rows if "untraced" in row]
    return {
        "bench": "lineage", "machine": machine_name(),
        "proxies": proxies, "rows": rows, "slow": slow, "model": model,
        "cpu_record_over_bare": round(cpu["record"] / max(1e-9, cpu["bare"]), 3),
        "cpu_spans_over_record": round(cpu["spans"] / max(1e-9, cpu["record"]), 3),
        "twins_found": model["twins_found"], "twins": model["twins"],
        "answers": sum(row["answers"] for row in traced), "run_twice": sum(row["run_twice"] for row in traced),
        "untraced": sum(row["untraced"] for row in traced),
        "rules_broken": sum(row["rules_broken"] for row in [*traced, *slow]),
    }  # fmt: skip
