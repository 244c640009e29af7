"""Captures that are torn, damaged, old or without a disk; lives played again bit for bit."""

import errno
import os
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest
from memory_fleet import small_day

from quillstep.recording import CorruptBlockError, Header, Incarnation, RecordingWriter, lives, read_life
from quillstep.recording.format import (
    BLOCK,
    HEAD,
    MAGIC,
    VERSION,
    blocks,
    decode_header,
    encode_block,
    encode_header,
)
from quillstep.recording.reader import between, cut
from quillstep.replay.faithful import Replay
from quillstep.testbed.scenarios.runner import play_arm

RECORDS = [["probe", at - 1.0, float(at), at, True, 2.5, {"util": 0.5}] for at in range(1, 41)]


def segment(path, records, number=0, size=8, version=VERSION):
    header = encode_header(Header("pilot-0", "pilot-0-1", number, {}, 0.0, version))
    made = [encode_block(records[at : at + size]) for at in range(0, len(records), size)]
    path.write_bytes(header + b"".join(made))
    return len(header), [len(block) for block in made]


def life_of(folder):
    return lives(folder)[0]


def test_a_tail_torn_at_any_byte_is_cut_at_the_last_whole_block_and_said(tmp_path):
    path = tmp_path / "pilot-0-1-0000.qcap"
    head, sizes = segment(path, RECORDS[:24])
    data = path.read_bytes()
    last = head + sum(sizes[:-1])
    for end in range(last + 1, len(data)):
        path.write_bytes(data[:end])
        life = Incarnation(decode_header(data)[0], [path])
        assert list(read_life(life)) == RECORDS[:16]
        assert f"{end - last} bytes cut off" in life.torn
    path.write_bytes(data)
    life = Incarnation(decode_header(data)[0], [path])
    assert list(read_life(life)) == RECORDS[:24] and not life.torn


def test_damage_before_whole_blocks_is_no_torn_tail(tmp_path):
    path = tmp_path / "pilot-0-1-0000.qcap"
    head, _ = segment(path, RECORDS)
    data = bytearray(path.read_bytes())
    data[head + BLOCK.size + 3] ^= 0xFF
    path.write_bytes(data)
    with pytest.raises(CorruptBlockError, match="checksum.*more behind it"):
        lives(tmp_path)


def test_a_missing_segment_is_told_and_so_is_one_torn_in_the_middle(tmp_path):
    for number in (0, 1, 2):
        segment(tmp_path / f"pilot-0-1-000{number}.qcap", RECORDS, number)
    assert life_of(tmp_path).records == 120
    middle = tmp_path / "pilot-0-1-0001.qcap"
    whole = middle.read_bytes()
    middle.write_bytes(whole[:-5])
    with pytest.raises(CorruptBlockError):
        lives(tmp_path)
    middle.unlink()
    with pytest.raises(CorruptBlockError, match="1 is missing"):
        lives(tmp_path)


def test_an_older_version_is_read_and_a_newer_one_refused(tmp_path):
    path = tmp_path / "pilot-0-1-0000.qcap"
    segment(path, [[r[0], *r[2:]] for r in RECORDS], version=1)
    found = list(read_life(life_of(tmp_path)))
    assert found == [[r[0], r[2], *r[2:]] for r in RECORDS]
    data = path.read_bytes()
    path.write_bytes(HEAD.pack(MAGIC, VERSION + 1, 0) + data[HEAD.size :])
    with pytest.raises(CorruptBlockError, match="reads up to"):
        lives(tmp_path)
    path.write_bytes(b"nothing of the kind")
    with pytest.raises(CorruptBlockError, match="no capture"):
        lives(tmp_path)


def test_segments_rotate_and_the_index_finds_a_span(tmp_path):
    made = RecordingWriter(str(tmp_path), "pilot-0", "pilot-0-1", {}, 4096)
    for at in range(1, 201):
        made.put(["request", float(at), float(at), 1, 1, "", os.urandom(256)])
        if at % 10 == 0:
            made.flush(now=True)
    made.close()
    life = life_of(tmp_path)
    assert len(life.segments) > 5 and life.records == made.written == 200
    found = [record[2] for record in between(life, tmp_path, 55.0, 77.0)]
    assert found == [float(at) for at in range(55, 78)]
    count = cut(life, 0.0, 100.0, tmp_path / "piece")
    assert count == 100 and life_of(tmp_path / "piece").records == 100


@pytest.mark.parametrize("code", [errno.ENOSPC, errno.EROFS])
def test_a_disk_that_fails_stops_the_capture_and_not_the_pilot(tmp_path, code):
    class Failing(RecordingWriter):
        def segment(self):
            raise OSError(code, os.strerror(code))

    made = Failing(str(tmp_path), "pilot-0", "pilot-0-1", {}, 4096)
    made.put(RECORDS[0])
    made.flush(now=True)
    made.thread.join(10.0)
    assert os.strerror(code) in made.stopped
    for record in RECORDS * 1000:
        made.put(record)
        made.flush(now=True)  # neither blocks nor gathers
    assert not made.records
    made.close()


def test_a_disk_that_does_not_keep_up_stops_the_capture_and_not_the_pilot(tmp_path):
    class Stuck(RecordingWriter):
        def run(self):
            """Takes nothing."""

    made = Stuck(str(tmp_path), "pilot-0", "pilot-0-1", {}, 4096)
    for record in RECORDS * 20:
        made.put(record)
        made.flush(now=True)
    assert "keep up" in made.stopped and not made.records


@pytest.fixture(scope="module")
def captured(tmp_path_factory):
    """A short rough day on both fronts, one pilot killed, both captured."""
    troubles = [
        {"at_s": 0.5, "for_s": 1.0, "what": "drain", "zone": "a", "count": 1},
        {"at_s": 0.7, "for_s": 0.6, "what": "proxy_refuses", "count": 2},
        {"at_s": 1.5, "for_s": 1.0, "what": "pilot_kill", "count": 1},
        {"at_s": 1.8, "for_s": 1.0, "what": "proxy_moves", "count": 2},
        {"at_s": 2.0, "for_s": 1.5, "what": "fail", "count": 1},
    ]
    day = small_day(
        seconds=4.0, troubles=troubles, endpoints=[{"each_zone": 3}], proxies=6, pilots=2, file_proxies=0.34,
        sotw_proxies=0.17, capture=True,
    )  # fmt: skip
    arm = play_arm(day, tmp_path_factory.mktemp("captured") / "learnt")
    return arm.folder


def test_every_life_plays_again_bit_for_bit_the_killed_one_too(captured):
    found = [life for at in (0, 1) for life in lives(captured / f"capture-{at}")]
    assert len(found) == 3
    for life in found:
        outcome = Replay(life.header).play(read_life(life))
        assert outcome.is_identical, outcome.difference
        assert outcome.intervals > 3 or life.records < 100


def test_another_seed_differs_and_the_first_difference_is_told(captured):
    life = max((life for at in (0, 1) for life in lives(captured / f"capture-{at}")), key=lambda each: each.records)
    replay = Replay(life.header)
    other = Replay(life.header, replay.settings.model_copy(update={"seed": replay.settings.seed + 1}))
    outcome = other.play(read_life(life))
    assert outcome.difference["round"] >= 1
    assert outcome.difference["captured"] != outcome.difference["replayed"]
    assert outcome.difference["since_the_round_before"]


def test_a_day_cut_off_in_the_middle_replays_as_far_as_it_goes(captured, tmp_path):
    life = max((life for at in (0, 1) for life in lives(captured / f"capture-{at}")), key=lambda each: each.records)
    data = life.segments[0].read_bytes()
    piece = tmp_path / life.segments[0].name
    piece.write_bytes(data[: len(data) * 2 // 3])
    torn = life_of(tmp_path)
    assert 0 < torn.records < life.records and torn.torn
    assert Replay(torn.header).play(read_life(torn)).is_identical


def test_the_digest_is_the_same_in_other_processes_with_other_hash_seeds(captured):
    command = [sys.executable, "-m", "quillstep.cli", "replay", "faithful", str(captured / "capture-0")]
    digests = set()
    for seed in ("0", "4242"):
        environment = {**os.environ, "PYTHONHASHSEED": seed}
        done = subprocess.run(command, capture_output=True, timeout=120, check=True, env=environment)
        found = msgspec.json.decode(done.stdout.splitlines()[-1])
        assert found["identical"]
        digests.add(tuple(life["digest"] for life in found["lives"]))
    assert len(digests) == 1


@pytest.mark.parametrize("kept", sorted(Path("examples/captures").iterdir()), ids=lambda kept: kept.name)
def test_the_days_that_are_shipped_play_again_bit_for_bit(kept):
    """A change of the program that changes a decision shows here; one that means to captures the days anew."""
    found = [life for folder in sorted(kept.glob("capture-*")) for life in lives(folder)]
    assert found
    for life in found:
        outcome = Replay(life.header).play(read_life(life))
        assert outcome.is_identical, outcome.difference
        assert outcome.intervals >= 5


def test_blocks_of_noise_are_no_blocks():
    with pytest.raises(CorruptBlockError):
        list(blocks(b"x" * 100, 0))
    with pytest.raises(CorruptBlockError):
        decode_header(b"QC")
