"""The file front on a disk of its own: registrations, slow and failing disks, restarts."""

import errno
import os
import threading
import time
from pathlib import Path

import msgspec
import pytest
from memory_fleet import MemoryController, apply_update, controller_settings

from quillstep.config.controller import FileSettings
from quillstep.files.disk import Disk, safe_name
from quillstep.files.front import FileFront
from quillstep.files.generation_files import read_resources
from quillstep.routing.resources import EJECTED, ROUTES, WEIGHT
from quillstep.testbed.file_subscriber import read_generation
from quillstep.xds.proxy_front import FrontContext

WAIT_S = 20.0


class Fronted:
    """A file front on a core with a disk, its news taken in by hand."""

    def __init__(self, root, step=lambda name: None):
        record = controller_settings(
            files=FileSettings(root=str(root), poll_interval_ms=5.0, idle_timeout_ms=60000.0, retry_backoff_ms=10.0)
        )
        self.pilot = MemoryController(settings=record)
        self.news, self.ready = [], threading.Condition()
        self.taps = []
        core = self.pilot.core
        disk = Disk(str(root), fsync=False, step=step)
        context = FrontContext(record, core.tables, core, "e", core.revision_time_ms, self.tap)
        self.front = FileFront(context, self.put, disk)
        self.front.start()

    def tap(self, what, at_ms, **fields):
        self.taps.append((what, fields))

    def put(self, news):
        with self.ready:
            self.news.append(news)
            self.ready.notify()

    def until(self, there):
        """Take news in and let time pass until something is so."""
        end = time.monotonic() + WAIT_S
        while not there():
            assert time.monotonic() < end
            with self.ready:
                self.ready.wait(0.01)
                news, self.news = self.news, []
            self.pilot.now += 10.0
            for each in news:
                self.front.handle_event(each, self.pilot.now)
            self.pilot.core.step(self.pilot.now)
            stirred, self.pilot.core.tables.pending_proxies = self.pilot.core.tables.pending_proxies, set()
            self.front.pump(self.pilot.now, stirred)

    def hello(self, root, node, **more):
        here = Path(root) / safe_name(node)
        here.mkdir(exist_ok=True)
        (here / "new").write_bytes(msgspec.json.encode({"node": node, "zone": "a", **more}))
        os.replace(here / "new", here / "hello.json")
        return here

    def answer(self, here, generation, **more):
        (here / "new").write_bytes(msgspec.json.encode({"generation": generation, **more}))
        os.replace(here / "new", here / "ack.json")


def catch_up(stream):
    for _ in range(20):
        stream.pump()
        stream.read()


def current(here):
    return int(os.path.basename(os.readlink(here / "current"))) if (here / "current").is_symlink() else 0


def test_a_registered_proxy_gets_a_generation_and_acknowledges_it(tmp_path):
    fronted = Fronted(tmp_path)
    here = fronted.hello(tmp_path, "p/1")
    fronted.until(lambda: current(here))
    fronted.answer(here, 99)
    fronted.answer(here, current(here))
    fronted.until(lambda: any(what == "ack" for what, _ in fronted.taps))
    ledger = next(iter(fronted.pilot.core.tables.proxies.values()))
    assert (ROUTES,) in ledger.acknowledged and not ledger.in_flight_updates
    fronted.front.stop()


@pytest.mark.parametrize("code", [errno.ENOSPC, errno.EROFS, errno.EIO])
def test_a_disk_that_fails_keeps_the_last_generation_and_goes_on_when_it_can(tmp_path, code):
    failing = []

    def step(name):
        if failing and name == "links":
            raise OSError(code, os.strerror(code))

    fronted = Fronted(tmp_path, step)
    here = fronted.hello(tmp_path, "p/1")
    fronted.until(lambda: current(here))
    fronted.answer(here, 1)
    fronted.until(lambda: any(what == "ack" for what, _ in fronted.taps))
    failing.append(True)
    stream = fronted.pilot.join("s/1")  # a proxy on a stream beside it
    fronted.until(lambda: fronted.pilot.core.tables.proxies[stream.number].assignments)
    apply_update(fronted.pilot, lambda tables: tables.set_ejected(4, True, "draining"))
    fronted.until(lambda: next(iter(fronted.front.generations.values())).failures >= 2)
    assert current(here) == 1 and read_generation(here)[0].generation == 1
    catch_up(stream)  # its neighbour's drain does not wait for the disk
    assert any(
        name.endswith("withdrawn/4")
        for name in stream.versions["type.googleapis.com/envoy.config.endpoint.v3.LbEndpoint"]
    )
    failing.clear()
    fronted.until(lambda: current(here) > 1 and (EJECTED, 4) in read_resources(read_generation(here)[1]))
    fronted.front.stop()


def test_a_slow_disk_holds_up_nothing_but_its_writers(tmp_path):
    slow = threading.Event()

    def step(name):
        if name == "links":
            slow.wait(WAIT_S)

    fronted = Fronted(tmp_path, step)
    here = fronted.hello(tmp_path, "p/1")
    stream = fronted.pilot.join("s/1")
    fronted.until(lambda: fronted.front.generations and next(iter(fronted.front.generations.values())).is_writing)
    fronted.until(lambda: fronted.pilot.core.tables.proxies[stream.number].assignments)
    catch_up(stream)
    assert "exchanges" in stream.versions["type.googleapis.com/envoy.config.route.v3.RouteConfiguration"]
    assert not current(here)
    slow.set()
    fronted.until(lambda: current(here))
    fronted.front.stop()


def test_a_proxy_that_says_it_is_another_is_not_joined(tmp_path):
    fronted = Fronted(tmp_path)
    here = fronted.hello(tmp_path, "p/1")
    os.rename(here, tmp_path / "mallory")
    other = fronted.hello(tmp_path, "p/2")
    fronted.until(lambda: current(other))
    assert list(fronted.front.generations) == [safe_name("p/2")]
    fronted.front.stop()


def test_a_restarted_controller_sends_only_what_differs_from_the_generation_held(tmp_path):
    fronted = Fronted(tmp_path)
    here = fronted.hello(tmp_path, "p/1")
    fronted.until(lambda: current(here))
    number = current(here)
    fronted.front.stop()
    fronted.front.disk.close()
    again = Fronted(tmp_path)
    fronted.hello(tmp_path, "p/1", generation=number)
    again.until(lambda: again.front.generations and again.pilot.core.tables.proxies[0].assignments)
    ledger = again.pilot.core.tables.proxies[0]
    assert ledger.acknowledged and not ledger.in_flight_updates
    apply_update(again.pilot, lambda tables: tables.set_weight(0, 3, 77.0))
    again.until(lambda: current(here) > number)
    sent = [fields for what, fields in again.taps if what == "send"]
    assert not sent or sent[0]["lines"] <= 2
    assert read_resources(read_generation(here)[1])[WEIGHT, 0, 3]
    again.front.stop()
