"""A model of a proxy in virtual time, driven by its tables.

Modelled: weighted round robin, local ejection, admission, retries, and load reports.  Not modelled: the proxy's own
processor time and its stalls.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from quillstep.load_reports.upstream_stats import ClassArrivals, EndpointRow
from quillstep.load_reports.validation import LoadReport
from quillstep.replay.endpoint_model import AttemptOutcome
from quillstep.replay.inference import NETWORK_MS
from quillstep.replay.modelled_scenario import ModelledScenario, Row, ServedRequest
from quillstep.replay.proxy_tables import ProxyTables
from quillstep.routing.retry_policies import IDEMPOTENT_RETRY_POLICY, MAX_RETRY_POLICY

INITIAL_TABLE = -1  # The table that a proxy uses until it gets one from a controller.
BUCKET_MS = 250.0  # Capacity of a token bucket, as time at its rate.
MIN_RETRY_TIME_SHARE = 0.1  # Share of the latency objective; no retry is started with less time left.


@dataclass(slots=True)
class TokenBucket:
    """A token bucket, full at first."""

    rate_per_s: float
    capacity: float
    tokens: float
    refilled_ms: float

    @classmethod
    def full(cls, rate_per_s: float, now_ms: float) -> "TokenBucket":
        """Returns a full bucket for a rate, with a capacity of at least one token."""
        capacity = max(1.0, round(rate_per_s * BUCKET_MS / 1000.0))
        return cls(rate_per_s, capacity, capacity, now_ms)

    def take(self, now_ms: float) -> bool:
        """Takes a token; returns False if there is none."""
        refill = (now_ms - self.refilled_ms) * self.rate_per_s / 1000.0
        self.tokens = min(self.capacity, self.tokens + refill)
        self.refilled_ms = now_ms
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


@dataclass(slots=True)
class Attempt:
    """One attempt of a request.

    Attributes:
        request: The request's row.
        retries: The number of attempts before this one.
        tried: The addresses tried so far, this one included.
        may_retry: Whether the retry policy allows a further attempt after this one.
    """

    request: Row
    class_index: int
    retries: int
    tried: set[str]
    address: str
    sent_ms: float
    retry_policy: int
    may_retry: bool


class ModelledProxy:
    """A modelled proxy.

    Args:
        name: The proxy's name.
        row: Its entry in the recorded fleet.
        scenario: The state shared with the other parts of the replay.
        draw: Returns a random number in [0, 1).
    """

    def __init__(self, name: str, row: dict[str, Any], scenario: ModelledScenario, draw: Callable[[], float]) -> None:
        self.name = name
        self.zone: str = row["zone"]
        self.expected_requests_per_s: float = row["usual"]
        self.tables = ProxyTables()
        self._scenario, self._draw = scenario, draw
        self._initial_weights = {f"{host}:{port}": 1.0 for host, port in row["standing"]}
        self._current_weights: dict[int, dict[str, float]] = {}  # Smooth weighted round robin, by table and address.
        self._consecutive_failures: dict[str, int] = {}
        self._ejected_until_ms: dict[str, float] = {}
        self._buckets: dict[int, TokenBucket] = {}
        self._upstream: dict[str, EndpointRow] = {}  # Counts since the last report, like `_arrivals`.
        self._arrivals: dict[int, ClassArrivals] = {}
        self._reported_ms = scenario.clock.now_ms
        self._report_count = 0

    def receive_request(self, recorded: Row) -> None:
        """Handles a request that arrives now."""
        now_ms = self._scenario.clock.now_ms
        class_index = self._scenario.class_indices[recorded["class"]]
        self._arrivals_of(class_index).arrived += 1
        request = {
            "at": now_ms,
            "end": now_ms,
            "proxy": self.name,
            "class": recorded["class"],
            "exchange": recorded["exchange"],
            "outcome": "refused",
            "tries": [],
        }
        self._scenario.requests.append(request)
        if self._admits(class_index, now_ms):
            self._begin_attempt(request, class_index, 0, set())

    def take_load_report(self) -> LoadReport:
        """Returns the load report of the window that ends now, and starts the next window."""
        now_ms = self._scenario.clock.now_ms
        window_ms, self._reported_ms = now_ms - self._reported_ms, now_ms
        self._report_count += 1
        report = LoadReport(self._report_count, now_ms, now_ms, window_ms, 0)
        for address, row in self._upstream.items():
            if not self._scenario.fleet.probes.load_only_here:
                row.load = self._scenario.endpoints_by_address[address].load(now_ms)["util"]
            report.rows.append(row)
        report.arrivals = list(self._arrivals.values())
        self._upstream, self._arrivals = {}, {}
        return report

    def _admits(self, class_index: int, now_ms: float) -> bool:
        route = self.tables.routes.get(class_index)
        if route is None:
            return True
        if route.limit_per_s is not None:
            return self._is_within_rate(class_index, route.limit_per_s, now_ms)
        share = self.tables.admitted_shares.get(route.table, {}).get(class_index, 1.0)
        return share >= 1.0 or self._draw() < share

    def _is_within_rate(self, class_index: int, limit_per_s: float, now_ms: float) -> bool:
        if limit_per_s <= 0.0:
            return False
        bucket = self._buckets.get(class_index)
        if bucket is None or bucket.rate_per_s != limit_per_s:
            bucket = self._buckets[class_index] = TokenBucket.full(limit_per_s, now_ms)
        return bucket.take(now_ms)

    def _choose_endpoint(self, class_index: int, tried: set[str], now_ms: float) -> str | None:
        """Returns the next endpoint of a class's table; a locally ejected one only if no other is usable."""
        route = self.tables.routes.get(class_index)
        table, weights = INITIAL_TABLE, self._initial_weights
        if route is not None and route.table in self.tables.weights:
            table, weights = route.table, self.tables.weights[route.table]
        unusable = self.tables.ejected_addresses | tried
        usable = {address: weight for address, weight in weights.items() if address not in unusable}
        preferred = {
            address: weight for address, weight in usable.items() if self._ejected_until_ms.get(address, 0.0) <= now_ms
        }
        return self._select_by_weight(table, preferred or usable)

    def _select_by_weight(self, table: int, weights: dict[str, float]) -> str | None:
        """Selects by smooth weighted round robin; an endpoint new to a table starts at a random position."""
        if not weights:
            return None
        current_weights = self._current_weights.setdefault(table, {})
        for address, weight in weights.items():
            current = current_weights.get(address)
            current_weights[address] = self._draw() * weight + weight if current is None else current + weight
        selected = max(weights, key=current_weights.__getitem__)
        current_weights[selected] -= sum(weights.values())
        return selected

    def _begin_attempt(self, request: Row, class_index: int, retries: int, tried: set[str]) -> None:
        now_ms = self._scenario.clock.now_ms
        address = self._choose_endpoint(class_index, tried, now_ms)
        if address is None:
            self._fail(request, class_index, "failed" if request["tries"] else "bare")
            return
        retry_policy = self._retry_policy(class_index)
        may_retry = retries < max_retries(retry_policy)
        attempt = Attempt(request, class_index, retries, tried | {address}, address, now_ms, retry_policy, may_retry)
        outcome = self._send(attempt)
        if outcome.was_executed:
            endpoint = self._scenario.endpoints_by_address[address]
            class_ = self._scenario.fleet.classes[class_index]
            served = ServedRequest(endpoint.number, now_ms, class_, self.name, request["exchange"])
            self._scenario.served_requests.append(served)
        self._scenario.clock.call_at(outcome.ended_ms, self._end_attempt, attempt, outcome.result)

    def _send(self, attempt: Attempt) -> AttemptOutcome:
        """Sends an attempt now; returns its outcome."""
        scenario, now_ms = self._scenario, attempt.sent_ms
        endpoint = scenario.endpoints_by_address[attempt.address]
        if self._draw() < endpoint.unreachable_share(now_ms):
            return AttemptOutcome("no connection", now_ms + NETWORK_MS, False)
        if not endpoint.connect(self.name, now_ms):
            return AttemptOutcome("reset", now_ms + NETWORK_MS, False)
        class_ = scenario.fleet.classes[attempt.class_index]
        is_duplicate = scenario.is_duplicate(class_, attempt.request["exchange"], now_ms)
        outcome = endpoint.attempt(class_, now_ms, self._deadline_ms(attempt), is_duplicate)
        is_reusable = outcome.result in ("ok", "error")
        scenario.clock.call_at(outcome.ended_ms, endpoint.release, self.name, outcome.ended_ms, is_reusable)
        return outcome

    def _deadline_ms(self, attempt: Attempt) -> float:
        """Returns when an attempt times out: at the request's deadline, or earlier if a retry may follow."""
        fleet = self._scenario.fleet
        class_ = fleet.classes[attempt.class_index]
        deadline_ms: float = attempt.request["at"] + class_.deadline_ms
        if attempt.may_retry and attempt.retry_policy >= IDEMPOTENT_RETRY_POLICY:
            timeout_ms = fleet.proxies.attempt_timeout_factor * class_.latency_objective_ms
            return min(deadline_ms, attempt.sent_ms + timeout_ms)
        return deadline_ms

    def _end_attempt(self, attempt: Attempt, result: str) -> None:
        now_ms = self._scenario.clock.now_ms
        request = attempt.request
        request["tries"].append([attempt.address, attempt.sent_ms, now_ms, result, ""])
        self._count(attempt.address, result == "ok", now_ms - attempt.sent_ms, now_ms)
        if result == "ok":
            request.update(end=now_ms, outcome="ok")
        elif self._is_retried(attempt, result, now_ms):
            self._begin_attempt(request, attempt.class_index, attempt.retries + 1, attempt.tried)
        else:
            self._fail(request, attempt.class_index, "failed")

    def _is_retried(self, attempt: Attempt, result: str, now_ms: float) -> bool:
        class_ = self._scenario.fleet.classes[attempt.class_index]
        needed_ms = MIN_RETRY_TIME_SHARE * class_.latency_objective_ms
        if not attempt.may_retry or now_ms + needed_ms > attempt.request["at"] + class_.deadline_ms:
            return False
        return attempt.retry_policy >= IDEMPOTENT_RETRY_POLICY or result == "no connection"

    def _fail(self, request: Row, class_index: int, outcome: str) -> None:
        request.update(end=self._scenario.clock.now_ms, outcome=outcome)
        self._arrivals_of(class_index).unanswered += 1

    def _retry_policy(self, class_index: int) -> int:
        route = self.tables.routes.get(class_index)
        return route.retry_policy if route else self._scenario.fleet.proxies.default_retry_policy

    def _arrivals_of(self, class_index: int) -> ClassArrivals:
        return self._arrivals.setdefault(class_index, ClassArrivals(class_index, 0, 0))

    def _count(self, address: str, is_success: bool, took_ms: float, now_ms: float) -> None:
        """Counts an attempt for the load report; consecutive failures eject the endpoint locally."""
        number = self._scenario.endpoints_by_address[address].number
        row = self._upstream.setdefault(address, EndpointRow(number, 0, 0, 0.0, None))
        if is_success:
            row.succeeded += 1
            row.succeeded_ms += took_ms
            self._consecutive_failures.pop(address, None)
            return
        row.failed += 1
        failures = self._consecutive_failures.get(address, 0) + 1
        self._consecutive_failures[address] = failures
        settings = self._scenario.fleet.proxies
        if settings.local_ejection_failures and failures >= settings.local_ejection_failures:
            self._ejected_until_ms[address] = now_ms + settings.local_ejection_ms
            self._consecutive_failures[address] = 0


def max_retries(retry_policy: int) -> int:
    """Returns the number of retries that a policy allows."""
    if retry_policy == MAX_RETRY_POLICY:
        return 2
    return 1 if retry_policy else 0
