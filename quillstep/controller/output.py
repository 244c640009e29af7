"""Applies the planner's output to the tables, health check requests, timers and the log."""

from collections.abc import Callable, Iterable
from typing import Any, Protocol

from quillstep.controller.control_intervals import ControlIntervals
from quillstep.controller.endpoint_directory import EndpointDirectory
from quillstep.controller.update_release import UpdateRelease
from quillstep.routing import Tables
from quillstep.routing.versioned_tables import VersionedTables

# Names of the planner's calls in recordings and in the store's journal.
RECORDED_NAMES = {
    "set_weight": "line",
    "set_ejected": "withdraw",
    "assign_table": "bind",
    "set_admission": "level",
    "request_health_check": "probe",
    "request_ack": "receipt",
    "watch_endpoints": "watch_list",
    "set_timer": "wake",
    "log_note": "note",
}


class OutputTarget(Protocol):
    """The parts of a core that the planner's output is applied to."""

    tables: Tables
    versioned_tables: VersionedTables
    release: UpdateRelease
    endpoints: EndpointDirectory
    control_intervals: ControlIntervals[Any]
    health_check_requests: list[tuple[int, str, int]]
    table_offset: int
    log: Any


class CoreOutput:
    """The planner's output for one control interval of a core."""

    def __init__(self, core: OutputTarget) -> None:
        self.core = core

    def set_weight(self, table: int, endpoint: int, weight: float) -> None:
        """Sets an endpoint's weight in the table's next version; 0 removes the endpoint."""
        self.core.versioned_tables.set_weight(self.core.table_offset + table, endpoint, weight)

    def set_ejected(self, endpoint: int, ejected: bool) -> None:
        """Ejects an endpoint from all tables immediately, or restores it."""
        core = self.core
        status = "draining" if core.endpoints.states.get(endpoint) == "terminating" else "lost"
        core.tables.set_ejected(endpoint, ejected, status)
        address = "{}:{}".format(*core.tables.addresses.get(endpoint, ("", 0)))
        if ejected:
            core.release.mark_urgent(core.tables.revision)
            core.log.info("endpoint ejected", endpoint=endpoint, address=address, status=status)
        else:
            core.log.info("endpoint restored", endpoint=endpoint, address=address, status="ready")

    def assign_table(self, proxy: int, table: int, classes: Iterable[int]) -> None:
        """Assigns a table to a proxy, including the changes made so far in this interval."""
        self.core.versioned_tables.flush(self.core.table_offset + table)
        self.core.tables.assign_table(proxy, self.core.table_offset + table, classes)

    def set_admission(self, table: int, classes: Iterable[int], limit: float, retry_policy: int) -> None:
        """Sets the admission limit and retry policy of classes in the table's next version."""
        self.core.versioned_tables.set_admission(self.core.table_offset + table, classes, limit, retry_policy)

    def request_health_check(self, endpoint: int) -> None:
        """Requests one health check of an endpoint; ignored while its address is unknown."""
        if endpoint in self.core.tables.addresses:
            self.core.health_check_requests.append((endpoint, *self.core.tables.addresses[endpoint]))

    def request_ack(self, serial: int) -> None:
        """Requests an acknowledgement from the proxies that receive this interval's updates."""
        self.core.tables.request_ack(serial)

    def watch_endpoints(self) -> None:
        """Does nothing: the discovery client reconnects by itself and is then sent the updates that it missed."""

    def set_timer(self, token: int, at_ms: float) -> None:
        """Makes a control interval due at `at_ms`."""
        self.core.control_intervals.set_timer(token, at_ms)

    def log_note(self, text: str) -> None:
        """Logs a message of the planner."""
        self.core.log.info("planner note", note=text)


class RecordingOutput:
    """Appends each call to `calls`, as a list of its recorded name and arguments, and applies it."""

    def __init__(self, core: OutputTarget, calls: list[list[Any]]) -> None:
        self._output, self._calls = CoreOutput(core), calls

    def __getattr__(self, name: str) -> Callable[..., None]:
        method = getattr(self._output, name)

        def record(*arguments: Any) -> None:
            encodable = [list(each) if isinstance(each, range | tuple) else each for each in arguments]
            self._calls.append([RECORDED_NAMES[name], *encodable])
            method(*arguments)

        return record
