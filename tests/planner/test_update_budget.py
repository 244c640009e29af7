"""The channel to the proxies stays within its limits."""

from random import Random

import pytest
from planner_harness import ChannelModel, PlannerHarness, entry, planner_config


def test_updates_keep_to_the_messages_allowed_to_one_proxy():
    limits = planner_config(max_messages=20, message_window_ms=10000.0)
    harness = PlannerHarness(limits, entries=[entry(at) for at in range(1, 60)])
    harness.settle()
    written = []
    for at in range(1, 149):  # a list update every 100 ms wants a message each time
        change = entry(at % 40 + 1, state=("in_service", "terminated")[at // 40 % 2])
        harness.observe(after=100.0, endpoint_lists=[("partial", [change])])
        written += [harness.now] if any(call[0] in ("set_weight", "set_ejected") for call in harness.written) else []
    assert len(written) >= 15  # each update within 0.6 s, and none is ever held for long
    assert max(sum(now - 10000.0 < at <= now for at in written) for now in written) <= 18  # two for joins
    assert max(b - a for a, b in zip(written, written[1:], strict=False)) <= 1300.0


@pytest.mark.parametrize("pace", [1.0, 0.5])
def test_joins_at_full_size_keep_the_queue_short_and_finish(pace):
    # The joins of one start, or of another controller's proxies, must not overrun the channel at once.
    limits = planner_config(channel_lines_per_s=2700.0, max_queued_lines=4500.0, lines_per_message=3.0)
    harness = PlannerHarness(limits, entries=[entry(at) for at in range(100)], proxies=125)
    channel = ChannelModel(harness, pace)
    for at in range(300):
        streams = [(n, True, "b", 5.0, False) for n in range(125, 250)] if at == 50 else []
        dead = [("partial", [entry(n, state="terminated") for n in range(20)])] if at == 45 else []
        channel.observe(100.0, proxy_streams=streams, endpoint_lists=dead)
        assert at != 45 + 20 / pace or all(harness.endpoint(n).is_ejected for n in range(20))
    assert channel.max_queued_lines <= 4500.0 and all(proxy.has_calendar for proxy in harness.fleet.proxies.values())


@pytest.mark.parametrize("pace", [0.14, 0.5, 1.0])
def test_a_channel_far_below_its_usual_pace_is_not_overrun(pace):
    # Acks that arrive seconds late must not let more into the channel than its limit.
    limits = planner_config(channel_lines_per_s=3600.0, max_queued_lines=5400.0)
    harness = PlannerHarness(limits, [entry(at) for at in range(30)], 88)
    channel, draw = ChannelModel(harness, 1.0), Random(3).random
    for at in range(600):
        channel.pace = pace if at > 100 else 1.0
        new = at // 27
        swap = [("partial", [entry(30 + new, started=harness.now), entry(new, state="terminated")])]
        checks = [(number, True, 5.0, {"util": draw()}) for number in list(harness.fleet.endpoints)]
        channel.observe(
            100.0, endpoint_lists=swap if at % 27 == 0 else [], health_checks=checks if at % 10 == 0 else []
        )
    assert channel.max_queued_lines <= 5400.0


@pytest.mark.parametrize(
    "absent", [{"channel_lines_per_s": 0.0}, {"drain_grace_ms": 0.0}, {"max_update_delay_ms": 0.0}]
)
def test_a_limit_that_is_not_configured_holds_nothing_back(absent):
    """Counted as 0 they let no ordinary change and, at a join, one proxy at a time into the channel."""
    harness = PlannerHarness(planner_config(**absent), entries=[entry(at) for at in range(1, 11)], proxies=6)
    assert sum(call[0] == "assign_table" for call in harness.written_at_start) == 6
    harness.settle()
    harness.run_interval(acks=list(harness.budget.in_flight))
    harness.endpoint(1).q_value *= 2.0
    harness.run_interval()
    assert any(call[:3] == ("set_weight", 0, 1) for call in harness.written)
