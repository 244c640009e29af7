"""One proxy: which changes to send it next, and how its acks and nacks are handled.

Performs no I/O and reads no clock; times are milliseconds.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from quillstep.routing.changes import AwaitedAck, Change, Nack, split_keys
from quillstep.routing.in_flight import InFlightState
from quillstep.routing.resources import (
    ADMISSION,
    CLUSTER,
    EJECTED,
    LISTENER,
    ROUTES,
    ROUTES_KEY,
    UNASSIGNED_KINDS,
    WEIGHT,
    Key,
    Resource,
    send_rank,
)

NACK_BACKOFF_MS = 100.0  # doubled with each consecutive nack
MAX_NACK_BACKOFF_FACTOR = 64.0
# Kinds that are sent again unchanged after a nack, and their first backoff in units of NACK_BACKOFF_MS.  Ejections are
# retried because drains must complete, the other kinds because all weights of a table depend on them.  The content of
# a cluster never changes: without a retry, a proxy that rejected it once would get no part of its table again.
NACK_BACKOFF_FACTORS = {EJECTED: 1.0, LISTENER: 8.0, CLUSTER: 8.0, ADMISSION: 8.0, ROUTES: 8.0}
MAX_AWAITED_ACKS = 32  # per proxy; serials are reused

# Whether a proxy has subscribed to a key, and the resource that it should hold under a key (None: none).
Subscribed = Callable[[Key], bool]
Desired = Callable[[Key], Resource | None]


@dataclass(slots=True)
class ProxyState(InFlightState):
    """The state of one connected proxy."""

    nacked: dict[Key, str | None] = field(default_factory=dict)  # versions that must not be sent again
    nack_retries_ms: dict[Key, float] = field(default_factory=dict)  # time of the next attempt, by rejected key
    nack_counts: dict[Key, int] = field(default_factory=dict)  # consecutive nacks of each rejected key
    split_updates: deque[list[Key]] = field(default_factory=deque)  # parts of rejected updates, sent one at a time
    split_retry_ms: float = 0.0  # time at which the next part is sent
    consecutive_nacks: int = 0
    assignments: dict[int, int] = field(default_factory=dict)  # table by class
    routed_tables: frozenset[int] = frozenset()  # tables named by acknowledged routes of this controller
    awaited_acks: deque[AwaitedAck] = field(default_factory=lambda: deque(maxlen=MAX_AWAITED_ACKS))
    warm_up_retry_ms: float = 0.0  # changes that add load to a warming endpoint wait until this time
    quota_retry_ms: float = 0.0  # nothing or only ejections are sent until this time

    def must_send(self, key: Key, desired: Resource | None) -> bool:
        """Whether a key is to be sent: it differs or must be resent, and this version was not rejected.

        A rejected version is withheld only while it stays the desired one: a second ejection of an endpoint is a new
        change, although it has the same version as the first.
        """
        version = desired.version if desired else None
        if key in self.nacked:
            if self.nacked[key] == version:
                return False
            del self.nacked[key]
        return self.newest_sent_version(key) != version or (key in self.must_resend and key not in self.in_flight)

    def changes_to_send(
        self, now_ms: float, subscribed: Subscribed, desired: Desired, atomic: bool = False
    ) -> list[Change]:
        """Returns the changes that should be sent now, in sending order.

        Keys that turn out not to differ are no longer pending; keys that may not be sent yet stay pending.

        Args:
            now_ms: The current time.
            subscribed: Whether the proxy has subscribed to a key.
            desired: The resource that the proxy should hold under a key.
            atomic: Whether the proxy applies all changes as one set, so that none has to wait for another.
        """
        self._retry_nacked(now_ms)
        remaining = self.message_quota.remaining(self.released_revision, now_ms)
        ejections_only = remaining <= self.message_quota.ejection_reserve
        if ejections_only:
            self.quota_retry_ms = self.message_quota.next_expiry_ms()
        if not remaining:
            return []
        # Other changes wait until all parts have been sent, but not if the remaining parts no longer differ.
        if (part := self.next_split_update(now_ms, subscribed, desired)) or self.split_updates:
            return part
        changes = self._pending_changes(subscribed, desired, ejections_only)
        if not atomic:
            changes = [change for change in changes if not self.must_wait(change, subscribed)]
        changes.sort(key=lambda change: send_rank(change.key, change.resource is None))
        return changes

    def _retry_nacked(self, now_ms: float) -> None:
        """Marks rejected keys whose backoff has expired as pending again."""
        for key in [key for key, due_ms in self.nack_retries_ms.items() if due_ms <= now_ms]:
            del self.nack_retries_ms[key]
            if self.nacked.pop(key, None) is not None:
                self.mark_pending(key, self.released_revision)

    def _pending_changes(self, subscribed: Subscribed, desired: Desired, ejections_only: bool) -> list[Change]:
        """Returns the released changes of the pending keys; keys that do not differ are no longer pending."""
        changes: list[Change] = []
        settled: list[Key] = []
        for key, revision in self.pending.items():
            if revision > self.released_revision or not subscribed(key):
                continue
            if not self.assignments and key[0] not in UNASSIGNED_KINDS:
                continue
            resource = desired(key)
            if self.must_send(key, resource):
                change = Change(key, resource)
                if not ejections_only or change.is_urgent:
                    changes.append(change)
            else:
                settled.append(key)
        for key in settled:
            del self.pending[key]
        return changes

    def next_split_update(self, now_ms: float, subscribed: Subscribed, desired: Desired) -> list[Change]:
        """Returns the next part of a rejected update; a part with only ejections does not wait for the backoff."""
        while self.split_updates:
            keys = self.split_updates[0]
            is_urgent = all(key[0] == EJECTED for key in keys)
            if now_ms < self.split_retry_ms and not is_urgent:
                return []
            self.split_updates.popleft()
            changes = [Change(key, desired(key)) for key in keys if subscribed(key)]
            changes = [change for change in changes if self.must_send(*change)]
            if changes:
                return changes
        return []

    def must_wait(self, change: Change, subscribed: Subscribed) -> bool:
        """Whether a change must wait for another (make before break).

        Routes wait until the tables that they name are fully acknowledged; a table is removed after the routes to it.
        This prevents routes to a missing table, and a proxy without a usable endpoint between two messages.  Routes
        that only change admission limits, on tables that the proxy's routes name already, do not wait.  It is unknown
        which tables are named by the routes of a proxy that comes from another controller: its tables stay until it
        has acknowledged new routes.
        """
        key, resource = change
        kind = key[0]
        if kind == ROUTES and resource:
            tables = {entry[1] for entry in resource.content}
            revision = self.pending.get(key, 0)
            return any(self.has_unacknowledged_parts(table, revision) for table in tables - self.routed_tables)
        if resource is None and kind in (CLUSTER, ADMISSION, WEIGHT) and key[1] not in self.assignments.values():
            are_routes_moving = ROUTES_KEY in self.pending or ROUTES_KEY in self.in_flight or ROUTES_KEY in self.nacked
            if kind == CLUSTER:
                return are_routes_moving and subscribed(ROUTES_KEY)
            # Removing a cluster also removes its weights; only the keys that remain are removed explicitly.
            cluster = (CLUSTER, key[1])
            is_cluster_held = cluster in self.acknowledged or cluster in self.in_flight
            return is_cluster_held or (are_routes_moving and subscribed(ROUTES_KEY))
        return False

    def has_unacknowledged_parts(self, table: int, revision: int) -> bool:
        """Whether any part of a table, as of this revision, has not been acknowledged yet."""
        if (CLUSTER, table) not in self.acknowledged:
            return True
        parts = ((CLUSTER, table), (ADMISSION, table))
        if any(key in self.pending and key not in self.nacked for key in parts):
            return True
        if any(key in self.in_flight for key in parts):
            return True
        for key, since in self.pending.items():
            if key[0] == WEIGHT and key[1] == table and since <= revision and key not in self.nacked:
                return True
        for key, in_flight in self.in_flight.items():
            if key[0] == WEIGHT and key[1] == table and in_flight.revision <= revision:
                return True
        return not any(key[0] == WEIGHT and key[1] == table for key in self.acknowledged)

    def limit_update(self, changes: list[Change], now_ms: float) -> list[Change]:
        """Returns the first changes, as many as one update to the proxy may contain.

        The limit prevents long stalls of requests while a proxy applies a complete table.  Ejections are sent without
        delay.  Additions precede the removals of what they replace, so that no part of an update leaves the proxy
        without a usable endpoint.
        """
        max_lines = self.ack_latency.max_lines()
        is_paused = now_ms < self.ack_latency.pause_until_ms
        if max_lines is None or (len(changes) <= max_lines and not is_paused):
            return changes
        if is_paused or any(update.type_url for update in self.in_flight_updates.values()):
            return [change for change in changes if change.is_urgent]
        return changes[:max_lines]

    def next_retry_ms(self, now_ms: float) -> float | None:
        """Returns when to try again to send rejected or waiting changes; None if there are none."""
        due_ms = [*self.nack_retries_ms.values()]
        if self.split_updates:
            due_ms.append(self.split_retry_ms)
        if self.pending:
            waits_ms = (self.ack_latency.pause_until_ms, self.warm_up_retry_ms, self.quota_retry_ms)
            due_ms += [wait_ms for wait_ms in waits_ms if wait_ms > now_ms]
        return min(due_ms, default=None)

    def record_ack(self, nonce: str, now_ms: float = 0.0) -> list[Change]:
        """Records an acknowledgement; returns the changes that it acknowledges, none for an unknown nonce."""
        update = self.end_in_flight(nonce, now_ms)
        if update is None:
            return []
        for key, resource in update.changes:
            if resource:
                self.acknowledged[key] = resource.version
                if key[0] == ROUTES:
                    self.routed_tables = frozenset(entry[1] for entry in resource.content)
            else:
                self.acknowledged.pop(key, None)
            if self.nacked or self.nack_counts:
                self.nacked.pop(key, None)
                self.nack_counts.pop(key, None)
            in_flight = self.in_flight.get(key)
            if in_flight and in_flight.nonce == nonce:
                del self.in_flight[key]
        self.consecutive_nacks = 0
        return update.changes

    def record_nack(self, nonce: str, reason: str, now_ms: float, indivisible: bool = False) -> Nack | None:
        """Records that the proxy rejected an update and keeps the resources that it had.

        An update of several changes is sent again in parts, never unchanged: one invalid weight must not block an
        ejection in the same update for ever.  A change that was rejected by itself is not sent again at this version,
        or after a backoff if its kind requires that (`NACK_BACKOFF_FACTORS`).

        Args:
            nonce: The nonce of the update.
            reason: The reason that the proxy gave.
            now_ms: The current time.
            indivisible: Whether the update cannot be sent in parts, so that each change counts as rejected by itself.

        Returns:
            The rejected changes; None for an unknown nonce.
        """
        update = self.end_in_flight(nonce, now_ms)
        if update is None:
            return None
        rejected = []
        is_isolated = indivisible or len(update.changes) == 1
        for key, resource in update.changes:
            in_flight = self.in_flight.get(key)
            if in_flight and in_flight.nonce == nonce:
                del self.in_flight[key]
                rejected.append(key)
                self.mark_pending(key, update.revision)
                if is_isolated:
                    self.nacked[key] = resource.version if resource else None
        if not is_isolated and rejected:
            self.split_updates.extend(split_keys(rejected))
        self.split_retry_ms = now_ms + NACK_BACKOFF_MS * min(MAX_NACK_BACKOFF_FACTOR, 2.0**self.consecutive_nacks)
        if is_isolated:
            self._back_off(rejected, now_ms)
        self.consecutive_nacks += 1
        return Nack(update.changes, reason, is_isolated)

    def _back_off(self, rejected: list[Key], now_ms: float) -> None:
        """Schedules the next attempt for rejected keys whose kind must be sent again unchanged."""
        for key in rejected:
            if key[0] in NACK_BACKOFF_FACTORS and self.nacked[key]:
                count = self.nack_counts[key] = self.nack_counts.get(key, 0) + 1
                factor = NACK_BACKOFF_FACTORS[key[0]] * 2.0 ** (count - 1)
                self.nack_retries_ms[key] = now_ms + NACK_BACKOFF_MS * min(MAX_NACK_BACKOFF_FACTOR, factor)

    def completed_acks(self) -> list[int]:
        """Returns the serials of the awaited acknowledgements that are complete, oldest first, each once.

        A revision is acknowledged when it has left the update channel and none of its keys is pending, in flight or
        rejected: the newest content of a key includes all earlier changes of that key.
        """
        completed: list[int] = []
        remaining: deque[AwaitedAck] = deque(maxlen=MAX_AWAITED_ACKS)
        for awaited in self.awaited_acks:
            if awaited.revision > self.released_revision:
                remaining.append(awaited)
                continue
            missing = {
                key for key in awaited.keys if key in self.pending or key in self.in_flight or key in self.nacked
            }
            if missing:  # a rejected key does not delay later acknowledgements
                remaining.append(AwaitedAck(awaited.revision, awaited.serial, missing))
            else:
                completed.append(awaited.serial)
        self.awaited_acks = remaining
        return completed
