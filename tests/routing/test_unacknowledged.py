"""Endpoints that warm up while proxies hold outdated weights of them."""

import pytest
from memory_fleet import MemoryPilot, order

from quillstep.controller.events import EndpointListReceived
from quillstep.planner.messages import EndpointEntry
from quillstep.xds.resources import LEDS


def cold_return(stale):
    """Endpoint 3 dies and comes back cold; so many of five proxies never applied its death."""
    pilot = MemoryPilot()
    for at in range(5):
        pilot.join(f"p{at}", "ab"[at % 2])
    pilot.run(9000)
    core = pilot.core
    held = list(pilot.proxies.values())
    core.handle_endpoint_list(EndpointListReceived("partial", [EndpointEntry(3, "b", "terminated", 1.0, 0.0)], {}))
    core.record_arrival(pilot.now)
    for _ in range(60):
        pilot.now += 10.0
        core.step(pilot.now)
        for at, proxy in enumerate(held):
            proxy.pump()
            if at >= stale:
                proxy.read()
    core.handle_endpoint_list(
        EndpointListReceived("partial", [EndpointEntry(3, "b", "in_service", 1.0, pilot.now)], {})
    )
    core.record_arrival(pilot.now)
    core.tables.saturation.warming_up[3] = pilot.now
    order(pilot, lambda tables: (tables.set_weight(0, 3, 2.0), tables.set_ejected(3, False, "")))
    for _ in range(20):
        pilot.now += 10.0
        core.tables.pending_proxies.update(core.tables.proxies)
        for at, proxy in enumerate(held):
            proxy.pump()
            if at >= stale:
                proxy.read()
    return pilot, held


@pytest.mark.parametrize(("stale", "others"), [(0, True), (1, True), (3, False)])
def test_a_warming_endpoint_saturated_by_outdated_weights_gets_no_more(stale, others):
    pilot, held = cold_return(stale)
    out = [any("withdrawn/3" in name for name in proxy.held(LEDS)) for proxy in held[stale:]]
    assert all(out) if not others else not any(out)
    for proxy in held:  # those that were behind apply all; then nobody waits any more
        proxy.read()
    pilot.run(300.0)
    lines = {proxy.held(LEDS)[name] for proxy in held for name in proxy.held(LEDS) if name.endswith("table-0/3")}
    assert len(lines) == 1
