"""One proxy's generations: acknowledged, rejected, and not written because of an error."""

import pytest
from memory_fleet import MemoryController, apply_update

from quillstep.files.proxy_generations import ProxyGenerations
from quillstep.routing.resources import CLUSTER, EJECTED, ROUTES, WEIGHT


def generations_of(controller, name="p0"):
    """Adds a proxy that follows files to a core; returns its generations and a `step` function.

    `step` advances the clock until a generation is due, marks it as written and returns it; None after `ms`.
    """
    proxy = controller.core.add_proxy(name, "a", 5.0, {}, True)
    generations = ProxyGenerations(proxy, 0, {})

    def step(ms=2000.0):
        until = controller.now + ms
        while controller.now < until:
            controller.now += 10.0
            controller.core.step(controller.now)
            generation = generations.next(controller.core.tables, controller.now)
            if generation:
                generations.mark_written()
                return generation
        return None

    return generations, step


def test_the_first_generation_is_complete_and_the_next_counts_only_the_change():
    controller = MemoryController()
    generations, step = generations_of(controller)
    first = step()
    assert {(CLUSTER, 0), (ROUTES,)} <= first.resources.keys()
    assert sum(key[0] == WEIGHT for key in first.resources) == 6
    assert generations.handle_ack(controller.core.tables, first.number, "", controller.now).acknowledged
    apply_update(controller, lambda tables: tables.set_weight(0, 3, 77.0))
    second = step()
    assert (second.updated, second.removed) == (1, 0) and len(second.resources) == len(first.resources)


def test_a_rejected_generation_is_not_repeated_and_its_ejection_is_sent_separately():
    controller = MemoryController()
    generations, step = generations_of(controller)
    tables = controller.core.tables
    generations.handle_ack(tables, step().number, "", controller.now)

    def write(tables):
        tables.set_ejected(4, True, "draining")
        tables.set_weight(0, 3, 77.0)

    apply_update(controller, write)
    rejected = step()
    assert generations.handle_ack(tables, rejected.number, "invalid weight", controller.now).nack
    ejection = step()
    assert (EJECTED, 4) in ejection.resources and ejection.resources[WEIGHT, 0, 3] != rejected.resources[WEIGHT, 0, 3]
    assert generations.handle_ack(tables, ejection.number, "", controller.now).acknowledged
    weight = step()
    assert weight.resources[WEIGHT, 0, 3] == rejected.resources[WEIGHT, 0, 3]
    assert generations.handle_ack(tables, weight.number, "invalid weight", controller.now).nack.is_isolated
    assert step(3000.0) is None or generations.newest[WEIGHT, 0, 3] != rejected.resources[WEIGHT, 0, 3]


def test_a_version_sent_twice_is_acknowledged_only_by_its_newest_generation():
    controller = MemoryController()
    generations, step = generations_of(controller)
    tables = controller.core.tables
    generations.handle_ack(tables, step().number, "", controller.now)
    sent = []
    for weight in (55.0, 66.0, 55.0):
        apply_update(controller, lambda tables, weight=weight: tables.set_weight(0, 3, weight))
        sent.append(step())
    ledger = tables.proxies[generations.proxy]
    assert sent[0].resources[WEIGHT, 0, 3] == sent[2].resources[WEIGHT, 0, 3] and sent[0].number < sent[2].number
    generations.handle_ack(tables, sent[0].number, "", controller.now)
    assert (WEIGHT, 0, 3) in ledger.in_flight
    generations.handle_ack(tables, sent[2].number, "", controller.now)
    assert not ledger.in_flight_updates and ledger.acknowledged[WEIGHT, 0, 3] == sent[2].resources[WEIGHT, 0, 3].version


@pytest.mark.parametrize("number", [-1, 99, 7])
def test_an_acknowledgement_of_an_unknown_generation_is_ignored(number):
    controller = MemoryController()
    generations, step = generations_of(controller)
    step()
    result = generations.handle_ack(controller.core.tables, number, "", controller.now)
    assert result.error and not result.acknowledged
    assert not controller.core.tables.proxies[generations.proxy].acknowledged


def test_changes_that_could_not_be_written_are_in_the_next_generation_with_later_changes():
    controller = MemoryController()
    generations, step = generations_of(controller)
    tables = controller.core.tables
    generations.handle_ack(tables, step().number, "", controller.now)
    apply_update(controller, lambda tables: tables.set_weight(0, 3, 77.0))
    failed = generations.next(tables, controller.now)
    apply_update(controller, lambda tables: tables.set_ejected(4, True, "draining"))
    assert generations.next(tables, controller.now) is None  # one write at a time
    generations.mark_failed(tables.proxies[generations.proxy], failed.number, controller.now, 200.0)
    assert generations.next(tables, controller.now) is None  # the back-off after a failure
    retried = step()
    assert retried.resources[WEIGHT, 0, 3] == failed.resources[WEIGHT, 0, 3] and (EJECTED, 4) in retried.resources


def test_an_endpoint_ejected_during_a_write_is_in_the_next_generation_immediately():
    controller = MemoryController()
    generations, step = generations_of(controller)
    tables = controller.core.tables
    generations.handle_ack(tables, step().number, "", controller.now)
    apply_update(controller, lambda tables: tables.set_weight(0, 3, 77.0))
    assert generations.next(tables, controller.now)
    apply_update(controller, lambda tables: tables.set_ejected(4, True, "draining"))
    generations.mark_written()
    following = generations.next(tables, controller.now)
    assert (EJECTED, 4) in following.resources and following.updated == 1
    assert generations.handle_ack(tables, following.number, "", controller.now).acknowledged
    assert not tables.proxies[generations.proxy].in_flight_updates  # the newer set contains the older changes


def test_the_first_generation_of_a_proxy_from_a_stream_contains_all_held_resources():
    controller = MemoryController()
    stream = controller.join("p1")
    controller.run(3000)
    held = dict(controller.core.tables.proxies[stream.number].acknowledged)
    stream.leave()
    proxy = controller.core.add_proxy("p1", "a", 5.0, held, False)
    generations = ProxyGenerations(proxy, 0, {})
    generation = None
    while generation is None:
        controller.now += 10.0
        controller.core.step(controller.now)
        apply_update(controller, lambda tables: tables.set_ejected(5, True, "lost"))
        generation = generations.next(controller.core.tables, controller.now)
    assert held.keys() <= generation.resources.keys() and (EJECTED, 5) in generation.resources
    assert sum(generation.resources[key].version != version for key, version in held.items()) <= generation.updated
