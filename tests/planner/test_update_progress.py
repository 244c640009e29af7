"""Each kind of update is published, at any size of the fleet and with any channel that can carry it.

A channel can carry an update at one time if one line to each proxy, with the head of its message, fits the limit of
queued lines; the fleets that are drawn are of this kind.
PROGRESS_SEEDS sets how many fleets are drawn; the default is for a short run.
"""

import os
from random import Random

import pytest
from fleet_updates import KINDS, Deployment, settled_fleet, time_to_publish

from quillstep.planner.update_budget import MAX_QUEUE_FRACTION

MAX_WAIT_S = 5.3  # the shortest time that a proxy may be without a usable endpoint
COMPETING = ("weights", "admission", "joins", "drains")
SEEDS = range(int(os.environ.get("PROGRESS_SEEDS", "40")))
MAX_PROXIES = 600  # more take too long to simulate

DEPLOYMENTS = [
    Deployment(proxies=2, endpoints=5, lines_per_s=680.0, queued_s=1.0),
    Deployment(proxies=150, endpoints=30, lines_per_s=2900.0, queued_s=1.5),
    Deployment(proxies=280, endpoints=30, lines_per_s=3400.0, queued_s=1.5),
    Deployment(proxies=400, endpoints=30, lines_per_s=2900.0, queued_s=1.5),
    Deployment(proxies=400, endpoints=30, lines_per_s=3400.0, queued_s=1.5),
    Deployment(proxies=400, endpoints=30, lines_per_s=2900.0, queued_s=1.5, has_zone_tables=True),
    Deployment(proxies=500, endpoints=60, lines_per_s=2900.0, queued_s=1.5),
    Deployment(proxies=262, endpoints=92, lines_per_s=2900.0, queued_s=1.5, max_ack_delay_ms=1125.0),
    Deployment(34, 80, 680.0, 1.0, drain_grace_ms=1500.0, max_ack_delay_ms=1200.0, has_zone_tables=True),
    Deployment(proxies=78, endpoints=80, lines_per_s=680.0, queued_s=1.0, drain_grace_ms=1500.0),
    Deployment(250, 100, 2300.0, 1.0, 3.0, drain_grace_ms=2000.0, max_ack_delay_ms=202.5, max_messages=0),
    Deployment(440, 60, 3600.0, 4.3, drain_grace_ms=6300.0, max_ack_delay_ms=1000.0),
]


@pytest.mark.parametrize("deployment", DEPLOYMENTS, ids=str)
def test_each_kind_of_update_is_published_at_any_number_of_proxies(deployment):
    # Guards against message heads that alone exceed the limit of ordinary changes: 400 proxies kept no endpoint.
    waited_s = {}
    for kind in KINDS:
        fleet = settled_fleet(deployment)
        waited_s[kind] = time_to_publish(fleet, kind, 30.0)
        assert not fleet.exceeds_limits()
    assert {kind: time for kind, time in waited_s.items() if time is None or time > MAX_WAIT_S} == {}


@pytest.mark.parametrize(
    ("proxies", "kind"), [*((600, kind) for kind in KINDS), (1000, "added"), (1600, "ejected"), (1600, "assigned")]
)
def test_a_fleet_that_no_update_reaches_at_one_time_is_updated_by_subsets(proxies, kind):
    # Guards against drains, new endpoints and calendars that are never sent where one line to all exceeds the limit.
    deployment = Deployment(proxies, endpoints=30, lines_per_s=2900.0, queued_s=1.5, has_zone_tables=proxies == 1000)
    fleet = settled_fleet(deployment)
    assert time_to_publish(fleet, kind, deployment.max_wait_s()) is not None
    assert not fleet.exceeds_limits()


def drawn_deployment(random, least_lines):
    """Returns a deployment of any size that the settings allow whose channel can carry so many lines to each proxy."""
    lines_per_s = random.uniform(680.0, 3900.0)
    queued_s = random.uniform(1.0, 2.5)
    lines_per_message = random.choice([3.0, 6.0])
    max_lines = MAX_QUEUE_FRACTION * queued_s * lines_per_s
    max_proxies = int(max_lines / (lines_per_message + 1 + least_lines))
    return Deployment(
        proxies=min(MAX_PROXIES, random.choice([max_proxies, random.randint(2, max_proxies)])),
        endpoints=random.randint(8, 80),
        lines_per_s=lines_per_s,
        queued_s=queued_s,
        lines_per_message=lines_per_message,
        drain_grace_ms=random.uniform(1500.0, 6300.0),
        max_ack_delay_ms=random.uniform(200.0, 1200.0),
        max_messages=random.choice([0, 20]),
        has_zone_tables=random.random() < 0.5,
    )


@pytest.mark.parametrize("seed", SEEDS)
def test_no_kind_of_update_is_kept_back_for_good_by_steady_updates_of_another(seed):
    # Guards against limits and an order of updates that let one kind through again and again, and another one never.
    random = Random(seed)
    kind, competing = KINDS[seed % len(KINDS)], random.choice(COMPETING)
    # A removal waits for a moment in which no proxy that joins waits for its calendar, and still has to fit then.
    deployment = drawn_deployment(random, least_lines=3 if kind == "removed" else 1)
    fleet = settled_fleet(deployment, seed)
    fleet.competing = {competing}
    for _ in range(50):
        fleet.step()
    waited_s = time_to_publish(fleet, kind, deployment.max_wait_s())
    assert waited_s is not None, f"{kind} beside {competing}: {deployment}"
    assert not fleet.exceeds_limits(), f"{kind} beside {competing}: {deployment}"


def test_a_removal_is_published_beside_joins_where_hardly_one_line_to_all_fits():
    # A removal needs a nearly empty channel at a moment in which all proxies have the calendar.
    fleet = settled_fleet(Deployment(proxies=500, endpoints=60, lines_per_s=2900.0, queued_s=1.5))
    fleet.competing = {"joins"}
    assert time_to_publish(fleet, "removed", 200.0) is not None
