"""Publishes changes to the proxies within the update budget.

Drains and failures are published at once, assignments as the budget allows, and the largest other changes at each
control interval.  Only differences are published: slots and limits that differ from the published value by more than
MIN_RELATIVE_CHANGE.
"""

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from quillstep.planner.admission_updates import AdmissionUpdates
from quillstep.planner.assignment import TableAssigner
from quillstep.planner.audience import Audience, WrittenUpdates
from quillstep.planner.calendar import Calendar
from quillstep.planner.change_limits import ChangeLimits, Precedence
from quillstep.planner.drain_deadlines import DrainDeadlines
from quillstep.planner.endpoint_changes import EndpointChange, EndpointChanges
from quillstep.planner.messages import EndpointId, PlannerOutput
from quillstep.planner.overdue_updates import MAX_WAIT_MS, OverdueUpdates, UpdateKind
from quillstep.planner.oversized_fleet import OversizedFleet
from quillstep.planner.state import CONTROL_INTERVAL_MS, FleetState
from quillstep.planner.update_budget import UpdateBudget
from quillstep.planner.urgent_updates import UrgentLines, UrgentUpdates

URGENT_TIMER = 2  # token of the timer for changes that could not be published at once
URGENT_RETRY_MS = 0.2 * CONTROL_INTERVAL_MS
MAX_OVERTAKEN_MS = 3 * MAX_WAIT_MS  # changes that have waited for longer are not overtaken by larger ones


class HoldReason(Enum):
    """Why urgent changes were not published in a pass."""

    CONGESTED = "the queue is too long for any change"
    MESSAGE_GAP = "messages to all proxies are spaced out"
    NO_ROOM_FOR_HEADS = "the channel has no room for the heads of messages to all proxies"
    NO_ROOM_FOR_CHANGE = "the channel has no room for the change"


class SubsetAssignments(NamedTuple):
    """How many proxies were assigned a subset, and how many still wait for one."""

    assigned: int
    pending: int


@dataclass(slots=True)
class PublishingPass:
    """The changes of endpoints that are written in one pass, and those that wait."""

    now_ms: float
    is_interval_due: bool
    may_publish_others: bool  # changes that are not urgent
    limits: ChangeLimits
    written: WrittenUpdates
    selected: set[EndpointId]  # endpoints whose urgent changes are published
    held: set[EndpointId]  # endpoints whose urgent changes wait for the others
    published: set[UpdateKind] = field(default_factory=set)
    waiting: dict[EndpointId, UpdateKind] = field(default_factory=dict)


class Publisher:
    """Publishes changes and assigns tables within the update budget.

    Attributes:
        hold_reason: Why urgent changes still wait after the last pass; None if none do.
    """

    def __init__(self, fleet: FleetState, calendar: Calendar, budget: UpdateBudget, assigner: TableAssigner) -> None:
        self.fleet, self.budget, self.assigner = fleet, budget, assigner
        self.changes = EndpointChanges(fleet, calendar)
        self.oversized = OversizedFleet(fleet, budget, assigner)
        self.urgent = UrgentUpdates(fleet, budget)
        self.drain_deadlines = DrainDeadlines(fleet, budget, assigner, self.urgent)
        self.overdue = OverdueUpdates()
        self.admission_updates = AdmissionUpdates(fleet, budget, self.overdue)
        self._waiting_since_ms: dict[EndpointId, float] = {}  # changes that were due and did not fit
        self._retry_ms = self._published_ms = float("-inf")
        self.hold_reason: HoldReason | None = None

    def publish(self, now_ms: float, is_interval_due: bool, output: PlannerOutput) -> None:
        """Writes all due updates that fit the budget, and requests acks for them."""
        fleet, budget, overdue = self.fleet, self.budget, self.overdue
        budget.estimate_sent(now_ms)
        without_endpoint = self.assigner.proxies_without_usable_endpoint()
        has_calendar = fleet.all_proxies_have_calendar()
        overdue.keep_waiting(UpdateKind.SUBSET, bool(without_endpoint))
        overdue.keep_waiting(UpdateKind.CALENDAR, not has_calendar)
        if self.oversized.is_oversized():
            overdue.end_reservation()  # an update that never fits must not hold back others
        else:
            overdue.reserve(now_ms, may_remove=has_calendar)
        # Messages to all proxies are spaced out: failures that arrive one by one must not use up the message limit.
        hold_reason = self._reason_to_message_none(now_ms)
        may_message_all = hold_reason is None or (fleet.has_urgent_change and self._may_publish_urgent(hold_reason))
        written_before = budget.written_lines
        subsets = self._assign_subsets(now_ms, without_endpoint, output)
        messages = subsets.assigned
        # Proxies that join all the time would keep removals back if these were not due right after an assignment.
        is_removal_overdue = overdue.is_overdue(UpdateKind.REMOVAL, now_ms)
        if is_removal_overdue:
            messages += self._assign_calendar(now_ms, subsets, output)
        has_changes = is_interval_due or fleet.has_urgent_change or is_removal_overdue or overdue.reserved
        if has_changes and may_message_all:
            fleet.has_urgent_change = False
            subsets_pending = subsets.pending > 0 and overdue.allows(UpdateKind.SUBSET)
            published = self.publish_changes(
                now_ms, is_interval_due, subsets_pending, output, may_publish_others=hold_reason is None
            )
            self._published_ms = now_ms if published else self._published_ms
            messages += published
        elif is_interval_due or self.oversized.is_oversized():
            self._record_waiting(now_ms)
        if self.oversized.is_moving:
            messages += self.oversized.move(output)
        if not is_removal_overdue:
            messages += self._assign_calendar(now_ms, subsets, output)
        is_held = fleet.has_urgent_change
        self.hold_reason = (hold_reason or HoldReason.NO_ROOM_FOR_CHANGE) if is_held else None
        self._schedule_retry(now_ms, output)
        if messages:
            budget.request_ack(written_before, messages, output)

    def _assign_subsets(self, now_ms: float, without_endpoint: list[int], output: PlannerOutput) -> SubsetAssignments:
        """Assigns subsets to the proxies without a usable endpoint, as the budget allows."""
        assigned = 0
        if self.overdue.allows(UpdateKind.SUBSET):
            assigned = self.assigner.assign_subsets(without_endpoint, output)
        pending = len(without_endpoint) - assigned
        self.overdue.record(UpdateKind.SUBSET, now_ms, assigned > 0, pending > 0)
        return SubsetAssignments(assigned, pending)

    def _assign_calendar(self, now_ms: float, subsets: SubsetAssignments, output: PlannerOutput) -> int:
        """Assigns the calendar as the budget allows; returns the number of messages.

        Calendars wait until a pass in which no proxy needs a subset; overdue ones only until all subsets are assigned.
        """
        overdue = self.overdue
        is_overdue = any(overdue.is_overdue(kind, now_ms) for kind in (UpdateKind.CALENDAR, UpdateKind.REMOVAL))
        may_assign = not subsets.pending and (is_overdue or not subsets.assigned) and not self.oversized.is_moving
        assigned = 0
        if may_assign and overdue.allows(UpdateKind.CALENDAR):
            # Calendars would refill the channel again and again before an ejection that waits for room fits.
            reserved_lines = 0.0 if overdue.is_overdue(UpdateKind.CALENDAR, now_ms) else self._ejection_lines()
            proxies = self.assigner.proxies_awaiting_calendar(now_ms)
            assigned = self.assigner.assign_calendar(proxies, output, reserved_lines)
        is_waiting = not self.fleet.all_proxies_have_calendar()
        overdue.record(UpdateKind.CALENDAR, now_ms, assigned > 0, is_waiting)
        return assigned

    def _ejection_lines(self) -> float:
        """Returns the lines that ejections which are not published yet take, in one message to each proxy."""
        waiting = sum(endpoint.awaits_ejection for endpoint in self.fleet.endpoints.values())
        if not waiting:
            return 0.0
        return len(self.fleet.proxies) * (self.budget.lines_per_message + 1 + waiting)

    def _reason_to_message_none(self, now_ms: float) -> HoldReason | None:
        """Returns why no change may be sent to all proxies in this pass; None if changes may be sent."""
        if self.budget.is_congested():
            return HoldReason.CONGESTED
        if now_ms < self._published_ms + self.budget.min_message_gap_ms:
            return HoldReason.MESSAGE_GAP
        if not self.budget.fits_limit(self._fixed_lines()):
            return HoldReason.NO_ROOM_FOR_HEADS
        return None

    def _may_publish_urgent(self, hold_reason: HoldReason) -> bool:
        """Whether urgent changes may be sent although others may not; they are then held to their own limits."""
        return hold_reason is not HoldReason.MESSAGE_GAP and not self.oversized.is_oversized()

    def _fixed_lines(self) -> float:
        """Returns the lines of messages to all proxies besides those of changes: heads and ack requests."""
        proxies = len(self.fleet.proxies)
        if self.oversized.is_oversized():
            proxies = Audience.of(self.fleet, is_oversized=True).reachable
        return proxies * (self.budget.lines_per_message + 1)

    def _schedule_retry(self, now_ms: float, output: PlannerOutput) -> None:
        """Requests an early control interval if urgent changes, assignments or overdue updates are still pending."""
        is_pending = self.fleet.has_urgent_change or not self.fleet.all_proxies_have_calendar()
        is_pending |= self.overdue.reserved is not None
        if is_pending and self._retry_ms <= now_ms:
            self._retry_ms = now_ms + URGENT_RETRY_MS
            output.set_timer(URGENT_TIMER, self._retry_ms)

    def publish_changes(
        self,
        now_ms: float,
        is_interval_due: bool,
        subsets_pending: bool,
        output: PlannerOutput,
        *,
        may_publish_others: bool = True,
    ) -> int:
        """Writes the differences between the wanted and the published state.

        While an urgent change waits for room in the channel, no other change takes it.

        Args:
            now_ms: Time of the control interval.
            is_interval_due: Whether to publish ordinary changes as well as urgent ones.
            subsets_pending: Whether subsets wait for the channel; other updates then get less of it.
            output: Receives the changes.
            may_publish_others: Whether changes that are not urgent may be published.

        Returns:
            The number of messages.
        """
        audience = Audience.of(self.fleet, self.oversized.is_oversized())
        written = WrittenUpdates(audience)
        due = sorted(
            self.changes.due(now_ms, audience.is_oversized), key=lambda change: self._publishing_order(change, now_ms)
        )
        release_lines = self.drain_deadlines.release_lines(audience)
        limits = ChangeLimits(self.budget, audience, self.budget.max_urgent_lines(subsets_pending), release_lines)
        urgent = self._whole_urgent_changes(due, audience)
        moved = self.drain_deadlines.move_proxies(urgent, audience, now_ms, output)
        if moved:
            audience = Audience.of(self.fleet)
            written = WrittenUpdates(audience)
            limits = ChangeLimits(self.budget, audience, limits.max_urgent_lines, limits.release_lines)
        if may_publish_others:
            urgent_lines = self._urgent_lines(due, urgent, audience)
            self.admission_updates.publish(now_ms, written, self._fixed_lines(), urgent_lines, output)
        else:
            self.admission_updates.record_waiting(now_ms)
        selected = self.urgent.select(urgent, written, limits.max_urgent_lines)
        held = {change.endpoint for change in urgent} - selected
        may_publish_others &= not held or self.overdue.is_overdue(UpdateKind.URGENT, now_ms)
        current = PublishingPass(now_ms, is_interval_due, may_publish_others, limits, written, selected, held)
        for change in due:
            self._publish_change(change, current, output)
        self._record_changes(now_ms, current.published, current.waiting)
        self._update_oversized(now_ms, [change for change in due if change.endpoint in current.waiting])
        self.budget.written_lines += written.lines + self.budget.lines_per_message * written.messages
        return moved + written.messages

    def _publish_change(self, change: EndpointChange, current: PublishingPass, output: PlannerOutput) -> None:
        """Writes a change, or the parts of it that fit, unless it has to wait."""
        state = self.fleet.endpoints[change.endpoint]
        limits, written = current.limits, current.written
        precedence = self._precedence(change, current.published, current.now_ms)
        for part in limits.parts_to_publish(change, state, written.lines, precedence):
            cost = limits.audience.line_cost(part, state)
            precedence = self._precedence(change, current.published, current.now_ms)
            fits = change.endpoint in current.selected or limits.fits(part, state, written.lines, precedence)
            if cost and not (fits and self._may_publish(change, current, precedence)):
                current.waiting[change.endpoint] = change.kind
                return
            written.add_change(part, state)
            self._write_change(part, output)
            if cost:
                current.published.add(change.kind)

    def _may_publish(self, change: EndpointChange, current: PublishingPass, precedence: Precedence) -> bool:
        """Whether a change is due, and waits for no other."""
        if change.kind is UpdateKind.URGENT:
            return change.endpoint not in current.held
        is_due = current.is_interval_due or precedence is not Precedence.NONE
        return is_due and current.may_publish_others and self.overdue.allows(change.kind)

    def _whole_urgent_changes(self, due: list[EndpointChange], audience: Audience) -> list[EndpointChange]:
        """Returns the urgent changes that fit an empty channel; others are published in parts, or by subsets."""
        if audience.is_oversized:
            return []
        urgent = [change for change in due if change.kind is UpdateKind.URGENT]
        return [change for change in urgent if self.urgent.fits_empty_channel(change, audience)]

    def _publishing_order(self, change: EndpointChange, now_ms: float) -> tuple[int, float]:
        """Returns the key to sort by: urgent changes, changes that have waited for too long, then the others."""
        since_ms = self._waiting_since_ms.get(change.endpoint, now_ms)
        is_kind_overdue = self.overdue.is_overdue(change.kind, now_ms)
        max_wait_ms = MAX_WAIT_MS if is_kind_overdue else MAX_OVERTAKEN_MS
        if change.kind is not UpdateKind.URGENT and now_ms - since_ms >= max_wait_ms:
            return 1, since_ms
        return (0 if change.kind is UpdateKind.URGENT else 2), change.rank

    def _precedence(self, change: EndpointChange, published: set[UpdateKind], now_ms: float) -> Precedence:
        """Returns which limit a change that is not urgent is held to; `published`: kinds published in this pass."""
        is_kind_overdue = self.overdue.reserved is change.kind
        if change.kind is UpdateKind.REMOVAL:
            is_kind_overdue = self.overdue.is_overdue(change.kind, now_ms)
        if not is_kind_overdue:
            return Precedence.NONE
        if change.kind not in published:
            return Precedence.FIRST_OF_KIND
        since_ms = self._waiting_since_ms.get(change.endpoint, now_ms)
        return Precedence.OVERDUE if now_ms - since_ms >= MAX_WAIT_MS else Precedence.NONE

    def _urgent_lines(self, due: list[EndpointChange], urgent: list[EndpointChange], audience: Audience) -> UrgentLines:
        """Returns the lines of the first of the changes that are due, if it is urgent, and of all whole urgent ones."""
        endpoints = self.fleet.endpoints
        is_first_urgent = bool(due) and due[0].kind is UpdateKind.URGENT
        first_lines = audience.line_cost(due[0], endpoints[due[0].endpoint]) if is_first_urgent else 0
        all_lines = sum(audience.line_cost(change, endpoints[change.endpoint]) for change in urgent)
        return UrgentLines(first_lines, all_lines)

    def _record_changes(self, now_ms: float, published: set[UpdateKind], waiting: dict[EndpointId, UpdateKind]) -> None:
        """Records which changes were published, and which are still due."""
        self.fleet.has_urgent_change |= UpdateKind.URGENT in waiting.values()  # retried at an early control interval
        self._waiting_since_ms = {endpoint: self._waiting_since_ms.get(endpoint, now_ms) for endpoint in waiting}
        for kind in (UpdateKind.URGENT, UpdateKind.ORDINARY):
            self.overdue.record(kind, now_ms, kind in published, kind in waiting.values())
        # A removal that waits for a proxy's calendar is not among the changes that are due.
        is_removal_waiting = bool(self.changes.removable(now_ms))
        self.overdue.record(UpdateKind.REMOVAL, now_ms, UpdateKind.REMOVAL in published, is_removal_waiting)

    def _update_oversized(self, now_ms: float, waiting: list[EndpointChange]) -> None:
        """Moves proxies to subsets, or stops doing so, if the fleet is oversized."""
        since_ms = [*self._waiting_since_ms.values(), *self.admission_updates.waiting_since_ms.values()]
        has_waited = now_ms - min(since_ms, default=now_ms) >= MAX_OVERTAKEN_MS
        self.oversized.update(waiting if self.oversized.is_oversized() else [], has_waited)

    def _record_waiting(self, now_ms: float) -> None:
        """Records what is due in a control interval in which nothing can be sent to all proxies."""
        due = list(self.changes.due(now_ms, self.oversized.is_oversized()))
        self._record_changes(now_ms, set(), {change.endpoint: change.kind for change in due})
        self.admission_updates.record_waiting(now_ms)
        self._update_oversized(now_ms, due)

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
