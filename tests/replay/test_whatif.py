"""Tests of the what-if replay: inference of hidden faults, delays, the effect of settings, repeatability."""

import os
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest
from memory_fleet import CLASSES, controller_settings, fleet, small_scenario

from quillstep.config.errors import ConfigError
from quillstep.config.loading import changed, parse_changes
from quillstep.planner.messages import EndpointEntry
from quillstep.replay.comparison import compare
from quillstep.replay.inference import SPAN_MS, EndpointAttempt, ExpectedAttempt, estimate_condition, infer_endpoints
from quillstep.replay.modelled_scenario import ModelledScenario
from quillstep.replay.recorded_scenario import (
    ControllerIncarnation,
    DiscoveryUpdate,
    RecordedScenario,
    ReportArrival,
    StreamChange,
    clock_shift_ms,
    read_recorded_scenario,
)
from quillstep.replay.whatif import infer_from, play
from quillstep.testbed.scenarios.runner import play_arm

LOOKUP = CLASSES[0]
ADDRESS = {number: f"127.0.0.1:{9000 + number}" for number in range(1, 7)}


def entries(state="in_service", numbers=range(1, 7), started=0.0):
    return [EndpointEntry(number, "ab"[number % 2], state, 1.0, started) for number in numbers]


def addresses(numbers=range(1, 7)):
    return {number: ("127.0.0.1", 9000 + number) for number in numbers}


def recorded_scenario(
    seconds=12.0,
    rate=60.0,
    attempt=lambda at, number: ("ok", 22.0),
    discovery_updates=(),
    incarnations=1,
    age_ms=0.0,
    **proxy_settings,
):
    """Builds a scenario: requests to six endpoints in turn; `attempt` returns the result and duration of each."""
    settings = controller_settings(fleet=fleet(proxies={"standing": 2, "ejects": 3, **proxy_settings}))
    proxies = {
        f"p{index}": {"zone": "ab"[index % 2], "usual": rate / 4, "standing": [["127.0.0.1", 9001 + index]]}
        for index in range(4)
    }
    end = 1000.0 + seconds * 1000.0
    controllers = []
    for number in range(incarnations):
        incarnation = ControllerIncarnation(f"pilot-{number}-1", settings, 0.0, end + 500.0)
        incarnation.discovery_updates = [DiscoveryUpdate(10.0, "complete", entries(), addresses()), *discovery_updates]
        incarnation.stream_changes = [
            StreamChange(20.0, True, name, is_fresh=True) for name in list(proxies)[number::incarnations]
        ]
        incarnation.report_arrivals = sorted(
            ReportArrival(1000.0 + 1000.0 * second + 100.0 * index + age_ms, name, age_ms)
            for second in range(1, int(seconds) + 1)
            for index, name in enumerate(proxies)
        )
        incarnation.ack_delays_ms = {name: [20.0, 40.0, 30.0] for name in proxies}
        controllers.append(incarnation)
    requests = []
    for count in range(int(seconds * rate)):
        at = 1000.0 + count * 1000.0 / rate
        number = 1 + count % 6
        result, duration = attempt(at, number)
        row = {
            "at": at,
            "proxy": f"p{count % 4}",
            "class": "lookup" if count % 3 else "issue",
            "exchange": f"x{count}",
        }
        row.update(
            outcome="ok" if result == "ok" else "failed",
            end=at + duration,
            tries=[[ADDRESS[number], at, at + duration, result, ""]],
        )
        requests.append(row)
    endpoints = {
        number: {"zone": "ab"[number % 2], "cores": 2, "host": "127.0.0.1", "port": 9000 + number} for number in ADDRESS
    }
    return RecordedScenario(controllers, endpoints, proxies, requests)


def replay(scenario, change=None, seed=1):
    return play(scenario, infer_from(scenario).endpoints, change or {}, seed)


@pytest.mark.parametrize(
    ("results", "expected"),
    [
        (["ok"] * 8, (0.0, 0.0, 0.0)),
        (["no connection"] * 4, (1.0, 0.0, 0.0)),
        (["ok", "error"] * 4, (0.0, 0.0, 0.5)),
        (["time-out", "reset", "ok", "ok"], (0.0, 0.5, 0.0)),
    ],
)
def test_hidden_conditions_are_inferred_from_the_results_of_attempts(results, expected):
    rows = [EndpointAttempt(100.0 * at, 100.0 * at + 21.0, result, LOOKUP) for at, result in enumerate(results)]
    assert estimate_condition([ExpectedAttempt(row, 21.0) for row in rows])[:3] == expected


def test_speeds_and_slow_spans_are_inferred_from_the_fastest_responses():
    # 20 ms of work take 40 ms: the speed is 0.5.
    rows = [EndpointAttempt(100.0 * at, 100.0 * at + 41.0, "ok", LOOKUP) for at in range(50)]
    rows += [EndpointAttempt(6000.0 + 40.0 * at, 6000.0 + 40.0 * at + 201.0, "ok", LOOKUP) for at in range(10)]
    inferred = infer_endpoints({7: rows}, {7: 4})
    assert inferred.speeds[7] == pytest.approx(0.5)
    assert inferred.condition_at(7, 1000.0).slowdown == 1.0 and inferred.condition_at(
        7, 6100.0
    ).slowdown == pytest.approx(5.0)
    # A span without attempts has the condition of the last span with attempts.
    assert inferred.condition_at(7, 6100.0 + 10 * SPAN_MS).slowdown == pytest.approx(5.0)
    assert inferred.condition_at(8, 0.0).slowdown == 1.0


def test_queueing_behind_recorded_work_is_not_a_slowdown():
    # Twice the capacity of two cores: each response is queued longer than the one before, at the usual speed.
    rows = [EndpointAttempt(5.0 * at, 5.0 * at + 21.0 + 5.0 * (at // 2), "ok", LOOKUP) for at in range(200)]
    inferred = infer_endpoints({7: rows}, {7: 2})
    assert {condition.slowdown for condition in inferred.conditions[7].values()} == {1.0}


def test_a_scenario_without_faults_replays_without_losses_and_identically_for_the_same_seed():
    scenario = recorded_scenario()
    first, second, other_seed = replay(scenario), replay(scenario), replay(scenario, seed=2)
    assert first.service > 0.99 and first.digest == second.digest != other_seed.digest
    assert first.violations == [] and first.intervals > 10


def test_the_shipped_scenario_replays_with_the_same_random_draws_as_before():
    """Checks the order of random draws and floating-point operations, with the recorded and with a changed setting."""
    result = compare(read_recorded_scenario(Path("examples/captures/short")), {}, {"fleet.proxies.ejects": 1}, 2)
    assert result["digests"] == {
        "replayed": ["48c9bb4666b78b96005de7da2828b94d", "7afd6d975c946af3041d17680388a290"],
        "against": ["48c9bb4666b78b96005de7da2828b94d", "7afd6d975c946af3041d17680388a290"],
        "changed": ["721694ba89173e250fd0c8e6792a0847", "94cb8fba3780328667b91b0a74f8d4be"],
    }


def test_an_endpoint_that_flaps_without_discovery_updates_costs_no_more_than_recorded():
    def flapping(at, number):
        return ("error", 2.0) if number == 2 and int(at // 3000.0) % 2 else ("ok", 22.0)

    scenario = recorded_scenario(attempt=flapping)
    result = compare(scenario, {}, {}, 2)
    assert result["measured"] < 0.96
    # The recorded requests used all endpoints in turn; the controller ejects the failing one and may do better.
    assert result["service"]["replayed"] >= result["measured"] - 0.02
    failed = [row for row in replay(scenario).requests if row["outcome"] == "failed"]
    assert failed and {row["tries"][0][0] for row in failed} == {ADDRESS[2]}


def test_a_setting_changes_the_outcomes_of_requests_and_the_gain_is_paired_by_seed():
    def failing_by_turns(at, number):
        return ("error", 2.0) if number in (2, 5) and int(at // 2000.0) % 2 else ("ok", 22.0)

    scenario = recorded_scenario(attempt=failing_by_turns, rate=120.0, ejects=8)
    result = compare(scenario, {}, {"fleet.proxies.ejects": 1}, 3)
    assert result["gain"] > 0.0 and result["gain"] > 2.0 * result["noise"]
    assert result["changed_fate"]["won"] > result["changed_fate"]["lost"]
    reverse = compare(scenario, {"fleet.proxies.ejects": 1}, {"fleet.proxies.ejects": 8}, 3)
    assert reverse["gain"] == pytest.approx(-result["gain"], abs=1e-3)


def test_a_late_discovery_update_stays_late_and_an_invariant_that_a_setting_violates_is_reported():
    late = [DiscoveryUpdate(6000.0, "partial", entries("terminating", [3]), {})]
    scenario = recorded_scenario(discovery_updates=late)
    unchanged = replay(scenario)
    assert unchanged.violations == []
    used = [row["at"] for row in unchanged.requests if any(t[0] == ADDRESS[3] for t in row["tries"])]
    # The endpoint is used until the late update arrives, and not afterwards.
    assert [at for at in used if at > 5000.0] and max(used) < 7000.0
    slow = replay(scenario, {"fleet.channel.lines_per_s": 8.0, "fleet.channel.lines_waiting_most": 100.0})
    assert {violation.rule for violation in slow.violations} & {"drain", "queue"}
    assert all(violation.text for violation in slow.violations)


def test_a_connection_limit_resets_attempts_and_lowers_service():
    scenario = recorded_scenario(rate=400.0, seconds=6.0)
    unlimited = replay(scenario).service
    for row in scenario.endpoints.values():
        row["connections_most"] = 1
    limited = replay(scenario)
    assert limited.service < unlimited
    assert any(t[3] == "reset" for row in limited.requests for t in row["tries"])


def test_duplicates_of_keyed_requests_are_dropped_within_the_idempotency_window_and_executed_after_it():
    keyed = CLASSES[0].model_copy(
        update={"semantics": "keyed", "idempotency_scope": "all", "idempotency_window_ms": 100.0}
    )
    scenario = ModelledScenario(fleet(), 0.0)
    assert [scenario.is_duplicate(keyed, "x", at) for at in (0.0, 99.0, 101.0, 150.0)] == [False, True, False, True]
    assert not scenario.is_duplicate(LOOKUP, "x", 0.0) and not scenario.is_duplicate(LOOKUP, "x", 1.0)


@pytest.mark.parametrize("fault", ["twice", "out of order", "five seconds late"])
def test_load_reports_that_arrive_twice_out_of_order_or_late_do_not_lower_service(fault):
    scenario = recorded_scenario(age_ms=5000.0 if fault == "five seconds late" else 0.0)
    incarnation = scenario.incarnations[0]
    if fault == "twice":
        incarnation.report_arrivals = sorted(incarnation.report_arrivals * 2)
    elif fault == "out of order":
        incarnation.report_arrivals = [
            ReportArrival(at + (1500.0 if index % 3 == 0 else 0.0), name, 1500.0 if index % 3 == 0 else 0.0)
            for index, (at, name, _) in enumerate(incarnation.report_arrivals)
        ]
    assert replay(scenario).service > 0.98


def test_the_proxies_of_a_controller_that_stops_move_to_the_other_controller():
    scenario = recorded_scenario(incarnations=2)
    first, second = scenario.incarnations
    first.last_ms = 5000.0
    first.discovery_updates = [row for row in first.discovery_updates if row.at_ms < 5000.0]
    first.report_arrivals = [row for row in first.report_arrivals if row.at_ms < 5000.0]
    second.stream_changes += [StreamChange(5200.0, True, row.proxy, is_fresh=False) for row in first.stream_changes]
    result = replay(scenario)
    assert result.service > 0.98 and result.violations == []


@pytest.mark.parametrize(("offset", "shift"), [(1000.0, 0.0), (1030.0, 0.0), (91000.0, 90000.0), (-5000.0, -6000.0)])
def test_times_of_clocks_with_different_epochs_are_converted(offset, shift):
    assert clock_shift_ms(offset, 1000.0) == shift


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("fleet.proxies.eject=3", "no such setting"), ("fleet.proxies.ejects=many", "valid integer"),
        ("fleet.proxies.ejects", "path=value"), ("fleet.classes.0.credit=-1", "greater than 0"),
    ],
)  # fmt: skip
def test_an_invalid_change_of_settings_is_rejected(text, message):
    with pytest.raises(ConfigError, match=message):
        changed(controller_settings(), parse_changes([text]))


def test_the_compare_command_gives_identical_results_for_a_recorded_scenario_under_any_hash_seed(tmp_path):
    faults = [{"at_s": 1.0, "for_s": 1.0, "what": "fail", "count": 1, "factor": 10.0}]
    scenario = small_scenario(seconds=3.0, troubles=faults, capture=True, pilots=2)
    arm = play_arm(scenario, tmp_path / "learnt")
    assert len(read_recorded_scenario(arm.folder).requests) > 50
    command = [sys.executable, "-m", "quillstep.cli", "replay", "compare", str(arm.folder), "--seeds", "2"]
    chart = tmp_path / "chart.png"
    digests = []
    for seed in ("0", "77"):
        completed = subprocess.run(
            [*command, "--set", "fleet.proxies.ejects=1", "--chart", str(chart)], capture_output=True, timeout=120,
            check=True, env={**os.environ, "PYTHONHASHSEED": seed},
        )  # fmt: skip
        result = msgspec.json.decode(completed.stdout.splitlines()[-1])
        assert abs(result["error"]) < 0.25 and result["seeds"] == 2
        digests.append(result["digests"])
    assert digests[0] == digests[1]
    assert chart.read_bytes().startswith(b"\x89PNG")
