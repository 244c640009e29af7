"""The pilot without I/O: news in, rounds of the module, orders into tables and channel.  Time is an argument.

The same core runs on sockets in real time and wherever else news and a clock are passed in.
"""

import heapq
from collections.abc import Iterable
from typing import Any

import structlog

from quillstep.interface import Incoming
from quillstep.pilot.baselines import EvenPlanner, ListedPlanner
from quillstep.pilot.channel import Channel
from quillstep.pilot.intake import PlainIntake
from quillstep.reports.gather import Asked, Gatherer
from quillstep.reports.guard import Account, Told
from quillstep.reports.intake import INTAKE_PART, Intake
from quillstep.rules import Planner
from quillstep.settings import PilotRecord, start_facts
from quillstep.tables import Tables
from quillstep.tables.content import terms_of
from quillstep.tables.pace import STALL_PART
from quillstep.tables.ways import Ways, allowed_way

PLANNERS: dict[str, Any] = {"learnt": Planner, "even": EvenPlanner, "listed": ListedPlanner}
ORDERS_KEPT = 4096  # whose times are remembered


class Core:
    """Gathers news, calls the module once a round with all of it, and lets pushes leave the channel."""

    def __init__(self, record: PilotRecord) -> None:
        self.record = record
        self.facts = start_facts(record.fleet)
        channel, proxies = record.fleet.channel, record.fleet.proxies
        self.planner = PLANNERS[record.decides](self.facts, record.seed)
        classes = record.fleet.classes
        self.ways = Ways([allowed_way(row.semantics) for row in classes], [row.cut_off_ms for row in classes])
        stall_ms = STALL_PART * min(row.agreed_ms for row in classes) if record.limits.spreads else 0.0
        self.tables = Tables(
            len(classes), proxies.admission, proxies.base_tries, channel.lines_per_message, ways=self.ways,
            late_most_ms=channel.late_most_ms, stall_ms=stall_ms,
            messages_most=channel.messages_most, messages_over_ms=channel.messages_over_ms,
        )  # fmt: skip
        self.terms = terms_of(record.fleet.zones, any(row.home_only for row in classes))
        self.started: dict[int, float] = {}  # when each listed endpoint started, 0: long ago
        self.channel = Channel(channel.lines_per_s)
        self.plain = PlainIntake(INTAKE_PART * proxies.report_every_ms)
        self.intake = Intake(record)
        self.by_inbox = record.reports.by == "inbox"
        self.gatherer = Gatherer(
            record.reports, record.fleet
        )  # of reports that come with the news, as files do
        self.asked: list[Asked] = []  # what proxies are to be asked for
        self.moves: list[tuple] = []  # what other gatherers are to be told: joins, leaves, addresses
        self.places = {row.name: place for place, row in enumerate(record.fleet.classes)}
        self.numbers: dict[str, int] = {}  # proxies by node name
        self.zones: dict[int, str] = {}  # of joined proxies
        self.fronts: dict[int, Any] = {}  # who carries to each joined proxy
        self.endpoints: dict[tuple[str, int], int] = {}  # by address
        self.states: dict[int, str] = {}
        self.listed = False  # the roster has spoken
        self.incoming = Incoming(0.0)
        self.news_ms: float | None = None  # when the first news since the last round came
        self.wakes: list[tuple[float, int]] = []
        self.ordered: dict[int, float] = {}
        self.probes: list[tuple[int, str, int]] = []  # to be asked: endpoint and address
        self.placed: list[tuple[int, str, int]] = []
        self.now_ms = 0.0
        self.rounds = 0
        self.orders: list[list[Any]] | None = None  # of the last round, where somebody wants them kept
        self.log = structlog.get_logger("pilot")

    # news

    def heard(self, now_ms: float) -> None:
        if self.news_ms is None:
            self.news_ms = now_ms

    def roster(self, kind: str, entries: list[tuple], addresses: dict[int, tuple[str, int]]) -> None:
        """News of the list; entries as the interface has them."""
        for endpoint, (host, port) in addresses.items():
            self.endpoints[host, port] = endpoint
            self.placed.append((endpoint, host, port))
        if addresses:
            self.gatherer.listed(self.endpoints)
            self.moves.append(
                ("listed", [[host, port, number] for number, (host, port) in addresses.items()])
            )
        for entry in entries:
            self.states[entry[0]], self.started[entry[0]] = entry[2], entry[4]
        self.listed = self.listed or kind != "error"
        self.incoming.lists.append((kind, entries))

    def join(
        self, node: str, zone: str, usual: float, held: dict, fresh: bool, front: Any = None, life: str = ""
    ) -> int:
        """A proxy is there by this front; one that another front had is dropped there first."""
        proxy = self.proxy_of(node)
        before = self.fronts.get(proxy) if proxy is not None else None
        if proxy is not None and before is not None and before is not front:
            before.drop(proxy, "it has moved to another front", self.now_ms)
        proxy = self.numbers.setdefault(node, len(self.numbers))
        self.zones[proxy] = zone
        self.fronts[proxy] = front
        self.tables.join(proxy, zone, held)
        self.ways.join(proxy, fresh, self.record.fleet.proxies.base_tries)
        usual_ms = self.record.fleet.proxies.report_every_ms
        self.gatherer.joined(Account(proxy, zone, life, usual_ms, usual_ms), node)
        self.intake.joined(proxy, self.now_ms)
        self.moves.append(("joined", node, proxy, zone, life))
        self.incoming.streams.append((proxy, True, zone, usual, fresh))
        self.heard(self.now_ms)
        return proxy

    def leave(self, proxy: int) -> None:
        self.zones.pop(proxy, None)
        self.fronts.pop(proxy, None)
        self.tables.leave(proxy)
        self.channel.drop(proxy)
        node = self.gatherer.names[proxy]
        self.gatherer.left(node)
        self.intake.left(proxy)
        self.moves.append(("left", node))
        self.incoming.streams.append((proxy, False, "", 0.0, False))
        self.heard(self.now_ms)

    def proxy_of(self, node: str) -> int | None:
        proxy = self.numbers.get(node)
        return proxy if proxy in self.zones else None

    def told(self, proxy: int, told: Told) -> None:
        """A load report that came with the news."""
        if self.by_inbox:
            self.take_plain(proxy, told)
        else:
            self.gatherer.take(self.gatherer.names[proxy], told, self.now_ms, self.now_ms)

    def take_plain(self, proxy: int, told: Told) -> None:
        """As the first pilot did: all of it, whatever it says."""
        for endpoint, good, failed, good_ms, load in told.rows:
            figures = {} if load is None else {"util": load}
            self.plain.tried(self.zones[proxy], endpoint, good + failed, failed, good_ms, figures)
        for place, arrived, unanswered in told.arrivals:
            self.plain.arrived(place, proxy, arrived, unanswered, told.covers_ms)

    def gathered(self, found: dict[str, Any]) -> None:
        """What another gatherer hands over."""
        self.intake.take(found, self.now_ms)

    def probed(self, endpoint: int, answered: bool, took_ms: float, load: dict[str, float]) -> None:
        self.incoming.probes.append((endpoint, answered, took_ms, load))
        self.heard(self.now_ms)

    # time

    def step(self, now_ms: float) -> None:
        """Let pushes leave, and call the module if anything is due; the caller then has its fronts pump."""
        self.now_ms = now_ms
        for push in self.channel.leave(now_ms):
            self.tables.release(push.proxy, push.number)
        if self.gatherer.due_ms() <= now_ms:
            self.complain(self.gatherer.complaints)
            self.gatherer.complaints = []
            self.intake.take(self.gatherer.hand_over(now_ms), now_ms)
        self.ask(self.intake.plan(now_ms) if not self.by_inbox else [])
        if receipts := self.tables.receipts():
            self.incoming.receipts += receipts
            self.heard(now_ms)
        if self.listed and self.due_ms() <= now_ms:
            self.round(now_ms)

    def ask(self, asked: list[Asked]) -> None:
        for each in asked:
            self.gatherer.ask(each)
        self.asked += asked

    def complain(self, complaints: list) -> None:
        """Say what was wrong with whose reports."""
        for name, text in complaints:
            self.log.warning("load report doubted", proxy=name, reason=text)
        for proxy in sorted(self.intake.bounded):
            name = self.gatherer.names.get(proxy, "")
            self.log.warning(
                "load report doubted", proxy=name, reason="tells of more than its part of all traffic"
            )
        self.intake.bounded.clear()

    def due_ms(self) -> float:
        """When the next round is due."""
        if not self.listed:
            return float("inf")
        due = self.wakes[0][0] if self.wakes else float("inf")
        due = min(due, self.plain.due_ms(), self.intake.due_ms())
        if self.news_ms is not None:
            due = min(due, self.news_ms + self.record.gather_ms)
        return due

    def next_ms(self) -> float:
        """When `step` has something to do next."""
        due = min(self.due_ms(), self.channel.next_ms(), self.gatherer.due_ms())
        return due if self.by_inbox else min(due, self.intake.plan_ms())

    def round(self, now_ms: float) -> None:
        while self.wakes and self.wakes[0][0] <= now_ms:
            heapq.heappop(self.wakes)
        incoming, self.incoming, self.news_ms = self.incoming, Incoming(0.0), None
        incoming.now_ms = now_ms
        intake = self.plain if self.by_inbox else self.intake
        if intake.due_ms() <= now_ms:
            incoming.sums, incoming.arrivals = intake.hand_over(now_ms)
            incoming.arrivals = [row for row in incoming.arrivals if row[1] in self.zones]
        self.tables.begin()
        warm_ms = self.record.fleet.rules.warm_after_ms
        self.tables.cold = {e: at for e, at in self.started.items() if at and now_ms - at < warm_ms}
        for endpoint, host, port in self.placed:
            self.tables.place(endpoint, host, port)
        self.placed = []
        self.ordered[self.tables.number] = now_ms
        self.ordered.pop(self.tables.number - ORDERS_KEPT, None)
        if self.orders is not None:
            self.orders = []
        self.planner.round(
            incoming, Writer(self) if self.orders is None else KeepingWriter(self, self.orders)
        )
        self.channel.put(self.tables.commit(), now_ms)
        self.rounds += 1

    def ordered_ms(self, number: int) -> float:
        return self.ordered.get(number, self.now_ms)


class Writer:
    """The `Orders` of the interface: into the tables, the prober, the wakes and the log."""

    def __init__(self, core: Core) -> None:
        self.core = core

    def line(self, table: int, endpoint: int, weight: float) -> None:
        self.core.tables.line(self.core.terms + table, endpoint, weight)

    def withdraw(self, endpoint: int, out: bool) -> None:
        core = self.core
        status = "draining" if core.states.get(endpoint) == "terminating" else "lost"
        core.tables.withdraw(endpoint, out, status)
        where = "{}:{}".format(*core.tables.addresses.get(endpoint, ("", 0)))
        said = "endpoint withdrawn" if out else "endpoint let back"
        core.log.info(said, endpoint=endpoint, address=where, status=status if out else "ready")

    def bind(self, proxy: int, table: int, classes: Iterable[int]) -> None:
        self.core.tables.bind(proxy, self.core.terms + table, classes)

    def level(self, table: int, classes: Iterable[int], allowed: float, tries: int) -> None:
        self.core.tables.level(self.core.terms + table, classes, allowed, tries)

    def probe(self, endpoint: int) -> None:
        if endpoint in self.core.tables.addresses:
            self.core.probes.append((endpoint, *self.core.tables.addresses[endpoint]))

    def receipt(self, serial: int) -> None:
        self.core.tables.receipt(serial)

    def watch_list(self) -> None:
        """Nothing to do: the roster's stream is dialled anew by itself, and brings what was missed."""

    def wake(self, token: int, at_ms: float) -> None:
        heapq.heappush(self.core.wakes, (at_ms, token))

    def note(self, text: str) -> None:
        self.core.log.info("note", reason=text)


class KeepingWriter:
    """Keeps each order as a plain list, and passes it on."""

    def __init__(self, core: Core, kept: list[list[Any]]) -> None:
        self.writer, self.kept = Writer(core), kept

    def __getattr__(self, name: str) -> Any:
        order = getattr(self.writer, name)

        def write(*arguments: Any) -> None:
            plain = [list(each) if isinstance(each, range | tuple) else each for each in arguments]
            self.kept.append([name, *plain])
            order(*arguments)

        return write
