"""Writes spans to a local file of OTLP JSON lines, and reads them back.

Each line is a `TracesData` message in the JSON encoding of the OTLP specification.
"""

import json
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

from opentelemetry.sdk.trace import ReadableSpan
from opentelemetry.sdk.trace.export import SpanExporter, SpanExportResult
from opentelemetry.trace import StatusCode

ERROR_CODE = 2  # STATUS_CODE_ERROR of OTLP
VALUE_KEYS = {bool: "boolValue", int: "intValue", float: "doubleValue"}


class FileExporter(SpanExporter):
    """Appends one line of OTLP JSON per batch."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("ab", buffering=0)

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Writes one batch; a write error, such as a full disk, loses the batch but does not affect the controller."""
        try:
            self.file.write(json.dumps(encode_batch(spans), separators=(",", ":")).encode() + b"\n")
        except OSError:
            return SpanExportResult.FAILURE
        return SpanExportResult.SUCCESS

    def shutdown(self) -> None:
        """Closes the file."""
        self.file.close()


def encode_batch(spans: Sequence[ReadableSpan]) -> dict[str, Any]:
    """Encodes a batch of spans of one process as `TracesData`."""
    resource = spans[0].resource.attributes if spans else {}
    scope = {"scope": {"name": "quillstep"}, "spans": [_encode_span(span) for span in spans]}
    return {"resourceSpans": [{"resource": {"attributes": _encode_attributes(resource)}, "scopeSpans": [scope]}]}


def _encode_span(span: ReadableSpan) -> dict[str, Any]:
    context = span.context
    assert context
    encoded: dict[str, Any] = {
        "traceId": _trace_id_text(context.trace_id),
        "spanId": _span_id_text(context.span_id),
        "name": span.name,
        "kind": span.kind.value + 1,
        "startTimeUnixNano": str(span.start_time),
        "endTimeUnixNano": str(span.end_time),
        "attributes": _encode_attributes(span.attributes or {}),
    }
    if span.parent:
        encoded["parentSpanId"] = _span_id_text(span.parent.span_id)
    if span.links:
        encoded["links"] = [
            {"traceId": _trace_id_text(link.context.trace_id), "spanId": _span_id_text(link.context.span_id)}
            for link in span.links
        ]
    if span.status.status_code is StatusCode.ERROR:
        encoded["status"] = {"code": ERROR_CODE, "message": span.status.description or ""}
    return encoded


def _trace_id_text(trace_id: int) -> str:
    return f"{trace_id:032x}"


def _span_id_text(span_id: int) -> str:
    return f"{span_id:016x}"


def _encode_attributes(attributes: Mapping[str, Any]) -> list[dict[str, Any]]:
    """Encodes attributes as key-value pairs of OTLP, whose JSON has integers as strings."""
    encoded = []
    for key, value in attributes.items():
        value_key = VALUE_KEYS.get(type(value), "stringValue")
        encoded.append({"key": key, "value": {value_key: str(value) if type(value) is int else value}})
    return encoded


def read_spans(path: Path) -> list[dict[str, Any]]:
    """Reads all spans of a file, as decoded OTLP JSON."""
    spans = []
    for line in path.read_text().splitlines():
        for group in json.loads(line)["resourceSpans"]:
            for scope in group["scopeSpans"]:
                spans.extend(scope["spans"])
    return spans
