"""Readers on sockets: load reports beside all else that a controller does."""

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


def test_the_core_publishes_a_drain_while_reports_wait():
    """News goes first: with more reports than the budget allows, a drain is ordered in the round that follows it."""
    pilot = MemoryController(settings=controller_settings(reports=LoadReportSettings(rows_per_s=500.0)))
    proxies = [pilot.join(f"p{at}") for at in range(6)]
    pilot.run(3000.0)
    chance = random.Random(4)
    for number in range(1, 30):
        for proxy in proxies:
            row = load_report(number, [endpoint_row(1 + chance.randrange(6))], end_ms=pilot.now, sent_ms=pilot.now)
            pilot.core.add_load_report(proxy.number, row)
    began = pilot.now
    pilot.receive_endpoint_list("partial", [3], "terminating")
    while not any("withdrawn/3" in name for proxy in proxies for _, names, _ in proxy.log for name in names):
        pilot.run(10.0)
        assert pilot.now - began < 200.0
    pilot.run(500.0)
    assert pilot.core.reports.collector.totals["reports"] > 0


def test_the_simulators_adapter_imports_no_readers():
    code = "import sys, quillstep.simulator.host; print([m for m in sys.modules if 'reports' in m or 'hdrh' in m])"
    out = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True).stdout
    assert out.strip() == "[]"


class KillReaders(NamedTuple):
    """A command that only `ReaderKiller` knows."""


class ReaderKiller(Arm):
    """An arm whose plan may kill the controller's reader processes."""

    def execute(self, command):
        if not isinstance(command, KillReaders):
            super().execute(command)
            return
        pid = self.controllers.processes[0].process.pid
        for task in Path(f"/proc/{pid}/task").iterdir():
            for child in (task / "children").read_text().split():
                os.kill(int(child), signal.SIGKILL)


@pytest.mark.parametrize("by", ["thread", "processes"])
def test_a_zone_reconnects_with_old_reports_while_a_reader_dies_and_an_endpoint_drains(tmp_path, by):
    """Heavy reports, a third of them late, a zone's proxies cut off and back, readers killed: the rules hold."""
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
    (life,) = read_incarnations(arm.folder / "capture-0")
    heard = [row for record in read_records(life) if record[0] == "reports" for row in record[4]["heard"]]
    assert {row[0] for row in heard} == set(range(12))
    tried = sum(len(row["tries"]) for row in evidence.requests)
    counted = sum(row[2] + row[3] for r in read_records(life) if r[0] == "reports" for row in r[4]["sums"])
    assert 0.5 * tried < counted < 1.1 * tried  # nothing twice; old sums weigh less, a killed reader's last are lost
    assert Replay(life.header).play(read_records(life)).is_identical


@pytest.mark.parametrize(
    ("pilots", "more", "trouble"),
    [
        (2, {}, [{"at_s": 2.5, "for_s": 2.0, "what": "pilot_kill"}]),
        (1, {"message_most_bytes": 1024}, []),  # reports in full are larger than the limit, again and again
    ],
)
def test_a_drain_is_kept_while_a_controller_dies_or_reports_are_too_large(tmp_path, pilots, more, trouble):
    day = small_scenario(
        seconds=6.0, proxies=12, pilots=pilots, endpoints=[{"each_zone": 8}],
        reports={"by": "processes", "listen": ["127.0.0.1:0"], **more},
        troubles=[
            {"at_s": 0.2, "for_s": 6.0, "what": "reports_heavy", "count": 12},
            {"at_s": 2.7, "for_s": 3.0, "what": "drain", "zone": "a", "count": 1}, *trouble,
        ],
    )  # fmt: skip
    arm = play_arm(day, tmp_path / "learnt")
    assert check_invariants(arm.evidence()) == []
    log = (arm.folder / "pilot-0.log").read_text()
    assert ("reads only" in log or "larger than" in log or "stream ended" in log) is bool(more)


def test_a_report_that_is_too_large_ends_its_stream_and_nothing_else(tmp_path):
    day = small_scenario(pilots=1, reports={"message_most_bytes": 4096})
    arm = Arm(day, plan_scenario(day), "learnt", tmp_path / "learnt")
    try:
        arm.start_endpoints()
        arm.start_discovery()
        arm.controllers.start(0)
        client = GrpcClient(arm.controllers.addresses[0], 1000.0)
        tables, loads = client.open(DELTA), client.open(LOAD)
        first = discovery_pb2.DeltaDiscoveryRequest(type_url=CDS)
        first.node.id = "large"
        client.send(tables, first.SerializeToString())
        client.send(loads, b"x" * 8192)
        ended = answered = False
        for event in client.events():
            ended = ended or (
                isinstance(event, StreamEnded) and event.stream == loads and event.status == RESOURCE_EXHAUSTED
            )
            answered = answered or (isinstance(event, MessageReceived) and event.stream == tables)
            assert not (isinstance(event, StreamEnded) and event.stream == tables)
            if ended and answered:
                break
        assert ended and answered
        client.close()
    finally:
        arm.stop()


def test_a_small_benchmark_run_keeps_rules_channel_and_control_intervals(tmp_path):
    found = measure(48, "processes", 60.0, 2, tmp_path, {"work_per_s": 5000.0})
    assert found["rules_broken"] == 0 and 0.0 < found["channel_of_limit"] <= 1.0
    assert min(found["ack_ms_with"] + found["ack_ms_without"]) > 0.0 and found["drains"] >= 4
    assert found["reports_per_s"] > 0 and found["rounds_late_ms"][1] < 1000.0  # a turn of the module
