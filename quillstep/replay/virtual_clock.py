"""Virtual time: a queue of calls in the order of their times."""

import heapq
import itertools
from collections.abc import Callable
from typing import Any, NamedTuple


class ScheduledCall(NamedTuple):
    """A call that is due; calls of the same time run in the order in which they were scheduled."""

    at_ms: float
    number: int
    function: Callable[..., None]
    arguments: tuple[Any, ...]


class VirtualClock:
    """Runs scheduled calls and sets the time to theirs."""

    def __init__(self, begin_ms: float) -> None:
        self.now_ms = begin_ms
        self._calls: list[ScheduledCall] = []
        self._numbers = itertools.count()

    def call_at(self, at_ms: float, function: Callable[..., None], *arguments: Any) -> None:
        """Schedules a call; one in the past runs now."""
        heapq.heappush(self._calls, ScheduledCall(max(at_ms, self.now_ms), next(self._numbers), function, arguments))

    def run_until(self, until_ms: float) -> None:
        """Runs all calls up to a time, those that they schedule too."""
        while self._calls and self._calls[0].at_ms <= until_ms:
            self.now_ms, _, function, arguments = heapq.heappop(self._calls)
            function(*arguments)
        self.now_ms = until_ms
