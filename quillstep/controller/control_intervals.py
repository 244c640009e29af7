"""When the planner runs next, and on which observations.  Without I/O; time is an argument, in milliseconds."""

import heapq
from typing import Generic, Protocol, TypeVar

from quillstep.planner.messages import Observations, PlannerOutput


class RunsIntervals(Protocol):
    """A planner, or a baseline in its place."""

    def run_interval(self, observations: Observations, output: PlannerOutput, /) -> None:
        """Decide on what was observed, and write the decisions to `output`."""


PlannerT = TypeVar("PlannerT", bound=RunsIntervals)


class ControlIntervals(Generic[PlannerT]):
    """Gathers events for `batch_window_ms` from the first on, and runs the planner once on all of them.

    A timer that the planner set makes an interval due as well.
    """

    def __init__(self, planner: PlannerT, batch_window_ms: float) -> None:
        self.planner, self.batch_window_ms = planner, batch_window_ms
        self.pending = Observations(0.0)  # what the next interval will be given
        self.first_event_ms: float | None = None  # when the first event since the last interval arrived
        self.timers: list[tuple[float, int]] = []  # a heap of due times, each with its token
        self.completed = 0

    def record_arrival(self, now_ms: float) -> None:
        """An event has arrived: the next interval is due within the batch window."""
        if self.first_event_ms is None:
            self.first_event_ms = now_ms

    def set_timer(self, token: int, due_ms: float) -> None:
        """Make an interval due at that time."""
        heapq.heappush(self.timers, (due_ms, token))

    def due_ms(self) -> float:
        """When the next interval is due; infinity where nothing has arrived and no timer is set."""
        due_ms = self.timers[0][0] if self.timers else float("inf")
        return due_ms if self.first_event_ms is None else min(due_ms, self.first_event_ms + self.batch_window_ms)

    def start(self, now_ms: float) -> Observations:
        """Return all observations for an interval at this time; what arrives from now on belongs to the next."""
        while self.timers and self.timers[0][0] <= now_ms:
            heapq.heappop(self.timers)
        observations, self.pending, self.first_event_ms = self.pending, Observations(0.0), None
        observations.now_ms = now_ms
        return observations

    def run(self, observations: Observations, output: PlannerOutput) -> None:
        """Run the planner on these observations."""
        self.planner.run_interval(observations, output)
        self.completed += 1
