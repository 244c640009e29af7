"""The queue between the threads that receive events and the deciding thread: bounded deques of events and statistics.

Events are drained before statistics.  A producer that may block waits while its deque is full; for one that must not
block, events with the same key are merged into one entry instead.
"""

import threading
import time
from collections import deque
from collections.abc import Callable, Hashable
from typing import Generic, TypeVar

EventT = TypeVar("EventT")


class EventQueue(Generic[EventT]):
    """A bounded queue with many producers and one consumer; every method may be called from any thread.

    `lock` guards all fields.  An entry is its arrival time in milliseconds and the event.
    """

    def __init__(self, max_events: int, max_stats: int) -> None:
        self.lock = threading.Lock()
        self.not_empty = threading.Condition(self.lock)
        self.not_full = threading.Condition(self.lock)
        self.max_events, self.max_stats = max_events, max_stats
        self.events: deque[tuple[float, EventT]] = deque()
        self.stats: deque[tuple[float, EventT]] = deque()
        self.merged: dict[Hashable, tuple[float, EventT]] = {}  # events merged by key while `events` was full

    def put(self, arrived_ms: float, event: EventT) -> None:
        """Queue an event; block while the queue is full."""
        self._put_blocking(self.events, self.max_events, (arrived_ms, event))

    def put_stats(self, arrived_ms: float, event: EventT) -> None:
        """Queue statistics, which are drained after all events; block while their queue is full."""
        self._put_blocking(self.stats, self.max_stats, (arrived_ms, event))

    def put_nowait(
        self,
        arrived_ms: float,
        event: EventT,
        key: Hashable = None,
        merge: Callable[[EventT, EventT], EventT] | None = None,
    ) -> None:
        """Queue an event without blocking.

        Args:
            arrived_ms: When the event arrived.
            event: The event; without `merge` it is queued even if the queue is full.
            key: Events with the same key may be merged.
            merge: Returns one event for an older and a newer one with the same key, used while the queue is full.
                The merged event keeps the arrival time of the oldest.
        """
        with self.lock:
            if merge is None or len(self.events) < self.max_events:
                self.events.append((arrived_ms, event))
            elif key in self.merged:
                first_ms, older = self.merged[key]
                self.merged[key] = (first_ms, merge(older, event))
            else:
                self.merged[key] = (arrived_ms, event)
            self.not_empty.notify()

    def wait(self, timeout_s: float) -> None:
        """Block until an entry is queued or the timeout expires."""
        deadline_s = time.monotonic() + timeout_s
        with self.lock:
            while not self.events and not self.stats and not self.merged:
                remaining_s = deadline_s - time.monotonic()
                if remaining_s <= 0 or not self.not_empty.wait(remaining_s):
                    return

    def drain(self, max_events: int) -> list[tuple[float, EventT]]:
        """Remove and return up to `max_events` events; if none is left, also merged events and one statistics entry."""
        with self.lock:
            drained = [self.events.popleft() for _ in range(min(max_events, len(self.events)))]
            if self.merged and not self.events:
                drained += self.merged.values()
                self.merged = {}
            if self.stats and not self.events:
                drained.append(self.stats.popleft())
            if drained:
                self.not_full.notify_all()
            return drained

    def _put_blocking(
        self, entries: deque[tuple[float, EventT]], max_entries: int, entry: tuple[float, EventT]
    ) -> None:
        with self.lock:
            while len(entries) >= max_entries:
                self.not_full.wait()
            entries.append(entry)
            self.not_empty.notify()
