"""The update channel: releases updates one by one at the configured lines per second.  No I/O; times are arguments."""

from collections import deque

from quillstep.routing import ProxyUpdate


class UpdateChannel:
    """A first-in, first-out queue of updates; times are milliseconds.

    Attributes:
        queued_lines: Lines of all queued updates, including the one being sent.
        max_queued_lines: The highest value of `queued_lines` so far.
    """

    def __init__(self, lines_per_s: float) -> None:
        self.lines_per_ms = lines_per_s / 1000.0
        self.queue: deque[ProxyUpdate] = deque()
        self.queued_lines = 0.0
        self.max_queued_lines = 0.0
        self.head_sent_ms = 0.0  # time at which the first update in the queue has been sent in full

    def put(self, updates: list[ProxyUpdate], now_ms: float) -> None:
        """Appends updates to the queue."""
        if not updates:
            return
        if not self.queue:
            self.head_sent_ms = max(self.head_sent_ms, now_ms) + updates[0].lines / self.lines_per_ms
        self.queue.extend(updates)
        self.queued_lines += sum(update.lines for update in updates)
        self.max_queued_lines = max(self.max_queued_lines, self.queued_lines)

    def pop_sent(self, now_ms: float) -> list[ProxyUpdate]:
        """Removes and returns the updates that have been sent in full by now, in order."""
        sent = []
        while self.queue and self.head_sent_ms <= now_ms:
            update = self.queue.popleft()
            self.queued_lines -= update.lines
            sent.append(update)
            if self.queue:
                self.head_sent_ms += self.queue[0].lines / self.lines_per_ms
        return sent

    def remove_proxy(self, proxy: int) -> None:
        """Drops the queued updates of a proxy that has left, except one being sent, which still uses the channel."""
        head = self.queue[0] if self.queue else None
        remaining = [update for update in self.queue if update.proxy != proxy or update is head]
        self.queued_lines -= sum(update.lines for update in self.queue) - sum(update.lines for update in remaining)
        self.queue = deque(remaining)

    def next_ms(self) -> float:
        """Returns when the first update has been sent in full; infinity if the queue is empty."""
        return self.head_sent_ms if self.queue else float("inf")
