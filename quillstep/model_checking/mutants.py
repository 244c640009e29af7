"""Broken twins of the real tables: each breaks one thing that `explore` must find."""

from collections.abc import Callable
from typing import Any

from quillstep.routing import Change, Key, Nack, ProxyState, Tables
from quillstep.routing.changes import InFlightUpdate


class HeldAtSending(Tables):
    """What has been sent counts as held."""

    def record_sent(self, proxy: int, nonce: str, changes: list[Change], now_ms: float, lane: str = "") -> None:
        super().record_sent(proxy, nonce, changes, now_ms, lane)
        for key, want in changes:
            if want:
                self.proxies[proxy].acknowledged[key] = want.version


class OldWordOnNew(Tables):
    """A word counts for the newest that was sent, whichever it is on."""

    def record_ack(self, proxy: int, nonce: str, now_ms: float = 0.0) -> list[Change]:
        found = super().record_ack(proxy, nonce, now_ms)
        ledger = self.proxies[proxy]
        for key, _ in found:
            if (newest := ledger.in_flight.pop(key, None)) and newest.version:
                ledger.acknowledged[key] = newest.version
        return found


class Forgiving(ProxyState):
    """A response that has no word, and never will, is not missed."""

    def end_in_flight(self, nonce: str, now_ms: float) -> InFlightUpdate | None:
        return self.in_flight_updates.pop(nonce, None)


class LostAndNotMissed(Tables):
    """See Forgiving."""

    proxy_state_type = Forgiving


class RefusedForGood(Tables):
    """A withdrawal that was refused is set apart like anything else."""

    def record_nack(self, proxy: int, nonce: str, reason: str, now_ms: float, whole: bool = False) -> Nack | None:
        found = super().record_nack(proxy, nonce, reason, now_ms, whole)
        self.proxies[proxy].nack_retries_ms.clear()
        return found


class Hasty(ProxyState):
    """Nothing waits for anything."""

    def must_wait(self, change: Change, wants: Callable[[Key], bool]) -> bool:
        return False


class NobodyWaits(Tables):
    """See Hasty."""

    proxy_state_type = Hasty


class TrustsItsMemory(Tables):
    """A proxy that comes back is taken to hold what it held here last, whatever it says."""

    def __init__(self, *facts: Any, **more: Any) -> None:
        super().__init__(*facts, **more)
        self.last: dict[Key, str] = {}

    def add_proxy(self, proxy: int, zone: str, held: Any) -> ProxyState:
        return super().add_proxy(proxy, zone, self.last or held)

    def add_reported(self, proxy: int, held: Any) -> None:
        super().add_reported(proxy, {} if self.last else held)

    def remove_proxy(self, proxy: int) -> None:
        if proxy in self.proxies:
            self.last = dict(self.proxies[proxy].acknowledged)
        super().remove_proxy(proxy)


TWINS: dict[str, type[Tables]] = {
    "held at sending": HeldAtSending,
    "old word on new": OldWordOnNew,
    "lost and not missed": LostAndNotMissed,
    "refused for good": RefusedForGood,
    "nobody waits": NobodyWaits,
    "trusts its memory": TrustsItsMemory,
}
