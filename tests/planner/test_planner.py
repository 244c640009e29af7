"""Control intervals: timers, the endpoint watch, and unusual observations."""

import pytest
from planner_harness import PlannerHarness, entry, planner_config


@pytest.mark.parametrize("on_request", [False, True])
def test_the_endpoint_watch_is_requested_only_if_configured(on_request):
    harness = PlannerHarness(planner_config(watches_on_request=on_request), entries=[])
    assert (("watch_endpoints",) in harness.written_at_start) == on_request


@pytest.mark.parametrize(
    "observations",
    [
        {"endpoint_lists": [("complete", [])]},
        {"endpoint_lists": [("error", [])]},
        {"upstream_stats": [(99, 5, 1, 10.0, 0.0, {}), (1, 0, 0, 0.0, 0.0, {"util": 0.5})]},
        {"downstream_stats": [(0, 0, 0, 0, 0.0), (1, 77, 4, 4, 1000.0)]},
        {"health_checks": [(99, True, 1.0, {}), (1, True, 1.0, {})]},
        {"proxy_streams": [(0, True, "x", 0.0, True), (0, True, "a", 0.0, False), (5, False, "", 0.0, False)]},
        {"endpoint_lists": [("partial", [entry(1, weight=0.0), entry(1, weight=0.0)])], "after": 90000.0},
    ],
)
def test_unusual_but_valid_observations_do_not_fail(observations):
    harness = PlannerHarness(planner_config(), entries=[entry(1), entry(2)])
    harness.settle()
    harness.observe(**observations)
    harness.run_interval()
    assert harness.interval_timers() == 1  # the next interval is scheduled once


def test_sliced_key_spaces_get_no_updates():
    harness = PlannerHarness(planner_config(slices=8), entries=[entry(1)])
    harness.run_interval()
    assert harness.written_at_start == [] and harness.written == []


def test_a_failed_watch_is_requested_again_when_the_next_interval_is_due():
    harness = PlannerHarness(planner_config(watches_on_request=True), entries=[entry(1)])
    harness.run_interval()
    harness.observe(endpoint_lists=[("error", [])], after=500.0)
    assert ("watch_endpoints",) not in harness.written
    assert ("watch_endpoints",) in harness.run_interval()
