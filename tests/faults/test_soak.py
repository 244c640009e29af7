"""The soak: seeded runs of real controllers under faults; by hand: SOAK_SEEDS=1-50 pytest tests/faults/test_soak.py."""

import os

import pytest
from faults.soak import Fleet

DEFAULT_SEEDS = "1-3"


def seeds():
    first, _, last = os.environ.get("SOAK_SEEDS", DEFAULT_SEEDS).partition("-")
    return range(int(first), int(last or first) + 1)


@pytest.mark.parametrize("seed", seeds())
def test_rules_hold_and_the_fleet_converges_under_faults(tmp_path, seed):
    fleet = Fleet(tmp_path, seed)
    violations = fleet.run()
    assert not violations, f"seed {seed}: {violations}\nfaults: {fleet.events}"
