"""Slots by endpoint, and which endpoints hold some."""

import pytest
from planner_harness import PlannerHarness, entry, planner_config


def test_slots_follow_q_value_times_listed_weight_and_are_one_at_least():
    harness = PlannerHarness(
        planner_config(), entries=[entry(1, weight=3.0), entry(2, weight=1.0), entry(3, weight=0.0001)]
    )
    harness.settle()
    assert harness.slots() == {1: 22, 2: 7, 3: 1}


def test_a_warming_endpoint_waits_while_no_capacity_is_learned_after_a_start():
    # Guards a warming endpoint against a controller that restarts during a storm.
    harness = PlannerHarness(planner_config(), entries=[entry(1), entry(2, started=500.0)])
    assert harness.slots() == {1: 10}


def test_outliers_stay_in_a_table_that_would_be_empty_without_them():
    harness = PlannerHarness(planner_config(), entries=[entry(at) for at in range(1, 5)])
    harness.settle()
    for at in range(1, 5):
        harness.endpoint(at).is_outlier = True
    harness.run_interval()
    assert set(harness.slots()) == {1, 2, 3, 4}


@pytest.mark.parametrize("age", [0.0, 11000.0])
def test_a_warming_endpoint_waits_out_a_storm_until_it_is_warm(age):
    # In a storm proxies avoid all endpoints but the warming one, which then fails.
    harness = PlannerHarness(planner_config(), entries=[entry(1), entry(2), entry(3)])
    harness.settle()
    harness.capacity.effective_utilization = 1.5
    harness.observe(endpoint_lists=[("partial", [entry(1, started=harness.now - age)])], after=700.0)
    assert 1 not in harness.slots()
    harness.run_interval()
    harness.observe(after=18000.0 - age)
    assert harness.slots()[1] >= 1


def test_a_warming_endpoint_waits_while_requests_are_shed():
    # Guards against warming endpoints that return while the fleet is near its limit.
    harness = PlannerHarness(planner_config(), entries=[entry(1), entry(2), entry(3)])
    harness.settle(util=0.8, attempts=10)
    harness.capacity.per_proxy *= 0.9
    harness.run_interval(endpoint_lists=[("partial", [entry(1, started=harness.now)])])
    assert harness.admission.admitted_fraction < 1.0 and 1 not in harness.slots()


def test_a_warming_endpoint_waits_while_many_attempts_fail():
    # Where connections fail at a low load, proxies avoid all endpoints but the warming ones.
    harness = PlannerHarness(planner_config(), entries=[entry(1), entry(2), entry(3)])
    harness.settle(util=0.5, failures=4)
    harness.run_interval(endpoint_lists=[("partial", [entry(1, started=harness.now)])])
    assert (
        harness.capacity.effective_utilization < 0.7
        and harness.admission.admitted_fraction == 1.0
        and 1 not in harness.slots()
    )


def test_proxies_that_join_a_fleet_without_a_warm_endpoint_get_the_warming_ones():
    warming = [entry(at, started=900.0) for at in range(1, 11)]
    harness = PlannerHarness(planner_config(), entries=warming)
    assert len(harness.slots()) == 10 and not any(call[0] == "set_ejected" for call in harness.written_at_start)
    harness.run_interval(proxy_streams=[(2, True, "a", 10.0, False)])
    assert len(harness.slots()) == 10 and not any(call[0] == "set_ejected" for call in harness.written)
