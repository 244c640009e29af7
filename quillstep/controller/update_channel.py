"""The order channel: pushes leave one by one at the settings' lines a second.  Without I/O and clocks."""

from collections import deque

from quillstep.routing import ProxyUpdate


class UpdateChannel:
    """Waiting pushes, first in first out; times are milliseconds."""

    def __init__(self, lines_per_s: float) -> None:
        self.lines_per_ms = lines_per_s / 1000.0
        self.queue: deque[ProxyUpdate] = deque()
        self.waiting = 0.0  # lines, the head included
        self.most = 0.0
        self.ready_ms = 0.0  # when the head has been sent in full

    def put(self, pushes: list[ProxyUpdate], now_ms: float) -> None:
        if not pushes:
            return
        if not self.queue:
            self.ready_ms = max(self.ready_ms, now_ms) + pushes[0].lines / self.lines_per_ms
        self.queue.extend(pushes)
        self.waiting += sum(push.lines for push in pushes)
        self.most = max(self.most, self.waiting)

    def leave(self, now_ms: float) -> list[ProxyUpdate]:
        """The pushes that have left by now, in sequence."""
        left = []
        while self.queue and self.ready_ms <= now_ms:
            push = self.queue.popleft()
            self.waiting -= push.lines
            left.append(push)
            if self.queue:
                self.ready_ms += self.queue[0].lines / self.lines_per_ms
        return left

    def drop(self, proxy: int) -> None:
        """A proxy has left: what waits for it goes nowhere."""
        head = self.queue[0] if self.queue else None
        kept = [push for push in self.queue if push.proxy != proxy or push is head]
        self.waiting -= sum(push.lines for push in self.queue) - sum(push.lines for push in kept)
        self.queue = deque(kept)

    def next_ms(self) -> float:
        return self.ready_ms if self.queue else float("inf")
