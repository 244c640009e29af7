"""Endpoints that have just been put into the tables: their load reports say nothing of the traffic that they get."""

import pytest
from planner_harness import PlannerHarness, entry, planner_config

from quillstep.planner.admission import ADMISSION_RECOVERY_FRACTION
from quillstep.planner.capacity import warm_up_fraction
from quillstep.planner.messages import EndpointListUpdate

ENDPOINTS, REQUESTS = 4, 20
IDLE, BUSY, FULL = 0.05, 0.6, 1.0
WARM_UP_MS = 90_000.0


def restarted_fleet():
    """Returns a fleet that sheds some load, and whose endpoints are then restarted and put into the tables at once."""
    names = [f"s{number}" for number in range(ENDPOINTS)]
    harness = PlannerHarness(planner_config(warm_up_ms=WARM_UP_MS), [entry(name) for name in names])
    harness.settle(util=BUSY, attempts=REQUESTS)
    harness.settle(util=FULL, attempts=REQUESTS, failures=REQUESTS // 4, intervals=4)
    harness.observe(after=10.0, endpoint_lists=[("partial", [entry(name, state="terminating") for name in names])])
    started = [entry(name, started=harness.now_ms + 10.0) for name in names]
    harness.observe(after=10.0, endpoint_lists=[("partial", started)])
    harness.run_interval()
    run_intervals(harness, 1, None)
    assert len(harness.slots()) == ENDPOINTS
    return harness


def run_intervals(harness, count, util):
    """Passes reports of the attempts that proxies made before the restart, and health checks of each endpoint."""
    for _ in range(count):
        fleet = harness.fleet
        harness.run_interval(
            upstream_stats=[(name, REQUESTS, 0, 200.0, 1000.0, {}) for name in fleet.endpoints],
            health_checks=[(name, True, 5.0, {} if util is None else {"util": util}) for name in fleet.endpoints],
            downstream_stats=[(index, proxy, REQUESTS, 0, 1000.0) for index in (0, 1) for proxy in fleet.proxies],
        )


def test_no_capacity_is_learned_from_endpoints_that_have_just_been_put_into_the_tables():
    harness = restarted_fleet()
    learned = harness.capacity.per_proxy
    run_intervals(harness, 2, IDLE)
    assert harness.capacity.per_proxy == pytest.approx(learned)


@pytest.mark.parametrize("util", [None, IDLE])
def test_admission_does_not_recover_by_the_load_of_endpoints_that_have_just_been_put_into_the_tables(util):
    harness = restarted_fleet()
    admitted, capacity = harness.admission.admitted_fraction, present_capacity(harness)
    assert admitted < 0.8
    run_intervals(harness, 3, util)
    growth = present_capacity(harness) / capacity  # the endpoints are warming up
    assert harness.admission.admitted_fraction < admitted * growth + ADMISSION_RECOVERY_FRACTION


def test_endpoints_that_no_table_lists_yet_are_no_capacity():
    # The first one that is added would get all requests that the others are to share.
    names = [f"s{number}" for number in range(ENDPOINTS)]
    harness = PlannerHarness(planner_config(), [entry(name) for name in names])
    harness.settle(util=BUSY, attempts=REQUESTS)
    harness.observe(after=10.0, endpoint_lists=[("partial", [entry(name, state="terminating") for name in names])])
    waiting = [entry(f"new{number}", started=harness.now_ms) for number in range(ENDPOINTS)]
    harness.planner.fleet.apply_endpoint_list(EndpointListUpdate("partial", waiting), harness.now_ms)
    harness.admission.update(harness.now_ms, True)
    assert harness.admission.admitted_fraction == 0.0


def present_capacity(harness):
    return sum(warm_up_fraction(harness.config, each, harness.now_ms) for each in harness.fleet.endpoints.values())


def test_warming_endpoints_stay_in_the_tables_until_warm_ones_are_in_use():
    # A join holds them back.  The warm one, a new endpoint, follows only when there is room for it.
    harness = restarted_fleet()
    warm = entry("new")
    harness.observe(after=10.0, endpoint_lists=[("partial", [warm])], proxy_streams=[(7, True, "a", 10.0, False)])
    assert harness.slots()


def test_attempts_at_endpoints_that_have_left_do_not_raise_the_capacity_that_limits_depend_on():
    # A release drains the warm endpoints one by one; limits for the warming ones then depend on what was learned.
    names = [f"s{number}" for number in range(ENDPOINTS)]
    harness = PlannerHarness(planner_config(), [entry(name) for name in names])
    harness.settle(util=BUSY, attempts=REQUESTS)
    learned = harness.capacity.per_proxy
    for name in names:
        drained = ("partial", [entry(name, state="terminating")])
        harness.observe(after=10.0, endpoint_lists=[drained])
        run_intervals(harness, 2, BUSY)  # the attempts reported are those of all endpoints, as before
    assert not harness.capacity.is_measured
    assert harness.capacity.per_proxy < 1.1 * learned


def test_a_controller_that_starts_learns_no_capacity_from_warming_endpoints_it_has_just_published():
    # The tables of the controller before it may not have listed them: their load would be that of idle endpoints.
    started = [entry(f"s{number}", started=900.0) for number in range(ENDPOINTS)]
    harness = PlannerHarness(planner_config(warm_up_ms=WARM_UP_MS), started)
    run_intervals(harness, 4, IDLE)
    assert harness.capacity.per_proxy == 0.0 and not harness.capacity.is_measured
