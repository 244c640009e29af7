"""Updates for a fleet so large that one line to each proxy exceeds the channel's limit of queued lines.

No update can reach all proxies of such a fleet at one time.  Proxies are therefore moved from the calendar to subsets
of it, one by one as the channel has room, until so few use the calendar that the update fits.  Then the calendar, which
includes the update, is assigned to all again.  This costs two messages to each proxy and takes seconds, so only urgent
changes, endpoints that are added or restored, and changes that have waited for long are worth it.
"""

from quillstep.planner.assignment import TableAssigner
from quillstep.planner.endpoint_changes import EndpointChange
from quillstep.planner.messages import PlannerOutput
from quillstep.planner.overdue_updates import UpdateKind
from quillstep.planner.state import FleetState
from quillstep.planner.update_budget import UpdateBudget


class OversizedFleet:
    """Moves proxies to subsets while an update waits that does not fit."""

    def __init__(self, fleet: FleetState, budget: UpdateBudget, assigner: TableAssigner) -> None:
        self.fleet, self.budget, self.assigner = fleet, budget, assigner
        self.is_moving = False

    def is_oversized(self) -> bool:
        """Whether one line to each proxy exceeds even an empty channel."""
        return not self.budget.fits_empty_channel(len(self.fleet.proxies) * (self.budget.lines_per_message + 2))

    def update(self, waiting: list[EndpointChange], has_waited: bool) -> None:
        """Starts or ends moving proxies.

        Args:
            waiting: The changes of endpoints that did not fit.
            has_waited: Whether any change has waited for long.
        """
        worthwhile = [change for change in waiting if self._is_worth_moving(change)]
        is_urgent = any(change.kind is UpdateKind.URGENT for change in worthwhile)
        may_start = is_urgent or self.fleet.all_proxies_have_calendar()
        self.is_moving = bool(worthwhile or has_waited) and self.is_oversized() and (self.is_moving or may_start)

    def _is_worth_moving(self, change: EndpointChange) -> bool:
        state = self.fleet.endpoints[change.endpoint]
        is_added = not any(state.published_slots.values()) and any(change.slots.values())
        is_restored = state.is_ejected and not change.is_ejected and change.kind is UpdateKind.ORDINARY
        return change.kind is UpdateKind.URGENT or is_added or is_restored

    def move(self, output: PlannerOutput) -> int:
        """Moves proxies to subsets, as the budget allows; returns the number of messages."""
        with_calendar = [number for number, proxy in self.fleet.proxies.items() if proxy.has_calendar]
        return self.assigner.assign_subsets(with_calendar, output)
