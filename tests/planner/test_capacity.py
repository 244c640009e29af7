"""The learned capacity, and the capacity of warming endpoints."""

import pytest
from planner_harness import PlannerHarness, entry, planner_config

from quillstep.planner.state import SETTLING_INTERVALS


@pytest.mark.parametrize(
    ("age", "slots"), [(0.0, 3), (9000.0, 7), (18000.0, 10)], ids=["just started", "half warm", "warm"]
)
def test_the_slots_of_a_warming_endpoint_match_its_fraction_of_capacity(age, slots):
    harness = PlannerHarness(planner_config(), entries=[entry(number) for number in range(1, 11)])
    harness.settle()
    harness.observe(endpoint_lists=[("partial", [entry(1, started=harness.now_ms - age)])], after=700.0)
    assert harness.slots()[1] == slots


def test_failed_attempts_do_not_raise_the_learned_capacity():
    # Endpoints that respond to few attempts report low load; failures must not count as capacity.
    harness = PlannerHarness(planner_config(), entries=[entry(1), entry(2)])
    harness.settle(util=0.6)
    learned = harness.capacity.per_proxy
    harness.settle(util=0.5, attempts=40, failures=36)
    assert harness.capacity.per_proxy < learned and harness.limits()[0][0] < 0.5


def test_unreachable_endpoints_count_neither_as_load_nor_as_capacity():
    # A controller in a network partition with a few endpoints must not lose the learned capacity.
    harness = PlannerHarness(planner_config(), entries=[entry(number) for number in range(1, 9)])
    harness.settle(util=0.5)
    learned = harness.capacity.per_proxy
    for _ in range(8):
        reachable = [(number, 10, 0, 200.0, 1000.0, {"util": 0.5}) for number in (1, 2)]
        unreachable = [(number, 10, 10, 0.0, 1000.0, {}) for number in range(3, 9)]
        harness.run_interval(
            upstream_stats=reachable + unreachable, health_checks=[(row[0], False, 300.0, {}) for row in unreachable]
        )
    assert harness.capacity.per_proxy == pytest.approx(learned, rel=0.25)
    assert harness.capacity.mean_utilization < 0.6


def test_lost_responses_count_as_completed_work_while_there_is_capacity():
    # Lost responses must not lower the learned capacity, which would shed load, of a fleet that is not full.
    harness = PlannerHarness(planner_config(), entries=[entry(1), entry(2)])
    harness.settle(util=0.6)
    learned = harness.capacity.per_proxy
    harness.settle(util=0.6, failures=2)
    assert harness.capacity.per_proxy == pytest.approx(learned, rel=0.05)
    assert harness.admission.admitted_fraction == 1.0


def test_capacity_is_learned_per_proxy_that_has_reported():
    # After a restart most proxies have joined but few have reported: counting all would shed nearly all load.
    harness = PlannerHarness(planner_config(admission="rate"), [entry(number) for number in range(10)], proxies=0)
    harness.run_interval(proxy_streams=[(n, True, "a", 10.0, False) for n in range(40)])
    for _ in range(10):
        upstream = [(number, 2, 0, 200.0, 1000.0, {"util": 0.6}) for number in range(10)]
        harness.run_interval(upstream_stats=upstream, downstream_stats=[(0, n, 10, 0, 1000.0) for n in (0, 1)])
    assert (
        harness.admission.admitted_fraction == 1.0
        and harness.fleet.proxies[0].has_reported
        and not harness.fleet.proxies[2].has_reported
    )


def test_the_first_samples_set_the_capacity_and_shed_nothing():
    # Capacity smoothed up from zero would shed most of the load after a start.
    harness = PlannerHarness(planner_config(admission="rate"), [entry(number) for number in range(10)], proxies=0)
    harness.run_interval(proxy_streams=[(n, True, "a", 10.0, False) for n in range(40)])
    for interval in range(2 * SETTLING_INTERVALS):
        attempts = 40 if interval else 20  # some reports of the first interval are missing
        upstream = [(number, attempts, 0, 200.0, 1000.0, {"util": 0.72}) for number in range(10)]
        harness.run_interval(
            upstream_stats=upstream, downstream_stats=[(index, n, 5, 0, 1000.0) for n in range(40) for index in (0, 1)]
        )
        assert harness.admission.admitted_fraction == 1.0, interval
    assert harness.capacity.per_proxy == pytest.approx(400.0 / 0.72 / 10 / 40, rel=0.1)
