"""The update channel: updates leave one by one at the settings' lines a second.  Without I/O and clocks."""

from collections import deque

from quillstep.routing import ProxyUpdate


class UpdateChannel:
    """Queued updates, first in first out; times are milliseconds.

    Attributes:
        queued_lines: Lines of all queued updates, the one that is being sent included.
        max_queued_lines: The highest that `queued_lines` has been.
    """

    def __init__(self, lines_per_s: float) -> None:
        self.lines_per_ms = lines_per_s / 1000.0
        self.queue: deque[ProxyUpdate] = deque()
        self.queued_lines = 0.0
        self.max_queued_lines = 0.0
        self.head_sent_ms = 0.0  # when the head has been sent in full

    def put(self, updates: list[ProxyUpdate], now_ms: float) -> None:
        """Queues updates behind all others."""
        if not updates:
            return
        if not self.queue:
            self.head_sent_ms = max(self.head_sent_ms, now_ms) + updates[0].lines / self.lines_per_ms
        self.queue.extend(updates)
        self.queued_lines += sum(update.lines for update in updates)
        self.max_queued_lines = max(self.max_queued_lines, self.queued_lines)

    def take_sent(self, now_ms: float) -> list[ProxyUpdate]:
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
        """Drops the queued updates of a proxy that has left; one that is being sent still takes its time."""
        head = self.queue[0] if self.queue else None
        kept = [update for update in self.queue if update.proxy != proxy or update is head]
        self.queued_lines -= sum(update.lines for update in self.queue) - sum(update.lines for update in kept)
        self.queue = deque(kept)

    def next_ms(self) -> float:
        """When the head has been sent in full; infinity where nothing is queued."""
        return self.head_sent_ms if self.queue else float("inf")
