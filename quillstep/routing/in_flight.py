"""What one proxy was sent and what it has acknowledged.  Performs no I/O and reads no clock; times are milliseconds.

A proxy counts as holding only the versions that it has acknowledged or reported itself.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from quillstep.routing.ack_latency import IN_TIME, LOST, AckDelay, AckLatency
from quillstep.routing.changes import Change, InFlightUpdate, InFlightVersion
from quillstep.routing.message_quota import MessageQuota
from quillstep.routing.resources import Key


@dataclass(slots=True)
class InFlightState:
    """The pending, in-flight and acknowledged versions of one proxy.  `proxy` is the proxy's number."""

    proxy: int
    zone: str
    ack_latency: AckLatency = field(default_factory=AckLatency)
    message_quota: MessageQuota = field(default_factory=MessageQuota)
    acknowledged: dict[Key, str] = field(default_factory=dict)  # versions, including those that the proxy reported
    # Keys that may differ from the desired state, and the revision since which they may.
    pending: dict[Key, int] = field(default_factory=dict)
    must_resend: set[Key] = field(default_factory=set)  # keys to send even if the proxy holds the desired version
    in_flight_updates: dict[str, InFlightUpdate] = field(default_factory=dict)  # keyed by nonce, in sending order
    in_flight: dict[Key, InFlightVersion] = field(default_factory=dict)
    released_revision: int = 0  # revisions up to this one have left the update channel
    unreported_delays: list[AckDelay] = field(default_factory=list)  # lost updates that are not logged yet
    reported_statuses: dict[str, str] = field(default_factory=dict)  # last logged status of each nonce in flight

    def mark_pending(self, key: Key, revision: int) -> None:
        """Marks that a key may differ since a revision.

        An earlier mark stays: a change that has already been released must not wait for a later revision.
        """
        if key not in self.pending:
            self.pending[key] = revision

    def newest_sent_version(self, key: Key) -> str | None:
        """Returns the version in flight, or else the acknowledged one; None if the proxy holds or will hold none."""
        in_flight = self.in_flight.get(key)
        return in_flight.version if in_flight else self.acknowledged.get(key)

    def record_sent(self, nonce: str, changes: list[Change], now_ms: float, type_url: str = "") -> None:
        """Records that the changes were sent as one response."""
        revision = self.released_revision
        self.in_flight_updates[nonce] = InFlightUpdate(changes, revision, now_ms, type_url)
        for key, resource in changes:
            version = resource.version if resource else None
            self.in_flight[key] = InFlightVersion(version, nonce, self.pending.pop(key, revision))
            if self.must_resend:
                self.must_resend.discard(key)

    def end_in_flight(self, nonce: str, now_ms: float) -> InFlightUpdate | None:
        """Removes and returns an update that was acknowledged or rejected; None if the nonce is not in flight.

        Earlier updates of the same type without an ack or nack are lost, and their changes become pending again:
        otherwise a proxy that dropped one would not get those changes until its stream closes.
        """
        update = self.in_flight_updates.get(nonce)
        if update is None:
            return None
        self.ack_latency.record_ack(len(update.changes), update.sent_ms, now_ms)
        for lost in self._sent_before(nonce, update.type_url):
            waiting_ms = now_ms - self.in_flight_updates[lost].sent_ms
            self.unreported_delays.append(AckDelay(lost, LOST, waiting_ms, "a later update was acknowledged first"))
            self.cancel_in_flight(lost)
        self.reported_statuses.pop(nonce, None)
        return self.in_flight_updates.pop(nonce)

    def _sent_before(self, nonce: str, type_url: str) -> list[str]:
        """Returns the nonces of the updates of a type that were sent before `nonce`."""
        earlier: list[str] = []
        for other, update in self.in_flight_updates.items():
            if other == nonce:
                break
            if type_url and update.type_url == type_url:
                earlier.append(other)
        return earlier

    def cancel_in_flight(self, nonce: str) -> None:
        """Marks the changes of an update that was lost or never sent as pending again."""
        update = self.in_flight_updates.pop(nonce, None)
        self.reported_statuses.pop(nonce, None)
        for key, _ in update.changes if update else ():
            if key in self.in_flight and self.in_flight[key].nonce == nonce:
                self.mark_pending(key, self.in_flight.pop(key).revision)

    def merge_in_flight(self, nonces: Iterable[str], into: str) -> None:
        """Merges earlier updates into a later one when the proxy has applied or rejected them as one."""
        merged: dict[Key, Change] = {}
        newest = self.in_flight_updates[into]
        for nonce in nonces:
            for change in self.in_flight_updates.pop(nonce).changes:
                in_flight = self.in_flight.get(change.key)
                if in_flight and in_flight.nonce == nonce:
                    self.in_flight[change.key] = InFlightVersion(in_flight.version, into, in_flight.revision)
                    merged[change.key] = change
        merged.update({change.key: change for change in newest.changes})
        newest.changes = list(merged.values())

    def has_late_ack(self, now_ms: float) -> bool:
        """Whether the oldest update is late; the acknowledgements of later updates wait for its own."""
        nonce = next(iter(self.in_flight_updates), None)
        return nonce is not None and self._ack_delay(nonce, now_ms, None).status != IN_TIME

    def probe_type_url(self, now_ms: float) -> str | None:
        """Returns the type URL for which a probe, a response without changes, is due; None if none is due.

        Acknowledgements come in sequence, so that of a probe shows that the late update was lost unless it has been
        acknowledged by then.  Without probes a lost ejection would not be sent again until the stream closes, if no
        further update follows.  A probe can be lost too, so probes are repeated at growing intervals.
        """
        if not self.has_late_ack(now_ms):
            return None
        oldest = next(iter(self.in_flight_updates.values()))
        newest = [update for update in self.in_flight_updates.values() if update.type_url == oldest.type_url][-1]
        interval_ms = self.ack_latency.late_ms(len(newest.changes)) * 2.0**oldest.probes
        if not oldest.type_url or now_ms - newest.sent_ms <= interval_ms:
            return None
        oldest.probes += 1
        return oldest.type_url

    def _ack_delay(self, nonce: str, now_ms: float, last_received_ms: float | None) -> AckDelay:
        update = self.in_flight_updates[nonce]
        return self.ack_latency.ack_delay(nonce, len(update.changes), update.sent_ms, now_ms, last_received_ms)

    def new_ack_delays(self, now_ms: float, last_received_ms: float | None) -> list[AckDelay]:
        """Returns the delayed acknowledgements to log; each status of an update is returned once.

        Args:
            now_ms: The current time.
            last_received_ms: When the last message was received from this proxy; see `AckLatency.ack_delay`.
        """
        delays, self.unreported_delays = self.unreported_delays, []
        nonce = next(iter(self.in_flight_updates), None)
        if nonce is not None:
            delay = self._ack_delay(nonce, now_ms, last_received_ms)
            if delay.status != self.reported_statuses.get(nonce, IN_TIME):
                self.reported_statuses[nonce] = delay.status
                delays.append(delay)
        return delays

    def overdue_ejections(self, now_ms: float, max_delay_ms: float) -> list[tuple[str, int]]:
        """Returns the nonce and endpoint of each ejection in flight for more than `max_delay_ms`."""
        return [
            (nonce, change.key[1])
            for nonce, update in self.in_flight_updates.items()
            if now_ms - update.sent_ms > max_delay_ms
            for change in update.changes
            if change.is_urgent
        ]

    def unsubscribe(self, keys: Iterable[Key]) -> None:
        """Removes keys that the proxy has unsubscribed from: the versions that it holds of them are unknown."""
        for key in keys:
            self.acknowledged.pop(key, None)
            self.in_flight.pop(key, None)
            self.must_resend.discard(key)

    def oldest_sent_ms(self) -> float | None:
        """Returns when the oldest update in flight was sent; None if none is in flight."""
        return min((update.sent_ms for update in self.in_flight_updates.values()), default=None)
