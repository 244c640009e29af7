"""Complete scenarios on loopback with killed controllers, lost zones and lost responses; checked from their record."""

import base64
import socket
import subprocess
import sys

import msgspec
import pytest
from memory_fleet import CLASSES, TIMES, small_scenario
from xds.data.orca.v3.orca_load_report_pb2 import OrcaLoadReport

from quillstep.controller.health_checker import parse_load_report
from quillstep.invariants import check_invariants
from quillstep.testbed.scenarios.child_processes import ChildProcess
from quillstep.testbed.scenarios.plan import ControllerAction, ControllerCommand, ProxyCommand, plan_scenario
from quillstep.testbed.scenarios.runner import play_arm
from quillstep.testbed.scenarios.service_quality import service_quality
from quillstep.tracing.otlp import read_spans

KEYED = {**TIMES, "name": "save", "credit": 2.0, "semantics": "keyed", "scope": "all"}
MANY_FAULTS = [
    {"at_s": 0.5, "for_s": 5.0, "what": "lose_answers", "count": 2, "factor": 2.0},
    {"at_s": 1.0, "for_s": 1.5, "what": "drain", "zone": "a", "count": 1},
    {"at_s": 2.0, "for_s": 1.5, "what": "pilot_kill", "count": 1},
    {"at_s": 2.5, "for_s": 1.0, "what": "proxy_reads_nothing", "count": 1},
    {"at_s": 3.0, "for_s": 1.0, "what": "proxy_stall", "count": 1},
    {"at_s": 4.0, "for_s": 1.5, "what": "zone_loss", "zone": "b"},
    {"at_s": 5.0, "for_s": 1.0, "what": "proxy_refuses", "count": 1},
]


def play(scenario, folder):
    arm = play_arm(scenario, folder / "learnt")
    return arm, arm.evidence()


@pytest.fixture(scope="module")
def many_faults(tmp_path_factory):
    fleet = small_scenario().fleet.model_dump()
    fleet["classes"].append({**KEYED, "window_ms": 3000.0})
    scenario = small_scenario(
        seconds=8.0,
        fleet=fleet,
        troubles=MANY_FAULTS,
        endpoints=[{"each_zone": 3}],
        proxies=6,
        pilots=2,
        sotw_proxies=0.17,
    )
    return play(scenario, tmp_path_factory.mktemp("many_faults"))


def test_a_scenario_with_many_faults_keeps_all_invariants(many_faults):
    _, evidence = many_faults
    assert check_invariants(evidence) == []
    assert len(evidence.requests) > 300


def test_an_attempt_that_may_have_run_is_not_retried_unless_its_class_allows_it(many_faults):
    _, evidence = many_faults
    lost = [row for row in evidence.requests if any(attempt[3] in ("reset", "time-out") for attempt in row["tries"])]
    assert {row["class"] for row in lost} >= {"lookup", "issue"}  # responses of both classes were lost
    for row in lost:
        if row["class"] == "issue":
            assert row["tries"][-1][3] in ("reset", "time-out") or all(
                attempt[3] == "no connection" for attempt in row["tries"][:-1]
            )
    effects = [
        row["exchange"] for row in evidence.served_requests if row["effect"] and row["class"] in ("issue", "save")
    ]
    assert len(effects) == len(set(effects))


def test_proxies_of_a_killed_controller_keep_their_tables_and_connect_to_another(many_faults):
    arm, evidence = many_faults
    killed = next(
        step.command.controller
        for step in arm.plan.steps
        if isinstance(step.command, ControllerCommand) and step.command.action is ControllerAction.KILL
    )
    spans = evidence.stream_spans()
    reconnected = [name for name, rows in spans.items() if {row[2] for row in rows} == {"pilot-0", "pilot-1"}]
    assert reconnected
    gaps = {name: [b[0] - a[1] for a, b in zip(spans[name], spans[name][1:], strict=False)] for name in reconnected}
    for name in reconnected:
        assert gaps[name] and not any(row["proxy"] == name for row in evidence.unroutable)
    incarnations = {row["nonce"].rpartition(".")[0] for row in evidence.channel_rows if row["what"] == "send"}
    assert sum(each.startswith(f"pilot-{killed}-") for each in incarnations) <= 2 and len(incarnations) >= 2


def test_a_zone_that_restarts_is_used_again_without_an_overload(many_faults):
    _, evidence = many_faults
    cold = {row["endpoint"] for row in evidence.endpoint_starts if row["cold"]}
    assert len(cold) == 3 and not any(row["outcome"] == "fell" for row in evidence.served_requests)


def test_every_response_used_a_weight_that_its_proxy_had_acknowledged(many_faults):
    _, evidence = many_faults
    acknowledged = {(row["proxy"], row["nonce"]) for row in evidence.channel_rows if row["what"] == "ack"}
    applied = {}
    for row in evidence.applied_updates:
        for _, version in row["changed"]:
            applied.setdefault((row["proxy"], version), []).append(row["nonce"])
    checked = 0
    for row in evidence.requests:
        for _, sent, _, result, version in row["tries"]:
            if result == "ok" and version != "standing":
                nonces = applied[row["proxy"], version]
                is_near_end = sent > evidence.end_ms - 1000.0  # the record may end before the ack
                assert is_near_end or any((row["proxy"], nonce) in acknowledged for nonce in nonces)
                checked += 1
    assert checked > 100


def test_invariants_hold_while_proxies_move_between_streams_and_files(tmp_path):
    faults = [
        {"at_s": 0.5, "for_s": 1.5, "what": "drain", "zone": "a", "count": 1},
        {"at_s": 1.0, "for_s": 0.5, "what": "proxy_refuses", "count": 2},
        {"at_s": 2.0, "for_s": 1.0, "what": "proxy_moves", "count": 4},
        {"at_s": 3.0, "for_s": 1.5, "what": "pilot_kill", "count": 1},
        {"at_s": 4.0, "for_s": 1.5, "what": "drain", "zone": "b", "count": 1},
    ]
    rows = {"endpoints": [{"each_zone": 3}], "proxies": 6, "pilots": 2, "file_proxies": 0.5}
    arm, evidence = play(small_scenario(seconds=6.0, troubles=faults, **rows), tmp_path)
    assert check_invariants(evidence) == []
    file_proxies = {row["proxy"] for row in evidence.applied_updates if row["type"] == "files"}
    stream_proxies = {row["proxy"] for row in evidence.applied_updates if row["type"] != "files"}
    moved = {
        step.command.proxy
        for step in arm.plan.steps
        if isinstance(step.command, ProxyCommand) and step.command.action == "moves"
    }
    assert moved <= file_proxies & stream_proxies and file_proxies - moved and stream_proxies - moved
    assert not evidence.unroutable and all(row["outcome"] != "bare" for row in evidence.requests)


def test_controllers_and_proxies_of_a_scenario_write_the_spans_that_it_asks_for(tmp_path):
    arm, evidence = play(small_scenario(seconds=2.0, spans=1.0), tmp_path)
    names = {path.stem: {span["name"] for span in read_spans(path)} for path in sorted(arm.folder.glob("spans-*.json"))}
    assert len(evidence.requests) > 50 and check_invariants(evidence) == []
    assert {name.rpartition("-")[0] for name in names} == {"spans-pilot", "spans-proxies"}
    assert all(names.values())


def test_endpoints_drop_keyed_repeats_within_the_window_and_not_after(tmp_path):
    classes = [{**KEYED, "name": "long", "window_ms": 60000.0}, {**KEYED, "name": "short", "window_ms": 0.001}]
    host = ChildProcess("endpoints-0", ["quillstep.testbed.endpoints"], tmp_path)
    try:
        host.send(
            endpoints=[{"id": 1, "zone": "a", "cores": 1, "speed": 1.0, "connections_most": 9, "waiting_most": 9,
                        "connect_work_ms": 0.0, "probe_work_ms": 0.0}],
            rules=small_scenario().fleet.rules.model_dump(), classes=classes, answers_tell=True,
            record=str(tmp_path / "endpoints-0.jsonl"),
        )  # fmt: skip
        port = host.wait_for("ready")["1"]
        for name in ("long", "long", "short", "short"):
            with socket.create_connection(("127.0.0.1", port), 10.0) as sock:
                sock.sendall(f"POST /{name} HTTP/1.1\r\nx-exchange: {name}-1\r\n\r\n".encode())
                assert b" 200 " in sock.recv(4096)
    finally:
        host.stop()
    rows = [msgspec.json.decode(line) for line in (tmp_path / "endpoints-0.jsonl").read_bytes().splitlines()]
    received = [(row["class"], row["outcome"], row["effect"]) for row in rows if row["what"] == "exchange"]
    assert received == [
        ("long", "run", True), ("long", "dropped", False), ("short", "run", True), ("short", "run", True),
    ]  # fmt: skip


def test_the_scenario_command_plays_a_scenario_and_prints_the_result(tmp_path):
    scenario = small_scenario(seconds=2.5)
    script = tmp_path / "small.cue"
    script.write_bytes(msgspec.json.encode(scenario.model_dump()))
    command = [sys.executable, "-m", "quillstep.cli", "scenario", str(script), "--record", str(tmp_path / "out")]
    done = subprocess.run([*command, "--arm", "learnt", "--arm", "even"], capture_output=True, timeout=120, check=False)
    found = msgspec.json.decode(done.stdout.splitlines()[-1])
    assert done.returncode == 0 and found["rules_broken"] == 0
    assert 0.0 < found["service"] <= 1.0 and set(found["baselines"]) == {"even"}
    assert found["versions"]["acknowledged"] > 0


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ('name: "p"\nroster: ":1"\nfleet: {zones: [], classes: []}', "p.cue:3: fleet.zones: found a list"),
        ('name: 5\nroster: ":1"', "p.cue:1: name: found 5"),
        ('name: "p"\nroster: ":1"\nfleet: {', "p.cue:"),
    ],
)
def test_a_controller_does_not_start_on_invalid_settings(tmp_path, text, message):
    (tmp_path / "p.cue").write_text(text)
    command = [sys.executable, "-m", "quillstep.cli", "controller", "--settings", str(tmp_path / "p.cue")]
    done = subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)
    assert done.returncode == 2 and message in done.stderr and "expected" in done.stderr


REPORT = OrcaLoadReport(cpu_utilization=0.25, rps_fractional=7.5, named_metrics={"queue": 3.0})


@pytest.mark.parametrize(
    ("header", "load"),
    [
        ("TEXT cpu_utilization=0.25,named_metrics.queue=3", {"util": 0.25, "queue": 3.0}),
        ('JSON {"cpu_utilization": 0.25, "named_metrics": {"queue": 3}}', {"util": 0.25, "queue": 3.0}),
        (
            "BIN " + base64.b64encode(REPORT.SerializeToString()).decode(),
            {"util": 0.25, "qps": 7.5, "queue": 3.0},
        ),
        ("TEXT cpu_utilization=much", {}),
        ("TEXT cpu_utilization=nan", {}),
        ("JSON [1]", {}),
        ("BIN ???", {}),
        ("", {}),
    ],
)
def test_load_is_parsed_in_each_published_form_and_the_rest_is_ignored(header, load):
    assert parse_load_report(header) == load


def test_the_plan_of_a_scenario_follows_from_its_seed():
    scenario = small_scenario(troubles=MANY_FAULTS)
    assert plan_scenario(scenario) == plan_scenario(scenario)
    assert plan_scenario(scenario) != plan_scenario(scenario.model_copy(update={"seed": 2}))


@pytest.mark.parametrize(
    ("took_ms", "outcome", "earned"),
    [
        (399.0, "ok", 1.0),
        (401.0, "ok", 0.2),
        (1300.0, "ok", 0.0),
        (5.0, "refused", 0.0),
        (5.0, "failed", 0.0),
    ],
)
def test_service_is_the_priority_weight_earned_over_the_weight_offered(took_ms, outcome, earned):
    fleet = small_scenario().fleet
    late = [row.model_copy(update={"late_priority_weight": 0.2}) for row in CLASSES]
    fleet = fleet.model_copy(update={"classes": late})
    row = {"at": 0.0, "end": took_ms, "class": "issue", "outcome": outcome, "tries": []}
    other = {"at": 0.0, "end": 1.0, "class": "lookup", "outcome": "ok", "tries": []}
    assert service_quality(fleet, [row, other])["service"] == pytest.approx((3.0 * earned + 1.0) / 4.0)
