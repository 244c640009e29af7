"""The streaming front in the deciding thread: streams to ledgers, load reports to the intake, responses to peers.

It only carries: what a proxy should hold and what may be sent is the tables' matter.
"""

from collections.abc import Callable
from typing import Any

import structlog
from envoy.service.load_stats.v3 import lrs_pb2

from quillstep.config.controller import ControllerSettings
from quillstep.routing import Nack, Tables
from quillstep.routing.ack_latency import IN_TIME, AckDelay
from quillstep.routing.proxy_state import NACK_BACKOFF_FACTORS
from quillstep.xds import resources
from quillstep.xds.delta import DeltaStream
from quillstep.xds.grpc import RESOURCE_EXHAUSTED, UNAVAILABLE
from quillstep.xds.load_stats import Hooks, life_of, load_request, read_report
from quillstep.xds.server import DELTA, LOAD, SOTW, Peer, Server, StreamEvent
from quillstep.xds.sotw import SotwStream
from quillstep.xds.stream import Response, StreamError

TEND_MS = 500.0
At = tuple[Peer, int]


class XdsFront:
    """All streams of one pilot."""

    def __init__(
        self,
        record: ControllerSettings,
        tables: Tables,
        hooks: Hooks,
        epoch: str,
        ordered_ms: Callable[[int], float],
        tap: Callable[..., None],
    ) -> None:
        self.record, self.tables, self.hooks, self.epoch = record, tables, hooks, epoch
        self.ordered_ms, self.tap = ordered_ms, tap
        self.encoder = resources.Encoder(record.fleet.classes, record.fleet.proxies.attempt_timeout_factor)
        self.server: Server | None = None
        self.streams: dict[At, DeltaStream | SotwStream] = {}
        self.at: dict[int, At] = {}  # where each proxy's stream is
        self.nodes: dict[int, str] = {}
        self.reporters: dict[At, str] = {}
        self.tended_ms = 0.0
        self.held_back: dict[int, float] = {}  # proxies whose refused parts wait, and until when
        self.full: list[Peer] = []  # peers that had no room at the last pump
        self.warned: set[tuple[str, int]] = set()
        self.log = structlog.get_logger("xds")

    def take(self, news: StreamEvent, now_ms: float) -> None:
        """One piece of news from the server."""
        kind, peer, stream = news[0], news[1], news[2]
        at = (peer, stream)
        if kind == "open":
            if news[3] != LOAD:
                make = DeltaStream if news[3] == DELTA else SotwStream
                limits = self.record.limits
                self.streams[at] = make(self.tables, self.encoder, limits, self.epoch, self.ordered_ms)
        elif kind == "end":
            self.end(at, str(news[3]), now_ms)
        elif isinstance(news[3], lrs_pb2.LoadStatsRequest):
            self.load(at, news[3], news[4])
        elif at in self.streams:
            try:
                self.request(at, news[3], now_ms)
            except StreamError as trouble:
                self.log.warning("stream ended", proxy=self.node(at), reason=str(trouble))
                assert self.server
                self.server.finish(peer, stream, trouble.status, str(trouble))
                self.end(at, str(trouble), now_ms)

    def node(self, at: At) -> str:
        stream = self.streams.get(at)
        return self.nodes.get(stream.proxy, "") if stream else self.reporters.get(at, "")

    def request(self, at: At, request: Any, now_ms: float) -> None:
        stream = self.streams[at]
        if stream.proxy < 0:
            self.join(at, stream, request, now_ms)
        elif self.at.get(stream.proxy) != at:
            return  # it has dialled anew; this is the old stream's last word
        acknowledged, refusal = stream.request(request, now_ms)
        if acknowledged:
            self.tap("ack", now_ms, proxy=self.nodes[stream.proxy], nonce=request.response_nonce)
        if refusal:
            self.tap("nack", now_ms, proxy=self.nodes[stream.proxy], nonce=request.response_nonce)
            first = refusal.changes[0].resource
            warn_refused(self.log, self.nodes[stream.proxy], refusal, first.version if first else "removal")
            self.held_back[stream.proxy] = self.tables.proxies[stream.proxy].split_retry_ms

    def join(self, at: At, stream: DeltaStream | SotwStream, request: Any, now_ms: float) -> None:
        held = stream.first(request)
        node = request.node
        fresh = not held and not getattr(request, "version_info", "")
        old = self.hooks.proxy_of(node.id)
        if old is not None and old in self.at:
            self.log.info("stream replaced", proxy=node.id, reason="the proxy dialled anew")
            before = self.at[old]
            assert self.server
            self.server.finish(*before, UNAVAILABLE, "the proxy dialled anew")
            self.end(before, "the proxy dialled anew", now_ms)
        usual = node.metadata.fields["usual"].number_value if "usual" in node.metadata.fields else 0.0
        stream.proxy = self.hooks.join(node.id, node.locality.zone, usual, held, fresh, self, life_of(node))
        self.at[stream.proxy] = at
        self.nodes[stream.proxy] = node.id
        self.tap("join", now_ms, proxy=node.id, zone=node.locality.zone, fresh=fresh)
        self.log.info("proxy joined", proxy=node.id, zone=node.locality.zone, fresh=fresh, holds=len(held))

    def drop(self, proxy: int, reason: str, now_ms: float) -> None:
        """Another front has this proxy now."""
        if proxy in self.at:
            at = self.at[proxy]
            assert self.server
            self.server.finish(*at, UNAVAILABLE, reason)
            self.end(at, reason, now_ms)

    def end(self, at: At, reason: str, now_ms: float) -> None:
        self.reporters.pop(at, None)
        stream = self.streams.pop(at, None)
        if stream is None or self.at.get(stream.proxy) != at:
            return
        del self.at[stream.proxy]
        self.held_back.pop(stream.proxy, None)
        self.tap("leave", now_ms, proxy=self.nodes[stream.proxy], reason=reason)
        self.log.info("proxy left", proxy=self.nodes[stream.proxy], reason=reason)
        self.hooks.leave(stream.proxy)

    # what goes out

    def pump(self, now_ms: float, stirred: set[int]) -> None:
        """Send what may be sent to every proxy of ours that something has stirred."""
        self.full = []
        for proxy, until in list(self.held_back.items()):
            if until <= now_ms:
                del self.held_back[proxy]
                stirred.add(proxy)
        for proxy in sorted(stirred):
            at = self.at.get(proxy)
            if at is None:
                continue
            if at[0].unsent_bytes() > self.record.limits.max_unsent_bytes:
                self.full.append(at[0])
                self.tables.pending_proxies.add(proxy)  # the newest state goes when there is room, no backlog
                continue
            for response in self.streams[at].pump(now_ms):
                self.carry(proxy, at, response, now_ms)
            ledger = self.tables.proxies.get(proxy)
            if ledger and (look_ms := ledger.next_retry_ms(now_ms)) is not None:
                self.held_back[proxy] = max(now_ms, look_ms)
        if now_ms - self.tended_ms > TEND_MS:
            self.tended_ms = now_ms
            self.tend(now_ms)

    def carry(self, proxy: int, at: At, response: Response, now_ms: float) -> None:
        if response.changed or response.removed:
            self.tap(
                "send", now_ms, proxy=self.nodes[proxy], order=response.number,
                ordered=self.ordered_ms(response.number), lines=response.changed + response.removed,
                bytes=len(response.message), nonce=response.nonce, type=response.url.rpartition(".")[2],
            )  # fmt: skip
        at[0].send(at[1], response.message)

    def tend(self, now_ms: float) -> None:
        """End streams that acknowledge nothing: an order that is never held must not look like one on its way."""
        most = self.record.limits.ack_timeout_ms
        for proxy, at in list(self.at.items()):
            warn_overdue(self.tables, proxy, self.nodes[proxy], self.record, self.warned, now_ms, self.log)
            ledger = self.tables.proxies[proxy]
            for verdict in ledger.new_ack_delays(now_ms, at[0].last_received_ms):
                self.tell(proxy, verdict, now_ms)
            if ledger.has_late_ack(now_ms):
                self.held_back[proxy] = now_ms  # it may have to be asked
            oldest = ledger.oldest_sent_ms()
            if oldest is not None and now_ms - oldest > most:
                text = f"no acknowledgement within {most:g} ms"
                self.log.warning("stream ended", proxy=self.nodes[proxy], reason=text)
                assert self.server
                self.server.finish(*at, RESOURCE_EXHAUSTED, text)
                at[0].close(text)
                self.end(at, text, now_ms)

    def tell(self, proxy: int, verdict: AckDelay, now_ms: float) -> None:
        """What is thought of a response without a word."""
        node, waits_ms = self.nodes[proxy], round(verdict.waiting_ms, 1)
        self.tap("verdict", now_ms, proxy=node, nonce=verdict.nonce, kind=verdict.status, waits=waits_ms)
        said = self.log.info if verdict.status == IN_TIME else self.log.warning
        reason = verdict.reason or "it is answered in time again"
        said("order " + verdict.status, proxy=node, version=verdict.nonce, waits_ms=waits_ms, reason=reason)

    def next_ms(self) -> float:
        waits = min(self.held_back.values(), default=float("inf"))
        return min(waits, self.tended_ms + TEND_MS)

    # load reports

    def load(self, at: At, request: lrs_pb2.LoadStatsRequest, data: bytes) -> None:
        """A report that came with the news, as the first pilot read them all."""
        if at not in self.reporters:
            self.reporters[at] = request.node.id
            at[0].send(at[1], load_request(self.record.fleet.proxies.report_interval_ms, True))
        proxy = self.hooks.proxy_of(self.reporters[at])
        if proxy is not None and request.cluster_stats:  # else its reports are void until its stream stands
            self.hooks.told(proxy, read_report(request, data, self.hooks.places, self.hooks.endpoints))


def warn_refused(log: Any, node: str, refusal: Nack, version: Any) -> None:
    """Say what a proxy refused, why, and what comes of it."""
    named = [resources.name(change.key) for change in refusal.changes]
    log.warning(
        "version refused",
        proxy=node,
        table=named[0] + (f" and {len(named) - 1} more" if len(named) > 1 else ""),
        version=version,
        reason=refusal.reason[:500],
        next=next_step(refusal),
    )


def next_step(refusal: Nack) -> str:
    """What comes of a refusal, in words."""
    if not refusal.is_isolated:
        return "tried in parts"
    again = any(change.key[0] in NACK_BACKOFF_FACTORS and change.resource for change in refusal.changes)
    return "tried again after a back-off" if again else "set apart until it changes"


def warn_overdue(
    tables: Tables, proxy: int, node: str, record: ControllerSettings, warned: set, now_ms: float, log: Any
) -> None:
    """Say once of each withdrawal that half the grace has gone without its acknowledgement: it is not done."""
    for late in tables.proxies[proxy].overdue_ejections(now_ms, 0.5 * record.fleet.rules.drain_grace_ms):
        if late not in warned:
            if len(warned) > 10000:
                warned.clear()
            warned.add(late)
            log.warning("drain not acknowledged", proxy=node, endpoint=late[1], version=late[0])


__all__ = ["DELTA", "LOAD", "SOTW", "Hooks", "XdsFront", "warn_overdue", "warn_refused"]
