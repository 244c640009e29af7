"""Events that the store publishes to the deciding thread.

Versions are plain values, as `quillstep.routing.versions.version_from_row` reads them.
"""

from typing import Any, NamedTuple


class PinnedVersion(NamedTuple):
    """A table that an operator pinned to a version in an earlier incarnation."""

    version: list[Any]
    cause: str
    operator: str


class StoreOpened(NamedTuple):
    """The state stored by earlier incarnations: the newest versions of each table, and the pins."""

    wall_ms: float
    versions: list[list[Any]]
    pins: list[PinnedVersion]


class UpdatesStored(NamedTuple):
    """All updates up to this revision are durable."""

    number: int


class StoreUnavailable(NamedTuple):
    """The store has failed; the controller continues without it."""

    reason: str


class OperatorTarget(NamedTuple):
    """A table named by a command, with its version; the version is empty if the store does not retain it."""

    table: int
    version: list[Any]


class OperatorRequest(NamedTuple):
    """An operator's command; `kind` is pin, rollback or release, and `key` identifies the command in the store."""

    key: str
    kind: str
    targets: list[OperatorTarget]
    operator: str


StoreEvent = StoreOpened | UpdatesStored | StoreUnavailable | OperatorRequest
