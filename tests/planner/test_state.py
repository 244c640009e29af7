"""State changes by observations, and the tables derived from the configuration."""

from planner_harness import PlannerHarness, class_config, entry, planner_config


def test_a_failed_health_check_counts_as_full_load():
    # An overloaded endpoint that stops responding must not keep its last, lower load.
    harness = PlannerHarness(planner_config(load_from_health_checks=True), entries=[entry(1), entry(2)])
    harness.run_interval(health_checks=[(1, True, 3.0, {"util": 0.4}), (2, False, 500.0, {})])
    assert (harness.endpoint(1).utilization, harness.endpoint(2).utilization) == (0.4, 1.0)


def test_home_zone_classes_have_a_table_per_zone_and_other_classes_share_one():
    config = planner_config(
        classes=[class_config(), class_config(semantics="keyed", idempotency_scope="zone", home_zone_only=True)]
    )
    harness = PlannerHarness(config, entries=[entry(1, zone="a"), entry(2, zone="b")])
    assert harness.slots(0).keys() == {1, 2} and harness.slots(1).keys() == {1} and harness.slots(2).keys() == {2}
    assert [call[2:] for call in harness.written_at_start if call[:2] == ("assign_table", 0)] == [(0, [0]), (1, [1])]
