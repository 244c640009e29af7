"""Spans of control intervals, updates, applications and requests, written to a local file by the OpenTelemetry SDK.

No trace context is sent: ids are derived from values that both ends of a stream know.  A trace is one revision
(`epoch/revision`, which every response carries as its `system_version_info`).  The span id of an update is derived from
its nonce, so that the proxy's span of its application can name it as parent, and a request can link to the applications
of the versions that it used.  Whether a trace is sampled depends only on its id, so all processes sample the same
traces.
"""

import threading
import time
from collections import OrderedDict
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any, NamedTuple

import xxhash
from opentelemetry import trace
from opentelemetry.context import Context
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import BatchSpanProcessor
from opentelemetry.sdk.trace.id_generator import IdGenerator
from opentelemetry.sdk.trace.sampling import ALWAYS_ON
from opentelemetry.trace import Link, NonRecordingSpan, SpanContext, SpanKind, Status, StatusCode, TraceFlags

from quillstep.invariants.evidence import Attempt
from quillstep.tracing.otlp import FileExporter

MAX_OPEN = 4096  # limit of updates in flight, and of applications that requests may link to; the oldest is dropped
SAMPLED_FLAGS = TraceFlags(TraceFlags.SAMPLED)
SAMPLER_RANGE = 2**64
NS_PER_MS = 1e6


class SpanId(NamedTuple):
    """A span and its trace."""

    trace_id: int
    span_id: int

    def context(self) -> SpanContext:
        """Returns the span's context as a remote one."""
        return SpanContext(self.trace_id, self.span_id, True, SAMPLED_FLAGS)


class SpanData(NamedTuple):
    """A finished span; times are milliseconds of the monotonic clock."""

    name: str
    id: SpanId
    begin_ms: float
    end_ms: float
    kind: SpanKind
    attributes: Mapping[str, Any]
    parent_id: int = 0  # 0 for a root span
    links: Sequence[SpanId] = ()
    error: str = ""


class SentUpdate(NamedTuple):
    """An update in flight."""

    system: str
    decided_ms: float
    sent_ms: float
    attributes: dict[str, Any]


def trace_id_of(system: str) -> int:
    """Returns the trace id of a revision, from `epoch/revision`; anything after these parts is ignored."""
    return xxhash.xxh3_128_intdigest("/".join(system.split("/")[:2]).encode())


def span_id_of(kind: str, name: str) -> int:
    """Returns the id of a span, from its kind and a name that both ends of a stream know."""
    return xxhash.xxh3_64_intdigest(f"{kind} {name}".encode()) or 1


class PresetIdGenerator(IdGenerator):
    """Returns the ids that the caller of `start_span` has set; the caller holds a lock meanwhile."""

    def __init__(self) -> None:
        self.trace_id = self.span_id = 1

    def generate_span_id(self) -> int:
        """The preset span id."""
        return self.span_id

    def generate_trace_id(self) -> int:
        """The preset trace id."""
        return self.trace_id


class SpanRecorder:
    """Records the spans of one process; the SDK's thread writes them until `close`.

    Attributes:
        dropped: Number of spans that were dropped because `max_spans_per_s` was reached.
    """

    def __init__(self, file: str, sampled_share: float, max_spans_per_s: float, service: str) -> None:
        """Opens the file.

        Args:
            file: Path of the file, which is appended to.
            sampled_share: Share of traces that are sampled, from 0 to 1.
            max_spans_per_s: Limit of spans per second, whatever the sampled share.
            service: `service.name` of the spans' resource.
        """
        self._sampled_share, self._max_spans_per_s = sampled_share, max_spans_per_s
        self._ids = PresetIdGenerator()
        resource = Resource({"service.name": service})
        self._provider = TracerProvider(
            sampler=ALWAYS_ON, resource=resource, id_generator=self._ids, shutdown_on_exit=False
        )
        self._provider.add_span_processor(BatchSpanProcessor(FileExporter(Path(file))))
        self._tracer = self._provider.get_tracer("quillstep")
        self._wall_offset_ns = time.time_ns() - time.monotonic_ns()
        self._lock = threading.Lock()
        self._tokens, self._refilled_ms = max_spans_per_s, 0.0
        self.dropped = 0
        self._in_flight: OrderedDict[tuple[str, str], SentUpdate] = OrderedDict()
        self._applications: OrderedDict[tuple[str, str], SpanId] = OrderedDict()

    def close(self) -> None:
        """Writes the remaining spans and ends the SDK's thread."""
        self._provider.shutdown()

    def is_sampled(self, trace_id: int) -> bool:
        """Whether a trace is sampled: by the lower half of its id, like OpenTelemetry's ratio-based sampler."""
        return trace_id % SAMPLER_RANGE < self._sampled_share * SAMPLER_RANGE

    # Spans of a controller.

    def record_interval(self, epoch: str, revision: int, begin_ms: float, end_ms: float, **attributes: Any) -> None:
        """Records a control interval."""
        system = f"{epoch}/{revision}"
        trace_id = trace_id_of(system)
        if self.is_sampled(trace_id):
            span_id = SpanId(trace_id, span_id_of("round", system))
            interval = {"round": revision, **attributes}
            self._record(SpanData("round", span_id, begin_ms, end_ms, SpanKind.INTERNAL, interval))

    def record_channel_event(self, epoch: str, what: str, at_ms: float, fields: Mapping[str, Any]) -> None:
        """Handles an event of the update channel; the span of an update lasts from its decision to its ack or nack.

        Args:
            epoch: Incarnation of the controller.
            what: Kind of the event, as in the socket record.
            at_ms: Time of the event, in milliseconds.
            fields: Fields of the event, as in the socket record.
        """
        if what == "send":
            self._open_update(f"{epoch}/{fields['order']}", at_ms, fields)
        elif what in ("ack", "nack"):
            update = self._in_flight.pop((fields["proxy"], fields["nonce"]), None)
            if update:
                self._close_update(update, at_ms, "refused" if what == "nack" else "")

    def _open_update(self, system: str, at_ms: float, fields: Mapping[str, Any]) -> None:
        if not self.is_sampled(trace_id_of(system)):
            return
        attributes = {name: fields[name] for name in ("proxy", "nonce", "lines", "type")}
        self._in_flight[fields["proxy"], fields["nonce"]] = SentUpdate(system, fields["ordered"], at_ms, attributes)
        if len(self._in_flight) > MAX_OPEN:
            self._in_flight.popitem(last=False)

    def _close_update(self, update: SentUpdate, at_ms: float, error: str) -> None:
        attributes = {**update.attributes, "queued_ms": round(update.sent_ms - update.decided_ms, 1)}
        span_id = span_id_of("push", f"{attributes['proxy']} {attributes['nonce']}")
        self._record(
            SpanData(
                "push",
                SpanId(trace_id_of(update.system), span_id),
                update.decided_ms,
                at_ms,
                SpanKind.PRODUCER,
                attributes,
                parent_id=span_id_of("round", update.system),
                error=error,
            )
        )

    # Spans of a proxy process.

    def record_application(self, proxy: str, row: Mapping[str, Any]) -> None:
        """Records the application or rejection of a response by a proxy; `row` is as in the socket record."""
        trace_id = trace_id_of(row["system"])
        if not self.is_sampled(trace_id):
            return
        update = f"{proxy} {row['nonce']}"
        application = SpanId(trace_id, span_id_of("apply", update))
        for _, version in row["changed"]:
            self._applications[proxy, version] = application
        while len(self._applications) > MAX_OPEN:
            self._applications.popitem(last=False)
        self._record(
            SpanData(
                "apply",
                application,
                row["at"] - row.get("stood", 0.0),
                row["at"],
                SpanKind.CONSUMER,
                {"proxy": proxy, "nonce": row["nonce"], "changed": len(row["changed"])},
                parent_id=span_id_of("push", update),
                error=row.get("reason", ""),
            )
        )

    def record_request(self, row: Mapping[str, Any]) -> None:
        """Records a request, linked to the sampled applications that it used; `row` is as in the socket record."""
        request: str = row["exchange"]
        trace_id = xxhash.xxh3_128_intdigest(request.encode())
        if not self.is_sampled(trace_id):
            return
        proxy = row["proxy"]
        attributes = {
            "proxy": proxy,
            "class": row["class"],
            "outcome": row["outcome"],
            "tries": len(row["tries"]),
            "exchange": request,
        }
        span_id = SpanId(trace_id, span_id_of("exchange", request))
        links = self._applications_used(proxy, row)
        self._record(SpanData("exchange", span_id, row["at"], row["end"], SpanKind.SERVER, attributes, links=links))

    def _applications_used(self, proxy: str, row: Mapping[str, Any]) -> list[SpanId]:
        """Returns the applications of the versions that a request used, each once, in the order of use."""
        versions = [row.get("routes", "")]
        versions.extend(Attempt(*attempt).version for attempt in row["tries"])
        applications = (self._applications.get((proxy, version)) for version in versions)
        return list(dict.fromkeys(application for application in applications if application))

    # Common to both.

    def _record(self, data: SpanData) -> None:
        """Records one span unless the rate limit is reached."""
        with self._lock:
            if not self._acquire_token(data.end_ms):
                return
            self._ids.trace_id, self._ids.span_id = data.id
            span = self._tracer.start_span(
                data.name,
                self._parent_context(data),
                data.kind,
                data.attributes,
                [Link(link.context()) for link in data.links],
                start_time=self._wall_ns(data.begin_ms),
            )
            if data.error:
                span.set_status(Status(StatusCode.ERROR, data.error))
            span.end(self._wall_ns(max(data.begin_ms, data.end_ms)))

    def _acquire_token(self, at_ms: float) -> bool:
        """Takes a token for one span from the rate limiter; False, and counted in `dropped`, if there is none."""
        refill = (at_ms - self._refilled_ms) * self._max_spans_per_s / 1000.0
        self._tokens = min(self._max_spans_per_s, self._tokens + refill)
        self._refilled_ms = at_ms
        if self._tokens < 1.0:
            self.dropped += 1
            return False
        self._tokens -= 1.0
        return True

    @staticmethod
    def _parent_context(data: SpanData) -> Context | None:
        if not data.parent_id:
            return None
        parent = SpanId(data.id.trace_id, data.parent_id)
        return trace.set_span_in_context(NonRecordingSpan(parent.context()))

    def _wall_ns(self, monotonic_ms: float) -> int:
        return int(monotonic_ms * NS_PER_MS) + self._wall_offset_ns
