"""Updates that are late, stall their proxy or are lost."""

import pytest
from memory_fleet import MemoryController, apply_update

from quillstep.routing.ack_latency import IN_TIME, LATE, LOST, STALLED, AckLatency, LineCostEstimate
from quillstep.routing.resources import EJECTED, WEIGHT
from quillstep.xds.resources import LEDS

LATE_MS, STALL_MS = 600.0, 40.0


def latency_after(*acks, fleet_line_ms=None):
    latency, now = AckLatency(LATE_MS, STALL_MS, fleet_line_ms), 0.0
    for lines, ack_ms in acks:
        latency.record_ack(lines, now, now + ack_ms)
        now += ack_ms
    return latency


@pytest.mark.parametrize(
    ("acks", "fleet_line_ms", "line_ms", "max_lines"),
    [
        ([], None, None, 16),  # the first update, as no cost is known yet
        ([], 2.0, 2.0, 20),  # the cost at other proxies, until the proxy's own is known
        ([(1, 5.0), (20, 45.0)], None, None, 16),  # one sample may include the delay of a busy controller
        ([(1, 5.0), (20, 45.0), (20, 65.0)], None, 2.0, 20),  # queues only add to a latency, so the minimum is used
        ([(1, 5.0), (20, 45.0), (20, 65.0)], 0.01, 2.0, 20),
        ([(1, 5.0), (20, 6.0), (20, 65.0)], None, 0.05, 800),
        ([(1, 5.0), (20, 400.0), (20, 400.0)], None, 19.75, 4),  # MIN_UPDATE_LINES, however slow the proxy is
    ],
)
def test_line_cost_is_the_minimum_of_the_samples(acks, fleet_line_ms, line_ms, max_lines):
    latency = latency_after(*acks, fleet_line_ms=fleet_line_ms)
    assert latency.line_ms() == (pytest.approx(line_ms) if line_ms is not None else None)
    assert latency.max_lines() == max_lines


def test_few_slow_proxies_do_not_change_the_line_cost_of_the_fleet():
    estimate = LineCostEstimate()
    for at in range(200):
        estimate.add(5.0 if at % 10 == 0 else 0.04)
    assert estimate.line_ms() == 0.04
    assert LineCostEstimate().line_ms() is None


@pytest.mark.parametrize(
    ("now_ms", "last_received_ms", "status"),
    [
        (500.0, None, IN_TIME),
        (700.0, None, LATE),
        (700.0, 100.0, LATE),  # a message received before the ack was due is no evidence
        (700.0, 650.0, STALLED),
    ],
)
def test_an_active_proxy_without_acks_is_stalled_and_an_idle_one_late(now_ms, last_received_ms, status):
    assert latency_after().ack_delay("n", 3, 0.0, now_ms, last_received_ms).status == status


def test_an_update_that_is_expected_to_take_long_is_not_late():
    slow = latency_after((1, 5.0), (100, 2005.0), (100, 2005.0))
    now = slow.last_ack_ms
    assert slow.ack_delay("n", 100, now, now + 3000.0, None).status == IN_TIME
    assert slow.ack_delay("n", 1, now, now + 3000.0, None).status == LATE


def settled(**options):
    controller = MemoryController(**options)
    for at in range(3):
        controller.join(f"p{at}", "ab"[at % 2])
    return controller.run(8000)


def lose_next_response(proxy):
    """Returns the proxy's next response, which is lost before the proxy reads it."""
    proxy.pump()
    return proxy.unread.pop(0)


def test_a_response_overtaken_by_a_later_ack_is_lost_and_sent_again():
    controller = settled()
    proxy, state = controller.proxies["p0"], controller.core.tables.proxies[0]
    apply_update(controller, lambda tables: tables.set_ejected(3, True, "draining"))
    lost = lose_next_response(proxy)
    apply_update(controller, lambda tables: tables.set_weight(0, 4, 55.0))
    controller.run(20)
    assert (EJECTED, 3) in state.acknowledged and any("withdrawn/3" in name for name in proxy.held(LEDS))
    assert [d.status for d in state.new_ack_delays(controller.now, None) if d.nonce == lost.nonce] == [LOST]


def test_a_lost_ejection_is_found_by_a_probe_where_no_update_follows():
    controller = settled()
    proxy, state = controller.proxies["p0"], controller.core.tables.proxies[0]
    apply_update(controller, lambda tables: tables.set_ejected(3, True, "draining"))
    lost = lose_next_response(proxy)
    proxy.log.clear()
    controller.run(LATE_MS - 50.0)
    assert (EJECTED, 3) not in state.acknowledged
    controller.run(200.0)
    assert (EJECTED, 3) in state.acknowledged and lost.nonce not in state.in_flight_updates
    probes = [(names, removed) for _, names, removed in proxy.log if not names and not removed]
    assert len(probes) == 1, "exactly one probe, without changes"


def test_a_stalled_proxy_is_probed_once_and_sent_only_ejections_until_it_acknowledges():
    controller = settled()
    proxy, state = controller.proxies["p0"], controller.core.tables.proxies[0]
    apply_update(controller, lambda tables: tables.set_weight(0, 3, 55.0))
    proxy.pump()
    unread = len(proxy.unread)
    for weight in range(60, 70):
        controller.run(100.0, read=False)
        apply_update(controller, lambda tables, weight=weight: tables.set_weight(0, 3, float(weight)))
    apply_update(controller, lambda tables: tables.set_ejected(4, True, "draining"))
    controller.run(50.0, read=False)
    later = proxy.unread[unread:]
    drains = [r for r in later if any("withdrawn/4" in each.name for each in r.resources)]
    assert len(drains) == 1 and state.has_late_ack(controller.now)
    lines = [each.name for r in proxy.unread for each in r.resources if each.name.endswith("table-0/3")]
    assert len(lines) <= 7, "weights that are superseded while an ack is late are not sent"
    controller.run(50.0)
    assert (
        state.acknowledged[WEIGHT, 0, 3] == controller.core.tables.shared_resource((WEIGHT, 0, 3)).version
        and not state.in_flight_updates
    )
    assert not [d for d in state.new_ack_delays(controller.now, None) if d.status == LOST]


def test_late_acks_in_sequence_do_not_count_as_lost_updates():
    controller = settled()
    proxy, state = controller.proxies["p0"], controller.core.tables.proxies[0]
    for weight in (55.0, 56.0, 57.0):
        apply_update(controller, lambda tables, weight=weight: tables.set_weight(0, 3, weight))
        proxy.pump()
    controller.run(2000.0, read=False)
    controller.run(20.0)
    statuses = [d.status for d in state.new_ack_delays(controller.now, None)]
    assert LOST not in statuses and not state.in_flight_updates


def test_a_large_update_is_split_with_ejections_first_and_never_leaves_a_proxy_without_endpoints():
    controller = MemoryController(endpoints=60)
    proxy = controller.join("p0")
    proxy.line_ms = 2.0
    controller.run(4000)
    state = controller.core.tables.proxies[0]
    assert max(len(names) for _, names, _ in proxy.log) <= 25, "the first table is split as well"
    max_lines = state.ack_latency.max_lines()
    assert max_lines and 10 <= max_lines <= 25
    proxy.log.clear()

    def write(tables):
        for endpoint in range(1, 51):
            tables.set_weight(0, endpoint, 33.0)
        tables.set_weight(0, 55, 0.0)
        tables.set_ejected(55, True, "draining")

    apply_update(controller, write)
    controller.run(60.0)
    assert any("withdrawn/55" in name for name in proxy.log[0][1])
    controller.run(1500.0)
    tables = controller.core.tables
    assert all(
        state.acknowledged[key] == tables.shared_resource(key).version
        for key in tables.desired_keys(0)
        if key[0] == WEIGHT
    )
    sizes = [len(names) + len(removed) for _, names, removed in proxy.log]
    assert max(sizes) <= 25 and sum(sizes) >= 52
    removal = next(at for at, row in enumerate(proxy.log) if any(name.endswith("table-0/55") for name in row[2]))
    assert all(not any(name.endswith("/1") for name in row[1]) for row in proxy.log[removal + 1 :])  # removals are last
