"""Summaries of several readers become the planner's statistics."""

import pytest
from memory_fleet import controller_settings

from quillstep.config.controller import LoadReportSettings
from quillstep.load_reports.collector import ReportCollector
from quillstep.load_reports.summary import DownstreamRow, ProxyRow, ReportSummary
from quillstep.load_reports.upstream_stats import MIN_BOUNDED_PROXIES


@pytest.mark.parametrize(("proxies", "kept"), [(MIN_BOUNDED_PROXIES + 8, True), (4, False)])
def test_one_of_many_proxies_moves_the_demand_by_a_third_at_most(proxies, kept):
    made = ReportCollector(controller_settings())
    for second in range(1, 30):
        end_ms = second * 1000.0
        summary = ReportSummary()
        for proxy in range(proxies):
            arrived = 90000 if proxy == 0 else 10
            summary.downstream.append(DownstreamRow(0, proxy, arrived, 0, 1000.0, end_ms))
            summary.proxies.append(ProxyRow(proxy, end_ms, end_ms, 1000.0, 0, arrived, 0.0))
        made.add_summary(summary, end_ms)
        _, downstream = made.drain(end_ms)
    honest = 10.0 * (proxies - 1)
    assert (sum(row.requests for row in downstream) <= honest * 4 / 3 + 1.0) is kept


def test_what_was_not_reported_is_left_out_and_not_zero():
    made = ReportCollector(controller_settings())
    assert made.due_ms() == float("inf") and made.drain(5.0) == ([], [])


def test_a_reader_without_spare_budget_brings_the_next_plan_forward():
    collector = ReportCollector(controller_settings(reports=LoadReportSettings(rows_per_s=3000.0, window_ms=100.0)))
    for proxy in range(40):
        collector.add_proxy(proxy, 0.0)
    collector.plan_requests(collector.plan_due_ms())
    later = collector.plan_due_ms()
    collector.add_summary(ReportSummary(cost=20.0), 3000.0)
    assert collector.plan_due_ms() == later
    rows = [ProxyRow(proxy, 3000.0, 3000.0, 1000.0, 92.0, 5, 0.0) for proxy in range(40)]
    collector.add_summary(ReportSummary(proxies=rows, cost=300.0), 3000.0)
    assert collector.plan_due_ms() == 4000.0 < later
    assert any(not each.is_full for each in collector.plan_requests(4000.0))
