"""Detection and restoration of outliers."""

import pytest
from planner_harness import PlannerHarness, entry, planner_config


def test_failures_with_failed_health_checks_mark_an_outlier_and_passed_checks_restore_it_with_few_slots():
    harness = PlannerHarness(planner_config(), entries=[entry(number) for number in range(1, 6)])
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
        ([(1, 9, 9, 0.0, 1000.0, {})], True),  # health checks pass
        ([(1, 9, 8, 90.0, 1000.0, {})], False),  # some attempts succeed: slow or full, not unreachable
        ([(number, 9, 9, 0.0, 1000.0, {"util": 1.0}) for number in range(1, 6)], False),  # the entire fleet is full
    ],
)
def test_partial_evidence_does_not_mark_an_outlier(upstream, is_healthy):
    harness = PlannerHarness(planner_config(), entries=[entry(number) for number in range(1, 6)])
    harness.settle()
    for _ in range(8):
        harness.run_interval(
            upstream_stats=upstream, health_checks=[(row[0], is_healthy, 300.0, {}) for row in upstream]
        )
    assert not any(harness.endpoint(number).is_outlier for number in range(1, 6))
