"""Which table served a request: complete traces, what is missing of others, and why an interval wrote what it did."""

import time

import msgspec
import pytest
from click.testing import CliRunner
from memory_fleet import fleet, small_day

from quillstep.cli.main import cli
from quillstep.invariants import Evidence, check_invariants
from quillstep.testbed.scenarios.arm import Arm
from quillstep.testbed.scenarios.plan import plan_scenario
from quillstep.tracing.causes import concerns, find_cause
from quillstep.tracing.report import read_trace_index, summarize
from quillstep.tracing.request_trace import TraceIndex

EPOCH = "pilot-0-77"
LINE = "xdstp://quillstep/envoy.config.endpoint.v3.LbEndpoint/table-0/5"


def applied(at, nonce, changed, kind="LbEndpoint", order=4):
    return {"at": at, "proxy": "p", "type": kind, "nonce": f"{EPOCH}.{nonce}", "system": f"{EPOCH}/{order}/900.0",
            "changed": changed, "removed": []}  # fmt: skip


def sent(at, nonce, order=4):
    return {"what": "send", "at": at, "proxy": "p", "nonce": f"{EPOCH}.{nonce}", "order": order}


def ack(at, nonce):
    return {"what": "ack", "at": at, "proxy": "p", "nonce": f"{EPOCH}.{nonce}"}


def trace_index(rows, channel_rows, version="v1", streams=()):
    exchange = {"exchange": "x", "proxy": "p", "class": "lookup", "at": 2000.0, "end": 2050.0, "outcome": "ok",
                "tries": [["127.0.0.1:9", 2001.0, 2050.0, "ok", version]], "routes": ""}  # fmt: skip
    evidence = Evidence(
        fleet(), requests=[exchange], applied_updates=rows, channel_rows=channel_rows, stream_changes=list(streams)
    )
    return TraceIndex(evidence.sort())


def test_a_complete_trace_goes_from_the_response_to_the_control_interval():
    (link,) = trace_index([applied(1010.0, 1, [[LINE, "v1"]])], [sent(1000.0, 1), ack(1012.0, 1)]).trace("x").origins
    assert (link.epoch, link.revision, link.nonce, link.resource, link.gap) == (EPOCH, 4, f"{EPOCH}.1", LINE, "")
    assert (link.decided_ms, link.sent_ms, link.applied_ms, link.acked_ms) == (
        900.0,
        1000.0,
        1010.0,
        1012.0,
    )


def test_the_newest_application_before_the_attempt_is_the_one_it_used():
    rows = [applied(1010.0, 1, [[LINE, "v1"]]), applied(1500.0, 3, [[LINE, "v1"]], order=9),
            applied(2002.0, 5, [[LINE, "v1"]], order=11)]  # fmt: skip
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
        ([applied(2500.0, 1, [[LINE, "v1"]])], [sent(2490.0, 1), ack(2501.0, 1)], (),
         "no response that it applied held this version"),  # only after the try
        ([applied(1010.0, 1, [[LINE, "v1"]], "RouteConfiguration")], [sent(1000.0, 1)], (),
         "no response that it applied held this version"),  # another type's version of the same name
        ([applied(1010.0, 1, [[LINE, "v1"]])], [ack(1012.0, 1)], (), "no record of its sending"),
        ([applied(1010.0, 1, [[LINE, "v1"]])], [sent(1000.0, 1, 7), ack(1012.0, 1)], (), "sent as order 7"),
        ([applied(1010.0, 1, [[LINE, "v1"]])], [sent(1000.0, 1), sent(1900.0, 2), ack(1950.0, 2)], (),
         "no acknowledgement"),  # a later word of the same stream came, this one never did
    ],
)  # fmt: skip
def test_a_trace_names_its_gap(rows, channel_rows, streams, gap):
    index = trace_index(rows, channel_rows, streams=streams)
    assert index.trace("x").gaps == [f"line: {gap}"]
    assert summarize(index).untraced == 1


def test_an_ack_lost_with_its_stream_is_counted_separately_and_is_no_gap():
    ended = {"at": 1011.0, "proxy": "p", "up": False, "pilot": "a"}
    later = [sent(1000.0, 1), sent(1500.0, 2), ack(1510.0, 2)]
    index = trace_index([applied(1010.0, 1, [[LINE, "v1"]])], later, streams=[ended])
    summary = summarize(index)
    assert (summary.untraced, summary.lost_acks) == (0, 1)


def test_the_initial_table_was_assigned_by_no_interval():
    index = trace_index([], [], "standing")
    assert index.trace("x").gaps == [] and summarize(index).initial == 1


@pytest.mark.parametrize(
    ("command", "resource", "expected"),
    [
        (["line", 0, 5, 10.0], LINE, True),
        (["line", 1, 5, 10.0], LINE, False),
        (["line", 0, 55, 10.0], LINE, False),
        (["withdraw", 5, True], LINE, True),
        (["level", 0, [1], 3.0, 1], "exchanges", True),
        (["level", 0, [1], 3.0, 1], LINE, False),
    ],
)
def test_a_cause_holds_only_commands_that_concern_the_resource(command, resource, expected):
    assert concerns(command, resource) is expected


def test_a_cause_holds_the_intervals_events_and_their_ages():
    heard = [[3, 800.0, 400.0, 1000.0, 5.0, 9, 0.0]]
    records = [
        ["probe", 90.0, 95.0, 1, True, 3.0, {}],
        ["orders", 100.0, 100.0, 3, [["line", 0, 5, 9.0]]],
        ["roster", 850.0, 860.0, "partial", [[5, "a", "terminating", 1.0, 0.0]], []],
        ["reports", 870.0, 870.0, 0, {"heard": heard}],
        ["sent", 880.0, 880.0, "send", {}],
        ["orders", 900.0, 900.0, 4, [["withdraw", 5, True], ["note", "it drains"], ["line", 0, 6, 2.0]]],
    ]
    found = find_cause(records, 4, LINE)
    assert (
        found
        and found.event_counts == {"roster": 1, "reports": 1}
        and found.oldest_ms == {"roster": 50.0, "reports": 500.0}
    )
    assert found.commands == [["withdraw", 5, True]] and found.notes == ["it drains"]
    assert found.descriptions[0] == "roster, partial: 5 terminating, 50 ms before"
    assert find_cause(records, 9, LINE) is None


@pytest.fixture(scope="module")
def faulty_arm(tmp_path_factory):
    """Two controllers, one killed; streams of both kinds and files; rejected updates, migrations, new limits."""
    day = small_day(
        seconds=8.0, proxies=10, pilots=2, capture=True, sotw_proxies=0.2, file_proxies=0.3, exchanges_per_s=120.0,
        phases=[{"at_s": 2.0, "for_s": 3.0, "times": 3.0}],
        troubles=[
            {"at_s": 1.0, "for_s": 1.0, "what": "proxy_refuses", "count": 3},
            {"at_s": 1.5, "for_s": 3.0, "what": "drain", "count": 1},
            {"at_s": 2.5, "for_s": 1.0, "what": "proxy_moves", "count": 2},
            {"at_s": 3.0, "for_s": 2.0, "what": "pilot_kill", "count": 1},
        ],
    )  # fmt: skip
    arm = Arm(day, plan_scenario(day), "learnt", tmp_path_factory.mktemp("lineage") / "learnt")
    try:
        arm.start()
        arm.play(time.monotonic() * 1000.0 + day.warm_up_s * 1000.0)
    finally:
        arm.stop()
    return arm


def test_every_response_of_a_scenario_with_faults_is_traced(faulty_arm):
    assert check_invariants(faulty_arm.evidence()) == []
    found = summarize(read_trace_index(faulty_arm.folder))
    assert found.untraced == 0, found.gaps
    assert found.responses > 600 and found.revisions > 3


def test_the_command_traces_one_request_or_all_and_fails_for_an_unknown_one(faulty_arm):
    run = CliRunner().invoke
    index = read_trace_index(faulty_arm.folder)
    answered = [row["exchange"] for row in faulty_arm.evidence().requests if row["outcome"] == "ok"]
    named = next(e for e in answered if all(origin.revision for origin in index.trace(e).origins))
    one = run(cli, ["--log-level", "error", "trace", str(faulty_arm.folder), named])
    printed = msgspec.json.decode(one.stdout.splitlines()[-1])
    assert one.exit_code == 0 and printed["exchange"] == named and printed["links"][0]["round_behind"]["news"]
    every = run(cli, ["--log-level", "error", "trace", str(faulty_arm.folder), "--all"])
    assert every.exit_code == 0 and msgspec.json.decode(every.stdout.splitlines()[-1])["untraced"] == 0
    assert run(cli, ["--log-level", "error", "trace", str(faulty_arm.folder), "no-such"]).exit_code == 2
