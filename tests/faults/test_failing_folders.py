"""Folders whose writes and syncs fail for a while, and writes that transfer less than was asked for."""

import errno
import os
import threading
import time

import lmdb
import pytest
from file_generations import sample_generation
from memory_fleet import MemoryController

from quillstep.cli import tables as tables_module
from quillstep.cli.tables import TableStore
from quillstep.config.controller import StoreSettings
from quillstep.controller.socket_record import SocketRecord
from quillstep.controller.update_release import UpdateRelease
from quillstep.files import disk as disk_module
from quillstep.files.disk import Disk
from quillstep.files.proxy_generations import Generation, PendingGeneration
from quillstep.files.writer import GenerationWriter
from quillstep.recording.writer import RecordingWriter
from quillstep.routing.versions import TableVersion
from quillstep.store.errors import StoreDiskError
from quillstep.store.events import StoreUnavailable, UpdatesStored
from quillstep.store.records import OPERATOR_COMMANDS
from quillstep.store.writer import StoreWriter, open_store
from quillstep.testbed.file_subscriber import read_generation


@pytest.fixture
def disk(tmp_path):
    (tmp_path / "root" / "p").mkdir(parents=True)
    disk = Disk(str(tmp_path / "root"))
    yield disk
    disk.close()


def test_a_manifest_is_complete_when_writes_are_short(disk, tmp_path, monkeypatch):
    real_write = os.write
    monkeypatch.setattr(os, "write", lambda fd, data: real_write(fd, bytes(memoryview(data)[:7])))
    disk.swap("p", 1, *sample_generation(MemoryController(), 1, 5.0), set())
    manifest, files = read_generation(tmp_path / "root" / "p")
    assert manifest.generation == 1 and set(files) == set(manifest.files)


def test_objects_of_a_failed_sync_are_written_again(disk, monkeypatch):
    # After a failed sync, the pages may be dropped, and a later sync that succeeds says nothing of them.
    class FailingLibc:
        @staticmethod
        def syncfs(descriptor):
            disk_module.ctypes.set_errno(errno.EIO)
            return -1

    files, manifest = sample_generation(MemoryController(), 1, 5.0)
    with monkeypatch.context() as patch:
        patch.setattr(disk_module, "LIBC", FailingLibc)
        with pytest.raises(OSError, match="Input/output"):
            disk.swap("p", 1, files, manifest, set())
    written = []
    real_open = os.open

    def recording_open(path, flags, *args, **options):
        if flags & os.O_CREAT:
            written.append(str(path).rpartition("-")[2])
        return real_open(path, flags, *args, **options)

    monkeypatch.setattr(os, "open", recording_open)
    disk.swap("p", 2, files, sample_generation(MemoryController(), 2, 5.0)[1], set())
    assert {file.digest for file in files} <= set(written)


def test_a_generation_is_reported_as_failed_and_the_next_one_is_written(disk, monkeypatch):
    events = []
    writer = GenerationWriter(disk, events.append)

    def pending(number):
        files, manifest = sample_generation(MemoryController(), number, 5.0)
        return PendingGeneration("p", None, Generation(number, 0, {}, 0, 0), files, manifest, set(), 0)

    for number, failure in ((1, errno.ENOSPC), (2, None)):
        with monkeypatch.context() as patch:
            if failure:
                patch.setattr(os, "write", lambda *_: (_ for _ in ()).throw(OSError(errno.ENOSPC, "No space left")))
            writer._write([pending(number)])
    assert [bool(event.error) for event in events] == [True, False]


def test_a_full_disk_stops_no_controller_that_records_its_sockets(tmp_path, monkeypatch):
    record = SocketRecord(str(tmp_path / "record.jsonl"))
    record.tap("send", 1.0, proxy="a")
    real_file, record._file = record._file, FullFile()
    record.flush()
    record._file = real_file
    record.tap("send", 2.0, proxy="b")
    record.flush()
    lines = (tmp_path / "record.jsonl").read_bytes().splitlines()
    assert [row.count(b"proxy") for row in lines] == [1, 1]


class FullFile:
    def write(self, data):
        raise OSError(errno.ENOSPC, "No space left on device")

    flush = write


def test_a_recording_that_cannot_open_its_next_segment_tells_why(tmp_path, monkeypatch):
    recording = RecordingWriter(str(tmp_path / "capture"), "c", "epoch", {}, segment_bytes=1)
    recording.put(["step", 1.0, 1.0, []])
    recording.flush(now=True)
    deadline_s = time.monotonic() + 10.0
    while not recording.written and time.monotonic() < deadline_s:
        time.sleep(0.01)
    original = RecordingWriter._open_segment

    def fail(self):
        raise OSError(errno.ENOSPC, "No space left on device")

    monkeypatch.setattr(RecordingWriter, "_open_segment", fail)
    recording.put(["step", 2.0, 2.0, []])
    recording.close()
    assert "No space left" in recording.stop_reason and original


class FailingDisk:
    """Makes the commits of a store fail while `is_failing` is set."""

    def __init__(self):
        self.is_failing, self.failures = True, 0

    def __call__(self, step):
        if step == "before commit" and self.is_failing:
            self.failures += 1
            raise lmdb.DiskError("No space left on device")


def wait_until(condition, seconds=20.0):
    deadline_s = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < deadline_s
        time.sleep(0.01)


def test_what_was_submitted_to_a_store_is_written_once_its_disk_works_again(tmp_path):
    settings = StoreSettings(folder=str(tmp_path / "s"), operator_poll_interval_ms=5.0)
    store = open_store(settings)
    disk, events = FailingDisk(), []
    store.on_step = disk
    writer = StoreWriter(settings, store, "e", events.append)
    thread = threading.Thread(target=writer.run)
    thread.start()
    version = TableVersion("v1", 0, "", "module", "", 0.0, 1, {1: 10.0}, {0: (5.0, 1)})
    writer.submit(1, [writer.version_entry(version, 7.0), writer.pin_entry(version, 7.0)])
    wait_until(lambda: disk.failures >= 3)
    writer.submit(2, [writer.version_entry(version._replace(name="v2"), 8.0)])
    assert writer.failure and not any(isinstance(event, UpdatesStored) for event in events)
    disk.is_failing = False
    wait_until(lambda: UpdatesStored(2) in events)
    writer.stop()
    thread.join(20.0)
    assert sum(isinstance(event, StoreUnavailable) for event in events) == 1 and not writer.failure
    recovered = StoreWriter(settings, open_store(settings), "f", events.append).opened_event()
    assert [version[0] for version in recovered.versions] == ["v1", "v2"] and len(recovered.pins) == 1


def test_updates_wait_for_a_store_that_works_again():
    release = UpdateRelease(True, 500.0)
    release.record_durable(5)
    release.record_store_lost()
    assert release.durable_revision == float("inf")
    release.record_durable(7)
    assert release.durable_revision == 7


def test_commands_of_operators_keep_their_order_when_the_clock_is_set_back(tmp_path, monkeypatch):
    settings = StoreSettings(folder=str(tmp_path / "s"))
    store = open_store(settings)
    tables = TableStore.__new__(TableStore)
    tables.store = store
    monkeypatch.setattr(tables_module, "MAX_ACCEPT_S", 0.0)
    now_ns = time.time_ns()
    for name, at_ns in (("first", now_ns), ("second", now_ns - 3600 * 10**9), ("third", now_ns)):
        monkeypatch.setattr(time, "time_ns", lambda at_ns=at_ns: at_ns)
        tables.request("pin", [(0, name)])
    assert [row.targets[0][1] for _, row in store.rows(OPERATOR_COMMANDS)] == ["first", "second", "third"]


def test_no_version_is_dropped_early_when_the_clock_is_an_hour_ahead(tmp_path, monkeypatch):
    settings = StoreSettings(folder=str(tmp_path / "s"), keep_hours=2.0)
    writer = StoreWriter(settings, open_store(settings), "e", lambda event: None)
    real = time.time
    for number in range(3):
        version = TableVersion(f"v{number}", 0, "", "module", "", 0.0, number, {1: 10.0}, {0: (5.0, 1)})
        writer.store.write([writer.version_entry(version, (real() - 1.5 * 3600.0) * 1000.0)])
    monkeypatch.setattr(time, "time", lambda: real() + 3600.0)
    writer._apply_retention()
    assert len(writer.store.versions(0)) == 3


@pytest.mark.parametrize("message", ["mdb_env_open: Input/output error", "mdb_env_open: No space left on device"])
def test_a_disk_that_fails_at_the_start_does_not_set_the_store_aside_as_corrupt(tmp_path, monkeypatch, message):
    settings = StoreSettings(folder=str(tmp_path / "s"))
    open_store(settings).close()
    with monkeypatch.context() as patch:
        patch.setattr(lmdb, "open", lambda *_, **__: (_ for _ in ()).throw(lmdb.Error(message)))
        with pytest.raises(StoreDiskError):
            open_store(settings)
    assert [path.name for path in tmp_path.iterdir()] == ["s"]


def test_a_store_whose_retention_failed_is_tried_again_without_new_submissions(tmp_path):
    settings = StoreSettings(folder=str(tmp_path / "s"), keep_versions=1, operator_poll_interval_ms=5.0)
    store = open_store(settings)
    writer = StoreWriter(settings, store, "e", lambda event: None)
    for number in range(3):
        version = TableVersion(f"v{number}", 0, "", "module", "", 0.0, number, {1: 10.0}, {0: (5.0, 1)})
        store.write([writer.version_entry(version, 7.0)])
    disk = store.on_step = FailingDisk()
    writer._apply_retention()
    assert writer.failure and writer.owed  # the thread tries again as long as something is owed
    disk.is_failing = False
    writer._try_to_commit()
    assert not writer.failure and not writer.owed
    writer._apply_retention()
    assert len(store.versions(0)) == 1
