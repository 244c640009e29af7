"""Which endpoints become outliers, and how they return."""

import pytest
from planner_harness import PlannerHarness, entry, planner_config


def test_silence_and_failed_health_checks_mark_an_outlier_and_passed_ones_restore_it_gently():
    harness = PlannerHarness(planner_config(), entries=[entry(at) for at in range(1, 6)])
    harness.settle()
    for _ in range(5):
        harness.run_interval(upstream_stats=[(1, 9, 9, 0.0, 1000.0, {})], health_checks=[(1, False, 300.0, {})])
    assert harness.endpoint(1).is_outlier and 1 not in harness.slots()
    for _ in range(3):
        harness.run_interval(health_checks=[(1, True, 3.0, {"util": 0.1})])
    assert not harness.endpoint(1).is_outlier and 1 <= harness.slots()[1] <= 5


@pytest.mark.parametrize(
    ("upstream", "is_healthy"),
    [
        ([(1, 9, 9, 0.0, 1000.0, {})], True),  # health checks do not confirm it
        ([(1, 9, 8, 90.0, 1000.0, {})], False),  # it still answers some: slow or full, not gone
        ([(at, 9, 9, 0.0, 1000.0, {"util": 1.0}) for at in range(1, 6)], False),  # the whole fleet is full
    ],
)
def test_no_endpoint_is_an_outlier_on_half_the_evidence(upstream, is_healthy):
    harness = PlannerHarness(planner_config(), entries=[entry(at) for at in range(1, 6)])
    harness.settle()
    for _ in range(8):
        harness.run_interval(
            upstream_stats=upstream, health_checks=[(row[0], is_healthy, 300.0, {}) for row in upstream]
        )
    assert not any(harness.endpoint(at).is_outlier for at in range(1, 6))
