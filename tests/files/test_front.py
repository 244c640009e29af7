"""The file front on a temporary directory: registrations, slow and failing disks, restarts."""

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


class FrontHarness:
    """A file front with a controller core and a disk; `run_until` handles its events on a simulated clock."""

    def __init__(self, root, step=lambda name: None):
        settings = controller_settings(
            files=FileSettings(root=str(root), poll_interval_ms=5.0, idle_timeout_ms=60000.0, retry_backoff_ms=10.0)
        )
        self.controller = MemoryController(settings=settings)
        self.events, self.ready = [], threading.Condition()
        self.taps = []
        core = self.controller.core
        disk = Disk(str(root), fsync=False, step=step)
        context = FrontContext(settings, core.tables, core, "e", core.revision_time_ms, self.tap)
        self.front = FileFront(context, self.put, disk)
        self.front.start()

    def tap(self, what, at_ms, **fields):
        self.taps.append((what, fields))

    def put(self, event):
        with self.ready:
            self.events.append(event)
            self.ready.notify()

    def run_until(self, condition):
        """Handles events and advances the clock until a condition holds, or fails after `WAIT_S`."""
        end = time.monotonic() + WAIT_S
        while not condition():
            assert time.monotonic() < end
            with self.ready:
                self.ready.wait(0.01)
                events, self.events = self.events, []
            self.controller.now += 10.0
            for event in events:
                self.front.handle_event(event, self.controller.now)
            self.controller.core.step(self.controller.now)
            changed, self.controller.core.tables.pending_proxies = self.controller.core.tables.pending_proxies, set()
            self.front.pump(self.controller.now, changed)

    def register(self, root, node, **more):
        """Writes a proxy's hello file; returns the proxy's directory."""
        directory = Path(root) / safe_name(node)
        directory.mkdir(exist_ok=True)
        (directory / "new").write_bytes(msgspec.json.encode({"node": node, "zone": "a", **more}))
        os.replace(directory / "new", directory / "hello.json")
        return directory

    def acknowledge(self, directory, generation, **more):
        """Writes a proxy's acknowledgement of a generation."""
        (directory / "new").write_bytes(msgspec.json.encode({"generation": generation, **more}))
        os.replace(directory / "new", directory / "ack.json")


def catch_up(stream):
    for _ in range(20):
        stream.pump()
        stream.read()


def current_generation(directory):
    return int(os.path.basename(os.readlink(directory / "current"))) if (directory / "current").is_symlink() else 0


def test_a_registered_proxy_receives_a_generation_and_acknowledges_it(tmp_path):
    harness = FrontHarness(tmp_path)
    directory = harness.register(tmp_path, "p/1")
    harness.run_until(lambda: current_generation(directory))
    harness.acknowledge(directory, 99)
    harness.acknowledge(directory, current_generation(directory))
    harness.run_until(lambda: any(what == "ack" for what, _ in harness.taps))
    ledger = next(iter(harness.controller.core.tables.proxies.values()))
    assert (ROUTES,) in ledger.acknowledged and not ledger.in_flight_updates
    harness.front.stop()


@pytest.mark.parametrize("code", [errno.ENOSPC, errno.EROFS, errno.EIO])
def test_a_failing_disk_keeps_the_last_generation_and_writing_resumes_when_it_recovers(tmp_path, code):
    failing = []

    def step(name):
        if failing and name == "links":
            raise OSError(code, os.strerror(code))

    harness = FrontHarness(tmp_path, step)
    directory = harness.register(tmp_path, "p/1")
    harness.run_until(lambda: current_generation(directory))
    harness.acknowledge(directory, 1)
    harness.run_until(lambda: any(what == "ack" for what, _ in harness.taps))
    failing.append(True)
    stream = harness.controller.join("s/1")  # another proxy, connected by a stream
    harness.run_until(lambda: harness.controller.core.tables.proxies[stream.number].assignments)
    apply_update(harness.controller, lambda tables: tables.set_ejected(4, True, "draining"))
    harness.run_until(lambda: next(iter(harness.front.generations.values())).failures >= 2)
    assert current_generation(directory) == 1 and read_generation(directory)[0].generation == 1
    catch_up(stream)  # the drain reaches the proxy on the stream without waiting for the disk
    assert any(
        name.endswith("withdrawn/4")
        for name in stream.versions["type.googleapis.com/envoy.config.endpoint.v3.LbEndpoint"]
    )
    failing.clear()
    harness.run_until(
        lambda: current_generation(directory) > 1 and (EJECTED, 4) in read_resources(read_generation(directory)[1])
    )
    harness.front.stop()


def test_a_slow_disk_delays_only_the_writer(tmp_path):
    slow = threading.Event()

    def step(name):
        if name == "links":
            slow.wait(WAIT_S)

    harness = FrontHarness(tmp_path, step)
    directory = harness.register(tmp_path, "p/1")
    stream = harness.controller.join("s/1")
    harness.run_until(lambda: harness.front.generations and next(iter(harness.front.generations.values())).is_writing)
    harness.run_until(lambda: harness.controller.core.tables.proxies[stream.number].assignments)
    catch_up(stream)
    assert "exchanges" in stream.versions["type.googleapis.com/envoy.config.route.v3.RouteConfiguration"]
    assert not current_generation(directory)
    slow.set()
    harness.run_until(lambda: current_generation(directory))
    harness.front.stop()


def test_a_hello_file_in_another_proxys_directory_is_rejected(tmp_path):
    harness = FrontHarness(tmp_path)
    directory = harness.register(tmp_path, "p/1")
    os.rename(directory, tmp_path / "mallory")
    other = harness.register(tmp_path, "p/2")
    harness.run_until(lambda: current_generation(other))
    assert list(harness.front.generations) == [safe_name("p/2")]
    harness.front.stop()


def test_a_restarted_controller_sends_only_changes_against_the_held_generation(tmp_path):
    harness = FrontHarness(tmp_path)
    directory = harness.register(tmp_path, "p/1")
    harness.run_until(lambda: current_generation(directory))
    number = current_generation(directory)
    harness.front.stop()
    harness.front.disk.close()
    restarted = FrontHarness(tmp_path)
    harness.register(tmp_path, "p/1", generation=number)
    restarted.run_until(lambda: restarted.front.generations and restarted.controller.core.tables.proxies[0].assignments)
    ledger = restarted.controller.core.tables.proxies[0]
    assert ledger.acknowledged and not ledger.in_flight_updates
    apply_update(restarted.controller, lambda tables: tables.set_weight(0, 3, 77.0))
    restarted.run_until(lambda: current_generation(directory) > number)
    sent = [fields for what, fields in restarted.taps if what == "send"]
    assert not sent or sent[0]["lines"] <= 2
    assert read_resources(read_generation(directory)[1])[WEIGHT, 0, 3]
    restarted.front.stop()
