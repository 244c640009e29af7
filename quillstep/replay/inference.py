"""Infers speeds and hidden conditions of endpoints from recorded attempts.  No I/O.

The speed follows from the fastest responses: a response that was not queued took its work divided by the speed.  A
slowdown is response time that queueing behind the recorded work at that speed does not explain.  Hidden conditions
(unreachable, unresponsive, failing, slow) are estimated in spans of half a second from the attempts that began in
them.  Estimates from one half of the attempts are validated on the other half.
"""

import heapq
from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from quillstep.config.fleet import ClassSettings

SPAN_MS = 500.0
FAST_RESPONSE_QUANTILE = 0.1
MIN_MS_PER_WORK_MS = 0.05
MIN_SLOWDOWN = 1.6  # A span with a smaller slowdown is treated as running at the usual speed.
NETWORK_MS = 1.0
UNREACHABLE, ERROR, OK = "no connection", "error", "ok"
UNANSWERED = ("time-out", "reset")


class EndpointCondition(NamedTuple):
    """An endpoint's hidden condition in one span.

    Attributes:
        unreachable: The share of attempts that get no connection.
        unresponsive: The share of attempts that get no response.
        failing: The share of attempts that get an error.
        slowdown: The duration of work, as a multiple of the usual duration.
    """

    unreachable: float = 0.0
    unresponsive: float = 0.0
    failing: float = 0.0
    slowdown: float = 1.0


HEALTHY = EndpointCondition()


class EndpointAttempt(NamedTuple):
    """One recorded attempt at an endpoint; times are milliseconds."""

    sent_ms: float
    ended_ms: float
    result: str
    request_class: ClassSettings


class ExpectedAttempt(NamedTuple):
    """An attempt and its expected duration at the endpoint's usual speed."""

    attempt: EndpointAttempt
    expected_ms: float


@dataclass(slots=True)
class InferredEndpoints:
    """Speeds and conditions of endpoints, inferred from recorded attempts.

    Attributes:
        speeds: Work that one core does per unit of time, by endpoint.
        conditions: Conditions by endpoint and span.
        spans: The spans in which an endpoint had attempts, ascending, by endpoint.
    """

    speeds: dict[int, float] = field(default_factory=dict)
    conditions: dict[int, dict[int, EndpointCondition]] = field(default_factory=dict)
    spans: dict[int, list[int]] = field(default_factory=dict)

    def condition_at(self, endpoint: int, at_ms: float) -> EndpointCondition:
        """Returns the condition at a time: that of the last span with attempts, healthy before the first one."""
        spans = self.spans.get(endpoint)
        if not spans:
            return HEALTHY
        index = bisect_right(spans, int(at_ms // SPAN_MS)) - 1
        return self.conditions[endpoint][spans[index]] if index >= 0 else HEALTHY


def attempts_by_endpoint(
    requests: list[dict[str, Any]], classes: dict[str, ClassSettings], endpoints_by_address: dict[str, int]
) -> dict[int, list[EndpointAttempt]]:
    """Returns the recorded attempts at each known endpoint, sorted by time."""
    by_endpoint: dict[int, list[EndpointAttempt]] = defaultdict(list)
    for row in requests:
        for address, sent_ms, ended_ms, result, _ in row["tries"]:
            if address in endpoints_by_address:
                attempt = EndpointAttempt(sent_ms, ended_ms, result, classes[row["class"]])
                by_endpoint[endpoints_by_address[address]].append(attempt)
    for attempts in by_endpoint.values():
        attempts.sort(key=lambda attempt: attempt.sent_ms)
    return by_endpoint


def infer_endpoints(attempts: dict[int, list[EndpointAttempt]], cores: dict[int, int]) -> InferredEndpoints:
    """Infers speeds and conditions from attempts, sorted by time, and the numbers of cores (1 if unknown)."""
    inferred = InferredEndpoints()
    for endpoint, rows in attempts.items():
        inferred.speeds[endpoint] = estimate_speed(rows)
        durations = expected_durations_ms(rows, inferred.speeds[endpoint], cores.get(endpoint, 1))
        spans: dict[int, list[ExpectedAttempt]] = defaultdict(list)
        for attempt, expected_ms in zip(rows, durations, strict=True):
            spans[int(attempt.sent_ms // SPAN_MS)].append(ExpectedAttempt(attempt, expected_ms))
        inferred.conditions[endpoint] = {span: estimate_condition(each) for span, each in spans.items()}
        inferred.spans[endpoint] = sorted(spans)
    return inferred


def estimate_speed(attempts: list[EndpointAttempt]) -> float:
    """Returns the work that one core does per unit of time, from the fastest responses; 1 without responses."""
    ratios = sorted(
        (attempt.ended_ms - attempt.sent_ms - NETWORK_MS) / attempt.request_class.work_ms
        for attempt in attempts
        if attempt.result == OK
    )
    if not ratios:
        return 1.0
    return 1.0 / max(MIN_MS_PER_WORK_MS, ratios[int(FAST_RESPONSE_QUANTILE * len(ratios))])


def expected_durations_ms(attempts: list[EndpointAttempt], speed: float, cores: int) -> list[float]:
    """Returns the expected duration of each attempt, queued behind the earlier ones, at the usual speed."""
    free_at_ms = [0.0] * cores
    durations = []
    for attempt in attempts:
        if attempt.result in (UNREACHABLE, ERROR):
            durations.append(NETWORK_MS)
            continue
        end_ms = max(attempt.sent_ms, free_at_ms[0]) + attempt.request_class.work_ms / speed
        heapq.heapreplace(free_at_ms, end_ms)
        durations.append(end_ms - attempt.sent_ms + NETWORK_MS)
    return durations


def estimate_condition(attempts: list[ExpectedAttempt]) -> EndpointCondition:
    """Returns the condition that explains the attempts of one span."""
    results = [row.attempt.result for row in attempts]
    count = len(results)
    ratios = sorted(
        (row.attempt.ended_ms - row.attempt.sent_ms - NETWORK_MS) / (row.expected_ms - NETWORK_MS)
        for row in attempts
        if row.attempt.result == OK
    )
    slowdown = ratios[len(ratios) // 4] if ratios else 1.0
    return EndpointCondition(
        unreachable=results.count(UNREACHABLE) / count,
        unresponsive=sum(result in UNANSWERED for result in results) / count,
        failing=results.count(ERROR) / count,
        slowdown=slowdown if slowdown > MIN_SLOWDOWN else 1.0,
    )


class Prediction(NamedTuple):
    """How well the inferred condition predicts one attempt.

    Attributes:
        is_correct: Whether the predicted success or failure occurred.
        time_error: The relative error of the duration; None unless the attempt succeeded as predicted.
    """

    is_correct: bool
    time_error: float | None


def held_out_error(attempts: dict[int, list[EndpointAttempt]], cores: dict[int, int]) -> dict[str, float]:
    """Infers conditions from every second attempt and predicts the others.

    Returns:
        `told_apart`, the share of attempts predicted correctly; `time_error_median`, the median relative error of
        durations; `tries`, the number of attempts predicted.
    """
    inferred = infer_endpoints({endpoint: rows[::2] for endpoint, rows in attempts.items()}, cores)
    predictions: list[Prediction] = []
    for endpoint, rows in attempts.items():
        durations = expected_durations_ms(rows, inferred.speeds.get(endpoint, 1.0), cores.get(endpoint, 1))
        expected = [ExpectedAttempt(*pair) for pair in zip(rows, durations, strict=True)]
        predictions += _predict(inferred, endpoint, expected[1::2])
    errors = sorted(row.time_error for row in predictions if row.time_error is not None)
    return {
        "told_apart": round(sum(row.is_correct for row in predictions) / max(1, len(predictions)), 4),
        "time_error_median": round(errors[len(errors) // 2], 4) if errors else 0.0,
        "tries": len(predictions),
    }


def _predict(inferred: InferredEndpoints, endpoint: int, attempts: Iterable[ExpectedAttempt]) -> Iterable[Prediction]:
    for attempt, unslowed_ms in attempts:
        condition = inferred.condition_at(endpoint, attempt.sent_ms)
        failure = 1.0 - (1.0 - condition.unreachable) * (1.0 - condition.unresponsive) * (1.0 - condition.failing)
        is_ok = attempt.result == OK
        time_error = None
        if is_ok and failure < 0.5:
            expected_ms = (unslowed_ms - NETWORK_MS) * condition.slowdown + NETWORK_MS
            duration_ms = attempt.ended_ms - attempt.sent_ms
            time_error = (duration_ms - expected_ms) / max(1.0, duration_ms)
        yield Prediction((failure >= 0.5) != is_ok, time_error)
