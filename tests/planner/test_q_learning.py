"""The paper's update."""

import pytest
from planner_harness import PlannerHarness, entry, planner_config

from quillstep.planner.q_learning import DISCOUNT_RATE, LEARNING_RATE


@pytest.mark.parametrize(
    ("load", "failed", "payoff"),
    [(0.0, 0, 1.0), (0.25, 0, 0.75), (1.0, 0, 0.0), (1.7, 0, 0.0), (0.0, 5, 0.25), (0.0, 10, 0.0)],
)
def test_q_value_moves_by_the_papers_equation(load, failed, payoff):
    harness = PlannerHarness(planner_config(), entries=[entry(1), entry(2)])
    harness.run_interval(upstream_stats=[(1, 10, failed, 100.0, 1000.0, {"util": load})])
    q = harness.endpoint(1).q_value
    alpha, gamma = LEARNING_RATE, DISCOUNT_RATE
    assert q == pytest.approx(1.0 + alpha * (payoff + gamma - 1.0))
    harness.run_interval()
    assert harness.endpoint(1).q_value == q  # a figure is applied once and never replayed
    assert harness.endpoint(2).q_value is None and harness.slots() == {1: 10, 2: 10}  # the unheard counts as the mean
