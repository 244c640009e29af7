"""Publishes changes to the proxies within the update budget.

Drains and failures are published at once, assignments as the budget allows, and the largest other changes at each
control interval.  Only differences are published: slots and limits that differ from the published value by more than
MIN_RELATIVE_CHANGE.
"""

from quillstep.planner.assignment import TableAssigner
from quillstep.planner.audience import Audience, WrittenUpdates
from quillstep.planner.calendar import Calendar
from quillstep.planner.endpoint_changes import MIN_RELATIVE_CHANGE, EndpointChange, EndpointChanges
from quillstep.planner.messages import PlannerOutput
from quillstep.planner.state import CONTROL_INTERVAL_MS, CalendarTable, FleetState, PublishedAdmission
from quillstep.planner.update_budget import OrdinaryUpdate, UpdateBudget

URGENT_TIMER = 2  # token of the timer for changes that could not be published at once
URGENT_RETRY_MS = 0.2 * CONTROL_INTERVAL_MS
NOT_PUBLISHED = PublishedAdmission(0.0, -1)


class Publisher:
    """Publishes changes and assigns tables within the update budget."""

    def __init__(self, fleet: FleetState, calendar: Calendar, budget: UpdateBudget, assigner: TableAssigner) -> None:
        self.fleet, self.budget, self.assigner = fleet, budget, assigner
        self.changes = EndpointChanges(fleet, calendar)
        self._retry_ms = self._published_ms = float("-inf")

    def publish(self, now_ms: float, is_interval_due: bool, output: PlannerOutput) -> None:
        """Writes all due updates that fit the budget, and requests acks for them."""
        fleet, budget, assigner = self.fleet, self.budget, self.assigner
        budget.estimate_sent(now_ms)
        # Messages to all proxies are spaced out: failures that arrive one by one must not use up the message limit.
        may_message_all = (
            not budget.is_congested()
            and now_ms >= self._published_ms + budget.min_message_gap_ms
            and budget.fits_limit(self._fixed_lines())
        )
        written_before = budget.written_lines
        without_endpoint = assigner.proxies_without_usable_endpoint()
        messages = assigner.assign_subsets(without_endpoint, output)
        if (is_interval_due or fleet.has_urgent_change) and may_message_all:
            fleet.has_urgent_change = False
            subsets_pending = messages < len(without_endpoint)
            published = self.publish_changes(now_ms, is_interval_due, subsets_pending, output)
            self._published_ms = now_ms if published else self._published_ms
            messages += published
        if not without_endpoint:
            messages += assigner.assign_calendar(assigner.proxies_awaiting_calendar(), output)
        self._schedule_retry(now_ms, output)
        if messages:
            budget.request_ack(written_before, messages, output)

    def _fixed_lines(self) -> float:
        """Returns the lines of messages to all proxies besides those of changes: heads and ack requests."""
        return len(self.fleet.proxies) * (self.budget.lines_per_message + 1)

    def _schedule_retry(self, now_ms: float, output: PlannerOutput) -> None:
        """Requests an early control interval if urgent changes or assignments are still pending."""
        is_pending = self.fleet.has_urgent_change or not self.fleet.all_proxies_have_calendar()
        if is_pending and self._retry_ms <= now_ms:
            self._retry_ms = now_ms + URGENT_RETRY_MS
            output.set_timer(URGENT_TIMER, self._retry_ms)

    def publish_changes(
        self, now_ms: float, is_interval_due: bool, subsets_pending: bool, output: PlannerOutput
    ) -> int:
        """Writes the differences between the wanted and the published state.

        Args:
            now_ms: Time of the control interval.
            is_interval_due: Whether to publish ordinary changes as well as urgent ones.
            subsets_pending: Whether subsets wait for the channel; other updates then get less of it.
            output: Receives the changes.

        Returns:
            The number of messages.
        """
        fleet, budget = self.fleet, self.budget
        audience = Audience.of(fleet)
        written = WrittenUpdates(audience)
        self._publish_admissions(written, output)
        max_urgent = budget.max_urgent_lines(subsets_pending)
        proxies_pending = audience.with_calendar != audience.joined
        heads = budget.lines_per_message * audience.joined
        for change in sorted(self.changes.due(now_ms), key=lambda change: change.rank):
            is_urgent = change.is_urgent
            state = fleet.endpoints[change.endpoint]
            cost = audience.line_cost(change, state)
            if cost and not is_urgent and not is_interval_due:
                continue
            is_over_limit = not budget.fits_limit(self._fixed_lines() + written.lines + cost)
            if is_urgent:
                is_over_limit |= budget.queued_lines + heads + written.lines + cost > max_urgent
            else:
                update = OrdinaryUpdate(heads + cost, written.lines)
                is_over_limit |= not budget.fits_ordinary(update, max_urgent, proxies_pending)
            if cost and is_over_limit:
                fleet.has_urgent_change |= is_urgent  # retried at the next early control interval
                continue
            written.add_change(change, state)
            self._write_change(change, output)
        budget.written_lines += written.lines + budget.lines_per_message * written.messages
        return written.messages

    def _write_change(self, change: EndpointChange, output: PlannerOutput) -> None:
        state = self.fleet.endpoints[change.endpoint]
        for table, slots in change.slots.items():
            output.set_weight(table, change.endpoint, slots)
            state.published_slots[table] = slots
        if change.is_ejected != state.is_ejected:
            output.set_ejected(change.endpoint, change.is_ejected)
            state.is_ejected = change.is_ejected
        if state.delisted_ms is not None and not change.is_ejected:
            del self.fleet.endpoints[change.endpoint]

    def _publish_admissions(self, written: WrittenUpdates, output: PlannerOutput) -> None:
        """Writes the changed limits and retry policies of the tables that fit the channel."""
        for table in self.fleet.tables:
            users = written.audience.table_users[table.number]
            most_lines = written.lines + users * len(table.classes)
            if not users or self.budget.fits_limit(self._fixed_lines() + most_lines):
                written.add_admission(table.number, users * self._publish_admission(table, output))

    def _publish_admission(self, table: CalendarTable, output: PlannerOutput) -> int:
        """Writes a table's changed limits and retry policies, and returns the number of changes."""
        changes = 0
        for index in table.classes:
            state = self.fleet.classes[index]
            limit, retry_policy = state.published.get(table.number, NOT_PUBLISHED)
            has_limit_moved = abs(state.admission_limit - limit) > MIN_RELATIVE_CHANGE * limit
            if state.retry_policy != retry_policy or has_limit_moved:
                output.set_admission(table.number, [index], state.admission_limit, state.retry_policy)
                state.published[table.number] = PublishedAdmission(state.admission_limit, state.retry_policy)
                changes += 1
        return changes
