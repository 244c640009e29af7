"""Regenerates `golden/` from the current code: `python tests/compatibility/record.py`.

To be run only when the wire, a stored format or the name of a setting changes on purpose; never to make a test pass.
"""

import gzip
import hashlib
import json
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT), str(ROOT / "tests"), str(Path(__file__).parent)]

import producers  # noqa: E402
from producers import GOLDEN  # noqa: E402
from simulator_dialogue import VARIANTS, dialogue  # noqa: E402

SEED = 5


def write_compressed(name, text):
    (GOLDEN / f"{name}.gz").write_bytes(gzip.compress(text.encode(), mtime=0))


def write_json(name, value):
    write_compressed(f"{name}.json", json.dumps(value, indent=1, sort_keys=True) + "\n")


def store_rows():
    """Returns rows of every part of a store, in the format of an export."""
    epoch = "pilot-0-4711"
    rows = [{"part": "meta", "key": "00" * 8, "row": 2}]
    for number in range(1, 9):
        weights = [[endpoint, 10.0 + number * endpoint / 7] for endpoint in range(1, 13)]
        limits = [[0, 12.5 * number, 1], [1, 1e6, 0]]
        row = [f"v{number:08x}", 0, f"v{number - 1:08x}", "module", "", 1e12 + number, epoch, number, weights, limits]
        rows.append({"part": "versions", "key": f"{0:016x}{number:016x}", "row": row})
    row = ["v00000009", 1, "", "rollback", "op", 1e12 + 9, epoch, 9, [[1, 3.0]], []]
    rows.append({"part": "versions", "key": f"{1:016x}{1:016x}", "row": row})
    rows.append({"part": "pins", "key": f"{0:016x}", "row": [0, "v00000003", "op", 1e12 + 20, "rollback"]})
    rows.append({"part": "wishes", "key": f"{5:016x}", "row": ["pin", [[0, "v00000002"], [1, ""]], "op", 1e12]})
    rows.append({"part": "holds", "key": b"proxy-1".hex(), "row": ["proxy-1", epoch, 7, 1e12 + 8]})
    rows.append({"part": "lives", "key": f"{0:016x}", "row": [epoch, 1e12, 0.0]})
    outputs = [["line", 0, 3, 12.0], ["withdraw", 4, True], ["bind", 1, 0, [0, 1]], ["level", 0, [0], 0.5, 1]]
    for number in range(1, 4):
        rows.append({"part": "journal", "key": f"{number:016x}", "row": [epoch, number, 1e12 + number, outputs]})
    return rows


def store_folder():
    """Writes a store as this version does, and its export."""
    import tempfile

    with tempfile.TemporaryDirectory() as folder:
        producers.import_rows(Path(folder) / "s", "".join(json.dumps(row) + "\n" for row in store_rows()))
        exported, invalid = producers.export_rows(Path(folder) / "s")
        assert not invalid
        data = (Path(folder) / "s" / "data.mdb").read_bytes()
    write_compressed("store-export.jsonl", exported)
    (GOLDEN / "store-data.mdb.gz").write_bytes(gzip.compress(data, mtime=0))


def main():
    GOLDEN.mkdir(exist_ok=True)
    for variant in VARIANTS:
        requests, replies = dialogue(variant, SEED, producers.Adapter().answer)
        write_compressed(f"simulator-{variant}-input.txt", requests)
        write_compressed(f"simulator-{variant}-replies.txt", replies)
    write_compressed("platform-outgoing.txt", producers.outgoing_messages())
    write_json("platform-incoming", producers.incoming_messages())
    write_compressed("xds-responses.txt", producers.xds_responses())
    write_json("files", {form: producers.file_generation(form) for form in ("protobuf", "json")})
    store_folder()
    paths = [*sorted((ROOT / "examples/days").glob("*.cue")), *sorted((GOLDEN.parent / "settings").glob("*.cue"))]
    write_json("settings", {path.name: producers.settings_values(path) for path in paths})
    invalid = sorted((GOLDEN.parent / "settings" / "bad").glob("*.cue"))
    write_json("settings-faults", {path.name: producers.settings_error(path) for path in invalid})
    paths = sorted((GOLDEN.parent / "configurations").glob("*.json"))
    write_json("configurations", {path.name: producers.configuration_values(path) for path in paths})
    write_json("start", [producers.start_values(line) for line in start_lines()])
    recordings = {}
    for folder in sorted((ROOT / "examples/captures/short").glob("capture-*")):
        records = producers.recorded_events(folder)
        recordings[folder.name] = [len(records), hashlib.sha256(b"".join(each for _, each in records)).hexdigest()]
    write_json("captures", recordings)


def start_lines():
    for variant in VARIANTS:
        with gzip.open(GOLDEN / f"simulator-{variant}-input.txt.gz", "rt") as file:
            yield next(line.rstrip("\n") for line in file if line.startswith("start "))


if __name__ == "__main__":
    main()
