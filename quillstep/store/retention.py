"""Which versions of a table a store retains.

Performs no I/O and reads no clock; times are wall-clock milliseconds.
"""

from collections.abc import Iterable
from typing import NamedTuple


class StoredVersion(NamedTuple):
    """A version's number within its table, its name, and when it took effect."""

    number: int
    name: str
    wall_ms: float


def numbers_to_drop(
    versions: Iterable[StoredVersion], pinned: set[str], now_ms: float, max_versions: int, max_age_ms: float
) -> list[int]:
    """Returns the numbers of the versions to remove, because of their age or the limit on their number.

    The newest version and pinned versions are retained.  Ages are never below 0, so no version is removed because the
    clock was set back.
    """
    ordered = sorted(versions)
    dropped: list[int] = []
    surplus = len(ordered) - max_versions
    for version in ordered[:-1]:
        is_old = max(0.0, now_ms - version.wall_ms) > max_age_ms
        if version.name in pinned:
            continue
        if is_old or len(dropped) < surplus:
            dropped.append(version.number)
    return dropped
