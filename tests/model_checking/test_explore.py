"""Tests that explore the states of the real tables within a few steps, and of the mutants that must be found."""

import pytest

from quillstep.model_checking import mutants
from quillstep.model_checking.explore import explore


def test_all_states_of_the_real_tables_within_a_few_steps_reach_the_desired_state():
    result = explore(5, 5000)
    assert (result.run, result.violation) == ([], "") and result.states > 1000


@pytest.mark.parametrize(
    ("mutant", "depth"),
    [("held at sending", 2), ("lost and not missed", 3), ("refused for good", 3), ("trusts its memory", 5)],
)  # The two mutants that need more steps are found by `quillstep check-model`.
def test_mutants_of_the_real_tables_are_found(mutant, depth):
    result = explore(depth, 5000, mutants.MUTANTS[mutant])
    assert result.violation and result.depth == depth
