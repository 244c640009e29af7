"""Tests that the wire, stored data, settings and configuration match those of an earlier version byte for byte."""

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
INVALID_SETTINGS = sorted((GOLDEN.parent / "settings" / "bad").glob("*.cue"))
CONFIGURATIONS = sorted((GOLDEN.parent / "configurations").glob("*.json"))
RECORDINGS = sorted((ROOT / "examples/captures/short").glob("capture-*"))


def golden(name):
    return gzip.decompress((GOLDEN / f"{name}.gz").read_bytes()).decode()


def golden_json(name):
    return json.loads(golden(f"{name}.json"))


@pytest.mark.parametrize("variant", VARIANTS)
def test_the_adapter_replies_to_a_recorded_dialogue_with_identical_bytes(variant):
    command = [sys.executable, "-m", "quillstep.simulator"]
    requests = golden(f"simulator-{variant}-input.txt").encode()
    completed = subprocess.run(command, input=requests, capture_output=True, cwd=ROOT, timeout=120, check=False)
    assert (completed.returncode, completed.stderr) == (0, b"")
    assert completed.stdout.decode() == golden(f"simulator-{variant}-replies.txt")


def test_platform_updates_are_identical_bytes():
    assert producers.outgoing_messages() == golden("platform-outgoing.txt")


def test_platform_messages_lead_to_identical_events_replies_drops_and_closed_connections():
    assert producers.incoming_messages() == golden_json("platform-incoming")


def test_xds_responses_are_identical_bytes():
    assert producers.xds_responses() == golden("xds-responses.txt")


@pytest.mark.parametrize("form", ["protobuf", "json"])
def test_the_files_of_a_generation_are_identical_bytes(form):
    assert producers.file_generation(form) == golden_json("files")[form]


def test_a_store_of_an_earlier_version_is_valid_and_exports_identical_rows(tmp_path):
    (tmp_path / "data.mdb").write_bytes(gzip.decompress((GOLDEN / "store-data.mdb.gz").read_bytes()))
    assert producers.export_rows(tmp_path) == (golden("store-export.jsonl"), [])


def test_an_export_of_an_earlier_version_is_imported_and_exported_identically(tmp_path):
    lines = golden("store-export.jsonl")
    assert producers.import_rows(tmp_path / "s", lines) == len(lines.splitlines())
    assert producers.export_rows(tmp_path / "s") == (lines, [])


@pytest.mark.parametrize("path", SETTINGS, ids=lambda path: path.name)
def test_settings_files_give_identical_values_under_identical_names(path):
    assert producers.settings_values(path) == golden_json("settings")[path.name]


@pytest.mark.parametrize("path", INVALID_SETTINGS, ids=lambda path: path.name)
def test_invalid_settings_files_give_identical_errors(path):
    assert producers.settings_error(path) == golden_json("settings-faults")[path.name]


@pytest.mark.parametrize("path", CONFIGURATIONS, ids=lambda path: path.name)
def test_platform_configurations_give_identical_values_or_errors(path):
    assert producers.configuration_values(path) == golden_json("configurations")[path.name]


def test_the_settings_of_a_start_message_give_identical_values():
    assert [producers.start_values(line) for line in start_lines()] == golden_json("start")


@pytest.mark.parametrize("folder", RECORDINGS, ids=lambda folder: folder.name)
def test_shipped_recordings_have_identical_records(folder):
    records = producers.recorded_events(folder)
    digest = hashlib.sha256(b"".join(each for _, each in records)).hexdigest()
    assert [len(records), digest] == golden_json("captures")[folder.name]


@pytest.mark.parametrize("folder", RECORDINGS, ids=lambda folder: folder.name)
def test_shipped_recordings_replay_with_identical_output(folder):
    command = [sys.executable, "-m", "quillstep.cli", "replay", "faithful", str(folder)]
    completed = subprocess.run(command, capture_output=True, cwd=ROOT, timeout=300, check=False)
    assert completed.returncode == 0, completed.stdout.decode() + completed.stderr.decode()
