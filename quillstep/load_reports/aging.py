"""Age weights of load reports, delay estimation, and deduplication by report number.

Performs no I/O and reads no clock; times are in milliseconds.  A report has full weight up to the age that its proxy's
report period makes unavoidable; beyond that, its weight halves with every report interval of the fleet.  However long a
proxy was disconnected, the reports that it buffered count for at most 1 / ln 2 = 1.44 intervals, the area under the
exponential decay.
"""

import math
from bisect import insort

import msgspec

MAX_HALVINGS = 8  # an older report is dropped: its weight is below 1/256
MAX_NUMBER_RANGES = 32  # maximum ranges of seen report numbers stored per proxy
LN2 = math.log(2.0)
MIN_WINDOW_MS = 1e-9  # a shorter window is treated as a point in time


def age_weight(age_ms: float, window_ms: float, grace_ms: float, half_life_ms: float) -> float:
    """Returns the mean weight, 0 to 1, of a window that began `age_ms + window_ms` ago and ended `age_ms` ago.

    Args:
        age_ms: Age of the window's end.
        window_ms: Length of the window.
        grace_ms: Age up to which the weight is 1.
        half_life_ms: Time in which the weight halves beyond `grace_ms`.
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
    """Returns the age above which a report is dropped."""
    return grace_ms + MAX_HALVINGS * half_life_ms


# `rename` gives the field names in accounts that the controller and its reader processes exchange.


class ExcessDelay(
    msgspec.Struct, rename={"rotate_at_ms": "until_ms", "min_offset_ms": "least", "previous_ms": "before"}
):
    """Estimates how late a proxy's reports arrive, without assuming that its clock is synchronized.

    The baseline is the minimum offset between arrival time and send time stamp over the last two spans, so that the
    estimate recovers within two spans after the proxy's clock was changed.
    """

    rotate_at_ms: float = float("-inf")
    min_offset_ms: float = float("inf")  # minimum offset of the current span
    previous_ms: float = float("inf")  # minimum offset of the previous span

    def measure(self, sent_ms: float, arrived_ms: float, span_ms: float) -> float:
        """Returns how far this report's offset exceeds the minimum, in milliseconds; never below 0.

        Args:
            sent_ms: The send time stamp, on the proxy's clock.
            arrived_ms: The arrival time, on the reader's clock.
            span_ms: The length of a span.
        """
        if arrived_ms >= self.rotate_at_ms:
            self.previous_ms, self.min_offset_ms = self.min_offset_ms, float("inf")
            self.rotate_at_ms = arrived_ms + span_ms
        offset_ms = arrived_ms - sent_ms
        self.min_offset_ms = min(self.min_offset_ms, offset_ms)
        return max(0.0, offset_ms - min(self.min_offset_ms, self.previous_ms))


class SeenNumbers(msgspec.Struct):
    """The report numbers seen so far, as sorted ranges [first, last].

    The two lowest ranges are merged when there are more than `MAX_NUMBER_RANGES`.
    """

    ranges: list[list[int]] = msgspec.field(default_factory=list)

    def add(self, number: int) -> bool:
        """Adds a number; returns whether it is new.

        When the ranges are at their limit, a number below the lowest one counts as seen.
        """
        ranges = self.ranges
        for first, last in reversed(ranges):
            if first <= number <= last:
                return False
            if last < number:
                break
        if len(ranges) >= MAX_NUMBER_RANGES and number < ranges[0][0]:
            return False
        insort(ranges, [number, number])
        self._merge_adjacent(ranges.index([number, number]))
        if len(ranges) > MAX_NUMBER_RANGES:  # numbers between the two lowest ranges count as seen from now on
            ranges[0:2] = [[ranges[0][0], ranges[1][1]]]
        return True

    def _merge_adjacent(self, index: int) -> None:
        """Merges the single-number range at this index with the ranges adjacent to it."""
        ranges = self.ranges
        number = ranges[index][0]
        if index + 1 < len(ranges) and ranges[index + 1][0] == number + 1:
            ranges[index : index + 2] = [[number, ranges[index + 1][1]]]
        if index and ranges[index - 1][1] == number - 1:
            ranges[index - 1 : index + 1] = [[ranges[index - 1][0], ranges[index][1]]]
