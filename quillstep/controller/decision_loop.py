"""The deciding thread's work without its thread: news in, one turn, orders and responses out.  Time is an argument.

The running pilot calls this with its clock and sockets; a replay calls it with a captured day's.  What came in, in
which turn and what was full at its end are all that decide what comes out.
"""

from collections.abc import Callable
from typing import Any

import structlog

from quillstep.config.controller import ControllerSettings
from quillstep.controller.core import ControllerCore
from quillstep.files.front import FileFront
from quillstep.xds.front import XdsFront

WAITS_SHOWN = 8  # proxies that one line of the log names


class DecisionLoop:
    """Core and fronts of one pilot.  `put` is where a file front's threads hand their news over."""

    def __init__(
        self,
        record: ControllerSettings,
        epoch: str,
        tap: Callable[..., None],
        put: Callable[[tuple], None],
        disk: Any = None,
    ) -> None:
        self.core = ControllerCore(record)
        ordered = self.core.ordered_ms
        self.streams = XdsFront(record, self.core.tables, self.core, epoch, ordered, tap)
        self.fronts: list[Any] = [self.streams]
        self.tap = tap
        self.log = structlog.get_logger("pilot")
        self.files: FileFront | None = None
        if record.files.root:
            self.files = FileFront(record, self.core.tables, self.core, epoch, ordered, tap, put, disk)
            self.fronts.append(self.files)

    def take(self, news: tuple, now_ms: float) -> None:
        """One piece of news, of whatever kind."""
        self.core.now_ms = now_ms
        if news[0] == "roster":
            self.core.roster(*news[1:])
            self.core.heard(now_ms)
        elif news[0] == "probe":
            self.core.probed(*news[1:])
        elif news[0] == "reports":
            self.core.gathered(news[2])
        elif news[0] == "store":
            self.core.from_store(*news[1:])
        elif news[0] == "files":
            if self.files:
                self.files.handle_event(news, now_ms)
        else:
            self.streams.handle_event(news, now_ms)

    def turn(self, now_ms: float) -> None:
        """Let pushes leave, decide if a round is due, and have the fronts send."""
        self.core.step(now_ms)
        stirred, self.core.tables.pending_proxies = self.core.tables.pending_proxies, set()
        for front in self.fronts:
            front.pump(now_ms, stirred)

        self.tell_ways(now_ms)

    def tell_ways(self, now_ms: float) -> None:
        """Say of which classes a looser way of trying again than they allow may still be gone by, and when it no longer
        can be: until then whoever drops repeats must go on with it."""
        changes = self.core.ways.changes(now_ms)
        nodes = {number: node for node, number in self.core.numbers.items()} if changes else {}
        for told in changes:
            kind = self.core.record.fleet.classes[told.class_index].name
            for loose, proxies in ((True, told.exceeding), (False, told.compliant)):
                for proxy in proxies:
                    self.tap("way", now_ms, kind=kind, proxy=nodes[proxy], loose=loose)
            known = len(self.core.ways.proxies)
            if not told.count_exceeding:
                self.log.info("way of trying again in force", kind=kind, proxies=known)
            elif told.count_exceeding == len(told.exceeding):  # the first of them
                first = [nodes[proxy] for proxy in told.exceeding[:WAITS_SHOWN]]
                self.log.info(
                    "looser way of trying again stands", kind=kind, way=told.retry_policy, proxies=first, of=known
                )

    def next_ms(self) -> float:
        """When a turn has something to do without any news."""
        waits = [front.next_ms() for front in self.fronts]
        return min([self.core.next_ms(), self.core.ways.next_expiry_ms, *waits])
