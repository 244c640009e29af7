"""When updates that have left the channel may be sent: once they are durable, or have waited long enough.  No I/O."""

from collections import deque

from quillstep.controller.update_channel import UpdateChannel
from quillstep.routing import ProxyUpdate, Tables

MAX_URGENT_REVISIONS = 256


class UpdateRelease:
    """Releases updates to the fronts, in order of their leaving the channel.

    Updates that eject an endpoint wait for no disk, and no update waits longer than `max_wait_ms`.

    Attributes:
        durable_revision: Updates up to this revision are stored.
        late_count: Updates that were released before they were durable.
    """

    def __init__(self, has_store: bool, max_wait_ms: float) -> None:
        self.durable_revision = 0.0 if has_store else float("inf")
        self.max_wait_ms = max_wait_ms
        self.late_count = 0
        self._urgent_revisions: deque[int] = deque(maxlen=MAX_URGENT_REVISIONS)
        self._waiting: deque[tuple[ProxyUpdate, float]] = deque()  # and when each left the channel

    def mark_urgent(self, revision: int) -> None:
        """Has the updates of a revision wait for no store."""
        self._urgent_revisions.append(revision)

    def record_durable(self, revision: int) -> None:
        """All updates up to a revision are stored."""
        self.durable_revision = max(self.durable_revision, revision)

    def record_store_lost(self) -> None:
        """No update waits for the store any more."""
        self.durable_revision = float("inf")

    def release_due(self, channel: UpdateChannel, tables: Tables, now_ms: float) -> None:
        """Releases what has left the channel by now and need not wait."""
        self._waiting.extend((update, now_ms) for update in channel.take_sent(now_ms))
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
        """When the update that has waited longest is released at the latest; infinity where none waits."""
        return self._waiting[0][1] + self.max_wait_ms if self._waiting else float("inf")
