"""Which versions a store keeps.  Without I/O and clocks; times are wall-clock milliseconds."""

from collections.abc import Iterable
from typing import NamedTuple


class Stood(NamedTuple):
    """A version's place in its table's row, its name and when it came to stand."""

    number: int
    name: str
    wall_ms: float


def to_drop(rows: Iterable[Stood], pinned: set[str], now_ms: float, count_most: int, age_most_ms: float) -> list[int]:
    """The numbers of one table's versions to be dropped: older than the age, or beyond the count.

    The newest stays, and so does what is pinned.  A clock that went back makes nothing older: no age is below 0.
    """
    ordered = sorted(rows)
    dropped: list[int] = []
    spare = len(ordered) - count_most
    for row in ordered[:-1]:
        old = max(0.0, now_ms - row.wall_ms) > age_most_ms
        if row.name in pinned:
            continue
        if old or len(dropped) < spare:
            dropped.append(row.number)
    return dropped
