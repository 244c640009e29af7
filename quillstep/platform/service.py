"""The live pilot: the module, told and obeyed over the platform's protocol.

The poller's thread reads and writes streams, the watch and the prober have threads of their own, this one decides.
Orders leave as the module wrote them: the channel that it counts for is the platform's own, so no channel, ledger,
gate, book or store of ours stands between (docs/node.md).
"""

import os
import threading
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

import structlog

from quillstep.controller.control_intervals import ControlIntervals
from quillstep.controller.event_queue import EventQueue
from quillstep.controller.health_checker import HealthChecker
from quillstep.net.clock import now_ms
from quillstep.net.connection import Connection
from quillstep.planner.messages import (
    DownstreamStats,
    EndpointListUpdate,
    HealthCheckResult,
    ProxyStreamEvent,
    UpstreamStats,
)
from quillstep.planner.planner import Planner
from quillstep.platform.configuration import (
    ConfigurationError,
    ControllerConfig,
    PlatformConfiguration,
    pilot_facts,
    seed_of,
)
from quillstep.platform.discovery_watch import DiscoveryWatch
from quillstep.platform.endpoint_list import DiscoveryUpdate, read_list
from quillstep.platform.protocol.connections import ConnectionLimits, ConnectionManager
from quillstep.platform.protocol.updates import ProtocolOutput

STACK_BYTES = 256 * 1024
BATCH = 1024  # pieces of news between two rounds
NEWS_MOST = 4096  # that wait for this thread before reports add up
IDLE_S = 0.1  # also the longest that a signal waits
SAY_MS = 5000.0
PROBERS = 12
OWN = 24  # descriptors for the log, the watch, the listener and what the interpreter opens; probes come on top
FORGET_PERIODS = 30.0  # report periods after which sums of an endpoint that has gone are of no interest


def limits_of(record: PlatformConfiguration, facts: ControllerConfig) -> ConnectionLimits:
    """Who has not joined may use all that is free, and gives way to who comes.

    Found in reading: with more proxies than descriptors only 16 were let wait, and after a kill, when all dial at
    once, one whose joining came in pieces was cut off beside free descriptors.
    """
    most = record.limits.sockets - OWN - PROBERS
    return ConnectionLimits(most, most)


class PlatformController:
    """`run` is the deciding thread; signals set `reloads` and `stops`, each apart: none can undo the other."""

    def __init__(self, record: PlatformConfiguration, facts: ControllerConfig) -> None:
        threading.stack_size(STACK_BYTES)
        self.record, self.facts = record, facts
        self.reloads = self.stops = False
        self.offset_ms = now_ms() - time.time() * 1000.0
        self.event_queue: EventQueue[tuple] = EventQueue(NEWS_MOST, 1)
        self.control_intervals = ControlIntervals(Planner(facts.start, seed_of(record.seed)), facts.tick_ms)
        self.log = structlog.get_logger("pilot")
        self.orders = ProtocolOutput(facts.classes, self.probe, self.control_intervals.set_timer, self.note)
        self.at: dict[int, Connection] = {}  # where each joined proxy's stream is
        self.addresses: dict[str, tuple[str, int]] = {}
        self.gone: dict[str, float] = {}  # endpoints that are listed no more, and since when
        self.dropped: Counter[str] = Counter()
        self.told: Counter[str] = Counter()  # tries and arrivals that the module was told of
        self.late_ms = 0.0  # the worst of the rounds since the last line of figures
        self.cpu_ms = 0.0  # the longest of them
        self.written = self.written_bytes = 0
        self.said_ms = now_ms()
        self.front = ConnectionManager(record.listen, limits_of(record, facts), facts.known, self.bring)
        known = {"revision": record.known.revision, "complete": True, "members": record.known.members}
        self.first = read_list(known, self.offset_ms, "persisted")
        self.watch = DiscoveryWatch(
            record.discovery, record.known.revision, self.offset_ms, self.bring, owed=bool(self.first.spoilt)
        )
        self.health_checker = HealthChecker(PROBERS, facts.probe_ms, self.put_health_check, facts.probe_path)

    # from other threads

    def bring(self, news: tuple, key: Any = None, add: Callable | None = None) -> None:
        self.event_queue.put_nowait(now_ms(), news, key, add)

    def put_health_check(self, result: HealthCheckResult) -> None:
        self.bring(("probe", *result))

    # the deciding thread

    def run(self, reload: Callable[[], PlatformConfiguration]) -> None:
        """Decide until a signal asks to stop."""
        self.take_list(self.first)
        self.control_intervals.record_arrival(now_ms() - self.facts.tick_ms)
        threading.Thread(target=self.front.poller.run, daemon=True).start()
        self.watch.start()
        self.log.info(
            "pilot ready", pilot=self.record.name, address=self.front.poller.address,
            endpoints=len(self.addresses), limits=limits_of(self.record, self.facts)._asdict(),
        )  # fmt: skip
        while not self.stops:
            if self.reloads:
                self.reloads = False
                self.reload(reload)
            self.turn()
        self.say()
        self.front.poller.stop()

    def turn(self) -> None:
        """Wait for news or for what is due next, take it in, decide, write."""
        wait_s = (self.control_intervals.due_ms() - now_ms()) / 1000.0
        if wait_s > 0:
            self.event_queue.wait(min(IDLE_S, wait_s))
        for arrived_ms, news in self.event_queue.drain(BATCH):
            TAKES[news[0]](self, *news[1:])
            self.control_intervals.record_arrival(arrived_ms)
        now = now_ms()
        due = self.control_intervals.due_ms()
        if due <= now:
            self.late_ms = max(self.late_ms, now - due)
            self.round(now)
        if now - self.said_ms > SAY_MS:
            self.say()

    def round(self, now: float) -> None:
        begun = time.thread_time()
        incoming = self.control_intervals.start(now)
        self.control_intervals.run(incoming, self.orders)
        for proxy, message in self.orders.flush():
            self.at[proxy].send(0, message)
            self.written += 1
            self.written_bytes += len(message)
        self.cpu_ms = max(self.cpu_ms, 1000.0 * (time.thread_time() - begun))

    def probe(self, endpoint: str) -> None:
        if endpoint in self.addresses:
            self.health_checker.request(endpoint, *self.addresses[endpoint])

    def note(self, text: str) -> None:
        self.log.info("note", reason=text)

    # news

    def take_join(self, peer: Connection, proxy: int, zone: str, usual: float, fresh: bool) -> None:
        if before := self.at.get(proxy):  # it has dialled anew before its old stream was seen to end
            if before.accept_number > peer.accept_number:  # both waited to be read, and the newer was read first
                peer.close("its proxy dialled anew")
                return
            self.take_leave(before, proxy)
            before.close("its proxy dialled anew")
        self.at[proxy] = peer
        self.orders.join(proxy)
        self.control_intervals.pending.proxy_streams.append(ProxyStreamEvent(proxy, True, zone, usual, fresh))
        self.log.info("proxy joined", proxy=proxy, zone=zone, fresh=fresh)

    def take_leave(self, peer: Connection, proxy: int) -> None:
        if self.at.get(proxy) is not peer:
            return  # the end of an older stream
        del self.at[proxy]
        self.orders.leave(proxy)
        self.control_intervals.pending.proxy_streams.append(ProxyStreamEvent(proxy, False))

    def take_receipt(self, peer: Connection, proxy: int, serial: int) -> None:
        if self.at.get(proxy) is peer and self.orders.answered(proxy, serial):
            self.control_intervals.pending.acks.append(serial)
        else:
            self.dropped["a mark that was not asked for"] += 1

    def take_sums(self, row: UpstreamStats) -> None:
        if row.endpoint in self.addresses or row.endpoint in self.gone:
            self.control_intervals.pending.upstream_stats.append(row)
            self.told.update(tries=int(row.attempts), failed=int(row.failures))
        else:
            self.dropped["sums of an endpoint that is not listed"] += 1

    def take_arrivals(self, row: DownstreamStats) -> None:
        self.control_intervals.pending.downstream_stats.append(row)
        self.told.update(arrived=int(row.requests), unanswered=int(row.unanswered))

    def take_probe(self, endpoint: str, answered: bool, took_ms: float, load: dict[str, float]) -> None:
        self.control_intervals.pending.health_checks.append(HealthCheckResult(endpoint, answered, took_ms, load))

    def take_list(self, news: DiscoveryUpdate) -> None:
        """What discovery says; addresses and names of what has gone are forgotten after a while."""
        now = now_ms()
        listed = {entry.endpoint for entry in news.entries if entry.state != "terminated"}
        gone = {entry.endpoint for entry in news.entries} - listed
        if news.kind == "complete":
            gone |= self.addresses.keys() - listed
        for endpoint in gone:
            if self.addresses.pop(endpoint, None):
                self.gone[endpoint] = now
        self.addresses.update({endpoint: news.addresses[endpoint] for endpoint in listed})
        forget_ms = FORGET_PERIODS * self.facts.start.report_interval_ms
        self.gone = {e: at for e, at in self.gone.items() if now - at < forget_ms and e not in listed}
        self.control_intervals.pending.endpoint_lists.append(EndpointListUpdate(news.kind, news.entries))

    # configuration and figures

    def reload(self, read: Callable[[], PlatformConfiguration]) -> None:
        """Take what may change in service; a file that can't be used leaves the old one in force."""
        try:
            record = read()
            pilot_facts(record, "the new configuration")
        except ConfigurationError as trouble:
            self.log.error("configuration kept", reason=str(trouble))
            return
        except Exception as trouble:  # a fault of ours with what stands there must not end a pilot that serves
            self.log.exception("configuration kept", reason=f"{type(trouble).__name__}: {trouble}")
            return
        kept = [name for name in ("name", "listen", "settings") if getattr(record, name) != getattr(self.record, name)]
        self.watch.move(record.discovery)
        self.record = record
        self.log.info("configuration read", discovery=record.discovery, needs_a_restart=kept)

    def say(self) -> None:
        """A line of figures."""
        self.said_ms = now_ms()
        front = self.front
        self.log.info(
            "figures", joined=len(self.at), connections=len(front.poller.connections),
            rounds=self.control_intervals.completed,
            late_ms=round(self.late_ms, 1), round_cpu_ms=round(self.cpu_ms, 1), cpu_s=round(time.process_time(), 2),
            messages=self.written, bytes=self.written_bytes, endpoints=len(self.addresses),
            dropped=dict(front.dropped + self.dropped), ended=dict(front.ended), watch=self.watch.state,
            dials=self.watch.dials, lines=self.watch.lines, revision=self.watch.revision,
            spoilt=self.watch.spoilt, owed=self.watch.owed, looks=self.watch.looks,
            believed={**believed(self.control_intervals.planner), **self.told}, **machine(),
        )  # fmt: skip
        self.late_ms = self.cpu_ms = 0.0


def believed(planner: Planner) -> dict[str, Any]:
    """What the module goes by, to be held against what the endpoints say."""
    return {
        "load": round(planner.capacity.mean_utilization, 2),
        "let_in": round(planner.admission.admitted_fraction, 2),
        "answered_per_s": round(planner.capacity.goodput_per_s, 1),
        "out": [endpoint for endpoint, state in planner.fleet.endpoints.items() if state.is_outlier],
    }  # fmt: skip


def machine() -> dict[str, float]:
    """Resident memory and descriptors of this process, where the system tells them."""
    try:
        with open("/proc/self/statm", encoding="ascii") as file:
            pages = int(file.read().split()[1])
        return {
            "resident_mb": round(pages * os.sysconf("SC_PAGE_SIZE") / 2**20, 1),
            "descriptors": len(os.listdir("/proc/self/fd")),
        }
    except (OSError, ValueError, IndexError):
        return {}


TAKES: dict[str, Callable[..., None]] = {
    "join": PlatformController.take_join,
    "leave": PlatformController.take_leave,
    "receipt": PlatformController.take_receipt,
    "sums": PlatformController.take_sums,
    "arrivals": PlatformController.take_arrivals,
    "probe": PlatformController.take_probe,
    "list": PlatformController.take_list,
}
