"""All searches and mutants that `quillstep check-model` runs, on all cores.

The values of `by`, `what` and `twin`, and the names of the fields, are those of earlier reports.
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
REAL_CODE = "code"  # the search that explores the real tables
MUTANT_DEPTH = 9  # steps within which each mutant of a model is found
REAL_MUTANT_DEPTH = 7  # and of the real tables
MAX_STATES = 60_000  # of one exploration
MAX_MESSAGES = 20  # the default limit of messages to one proxy
UPDATE_INTERVAL = 1.2  # the planner's, in units of the limit's window / MAX_MESSAGES
MAX_JOINS = 2


class Search(NamedTuple):
    """One search: what is searched, for which bad state, with which mutant (empty: none), how many steps deep."""

    by: str
    what: str
    mutant: str
    depth: int


def run_search(task: Search) -> dict[str, Any]:
    """Returns the result of one search as a row; one with a mutant must find a run."""
    row: dict[str, Any] = {"by": task.by, "what": task.what, "twin": task.mutant}
    if task.by in MODELS:
        found = search(MODELS[task.by].model(task.mutant), task.what, task.depth)
        return {**row, "depth": found.depth, "run": found.run, "took_s": found.took_s}
    explored = explore(task.depth, MAX_STATES, mutants.MUTANTS[task.mutant] if task.mutant else Tables)
    run = [*explored.run, explored.wrong] if explored.wrong else []
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
    """Runs all searches, each in a process of its own.

    `wrong` counts the runs to a bad state where there must be none, `twins_found` the mutants that were found.
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
