"""Versions of tables: the gate, the book, the store on disk, kills at every write point, the way back on sockets."""

import threading
import time

import lmdb
import msgspec
import pytest
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from memory_fleet import MemoryPilot, pilot_record, small_day

from quillstep.bench import crash
from quillstep.cli.main import cli
from quillstep.config.controller import RolloutGateSettings, StoreSettings
from quillstep.invariants import check_invariants
from quillstep.routing.recovery import RecoveredTable, recovery_trust_ms
from quillstep.routing.resources import EJECTED, WEIGHT, make_resource
from quillstep.routing.rollout_gate import (
    MOVED_SHARE,
    NO_WARM_ENDPOINT,
    NOT_IN_SERVICE,
    WARMING_UP,
    EndpointStates,
    RolloutGate,
)
from quillstep.routing.versions import TableVersion, version_from_row
from quillstep.store import (
    Store,
    StoreCorruptError,
    StoreError,
    StoreFullError,
    StoreReadOnlyError,
    StoreSchemaTooNewError,
)
from quillstep.store.records import (
    ACKNOWLEDGED_UPDATES,
    INCARNATIONS,
    JOURNAL,
    META,
    OPERATOR_COMMANDS,
    PARTS,
    PINS,
    SCHEMA,
    VERSIONS,
    AcknowledgedUpdate,
    Entry,
    OperatorCommand,
    PinRow,
    VersionRow,
    number_key,
    pack,
)
from quillstep.store.retention import StoredVersion, numbers_to_drop
from quillstep.store.store import SCHEMA_KEY, set_aside
from quillstep.store.writer import StoreWriter, opened
from quillstep.testbed.scenarios.plan import plan
from quillstep.testbed.scenarios.runner import Arm
from quillstep.xds.resources import LEDS, name

NAN = float("nan")


def seen(ready=range(1, 11), **part):
    return EndpointStates(set(ready), {int(each[1:]): value for each, value in part.items()})


TEN = dict.fromkeys(range(1, 11), 10.0)


@pytest.mark.parametrize(
    ("wanted", "known", "passed", "rules"),
    [
        ({1: 15.0}, seen(), {1: 15.0}, []),
        ({1: 15.0}, seen(range(2, 11)), {}, [NOT_IN_SERVICE]),  # it drains
        ({11: 10.0}, seen(range(1, 12), e11=0.2), {}, [WARMING_UP]),
        ({11: 3.0}, seen(range(1, 12), e11=0.2), {11: 3.0}, []),
        ({11: 1.0}, seen(range(1, 12), e11=0.001), {11: 1.0}, []),  # one slot is the least there is
        ({1: 0.0}, seen(), {1: 0.0}, []),  # what takes out is never held
        ({1: 60.0, 2: 30.0}, seen(), {1: 60.0}, [MOVED_SHARE]),  # 0.5 of the traffic, then 0.2 more of 0.6
        ({1: 90.0}, seen(), {}, [MOVED_SHARE]),
        ({1: NAN}, seen(), {}, [MOVED_SHARE]),
        (dict.fromkeys(range(1, 11), 0.0), seen(), {}, [NO_WARM_ENDPOINT]),
        (dict.fromkeys(range(1, 10), 0.0), seen(), dict.fromkeys(range(1, 10), 0.0), []),
        (dict.fromkeys(range(1, 11), 0.0), seen(()), dict.fromkeys(range(1, 11), 0.0), []),  # all have died
        ({1: 5.0}, seen(e1=0.5), {1: 5.0}, []),  # a cold one's fall
    ],
)
def test_the_gate_passes_what_may_leave_and_says_what_may_not(wanted, known, passed, rules):
    found, held = RolloutGate(0.6, 2000.0, [1]).filter_weights(0, TEN, wanted, known, 0.0)
    assert found == passed and [each.rule for each in held] == rules


def test_the_traffic_moved_is_counted_over_time_and_falls_of_cold_ones_are_not():
    gate, known = RolloutGate(0.5, 1000.0, [1]), seen()
    assert gate.filter_weights(0, TEN, {1: 45.0}, known, 0.0)[0] == {1: 45.0}
    assert gate.filter_weights(0, TEN, {2: 45.0}, known, 500.0)[0] == {}
    assert gate.filter_weights(1, TEN, {2: 45.0}, known, 500.0)[0] == {2: 45.0}  # another table
    assert gate.filter_weights(0, TEN, {3: 0.0}, known, 600.0)[0] == {3: 0.0}
    assert gate.filter_weights(0, TEN, {2: 45.0}, known, 1001.0)[0] == {2: 45.0}


@pytest.mark.parametrize(
    ("allowed", "tries", "good"),
    [
        (5.0, 1, True),
        (1e6, 0, True),
        (-1.0, 1, False),
        (NAN, 1, False),
        (1e9, 1, False),
        (5.0, 2, False),
        (5.0, -1, False),
    ],  # fmt: skip
)
def test_levels_and_ways_stay_within_bounds(allowed, tries, good):
    assert (RolloutGate(0.6, 2000.0, [1]).check_admission(0, 0, allowed, tries) is None) is good


NUMBERS = st.integers(1, 12)


@given(st.dictionaries(NUMBERS, st.floats(0.0, 100.0)), st.sets(NUMBERS), st.sets(NUMBERS))
def test_whatever_is_wanted_no_table_loses_its_last_warm_line_nor_gains_a_gone_one(wanted, ready, cold):
    known = EndpointStates(ready, dict.fromkeys(cold, 0.3))
    passed, _ = RolloutGate(0.6, 2000.0, [1]).filter_weights(0, TEN, wanted, known, 0.0)
    after = {**TEN, **passed}
    warm = [e for e in TEN if known.is_warm(e)]
    assert not warm or any(after[e] > 0 for e in after if known.is_warm(e))
    assert not [e for e, w in passed.items() if w > TEN.get(e, 0.0) and e not in ready]


# the book, in a pilot


def settled(proxies=2, **record):
    pilot = MemoryPilot(record=pilot_record(**record))
    for at in range(proxies):
        pilot.join(f"p{at}", "ab"[at % 2])
    return pilot.run(4000)


def module_writes(pilot, lines):
    """As the module would: into the book, in an order of its own."""
    core = pilot.core
    core.look(pilot.now)
    core.tables.begin()
    for endpoint, weight in lines.items():
        core.book.set_weight(0, endpoint, weight)
    core.book.flush()
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


def stood(pilot):
    return pilot.core.book.rollouts[0].versions


def test_a_pinned_table_goes_back_and_stays_while_the_module_writes_on():
    pilot = settled()
    before = stood(pilot)[-1]
    for weight in (14.0, 18.0):
        module_writes(pilot, {3: weight})
        pilot.run(50)
    pilot.core.book.pin(before._replace(cause="rollback", operator="op"))
    module_writes(pilot, {3: 22.0, 4: 13.0})
    pilot.run(1500)
    assert all(holds(pilot, proxy, before.weights) for proxy in pilot.proxies.values())
    assert ("rollback", "op") in {(version.cause, version.operator) for version in stood(pilot)}
    pilot.core.book.release(0)
    pilot.run(5000)
    wanted = pilot.core.book.rollouts[0].wanted_weights
    assert all(holds(pilot, proxy, wanted) for proxy in pilot.proxies.values()) and not pilot.core.book.is_behind()


def test_what_the_module_takes_out_of_a_pinned_table_is_out_at_once_and_stays_out_of_the_pin():
    pilot = settled()
    pilot.core.book.pin(stood(pilot)[-1])
    pilot.roster("partial", [3], "terminating")
    pilot.run(1500)
    assert (EJECTED, 3) in pilot.core.tables.proxies[0].acknowledged
    assert 3 not in pilot.core.book.target(0)[0]
    assert not any(line.endswith("table-0/3") for line in pilot.proxies["p0"].held(LEDS))


def test_a_cold_endpoint_of_a_pinned_version_is_capped():
    pilot = settled()
    version = stood(pilot)[-1]
    pilot.core.started[3] = pilot.now
    pilot.core.book.pin(version)
    pilot.core.look(pilot.now)
    assert pilot.core.book.target(0)[0][3] <= 0.25 * version.weights[4] + 1.0


def test_a_pin_without_a_warm_endpoint_left_gives_way_to_the_module():
    pilot = settled()
    version = stood(pilot)[-1]
    pilot.core.book.pin(version._replace(weights={3: 10.0}))
    pilot.roster("partial", [3], "terminated")
    pilot.run(3000)
    assert len(pilot.core.book.target(0)[0]) >= 4
    assert any("/table-0/" in line for line in pilot.proxies["p0"].held(LEDS))


@pytest.mark.parametrize("refusing", [False, True])
def test_a_rollback_while_a_delta_is_in_flight_overtakes_it_though_some_refuse_it(refusing):
    pilot = settled(3)
    before = stood(pilot)[-1]
    module_writes(pilot, {3: 18.0, 5: 14.0})
    for proxy in pilot.proxies.values():
        proxy.pump()
    some = pilot.proxies["p1"]
    some.refuses = refusing
    pilot.core.book.pin(before._replace(cause="rollback"))
    pilot.run(300, step=50.0)
    some.refuses = False
    pilot.run(4000, step=50.0)
    assert all(holds(pilot, proxy, before.weights) for proxy in pilot.proxies.values())


def test_of_two_rollbacks_that_cross_the_later_one_stands():
    pilot = settled()
    versions = []
    for weight in (14.0, 18.0, 23.0):
        module_writes(pilot, {3: weight})
        pilot.run(100)
        versions.append(stood(pilot)[-1])
    pilot.core.book.pin(versions[0])
    pilot.run(30, read=False)
    pilot.core.book.pin(versions[1])
    pilot.run(3000)
    assert all(holds(pilot, proxy, versions[1].weights) for proxy in pilot.proxies.values())


def test_what_the_gate_keeps_comes_later_a_part_at_a_time_and_is_told():
    pilot = settled(gate=RolloutGateSettings(max_moved_share=0.3, move_window_ms=1000.0))
    module_writes(pilot, {1: 40.0, 2: 40.0, 3: 10.0})
    lines = pilot.core.tables.tables[0].weights
    assert lines[1] < 40.0 or lines[2] < 40.0
    assert pilot.core.book.withheld and pilot.core.book.withheld[0].rule == MOVED_SHARE


def test_a_proxy_that_missed_many_deltas_gets_one_difference():
    pilot = settled(gate=RolloutGateSettings(enabled=False))
    proxy = pilot.proxies["p0"]
    kept = {url: dict(row) for url, row in proxy.versions.items()}
    proxy.leave()
    for weight in range(11, 31):
        module_writes(pilot, {3: float(weight), 4: float(weight % 7 + 8)})
        pilot.run(20)
    pilot.core.planner.run_interval = lambda incoming, orders: None  # what it orders itself would come on top
    again = pilot.join("p0", "a", kept)
    pilot.core.tables.begin()
    pilot.core.tables.assign_table(again.number, 0, [0, 1])
    pilot.core.channel.put(pilot.core.tables.commit(), pilot.now)
    pilot.run(3000)
    lines = [names for url, names, _ in again.log if url == LEDS]
    assert sum("/table-0/3" in each for names in lines for each in names) == 1
    assert holds(pilot, again, pilot.core.tables.tables[0].weights)


class ChosenVersion(RuleBasedStateMachine):
    """Deltas, acknowledgements, refusals, rollbacks, releases, lost streams: all end on exactly what was chosen."""

    def __init__(self):
        super().__init__()
        self.pilot = settled(2)
        self.pilot.core.planner.run_interval = lambda incoming, orders: None  # the module is silent: orders are ours
        self.books()

    def books(self):
        self.weight = 10.0

    @rule(endpoint=st.integers(1, 6), weight=st.sampled_from([8.0, 10.0, 12.0, 15.0]))
    def module(self, endpoint, weight):
        module_writes(self.pilot, {endpoint: weight})

    @rule(back=st.integers(0, 4))
    def rollback(self, back):
        versions = stood(self.pilot)
        self.pilot.core.book.pin(versions[max(0, len(versions) - 1 - back)]._replace(cause="rollback"))

    @rule()
    def release(self):
        self.pilot.core.book.release(0)

    @rule(ms=st.sampled_from([20.0, 200.0, 700.0]), read=st.booleans())
    def wait(self, ms, read):
        self.pilot.run(ms, read=read)

    @rule(at=st.integers(0, 1), on=st.booleans())
    def refuse(self, at, on):
        self.pilot.proxies[f"p{at}"].refuses = on

    @rule(at=st.integers(0, 1))
    def redial(self, at):
        proxy = self.pilot.proxies[f"p{at}"]
        kept = {url: dict(row) for url, row in proxy.versions.items()}
        proxy.leave()
        self.pilot.join(f"p{at}", "ab"[at], kept)
        core = self.pilot.core
        core.tables.begin()
        core.tables.assign_table(self.pilot.proxies[f"p{at}"].number, 0, [0, 1])
        core.channel.put(core.tables.commit(), self.pilot.now)

    @invariant()
    def never_bare(self):
        assert all(any("/table-0/" in n for n in proxy.held(LEDS)) for proxy in self.pilot.proxies.values())

    def teardown(self):
        refused = any(proxy.refuses for proxy in self.pilot.proxies.values())
        for proxy in self.pilot.proxies.values():
            proxy.refuses = False
        if refused or any(ledger.nacked for ledger in self.pilot.core.tables.proxies.values()):
            # A line that was refused alone waits for its next version: each is written once more.
            book = self.pilot.core.book
            lines = dict(book.target(0)[0])
            for extra in (0.5, 0.0):
                book.pin(TableVersion("", 0, "", "pin", "", 0.0, 0, {e: w + extra for e, w in lines.items()}, {}))
                self.pilot.run(12000.0, step=50.0)
        self.pilot.run(12000.0, step=50.0)
        wanted = self.pilot.core.book.target(0)[0]
        for proxy in self.pilot.proxies.values():
            assert holds(self.pilot, proxy, wanted)


from hypothesis import settings as hypothesis_settings  # noqa: E402

ChosenVersion.TestCase.settings = hypothesis_settings(
    max_examples=12, stateful_step_count=15, deadline=None, derandomize=True
)
TestChosenVersion = ChosenVersion.TestCase


# after a start


@pytest.mark.parametrize(
    ("age", "span"),
    [(0.0, 12000.0), (60000.0, 6000.0), (120000.0, 0.0), (10.0**9, 0.0), (-500.0, 12000.0), (-5000.0, 0.0)],
)
def test_the_older_what_stood_the_shorter_it_counts_and_a_clock_that_went_back_ends_it(age, span):
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
def test_a_former_line_stands_until_there_is_fresh_bad_news_or_its_trust_is_over(words, now, warm, started, stands):
    former = RecoveredTable({1: 3.0}, 500.0, 1000.0)
    assert [former.effective_weight(1, word, now, warm, started) for word in words][-1] == stands


def test_a_pilot_that_starts_over_sends_nothing_that_holds_and_has_the_modules_tables_in_the_end():
    first = settled(2, store=StoreSettings(folder="x"))
    first.core.durable = float("inf")
    module_writes(first, {3: 4.0, 5: 14.0})
    first.run(500)
    version = stood(first)[-1]
    again = MemoryPilot(record=pilot_record(store=StoreSettings(folder="x", recovery_trust_ms=6000.0)))
    again.core.durable = float("inf")
    rows = [
        list(version[:5]) + [1000.0, list(version.weights.items()), [[p, *lv] for p, lv in version.admission.items()]]
    ]
    again.core.from_store("opened", [1100.0, rows], [])
    proxies = [again.join(name, zone, proxy.versions) for (name, proxy), zone in zip(first.proxies.items(), "ab")]  # noqa: B905
    again.run(3000)
    for proxy in proxies:
        assert not [n for url, names, _ in proxy.log if url == LEDS for n in names if "/table-0/" in n]
        assert holds(again, proxy, version.weights)
    again.run(9000)
    module = again.core.planner.fleet.endpoints
    for proxy in proxies:
        assert holds(again, proxy, {e: record.published_slots[0] for e, record in module.items()})


# the store on disk


def row(number, table=0, weight=10.0, wall_ms=1000.0):
    lines, levels = [(1, weight)], [(0, 5.0, 1)]
    return VersionRow(f"v{number}", table, f"v{number - 1}", "module", "", wall_ms, "e", number, lines, levels)


def test_rows_come_back_as_they_were_and_numbers_go_on(tmp_path):
    store = Store(tmp_path / "s")
    entries = [Entry(VERSIONS, number_key(table, n), row(n, table)) for table in (0, 7) for n in range(1, 4)]
    store.write([*entries, Entry(PINS, number_key(7), PinRow(7, "v2", "op", 5.0, "rollback"))])
    store.close()
    again = Store(tmp_path / "s", write=False)
    assert again.versions(7) == [row(n, 7) for n in range(1, 4)]
    assert [again.last_number(VERSIONS, number_key(table)) for table in (0, 7, 9)] == [3, 3, 0]
    assert again.rows(PINS)[0][1].cause == "rollback" and again.check()["bad"] == []


@pytest.mark.parametrize(
    ("wall", "pinned", "count", "age", "dropped"),
    [
        ([1, 2, 3, 4], set(), 2, 1e9, [1, 2]),
        ([1, 2, 3, 4], {"v1"}, 2, 1e9, [2, 3]),
        ([0, 0, 90, 100], set(), 10, 50, [1, 2]),
        ([0, 0, 0, 0], set(), 10, 50, [1, 2, 3]),  # the newest stays
        ([900, 901, 902, 5], set(), 10, 50, []),  # a clock that went back makes nothing old
    ],
)
def test_what_is_kept_goes_by_count_and_age_and_pins(wall, pinned, count, age, dropped):
    rows = [StoredVersion(at + 1, f"v{at + 1}", float(ms)) for at, ms in enumerate(wall)]
    assert numbers_to_drop(rows, pinned, 100.0, count, age) == dropped


def test_a_store_of_an_older_schema_is_brought_forward_in_one_commit(tmp_path):
    store = Store(tmp_path / "s")
    key = number_key(0, 1)
    old = ["v1", 0, "", "module", "", 5.0, 3, [[1, 10.0]], [[0, 5.0, 1]]]
    with store.env.begin(write=True) as txn:
        txn.put(SCHEMA_KEY, pack(SCHEMA_KEY, 1), db=store.parts["meta"])
        txn.put(key, pack(key, old), db=store.parts["versions"])
        txn.put(number_key(0), pack(number_key(0), [0, "v1", "op", 5.0]), db=store.parts["pins"])
    store.close()
    again = Store(tmp_path / "s")
    assert again.versions(0)[0].incarnation == "" and again.versions(0)[0].revision == 3
    assert again.rows(PINS)[0][1].cause == "pin" and again.rows(META)[0][1] == SCHEMA


def spoilt(folder):
    """A byte changed in a value's page."""
    data = bytearray((folder / "data.mdb").read_bytes())
    at = data.find(b"rollback-here")
    assert at > 0
    data[at] ^= 0xFF
    (folder / "data.mdb").write_bytes(data)


def test_a_page_that_went_bad_is_found_and_the_store_set_aside_with_a_line(tmp_path):
    folder = tmp_path / "s"
    store = Store(folder)
    store.write([Entry(PINS, number_key(0), PinRow(0, "v1", "rollback-here", 5.0))])
    store.close()
    spoilt(folder)
    assert "checksum" in Store(folder, write=False).check()["bad"][0]
    record = StoreSettings(folder=str(folder))
    fresh = opened(record)
    assert fresh.rows(PINS) == [] and len(list(tmp_path.glob("s.aside-*"))) == 1


@pytest.mark.parametrize(
    ("kind", "error"),
    [
        ("newer", StoreSchemaTooNewError),
        ("read-only", StoreReadOnlyError),
        ("full", StoreFullError),
        ("bad", StoreCorruptError),
        ("broken", StoreError),
    ],
    ids=["newer", "read-only", "full", "bad", "broken"],
)
def test_a_store_that_can_not_be_used_says_why(tmp_path, kind, error):
    folder = tmp_path / "s"
    if kind == "newer":
        Store(folder).write([Entry(META, SCHEMA_KEY, SCHEMA + 1)])
    elif kind == "full":
        Store(folder, 2**20).close()
    elif kind == "read-only":
        Store(folder).close()
    elif kind == "bad":
        folder.mkdir()
        (folder / "data.mdb").write_bytes(b"nothing like it" * 1000)
    else:
        folder.write_text("a file where a folder should be")
    with pytest.raises(StoreError) as found:
        store = Store(folder, 2**20, write=kind != "read-only")
        store.write([Entry(JOURNAL, number_key(n), ["e", n, 0.0, ["x" * 2000]]) for n in range(2000)])
    assert found.value.reason == kind and type(found.value) is error


def test_a_newer_store_is_refused_and_a_bad_one_is_not_mended_over(tmp_path):
    Store(tmp_path / "s").write([Entry(META, SCHEMA_KEY, SCHEMA + 1)])
    with pytest.raises(StoreError, match=f"schema {SCHEMA + 1}"):
        opened(StoreSettings(folder=str(tmp_path / "s")))
    assert not list(tmp_path.glob("s.aside-*"))
    assert set_aside(tmp_path / "s").exists() and not (tmp_path / "s").exists()


def test_an_export_reads_back_as_the_same_store_and_a_torn_one_not_at_all(tmp_path):
    run = CliRunner().invoke
    store = Store(tmp_path / "a")
    store.write([Entry(VERSIONS, number_key(0, n), row(n)) for n in range(1, 50)])
    store.write([Entry(ACKNOWLEDGED_UPDATES, b"p", AcknowledgedUpdate("p", "e", 3, 1.0))])
    store.close()
    assert run(cli, ["store", "export", str(tmp_path / "a"), str(tmp_path / "x")]).exit_code == 0
    assert run(cli, ["store", "import", str(tmp_path / "b"), str(tmp_path / "x")]).exit_code == 0
    assert run(cli, ["store", "compact", str(tmp_path / "a"), str(tmp_path / "d")]).exit_code == 0
    assert run(cli, ["store", "check", str(tmp_path / "d")]).exit_code == 0
    stores = [Store(tmp_path / each, write=False) for each in "abd"]
    assert stores[2].versions(0) == stores[0].versions(0)
    assert all(stores[0].rows(part) == stores[1].rows(part) for part in PARTS)
    (tmp_path / "y").write_bytes((tmp_path / "x").read_bytes()[:-20])
    assert run(cli, ["store", "import", str(tmp_path / "c"), str(tmp_path / "y")]).exit_code == 2


# kills at every write point


def test_a_pilot_killed_at_any_write_point_finds_all_of_a_commit_or_nothing(tmp_path):
    found = crash.run(tmp_path / "s", crash.points(1, 250))
    assert found["fault"] == "" and found["kills"] == 250 and found["commits"] > 400


@pytest.mark.parametrize("twin", ["two commits", "told too early"])
def test_a_writer_that_breaks_a_promise_is_found(tmp_path, monkeypatch, twin):
    """Broken twins: a commit in two pieces; what is told durable before it is."""
    whole = Store.write

    def write(self, entries):
        if len(entries) == crash.ROWS and twin == "two commits":
            whole(self, entries[:1])
            whole(self, entries[1:])
        elif len(entries) == crash.ROWS and self.late:
            whole(self, self.late.pop())
            self.late.append(entries)
        elif len(entries) == crash.ROWS:
            self.late.append(entries)
        else:
            whole(self, entries)

    monkeypatch.setattr(Store, "late", property(lambda self: self.__dict__.setdefault("kept", [])), raising=False)
    monkeypatch.setattr(Store, "write", write)
    assert crash.run(tmp_path / "s", crash.points(1, 150))["fault"]


# the pilot's thread


def test_the_keeper_tells_what_is_durable_and_hands_over_a_wish_once(tmp_path):
    record = StoreSettings(folder=str(tmp_path / "s"), operator_poll_interval_ms=5.0)
    news, woken = [], threading.Event()

    def put(each):
        news.append(each)
        if each[1] == "wish":
            woken.set()

    keeper = StoreWriter(record, opened(record), "e", put)
    thread = threading.Thread(target=keeper.run)
    thread.start()
    version = TableVersion("v1", 0, "", "module", "", 0.0, 1, {1: 10.0}, {0: (5.0, 1)})
    pin = keeper.pinned(version._replace(cause="rollback", operator="op"), 7.0)
    keeper.hand_over(1, [keeper.version(version, 7.0), pin])
    keeper.store.write([Entry(OPERATOR_COMMANDS, number_key(9), OperatorCommand("rollback", [(0, "v1")], "op", 7.0))])
    assert woken.wait(20.0)
    keeper.hand_over(2, [keeper.done(number_key(9).hex())])
    keeper.stop()
    thread.join(20.0)
    assert ("store", "stored", 1, []) in news and ("store", "stored", 2, []) in news
    (wish,) = [each for each in news if each[1] == "wish"]
    assert version_from_row(wish[3][1][0][1]).weights == {1: 10.0}
    fresh = StoreWriter(record, opened(record), "f", put)
    assert fresh.store.rows(OPERATOR_COMMANDS) == [] and fresh.store.rows(INCARNATIONS)[0][1].ended_ms > 0
    kind, what, versions, pins = fresh.start_news()
    assert (kind, what, len(versions[1])) == ("store", "opened", 1) and pins[0][1:] == ["rollback", "op"]


def test_a_pin_whose_version_is_gone_is_passed_over_with_a_line(tmp_path, capsys):
    record = StoreSettings(folder=str(tmp_path / "s"))
    store = opened(record)
    store.write([Entry(PINS, number_key(0), PinRow(0, "gone", "op", 5.0))])
    assert StoreWriter(record, store, "e", print).start_news()[3] == []
    assert "pin passed over" in "".join(capsys.readouterr())


def test_a_store_that_fills_up_is_left_and_the_pilot_goes_on(tmp_path):
    record = StoreSettings(folder=str(tmp_path / "s"), max_size_bytes=2**20, operator_poll_interval_ms=5.0)
    news = []
    keeper = StoreWriter(record, opened(record), "e", news.append)
    for at in range(200):
        keeper.hand_over(at, [Entry(JOURNAL, number_key(at + 1), ["e", at, 0.0, ["x" * 20000]])])
    keeper.run()
    assert news[-1][1] == "lost" and "full" in keeper.failed or "no room" in keeper.failed


def test_a_push_waits_to_be_durable_a_drain_and_a_late_disk_do_not():
    pilot = MemoryPilot(record=pilot_record(store=StoreSettings(folder="x", max_durability_wait_ms=500.0)))
    proxy, core = pilot.join("p0"), pilot.core
    core.from_store("stored", 10**9, [])
    pilot.run(4000)
    core.durable = core.tables.revision
    module_wrote = core.tables.revision
    core.look(pilot.now)
    core.tables.begin()
    core.book.set_weight(0, 3, 14.0)
    core.book.flush()
    core.channel.put(core.tables.commit(), pilot.now)
    number = core.tables.revision
    pilot.run(100)
    assert core.tables.proxies[0].released_revision <= module_wrote
    core.from_store("stored", number, [])
    pilot.run(20)
    assert core.tables.proxies[0].released_revision >= number
    core.durable = 0.0
    pilot.roster("partial", [4], "terminating")
    pilot.run(200)
    assert any("withdrawn/4" in each for each in proxy.held(LEDS))
    core.from_store("lost", "no disk", [])
    assert core.durable == float("inf")


# on sockets


@pytest.fixture(scope="module")
def played(tmp_path_factory):
    """A day with stores and all three kinds of proxies; the pilots still run when it is over."""
    kept = StoreSettings(folder="store")
    day = small_day(seconds=5.0, proxies=6, pilots=1, store=kept, sotw_proxies=0.2, file_proxies=0.2)
    arm = Arm(day, plan(day), "learnt", tmp_path_factory.mktemp("store") / "learnt")
    try:
        arm.start()
        arm.play(time.monotonic() * 1000.0 + day.warm_up_s * 1000.0)
        yield arm
    finally:
        arm.stop()


def said(arm, *arguments):
    done = CliRunner().invoke(cli, ["tables", arguments[0], str(arm.folder / "pilot-0.cue"), *arguments[1:]])
    assert done.exit_code == 0, done.output
    return msgspec.json.decode(done.stdout.splitlines()[-1])


def lines_held(arm):
    """Each delta proxy's lines of table 0, by what it wrote down."""
    found = {}
    for each in arm.evidence().applied_updates:
        if each["type"] == "LbEndpoint":
            held = found.setdefault(each["proxy"], {})
            held.update({n: v for n, v in each["changed"] if "/table-0/" in n})
            for gone in each["removed"]:
                held.pop(gone, None)
    return found


def until(there, seconds=30.0):
    """Look again until it is so."""
    end = time.monotonic() + seconds
    while not there():
        assert time.monotonic() < end, "in vain"
        time.sleep(0.05)


def test_every_proxy_ends_on_the_version_that_was_chosen_also_after_the_pilot_is_killed(played):
    log = said(played, "log", "--table", "0", "--limit", "500")["versions"]
    assert len(log) >= 1 and log[0]["cause"] == "module"
    chosen = said(played, "show", "0", "~0")
    weights = {endpoint: weight + 3.0 * (at % 2) for at, (endpoint, weight) in enumerate(chosen["lines"])}
    store = Store(played.folder / "store-0")
    number = store.last_number(VERSIONS, number_key(0)) + 1000
    other = VersionRow("feed0001", 0, "", "module", "", 0.0, "hand", 0, sorted(weights.items()), chosen["levels"])
    store.write([Entry(VERSIONS, number_key(0, number), other)])
    store.close()
    assert said(played, "rollback", "--table", "0", "--version", "feed0001")["taken"]
    wanted = {}
    for endpoint, weight in weights.items():
        key = (WEIGHT, 0, endpoint)
        wanted[name(key)] = make_resource(key, ("127.0.0.1", played.ports[endpoint], weight)).version
    until(lambda: len(lines_held(played)) == 4 and all(held == wanted for held in lines_held(played).values()))
    held = said(played, "held")["proxies"]
    assert len(held) == 6 and {row["life"] for row in held} == {held[0]["life"]} and min(r["order"] for r in held) > 0
    played.pilots[0].kill()
    played.start_pilot(0)
    mark = len(played.evidence().applied_updates)
    until(lambda: sum(r["what"] == "join" for r in played.evidence().channel_rows) >= 10)
    assert [str(each) for each in said(played, "log")["pins"][0]] == ["0", "feed0001"]
    assert said(played, "release", "--all")["taken"]
    until(lambda: any(held != wanted for held in lines_held(played).values()))
    assert len(played.evidence().applied_updates) > mark and check_invariants(played.evidence()) == []
    assert said(played, "diff", "0", "feed0001", "~0")["from"] == "feed0001"


@pytest.mark.parametrize(
    ("arguments", "text"),
    [
        (["rollback", "--table", "0", "--version", "nosuch"], "0 versions begin with 'nosuch', expected one"),
        (["rollback", "--table", "9"], "the store knows no version of it"),
        (["show", "0", "~99999"], "versions are known"),
        (["rollback", "--table", "0", "--at", "yesterday"], "expected a time"),
        (["pin", "--zone", "nowhere"], "expected one of a, b"),
    ],
)
def test_a_version_or_table_that_never_was_is_refused_by_name(played, arguments, text):
    done = CliRunner().invoke(cli, ["tables", arguments[0], str(played.folder / "pilot-0.cue"), *arguments[1:]])
    assert done.exit_code == 2 and text in done.stderr


def test_settings_without_a_store_and_a_store_of_a_newer_version_are_told(tmp_path):
    assert lmdb.version()
    path = tmp_path / "p.cue"
    record = pilot_record(store=StoreSettings(folder=str(tmp_path / "s")))
    path.write_bytes(msgspec.json.encode(record.model_dump()))
    Store(tmp_path / "s").write([Entry(META, SCHEMA_KEY, SCHEMA + 1)])
    done = CliRunner().invoke(cli, ["pilot", "--settings", str(path)])
    assert done.exit_code == 2 and "knows" in done.stderr
    path.write_bytes(msgspec.json.encode(pilot_record().model_dump()))
    done = CliRunner().invoke(cli, ["tables", "log", str(path)])
    assert done.exit_code == 2 and "store.folder" in done.stderr
