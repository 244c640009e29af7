"""What comes in between two rounds, and when the module is called next.  Without I/O; time is an argument."""

import heapq
from typing import Any

from quillstep.planner.messages import Observations, PlannerOutput


class ControlIntervals:
    """Gathers news for `batch_window_ms` from the first of it on, and calls the module once with all of it."""

    def __init__(self, planner: Any, batch_window_ms: float) -> None:
        self.planner, self.batch_window_ms = planner, batch_window_ms
        self.incoming = Observations(0.0)
        self.news_ms: float | None = None  # when the first news since the last round came
        self.wakes: list[tuple[float, int]] = []
        self.count = 0

    def heard(self, now_ms: float) -> None:
        if self.news_ms is None:
            self.news_ms = now_ms

    def wake(self, token: int, at_ms: float) -> None:
        heapq.heappush(self.wakes, (at_ms, token))

    def due_ms(self) -> float:
        due = self.wakes[0][0] if self.wakes else float("inf")
        return due if self.news_ms is None else min(due, self.news_ms + self.batch_window_ms)

    def begin(self, now_ms: float) -> Observations:
        """All that came in, for a round at this time; what comes from now on is the next one's."""
        while self.wakes and self.wakes[0][0] <= now_ms:
            heapq.heappop(self.wakes)
        incoming, self.incoming, self.news_ms = self.incoming, Observations(0.0), None
        incoming.now_ms = now_ms
        return incoming

    def call(self, incoming: Observations, orders: PlannerOutput) -> None:
        self.planner.run_interval(incoming, orders)
        self.count += 1
