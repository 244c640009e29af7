"""The simulator's adapter: decoding, output, multiple instances, and errors for malformed input."""

import subprocess
import sys

import pytest

from quillstep.simulator import decode
from quillstep.simulator.host import Host, Planner

START = "start i=pilot/{} randomSeed=5 novel=1 lanes.count=1 lanes.0.name=save lanes.0.aim=750 odd.key=x"
LIST = "manifest bank=0 membersList=1\nitem endpoint=7 regionPart=a availability=in_service part=1.5 new=2"
UPDATE = "membership i=pilot/{} mode=Persisted bank=0 serial=4"
JOIN = "joined i=pilot/{} agent=3 regionPart=a part=6.5 active=1"


def run(*lines):
    command = [sys.executable, "-m", "quillstep.simulator"]
    text = "".join(f"{line}\n" for line in lines)
    return subprocess.run(command, input=text, capture_output=True, text=True)


def batch(*lines, at=1000000):
    return [f"turn atTime={at}", *lines, "over_to_you"]


def start_events(number):
    return [START.format(number), LIST, UPDATE.format(number), JOIN.format(number)]


def test_empty_batches_get_empty_replies_and_end_of_input_exits_with_0():
    done = run(*batch(), "", *batch())
    assert (done.returncode, done.stdout, done.stderr) == (0, "end\nend\n", "")


def test_output_uses_the_protocols_names_and_units():
    out = run(*batch(*start_events(3))).stdout.splitlines()
    assert out[0].startswith("sleep i=pilot/3 cookie=1 at=1") and len(out[0].split("at=")[1]) == 7
    assert "set_line i=pilot/3 mapId=0 endpoint=7 part=10" in out
    install = "install i=pilot/3 agent=3 mapId=0 classBits=1"
    assert out[-3:] == [install, "ask_receipt i=pilot/3 active=0 serial=1", "end"]


def test_instances_write_the_same_output_alone_and_together():
    alone = [run(*batch(*start_events(number))).stdout.splitlines()[:-1] for number in (1, 2)]
    both = run(*batch(*start_events(1), *start_events(2))).stdout.splitlines()
    assert alone[0] and both == [*alone[0], *alone[1], "end"]


def test_a_start_in_the_batch_of_a_stop_keeps_no_state():
    restart = [line for line in start_events(1) if not line.startswith("joined")]
    out = run(*batch(*start_events(1)), *batch("stop i=pilot/1", *restart, at=9000000)).stdout
    assert "install" not in out.split("end\n")[1]


@pytest.mark.parametrize(
    ("lines", "message"),
    [
        (["turn atTime=1", "what i=pilot/1", "over_to_you"], "input line 2: unknown line name 'what'"),
        (["turn atTime=1", "joined i=pilot/1 agent=3", "over_to_you"], "missing field 'regionPart' of 'joined'"),
        (["turn atTime=soon", "over_to_you"], "atTime='soon' is not a number"),
        (["turn"], "missing field 'atTime' of 'turn'"),
        (["over_to_you"], "expected a batch to begin with 'turn'"),
        (["turn atTime=1", "turn atTime=1"], "expected a batch to begin with 'turn'"),
        (["turn atTime=1", "manifest bank=0 membersList=2", "over_to_you"], "expected 2 more 'item' lines"),
        (["turn atTime=1", "joined  i=pilot/1"], "expected a name=value pair, got ''"),
        (["turn atTime=1", *start_events(1), "membership i=pilot/1 mode=Complete bank=9"], "unknown list number 9"),
        (
            ["turn atTime=1", *start_events(1), "traffic i=pilot/1 service=x many=1 agent=3"],
            "unknown class service='x'",
        ),
        (["turn atTime=1", *start_events(1)], "the input ended within a batch"),
    ],
)
def test_malformed_input_is_reported_in_one_line_without_a_reply(lines, message):
    done = run(*lines)
    assert done.returncode != 0 and message in done.stderr and done.stdout == ""
    assert done.stderr.count("\n") == 1 and "Traceback" not in done.stderr


def test_the_adapter_imports_only_the_standard_library():
    code = (
        "import sys, quillstep.simulator.__main__\n"
        "print(sorted({name.partition('.')[0] for name in sys.modules} - set(sys.stdlib_module_names)))"
    )
    out = subprocess.run([sys.executable, "-S", "-c", code], capture_output=True, text=True, check=True).stdout
    assert out.strip() == "['__main__', 'quillstep']"


def test_an_exception_in_the_planner_is_reported_as_a_broken_line(monkeypatch):
    def fail(*_):
        raise RuntimeError("out of\nreach")

    monkeypatch.setattr(Planner, "run_interval", fail)
    host = Host()
    for line in "\n".join(start_events(1)).split("\n"):
        host.handle(decode.parse_line(line))
    assert host.reply() == ["broken i=pilot/1 line=RuntimeError: out of reach"]


OUT_OF_RANGE = {
    "integer of 400 digits": f"observed i=pilot/1 endpoint=7 many={'9' * 400} errors=0",
    "integer of 5,000 digits": f"observed i=pilot/1 endpoint=7 many={'9' * 5000} errors=0",
    "requests": f"traffic i=pilot/1 service=save many={'9' * 400} agent=3 covers=1000000",
    "serial": f"applied i=pilot/1 agent=3 serial={'9' * 400}",
    "time": "observed i=pilot/1 endpoint=7 many=1 errors=0 timeTaken=1e308",
    "load": "observed i=pilot/1 endpoint=7 many=1 errors=0 gauge=util:1e308",
    "weight": "manifest bank=1 membersList=1\nitem endpoint=8 regionPart=a availability=in_service part=1e308",
    "entries of a list": "manifest bank=1 membersList=-1",
    "classes": "start i=pilot/2 randomSeed=5 lanes.count=1000000000000",
}


# Guards against OverflowError in the planner, with a traceback, and against memory that a number of a line exhausts.
@pytest.mark.parametrize("line", OUT_OF_RANGE.values(), ids=OUT_OF_RANGE)
def test_a_number_out_of_range_is_malformed_input(line):
    done = run(*batch(*start_events(1)), *batch(*line.split("\n"), at=2000000), *batch(at=9000000))
    assert done.returncode == 1 and done.stderr.count("\n") == 1 and "input line " in done.stderr
