"""Virtual time: a queue of calls ordered by time."""

import heapq
import itertools
from collections.abc import Callable
from typing import Any, NamedTuple


class ScheduledCall(NamedTuple):
    """A scheduled call; calls at the same time run in the order in which they were scheduled."""

    at_ms: float
    number: int
    function: Callable[..., None]
    arguments: tuple[Any, ...]


class VirtualClock:
    """Runs scheduled calls and advances the time to each of them."""

    def __init__(self, begin_ms: float) -> None:
        self.now_ms = begin_ms
        self._calls: list[ScheduledCall] = []
        self._numbers = itertools.count()

    def call_at(self, at_ms: float, function: Callable[..., None], *arguments: Any) -> None:
        """Schedules a call; a time in the past means now."""
        heapq.heappush(self._calls, ScheduledCall(max(at_ms, self.now_ms), next(self._numbers), function, arguments))

    def run_until(self, until_ms: float) -> None:
        """Runs all calls up to a time, including those scheduled on the way."""
        while self._calls and self._calls[0].at_ms <= until_ms:
            self.now_ms, _, function, arguments = heapq.heappop(self._calls)
            function(*arguments)
        self.now_ms = until_ms
