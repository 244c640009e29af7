"""Converts the planner's output to updates, one for each proxy that a control interval affects.  Performs no I/O."""

from collections.abc import Callable, Iterable

from quillstep.platform.protocol.update_messages import (
    Admission,
    ProxyChanges,
    TableAssignments,
    UpdateEncoder,
)

MAX_REQUESTED_ACKS = 64  # per proxy; a proxy acknowledges in order, so older ones are lost


class ProxyStream:
    """State that a proxy has been sent on its stream."""

    __slots__ = ("assignments", "ejected", "requested_acks")

    def __init__(self) -> None:
        self.assignments: TableAssignments = ()
        self.ejected: frozenset[str] = frozenset()
        self.requested_acks: dict[int, None] = {}  # serials, oldest first

    def request_ack(self, serial: int) -> None:
        """Expect an ack of this serial, and no longer one of the oldest if too many are missing."""
        self.requested_acks[serial] = None
        if len(self.requested_acks) > MAX_REQUESTED_ACKS:
            del self.requested_acks[next(iter(self.requested_acks))]


class ProtocolOutput:
    """Implements `PlannerOutput`: stores the current tables, assignments, admission and ejections.

    `flush` ends a control interval and returns its updates.  Health checks, timers and notes are passed on to the given
    callables.
    """

    def __init__(
        self,
        class_names: list[str],
        request_health_check: Callable[[str], None],
        set_timer: Callable[[int, float], None],
        log_note: Callable[[str], None],
    ) -> None:
        self.class_names = class_names
        self.request_health_check, self.set_timer, self.log_note = request_health_check, set_timer, log_note
        self.tables: dict[int, dict[str, float]] = {}  # weights by table and endpoint
        self.admission: dict[int, dict[int, Admission]] = {}  # by table and class
        self.ejected: set[str] = set()
        self.proxies: dict[int, ProxyStream] = {}
        self._begin_interval()

    def _begin_interval(self) -> None:
        self.changed_weights: dict[int, dict[str, float]] = {}  # by table and endpoint
        self.changed_admission: dict[int, set[int]] = {}  # classes by table
        self.newly_assigned: dict[int, set[int]] = {}  # classes by proxy
        self.changed_ejections: dict[str, bool] = {}
        self.ack_serial: int | None = None
        # Cache: endpoints of the assigned tables at the end of this interval.
        self.assigned_endpoints: dict[TableAssignments, frozenset[str]] = {}

    # Streams

    def add_proxy(self, proxy: int) -> None:
        """Add a proxy whose stream has opened; nothing has been sent on it."""
        self.proxies[proxy] = ProxyStream()

    def remove_proxy(self, proxy: int) -> None:
        """Remove a proxy whose stream has closed."""
        self.proxies.pop(proxy, None)

    def accept_ack(self, proxy: int, serial: int) -> bool:
        """Record an ack; return False if it was not requested from this proxy or was already received."""
        stream = self.proxies.get(proxy)
        if stream is None or serial not in stream.requested_acks:
            return False
        del stream.requested_acks[serial]
        return True

    # PlannerOutput

    def set_weight(self, table: int, endpoint: str, weight: float) -> None:
        """Set an endpoint's weight in a table; 0 removes it."""
        weights = self.tables.setdefault(table, {})
        if weight:
            weights[endpoint] = weight
        else:
            weights.pop(endpoint, None)
        self.changed_weights.setdefault(table, {})[endpoint] = weight

    def set_ejected(self, endpoint: str, ejected: bool) -> None:
        """Eject an endpoint from all tables, or restore it."""
        if ejected:
            self.ejected.add(endpoint)
        else:
            self.ejected.discard(endpoint)
        self.changed_ejections[endpoint] = ejected

    def assign_table(self, proxy: int, table: int, classes: Iterable[int]) -> None:
        """Assign a table to a proxy for the given classes, or for all classes if none are given.

        No effect if the proxy is not connected.
        """
        if proxy not in self.proxies:
            return
        assigned = set(classes) or set(range(len(self.class_names)))
        stream = self.proxies[proxy]
        classes_by_table = {other: set(indexes) - assigned for other, indexes in stream.assignments}
        classes_by_table.setdefault(table, set()).update(assigned)
        stream.assignments = tuple(
            (other, tuple(sorted(indexes))) for other, indexes in sorted(classes_by_table.items()) if indexes
        )
        self.newly_assigned.setdefault(proxy, set()).update(assigned)
        self.tables.setdefault(table, {})

    def set_admission(self, table: int, classes: Iterable[int], limit: float, retry_policy: int) -> None:
        """Set admission limit and retry policy of the given classes, or of all classes if none are given."""
        for class_index in set(classes) or range(len(self.class_names)):
            self.admission.setdefault(table, {})[class_index] = Admission(limit, retry_policy)
            self.changed_admission.setdefault(table, set()).add(class_index)

    def request_ack(self, serial: int) -> None:
        """Request an ack with this serial from each proxy that this interval updates."""
        self.ack_serial = serial

    def watch_endpoints(self) -> None:
        """Do nothing: the discovery watch reconnects by itself and resumes from its last revision."""

    # Updates

    def flush(self) -> list[tuple[int, bytes]]:
        """End the control interval; return its encoded updates as pairs of proxy and update."""
        encoder = UpdateEncoder(
            self.class_names,
            self.tables,
            self.admission,
            self.changed_weights,
            self.changed_admission,
            self.ack_serial,
        )
        updates = []
        for proxy, stream in self.proxies.items():
            update = encoder.encode(self._proxy_changes(proxy, stream))
            if update:
                updates.append((proxy, update))
                if self.ack_serial is not None:
                    stream.request_ack(self.ack_serial)
        self._begin_interval()
        return updates

    def _proxy_changes(self, proxy: int, stream: ProxyStream) -> ProxyChanges:
        newly_assigned = frozenset(self.newly_assigned.get(proxy, ()))
        ejected, already_sent = self._ejected_endpoints(stream, bool(newly_assigned))
        changes = ProxyChanges(stream.assignments, newly_assigned, ejected - already_sent, stream.ejected - ejected)
        stream.ejected = ejected
        return changes

    def _ejected_endpoints(self, stream: ProxyStream, is_reassigned: bool) -> tuple[frozenset[str], frozenset[str]]:
        """Return the endpoints ejected at a proxy after this interval, and those whose ejection is not sent again.

        A proxy is sent the ejected endpoints of its tables; while any of its classes has no table, also every endpoint
        ejected since the proxy connected.  After an assignment the ejected endpoints of its tables are sent again: from
        then on the proxy applies only the state that this controller has sent, and may have discarded earlier
        ejections.
        """
        if not (is_reassigned or self.changed_ejections or self.changed_weights):
            return stream.ejected, stream.ejected
        assigned = self._endpoints_of(stream.assignments)
        ejected = (stream.ejected | assigned) & self.ejected  # a sent ejection stays in effect until it is restored
        if sum(len(classes) for _, classes in stream.assignments) < len(self.class_names):
            ejected |= {endpoint for endpoint, is_ejected in self.changed_ejections.items() if is_ejected}
        return frozenset(ejected), stream.ejected - assigned if is_reassigned else stream.ejected

    def _endpoints_of(self, assignments: TableAssignments) -> frozenset[str]:
        endpoints = self.assigned_endpoints.get(assignments)
        if endpoints is None:
            endpoints = frozenset(endpoint for table, _ in assignments for endpoint in self.tables[table])
            self.assigned_endpoints[assignments] = endpoints
        return endpoints
