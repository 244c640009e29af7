"""Simulated cores of a stand-in endpoint: when work begins and ends on them, and their utilization.

Work takes time but no processor: the caller waits until it ends.  Times are milliseconds on the monotonic clock.
"""

import heapq
import threading
from collections import deque
from typing import Any

UTILIZATION_WINDOW_MS = 500.0
OVERLOAD_TOLERANCE = 1.1  # arrivals are random: a cold endpoint's load may exceed its limit by this factor


class EndpointCores:
    """Cores of equal speed that serve work in order of arrival; `lock` guards all fields."""

    def __init__(self, cores: int, speed: float, rules: dict[str, Any]) -> None:
        """Start warm and idle; `rules` are the fleet's rules under the names of settings files."""
        self.cores, self.speed, self.rules = cores, speed, rules
        self.lock = threading.Lock()
        self.reset(0.0)

    def reset(self, started_ms: float) -> None:
        """Drop all work; the endpoint is cold from `started_ms` on, or warm if that is 0."""
        with self.lock:
            self.started_ms = started_ms  # 0: warm
            self.slowdown = 1.0
            self.free_ms = [0.0] * self.cores  # a heap: when each core is free
            self.busy_spans: deque[tuple[float, float]] = deque()
            self.ends_ms: deque[float] = deque()  # end times of queued and running work
            self.arrived_while_cold: deque[tuple[float, float]] = deque()  # arrival time and work of each request

    def warm_share(self, at_ms: float) -> float:
        """Return the share of its full speed that the endpoint has reached since its start."""
        if not self.started_ms:
            return 1.0
        initial = self.rules["start_capacity"]
        return min(1.0, initial + (1.0 - initial) * (at_ms - self.started_ms) / self.rules["warm_after_ms"])

    def schedule(self, work_ms: float, at_ms: float) -> float:
        """Assign arriving work to the core that is free first; return when the work ends."""
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
        """Return the utilization and the requests per second within the utilization window."""
        since_ms = at_ms - UTILIZATION_WINDOW_MS
        with self.lock:
            while self.busy_spans and self.busy_spans[0][1] < since_ms:
                self.busy_spans.popleft()
            spans = self.busy_spans
            busy_ms = sum(max(0.0, min(at_ms, end) - max(since_ms, begin)) for begin, end in spans)
            share = min(1.0, busy_ms / (UTILIZATION_WINDOW_MS * self.cores))
            return share, len(spans) * 1000.0 / UTILIZATION_WINDOW_MS

    def is_overloaded_while_cold(self, work_ms: float, at_ms: float) -> bool:
        """Count arriving work; return whether it overloads an endpoint that is warming up."""
        if not self.started_ms or self.warm_share(at_ms) >= 1.0:
            return False
        window_ms = self.rules["tip_after_ms"]
        with self.lock:
            self.arrived_while_cold.append((at_ms, work_ms))
            while self.arrived_while_cold[0][0] < at_ms - window_ms:
                self.arrived_while_cold.popleft()
            arrived_ms = sum(work for _, work in self.arrived_while_cold)
        limit_ms = self.rules["fall_multiple"] * self.warm_share(at_ms) * self.cores * self.speed * window_ms
        return bool(arrived_ms > OVERLOAD_TOLERANCE * limit_ms)
