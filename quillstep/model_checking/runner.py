"""All searches and mutants that `quillstep check-model` runs, on all cores.

The keys of the results and the values of `by`, `what` and `twin` are stable from report to report.
"""

import os
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from typing import Any, NamedTuple

from quillstep.model_checking import message_limit_model, mutants, rollback_model, stream_model
from quillstep.model_checking.bounded_model import search
from quillstep.model_checking.explore import explore
from quillstep.routing import Tables

MODELS: dict[str, Any] = {"stream": stream_model, "way back": rollback_model}
REAL_CODE = "code"  # Name of the search that explores the real tables.
MUTANT_DEPTH = 9  # Steps within which each mutant of a model is found.
REAL_MUTANT_DEPTH = 7  # Steps within which each mutant of the real tables is found.
MAX_STATES = 60_000  # Limit per exploration.
MAX_MESSAGES = 20  # The default message limit per proxy.
UPDATE_INTERVAL = 1.2  # Interval between the planner's updates, in units of the limit's window / MAX_MESSAGES.
MAX_JOINS = 2


class Search(NamedTuple):
    """One search.

    Attributes:
        by: The model, or `REAL_CODE`.
        what: The name of the bad state.
        mutant: The name of the mutant; empty for the original.
        depth: The maximum number of steps.
    """

    by: str
    what: str
    mutant: str
    depth: int


def run_search(task: Search) -> dict[str, Any]:
    """Returns the result of one search as a row; the search of a mutant must find a run."""
    row: dict[str, Any] = {"by": task.by, "what": task.what, "twin": task.mutant}
    if task.by in MODELS:
        result = search(MODELS[task.by].model(task.mutant), task.what, task.depth)
        return {**row, "depth": result.depth, "run": result.run, "took_s": result.took_s}
    explored = explore(task.depth, MAX_STATES, mutants.MUTANTS[task.mutant] if task.mutant else Tables)
    run = [*explored.run, explored.violation] if explored.violation else []
    return {**row, "depth": explored.depth, "run": run, "took_s": explored.took_s, "states": explored.states}


def searches(depth: int) -> Iterator[Search]:
    """Yields all searches; the real code is explored half as deep as the models."""
    for name, module in MODELS.items():
        for what in module.BAD_STATES:
            yield Search(name, what, "", depth)
    yield Search(REAL_CODE, "all", "", depth // 2)
    for name, module in MODELS.items():
        for mutant, what in module.MUTANTS.items():
            yield Search(name, what, mutant, MUTANT_DEPTH)
    for mutant in mutants.MUTANTS:
        yield Search(REAL_CODE, "all", mutant, REAL_MUTANT_DEPTH)


def check_all(depth: int) -> dict[str, Any]:
    """Runs all searches in a pool of processes.

    Returns:
        `wrong` counts the searches of originals that found a bad state, `twins_found` the mutants that were found.
    """
    with ProcessPoolExecutor(os.cpu_count(), mp_context=get_context("spawn")) as pool:
        rows = list(pool.map(run_search, searches(depth)))
    delays = {
        str(joins): message_limit_model.max_safe_delay(MAX_MESSAGES, UPDATE_INTERVAL / MAX_MESSAGES, joins)
        for joins in range(MAX_JOINS + 1)
    }
    originals = [row for row in rows if not row["twin"]]
    mutated = [row for row in rows if row["twin"]]
    return {
        "rows": rows,
        "states": sum(row.get("states", 0) for row in originals),
        "took_s": round(max(row["took_s"] for row in rows), 1),
        "gap_alone_suffices_to_delay": delays,
        "wrong": sum(bool(row["run"]) for row in originals),
        "twins": len(mutated),
        "twins_found": sum(bool(row["run"]) for row in mutated),
    }
