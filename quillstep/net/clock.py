"""The clock that all deadlines and arrival times of one process are read from."""

import time


def now_ms() -> float:
    """Return the time on the monotonic clock in milliseconds."""
    return time.monotonic() * 1000.0
