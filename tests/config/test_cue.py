"""The supported subset of CUE is evaluated as the language specifies; errors name file, line, path and values."""

import pytest

from quillstep.config.cue import read_text
from quillstep.config.errors import ConfigError


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
def test_the_subset_is_evaluated_as_in_cue(text, found):
    assert read_text(text, "f.cue")[0] == found


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("a: 1\nb: int & 2.5", "f.cue:2: b: found 2.5, expected a whole number"),
        ("a: >5 & 3", "f.cue:1: a: found 3, expected >5"),
        ("#D: {x: int}\na: #D & {\n x: 1\n y: 2}", "f.cue:4: a.y: found the field 'y', expected one of x"),
        ("a: *1 | 2\n\na: 3", "f.cue:3: a: found 3, expected 1 or 2"),
        ("a: 1 | 2", "f.cue:1: a: found an ambiguous value, expected 1 or 2"),
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
def test_an_error_names_file_line_path_and_the_found_and_expected_values(text, message):
    with pytest.raises(ConfigError) as error:
        read_text(text, "f.cue")
    assert message in str(error.value)
