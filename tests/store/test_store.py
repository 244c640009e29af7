"""The store on disk: rows, schemas, damaged pages, exports, kills at every write point."""

import pytest
from click.testing import CliRunner

from quillstep.bench import crash
from quillstep.cli.main import cli
from quillstep.config.controller import StoreSettings
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
    JOURNAL,
    META,
    PARTS,
    PINS,
    SCHEMA,
    VERSIONS,
    AcknowledgedUpdate,
    Entry,
    PinRow,
    VersionRow,
    number_key,
    pack,
)
from quillstep.store.store import SCHEMA_KEY, set_aside
from quillstep.store.writer import open_store


def row(number, table=0, weight=10.0, wall_ms=1000.0):
    lines, levels = [(1, weight)], [(0, 5.0, 1)]
    return VersionRow(f"v{number}", table, f"v{number - 1}", "module", "", wall_ms, "e", number, lines, levels)


def test_rows_read_back_as_written_and_numbers_go_on(tmp_path):
    store = Store(tmp_path / "s")
    entries = [Entry(VERSIONS, number_key(table, n), row(n, table)) for table in (0, 7) for n in range(1, 4)]
    store.write([*entries, Entry(PINS, number_key(7), PinRow(7, "v2", "op", 5.0, "rollback"))])
    store.close()
    again = Store(tmp_path / "s", write=False)
    assert again.versions(7) == [row(n, 7) for n in range(1, 4)]
    assert [again.last_number(VERSIONS, number_key(table)) for table in (0, 7, 9)] == [3, 3, 0]
    assert again.rows(PINS)[0][1].cause == "rollback" and again.check()["bad"] == []


def test_a_store_of_an_older_schema_is_migrated_in_one_commit(tmp_path):
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


def test_a_damaged_page_is_found_and_the_store_set_aside_with_a_log_line(tmp_path):
    folder = tmp_path / "s"
    store = Store(folder)
    store.write([Entry(PINS, number_key(0), PinRow(0, "v1", "rollback-here", 5.0))])
    store.close()
    spoilt(folder)
    assert "checksum" in Store(folder, write=False).check()["bad"][0]
    record = StoreSettings(folder=str(folder))
    fresh = open_store(record)
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
def test_a_store_that_cannot_be_used_raises_the_error_that_says_why(tmp_path, kind, error):
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


def test_a_store_of_a_newer_schema_is_neither_opened_nor_set_aside(tmp_path):
    Store(tmp_path / "s").write([Entry(META, SCHEMA_KEY, SCHEMA + 1)])
    with pytest.raises(StoreError, match=f"schema {SCHEMA + 1}"):
        open_store(StoreSettings(folder=str(tmp_path / "s")))
    assert not list(tmp_path.glob("s.aside-*"))
    assert set_aside(tmp_path / "s").exists() and not (tmp_path / "s").exists()


def test_an_export_imports_as_the_same_store_and_a_truncated_one_not_at_all(tmp_path):
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


def test_a_writer_killed_at_any_write_point_leaves_all_of_a_commit_or_nothing(tmp_path):
    found = crash.run(tmp_path / "s", crash.kill_points(1, 250))
    assert found["fault"] == "" and found["kills"] == 250 and found["commits"] > 400


@pytest.mark.parametrize("twin", ["two commits", "told too early"])
def test_a_writer_that_breaks_a_promise_is_found(tmp_path, monkeypatch, twin):
    """Broken twins: a commit in two pieces; what is told durable before it is."""
    whole = Store.write

    def write(self, entries):
        if len(entries) == crash.ROWS_PER_COMMIT and twin == "two commits":
            whole(self, entries[:1])
            whole(self, entries[1:])
        elif len(entries) == crash.ROWS_PER_COMMIT and self.late:
            whole(self, self.late.pop())
            self.late.append(entries)
        elif len(entries) == crash.ROWS_PER_COMMIT:
            self.late.append(entries)
        else:
            whole(self, entries)

    monkeypatch.setattr(Store, "late", property(lambda self: self.__dict__.setdefault("kept", [])), raising=False)
    monkeypatch.setattr(Store, "write", write)
    assert crash.run(tmp_path / "s", crash.kill_points(1, 150))["fault"]
