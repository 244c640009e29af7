"""The gate: what of an order may leave now.  Without I/O and clocks; times are milliseconds.

The module says what tables hold; the gate refuses and reports.  Drains and deaths pass always: they are withdrawals,
which never come here, and lines of weight 0.  All else is checked against what stands: a line that names a gone
endpoint, a cold one above its part, more of the traffic moved at a time than stated, levels and ways out of bounds, a
table without a warm line.  What is refused waits, and is checked again with what is wanted then.
"""

import math
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

MAX_ADMISSION_RATE = 1e7  # a level beyond this is no level
FULL_CAPACITY = 1.0
WARM_UP_SLACK = 2.0  # a cold line may have this many times its part of the mean, for slots are whole numbers
NOT_IN_SERVICE, WARMING_UP, MOVED_SHARE, OUT_OF_BOUNDS, NO_WARM_ENDPOINT = "gone", "cold", "moves", "level", "bare"


class WithheldChange(NamedTuple):
    """What was kept from leaving, and why; `endpoint` or `place` -1 where it is about neither."""

    table: int
    rule: str
    reason: str
    endpoint: int = -1
    class_index: int = -1


@dataclass(slots=True)
class EndpointStates:
    """What is known of endpoints: listed as in service, and the part of its capacity that each surely has."""

    in_service: set[int] = field(default_factory=set)
    capacity_shares: dict[int, float] = field(default_factory=dict)  # of cold ones
    started_ms: dict[int, float] = field(default_factory=dict)  # when each listed endpoint started, 0: long ago

    def is_warm(self, endpoint: int) -> bool:
        return endpoint in self.in_service and self.capacity_shares.get(endpoint, FULL_CAPACITY) >= FULL_CAPACITY


class RolloutGate:
    """`max_moved_share` of a table's traffic may be moved within `over_ms`; 0: any.  `ways`: by class."""

    def __init__(self, max_moved_share: float, over_ms: float, ways: list[int]) -> None:
        self.max_moved_share, self.window_ms, self.max_retry_policies = max_moved_share, over_ms, ways
        self.moved: dict[int, deque[tuple[float, float]]] = {}  # when and how much, by table

    def moved_share(self, table: int, now_ms: float) -> float:
        """The part that has been moved of late."""
        rows = self.moved.setdefault(table, deque())
        while rows and rows[0][0] <= now_ms - self.window_ms:
            rows.popleft()
        return sum(part for _, part in rows)

    def filter_weights(
        self, table: int, stands: Mapping[int, float], wanted: Mapping[int, float], seen: EndpointStates, now_ms: float
    ) -> tuple[dict[int, float], list[WithheldChange]]:
        """Of the lines that are to change, those that may now, and what is kept.  The largest moves go first."""
        passed: dict[int, float] = {}
        held: list[WithheldChange] = []
        total = sum(stands.values())
        room = self.max_moved_share - self.moved_share(table, now_ms) if self.max_moved_share and total else math.inf
        mean = total / len(stands) if stands else 0.0
        used = 0.0
        for endpoint, weight in sorted(wanted.items(), key=lambda row: -abs(row[1] - stands.get(row[0], 0.0))):
            before = stands.get(endpoint, 0.0)
            if weight == before:
                continue
            if weight < before:  # what takes away from a cold or gone one is never held; nor what is out altogether
                urgent = weight <= 0.0 or not seen.is_warm(endpoint)
            else:
                urgent = False
                if fault := self.check_weight(table, endpoint, weight, mean, seen):
                    held.append(fault)
                    continue
            part = abs(weight - before) / total if total else 0.0
            if not urgent and used + part > room:
                left = max(0.0, room - used)
                text = f"{part:.2f} of the traffic to be moved, {left:.2f} left of {self.max_moved_share:g}"
                held.append(WithheldChange(table, MOVED_SHARE, text, endpoint))
                continue
            used += 0.0 if urgent else part
            passed[endpoint] = weight
        after = {**stands, **passed}
        if any(seen.is_warm(e) and w > 0 for e, w in stands.items()) and not any(
            seen.is_warm(e) and w > 0 for e, w in after.items()
        ):
            kept = {e for e in passed if seen.is_warm(e) and stands.get(e, 0.0) > 0}
            passed = {e: w for e, w in passed.items() if e not in kept}
            held.append(WithheldChange(table, NO_WARM_ENDPOINT, f"the last {len(kept)} warm lines would go"))
        if used:
            self.moved[table].append((now_ms, used))
        return passed, held

    def check_weight(
        self, table: int, endpoint: int, weight: float, mean: float, seen: EndpointStates
    ) -> WithheldChange | None:
        """Why a line may not come or grow, if it may not."""
        if not math.isfinite(weight):
            return WithheldChange(table, MOVED_SHARE, f"a weight of {weight}", endpoint)
        if endpoint not in seen.in_service:
            return WithheldChange(table, NOT_IN_SERVICE, "it drains or is gone", endpoint)
        part = seen.capacity_shares.get(endpoint, FULL_CAPACITY)
        if part < FULL_CAPACITY and mean and weight > max(1.0, WARM_UP_SLACK * part * mean):
            return WithheldChange(
                table, WARMING_UP, f"weight {weight:g}, {WARM_UP_SLACK * part * mean:.1f} for a cold one", endpoint
            )
        return None

    def check_admission(self, table: int, place: int, allowed: float, tries: int) -> WithheldChange | None:
        """Why a level may not leave, if it may not."""
        if not 0.0 <= allowed <= MAX_ADMISSION_RATE:  # false for what is no number, too
            return WithheldChange(table, OUT_OF_BOUNDS, f"a level of {allowed}", class_index=place)
        if not 0 <= tries <= self.max_retry_policies[place]:
            return WithheldChange(
                table,
                OUT_OF_BOUNDS,
                f"way {tries} of trying again, {self.max_retry_policies[place]} at most",
                class_index=place,
            )
        return None
