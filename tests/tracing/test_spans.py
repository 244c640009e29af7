"""Spans: ids derived without a trace context on the wire, sampling, a failing exporter."""

from quillstep.tracing.otlp import FileExporter, read_spans
from quillstep.tracing.spans import SpanRecorder


def test_spans_of_both_ends_share_a_trace_without_a_context_on_the_wire(tmp_path):
    controller = SpanRecorder(str(tmp_path / "a"), 1.0, 100.0, "pilot-0")
    proxies = SpanRecorder(str(tmp_path / "b"), 1.0, 100.0, "proxies-0")
    sent = {"proxy": "p", "order": 4, "ordered": 900.0, "lines": 2, "nonce": "e.7", "type": "LbEndpoint"}
    controller.record_interval("e", 4, 890.0, 900.0, late_ms=0.0)
    controller.record_channel_event("e", "send", 950.0, sent)
    controller.record_channel_event("e", "nack", 990.0, {"proxy": "p", "nonce": "e.7"})
    row = {"system": "e/4/900.0", "nonce": "e.7", "at": 980.0, "changed": [["line", "v1"]], "reason": "no"}
    proxies.record_application("p", row)
    proxies.record_request({"exchange": "x", "proxy": "p", "class": "c", "at": 1000.0, "end": 1010.0, "outcome": "ok",
                      "tries": [["a", 1001.0, 1009.0, "ok", "v1"]]})  # fmt: skip
    controller.close()
    proxies.close()
    spans = {span["name"]: span for path in ("a", "b") for span in read_spans(tmp_path / path)}
    assert (
        spans["push"]["parentSpanId"] == spans["round"]["spanId"]
        and spans["apply"]["parentSpanId"] == spans["push"]["spanId"]
    )
    assert spans["round"]["traceId"] == spans["push"]["traceId"] == spans["apply"]["traceId"]
    assert spans["exchange"]["links"] == [{"traceId": spans["apply"]["traceId"], "spanId": spans["apply"]["spanId"]}]
    assert spans["push"]["status"]["code"] == 2 and "status" not in spans["round"]
    duration_ns = int(spans["push"]["endTimeUnixNano"]) - int(spans["push"]["startTimeUnixNano"])
    assert duration_ns == 90_000_000


def test_all_processes_sample_the_same_traces_and_write_no_more_spans_than_allowed(tmp_path):
    recorders = [SpanRecorder(str(tmp_path / str(at)), 0.3, 5.0, "s") for at in range(2)]
    sampled = [[each.is_sampled(at * 2**64 + at * 7919**5 % 2**64) for at in range(400)] for each in recorders]
    assert sampled[0] == sampled[1] and 60 < sum(sampled[0]) < 180
    for at in range(2000):
        recorders[0].record_interval("e", at, 1000.0 + at, 1000.5 + at)
    recorders[0].close()
    recorders[1].close()
    assert len(read_spans(tmp_path / "0")) <= 5 + 2 * 5 + 1 and recorders[0].dropped > 0


def test_a_failed_write_is_reported_and_not_raised(tmp_path):
    exporter = FileExporter(tmp_path / "s")
    exporter.file.close()
    exporter.file = open("/dev/full", "wb", buffering=0)  # noqa: SIM115
    assert exporter.export([]).name == "FAILURE"
