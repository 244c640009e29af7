"""All states of the real tables near their start, and mutants that the exploration finds."""

import pytest

from quillstep.model_checking import mutants
from quillstep.model_checking.explore import explore


def test_all_states_of_the_real_tables_near_their_start_reach_the_desired_state():
    found = explore(5, 5000)
    assert (found.run, found.wrong) == ([], "") and found.states > 1000


@pytest.mark.parametrize(
    ("twin", "depth"),
    [("held at sending", 2), ("lost and not missed", 3), ("refused for good", 3), ("trusts its memory", 5)],
)  # the two that need more steps are found by `quillstep prove`
def test_mutants_of_the_real_tables_are_found(twin, depth):
    found = explore(depth, 5000, mutants.MUTANTS[twin])
    assert found.wrong and found.depth == depth
