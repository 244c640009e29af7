"""Which reports count, and how a window is summarized."""

import pytest
from load_report_builders import PERIOD_MS, attempts, endpoint_row, load_report, new_aggregator

from quillstep.load_reports.aggregator import message_cost
from quillstep.load_reports.aging import MAX_HALVINGS, max_age_ms
from quillstep.load_reports.validation import ReportAccount


def test_a_repeated_report_counts_once_by_number_or_digest():
    aggregator = new_aggregator()
    aggregator.add_report("p0", load_report(1, [endpoint_row()], end_ms=0.0, sent_ms=0.0), 0.0, 0.0)
    aggregator.add_report(
        "p0", load_report(1, [endpoint_row()], end_ms=0.0, sent_ms=50.0), 50.0, 50.0
    )  # resent on another stream
    aggregator.add_report("p1", load_report(-1, [endpoint_row()], digest=7), 50.0, 50.0)
    aggregator.add_report("p1", load_report(-1, [endpoint_row()], digest=7), 60.0, 60.0)
    summary = aggregator.drain(70.0)
    assert attempts(summary) == 10 and summary.rejected == {"duplicate": 2}


def test_the_same_window_under_other_report_numbers_counts_once():
    """A proxy that resends its totals under new numbers uses up its window budget, which allows for jitter."""
    aggregator = new_aggregator()
    aggregator.add_report("p0", load_report(0, [endpoint_row(succeeded=10)], end_ms=0.0, sent_ms=0.0), 0.0, 0.0)
    for number in range(1, 200):
        aggregator.add_report(
            "p0", load_report(number, [endpoint_row(succeeded=10)], end_ms=1000.0, sent_ms=1000.0), 1000.0, 1000.0
        )
    max_periods = (max_age_ms(PERIOD_MS, PERIOD_MS) + 3 * PERIOD_MS) / PERIOD_MS
    assert (
        attempts(aggregator.drain(1000.0)) <= 10 * (max_periods + 1)
        and aggregator.accounts["p0"].window_budget_ms < 1e-6
    )


def test_an_account_is_restored_for_the_same_incarnation_only():
    aggregator = new_aggregator(incarnation="x")
    aggregator.add_report("p0", load_report(4, [endpoint_row()]), 0.0, 0.0)
    aggregator.remove_proxy("p0")
    aggregator.add_report("p0", load_report(5, [endpoint_row()]), 0.0, 0.0)  # the proxy has not joined
    aggregator.add_proxy(ReportAccount(0, "a", "x", PERIOD_MS, PERIOD_MS), "p0")
    aggregator.add_report("p0", load_report(4, [endpoint_row()]), 0.0, 0.0)
    aggregator.remove_proxy("p0")
    aggregator.add_proxy(ReportAccount(0, "a", "y", PERIOD_MS, PERIOD_MS), "p0")
    aggregator.add_report("p0", load_report(4, [endpoint_row()]), 0.0, 0.0)
    summary = aggregator.drain(100.0)
    assert attempts(summary) == 10 and summary.rejected == {"proxy has not joined": 1, "duplicate": 1}


@pytest.mark.parametrize("ageing", [True, False])
def test_old_failures_do_not_replace_fresh_statistics_of_an_endpoint(ageing):
    aggregator = new_aggregator(ageing=ageing)
    aggregator.add_report(
        "p0", load_report(9, [endpoint_row(1, 10, 0, 20.0, 0.2)], end_ms=9000.0, sent_ms=9000.0), 9000.0, 9000.0
    )
    aggregator.drain(9100.0)
    old = load_report(2, [endpoint_row(1, 0, 30, 0.0, 1.0)], end_ms=3000.0, sent_ms=9150.0)
    aggregator.add_report("p0", old, 9150.0, 9150.0)
    summary = aggregator.drain(9300.0)
    assert (summary.upstream == []) is ageing and summary.superseded == int(ageing)


def test_old_reports_have_less_weight_than_fresh_ones_but_all_their_attempts_count():
    aggregator = new_aggregator(proxies=3)
    aggregator.add_report("p0", load_report(1, [endpoint_row(1, 10)], end_ms=9000.0, sent_ms=9000.0), 9000.0, 9000.0)
    aggregator.add_report(
        "p2", load_report(1, [endpoint_row(1, 0, 10, 0.0)], arrived=40, end_ms=7200.0, sent_ms=9000.0), 9000.0, 9000.0
    )
    (row,) = (summary := aggregator.drain(9100.0)).upstream
    assert row.succeeded + row.failed == pytest.approx(20.0)
    assert 0.1 < row.failed / (row.succeeded + row.failed) < 0.35
    _, old = summary.downstream
    assert (
        old.arrived / old.window_ms == pytest.approx(0.04) and old.window_ms < 600.0
    )  # same rate, but the age weight shortens the window


def test_attempts_of_superseded_rows_are_added_to_the_next_fresh_rows_of_their_endpoint():
    aggregator = new_aggregator(proxies=3)
    aggregator.add_report("p0", load_report(1, [endpoint_row(1, 10)], end_ms=9000.0, sent_ms=9000.0), 9000.0, 9000.0)
    aggregator.drain(9100.0)
    aggregator.add_report("p2", load_report(1, [endpoint_row(1, 0, 6)], end_ms=4000.0, sent_ms=9150.0), 9150.0, 9150.0)
    assert aggregator.drain(9300.0).upstream == []
    aggregator.add_report(
        "p0", load_report(2, [endpoint_row(1, 10)], end_ms=10000.0, sent_ms=10000.0), 10000.0, 10000.0
    )
    (row,) = aggregator.drain(10100.0).upstream
    assert (row.succeeded, row.failed) == (pytest.approx(16.0), 0.0)


def test_traffic_of_a_late_proxy_counts_in_full_and_of_a_reconnected_one_for_at_most_a_period_and_a_half():
    late, reconnected = new_aggregator(), new_aggregator()
    for second in range(20):
        now = 5000.0 + 1000.0 * second
        late.add_report("p0", load_report(second, [endpoint_row(1, 10)], end_ms=now - 5000.0, sent_ms=now), now, now)
        reconnected.add_report(
            "p0", load_report(second, [endpoint_row(1, 10)], end_ms=1000.0 * second, sent_ms=20000.0), 20000.0, 20000.0
        )
    assert attempts(late.drain(24100.0)) == pytest.approx(200.0)
    assert attempts(reconnected.drain(20100.0)) <= 10 * 1.5 + 1e-6


def test_reports_over_the_maximum_age_are_rejected_with_a_reason():
    aggregator = new_aggregator()
    late = max_age_ms(PERIOD_MS, PERIOD_MS) + 500.0
    aggregator.add_report("p0", load_report(1, [endpoint_row()], end_ms=0.0, sent_ms=late), late, late)
    assert (
        aggregator.due_ms() == float("inf") and aggregator.drain(late).rejected == {"too old": 1} and MAX_HALVINGS == 8
    )


def test_ten_seconds_of_reports_from_all_proxies_at_once_count_as_a_few_seconds():
    """A thousand proxies reconnect within a second: the planner must not learn ten times the fleet's capacity."""
    aggregator = new_aggregator(proxies=1000, rows_per_s=1e9)
    for proxy in range(1000):
        at = float(proxy)
        row = load_report(1, [endpoint_row(1 + proxy % 6, 100)], 100, 10000.0, at, at)
        aggregator.add_report(f"p{proxy}", row, at, at)
    summary = aggregator.drain(1000.0)
    seconds = attempts(summary) / (1000 * 10.0)  # ten attempts per second and proxy
    assert 1.0 < seconds < 2.6
    arrived, window_ms = (sum(getattr(row, name) for row in summary.downstream) for name in ("arrived", "window_ms"))
    assert arrived / window_ms == pytest.approx(0.01)


def test_reports_five_seconds_late_from_half_the_proxies_do_not_change_the_failed_share():
    aged, unaged = new_aggregator(proxies=20), new_aggregator(proxies=20, ageing=False)
    failed_shares = []
    for aggregator in (aged, unaged):
        for second in range(20):
            now = second * 1000.0
            for proxy in range(20):
                late = 5000.0 if proxy % 4 < 2 else 0.0
                if now < late:
                    continue
                end_ms = now - late
                broken = end_ms < 10000.0  # the endpoint fails up to this time and recovers then
                row = endpoint_row(1, 0 if broken else 10, 10 if broken else 0)
                aggregator.add_report(f"p{proxy}", load_report(second, [row], end_ms=end_ms, sent_ms=now), now, now)
            rows = aggregator.drain(now + 100.0).upstream
            if now == 13000.0:
                failed = sum(row.failed for row in rows)
                total = sum(row.succeeded + row.failed for row in rows)
                failed_shares.append(failed / total)
    assert failed_shares[0] == 0.0 and failed_shares[1] == pytest.approx(0.5)


def test_warnings_are_rate_limited_and_bounded():
    aggregator = new_aggregator(proxies=200)
    for at in range(50):
        for proxy in range(200):
            aggregator.warn(f"p{proxy}", "impossible arrivals", float(at))
    assert len(aggregator.warnings) <= 64 and len(set(aggregator.warnings)) == len(aggregator.warnings)


def test_a_message_that_costs_more_than_a_window_waits_for_a_full_budget_and_uses_it_up():
    aggregator = new_aggregator(rows_per_s=1000.0, window_ms=100.0)
    size = 100_000
    assert message_cost(size) > 100.0 and aggregator.wait_until_ms("p0", size, 0.0) == 0.0
    aggregator.charge(size)
    assert aggregator.wait_until_ms("p0", size, 1.0) > 1.0 and aggregator.wait_until_ms("p0", size, 101.0) == 0.0


def test_reports_count_once_when_proxies_move_from_a_failed_controller_mid_report():
    """Each controller counts a report once; reports that only the failed one may have read are resent to the other."""
    first, second = new_aggregator(proxies=4, incarnation="x"), new_aggregator(proxies=0)
    expected = 0
    for proxy in range(4):
        first.add_report(f"p{proxy}", load_report(1, [endpoint_row()], end_ms=1000.0, sent_ms=1000.0), 1000.0, 1000.0)
        expected += 5
    assert attempts(first.drain(1100.0)) == expected
    for proxy in range(4):
        second.add_proxy(ReportAccount(proxy, "ab"[proxy % 2], "x", PERIOD_MS, PERIOD_MS), f"p{proxy}")
        for number in (2, 2, 3):  # number 2 was truncated and is resent
            end_ms = 1000.0 * number
            second.add_report(
                f"p{proxy}", load_report(number, [endpoint_row()], end_ms=end_ms, sent_ms=3100.0), 3100.0, 3100.0
            )
    summary = second.drain(3200.0)
    assert 4 * 5 < attempts(summary) <= 4 * 10 and summary.rejected == {"duplicate": 4}
    assert sorted(row.arrived_ms for row in summary.proxies) == [3100.0] * 8
