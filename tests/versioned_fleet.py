"""Builders of a controller whose tables' versions are written, pinned and recovered by hand."""

from memory_fleet import MemoryPilot, pilot_record

from quillstep.routing.resources import WEIGHT, make_resource
from quillstep.xds.resources import LEDS, name


def settled(proxies=2, **record):
    pilot = MemoryPilot(record=pilot_record(**record))
    for at in range(proxies):
        pilot.join(f"p{at}", "ab"[at % 2])
    return pilot.run(4000)


def write_weights(pilot, lines):
    """As the module would: into the book, in an order of its own."""
    core = pilot.core
    core.update_endpoint_states(pilot.now)
    core.tables.begin()
    for endpoint, weight in lines.items():
        core.versioned_tables.set_weight(0, endpoint, weight)
    core.versioned_tables.flush()
    for push in core.tables.commit():
        core.tables.release(push.proxy, push.revision)


def holds(pilot, proxy, lines):
    """Whether a proxy has exactly these lines of table 0."""
    tables = pilot.core.tables
    wanted = {
        name((WEIGHT, 0, e)): make_resource((WEIGHT, 0, e), (*tables.addresses[e], float(w))).version
        for e, w in lines.items()
    }
    return {n: v for n, v in proxy.held(LEDS).items() if "/table-0/" in n} == wanted


def current_versions(pilot):
    return pilot.core.versioned_tables.rollouts[0].versions
