"""The clock for all deadlines and arrival times."""

import time


def now_ms() -> float:
    """Return the monotonic clock in milliseconds, which is the same in all processes of one machine."""
    return time.monotonic() * 1000.0
