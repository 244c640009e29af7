"""Publishes admission limits and retry policies that differ from the published ones, as far as the channel has room."""

from quillstep.planner.audience import WrittenUpdates
from quillstep.planner.endpoint_changes import MIN_RELATIVE_CHANGE
from quillstep.planner.messages import PlannerOutput
from quillstep.planner.overdue_updates import OverdueUpdates, UpdateKind
from quillstep.planner.state import CalendarTable, FleetState, PublishedAdmission
from quillstep.planner.update_budget import UpdateBudget
from quillstep.planner.urgent_updates import UrgentLines

NOT_PUBLISHED = PublishedAdmission(0.0, -1)


class AdmissionUpdates:
    """The admission limits and retry policies of all classes in all tables, and since when changes of them wait.

    Attributes:
        waiting_since_ms: Since when a changed limit has been due, by table and class.
    """

    def __init__(self, fleet: FleetState, budget: UpdateBudget, overdue: OverdueUpdates) -> None:
        self.fleet, self.budget, self.overdue = fleet, budget, overdue
        self.waiting_since_ms: dict[tuple[int, int], float] = {}

    def publish(
        self, now_ms: float, written: WrittenUpdates, fixed_lines: float, urgent: UrgentLines, output: PlannerOutput
    ) -> None:
        """Writes the changed limits and retry policies that fit the channel.

        The classes of a table are published together; one by one, beside an urgent change, if together they never fit.
        Only limits that fall precede urgent changes which do not all fit beside them, and with at least one of them:
        ejections move load to other endpoints, which the limits protect.

        Args:
            now_ms: Time of the control interval.
            written: The updates written so far; the limits are added.
            fixed_lines: Lines of the heads and ack requests of messages to all proxies.
            urgent: Lines of the urgent changes, which are written after the limits.
            output: Receives the limits.
        """
        is_allowed = self.overdue.allows(UpdateKind.ADMISSION)
        too_long: list[tuple[CalendarTable, int]] = []
        waiting: set[tuple[int, int]] = set()
        for table in self.fleet.tables:
            users = written.audience.table_users[table.number]
            table_lines = users * len(table.classes)
            changed = [(table, index) for index in self._changed_classes(table)]
            if not self.budget.fits_empty_channel(fixed_lines + table_lines):
                too_long += changed
                continue
            is_lowered = any(self._is_lowered(table, index) for _, index in changed)
            lines = written.lines + table_lines + (urgent.first if is_lowered else urgent.total)
            if not users or (is_allowed and self.budget.fits_limit(fixed_lines + lines)):
                self._write(changed, written, output)
            else:
                waiting |= {(table.number, index) for _, index in changed}
        since_ms = self.waiting_since_ms
        for table, index in sorted(too_long, key=lambda row: since_ms.get((row[0].number, row[1]), now_ms)):
            lines = written.lines + written.audience.table_users[table.number] + urgent.first
            if is_allowed and self.budget.fits_limit(fixed_lines + lines):
                self._write([(table, index)], written, output)
            else:
                waiting.add((table.number, index))
        self._record(now_ms, written.lines > 0, waiting)

    def record_waiting(self, now_ms: float) -> None:
        """Records which limits are due in a control interval in which none can be published."""
        waiting = {(table.number, index) for table in self.fleet.tables for index in self._changed_classes(table)}
        self._record(now_ms, False, waiting)

    def _record(self, now_ms: float, is_published: bool, waiting: set[tuple[int, int]]) -> None:
        """Records whether limits were published, and for which tables and classes they are still due."""
        self.waiting_since_ms = {key: self.waiting_since_ms.get(key, now_ms) for key in waiting}
        self.overdue.record(UpdateKind.ADMISSION, now_ms, is_published, bool(waiting))

    def _changed_classes(self, table: CalendarTable) -> list[int]:
        """Returns the classes of a table whose limit or retry policy is to be published."""
        changed = []
        for index in table.classes:
            state = self.fleet.classes[index]
            limit, retry_policy = state.published.get(table.number, NOT_PUBLISHED)
            has_limit_moved = abs(state.admission_limit - limit) > MIN_RELATIVE_CHANGE * limit
            if state.retry_policy != retry_policy or has_limit_moved:
                changed.append(index)
        return changed

    def _is_lowered(self, table: CalendarTable, index: int) -> bool:
        """Whether the limit of a class is lower than the published one, or the first one of a table."""
        state = self.fleet.classes[index]
        published = state.published.get(table.number)
        return published is None or state.admission_limit < published.limit

    def _write(self, changed: list[tuple[CalendarTable, int]], written: WrittenUpdates, output: PlannerOutput) -> None:
        """Writes the limits and retry policies of classes in tables."""
        for table, index in changed:
            state = self.fleet.classes[index]
            output.set_admission(table.number, [index], state.admission_limit, state.retry_policy)
            state.published[table.number] = PublishedAdmission(state.admission_limit, state.retry_policy)
            written.add_admission(table.number, written.audience.table_users[table.number])
