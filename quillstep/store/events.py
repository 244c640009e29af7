"""Events that the store hands to the deciding thread.

Versions are plain values, as `quillstep.routing.versions.version_of` reads them.
"""

from typing import Any, NamedTuple


class PinnedVersion(NamedTuple):
    """A table that an operator has pinned to a version in an earlier incarnation."""

    version: list[Any]
    cause: str
    operator: str


class StoreOpened(NamedTuple):
    """What earlier incarnations left: the newest versions of each table, and the pins."""

    wall_ms: float
    versions: list[list[Any]]
    pins: list[PinnedVersion]


class UpdatesStored(NamedTuple):
    """All updates up to this number are durable."""

    number: int


class StoreLost(NamedTuple):
    """The store has failed; the controller goes on without it."""

    reason: str


class OperatorTarget(NamedTuple):
    """A table that a command names, with its version; the version is empty where it is not kept."""

    table: int
    version: list[Any]


class OperatorRequest(NamedTuple):
    """An operator's command for some tables: a release, or the cause of a pin; `key` identifies it in the store."""

    key: str
    kind: str
    targets: list[OperatorTarget]
    operator: str


StoreEvent = StoreOpened | UpdatesStored | StoreLost | OperatorRequest
