"""The store writer: durability reports, operators' commands, and failures of the store."""

import threading

from memory_fleet import MemoryController, controller_settings

from quillstep.config.controller import StoreSettings
from quillstep.routing.versions import TableVersion, version_from_row
from quillstep.store.events import OperatorRequest, StoreOpened, StoreUnavailable, UpdatesStored
from quillstep.store.records import (
    INCARNATIONS,
    JOURNAL,
    OPERATOR_COMMANDS,
    PINS,
    Entry,
    OperatorCommand,
    PinRow,
    number_key,
)
from quillstep.store.writer import StoreWriter, open_store
from quillstep.xds.resources import LEDS


def test_the_writer_reports_durable_updates_and_publishes_a_command_once(tmp_path):
    settings = StoreSettings(folder=str(tmp_path / "s"), operator_poll_interval_ms=5.0)
    events, has_request = [], threading.Event()

    def put(event):
        events.append(event)
        if isinstance(event, OperatorRequest):
            has_request.set()

    writer = StoreWriter(settings, open_store(settings), "e", put)
    thread = threading.Thread(target=writer.run)
    thread.start()
    version = TableVersion("v1", 0, "", "module", "", 0.0, 1, {1: 10.0}, {0: (5.0, 1)})
    pin = writer.pin_entry(version._replace(cause="rollback", operator="op"), 7.0)
    writer.submit(1, [writer.version_entry(version, 7.0), pin])
    writer.store.write([Entry(OPERATOR_COMMANDS, number_key(9), OperatorCommand("rollback", [(0, "v1")], "op", 7.0))])
    assert has_request.wait(20.0)
    writer.submit(2, [writer.command_done_entry(number_key(9).hex())])
    writer.stop()
    thread.join(20.0)
    assert UpdatesStored(1) in events and UpdatesStored(2) in events
    (request,) = [event for event in events if isinstance(event, OperatorRequest)]
    assert version_from_row(request.targets[0].version).weights == {1: 10.0}
    fresh = StoreWriter(settings, open_store(settings), "f", put)
    assert fresh.store.rows(OPERATOR_COMMANDS) == [] and fresh.store.rows(INCARNATIONS)[0][1].ended_ms > 0
    recovered = fresh.opened_event()
    assert isinstance(recovered, StoreOpened)
    assert len(recovered.versions) == 1 and recovered.pins[0][1:] == ("rollback", "op")


def test_a_pin_whose_version_is_not_retained_is_skipped_and_logged(tmp_path, capsys):
    settings = StoreSettings(folder=str(tmp_path / "s"))
    store = open_store(settings)
    store.write([Entry(PINS, number_key(0), PinRow(0, "gone", "op", 5.0))])
    assert StoreWriter(settings, store, "e", print).opened_event().pins == []
    assert "pin skipped" in "".join(capsys.readouterr())


def test_a_full_store_is_closed_and_reported_unavailable(tmp_path):
    settings = StoreSettings(folder=str(tmp_path / "s"), max_size_bytes=2**20, operator_poll_interval_ms=5.0)
    events = []
    writer = StoreWriter(settings, open_store(settings), "e", events.append)
    for at in range(200):
        writer.submit(at, [Entry(JOURNAL, number_key(at + 1), ["e", at, 0.0, ["x" * 20000]])])
    writer.run()
    assert isinstance(events[-1], StoreUnavailable) and "full" in writer.failure or "no room" in writer.failure


def test_an_update_waits_until_it_is_durable_unless_it_ejects_or_the_store_is_unavailable():
    controller = MemoryController(
        settings=controller_settings(store=StoreSettings(folder="x", max_durability_wait_ms=500.0))
    )
    proxy, core = controller.join("p0"), controller.core
    core.handle_store_event(UpdatesStored(10**9))
    controller.run(4000)
    core.release.durable_revision = core.tables.revision
    planner_revision = core.tables.revision
    core.update_endpoint_states(controller.now)
    core.tables.begin()
    core.versioned_tables.set_weight(0, 3, 14.0)
    core.versioned_tables.flush()
    core.channel.put(core.tables.commit(), controller.now)
    revision = core.tables.revision
    controller.run(100)
    assert core.tables.proxies[0].released_revision <= planner_revision
    core.handle_store_event(UpdatesStored(revision))
    controller.run(20)
    assert core.tables.proxies[0].released_revision >= revision
    core.release.durable_revision = 0.0
    controller.receive_endpoint_list("partial", [4], "terminating")
    controller.run(200)
    assert any("withdrawn/4" in name for name in proxy.held(LEDS))
    core.handle_store_event(StoreUnavailable("no disk"))
    assert core.release.durable_revision == float("inf")
