"""One arm of a scenario: a fleet and its controllers, on which the plan is played."""

import shutil
import threading
import time
from pathlib import Path

import msgspec
import structlog

from quillstep.config.scenario import ScenarioSettings
from quillstep.invariants import Evidence, read_evidence
from quillstep.net.clock import now_ms
from quillstep.testbed.scenarios.arm_folder import ArmFolder, controller_name
from quillstep.testbed.scenarios.child_processes import ChildProcess
from quillstep.testbed.scenarios.controller_processes import ControllerProcesses
from quillstep.testbed.scenarios.plan import (
    Command,
    ControllerCommand,
    DiscoveryCommand,
    EndpointCommand,
    PlannedProxy,
    ProxyCommand,
    ScenarioPlan,
    TightenCommand,
)

MAX_SETTLE_S = 60.0  # time after the script's end for requests in progress
NO_CONTROLLER = "standing"  # arm without controllers, whose proxies keep their initial tables
HOST = "127.0.0.1"


class Arm:
    """One fleet with its controllers, on loopback.

    Call `start`, then `play`, and `stop` in any case.

    Attributes:
        scenario: The scenario's settings.
        plan: Its plan, shared by all arms.
        planner_kind: The planner kind of a controller's settings, or `NO_CONTROLLER`.
        folder: The folder that all processes write to.
        controllers: The controllers' processes.
        discovery: The program that serves the endpoint list.
        ports: Ports by endpoint.
        begin_ms: When the first request was due, milliseconds on the monotonic clock.
        duration_s: Seconds from the start of the warm-up to the end of the script.
        controller_cpu_s: Processor time of the controllers, seconds.
        stolen_share: Share of the machine's processor time that its host gave to other guests.
    """

    discovery: ChildProcess

    def __init__(self, scenario: ScenarioSettings, plan: ScenarioPlan, planner_kind: str, folder: Path) -> None:
        self.scenario, self.plan, self.planner_kind, self.folder = scenario, plan, planner_kind, folder
        shutil.rmtree(folder, ignore_errors=True)
        folder.mkdir(parents=True)
        self.files = ArmFolder(folder)
        self.begin_ms = self.duration_s = self.controller_cpu_s = self.stolen_share = 0.0
        self.ports: dict[int, int] = {}
        count = 0 if planner_kind == NO_CONTROLLER else scenario.controllers
        self.controllers = ControllerProcesses(scenario, planner_kind, count, self.files, self._spawn)
        self._children: list[ChildProcess] = []
        self._endpoint_hosts: dict[int, ChildProcess] = {}
        self._proxy_hosts: dict[str, ChildProcess] = {}
        self._log = structlog.get_logger("scenario").bind(arm=planner_kind)

    def start(self) -> None:
        """Starts all processes and waits until each is ready.

        Raises:
            ChildError: A process was not ready in time.
        """
        self.start_endpoints()
        self.start_discovery()
        self.controllers.start_all()
        self._start_proxies()
        self._write_fleet()

    def start_endpoints(self) -> None:
        """Starts one process of endpoints per zone, or one for all if idempotency keys are shared between zones."""
        fleet = self.scenario.fleet
        is_shared = any(row.idempotency_scope == "all" for row in fleet.classes)
        groups = [list(fleet.zones)] if is_shared else [[zone] for zone in fleet.zones]
        for number, zones in enumerate(groups):
            host = self._spawn(f"endpoints-{number}", "quillstep.testbed.endpoints")
            host.send(
                endpoints=[endpoint.to_row() for endpoint in self.plan.endpoints if endpoint.zone in zones],
                rules=fleet.rules.model_dump(),
                record=str(self.files.record("endpoints", number)),
                classes=[row.model_dump() for row in fleet.classes],
                answers_tell=not fleet.probes.load_only_here,
            )
            for endpoint, port in host.wait_for("ready").items():
                self.ports[int(endpoint)] = port
                self._endpoint_hosts[int(endpoint)] = host

    def start_discovery(self) -> None:
        """Starts the program that serves the endpoint list."""
        self.discovery = self._spawn("roster", "quillstep.testbed.discovery_server")
        self.discovery.send(
            endpoints=[{**row.to_row(), "port": self.ports[row.number]} for row in self.plan.endpoints],
            late_ms=self.scenario.discovery_delay_ms,
            seed=self.scenario.seed,
            record=str(self.files.record("roster", 0)),
        )
        self.controllers.discovery_address = self.discovery.wait_for("ready")

    def play(self, begin_ms: float) -> None:
        """Plays the plan; all processes use the same clock.

        Args:
            begin_ms: When the first request is due, milliseconds on the monotonic clock.

        Raises:
            ChildError: A process ended, or the proxies did not finish in time.
        """
        hosts = list(dict.fromkeys(self._proxy_hosts.values()))
        for host in hosts:
            host.send(do="run", begin_ms=begin_ms)
        for step in self.plan.steps:
            wait_ms = begin_ms + step.at_s * 1000.0 - now_ms()
            if wait_ms > 0:
                time.sleep(wait_ms / 1000.0)
            self._log.info("scenario step", command=type(step.command).__name__, **step.command._asdict())
            self.execute(step.command)
        for host in hosts:
            while host.wait_for("done", self.scenario.seconds + MAX_SETTLE_S) != "script":
                pass

    def execute(self, command: Command) -> None:
        """Executes one command of the plan."""
        match command:
            case EndpointCommand(endpoint, action, parameters):
                self._endpoint_hosts[endpoint].send(do=action, endpoint=endpoint, **parameters)
            case ProxyCommand(proxy, action, for_ms, factor):
                self._proxy_hosts[proxy].send(do=action, proxy=proxy, for_ms=for_ms, factor=factor)
            case DiscoveryCommand(endpoint, state, is_start):
                started = {"began": now_ms(), "started_ms": time.time() * 1000.0} if is_start else {}
                self.discovery.send(id=endpoint, state=state, **started)
            case TightenCommand():
                # Not joined: the script continues meanwhile, and `stop` ends the processes that the thread starts.
                threading.Thread(target=self._tighten, args=(command,), daemon=True, name="tighten").start()
            case ControllerCommand(controller, controller_action):
                if self.controllers.processes:
                    self.controllers.execute(controller, controller_action)

    def stop(self) -> None:
        """Stops all processes, the last one started first."""
        for child in reversed(self._children):
            child.stop()

    def evidence(self) -> Evidence:
        """Returns the sockets' record as written so far."""
        controllers = {}
        for number, address in enumerate(self.controllers.addresses):
            for source in (address, self.files.generations(number)):
                controllers[source] = controller_name(number)
        endpoints = self.plan.endpoints
        evidence = Evidence(
            self.scenario.fleet,
            endpoints_by_address={f"{HOST}:{self.ports[row.number]}": row.number for row in endpoints},
            endpoint_zones={row.number: row.zone for row in endpoints},
            endpoint_capacities={row.number: row.kind.cores * row.kind.speed for row in endpoints},
            proxy_zones={proxy.name: proxy.zone for proxy in self.plan.proxies},
            controllers=controllers,
        )
        return read_evidence(self.folder, evidence)

    def _spawn(self, name: str, *arguments: str) -> ChildProcess:
        child = ChildProcess(name, list(arguments), self.folder)
        self._children.append(child)
        return child

    def _start_proxies(self) -> None:
        scenario = self.scenario
        count = min(scenario.proxy_processes, len(self.plan.proxies))
        for number in range(count):
            name = f"proxies-{number}"
            proxies = self.plan.proxies[number::count]
            spans = self.files.span_settings(name, scenario.spans)
            host = self._spawn(name, "quillstep.testbed.proxies")
            host.send(
                spans=spans and {**spans, "service": name},
                proxies=[self._proxy_row(proxy) for proxy in proxies],
                seed=scenario.seed,
                seconds=scenario.seconds,
                knobs=scenario.fleet.proxies.model_dump(),
                phases=[phase.model_dump() for phase in scenario.phases],
                record=str(self.files.record("proxies", number)),
                classes=[row.model_dump() for row in scenario.fleet.classes],
            )
            self._proxy_hosts.update({proxy.name: host for proxy in proxies})
        for host in set(self._proxy_hosts.values()):
            host.wait_for("ready")

    def _proxy_row(self, proxy: PlannedProxy) -> dict[str, object]:
        """Returns a proxy's setup for its process, with ports and addresses in place of numbers."""
        addresses, report_addresses = self.controllers.addresses, self.controllers.report_addresses
        controllers = proxy.controllers if addresses else []
        return {
            **msgspec.to_builtins(proxy),
            "reports": {addresses[number]: report_addresses[number] for number in controllers},
            "standing": [[number, self.ports[number]] for number in proxy.initial_endpoints],
            "pilots": [addresses[number] for number in controllers],
            "roots": [self.files.generations(number) for number in proxy.controllers],
        }

    def _write_fleet(self) -> None:
        """Writes what an operator knows of the fleet, which includes neither speeds nor faults."""
        visible_fields = ("id", "zone", "cores", "listed", "connections_most", "connect_work_ms")
        endpoints = []
        for endpoint in self.plan.endpoints:
            row = endpoint.to_row()
            visible_row = {name: row[name] for name in visible_fields}
            endpoints.append({**visible_row, "host": HOST, "port": self.ports[endpoint.number]})
        proxies = [
            {
                "name": proxy.name,
                "zone": proxy.zone,
                "usual": proxy.requests_per_s,
                "standing": [[HOST, self.ports[number]] for number in proxy.initial_endpoints],
            }
            for proxy in self.plan.proxies
        ]
        self.files.fleet().write_bytes(msgspec.json.encode({"endpoints": endpoints, "proxies": proxies}))

    def _tighten(self, command: TightenCommand) -> None:
        """Makes a class unsafe, as an operator would.

        Endpoints stop checking its idempotency keys once the tighter retry policy is in effect at all proxies.  If
        that takes longer than the command allows, they go on checking them.
        """
        proxies = len(self.plan.proxies)
        if self.controllers.make_class_unsafe(command.class_name, command.for_ms, proxies):
            for host in set(self._endpoint_hosts.values()):
                host.send(do="tighten", kind=command.class_name)
