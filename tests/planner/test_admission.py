"""Admission limits and retry policies."""

import pytest
from planner_harness import PlannerHarness, class_config, entry, planner_config

from quillstep.planner.state import SETTLING_INTERVALS


@pytest.mark.parametrize("admission", ["share", "rate"])
def test_overload_sheds_the_least_priority_first_and_stops_retries(admission):
    harness = PlannerHarness(planner_config(admission=admission), entries=[entry(1), entry(2)])
    harness.settle(util=0.4)
    calm = harness.limits()
    harness.capacity.per_proxy /= 3.0
    harness.settle(util=0.9, intervals=1)
    low, high = harness.limits()
    assert 0 < low[0] < calm[0][0] and high[0] == calm[1][0]
    assert (calm[0][1], calm[1][1]) == (2, 1) and low[1] < 2


@pytest.mark.parametrize(
    ("arriving", "share", "limit"),
    [([2, 2, 20], 0.5, 8), ([8, 8, 8], 0.5, 4), ([0, 0, 12], 0.25, 3), ([5], 1.0, 1e6)],
)
def test_a_rate_limit_is_the_max_min_fair_one_that_fits(arriving, share, limit):
    harness = PlannerHarness(planner_config(admission="rate"), entries=[entry(1)], proxies=len(arriving))
    for proxy, each in zip(harness.fleet.proxies.values(), arriving, strict=True):
        proxy.request_rates[0] = float(each)
    assert harness.admission.admission_limit(0, share) == pytest.approx(limit)


@pytest.mark.parametrize(("fresh", "limited"), [(False, True), (True, False)])
def test_what_a_migrating_proxy_brings_counts_as_new_load(fresh, limited):
    # A busy proxy may leave a controller that sheds most for one that sheds nothing.
    harness = PlannerHarness(planner_config(), entries=[entry(1), entry(2)])
    harness.settle(util=0.6)
    harness.observe(proxy_streams=[(9, True, "a", 100.0, fresh)], after=700.0)
    assert (harness.limits()[0][0] < 0.5) == limited


@pytest.mark.parametrize(
    ("row", "retry_policy"),
    [
        ({"semantics": "safe"}, 2),
        ({"semantics": "unsafe"}, 1),
        ({"semantics": "keyed", "idempotency_window_ms": 5000.0}, 2),
        ({"semantics": "keyed", "idempotency_window_ms": 2000.0}, 1),  # a stalled proxy would repeat it too late
        ({"semantics": "keyed", "idempotency_scope": "zone"}, 1),  # another zone does not know the key
        ({"semantics": "keyed", "idempotency_scope": "zone", "home_zone_only": True}, 2),
        ({"semantics": "keyed", "idempotency_scope": "cell", "home_zone_only": True}, 1),
    ],
)
def test_the_retry_policy_follows_semantics_scope_and_window(row, retry_policy):
    harness = PlannerHarness(planner_config(classes=[class_config(**row)]), entries=[entry(1), entry(2)])
    assert harness.limits()[0][1] == 1  # the first seconds may be a storm
    for _ in range(SETTLING_INTERVALS + 1):
        harness.run_interval()
    assert harness.limits()[0][1] == retry_policy


@pytest.mark.parametrize(("admitted_share", "first_attempts"), [(1.0, 20.0), (0.5, 20.0 / 1.75), (0.0, 20.0 / 3.0)])
def test_rejected_requests_are_not_counted_each_time_they_are_repeated(admitted_share, first_attempts):
    # Repeats look like demand: load would be shed though endpoints are idle.
    harness = PlannerHarness(planner_config(), entries=[entry(1), entry(2)])
    harness.settle()
    harness.fleet.classes[0].smoothed_admitted_share = admitted_share
    rate = harness.fleet.request_rates()[0]
    assert harness.admission.first_attempt_rates()[0] == pytest.approx(rate * first_attempts / 20.0)


@pytest.mark.parametrize(("util", "gain"), [(0.6, 1.05), (0.8, 1.0)])
def test_rate_limits_rise_while_less_than_allowed_is_admitted_and_there_is_capacity(util, gain):
    # Uneven arrivals fill only some of the rate limits, so that these admit less than their sum.
    harness = PlannerHarness(planner_config(admission="rate"), entries=[entry(1), entry(2)])
    harness.settle(util=util)
    harness.admission.admitted_fraction, harness.admission.min_admitted_fraction = 0.5, 0.0
    harness.capacity.goodput_per_s = 1.0
    harness.capacity.per_proxy *= 0.7
    harness.admission.update(harness.now, is_interval_due=True)
    assert harness.admission.rate_gain == pytest.approx(gain)
    limit = harness.admission.admission_limit(0, 0.5)
    harness.admission.rate_gain = 1.0
    assert limit == pytest.approx(gain * harness.admission.admission_limit(0, 0.5))


@pytest.mark.parametrize(("util", "reopens"), [(0.4, True), (0.9, False)])
def test_limits_reopen_while_the_fleet_is_not_loaded_whatever_repeats_seem_to_demand(util, reopens):
    # Rejected requests that are repeated look like demand.
    harness = PlannerHarness(planner_config(admission="rate"), [entry(1), entry(2)])
    harness.settle(util=0.6)
    harness.admission.admitted_fraction = harness.admission.min_admitted_fraction = 0.3
    upstream = [(at, 2, 0, 200.0, 1000.0, {"util": util}) for at in (1, 2)]
    for _ in range(8):
        harness.run_interval(upstream_stats=upstream, downstream_stats=[(0, n, 60, 0, 1000.0) for n in (0, 1)])
    assert (harness.admission.admitted_fraction == 1.0) == reopens
