"""Mutants of the real tables: each has one fault, which `explore` must find.

The keys of `MUTANTS` appear in reports.
"""

from collections.abc import Callable, Mapping
from typing import Any

from quillstep.routing import Change, Key, Nack, ProxyState, Tables
from quillstep.routing.changes import InFlightUpdate


class AcknowledgesWhenSent(Tables):
    """Treats a change as acknowledged when it is sent."""

    def record_sent(self, proxy: int, nonce: str, changes: list[Change], now_ms: float, type_url: str = "") -> None:
        """Records the changes as sent and as acknowledged."""
        super().record_sent(proxy, nonce, changes, now_ms, type_url)
        for key, resource in changes:
            if resource:
                self.proxies[proxy].acknowledged[key] = resource.version


class AcknowledgesNewest(Tables):
    """Takes an ack of any version for an ack of the newest version in flight."""

    def record_ack(self, proxy: int, nonce: str, now_ms: float = 0.0) -> list[Change]:
        """Records the newest versions of the acknowledged keys as acknowledged."""
        acknowledged = super().record_ack(proxy, nonce, now_ms)
        state = self.proxies[proxy]
        for key, _ in acknowledged:
            if (newest := state.in_flight.pop(key, None)) and newest.version:
                state.acknowledged[key] = newest.version
        return acknowledged


class ForgetsLostUpdates(ProxyState):
    """Does not resend an update when the ack of a later one shows that it was lost."""

    def end_in_flight(self, nonce: str, now_ms: float) -> InFlightUpdate | None:
        """Leaves earlier updates in flight."""
        return self.in_flight_updates.pop(nonce, None)


class TablesForgetLostUpdates(Tables):
    """Uses `ForgetsLostUpdates`."""

    proxy_state_type = ForgetsLostUpdates


class NeverRetriesNacked(Tables):
    """Never resends a rejected ejection, which is treated like any other rejected resource."""

    def record_nack(self, proxy: int, nonce: str, reason: str, now_ms: float, indivisible: bool = False) -> Nack | None:
        """Records the nack and drops the scheduled retries."""
        nack = super().record_nack(proxy, nonce, reason, now_ms, indivisible)
        self.proxies[proxy].nack_retries_ms.clear()
        return nack


class NeverWaits(ProxyState):
    """Sends changes without waiting for those that they depend on: break before make."""

    def must_wait(self, change: Change, subscribed: Callable[[Key], bool]) -> bool:
        """Returns False for all changes."""
        return False


class TablesNeverWait(Tables):
    """Uses `NeverWaits`."""

    proxy_state_type = NeverWaits


class IgnoresReportedVersions(Tables):
    """Assumes that a returning proxy holds what it last acknowledged here, whatever it reports."""

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self.last_acknowledged: dict[Key, str] = {}

    def add_proxy(self, proxy: int, zone: str, reported: Mapping[Key, str]) -> ProxyState:
        """Adds a proxy with the versions that it last acknowledged."""
        return super().add_proxy(proxy, zone, self.last_acknowledged or reported)

    def add_reported(self, proxy: int, reported: Mapping[Key, str]) -> None:
        """Ignores reported versions of a returning proxy."""
        super().add_reported(proxy, {} if self.last_acknowledged else reported)

    def remove_proxy(self, proxy: int) -> None:
        """Saves the acknowledged versions and removes the proxy."""
        if proxy in self.proxies:
            self.last_acknowledged = dict(self.proxies[proxy].acknowledged)
        super().remove_proxy(proxy)


MUTANTS: dict[str, type[Tables]] = {
    "held at sending": AcknowledgesWhenSent,
    "old word on new": AcknowledgesNewest,
    "lost and not missed": TablesForgetLostUpdates,
    "refused for good": NeverRetriesNacked,
    "nobody waits": TablesNeverWait,
    "trusts its memory": IgnoresReportedVersions,
}
