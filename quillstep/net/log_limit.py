"""Limits how often a log line is written, so that a fault that repeats does not flood the log."""

from quillstep.net.clock import now_ms


class LogLimiter:
    """Allows one line on each topic per interval; topics must be few.  If threads race, a line may be written twice."""

    def __init__(self, interval_ms: float) -> None:
        """Allow the first line on each topic at once; `interval_ms` is the least time between two of them."""
        self.interval_ms = interval_ms
        self.last_logged_ms: dict[str, float] = {}

    def is_due(self, topic: str = "") -> bool:
        """Return whether to write a line on a topic now, which then counts as written."""
        now = now_ms()
        if now - self.last_logged_ms.get(topic, float("-inf")) <= self.interval_ms:
            return False
        self.last_logged_ms[topic] = now
        return True
