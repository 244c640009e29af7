"""Merging of report windows, and limits on the influence of one proxy."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from load_report_builders import endpoint_row, load_report, new_aggregator

from quillstep.load_reports.aging import age_weight
from quillstep.load_reports.upstream_stats import (
    MAX_PROXY_SHARE,
    ClassArrivals,
    CountedReport,
    EndpointMemory,
    EndpointRow,
    ReportWindow,
    clip_shares,
    summarize,
)

counted_reports = st.builds(
    CountedReport,
    proxy=st.integers(0, 5),
    incarnation=st.just("l"),
    number=st.integers(0, 3),
    zone=st.just("a"),
    arrived_ms=st.just(5000.0),
    end_ms=st.floats(3000.0, 5000.0),
    window_ms=st.floats(10.0, 5000.0),
    grace_ms=st.just(1000.0),
    arrivals=st.lists(st.builds(ClassArrivals, st.integers(0, 1), st.integers(0, 9), st.integers(0, 9)), max_size=2),
    rows=st.lists(
        st.builds(
            EndpointRow, st.integers(1, 3), st.integers(0, 9), st.integers(0, 9), st.floats(0, 900), st.floats(0, 1)
        ),
        max_size=4,
    ),
)


def summary_of(window):
    def weigh(report):
        return age_weight(5000.0 - report.end_ms, report.window_ms, 1000.0, 1000.0)

    summary = summarize(window, weigh, EndpointMemory(), 1000.0)
    return summary.upstream, summary.downstream, summary.latencies


@settings(max_examples=60, deadline=None)
@given(st.lists(counted_reports, max_size=8), st.randoms(), st.integers(0, 8))
def test_windows_merge_in_any_order_and_grouping_to_the_same_bits(reports, rng, cut):
    reports = list({report.identity: report for report in reports}.values())
    expected = summary_of(ReportWindow(reports))
    repeated = reports + reports[:cut]
    rng.shuffle(repeated)
    a, b, c = ReportWindow(repeated[:cut]), ReportWindow(repeated[cut : cut + 2]), ReportWindow(repeated[cut + 2 :])
    assert summary_of(a.merge(b).merge(c)) == expected == summary_of(c.merge(b.merge(a)))


@given(st.lists(st.floats(0.0, 1e6), min_size=1, max_size=12))
def test_no_clipped_share_is_over_its_limit(shares):
    clipped = clip_shares(shares, MAX_PROXY_SHARE)
    nonzero = sum(each > 0 for each in shares)
    assert all(after <= before for after, before in zip(clipped, shares, strict=True))
    if nonzero:
        assert max(clipped) <= max(MAX_PROXY_SHARE, 2.0 / nonzero) * sum(clipped) * (1 + 1e-9)


def test_one_false_report_among_many_changes_the_failed_share_by_at_most_a_quarter_and_not_the_load():
    """The documented limit: beside seven or more correct proxies, a false one changes the failed share by 0.25."""
    aggregator = new_aggregator(proxies=15)
    for proxy in range(0, 14, 2):  # zone a: all attempts at the endpoint fail
        aggregator.add_report(f"p{proxy}", load_report(rows=[endpoint_row(1, 0, 10, 0.0, 0.9)]), 0.0, 0.0)
    aggregator.add_report(
        "p14", load_report(rows=[EndpointRow(1, 29, 0, 29.0, 0.0)]), 0.0, 0.0
    )  # reports successes at a failed endpoint
    (row,) = aggregator.drain(200.0).upstream
    assert row.failed / (row.succeeded + row.failed) >= 1.0 - MAX_PROXY_SHARE - 1e-9
    assert row.weighted_load / row.load_weight == pytest.approx(0.9)
