"""Folders whose writes and syncs fail for a while, and writes that transfer less than was asked for."""

import errno
import os
import time

import pytest
from file_generations import sample_generation
from memory_fleet import MemoryController

from quillstep.controller.socket_record import SocketRecord
from quillstep.files import disk as disk_module
from quillstep.files.disk import Disk
from quillstep.files.proxy_generations import Generation, PendingGeneration
from quillstep.files.writer import GenerationWriter
from quillstep.recording.writer import RecordingWriter
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
