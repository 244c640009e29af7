"""A model of an endpoint in virtual time: cores with a queue, connections, warm-up, inferred hidden conditions."""

import heapq
from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple

from quillstep.config.fleet import ClassSettings, FleetSettings
from quillstep.replay.inference import NETWORK_MS, InferredEndpoints

LOAD_WINDOW_MS = 500.0
HEALTH_CHECK_WORK_MS = 2.0
UNLIMITED_CONNECTIONS = 10**9


class BusySpan(NamedTuple):
    """A span in which a core was busy; milliseconds."""

    begin_ms: float
    end_ms: float


class AttemptOutcome(NamedTuple):
    """What a proxy observes of an attempt.

    Attributes:
        result: `ok` or the kind of failure, as in recorded attempts.
        ended_ms: When the proxy learns the result.
        was_executed: Whether the endpoint executed the request.
    """

    result: str
    ended_ms: float
    was_executed: bool


class HealthCheckOutcome(NamedTuple):
    """The result of a health check; `load` is empty if the endpoint did not answer."""

    is_healthy: bool
    took_ms: float
    load: dict[str, float]


class ModelledEndpoint:
    """An endpoint whose cores execute work in order of arrival.

    Args:
        number: The endpoint's number.
        row: Its entry in the recorded fleet.
        fleet: The fleet's settings.
        inferred: Speeds and conditions of endpoints.
        draw: Returns a random number in [0, 1).
    """

    def __init__(
        self,
        number: int,
        row: dict[str, Any],
        fleet: FleetSettings,
        inferred: InferredEndpoints,
        draw: Callable[[], float],
    ) -> None:
        self.number = number
        self.address = f"{row['host']}:{row['port']}"
        self.speed = inferred.speeds.get(number, row.get("speed", 1.0))
        self.cores: int = row["cores"]
        self.started_ms = 0.0
        self.is_draining = False
        self._fleet, self._inferred, self._draw = fleet, inferred, draw
        self._core_free_ms = [0.0] * self.cores
        self._busy: deque[BusySpan] = deque()
        self._max_connections: int = row.get("connections_most", UNLIMITED_CONNECTIONS)
        self._connect_work_ms: float = row.get("connect_work_ms", 0.0)
        self._idle_since_ms: dict[str, list[float]] = {}  # When each idle connection became idle, by proxy.
        self._connections_in_use = 0

    def unreachable_share(self, now_ms: float) -> float:
        """Returns the share of attempts that get no connection in the endpoint's hidden condition."""
        return self._inferred.condition_at(self.number, now_ms).unreachable

    def connect(self, proxy: str, now_ms: float) -> bool:
        """Reuses an idle connection of a proxy or opens one; returns False if the connection limit is reached."""
        keep_alive_ms = self._fleet.proxies.keep_alive_ms
        idle = self._idle_since_ms.get(proxy)
        while idle:
            if now_ms - idle.pop() < keep_alive_ms:
                self._connections_in_use += 1
                return True
        if self._count_connections() >= self._max_connections:
            self._close_expired(now_ms)
            if self._count_connections() >= self._max_connections:
                return False
        self._connections_in_use += 1
        self._run(self._connect_work_ms, now_ms, 1.0)
        return True

    def release(self, proxy: str, now_ms: float, is_reusable: bool) -> None:
        """Ends the use of a connection, which stays open if it is reusable; one that failed or timed out is not."""
        self._connections_in_use -= 1
        if is_reusable:
            self._idle_since_ms.setdefault(proxy, []).append(now_ms)

    def load(self, now_ms: float) -> dict[str, float]:
        """Returns the utilization of the cores and requests per second over the last `LOAD_WINDOW_MS`."""
        since_ms = now_ms - LOAD_WINDOW_MS
        while self._busy and self._busy[0].end_ms < since_ms:
            self._busy.popleft()
        busy_ms = sum(max(0.0, min(now_ms, end_ms) - max(since_ms, begin_ms)) for begin_ms, end_ms in self._busy)
        return {
            "util": min(1.0, busy_ms / (LOAD_WINDOW_MS * self.cores)),
            "qps": len(self._busy) * 1000.0 / LOAD_WINDOW_MS,
        }

    def attempt(
        self, request_class: ClassSettings, now_ms: float, deadline_ms: float, is_duplicate: bool
    ) -> AttemptOutcome:
        """Serves an attempt on an open connection; a duplicate of an idempotent request is not executed again."""
        condition = self._inferred.condition_at(self.number, now_ms)
        if self._draw() < condition.failing:
            return AttemptOutcome("error", now_ms + NETWORK_MS, False)
        if is_duplicate:
            return AttemptOutcome("ok", now_ms + NETWORK_MS, False)
        is_unanswered = self._draw() < condition.unresponsive
        if max(now_ms, self._core_free_ms[0]) > deadline_ms:
            return AttemptOutcome("time-out", deadline_ms, False)
        end_ms = self._run(request_class.work_ms, now_ms, condition.slowdown)
        if is_unanswered or end_ms + NETWORK_MS > deadline_ms:
            return AttemptOutcome("time-out", deadline_ms, True)
        return AttemptOutcome("ok", end_ms + NETWORK_MS, True)

    def check_health(self, now_ms: float, timeout_ms: float) -> HealthCheckOutcome:
        """Runs a health check; returns its result."""
        condition = self._inferred.condition_at(self.number, now_ms)
        if self._draw() < max(condition.unreachable, condition.unresponsive):
            is_timeout = condition.unresponsive > condition.unreachable
            return HealthCheckOutcome(False, timeout_ms if is_timeout else NETWORK_MS, {})
        took_ms = self._run(HEALTH_CHECK_WORK_MS, now_ms, 1.0) - now_ms + NETWORK_MS
        is_healthy = took_ms < timeout_ms and not self.is_draining
        return HealthCheckOutcome(is_healthy, min(took_ms, timeout_ms), self.load(now_ms))

    def _count_connections(self) -> int:
        return self._connections_in_use + sum(len(idle) for idle in self._idle_since_ms.values())

    def _close_expired(self, now_ms: float) -> None:
        keep_alive_ms = self._fleet.proxies.keep_alive_ms
        for proxy, idle in self._idle_since_ms.items():
            self._idle_since_ms[proxy] = [since_ms for since_ms in idle if now_ms - since_ms < keep_alive_ms]

    def _warm_share(self, now_ms: float) -> float:
        """Returns the current share of the usual speed, which rises linearly during warm-up."""
        rules = self._fleet.rules
        if not self.started_ms:
            return 1.0
        initial = rules.initial_capacity
        return min(1.0, initial + (1.0 - initial) * max(0.0, now_ms - self.started_ms) / rules.warm_up_ms)

    def _run(self, work_ms: float, now_ms: float, slowdown: float) -> float:
        """Queues work on the core that is free first; returns when the work ends, in milliseconds."""
        begin_ms = max(now_ms, self._core_free_ms[0])
        end_ms = begin_ms + work_ms * slowdown / (self.speed * self._warm_share(now_ms))
        heapq.heapreplace(self._core_free_ms, end_ms)
        self._busy.append(BusySpan(begin_ms, end_ms))
        return end_ms
