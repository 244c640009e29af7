"""Helpers of tests that write, pin and recover versions of a controller's tables directly."""

from memory_fleet import MemoryController, controller_settings

from quillstep.routing.resources import WEIGHT, make_resource
from quillstep.xds.resources import LEDS, name


def settled(proxies=2, **settings):
    controller = MemoryController(settings=controller_settings(**settings))
    for at in range(proxies):
        controller.join(f"p{at}", "ab"[at % 2])
    return controller.run(4000)


def write_weights(controller, weights):
    """Writes weights to table 0 as the planner does, in a separate update that is released at once."""
    core = controller.core
    core.update_endpoint_states(controller.now)
    core.tables.begin()
    for endpoint, weight in weights.items():
        core.versioned_tables.set_weight(0, endpoint, weight)
    core.versioned_tables.flush()
    for update in core.tables.commit():
        core.tables.release(update.proxy, update.revision)


def holds(controller, proxy, weights):
    """Whether a proxy holds exactly these weights of table 0."""
    tables = controller.core.tables
    wanted = {
        name((WEIGHT, 0, e)): make_resource((WEIGHT, 0, e), (*tables.addresses[e], float(w))).version
        for e, w in weights.items()
    }
    return {n: v for n, v in proxy.held(LEDS).items() if "/table-0/" in n} == wanted


def current_versions(controller):
    return controller.core.versioned_tables.rollouts[0].versions
