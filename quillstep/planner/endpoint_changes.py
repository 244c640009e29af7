"""The changes of endpoints that are due: slots that differ from the published ones, ejections and removals.

Slots are published if they differ from the published value by more than MIN_RELATIVE_CHANGE.  An endpoint without slots
is ejected, which applies to all tables of a proxy, whichever controller wrote them.
"""

from collections.abc import Iterator
from typing import NamedTuple

from quillstep.planner.calendar import SLOTS_PER_ENDPOINT, Calendar
from quillstep.planner.capacity import is_warm
from quillstep.planner.messages import EndpointId
from quillstep.planner.overdue_updates import UpdateKind
from quillstep.planner.state import CONTROL_INTERVAL_MS, EndpointState, FleetState

MIN_RELATIVE_CHANGE = 0.1  # smaller changes, relative to the published value, are not published
URGENT_RANK = -1e9  # ranks up to this: drains, failures, and warming endpoints that must lose slots
ADDED_ENDPOINT_SLOTS = 3 * SLOTS_PER_ENDPOINT  # minimum size by which an added or restored endpoint is ranked
DELISTED_RETENTION_MS = 20 * CONTROL_INTERVAL_MS  # time until a delisted endpoint is removed from the tables


class EndpointChange(NamedTuple):
    """A change of one endpoint that is due; changes are published in ascending order of rank."""

    rank: float
    endpoint: EndpointId
    slots: dict[int, int]  # by table number
    is_ejected: bool
    is_removal: bool = False

    @property
    def kind(self) -> UpdateKind:
        """Urgent changes are published at once, before all others."""
        if self.rank <= URGENT_RANK:
            return UpdateKind.URGENT
        return UpdateKind.REMOVAL if self.is_removal else UpdateKind.ORDINARY

    def parts(self, state: EndpointState) -> list["EndpointChange"]:
        """Returns the change as changes of at most one line to each proxy, in the order in which they must be made.

        Weights precede a restoration: an endpoint must not be used with the weights that it had before.
        """
        moved = {table: slots for table, slots in self.slots.items() if slots != state.published_slots.get(table, 0)}
        weights = [self._replace(slots={table: slots}, is_ejected=state.is_ejected) for table, slots in moved.items()]
        return [*weights, self._replace(slots={})] if self.is_ejected != state.is_ejected else weights


class EndpointChanges:
    """Compares the wanted with the published state of each endpoint."""

    def __init__(self, fleet: FleetState, calendar: Calendar) -> None:
        self.fleet, self.calendar = fleet, calendar

    def due(self, now_ms: float, is_oversized: bool = False) -> Iterator[EndpointChange]:
        """Yields the changes that are due.

        Args:
            now_ms: The current time.
            is_oversized: Whether changes are published while most proxies use subsets (see `OversizedFleet`).
        """
        wanted = {table.number: self.calendar.slots(table.zone, now_ms) for table in self.fleet.tables}
        retained = self._endpoints_in_subsets() if is_oversized else None
        can_remove = self.fleet.all_proxies_have_calendar() or retained is not None
        for id_, state in self.fleet.endpoints.items():
            slots = {table: calendar.get(id_, 0) for table, calendar in wanted.items()}
            if can_remove and id_ not in (retained or ()) and self._is_removable(state, now_ms):
                yield EndpointChange(0.0, id_, dict.fromkeys(state.published_slots, 0), False, True)
            elif any(slots.values()):
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
        return not state.is_in_service or not is_warm(self.fleet.config, state, now_ms)

    def _endpoints_in_subsets(self) -> set[EndpointId] | None:
        """Returns the endpoints that any proxy's subset lists; None while a proxy uses another controller's tables."""
        listed: set[EndpointId] = set()
        for proxy in self.fleet.proxies.values():
            if not proxy.has_calendar and not proxy.subsets:
                return None
            listed.update(*proxy.subsets)
        return listed

    def removable(self, now_ms: float) -> list[EndpointId]:
        """Returns the delisted endpoints that are removed from the tables once all proxies have the calendar."""
        return [id_ for id_, state in self.fleet.endpoints.items() if self._is_removable(state, now_ms)]

    def _is_removable(self, state: EndpointState, now_ms: float) -> bool:
        """Whether a delisted endpoint is to be removed from the tables.

        Endpoints are replaced under new ids all the time, so tables would grow without removal.  Removal restores the
        ejected endpoint, so it waits until all proxies have the calendar: others may still hold the endpoint.
        """
        return (
            state.delisted_ms is not None and now_ms - state.delisted_ms >= DELISTED_RETENTION_MS and state.is_ejected
        )
