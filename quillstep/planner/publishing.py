"""Publishes changes to the proxies within the update budget.

Drains and failures are published at once, assignments as the budget allows, and the largest other changes at each
control interval.  Only differences are published: slots and limits that differ from the published value by more than
MIN_RELATIVE_CHANGE.  An endpoint without slots is ejected, which takes one line per proxy and applies to all its
tables, whichever controller wrote them.
"""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

from quillstep.planner.assignment import TableAssigner
from quillstep.planner.calendar import SLOTS_PER_ENDPOINT, Calendar
from quillstep.planner.capacity import warm_up_fraction
from quillstep.planner.messages import EndpointId, PlannerOutput
from quillstep.planner.state import (
    CONTROL_INTERVAL_MS,
    CalendarTable,
    EndpointState,
    FleetState,
    PublishedAdmission,
)
from quillstep.planner.update_budget import OrdinaryUpdate, UpdateBudget

URGENT_TIMER = 2  # token of the timer for changes that could not be published at once
URGENT_RETRY_MS = 0.2 * CONTROL_INTERVAL_MS
MIN_RELATIVE_CHANGE = 0.1  # smaller changes, relative to the published value, are not published
URGENT_RANK = -1e9  # ranks up to this: drains, failures, and warming endpoints that must lose slots
ADDED_ENDPOINT_SLOTS = 3 * SLOTS_PER_ENDPOINT  # minimum size by which an added or restored endpoint is ranked
DELISTED_RETENTION_MS = 20 * CONTROL_INTERVAL_MS  # time until a delisted endpoint is removed from the tables
NOT_PUBLISHED = PublishedAdmission(0.0, -1)


class EndpointChange(NamedTuple):
    """A change of one endpoint that is due; changes are published in ascending order of rank."""

    rank: float
    endpoint: EndpointId
    slots: dict[int, int]  # by table number
    is_ejected: bool

    @property
    def is_urgent(self) -> bool:
        """Whether the change is published at once, before all changes that are not urgent."""
        return self.rank <= URGENT_RANK


@dataclass(slots=True)
class Audience:
    """Numbers of proxies that updates reach, counted when publishing begins."""

    joined: int
    with_calendar: int
    table_users: dict[int, int]  # proxies with the calendar, by calendar table
    outside_subsets: int  # proxies except those that use only a subset
    subset_users: Counter[EndpointId]  # proxies without the calendar, by endpoint of their subsets

    @classmethod
    def of(cls, fleet: FleetState) -> "Audience":
        """Counts the joined proxies by their assigned tables."""
        zones = [proxy.zone for proxy in fleet.proxies.values() if proxy.has_calendar]
        table_users = {table.number: zones.count(table.zone) if table.zone else len(zones) for table in fleet.tables}
        waiting = [proxy.subsets for proxy in fleet.proxies.values() if not proxy.has_calendar]
        subset_users = Counter(endpoint for subsets in waiting for subset in subsets for endpoint in subset)
        joined = len(fleet.proxies)
        return cls(joined, len(zones), table_users, joined - sum(map(bool, waiting)), subset_users)

    def ejection_recipients(self, change: EndpointChange) -> int:
        """Returns how many proxies get an ejection or restoration; a subset without the endpoint needs no ejection."""
        return self.outside_subsets + self.subset_users[change.endpoint] if change.is_ejected else self.joined


@dataclass(slots=True)
class WrittenUpdates:
    """Running totals of one call: lines over all proxies, and the proxies that get a message."""

    lines: int
    messages: int
    subset_messages: int = 0


class Publisher:
    """Publishes changes and assigns tables within the update budget."""

    def __init__(self, fleet: FleetState, calendar: Calendar, budget: UpdateBudget, assigner: TableAssigner) -> None:
        self.fleet, self.calendar, self.budget, self.assigner = fleet, calendar, budget, assigner
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
        wanted = {table.number: self.calendar.slots(table.zone, now_ms) for table in fleet.tables}
        lines = self._publish_admissions(audience, output)
        written = WrittenUpdates(lines, audience.with_calendar if lines else 0)
        max_urgent = budget.max_urgent_lines(subsets_pending)
        proxies_pending = audience.with_calendar != audience.joined
        heads = budget.lines_per_message * audience.joined
        for change in sorted(self._wanted_changes(now_ms, wanted), key=lambda change: change.rank):
            is_urgent = change.is_urgent
            cost = self._line_cost(change, audience)
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
            self._add_to_written(change, cost, audience, written)
            self._write_change(change, output)
        budget.written_lines += written.lines + budget.lines_per_message * written.messages
        return written.messages

    def _line_cost(self, change: EndpointChange, audience: Audience) -> int:
        """Returns the lines that a change takes, over all proxies."""
        lines = sum(audience.table_users[table] for table in change.slots)
        if change.is_ejected != self.fleet.endpoints[change.endpoint].is_ejected:
            lines += audience.ejection_recipients(change)
        return lines

    def _add_to_written(self, change: EndpointChange, cost: int, audience: Audience, written: WrittenUpdates) -> None:
        """Adds a change to the totals; call before the change is written, which updates the published state."""
        if change.is_ejected != self.fleet.endpoints[change.endpoint].is_ejected:
            written.subset_messages += audience.ejection_recipients(change) - audience.outside_subsets
            reached = min(audience.joined, audience.outside_subsets + written.subset_messages)
        else:
            reached = audience.with_calendar if cost else 0
        written.messages = max(written.messages, reached)
        written.lines += cost

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

    def _wanted_changes(self, now_ms: float, wanted: dict[int, dict[EndpointId, int]]) -> Iterator[EndpointChange]:
        """Yields the changes that are due, given the wanted slots by table and endpoint."""
        for id_, state in self.fleet.endpoints.items():
            slots = {table: calendar.get(id_, 0) for table, calendar in wanted.items()}
            holds_slots = any(slots.values())
            if self._can_remove(state, now_ms):
                yield EndpointChange(0.0, id_, dict.fromkeys(state.published_slots, 0), False)
            elif holds_slots:
                change = self._slot_change(id_, state, slots, now_ms)
                if change:
                    yield change
            elif not state.is_ejected and (state.published_slots or not state.is_in_service):
                # Drains and failures precede warming endpoints and outliers; then endpoints with most slots go first.
                urgency = self._has_reduced_capacity(state, now_ms) + (not state.is_in_service)
                yield EndpointChange(URGENT_RANK * urgency - sum(state.published_slots.values()), id_, {}, True)

    def _slot_change(
        self, id_: EndpointId, state: EndpointState, slots: dict[int, int], now_ms: float
    ) -> EndpointChange | None:
        """Returns an endpoint's slots that changed enough to be published, or a restoration; None if neither is due."""
        before = state.published_slots
        moved = {}
        for table, wanted in slots.items():
            published = before.get(table, 0)
            if abs(wanted - published) > MIN_RELATIVE_CHANGE * published:
                moved[table] = wanted
        if not moved and not state.is_ejected:
            return None
        loses_slots = any(wanted < before.get(table, 0) for table, wanted in moved.items())
        is_urgent = loses_slots and self._has_reduced_capacity(state, now_ms)
        # An added or restored endpoint has few slots at first, but adds the capacity of a complete endpoint.
        least = ADDED_ENDPOINT_SLOTS if state.is_ejected or not before else 0
        size = max(least, *(abs(wanted - before.get(table, 0)) for table, wanted in slots.items()))
        return EndpointChange(URGENT_RANK * is_urgent - size, id_, moved, False)

    def _has_reduced_capacity(self, state: EndpointState, now_ms: float) -> bool:
        """Whether an endpoint is not in service, or is still warming up."""
        return not state.is_in_service or warm_up_fraction(self.fleet.config, state, now_ms) < 1.0

    def _can_remove(self, state: EndpointState, now_ms: float) -> bool:
        """Whether a delisted endpoint can be removed from the tables.

        Endpoints are replaced under new ids all the time, so tables would grow without removal.  Removal restores the
        ejected endpoint, so it waits until all proxies have the calendar: others may still hold the endpoint.
        """
        return (
            state.delisted_ms is not None
            and now_ms - state.delisted_ms >= DELISTED_RETENTION_MS
            and state.is_ejected
            and self.fleet.all_proxies_have_calendar()
        )

    def _publish_admissions(self, audience: Audience, output: PlannerOutput) -> int:
        """Writes the changed limits and retry policies of the tables that fit the channel; returns the lines."""
        lines = 0
        for table in self.fleet.tables:
            users = audience.table_users[table.number]
            if not users or self.budget.fits_limit(self._fixed_lines() + lines + users * len(table.classes)):
                lines += users * self._publish_admission(table, output)
        return lines

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
