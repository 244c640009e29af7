"""Who connects: proxies by their streams, collectors, strangers.  All of it runs in the poller's thread.

Not joined, a connection may ask for a sign of life and join, nothing else; joined, it is read whatever comes, and
what is spoilt is dropped and counted.  News for the deciding thread never waits (`EventQueue.bring`):
("join", peer, proxy, zone, usual, fresh), ("leave", peer, proxy), ("receipt", peer, proxy, serial),
("sums", row), ("arrivals", row).
"""

from collections import Counter
from collections.abc import Callable
from typing import Any, NamedTuple

import structlog

from quillstep.net.clock import now_ms
from quillstep.net.connection import Connection
from quillstep.net.poller import Poller
from quillstep.planner.messages import DownstreamStats, UpstreamStats
from quillstep.platform.protocol import validation
from quillstep.platform.protocol.codec import Event, MessageCodec, add_length, encode
from quillstep.platform.protocol.validation import InvalidMessageError, Known

ALIVE = add_length(encode({"t": "hb_ok"}))
STRANGER_MOST = 4096  # bytes of a message before joining
COLLECTORS = 2  # of one zone: the one that comes and the one that has not been seen to go
TOLD_MS = 2000.0  # between two lines of the log on what was dropped for the same reason


class ConnectionLimits(NamedTuple):
    """What one connection may cost; see `net.poller.Limits`."""

    max_connections: int
    max_unregistered: int
    max_unsent_bytes: int = 128 * 1024
    messages_per_s: float = 20000.0  # one that brings more for long is read no further; the flood is its own loss
    handshake_timeout_ms: float = 1000.0
    write_timeout_ms: float = 15000.0
    idle_timeout_ms: float = float("inf")  # nobody is bound to speak
    ping_interval_ms: float = float("inf")


class ConnectionManager:
    """The listener and all that it accepted.  `bring(news, key, add)` hands over."""

    def __init__(self, listen: str, limits: ConnectionLimits, known: Known, bring: Callable[..., None]) -> None:
        self.known, self.bring = known, bring
        self.poller = Poller(
            listen,
            limits,
            lambda: MessageCodec(STRANGER_MOST),
            self.event,
            self.closed,
            idle_timeout_ms=limits.idle_timeout_ms,
        )
        self.proxies: dict[Connection, int] = {}
        self.collectors: dict[Connection, str] = {}
        self.dropped: Counter[str] = Counter()  # messages, by reason
        self.ended: Counter[str] = Counter()  # connections that never joined, by reason
        self.told_ms: dict[str, float] = {}
        self.log = structlog.get_logger("frames")

    def event(self, peer: Connection, event: Event) -> None:
        if peer.close_reason:
            return
        kind, what = event
        if kind == "broken":
            peer.close(what)
            return
        name = validation.kind(what)
        if name == "hb":
            peer.send(0, ALIVE)
            return
        try:
            if peer.is_registered:
                self.report(peer, name, what)
            else:
                self.start(peer, name, what)
        except InvalidMessageError as trouble:
            if peer.is_registered:
                self.drop(f"{name if name in REPORTS else 'message'}: {trouble}")
            else:
                peer.close(str(trouble))

    def start(self, peer: Connection, name: str, fields: dict[str, Any]) -> None:
        if name == "attach":
            proxy, zone, usual, fresh = validation.joining(fields, self.known)
            self.proxies[peer] = proxy
            self.bring(("join", peer, proxy, zone, usual, fresh))
        elif name == "telemetry":
            zone = validation.zone(fields, self.known)
            same = [other for other, its in self.collectors.items() if its == zone]
            if len(same) >= COLLECTORS:
                # The oldest could be the one that works, and the others come from who only says so.
                min(same, key=lambda other: other.last_received_ms).close("its zone has newer collectors")
            self.collectors[peer] = zone
        else:
            raise InvalidMessageError("it began without joining")
        peer.codec.is_registered = True

    def report(self, peer: Connection, name: str, fields: dict[str, Any]) -> None:
        if name not in REPORTS:
            raise InvalidMessageError("its kind is none that a pilot is sent here")
        REPORTS[name](self, peer, fields)

    def sums(self, peer: Connection, fields: dict[str, Any]) -> None:
        zone, row = validation.sums(fields, self.known)
        self.bring(("sums", row), (zone, row.endpoint), add_sums)

    def usage(self, peer: Connection, fields: dict[str, Any]) -> None:
        row = validation.usage(fields, self.known)
        if self.proxies.get(peer, row.proxy) != row.proxy:
            raise InvalidMessageError("it is of another proxy")
        self.bring(("arrivals", row), (row.class_index, row.proxy), add_arrivals)

    def receipt(self, peer: Connection, fields: dict[str, Any]) -> None:
        proxy, serial = validation.receipt(fields, self.known)
        if self.proxies.get(peer) != proxy:
            raise InvalidMessageError("it is of another proxy")
        self.bring(("receipt", peer, proxy, serial))

    def drop(self, reason: str) -> None:
        """Count a message that is of no use; say so once in a while."""
        self.dropped[reason] += 1
        if now_ms() - self.told_ms.get(reason, float("-inf")) > TOLD_MS:
            self.told_ms[reason] = now_ms()
            self.log.warning("message dropped", reason=reason, so_far=self.dropped[reason])

    def closed(self, peer: Connection, reason: str) -> None:
        proxy = self.proxies.pop(peer, None)
        if proxy is not None:
            self.log.info("proxy left", proxy=proxy, reason=reason)
            self.bring(("leave", peer, proxy))
        elif self.collectors.pop(peer, None) is None:
            self.ended[reason] += 1


REPORTS: dict[str, Callable[[ConnectionManager, Connection, dict[str, Any]], None]] = {
    "upstream_stats": ConnectionManager.sums,
    "client_stats": ConnectionManager.usage,
    "done": ConnectionManager.receipt,
}


def add_sums(old: tuple, new: tuple) -> tuple:
    """Two entries of the lane with sums of one zone and endpoint as one; the newer load report stands."""
    (_, a), (_, b) = old, new
    successes_a, successes_b = a.attempts - a.failures, b.attempts - b.failures
    good = successes_a + successes_b
    mean_ms = (a.mean_success_ms * successes_a + b.mean_success_ms * successes_b) / good if good else 0.0
    merged = UpstreamStats(
        a.endpoint, a.attempts + b.attempts, a.failures + b.failures, mean_ms, a.window_ms + b.window_ms,
        {**a.load, **b.load},
    )  # fmt: skip
    return "sums", merged


def add_arrivals(old: tuple, new: tuple) -> tuple:
    (_, a), (_, b) = old, new
    merged = DownstreamStats(
        a.class_index, a.proxy, a.requests + b.requests, a.unanswered + b.unanswered, a.window_ms + b.window_ms
    )
    return "arrivals", merged
