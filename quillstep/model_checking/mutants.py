"""Mutants of the real tables: each breaks one thing, which `explore` must find.

The keys of `MUTANTS` are shown in reports.
"""

from collections.abc import Callable, Mapping
from typing import Any

from quillstep.routing import Change, Key, Nack, ProxyState, Tables
from quillstep.routing.changes import InFlightUpdate


class AcknowledgesWhenSent(Tables):
    """What has been sent counts as acknowledged."""

    def record_sent(self, proxy: int, nonce: str, changes: list[Change], now_ms: float, type_url: str = "") -> None:
        """Records the changes as acknowledged, too."""
        super().record_sent(proxy, nonce, changes, now_ms, type_url)
        for key, resource in changes:
            if resource:
                self.proxies[proxy].acknowledged[key] = resource.version


class AcknowledgesNewest(Tables):
    """An acknowledgement counts for the newest version in flight, whichever it is for."""

    def record_ack(self, proxy: int, nonce: str, now_ms: float = 0.0) -> list[Change]:
        """Records the newest versions of the acknowledged keys."""
        found = super().record_ack(proxy, nonce, now_ms)
        state = self.proxies[proxy]
        for key, _ in found:
            if (newest := state.in_flight.pop(key, None)) and newest.version:
                state.acknowledged[key] = newest.version
        return found


class ForgetsLostUpdates(ProxyState):
    """An update that was overtaken by the acknowledgement of a later one is not sent again."""

    def end_in_flight(self, nonce: str, now_ms: float) -> InFlightUpdate | None:
        """Leaves earlier updates in flight."""
        return self.in_flight_updates.pop(nonce, None)


class TablesForgetLostUpdates(Tables):
    """See ForgetsLostUpdates."""

    proxy_state_type = ForgetsLostUpdates


class NeverRetriesNacked(Tables):
    """A rejected ejection is held back like anything else."""

    def record_nack(self, proxy: int, nonce: str, reason: str, now_ms: float, indivisible: bool = False) -> Nack | None:
        """Drops the retries."""
        found = super().record_nack(proxy, nonce, reason, now_ms, indivisible)
        self.proxies[proxy].nack_retries_ms.clear()
        return found


class NeverWaits(ProxyState):
    """No change waits for another: break before make."""

    def must_wait(self, change: Change, subscribed: Callable[[Key], bool]) -> bool:
        """Returns False for all changes."""
        return False


class TablesNeverWait(Tables):
    """See NeverWaits."""

    proxy_state_type = NeverWaits


class TrustsItsMemory(Tables):
    """A proxy that comes back is taken to hold what it held here last, whatever it reports."""

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self.last: dict[Key, str] = {}

    def add_proxy(self, proxy: int, zone: str, reported: Mapping[Key, str]) -> ProxyState:
        """Adds a proxy with what it held last."""
        return super().add_proxy(proxy, zone, self.last or reported)

    def add_reported(self, proxy: int, reported: Mapping[Key, str]) -> None:
        """Ignores what a proxy reports where it was here before."""
        super().add_reported(proxy, {} if self.last else reported)

    def remove_proxy(self, proxy: int) -> None:
        """Remembers what a proxy holds."""
        if proxy in self.proxies:
            self.last = dict(self.proxies[proxy].acknowledged)
        super().remove_proxy(proxy)


MUTANTS: dict[str, type[Tables]] = {
    "held at sending": AcknowledgesWhenSent,
    "old word on new": AcknowledgesNewest,
    "lost and not missed": TablesForgetLostUpdates,
    "refused for good": NeverRetriesNacked,
    "nobody waits": TablesNeverWait,
    "trusts its memory": TrustsItsMemory,
}
