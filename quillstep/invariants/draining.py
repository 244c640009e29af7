"""Rule: connected proxies stop using an endpoint within the grace period after their controller learns of its drain."""

from collections.abc import Iterator
from typing import NamedTuple

from quillstep.invariants.evidence import Attempt, Evidence, Interval, Row
from quillstep.invariants.violation import Rule, Violation


class LateAttempt(NamedTuple):
    """An attempt at an endpoint that the proxy's controller knew to be draining or terminated."""

    request: Row
    sent_ms: float
    endpoint: int
    notified_ms: float  # when the controller learned of the drain
    able_ms: float  # since when the proxy was connected and not blocked from reading

    @property
    def delay_ms(self) -> float:
        """Time from when the proxy could have known of the drain until the attempt."""
        return self.sent_ms - max(self.notified_ms, self.able_ms)


def attempts_after_drain(evidence: Evidence) -> Iterator[Violation]:
    """Finds attempts that connected proxies sent to a draining or terminated endpoint after the grace period."""
    grace_ms = evidence.fleet.rules.drain_grace_ms
    for attempt in late_attempts(evidence):
        excess_ms = attempt.delay_ms - grace_ms
        if excess_ms > 0:
            row = attempt.request
            text = f"{row['class']} sent {grace_ms + excess_ms:.0f} ms after the update, {grace_ms:.0f} allowed"
            yield Violation(
                Rule.LATE_AFTER_DRAIN, attempt.sent_ms, text, row["proxy"], attempt.endpoint, row["exchange"]
            )


def late_attempts(evidence: Evidence) -> Iterator[LateAttempt]:
    """Yields attempts of connected proxies at endpoints that their controller knew to be draining or terminated."""
    streams, blocked = evidence.stream_spans(), evidence.blocked_proxies()
    histories = evidence.endpoint_histories()
    for row in evidence.requests:
        proxy = row["proxy"]
        for attempt in Attempt.all_of(row):
            endpoint = evidence.endpoints_by_address.get(attempt.address)
            stream = next((span for span in streams.get(proxy, ()) if span.contains(attempt.sent_ms)), None)
            if stream is None or endpoint is None:
                continue
            history = histories.get((stream.controller, endpoint))
            status = history.status_at(attempt.sent_ms) if history else None
            if status is None or status.in_service:
                continue
            leaving_ms = max(status.since_ms, stream.begin_ms)
            held_until_ms = ends_of_blocks(blocked.get(proxy, []), leaving_ms, attempt.sent_ms)
            able_ms = max([stream.begin_ms, *held_until_ms])
            yield LateAttempt(row, attempt.sent_ms, endpoint, status.since_ms, able_ms)


def ends_of_blocks(blocked: list[Interval], leaving_ms: float, sent_ms: float) -> list[float]:
    """Returns the ends of the intervals between a drain and an attempt in which the scenario blocked the proxy.

    A blocked proxy can't read the update, so the grace period counts from the end of such an interval.
    """
    overlapping = (span for span in blocked if span.begin_ms <= sent_ms and span.end_ms >= leaving_ms)
    return [min(span.end_ms, sent_ms) for span in overlapping]


def longest_drain_ms(evidence: Evidence) -> float:
    """Returns the longest time from when a proxy could know of a drain to its last attempt at that endpoint."""
    return max((attempt.delay_ms for attempt in late_attempts(evidence)), default=0.0)
