"""The rollout gate: decides which changes of a table may take effect now.

The planner decides the content of tables; the gate withholds changes and reports them.  Ejections always pass, and so
do weights of 0 unless they would remove the last warm endpoint.  Other changes are checked against the table in effect.
Withheld are: weights of endpoints that are not in service, weights of warming endpoints above their share, moves of
more traffic at a time than configured, admission limits and retry policies out of bounds, and changes that leave a
table without a warm endpoint.  A withheld change waits and is checked again with the wanted state at that time.
Performs no I/O and reads no clock; times are milliseconds.
"""

import math
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

MAX_ADMISSION_RATE = 1e7  # requests a second
FULL_CAPACITY = 1.0
WARM_UP_SLACK = 2.0  # allowed multiple of a warming endpoint's share of the mean, because slots are integers

# Rules.  The values are written to the log.
NOT_IN_SERVICE = "gone"
WARMING_UP = "cold"
MOVED_SHARE = "moves"
OUT_OF_BOUNDS = "level"
NO_WARM_ENDPOINT = "bare"


class WithheldChange(NamedTuple):
    """A change that may not take effect, the rule and the reason; `endpoint` or `class_index` is -1 if unaffected."""

    table: int
    rule: str
    reason: str
    endpoint: int = -1
    class_index: int = -1


@dataclass(slots=True)
class EndpointStates:
    """The states of endpoints that the gate's rules depend on."""

    in_service: set[int] = field(default_factory=set)
    capacity_shares: dict[int, float] = field(default_factory=dict)  # usable share of capacity, by warming endpoint
    started_ms: dict[int, float] = field(default_factory=dict)  # start of each listed endpoint; 0: long ago

    def is_warm(self, endpoint: int) -> bool:
        """Whether an endpoint is in service and has its full capacity."""
        return endpoint in self.in_service and self.capacity_shares.get(endpoint, FULL_CAPACITY) >= FULL_CAPACITY


class RolloutGate:
    """Allows or withholds changes of tables.

    Attributes:
        max_moved_share: The share of a table's traffic that may be moved within `window_ms`; 0: no limit.
        window_ms: See `max_moved_share`.
        max_retry_policies: The highest retry policy that each class allows.
    """

    def __init__(self, max_moved_share: float, window_ms: float, max_retry_policies: list[int]) -> None:
        self.max_moved_share, self.window_ms = max_moved_share, window_ms
        self.max_retry_policies = max_retry_policies
        self.moved: dict[int, deque[tuple[float, float]]] = {}  # (time, share) of each move, by table

    def moved_share(self, table: int, now_ms: float) -> float:
        """Returns the share of a table's traffic that was moved within the window."""
        moves = self.moved.setdefault(table, deque())
        while moves and moves[0][0] <= now_ms - self.window_ms:
            moves.popleft()
        return sum(share for _, share in moves)

    def filter_weights(
        self,
        table: int,
        current: Mapping[int, float],
        wanted: Mapping[int, float],
        endpoints: EndpointStates,
        now_ms: float,
    ) -> tuple[dict[int, float], list[WithheldChange]]:
        """Returns the weights that may take effect now and the withheld changes.  The largest moves are allowed first.

        Args:
            table: The table's number.
            current: All weights of the table in effect.
            wanted: The weights to change.
            endpoints: The states of endpoints.
            now_ms: The current time.
        """
        passed: dict[int, float] = {}
        withheld: list[WithheldChange] = []
        total = sum(current.values())
        is_limited = self.max_moved_share and total
        remaining = self.max_moved_share - self.moved_share(table, now_ms) if is_limited else math.inf
        mean = total / len(current) if current else 0.0
        moved = 0.0
        for endpoint, weight in sorted(wanted.items(), key=lambda row: -abs(row[1] - current.get(row[0], 0.0))):
            before = current.get(endpoint, 0.0)
            if weight == before:
                continue
            # Removals, and reductions for an endpoint that is warming up or not in service, are exempt from the limit.
            is_urgent = weight < before and (weight <= 0.0 or not endpoints.is_warm(endpoint))
            if not weight < before and (change := self.check_weight(table, endpoint, weight, mean, endpoints)):
                withheld.append(change)
                continue
            share = abs(weight - before) / total if total else 0.0
            # In a small table, an endpoint that is added exceeds the limit alone; it takes effect by itself.
            is_addition = not before and weight <= mean and not moved and remaining == self.max_moved_share
            if not is_urgent and moved + share > remaining and not is_addition:
                withheld.append(self._moved_too_much(table, endpoint, share, max(0.0, remaining - moved)))
                continue
            moved += 0.0 if is_urgent else share
            passed[endpoint] = weight
        passed = self._keep_warm_endpoint(table, current, passed, endpoints, withheld)
        if moved:
            self.moved[table].append((now_ms, moved))
        return passed, withheld

    def _moved_too_much(self, table: int, endpoint: int, share: float, remaining: float) -> WithheldChange:
        reason = f"moves {share:.2f} of the traffic, {remaining:.2f} remaining of {self.max_moved_share:g}"
        return WithheldChange(table, MOVED_SHARE, reason, endpoint)

    @staticmethod
    def _keep_warm_endpoint(
        table: int,
        current: Mapping[int, float],
        passed: dict[int, float],
        endpoints: EndpointStates,
        withheld: list[WithheldChange],
    ) -> dict[int, float]:
        """Returns the passed weights, except changes that would leave the table without a warm endpoint."""

        def has_warm(weights: Mapping[int, float]) -> bool:
            return any(endpoints.is_warm(endpoint) and weight > 0 for endpoint, weight in weights.items())

        if not has_warm(current) or has_warm({**current, **passed}):
            return passed
        retained = {endpoint for endpoint in passed if endpoints.is_warm(endpoint) and current.get(endpoint, 0.0) > 0}
        withheld.append(WithheldChange(table, NO_WARM_ENDPOINT, f"removes the last {len(retained)} warm endpoints"))
        return {endpoint: weight for endpoint, weight in passed.items() if endpoint not in retained}

    def check_weight(
        self, table: int, endpoint: int, weight: float, mean: float, endpoints: EndpointStates
    ) -> WithheldChange | None:
        """Returns why a weight may not be added or raised; None if it may.  `mean`: the mean of the table's weights."""
        if not math.isfinite(weight):
            return WithheldChange(table, MOVED_SHARE, f"expected a finite weight, got {weight}", endpoint)
        if endpoint not in endpoints.in_service:
            return WithheldChange(table, NOT_IN_SERVICE, "endpoint is draining or not in service", endpoint)
        share = endpoints.capacity_shares.get(endpoint, FULL_CAPACITY)
        if share < FULL_CAPACITY and mean and weight > max(1.0, WARM_UP_SLACK * share * mean):
            reason = f"weight {weight:g}, limit {WARM_UP_SLACK * share * mean:.1f} while warming up"
            return WithheldChange(table, WARMING_UP, reason, endpoint)
        return None

    def check_admission(self, table: int, class_index: int, limit: float, retry_policy: int) -> WithheldChange | None:
        """Returns why an admission limit or retry policy may not take effect; None if it may."""
        if not 0.0 <= limit <= MAX_ADMISSION_RATE:  # also rejects NaN
            return WithheldChange(
                table, OUT_OF_BOUNDS, f"admission limit {limit} out of bounds", class_index=class_index
            )
        max_policy = self.max_retry_policies[class_index]
        if not 0 <= retry_policy <= max_policy:
            reason = f"retry policy {retry_policy}, expected 0 to {max_policy}"
            return WithheldChange(table, OUT_OF_BOUNDS, reason, class_index=class_index)
        return None
