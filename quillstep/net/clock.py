"""The monotonic clock, for all deadlines and arrival times, and its offset from the wall clock."""

import time


def now_ms() -> float:
    """Return the monotonic clock in milliseconds, which is the same in all processes of one machine."""
    return time.monotonic() * 1000.0


def wall_clock_offset_ms() -> float:
    """Return the current offset from Unix time to the monotonic clock; it changes when the wall clock is stepped."""
    return now_ms() - time.time() * 1000.0
