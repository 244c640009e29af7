"""Keeps releases within the drain grace that no order of ejections to all proxies can keep.

Ejecting many endpoints at many proxies can take longer than the grace, or exceed what may be queued.  A subset of the
calendar without these endpoints is a much shorter message, so proxies are moved to subsets, as many as necessary,
before the others are sent the ejections.  They are assigned the calendar again once no urgent change waits.
"""

from collections.abc import Sequence
from typing import NamedTuple

from quillstep.planner.assignment import TableAssigner
from quillstep.planner.audience import Audience
from quillstep.planner.endpoint_changes import EndpointChange
from quillstep.planner.messages import PlannerOutput
from quillstep.planner.state import FleetState
from quillstep.planner.update_budget import UpdateBudget
from quillstep.planner.urgent_updates import UpdateCost, UrgentUpdates

# Moving proxies costs a calendar for each of them later, so it has to save at least a quarter of the lines.
MAX_MOVE_COST_FRACTION = 0.75


class Release(NamedTuple):
    """Endpoints that drain, and when their ejections have to be in effect."""

    changes: Sequence[EndpointChange]
    audience: Audience
    cost: UpdateCost  # of one message with all ejections to each proxy
    deadline_ms: float


class DrainDeadlines:
    """Moves proxies to subsets while a release would miss its grace otherwise."""

    def __init__(self, fleet: FleetState, budget: UpdateBudget, assigner: TableAssigner, urgent: UrgentUpdates) -> None:
        self.fleet, self.budget, self.assigner, self.urgent = fleet, budget, assigner, urgent
        self._is_moving = False  # whether the last pass moved proxies, or had to

    def move_proxies(
        self, changes: Sequence[EndpointChange], audience: Audience, now_ms: float, output: PlannerOutput
    ) -> int:
        """Moves as many proxies to subsets as the release requires and the channel accepts.

        Args:
            changes: The urgent changes that are due.
            audience: The proxies that updates reach.
            now_ms: The current time.
            output: Receives the subsets.

        Returns:
            The number of messages.
        """
        release = self._release(changes, audience)
        if release is None or not (self._must_continue(release, now_ms) or self._must_move(release, now_ms)):
            self._is_moving = False
            return 0
        self._is_moving = True
        moved = self._proxies_to_move(release, now_ms)
        return self.assigner.assign_subsets(self._calendar_users()[:moved], output, may_fill_queue=True)

    def release_lines(self, audience: Audience) -> float:
        """Returns the lines of subsets for all proxies with the calendar, with which any release is kept in time."""
        if self.fleet.ejections_reach_all or audience.is_oversized:
            return 0.0
        return audience.with_calendar * self.assigner.subset_message_lines()

    def _release(self, changes: Sequence[EndpointChange], audience: Audience) -> Release | None:
        """Returns the release that is due; None if nothing drains, or if proxies cannot be moved.

        A front that sends each ejection to all proxies gains nothing from subsets.
        """
        endpoints = self.fleet.endpoints
        left_service_ms = [endpoints[change.endpoint].left_service_ms for change in changes]
        told_ms = [since_ms for since_ms in left_service_ms if since_ms is not None]
        has_limits = self.budget.rate_lines_per_ms and self.fleet.config.drain_grace_ms
        if not told_ms or not has_limits or self.fleet.ejections_reach_all or not self.assigner.has_subsets():
            return None
        deadline_ms = min(told_ms) + self.fleet.config.drain_grace_ms - self.fleet.config.max_update_delay_ms
        return Release(changes, audience, self.urgent.cost(changes, audience), deadline_ms)

    def _must_continue(self, release: Release, now_ms: float) -> bool:
        """Whether more proxies of a release are moved, because a subset is no longer than the ejections are.

        The subsets of the proxies moved so far are queued, so the ejections would have to wait for them.
        """
        subset_lines = self.assigner.subset_message_lines()
        is_subset_shorter = subset_lines <= self._lines_per_proxy(release)
        return self._is_moving and is_subset_shorter and not self._is_in_time(release, now_ms, 0, subset_lines)

    def _must_move(self, release: Release, now_ms: float) -> bool:
        """Whether the ejections alone would be late, and moving all proxies is faster by enough."""
        cost, rate = release.cost, self.budget.rate_lines_per_ms
        lots = self.urgent.fewest_lots(len(release.changes), cost)
        eject_lines = cost.lines + lots * cost.head_lines
        queued_ms = now_ms + self.budget.unproven_lines / rate
        if queued_ms + eject_lines / rate <= release.deadline_ms:
            return False
        move_lines = release.audience.with_calendar * self.assigner.subset_message_lines()
        is_in_time = queued_ms + move_lines / rate <= release.deadline_ms
        return move_lines < eject_lines and (is_in_time or move_lines <= MAX_MOVE_COST_FRACTION * eject_lines)

    def _proxies_to_move(self, release: Release, now_ms: float) -> int:
        """Returns how many proxies to move: the fewest that let the others be told in time, or as many as fit."""
        subset_lines = self.assigner.subset_message_lines()
        for moved in range(release.audience.with_calendar):
            if self._is_in_time(release, now_ms, moved, subset_lines):
                return moved
            if not self.budget.fits_limit((moved + 1) * subset_lines):
                return moved
        return release.audience.with_calendar

    def _is_in_time(self, release: Release, now_ms: float, moved: int, subset_lines: float) -> bool:
        """Whether one message to each proxy that is left fits behind the subsets, and takes effect within the grace.

        It may contain the limits of all classes besides the ejections.
        """
        with_calendar = release.audience.with_calendar
        others_lines = max(0.0, release.cost.total_lines - with_calendar * self._lines_per_proxy(release))
        lines_per_proxy = self._lines_per_proxy(release) + len(self.fleet.classes)
        lines = moved * subset_lines + others_lines + (with_calendar - moved) * lines_per_proxy
        finished_ms = now_ms + (self.budget.unproven_lines + lines) / self.budget.rate_lines_per_ms
        return self.budget.fits_limit(lines) and finished_ms <= release.deadline_ms

    def _lines_per_proxy(self, release: Release) -> float:
        """Returns the lines of one message with all ejections, its head and an ack request."""
        return len(release.changes) + self.budget.lines_per_message + 1

    def _calendar_users(self) -> list[int]:
        """Returns the proxies with the calendar, those with the fewest requests first."""
        proxies = self.fleet.proxies
        users = [number for number, proxy in proxies.items() if proxy.has_calendar]
        return sorted(users, key=lambda number: sum(proxies[number].request_rates))
