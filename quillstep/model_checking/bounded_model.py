"""A bounded model checker: named variables, steps that each set some of them, unrolled for z3.  No I/O.

A state is a row of bit vectors; a step has a condition and the values that it gives, all others stay.  `search` asks z3
for a run of at most so many steps that ends in a bad state; no answer means that there is none within the bound.
"""

import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import z3

BITS = 4  # of a variable: enough for versions, nonces and clocks of a bounded run
Row = Mapping[str, Any]  # variable to value


class Step(NamedTuple):
    """What may happen in a state: its name, when it may, and what it changes."""

    name: str
    may: Any
    sets: Row


@dataclass(slots=True)
class Model:
    """Variables with the values they start with, the steps of a state, and what must never be, by name."""

    first: dict[str, int]
    steps: Callable[[Row], list[Step]]
    bad: Mapping[str, Callable[[Row], Any]]


@dataclass(slots=True)
class Found:
    """What a search came to: the run to a bad state, empty if there is none within `depth` steps."""

    name: str
    depth: int
    run: list[str] = field(default_factory=list)
    took_s: float = 0.0


def value(number: int) -> Any:
    return z3.BitVecVal(number, BITS)


def search(model: Model, name: str, depth: int) -> Found:
    """The shortest run to a state that is bad by this name."""
    begun = time.monotonic()
    solver = z3.SolverFor("QF_BV")
    names = list(model.first)
    rows = [row(names, 0)]
    solver.add([rows[0][each] == model.first[each] for each in names])
    chosen: list[Any] = []
    for at in range(depth + 1):
        solver.push()
        solver.add(model.bad[name](rows[at]))
        found = solver.check()
        if found == z3.sat:
            answer = solver.model()
            labels = [step.name for step in model.steps(rows[0])]
            run = [labels[answer.eval(each, model_completion=True).as_long()] for each in chosen]
            return Found(name, at, run, round(time.monotonic() - begun, 2))
        if found != z3.unsat:
            raise RuntimeError(f"z3 gave up on {name} at depth {at}: {solver.reason_unknown()}")
        solver.pop()
        if at == depth:
            break
        solver.add(z3.Not(model.bad[name](rows[at])))
        rows.append(row(names, at + 1))
        chosen.append(z3.BitVec(f"step.{at}", 8))
        solver.add(goes(model.steps(rows[at]), rows[at], rows[at + 1], chosen[at]))
    return Found(name, depth, [], round(time.monotonic() - begun, 2))


def row(names: list[str], at: int) -> Row:
    return {name: z3.BitVec(f"{name}.{at}", BITS) for name in names}


def goes(steps: list[Step], before: Row, after: Row, chosen: Any) -> Any:
    """One of the steps leads from a state to the next; `chosen` is its place among them."""
    for step in steps:
        unknown = set(step.sets) - set(before)
        if unknown:
            raise KeyError(f"step {step.name} sets what there is not: {sorted(unknown)}")
    return z3.Or([
        z3.And(
            chosen == place, step.may, *[after[name] == step.sets.get(name, before[name]) for name in before]
        )
        for place, step in enumerate(steps)
    ])  # fmt: skip
