"""How much an old load report counts, how late a proxy's reports are, and which report numbers were seen.

Without I/O and clocks; times are milliseconds.  A report has full weight until it is as old as its proxy's report
period makes unavoidable; from there on its weight halves with every usual period.  However long a proxy was
disconnected, the reports that it kept count like 1 / ln 2 = 1.44 usual periods at most: that is the area under the
exponential decay.
"""

import math
from bisect import insort

import msgspec

MAX_HALVINGS = 8  # a report that would be halved more often is dropped: its weight is under 1/256
MAX_NUMBER_RANGES = 32  # ranges of report numbers that are remembered of one proxy
LN2 = math.log(2.0)
MIN_WINDOW_MS = 1e-9  # a shorter window counts as a point in time


def age_weight(age_ms: float, window_ms: float, grace_ms: float, half_life_ms: float) -> float:
    """The mean weight, 0 to 1, of what was measured from `age_ms + window_ms` ago to `age_ms` ago.

    Args:
        age_ms: Age of the window's end.
        window_ms: Length of the window.
        grace_ms: Age up to which the weight is 1.
        half_life_ms: Time in which the weight halves after that.
    """
    begin, end = age_ms, age_ms + max(window_ms, 0.0)
    if end <= grace_ms:
        return 1.0
    if end - begin <= MIN_WINDOW_MS:
        return 0.5 ** ((begin - grace_ms) / half_life_ms)
    undecayed_ms = max(0.0, grace_ms - begin)
    first, last = max(0.0, begin - grace_ms) / half_life_ms, (end - grace_ms) / half_life_ms
    return min(1.0, (undecayed_ms + half_life_ms * (0.5**first - 0.5**last) / LN2) / (end - begin))


def max_age_ms(grace_ms: float, half_life_ms: float) -> float:
    """The age from which on a report is dropped."""
    return grace_ms + MAX_HALVINGS * half_life_ms


# The names in `rename` are those of the accounts that travel between the controller and its reader processes.


class ExcessDelay(
    msgspec.Struct, rename={"rotate_at_ms": "until_ms", "min_offset_ms": "least", "previous_ms": "before"}
):
    """How much later than at best a proxy's reports arrive, whatever its clock shows.

    The best is the least difference between arrival and the time stamp of sending over the last two spans, so that the
    estimate recovers some time after the proxy's clock was set.
    """

    rotate_at_ms: float = float("-inf")
    min_offset_ms: float = float("inf")  # of the current span
    previous_ms: float = float("inf")  # least offset of the span before

    def measure(self, sent_ms: float, arrived_ms: float, span_ms: float) -> float:
        """The delay of this report beyond the best one, milliseconds, never below 0."""
        if arrived_ms >= self.rotate_at_ms:
            self.previous_ms, self.min_offset_ms = self.min_offset_ms, float("inf")
            self.rotate_at_ms = arrived_ms + span_ms
        offset_ms = arrived_ms - sent_ms
        self.min_offset_ms = min(self.min_offset_ms, offset_ms)
        return max(0.0, offset_ms - min(self.min_offset_ms, self.previous_ms))


class SeenNumbers(msgspec.Struct):
    """Which numbers were seen, as ranges [first, last]; the lowest ranges are joined where there would be too many."""

    ranges: list[list[int]] = msgspec.field(default_factory=list)

    def add(self, number: int) -> bool:
        """True the first time.  A number below all that is remembered counts as seen."""
        ranges = self.ranges
        for first, last in reversed(ranges):
            if first <= number <= last:
                return False
            if last < number:
                break
        if len(ranges) >= MAX_NUMBER_RANGES and number < ranges[0][0]:
            return False
        insort(ranges, [number, number])
        self._join_neighbours(ranges.index([number, number]))
        if len(ranges) > MAX_NUMBER_RANGES:  # what lies between the two lowest counts as seen from now on
            ranges[0:2] = [[ranges[0][0], ranges[1][1]]]
        return True

    def _join_neighbours(self, at: int) -> None:
        """Joins the range of one number at this position with the ranges that touch it."""
        ranges = self.ranges
        number = ranges[at][0]
        if at + 1 < len(ranges) and ranges[at + 1][0] == number + 1:
            ranges[at : at + 2] = [[number, ranges[at + 1][1]]]
        if at and ranges[at - 1][1] == number - 1:
            ranges[at - 1 : at + 1] = [[ranges[at - 1][0], ranges[at][1]]]
