"""Readers on sockets: load reports alongside a controller's other streams."""

import os
import random
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import NamedTuple

import pytest
from envoy.service.discovery.v3 import discovery_pb2
from load_report_builders import endpoint_row, load_report
from memory_fleet import MemoryController, controller_settings, small_scenario

from quillstep.bench.load_reports import measure
from quillstep.config.controller import LoadReportSettings
from quillstep.invariants import check_invariants, longest_queue
from quillstep.recording import read_incarnations, read_records
from quillstep.replay.faithful import Replay
from quillstep.testbed.scenarios.arm import Arm
from quillstep.testbed.scenarios.plan import Step, plan_scenario
from quillstep.testbed.scenarios.runner import play_arm
from quillstep.xds.client import GrpcClient
from quillstep.xds.grpc import RESOURCE_EXHAUSTED
from quillstep.xds.http2 import MessageReceived, StreamEnded
from quillstep.xds.resources import CDS
from quillstep.xds.server import DELTA, LOAD


def test_the_core_publishes_a_drain_while_reports_are_pending():
    """Discovery events take precedence: with reports over the budget, a drain is published in the next interval."""
    controller = MemoryController(settings=controller_settings(reports=LoadReportSettings(rows_per_s=500.0)))
    proxies = [controller.join(f"p{index}") for index in range(6)]
    controller.run(3000.0)
    rng = random.Random(4)
    for number in range(1, 30):
        for proxy in proxies:
            report = load_report(
                number, [endpoint_row(1 + rng.randrange(6))], end_ms=controller.now, sent_ms=controller.now
            )
            controller.core.add_load_report(proxy.number, report)
    started_ms = controller.now
    controller.receive_endpoint_list("partial", [3], "terminating")
    while not any("withdrawn/3" in name for proxy in proxies for _, names, _ in proxy.log for name in names):
        controller.run(10.0)
        assert controller.now - started_ms < 200.0
    controller.run(500.0)
    assert controller.core.reports.collector.totals["reports"] > 0


def test_the_simulator_adapter_does_not_import_readers():
    code = "import sys, quillstep.simulator.host; print([m for m in sys.modules if 'reports' in m or 'hdrh' in m])"
    output = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True).stdout
    assert output.strip() == "[]"


class KillReaders(NamedTuple):
    """Kills the reader processes; only `ReaderKiller` handles it."""


class ReaderKiller(Arm):
    """An arm whose scenario plan may kill the controller's reader processes."""

    def execute(self, command):
        if not isinstance(command, KillReaders):
            super().execute(command)
            return
        pid = self.controllers.processes[0].process.pid
        # All readers are listed before the first is killed: its end also ends the controller's thread that writes its
        # input, and that thread's /proc entry would disappear while the list is read.
        tasks = Path(f"/proc/{pid}/task").iterdir()
        readers = [int(child) for task in tasks for child in (task / "children").read_text().split()]
        for reader in readers:
            os.kill(reader, signal.SIGKILL)


@pytest.mark.parametrize("by", ["thread", "processes"])
def test_a_zone_reconnects_with_old_reports_while_readers_are_killed_and_an_endpoint_drains(tmp_path, by):
    """Checks the invariants under large reports, a third of them late, a disconnected zone and killed readers."""
    listen = ["127.0.0.1:0", "127.0.0.1:0"] if by == "processes" else []
    day = small_scenario(
        seconds=7.0, proxies=12, pilots=1, capture=True, reports={"by": by, "listen": listen, "work_per_s": 4000.0},
        troubles=[
            {"at_s": 0.2, "for_s": 7.0, "what": "reports_heavy", "count": 12},
            {"at_s": 0.2, "for_s": 5.0, "what": "reports_late", "count": 4, "factor": 1.0},
            {"at_s": 1.0, "for_s": 1.5, "what": "proxy_cut", "zone": "b", "count": 6},
            {"at_s": 2.7, "for_s": 3.0, "what": "drain", "zone": "a", "count": 1},
        ],
    )  # fmt: skip
    plan = plan_scenario(day)
    plan.steps = sorted([*plan.steps, Step(3.2, KillReaders())], key=lambda step: step.at_s)
    arm = ReaderKiller(day, plan, "learnt", tmp_path / "learnt")
    try:
        arm.start()
        arm.play(time.monotonic() * 1000.0 + day.warm_up_s * 1000.0)
    finally:
        arm.stop()
    evidence = arm.evidence()
    assert check_invariants(evidence) == [] and longest_queue(evidence) <= day.fleet.channel.max_queued_lines
    log = (arm.folder / "pilot-0.log").read_text()
    assert log.count("report reader ended") == len(listen)
    (incarnation,) = read_incarnations(arm.folder / "capture-0")
    proxies = [row for record in read_records(incarnation) if record[0] == "reports" for row in record[4]["heard"]]
    assert {row[0] for row in proxies} == set(range(12))
    attempts = sum(len(row["tries"]) for row in evidence.requests)
    counted = sum(
        row[2] + row[3] for record in read_records(incarnation) if record[0] == "reports" for row in record[4]["sums"]
    )
    assert 0.5 * attempts < counted < 1.1 * attempts  # none twice; old reports weigh less, killed readers lose some
    assert Replay(incarnation.header).play(read_records(incarnation)).is_identical


@pytest.mark.parametrize(
    ("controllers", "reports", "faults"),
    [
        (2, {}, [{"at_s": 2.5, "for_s": 2.0, "what": "pilot_kill"}]),
        (1, {"message_most_bytes": 1024}, []),  # every full report exceeds the size limit
    ],
)
def test_a_drain_is_respected_while_a_controller_is_killed_or_reports_are_too_large(
    tmp_path, controllers, reports, faults
):
    day = small_scenario(
        seconds=6.0, proxies=12, pilots=controllers, endpoints=[{"each_zone": 8}],
        reports={"by": "processes", "listen": ["127.0.0.1:0"], **reports},
        troubles=[
            {"at_s": 0.2, "for_s": 6.0, "what": "reports_heavy", "count": 12},
            {"at_s": 2.7, "for_s": 3.0, "what": "drain", "zone": "a", "count": 1}, *faults,
        ],
    )  # fmt: skip
    arm = play_arm(day, tmp_path / "learnt")
    assert check_invariants(arm.evidence()) == []
    log = (arm.folder / "pilot-0.log").read_text()
    assert ("reads only" in log or "larger than" in log or "stream closed" in log) is bool(reports)


def test_a_report_that_is_too_large_ends_only_its_own_stream(tmp_path):
    day = small_scenario(pilots=1, reports={"message_most_bytes": 4096})
    arm = Arm(day, plan_scenario(day), "learnt", tmp_path / "learnt")
    try:
        arm.start_endpoints()
        arm.start_discovery()
        arm.controllers.start(0)
        client = GrpcClient(arm.controllers.addresses[0], 1000.0)
        discovery, reports = client.open(DELTA), client.open(LOAD)
        first = discovery_pb2.DeltaDiscoveryRequest(type_url=CDS)
        first.node.id = "large"
        client.send(discovery, first.SerializeToString())
        client.send(reports, b"x" * 8192)
        ended = answered = False
        for event in client.events():
            ended = ended or (
                isinstance(event, StreamEnded) and event.stream == reports and event.status == RESOURCE_EXHAUSTED
            )
            answered = answered or (isinstance(event, MessageReceived) and event.stream == discovery)
            assert not (isinstance(event, StreamEnded) and event.stream == discovery)
            if ended and answered:
                break
        assert ended and answered
        client.close()
    finally:
        arm.stop()


def test_a_small_benchmark_run_meets_invariants_channel_limit_and_control_intervals(tmp_path):
    result = measure(48, "processes", 60.0, 2, tmp_path, {"work_per_s": 5000.0})
    assert result["rules_broken"] == 0 and 0.0 < result["channel_of_limit"] <= 1.0
    assert min(result["ack_ms_with"] + result["ack_ms_without"]) > 0.0 and result["drains"] >= 4
    assert result["reports_per_s"] > 0 and result["rounds_late_ms"][1] < 1000.0  # one control interval
