"""The planner's configuration is derived from a fleet's settings."""

from settings_files import FLEET

from quillstep.config.controller import ControllerSettings
from quillstep.config.fleet import ClassSettings
from quillstep.config.loading import load
from quillstep.config.planner_config import planner_config


def test_the_planners_configuration_has_the_values_of_the_settings(tmp_path):
    path = tmp_path / "p.cue"
    path.write_text(FLEET + "fleet: {rules: drain_grace_ms: 1234, channel: messages_most: 7}")
    record = load(ControllerSettings, path)
    config = planner_config(record.fleet)
    assert (config.drain_grace_ms, config.max_messages, config.classes[0].latency_objective_ms) == (1234, 7, 100)
    assert isinstance(record.fleet.classes[0], ClassSettings)
