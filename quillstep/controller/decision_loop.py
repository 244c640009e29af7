"""The deciding thread's work without its thread: news in, one turn, orders and responses out.  Time is an argument.

The running pilot calls this with its clock and sockets; a replay calls it with a captured day's.  What came in, in
which turn and what was full at its end are all that decide what comes out.
"""

from collections.abc import Callable
from typing import Any, get_args

import structlog

from quillstep.config.controller import ControllerSettings
from quillstep.controller.core import ControllerCore
from quillstep.controller.events import EndpointListReceived
from quillstep.files.events import FileEvent
from quillstep.files.front import FileFront
from quillstep.load_reports.events import ReportsSummarized
from quillstep.planner.messages import HealthCheckResult
from quillstep.store.events import StoreEvent
from quillstep.xds.events import StreamEvent
from quillstep.xds.front import XdsFront
from quillstep.xds.proxy_front import FrontContext

ControllerEvent = StreamEvent | FileEvent | StoreEvent | EndpointListReceived | HealthCheckResult | ReportsSummarized

WAITS_SHOWN = 8  # proxies that one line of the log names


class DecisionLoop:
    """Core and fronts of one pilot.  `put` is where a file front's threads hand their news over."""

    def __init__(
        self,
        record: ControllerSettings,
        epoch: str,
        tap: Callable[..., None],
        put: Callable[[FileEvent], None],
        disk: Any = None,
    ) -> None:
        self.core = ControllerCore(record)
        context = FrontContext(record, self.core.tables, self.core, epoch, self.core.ordered_ms, tap)
        self.streams = XdsFront(context)
        self.fronts: list[Any] = [self.streams]
        self.tap = tap
        self.log = structlog.get_logger("pilot")
        self.files: FileFront | None = None
        if record.files.root:
            self.files = FileFront(context, put, disk)
            self.fronts.append(self.files)
        self.handlers: dict[type, Callable[[Any, float], None]] = {
            **dict.fromkeys(get_args(StreamEvent), self.streams.handle_event),
            **dict.fromkeys(get_args(FileEvent), self.handle_file_event),
            **dict.fromkeys(get_args(StoreEvent), lambda event, _: self.core.handle_store_event(event)),
            EndpointListReceived: self.handle_endpoint_list,
            HealthCheckResult: lambda event, _: self.core.add_health_check(event),
            ReportsSummarized: lambda event, _: self.core.add_report_summary(event.summary),
        }

    def handle(self, event: ControllerEvent, now_ms: float) -> None:
        """Take in one event."""
        self.core.now_ms = now_ms
        self.handlers[type(event)](event, now_ms)

    def handle_endpoint_list(self, event: EndpointListReceived, now_ms: float) -> None:
        """Take in an answer of endpoint discovery; the next control interval includes it."""
        self.core.handle_endpoint_list(event)
        self.core.record_arrival(now_ms)

    def handle_file_event(self, event: FileEvent, now_ms: float) -> None:
        """Pass an event on to the file front, where this controller has one."""
        if self.files:
            self.files.handle_event(event, now_ms)

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
        changes = self.core.retry_policies.changes(now_ms)
        nodes = {number: node for node, number in self.core.proxies.numbers.items()} if changes else {}
        for told in changes:
            kind = self.core.settings.fleet.classes[told.class_index].name
            for loose, proxies in ((True, told.exceeding), (False, told.compliant)):
                for proxy in proxies:
                    self.tap("way", now_ms, kind=kind, proxy=nodes[proxy], loose=loose)
            known = len(self.core.retry_policies.proxies)
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
        return min([self.core.next_ms(), self.core.retry_policies.next_expiry_ms, *waits])
