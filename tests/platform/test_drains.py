"""Drains on the platform: the encoded updates take effect within the grace and keep the channel's limits."""

import pytest
from drain_fleet import DeliveryChannel, settled_drain_fleet
from fleet_updates import Deployment
from platform_channel import CLASS_NAMES, PlatformChannel


class PlatformDeliveryChannel(DeliveryChannel, PlatformChannel):
    """A channel of encoded updates that tracks which endpoints each proxy may use."""

    def state_after(self, proxy, written):
        stream = self.output.proxies[proxy]
        if sum(len(classes) for _, classes in stream.assignments) < len(CLASS_NAMES):
            return None, stream.ejected
        held = {endpoint for table, _ in stream.assignments for endpoint in self.output.tables[table]}
        return frozenset(held - stream.ejected), frozenset()


RELEASES = [  # with the number of endpoints that drain
    (Deployment(440, 60, 3500.0, 4.2, drain_grace_ms=6100.0, max_ack_delay_ms=900.0), 36),
    (Deployment(300, 90, 2900.0, 1.5, drain_grace_ms=3600.0, max_ack_delay_ms=500.0), 40),
    (Deployment(60, 40, 680.0, 1.0, drain_grace_ms=3000.0, max_ack_delay_ms=500.0, has_zone_tables=True), 20),
]


@pytest.mark.parametrize(("deployment", "drained"), RELEASES, ids=["review", "short-queue", "zone-tables"])
def test_a_release_is_within_the_grace_on_the_platform(deployment, drained):
    # Guards against a release in many lots, and against subsets that cost more lines than the planner counts.
    fleet = settled_drain_fleet(deployment, channel_type=PlatformDeliveryChannel)
    fleet.drain(*range(drained))
    fleet.play(deployment.drain_grace_ms / 1000.0 + 3.0)
    assert not fleet.late_ms and not fleet.exceeds_limits()
    assert fleet.wait_until(fleet.is_settled, 60.0) is not None


@pytest.mark.parametrize("has_ejected", [False, True], ids=["calendars-only", "subsets-first"])
def test_drains_are_within_the_grace_while_proxies_join_on_the_platform(has_ejected):
    # Guards against calendars of joining proxies that refill the channel before an ejection fits.
    fleet = settled_drain_fleet(
        Deployment(400, 30, 3000.0, 1.5, max_ack_delay_ms=750.0), channel_type=PlatformDeliveryChannel
    )
    if has_ejected:
        fleet.drain(0)
        fleet.play(8.0)
    for step in range(100):
        fleet.rejoin(*(proxy for proxy in range(0, 400, 2) if proxy * 14 // 400 == step))
        if step == 5:
            fleet.drain(4, 5, 6)
        fleet.step()
    assert not fleet.late_ms and not fleet.exceeds_limits()
