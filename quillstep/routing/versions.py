"""Versions of tables, named by their content.  Performs no I/O."""

from typing import Any, NamedTuple

import msgspec
import xxhash

from quillstep.routing.desired_state import AdmissionLimit

Weights = dict[int, float]  # keyed by endpoint
Admission = dict[int, AdmissionLimit]  # keyed by class
_encode = msgspec.msgpack.Encoder().encode


class TableVersion(NamedTuple):
    """The content of a table at one time.

    `cause` is module (the planner), pin, rollback, release or gate; `operator` is empty if no operator requested it.
    """

    name: str
    table: int
    parent: str
    cause: str
    operator: str
    created_ms: float
    revision: int
    weights: Weights
    admission: Admission


def version_name(table: int, weights: Weights, admission: Admission) -> str:
    """Returns the name of a table's content; equal content has the same name at every controller."""
    limits = sorted((class_index, *limit) for class_index, limit in admission.items())
    return xxhash.xxh3_64_hexdigest(_encode((table, sorted(weights.items()), limits)))


def version_from_row(row: list[Any]) -> TableVersion:
    """Returns the version in a stored row: name, table, parent, cause, operator, wall clock, weights, admission."""
    name, table, parent, cause, operator, wall_ms, weights, admission = row
    return TableVersion(
        name=name,
        table=table,
        parent=parent,
        cause=cause,
        operator=operator,
        created_ms=wall_ms,
        revision=0,
        weights={endpoint: weight for endpoint, weight in weights},
        admission={index: AdmissionLimit(limit, retry_policy) for index, limit, retry_policy in admission},
    )
