"""Admission limits and retry policies under overload."""

import pytest
from planner_harness import PlannerHarness, class_config, entry, planner_config

from quillstep.planner.state import SETTLING_INTERVALS


@pytest.mark.parametrize("admission", ["share", "rate"])
def test_overload_sheds_the_lowest_priority_first_and_restricts_retries(admission):
    harness = PlannerHarness(planner_config(admission=admission), entries=[entry(1), entry(2)])
    harness.settle(util=0.4)
    unloaded = harness.limits()
    harness.capacity.learned.per_proxy /= 3.0
    harness.settle(util=0.9, intervals=1)
    low, high = harness.limits()
    assert 0 < low[0] < unloaded[0][0] and high[0] == unloaded[1][0]
    assert (unloaded[0][1], unloaded[1][1]) == (2, 1) and low[1] < 2


@pytest.mark.parametrize(
    ("request_rates", "share", "limit"),
    [([2, 2, 20], 0.5, 8), ([8, 8, 8], 0.5, 4), ([0, 0, 12], 0.25, 3), ([5], 1.0, 1e6)],
)
def test_rate_limits_are_max_min_fair(request_rates, share, limit):
    harness = PlannerHarness(planner_config(admission="rate"), entries=[entry(1)], proxies=len(request_rates))
    for proxy, rate in zip(harness.fleet.proxies.values(), request_rates, strict=True):
        proxy.request_rates[0] = float(rate)
    assert harness.admission.admission_limit(0, share) == pytest.approx(limit)


@pytest.mark.parametrize(("fresh", "limited"), [(False, True), (True, False)])
def test_the_load_of_a_migrating_proxy_counts_as_new_load(fresh, limited):
    # A busy proxy may migrate from a controller that sheds most of its load to one that sheds nothing.
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
        ({"semantics": "keyed", "idempotency_window_ms": 2000.0}, 1),  # a stalled proxy could retry after the window
        ({"semantics": "keyed", "idempotency_scope": "zone"}, 1),  # another zone does not recognise the key
        ({"semantics": "keyed", "idempotency_scope": "zone", "home_zone_only": True}, 2),
        ({"semantics": "keyed", "idempotency_scope": "cell", "home_zone_only": True}, 1),
    ],
)
def test_the_retry_policy_follows_semantics_scope_and_window(row, retry_policy):
    harness = PlannerHarness(planner_config(classes=[class_config(**row)]), entries=[entry(1), entry(2)])
    assert harness.limits()[0][1] == 1  # retries are restricted while the fleet settles after a start
    for _ in range(SETTLING_INTERVALS + 1):
        harness.run_interval()
    assert harness.limits()[0][1] == retry_policy


@pytest.mark.parametrize(("admitted_share", "first_attempts"), [(1.0, 20.0), (0.5, 20.0 / 1.75), (0.0, 20.0 / 3.0)])
def test_repeats_of_rejected_requests_are_not_counted_as_demand(admitted_share, first_attempts):
    # Otherwise load would be shed while endpoints are idle.
    harness = PlannerHarness(planner_config(), entries=[entry(1), entry(2)])
    harness.settle()
    harness.fleet.classes[0].smoothed_admitted_share = admitted_share
    rate = harness.fleet.request_rates()[0]
    assert harness.admission.first_attempt_rates()[0] == pytest.approx(rate * first_attempts / 20.0)


@pytest.mark.parametrize(("util", "gain"), [(0.6, 1.05), (0.8, 1.0)])
def test_rate_limits_rise_while_goodput_is_below_the_allowed_rate_and_load_is_low(util, gain):
    # Uneven arrivals use up only some of the rate limits, so less than their sum is admitted.
    harness = PlannerHarness(planner_config(admission="rate"), entries=[entry(1), entry(2)])
    harness.settle(util=util)
    harness.admission.admitted_fraction, harness.admission.min_admitted_fraction = 0.5, 0.0
    harness.capacity.goodput_per_s = 1.0
    harness.capacity.learned.per_proxy *= 0.7
    harness.admission.update(harness.now_ms, is_interval_due=True)
    assert harness.admission.rate_gain == pytest.approx(gain)
    limit = harness.admission.admission_limit(0, 0.5)
    harness.admission.rate_gain = 1.0
    assert limit == pytest.approx(gain * harness.admission.admission_limit(0, 0.5))


@pytest.mark.parametrize(("util", "recovers"), [(0.4, True), (0.9, False)])
def test_admission_recovers_without_load_regardless_of_repeated_requests(util, recovers):
    # Repeats of rejected requests look like demand, and would keep the limits low.
    harness = PlannerHarness(planner_config(admission="rate"), [entry(1), entry(2)])
    harness.settle(util=0.6)
    harness.admission.admitted_fraction = harness.admission.min_admitted_fraction = 0.3
    upstream = [(number, 2, 0, 200.0, 1000.0, {"util": util}) for number in (1, 2)]
    for _ in range(8):
        harness.run_interval(upstream_stats=upstream, downstream_stats=[(0, n, 60, 0, 1000.0) for n in (0, 1)])
    assert (harness.admission.admitted_fraction == 1.0) == recovers
