"""Updates that are late, stall their proxy or are lost."""

import pytest
from memory_fleet import MemoryPilot, order

from quillstep.routing.ack_latency import IN_TIME, LATE, LOST, STALLED, AckLatency, LineCostEstimate
from quillstep.routing.resources import EJECTED, WEIGHT
from quillstep.xds.resources import LEDS

LATE_MS, STALL_MS = 600.0, 40.0


def pace(*answers, usual=None):
    made, now = AckLatency(LATE_MS, STALL_MS, usual), 0.0
    for lines, took in answers:
        made.record_ack(lines, now, now + took)
        now += took
    return made


@pytest.mark.parametrize(
    ("answers", "usual", "line_ms", "most"),
    [
        ([], None, None, 16),  # a first piece, to learn by
        ([], 2.0, 2.0, 20),  # what the others take, until its own is known
        ([(1, 5.0), (20, 45.0)], None, None, 16),  # one answer may have met a busy pilot
        ([(1, 5.0), (20, 45.0), (20, 65.0)], None, 2.0, 20),  # queues only add: the least counts
        ([(1, 5.0), (20, 45.0), (20, 65.0)], 0.01, 2.0, 20),
        ([(1, 5.0), (20, 6.0), (20, 65.0)], None, 0.05, 800),
        ([(1, 5.0), (20, 400.0), (20, 400.0)], None, 19.75, 4),  # a piece has a few lines, however slow
    ],
)
def test_line_cost_is_the_minimum_of_the_samples(answers, usual, line_ms, most):
    made = pace(*answers, usual=usual)
    assert made.line_ms() == (pytest.approx(line_ms) if line_ms is not None else None)
    assert made.max_lines() == most


def test_few_slow_proxies_do_not_move_the_usual_line_cost():
    usual = LineCostEstimate()
    for at in range(200):
        usual.add(5.0 if at % 10 == 0 else 0.04)
    assert usual.line_ms() == 0.04
    assert LineCostEstimate().line_ms() is None


@pytest.mark.parametrize(
    ("waits", "heard", "kind"),
    [
        (500.0, None, IN_TIME),
        (700.0, None, LATE),
        (700.0, 100.0, LATE),  # what came before it was due says nothing
        (700.0, 650.0, STALLED),
    ],
)
def test_a_proxy_that_talks_without_acks_is_stalled_and_a_silent_one_late(waits, heard, kind):
    assert pace().ack_delay("n", 3, 0.0, waits, heard).status == kind


def test_an_update_that_surely_takes_long_is_not_late():
    slow = pace((1, 5.0), (100, 2005.0), (100, 2005.0))
    now = slow.last_ack_ms
    assert slow.ack_delay("n", 100, now, now + 3000.0, None).status == IN_TIME
    assert slow.ack_delay("n", 1, now, now + 3000.0, None).status == LATE


def settled(**other):
    pilot = MemoryPilot(**other)
    for at in range(3):
        pilot.join(f"p{at}", "ab"[at % 2])
    return pilot.run(8000)


def drop(proxy):
    """Its next response is lost on it."""
    proxy.pump()
    return proxy.waits.pop(0)


def test_a_response_overtaken_by_a_later_ack_is_lost_and_sent_again():
    pilot = settled()
    proxy, state = pilot.proxies["p0"], pilot.core.tables.proxies[0]
    order(pilot, lambda tables: tables.set_ejected(3, True, "draining"))
    lost = drop(proxy)
    order(pilot, lambda tables: tables.set_weight(0, 4, 55.0))
    pilot.run(20)
    assert (EJECTED, 3) in state.acknowledged and any("withdrawn/3" in name for name in proxy.held(LEDS))
    assert [v.status for v in state.new_ack_delays(pilot.now, None) if v.nonce == lost.nonce] == [LOST]


def test_a_lost_ejection_is_found_by_a_probe_where_no_update_follows():
    pilot = settled()
    proxy, state = pilot.proxies["p0"], pilot.core.tables.proxies[0]
    order(pilot, lambda tables: tables.set_ejected(3, True, "draining"))
    lost = drop(proxy)
    proxy.log.clear()
    pilot.run(LATE_MS - 50.0)
    assert (EJECTED, 3) not in state.acknowledged
    pilot.run(200.0)
    assert (EJECTED, 3) in state.acknowledged and lost.nonce not in state.in_flight_updates
    asked = [(names, removed) for _, names, removed in proxy.log if not names and not removed]
    assert len(asked) == 1, "one question, without changes"


def test_a_stalled_proxy_is_probed_once_and_sent_ejections_alone_until_it_answers():
    pilot = settled()
    proxy, state = pilot.proxies["p0"], pilot.core.tables.proxies[0]
    order(pilot, lambda tables: tables.set_weight(0, 3, 55.0))
    proxy.pump()
    held = len(proxy.waits)
    for weight in range(60, 70):
        pilot.run(100.0, read=False)
        order(pilot, lambda tables, weight=weight: tables.set_weight(0, 3, float(weight)))
    order(pilot, lambda tables: tables.set_ejected(4, True, "draining"))
    pilot.run(50.0, read=False)
    late = proxy.waits[held:]
    drains = [r for r in late if any("withdrawn/4" in each.name for each in r.resources)]
    assert len(drains) == 1 and state.has_late_ack(pilot.now)
    lines = [each.name for r in proxy.waits for each in r.resources if each.name.endswith("table-0/3")]
    assert len(lines) <= 7, "what is overtaken after it is late is not sent"
    pilot.run(50.0)
    assert (
        state.acknowledged[WEIGHT, 0, 3] == pilot.core.tables.shared_resource((WEIGHT, 0, 3)).version
        and not state.in_flight_updates
    )
    assert not [v for v in state.new_ack_delays(pilot.now, None) if v.status == LOST]


def test_late_acks_in_sequence_are_no_loss():
    pilot = settled()
    proxy, state = pilot.proxies["p0"], pilot.core.tables.proxies[0]
    for weight in (55.0, 56.0, 57.0):
        order(pilot, lambda tables, weight=weight: tables.set_weight(0, 3, weight))
        proxy.pump()
    pilot.run(2000.0, read=False)
    pilot.run(20.0)
    kinds = [v.status for v in state.new_ack_delays(pilot.now, None)]
    assert LOST not in kinds and not state.in_flight_updates


def test_a_large_update_is_split_with_ejections_first_and_no_proxy_without_endpoints():
    pilot = MemoryPilot(endpoints=60)
    proxy = pilot.join("p0")
    proxy.line_ms = 2.0
    pilot.run(4000)
    state = pilot.core.tables.proxies[0]
    assert max(len(names) for _, names, _ in proxy.log) <= 25, "the first table too goes in pieces"
    most = state.ack_latency.max_lines()
    assert most and 10 <= most <= 25
    proxy.log.clear()

    def write(tables):
        for endpoint in range(1, 51):
            tables.set_weight(0, endpoint, 33.0)
        tables.set_weight(0, 55, 0.0)
        tables.set_ejected(55, True, "draining")

    order(pilot, write)
    pilot.run(60.0)
    assert any("withdrawn/55" in name for name in proxy.log[0][1])
    pilot.run(1500.0)
    tables = pilot.core.tables
    assert all(
        state.acknowledged[key] == tables.shared_resource(key).version
        for key in tables.desired_keys(0)
        if key[0] == WEIGHT
    )
    sizes = [len(names) + len(removed) for _, names, removed in proxy.log]
    assert max(sizes) <= 25 and sum(sizes) >= 52
    gone = next(at for at, row in enumerate(proxy.log) if any(name.endswith("table-0/55") for name in row[2]))
    assert all(not any(name.endswith("/1") for name in row[1]) for row in proxy.log[gone + 1 :])  # what goes, goes last
