"""Estimated start times of endpoints under stepped wall clocks."""

import pytest

from quillstep.controller.start_times import ListedEndpoint, StartTimes

HOUR_MS = 3.6e6
DAY_MS = 24 * HOUR_MS
UNIX_MS = 1.8e12  # Unix time at the monotonic time NOW_MS, by a right clock
NOW_MS = 5.0e6
RETENTION_MS = 30_000.0


def start_times(own_step_ms=0.0):
    return StartTimes(NOW_MS - (UNIX_MS + own_step_ms), RETENTION_MS)


def listed(name, age_ms=None, state="in_service"):
    return ListedEndpoint(name, "a", state, 1.0, 0 if age_ms is None else UNIX_MS - age_ms)


def ages(times, *entries, at_ms=NOW_MS, is_complete=False):
    """Returns the estimated ages; None for an endpoint that started long ago."""
    converted = times.to_entries(list(entries), is_complete, at_ms)
    return {each.endpoint: at_ms - each.started_ms if each.started_ms else None for each in converted}


def test_the_ages_of_the_initial_list_count_from_the_start_of_the_controller():
    initial = [listed("old"), listed("x", 9000.0), listed("y", 4000.0), listed("newest", -1000.0)]
    assert ages(start_times(), *initial) == {"old": None, "x": 0.0, "y": 0.0, "newest": 0.0}


@pytest.mark.parametrize("step_ms", [HOUR_MS, 5000.0, -5000.0, -HOUR_MS])
def test_a_step_of_this_machines_clock_makes_no_endpoint_look_older_than_it_is(step_ms):
    true_ages = {"x": 9000.0, "y": 4000.0, "z": 100.0}
    estimated = ages(start_times(step_ms), *(listed(name, age_ms) for name, age_ms in true_ages.items()))
    assert all(0.0 <= estimated[name] <= true_ages[name] for name in true_ages)


@pytest.mark.parametrize("own_step_ms", [0.0, HOUR_MS])
@pytest.mark.parametrize("listed_step_ms", [-5000.0, -30_000.0, -HOUR_MS])
def test_a_start_listed_by_a_stepped_clock_does_not_look_older_than_it_is(own_step_ms, listed_step_ms):
    # All that a controller knows at its start is the list, in which any machine's clock may be wrong.
    stepped = listed("x", 100.0 - listed_step_ms)
    assert ages(start_times(own_step_ms), stepped, listed("y", 50.0))["x"] <= 100.0


def test_a_start_that_no_step_explains_is_trusted():
    # Otherwise each restart of a controller would limit a fleet that has been up for days.
    estimated = ages(start_times(), listed("x", 72 * HOUR_MS), listed("y", 3 * HOUR_MS))
    assert estimated == {"x": 72 * HOUR_MS, "y": 3 * HOUR_MS}


@pytest.mark.parametrize("step_ms", [HOUR_MS, -HOUR_MS])
def test_one_start_listed_by_a_stepped_clock_makes_no_other_endpoint_look_older(step_ms):
    estimated = ages(start_times(), listed("x", 9000.0), listed("stepped", 2000.0 - step_ms), listed("y", 50.0))
    assert estimated["x"] <= 9000.0 and estimated["y"] <= 50.0


@pytest.mark.parametrize("age_ms", [-HOUR_MS, 0.0, 3000.0, 2 * HOUR_MS])
def test_a_start_counts_from_the_time_it_was_first_seen_whatever_time_is_listed(age_ms):
    times = start_times()
    ages(times, listed("x"), listed("y", HOUR_MS))
    assert ages(times, listed("x", age_ms), listed("new", age_ms), at_ms=NOW_MS + 10.0) == {"x": 0.0, "new": 0.0}
    assert ages(times, listed("y", age_ms), at_ms=NOW_MS + 20.0) == {"y": 0.0}


def test_an_estimate_stays_while_the_listed_start_does():
    times = start_times()
    ages(times, listed("x", DAY_MS), listed("y", 0.0))
    draining = [listed("x", DAY_MS, "terminating"), listed("y", 0.0, "terminating")]
    assert ages(times, *draining, at_ms=NOW_MS + 700.0) == {"x": DAY_MS + 700.0, "y": 700.0}


@pytest.mark.parametrize("is_complete", [True, False])
def test_an_endpoint_that_returns_with_the_same_start_has_not_restarted_unless_it_was_away_for_long(is_complete):
    for away_ms, expected in ((RETENTION_MS - 1.0, RETENTION_MS - 1.0), (RETENTION_MS, 0.0)):
        times = start_times()
        ages(times, listed("x", 9000.0), listed("y"))
        removal = [listed("y")] if is_complete else [listed("x", 9000.0, "terminated")]
        ages(times, *removal, is_complete=is_complete)
        ages(times, listed("y"), at_ms=NOW_MS + away_ms)
        assert ages(times, listed("x", 9000.0), at_ms=NOW_MS + away_ms) == {"x": expected}


def test_endpoints_that_are_replaced_all_the_time_take_no_more_memory():
    times = start_times()
    for number in range(200):
        at_ms = NOW_MS + 1000.0 * number
        times.to_entries([listed(f"s{number}", 0.0), listed(f"s{number - 1}", 0.0, "terminated")], False, at_ms)
    assert len(times.known) < 40
