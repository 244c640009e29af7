"""How many messages one proxy gets within a time.  Without I/O and clocks; times are milliseconds.

The module keeps a gap between its orders.  A full channel takes them closer together, and the messages of a join come
on top: by arithmetic (proof/messages.py) more than the limit may then leave within its time.  Here they wait, and what
waits merges.
"""

from collections import deque

EJECTION_RESERVE = 2  # of the limit, for endpoints to keep out


class MessageQuota:
    """`most` messages within `over_ms`; 0: no limit.  What goes under one order is one message."""

    def __init__(self, most: int = 0, over_ms: float = 0.0) -> None:
        self.max_messages, self.window_ms = most, over_ms
        self.sent: deque[tuple[int, float]] = deque()  # order and when its first response went

    def remaining(self, number: int, now_ms: float) -> int:
        """How many further messages may go now under this order: more than `EJECTION_RESERVE` for any change at all,
        fewer for endpoints to keep out alone, 0 for nothing."""
        while self.sent and self.sent[0][1] <= now_ms - self.window_ms:
            self.sent.popleft()
        if not self.max_messages or any(order == number for order, _ in self.sent):
            return EJECTION_RESERVE + 1
        return max(0, self.max_messages - len(self.sent))

    def count(self, number: int, now_ms: float) -> None:
        """A response has been sent under this order."""
        if self.max_messages and all(order != number for order, _ in self.sent):
            self.sent.append((number, now_ms))

    def next_expiry_ms(self) -> float:
        """When the oldest message no longer counts."""
        return self.sent[0][1] + self.window_ms + 1.0 if self.sent else 0.0
