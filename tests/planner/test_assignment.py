"""Assignment of the calendar and its subsets to proxies."""

import pytest
from planner_harness import ChannelModel, PlannerHarness, entry, planner_config

from quillstep.planner.assignment import FIRST_SUBSET_TABLE
from quillstep.planner.messages import EndpointListUpdate


def test_a_proxy_is_assigned_its_tables_each_time_it_joins():
    harness = PlannerHarness(planner_config(), entries=[entry(1)])
    harness.observe(proxy_streams=[(0, False, "", 0.0, False), (0, True, "a", 5.0, False)])
    assert [call[:2] for call in harness.written if call[0] == "assign_table"] == [("assign_table", 0)]


def test_proxies_that_join_while_endpoints_are_ejected_are_assigned_a_subset_first():
    # Proxies that rejoin after a zone failed may hold only endpoints of that zone.
    limits = planner_config(channel_lines_per_s=2700.0, max_queued_lines=4200.0, lines_per_message=3.0)
    harness = PlannerHarness(limits, entries=[entry(number, zone="ab"[number % 2]) for number in range(100)], proxies=0)
    harness.observe(endpoint_lists=[("partial", [entry(number, state="terminated") for number in range(20)])])
    channel = ChannelModel(harness, 1.0)
    for step in range(14):
        channel.observe(100.0, proxy_streams=[(n, True, "b", 5.0, True) for n in range(100)] if step == 0 else [])
        assignments = [call for call in harness.written if call[0] == "assign_table"]
        for _, proxy, table, _ in assignments if step == 0 else []:
            subset = channel.table_endpoints[table]
            assert table >= FIRST_SUBSET_TABLE and 5 <= len(subset) <= 10 and min(subset) >= 20, proxy
    proxies = harness.fleet.proxies
    assert all(proxy.subsets or proxy.has_calendar for proxy in proxies.values()) and channel.max_queued_lines < 4200.0
    # A proxy without the calendar is assigned another subset when all endpoints of its subset are ejected.
    last_proxy, subsets = next((n, proxy.subsets) for n, proxy in proxies.items() if not proxy.has_calendar)
    channel.observe(100.0, endpoint_lists=[("partial", [entry(number, state="terminated") for number in subsets[0]])])
    channel.observe(300.0)
    assert proxies[last_proxy].has_calendar or not set(proxies[last_proxy].subsets[0]) & set(subsets[0])


def test_a_rewritten_subset_replaces_the_previous_one():
    harness = PlannerHarness(planner_config(), [entry(number) for number in range(20)], proxies=0)
    harness.run_interval(endpoint_lists=[("partial", [entry(0, state="terminated")])])
    written = {}
    for terminated in (1, 8, 15):
        harness.observe(proxy_streams=[(3, True, "a", 5.0, False)], after=100.0)
        for call in harness.written:
            if call[0] == "set_weight" and call[1] >= FIRST_SUBSET_TABLE:
                written[call[2]] = call[3]
        subset = {endpoint for endpoint, weight in written.items() if weight}
        assert subset == set(harness.fleet.proxies[3].subsets[0])
        harness.observe(
            proxy_streams=[(3, False, "", 0.0, False)],
            endpoint_lists=[("partial", [entry(terminated, state="terminated")])],
        )


@pytest.mark.parametrize("drains", [True, False])
def test_all_proxies_that_join_at_once_are_assigned_a_table_within_the_drain_grace(drains):
    """Guards against a full channel while a proxy still uses an endpoint that is no longer in service.

    With drains: they would fill the channel if they were sent to each joined proxy.  Without drains: the calendars for
    all proxies that join would fill it, while a proxy may use an endpoint delisted before its controller started.
    """
    limits = planner_config(channel_lines_per_s=3000.0, max_queued_lines=36000.0, drain_grace_ms=9000.0)
    harness = PlannerHarness(limits, entries=[entry(number) for number in range(100)], proxies=20)
    channel = ChannelModel(harness, 1.0)
    for _ in range(30):
        channel.observe(100.0)
    start_ms = harness.now_ms
    for step in range(150):
        streams = [(n, True, "b", 5.0, False) for n in range(20, 420)] if step == 0 else []
        draining = range(4 * step // 5, 4 * step // 5 + 8) if drains and step % 10 == 0 and step <= 80 else ()
        lists = [("partial", [entry(n, state="terminating") for n in draining])] if draining else []
        channel.observe(100.0, proxy_streams=streams, endpoint_lists=lists)
    late = [n for n in range(20, 420) if channel.first_sent_ms.get(n, start_ms + 15000.0) - start_ms > 9000.0]
    assert not late and channel.max_queued_lines <= limits.max_queued_lines
    assert all(harness.endpoint(n).is_ejected for n in range(72)) or not drains


def test_ejections_take_lines_only_for_affected_proxies_and_subsets_omit_draining_endpoints():
    harness = PlannerHarness(planner_config(), entries=[entry(number) for number in range(40)], proxies=6)
    for proxy in harness.fleet.proxies.values():
        proxy.has_calendar, proxy.subsets = False, [[0, 1, 2]]
    harness.budget.sent_lines = harness.budget.written_lines
    written = harness.budget.written_lines
    harness.fleet.apply_endpoint_list(EndpointListUpdate("partial", [entry(9, state="terminating")]), harness.now_ms)
    harness.planner.publisher.publish_changes(harness.now_ms, False, False, harness)
    assert (
        "set_ejected",
        9,
        True,
    ) in harness.written and harness.budget.written_lines == written  # no proxy's subset lists it
    draining = [entry(number, state="terminating") for number in range(12)]
    harness.fleet.apply_endpoint_list(EndpointListUpdate("partial", draining), harness.now_ms)
    for proxy in harness.fleet.proxies.values():
        proxy.subsets = []
    harness.planner.assigner.assign_subsets(list(harness.fleet.proxies), harness)
    assert all(subset and min(subset) >= 12 for proxy in harness.fleet.proxies.values() for subset in proxy.subsets)


def test_a_subset_of_warming_endpoints_is_assigned_with_the_present_limits():
    # A proxy on a subset waits for seconds for the calendar: without limits it would overload the warming endpoints.
    names = [f"s{number}" for number in range(6)]
    harness = PlannerHarness(planner_config(), [entry(name, started=900.0) for name in names])
    harness.observe(after=10.0, endpoint_lists=[("partial", [entry("s0", state="terminating")])])
    joins = [(number, True, "a", 10.0, False) for number in range(10, 13)]
    harness.observe(after=10.0, proxy_streams=joins)
    assigned = {call[2] for call in harness.written if call[0] == "assign_table" and call[2] >= FIRST_SUBSET_TABLE}
    limited = {call[1]: call[3] for call in harness.written if call[0] == "set_admission"}
    assert len(assigned) == 3 and assigned <= limited.keys() and all(limited[table] < 0.5 for table in assigned)
