"""A bounded model checker: named variables, steps that each set some of them, unrolled for z3.  No I/O.

A state is a row of bit vectors; a step has a condition and the values that it sets, all other variables stay.  `search`
asks z3 for a run of at most so many steps that ends in a bad state; no answer means that there is none within the
bound.
"""

import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import z3

from quillstep.errors import QuillstepError

VARIABLE_BITS = 4  # enough for versions, nonces and clocks of a bounded run
STEP_BITS = 8
State = Mapping[str, Any]  # value, or expression, by variable


class SearchError(QuillstepError):
    """The solver gave up on a search."""


class Step(NamedTuple):
    """What may happen in a state: its name, under which condition, and the variables that it sets."""

    name: str
    condition: Any
    sets: State


@dataclass(slots=True)
class Model:
    """Variables with their first values, the steps of a state, and the bad states by name."""

    first: dict[str, int]
    steps: Callable[[State], list[Step]]
    bad: Mapping[str, Callable[[State], Any]]


@dataclass(slots=True)
class Found:
    """The result of a search: the run to a bad state, empty if there is none within `depth` steps."""

    name: str
    depth: int
    run: list[str] = field(default_factory=list)
    took_s: float = 0.0


def value(number: int) -> Any:
    """Returns a number as a value of a variable."""
    return z3.BitVecVal(number, VARIABLE_BITS)


def search(model: Model, name: str, depth: int) -> Found:
    """Returns the shortest run to a state that is bad by this name.

    Raises:
        SearchError: The solver gave up.
    """
    begun_s = time.monotonic()
    solver = z3.SolverFor("QF_BV")
    names = list(model.first)
    states = [state_at(names, 0)]
    solver.add([states[0][each] == model.first[each] for each in names])
    chosen: list[Any] = []
    for at in range(depth + 1):
        solver.push()
        solver.add(model.bad[name](states[at]))
        result = solver.check()
        if result == z3.sat:
            answer = solver.model()
            labels = [step.name for step in model.steps(states[0])]
            run = [labels[answer.eval(each, model_completion=True).as_long()] for each in chosen]
            return Found(name, at, run, round(time.monotonic() - begun_s, 2))
        if result != z3.unsat:
            raise SearchError(f"z3 gave up on {name} at depth {at}: {solver.reason_unknown()}")
        solver.pop()
        if at == depth:
            break
        solver.add(z3.Not(model.bad[name](states[at])))
        states.append(state_at(names, at + 1))
        chosen.append(z3.BitVec(f"step.{at}", STEP_BITS))
        solver.add(transition(model.steps(states[at]), states[at], states[at + 1], chosen[at]))
    return Found(name, depth, [], round(time.monotonic() - begun_s, 2))


def state_at(names: list[str], at: int) -> State:
    """Returns the variables of the state after so many steps."""
    return {name: z3.BitVec(f"{name}.{at}", VARIABLE_BITS) for name in names}


def transition(steps: list[Step], before: State, after: State, chosen: Any) -> Any:
    """Returns the condition that one of the steps leads from a state to the next; `chosen` is its index.

    Raises:
        KeyError: A step sets a variable that the model does not have.
    """
    for step in steps:
        unknown = set(step.sets) - set(before)
        if unknown:
            raise KeyError(f"step {step.name} sets what there is not: {sorted(unknown)}")
    options = []
    for index, step in enumerate(steps):
        sets = [after[name] == step.sets.get(name, before[name]) for name in before]
        options.append(z3.And(chosen == index, step.condition, *sets))
    return z3.Or(options)
