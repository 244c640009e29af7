"""Bounded models of the stream protocol, of rollbacks and of the message limit, and their mutants."""

import pytest

from quillstep.model_checking import message_limit_model, rollback_model, stream_model
from quillstep.model_checking.bounded_model import search


@pytest.mark.parametrize(
    ("one", "what"), [(one, what) for one in (stream_model, rollback_model) for what in one.BAD_STATES]
)
def test_no_run_of_a_model_reaches_a_bad_state(one, what):
    assert search(one.model(), what, 8).run == []


@pytest.mark.parametrize(
    ("one", "twin"), [(one, twin) for one in (stream_model, rollback_model) for twin in one.MUTANTS]
)
def test_each_mutant_of_a_model_is_found(one, twin):
    found = search(one.model(twin), one.MUTANTS[twin], 9)
    assert found.run and len(found.run) == found.depth


def test_the_update_interval_keeps_the_message_limit_only_while_the_channel_hardly_lags():
    gap = 1.2 / 20
    assert [message_limit_model.max_safe_delay(20, gap, joins) for joins in (0, 1, 2)] == [0.2, 0.14, 0.08]
    leaves = message_limit_model.overrun(20, gap, 0.18, 2)
    assert leaves and leaves[-1] - leaves[0] < 1.0
