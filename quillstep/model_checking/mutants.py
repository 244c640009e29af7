"""Broken twins of the real tables: each breaks one thing that `explore` must find."""

from collections.abc import Callable
from typing import Any

from quillstep.routing import Change, Key, Nack, ProxyState, Tables
from quillstep.routing.proxy_state import InFlightUpdate


class HeldAtSending(Tables):
    """What has been sent counts as held."""

    def send(self, proxy: int, nonce: str, changes: list[Change], now_ms: float, lane: str = "") -> None:
        super().send(proxy, nonce, changes, now_ms, lane)
        for key, want in changes:
            if want:
                self.ledgers[proxy].held[key] = want.version


class OldWordOnNew(Tables):
    """A word counts for the newest that was sent, whichever it is on."""

    def acknowledge(self, proxy: int, nonce: str, now_ms: float = 0.0) -> list[Change]:
        found = super().acknowledge(proxy, nonce, now_ms)
        ledger = self.ledgers[proxy]
        for key, _ in found:
            if (newest := ledger.sent.pop(key, None)) and newest[0]:
                ledger.held[key] = newest[0]
        return found


class Forgiving(ProxyState):
    """A response that has no word, and never will, is not missed."""

    def landed(self, nonce: str, now_ms: float) -> InFlightUpdate | None:
        return self.flights.pop(nonce, None)


class LostAndNotMissed(Tables):
    """See Forgiving."""

    ledger_type = Forgiving


class RefusedForGood(Tables):
    """A withdrawal that was refused is set apart like anything else."""

    def refuse(self, proxy: int, nonce: str, reason: str, now_ms: float, whole: bool = False) -> Nack | None:
        found = super().refuse(proxy, nonce, reason, now_ms, whole)
        self.ledgers[proxy].again.clear()
        return found


class Hasty(ProxyState):
    """Nothing waits for anything."""

    def too_early(self, change: Change, wants: Callable[[Key], bool]) -> bool:
        return False


class NobodyWaits(Tables):
    """See Hasty."""

    ledger_type = Hasty


class TrustsItsMemory(Tables):
    """A proxy that comes back is taken to hold what it held here last, whatever it says."""

    def __init__(self, *facts: Any, **more: Any) -> None:
        super().__init__(*facts, **more)
        self.last: dict[Key, str] = {}

    def join(self, proxy: int, zone: str, held: Any) -> ProxyState:
        return super().join(proxy, zone, self.last or held)

    def holds(self, proxy: int, held: Any) -> None:
        super().holds(proxy, {} if self.last else held)

    def leave(self, proxy: int) -> None:
        if proxy in self.ledgers:
            self.last = dict(self.ledgers[proxy].held)
        super().leave(proxy)


TWINS: dict[str, type[Tables]] = {
    "held at sending": HeldAtSending,
    "old word on new": OldWordOnNew,
    "lost and not missed": LostAndNotMissed,
    "refused for good": RefusedForGood,
    "nobody waits": NobodyWaits,
    "trusts its memory": TrustsItsMemory,
}
