"""Log lines from which the reasons of limits, and of endpoints that are left out, can be told."""

from planner_harness import PlannerHarness, entry, planner_config
from structlog.testing import capture_logs

from quillstep.controller.decision_log import DecisionLog


def test_the_log_tells_why_limits_change_and_why_warming_endpoints_wait():
    harness = PlannerHarness(planner_config(), [entry(f"s{number}") for number in range(4)])
    with capture_logs() as logs:
        log = DecisionLog(harness.planner)
        harness.settle()
        log.record()
        harness.observe(after=10.0, endpoint_lists=[("partial", [entry("s0", started=harness.now_ms)])])
        harness.settle(util=1.0, failures=9, intervals=6)
        log.record()
        log.record()
    events = [line["event"] for line in logs]
    assert events.count("tables assigned") == events.count("warming endpoints held back") == 1
    assert events.count("admission limits") == 2
    held_back = next(line for line in logs if line["event"] == "warming endpoints held back")
    limits = [line for line in logs if line["event"] == "admission limits"][-1]
    assert held_back["reason"] == "the fleet is loaded or slow" and held_back["reason_before"] is None
    assert limits["admitted_fraction"] < 1.0 and limits["fleet_utilization"] > 0.85 and limits["capacity_per_proxy"]


def test_the_log_tells_how_long_a_drain_waited_and_what_held_it_back():
    harness = PlannerHarness(planner_config(), [entry(f"s{number}") for number in range(4)], proxies=20)
    harness.settle()
    harness.budget.written_lines += 4990.0
    with capture_logs() as logs:
        log = DecisionLog(harness.planner)
        harness.observe(after=10.0, endpoint_lists=[("partial", [entry("s0", state="terminating")])])
        log.record()
        harness.observe(after=60_000.0)
        log.record()
        log.record()
    held_back, ejected = (line for line in logs if "eject" in line["event"])
    assert held_back["event"] == "ejections held back" and held_back["reason"] == "the queue is too long for any change"
    assert (held_back["endpoints"], held_back["waited_ms"], held_back["proxies"]) == (1, 0, 20)
    assert held_back["margin_ms"] == round(3000.0 - 800.0 - held_back["unproven_lines"] / 3.0)
    assert ejected["event"] == "endpoints ejected" and ejected["waited_ms"] == 60_000
