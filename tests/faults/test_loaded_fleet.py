"""Real controllers and a fleet under load; by hand: LOADED_SEEDS=1-50 pytest tests/faults/test_loaded_fleet.py."""

import os

import pytest
from faults.loaded_fleet import Plan, play

DEFAULT_SEEDS = "1-1"


def seeds():
    first, _, last = os.environ.get("LOADED_SEEDS", DEFAULT_SEEDS).partition("-")
    return range(int(first), int(last or first) + 1)


def test_no_endpoint_is_overloaded_where_a_release_restarts_the_whole_fleet(tmp_path):
    # No endpoint is warm for some seconds: limits must follow what the cold ones can do.
    plan = Plan(seed=1, load=0.62, crash_at_s=3.0, crashed=14, kills=[(8.0, 0, False)])
    violations = play(tmp_path, plan)
    assert not violations, violations


@pytest.mark.parametrize("seed", seeds())
def test_rules_hold_under_load_and_faults(tmp_path, seed):
    plan = Plan.drawn(seed)
    violations = play(tmp_path, plan)
    assert not violations, f"{plan}: {violations[:10]}"
