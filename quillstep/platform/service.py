"""One controller: its planner, connected by the platform's protocol to proxies, collectors, discovery and endpoints.

Threads, all started here but the one that calls `PlatformController.run`:

- the deciding thread, which called `run`, owns the planner, `EventHandler` and `ProtocolOutput`;
- `connections` polls the sockets and owns `ConnectionManager`;
- `discovery-watch` follows the endpoint list;
- `health-check-N` check endpoints.

The last three pass events to the first by one `EventQueue`, and never wait for it.  Updates leave as the planner
wrote them: the channel that its update budget counts for is the platform's own (docs/node.md).
"""

import threading
import time
from collections.abc import Callable, Hashable
from typing import Any

import structlog

from quillstep.controller.control_intervals import ControlIntervals
from quillstep.controller.event_queue import EventQueue
from quillstep.controller.health_checker import HealthChecker
from quillstep.net.clock import now_ms
from quillstep.planner.planner import Planner
from quillstep.platform.configuration import (
    ConfigurationError,
    ControllerConfig,
    PlatformConfiguration,
    controller_config,
    parse_seed,
)
from quillstep.platform.discovery_watch import DiscoveryWatch
from quillstep.platform.endpoint_list import DiscoveryUpdate, parse_endpoint_list
from quillstep.platform.endpoint_registry import EndpointRegistry
from quillstep.platform.event_handler import ControllerEvent, EventHandler
from quillstep.platform.protocol.connections import ConnectionLimits, ConnectionManager
from quillstep.platform.protocol.updates import ProtocolOutput
from quillstep.platform.status import IntervalFigures, status_fields

THREAD_STACK_BYTES = 256 * 1024
MAX_EVENTS_PER_PASS = 1024
MAX_QUEUED_EVENTS = 4096  # from here on statistics are merged
MAX_QUEUED_STATS = 1  # all events of this controller are queued as such
MAX_WAIT_S = 0.1  # also the longest that a signal waits
STATUS_INTERVAL_MS = 5000.0
HEALTH_CHECK_WORKERS = 12
RESERVED_DESCRIPTORS = 24  # the log, the watch, the listener, and what the interpreter opens
REMOVED_ENDPOINT_REPORT_INTERVALS = 30.0  # for which reports on a removed endpoint are taken
FIXED_FIELDS = ("name", "listen", "settings")  # of the configuration: they change by a restart only


def connection_limits(configuration: PlatformConfiguration) -> ConnectionLimits:
    """Return limits by which unregistered connections may use all free descriptors, and are evicted for new ones.

    Guards against closing a proxy whose registration arrives in pieces while descriptors are free, when all proxies
    reconnect at once.
    """
    free = configuration.limits.sockets - RESERVED_DESCRIPTORS - HEALTH_CHECK_WORKERS
    return ConnectionLimits(max_connections=free, max_unregistered=free)


def parse_initial_list(configuration: PlatformConfiguration, clock_offset_ms: float) -> DiscoveryUpdate:
    """Return the configuration's endpoint list; see `parse_endpoint_list`."""
    initial = configuration.initial_list
    document = {"revision": initial.revision, "complete": True, "members": initial.members}
    return parse_endpoint_list(document, clock_offset_ms, "persisted")


class PlatformController:
    """One controller; `run` is the deciding thread.

    Signal handlers set `reload_requested` and `stop_requested`, each apart so that none undoes the other.
    """

    def __init__(self, configuration: PlatformConfiguration, config: ControllerConfig) -> None:
        """Bind the socket and start the health check workers; all else starts with `run`.

        Raises:
            OSError: The address can't be bound.
        """
        threading.stack_size(THREAD_STACK_BYTES)
        self.configuration, self.config = configuration, config
        self.reload_requested = self.stop_requested = False
        self.log = structlog.get_logger("controller")
        self.event_queue: EventQueue[ControllerEvent] = EventQueue(MAX_QUEUED_EVENTS, MAX_QUEUED_STATS)
        planner = Planner(config.planner, parse_seed(configuration.seed))
        self.intervals = ControlIntervals(planner, config.batch_window_ms)
        self.output = ProtocolOutput(
            config.class_names, self._request_health_check, self.intervals.set_timer, self._log_note
        )
        self.endpoints = EndpointRegistry(REMOVED_ENDPOINT_REPORT_INTERVALS * config.planner.report_interval_ms)
        self.handler = EventHandler(self.intervals, self.output, self.endpoints, now_ms)
        self.figures = IntervalFigures()
        self.last_status_ms = now_ms()
        self.connections = ConnectionManager(
            configuration.listen, connection_limits(configuration), config.deployment, self.publish
        )
        clock_offset_ms = now_ms() - time.time() * 1000.0
        self.initial_update = parse_initial_list(configuration, clock_offset_ms)
        self.watch = DiscoveryWatch(
            configuration.discovery,
            self.initial_update.revision,
            clock_offset_ms,
            self.publish,
            has_missing_entries=bool(self.initial_update.rejected),
        )
        self.health_checker = HealthChecker(
            HEALTH_CHECK_WORKERS, config.health_check_timeout_ms, self.publish, config.health_check_path
        )

    def publish(
        self, event: ControllerEvent, key: Hashable = None, merge: Callable[[Any, Any], Any] | None = None
    ) -> None:
        """Pass an event to the deciding thread, from any thread; see `EventQueue.put_nowait`."""
        self.event_queue.put_nowait(now_ms(), event, key, merge)

    # The deciding thread

    def run(self, read_configuration: Callable[[], PlatformConfiguration]) -> None:
        """Decide until `stop_requested`.

        The threads that this starts are daemons and not joined: each may wait for a peer, and a stop must not.
        """
        self.handler.handle(self.initial_update)
        self.intervals.record_arrival(now_ms() - self.config.batch_window_ms)
        threading.Thread(target=self.connections.poller.run, name="connections", daemon=True).start()
        self.watch.start()
        self.log.info(
            "controller ready",
            controller=self.configuration.name,
            address=self.connections.poller.address,
            endpoints=len(self.endpoints.addresses),
            limits=connection_limits(self.configuration)._asdict(),
        )
        while not self.stop_requested:
            if self.reload_requested:
                self.reload_requested = False
                self.reload(read_configuration)
            self.run_pass()
        self.log_status()
        self.connections.poller.stop()

    def run_pass(self) -> None:
        """Wait for an event or for what is due next, handle what has arrived, and decide where an interval is due."""
        wait_s = (self.intervals.due_ms() - now_ms()) / 1000.0
        if wait_s > 0:
            self.event_queue.wait(min(MAX_WAIT_S, wait_s))
        for arrived_ms, event in self.event_queue.drain(MAX_EVENTS_PER_PASS):
            self.handler.handle(event)
            self.intervals.record_arrival(arrived_ms)
        now = now_ms()
        due_ms = self.intervals.due_ms()
        if due_ms <= now:
            self.figures.max_late_ms = max(self.figures.max_late_ms, now - due_ms)
            self.run_interval(now)
        if now - self.last_status_ms > STATUS_INTERVAL_MS:
            self.log_status()

    def run_interval(self, now: float) -> None:
        """Run the planner once, and send its updates."""
        begun_s = time.thread_time()
        observations = self.intervals.start(now)
        self.intervals.run(observations, self.output)
        for proxy, update in self.output.flush():
            self.handler.streams[proxy].send(0, update)
            self.figures.updates_sent += 1
            self.figures.update_bytes_sent += len(update)
        self.figures.max_cpu_ms = max(self.figures.max_cpu_ms, 1000.0 * (time.thread_time() - begun_s))

    def _request_health_check(self, endpoint: str) -> None:
        if endpoint in self.endpoints.addresses:
            self.health_checker.request(endpoint, *self.endpoints.addresses[endpoint])

    def _log_note(self, text: str) -> None:
        self.log.info("planner note", note=text)

    def reload(self, read_configuration: Callable[[], PlatformConfiguration]) -> None:
        """Apply what may change in service; a file that can't be used leaves the old configuration in force."""
        try:
            configuration = read_configuration()
            controller_config(configuration, "the new configuration")
        except ConfigurationError as error:
            self.log.error("configuration rejected", reason=str(error))
            return
        except Exception as error:  # an internal error over the file must not end a controller that serves
            self.log.exception("configuration rejected", reason=f"{type(error).__name__}: {error}")
            return
        fixed = [field for field in FIXED_FIELDS if getattr(configuration, field) != getattr(self.configuration, field)]
        self.watch.set_address(configuration.discovery)
        self.configuration = configuration
        self.log.info("configuration reloaded", discovery=configuration.discovery, needs_restart=fixed)

    def log_status(self) -> None:
        """Write the status line, and begin its next period."""
        self.last_status_ms = now_ms()
        fields = status_fields(self.handler, self.connections, self.watch, self.intervals, self.figures)
        self.log.info("status", **fields)
        self.figures.reset_maxima()
