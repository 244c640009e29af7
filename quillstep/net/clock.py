"""The clock that all deadlines and arrival times are read from."""

import time


def now_ms() -> float:
    """Return the monotonic clock in milliseconds; it is the same in all processes of one machine."""
    return time.monotonic() * 1000.0
