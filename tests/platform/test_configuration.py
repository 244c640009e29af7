"""The configuration file: derived values, and error messages for invalid files."""

import json
import os
import subprocess
import sys

import pytest
from platform_peers import CLASSES, INVALID_CONFIGURATIONS, settings, write_configuration
from platform_stepping import DEPLOYMENT

from quillstep.platform.configuration import ConfigurationError, controller_config, read_configuration
from quillstep.platform.protocol.connections import ConnectionLimits
from quillstep.platform.service import connection_limits
from quillstep.platform.settings_flattening import flatten_settings
from quillstep.simulator.decode import parse_line, start_config


def test_nested_settings_give_the_same_planner_config_as_a_simulator_start(tmp_path):
    flat = flatten_settings(settings(zones=["a", "b"]))
    line = "start i=0 randomSeed=1 " + " ".join(f"{key}={value}" for key, value in flat.items() if " " not in value)
    path = write_configuration(tmp_path, "127.0.0.1:1", [])
    config = controller_config(read_configuration({"BALANCER_CONFIG": str(path)}), str(path))
    assert (config.planner, config.class_names) == start_config(parse_line(line).fields)
    assert (
        config.planner.channel_lines_per_s == 3000.0
        and config.planner.health_checks_allowed
        and config.planner.load_from_health_checks
    )
    assert config.deployment == DEPLOYMENT and config.health_check_path == "/status/load"


@pytest.mark.parametrize(
    ("change", "expected_texts"),
    [
        ({"listen": 5}, ["Expected `str`, got `int`", "$.listen", "found 5"]),
        ({"limits": {"sockets": "many"}}, ["$.limits.sockets", 'found "many"']),
        ({"settings": {"lanes": [], "zones": ["a"]}}, ["$.settings.lanes", "Expected a list of classes"]),
        ({"settings": {**settings(), "zones": []}}, ["$.settings.zones", "found nothing"]),
        ({"settings": {**settings(), "tick": "soon"}}, ["$.settings", "tick='soon'"]),
    ],
)
def test_an_invalid_configuration_ends_the_process_with_a_one_line_error(tmp_path, change, expected_texts):
    path = write_configuration(tmp_path, "127.0.0.1:1", [], **change)
    completed = subprocess.run(
        [sys.executable, "-m", "quillstep.platform"], capture_output=True, text=True,
        env={**os.environ, "BALANCER_CONFIG": str(path)},
    )  # fmt: skip
    assert completed.returncode == 1 and completed.stderr.count("\n") == 1 and str(path) in completed.stderr
    assert all(text in completed.stderr for text in expected_texts), completed.stderr


@pytest.mark.parametrize("text", ["", "{", "[]", "\xff"])
def test_errors_name_a_malformed_file_or_the_unset_variable(tmp_path, text):
    path = tmp_path / "config.json"
    path.write_bytes(text.encode("latin-1"))
    with pytest.raises(ConfigurationError, match=str(path)):
        read_configuration({"BALANCER_CONFIG": str(path)})
    with pytest.raises(ConfigurationError, match="BALANCER_CONFIG"):
        read_configuration({})


@pytest.mark.parametrize("what", sorted(INVALID_CONFIGURATIONS))
def test_the_error_of_an_invalid_configuration_is_one_line_with_its_json_path(tmp_path, what):
    change, json_path = INVALID_CONFIGURATIONS[what]
    path = write_configuration(tmp_path, **{"discovery": "127.0.0.1:1", "members": [], **change})
    with pytest.raises(ConfigurationError) as raised:
        controller_config(read_configuration({"BALANCER_CONFIG": str(path)}), str(path))
    assert json_path in str(raised.value) and str(path) in str(raised.value) and "\n" not in str(raised.value)


def test_names_with_commas_dots_and_spaces_and_fractional_times_are_preserved(tmp_path):
    classes = [{**CLASSES[0], "name": "pay, final", "aim": 400000.5}, {**CLASSES[0], "name": "v.2"}]
    zones = ["port, north", "v.2 south", "c"]
    path = write_configuration(tmp_path, "127.0.0.1:1", [], settings={**settings(), "lanes": classes, "zones": zones})
    config = controller_config(read_configuration({"BALANCER_CONFIG": str(path)}), str(path))
    assert config.deployment.zones == set(zones) and config.planner.zones == zones
    assert config.class_names == ["pay, final", "v.2"] and config.planner.classes[0].latency_objective_ms == 400.0005


def test_connection_limits_allow_all_proxies_to_connect(tmp_path):
    path = write_configuration(tmp_path, "127.0.0.1:1", [], limits={"cores": 0.5, "memory_mb": 64, "sockets": 256})
    configuration = read_configuration({"BALANCER_CONFIG": str(path)})
    config = controller_config(configuration, str(path))
    limits = connection_limits(configuration)
    assert isinstance(limits, ConnectionLimits) and limits.max_connections < 256
    # New connections evict unregistered ones, so that all proxies can connect: see tests/net/test_poller.py.
    assert limits.max_connections >= limits.max_unregistered >= config.deployment.proxies


# Guards against RecursionError while an error is described: the value was decoded just within the recursion limit.
@pytest.mark.parametrize("field", ["name", "listen", "settings", "limits", "known"])
def test_a_field_nested_up_to_the_recursion_limit_is_rejected(tmp_path, field):
    path = write_configuration(tmp_path, "127.0.0.1:1", [])
    document = json.loads(path.read_text())
    del document[field]
    for depth in range(900, 1001):
        path.write_text(f'{json.dumps(document)[:-1]}, "{field}": {"[" * depth}1{"]" * depth}}}')
        with pytest.raises(ConfigurationError):
            read_configuration({"BALANCER_CONFIG": str(path)})
