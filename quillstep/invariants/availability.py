"""Rule: a connected proxy always has an endpoint to choose while its controller lists a warm one in service."""

from collections.abc import Iterator
from typing import NamedTuple

from quillstep.invariants.evidence import EndpointHistory, Evidence, Interval, StreamSpan
from quillstep.invariants.violation import Rule, Violation


class UnroutableSpan(NamedTuple):
    """A time during which a proxy had no endpoint to choose for a class."""

    proxy: str
    class_name: str
    begin_ms: float
    end_ms: float


def proxies_without_endpoint(evidence: Evidence) -> Iterator[Violation]:
    """Finds classes without an endpoint for longer than the grace period while an endpoint was in service and warm."""
    streams, blocked = evidence.stream_spans(), evidence.blocked_proxies()
    histories = evidence.endpoint_histories()
    grace_ms = evidence.fleet.rules.no_endpoint_grace_ms
    for span in unroutable_spans(evidence):
        for stream in streams.get(span.proxy, ()):
            begin_ms, end_ms = max(span.begin_ms, stream.begin_ms), min(span.end_ms, stream.end_ms)
            if end_ms - begin_ms <= grace_ms or overlaps(blocked.get(span.proxy, []), begin_ms, end_ms):
                continue
            endpoint = usable_endpoint(evidence, histories, span, stream, begin_ms, end_ms)
            if endpoint is not None:
                text = (
                    f"no endpoint to choose for {span.class_name} for {end_ms - begin_ms:.0f} ms, "
                    f"while {endpoint} was in service and warm"
                )
                yield Violation(Rule.NO_ENDPOINT, begin_ms + grace_ms, text, span.proxy, endpoint)


def unroutable_spans(evidence: Evidence) -> list[UnroutableSpan]:
    """Returns when proxies had no endpoint for a class; a span that did not end lasts until the record's end."""
    begins: dict[tuple[str, str], float] = {}
    spans = []
    for row in evidence.unroutable:
        key = (row["proxy"], row["class"])
        if row["on"]:
            begins[key] = row["at"]
        elif key in begins:
            spans.append(UnroutableSpan(*key, begins.pop(key), row["at"]))
    for (proxy, class_name), begin_ms in begins.items():
        spans.append(UnroutableSpan(proxy, class_name, begin_ms, evidence.end_ms))
    return spans


def overlaps(intervals: list[Interval], begin_ms: float, end_ms: float) -> bool:
    """Returns whether one of the intervals overlaps the given one."""
    return any(interval.begin_ms < end_ms and interval.end_ms > begin_ms for interval in intervals)


def usable_endpoint(
    evidence: Evidence,
    histories: dict[tuple[str, int], EndpointHistory],
    span: UnroutableSpan,
    stream: StreamSpan,
    begin_ms: float,
    end_ms: float,
) -> int | None:
    """Returns an endpoint that the stream's controller knew to be in service and warm at both times, if any."""
    home_zone_only = any(row.home_zone_only for row in evidence.fleet.classes if row.name == span.class_name)
    zone = evidence.proxy_zones.get(span.proxy) if home_zone_only else None
    warm_up_ms = evidence.fleet.rules.warm_up_ms
    for (controller, endpoint), history in histories.items():
        if controller != stream.controller or (zone and evidence.endpoint_zones.get(endpoint) != zone):
            continue
        if is_warm(history, begin_ms, warm_up_ms) and is_warm(history, end_ms, warm_up_ms):
            return endpoint
    return None


def is_warm(history: EndpointHistory, at_ms: float, warm_up_ms: float) -> bool:
    """Returns whether the endpoint was in service at a time and had not started within the last `warm_up_ms`."""
    status = history.status_at(at_ms)
    if status is None or not status.in_service:
        return False
    return not status.started_ms or at_ms - status.started_ms >= warm_up_ms
