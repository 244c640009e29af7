"""The file front's disk: a writer killed at each step of a swap, and paths placed by other users."""

import os
import signal
import subprocess
import sys

import msgspec
import pytest
from file_generations import sample_generation, sample_resources
from memory_fleet import MemoryController, controller_settings

from quillstep.config.controller import FileSettings
from quillstep.files.disk import STEPS, Disk, UnusableFileError, read_ack, safe_name
from quillstep.files.generation_files import read_resources
from quillstep.routing.resources import WEIGHT
from quillstep.testbed.file_subscriber import read_generation

WRITER = """
import os, signal, sys
sys.path.insert(0, "tests")
from memory_fleet import MemoryController
from file_generations import sample_generation
from quillstep.files.disk import Disk

def step(name):
    if name == sys.argv[2] and armed:
        os.kill(os.getpid(), signal.SIGKILL)

armed = False
disk = Disk(sys.argv[1], step=step)
controller = MemoryController()
os.makedirs(sys.argv[1] + "/p", exist_ok=True)
disk.swap("p", 1, *sample_generation(controller, 1, 5.0), set())
armed = True
disk.swap("p", 2, *sample_generation(controller, 2, 7.0), {1})
"""


@pytest.mark.parametrize("step", STEPS)
def test_a_writer_killed_at_any_step_leaves_the_old_or_the_new_generation_complete(tmp_path, step):
    root = tmp_path / "root"
    writer = subprocess.run([sys.executable, "-c", WRITER, str(root), step], timeout=60, check=False)
    assert writer.returncode == -signal.SIGKILL
    manifest, files = read_generation(root / "p")
    resources = read_resources(files)
    controller = MemoryController()
    is_swapped = STEPS.index(step) >= STEPS.index("swapped")
    assert manifest.generation == (2 if is_swapped else 1)
    assert {k: c.version for k, c in resources.items()} == {
        k: c.version for k, c in sample_resources(7.0 if is_swapped else 5.0).items()
    }
    disk = Disk(str(root))  # the next start removes incomplete files and writes the next generation
    number = disk.newest("p") + 1
    disk.swap("p", number, *sample_generation(controller, number, 9.0), {manifest.generation})
    after, files = read_generation(root / "p")
    assert after.generation == number
    assert read_resources(files)[WEIGHT, 0, 12].version == sample_resources(9.0)[WEIGHT, 0, 12].version
    assert sorted(os.listdir(root / "p" / "generations")) == sorted({str(manifest.generation), str(number)})
    assert not [name for name in os.listdir(root / ".objects") if name.startswith("new-")]
    disk.close()


def test_one_changed_weight_writes_one_small_file_and_links_the_rest(tmp_path):
    controller, disk = MemoryController(), Disk(str(tmp_path))
    (tmp_path / "p").mkdir()
    disk.swap("p", 1, *sample_generation(controller, 1, 5.0), set())
    before = set(os.listdir(tmp_path / ".objects"))
    disk.swap("p", 2, *sample_generation(controller, 2, 7.0), {1})
    new = set(os.listdir(tmp_path / ".objects")) - before
    assert len(new) == 1
    total_bytes = sum(len(file.data) for file in sample_generation(controller, 2, 7.0)[0])
    assert (tmp_path / ".objects" / new.pop()).stat().st_size < total_bytes / 3
    disk.swap("p", 3, *sample_generation(controller, 3, 9.0), {2})
    assert disk.clear_objects() == 1  # the object that only generation 1 linked to
    disk.close()


def test_a_reader_during_swaps_never_sees_a_truncated_or_mixed_generation(tmp_path):
    controller, disk = MemoryController(), Disk(str(tmp_path), fsync=False)
    (tmp_path / "p").mkdir()
    disk.swap("p", 1, *sample_generation(controller, 1, 1.0), set())
    number, outcomes = 1, {"complete": 0, "cleared": 0}

    # The number of swaps during one read; the generation that is being read is removed at the third.
    for max_swaps in [1, 2, 5] * 20:
        swaps = iter(range(max_swaps))

        def swap(swaps=swaps):
            nonlocal number
            if next(swaps, None) is not None:
                number += 1
                disk.swap("p", number, *sample_generation(controller, number, float(number)), {number - 1})

        try:
            manifest, files = read_generation(tmp_path / "p", between=swap)
        except FileNotFoundError:
            outcomes["cleared"] += 1  # a reader starts again with the newer generation
            continue
        outcomes["complete"] += 1
        expected = sample_resources(float(manifest.generation))
        assert {k: c.version for k, c in read_resources(files).items()} == {k: c.version for k, c in expected.items()}
    assert outcomes["complete"] >= 20 and outcomes["cleared"] >= 20
    disk.close()


def test_a_second_controller_on_one_root_is_rejected(tmp_path):
    disk = Disk(str(tmp_path))
    with pytest.raises(UnusableFileError, match="locked by another controller"):
        Disk(str(tmp_path))
    disk.close()
    Disk(str(tmp_path)).close()


def test_a_controller_on_a_locked_root_exits_with_a_clear_error(tmp_path):
    disk = Disk(str(tmp_path / "root"))
    settings = controller_settings(files=FileSettings(root=str(tmp_path / "root")))
    path = tmp_path / "p.cue"
    path.write_bytes(msgspec.json.encode(settings.model_dump()))
    command = [sys.executable, "-m", "quillstep.cli", "controller", "--settings", str(path)]
    completed = subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)
    assert completed.returncode == 2
    assert (
        completed.stderr.strip() == f"quillstep: {path}: files.root: {tmp_path / 'root'}: locked by another controller"
    )
    disk.close()


def place_link(root):
    os.symlink("/tmp", root / "p")


def place_world_writable_directory(root):
    (root / "p").mkdir()
    (root / "p").chmod(0o777)


def place_file(root):
    (root / "p").write_text("x")


def place_link_inside(root):
    (root / "p").mkdir()
    os.symlink("/tmp", root / "p" / "generations")


@pytest.mark.parametrize("place", [place_link, place_world_writable_directory, place_file, place_link_inside])
def test_paths_placed_by_other_users_are_rejected(tmp_path, place):
    controller, disk = MemoryController(), Disk(str(tmp_path))
    place(tmp_path)
    with pytest.raises(UnusableFileError):
        disk.swap("p", 1, *sample_generation(controller, 1, 1.0), set())
    disk.close()


def test_a_world_writable_root_is_rejected(tmp_path):
    (tmp_path / "wide").mkdir()
    (tmp_path / "wide").chmod(0o777)
    with pytest.raises(UnusableFileError, match="writable by all users"):
        Disk(str(tmp_path / "wide"))


@pytest.mark.parametrize("name", ["hello.json", "ack.json"])
def test_a_proxys_file_is_not_read_through_links_nor_beyond_the_size_limit(tmp_path, name):
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
def test_a_proxys_directory_stays_below_the_root_and_is_not_shared(node):
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
