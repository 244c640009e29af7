"""How many messages one proxy gets within a time.  Without I/O and clocks; times are milliseconds.

The module keeps a gap between its orders.  A full channel takes them closer together, and the messages of a join come
on top: by arithmetic (proof/messages.py) more than the limit may then leave within its time.  Here they wait, and what
waits merges.
"""

from collections import deque

KEPT_FREE = 2  # of the limit, for endpoints to keep out


class MessageQuota:
    """`most` messages within `over_ms`; 0: no limit.  What goes under one order is one message."""

    def __init__(self, most: int = 0, over_ms: float = 0.0) -> None:
        self.most, self.over_ms = most, over_ms
        self.sent: deque[tuple[int, float]] = deque()  # order and when its first response went

    def room(self, number: int, now_ms: float) -> int:
        """How many further messages may go now under this order: more than `KEPT_FREE` for any change at all, fewer for
        endpoints to keep out alone, 0 for nothing."""
        while self.sent and self.sent[0][1] <= now_ms - self.over_ms:
            self.sent.popleft()
        if not self.most or any(order == number for order, _ in self.sent):
            return KEPT_FREE + 1
        return max(0, self.most - len(self.sent))

    def count(self, number: int, now_ms: float) -> None:
        """A response has been sent under this order."""
        if self.most and all(order != number for order, _ in self.sent):
            self.sent.append((number, now_ms))

    def next_ms(self) -> float:
        """When the oldest message no longer counts."""
        return self.sent[0][1] + self.over_ms + 1.0 if self.sent else 0.0
