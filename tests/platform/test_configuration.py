"""The configuration file: what it comes to, and the sentence that says what is wrong with it."""

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


def test_nested_settings_configure_the_planner_as_a_start_of_the_simulator_does(tmp_path):
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
    ("change", "says"),
    [
        ({"listen": 5}, ["Expected `str`, got `int`", "$.listen", "found 5"]),
        ({"limits": {"sockets": "many"}}, ["$.limits.sockets", 'found "many"']),
        ({"settings": {"lanes": [], "zones": ["a"]}}, ["$.settings.lanes", "Expected a list of classes"]),
        ({"settings": {**settings(), "zones": []}}, ["$.settings.zones", "found nothing"]),
        ({"settings": {**settings(), "tick": "soon"}}, ["$.settings", "tick='soon'"]),
    ],
)
def test_an_invalid_configuration_ends_the_process_with_one_sentence(tmp_path, change, says):
    path = write_configuration(tmp_path, "127.0.0.1:1", [], **change)
    done = subprocess.run(
        [sys.executable, "-m", "quillstep.platform"], capture_output=True, text=True,
        env={**os.environ, "BALANCER_CONFIG": str(path)},
    )  # fmt: skip
    assert done.returncode == 1 and done.stderr.count("\n") == 1 and str(path) in done.stderr
    assert all(text in done.stderr for text in says), done.stderr


@pytest.mark.parametrize("text", ["", "{", "[]", "\xff"])
def test_a_file_that_is_no_configuration_is_named(tmp_path, text):
    path = tmp_path / "config.json"
    path.write_bytes(text.encode("latin-1"))
    with pytest.raises(ConfigurationError, match=str(path)):
        read_configuration({"BALANCER_CONFIG": str(path)})
    with pytest.raises(ConfigurationError, match="BALANCER_CONFIG"):
        read_configuration({})


@pytest.mark.parametrize("what", sorted(INVALID_CONFIGURATIONS))
def test_the_error_of_an_invalid_configuration_is_one_sentence(tmp_path, what):
    change, at = INVALID_CONFIGURATIONS[what]
    path = write_configuration(tmp_path, **{"discovery": "127.0.0.1:1", "members": [], **change})
    with pytest.raises(ConfigurationError) as found:
        controller_config(read_configuration({"BALANCER_CONFIG": str(path)}), str(path))
    assert at in str(found.value) and str(path) in str(found.value) and "\n" not in str(found.value)


def test_names_with_commas_dots_and_spaces_and_times_with_fractions_are_as_the_file_has_them(tmp_path):
    classes = [{**CLASSES[0], "name": "pay, final", "aim": 400000.5}, {**CLASSES[0], "name": "v.2"}]
    zones = ["port, north", "v.2 south", "c"]
    path = write_configuration(tmp_path, "127.0.0.1:1", [], settings={**settings(), "lanes": classes, "zones": zones})
    config = controller_config(read_configuration({"BALANCER_CONFIG": str(path)}), str(path))
    assert config.deployment.zones == set(zones) and config.planner.zones == zones
    assert config.class_names == ["pay, final", "v.2"] and config.planner.classes[0].latency_objective_ms == 400.0005


def test_connection_limits_leave_room_for_all_proxies(tmp_path):
    path = write_configuration(tmp_path, "127.0.0.1:1", [], limits={"cores": 0.5, "memory_mb": 64, "sockets": 256})
    configuration = read_configuration({"BALANCER_CONFIG": str(path)})
    config = controller_config(configuration, str(path))
    limits = connection_limits(configuration)
    assert isinstance(limits, ConnectionLimits) and limits.max_connections < 256
    # Unregistered connections are evicted for new ones, so that there is room for all: see tests/net/test_poller.py.
    assert limits.max_connections >= limits.max_unregistered >= config.deployment.proxies
