"""Spans of rounds, pushes, applications and exchanges: OpenTelemetry's SDK, a local file of OTLP JSON lines.

No context travels: ids follow from what both ends of a stream know.  A trace is one round (`epoch/order`, which every
response carries as its `system_version_info`); a push's span id follows from its nonce, so that the proxy's span of its
application can name it as parent, and an exchange can link to the applications of the versions that it went by.
Whether a trace is sampled follows from its id alone, so that all processes keep the same ones.
"""

import json
import threading
import time
from collections import OrderedDict
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import xxhash
from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import BatchSpanProcessor, SpanExporter, SpanExportResult
from opentelemetry.sdk.trace.id_generator import IdGenerator
from opentelemetry.sdk.trace.sampling import ALWAYS_ON
from opentelemetry.trace import Link, NonRecordingSpan, SpanContext, SpanKind, Status, StatusCode, TraceFlags

OPEN_MOST = 4096  # pushes without a word, and applications that exchanges may still link to
FLAGS = TraceFlags(TraceFlags.SAMPLED)
ALL = 2**64


def trace_of(system: str) -> int:
    """The trace of a round, from `epoch/order`, whatever follows."""
    return xxhash.xxh3_128_intdigest("/".join(system.split("/")[:2]).encode())


def span_of(kind: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{kind} {name}".encode()) or 1


class FileExporter(SpanExporter):
    """Appends a line of OTLP JSON for each batch."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("ab", buffering=0)

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        try:
            self.file.write(json.dumps(otlp(spans), separators=(",", ":")).encode() + b"\n")
        except OSError:
            return SpanExportResult.FAILURE  # a full disk costs spans, never a pilot
        return SpanExportResult.SUCCESS

    def shutdown(self) -> None:
        self.file.close()


def otlp(spans: Sequence[ReadableSpan]) -> dict[str, Any]:
    """A batch as the published OTLP JSON has it (`TracesData`)."""
    resource = spans[0].resource.attributes if spans else {}
    scope = {"scope": {"name": "quillstep"}, "spans": [one(span) for span in spans]}
    return {"resourceSpans": [{"resource": {"attributes": pairs(resource)}, "scopeSpans": [scope]}]}


def one(span: ReadableSpan) -> dict[str, Any]:
    context = span.context
    assert context
    found: dict[str, Any] = {
        "traceId": f"{context.trace_id:032x}", "spanId": f"{context.span_id:016x}", "name": span.name,
        "kind": span.kind.value + 1, "startTimeUnixNano": str(span.start_time), "endTimeUnixNano": str(span.end_time),
        "attributes": pairs(span.attributes or {}),
    }  # fmt: skip
    if span.parent:
        found["parentSpanId"] = f"{span.parent.span_id:016x}"
    if span.links:
        found["links"] = [
            {"traceId": f"{link.context.trace_id:032x}", "spanId": f"{link.context.span_id:016x}"}
            for link in span.links
        ]
    if span.status.status_code is StatusCode.ERROR:
        found["status"] = {"code": 2, "message": span.status.description or ""}
    return found


def pairs(attributes: Any) -> list[dict[str, Any]]:
    kinds = {bool: "boolValue", int: "intValue", float: "doubleValue"}
    return [
        {"key": key, "value": {kinds.get(type(value), "stringValue"): str(value) if type(value) is int else value}}
        for key, value in attributes.items()
    ]


class Given(IdGenerator):
    """Ids as the caller of `start_span` says just before it; under that caller's lock."""

    def __init__(self) -> None:
        self.trace = self.span = 1

    def generate_span_id(self) -> int:
        return self.span

    def generate_trace_id(self) -> int:
        return self.trace


class Spans:
    """One process's spans.  `part` of all traces, `max_spans_per_s` at most; times are monotonic milliseconds."""

    def __init__(self, file: str, part: float, max_spans_per_s: float, service: str) -> None:
        self.part, self.max_spans_per_s = part, max_spans_per_s
        self.ids = Given()
        resource = Resource({"service.name": service})
        self.provider = TracerProvider(
            sampler=ALWAYS_ON, resource=resource, id_generator=self.ids, shutdown_on_exit=False
        )
        self.provider.add_span_processor(BatchSpanProcessor(FileExporter(Path(file))))
        self.tracer = self.provider.get_tracer("quillstep")
        self.offset_ns = time.time_ns() - time.monotonic_ns()
        self.lock = threading.Lock()
        self.room, self.counted_ms = max_spans_per_s, 0.0
        self.dropped = 0
        self.open: OrderedDict[tuple[str, str], tuple[str, float, dict[str, Any]]] = OrderedDict()
        self.applied: OrderedDict[tuple[str, str], tuple[int, int]] = OrderedDict()

    def stop(self) -> None:
        self.provider.shutdown()

    def sampled(self, trace_id: int) -> bool:
        """By the id's lower half, as OpenTelemetry's own ratio sampler does."""
        return trace_id % ALL < self.part * ALL

    def fits(self, at_ms: float) -> bool:
        """Whether there is room for one more span; what has none is counted."""
        self.room = min(self.max_spans_per_s, self.room + (at_ms - self.counted_ms) * self.max_spans_per_s / 1000.0)
        self.counted_ms = at_ms
        if self.room < 1.0:
            self.dropped += 1
            return False
        self.room -= 1.0
        return True

    def put(
        self, name: str, trace_id: int, span_id: int, parent: int, begin_ms: float, end_ms: float, kind: SpanKind,
        attributes: dict[str, Any], links: Sequence[tuple[int, int]] = (), error: str = "",
    ) -> None:  # fmt: skip
        """One span, begun and ended; `parent` 0: a root."""
        with self.lock:
            if not self.fits(end_ms):
                return
            self.ids.trace, self.ids.span = trace_id, span_id
            context = None
            if parent:
                above = NonRecordingSpan(SpanContext(trace_id, parent, True, FLAGS))
                context = trace.set_span_in_context(above)
            linked = [Link(SpanContext(*each, True, FLAGS)) for each in links]
            span = self.tracer.start_span(
                name, context, kind, attributes, linked, start_time=int(begin_ms * 1e6) + self.offset_ns
            )
            if error:
                span.set_status(Status(StatusCode.ERROR, error))
            span.end(int(max(begin_ms, end_ms) * 1e6) + self.offset_ns)

    # a pilot's

    def round(self, epoch: str, order: int, begin_ms: float, end_ms: float, **attributes: Any) -> None:
        """A round of the module."""
        system = f"{epoch}/{order}"
        if self.sampled(trace_id := trace_of(system)):
            self.put("round", trace_id, span_of("round", system), 0, begin_ms, end_ms, SpanKind.INTERNAL,
                     {"round": order, **attributes})  # fmt: skip

    def tap(self, epoch: str, what: str, at_ms: float, fields: dict[str, Any]) -> None:
        """What passed on the pilot's sockets: a push lasts from its order to its word."""
        if what == "send":
            system = f"{epoch}/{fields['order']}"
            if self.sampled(trace_of(system)):
                told = {name: fields[name] for name in ("proxy", "nonce", "lines", "type")}
                self.open[fields["proxy"], fields["nonce"]] = (system, fields["ordered"], {**told, "sent": at_ms})
                if len(self.open) > OPEN_MOST:
                    self.open.popitem(last=False)
        elif what in ("ack", "nack"):
            found = self.open.pop((fields["proxy"], fields["nonce"]), None)
            if found:
                system, ordered_ms, told = found
                told["queued_ms"] = round(told.pop("sent") - ordered_ms, 1)
                self.put("push", trace_of(system), span_of("push", f"{told['proxy']} {told['nonce']}"),
                         span_of("round", system), ordered_ms, at_ms, SpanKind.PRODUCER, told,
                         error="refused" if what == "nack" else "")  # fmt: skip

    # a proxy's

    def apply(self, proxy: str, row: dict[str, Any]) -> None:
        """A response that a proxy applied or refused; `row` as it writes it down."""
        trace_id = trace_of(row["system"])
        if not self.sampled(trace_id):
            return
        push = f"{proxy} {row['nonce']}"
        span_id = span_of("apply", push)
        for _, version in row["changed"]:
            self.applied[proxy, version] = (trace_id, span_id)
        while len(self.applied) > OPEN_MOST:
            self.applied.popitem(last=False)
        self.put("apply", trace_id, span_id, span_of("push", push), row["at"] - row.get("stood", 0.0), row["at"],
                 SpanKind.CONSUMER, {"proxy": proxy, "nonce": row["nonce"], "changed": len(row["changed"])},
                 error=row.get("reason", ""))  # fmt: skip

    def exchange(self, row: dict[str, Any]) -> None:
        """An exchange, linked to the applications that it went by where their rounds are kept too."""
        trace_id = xxhash.xxh3_128_intdigest(row["exchange"].encode())
        if not self.sampled(trace_id):
            return
        proxy = row["proxy"]
        versions = [row.get("routes", ""), *(each[4] for each in row["tries"])]
        links = list(dict.fromkeys(self.applied[proxy, v] for v in versions if (proxy, v) in self.applied))
        self.put("exchange", trace_id, span_of("exchange", row["exchange"]), 0, row["at"], row["end"],
                 SpanKind.SERVER, {"proxy": proxy, "class": row["class"], "outcome": row["outcome"],
                 "tries": len(row["tries"]), "exchange": row["exchange"]}, links)  # fmt: skip


def read(path: Path) -> list[dict[str, Any]]:
    """All spans of a file, as OTLP JSON has them."""
    found = []
    for line in path.read_text().splitlines():
        for group in json.loads(line)["resourceSpans"]:
            found += [span for scope in group["scopeSpans"] for span in scope["spans"]]
    return found
