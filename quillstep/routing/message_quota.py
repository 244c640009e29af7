"""Limits how many messages one proxy is sent within a time window.

The planner spaces its updates.  A full update channel releases them closer together, and the messages to a joining
proxy come in addition, so that more than the limit could be sent within its window
(`model_checking/message_limit_model.py`).  Changes beyond the limit wait and are merged.  Performs no I/O and reads no
clock; times are milliseconds.
"""

from collections import deque

EJECTION_RESERVE = 2  # messages of the limit that only ejections may use; fewer if the limit is 2 or less


class MessageQuota:
    """Allows `max_messages` within `window_ms`; 0: no limit.  All responses of one revision count as one message."""

    def __init__(self, max_messages: int = 0, window_ms: float = 0.0) -> None:
        self.max_messages, self.window_ms = max_messages, window_ms
        self.ejection_reserve = min(EJECTION_RESERVE, max_messages - 1) if max_messages else EJECTION_RESERVE
        self.sent: deque[tuple[int, float]] = deque()  # (revision, when its first response was sent)

    def remaining(self, revision: int, now_ms: float) -> int:
        """Returns how many messages may be sent now under this revision.

        Any change may be sent if more than `ejection_reserve` messages remain, otherwise only ejections.
        """
        while self.sent and self.sent[0][1] <= now_ms - self.window_ms:
            self.sent.popleft()
        if not self.max_messages or any(sent == revision for sent, _ in self.sent):
            return EJECTION_RESERVE + 1
        return max(0, self.max_messages - len(self.sent))

    def count(self, revision: int, now_ms: float) -> None:
        """Counts a response that was sent under this revision."""
        if self.max_messages and all(sent != revision for sent, _ in self.sent):
            self.sent.append((revision, now_ms))

    def next_expiry_ms(self) -> float:
        """Returns when the oldest message leaves the window; 0 if no message is in it."""
        return self.sent[0][1] + self.window_ms + 1.0 if self.sent else 0.0
