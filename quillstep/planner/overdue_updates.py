"""Which kind of update has been waiting for the channel for too long.

The limits and the order of the update budget prefer some kinds of updates to others, so that steady updates of one
kind could keep another one back for good.  A kind is overdue if something of it has been due for its maximum wait and
nothing of it was published.  The channel is then reserved for the kind that has been waiting longest; urgent changes
are always let through.
"""

from enum import Enum, auto

from quillstep.planner.state import CONTROL_INTERVAL_MS

MAX_WAIT_MS = 10 * CONTROL_INTERVAL_MS


class UpdateKind(Enum):
    """The kinds of updates that wait for the channel."""

    URGENT = auto()
    ADMISSION = auto()
    SUBSET = auto()
    CALENDAR = auto()
    ORDINARY = auto()
    REMOVAL = auto()


MAX_REMOVAL_WAIT_MS = 3 * MAX_WAIT_MS  # no request depends on a removal
MAX_WAITS_MS = {**dict.fromkeys(UpdateKind, MAX_WAIT_MS), UpdateKind.REMOVAL: MAX_REMOVAL_WAIT_MS}


class OverdueUpdates:
    """Since when each kind of update has been waiting."""

    def __init__(self) -> None:
        self.reserved: UpdateKind | None = None  # the kind that the channel is reserved for
        self._waiting_since_ms: dict[UpdateKind, float] = {}

    def record(self, kind: UpdateKind, now_ms: float, is_published: bool, is_waiting: bool) -> None:
        """Records whether updates of a kind were published just now, and whether others of it are still due."""
        if not is_waiting:
            self._waiting_since_ms.pop(kind, None)
        elif is_published:
            self._waiting_since_ms[kind] = now_ms
        else:
            self._waiting_since_ms.setdefault(kind, now_ms)

    def keep_waiting(self, kind: UpdateKind, is_waiting: bool) -> None:
        """Ends the wait of a kind if nothing of it is due any more."""
        if not is_waiting:
            self._waiting_since_ms.pop(kind, None)

    def reserve(self, now_ms: float, may_remove: bool) -> None:
        """Reserves the channel for the overdue kind that has been waiting longest.

        Args:
            now_ms: The current time.
            may_remove: Whether endpoints may be removed now; if not, the channel is not reserved for removals.
        """
        overdue = [kind for kind in self._waiting_since_ms if self.is_overdue(kind, now_ms)]
        if not may_remove:
            overdue = [kind for kind in overdue if kind is not UpdateKind.REMOVAL]
        self.reserved = min(overdue, key=self._waiting_since_ms.__getitem__) if overdue else None

    def end_reservation(self) -> None:
        """Lets updates of all kinds through."""
        self.reserved = None

    def is_overdue(self, kind: UpdateKind, now_ms: float) -> bool:
        """Whether a kind of update is overdue."""
        return now_ms - self._waiting_since_ms.get(kind, now_ms) >= MAX_WAITS_MS[kind]

    def allows(self, kind: UpdateKind) -> bool:
        """Whether updates of a kind may be published now; the proxies without a usable endpoint precede calendars."""
        if self.reserved is UpdateKind.CALENDAR and kind is UpdateKind.SUBSET:
            return True
        return self.reserved in (None, kind) or kind is UpdateKind.URGENT
