"""The store on disk: rows, schemas, damaged pages, exports, and kills at every write point."""

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
from quillstep.store.store import SCHEMA_KEY, rename_corrupt_store
from quillstep.store.writer import open_store


def row(number, table=0, weight=10.0, wall_ms=1000.0):
    weights, admission = [(1, weight)], [(0, 5.0, 1)]
    return VersionRow(f"v{number}", table, f"v{number - 1}", "module", "", wall_ms, "e", number, weights, admission)


def test_rows_are_read_as_written_and_numbering_continues(tmp_path):
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


def corrupt_value(folder):
    """Changes one byte of a stored value."""
    data = bytearray((folder / "data.mdb").read_bytes())
    at = data.find(b"rollback-here")
    assert at > 0
    data[at] ^= 0xFF
    (folder / "data.mdb").write_bytes(data)


def test_a_damaged_page_is_detected_and_the_corrupt_store_renamed(tmp_path):
    folder = tmp_path / "s"
    store = Store(folder)
    store.write([Entry(PINS, number_key(0), PinRow(0, "v1", "rollback-here", 5.0))])
    store.close()
    corrupt_value(folder)
    assert "checksum" in Store(folder, write=False).check()["bad"][0]
    settings = StoreSettings(folder=str(folder))
    replacement = open_store(settings)
    assert replacement.rows(PINS) == [] and len(list(tmp_path.glob("s.aside-*"))) == 1


@pytest.mark.parametrize(
    ("reason", "error"),
    [
        ("newer", StoreSchemaTooNewError),
        ("read-only", StoreReadOnlyError),
        ("full", StoreFullError),
        ("bad", StoreCorruptError),
        ("broken", StoreError),
    ],
    ids=["newer", "read-only", "full", "bad", "broken"],
)
def test_an_unusable_store_raises_the_error_of_its_cause(tmp_path, reason, error):
    folder = tmp_path / "s"
    if reason == "newer":
        Store(folder).write([Entry(META, SCHEMA_KEY, SCHEMA + 1)])
    elif reason == "full":
        Store(folder, 2**20).close()
    elif reason == "read-only":
        Store(folder).close()
    elif reason == "bad":
        folder.mkdir()
        (folder / "data.mdb").write_bytes(b"not an LMDB file" * 1000)
    else:
        folder.write_text("a file where a folder should be")
    with pytest.raises(StoreError) as found:
        store = Store(folder, 2**20, write=reason != "read-only")
        store.write([Entry(JOURNAL, number_key(n), ["e", n, 0.0, ["x" * 2000]]) for n in range(2000)])
    assert found.value.reason == reason and type(found.value) is error


def test_a_store_of_a_newer_schema_is_neither_opened_nor_renamed(tmp_path):
    Store(tmp_path / "s").write([Entry(META, SCHEMA_KEY, SCHEMA + 1)])
    with pytest.raises(StoreError, match=f"expected schema {SCHEMA} or older, got {SCHEMA + 1}"):
        open_store(StoreSettings(folder=str(tmp_path / "s")))
    assert not list(tmp_path.glob("s.aside-*"))
    assert rename_corrupt_store(tmp_path / "s").exists() and not (tmp_path / "s").exists()


def test_an_export_is_imported_as_an_equal_store_and_a_truncated_one_is_rejected(tmp_path):
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


@pytest.mark.parametrize("mutant", ["two commits", "reported too early"])
def test_a_writer_that_violates_its_guarantees_is_detected(tmp_path, monkeypatch, mutant):
    """Mutants: a commit in two parts; a commit that is reported durable before it is written."""
    original_write = Store.write

    def write(self, entries):
        if len(entries) == crash.ROWS_PER_COMMIT and mutant == "two commits":
            original_write(self, entries[:1])
            original_write(self, entries[1:])
        elif len(entries) == crash.ROWS_PER_COMMIT and self.late:
            original_write(self, self.late.pop())
            self.late.append(entries)
        elif len(entries) == crash.ROWS_PER_COMMIT:
            self.late.append(entries)
        else:
            original_write(self, entries)

    monkeypatch.setattr(Store, "late", property(lambda self: self.__dict__.setdefault("kept", [])), raising=False)
    monkeypatch.setattr(Store, "write", write)
    assert crash.run(tmp_path / "s", crash.kill_points(1, 150))["fault"]
