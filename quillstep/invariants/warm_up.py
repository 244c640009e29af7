"""Rule: an endpoint that is warming up gets no more work than its slow start allows."""

from collections import defaultdict, deque
from collections.abc import Iterator
from typing import NamedTuple

from quillstep.config.fleet import InvariantSettings
from quillstep.invariants.evidence import EndpointHistory, Evidence, Row, StreamSpan
from quillstep.invariants.violation import Rule, Violation

CHANCE_ALLOWANCE = 1.1  # arrivals are random: the work may exceed the budget by this factor
# Smallest share of the work that must come from proxies whose controller knew of the start, to blame an overload on it.
MIN_INFORMED_SHARE = 2.0 / 3.0
START_TOLERANCE_MS = 50.0  # discovery and the endpoint record the same start at slightly different times
EXECUTED = ("run", "fell", "silent")


class Work(NamedTuple):
    """One request that an endpoint worked on."""

    at_ms: float
    work_ms: float
    was_informed: bool  # the proxy's controller had known of the start for the grace period


def overloaded_while_warming_up(evidence: Evidence) -> Iterator[Violation]:
    """Finds starts after which an endpoint got more than its budget within one window, at most one for each start."""
    served: dict[int, list[Row]] = defaultdict(list)
    for row in evidence.served_requests:
        if row["outcome"] in EXECUTED:
            served[row["endpoint"]].append(row)
    streams, histories = evidence.stream_spans(), evidence.endpoint_histories()
    for start in evidence.endpoint_starts:
        if start["cold"]:
            violation = overload_after_start(evidence, start, served[start["endpoint"]], streams, histories)
            if violation:
                yield violation


def overload_after_start(
    evidence: Evidence,
    start: Row,
    served: list[Row],
    streams: dict[str, list[StreamSpan]],
    histories: dict[tuple[str, int], EndpointHistory],
) -> Violation | None:
    """Returns the first window after a start whose work exceeds the budget; None if there is none."""
    rules = evidence.fleet.rules
    endpoint, started_ms = start["endpoint"], start["at"]
    cores = evidence.endpoint_capacities.get(endpoint, 1.0)
    window: deque[Work] = deque()
    for row in served:
        age_ms = row["at"] - started_ms
        if not 0.0 <= age_ms < rules.warm_up_ms:
            continue
        informed = was_informed(streams, histories, row, started_ms, rules.drain_grace_ms)
        window.append(Work(row["at"], row["work"], informed))
        while window[0].at_ms < row["at"] - rules.overload_window_ms:
            window.popleft()
        budget_ms = work_budget_ms(rules, age_ms, cores)
        work_ms = sum(each.work_ms for each in window)
        informed_ms = sum(each.work_ms for each in window if each.was_informed)
        if work_ms > CHANCE_ALLOWANCE * budget_ms and informed_ms >= MIN_INFORMED_SHARE * work_ms:
            text = f"{work_ms:.0f} ms of work within {rules.overload_window_ms:.0f} ms, {budget_ms:.0f} allowed"
            return Violation(Rule.WARM_UP_OVERLOAD, row["at"], text, row["proxy"], endpoint, row["exchange"])
    return None


def work_budget_ms(rules: InvariantSettings, age_ms: float, cores: float) -> float:
    """Returns the work allowed within one window: the capacity rises linearly from `initial_capacity` to 1."""
    capacity = rules.initial_capacity + (1.0 - rules.initial_capacity) * age_ms / rules.warm_up_ms
    return rules.overload_multiple * capacity * cores * rules.overload_window_ms


def was_informed(
    streams: dict[str, list[StreamSpan]],
    histories: dict[tuple[str, int], EndpointHistory],
    row: Row,
    started_ms: float,
    grace_ms: float,
) -> bool:
    """Returns whether the controller of a request's proxy had known of the start for the grace period."""
    stream = next((span for span in streams.get(row["proxy"], ()) if span.contains(row["at"])), None)
    history = histories.get((stream.controller, row["endpoint"])) if stream else None
    if history is None or started_ms - START_TOLERANCE_MS <= 0:
        return False
    notified_ms = history.first_start_notice_ms(started_ms - START_TOLERANCE_MS)
    return notified_ms is not None and row["at"] >= notified_ms + grace_ms
