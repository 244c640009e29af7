"""The store's thread: what is durable, operators' commands, a store that fails."""

import threading

from memory_fleet import MemoryPilot, pilot_record

from quillstep.config.controller import StoreSettings
from quillstep.routing.versions import TableVersion, version_from_row
from quillstep.store.events import OperatorRequest, StoreLost, StoreOpened, UpdatesStored
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


def test_the_writer_reports_what_is_durable_and_hands_over_a_command_once(tmp_path):
    record = StoreSettings(folder=str(tmp_path / "s"), operator_poll_interval_ms=5.0)
    events, woken = [], threading.Event()

    def put(each):
        events.append(each)
        if isinstance(each, OperatorRequest):
            woken.set()

    writer = StoreWriter(record, open_store(record), "e", put)
    thread = threading.Thread(target=writer.run)
    thread.start()
    version = TableVersion("v1", 0, "", "module", "", 0.0, 1, {1: 10.0}, {0: (5.0, 1)})
    pin = writer.pin_entry(version._replace(cause="rollback", operator="op"), 7.0)
    writer.submit(1, [writer.version_entry(version, 7.0), pin])
    writer.store.write([Entry(OPERATOR_COMMANDS, number_key(9), OperatorCommand("rollback", [(0, "v1")], "op", 7.0))])
    assert woken.wait(20.0)
    writer.submit(2, [writer.command_done_entry(number_key(9).hex())])
    writer.stop()
    thread.join(20.0)
    assert UpdatesStored(1) in events and UpdatesStored(2) in events
    (request,) = [each for each in events if isinstance(each, OperatorRequest)]
    assert version_from_row(request.targets[0].version).weights == {1: 10.0}
    fresh = StoreWriter(record, open_store(record), "f", put)
    assert fresh.store.rows(OPERATOR_COMMANDS) == [] and fresh.store.rows(INCARNATIONS)[0][1].ended_ms > 0
    recovered = fresh.opened_event()
    assert isinstance(recovered, StoreOpened)
    assert len(recovered.versions) == 1 and recovered.pins[0][1:] == ("rollback", "op")


def test_a_pin_whose_version_is_gone_is_skipped_with_a_log_line(tmp_path, capsys):
    record = StoreSettings(folder=str(tmp_path / "s"))
    store = open_store(record)
    store.write([Entry(PINS, number_key(0), PinRow(0, "gone", "op", 5.0))])
    assert StoreWriter(record, store, "e", print).opened_event().pins == []
    assert "pin passed over" in "".join(capsys.readouterr())


def test_a_store_that_fills_up_is_closed_and_the_controller_goes_on(tmp_path):
    record = StoreSettings(folder=str(tmp_path / "s"), max_size_bytes=2**20, operator_poll_interval_ms=5.0)
    events = []
    writer = StoreWriter(record, open_store(record), "e", events.append)
    for at in range(200):
        writer.submit(at, [Entry(JOURNAL, number_key(at + 1), ["e", at, 0.0, ["x" * 20000]])])
    writer.run()
    assert isinstance(events[-1], StoreLost) and "full" in writer.failure or "no room" in writer.failure


def test_an_update_waits_to_be_durable_unless_it_ejects_or_the_disk_is_late():
    pilot = MemoryPilot(record=pilot_record(store=StoreSettings(folder="x", max_durability_wait_ms=500.0)))
    proxy, core = pilot.join("p0"), pilot.core
    core.handle_store_event(UpdatesStored(10**9))
    pilot.run(4000)
    core.release.durable_revision = core.tables.revision
    module_wrote = core.tables.revision
    core.update_endpoint_states(pilot.now)
    core.tables.begin()
    core.versioned_tables.set_weight(0, 3, 14.0)
    core.versioned_tables.flush()
    core.channel.put(core.tables.commit(), pilot.now)
    number = core.tables.revision
    pilot.run(100)
    assert core.tables.proxies[0].released_revision <= module_wrote
    core.handle_store_event(UpdatesStored(number))
    pilot.run(20)
    assert core.tables.proxies[0].released_revision >= number
    core.release.durable_revision = 0.0
    pilot.roster("partial", [4], "terminating")
    pilot.run(200)
    assert any("withdrawn/4" in each for each in proxy.held(LEDS))
    core.handle_store_event(StoreLost("no disk"))
    assert core.release.durable_revision == float("inf")
