"""Tests of the bounded models of the stream protocol, rollbacks and the message limit, and of their mutants."""

import pytest

from quillstep.model_checking import message_limit_model, rollback_model, stream_model
from quillstep.model_checking.bounded_model import search


@pytest.mark.parametrize(
    ("module", "bad_state"),
    [(module, bad_state) for module in (stream_model, rollback_model) for bad_state in module.BAD_STATES],
)
def test_no_run_of_a_model_reaches_a_bad_state(module, bad_state):
    assert search(module.model(), bad_state, 8).run == []


@pytest.mark.parametrize(
    ("module", "mutant"), [(module, mutant) for module in (stream_model, rollback_model) for mutant in module.MUTANTS]
)
def test_each_mutant_of_a_model_is_found(module, mutant):
    result = search(module.model(mutant), module.MUTANTS[mutant], 9)
    assert result.run and len(result.run) == result.depth


def test_the_update_interval_enforces_the_message_limit_only_with_short_channel_delays():
    interval = 1.2 / 20
    assert [message_limit_model.max_safe_delay(20, interval, joins) for joins in (0, 1, 2)] == [0.2, 0.14, 0.08]
    departures = message_limit_model.overrun(20, interval, 0.18, 2)
    assert departures and departures[-1] - departures[0] < 1.0
