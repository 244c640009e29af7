"""Slots of each endpoint, and which endpoints have slots."""

import pytest
from planner_harness import PlannerHarness, entry, planner_config


def test_slots_are_proportional_to_q_value_times_listed_weight_and_at_least_one():
    harness = PlannerHarness(
        planner_config(), entries=[entry(1, weight=3.0), entry(2, weight=1.0), entry(3, weight=0.0001)]
    )
    harness.settle()
    assert harness.slots() == {1: 22, 2: 7, 3: 1}


def test_a_warming_endpoint_has_no_slots_until_capacity_is_learned_after_a_start():
    # Guards against overloading a warming endpoint when a controller restarts during overload.
    harness = PlannerHarness(planner_config(), entries=[entry(1), entry(2, started=500.0)])
    assert harness.slots() == {1: 10}


def test_outliers_stay_in_a_table_that_would_otherwise_be_empty():
    harness = PlannerHarness(planner_config(), entries=[entry(number) for number in range(1, 5)])
    harness.settle()
    for number in range(1, 5):
        harness.endpoint(number).is_outlier = True
    harness.run_interval()
    assert set(harness.slots()) == {1, 2, 3, 4}


@pytest.mark.parametrize("age", [0.0, 11000.0])
def test_a_warming_endpoint_has_no_slots_under_overload_until_it_is_warm(age):
    # Under overload proxies would avoid all endpoints except the warming one, which would then fail.
    harness = PlannerHarness(planner_config(), entries=[entry(1), entry(2), entry(3)])
    harness.settle()
    harness.capacity.effective_utilization = 1.5
    harness.observe(endpoint_lists=[("partial", [entry(1, started=harness.now_ms - age)])], after=700.0)
    assert 1 not in harness.slots()
    harness.run_interval()
    harness.observe(after=18000.0 - age)
    assert harness.slots()[1] >= 1


def test_a_warming_endpoint_has_no_slots_while_requests_are_shed():
    # Guards against adding warming endpoints while the fleet is close to its capacity.
    harness = PlannerHarness(planner_config(), entries=[entry(1), entry(2), entry(3)])
    harness.settle(util=0.8, attempts=10)
    harness.capacity.learned.per_proxy *= 0.9
    harness.run_interval(endpoint_lists=[("partial", [entry(1, started=harness.now_ms)])])
    assert harness.admission.admitted_fraction < 1.0 and 1 not in harness.slots()


def test_a_warming_endpoint_has_no_slots_while_many_attempts_fail():
    # When connections fail at low load, proxies avoid all endpoints except the warming ones.
    harness = PlannerHarness(planner_config(), entries=[entry(1), entry(2), entry(3)])
    harness.settle(util=0.5, failures=4)
    harness.run_interval(endpoint_lists=[("partial", [entry(1, started=harness.now_ms)])])
    assert (
        harness.capacity.effective_utilization < 0.7
        and harness.admission.admitted_fraction == 1.0
        and 1 not in harness.slots()
    )


def test_a_fleet_without_warm_endpoints_uses_the_warming_ones():
    warming = [entry(number, started=900.0) for number in range(1, 11)]
    harness = PlannerHarness(planner_config(), entries=warming)
    assert len(harness.slots()) == 10 and not any(call[0] == "set_ejected" for call in harness.written_at_start)
    harness.run_interval(proxy_streams=[(2, True, "a", 10.0, False)])
    assert len(harness.slots()) == 10 and not any(call[0] == "set_ejected" for call in harness.written)
