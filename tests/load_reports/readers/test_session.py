"""Report streams: reading within a budget, and one stream per proxy."""

import pytest
from envoy.service.load_stats.v3 import lrs_pb2
from load_report_builders import PERIOD_MS, attempts, message, new_aggregator, open_session_stream
from memory_fleet import controller_settings

from quillstep.load_reports.collector import ReportCollector
from quillstep.load_reports.messages import ReportRequest
from quillstep.load_reports.readers.session import ReaderSession
from quillstep.load_reports.summary import LatencyRow, ReportSummary
from quillstep.load_reports.upstream_stats import ClassArrivals, ClassLatency
from quillstep.load_reports.validation import ReportAccount
from quillstep.xds.load_stats import read_report


def test_the_budget_is_never_exceeded_and_buffered_messages_are_read_later():
    session = ReaderSession(new_aggregator(proxies=50, rows_per_s=2000.0, window_ms=100.0))
    for proxy in range(50):
        session.open_stream(proxy)
        session.add_message(proxy, message(f"p{proxy}", rows=20), 0.0)
    spent, now, counted = [], 0.0, 0
    while counted < 50 and now < 20000.0:
        session.read_messages(now)
        spent.append(session.aggregator.spent)
        assert session.aggregator.budget > -1e-6
        counted += len(session.aggregator.window.reports)
        session.aggregator.drain(now)
        now += 100.0
    assert counted == 50 and max(spent) <= 2000.0 * 0.1 * (1 + 1e-6) + 200.0 and len(spent) > 10


def test_too_frequent_reports_of_one_proxy_are_rate_limited_without_delaying_the_others():
    session = ReaderSession(new_aggregator(proxies=3))
    for name in ("p0", "p1", "p2"):
        open_session_stream(session, name)
    read = dict.fromkeys(("p0", "p1", "p2"), 0)
    for tick in range(100):
        now = 100.0 * tick
        for index in range(20):
            session.add_message("p0", message("p0", rows=1, number=20 * tick + index + 1), now)
        if tick % 10 == 0:
            for name in ("p1", "p2"):
                session.add_message(name, message(name, rows=1, number=tick + 1), now)
        for _ in range(20):
            session.read_messages(now)
        for key, _ in session.drain_pending().consumed:
            read[key] += 1
    assert read["p1"] == read["p2"] == 10 and read["p0"] <= 4 + 2 * 10 + 1
    assert ("p0", "reports more often than requested") in session.aggregator.warnings
    buffered = len(session.streams["p0"].buffered)
    session.end_stream("p0")
    assert buffered > 1000 and session.buffered_bytes == 0


def test_reports_that_arrive_before_their_proxy_has_joined_are_buffered_for_one_period():
    session = ReaderSession(new_aggregator(proxies=1))
    open_session_stream(session, "late")
    session.add_message("late", message("late", rows=2), 10.0)
    assert session.read_messages(20.0) < 200.0 and not session.drain_pending().consumed
    session.add_proxy(ReportAccount(7, "a", "", PERIOD_MS, PERIOD_MS), "late")
    session.read_messages(21.0)
    assert len(session.drain_pending().consumed) == 1 and attempts(session.aggregator.drain(30.0)) == 2
    open_session_stream(session, "never")
    session.add_message("never", message("never", rows=2), 40.0)
    session.read_messages(1041.0)
    assert session.aggregator.rejected == {"proxy has not joined": 1}


@pytest.mark.parametrize(
    ("first", "second", "joined", "ended"),
    [
        ("", "", "", ["b"]),  # no incarnations: the first stream keeps the name while it is active
        ("x", "y", "x", ["b"]),  # not the incarnation that joined
        ("x", "x", "x", ["a"]),  # the proxy reconnected: the old stream is ended
        ("y", "x", "x", ["a"]),
    ],
)
def test_a_name_belongs_to_the_incarnation_that_joined_with_it(first, second, joined, ended):
    aggregator = new_aggregator(proxies=0)
    aggregator.add_proxy(ReportAccount(0, "a", joined, PERIOD_MS, PERIOD_MS), "p")
    session = ReaderSession(aggregator)
    ends = open_session_stream(session, "p", first, "a").ends + open_session_stream(session, "p", second, "b").ends
    assert [key for key, _, _ in ends] == ended


def test_a_claim_by_another_incarnation_before_the_join_is_rejected_at_the_join():
    session = ReaderSession(new_aggregator(proxies=0))
    open_session_stream(session, "p", "other", "a")
    session.add_proxy(ReportAccount(0, "a", "joined", PERIOD_MS, PERIOD_MS), "p")
    assert [key for key, _, _ in session.drain_pending().ends] == ["a"] and "p" not in session.by_name
    assert session.aggregator.warnings == [("p", "name is claimed by another stream")]


def test_a_malformed_message_ends_only_its_own_stream():
    session = ReaderSession(new_aggregator())
    open_session_stream(session, "p0")
    open_session_stream(session, "p1")
    session.add_message("p0", b"\xff\xff\xff", 5.0)
    session.add_message("p1", message("p1", rows=2), 5.0)
    session.read_messages(5.0)
    pending = session.drain_pending()
    assert [key for key, _, _ in pending.ends] == ["p0"] and attempts(session.aggregator.drain(9.0)) == 2


def test_a_report_is_decoded_as_it_was_sent_and_latencies_reach_the_histogram():
    data = message("p0", rows=3, number=12)
    report = read_report(
        lrs_pb2.LoadStatsRequest.FromString(data),
        data,
        {"lookup": 0},
        {("127.0.0.1", 9001): 1, ("127.0.0.1", 9002): 2},
    )
    assert (report.number, report.window_ms, report.unlisted_rows, len(report.rows)) == (12, 1000.0, 1, 2)
    assert (
        report.arrivals == [ClassArrivals(0, 3, 0)]
        and report.latencies == [ClassLatency(0, 2, 140.0)]
        and report.has_arrivals
    )
    collector = ReportCollector(controller_settings())
    collector.add_summary(ReportSummary(latencies=[LatencyRow("a", 0, 70.0, 99), LatencyRow("b", 0, 900.0, 1)]), 0.0)
    assert collector.statistics(["lookup"])["lookup"][0] == pytest.approx(70, rel=0.02)


def test_a_report_request_is_sent_on_its_stream_and_rows_out_of_turn_do_not_count():
    session = ReaderSession(new_aggregator(proxies=2))
    open_session_stream(session, "p0")
    session.request_reports(ReportRequest(0, 4000.0, False, 4.0, 0.0, 0.0))
    ((key, data),) = session.drain_pending().sends
    response = lrs_pb2.LoadStatsResponse.FromString(data)
    assert (key, response.load_reporting_interval.seconds, response.report_endpoint_granularity) == (
        "p0",
        4,
        False,
    )
    session.add_message("p0", message("p0", rows=3), 100.0)
    session.read_messages(100.0)
    summary = session.aggregator.drain(150.0)
    assert summary.upstream == [] and summary.downstream[0].arrived == 3  # arrivals always count
    session.request_reports(ReportRequest(0, 4000.0, True, 4.0, 0.0, 9000.0))
    session.add_message("p0", message("p0", rows=3, number=2), 200.0)
    session.read_messages(200.0)
    assert attempts(session.aggregator.drain(250.0)) == 12  # three attempts, representing four proxies
    # The proxy joins again: the earlier request no longer applies.
    session.add_proxy(ReportAccount(0, "a", "", PERIOD_MS, PERIOD_MS), "p0")
    sends = session.drain_pending().sends
    assert lrs_pb2.LoadStatsResponse.FromString(sends[-1][1]).report_endpoint_granularity
