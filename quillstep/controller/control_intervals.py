"""Schedules control intervals and collects their observations.  No I/O; times are arguments, in milliseconds."""

import heapq
from typing import Generic, Protocol, TypeVar

from quillstep.planner.messages import Observations, PlannerOutput


class IntervalPlanner(Protocol):
    """The planner, or a baseline that replaces it."""

    def run_interval(self, observations: Observations, output: PlannerOutput, /) -> None:
        """Decide from the observations, and write the decisions to `output`."""


PlannerT = TypeVar("PlannerT", bound=IntervalPlanner)


class ControlIntervals(Generic[PlannerT]):
    """Collects events for `batch_window_ms` after the first one, and runs the planner once for all of them.

    An interval is also due when a timer set by the planner expires.
    """

    def __init__(self, planner: PlannerT, batch_window_ms: float) -> None:
        self.planner, self.batch_window_ms = planner, batch_window_ms
        self.pending = Observations(0.0)  # observations for the next interval
        self.first_event_ms: float | None = None  # arrival time of the first event since the last interval
        self.timers: list[tuple[float, int]] = []  # heap of due times and their tokens
        self.completed = 0

    def record_arrival(self, now_ms: float) -> None:
        """Record the arrival of an event; the next interval is due at the end of the batch window."""
        if self.first_event_ms is None:
            self.first_event_ms = now_ms

    def set_timer(self, token: int, due_ms: float) -> None:
        """Make an interval due at `due_ms`."""
        heapq.heappush(self.timers, (due_ms, token))

    def due_ms(self) -> float:
        """Return when the next interval is due; infinity if no event has arrived and no timer is set."""
        due_ms = self.timers[0][0] if self.timers else float("inf")
        return due_ms if self.first_event_ms is None else min(due_ms, self.first_event_ms + self.batch_window_ms)

    def start(self, now_ms: float) -> Observations:
        """Return the pending observations for an interval at this time; later ones belong to the next interval."""
        while self.timers and self.timers[0][0] <= now_ms:
            heapq.heappop(self.timers)
        observations, self.pending, self.first_event_ms = self.pending, Observations(0.0), None
        observations.now_ms = now_ms
        return observations

    def run(self, observations: Observations, output: PlannerOutput) -> None:
        """Run the planner on these observations, and count the interval."""
        self.planner.run_interval(observations, output)
        self.completed += 1
