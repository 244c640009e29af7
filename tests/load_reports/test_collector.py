"""Merging of the readers' summaries into statistics for the planner."""

import pytest
from memory_fleet import controller_settings

from quillstep.config.controller import LoadReportSettings
from quillstep.load_reports.collector import ReportCollector
from quillstep.load_reports.summary import DownstreamRow, ProxyRow, ReportSummary
from quillstep.load_reports.upstream_stats import MIN_BOUNDED_PROXIES


@pytest.mark.parametrize(("proxies", "is_bounded"), [(MIN_BOUNDED_PROXIES + 8, True), (4, False)])
def test_one_of_many_proxies_changes_the_demand_by_at_most_a_third(proxies, is_bounded):
    collector = ReportCollector(controller_settings())
    for second in range(1, 30):
        end_ms = second * 1000.0
        summary = ReportSummary()
        for proxy in range(proxies):
            arrived = 90000 if proxy == 0 else 10
            summary.downstream.append(DownstreamRow(0, proxy, arrived, 0, 1000.0, end_ms))
            summary.proxies.append(ProxyRow(proxy, end_ms, end_ms, 1000.0, 0, arrived, 0.0))
        collector.add_summary(summary, end_ms)
        _, downstream = collector.drain(end_ms)
    other_arrivals = 10.0 * (proxies - 1)
    assert (sum(row.requests for row in downstream) <= other_arrivals * 4 / 3 + 1.0) is is_bounded


def test_unreported_endpoints_and_classes_are_omitted_from_the_statistics():
    collector = ReportCollector(controller_settings())
    assert collector.due_ms() == float("inf") and collector.drain(5.0) == ([], [])


def test_a_reader_that_used_up_its_budget_brings_the_next_plan_forward():
    collector = ReportCollector(controller_settings(reports=LoadReportSettings(rows_per_s=3000.0, window_ms=100.0)))
    for proxy in range(40):
        collector.add_proxy(proxy, 0.0)
    collector.plan_requests(collector.plan_due_ms())
    scheduled_ms = collector.plan_due_ms()
    collector.add_summary(ReportSummary(cost=20.0), 3000.0)
    assert collector.plan_due_ms() == scheduled_ms
    rows = [ProxyRow(proxy, 3000.0, 3000.0, 1000.0, 92.0, 5, 0.0) for proxy in range(40)]
    collector.add_summary(ReportSummary(proxies=rows, cost=300.0), 3000.0)
    assert collector.plan_due_ms() == 4000.0 < scheduled_ms
    assert any(not request.is_full for request in collector.plan_requests(4000.0))
