"""Complete traces of requests, and the gaps of incomplete ones."""

import pytest
from memory_fleet import fleet

from quillstep.invariants import Evidence
from quillstep.tracing.report import summarize
from quillstep.tracing.request_trace import TraceIndex

EPOCH = "pilot-0-77"
WEIGHT = "xdstp://quillstep/envoy.config.endpoint.v3.LbEndpoint/table-0/5"


def applied(at, nonce, changed, kind="LbEndpoint", order=4):
    return {"at": at, "proxy": "p", "type": kind, "nonce": f"{EPOCH}.{nonce}", "system": f"{EPOCH}/{order}/900.0",
            "changed": changed, "removed": []}  # fmt: skip


def sent(at, nonce, order=4):
    return {"what": "send", "at": at, "proxy": "p", "nonce": f"{EPOCH}.{nonce}", "order": order}


def ack(at, nonce):
    return {"what": "ack", "at": at, "proxy": "p", "nonce": f"{EPOCH}.{nonce}"}


def trace_index(rows, channel_rows, version="v1", streams=()):
    request = {"exchange": "x", "proxy": "p", "class": "lookup", "at": 2000.0, "end": 2050.0, "outcome": "ok",
               "tries": [["127.0.0.1:9", 2001.0, 2050.0, "ok", version]], "routes": ""}  # fmt: skip
    evidence = Evidence(
        fleet(), requests=[request], applied_updates=rows, channel_rows=channel_rows, stream_changes=list(streams)
    )
    return TraceIndex(evidence.sort())


def test_a_complete_trace_leads_from_the_response_to_the_control_interval():
    (origin,) = (
        trace_index([applied(1010.0, 1, [[WEIGHT, "v1"]])], [sent(1000.0, 1), ack(1012.0, 1)]).trace("x").origins
    )
    assert (origin.epoch, origin.revision, origin.nonce, origin.resource, origin.gap) == (
        EPOCH,
        4,
        f"{EPOCH}.1",
        WEIGHT,
        "",
    )
    assert (origin.decided_ms, origin.sent_ms, origin.applied_ms, origin.acked_ms) == (
        900.0,
        1000.0,
        1010.0,
        1012.0,
    )


def test_the_newest_application_before_the_attempt_is_the_one_it_used():
    rows = [applied(1010.0, 1, [[WEIGHT, "v1"]]), applied(1500.0, 3, [[WEIGHT, "v1"]], order=9),
            applied(2002.0, 5, [[WEIGHT, "v1"]], order=11)]  # fmt: skip
    channel_rows = [
        sent(1000.0, 1),
        ack(1012.0, 1),
        sent(1490.0, 3, 9),
        ack(1510.0, 3),
        sent(1990.0, 5, 11),
        ack(2003.0, 5),
    ]
    assert trace_index(rows, channel_rows).trace("x").origins[0].revision == 9


@pytest.mark.parametrize(
    ("rows", "channel_rows", "streams", "gap"),
    [
        ([], [], (), "no response that it applied held this version"),
        ([applied(2500.0, 1, [[WEIGHT, "v1"]])], [sent(2490.0, 1), ack(2501.0, 1)], (),
         "no response that it applied held this version"),  # applied only after the attempt
        ([applied(1010.0, 1, [[WEIGHT, "v1"]], "RouteConfiguration")], [sent(1000.0, 1)], (),
         "no response that it applied held this version"),  # another type's version of the same name
        ([applied(1010.0, 1, [[WEIGHT, "v1"]])], [ack(1012.0, 1)], (), "no record of its sending"),
        ([applied(1010.0, 1, [[WEIGHT, "v1"]])], [sent(1000.0, 1, 7), ack(1012.0, 1)], (), "sent as order 7"),
        ([applied(1010.0, 1, [[WEIGHT, "v1"]])], [sent(1000.0, 1), sent(1900.0, 2), ack(1950.0, 2)], (),
         "no acknowledgement"),  # a later ack arrived on the same stream, this one did not
    ],
)  # fmt: skip
def test_a_trace_names_its_gap(rows, channel_rows, streams, gap):
    index = trace_index(rows, channel_rows, streams=streams)
    assert index.trace("x").gaps == [f"line: {gap}"]
    assert summarize(index).untraced == 1


def test_an_ack_lost_with_its_stream_is_counted_separately_and_is_not_a_gap():
    stream_end = {"at": 1011.0, "proxy": "p", "up": False, "pilot": "a"}
    channel_rows = [sent(1000.0, 1), sent(1500.0, 2), ack(1510.0, 2)]
    index = trace_index([applied(1010.0, 1, [[WEIGHT, "v1"]])], channel_rows, streams=[stream_end])
    summary = summarize(index)
    assert (summary.untraced, summary.lost_acks) == (0, 1)


def test_the_initial_table_has_no_control_interval_and_no_gap():
    index = trace_index([], [], "standing")
    assert index.trace("x").gaps == [] and summarize(index).initial == 1
