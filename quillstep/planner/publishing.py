"""Publishes what has changed, within the update budget.

Drains and failures go at once, assignments as the budget allows, and at each control interval the changes that are
largest.  Only differences are written: slots and limits that moved by more than a set part of what was published.  An
endpoint that no table lists any more is ejected, which is one line a proxy and holds for tables of any origin.
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
from quillstep.planner.update_budget import UpdateBudget

URGENT_TIMER = 2  # the token of the timer for what could not be published at once
URGENT_RETRY_MS = 0.2 * CONTROL_INTERVAL_MS
MIN_RELATIVE_CHANGE = 0.1  # of what was published, up to which a value is not published again
URGENT_RANK = -1e9  # at and below: drains, failures, and warming endpoints that must lose slots
ADDED_ENDPOINT_SLOTS = 3 * SLOTS_PER_ENDPOINT  # what an added or restored endpoint ranks as at least
DELISTED_RETENTION_MS = 20 * CONTROL_INTERVAL_MS  # after an endpoint left the list, until its lines are removed
NOT_PUBLISHED = PublishedAdmission(0.0, -1)


class EndpointChange(NamedTuple):
    """What should be published of one endpoint; the lowest rank goes first."""

    rank: float
    endpoint: EndpointId
    slots: dict[int, int]  # by table
    is_ejected: bool

    @property
    def is_urgent(self) -> bool:
        """Whether it goes at once, and before everything that is not urgent."""
        return self.rank <= URGENT_RANK


@dataclass(slots=True)
class Audience:
    """Whom updates reach, counted when publishing begins."""

    joined: int
    with_calendar: int
    users: dict[int, int]  # proxies by the calendar's table that they use
    outside_subsets: int  # all but those that use only a subset
    subset_users: Counter[EndpointId]  # proxies by endpoint of the subset that they use

    @classmethod
    def of(cls, fleet: FleetState) -> "Audience":
        """Counts the joined proxies by what they were assigned."""
        zones = [proxy.zone for proxy in fleet.proxies.values() if proxy.has_calendar]
        users = {table.number: zones.count(table.zone) if table.zone else len(zones) for table in fleet.tables}
        waiting = [proxy.subsets for proxy in fleet.proxies.values() if not proxy.has_calendar]
        subset_users = Counter(endpoint for subsets in waiting for subset in subsets for endpoint in subset)
        joined = len(fleet.proxies)
        return cls(joined, len(zones), users, joined - sum(map(bool, waiting)), subset_users)

    def ejection_receivers(self, change: EndpointChange) -> int:
        """How many proxies an ejection or restore is sent to: a subset without the endpoint needs none."""
        return self.outside_subsets + self.subset_users[change.endpoint] if change.is_ejected else self.joined


@dataclass(slots=True)
class WrittenUpdates:
    """What one call has written so far: lines over all proxies, and the proxies that get a message."""

    lines: int
    messages: int
    subset_messages: int = 0


class Publisher:
    """Writes updates within the update budget."""

    def __init__(self, fleet: FleetState, calendar: Calendar, budget: UpdateBudget, assigner: TableAssigner) -> None:
        self.fleet, self.calendar, self.budget, self.assigner = fleet, calendar, budget, assigner
        self._retry_ms = self._published_ms = float("-inf")

    def publish(self, now_ms: float, is_interval_due: bool, output: PlannerOutput) -> None:
        """Writes all that is due and fits, and requests acks of it."""
        fleet, budget, assigner = self.fleet, self.budget, self.assigner
        budget.estimate_sent(now_ms)
        # Messages to all are spaced: failures that arrive one by one must not use up those allowed to a proxy.
        may_message_all = not budget.is_crowded() and now_ms >= self._published_ms + budget.min_message_gap_ms
        written_before = budget.written_lines
        lacking = assigner.proxies_without_usable_endpoint()
        messages = assigner.assign_subsets(lacking, output)
        if (is_interval_due or fleet.has_urgent_change) and may_message_all:
            fleet.has_urgent_change = False
            subsets_wait = messages < len(lacking)
            published = self.publish_changes(now_ms, is_interval_due, subsets_wait, output)
            self._published_ms = now_ms if published else self._published_ms
            messages += published
        if not lacking:
            messages += assigner.assign_calendar(assigner.proxies_awaiting_calendar(), output)
        self._schedule_retry(now_ms, output)
        if messages:
            budget.request_ack(written_before, messages, output)

    def _schedule_retry(self, now_ms: float, output: PlannerOutput) -> None:
        """Asks for an early control interval where something urgent is left."""
        is_waiting = self.fleet.has_urgent_change or not self.fleet.all_proxies_have_calendar()
        if is_waiting and self._retry_ms <= now_ms:
            self._retry_ms = now_ms + URGENT_RETRY_MS
            output.set_timer(URGENT_TIMER, self._retry_ms)

    def publish_changes(self, now_ms: float, is_interval_due: bool, subsets_wait: bool, output: PlannerOutput) -> int:
        """Writes the differences between what is wanted and what is published.

        Args:
            now_ms: The control interval's time.
            is_interval_due: Whether ordinary changes go as well.
            subsets_wait: Whether subsets wait for the channel, which then takes less of anything else.
            output: Where the changes are written.

        Returns:
            The messages that this makes.
        """
        fleet, budget = self.fleet, self.budget
        audience = Audience.of(fleet)
        wanted = {table.number: self.calendar.slots(table.zone, now_ms) for table in fleet.tables}
        lines = sum(audience.users[table.number] * self._publish_admission(table, output) for table in fleet.tables)
        written = WrittenUpdates(lines, audience.with_calendar if lines else 0)
        max_urgent = budget.max_urgent_lines(subsets_wait)
        max_ordinary = budget.max_ordinary_lines(max_urgent, audience.with_calendar != audience.joined)
        queued = budget.queued_lines + budget.lines_per_message * audience.joined
        for change in sorted(self._changes(now_ms, wanted), key=lambda change: change.rank):
            is_urgent = change.is_urgent
            cost = self._cost(change, audience)
            if cost and not is_urgent and not is_interval_due:
                continue
            if queued + written.lines + cost > (max_urgent if is_urgent else max_ordinary):
                fleet.has_urgent_change |= is_urgent  # the rest goes soon
                continue
            self._count(change, cost, audience, written)
            self._write(change, output)
        budget.written_lines += written.lines + budget.lines_per_message * written.messages
        return written.messages

    def _cost(self, change: EndpointChange, audience: Audience) -> int:
        """The lines that a change makes, over all proxies."""
        lines = sum(audience.users[table] for table in change.slots)
        if change.is_ejected != self.fleet.endpoints[change.endpoint].is_ejected:
            lines += audience.ejection_receivers(change)
        return lines

    def _count(self, change: EndpointChange, cost: int, audience: Audience, written: WrittenUpdates) -> None:
        """Adds a change to what is written, before it is."""
        if change.is_ejected != self.fleet.endpoints[change.endpoint].is_ejected:
            written.subset_messages += audience.ejection_receivers(change) - audience.outside_subsets
            reached = min(audience.joined, audience.outside_subsets + written.subset_messages)
        else:
            reached = audience.with_calendar if cost else 0
        written.messages = max(written.messages, reached)
        written.lines += cost

    def _write(self, change: EndpointChange, output: PlannerOutput) -> None:
        state = self.fleet.endpoints[change.endpoint]
        for table, slots in change.slots.items():
            output.set_weight(table, change.endpoint, slots)
            state.published_slots[table] = slots
        if change.is_ejected != state.is_ejected:
            output.set_ejected(change.endpoint, change.is_ejected)
            state.is_ejected = change.is_ejected
        if state.delisted_ms is not None and not change.is_ejected:
            del self.fleet.endpoints[change.endpoint]

    def _changes(self, now_ms: float, wanted: dict[int, dict[EndpointId, int]]) -> Iterator[EndpointChange]:
        """What should be published, given the wanted slots by table and endpoint."""
        for id_, state in self.fleet.endpoints.items():
            slots = {table: calendar.get(id_, 0) for table, calendar in wanted.items()}
            holds_slots = any(slots.values())
            if self._can_remove(state, now_ms):
                yield EndpointChange(0.0, id_, dict.fromkeys(state.published_slots, 0), False)
            elif holds_slots:
                change = self._slots_change(id_, state, slots, now_ms)
                if change:
                    yield change
            elif not state.is_ejected and (state.published_slots or not state.is_in_service):
                # Drains and failures before endpoints that are only held back; what holds most slots first.
                urgency = self._is_weak(state, now_ms) + (not state.is_in_service)
                yield EndpointChange(URGENT_RANK * urgency - sum(state.published_slots.values()), id_, {}, True)

    def _slots_change(
        self, id_: EndpointId, state: EndpointState, slots: dict[int, int], now_ms: float
    ) -> EndpointChange | None:
        """The slots that moved enough to be published again, or all of an endpoint that is restored."""
        before = state.published_slots
        moved = {}
        for table, wanted in slots.items():
            published = before.get(table, 0)
            if abs(wanted - published) > MIN_RELATIVE_CHANGE * published:
                moved[table] = wanted
        if not moved and not state.is_ejected:
            return None
        loses_slots = any(wanted < before.get(table, 0) for table, wanted in moved.items())
        is_urgent = loses_slots and self._is_weak(state, now_ms)
        # An added or restored endpoint has few slots at first, and yet brings the capacity of a whole one.
        least = ADDED_ENDPOINT_SLOTS if state.is_ejected or not before else 0
        size = max(least, *(abs(wanted - before.get(table, 0)) for table, wanted in slots.items()))
        return EndpointChange(URGENT_RANK * is_urgent - size, id_, moved, False)

    def _is_weak(self, state: EndpointState, now_ms: float) -> bool:
        """Whether it is not in service, or still warming up."""
        return not state.is_in_service or warm_up_fraction(self.fleet.config, state, now_ms) < 1.0

    def _can_remove(self, state: EndpointState, now_ms: float) -> bool:
        """Whether an endpoint left the list for good, so that its lines can be removed.

        Endpoints are replaced under new ids all day, and tables would grow.  A proxy without the calendar may still
        hold the endpoint, so that none is restored before all proxies have one.
        """
        return (
            state.delisted_ms is not None
            and now_ms - state.delisted_ms >= DELISTED_RETENTION_MS
            and state.is_ejected
            and self.fleet.all_proxies_have_calendar()
        )

    def _publish_admission(self, table: CalendarTable, output: PlannerOutput) -> int:
        """Writes the limits and retry policies of a table that moved, and returns how many did."""
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
