"""The controllers of one arm: processes that are started, killed, paused and restarted with new settings."""

import os
import signal
import threading
import time
from collections.abc import Callable
from pathlib import Path

import msgspec

from quillstep.config.controller import ControllerSettings, StoreSettings
from quillstep.config.fleet import FleetSettings
from quillstep.config.scenario import ScenarioSettings
from quillstep.net.clock import now_ms
from quillstep.testbed.scenarios.arm_folder import ArmFolder, controller_name
from quillstep.testbed.scenarios.child_processes import ChildProcess
from quillstep.testbed.scenarios.plan import ControllerAction

POLL_INTERVAL_S = 0.02  # between reads of the controllers' record while a tighter retry policy takes effect
ANY_PORT = "127.0.0.1:0"


class ControllerProcesses:
    """The controllers by number.  A controller that restarts keeps its addresses, its store and its folders.

    While a scenario plays, `start` runs in separate threads, each of which changes one controller's entries only.

    Attributes:
        processes: The running process of each controller; None while it is down.
        addresses: The address on which each controller listens for proxies.
        report_addresses: The addresses on which each controller's reader processes listen for load reports.
        discovery_address: The address of the discovery server; set before the first start.
    """

    def __init__(
        self,
        scenario: ScenarioSettings,
        planner_kind: str,
        count: int,
        files: ArmFolder,
        spawn: Callable[..., ChildProcess],
    ) -> None:
        self.processes: list[ChildProcess | None] = [None] * count
        self.addresses = [ANY_PORT] * count
        self.report_addresses: dict[int, list[str]] = {}
        self.discovery_address = ""
        self._scenario, self._planner_kind, self._files, self._spawn = scenario, planner_kind, files, spawn
        self._tightened_classes: list[str] = []
        moves = any(fault.what == "proxy_moves" for fault in scenario.faults)
        self._writes_files = scenario.file_proxies > 0 or moves

    def start_all(self) -> None:
        """Starts all controllers, one after another."""
        for number in range(len(self.processes)):
            self.start(number)

    def start(self, number: int) -> None:
        """Starts a controller, or restarts it at its previous addresses."""
        settings = self._settings_of(number)
        path = self._files.settings(number)
        path.write_bytes(msgspec.json.format(msgspec.json.encode(settings.model_dump())))  # JSON is CUE
        name = controller_name(number)
        process = self._spawn(name, "quillstep.cli", "controller", "--settings", str(path), "--with-parent")
        self.addresses[number] = process.wait_for("ready")
        self.report_addresses[number] = process.last_answer.get("reports", [])
        self.processes[number] = process

    def execute(self, number: int, action: ControllerAction) -> None:
        """Kills, restarts, pauses or resumes a controller; a restart runs in a separate thread.

        That thread is not joined: the scenario must not wait for it, and the process that it starts is stopped with
        the arm.
        """
        process = self.processes[number]
        if action is ControllerAction.RESTART:
            threading.Thread(target=self.start, args=(number,), daemon=True, name=f"restart-{number}").start()
        elif process and action is ControllerAction.KILL:
            process.kill()
            self.processes[number] = None
        elif process and action is ControllerAction.PAUSE:
            os.kill(process.process.pid, signal.SIGSTOP)
        elif process and action is ControllerAction.RESUME:
            os.kill(process.process.pid, signal.SIGCONT)

    def make_class_unsafe(self, class_name: str, for_ms: float, proxies: int) -> bool:
        """Restarts all controllers with a class made unsafe and waits until this is in effect at all proxies.

        Returns:
            Whether it took effect within `for_ms`.
        """
        self._tightened_classes.append(class_name)
        begin_ms, end_ms = now_ms(), now_ms() + for_ms
        for number, process in enumerate(self.processes):
            if process:
                process.kill()
                self.start(number)
        while now_ms() < end_ms and not self._is_in_effect(class_name, begin_ms, proxies):
            time.sleep(POLL_INTERVAL_S)
        return now_ms() < end_ms

    def cpu_s(self) -> float:
        """Returns the processor time that the running controllers have used so far, in seconds."""
        ticks = 0
        for process in self.processes:
            if process:
                fields = Path(f"/proc/{process.process.pid}/stat").read_text().rpartition(")")[2].split()
                ticks += int(fields[11]) + int(fields[12])
        return ticks / os.sysconf("SC_CLK_TCK")

    def _is_in_effect(self, class_name: str, begin_ms: float, proxies: int) -> bool:
        """Returns whether every proxy has acknowledged the tighter policy at the controller that it connected to last.

        All proxies reconnect after the restart, with a retry policy that their controller does not know, so each of
        them gets a row in the record.
        """
        connected: dict[str, tuple[float, int]] = {}  # time of the last connection, and its controller
        is_loose: dict[tuple[str, int], bool] = {}
        for number in range(len(self.processes)):
            for line in self._files.record("pilot", number).read_bytes().splitlines():
                if b'"what":"way"' not in line and b'"what":"join"' not in line:
                    continue
                row = msgspec.json.decode(line)
                if row["at"] < begin_ms:
                    continue
                if row["what"] == "join":
                    connected[row["proxy"]] = max(connected.get(row["proxy"], (0.0, 0)), (row["at"], number))
                elif row["kind"] == class_name:
                    is_loose[row["proxy"], number] = row["loose"]
        return len(connected) == proxies and not any(
            is_loose.get((proxy, number), True) for proxy, (_, number) in connected.items()
        )

    def _settings_of(self, number: int) -> ControllerSettings:
        scenario, files = self._scenario, self._files
        name = controller_name(number)
        report_listen = self.report_addresses.get(number, scenario.reports.listen)
        file_root = files.generations(number) if self._writes_files else ""
        return ControllerSettings.model_validate({
            "name": name, "seed": scenario.seed + number, "listen": self.addresses[number],
            "discovery_address": self.discovery_address, "planner_kind": self._planner_kind,
            "fleet": self._fleet(), "limits": scenario.limits,
            "files": scenario.files.model_copy(update={"root": file_root}),
            "reports": scenario.reports.model_copy(update={"listen": report_listen}),
            "capture": {"folder": str(files.recording(number))} if scenario.capture else {},
            "store": self._store_of(number),
            "socket_record": str(files.record("pilot", number)) if scenario.record else "",
            "gate": scenario.gate, "spans": files.span_settings(name, scenario.spans) or {},
        })  # fmt: skip

    def _store_of(self, number: int) -> StoreSettings:
        store = self._scenario.store
        folder = str(self._files.path / f"{store.folder}-{number}") if store.folder else ""
        return store.model_copy(update={"folder": folder})

    def _fleet(self) -> FleetSettings:
        """Returns the scenario's fleet, with the classes unsafe that `make_class_unsafe` was called for."""
        unsafe = {"semantics": "unsafe", "idempotency_scope": "", "idempotency_window_ms": 0.0}
        fleet = self._scenario.fleet
        classes = [
            row.model_copy(update=unsafe) if row.name in self._tightened_classes else row for row in fleet.classes
        ]
        return fleet.model_copy(update={"classes": classes})
