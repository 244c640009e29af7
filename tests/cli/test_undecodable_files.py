"""Files that cannot be decoded end a command with one line that names the problem, never with a traceback."""

import json
import shutil
from pathlib import Path

import pytest
import xxhash
import zstandard
from click.testing import CliRunner

from quillstep.cli.main import cli
from quillstep.recording import format as segments

CAPTURE = Path("examples/captures/short/capture-0")
NESTED = "[" * 3000 + "]" * 3000
SETTINGS = {
    "nested records": "a: " + "{b: " * 3000 + "1" + "}" * 3000,
    "nested lists": f"a: {NESTED}",
    "nested shorthand": "a: " * 3000 + "1",
    "a chain of references": "".join(f"a{number}: a{number + 1}\n" for number in range(3000)) + "a3000: 1\n",
    "a number of 5,000 digits": "a: " + "9" * 5000,
    "not UTF-8": b'a: "\xff"',
}


def run(*arguments):
    return CliRunner().invoke(cli, [str(each) for each in arguments], prog_name="quillstep")


def assert_fails_with_one_line(result):
    assert result.exit_code in (1, 2) and isinstance(result.exception, SystemExit)
    assert result.stderr.startswith("quillstep: ") and result.stderr.count("\n") == 1


# Guards against RecursionError and ValueError that leave the parser of settings.
@pytest.mark.parametrize("text", SETTINGS.values(), ids=SETTINGS)
@pytest.mark.parametrize("command", [["check", "controller"], ["controller", "--settings"], ["scenario"]])
def test_a_settings_file_that_cannot_be_decoded_is_rejected(tmp_path, command, text):
    path = tmp_path / "f.cue"
    path.write_bytes(text if isinstance(text, bytes) else text.encode())
    result = run(*command, path)
    assert_fails_with_one_line(result)
    assert str(path) in result.stderr


# Guards against RecursionError of a value of `--set`, which is decoded as JSON.
@pytest.mark.parametrize("value", [NESTED, "[" * 3000], ids=["nested", "never closed"])
def test_a_nested_value_of_a_setting_is_rejected(value):
    result = run("replay", "compare", "examples/captures/short", "--set", f"fleet.proxies.ejects={value}")
    assert_fails_with_one_line(result)
    assert "fleet.proxies.ejects" in result.stderr


def segment(folder, records, header=None):
    """Writes a recording whose only block has these bytes as its decompressed payload; returns its folder."""
    path = sorted(CAPTURE.glob("*.qcap"))[0]
    data = path.read_bytes()
    if header is None:
        header = data[: segments.decode_header(data)[1]]
    payload = zstandard.ZstdCompressor().compress(records)
    head = (segments.BLOCK_MAGIC, len(payload), 1, 0.0, 1.0, xxhash.xxh3_64_intdigest(payload))
    (folder / path.name).write_bytes(header + segments.BLOCK_HEAD.pack(*head) + payload)
    # Another block, so that the first one does not pass for an end that was cut off.
    with (folder / path.name).open("ab") as file:
        file.write(segments.encode_block([["end", 1.0, 1.0, 0, 1, ""]]))
    return folder


def header(body):
    return segments.SEGMENT_HEAD.pack(segments.SEGMENT_MAGIC, segments.VERSION, len(body)) + body


RECORDS = {  # MessagePack of the array of records
    "nested": b"\x91\x94\xa4open\x01\x01" + b"\x91" * 3000 + b"\x01",
    "nested and never closed": b"\x91\x94\xa4open" + b"\x91" * 3000,
    "an empty record": b"\x91\x90",
    "a record without times": b"\x91\x91\xa4open",
    "a kind that is a list": b"\x91\x93\x90\x02\x03",
    "a kind that is a number": b"\x91\x93\x01\x02\x03",
    "a time that is a text": b"\x91\x93\xa4open\xa1a\xa1b",
    "a time stamp": b"\x91\x93\xa4open\xd6\xff\x00\x00\x00\x01\x03",
    "a time that is NaN": b"\x91\x93\xa4open\x01\xcb\x7f\xf8\x00\x00\x00\x00\x00\x00",
}
reads_recording = pytest.mark.parametrize(
    "command", [["recording", "ls"], ["recording", "verify"], ["recording", "show"], ["replay", "faithful"]],
    ids=["ls", "verify", "show", "faithful"],
)  # fmt: skip


# Guards against RecursionError, IndexError and TypeError of a recording whose records are not what they should be.
@reads_recording
@pytest.mark.parametrize("records", RECORDS.values(), ids=RECORDS)
def test_a_recording_with_malformed_records_is_corrupt(tmp_path, command, records):
    result = run(*command, segment(tmp_path, records))
    assert_fails_with_one_line(result)
    assert "at byte " in result.stderr


# Guards against RecursionError of a nested field in the header of a segment.
@reads_recording
def test_a_recording_with_a_nested_header_is_corrupt(tmp_path, command):
    assert_fails_with_one_line(run(*command, segment(tmp_path, b"\x90", header(b"\x81\xa1x" + b"\x91" * 3000))))


EXPORTS = {
    "nested": b'{"part": ' + b"[" * 3000,
    "a nested row": b'{"part":"versions","key":"00","row":' + NESTED.encode() + b'}\n{"rows":1}\n',
    "a number that is not stored": b'{"part":"journal","key":"0000000000000001","row":['
    + b"9" * 400
    + b"]}\n"
    + b'{"rows":1}\n',
    "a key that is cut off": b'{"part":"journal","key":"01","row":[]}\n{"rows":1}\n',
    "not UTF-8": b'{"part":"\xff"}\n',
    "a row of another type": b'{"part":"versions","key":"0000000000000001","row":1}\n{"rows":1}\n',
    "a line that is no object": b'[]\n{"rows":1}\n',
}


# Guards against RecursionError and OverflowError of an export, and against keys that later reads cannot split.
@pytest.mark.parametrize("lines", EXPORTS.values(), ids=EXPORTS)
def test_an_export_that_cannot_be_decoded_is_not_imported(tmp_path, lines):
    (tmp_path / "export").write_bytes(zstandard.ZstdCompressor().compress(lines))
    assert_fails_with_one_line(run("store", "import", tmp_path / "store", tmp_path / "export"))
    rows = json.loads(run("store", "check", tmp_path / "store").stdout.splitlines()[-1])["rows"]
    assert not any(count for part, count in rows.items() if part != "meta")


ROWS = {
    "nested": b'{"what":"exchange","unused":' + b"[" * 3000,
    "nested and closed": b'{"what":"exchange","unused":' + b"[" * 900 + b"]" * 900 + b"}",
    "a list": b"[]",
    "a row without times": b'{"what":"exchange"}',
    "a time that is a text": b'{"what":"exchange","exchange":"1","at":"x","end":1}',
    "not UTF-8": b"\xff",
}
FLEETS = {
    "nested": b"[" * 3000,
    "a list": b"[]",
    "without endpoints": b"{}",
    "a row that is a number": b'{"endpoints":[1],"proxies":[]}',
}


def arm(folder, name, data):
    """Copies a recorded arm and replaces one of its files, or appends a line to it; returns its folder."""
    shutil.copytree(CAPTURE.parent, folder)
    path = folder / name
    path.write_bytes(path.read_bytes() + data + b"\n" if name.endswith(".jsonl") else data)
    return folder


def assert_arm_is_rejected(tmp_path, name, data):
    folder = arm(tmp_path / "arm", name, data)
    compare = ["replay", "compare", folder, "--set", "fleet.proxies.ejects=1"]
    for command in (compare, ["recording", "keep", folder, tmp_path / "out"]):
        result = run(*command)
        assert_fails_with_one_line(result)
        assert name in result.stderr


# Guards against errors of any type for a recorded request that cannot be decoded, or lacks a field.
@pytest.mark.parametrize("row", ROWS.values(), ids=ROWS)
def test_an_arm_with_a_malformed_request_is_rejected(tmp_path, row):
    assert_arm_is_rejected(tmp_path, "proxies-0.jsonl", row)


# Guards against errors of any type for a list of the fleet that cannot be decoded, or lacks a field.
@pytest.mark.parametrize("fleet", FLEETS.values(), ids=FLEETS)
def test_an_arm_with_a_malformed_fleet_is_rejected(tmp_path, fleet):
    assert_arm_is_rejected(tmp_path, "fleet.json", fleet)
