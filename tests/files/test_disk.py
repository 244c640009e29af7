"""The file front's disk: writers killed at every step of a swap, paths placed by others."""

import os
import signal
import subprocess
import sys

import msgspec
import pytest
from file_generations import contents, packed
from memory_fleet import MemoryPilot, pilot_record

from quillstep.config.controller import FileSettings
from quillstep.files.disk import STEPS, Disk, UnusableFileError, read_ack, safe_name
from quillstep.files.generation_files import read_resources
from quillstep.routing.resources import WEIGHT
from quillstep.testbed.file_subscriber import read_generation

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
def test_a_writer_killed_at_any_step_leaves_the_old_set_or_the_new_one_complete(tmp_path, step):
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


def test_one_changed_weight_writes_one_small_file_and_links_the_rest(tmp_path):
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


def test_a_second_controller_on_one_root_is_rejected(tmp_path):
    disk = Disk(str(tmp_path))
    with pytest.raises(UnusableFileError, match="locked by another controller"):
        Disk(str(tmp_path))
    disk.close()
    Disk(str(tmp_path)).close()


def test_a_controller_on_a_root_in_use_ends_with_a_clear_error(tmp_path):
    disk = Disk(str(tmp_path / "root"))
    record = pilot_record(files=FileSettings(root=str(tmp_path / "root")))
    path = tmp_path / "p.cue"
    path.write_bytes(msgspec.json.encode(record.model_dump()))
    command = [sys.executable, "-m", "quillstep.cli", "controller", "--settings", str(path)]
    done = subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)
    assert done.returncode == 2
    assert done.stderr.strip() == f"quillstep: {path}: files.root: {tmp_path / 'root'}: locked by another controller"
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
def test_paths_placed_by_others_are_rejected(tmp_path, lay):
    pilot, disk = MemoryPilot(), Disk(str(tmp_path))
    lay(tmp_path)
    with pytest.raises(UnusableFileError):
        disk.swap("p", 1, *packed(pilot, 1, 1.0), set())
    disk.close()


def test_a_root_that_everybody_may_write_is_rejected(tmp_path):
    (tmp_path / "wide").mkdir()
    (tmp_path / "wide").chmod(0o777)
    with pytest.raises(UnusableFileError, match="writable by all users"):
        Disk(str(tmp_path / "wide"))


@pytest.mark.parametrize("name", ["hello.json", "ack.json"])
def test_a_proxys_file_is_not_read_through_links_nor_beyond_its_bound(tmp_path, name):
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
def test_a_malformed_acknowledgement_is_rejected(data):
    with pytest.raises(ValueError):
        read_ack(data)
