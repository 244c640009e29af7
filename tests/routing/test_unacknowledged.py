"""Endpoints that warm up while some proxies still use their outdated weights."""

import pytest
from memory_fleet import MemoryController, apply_update

from quillstep.controller.events import EndpointListReceived
from quillstep.planner.messages import EndpointEntry
from quillstep.xds.resources import LEDS


def restart_endpoint(outdated):
    """Endpoint 3 is terminated and restarts; `outdated` of five proxies never applied its ejection."""
    controller = MemoryController()
    for at in range(5):
        controller.join(f"p{at}", "ab"[at % 2])
    controller.run(9000)
    core = controller.core
    proxies = list(controller.proxies.values())
    core.handle_endpoint_list(EndpointListReceived("partial", [EndpointEntry(3, "b", "terminated", 1.0, 0.0)], {}))
    core.record_arrival(controller.now)
    for _ in range(60):
        controller.now += 10.0
        core.step(controller.now)
        for at, proxy in enumerate(proxies):
            proxy.pump()
            if at >= outdated:
                proxy.read()
    core.handle_endpoint_list(
        EndpointListReceived("partial", [EndpointEntry(3, "b", "in_service", 1.0, controller.now)], {})
    )
    core.record_arrival(controller.now)
    core.tables.saturation.warming_up[3] = controller.now
    apply_update(controller, lambda tables: (tables.set_weight(0, 3, 2.0), tables.set_ejected(3, False, "")))
    for _ in range(20):
        controller.now += 10.0
        core.tables.pending_proxies.update(core.tables.proxies)
        for at, proxy in enumerate(proxies):
            proxy.pump()
            if at >= outdated:
                proxy.read()
    return controller, proxies


@pytest.mark.parametrize(("outdated", "restored"), [(0, True), (1, True), (3, False)])
def test_a_warming_endpoint_saturated_by_outdated_weights_gets_no_more_load(outdated, restored):
    controller, proxies = restart_endpoint(outdated)
    ejected = [any("withdrawn/3" in name for name in proxy.held(LEDS)) for proxy in proxies[outdated:]]
    assert all(ejected) if not restored else not any(ejected)
    for proxy in proxies:  # once the outdated proxies have applied everything, the others wait no longer
        proxy.read()
    controller.run(300.0)
    versions = {proxy.held(LEDS)[name] for proxy in proxies for name in proxy.held(LEDS) if name.endswith("table-0/3")}
    assert len(versions) == 1
