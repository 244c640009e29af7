"""Each kind of update reaches the platform's proxies: the planner behind a channel of the updates that are encoded."""

from random import Random

import pytest
from fleet_updates import KINDS, Deployment, settled_fleet, time_to_publish
from platform_channel import PlatformChannel

MAX_WAIT_S = 120.0
COMPETING = ((), ("weights",), ("joins",), ("drains",))


DEPLOYMENTS = [
    Deployment(proxies=34, endpoints=10, lines_per_s=680.0, queued_s=1.5, drain_grace_ms=1500.0),
    Deployment(proxies=78, endpoints=10, lines_per_s=680.0, queued_s=1.0, has_zone_tables=True),
    Deployment(proxies=100, endpoints=10, lines_per_s=680.0, queued_s=1.0),  # no update reaches all at one time
]


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("deployment", DEPLOYMENTS, ids=["short", "one-line", "oversized"])
def test_each_kind_of_update_reaches_the_proxies_of_the_platform(deployment, kind):
    # Guards against limits, and acks that never come, which keep a kind of update back for good on this front.
    competing = Random(kind + str(deployment)).choice(COMPETING)
    fleet = settled_fleet(deployment, channel_type=PlatformChannel)
    fleet.competing = set(competing)
    assert time_to_publish(fleet, kind, MAX_WAIT_S) is not None, f"{kind} beside {competing}"
    assert not fleet.exceeds_limits()
