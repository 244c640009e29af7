"""Recordings that are truncated, corrupt, old or on a failing disk; incarnations replay to identical output."""

import errno
import os
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest
from memory_fleet import small_scenario

from quillstep.recording import (
    CorruptBlockError,
    Header,
    Incarnation,
    RecordingWriter,
    read_incarnations,
    read_records,
)
from quillstep.recording.format import (
    BLOCK_HEAD,
    SEGMENT_HEAD,
    SEGMENT_MAGIC,
    VERSION,
    decode_header,
    encode_block,
    encode_header,
    iterate_blocks,
)
from quillstep.recording.reader import cut_span, read_span
from quillstep.replay.faithful import Replay
from quillstep.testbed.scenarios.runner import play_arm

RECORDS = [["probe", at - 1.0, float(at), at, True, 2.5, {"util": 0.5}] for at in range(1, 41)]


def write_segment(path, records, number=0, size=8, version=VERSION):
    header = encode_header(Header("pilot-0", "pilot-0-1", number, {}, 0.0, version))
    blocks = [encode_block(records[at : at + size]) for at in range(0, len(records), size)]
    path.write_bytes(header + b"".join(blocks))
    return len(header), [len(block) for block in blocks]


def first_incarnation(folder):
    return read_incarnations(folder)[0]


def test_an_end_truncated_at_any_byte_is_cut_at_the_last_complete_block_and_reported(tmp_path):
    path = tmp_path / "pilot-0-1-0000.qcap"
    header_size, sizes = write_segment(path, RECORDS[:24])
    data = path.read_bytes()
    last = header_size + sum(sizes[:-1])
    for end in range(last + 1, len(data)):
        path.write_bytes(data[:end])
        incarnation = Incarnation(decode_header(data)[0], [path])
        assert list(read_records(incarnation)) == RECORDS[:16]
        assert f"{end - last} bytes cut off" in incarnation.truncation
    path.write_bytes(data)
    incarnation = Incarnation(decode_header(data)[0], [path])
    assert list(read_records(incarnation)) == RECORDS[:24] and not incarnation.truncation


def test_a_corrupt_block_before_complete_ones_is_not_a_truncated_end(tmp_path):
    path = tmp_path / "pilot-0-1-0000.qcap"
    header_size, _ = write_segment(path, RECORDS)
    data = bytearray(path.read_bytes())
    data[header_size + BLOCK_HEAD.size + 3] ^= 0xFF
    path.write_bytes(data)
    with pytest.raises(CorruptBlockError, match="checksum.*followed by further blocks or segments"):
        read_incarnations(tmp_path)


def test_a_missing_segment_is_an_error_and_so_is_one_truncated_in_the_middle(tmp_path):
    for number in (0, 1, 2):
        write_segment(tmp_path / f"pilot-0-1-000{number}.qcap", RECORDS, number)
    assert first_incarnation(tmp_path).records == 120
    middle = tmp_path / "pilot-0-1-0001.qcap"
    data = middle.read_bytes()
    middle.write_bytes(data[:-5])
    with pytest.raises(CorruptBlockError):
        read_incarnations(tmp_path)
    middle.unlink()
    with pytest.raises(CorruptBlockError, match="segment 1 is missing"):
        read_incarnations(tmp_path)


def test_an_older_version_is_read_and_a_newer_one_rejected(tmp_path):
    path = tmp_path / "pilot-0-1-0000.qcap"
    write_segment(path, [[r[0], *r[2:]] for r in RECORDS], version=1)
    found = list(read_records(first_incarnation(tmp_path)))
    assert found == [[r[0], r[2], *r[2:]] for r in RECORDS]
    data = path.read_bytes()
    path.write_bytes(SEGMENT_HEAD.pack(SEGMENT_MAGIC, VERSION + 1, 0) + data[SEGMENT_HEAD.size :])
    with pytest.raises(CorruptBlockError, match="reads up to"):
        read_incarnations(tmp_path)
    path.write_bytes(b"not a recording")
    with pytest.raises(CorruptBlockError, match="not a segment of a recording"):
        read_incarnations(tmp_path)


def test_segments_rotate_and_the_index_finds_a_span(tmp_path):
    writer = RecordingWriter(str(tmp_path), "pilot-0", "pilot-0-1", {}, 4096)
    for at in range(1, 201):
        writer.put(["request", float(at), float(at), 1, 1, "", os.urandom(256)])
        if at % 10 == 0:
            writer.flush(now=True)
    writer.close()
    incarnation = first_incarnation(tmp_path)
    assert len(incarnation.segments) > 5 and incarnation.records == writer.written == 200
    found = [record[2] for record in read_span(incarnation, tmp_path, 55.0, 77.0)]
    assert found == [float(at) for at in range(55, 78)]
    count = cut_span(incarnation, 0.0, 100.0, tmp_path / "piece")
    assert count == 100 and first_incarnation(tmp_path / "piece").records == 100


@pytest.mark.parametrize("code", [errno.ENOSPC, errno.EROFS])
def test_a_disk_that_fails_stops_the_recording_and_not_the_controller(tmp_path, code):
    class Failing(RecordingWriter):
        def _open_segment(self):
            raise OSError(code, os.strerror(code))

    writer = Failing(str(tmp_path), "pilot-0", "pilot-0-1", {}, 4096)
    writer.put(RECORDS[0])
    writer.flush(now=True)
    writer._thread.join(10.0)
    assert os.strerror(code) in writer.stop_reason
    for record in RECORDS * 1000:
        writer.put(record)
        writer.flush(now=True)  # neither blocks nor collects records
    assert not writer._batch
    writer.close()


def test_a_disk_that_does_not_keep_up_stops_the_recording_and_not_the_controller(tmp_path):
    class Stuck(RecordingWriter):
        def _run(self):
            """Never takes a batch from the queue."""

    writer = Stuck(str(tmp_path), "pilot-0", "pilot-0-1", {}, 4096)
    for record in RECORDS * 20:
        writer.put(record)
        writer.flush(now=True)
    assert "keep up" in writer.stop_reason and not writer._batch


@pytest.fixture(scope="module")
def recorded(tmp_path_factory):
    """Plays a short recorded scenario with faults on streams and files; one of two controllers is killed."""
    faults = [
        {"at_s": 0.5, "for_s": 1.0, "what": "drain", "zone": "a", "count": 1},
        {"at_s": 0.7, "for_s": 0.6, "what": "proxy_refuses", "count": 2},
        {"at_s": 1.5, "for_s": 1.0, "what": "pilot_kill", "count": 1},
        {"at_s": 1.8, "for_s": 1.0, "what": "proxy_moves", "count": 2},
        {"at_s": 2.0, "for_s": 1.5, "what": "fail", "count": 1},
    ]
    scenario = small_scenario(
        seconds=4.0, troubles=faults, endpoints=[{"each_zone": 3}], proxies=6, pilots=2, file_proxies=0.34,
        sotw_proxies=0.17, capture=True,
    )  # fmt: skip
    arm = play_arm(scenario, tmp_path_factory.mktemp("captured") / "learnt")
    return arm.folder


def test_every_incarnation_replays_to_identical_output_even_the_killed_one(recorded):
    found = [incarnation for at in (0, 1) for incarnation in read_incarnations(recorded / f"capture-{at}")]
    assert len(found) == 3
    for incarnation in found:
        outcome = Replay(incarnation.header).play(read_records(incarnation))
        assert outcome.is_identical, outcome.difference
        assert outcome.intervals > 3 or incarnation.records < 100


def test_another_seed_differs_and_the_first_difference_is_reported(recorded):
    incarnation = max(
        (incarnation for at in (0, 1) for incarnation in read_incarnations(recorded / f"capture-{at}")),
        key=lambda each: each.records,
    )
    replay = Replay(incarnation.header)
    other = Replay(incarnation.header, replay.settings.model_copy(update={"seed": replay.settings.seed + 1}))
    outcome = other.play(read_records(incarnation))
    assert outcome.difference["round"] >= 1
    assert outcome.difference["captured"] != outcome.difference["replayed"]
    assert outcome.difference["since_the_round_before"]


def test_a_recording_truncated_in_the_middle_replays_to_its_end(recorded, tmp_path):
    incarnation = max(
        (incarnation for at in (0, 1) for incarnation in read_incarnations(recorded / f"capture-{at}")),
        key=lambda each: each.records,
    )
    data = incarnation.segments[0].read_bytes()
    truncated_path = tmp_path / incarnation.segments[0].name
    truncated_path.write_bytes(data[: len(data) * 2 // 3])
    truncated = first_incarnation(tmp_path)
    assert 0 < truncated.records < incarnation.records and truncated.truncation
    assert Replay(truncated.header).play(read_records(truncated)).is_identical


def test_the_digest_is_the_same_in_other_processes_with_other_hash_seeds(recorded):
    command = [sys.executable, "-m", "quillstep.cli", "replay", "faithful", str(recorded / "capture-0")]
    digests = set()
    for seed in ("0", "4242"):
        environment = {**os.environ, "PYTHONHASHSEED": seed}
        done = subprocess.run(command, capture_output=True, timeout=120, check=True, env=environment)
        found = msgspec.json.decode(done.stdout.splitlines()[-1])
        assert found["identical"]
        digests.add(tuple(incarnation["digest"] for incarnation in found["lives"]))
    assert len(digests) == 1


@pytest.mark.parametrize("shipped", sorted(Path("examples/captures").iterdir()), ids=lambda shipped: shipped.name)
def test_the_shipped_recordings_replay_to_identical_output(shipped):
    """Fails when a change of the code changes a decision; an intended change must record the examples again."""
    found = [incarnation for folder in sorted(shipped.glob("capture-*")) for incarnation in read_incarnations(folder)]
    assert found
    for incarnation in found:
        outcome = Replay(incarnation.header).play(read_records(incarnation))
        assert outcome.is_identical, outcome.difference
        assert outcome.intervals >= 5


def test_invalid_bytes_are_rejected_as_block_and_as_header():
    with pytest.raises(CorruptBlockError):
        list(iterate_blocks(b"x" * 100, 0))
    with pytest.raises(CorruptBlockError):
        decode_header(b"QC")
