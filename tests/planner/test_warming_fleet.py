"""Fleets in virtual time whose endpoints are restarted; by hand: WARMING_SEEDS=1-500 pytest this file."""

import os
from random import Random

import pytest
from warming_fleet import WarmingFleet

DEFAULT_SEEDS = "1-8"
ENDPOINTS, GROUP, GROUP_INTERVAL_S = 30, 5, 2.41
LENGTH_S = 60.0


def seeds():
    first, _, last = os.environ.get("WARMING_SEEDS", DEFAULT_SEEDS).partition("-")
    return range(int(first), int(last or first) + 1)


def drawn_fleet(seed, released):
    """Returns a fleet of a drawn size and load, with a release, and perhaps a crash and a restarted controller."""
    draw = Random(f"warming fleet {seed}")
    fleet = WarmingFleet(
        seed,
        proxies=draw.choice([14, 40, 150, 150, 400]),
        endpoints=ENDPOINTS,
        load=draw.uniform(0.45, 0.7),
        admission=draw.choice(["rate", "rate", "share"]),
    )
    if draw.random() < 0.5:
        fleet.crash(8.2, draw.sample(sorted(fleet.endpoints), 14))
    if draw.random() < 0.6:
        fleet.restart_controller(draw.choice([20.57, 20.57, 28.0, 34.0, 38.0]), 0)
    fleet.release(24.9, draw.sample(sorted(fleet.endpoints), released), GROUP, GROUP_INTERVAL_S)
    return fleet


@pytest.mark.parametrize("seed", seeds())
def test_no_warming_endpoint_is_overloaded_while_the_whole_fleet_is_restarted(seed):
    overloaded = drawn_fleet(seed, ENDPOINTS).run(LENGTH_S)
    assert not overloaded, f"time, endpoint, age, multiple: {overloaded}"


@pytest.mark.parametrize("seed", seeds())
def test_no_warming_endpoint_is_overloaded_while_half_of_the_fleet_is_restarted(seed):
    overloaded = drawn_fleet(seed, ENDPOINTS // 2).run(LENGTH_S)
    assert not overloaded, f"time, endpoint, age, multiple: {overloaded}"


@pytest.mark.parametrize("seed", [1, 4, 17, 23])
def test_no_warming_endpoint_is_overloaded_where_all_controllers_restart_during_a_release(seed):
    draw = Random(seed * 104729)
    proxies, load = draw.choice([14, 40, 150, 150, 400]), draw.uniform(0.45, 0.7)
    controllers, admission = draw.choice([1, 2, 2, 3]), draw.choice(["rate", "rate", "share"])
    fleet = WarmingFleet(seed, proxies, ENDPOINTS, load, controllers, admission=admission)
    names = sorted(fleet.endpoints)
    draw.shuffle(names)
    draw.uniform(15.0, 40.0)
    fleet.release(24.9, names[: draw.choice([15, 25, 30])], draw.choice([3, 5, 6, 10]), GROUP_INTERVAL_S)
    killed_s = 24.9 + draw.uniform(-4.0, 20.0)
    for index in range(controllers):
        fleet.restart_controller(killed_s, index)
    overloaded = fleet.run(LENGTH_S)
    assert not overloaded, f"time, endpoint, age, multiple: {overloaded}"
