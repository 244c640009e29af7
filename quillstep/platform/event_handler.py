"""Applies events to the state of the deciding thread: streams, endpoints and the planner's next observations."""

from collections import Counter
from collections.abc import Callable
from typing import Any

import structlog

from quillstep.controller.control_intervals import ControlIntervals
from quillstep.controller.start_times import StartTimes
from quillstep.planner.messages import (
    DownstreamStats,
    EndpointListUpdate,
    HealthCheckResult,
    ProxyStreamEvent,
    UpstreamStats,
)
from quillstep.planner.planner import Planner
from quillstep.platform.endpoint_list import DiscoveryUpdate
from quillstep.platform.endpoint_log import EndpointLog
from quillstep.platform.endpoint_registry import EndpointRegistry
from quillstep.platform.protocol.events import (
    AckReceived,
    ProtocolConnection,
    ProtocolEvent,
    ProxyConnected,
    ProxyDisconnected,
)
from quillstep.platform.protocol.updates import ProtocolOutput

ControllerEvent = ProtocolEvent | HealthCheckResult | DiscoveryUpdate


class EventHandler:
    """Holds the deciding thread's state of streams and endpoints; `handle` dispatches events by their type."""

    def __init__(
        self,
        intervals: ControlIntervals[Planner],
        output: ProtocolOutput,
        endpoints: EndpointRegistry,
        start_times: StartTimes,
        endpoint_log: EndpointLog,
        clock_ms: Callable[[], float],
    ) -> None:
        self.intervals, self.output, self.endpoints, self.clock_ms = intervals, output, endpoints, clock_ms
        self.start_times, self.endpoint_log = start_times, endpoint_log
        self.streams: dict[int, ProtocolConnection] = {}  # by connected proxy
        self.dropped: Counter[str] = Counter()  # discarded reports by reason
        self.report_totals: Counter[str] = Counter()  # attempts and requests passed to the planner
        self.log = structlog.get_logger("controller")

    def handle(self, event: ControllerEvent) -> None:
        """Apply one event."""
        HANDLERS[type(event)](self, event)

    def _handle_connected(self, event: ProxyConnected) -> None:
        connection, proxy = event.connection, event.proxy
        if previous := self.streams.get(proxy):  # reconnected before its old stream was seen to close
            if previous.accept_number > connection.accept_number:  # the newer of two unread connections was read first
                connection.close("proxy reconnected on a newer connection")
                return
            self._remove_stream(previous, proxy)
            previous.close("proxy reconnected on a newer connection")
        self.streams[proxy] = connection
        self.output.add_proxy(proxy)
        self.intervals.pending.proxy_streams.append(
            ProxyStreamEvent(proxy, True, event.zone, event.expected_requests_per_s, event.is_fresh)
        )
        self.log.info("proxy connected", proxy=proxy, zone=event.zone, is_fresh=event.is_fresh)

    def _handle_disconnected(self, event: ProxyDisconnected) -> None:
        self._remove_stream(event.connection, event.proxy)

    def _remove_stream(self, connection: ProtocolConnection, proxy: int) -> None:
        if self.streams.get(proxy) is not connection:
            return  # an older stream, already replaced
        del self.streams[proxy]
        self.output.remove_proxy(proxy)
        self.intervals.pending.proxy_streams.append(ProxyStreamEvent(proxy, False))

    def _handle_ack(self, event: AckReceived) -> None:
        is_current = self.streams.get(event.proxy) is event.connection
        if is_current and self.output.accept_ack(event.proxy, event.serial):
            self.intervals.pending.acks.append(event.serial)
        else:
            self.dropped["ack not requested"] += 1

    def _handle_upstream_stats(self, stats: UpstreamStats) -> None:
        if self.endpoints.is_known(stats.endpoint):
            self.intervals.pending.upstream_stats.append(stats)
            self.report_totals.update(attempts=int(stats.attempts), failures=int(stats.failures))
        else:
            self.dropped["stats of an unlisted endpoint"] += 1

    def _handle_downstream_stats(self, stats: DownstreamStats) -> None:
        self.intervals.pending.downstream_stats.append(stats)
        self.report_totals.update(requests=int(stats.requests), unanswered=int(stats.unanswered))

    def _handle_health_check(self, result: HealthCheckResult) -> None:
        self.intervals.pending.health_checks.append(result)

    def _handle_discovery_update(self, update: DiscoveryUpdate) -> None:
        now_ms = self.clock_ms()
        self.endpoints.apply(update, now_ms)
        is_complete = update.kind == "complete"
        entries = self.start_times.to_entries(update.entries, is_complete, now_ms)
        self.endpoint_log.record_list(entries, is_complete, now_ms)
        self.intervals.pending.endpoint_lists.append(EndpointListUpdate(update.kind, entries))


HANDLERS: dict[type, Callable[[EventHandler, Any], None]] = {
    ProxyConnected: EventHandler._handle_connected,
    ProxyDisconnected: EventHandler._handle_disconnected,
    AckReceived: EventHandler._handle_ack,
    UpstreamStats: EventHandler._handle_upstream_stats,
    DownstreamStats: EventHandler._handle_downstream_stats,
    HealthCheckResult: EventHandler._handle_health_check,
    DiscoveryUpdate: EventHandler._handle_discovery_update,
}
