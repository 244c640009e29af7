"""Settings files are loaded into validated records, or rejected with file, line and path."""

import pytest
from settings_files import FLEET

from quillstep.config.controller import ControllerSettings
from quillstep.config.errors import ConfigError
from quillstep.config.loading import check_older, load
from quillstep.config.scenario import ScenarioSettings


@pytest.mark.parametrize(
    ("added", "line", "message"),
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
def test_invalid_controller_settings_are_rejected(tmp_path, added, line, message):
    path = tmp_path / "p.cue"
    path.write_text(f"{FLEET}{added}\n")
    with pytest.raises(ConfigError) as error:
        load(ControllerSettings, path)
    assert str(error.value).startswith(f"{path}:{line}: ") and message in str(error.value)


@pytest.mark.parametrize(
    ("row", "message"),
    [
        ({"cut_off_ms": 50}, "cut_off_ms: found 50, expected at least 100"),
        ({"semantics": '"keyed"'}, "expected scope and window_ms"),
        ({"credit": 0}, "credit: found 0, expected greater than 0"),
    ],
)
def test_a_class_with_inconsistent_values_is_rejected(tmp_path, row, message):
    fields = {"name": '"y"', "agreed_ms": 100, "cut_off_ms": 200, "credit": 1, "semantics": '"safe"', **row}
    path = tmp_path / "p.cue"
    members = ", ".join(f"{name}: {value}" for name, value in fields.items())
    path.write_text(f'name: "p", roster: ":1"\nfleet: {{zones: ["a"], classes: [{{{members}}}]}}')
    with pytest.raises(ConfigError) as error:
        load(ControllerSettings, path)
    assert message in str(error.value) and str(path) in str(error.value)


def test_only_unknown_fields_are_dropped_from_settings_of_an_older_version(tmp_path):
    path = tmp_path / "p.cue"
    path.write_text(FLEET)
    record = load(ControllerSettings, path)
    plain = record.model_dump()
    plain["files"]["writers"], plain["colour"] = 4, "red"
    assert check_older(ControllerSettings, plain) == record
    plain["seed"] = "many"
    with pytest.raises(ValueError):
        check_older(ControllerSettings, plain)


def test_a_missing_file_is_an_error_and_the_example_scenario_is_valid():
    with pytest.raises(ConfigError):
        load(ScenarioSettings, "/nowhere/at/all.cue")
    assert load(ScenarioSettings, "examples/days/bad-day.cue").controllers == 2
