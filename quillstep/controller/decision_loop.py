"""The work of the deciding thread, without the thread: handles events, and sends updates and responses in passes.

Time is an argument: the running controller passes its own clock, a replay the times of a recording.  The output
depends only on which events came before which pass, and on which connections were full at the end of each pass.
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

MAX_LOGGED_PROXIES = 8  # names in one log line


class DecisionLoop:
    """The core and the fronts of one controller."""

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
            epoch: The name of the controller's incarnation.
            tap: Called with each row of the socket record.
            publish: Called with the events of the file front's threads.
            disk: The file front's disk; a replay passes one that accesses no files.
        """
        self.core = ControllerCore(settings)
        context = FrontContext(settings, self.core.tables, self.core, epoch, self.core.revision_time_ms, tap)
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
        """Handles one event."""
        self.core.now_ms = now_ms
        self.handlers[type(event)](event, now_ms)

    def handle_endpoint_list(self, event: EndpointListReceived, now_ms: float) -> None:
        """Applies an endpoint list; the next control interval includes it."""
        self.core.handle_endpoint_list(event)
        self.core.record_arrival(now_ms)

    def handle_file_event(self, event: FileEvent, now_ms: float) -> None:
        """Passes an event to the file front, if this controller has one."""
        if self.files:
            self.files.handle_event(event, now_ms)

    def run_pass(self, now_ms: float) -> None:
        """Releases updates, runs a control interval if one is due, and lets the fronts send."""
        self.core.step(now_ms)
        pending, self.core.tables.pending_proxies = self.core.tables.pending_proxies, set()
        for front in self.fronts:
            front.pump(now_ms, pending)
        self._report_retry_policies(now_ms)

    def _report_retry_policies(self, now_ms: float) -> None:
        """Reports which proxies may still use a retry policy looser than their class allows, and which no longer can.

        While any proxy may, the endpoints must keep recognizing repeated idempotency keys.
        """
        changes = self.core.retry_policies.changes(now_ms)
        nodes = {number: node for node, number in self.core.proxies.numbers.items()} if changes else {}
        for change in changes:
            class_name = self.core.settings.fleet.classes[change.class_index].name
            for exceeds, proxies in ((True, change.exceeding), (False, change.compliant)):
                for proxy in proxies:
                    self.tap("way", now_ms, kind=class_name, proxy=nodes[proxy], loose=exceeds)
            proxy_count = len(self.core.retry_policies.proxies)
            if not change.count_exceeding:
                self.log.info("retry policy in effect", class_name=class_name, proxies=proxy_count)
            elif change.count_exceeding == len(change.exceeding):  # none exceeded it before these changes
                names = [nodes[proxy] for proxy in change.exceeding[:MAX_LOGGED_PROXIES]]
                self.log.info(
                    "looser retry policy still in effect",
                    class_name=class_name,
                    retry_policy=change.retry_policy,
                    proxies=names,
                    of=proxy_count,
                )

    def next_ms(self) -> float:
        """Returns when the next pass is due if no event arrives."""
        due_times_ms = [front.next_ms() for front in self.fronts]
        return min([self.core.next_ms(), self.core.retry_policies.next_expiry_ms, *due_times_ms])
