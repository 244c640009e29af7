"""Every answer of a loopback run traced; late, stalling and lost orders judged; what it costs; what the model explored.

One played day at one size, in three arms in turn, twice: nothing written down, the sockets' record, record and spans.
The day drains, loses responses and answers, refuses, answers late and applies slowly.  A second day, of proxies that
apply slowly and lose a pilot, is played with and without spreading.
"""

from collections import Counter, defaultdict
from pathlib import Path
from typing import Any

import msgspec

from quillstep.bench.results import machine_name
from quillstep.bench.streams import scenario_of
from quillstep.config.scenario import ScenarioSettings
from quillstep.invariants import Evidence, Rule, check_invariants
from quillstep.model_checking.runner import check_all
from quillstep.testbed.scenarios.arm import Arm
from quillstep.testbed.scenarios.runner import play_arm
from quillstep.testbed.scenarios.service_quality import service_quality
from quillstep.tracing.otlp import read_spans
from quillstep.tracing.report import read_trace_index, summarize

ARMS = {"bare": (False, 0.0), "record": (True, 0.0), "spans": (True, 0.05)}
SLOW_LINE_MS = 3.0
MATCH_MS = 8000.0  # within which a lost response must be told, or its stream has been ended


def traced_day(proxies: int, exchanges_per_s: float, seconds: float) -> ScenarioSettings:
    """The day of `bench streams`, with all that makes orders late or lost."""
    base = scenario_of(proxies, exchanges_per_s, seconds, 1).model_dump()
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


def slow_day(proxies: int, splits_updates: bool) -> ScenarioSettings:
    """Proxies that apply a line in 3 ms and move between two pilots, each of which learns slots of its own."""
    base = scenario_of(proxies, 3.0 * proxies, 16.0, 2).model_dump()
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


def judged(evidence: Evidence) -> dict[str, Any]:
    """The verdicts against what the proxies wrote down: lost ones found, and told though not lost."""
    lost = {(row["proxy"], row["nonce"]): row["at"] for row in evidence.lost_responses}
    ends: dict[str, list[float]] = defaultdict(list)
    for row in evidence.stream_changes:
        if not row["up"]:
            ends[row["proxy"]].append(row["at"])
    told = Counter(row["kind"] for row in evidence.channel_rows if row["what"] == "verdict")
    named = {
        (r["proxy"], r["nonce"]): r["at"]
        for r in evidence.channel_rows
        if r["what"] == "verdict" and r["kind"] == "lost"
    }
    late = [at - lost[key] for key, at in named.items() if key in lost]
    over = 0
    for key, at in lost.items():
        ended = any(at <= end <= at + MATCH_MS for end in ends[key[0]])
        over += key not in named and not ended and at < evidence.end_ms - MATCH_MS
    return {
        "verdicts": dict(sorted(told.items())), "lost": len(lost), "lost_found": len(late), "lost_missed": over,
        "lost_wrongly": sum(key not in lost for key in named),
        "lost_found_after_ms": round(max(late, default=0.0), 1),
    }  # fmt: skip


def took(evidence: Evidence, part: float) -> float:
    """A quantile of the times of answered exchanges, milliseconds."""
    times = sorted(row["end"] - row["at"] for row in evidence.requests if row["outcome"] == "ok")
    return round(times[min(len(times) - 1, int(part * len(times)))], 1) if times else 0.0


def kept_spans(arm: Arm) -> tuple[int, int]:
    """Spans that the pilot and the proxies wrote, and how many name a parent that nobody wrote."""
    spans = [span for path in sorted(arm.folder.glob("spans-*.json")) for span in read_spans(path)]
    known = {(span["traceId"], span["spanId"]) for span in spans}
    orphans = sum("parentSpanId" in span and (span["traceId"], span["parentSpanId"]) not in known for span in spans)
    return len(spans), orphans


def measure(day: ScenarioSettings, name: str, folder: Path) -> dict[str, Any]:
    """One arm of the traced day."""
    record, spans = ARMS[name]
    arm = play_arm(day.model_copy(update={"record": record, "spans": spans}), folder)
    row: dict[str, Any] = {
        "arm": name, "pilot_cpu_of_a_core": round(arm.controller_cpu_s / arm.duration_s, 4),
        "stolen": round(arm.stolen_share, 3),
    }  # fmt: skip
    evidence = arm.evidence()
    row["exchanges_per_s"] = round(len(evidence.requests) / day.seconds, 1)
    row["service"] = service_quality(day.fleet, evidence.requests)["service"]
    if record:
        breaks = check_invariants(evidence)
        traced = msgspec.to_builtins(summarize(read_trace_index(arm.folder)))
        row.update(
            rules_broken=len(breaks), breaks=[found.to_row() for found in breaks[:5]],
            run_twice=sum(found.rule == Rule.DUPLICATE_EFFECT for found in breaks),
            **{name: traced[name] for name in ("answers", "untraced", "rounds", "word_lost", "standing")},
            **judged(evidence),
        )  # fmt: skip
    if spans:
        row["spans"], row["spans_without_parent"] = kept_spans(arm)
    return row


def spread(proxies: int, splits_updates: bool, folder: Path) -> dict[str, Any]:
    """One arm of the slow day: how long proxies stood still at once."""
    day = slow_day(proxies, splits_updates)
    arm = play_arm(day, folder)
    evidence = arm.evidence()
    stood = sorted(row.get("stood", 0.0) for row in evidence.applied_updates if row["at"] >= arm.begin_ms)
    breaks = check_invariants(evidence)
    return {
        "arm": "spread" if splits_updates else "all at once", "rules_broken": len(breaks),
        "breaks": [found.to_row() for found in breaks[:5]],
        "stood_still_most_ms": round(stood[-1], 1), "stood_still_p99_ms": round(stood[int(0.99 * len(stood))], 1),
        "exchange_p99_ms": took(evidence, 0.99), "service": service_quality(day.fleet, evidence.requests)["service"],
    }  # fmt: skip


def run(proxies: int, exchanges_per_s: float, seconds: float, turns: int, depth: int, folder: Path) -> dict[str, Any]:
    """All arms in turn, the slow day, and the model."""
    day = traced_day(proxies, exchanges_per_s, seconds)
    rows = [measure(day, name, folder / f"lineage-{name}-{turn}") for turn in range(turns) for name in ARMS]
    cpu = {name: sum(row["pilot_cpu_of_a_core"] for row in rows if row["arm"] == name) / turns for name in ARMS}
    slow = [spread(max(8, proxies // 8), way, folder / f"slow-{way}") for way in (True, False)]
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
