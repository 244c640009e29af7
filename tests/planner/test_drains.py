"""Endpoints that drain are out of use at each proxy within the grace, whatever else the channel carries."""

import pytest
from drain_fleet import settled_drain_fleet
from fleet_updates import Deployment

from quillstep.planner.assignment import FIRST_SUBSET_TABLE
from quillstep.planner.calendar import HoldBackReason


def messages_of_ejections(fleet, seconds):
    """Plays some seconds; returns how many passes ejected endpoints."""
    written = []
    enqueue = fleet.channel.enqueue

    def recorded(calls):
        written.append(sum(call[0] == "set_ejected" and call[2] for call in calls))
        enqueue(calls)

    fleet.channel.enqueue = recorded
    fleet.play(seconds)
    return [ejected for ejected in written if ejected]


def write_weights_to_all(fleet):
    """Fills a part of the channel with an ordinary change to all proxies."""
    for number, state in fleet.harness.fleet.endpoints.items():
        state.q_value = 1.0 if number == 0 else 0.5
    assert fleet.wait_until(lambda: fleet.channel.queue, 5.0) is not None


@pytest.mark.parametrize(("proxies", "lines_per_s"), [(400, 3000.0), (330, 2900.0), (430, 3900.0)])
def test_drains_that_fit_one_message_go_out_in_one_behind_other_updates(proxies, lines_per_s):
    # Guards against a release that goes out endpoint by endpoint, each with the heads of messages to all proxies.
    fleet = settled_drain_fleet(Deployment(proxies, 30, lines_per_s, queued_s=1.5, max_ack_delay_ms=750.0))
    write_weights_to_all(fleet)
    fleet.drain(4, 9, 14)
    assert messages_of_ejections(fleet, 10.0) == [3]
    assert not fleet.late_ms and not fleet.exceeds_limits()


def test_a_release_beyond_one_message_goes_out_in_the_fewest():
    # Guards against lots of ejections that get smaller and smaller, as the channel has room: 24, 8 and 4 of 36.
    deployment = Deployment(440, 60, 3600.0, queued_s=15400.0 / 3600.0, drain_grace_ms=8000.0, max_ack_delay_ms=1000.0)
    fleet = settled_drain_fleet(deployment)
    fleet.drain(*range(36))
    assert len(messages_of_ejections(fleet, 12.0)) == 2
    assert not fleet.late_ms and not fleet.exceeds_limits()


def test_drains_of_a_small_fleet_do_not_wait_for_the_channel_to_be_empty():
    # Heads to few proxies cost less than a channel that stands still until acks arrive.
    deployment = Deployment(20, 60, 680.0, queued_s=1.0, max_ack_delay_ms=1000.0)
    fleet = settled_drain_fleet(deployment)
    write_weights_to_all(fleet)
    fleet.drain(*range(2, 25))
    assert messages_of_ejections(fleet, 10.0)[0] > 1
    assert not fleet.late_ms and not fleet.exceeds_limits()


RELEASES = [  # with the number of endpoints that drain
    (Deployment(440, 60, 3600.0, 15400.0 / 3600.0, drain_grace_ms=6300.0, max_ack_delay_ms=1000.0), 36),
    (Deployment(400, 30, 3000.0, 1.5, drain_grace_ms=3000.0, max_ack_delay_ms=750.0), 5),
    (Deployment(300, 90, 2900.0, 1.5, drain_grace_ms=3600.0, max_ack_delay_ms=500.0), 54),
    (Deployment(440, 80, 3900.0, 4.0, drain_grace_ms=4000.0, max_ack_delay_ms=500.0, has_zone_tables=True), 24),
]


@pytest.mark.parametrize(("deployment", "drained"), RELEASES, ids=str)
def test_a_release_that_ejections_cannot_complete_in_time_is_kept_within_the_grace(deployment, drained):
    # Guards against a release whose ejections alone take longer than the grace, however few messages they take.
    fleet = settled_drain_fleet(deployment)
    fleet.drain(*range(drained))
    fleet.play(deployment.drain_grace_ms / 1000.0 + 3.0)
    assert not fleet.late_ms and not fleet.exceeds_limits()
    assert fleet.wait_until(fleet.is_settled, 30.0) is not None, "the proxies do not get the calendar again"
    assert not any(fleet.channel.may_use(proxy, 0) for proxy in range(deployment.proxies))


def test_proxies_moved_to_subsets_keep_the_limits_and_hold_back_no_warming_endpoint():
    # Guards against limits that a move would forget, and against ejections of warming endpoints because of it.
    deployment, drained = RELEASES[0]
    fleet = settled_drain_fleet(deployment)
    fleet.change(*(fleet.entry(1000 + number, started=fleet.harness.now_ms) for number in range(drained)))
    fleet.play(8.0)
    planner = fleet.harness.planner
    planner.calendar.hold_back_reason = None
    fleet.drain(*range(drained))
    calls = []
    enqueue = fleet.channel.enqueue
    fleet.channel.enqueue = lambda written: (calls.extend(written), enqueue(written))
    fleet.play(1.0)
    moved = {call[2] for call in calls if call[0] == "assign_table" and call[2] >= FIRST_SUBSET_TABLE}
    limited = {call[1] for call in calls if call[0] == "set_admission"}
    assert moved and moved <= limited
    assert planner.calendar.hold_back_reason is not HoldBackReason.JOINING
    assert {call[1] for call in calls if call[0] == "set_ejected" and call[2]} <= set(range(drained))


def test_a_release_that_ejections_complete_in_time_moves_no_proxy():
    fleet = settled_drain_fleet(Deployment(100, 30, 3000.0, queued_s=1.5))
    fleet.drain(*range(12))
    fleet.play(5.0)
    assert all(proxy.has_calendar and not proxy.subsets for proxy in fleet.harness.fleet.proxies.values())
    assert not fleet.late_ms


JOINS = [  # with the seconds from the first join to the drains, and the number of drains
    (Deployment(400, 30, 3000.0, 1.5, max_ack_delay_ms=750.0), 0.5, 3),
    (Deployment(400, 90, 3900.0, 1.5, max_ack_delay_ms=900.0), 2.0, 2),
    (Deployment(250, 60, 2900.0, 2.0, max_ack_delay_ms=250.0), 1.0, 4),
    (Deployment(440, 30, 3500.0, 4.3, drain_grace_ms=5000.0, max_ack_delay_ms=500.0), 3.0, 6),
]


@pytest.mark.parametrize("has_ejected", [False, True], ids=["calendars-only", "subsets-first"])
@pytest.mark.parametrize(("deployment", "after_s", "drained"), JOINS, ids=str)
def test_drains_are_within_the_grace_while_half_of_the_proxies_join(deployment, after_s, drained, has_ejected):
    # Guards against calendars of joining proxies that refill the channel before an ejection fits.
    fleet = settled_drain_fleet(deployment)
    if has_ejected:
        fleet.drain(0)
        fleet.play(8.0)
    joining = range(0, deployment.proxies, 2)
    for step in range(120):
        fleet.rejoin(*(proxy for index, proxy in enumerate(joining) if index * 14 // len(joining) == step))
        if step == int(10 * after_s):
            fleet.drain(*range(4, 4 + drained))
        fleet.step()
    assert not fleet.late_ms and not fleet.exceeds_limits()
    assert fleet.harness.fleet.all_proxies_have_calendar()


def test_limits_that_fall_all_the_time_carry_ejections_with_them():
    # Guards against limits that take the channel alone, pass after pass, while ejections wait.
    deployment = Deployment(300, 40, 3000.0, queued_s=1.5, max_ack_delay_ms=500.0)
    fleet = settled_drain_fleet(deployment)
    calls = []
    enqueue = fleet.channel.enqueue
    fleet.channel.enqueue = lambda written: (calls.append({call[0] for call in written}), enqueue(written))
    fleet.drain(*range(9))
    for step in range(60):
        fleet.limits = dict.fromkeys(range(3), 50.0 * 0.8 ** (1 + step // 5))
        fleet.step()
        if not any(state.awaits_ejection for state in fleet.harness.fleet.endpoints.values()) and step:
            break
    with_limits = [names for names in calls if "set_admission" in names]
    assert with_limits and all("set_ejected" in names for names in with_limits)
    assert not fleet.exceeds_limits()


@pytest.mark.parametrize("after_s", [4.1, 4.5, 5.2, 6.0])
def test_a_release_right_behind_ordinary_changes_is_within_the_grace(after_s):
    # Guards against ordinary changes that leave room for the drain of one endpoint behind them, but for no release.
    fleet = settled_drain_fleet(Deployment(440, 30, 3200.0, 4.3, drain_grace_ms=4000.0, max_ack_delay_ms=280.0))
    fleet.competing = {"weights"}
    fleet.play(after_s)
    fleet.drain(*range(5, 21))
    fleet.play(7.0)
    assert not fleet.late_ms and not fleet.exceeds_limits()
