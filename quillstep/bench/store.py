"""Cost and benefit of a store: commits, rollbacks of few and of all weights, a controller's crash; on loopback.

A rollback is timed from the command until the last proxy has applied the requested version.  A full table is measured
the same way, with a version in which every weight differs.  A crash is a played scenario: some endpoints are slow, the
controller has learnt it, is killed and restarts; in one arm it trusts the tables of its last incarnation at the start,
in the other it does not.
"""

import json
import statistics
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from shutil import rmtree
from typing import Any

from quillstep.bench.crash import kill_points
from quillstep.bench.crash import run as run_kills
from quillstep.bench.load_reports import last_status
from quillstep.bench.results import MAX_REPORTED_VIOLATIONS, machine_name
from quillstep.bench.streams import ZONES, drain_scenario
from quillstep.config.controller import StoreSettings
from quillstep.config.scenario import ScenarioSettings
from quillstep.invariants import check_invariants, longest_drain_ms, longest_queue
from quillstep.invariants.evidence import Row
from quillstep.net.clock import now_ms
from quillstep.routing.resources import WEIGHT, make_resource
from quillstep.store import Store
from quillstep.store.records import OPERATOR_COMMANDS, VERSIONS, Entry, OperatorCommand, VersionRow, number_key
from quillstep.testbed.scenarios.arm import Arm
from quillstep.testbed.scenarios.plan import plan_scenario
from quillstep.testbed.scenarios.runner import play_arm
from quillstep.testbed.scenarios.service_quality import service_quality
from quillstep.xds.resources import name

SMALL_ROLLBACK_WEIGHTS = 8  # Weights that a small rollback changes.
MAX_ROLLBACK_S = 60.0
MAX_COST_PROXIES = 262
POLL_S = 0.02
VERSION_NUMBER_GAP = 100000  # Difference between the last version and one made for a rollback.
ENDPOINTS_PER_SLOW_ONE = 4
SLOW_FACTOR = 4.0
KILL_S = 20.0  # Time of the controller's kill.
DOWN_S = 1.5  # Time between the kill and the restart.
MEASURED_AFTER_S = 24.0  # Measured span after the restart; longer than recovered tables are trusted.
MEASURED_BEFORE_MS = 8000.0  # Measured span before the kill.
TRUST_MS = StoreSettings().recovery_trust_ms
MAX_RECOVERED_RATIO = 1.25  # Ratio of the slow endpoints' share of all weights, after to before the crash.


class AppliedUpdates:
    """The weights that the proxies of a running arm hold, read from their record while it grows."""

    def __init__(self, arm: Arm) -> None:
        self._offsets = dict.fromkeys(arm.folder.glob("proxies-*.jsonl"), 0)  # Bytes read so far.
        self._versions: dict[str, dict[str, str]] = {}  # Versions of weights by name, by proxy.
        self._last_ms: dict[str, float] = {}

    def wait_for(self, wanted: dict[str, str], proxies: int, timeout_s: float) -> float | None:
        """Waits until all proxies hold these versions; returns when the last one applied them, None after a timeout."""
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            self._read()
            if len(self._versions) == proxies and all(held == wanted for held in self._versions.values()):
                return max(self._last_ms.values())
            time.sleep(POLL_S)
        return None

    def _read(self) -> None:
        """Reads the complete lines that were added to the record."""
        for path, offset in self._offsets.items():
            with path.open("rb") as file:
                file.seek(offset)
                data = file.read()
            length = data.rfind(b"\n") + 1
            self._offsets[path] = offset + length
            for line in data[:length].splitlines():
                if b'"applied"' in line and b'"LbEndpoint"' in line:
                    self._apply(json.loads(line))

    def _apply(self, row: dict[str, Any]) -> None:
        versions = self._versions.setdefault(row["proxy"], {})
        versions.update({resource: version for resource, version in row["changed"] if "/table-0/" in resource})
        for resource in row["removed"]:
            versions.pop(resource, None)
        self._last_ms[row["proxy"]] = row["at"]


def make_version(latest: VersionRow, number: int, is_small: bool) -> VersionRow:
    """Returns a version that differs from the latest in some weights or in all."""
    weights = [
        (endpoint, weight if is_small and index >= SMALL_ROLLBACK_WEIGHTS else weight + 3.0)
        for index, (endpoint, weight) in enumerate(latest.weights)
    ]
    label = "few" if is_small else "whole"
    return VersionRow(label, latest.table, "", "module", "bench", 0.0, "hand", number, weights, latest.admission)


def measure_rollbacks(proxies: int, folder: Path) -> dict[str, Any]:
    """Measures both kinds of rollbacks in one arm, one after the other."""
    scenario = rollback_scenario(proxies)
    arm = Arm(scenario, plan_scenario(scenario), "learnt", folder)
    row: dict[str, Any] = {"what": "rollback", "proxies": proxies}
    try:
        arm.start()
        arm.play(now_ms() + scenario.warm_up_s * 1000.0)
        store = Store(folder / "store-0")
        for is_small in (True, False):
            row.update(measure_rollback(arm, store, is_small, proxies))
        store.close()
    finally:
        arm.stop()
    evidence = arm.evidence()
    row.update(rules_broken=len(check_invariants(evidence)), longest_channel=round(longest_queue(evidence), 1))
    return row


def rollback_scenario(proxies: int) -> ScenarioSettings:
    """Returns a short scenario with a store and without faults; the update channel's rate grows with the fleet."""
    scenario = drain_scenario(proxies, 0.5 * proxies, 3.0, 1)
    scale = max(1.0, proxies / 262.0)
    limits = {"lines_per_s": 3900.0 * scale, "max_queued_lines": 7000.0 * scale}
    channel = scenario.fleet.channel.model_copy(update=limits)
    fleet = scenario.fleet.model_copy(update={"channel": channel})
    return scenario.model_copy(update={"fleet": fleet, "faults": [], "store": StoreSettings(folder="store")})


def measure_rollback(arm: Arm, store: Store, is_small: bool, proxies: int) -> dict[str, Any]:
    """Measures one rollback: its duration, and the lines and bytes sent for it."""
    label = "few" if is_small else "whole"
    number = store.last_number(VERSIONS, number_key(0)) + VERSION_NUMBER_GAP
    version = make_version(store.versions(0)[-1], number, is_small)
    store.write([Entry(VERSIONS, number_key(0, number), version)])
    wanted = {}
    for endpoint, weight in version.weights:
        key = (WEIGHT, 0, endpoint)
        wanted[name(key)] = make_resource(key, ("127.0.0.1", arm.ports[endpoint], weight)).version
    sent_before = len(sent_updates(arm))
    begun_ms = now_ms()
    command = OperatorCommand("rollback", [(0, label)], "bench", 0.0)
    store.write([Entry(OPERATOR_COMMANDS, number_key(time.time_ns()), command)])
    ended_ms = AppliedUpdates(arm).wait_for(wanted, proxies, MAX_ROLLBACK_S)
    sent = sent_updates(arm)[sent_before:]
    return {
        f"{label}_last_ms": None if ended_ms is None else round(ended_ms - begun_ms, 1),
        f"{label}_lines": sum(row["lines"] for row in sent),
        f"{label}_bytes": sum(row["bytes"] for row in sent),
    }


def sent_updates(arm: Arm) -> list[Row]:
    """Returns the updates that controllers have sent so far, from the socket record."""
    return [row for row in arm.evidence().channel_rows if row["what"] == "send"]


def crash_scenario(recovery_trust_ms: float, seed: int) -> ScenarioSettings:
    """Returns a scenario of slow endpoints, a controller's crash, and a drain after its restart."""
    seconds = KILL_S + DOWN_S + MEASURED_AFTER_S + 4.0
    base = drain_scenario(32, 150.0, seconds, 1).model_dump()
    for row in base["fleet"]["classes"]:
        row.update(agreed_ms=400.0, cut_off_ms=1500.0)
    base["endpoints"] = [{**base["endpoints"][0], "each_zone": 4}]
    count = 4 * len(ZONES) // ENDPOINTS_PER_SLOW_ONE
    base["troubles"] = [
        {"at_s": 0.0, "for_s": seconds, "what": "slow", "count": count, "factor": SLOW_FACTOR},
        {"at_s": KILL_S, "for_s": DOWN_S, "what": "pilot_kill", "count": 1},
        {"at_s": KILL_S + DOWN_S + 2.0, "for_s": 4.0, "what": "drain", "count": 1},
    ]
    base["store"] = {"folder": "store", "trust_ms": recovery_trust_ms}
    return ScenarioSettings.model_validate({**base, "name": f"crash, trust {recovery_trust_ms:g}", "seed": seed})


def measure_crash(recovery_trust_ms: float, seed: int, folder: Path) -> dict[str, Any]:
    """Measures one arm: service before and after the crash, the time to recover the weights, the lines sent."""
    scenario = crash_scenario(recovery_trust_ms, seed)
    arm = play_arm(scenario, folder)
    evidence = arm.evidence()
    killed_ms = arm.begin_ms + KILL_S * 1000.0
    restarted_ms = killed_ms + DOWN_S * 1000.0
    end_ms = restarted_ms + MEASURED_AFTER_S * 1000.0
    requests = {
        "before": [row for row in evidence.requests if killed_ms - MEASURED_BEFORE_MS <= row["at"] < killed_ms],
        "after": [row for row in evidence.requests if restarted_ms <= row["at"] < end_ms],
    }
    sent = [row for row in sent_updates(arm) if restarted_ms <= row["at"] < end_ms]
    violations = check_invariants(evidence)
    reported = violations[:MAX_REPORTED_VIOLATIONS]
    return {
        "what": "crash", "arm": "store" if recovery_trust_ms else "without", "seed": seed,
        "rules_broken": len(violations), "breaks": [violation.to_row() for violation in reported],
        **{f"service_{when}": service_quality(scenario.fleet, rows)["service"] for when, rows in requests.items()},
        "right_again_ms": recovery_time(arm, killed_ms), "lines_after": sum(row["lines"] for row in sent),
        "slowest_drain_ms": round(longest_drain_ms(evidence), 1), **commit_figures(arm),
    }  # fmt: skip


def recovery_time(arm: Arm, killed_ms: float) -> float:
    """Returns the milliseconds from the first version after the restart until the slow endpoints' share has recovered.

    -1 if there is no version before the kill or none after it.
    """
    store = Store(arm.folder / "store-0", write=False)
    rows = store.versions(0)
    store.close()
    wall_offset_ms = time.time() * 1000.0 - now_ms()
    slow = {row["endpoint"] for row in arm.evidence().commands if row["do"] == "slow"}

    def slow_share(row: VersionRow) -> float:
        total = sum(weight for _, weight in row.weights)
        return sum(weight for endpoint, weight in row.weights if endpoint in slow) / total if total else 1.0

    first = rows[0].incarnation if rows else ""
    before = [row for row in rows if row.incarnation == first and row.wall_ms - wall_offset_ms < killed_ms]
    after = [row for row in rows if row.incarnation != first]
    if not before or not after:
        return -1.0
    limit = MAX_RECOVERED_RATIO * slow_share(before[-1])
    begin_ms = after[0].wall_ms
    return round(max((row.wall_ms for row in after if slow_share(row) > limit), default=begin_ms) - begin_ms, 1)


def commit_figures(arm: Arm) -> dict[str, Any]:
    """Returns the last logged figures of the store's commits."""
    status = last_status(arm, "store status")
    return {key: status.get(key) for key in ("commits", "mean_ms", "worst_ms", "late")}


def measure_cost(folder: Path, proxies: int, seconds: float) -> list[dict[str, Any]]:
    """Measures a scenario with and without a store: the controller's CPU time, commits, drains."""
    rows = []
    for store in ("", "store"):
        settings = {"store": StoreSettings(folder=store)}
        scenario = drain_scenario(proxies, 3.0 * proxies, seconds, 1).model_copy(update=settings)
        arm = play_arm(scenario, folder / f"cost-{store or 'none'}")
        evidence = arm.evidence()
        rows.append({
            "what": "cost", "arm": store or "without", "proxies": proxies,
            "rules_broken": len(check_invariants(evidence)),
            "pilot_cpu_of_a_core": round(arm.controller_cpu_s / arm.duration_s, 4),
            "slowest_drain_ms": round(longest_drain_ms(evidence), 1), **(commit_figures(arm) if store else {}),
        })  # fmt: skip
    return rows


def run(sizes: list[int], seeds: int, seconds: float, kills: int, folder: Path) -> dict[str, Any]:
    """Measures kills of a writer, the cost of a store, rollbacks and crashes, one after another.

    Args:
        sizes: Numbers of proxies.
        seeds: The number of crashes, each with and without trust in recovered tables.
        seconds: The length of the scenario for the cost of a store.
        kills: The number of kills of a store writer.
        folder: The folder for the arms' records.
    """
    rmtree(folder / "kills", ignore_errors=True)
    killed = run_kills(folder / "kills", kill_points(1, kills))
    costs = measure_cost(folder, max(size for size in sizes if size <= MAX_COST_PROXIES), seconds)
    rollbacks = [measure_rollbacks(size, folder / f"rollback-{size}") for size in sizes]
    crashes = []
    for seed in range(1, seeds + 1):
        with ThreadPoolExecutor(2) as pool:  # In parallel, so that both run under the same load.
            futures = [
                pool.submit(measure_crash, trust_ms, seed, folder / f"crash-{trust_ms:g}-{seed}")
                for trust_ms in (TRUST_MS, 0.0)
            ]
            crashes += [future.result() for future in futures]
    rows = [*costs, *rollbacks, *crashes]

    def mean(arm: str, key: str) -> float:
        return round(statistics.fmean(row[key] for row in crashes if row["arm"] == arm), 4)

    return {
        "bench": "store", "machine": machine_name(), "rows": rows,
        "cpu_store_over_without": round(costs[1]["pilot_cpu_of_a_core"] / costs[0]["pilot_cpu_of_a_core"], 3),
        "service_after_crash": {arm: mean(arm, "service_after") for arm in ("store", "without")},
        "right_again_ms": {arm: mean(arm, "right_again_ms") for arm in ("store", "without")},
        "lines_after_crash": {arm: mean(arm, "lines_after") for arm in ("store", "without")},
        **{f"kill_{name}": value for name, value in killed.items()},
        "rules_broken": sum(row["rules_broken"] for row in rows),
    }  # fmt: skip
