"""The controller: runs the planner and connects it to proxies, collectors, discovery and endpoints.

Threads:

- the deciding thread, which calls `PlatformController.run`, owns the planner, `EventHandler` and `ProtocolOutput`;
- `connections` polls the sockets and owns `ConnectionManager`;
- `discovery-watch` watches the endpoint list;
- `health-check-N` run health checks of endpoints.

The other threads pass events to the deciding thread through one `EventQueue` and never block on it.  Updates are sent
as the planner writes them and are not paced here: the update channel that the planner's budget models is the
platform's own (docs/node.md).
"""

import threading
import time
from collections.abc import Callable, Hashable
from typing import Any

import structlog

from quillstep.controller.control_intervals import ControlIntervals
from quillstep.controller.decision_log import DecisionLog
from quillstep.controller.event_queue import EventQueue
from quillstep.controller.health_checker import HealthChecker
from quillstep.controller.start_times import StartTimes
from quillstep.net.clock import now_ms, wall_clock_offset_ms
from quillstep.net.threads import set_thread_stack_size
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
from quillstep.platform.endpoint_log import EndpointLog
from quillstep.platform.endpoint_registry import EndpointRegistry
from quillstep.platform.event_handler import ControllerEvent, EventHandler
from quillstep.platform.protocol.connections import ConnectionLimits, ConnectionManager
from quillstep.platform.protocol.updates import ProtocolOutput
from quillstep.platform.status import IntervalMetrics, status_fields

MAX_EVENTS_PER_PASS = 1024
MAX_QUEUED_EVENTS = 4096  # above this queue length statistics are merged
MAX_QUEUED_STATS = 1  # unused: this controller queues all its input as events
MAX_WAIT_S = 0.1  # also bounds the delay until a signal is handled
STATUS_INTERVAL_MS = 5000.0
HEALTH_CHECK_WORKERS = 12
RESERVED_DESCRIPTORS = 24  # for the log, the watch, the listener and the interpreter
REMOVED_ENDPOINT_RETENTION_INTERVALS = 30.0  # report intervals in which a removed endpoint's reports are accepted
RESTART_ONLY_FIELDS = ("name", "listen", "settings")  # configuration fields that need a restart


def connection_limits(configuration: PlatformConfiguration) -> ConnectionLimits:
    """Return limits that let unregistered connections use all free descriptors; new ones evict the oldest of them.

    A lower limit on unregistered connections would close proxies whose registration arrives in several segments when
    all proxies reconnect at once, although descriptors are free.
    """
    free = configuration.limits.sockets - RESERVED_DESCRIPTORS - HEALTH_CHECK_WORKERS
    return ConnectionLimits(max_connections=free, max_unregistered=free)


def parse_initial_list(configuration: PlatformConfiguration) -> DiscoveryUpdate:
    """Parse the configuration's endpoint list; see `parse_endpoint_list`."""
    initial = configuration.initial_list
    document = {"revision": initial.revision, "complete": True, "members": initial.members}
    return parse_endpoint_list(document, "persisted")


class PlatformController:
    """One controller; `run` is called in the deciding thread.

    Signal handlers set `reload_requested` and `stop_requested`: two separate flags, so that neither signal cancels the
    other.
    """

    def __init__(self, configuration: PlatformConfiguration, config: ControllerConfig) -> None:
        """Bind the listening socket and start the health check workers; `run` starts everything else.

        Raises:
            OSError: The address cannot be bound.
        """
        set_thread_stack_size()
        self.configuration, self.config = configuration, config
        self.reload_requested = self.stop_requested = False
        self.log = structlog.get_logger("controller")
        self.event_queue: EventQueue[ControllerEvent] = EventQueue(MAX_QUEUED_EVENTS, MAX_QUEUED_STATS)
        planner = Planner(config.planner, parse_seed(configuration.seed))
        self.intervals = ControlIntervals(planner, config.batch_window_ms)
        self.output = ProtocolOutput(
            config.class_names, self._request_health_check, self.intervals.set_timer, self._log_note
        )
        retention_ms = REMOVED_ENDPOINT_RETENTION_INTERVALS * config.planner.report_interval_ms
        self.endpoints = EndpointRegistry(retention_ms)
        start_times = StartTimes(wall_clock_offset_ms(), retention_ms)
        self.endpoint_log, self.decision_log = EndpointLog(planner), DecisionLog(planner)
        self.handler = EventHandler(self.intervals, self.output, self.endpoints, start_times, self.endpoint_log, now_ms)
        self.interval_metrics = IntervalMetrics()
        self.last_status_ms = now_ms()
        self.connections = ConnectionManager(
            configuration.listen, connection_limits(configuration), config.deployment, self.publish
        )
        self.initial_update = parse_initial_list(configuration)
        self.watch = DiscoveryWatch(
            configuration.discovery,
            self.initial_update.revision,
            self.publish,
            has_missing_entries=bool(self.initial_update.rejected),
        )
        self.health_checker = HealthChecker(
            HEALTH_CHECK_WORKERS, config.health_check_timeout_ms, self.publish, config.health_check_path
        )

    def publish(
        self, event: ControllerEvent, key: Hashable = None, merge: Callable[[Any, Any], Any] | None = None
    ) -> None:
        """Queue an event for the deciding thread; may be called from any thread.  See `EventQueue.put_nowait`."""
        self.event_queue.put_nowait(now_ms(), event, key, merge)

    # The deciding thread

    def run(self, read_configuration: Callable[[], PlatformConfiguration]) -> None:
        """Handle events and run control intervals until `stop_requested` is set.

        The threads started here are daemons and are not joined: each may be blocked on a peer, which must not delay
        the process's exit.

        Args:
            read_configuration: Called on each reload; raises `ConfigurationError` if the file is invalid.
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
        """Wait for an event or the next deadline, handle queued events, and run a control interval if one is due."""
        wait_s = (self.intervals.due_ms() - now_ms()) / 1000.0
        if wait_s > 0:
            self.event_queue.wait(min(MAX_WAIT_S, wait_s))
        for arrived_ms, event in self.event_queue.drain(MAX_EVENTS_PER_PASS):
            self.handler.handle(event)
            self.intervals.record_arrival(arrived_ms)
        now = now_ms()
        due_ms = self.intervals.due_ms()
        if due_ms <= now:
            self.interval_metrics.max_late_ms = max(self.interval_metrics.max_late_ms, now - due_ms)
            self.run_interval(now)
        if now - self.last_status_ms > STATUS_INTERVAL_MS:
            self.log_status()

    def run_interval(self, now: float) -> None:
        """Run the planner once and send its updates; `now` is the monotonic time in milliseconds."""
        started_s = time.thread_time()
        observations = self.intervals.start(now)
        self.intervals.run(observations, self.output)
        self.endpoint_log.record_output(self.output, now)
        self.decision_log.record()
        for proxy, update in self.output.flush():
            self.handler.streams[proxy].send(0, update)
            self.interval_metrics.updates_sent += 1
            self.interval_metrics.update_bytes_sent += len(update)
        self.interval_metrics.max_cpu_ms = max(
            self.interval_metrics.max_cpu_ms, 1000.0 * (time.thread_time() - started_s)
        )

    def _request_health_check(self, endpoint: str) -> None:
        if endpoint in self.endpoints.addresses:
            self.health_checker.request(endpoint, *self.endpoints.addresses[endpoint])

    def _log_note(self, text: str) -> None:
        self.log.info("planner note", note=text)

    def reload(self, read_configuration: Callable[[], PlatformConfiguration]) -> None:
        """Reload the configuration; an invalid file is logged and the current configuration stays in effect.

        Only discovery's address changes at run time; changes to `RESTART_ONLY_FIELDS` are logged.
        """
        try:
            configuration = read_configuration()
            controller_config(configuration, "the new configuration")
        except ConfigurationError as error:
            self.log.error("configuration rejected", reason=str(error))
            return
        except Exception as error:  # an internal error in a reload must not stop the controller
            self.log.exception("configuration rejected", reason=f"{type(error).__name__}: {error}")
            return
        needs_restart = [
            field
            for field in RESTART_ONLY_FIELDS
            if getattr(configuration, field) != getattr(self.configuration, field)
        ]
        self.watch.set_address(configuration.discovery)
        self.configuration = configuration
        self.log.info("configuration reloaded", discovery=configuration.discovery, needs_restart=needs_restart)

    def log_status(self) -> None:
        """Log the status line and reset the maxima of its period."""
        self.last_status_ms = now_ms()
        fields = status_fields(self.handler, self.connections, self.watch, self.intervals, self.interval_metrics)
        self.log.info("status", **fields)
        self.interval_metrics.reset_maxima()
