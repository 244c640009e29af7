"""What a store costs and saves: commits, rollbacks against whole tables, a pilot's crash with and without; loopback.

A rollback is timed from the command to the last proxy's application of the chosen version.  What a whole table takes is
measured the same way, by a version whose every line differs.  A crash is a played day: some endpoints are slow, the
pilot has learnt it, is killed and starts over; in one arm the last life's tables count after the start, in the other
they don't.
"""

import json
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from shutil import rmtree
from typing import Any

from quillstep.bench.crash import kill_points
from quillstep.bench.crash import run as run_kills
from quillstep.bench.load_reports import last_status
from quillstep.bench.results import machine_name
from quillstep.bench.streams import scenario_of
from quillstep.config.controller import StoreSettings
from quillstep.config.scenario import ScenarioSettings
from quillstep.invariants import check_invariants, longest_drain_ms, longest_queue
from quillstep.routing.resources import WEIGHT, make_resource
from quillstep.store import Store
from quillstep.store.records import OPERATOR_COMMANDS, VERSIONS, Entry, OperatorCommand, VersionRow, number_key
from quillstep.testbed.process import now_ms
from quillstep.testbed.scenarios.arm import Arm
from quillstep.testbed.scenarios.plan import plan_scenario
from quillstep.testbed.scenarios.runner import play_arm
from quillstep.testbed.scenarios.service_quality import service_quality
from quillstep.xds.resources import name

FEW = 8  # lines that a small rollback changes
SETTLE_S = 60.0
SLOW_PART, SLOW = 4, 4.0  # one endpoint in so many is slower by this
KILL_S, DOWN_S, AFTER_S = 20.0, 1.5, 24.0  # the last reaches beyond the trust in what stood
TRUST_MS = StoreSettings().recovery_trust_ms
RIGHT = 1.25  # the slow ones' part of all weights, over what it was, from which down a table is right again


class Watched:
    """An arm whose proxies' applications are looked at while it runs."""

    def __init__(self, arm: Arm) -> None:
        self.arm, self.read = arm, {path: 0 for path in arm.folder.glob("proxies-*.jsonl")}
        self.held: dict[str, dict[str, str]] = {}
        self.last_ms: dict[str, float] = {}

    def look(self) -> None:
        for path, at in self.read.items():
            with path.open("rb") as lines:
                lines.seek(at)
                data = lines.read()
            whole = data.rfind(b"\n") + 1
            self.read[path] = at + whole
            for line in data[:whole].splitlines():
                if b'"applied"' in line and b'"LbEndpoint"' in line:
                    self.take(json.loads(line))

    def take(self, row: dict[str, Any]) -> None:
        held = self.held.setdefault(row["proxy"], {})
        held.update({each: version for each, version in row["changed"] if "/table-0/" in each})
        for gone in row["removed"]:
            held.pop(gone, None)
        self.last_ms[row["proxy"]] = row["at"]

    def until(self, wanted: dict[str, str], proxies: int, seconds: float) -> float | None:
        """When the last proxy came to hold just this; None: not in time."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.look()
            if len(self.held) == proxies and all(held == wanted for held in self.held.values()):
                return max(self.last_ms.values())
            time.sleep(0.02)
        return None


def made(chosen: VersionRow, number: int, few: bool) -> VersionRow:
    """A version by hand: some lines, or all, at other weights."""
    lines = [(e, w + 3.0 if not few or at < FEW else w) for at, (e, w) in enumerate(chosen.weights)]
    label = "few" if few else "whole"
    return VersionRow(label, chosen.table, "", "module", "bench", 0.0, "hand", number, lines, chosen.admission)


def rollbacks(proxies: int, folder: Path) -> dict[str, Any]:
    """Both kinds of rollbacks on one fleet, one after the other."""
    day = scenario_of(proxies, 0.5 * proxies, 3.0, 1)
    scale = max(1.0, proxies / 262.0)
    channel = day.fleet.channel.model_copy(update={"lines_per_s": 3900.0 * scale, "max_queued_lines": 7000.0 * scale})
    day = day.model_copy(update={
        "fleet": day.fleet.model_copy(update={"channel": channel}), "faults": [],
        "store": StoreSettings(folder="store"),
    })  # fmt: skip
    arm = Arm(day, plan_scenario(day), "learnt", folder)
    row: dict[str, Any] = {"what": "rollback", "proxies": proxies}
    try:
        arm.start()
        arm.play(now_ms() + day.warm_up_s * 1000.0)
        store = Store(folder / "store-0")
        for few in (True, False):
            row.update(one_rollback(arm, store, few, proxies))
        store.close()
    finally:
        arm.stop()
    evidence = arm.evidence()
    row.update(rules_broken=len(check_invariants(evidence)), longest_channel=round(longest_queue(evidence), 1))
    return row


def one_rollback(arm: Arm, store: Store, few: bool, proxies: int) -> dict[str, Any]:
    kind = "few" if few else "whole"
    number = store.last_number(VERSIONS, number_key(0)) + 100000
    version = made(store.versions(0)[-1], number, few)
    store.write([Entry(VERSIONS, number_key(0, number), version)])
    wanted = {}
    for endpoint, weight in version.weights:
        key = (WEIGHT, 0, endpoint)
        wanted[name(key)] = make_resource(key, ("127.0.0.1", arm.ports[endpoint], weight)).version
    before = sum(row["what"] == "send" for row in arm.evidence().channel_rows)
    begun = now_ms()
    store.write(
        [Entry(OPERATOR_COMMANDS, number_key(time.time_ns()), OperatorCommand("rollback", [(0, kind)], "bench", 0.0))]
    )
    ended = Watched(arm).until(wanted, proxies, SETTLE_S)
    sent = [row for row in arm.evidence().channel_rows if row["what"] == "send"][before:]
    return {
        f"{kind}_last_ms": None if ended is None else round(ended - begun, 1),
        f"{kind}_lines": sum(row["lines"] for row in sent), f"{kind}_bytes": sum(row["bytes"] for row in sent),
    }  # fmt: skip


def crash_day(recovery_trust_ms: float, seed: int) -> ScenarioSettings:
    """Slow endpoints that a pilot has learnt, its crash, and drains while it comes back."""
    base = scenario_of(32, 150.0, KILL_S + DOWN_S + AFTER_S + 4.0, 1).model_dump()
    for row in base["fleet"]["classes"]:
        row.update(agreed_ms=400.0, cut_off_ms=1500.0)
    base["endpoints"] = [{**base["endpoints"][0], "each_zone": 4}]
    count = 16 // SLOW_PART
    last = KILL_S + DOWN_S + AFTER_S + 4.0
    base["troubles"] = [
        {"at_s": 0.0, "for_s": last, "what": "slow", "count": count, "factor": SLOW},
        {"at_s": KILL_S, "for_s": DOWN_S, "what": "pilot_kill", "count": 1},
        {"at_s": KILL_S + DOWN_S + 2.0, "for_s": 4.0, "what": "drain", "count": 1},
    ]
    base["store"] = {"folder": "store", "trust_ms": recovery_trust_ms}
    return ScenarioSettings.model_validate({**base, "name": f"crash, trust {recovery_trust_ms:g}", "seed": seed})


def crash(recovery_trust_ms: float, seed: int, folder: Path) -> dict[str, Any]:
    """One arm: service before and after, how soon the table is right again, what had to be sent."""
    day = crash_day(recovery_trust_ms, seed)
    arm = play_arm(day, folder)
    evidence = arm.evidence()
    killed = arm.begin_ms + KILL_S * 1000.0
    back = killed + DOWN_S * 1000.0
    until = back + AFTER_S * 1000.0
    parts = {
        "before": [row for row in evidence.requests if killed - 8000.0 <= row["at"] < killed],
        "after": [row for row in evidence.requests if back <= row["at"] < until],
    }
    sent = [row for row in evidence.channel_rows if row["what"] == "send" and back <= row["at"] < until]
    violations = check_invariants(evidence)
    return {
        "what": "crash", "arm": "store" if recovery_trust_ms else "without", "seed": seed,
        "rules_broken": len(violations), "breaks": [violation.to_row() for violation in violations[:3]],
        **{f"service_{when}": service_quality(day.fleet, rows)["service"] for when, rows in parts.items()},
        "right_again_ms": right_again(arm, killed), "lines_after": sum(row["lines"] for row in sent),
        "slowest_drain_ms": round(longest_drain_ms(evidence), 1), **commits(arm),
    }  # fmt: skip


def right_again(arm: Arm, killed_ms: float) -> float:
    """From the first version after the start: how long until the slow endpoints' part is what it was, milliseconds."""
    store = Store(arm.folder / "store-0", write=False)
    rows = store.versions(0)
    store.close()
    offset = time.time() * 1000.0 - now_ms()
    slow = {row["endpoint"] for row in arm.evidence().commands if row["do"] == "slow"}

    def part(row: VersionRow) -> float:
        total = sum(weight for _, weight in row.weights)
        return sum(weight for endpoint, weight in row.weights if endpoint in slow) / total if total else 1.0

    lives = [row.incarnation for row in rows]
    before = [row for row in rows if row.incarnation == lives[0] and row.wall_ms - offset < killed_ms]
    after = [row for row in rows if row.incarnation != lives[0]]
    if not before or not after:
        return -1.0
    wrong = [row for row in after if part(row) > RIGHT * part(before[-1])]
    return round(max((row.wall_ms for row in wrong), default=after[0].wall_ms) - after[0].wall_ms, 1)


def commits(arm: Arm) -> dict[str, Any]:
    """What the store's thread said last of its commits."""
    found = last_status(arm, "store status")
    return {key: found.get(key) for key in ("commits", "mean_ms", "worst_ms", "late")}


def cost(folder: Path, proxies: int, seconds: float) -> list[dict[str, Any]]:
    """One day with and without a store: CPU of the pilot, commits, drains."""
    rows = []
    for kept in ("", "store"):
        day = scenario_of(proxies, 3.0 * proxies, seconds, 1).model_copy(update={"store": StoreSettings(folder=kept)})
        arm = play_arm(day, folder / f"cost-{kept or 'none'}")
        evidence = arm.evidence()
        rows.append({
            "what": "cost", "arm": kept or "without", "proxies": proxies,
            "rules_broken": len(check_invariants(evidence)),
            "pilot_cpu_of_a_core": round(arm.controller_cpu_s / arm.duration_s, 4),
            "slowest_drain_ms": round(longest_drain_ms(evidence), 1), **(commits(arm) if kept else {}),
        })  # fmt: skip
    return rows


def run(sizes: list[int], seeds: int, seconds: float, kills: int, folder: Path) -> dict[str, Any]:
    """All of it, one after another."""
    rmtree(folder / "kills", ignore_errors=True)
    killed = run_kills(folder / "kills", kill_points(1, kills))
    costs = cost(folder, max(size for size in sizes if size <= 262), seconds)
    back = [rollbacks(size, folder / f"rollback-{size}") for size in sizes]
    crashes = []
    for seed in range(1, seeds + 1):
        with ThreadPoolExecutor(2) as pool:  # side by side, so that both meet the same machine
            jobs = [pool.submit(crash, t, seed, folder / f"crash-{t:g}-{seed}") for t in (TRUST_MS, 0.0)]
            crashes += [job.result() for job in jobs]
    rows = [*costs, *back, *crashes]

    def mean(arm: str, key: str) -> float:
        values = [row[key] for row in crashes if row["arm"] == arm]
        return round(sum(values) / len(values), 4)

    return {
        "bench": "store", "machine": machine_name(), "rows": rows,
        "cpu_store_over_without": round(costs[1]["pilot_cpu_of_a_core"] / costs[0]["pilot_cpu_of_a_core"], 3),
        "service_after_crash": {arm: mean(arm, "service_after") for arm in ("store", "without")},
        "right_again_ms": {arm: mean(arm, "right_again_ms") for arm in ("store", "without")},
        "lines_after_crash": {arm: mean(arm, "lines_after") for arm in ("store", "without")},
        **{f"kill_{name}": value for name, value in killed.items()},
        "rules_broken": sum(row["rules_broken"] for row in rows),
    }  # fmt: skip
