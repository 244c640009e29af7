"""How much a sum counts that is not fresh.  Without I/O and clocks; times are milliseconds.

News is worth its whole until it is as old as its proxy's period makes unavoidable; from there on its worth halves with
every usual period.  However long a proxy was away, what it brings from before counts like 1 / ln 2 = 1.44 usual
periods at most, for that is the area under the halving.
"""

import math
from bisect import insort
from dataclasses import dataclass, field

HALVES = 8  # after so many halvings a sum is dropped: it weighs under 1/256
LN2 = math.log(2.0)
RANGES_MOST = 32  # of numbers, remembered of one proxy


def weight(age_ms: float, covers_ms: float, grace_ms: float, half_ms: float) -> float:
    """The mean worth of what was met from `age_ms + covers_ms` ago to `age_ms` ago, 0 to 1."""
    begin, end = age_ms, age_ms + max(covers_ms, 0.0)
    if end <= grace_ms:
        return 1.0
    if end - begin <= 1e-9:
        return 0.5 ** ((begin - grace_ms) / half_ms)
    whole = max(0.0, grace_ms - begin)
    a, b = max(0.0, begin - grace_ms) / half_ms, (end - grace_ms) / half_ms
    return min(1.0, (whole + half_ms * (0.5**a - 0.5**b) / LN2) / (end - begin))


def horizon_ms(grace_ms: float, half_ms: float) -> float:
    """From which age on a sum is dropped."""
    return grace_ms + HALVES * half_ms


@dataclass(slots=True)
class Delay:
    """How much later than at best a proxy's reports arrive, whatever its clock shows.

    The best is the least difference between arrival and the stamp of sending over the last two spans, so that a
    clock that was set is believed again after a while.
    """

    until_ms: float = float("-inf")
    least: float = float("inf")
    before: float = float("inf")

    def over(self, sent_ms: float, arrived_ms: float, span_ms: float) -> float:
        """The delay of this report beyond the best one, milliseconds, never below 0."""
        if arrived_ms >= self.until_ms:
            self.before, self.least = self.least, float("inf")
            self.until_ms = arrived_ms + span_ms
        apart = arrived_ms - sent_ms
        self.least = min(self.least, apart)
        return max(0.0, apart - min(self.least, self.before))


@dataclass(slots=True)
class Numbers:
    """Which numbers were met, as ranges; the lowest ones are given up where there would be too many ranges."""

    ranges: list[list[int]] = field(default_factory=list)

    def add(self, number: int) -> bool:
        """True the first time.  A number below all that is remembered counts as met."""
        ranges = self.ranges
        for row in reversed(ranges):
            if row[0] <= number <= row[1]:
                return False
            if row[1] < number:
                break
        if len(ranges) >= RANGES_MOST and number < ranges[0][0]:
            return False
        insort(ranges, [number, number])
        at = ranges.index([number, number])
        if at + 1 < len(ranges) and ranges[at + 1][0] == number + 1:
            ranges[at : at + 2] = [[number, ranges[at + 1][1]]]
        if at and ranges[at - 1][1] == number - 1:
            ranges[at - 1 : at + 1] = [[ranges[at - 1][0], ranges[at][1]]]
        if len(ranges) > RANGES_MOST:  # what lay between the two lowest is given up
            ranges[0:2] = [[ranges[0][0], ranges[1][1]]]
        return True
