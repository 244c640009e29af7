"""Which changes are published to the proxies, and in which order."""

import pytest
from planner_harness import PlannerHarness, entry, planner_config

from quillstep.planner.endpoint_changes import DELISTED_RETENTION_MS
from quillstep.planner.outliers import endpoints_in_use
from quillstep.planner.state import CONTROL_INTERVAL_MS

RETENTION_INTERVALS = int(DELISTED_RETENTION_MS / CONTROL_INTERVAL_MS)


@pytest.mark.parametrize(("factor", "is_published"), [(1.05, False), (1.5, True)])
def test_only_changes_above_ten_percent_are_published(factor, is_published):
    harness = PlannerHarness(planner_config(), entries=[entry(number) for number in range(1, 11)])
    harness.settle()
    harness.endpoint(1).q_value *= factor
    harness.run_interval()
    assert any(call[:3] == ("set_weight", 0, 1) for call in harness.written) == is_published


@pytest.mark.parametrize(
    ("kind", "entries"),
    [
        ("partial", [entry(1, state="terminating")]),
        ("partial", [entry(1, state="terminated")]),
        ("complete", [entry(2)]),
        ("persisted", [entry(2), entry(1, state="terminating")]),
    ],
)
def test_a_drain_or_failure_is_published_at_once(kind, entries):
    harness = PlannerHarness(planner_config(), entries=[entry(1), entry(2)])
    harness.settle()
    harness.observe(after=700.0, endpoint_lists=[(kind, entries)])
    assert ("set_ejected", 1, True) in harness.written


def test_a_nearly_full_channel_accepts_failures_but_not_ordinary_changes():
    harness = PlannerHarness(planner_config(), entries=[entry(number) for number in range(1, 6)])
    harness.settle()
    harness.budget.written_lines += 3400.0
    harness.endpoint(2).q_value *= 1.5
    harness.observe(endpoint_lists=[("partial", [entry(1, state="terminated")])], after=700.0)
    written = [call for call in harness.written if call[0] in ("set_weight", "set_ejected")]
    assert written == [("set_ejected", 1, True)]


def test_a_restored_endpoint_is_not_starved_by_larger_changes():
    # Guards against endpoints that stay ejected although the channel has capacity.
    harness = PlannerHarness(
        planner_config(max_queued_lines=500.0, channel_lines_per_s=300.0), [entry(number) for number in range(30)], 10
    )
    for _ in range(40):
        harness.run_interval()
    harness.observe(endpoint_lists=[("partial", [entry(7, state="terminated")])], after=20000.0)
    harness.observe(after=15000.0)
    for number in range(30):
        harness.endpoint(number).q_value = 1.0 if number == 7 else 0.5 + number / 30.0
    harness.run_interval(endpoint_lists=[("partial", [entry(7)])])
    assert ("set_ejected", 7, False) in harness.written and not any(harness.endpoint(n).is_ejected for n in range(30))


def test_between_intervals_only_drains_are_published():
    # Drains would wait behind ordinary changes published together with them.
    harness = PlannerHarness(planner_config(), entries=[entry(number) for number in range(1, 6)])
    harness.settle()
    harness.endpoint(2).q_value *= 1.5
    harness.observe(endpoint_lists=[("partial", [entry(1, state="terminating"), entry(9)])], after=300.0)
    assert [call for call in harness.written if call[0] in ("set_weight", "set_ejected")] == [("set_ejected", 1, True)]
    assert {2, 9} <= {call[2] for call in harness.run_interval() if call[0] == "set_weight"}


def test_added_endpoints_precede_changes_and_count_as_in_use_once_published():
    # Unpublished replacements are idle, and must not hide that all other endpoints are full.
    harness = PlannerHarness(
        planner_config(max_queued_lines=500.0, channel_lines_per_s=300.0), [entry(number) for number in range(30)], 10
    )
    harness.settle(util=0.9, intervals=40)
    harness.observe(after=20000.0)
    for number in range(30):
        harness.endpoint(number).q_value = 0.5 + number / 30.0
    harness.observe(endpoint_lists=[("partial", [entry(number) for number in range(50, 70)])])
    assert len(endpoints_in_use(harness.fleet)) == 30 and harness.capacity.mean_utilization > 0.8
    harness.run_interval()
    changed = [call[2] for call in harness.written if call[0] == "set_weight"]
    assert changed and min(changed) >= 50 and len(endpoints_in_use(harness.fleet)) == 30 + len(changed)


def test_delisted_endpoints_are_removed_once_all_proxies_have_the_calendar():
    # Endpoints are replaced under new ids all the time; tables must not grow.
    harness = PlannerHarness(planner_config(), [entry(number) for number in range(6)], proxies=2)
    for new in range(200):
        harness.run_interval(endpoint_lists=[("partial", [entry(6 + new), entry(new, state="terminated")])])
    max_endpoints = 6 + 2 * RETENTION_INTERVALS
    assert len(harness.fleet.endpoints) <= max_endpoints and 199 in harness.fleet.endpoints
    harness.run_interval(endpoint_lists=[("complete", [entry(number) for number in range(200, 206)])])
    harness.fleet.proxies[0].has_calendar = False
    assigner = harness.planner.assigner
    assigner.assign_calendar = assigner.assign_subsets = lambda proxies, output: 0
    for _ in range(2 * RETENTION_INTERVALS):
        harness.run_interval()
    assert 199 in harness.fleet.endpoints, "a proxy without the calendar may still use the endpoint"
    harness.fleet.proxies[0].has_calendar = True
    harness.run_interval()
    assert 199 not in harness.fleet.endpoints
    assert ("set_weight", 0, 199, 0) in harness.written and ("set_ejected", 199, False) in harness.written
