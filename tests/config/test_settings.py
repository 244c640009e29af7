"""What settings may say, and that what is wrong is named with file, line, path, found and expected."""

import pytest

from quillstep.config.controller import ControllerSettings
from quillstep.config.cue import ConfigError, read_text
from quillstep.config.fleet import ClassSettings
from quillstep.config.loading import check_older, load
from quillstep.config.planner_config import planner_config
from quillstep.config.scenario import ScenarioSettings


@pytest.mark.parametrize(
    ("text", "found"),
    [
        ("a: 1\nb: -2.5\nc: true\nd: null", {"a": 1, "b": -2.5, "c": True, "d": None}),
        ('a: "x\\n\\"y\\""', {"a": 'x\n"y"'}),
        ("a: b: c: 1", {"a": {"b": {"c": 1}}}),
        ("a: {b: 1}\na: {c: 2}", {"a": {"b": 1, "c": 2}}),
        ("a: int & >0\na: 3", {"a": 3}),
        ('a: "x" | *"y"', {"a": "y"}),
        ('a: *"y" | string\na: "z"', {"a": "z"}),
        ("a: int | *5", {"a": 5}),
        ("#D: {x: int, y: *2 | int}\na: #D & {x: 1}", {"a": {"x": 1, "y": 2}}),
        ("#D: {x: int, ...}\na: #D & {x: 1, z: 2}", {"a": {"x": 1, "z": 2}}),
        ("a: [...int]\na: [1, 2]", {"a": [1, 2]}),
        ("a: [1, 2, 3,]", {"a": [1, 2, 3]}),
        ("n: 4\na: {b: n, c: {d: b}}", {"n": 4, "a": {"b": 4, "c": {"d": 4}}}),
        ("o: {p: 7}\na: o.p", {"o": {"p": 7}, "a": 7}),
        ("a?: int\nb: 1 // said\n// all", {"b": 1}),
        ('{"a": [1, {"b": 1e3}]}', {"a": [1, {"b": 1000.0}]}),
        ("a: 1_000", {"a": 1000}),
    ],
)
def test_the_subset_means_what_the_language_says(text, found):
    assert read_text(text, "f.cue")[0] == found


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ("a: 1\nb: int & 2.5", "f.cue:2: b: found 2.5, expected a whole number"),
        ("a: >5 & 3", "f.cue:1: a: found 3, expected >5"),
        ("#D: {x: int}\na: #D & {\n x: 1\n y: 2}", "f.cue:4: a.y: found the field 'y', expected one of x"),
        ("a: *1 | 2\n\na: 3", "f.cue:3: a: found 3, expected 1 or 2"),
        ("a: 1 | 2", "f.cue:1: a: found nothing chosen, expected 1 or 2"),
        ("a: [1, 2\n", "f.cue:"),
        ("a: string", "f.cue:1: a: found no value, expected a text"),
        ("a: elsewhere", "f.cue:1: a: found elsewhere, expected the name of a field"),
        ("a: a", "refers to itself"),
        ("a: 1\na: 2", "f.cue:2: a: found 2, expected 1"),
        ("x: [...>3]\nx: [4, 5, 1]", "x.2: found 1, expected >3"),
        ("a: 1 @ 2", "f.cue:1: the file: found @"),
        ("a: {b: 1}\na: 3", "f.cue:2: a: found 3, expected a record"),
        ("a: true & 1", "a: found"),
    ],
)
def test_what_is_wrong_is_named(text, said):
    with pytest.raises(ConfigError) as fault:
        read_text(text, "f.cue")
    assert said in str(fault.value)


FLEET = """
name: "p", roster: "127.0.0.1:1"
fleet: {
  zones: ["a"]
  classes: [{name: "x", agreed_ms: 100, cut_off_ms: 200, credit: 1, semantics: "safe"}]
}
"""


@pytest.mark.parametrize(
    ("more", "line", "said"),
    [
        ("seed: 1.5", 7, 'seed: found 1.5, expected a valid integer'),
        ('listen: "here"', 7, 'listen: found "here"'),
        ("shape: 1", 7, "shape: found 1, expected no such field here"),
        ('decides: "random"', 7, "decides: found \"random\", expected 'learnt', 'even' or 'listed'"),
        ('zone: "b"', 7, 'zone: found "b", expected one of a'),
        ("fleet: channel: lines_per_s: -1", 7, "fleet.channel.lines_per_s: found -1, expected greater than 0"),
        ("fleet: channel: {lines_waiting_most: 10}", 7, "expected 1500 or more, half a second"),
        ("fleet: rules: start_capacity: 2", 7, "fleet.rules.start_capacity: found 2, expected less than or equal to 1"),
    ],
)  # fmt: skip
def test_a_pilot_record_that_does_not_check_is_refused(tmp_path, more, line, said):
    path = tmp_path / "p.cue"
    path.write_text(f"{FLEET}{more}\n")
    with pytest.raises(ConfigError) as fault:
        load(ControllerSettings, path)
    assert str(fault.value).startswith(f"{path}:{line}: ") and said in str(fault.value)


@pytest.mark.parametrize(
    ("row", "said"),
    [
        ({"cut_off_ms": 50}, "cut_off_ms: found 50, expected at least 100"),
        ({"semantics": '"keyed"'}, "expected scope and window_ms"),
        ({"credit": 0}, "credit: found 0, expected greater than 0"),
    ],
)
def test_a_class_that_makes_no_sense_is_refused(tmp_path, row, said):
    fields = {"name": '"y"', "agreed_ms": 100, "cut_off_ms": 200, "credit": 1, "semantics": '"safe"', **row}
    path = tmp_path / "p.cue"
    listed = ", ".join(f"{name}: {value}" for name, value in fields.items())
    path.write_text(f'name: "p", roster: ":1"\nfleet: {{zones: ["a"], classes: [{{{listed}}}]}}')
    with pytest.raises(ConfigError) as fault:
        load(ControllerSettings, path)
    assert said in str(fault.value) and str(path) in str(fault.value)


def test_a_record_of_an_older_version_loses_what_there_is_no_more_and_nothing_else(tmp_path):
    path = tmp_path / "p.cue"
    path.write_text(FLEET)
    record = load(ControllerSettings, path)
    plain = record.model_dump()
    plain["files"]["writers"], plain["colour"] = 4, "red"
    assert check_older(ControllerSettings, plain) == record
    plain["seed"] = "many"
    with pytest.raises(ValueError):
        check_older(ControllerSettings, plain)


def test_a_missing_file_is_a_fault_and_the_example_day_checks():
    with pytest.raises(ConfigError):
        load(ScenarioSettings, "/nowhere/at/all.cue")
    assert load(ScenarioSettings, "examples/days/bad-day.cue").controllers == 2


def test_the_module_is_told_what_the_record_says(tmp_path):
    path = tmp_path / "p.cue"
    path.write_text(FLEET + "fleet: {rules: drain_grace_ms: 1234, channel: messages_most: 7}")
    record = load(ControllerSettings, path)
    facts = planner_config(record.fleet)
    assert (facts.drain_grace_ms, facts.max_messages, facts.classes[0].latency_objective_ms) == (1234, 7, 100)
    assert isinstance(record.fleet.classes[0], ClassSettings)
