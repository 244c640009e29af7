"""Holds updates that have left the channel until they are durable or have waited for the maximum time.  No I/O."""

from collections import deque

from quillstep.controller.update_channel import UpdateChannel
from quillstep.routing import ProxyUpdate, Tables

MAX_URGENT_REVISIONS = 256


class UpdateRelease:
    """Releases updates to the fronts, in the order in which they left the channel.

    Updates that eject an endpoint don't wait for the store, and no update waits longer than `max_wait_ms`.

    Attributes:
        durable_revision: Updates up to this revision are stored.
        late_count: Updates released before they were durable, because the maximum wait had expired.
    """

    def __init__(self, has_store: bool, max_wait_ms: float) -> None:
        self.durable_revision = 0.0 if has_store else float("inf")
        self.max_wait_ms = max_wait_ms
        self._is_store_lost = False
        self.late_count = 0
        self._urgent_revisions: deque[int] = deque(maxlen=MAX_URGENT_REVISIONS)
        self._waiting: deque[tuple[ProxyUpdate, float]] = deque()  # updates, and when each left the channel

    def mark_urgent(self, revision: int) -> None:
        """Releases the updates of a revision without waiting for the store."""
        self._urgent_revisions.append(revision)

    def record_durable(self, revision: int) -> None:
        """Records that all updates up to a revision are durable; updates wait for the store again if it had failed."""
        self.durable_revision = revision if self._is_store_lost else max(self.durable_revision, revision)
        self._is_store_lost = False

    def record_store_lost(self) -> None:
        """Stops waiting for the store, until it works again."""
        self.durable_revision, self._is_store_lost = float("inf"), True

    def release_due(self, channel: UpdateChannel, tables: Tables, now_ms: float) -> None:
        """Releases the updates that have left the channel by now and need not wait any longer."""
        self._waiting.extend((update, now_ms) for update in channel.pop_sent(now_ms))
        still_waiting: deque[tuple[ProxyUpdate, float]] = deque()
        while self._waiting:
            update, since_ms = self._waiting.popleft()
            may_leave = update.revision <= self.durable_revision or update.revision in self._urgent_revisions
            if not may_leave and now_ms < since_ms + self.max_wait_ms:
                still_waiting.append((update, since_ms))
                continue
            if not may_leave:
                self.late_count += 1
            tables.release(update.proxy, update.revision)
        self._waiting = still_waiting

    def due_ms(self) -> float:
        """Returns when the longest wait reaches its maximum; infinity if no update waits."""
        return self._waiting[0][1] + self.max_wait_ms if self._waiting else float("inf")
