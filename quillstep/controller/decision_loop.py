"""The deciding thread's work without its thread: events in, one pass, updates and responses out.  Time is an argument.

The running controller calls this with its clock and sockets; a replay calls it with a recording's.  Which events came
before which pass, and which connections were full at its end, are all that decide what comes out.
"""

from collections.abc import Callable
from typing import Any, get_args

import structlog

from quillstep.config.controller import ControllerSettings
from quillstep.controller.core import ControllerCore
from quillstep.controller.events import EndpointListReceived
from quillstep.files.disk import Disk
from quillstep.files.events import FileEvent
from quillstep.files.front import FileFront
from quillstep.load_reports.events import ReportsSummarized
from quillstep.planner.messages import HealthCheckResult
from quillstep.store.events import StoreEvent
from quillstep.xds.events import StreamEvent
from quillstep.xds.front import XdsFront
from quillstep.xds.proxy_front import FrontContext

ControllerEvent = StreamEvent | FileEvent | StoreEvent | EndpointListReceived | HealthCheckResult | ReportsSummarized

MAX_NAMED_PROXIES = 8  # in one log line


class DecisionLoop:
    """Core and fronts of one controller."""

    def __init__(
        self,
        settings: ControllerSettings,
        epoch: str,
        tap: Callable[..., None],
        publish: Callable[[FileEvent], None],
        disk: Disk | None = None,
    ) -> None:
        """Sets up the core and its fronts.

        Args:
            settings: The controller's settings.
            epoch: The name of this run of its process.
            tap: Is given each row of the sockets' record.
            publish: Takes events of the file front's threads.
            disk: The file front's disk; a replay gives one that touches no files.
        """
        self.core = ControllerCore(settings)
        context = FrontContext(settings, self.core.tables, self.core, epoch, self.core.ordered_ms, tap)
        self.streams = XdsFront(context)
        self.fronts: list[Any] = [self.streams]
        self.tap = tap
        self.log = structlog.get_logger("controller")
        self.files: FileFront | None = None
        if settings.files.root:
            self.files = FileFront(context, publish, disk)
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

    def run_pass(self, now_ms: float) -> None:
        """Releases updates, decides if a control interval is due, and has the fronts send."""
        self.core.step(now_ms)
        pending, self.core.tables.pending_proxies = self.core.tables.pending_proxies, set()
        for front in self.fronts:
            front.pump(now_ms, pending)
        self._report_retry_policies(now_ms)

    def _report_retry_policies(self, now_ms: float) -> None:
        """Reports where a retry policy beyond what its class allows may be in effect, and since when it no longer can.

        Until then the endpoints must go on recognising repeated keys.
        """
        changes = self.core.retry_policies.changes(now_ms)
        nodes = {number: node for node, number in self.core.proxies.numbers.items()} if changes else {}
        for change in changes:
            class_name = self.core.settings.fleet.classes[change.class_index].name
            for exceeds, proxies in ((True, change.exceeding), (False, change.compliant)):
                for proxy in proxies:
                    self.tap("way", now_ms, kind=class_name, proxy=nodes[proxy], loose=exceeds)
            known = len(self.core.retry_policies.proxies)
            if not change.count_exceeding:
                self.log.info("retry policy in effect", class_name=class_name, proxies=known)
            elif change.count_exceeding == len(change.exceeding):  # the first of them
                first = [nodes[proxy] for proxy in change.exceeding[:MAX_NAMED_PROXIES]]
                self.log.info(
                    "looser retry policy still in effect",
                    class_name=class_name,
                    retry_policy=change.retry_policy,
                    proxies=first,
                    of=known,
                )

    def next_ms(self) -> float:
        """When a pass has something to do without any event."""
        waits = [front.next_ms() for front in self.fronts]
        return min([self.core.next_ms(), self.core.retry_policies.next_expiry_ms, *waits])
