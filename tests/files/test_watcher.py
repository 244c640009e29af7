"""The watcher of the proxies' files while the wall clock is stepped."""

import os
import time

import pytest

from quillstep.config.controller import FileSettings
from quillstep.files.disk import Disk
from quillstep.files.watcher import DirectoryWatcher

HOUR_S = 3600.0
HELLO = b'{"node": "p", "zone": "a", "usual": 1.0, "generation": 0, "versions": {}}'


@pytest.fixture
def watcher(tmp_path):
    disk = Disk(str(tmp_path))
    events = []
    watcher = DirectoryWatcher(disk, FileSettings(root=str(tmp_path)), events.append)
    watcher.events = events
    yield watcher
    disk.close()


def write_hello(root, name="p", age_s=0.0):
    (root / name).mkdir(exist_ok=True)
    path = root / name / "hello.json"
    path.write_bytes(HELLO)
    os.utime(path, (time.time() - age_s,) * 2)


def scan(watcher):
    for directory in watcher.disk.proxies():
        watcher._poll(directory)
    watcher.has_scanned = True


@pytest.mark.parametrize("step_s", [-HOUR_S, HOUR_S])
def test_a_proxy_that_registers_after_a_step_of_the_clock_is_recent(watcher, tmp_path, step_s, monkeypatch):
    scan(watcher)
    write_hello(tmp_path)
    real = time.time
    monkeypatch.setattr(time, "time", lambda: real() + step_s)
    scan(watcher)
    assert [event.age_ms for event in watcher.events] == [0.0]


def test_a_file_that_was_there_at_the_start_and_is_dated_in_the_future_is_not_recent(watcher, tmp_path):
    write_hello(tmp_path, age_s=-HOUR_S)
    scan(watcher)
    assert [event.age_ms for event in watcher.events] == [float("inf")]


def test_a_file_that_was_there_at_the_start_is_as_old_as_its_time_stamp(watcher, tmp_path):
    write_hello(tmp_path, age_s=50.0)
    scan(watcher)
    assert 50_000.0 <= watcher.events[0].age_ms < 60_000.0
