"""Limits of the channel to the proxies."""

from random import Random
from types import SimpleNamespace

import pytest
from planner_harness import ChannelModel, PlannerHarness, entry, planner_config

from quillstep.planner.update_budget import UpdateBudget


def test_updates_respect_the_message_limit_per_proxy():
    limits = planner_config(max_messages=20, message_window_ms=10000.0)
    harness = PlannerHarness(limits, entries=[entry(number) for number in range(1, 60)])
    harness.settle()
    written = []
    for step in range(1, 149):  # each list update, every 100 ms, requires a message
        change = entry(step % 40 + 1, state=("in_service", "terminated")[step // 40 % 2])
        harness.observe(after=100.0, endpoint_lists=[("partial", [change])])
        written += [harness.now_ms] if any(call[0] in ("set_weight", "set_ejected") for call in harness.written) else []
    assert len(written) >= 15  # each update is sent within 0.6 s, and none is delayed for long
    # Two of the allowed messages remain for joins.
    assert max(sum(now_ms - 10000.0 < sent_ms <= now_ms for sent_ms in written) for now_ms in written) <= 18
    assert max(b - a for a, b in zip(written, written[1:], strict=False)) <= 1300.0


@pytest.mark.parametrize("rate_factor", [1.0, 0.5])
def test_mass_joins_stay_within_the_queue_limit_and_complete(rate_factor):
    # Simultaneous joins, at a start or from another controller, must not exceed the channel's limit.
    limits = planner_config(channel_lines_per_s=2700.0, max_queued_lines=4500.0, lines_per_message=3.0)
    harness = PlannerHarness(limits, entries=[entry(number) for number in range(100)], proxies=125)
    channel = ChannelModel(harness, rate_factor)
    for step in range(300):
        streams = [(n, True, "b", 5.0, False) for n in range(125, 250)] if step == 50 else []
        terminated = [("partial", [entry(n, state="terminated") for n in range(20)])] if step == 45 else []
        channel.observe(100.0, proxy_streams=streams, endpoint_lists=terminated)
        assert step != 45 + 20 / rate_factor or all(harness.endpoint(n).is_ejected for n in range(20))
    assert channel.max_queued_lines <= 4500.0 and all(proxy.has_calendar for proxy in harness.fleet.proxies.values())


@pytest.mark.parametrize("rate_factor", [0.14, 0.5, 1.0])
def test_a_channel_far_below_its_configured_rate_stays_within_its_limit(rate_factor):
    # Acks that are delayed by seconds must not let the queue exceed its limit.
    limits = planner_config(channel_lines_per_s=3600.0, max_queued_lines=5400.0)
    harness = PlannerHarness(limits, [entry(number) for number in range(30)], 88)
    channel, draw = ChannelModel(harness, 1.0), Random(3).random
    for step in range(600):
        channel.rate_factor = rate_factor if step > 100 else 1.0
        new = step // 27
        replacement = [("partial", [entry(30 + new, started=harness.now_ms), entry(new, state="terminated")])]
        checks = [(number, True, 5.0, {"util": draw()}) for number in list(harness.fleet.endpoints)]
        channel.observe(
            100.0, endpoint_lists=replacement if step % 27 == 0 else [], health_checks=checks if step % 10 == 0 else []
        )
    assert channel.max_queued_lines <= 5400.0


@pytest.mark.parametrize("stands_still_s", [2, 4, 8])
def test_a_channel_that_stands_still_stays_within_its_limit(stands_still_s):
    # Rule on the backlog: lines must not count as sent because time has passed.
    limits = planner_config(channel_lines_per_s=3000.0, max_queued_lines=4500.0)
    harness = PlannerHarness(limits, [entry(number) for number in range(40)], 80)
    channel, draw = ChannelModel(harness, 1.0), Random(5).random
    for step in range(300):
        channel.rate_factor = 0.0 if 100 <= step < 100 + 10 * stands_still_s else 1.0
        streams = [(number, True, "b", 5.0, False) for number in range(50)] if step in (95, 115, 135, 155) else []
        drained = [("partial", [entry(step // 5, state="terminated")])] if step % 5 == 0 and step < 150 else []
        checks = [(number, True, 5.0, {"util": draw()}) for number in list(harness.fleet.endpoints)]
        channel.observe(
            100.0, proxy_streams=streams, endpoint_lists=drained, health_checks=checks if step % 10 == 0 else []
        )
    assert channel.max_queued_lines <= 4500.0
    assert all(proxy.has_calendar for proxy in harness.fleet.proxies.values())


def test_no_proxy_is_assigned_an_empty_calendar_when_many_have_joined_before_the_list():
    # The lines of messages to all proxies were counted against changes that reach none of them yet.
    limits = planner_config(channel_lines_per_s=3000.0, max_queued_lines=4500.0)
    harness = PlannerHarness(limits, [entry(number) for number in range(20)], 450)
    assert len(harness.slots()) == 20


def test_a_drain_reaches_as_many_proxies_as_the_limit_holds():
    # Lines that are not needed for the drain, such as those of admission, must not be counted against it.
    limits = planner_config(channel_lines_per_s=3000.0, max_queued_lines=4500.0)
    harness = PlannerHarness(limits, [entry(number) for number in range(20)], 450)
    channel = ChannelModel(harness, 1.0)
    for _ in range(200):
        channel.observe(100.0)
    channel.observe(100.0, endpoint_lists=[("partial", [entry(3, state="terminating")])])
    assert harness.endpoint(3).is_ejected and channel.max_queued_lines <= 4500.0


def test_an_ack_of_an_old_request_proves_nothing_of_a_newer_one():
    # Serials came round again while a slow channel still held the messages of the earlier request.
    budget, requested = UpdateBudget(planner_config()), []
    output = SimpleNamespace(request_ack=requested.append)
    for _ in range(200):
        written_before = budget.written_lines
        budget.written_lines += 20
        budget.request_ack(written_before, 1, output)
    budget.apply_acks(requested[:1], 1000.0)
    budget.estimate_sent(1000.0)
    assert budget.queued_lines == 199 * 21


@pytest.mark.parametrize(
    "absent", [{"channel_lines_per_s": 0.0}, {"drain_grace_ms": 0.0}, {"max_update_delay_ms": 0.0}]
)
def test_a_limit_that_is_not_configured_does_not_restrict_updates(absent):
    """A limit of 0 would block ordinary changes, and admit joining proxies only one at a time."""
    harness = PlannerHarness(planner_config(**absent), entries=[entry(number) for number in range(1, 11)], proxies=6)
    assert sum(call[0] == "assign_table" for call in harness.written_at_start) == 6
    harness.settle()
    harness.run_interval(acks=list(harness.budget.in_flight))
    harness.endpoint(1).q_value *= 2.0
    harness.run_interval()
    assert any(call[:3] == ("set_weight", 0, 1) for call in harness.written)
