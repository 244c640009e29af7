"""The Q value update of the EJFAT paper."""

import pytest
from planner_harness import PlannerHarness, entry, planner_config

from quillstep.planner.q_learning import DISCOUNT_RATE, LEARNING_RATE


@pytest.mark.parametrize(
    ("load", "failed", "payoff"),
    [(0.0, 0, 1.0), (0.25, 0, 0.75), (1.0, 0, 0.0), (1.7, 0, 0.0), (0.0, 5, 0.25), (0.0, 10, 0.0)],
)
def test_q_values_follow_equation_1_of_the_paper(load, failed, payoff):
    harness = PlannerHarness(planner_config(), entries=[entry(1), entry(2)])
    harness.run_interval(upstream_stats=[(1, 10, failed, 100.0, 1000.0, {"util": load})])
    q = harness.endpoint(1).q_value
    alpha, gamma = LEARNING_RATE, DISCOUNT_RATE
    assert q == pytest.approx(1.0 + alpha * (payoff + gamma - 1.0))
    harness.run_interval()
    assert harness.endpoint(1).q_value == q  # a report is applied only once
    assert harness.endpoint(2).q_value is None and harness.slots() == {1: 10, 2: 10}  # without a report: the mean
