"""Spans: trace contexts without any on the wire, sampling, an exporter that fails."""

from quillstep.tracing.otlp import FileExporter, read_spans
from quillstep.tracing.spans import SpanRecorder


def test_spans_of_sending_and_applying_meet_without_any_context_on_the_wire(tmp_path):
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
    by = {span["name"]: span for path in ("a", "b") for span in read_spans(tmp_path / path)}
    assert by["push"]["parentSpanId"] == by["round"]["spanId"] and by["apply"]["parentSpanId"] == by["push"]["spanId"]
    assert by["round"]["traceId"] == by["push"]["traceId"] == by["apply"]["traceId"]
    assert by["exchange"]["links"] == [{"traceId": by["apply"]["traceId"], "spanId": by["apply"]["spanId"]}]
    assert by["push"]["status"]["code"] == 2 and "status" not in by["round"]
    lasts = int(by["push"]["endTimeUnixNano"]) - int(by["push"]["startTimeUnixNano"])
    assert lasts == 90_000_000


def test_all_processes_sample_the_same_traces_and_keep_no_more_spans_than_allowed(tmp_path):
    some = [SpanRecorder(str(tmp_path / str(at)), 0.3, 5.0, "s") for at in range(2)]
    kept = [[each.is_sampled(at * 2**64 + at * 7919**5 % 2**64) for at in range(400)] for each in some]
    assert kept[0] == kept[1] and 60 < sum(kept[0]) < 180
    for at in range(2000):
        some[0].record_interval("e", at, 1000.0 + at, 1000.5 + at)
    some[0].close()
    some[1].close()
    assert len(read_spans(tmp_path / "0")) <= 5 + 2 * 5 + 1 and some[0].dropped > 0


def test_a_file_that_cannot_be_written_costs_spans_and_no_controller(tmp_path):
    exporter = FileExporter(tmp_path / "s")
    exporter.file.close()
    exporter.file = open("/dev/full", "wb", buffering=0)  # noqa: SIM115
    assert exporter.export([]).name == "FAILURE"
