"""Assigns tables to proxies: the calendar, or a temporary subset of it.

A proxy that joins keeps its tables until it is assigned the calendar.  When many proxies join at once, their calendars
fill the channel for seconds; a proxy that may have no usable endpoint is therefore first assigned a small subset.  A
subset is not updated: it only serves until the calendar is assigned.
"""

from collections.abc import Iterable, Iterator

from quillstep.planner.capacity import is_warm
from quillstep.planner.messages import EndpointId, PlannerOutput
from quillstep.planner.state import CONTROL_INTERVAL_MS, CalendarTable, FleetState, JoinedProxy
from quillstep.planner.update_budget import ASSUMED_RATE_FRACTION, UpdateBudget

FIRST_SUBSET_TABLE = 1000  # lower numbers are calendar tables

MAX_REORDERING_MS = 60 * CONTROL_INTERVAL_MS  # proxies that have waited for longer are not overtaken


class TableAssigner:
    """Assigns tables within the update budget; each assignment is one message to its proxy."""

    def __init__(self, fleet: FleetState, budget: UpdateBudget) -> None:
        self.fleet, self.budget = fleet, budget
        self._subsets: dict[int, list[EndpointId]] = {}  # endpoints by subset table
        self._limited_subsets: set[int] = set()  # subset tables that limits have been written for

    def proxies_without_usable_endpoint(self) -> list[int]:
        """Returns the proxies that need a subset before any other update, in the order they joined.

        All endpoints of a proxy that joins may be ejected or, after a start, missing from the endpoint list.  Such a
        proxy needs a subset if endpoints are ejected, or if sending the calendar to all waiting proxies would take
        much of the drain grace.
        """
        waiting = [number for number, proxy in self.fleet.proxies.items() if not proxy.has_calendar]
        ejected = self.fleet.ejected_endpoints()
        endpoints = self.fleet.endpoints
        calendar_lines = len(waiting) * (len(endpoints) + self.budget.lines_per_message)
        has_usable = any(state.published_slots and not state.is_ejected for state in endpoints.values())
        fits_grace = calendar_lines <= ASSUMED_RATE_FRACTION * self.budget.drain_grace_lines
        if not has_usable or (not ejected and fits_grace):
            return []
        return [number for number in waiting if may_lack_usable_endpoint(self.fleet.proxies[number], ejected)]

    def proxies_awaiting_calendar(self, now_ms: float) -> list[int]:
        """Returns the proxies without the calendar: by MAX_REORDERING_MS of waiting, then by request rate, descending.

        Proxies with few requests must not wait for all others that join meanwhile.
        """
        waiting = [
            ((now_ms - proxy.joined_ms) // MAX_REORDERING_MS, sum(proxy.request_rates), number)
            for number, proxy in self.fleet.proxies.items()
            if not proxy.has_calendar
        ]
        return [number for *_, number in sorted(waiting, reverse=True)]

    def assign_calendar(self, proxies: Iterable[int], output: PlannerOutput, reserved_lines: float = 0.0) -> int:
        """Assigns the calendar to proxies within the budget, in the given order; returns the number of messages.

        Args:
            proxies: The proxies, by number.
            output: Receives the assignments.
            reserved_lines: Lines of the channel's limit that are left to other updates.
        """
        size = len(self.fleet.endpoints)
        if reserved_lines:
            proxies = self._while_room_is_left(proxies, size + reserved_lines)
        return self._assign(proxies, True, size, output)

    def _while_room_is_left(self, proxies: Iterable[int], lines: float) -> Iterator[int]:
        """Yields proxies as long as so many lines fit the channel."""
        for number in proxies:
            if not self.budget.fits_limit(lines):
                return
            yield number

    def assign_subsets(self, proxies: Iterable[int], output: PlannerOutput, *, may_fill_queue: bool = False) -> int:
        """Assigns subsets to proxies within the budget, in the given order; returns the number of messages.

        Args:
            proxies: The proxies, by number.
            output: Receives the subsets.
            may_fill_queue: Whether only the channel's limit applies, because a drain waits for these subsets.
        """
        return self._assign(proxies, False, self.fleet.config.initial_table_size, output, may_fill_queue)

    def subset_message_lines(self) -> float:
        """Returns the lines of a message that assigns a subset, with its head and ack request."""
        shared_lines = zone_lines = 0
        for table in self.fleet.tables:
            lines = 1 + len(table.classes) + self._subset_size(table)
            if table.zone is None:
                shared_lines += lines
            else:
                zone_lines = max(zone_lines, lines)  # a proxy uses the table of one zone
        return self.budget.lines_per_message + 1 + shared_lines + zone_lines

    def _subset_size(self, table: CalendarTable) -> int:
        """Returns how many endpoints the first subset of a table has."""
        return len(self._subset_for(0, self._usable(self._published_endpoints(table), self.fleet.ejected_endpoints())))

    def has_subsets(self) -> bool:
        """Whether each calendar table lists an endpoint in service, so that subsets without the others exist."""
        endpoints = self.fleet.endpoints.values()
        return all(
            any(state.is_in_service and state.published_slots.get(table.number) for state in endpoints)
            for table in self.fleet.tables
        )

    def _assign(
        self,
        proxies: Iterable[int],
        is_calendar: bool,
        expected_lines: int,
        output: PlannerOutput,
        may_fill_queue: bool = False,
    ) -> int:
        budget, ejected, messages = self.budget, self.fleet.ejected_endpoints(), 0
        published = {table.number: self._published_endpoints(table) for table in self.fleet.tables}
        usable = {number: self._usable(endpoints, ejected) for number, endpoints in published.items()}
        for number in proxies:
            if not may_fill_queue and not budget.has_capacity_for_assignment(expected_lines):
                break
            proxy = self.fleet.proxies[number]
            proxy.subsets, proxy.has_calendar = [], is_calendar
            proxy.has_had_calendar |= is_calendar
            for table in self.fleet.tables:
                if table.zone not in (None, proxy.zone):
                    continue
                endpoints = published[table.number]
                if is_calendar:
                    output.assign_table(number, table.number, table.classes)
                else:
                    endpoints = self._assign_subset(number, table, usable[table.number], output)
                budget.written_lines += 1 + len(table.classes) + len(endpoints) + len(ejected.intersection(endpoints))
            budget.written_lines += budget.lines_per_message
            messages += 1
        return messages

    def _assign_subset(
        self, number: int, table: CalendarTable, usable: list[EndpointId], output: PlannerOutput
    ) -> list[EndpointId]:
        """Assigns a proxy a subset of one table, and returns the endpoints of the subset."""
        subset = self._subset_for(number, usable)
        subset_table = FIRST_SUBSET_TABLE + number * (1 + len(self.fleet.config.zones)) + table.number
        self._write_subset(subset_table, subset, table, output)
        if self.fleet.proxies[number].has_had_calendar:
            self._write_present_limits(subset_table, table, output)
        else:
            self._write_limits(subset_table, subset, table, output)
        self.fleet.proxies[number].subsets.append(subset)
        output.assign_table(number, subset_table, table.classes)
        return subset

    def _published_endpoints(self, table: CalendarTable) -> list[EndpointId]:
        return [id_ for id_, state in self.fleet.endpoints.items() if state.published_slots.get(table.number)]

    def _usable(self, published: list[EndpointId], ejected: set[EndpointId]) -> list[EndpointId]:
        """Returns the endpoints of a calendar table that subsets are of: those in service, if there are any."""
        endpoints = self.fleet.endpoints
        usable = [id_ for id_ in published if id_ not in ejected]
        return [id_ for id_ in usable if endpoints[id_].is_in_service] or usable

    def _subset_for(self, number: int, usable: list[EndpointId]) -> list[EndpointId]:
        """Returns every n-th usable endpoint of a calendar, from an offset that depends on the proxy's number."""
        step = max(1, len(usable) // max(1, self.fleet.config.initial_table_size))
        return usable[number % step :: step]

    def _write_subset(
        self, subset_table: int, subset: list[EndpointId], table: CalendarTable, output: PlannerOutput
    ) -> None:
        """Writes a subset with the calendar's slots, and removes the table's previous endpoints."""
        for endpoint in self._subsets.get(subset_table, ()):
            if endpoint not in subset:
                output.set_weight(subset_table, endpoint, 0)
        for endpoint in subset:
            slots = self.fleet.endpoints[endpoint].published_slots[table.number]
            output.set_weight(subset_table, endpoint, slots)
        self._subsets[subset_table] = subset

    def _write_limits(
        self, subset_table: int, subset: list[EndpointId], table: CalendarTable, output: PlannerOutput
    ) -> None:
        """Writes the present limits if all endpoints of a subset are warming up, as requests would overload them."""
        fleet = self.fleet
        has_warm = any(is_warm(fleet.config, fleet.endpoints[id_], fleet.now_ms) for id_ in subset)
        if fleet.config.admission == "none" or (has_warm and subset_table not in self._limited_subsets):
            return
        self._write_present_limits(subset_table, table, output)

    def _write_present_limits(self, subset_table: int, table: CalendarTable, output: PlannerOutput) -> None:
        """Writes the present limits and retry policies of the calendar table that a subset is of."""
        if self.fleet.config.admission == "none":
            return
        self._limited_subsets.add(subset_table)
        for index in table.classes:
            state = self.fleet.classes[index]
            output.set_admission(subset_table, [index], state.admission_limit, state.retry_policy)


def may_lack_usable_endpoint(proxy: JoinedProxy, ejected: set[EndpointId]) -> bool:
    """Whether all endpoints of one of a proxy's subsets, or of the tables it joined with, may be ejected."""
    return not proxy.subsets or any(subset and ejected.issuperset(subset) for subset in proxy.subsets)
