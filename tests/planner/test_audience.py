"""How many lines and messages the planner counts for an update."""

import pytest
from fleet_updates import Deployment, settled_fleet
from planner_harness import entry

ZONED = Deployment(400, 30, 2900.0, 1.5, has_zone_tables=True)


def limit_class_of_zones(fleet):
    fleet.limits[2] = 7.0


def drain_endpoint_that_no_table_lists(fleet):
    # It is warming up, and waits outside the tables until the fleet is calm.
    listed = fleet.harness.planner.calendar.slots
    fleet.harness.planner.calendar.slots = lambda zone, now_ms: {
        id_: slots for id_, slots in listed(zone, now_ms).items() if id_ != 99
    }
    fleet.change(entry(99, "a"))
    fleet.step()
    fleet.change(entry(99, "a", "terminating"))


@pytest.mark.parametrize("change", [limit_class_of_zones, drain_endpoint_that_no_table_lists])
def test_no_ack_is_awaited_from_proxies_that_get_no_message(change):
    # Guards against lines that count as queued until 10 s have passed without an ack, and keep drains back.
    fleet = settled_fleet(ZONED)
    change(fleet)
    for _ in range(40):
        fleet.step()
    assert fleet.is_settled() and fleet.harness.budget.unproven_lines == 0.0
    assert fleet.channel.max_queued_lines <= ZONED.max_queued_lines
