"""Recovery of tables after a start: trust by age, weights until the planner has learned anew."""

import pytest
from memory_fleet import MemoryPilot, pilot_record
from versioned_fleet import current_versions, holds, settled, write_weights

from quillstep.config.controller import StoreSettings
from quillstep.routing.recovery import RecoveredTable, recovery_trust_ms
from quillstep.store.events import StoreOpened
from quillstep.xds.resources import LEDS


@pytest.mark.parametrize(
    ("age", "span"),
    [(0.0, 12000.0), (60000.0, 6000.0), (120000.0, 0.0), (10.0**9, 0.0), (-500.0, 12000.0), (-5000.0, 0.0)],
)
def test_trust_falls_with_age_and_a_clock_that_went_back_ends_it(age, span):
    assert recovery_trust_ms(age, 12000.0, 120000.0) == pytest.approx(span)


@pytest.mark.parametrize(
    ("words", "now", "warm", "started", "stands"),
    [
        ([10.0], 0.0, True, 0.0, 3.0),  # the first word of a clean start is no news
        ([10.0, 9.0], 0.0, True, 0.0, 3.0),  # still better than what was known: old news keeps it down
        ([10.0, 2.0], 0.0, True, 0.0, 2.0),  # a fresh bad word beats what was known
        ([10.0], 2000.0, True, 0.0, 10.0),  # its trust is over
        ([10.0], 0.0, False, 0.0, 10.0),
        ([10.0], 0.0, True, 600.0, 10.0),  # it has started since: it is another now
        ([0.0], 0.0, True, 0.0, 0.0),
    ],
)
def test_a_recovered_weight_holds_until_a_lower_one_is_planned_or_its_trust_is_over(words, now, warm, started, stands):
    former = RecoveredTable({1: 3.0}, 500.0, 1000.0)
    assert [former.effective_weight(1, word, now, warm, started) for word in words][-1] == stands


def test_a_restarted_controller_sends_nothing_that_is_held_and_ends_on_the_planners_tables():
    first = settled(2, store=StoreSettings(folder="x"))
    first.core.release.durable_revision = float("inf")
    write_weights(first, {3: 4.0, 5: 14.0})
    first.run(500)
    version = current_versions(first)[-1]
    again = MemoryPilot(record=pilot_record(store=StoreSettings(folder="x", recovery_trust_ms=6000.0)))
    again.core.release.durable_revision = float("inf")
    rows = [
        list(version[:5]) + [1000.0, list(version.weights.items()), [[p, *lv] for p, lv in version.admission.items()]]
    ]
    again.core.handle_store_event(StoreOpened(1100.0, rows, []))
    proxies = [again.join(name, zone, proxy.versions) for (name, proxy), zone in zip(first.proxies.items(), "ab")]  # noqa: B905
    again.run(3000)
    for proxy in proxies:
        assert not [n for url, names, _ in proxy.log if url == LEDS for n in names if "/table-0/" in n]
        assert holds(again, proxy, version.weights)
    again.run(9000)
    module = again.core.planner.fleet.endpoints
    for proxy in proxies:
        assert holds(again, proxy, {e: record.published_slots[0] for e, record in module.items()})
