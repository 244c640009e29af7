"""Traces of a played scenario with faults, and the command that prints them."""

import time

import msgspec
import pytest
from click.testing import CliRunner
from memory_fleet import small_scenario

from quillstep.cli.main import cli
from quillstep.invariants import check_invariants
from quillstep.testbed.scenarios.arm import Arm
from quillstep.testbed.scenarios.plan import plan_scenario
from quillstep.tracing.report import read_trace_index, summarize


@pytest.fixture(scope="module")
def faulty_arm(tmp_path_factory):
    """Plays a scenario: two controllers, one killed; streams of both kinds, files; nacks, migrations, new limits."""
    scenario = small_scenario(
        seconds=8.0, proxies=10, pilots=2, capture=True, sotw_proxies=0.2, file_proxies=0.3, exchanges_per_s=120.0,
        phases=[{"at_s": 2.0, "for_s": 3.0, "times": 3.0}],
        troubles=[
            {"at_s": 1.0, "for_s": 1.0, "what": "proxy_refuses", "count": 3},
            {"at_s": 1.5, "for_s": 3.0, "what": "drain", "count": 1},
            {"at_s": 2.5, "for_s": 1.0, "what": "proxy_moves", "count": 2},
            {"at_s": 3.0, "for_s": 2.0, "what": "pilot_kill", "count": 1},
        ],
    )  # fmt: skip
    arm = Arm(scenario, plan_scenario(scenario), "learnt", tmp_path_factory.mktemp("lineage") / "learnt")
    try:
        arm.start()
        arm.play(time.monotonic() * 1000.0 + scenario.warm_up_s * 1000.0)
    finally:
        arm.stop()
    return arm


def test_every_response_of_a_scenario_with_faults_is_traced(faulty_arm):
    assert check_invariants(faulty_arm.evidence()) == []
    found = summarize(read_trace_index(faulty_arm.folder))
    assert found.untraced == 0, found.gaps
    assert found.responses > 600 and found.revisions > 3


def test_the_command_traces_one_request_or_all_and_rejects_an_unknown_one(faulty_arm):
    run = CliRunner().invoke
    index = read_trace_index(faulty_arm.folder)
    answered = [row["exchange"] for row in faulty_arm.evidence().requests if row["outcome"] == "ok"]
    request = next(e for e in answered if all(origin.revision for origin in index.trace(e).origins))
    one = run(cli, ["--log-level", "error", "trace", str(faulty_arm.folder), request])
    printed = msgspec.json.decode(one.stdout.splitlines()[-1])
    assert one.exit_code == 0 and printed["exchange"] == request and printed["links"][0]["round_behind"]["news"]
    every = run(cli, ["--log-level", "error", "trace", str(faulty_arm.folder), "--all"])
    assert every.exit_code == 0 and msgspec.json.decode(every.stdout.splitlines()[-1])["untraced"] == 0
    assert run(cli, ["--log-level", "error", "trace", str(faulty_arm.folder), "no-such"]).exit_code == 2
