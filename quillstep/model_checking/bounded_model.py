"""A bounded model checker: named variables, steps that each set some of them, unrolled for z3.  No I/O.

A state assigns a bit vector to each variable; a step has a condition and the values that it sets, other variables are
unchanged.  `search` asks z3 for a run of at most so many steps that ends in a bad state; an empty result means that
there is none within the bound.
"""

import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import z3

from quillstep.errors import QuillstepError

VARIABLE_BITS = 4  # Enough for the versions, nonces and clocks of a bounded run.
STEP_BITS = 8
State = Mapping[str, Any]  # Values or z3 expressions by variable.


class SearchError(QuillstepError):
    """The solver could not decide a search."""


class Step(NamedTuple):
    """A possible step: its name, its condition, and the values of the variables that it sets."""

    name: str
    condition: Any
    assignments: State


@dataclass(slots=True)
class Model:
    """Variables with their initial values, the steps of a state, and predicates of bad states by name."""

    initial: dict[str, int]
    steps: Callable[[State], list[Step]]
    bad_states: Mapping[str, Callable[[State], Any]]


@dataclass(slots=True)
class SearchResult:
    """The result of a search: the run to a bad state, empty if there is none within `depth` steps."""

    name: str
    depth: int
    run: list[str] = field(default_factory=list)
    took_s: float = 0.0


def value(number: int) -> Any:
    """Returns a number as a bit vector of the size of variables."""
    return z3.BitVecVal(number, VARIABLE_BITS)


def search(model: Model, name: str, depth: int) -> SearchResult:
    """Searches for the shortest run to a bad state.

    Args:
        model: The model.
        name: The name of the bad state.
        depth: The maximum number of steps.

    Returns:
        The run; empty if there is none within `depth` steps.

    Raises:
        SearchError: The solver could not decide the search.
    """
    begun_s = time.monotonic()
    solver = z3.SolverFor("QF_BV")
    names = list(model.initial)
    states = [state_at(names, 0)]
    solver.add([states[0][each] == model.initial[each] for each in names])
    step_indices: list[Any] = []
    for index in range(depth + 1):
        solver.push()
        solver.add(model.bad_states[name](states[index]))
        result = solver.check()
        if result == z3.sat:
            solution = solver.model()
            labels = [step.name for step in model.steps(states[0])]
            run = [labels[solution.eval(each, model_completion=True).as_long()] for each in step_indices]
            return SearchResult(name, index, run, round(time.monotonic() - begun_s, 2))
        if result != z3.unsat:
            raise SearchError(f"z3 could not decide {name} at depth {index}: {solver.reason_unknown()}")
        solver.pop()
        if index == depth:
            break
        solver.add(z3.Not(model.bad_states[name](states[index])))
        states.append(state_at(names, index + 1))
        step_indices.append(z3.BitVec(f"step.{index}", STEP_BITS))
        solver.add(transition(model.steps(states[index]), states[index], states[index + 1], step_indices[index]))
    return SearchResult(name, depth, [], round(time.monotonic() - begun_s, 2))


def state_at(names: list[str], index: int) -> State:
    """Returns the z3 variables of the state after `index` steps."""
    return {name: z3.BitVec(f"{name}.{index}", VARIABLE_BITS) for name in names}


def transition(steps: list[Step], before: State, after: State, step_index: Any) -> Any:
    """Returns the condition that the step with an index leads from one state to the next.

    Raises:
        KeyError: A step sets an unknown variable.
    """
    for step in steps:
        unknown = set(step.assignments) - set(before)
        if unknown:
            raise KeyError(f"step {step.name} sets unknown variables: {sorted(unknown)}")
    options = []
    for index, step in enumerate(steps):
        assignments = [after[name] == step.assignments.get(name, before[name]) for name in before]
        options.append(z3.And(step_index == index, step.condition, *assignments))
    return z3.Or(options)
