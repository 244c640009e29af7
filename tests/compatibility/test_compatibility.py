"""The wire, stored data, settings and configuration as an earlier version had them, byte for byte."""

import gzip
import hashlib
import json
import subprocess
import sys
from pathlib import Path

import pytest
from compatibility import producers
from compatibility.producers import GOLDEN
from compatibility.record import start_lines
from compatibility.simulator_dialogue import VARIANTS

ROOT = Path(__file__).resolve().parents[2]
SETTINGS = [*sorted((ROOT / "examples/days").glob("*.cue")), *sorted((GOLDEN.parent / "settings").glob("*.cue"))]
BAD_SETTINGS = sorted((GOLDEN.parent / "settings" / "bad").glob("*.cue"))
CONFIGURATIONS = sorted((GOLDEN.parent / "configurations").glob("*.json"))
CAPTURES = sorted((ROOT / "examples/captures/short").glob("capture-*"))


def golden(name):
    return gzip.decompress((GOLDEN / f"{name}.gz").read_bytes()).decode()


def golden_json(name):
    return json.loads(golden(f"{name}.json"))


@pytest.mark.parametrize("variant", VARIANTS)
def test_the_adapter_replies_to_a_recorded_dialogue_with_the_same_bytes(variant):
    command = [sys.executable, "-m", "quillstep.simulator"]
    told = golden(f"simulator-{variant}-input.txt").encode()
    done = subprocess.run(command, input=told, capture_output=True, cwd=ROOT, timeout=120, check=False)
    assert (done.returncode, done.stderr) == (0, b"")
    assert done.stdout.decode() == golden(f"simulator-{variant}-replies.txt")


def test_orders_on_the_platform_are_the_same_bytes():
    assert producers.outgoing_messages() == golden("platform-outgoing.txt")


def test_messages_of_the_platform_are_read_answered_dropped_and_ended_alike():
    assert producers.incoming_messages() == golden_json("platform-incoming")


def test_xds_responses_are_the_same_bytes():
    assert producers.xds_responses() == golden("xds-responses.txt")


@pytest.mark.parametrize("form", ["protobuf", "json"])
def test_a_file_generation_is_the_same_bytes(form):
    assert producers.file_generation(form) == golden_json("files")[form]


def test_a_store_of_an_earlier_version_opens_checks_and_exports(tmp_path):
    (tmp_path / "data.mdb").write_bytes(gzip.decompress((GOLDEN / "store-data.mdb.gz").read_bytes()))
    assert producers.export_of(tmp_path) == (golden("store-export.jsonl"), [])


def test_an_export_of_an_earlier_version_is_imported_and_exported_alike(tmp_path):
    lines = golden("store-export.jsonl")
    assert producers.imported(tmp_path / "s", lines) == len(lines.splitlines())
    assert producers.export_of(tmp_path / "s") == (lines, [])


@pytest.mark.parametrize("path", SETTINGS, ids=lambda path: path.name)
def test_settings_files_check_to_the_same_values_under_the_same_names(path):
    assert producers.settings_values(path) == golden_json("settings")[path.name]


@pytest.mark.parametrize("path", BAD_SETTINGS, ids=lambda path: path.name)
def test_settings_files_that_do_not_check_are_told_so_alike(path):
    assert producers.settings_fault(path) == golden_json("settings-faults")[path.name]


@pytest.mark.parametrize("path", CONFIGURATIONS, ids=lambda path: path.name)
def test_platform_configurations_come_to_the_same_values(path):
    assert producers.configuration_values(path) == golden_json("configurations")[path.name]


def test_the_settings_of_a_start_come_to_the_same_values():
    assert [producers.start_values(line) for line in start_lines()] == golden_json("start")


@pytest.mark.parametrize("folder", CAPTURES, ids=lambda folder: folder.name)
def test_shipped_captures_are_read_record_for_record(folder):
    records = producers.capture_records(folder)
    digest = hashlib.sha256(b"".join(each for _, each in records)).hexdigest()
    assert [len(records), digest] == golden_json("captures")[folder.name]


@pytest.mark.parametrize("folder", CAPTURES, ids=lambda folder: folder.name)
def test_shipped_captures_replay_order_for_order(folder):
    command = [sys.executable, "-m", "quillstep.cli", "replay", "faithful", str(folder)]
    done = subprocess.run(command, capture_output=True, cwd=ROOT, timeout=300, check=False)
    assert done.returncode == 0, done.stdout.decode() + done.stderr.decode()
