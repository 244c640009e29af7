"""What one proxy was sent and what it has acknowledged.  Without I/O and clocks; times are milliseconds.

Only what was acknowledged, or reported by the proxy itself, counts as held.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from quillstep.routing.ack_latency import IN_TIME, LOST, AckDelay, AckLatency
from quillstep.routing.changes import Change, InFlightUpdate, InFlightVersion
from quillstep.routing.message_quota import MessageQuota
from quillstep.routing.resources import Key


@dataclass(slots=True)
class InFlightState:
    """The pending, in-flight and acknowledged versions of one proxy.  `proxy` is its number."""

    proxy: int
    zone: str
    ack_latency: AckLatency = field(default_factory=AckLatency)
    message_quota: MessageQuota = field(default_factory=MessageQuota)
    acknowledged: dict[Key, str] = field(default_factory=dict)  # versions, those that the proxy reported too
    pending: dict[Key, int] = field(
        default_factory=dict
    )  # what may differ from the desired state, since which revision
    must_resend: set[Key] = field(default_factory=set)  # to be sent though it does not differ
    in_flight_updates: dict[str, InFlightUpdate] = field(default_factory=dict)  # by nonce, in the order of sending
    in_flight: dict[Key, InFlightVersion] = field(default_factory=dict)
    released_revision: int = 0  # revisions up to this one have left the update channel
    unreported_delays: list[AckDelay] = field(default_factory=list)  # of lost updates, to be logged
    reported_statuses: dict[str, str] = field(default_factory=dict)  # last logged status, by nonce in flight

    def mark_pending(self, key: Key, revision: int) -> None:
        """Marks that a key may differ since a revision; an earlier mark stays, so that no change waits twice."""
        if key not in self.pending:
            self.pending[key] = revision

    def newest_sent_version(self, key: Key) -> str | None:
        """Returns the version in flight, or else the acknowledged one; None: the proxy holds or will hold none."""
        in_flight = self.in_flight.get(key)
        return in_flight.version if in_flight else self.acknowledged.get(key)

    def record_sent(self, nonce: str, changes: list[Change], now_ms: float, type_url: str = "") -> None:
        """Records that these changes were sent as one response."""
        revision = self.released_revision
        self.in_flight_updates[nonce] = InFlightUpdate(changes, revision, now_ms, type_url)
        for key, resource in changes:
            version = resource.version if resource else None
            self.in_flight[key] = InFlightVersion(version, nonce, self.pending.pop(key, revision))
            if self.must_resend:
                self.must_resend.discard(key)

    def end_in_flight(self, nonce: str, now_ms: float) -> InFlightUpdate | None:
        """Removes and returns an update that was acknowledged or rejected; None: this nonce is not in flight.

        Updates of its type that were sent before it and were not answered are lost, and become pending again: a proxy
        that dropped one would not get those changes until its stream ends.
        """
        update = self.in_flight_updates.get(nonce)
        if update is None:
            return None
        self.ack_latency.record_ack(len(update.changes), update.sent_ms, now_ms)
        for lost in self._sent_before(nonce, update.type_url):
            waiting_ms = now_ms - self.in_flight_updates[lost].sent_ms
            self.unreported_delays.append(AckDelay(lost, LOST, waiting_ms, "a later word came, this one did not"))
            self.cancel_in_flight(lost)
        self.reported_statuses.pop(nonce, None)
        return self.in_flight_updates.pop(nonce)

    def _sent_before(self, nonce: str, type_url: str) -> list[str]:
        """Returns the nonces of the updates of a type that were sent before this one."""
        earlier: list[str] = []
        for other, update in self.in_flight_updates.items():
            if other == nonce:
                break
            if type_url and update.type_url == type_url:
                earlier.append(other)
        return earlier

    def cancel_in_flight(self, nonce: str) -> None:
        """Marks the changes of an update that was lost, or never left, as pending again."""
        update = self.in_flight_updates.pop(nonce, None)
        self.reported_statuses.pop(nonce, None)
        for key, _ in update.changes if update else ():
            if key in self.in_flight and self.in_flight[key].nonce == nonce:
                self.mark_pending(key, self.in_flight.pop(key).revision)

    def merge_in_flight(self, nonces: Iterable[str], into: str) -> None:
        """Merges earlier updates into a later one, where the proxy applied or rejected them as one."""
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
        """Whether the oldest update is late; those behind it wait for it."""
        nonce = next(iter(self.in_flight_updates), None)
        return nonce is not None and self._ack_delay(nonce, now_ms, None).status != IN_TIME

    def probe_type_url(self, now_ms: float) -> str | None:
        """Returns the type for which to send a probe, a response without changes; None: none is due.

        The acknowledgement of a probe comes after that of the late update, or proves that there will be none.  Without
        it a lost ejection would wait until the stream is ended where no further update is made.  A probe can be lost
        too, so that it is repeated at growing intervals.
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

    def _ack_delay(self, nonce: str, now_ms: float, heard_ms: float | None) -> AckDelay:
        update = self.in_flight_updates[nonce]
        return self.ack_latency.ack_delay(nonce, len(update.changes), update.sent_ms, now_ms, heard_ms)

    def new_ack_delays(self, now_ms: float, heard_ms: float | None) -> list[AckDelay]:
        """Returns what is to be logged of updates without an acknowledgement, each status of each once.

        Args:
            now_ms: The present time.
            heard_ms: When anything last came from this proxy; see `AckLatency.ack_delay`.
        """
        found, self.unreported_delays = self.unreported_delays, []
        nonce = next(iter(self.in_flight_updates), None)
        if nonce is not None:
            delay = self._ack_delay(nonce, now_ms, heard_ms)
            if delay.status != self.reported_statuses.get(nonce, IN_TIME):
                self.reported_statuses[nonce] = delay.status
                found.append(delay)
        return found

    def overdue_ejections(self, now_ms: float, max_delay_ms: float) -> list[tuple[str, int]]:
        """Returns the nonce and endpoint of each ejection that has waited longer for its acknowledgement."""
        return [
            (nonce, change.key[1])
            for nonce, update in self.in_flight_updates.items()
            if now_ms - update.sent_ms > max_delay_ms
            for change in update.changes
            if change.is_urgent
        ]

    def unsubscribe(self, keys: Iterable[Key]) -> None:
        """Forgets keys that the proxy no longer asks for: what it holds of them is not known."""
        for key in keys:
            self.acknowledged.pop(key, None)
            self.in_flight.pop(key, None)
            self.must_resend.discard(key)

    def oldest_sent_ms(self) -> float | None:
        """Returns when the oldest update in flight was sent."""
        return min((update.sent_ms for update in self.in_flight_updates.values()), default=None)
