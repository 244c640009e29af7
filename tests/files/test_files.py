"""The file front: every step of a swap killed at, disks that fail, words that lie, paths laid by others."""

import errno
import os
import signal
import subprocess
import sys
import threading
import time
from pathlib import Path

import msgspec
import pytest
from file_generations import contents, packed
from memory_fleet import MemoryPilot, order, pilot_record

from quillstep.config.controller import FileSettings
from quillstep.files.disk import STEPS, Disk, UnusableFileError, read_ack, safe_name
from quillstep.files.front import FileFront
from quillstep.files.generation_files import decode, read_resources
from quillstep.files.proxy_generations import ProxyGenerations
from quillstep.routing.resources import CLUSTER, EJECTED, ROUTES, WEIGHT
from quillstep.testbed.file_subscriber import read_generation

WAIT_S = 20.0


WRITER = """
import os, signal, sys
sys.path.insert(0, "tests")
from memory_fleet import MemoryPilot
from file_generations import packed
from quillstep.files.disk import Disk

def step(name):
    if name == sys.argv[2] and armed:
        os.kill(os.getpid(), signal.SIGKILL)

armed = False
disk = Disk(sys.argv[1], step=step)
pilot = MemoryPilot()
os.makedirs(sys.argv[1] + "/p", exist_ok=True)
disk.swap("p", 1, *packed(pilot, 1, 5.0), set())
armed = True
disk.swap("p", 2, *packed(pilot, 2, 7.0), {1})
"""


@pytest.mark.parametrize("step", STEPS)
def test_a_writer_killed_at_any_step_leaves_the_old_set_or_the_new_whole(tmp_path, step):
    root = tmp_path / "root"
    done = subprocess.run([sys.executable, "-c", WRITER, str(root), step], timeout=60, check=False)
    assert done.returncode == -signal.SIGKILL
    told, files = read_generation(root / "p")
    found = read_resources(files)
    pilot = MemoryPilot()
    swapped = STEPS.index(step) >= STEPS.index("swapped")
    assert told.generation == (2 if swapped else 1)
    assert {k: c.version for k, c in found.items()} == {
        k: c.version for k, c in contents(7.0 if swapped else 5.0).items()
    }
    disk = Disk(str(root))  # the next start clears up and goes on
    number = disk.newest("p") + 1
    disk.swap("p", number, *packed(pilot, number, 9.0), {told.generation})
    after, files = read_generation(root / "p")
    assert after.generation == number
    assert read_resources(files)[WEIGHT, 0, 12].version == contents(9.0)[WEIGHT, 0, 12].version
    assert sorted(os.listdir(root / "p" / "generations")) == sorted({str(told.generation), str(number)})
    assert not [name for name in os.listdir(root / ".objects") if name.startswith("new-")]
    disk.close()


def test_one_changed_line_writes_one_small_file_and_links_the_rest(tmp_path):
    pilot, disk = MemoryPilot(), Disk(str(tmp_path))
    (tmp_path / "p").mkdir()
    disk.swap("p", 1, *packed(pilot, 1, 5.0), set())
    before = set(os.listdir(tmp_path / ".objects"))
    disk.swap("p", 2, *packed(pilot, 2, 7.0), {1})
    new = set(os.listdir(tmp_path / ".objects")) - before
    assert len(new) == 1
    whole = sum(len(file.data) for file in packed(pilot, 2, 7.0)[0])
    assert (tmp_path / ".objects" / new.pop()).stat().st_size < whole / 3
    disk.swap("p", 3, *packed(pilot, 3, 9.0), {2})
    assert disk.clear_objects() == 1  # what only generation 1 held
    disk.close()


@pytest.mark.parametrize("form", ["protobuf", "json"])
def test_files_of_both_forms_read_back_as_what_was_written(form):
    pilot = MemoryPilot()
    files, _ = packed(pilot, 1, 5.0, form)
    found = read_resources({file.name: file.data for file in files})
    assert {k: c.version for k, c in found.items()} == {k: c.version for k, c in contents().items()}
    for file in files:
        response = decode(file.name, file.data)
        assert response.version_info and response.type_url.startswith("type.googleapis.com/envoy.")


def test_a_reader_in_the_middle_of_swaps_never_sees_a_torn_or_mixed_set(tmp_path):
    pilot, disk = MemoryPilot(), Disk(str(tmp_path), fsync=False)
    (tmp_path / "p").mkdir()
    disk.swap("p", 1, *packed(pilot, 1, 1.0), set())
    number, outcomes = 1, {"whole": 0, "cleared": 0}

    for most in [1, 2, 5] * 20:  # so many swaps while one set is read; the reader's is cleared at the third
        swaps = iter(range(most))

        def swap(swaps=swaps):
            nonlocal number
            if next(swaps, None) is not None:
                number += 1
                disk.swap("p", number, *packed(pilot, number, float(number)), {number - 1})

        try:
            told, files = read_generation(tmp_path / "p", between=swap)
        except FileNotFoundError:
            outcomes["cleared"] += 1  # it will read the newer one
            continue
        outcomes["whole"] += 1
        expected = contents(float(told.generation))
        assert {k: c.version for k, c in read_resources(files).items()} == {k: c.version for k, c in expected.items()}
    assert outcomes["whole"] >= 20 and outcomes["cleared"] >= 20
    disk.close()


def test_a_second_pilot_on_one_root_is_refused(tmp_path):
    disk = Disk(str(tmp_path))
    with pytest.raises(UnusableFileError, match="written by another pilot"):
        Disk(str(tmp_path))
    disk.close()
    Disk(str(tmp_path)).close()


def test_a_pilot_told_to_write_where_another_writes_ends_with_a_clear_line(tmp_path):
    disk = Disk(str(tmp_path / "root"))
    record = pilot_record(files=FileSettings(root=str(tmp_path / "root")))
    path = tmp_path / "p.cue"
    path.write_bytes(msgspec.json.encode(record.model_dump()))
    command = [sys.executable, "-m", "quillstep.cli", "controller", "--settings", str(path)]
    done = subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)
    assert done.returncode == 2
    assert done.stderr.strip() == f"quillstep: {path}: files.root: {tmp_path / 'root'} is written by another pilot"
    disk.close()


def lay_link(root):
    os.symlink("/tmp", root / "p")


def lay_wide(root):
    (root / "p").mkdir()
    (root / "p").chmod(0o777)


def lay_file(root):
    (root / "p").write_text("x")


def lay_inner_link(root):
    (root / "p").mkdir()
    os.symlink("/tmp", root / "p" / "generations")


@pytest.mark.parametrize("lay", [lay_link, lay_wide, lay_file, lay_inner_link])
def test_paths_that_others_have_laid_are_refused(tmp_path, lay):
    pilot, disk = MemoryPilot(), Disk(str(tmp_path))
    lay(tmp_path)
    with pytest.raises(UnusableFileError):
        disk.swap("p", 1, *packed(pilot, 1, 1.0), set())
    disk.close()


def test_a_root_that_everybody_may_write_is_refused(tmp_path):
    (tmp_path / "wide").mkdir()
    (tmp_path / "wide").chmod(0o777)
    with pytest.raises(UnusableFileError, match="everybody"):
        Disk(str(tmp_path / "wide"))


@pytest.mark.parametrize("name", ["hello.json", "ack.json"])
def test_what_a_proxy_wrote_is_not_read_through_links_nor_beyond_its_bound(tmp_path, name):
    disk = Disk(str(tmp_path))
    (tmp_path / "p").mkdir()
    os.symlink("/etc/hostname", tmp_path / "p" / name)
    with pytest.raises(UnusableFileError):
        disk.read(name, "p")
    (tmp_path / "p" / name).unlink()
    (tmp_path / "p" / name).write_bytes(b"x" * 2000)
    with pytest.raises(UnusableFileError):
        disk.read(name, "p", max_bytes=1000)
    disk.close()


@pytest.mark.parametrize("node", ["../../etc", "..", ".lock", "a/b", "\n", "å", "proxy/1"])
def test_no_proxys_name_leaves_the_root_or_meets_anothers(node):
    name = safe_name(node)
    assert "/" not in name and not name.startswith(".") and name.isascii()
    assert safe_name("proxy/1") != safe_name("proxy%2f1")


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"{",
        b'{"generation": "7"}',
        b"[]",
        b'{"generation": true}',
        b'{"generation": 1, "refused": 2}',
        b"\xff",
    ],
)
def test_an_acknowledgement_that_does_not_read_is_void(data):
    with pytest.raises(ValueError):
        read_ack(data)


# the generations


def generations_of(pilot, name="p0"):
    """A file proxy's generations on a core; `step` writes what is due and returns the generation."""
    proxy = pilot.core.join(name, "a", 5.0, {}, True)
    generations = ProxyGenerations(proxy, 0, {})

    def step(ms=2000.0):
        until = pilot.now + ms
        while pilot.now < until:
            pilot.now += 10.0
            pilot.core.step(pilot.now)
            made = generations.next(pilot.core.tables, pilot.now)
            if made:
                generations.mark_written()
                return made
        return None

    return generations, step


def test_the_first_generation_is_whole_and_the_next_holds_the_change_alone_as_changed():
    pilot = MemoryPilot()
    generations, step = generations_of(pilot)
    first = step()
    assert {(CLUSTER, 0), (ROUTES,)} <= first.resources.keys()
    assert sum(key[0] == WEIGHT for key in first.resources) == 6
    assert generations.handle_ack(pilot.core.tables, first.number, "", pilot.now).acknowledged
    order(pilot, lambda tables: tables.set_weight(0, 3, 77.0))
    second = step()
    assert (second.updated, second.removed) == (1, 0) and len(second.resources) == len(first.resources)


def test_a_refused_generation_is_not_written_again_and_its_drain_goes_without_the_rest():
    pilot = MemoryPilot()
    generations, step = generations_of(pilot)
    tables = pilot.core.tables
    generations.handle_ack(tables, step().number, "", pilot.now)

    def write(tables):
        tables.set_ejected(4, True, "draining")
        tables.set_weight(0, 3, 77.0)

    order(pilot, write)
    refused = step()
    assert generations.handle_ack(tables, refused.number, "bad line", pilot.now).nack
    drain = step()
    assert (EJECTED, 4) in drain.resources and drain.resources[WEIGHT, 0, 3] != refused.resources[WEIGHT, 0, 3]
    assert generations.handle_ack(tables, drain.number, "", pilot.now).acknowledged
    alone = step()
    assert alone.resources[WEIGHT, 0, 3] == refused.resources[WEIGHT, 0, 3]
    assert generations.handle_ack(tables, alone.number, "bad line", pilot.now).nack.is_isolated
    assert step(3000.0) is None or generations.newest[WEIGHT, 0, 3] != refused.resources[WEIGHT, 0, 3]


def test_a_content_that_comes_round_again_is_held_by_its_own_generations_word_alone():
    pilot = MemoryPilot()
    generations, step = generations_of(pilot)
    tables = pilot.core.tables
    generations.handle_ack(tables, step().number, "", pilot.now)
    made = []
    for weight in (55.0, 66.0, 55.0):
        order(pilot, lambda tables, weight=weight: tables.set_weight(0, 3, weight))
        made.append(step())
    ledger = tables.proxies[generations.proxy]
    assert made[0].resources[WEIGHT, 0, 3] == made[2].resources[WEIGHT, 0, 3] and made[0].number < made[2].number
    generations.handle_ack(tables, made[0].number, "", pilot.now)
    assert (WEIGHT, 0, 3) in ledger.in_flight
    generations.handle_ack(tables, made[2].number, "", pilot.now)
    assert not ledger.in_flight_updates and ledger.acknowledged[WEIGHT, 0, 3] == made[2].resources[WEIGHT, 0, 3].version


@pytest.mark.parametrize("number", [-1, 99, 7])
def test_an_acknowledgement_of_a_generation_that_never_was_is_void(number):
    pilot = MemoryPilot()
    generations, step = generations_of(pilot)
    step()
    word = generations.handle_ack(pilot.core.tables, number, "", pilot.now)
    assert word.error and not word.acknowledged
    assert not pilot.core.tables.proxies[generations.proxy].acknowledged


def test_what_could_not_be_written_is_written_next_with_what_came_since():
    pilot = MemoryPilot()
    generations, step = generations_of(pilot)
    tables = pilot.core.tables
    generations.handle_ack(tables, step().number, "", pilot.now)
    order(pilot, lambda tables: tables.set_weight(0, 3, 77.0))
    made = generations.next(tables, pilot.now)
    order(pilot, lambda tables: tables.set_ejected(4, True, "draining"))
    assert generations.next(tables, pilot.now) is None  # one at a time
    generations.mark_failed(tables.proxies[generations.proxy], made.number, pilot.now, 200.0)
    assert generations.next(tables, pilot.now) is None  # and not at once after a failure
    again = step()
    assert again.resources[WEIGHT, 0, 3] == made.resources[WEIGHT, 0, 3] and (EJECTED, 4) in again.resources


def test_an_endpoint_withdrawn_while_a_generation_is_written_leaves_with_the_next_at_once():
    pilot = MemoryPilot()
    generations, step = generations_of(pilot)
    tables = pilot.core.tables
    generations.handle_ack(tables, step().number, "", pilot.now)
    order(pilot, lambda tables: tables.set_weight(0, 3, 77.0))
    assert generations.next(tables, pilot.now)
    order(pilot, lambda tables: tables.set_ejected(4, True, "draining"))
    generations.mark_written()
    after = generations.next(tables, pilot.now)
    assert (EJECTED, 4) in after.resources and after.updated == 1
    assert generations.handle_ack(tables, after.number, "", pilot.now).acknowledged
    assert not tables.proxies[generations.proxy].in_flight_updates  # the newer set has the older in it


def test_a_proxy_that_comes_from_a_stream_loses_nothing_on_its_first_generation():
    pilot = MemoryPilot()
    stream = pilot.join("p1")
    pilot.run(3000)
    held = dict(pilot.core.tables.proxies[stream.number].acknowledged)
    stream.leave()
    proxy = pilot.core.join("p1", "a", 5.0, held, False)
    generations = ProxyGenerations(proxy, 0, {})
    made = None
    while made is None:
        pilot.now += 10.0
        pilot.core.step(pilot.now)
        order(pilot, lambda tables: tables.set_ejected(5, True, "lost"))
        made = generations.next(pilot.core.tables, pilot.now)
    assert held.keys() <= made.resources.keys() and (EJECTED, 5) in made.resources
    assert sum(made.resources[key].version != version for key, version in held.items()) <= made.updated


# the whole front on a disk of its own


class Fronted:
    """A file front on a core with a disk, its news taken in by hand."""

    def __init__(self, root, step=lambda name: None):
        record = pilot_record(
            files=FileSettings(root=str(root), poll_interval_ms=5.0, idle_timeout_ms=60000.0, retry_backoff_ms=10.0)
        )
        self.pilot = MemoryPilot(record=record)
        self.news, self.ready = [], threading.Condition()
        self.taps = []
        core = self.pilot.core
        disk = Disk(str(root), fsync=False, step=step)
        self.front = FileFront(record, core.tables, core, "e", core.ordered_ms, self.tap, self.put, disk)
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


def test_the_loop_closes_hello_generation_acknowledgement(tmp_path):
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
    order(fronted.pilot, lambda tables: tables.set_ejected(4, True, "draining"))
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


def test_a_pilot_that_starts_over_sends_only_what_differs_from_the_generation_held(tmp_path):
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
    order(again.pilot, lambda tables: tables.set_weight(0, 3, 77.0))
    again.until(lambda: current(here) > number)
    sent = [fields for what, fields in again.taps if what == "send"]
    assert not sent or sent[0]["lines"] <= 2
    assert read_resources(read_generation(here)[1])[WEIGHT, 0, 3]
    again.front.stop()
