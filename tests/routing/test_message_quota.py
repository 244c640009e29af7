"""The limit of messages to one proxy, and its reserve for ejections."""

from collections import deque

from hypothesis import given
from hypothesis import strategies as st
from memory_fleet import MemoryPilot, fleet, order, pilot_record

from quillstep.config.fleet import ChannelSettings
from quillstep.routing.message_quota import EJECTION_RESERVE, MessageQuota
from quillstep.routing.resources import WEIGHT
from quillstep.xds.resources import LEDS


@given(
    st.lists(st.tuples(st.floats(0.0, 400.0), st.booleans()), min_size=30, max_size=120),
    st.sampled_from([(5, 1000.0), (20, 10000.0)]),
)
def test_no_more_messages_are_allowed_than_the_limit(steps, limit):
    quota, now, left = MessageQuota(*limit), 0.0, deque()
    for number, (wait, urgent) in enumerate(steps):
        now += wait
        room = quota.remaining(number, now)
        if room > (0 if urgent else EJECTION_RESERVE):
            quota.count(number, now)
            quota.count(number, now)  # further responses of one order are one message
            left.append(now)
        elif not urgent:
            assert quota.next_expiry_ms() > now
        while left and left[0] <= now - limit[1]:
            left.popleft()
        assert len(left) <= limit[0]


def test_a_proxy_gets_no_message_beyond_its_limit_and_ejections_have_a_reserve():
    record = pilot_record(fleet=fleet(channel=ChannelSettings(max_messages=6, message_window_ms=4000.0)))
    pilot = MemoryPilot(record=record)
    proxy = pilot.join("p0")
    pilot.run(6000)
    tables, sent = pilot.core.tables, []
    for weight in range(30, 50):
        proxy.log.clear()
        order(pilot, lambda tables, weight=weight: tables.set_weight(0, 3, float(weight)))
        pilot.run(50.0)
        sent += [pilot.now] * any(names for _, names, _ in proxy.log)
    assert len(sent) <= 4, "of six, two are kept for drains"
    order(pilot, lambda tables: tables.set_ejected(4, True, "draining"))
    pilot.run(30.0)
    assert any("withdrawn/4" in each for each in proxy.held(LEDS))
    pilot.run(4200.0)
    assert tables.proxies[0].acknowledged[WEIGHT, 0, 3] == tables.shared_resource((WEIGHT, 0, 3)).version
