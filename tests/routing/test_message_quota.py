"""The limit of messages to one proxy, and its reserve for ejections."""

from collections import deque

import pytest
from hypothesis import given
from hypothesis import strategies as st
from memory_fleet import MemoryController, apply_update, controller_settings, fleet

from quillstep.config.fleet import ChannelSettings
from quillstep.routing.message_quota import EJECTION_RESERVE, MessageQuota
from quillstep.routing.resources import WEIGHT
from quillstep.xds.resources import LEDS


@given(
    st.lists(st.tuples(st.floats(0.0, 400.0), st.booleans()), min_size=30, max_size=120),
    st.sampled_from([(5, 1000.0), (20, 10000.0)]),
)
def test_no_more_messages_are_allowed_than_the_limit(steps, limit):
    quota, now, sent = MessageQuota(*limit), 0.0, deque()
    for revision, (wait, urgent) in enumerate(steps):
        now += wait
        remaining = quota.remaining(revision, now)
        if remaining > (0 if urgent else EJECTION_RESERVE):
            quota.count(revision, now)
            quota.count(revision, now)  # a second response of the same revision is not counted
            sent.append(now)
        elif not urgent:
            assert quota.next_expiry_ms() > now
        while sent and sent[0] <= now - limit[1]:
            sent.popleft()
        assert len(sent) <= limit[0]


def test_a_proxy_gets_no_message_beyond_its_limit_and_ejections_have_a_reserve():
    settings = controller_settings(fleet=fleet(channel=ChannelSettings(max_messages=6, message_window_ms=4000.0)))
    controller = MemoryController(settings=settings)
    proxy = controller.join("p0")
    controller.run(6000)
    tables, sent = controller.core.tables, []
    for weight in range(30, 50):
        proxy.log.clear()
        apply_update(controller, lambda tables, weight=weight: tables.set_weight(0, 3, float(weight)))
        controller.run(50.0)
        sent += [controller.now] * any(names for _, names, _ in proxy.log)
    assert len(sent) <= 4, "two of the six messages are reserved for ejections"
    apply_update(controller, lambda tables: tables.set_ejected(4, True, "draining"))
    controller.run(30.0)
    assert any("withdrawn/4" in name for name in proxy.held(LEDS))
    controller.run(4200.0)
    assert tables.proxies[0].acknowledged[WEIGHT, 0, 3] == tables.shared_resource((WEIGHT, 0, 3)).version


@pytest.mark.parametrize("max_messages", [1, 2, 3])
def test_a_proxy_gets_weights_however_few_messages_it_may_be_sent(max_messages):
    # Guards against a reserve for ejections that is as large as the limit, and leaves nothing for other changes.
    channel = ChannelSettings(max_messages=max_messages, message_window_ms=1000.0)
    controller = MemoryController(settings=controller_settings(fleet=fleet(channel=channel)))
    proxy = controller.join("p0")
    controller.run(15000)
    assert any("/table-0/" in name for name in proxy.held(LEDS))
