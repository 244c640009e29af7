"""The rollout gate: which changes of a table may take effect now.  Without I/O and clocks; times are milliseconds.

The planner says what tables hold; the gate withholds and reports.  Ejections and weights of 0 always pass.  All else is
checked against what is in effect: a weight of an endpoint that is not in service, one of a warming endpoint above its
part, more of the traffic moved at a time than configured, admission limits and retry policies out of bounds, a table
without a warm endpoint.  What is withheld waits, and is checked again with what is wanted then.
"""

import math
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

MAX_ADMISSION_RATE = 1e7  # requests a second
FULL_CAPACITY = 1.0
WARM_UP_SLACK = 2.0  # times its part of the mean that a warming endpoint may have, for slots are whole numbers

# Rules.  The values are shown in the log.
NOT_IN_SERVICE = "gone"
WARMING_UP = "cold"
MOVED_SHARE = "moves"
OUT_OF_BOUNDS = "level"
NO_WARM_ENDPOINT = "bare"


class WithheldChange(NamedTuple):
    """What may not take effect, by which rule and why; `endpoint` or `class_index` is -1 where it is about neither."""

    table: int
    rule: str
    reason: str
    endpoint: int = -1
    class_index: int = -1


@dataclass(slots=True)
class EndpointStates:
    """What is known of endpoints."""

    in_service: set[int] = field(default_factory=set)
    capacity_shares: dict[int, float] = field(default_factory=dict)  # of its capacity that a warming endpoint has
    started_ms: dict[int, float] = field(default_factory=dict)  # of each listed endpoint; 0: long ago

    def is_warm(self, endpoint: int) -> bool:
        """Whether an endpoint is in service and has its full capacity."""
        return endpoint in self.in_service and self.capacity_shares.get(endpoint, FULL_CAPACITY) >= FULL_CAPACITY


class RolloutGate:
    """Allows `max_moved_share` of a table's traffic to be moved within `window_ms`; 0: any.

    `max_retry_policies`: the highest policy that each class allows.
    """

    def __init__(self, max_moved_share: float, window_ms: float, max_retry_policies: list[int]) -> None:
        self.max_moved_share, self.window_ms = max_moved_share, window_ms
        self.max_retry_policies = max_retry_policies
        self.moved: dict[int, deque[tuple[float, float]]] = {}  # when, and which share, by table

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
        """Returns the weights that may take effect now and what is withheld.  The largest moves go first.

        Args:
            table: The table's number.
            current: All its weights in effect.
            wanted: The weights to change.
            endpoints: What is known of endpoints.
            now_ms: The present time.
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
            # What takes from an endpoint that is warming up or gone, and what removes one, is never withheld.
            is_urgent = weight < before and (weight <= 0.0 or not endpoints.is_warm(endpoint))
            if not weight < before and (change := self.check_weight(table, endpoint, weight, mean, endpoints)):
                withheld.append(change)
                continue
            share = abs(weight - before) / total if total else 0.0
            if not is_urgent and moved + share > remaining:
                withheld.append(self._moved_too_much(table, endpoint, share, max(0.0, remaining - moved)))
                continue
            moved += 0.0 if is_urgent else share
            passed[endpoint] = weight
        passed = self._keep_warm_endpoint(table, current, passed, endpoints, withheld)
        if moved:
            self.moved[table].append((now_ms, moved))
        return passed, withheld

    def _moved_too_much(self, table: int, endpoint: int, share: float, left: float) -> WithheldChange:
        reason = f"{share:.2f} of the traffic to be moved, {left:.2f} left of {self.max_moved_share:g}"
        return WithheldChange(table, MOVED_SHARE, reason, endpoint)

    @staticmethod
    def _keep_warm_endpoint(
        table: int,
        current: Mapping[int, float],
        passed: dict[int, float],
        endpoints: EndpointStates,
        withheld: list[WithheldChange],
    ) -> dict[int, float]:
        """Returns the weights that pass without those that would leave the table without a warm endpoint."""

        def has_warm(weights: Mapping[int, float]) -> bool:
            return any(endpoints.is_warm(endpoint) and weight > 0 for endpoint, weight in weights.items())

        if not has_warm(current) or has_warm({**current, **passed}):
            return passed
        kept = {endpoint for endpoint in passed if endpoints.is_warm(endpoint) and current.get(endpoint, 0.0) > 0}
        withheld.append(WithheldChange(table, NO_WARM_ENDPOINT, f"the last {len(kept)} warm lines would go"))
        return {endpoint: weight for endpoint, weight in passed.items() if endpoint not in kept}

    def check_weight(
        self, table: int, endpoint: int, weight: float, mean: float, endpoints: EndpointStates
    ) -> WithheldChange | None:
        """Returns why a weight may not be added or grow; None: it may.  `mean`: of the table's weights."""
        if not math.isfinite(weight):
            return WithheldChange(table, MOVED_SHARE, f"a weight of {weight}", endpoint)
        if endpoint not in endpoints.in_service:
            return WithheldChange(table, NOT_IN_SERVICE, "it drains or is gone", endpoint)
        share = endpoints.capacity_shares.get(endpoint, FULL_CAPACITY)
        if share < FULL_CAPACITY and mean and weight > max(1.0, WARM_UP_SLACK * share * mean):
            reason = f"weight {weight:g}, {WARM_UP_SLACK * share * mean:.1f} for a cold one"
            return WithheldChange(table, WARMING_UP, reason, endpoint)
        return None

    def check_admission(self, table: int, class_index: int, limit: float, retry_policy: int) -> WithheldChange | None:
        """Returns why an admission limit or retry policy may not take effect; None: it may."""
        if not 0.0 <= limit <= MAX_ADMISSION_RATE:  # false for NaN, too
            return WithheldChange(table, OUT_OF_BOUNDS, f"a level of {limit}", class_index=class_index)
        max_policy = self.max_retry_policies[class_index]
        if not 0 <= retry_policy <= max_policy:
            reason = f"way {retry_policy} of trying again, {max_policy} at most"
            return WithheldChange(table, OUT_OF_BOUNDS, reason, class_index=class_index)
        return None
