"""Reports that `quillstep trace` prints: the trace of one request, or a summary of all responses of a run."""

from pathlib import Path
from typing import Any

import msgspec

from quillstep.config.controller import ControllerSettings
from quillstep.config.loading import load
from quillstep.invariants import Evidence, read_evidence
from quillstep.recording import read_incarnations, read_records
from quillstep.tracing.causes import IntervalCause, find_cause
from quillstep.tracing.errors import NoArmError
from quillstep.tracing.request_trace import INITIAL_VERSION, RequestTrace, TraceIndex, VersionOrigin

MAX_GAPS_SHOWN = 10
TIMES_BEFORE_REQUEST = ("ordered_ms", "sent_ms", "applied_ms", "acknowledged_ms")


class TraceSummary(msgspec.Struct):
    """A summary of the traces of a run; the names in JSON are those that `quillstep trace --all` prints.

    Attributes:
        requests: Number of requests.
        responses: Number of requests with a successful response.
        untraced: Number of responses whose trace has a gap.
        initial: Number of uses of initial tables, which no interval assigned.
        lost_acks: Number of origins whose ack was lost with its stream or controller.
        revisions: Number of distinct revisions behind the responses.
        gaps: The first untraced responses and what is missing from each.
        oldest_decision_ms: Greatest age of a decision at a request that used it, in milliseconds.
    """

    requests: int = msgspec.field(name="exchanges", default=0)
    responses: int = msgspec.field(name="answers", default=0)
    untraced: int = 0
    initial: int = msgspec.field(name="standing", default=0)
    lost_acks: int = msgspec.field(name="word_lost", default=0)
    revisions: int = msgspec.field(name="rounds", default=0)
    gaps: list[dict[str, Any]] = msgspec.field(default_factory=list)
    oldest_decision_ms: float = msgspec.field(name="oldest_order_ms", default=0.0)


def read_trace_index(folder: Path) -> TraceIndex:
    """Reads the socket records of one played arm.

    Raises:
        NoArmError: The folder holds no settings of a controller.
    """
    settings = sorted(folder.glob("pilot-*.cue"))
    if not settings:
        raise NoArmError(f"{folder}: expected an arm of a played scenario, got no settings of a controller")
    return TraceIndex(read_evidence(folder, Evidence(load(ControllerSettings, settings[0]).fleet)))


def read_cause(folder: Path, origin: VersionOrigin) -> IntervalCause | None:
    """Finds the control interval behind a version in the recording of its incarnation; None if there is none."""
    for path in sorted(folder.glob("capture-*")):
        for incarnation in read_incarnations(path):
            if incarnation.header.epoch == origin.epoch:
                return find_cause(read_records(incarnation), origin.revision, origin.resource)
    return None


def trace_report(folder: Path, trace: RequestTrace) -> dict[str, Any]:
    """Returns the trace of a request with the intervals behind it, as it is printed."""
    links = []
    for origin in trace.origins:
        cause = read_cause(folder, origin) if origin.revision else None
        links.append({**_origin_report(trace, origin), "round_behind": msgspec.to_builtins(cause)})
    return {**msgspec.to_builtins(trace), "links": links, "gaps": trace.gaps}


def _origin_report(trace: RequestTrace, origin: VersionOrigin) -> dict[str, Any]:
    """Returns the known fields of an origin; times are converted to milliseconds before the request."""
    report = {name: value for name, value in msgspec.to_builtins(origin).items() if value not in ("", None, 0)}
    for name in TIMES_BEFORE_REQUEST:
        if name in report:
            report[name.replace("_ms", "_before_ms")] = round(trace.at_ms - report.pop(name), 1)
    return report


def summarize(index: TraceIndex) -> TraceSummary:
    """Counts the responses of a run with a complete trace, and collects the gaps of the others."""
    summary = TraceSummary()
    revisions: set[tuple[str, int]] = set()
    for trace in index.trace_all():
        summary.requests += 1
        if trace.outcome == "ok":
            _count_response(summary, trace, revisions)
    summary.revisions = len(revisions)
    return summary


def _count_response(summary: TraceSummary, trace: RequestTrace, revisions: set[tuple[str, int]]) -> None:
    summary.responses += 1
    if trace.gaps:
        summary.untraced += 1
        if len(summary.gaps) < MAX_GAPS_SHOWN:
            summary.gaps.append({"exchange": trace.request, "proxy": trace.proxy, "gaps": trace.gaps})
    for origin in trace.origins:
        if origin.version == INITIAL_VERSION:
            summary.initial += 1
        elif origin.nonce and not origin.gap:
            revisions.add((origin.epoch, origin.revision))
            summary.lost_acks += origin.acked_ms is None
            if origin.decided_ms is not None:
                age_ms = round(trace.at_ms - origin.decided_ms, 1)
                summary.oldest_decision_ms = max(summary.oldest_decision_ms, age_ms)
