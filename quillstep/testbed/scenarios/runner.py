"""Plays a day: one arm with the pilots under test, one for each baseline, side by side, from the same plan."""

import os
import shutil
import signal
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import msgspec
import structlog

from quillstep.config.controller import ControllerSettings, StoreSettings
from quillstep.config.fleet import FleetSettings
from quillstep.config.scenario import ScenarioSettings
from quillstep.invariants import Evidence, check_invariants, longest_drain_ms, longest_queue, read_evidence
from quillstep.testbed.scenarios.child_processes import Child
from quillstep.testbed.scenarios.plan import ScenarioPlan, plan_scenario
from quillstep.testbed.scenarios.service_quality import service_quality

SETTLE_S = 60.0
SPANS_PER_S = 200.0  # of one process
POLL_INTERVAL_S = 0.02  # between two looks at what pilots have written down


def now_ms() -> float:
    return time.monotonic() * 1000.0


class Arm:
    """One fleet with its pilots: `planner_kind` as in a pilot's settings, or "standing" for none at all."""

    def __init__(self, day: ScenarioSettings, made: ScenarioPlan, planner_kind: str, folder: Path) -> None:
        self.day, self.made, self.planner_kind, self.folder = day, made, planner_kind, folder
        shutil.rmtree(folder, ignore_errors=True)
        folder.mkdir(parents=True)
        self.begin_ms = self.took_s = self.cpu_s = self.stolen = 0.0
        self.children: list[Child] = []
        self.pilots: list[Child | None] = []
        self.addresses: list[str] = []
        self.tightened: list[str] = []  # classes that pilots hold for unsafe by now
        self.report_addresses: dict[int, list[str]] = {}  # of each pilot's reading processes
        self.ports: dict[int, int] = {}
        self.hosts: dict[int, Child] = {}
        self.proxies: dict[str, Child] = {}
        moves = any(trouble.what == "proxy_moves" for trouble in day.faults)
        self.with_files = day.file_proxies > 0 or moves
        self.log = structlog.get_logger("day").bind(arm=planner_kind)

    def child(self, name: str, *arguments: str) -> Child:
        made = Child(name, list(arguments), self.folder)
        self.children.append(made)
        return made

    # setting up

    def start(self) -> None:
        self.start_endpoints()
        self.start_roster()
        count = 0 if self.planner_kind == "standing" else self.day.controllers
        self.pilots = [None] * count
        self.addresses = ["127.0.0.1:0"] * count
        for at in range(count):
            self.start_pilot(at)
        self.start_proxies()

    def start_endpoints(self) -> None:
        fleet = self.day.fleet
        shared = any(row.idempotency_scope == "all" for row in fleet.classes)
        groups = [list(fleet.zones)] if shared else [[zone] for zone in fleet.zones]
        for at, zones in enumerate(groups):
            rows = [row for row in self.made.endpoints if row["zone"] in zones]
            host = self.child(f"endpoints-{at}", "quillstep.testbed.endpoints")
            host.send(
                endpoints=rows, rules=fleet.rules.model_dump(), record=str(self.folder / f"endpoints-{at}.jsonl"),
                classes=[row.model_dump() for row in fleet.classes], answers_tell=not fleet.probes.load_only_here,
            )  # fmt: skip
            for number, port in host.wait_for("ready").items():
                self.ports[int(number)] = port
                self.hosts[int(number)] = host

    def start_roster(self) -> None:
        self.roster = self.child("roster", "quillstep.testbed.discovery_server")
        rows = [{**row, "port": self.ports[row["id"]]} for row in self.made.endpoints]
        self.roster.send(
            endpoints=rows, late_ms=self.day.discovery_delay_ms, seed=self.day.seed,
            record=str(self.folder / "roster-0.jsonl"),
        )  # fmt: skip
        self.roster_address = self.roster.wait_for("ready")

    def root(self, at: int) -> str:
        """Where a pilot writes for proxies that follow files."""
        return str((self.folder / f"files-{at}").absolute())

    def start_pilot(self, at: int) -> None:
        """Start or start over a pilot, on the address that it had."""
        listen = self.report_addresses.get(at, self.day.reports.listen)
        record = ControllerSettings(
            name=f"pilot-{at}", seed=self.day.seed + at, listen=self.addresses[at],
            discovery_address=self.roster_address,
            planner_kind=self.planner_kind, fleet=self.fleet(), limits=self.day.limits,  # type: ignore[arg-type]
            files=self.day.files.model_copy(update={"root": self.root(at) if self.with_files else ""}),
            reports=self.day.reports.model_copy(update={"listen": listen}),
            capture={"folder": str(self.folder / f"capture-{at}")} if self.day.capture else {},  # type: ignore[arg-type]
            store=self.store(at),
            socket_record=str(self.folder / f"pilot-{at}.jsonl") if self.day.record else "",
            gate=self.day.gate, spans=self.spans(f"pilot-{at}") or {},  # type: ignore[arg-type]
        )  # fmt: skip
        path = self.folder / f"pilot-{at}.cue"
        path.write_bytes(msgspec.json.format(msgspec.json.encode(record.model_dump())))  # JSON is CUE
        pilot = self.child(f"pilot-{at}", "quillstep.cli", "controller", "--settings", str(path), "--with-parent")
        self.addresses[at] = pilot.wait_for("ready")
        self.report_addresses[at] = pilot.last_answer.get("reports", [])
        self.pilots[at] = pilot

    def store(self, at: int) -> StoreSettings:
        """A pilot's store, if it has one."""
        kept = self.day.store
        return kept.model_copy(update={"folder": str(self.folder / f"{kept.folder}-{at}") if kept.folder else ""})

    def spans(self, who: str) -> dict[str, Any] | None:
        """Where a process writes its spans, if it is to."""
        if not self.day.spans:
            return None
        return {"file": str(self.folder / f"spans-{who}.json"), "part": self.day.spans, "most_per_s": SPANS_PER_S}

    def fleet(self) -> FleetSettings:
        """The fleet as pilots are told of it: classes that were tightened are unsafe."""
        rows = [
            row.model_copy(update={"semantics": "unsafe", "idempotency_scope": "", "idempotency_window_ms": 0.0})
            if row.name in self.tightened
            else row
            for row in self.day.fleet.classes
        ]
        return self.day.fleet.model_copy(update={"classes": rows})

    def start_proxies(self) -> None:
        day = self.day
        count = min(day.proxy_processes, len(self.made.proxies))
        for at in range(count):
            rows = []
            for row in self.made.proxies[at::count]:
                standing = [[number, self.ports[number]] for number in row["standing"]]
                pilots = [self.addresses[k] for k in row["pilots"]] if self.addresses else []
                roots = [self.root(k) for k in row["pilots"]]
                reports = {self.addresses[k]: self.report_addresses[k] for k in row["pilots"] if self.addresses}
                rows.append({**row, "reports": reports, "standing": standing, "pilots": pilots, "roots": roots})
            host = self.child(f"proxies-{at}", "quillstep.testbed.proxies")
            spans = self.spans(f"proxies-{at}")
            host.send(
                spans=spans and {**spans, "service": f"proxies-{at}"},
                proxies=rows, seed=day.seed, seconds=day.seconds, knobs=day.fleet.proxies.model_dump(),
                phases=[phase.model_dump() for phase in day.phases], record=str(self.folder / f"proxies-{at}.jsonl"),
                classes=[row.model_dump() for row in day.fleet.classes],
            )  # fmt: skip
            self.proxies.update({row["name"]: host for row in rows})
        for host in set(self.proxies.values()):
            host.wait_for("ready")
        self.describe()

    def describe(self) -> None:
        """Write down what operators know of their fleet: no speeds, no troubles."""
        known = ("id", "zone", "cores", "listed", "connections_most", "connect_work_ms")
        endpoints = [
            {**{name: row[name] for name in known}, "host": "127.0.0.1", "port": self.ports[row["id"]]}
            for row in self.made.endpoints
        ]
        proxies = [
            {
                "name": row["name"],
                "zone": row["zone"],
                "usual": row["usual"],
                "standing": [["127.0.0.1", self.ports[number]] for number in row["standing"]],
            }
            for row in self.made.proxies
        ]
        told = msgspec.json.encode({"endpoints": endpoints, "proxies": proxies})
        (self.folder / "fleet.json").write_bytes(told)

    # playing

    def play(self, begin_ms: float) -> None:
        """Carry the plan out; every part keeps to the same clock."""
        hosts = list(dict.fromkeys(self.proxies.values()))
        for host in hosts:
            host.send(do="run", begin_ms=begin_ms)
        for at_s, part, command in self.made.steps:
            wait = begin_ms + at_s * 1000.0 - now_ms()
            if wait > 0:
                time.sleep(wait / 1000.0)
            self.step(part, dict(command))
        for host in hosts:
            while host.wait_for("done", self.day.seconds + SETTLE_S) != "script":
                pass

    def step(self, part: str, command: dict[str, Any]) -> None:
        self.log.info("step", part=part, **command)
        if part == "endpoint":
            self.hosts[command["endpoint"]].send(**command)
        elif part == "proxy":
            self.proxies[command["proxy"]].send(**command)
        elif part == "roster":
            if command.pop("began", False):
                command.update(began=now_ms(), started_ms=time.time() * 1000.0)
            self.roster.send(**command)
        elif part == "settings":
            threading.Thread(target=self.tighten, args=(command["kind"], command["for_ms"]), daemon=True).start()
        elif self.pilots:
            self.pilot_step(command["do"], command["pilot"])

    def pilot_step(self, do: str, at: int) -> None:
        pilot = self.pilots[at]
        if do == "pilot_kill" and pilot:
            pilot.kill()
            self.pilots[at] = None
        elif do == "pilot_kill_over":
            threading.Thread(target=self.start_pilot, args=(at,), daemon=True).start()
        elif pilot and do == "pilot_stall":
            os.kill(pilot.process.pid, signal.SIGSTOP)
        elif pilot and do == "pilot_stall_over":
            os.kill(pilot.process.pid, signal.SIGCONT)

    def tighten(self, kind: str, for_ms: float) -> None:
        """As an operator would: new settings at all pilots, one after another; when these say that the tighter way is
        in force, and then only, endpoints forget to drop repeats.  Not at all if that takes longer than told."""
        self.tightened.append(kind)
        begun, until = now_ms(), now_ms() + for_ms
        for at, pilot in enumerate(self.pilots):
            if pilot:
                pilot.kill()
                self.start_pilot(at)
        while now_ms() < until and not self.in_force(kind, begun):
            time.sleep(POLL_INTERVAL_S)
        if now_ms() < until:
            for host in set(self.hosts.values()):
                host.send(do="tighten", kind=kind)

    def in_force(self, kind: str, begun_ms: float) -> bool:
        """Whether the pilots say so of all proxies since a moment, each by the one that it came to last."""
        came: dict[str, tuple[float, int]] = {}  # when it came last, to whom
        loose: dict[tuple[str, int], bool] = {}
        for at in range(len(self.pilots)):
            for line in (self.folder / f"pilot-{at}.jsonl").read_bytes().splitlines():
                if b'"what":"way"' not in line and b'"what":"join"' not in line:
                    continue
                row = msgspec.json.decode(line)
                if row["at"] >= begun_ms and row["what"] == "join":
                    came[row["proxy"]] = max(came.get(row["proxy"], (0.0, 0)), (row["at"], at))
                elif row["at"] >= begun_ms and row["kind"] == kind:
                    loose[row["proxy"], at] = row["loose"]
        # Each comes with routes that its pilot does not know, so that there is a word on each.
        return len(came) == len(self.made.proxies) and not any(
            loose.get((proxy, at), True) for proxy, (_, at) in came.items()
        )

    def pilot_cpu_s(self) -> float:
        """Processor time that the pilots have used by now, seconds."""
        ticks = 0
        for pilot in self.pilots:
            if pilot:
                row = Path(f"/proc/{pilot.process.pid}/stat").read_text().rpartition(")")[2].split()
                ticks += int(row[11]) + int(row[12])
        return ticks / os.sysconf("SC_CLK_TCK")

    def stop(self) -> None:
        for child in reversed(self.children):
            child.stop()

    def evidence(self) -> Evidence:
        rows = self.made.endpoints
        found = Evidence(
            self.day.fleet,
            endpoints_by_address={f"127.0.0.1:{self.ports[row['id']]}": row["id"] for row in rows},
            endpoint_zones={row["id"]: row["zone"] for row in rows},
            endpoint_capacities={row["id"]: row["cores"] * row["speed"] for row in rows},
            proxy_zones={row["name"]: row["zone"] for row in self.made.proxies},
            controllers={
                where: f"pilot-{at}" for at, address in enumerate(self.addresses) for where in (address, self.root(at))
            },
        )
        return read_evidence(self.folder, found)


def stolen() -> tuple[float, float]:
    """Processor time that other guests of this machine's host took, and all of it, since the machine's start."""
    try:
        row = [float(each) for each in Path("/proc/stat").read_text().split("\n", 1)[0].split()[1:]]
    except OSError:
        return 0.0, 1.0
    return (row[7] if len(row) > 7 else 0.0), sum(row[:8])


def play_arm(day: ScenarioSettings, folder: Path, planner_kind: str = "learnt") -> Arm:
    """One arm alone, from its start to its end; `begin_ms`, `took_s`, `cpu_s` (of the
    pilots) and `stolen` (the part of the machine that its host gave to others) stand in it."""
    arm = Arm(day, plan_scenario(day), planner_kind, folder)
    before = stolen()
    try:
        arm.start()
        arm.begin_ms = now_ms() + day.warm_up_s * 1000.0
        arm.play(arm.begin_ms)
        arm.took_s = (now_ms() - arm.begin_ms) / 1000.0 + day.warm_up_s
        arm.cpu_s = arm.pilot_cpu_s()
    finally:
        arm.stop()
    after = stolen()
    arm.stolen = (after[0] - before[0]) / max(1.0, after[1] - before[1])
    return arm


def play_day(day: ScenarioSettings, folder: Path, arms: list[str] | None = None) -> dict[str, Any]:
    """Play all arms at once and judge them; the result is what the last line of `quillstep day` says."""
    names = ["learnt", *day.baselines] if arms is None else arms
    made = plan_scenario(day)
    played = [Arm(day, made, name, folder / name) for name in names]
    try:
        with ThreadPoolExecutor(len(played)) as pool:
            list(pool.map(lambda arm: arm.start(), played))
            begin_ms = now_ms() + day.warm_up_s * 1000.0
            list(pool.map(lambda arm: arm.play(begin_ms), played))
    finally:
        for arm in played:
            arm.stop()
    found = {arm.planner_kind: arm.evidence() for arm in played}
    return result(day, found)


def result(day: ScenarioSettings, found: dict[str, Evidence]) -> dict[str, Any]:
    """Rules and service of the pilots under test, service of the baselines."""
    main = found["learnt"] if "learnt" in found else next(iter(found.values()))
    breaks = check_invariants(main)
    kinds = [row["what"] for row in main.channel_rows]
    served = service_quality(day.fleet, main.requests)
    baselines = {name: service_quality(day.fleet, e.requests)["service"] for name, e in found.items() if e is not main}
    return {
        "day": day.name,
        "rules_broken": len(breaks),
        "breaks": [found.to_row() for found in breaks[:20]],
        **served,
        "baselines": baselines,
        "versions": {
            "sent": kinds.count("send"), "acknowledged": kinds.count("ack"), "refused": kinds.count("nack"),
            "lines": sum(row["lines"] for row in main.channel_rows if row["what"] == "send"),
            "bytes": sum(row["bytes"] for row in main.channel_rows if row["what"] == "send"),
        },
        "longest_channel": round(longest_queue(main), 1),
        "slowest_drain_ms": round(longest_drain_ms(main), 1),
    }  # fmt: skip
