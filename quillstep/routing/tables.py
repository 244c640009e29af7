"""All tables of one controller, and the state of each connected proxy.

An update is written between `begin` and `commit`, which returns the size of each affected proxy's part in lines, as the
planner counts them.  `release` is called once a proxy's part has left the update channel; only then may a front send
the changes.  Performs no I/O and reads no clock; times are milliseconds.
"""

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from quillstep.routing.ack_latency import AckLatency, LineCostEstimate
from quillstep.routing.changes import AwaitedAck, Change, Nack
from quillstep.routing.desired_state import AdmissionLimit, DesiredState, Table, retry_policies_of
from quillstep.routing.message_quota import MessageQuota
from quillstep.routing.proxy_state import ProxyState
from quillstep.routing.resources import ADMISSION, CLUSTER, EJECTED, LISTENER_KEY, ROUTES, ROUTES_KEY, WEIGHT, Key
from quillstep.routing.retry_policies import RetryPolicies
from quillstep.routing.unacknowledged import SaturationGuard


class ProxyUpdate(NamedTuple):
    """One proxy's part of an update; it waits in the update channel as `lines` lines until it may be released."""

    proxy: int
    revision: int
    lines: float


class Tables(DesiredState):
    """The desired state, and in `proxies` the state of each connected proxy by its number."""

    proxy_state_type: type[ProxyState] = ProxyState

    def __init__(
        self,
        admission: str,
        default_retry_policy: int,
        lines_per_message: float,
        *,
        max_ack_delay_ms: float = 0.0,
        max_stall_ms: float = 0.0,
        retry_policies: RetryPolicies | None = None,
        max_messages: int = 0,
        message_window_ms: float = 0.0,
    ) -> None:
        """Creates an instance without tables and proxies.

        Args:
            admission: The kind of admission limits: share, rate or none.
            default_retry_policy: The retry policy of classes for which none is set.
            lines_per_message: The overhead of a message in the update channel, in lines.
            max_ack_delay_ms: How long an update may be unacknowledged before it is late; 0: updates are never late.
            max_stall_ms: The longest time that one update may stall a proxy; 0: no limit.
            retry_policies: Records the policies in effect at each proxy.
            max_messages: The limit of messages to one proxy within `message_window_ms`; 0: no limit.
            message_window_ms: See `max_messages`.
        """
        super().__init__(admission, default_retry_policy)
        self.lines_per_message = lines_per_message
        self.max_ack_delay_ms, self.max_stall_ms = max_ack_delay_ms, max_stall_ms
        self.message_limit = (max_messages, message_window_ms)
        self.retry_policies = retry_policies or RetryPolicies([], [])
        self.line_cost = LineCostEstimate()
        self.proxies: dict[int, ProxyState] = {}
        self.saturation = SaturationGuard(self, self.proxies)
        self.revision = 0  # revision of the newest update
        self.pending_proxies: set[int] = set()  # proxies that may have changes to be sent
        self.ack_candidates: set[int] = set()  # proxies that may have completed an awaited acknowledgement
        # The update that is being written: lines and keys by proxy, and the serial of the requested acknowledgement.
        self.update_lines: dict[int, float] = {}
        self.update_keys: dict[int, set[Key]] = {}
        self.ack_serial: int | None = None

    # proxies

    def add_proxy(self, proxy: int, zone: str, reported: Mapping[Key, str]) -> ProxyState:
        """Adds a proxy that opened a stream; it keeps the versions that it reports until it is assigned a table."""
        latency = AckLatency(self.max_ack_delay_ms, self.max_stall_ms, self.line_cost.line_ms())
        state = self.proxy_state_type(proxy, zone, latency, MessageQuota(*self.message_limit), dict(reported))
        state.released_revision = self.revision
        self.remove_proxy(proxy)
        self.proxies[proxy] = state
        return state

    def remove_proxy(self, proxy: int) -> None:
        """Removes a proxy whose stream has closed."""
        state = self.proxies.pop(proxy, None)
        self.pending_proxies.discard(proxy)
        if state:
            for table in set(state.assignments.values()):
                self.tables[table].proxies.discard(proxy)

    def add_reported(self, proxy: int, reported: Mapping[Key, str]) -> None:
        """Adds the versions that a proxy reports in its first request for a further type."""
        state = self.proxies[proxy]
        if ROUTES_KEY in reported:
            self.retry_policies.add_proxy(proxy, False, self.default_retry_policy)
        for key, version in reported.items():
            if key not in state.in_flight:
                state.acknowledged[key] = version
            if state.assignments:
                state.mark_pending(key, state.released_revision)
        self.pending_proxies.add(proxy)

    def subscribe(self, proxy: int, keys: Iterable[Key], resend: bool) -> None:
        """Marks keys that a proxy subscribes to as pending; `resend`: they are sent even if the proxy holds them."""
        state = self.proxies[proxy]
        for key in keys:
            if key[0] == EJECTED and not state.assignments and not resend:
                continue  # ejections from before the proxy joined are sent and counted with its first table
            if resend and key not in state.in_flight:
                state.acknowledged.pop(key, None)
                state.must_resend.add(key)
            state.mark_pending(key, state.released_revision)
        self.pending_proxies.add(proxy)

    # updates

    def begin(self) -> None:
        """Begins an update."""
        self.revision += 1
        self.update_lines, self.update_keys, self.ack_serial = {}, {}, None

    def set_address(self, endpoint: int, host: str, port: int) -> None:
        """Sets an endpoint's address; a new address changes every resource that contains the endpoint."""
        if self.addresses.get(endpoint) == (host, port):
            return
        has_moved = endpoint in self.addresses
        self.addresses[endpoint] = (host, port)
        if has_moved:
            for number, table in self.tables.items():
                if endpoint in table.weights:
                    self._mark_changed((WEIGHT, number, endpoint), table.proxies, 0.0)
            if endpoint in self.ejected:
                self._mark_changed((EJECTED, endpoint), self.proxies, 0.0)

    def set_weight(self, table: int, endpoint: int, weight: float) -> None:
        """Sets an endpoint's weight in a table; 0 removes the endpoint."""
        record = self.tables.setdefault(table, Table())
        if weight > 0:
            record.weights[endpoint] = weight
        else:
            record.weights.pop(endpoint, None)
        self._mark_changed((WEIGHT, table, endpoint), record.proxies, 1.0)

    def set_ejected(self, endpoint: int, ejected: bool, status: str) -> None:
        """Ejects an endpoint from all tables of all proxies (`status`: draining or lost), or restores it."""
        if ejected:
            self.ejected[endpoint] = status
        else:
            self.ejected.pop(endpoint, None)
        self._mark_changed((EJECTED, endpoint), self.proxies, 1.0)

    def set_admission(self, table: int, classes: Iterable[int], limit: float, retry_policy: int) -> None:
        """Sets the admission limit and retry policy of these classes in a table."""
        record = self.tables.setdefault(table, Table())
        for class_index in classes:
            record.admission[class_index] = AdmissionLimit(limit, retry_policy)
        self.shared_resources.pop((ADMISSION, table), None)
        for proxy in record.proxies:
            self._mark_pending(proxy, ROUTES_KEY, 1.0)
            if self.admission == "share":
                self._mark_pending(proxy, (ADMISSION, table), 0.0)

    def assign_table(self, proxy: int, table: int, classes: Iterable[int]) -> None:
        """Assigns a table to a proxy for these classes; does nothing if the proxy is not connected."""
        state = self.proxies.get(proxy)
        if state is None:
            return
        record = self.tables.setdefault(table, Table())
        assigned = list(classes)
        is_first = not state.assignments
        before = set(state.assignments.values())
        state.assignments.update(dict.fromkeys(assigned, table))
        after = set(state.assignments.values())
        for unassigned in before - after:
            self.tables[unassigned].proxies.discard(proxy)
            self._mark_pending(proxy, (CLUSTER, unassigned), 0.0)
        record.proxies.add(proxy)
        # As the planner counts it, an assignment costs one line, plus one for each class, weight and ejection in it.
        ejected = sum(endpoint in self.ejected for endpoint in record.weights)
        self._mark_pending(proxy, (CLUSTER, table), 1.0 + len(assigned) + len(record.weights) + ejected)
        self._mark_pending(proxy, (ADMISSION, table), 0.0)
        for endpoint in record.weights:
            self._mark_pending(proxy, (WEIGHT, table, endpoint), 0.0)
        self._mark_pending(proxy, ROUTES_KEY, 0.0)
        if table not in before:
            self._mark_retained_weights(proxy, state, table)
        if is_first:
            self._mark_first_assignment(proxy, state)

    def _mark_retained_weights(self, proxy: int, state: ProxyState, table: int) -> None:
        """Marks the weights that a proxy retains from an earlier assignment of a table; some may have been removed."""
        for key in [*state.acknowledged, *state.in_flight]:
            if key[0] == WEIGHT and key[1] == table:
                self._mark_pending(proxy, key, 0.0)

    def _mark_first_assignment(self, proxy: int, state: ProxyState) -> None:
        """Marks the keys that a proxy is sent with its first table, and all that it has retained until now."""
        self._mark_pending(proxy, LISTENER_KEY, 0.0)
        for endpoint in self.ejected:
            self._mark_pending(proxy, (EJECTED, endpoint), 0.0)
        for key in list(state.acknowledged):
            self._mark_pending(proxy, key, 0.0)

    def request_ack(self, serial: int) -> None:
        """Requests an acknowledgement from each proxy that this update changes; see `completed_acks`."""
        self.ack_serial = serial

    def commit(self) -> list[ProxyUpdate]:
        """Ends an update; returns each proxy's part, in the sequence in which proxies were first affected."""
        updates = []
        for proxy, lines in self.update_lines.items():
            state = self.proxies.get(proxy)
            if state is None:
                continue
            if not lines:
                lines = 1.0  # an address changed, which is sent as a line that the planner has not counted
            extra = self.lines_per_message
            if self.ack_serial is not None:
                extra += 1.0
                state.awaited_acks.append(AwaitedAck(self.revision, self.ack_serial, self.update_keys[proxy]))
            updates.append(ProxyUpdate(proxy, self.revision, lines + extra))
        self.update_lines, self.update_keys = {}, {}
        return updates

    def _mark_changed(self, key: Key, proxies: Iterable[int], lines: float) -> None:
        """Discards the cached resource of a changed key and marks the key as pending at these proxies."""
        self.shared_resources.pop(key, None)
        for proxy in proxies:
            self._mark_pending(proxy, key, lines)

    def _mark_pending(self, proxy: int, key: Key, lines: float) -> None:
        self.proxies[proxy].mark_pending(key, self.revision)
        self.update_lines[proxy] = self.update_lines.get(proxy, 0.0) + lines
        self.update_keys.setdefault(proxy, set()).add(key)

    # fronts

    def desired_keys(self, proxy: int) -> list[Key]:
        """Returns all keys that a proxy should hold, except those that it retains while it has no table."""
        return self.keys_of(self.proxies[proxy])

    def release(self, proxy: int, revision: int) -> None:
        """Allows a proxy's part of an update to be sent, because it has left the update channel."""
        state = self.proxies.get(proxy)
        if state and revision > state.released_revision:
            state.released_revision = revision
            self.pending_proxies.add(proxy)
            self.ack_candidates.add(proxy)

    def changes_to_send(
        self, proxy: int, now_ms: float, subscribed: Callable[[Key], bool], atomic: bool = False
    ) -> list[Change]:
        """Returns the changes that a front should send to a proxy now; see `ProxyState.changes_to_send`."""
        state = self.proxies[proxy]
        self.ack_candidates.add(proxy)
        changes = state.changes_to_send(now_ms, subscribed, lambda key: self.desired_resource(state, key), atomic)
        if self.saturation.warming_up and changes:
            changes = self.saturation.without_saturating(state, changes, now_ms)
        if self.retry_policies.is_unknown(proxy):
            self._record_reported_policies(state, now_ms)
        return changes

    def _record_reported_policies(self, state: ProxyState, now_ms: float) -> None:
        """Records the retry policies of a proxy whose reported routes are the desired ones."""
        if not state.assignments or ROUTES_KEY not in state.acknowledged or ROUTES_KEY in state.pending:
            return
        routes = self.desired_routes(state)
        if routes and routes.version == state.acknowledged[ROUTES_KEY]:
            self.retry_policies.record_reported(state.proxy, retry_policies_of(routes), now_ms)

    def record_sent(self, proxy: int, nonce: str, changes: list[Change], now_ms: float, type_url: str = "") -> None:
        """Records that a front has sent these changes as one response."""
        state = self.proxies[proxy]
        state.record_sent(nonce, changes, now_ms, type_url)
        if changes:
            state.message_quota.count(state.released_revision, now_ms)
        for key, resource in changes:
            if key[0] == ROUTES and resource:
                self.retry_policies.record_sent(proxy, nonce, retry_policies_of(resource))

    def record_ack(self, proxy: int, nonce: str, now_ms: float = 0.0) -> list[Change]:
        """Records an acknowledgement; returns the changes that it acknowledges, none for an unknown nonce."""
        self.pending_proxies.add(proxy)
        self.ack_candidates.add(proxy)
        state = self.proxies[proxy]
        acknowledged = state.record_ack(nonce, now_ms)
        if acknowledged:
            self.retry_policies.record_ack(proxy, nonce, now_ms)
            if state.ack_latency.last_line_ms is not None:
                self.line_cost.add(state.ack_latency.last_line_ms)
                state.ack_latency.last_line_ms = None
        return acknowledged

    def record_nack(self, proxy: int, nonce: str, reason: str, now_ms: float, indivisible: bool = False) -> Nack | None:
        """Records that a proxy rejected an update; see `ProxyState.record_nack`."""
        self.pending_proxies.add(proxy)
        self.retry_policies.record_nack(proxy, nonce)
        return self.proxies[proxy].record_nack(nonce, reason, now_ms, indivisible)

    def completed_acks(self) -> list[int]:
        """Returns the serials of acknowledgements completed since the last call, once for each proxy."""
        completed: list[int] = []
        for proxy in sorted(self.ack_candidates):
            if state := self.proxies.get(proxy):
                completed += state.completed_acks()
        self.ack_candidates.clear()
        return completed
