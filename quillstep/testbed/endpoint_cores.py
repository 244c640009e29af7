"""The cores of a stand-in endpoint: when work would begin and end on them, and how utilized they are.

Work is waited for, not performed.  Times are milliseconds on the monotonic clock.
"""

import heapq
import threading
from collections import deque
from typing import Any

UTILIZATION_WINDOW_MS = 500.0
OVERLOAD_TOLERANCE = 1.1  # for chance, when what a cold endpoint bears is compared


class EndpointCores:
    """Cores of one speed that take work in the order of its arrival; `lock` guards all fields."""

    def __init__(self, cores: int, speed: float, rules: dict[str, Any]) -> None:
        """Begin warm and idle; `rules` are the fleet's, by the names of the settings."""
        self.cores, self.speed, self.rules = cores, speed, rules
        self.lock = threading.Lock()
        self.reset(0.0)

    def reset(self, started_ms: float) -> None:
        """Begin anew without work, and cold unless `started_ms` is 0."""
        with self.lock:
            self.started_ms = started_ms  # 0: long ago
            self.slowdown = 1.0
            self.free_ms = [0.0] * self.cores  # a heap: when each core is free
            self.busy_spans: deque[tuple[float, float]] = deque()
            self.ends_ms: deque[float] = deque()  # of work that waits or runs
            self.arrived_while_cold: deque[tuple[float, float]] = deque()  # when, and how much work

    def warm_share(self, at_ms: float) -> float:
        """Return the share of its speed that the endpoint has by its age."""
        if not self.started_ms:
            return 1.0
        initial = self.rules["start_capacity"]
        return min(1.0, initial + (1.0 - initial) * (at_ms - self.started_ms) / self.rules["warm_after_ms"])

    def schedule(self, work_ms: float, at_ms: float) -> float:
        """Return when work that arrives now ends, on the core that is free first."""
        with self.lock:
            begin_ms = max(at_ms, self.free_ms[0])
            end_ms = begin_ms + work_ms * self.slowdown / (self.speed * self.warm_share(at_ms))
            heapq.heapreplace(self.free_ms, end_ms)
            self.busy_spans.append((begin_ms, end_ms))
            self.ends_ms.append(end_ms)
            return end_ms

    def queue(self, at_ms: float) -> tuple[int, float]:
        """Return how many requests wait for a core, and how long the next one would wait, in milliseconds."""
        with self.lock:
            while self.ends_ms and self.ends_ms[0] <= at_ms:
                self.ends_ms.popleft()
            return len(self.ends_ms) - self.cores, max(at_ms, self.free_ms[0]) - at_ms

    def utilization(self, at_ms: float) -> tuple[float, float]:
        """Return the utilization within the window, and the requests per second."""
        since_ms = at_ms - UTILIZATION_WINDOW_MS
        with self.lock:
            while self.busy_spans and self.busy_spans[0][1] < since_ms:
                self.busy_spans.popleft()
            spans = self.busy_spans
            busy_ms = sum(max(0.0, min(at_ms, end) - max(since_ms, begin)) for begin, end in spans)
            share = min(1.0, busy_ms / (UTILIZATION_WINDOW_MS * self.cores))
            return share, len(spans) * 1000.0 / UTILIZATION_WINDOW_MS

    def is_overloaded_while_cold(self, work_ms: float, at_ms: float) -> bool:
        """Take note of arriving work; return whether it is more than a cold endpoint bears."""
        if not self.started_ms or self.warm_share(at_ms) >= 1.0:
            return False
        window_ms = self.rules["tip_after_ms"]
        with self.lock:
            self.arrived_while_cold.append((at_ms, work_ms))
            while self.arrived_while_cold[0][0] < at_ms - window_ms:
                self.arrived_while_cold.popleft()
            arrived_ms = sum(work for _, work in self.arrived_while_cold)
        bearable_ms = self.rules["fall_multiple"] * self.warm_share(at_ms) * self.cores * self.speed * window_ms
        return bool(arrived_ms > OVERLOAD_TOLERANCE * bearable_ms)
