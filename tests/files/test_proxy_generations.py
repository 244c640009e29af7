"""One proxy's generations: acknowledged, rejected, failed to write."""

import pytest
from memory_fleet import MemoryController, apply_update

from quillstep.files.proxy_generations import ProxyGenerations
from quillstep.routing.resources import CLUSTER, EJECTED, ROUTES, WEIGHT


def generations_of(pilot, name="p0"):
    """A file proxy's generations on a core; `step` writes what is due and returns the generation."""
    proxy = pilot.core.add_proxy(name, "a", 5.0, {}, True)
    generations = ProxyGenerations(proxy, 0, {})

    def step(ms=2000.0):
        until = pilot.now + ms
        while pilot.now < until:
            pilot.now += 10.0
            pilot.core.step(pilot.now)
            made = generations.next(pilot.core.tables, pilot.now)
            if made:
                generations.mark_written()
                return made
        return None

    return generations, step


def test_the_first_generation_is_complete_and_the_next_counts_the_change_alone():
    pilot = MemoryController()
    generations, step = generations_of(pilot)
    first = step()
    assert {(CLUSTER, 0), (ROUTES,)} <= first.resources.keys()
    assert sum(key[0] == WEIGHT for key in first.resources) == 6
    assert generations.handle_ack(pilot.core.tables, first.number, "", pilot.now).acknowledged
    apply_update(pilot, lambda tables: tables.set_weight(0, 3, 77.0))
    second = step()
    assert (second.updated, second.removed) == (1, 0) and len(second.resources) == len(first.resources)


def test_a_rejected_generation_is_not_written_again_and_its_drain_goes_without_the_rest():
    pilot = MemoryController()
    generations, step = generations_of(pilot)
    tables = pilot.core.tables
    generations.handle_ack(tables, step().number, "", pilot.now)

    def write(tables):
        tables.set_ejected(4, True, "draining")
        tables.set_weight(0, 3, 77.0)

    apply_update(pilot, write)
    refused = step()
    assert generations.handle_ack(tables, refused.number, "bad line", pilot.now).nack
    drain = step()
    assert (EJECTED, 4) in drain.resources and drain.resources[WEIGHT, 0, 3] != refused.resources[WEIGHT, 0, 3]
    assert generations.handle_ack(tables, drain.number, "", pilot.now).acknowledged
    alone = step()
    assert alone.resources[WEIGHT, 0, 3] == refused.resources[WEIGHT, 0, 3]
    assert generations.handle_ack(tables, alone.number, "bad line", pilot.now).nack.is_isolated
    assert step(3000.0) is None or generations.newest[WEIGHT, 0, 3] != refused.resources[WEIGHT, 0, 3]


def test_a_resource_that_returns_is_held_by_its_own_generations_acknowledgement_alone():
    pilot = MemoryController()
    generations, step = generations_of(pilot)
    tables = pilot.core.tables
    generations.handle_ack(tables, step().number, "", pilot.now)
    made = []
    for weight in (55.0, 66.0, 55.0):
        apply_update(pilot, lambda tables, weight=weight: tables.set_weight(0, 3, weight))
        made.append(step())
    ledger = tables.proxies[generations.proxy]
    assert made[0].resources[WEIGHT, 0, 3] == made[2].resources[WEIGHT, 0, 3] and made[0].number < made[2].number
    generations.handle_ack(tables, made[0].number, "", pilot.now)
    assert (WEIGHT, 0, 3) in ledger.in_flight
    generations.handle_ack(tables, made[2].number, "", pilot.now)
    assert not ledger.in_flight_updates and ledger.acknowledged[WEIGHT, 0, 3] == made[2].resources[WEIGHT, 0, 3].version


@pytest.mark.parametrize("number", [-1, 99, 7])
def test_an_acknowledgement_of_an_unknown_generation_is_ignored(number):
    pilot = MemoryController()
    generations, step = generations_of(pilot)
    step()
    word = generations.handle_ack(pilot.core.tables, number, "", pilot.now)
    assert word.error and not word.acknowledged
    assert not pilot.core.tables.proxies[generations.proxy].acknowledged


def test_what_could_not_be_written_is_written_next_with_later_changes():
    pilot = MemoryController()
    generations, step = generations_of(pilot)
    tables = pilot.core.tables
    generations.handle_ack(tables, step().number, "", pilot.now)
    apply_update(pilot, lambda tables: tables.set_weight(0, 3, 77.0))
    made = generations.next(tables, pilot.now)
    apply_update(pilot, lambda tables: tables.set_ejected(4, True, "draining"))
    assert generations.next(tables, pilot.now) is None  # one at a time
    generations.mark_failed(tables.proxies[generations.proxy], made.number, pilot.now, 200.0)
    assert generations.next(tables, pilot.now) is None  # and not at once after a failure
    again = step()
    assert again.resources[WEIGHT, 0, 3] == made.resources[WEIGHT, 0, 3] and (EJECTED, 4) in again.resources


def test_an_endpoint_ejected_while_a_generation_is_written_goes_with_the_next_at_once():
    pilot = MemoryController()
    generations, step = generations_of(pilot)
    tables = pilot.core.tables
    generations.handle_ack(tables, step().number, "", pilot.now)
    apply_update(pilot, lambda tables: tables.set_weight(0, 3, 77.0))
    assert generations.next(tables, pilot.now)
    apply_update(pilot, lambda tables: tables.set_ejected(4, True, "draining"))
    generations.mark_written()
    after = generations.next(tables, pilot.now)
    assert (EJECTED, 4) in after.resources and after.updated == 1
    assert generations.handle_ack(tables, after.number, "", pilot.now).acknowledged
    assert not tables.proxies[generations.proxy].in_flight_updates  # the newer set has the older in it


def test_a_proxy_that_comes_from_a_stream_loses_nothing_on_its_first_generation():
    pilot = MemoryController()
    stream = pilot.join("p1")
    pilot.run(3000)
    held = dict(pilot.core.tables.proxies[stream.number].acknowledged)
    stream.leave()
    proxy = pilot.core.add_proxy("p1", "a", 5.0, held, False)
    generations = ProxyGenerations(proxy, 0, {})
    made = None
    while made is None:
        pilot.now += 10.0
        pilot.core.step(pilot.now)
        apply_update(pilot, lambda tables: tables.set_ejected(5, True, "lost"))
        made = generations.next(pilot.core.tables, pilot.now)
    assert held.keys() <= made.resources.keys() and (EJECTED, 5) in made.resources
    assert sum(made.resources[key].version != version for key, version in held.items()) <= made.updated
