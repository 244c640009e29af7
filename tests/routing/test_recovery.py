"""Recovery of tables after a start: trust by age, and weights until the planner has made its own observations."""

import pytest
from memory_fleet import MemoryController, controller_settings
from versioned_fleet import current_versions, holds, settled, write_weights

from quillstep.config.controller import StoreSettings
from quillstep.routing.recovery import RecoveredTable, recovery_trust_ms
from quillstep.store.events import StoreOpened
from quillstep.xds.resources import LEDS


@pytest.mark.parametrize(
    ("age_ms", "trust_ms"),
    [(0.0, 12000.0), (60000.0, 6000.0), (120000.0, 0.0), (10.0**9, 0.0), (-500.0, 12000.0), (-5000.0, 0.0)],
)
def test_trust_falls_with_age_and_is_zero_if_the_clock_was_set_back(age_ms, trust_ms):
    assert recovery_trust_ms(age_ms, 12000.0, 120000.0) == pytest.approx(trust_ms)


@pytest.mark.parametrize(
    ("planned", "now_ms", "is_warm", "started_ms", "effective"),
    [
        ([10.0], 0.0, True, 0.0, 3.0),  # the planner's first weight is based on no observation
        ([10.0, 9.0], 0.0, True, 0.0, 3.0),  # not below the recovered weight, which stays in effect
        ([10.0, 2.0], 0.0, True, 0.0, 2.0),  # a new lower weight overrides the recovered one
        ([10.0], 2000.0, True, 0.0, 10.0),  # the recovered table has expired
        ([10.0], 0.0, False, 0.0, 10.0),
        ([10.0], 0.0, True, 600.0, 10.0),  # the endpoint has restarted since
        ([0.0], 0.0, True, 0.0, 0.0),
    ],
)
def test_a_recovered_weight_stays_until_a_lower_one_is_planned_or_it_expires(
    planned, now_ms, is_warm, started_ms, effective
):
    table = RecoveredTable({1: 3.0}, 500.0, 1000.0)
    assert [table.effective_weight(1, weight, now_ms, is_warm, started_ms) for weight in planned][-1] == effective


def test_a_restarted_controller_resends_no_held_weights_and_ends_with_the_planners_tables():
    first = settled(2, store=StoreSettings(folder="x"))
    first.core.release.durable_revision = float("inf")
    write_weights(first, {3: 4.0, 5: 14.0})
    first.run(500)
    version = current_versions(first)[-1]
    again = MemoryController(settings=controller_settings(store=StoreSettings(folder="x", recovery_trust_ms=6000.0)))
    again.core.release.durable_revision = float("inf")
    rows = [
        list(version[:5])
        + [1000.0, list(version.weights.items()), [[c, *entry] for c, entry in version.admission.items()]]
    ]
    again.core.handle_store_event(StoreOpened(1100.0, rows, []))
    proxies = [again.join(name, zone, proxy.versions) for (name, proxy), zone in zip(first.proxies.items(), "ab")]  # noqa: B905
    again.run(3000)
    for proxy in proxies:
        assert not [n for url, names, _ in proxy.log if url == LEDS for n in names if "/table-0/" in n]
        assert holds(again, proxy, version.weights)
    again.run(9000)
    planned = again.core.planner.fleet.endpoints
    for proxy in proxies:
        assert holds(again, proxy, {e: record.published_slots[0] for e, record in planned.items()})
