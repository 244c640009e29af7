"""The proxies that updates reach: how many lines a change takes over all of them, and how many messages."""

from collections import Counter
from dataclasses import dataclass, field

from quillstep.planner.endpoint_changes import EndpointChange
from quillstep.planner.messages import EndpointId
from quillstep.planner.state import EndpointState, FleetState


@dataclass(slots=True)
class Audience:
    """Numbers of proxies that updates reach, counted when publishing begins."""

    joined: int
    is_oversized: bool  # one line to each proxy exceeds the channel's limit
    ejections_reach_all: bool
    with_calendar: int
    table_users: dict[int, int]  # proxies with the calendar, by calendar table
    shared_tables: set[int]  # calendar tables that all proxies with the calendar use
    with_subsets: int  # proxies that use only a subset
    subset_users: Counter[EndpointId]  # proxies without the calendar, by endpoint of their subsets

    @classmethod
    def of(cls, fleet: FleetState, is_oversized: bool = False) -> "Audience":
        """Counts the joined proxies by their assigned tables."""
        zones = [proxy.zone for proxy in fleet.proxies.values() if proxy.has_calendar]
        table_users = {table.number: zones.count(table.zone) if table.zone else len(zones) for table in fleet.tables}
        shared_tables = {table.number for table in fleet.tables if not table.zone}
        waiting = [proxy.subsets for proxy in fleet.proxies.values() if not proxy.has_calendar]
        subset_users = Counter(endpoint for subsets in waiting for subset in subsets for endpoint in subset)
        with_subsets = sum(map(bool, waiting))
        joined = len(fleet.proxies)
        return cls(
            joined,
            is_oversized,
            fleet.ejections_reach_all,
            len(zones),
            table_users,
            shared_tables,
            with_subsets,
            subset_users,
        )

    @property
    def reachable(self) -> int:
        """The proxies whose message heads are reserved for any change; in an oversized fleet, those of weights only."""
        return self.with_calendar if self.is_oversized else self.joined

    def calendar_users(self, tables: set[int]) -> int:
        """Returns how many proxies with the calendar use any of these tables; a proxy uses that of one zone only."""
        if tables & self.shared_tables:
            return self.with_calendar
        return sum(self.table_users[table] for table in tables)

    @property
    def outside_subsets(self) -> int:
        """Proxies with the calendar or with tables of other controllers."""
        return self.joined - self.with_subsets

    @property
    def unassigned(self) -> int:
        """Proxies with neither the calendar nor a subset; they use tables of other controllers."""
        return self.outside_subsets - self.with_calendar

    def reaches_calendar_users(self, change: EndpointChange, state: EndpointState) -> bool:
        """Whether the proxies with the calendar count as recipients of an ejection or restoration.

        In an oversized fleet, they do not if no calendar lists the endpoint.  Weights are written before a restoration,
        so an endpoint that is added by the same change is listed.
        """
        is_listed = any(state.published_slots.values()) or any(change.slots.values())
        return is_listed or self.ejections_reach_all or not self.is_oversized

    def ejection_recipients(self, change: EndpointChange, state: EndpointState) -> int:
        """Returns how many proxies get an ejection or restoration; a table without the endpoint needs none."""
        is_counted_for_all = not change.is_ejected and not self.is_oversized
        if self.ejections_reach_all or is_counted_for_all:
            return self.joined
        calendar_users = self.with_calendar if self.reaches_calendar_users(change, state) else 0
        subset_users = self.subset_users[change.endpoint] if change.is_ejected else 0
        return self.unassigned + calendar_users + subset_users

    def exceeds_limit(self, change: EndpointChange, state: EndpointState) -> bool:
        """Whether a change exceeds even an empty channel, because it is sent to all proxies of an oversized fleet."""
        return self.is_oversized and self.ejections_reach_all and change.is_ejected != state.is_ejected

    def line_cost(self, change: EndpointChange, state: EndpointState) -> int:
        """Returns the lines that a change takes, over all proxies."""
        lines = sum(self.table_users[table] for table in change.slots)
        if change.is_ejected != state.is_ejected:
            lines += self.ejection_recipients(change, state)
        return lines


@dataclass(slots=True)
class WrittenUpdates:
    """The updates written in one call: lines over all proxies, and which proxies get a message."""

    audience: Audience
    lines: int = 0
    tables: set[int] = field(default_factory=set)  # calendar tables whose users get a message
    reaches_calendar_users: bool = False  # with an ejection or restoration
    reaches_unassigned: bool = False
    subset_messages: int = 0

    @property
    def messages(self) -> int:
        """Proxies that get a message."""
        audience = self.audience
        messages = audience.calendar_users(self.tables)
        if self.reaches_calendar_users:
            messages = audience.with_calendar
        if self.reaches_unassigned:
            messages += audience.unassigned
        return messages + min(self.subset_messages, audience.with_subsets)

    def add_admission(self, table: int, lines: int) -> None:
        """Adds the admission limits of a table."""
        if lines:
            self.lines += lines
            self.tables.add(table)

    def add_change(self, change: EndpointChange, state: EndpointState) -> None:
        """Adds a change of an endpoint; call before the published state is updated."""
        audience = self.audience
        self.lines += audience.line_cost(change, state)
        self.tables |= change.slots.keys()
        if change.is_ejected != state.is_ejected:
            self.reaches_unassigned = True
            reaches_calendar_users = audience.reaches_calendar_users(change, state)
            self.reaches_calendar_users |= reaches_calendar_users
            outside_subsets = audience.unassigned + (audience.with_calendar if reaches_calendar_users else 0)
            self.subset_messages += audience.ejection_recipients(change, state) - outside_subsets
