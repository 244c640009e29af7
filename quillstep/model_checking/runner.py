"""All that is proved, and all twins: what `quillstep prove` runs, on all cores."""

import os
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from typing import Any

from quillstep.model_checking import message_limit_model, mutants, rollback_model, stream_model
from quillstep.model_checking.bounded_model import search
from quillstep.model_checking.explore import explore
from quillstep.routing import Tables

MODELS: dict[str, Any] = {"stream": stream_model, "way back": rollback_model}
TWIN_DEPTH = 9  # steps within which each twin of the model is looked for
STATES_MOST = 60_000  # of one exploration
MESSAGES, GAP, JOINS = 20, 1.2, 2  # the settings' limit; the module's gap between orders, in parts of its even share


def task(name: str, what: str, twin: str, depth: int) -> dict[str, Any]:
    """One search; a twin's must find something."""
    row: dict[str, Any] = {"by": name, "what": what, "twin": twin}
    if name in MODELS:
        run = search(MODELS[name].model(twin), what, depth)
        return {**row, "depth": run.depth, "run": run.run, "took_s": run.took_s}
    found = explore(depth, STATES_MOST, mutants.TWINS[twin] if twin else Tables)
    told = found.run + [found.wrong] if found.wrong else []
    return {**row, "depth": found.depth, "run": told, "took_s": found.took_s, "states": found.states}


def tasks(depth: int) -> Iterator[tuple[str, str, str, int]]:
    """`depth`: steps of the model; the real code is explored half as deep."""
    for name, one in MODELS.items():
        for what in one.BAD:
            yield name, what, "", depth
    yield "code", "all", "", depth // 2
    for name, one in MODELS.items():
        for twin, what in one.TWINS.items():
            yield name, what, twin, TWIN_DEPTH
    for twin in mutants.TWINS:
        yield "code", "all", twin, 7


def prove(depth: int) -> dict[str, Any]:
    """Rows of all searches; `wrong` counts runs to a bad state in what must have none, `twins_found` the others."""
    with ProcessPoolExecutor(os.cpu_count(), mp_context=get_context("spawn")) as pool:
        rows = list(pool.map(task, *zip(*tasks(depth), strict=True)))
    limit = {joins: message_limit_model.safe_delay(MESSAGES, GAP / MESSAGES, joins) for joins in range(JOINS + 1)}
    whole = [row for row in rows if not row["twin"]]
    broken = [row for row in rows if row["twin"]]
    return {
        "rows": rows, "states": sum(row.get("states", 0) for row in whole),
        "took_s": round(max(row["took_s"] for row in rows), 1),
        "gap_alone_suffices_to_delay": {str(joins): part for joins, part in limit.items()},
        "wrong": sum(bool(row["run"]) for row in whole),
        "twins": len(broken), "twins_found": sum(bool(row["run"]) for row in broken),
    }  # fmt: skip
