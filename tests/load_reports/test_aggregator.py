"""Which reports count, and what a window of them comes to."""

import pytest
from load_report_builders import USUAL, attempts, endpoint_row, load_report, new_aggregator

from quillstep.load_reports.aggregator import message_cost
from quillstep.load_reports.aging import MAX_HALVINGS, max_age_ms
from quillstep.load_reports.validation import ReportAccount


def test_a_repeated_report_counts_once_by_number_or_digest():
    made = new_aggregator()
    made.add_report("p0", load_report(1, [endpoint_row()], end_ms=0.0, sent_ms=0.0), 0.0, 0.0)
    made.add_report(
        "p0", load_report(1, [endpoint_row()], end_ms=0.0, sent_ms=50.0), 50.0, 50.0
    )  # sent again on another stream
    made.add_report("p1", load_report(-1, [endpoint_row()], digest=7), 50.0, 50.0)
    made.add_report("p1", load_report(-1, [endpoint_row()], digest=7), 60.0, 60.0)
    found = made.drain(70.0)
    assert attempts(found) == 10 and found.rejected == {"duplicate": 2}


def test_the_same_window_under_other_numbers_counts_once():
    """A proxy that counts its sums again under new numbers: its cover is used up, with a spare for jitter."""
    made = new_aggregator()
    made.add_report("p0", load_report(0, [endpoint_row(succeeded=10)], end_ms=0.0, sent_ms=0.0), 0.0, 0.0)
    for number in range(1, 200):
        made.add_report(
            "p0", load_report(number, [endpoint_row(succeeded=10)], end_ms=1000.0, sent_ms=1000.0), 1000.0, 1000.0
        )
    most = (max_age_ms(USUAL, USUAL) + 3 * USUAL) / USUAL
    assert attempts(made.drain(1000.0)) <= 10 * (most + 1) and made.accounts["p0"].window_budget_ms < 1e-6


def test_the_account_of_the_same_incarnation_is_restored_and_of_another_is_not():
    made = new_aggregator(incarnation="x")
    made.add_report("p0", load_report(4, [endpoint_row()]), 0.0, 0.0)
    made.remove_proxy("p0")
    made.add_report("p0", load_report(5, [endpoint_row()]), 0.0, 0.0)  # no stream stands
    made.add_proxy(ReportAccount(0, "a", "x", USUAL, USUAL), "p0")
    made.add_report("p0", load_report(4, [endpoint_row()]), 0.0, 0.0)
    made.remove_proxy("p0")
    made.add_proxy(ReportAccount(0, "a", "y", USUAL, USUAL), "p0")
    made.add_report("p0", load_report(4, [endpoint_row()]), 0.0, 0.0)
    found = made.drain(100.0)
    assert attempts(found) == 10 and found.rejected == {"proxy has not joined": 1, "duplicate": 1}


@pytest.mark.parametrize("ageing", [True, False])
def test_old_failures_do_not_replace_fresh_figures_of_an_endpoint(ageing):
    made = new_aggregator(ageing=ageing)
    made.add_report(
        "p0", load_report(9, [endpoint_row(1, 10, 0, 20.0, 0.2)], end_ms=9000.0, sent_ms=9000.0), 9000.0, 9000.0
    )
    made.drain(9100.0)
    old = load_report(2, [endpoint_row(1, 0, 30, 0.0, 1.0)], end_ms=3000.0, sent_ms=9150.0)
    made.add_report("p0", old, 9150.0, 9150.0)
    found = made.drain(9300.0)
    assert (found.upstream == []) is ageing and found.superseded == int(ageing)


def test_old_reports_weigh_less_beside_fresh_ones_and_their_attempts_all_count():
    made = new_aggregator(proxies=3)
    made.add_report("p0", load_report(1, [endpoint_row(1, 10)], end_ms=9000.0, sent_ms=9000.0), 9000.0, 9000.0)
    made.add_report(
        "p2", load_report(1, [endpoint_row(1, 0, 10, 0.0)], arrived=40, end_ms=7200.0, sent_ms=9000.0), 9000.0, 9000.0
    )
    (row,) = (found := made.drain(9100.0)).upstream
    assert row.succeeded + row.failed == pytest.approx(20.0)
    assert 0.1 < row.failed / (row.succeeded + row.failed) < 0.35
    _, old = found.downstream
    assert (
        old.arrived / old.window_ms == pytest.approx(0.04) and old.window_ms < 600.0
    )  # an honest rate, worth less time


def test_attempts_of_superseded_rows_wait_for_fresh_rows_of_their_endpoint():
    made = new_aggregator(proxies=3)
    made.add_report("p0", load_report(1, [endpoint_row(1, 10)], end_ms=9000.0, sent_ms=9000.0), 9000.0, 9000.0)
    made.drain(9100.0)
    made.add_report("p2", load_report(1, [endpoint_row(1, 0, 6)], end_ms=4000.0, sent_ms=9150.0), 9150.0, 9150.0)
    assert made.drain(9300.0).upstream == []
    made.add_report("p0", load_report(2, [endpoint_row(1, 10)], end_ms=10000.0, sent_ms=10000.0), 10000.0, 10000.0)
    (row,) = made.drain(10100.0).upstream
    assert (row.succeeded, row.failed) == (pytest.approx(16.0), 0.0)


def test_traffic_of_a_late_proxy_counts_in_full_and_of_a_reconnected_one_for_little_over_a_period():
    late, away = new_aggregator(), new_aggregator()
    for second in range(20):
        now = 5000.0 + 1000.0 * second
        late.add_report("p0", load_report(second, [endpoint_row(1, 10)], end_ms=now - 5000.0, sent_ms=now), now, now)
        away.add_report(
            "p0", load_report(second, [endpoint_row(1, 10)], end_ms=1000.0 * second, sent_ms=20000.0), 20000.0, 20000.0
        )
    assert attempts(late.drain(24100.0)) == pytest.approx(200.0)
    assert attempts(away.drain(20100.0)) <= 10 * 1.5 + 1e-6


def test_reports_over_the_maximum_age_are_rejected_with_their_reason():
    made = new_aggregator()
    late = max_age_ms(USUAL, USUAL) + 500.0
    made.add_report("p0", load_report(1, [endpoint_row()], end_ms=0.0, sent_ms=late), late, late)
    assert made.due_ms() == float("inf") and made.drain(late).rejected == {"too old": 1} and MAX_HALVINGS == 8


def test_ten_seconds_of_reports_from_all_proxies_at_once_count_like_a_few_seconds():
    """A thousand proxies back within a second: the module must not learn ten times the fleet's capacity."""
    made = new_aggregator(proxies=1000, rows_per_s=1e9)
    for proxy in range(1000):
        at = float(proxy)
        row = load_report(1, [endpoint_row(1 + proxy % 6, 100)], 100, 10000.0, at, at)
        made.add_report(f"p{proxy}", row, at, at)
    found = made.drain(1000.0)
    seconds = attempts(found) / (1000 * 10.0)  # at ten tries a second each
    assert 1.0 < seconds < 2.6
    arrived, window_ms = (sum(getattr(row, name) for row in found.downstream) for name in ("arrived", "window_ms"))
    assert arrived / window_ms == pytest.approx(0.01)


def test_half_the_reports_five_seconds_late_leave_the_failed_share_of_the_fresh_ones():
    made, plain = new_aggregator(proxies=20), new_aggregator(proxies=20, ageing=False)
    parts = []
    for each in (made, plain):
        for second in range(20):
            now = second * 1000.0
            for proxy in range(20):
                late = 5000.0 if proxy % 4 < 2 else 0.0
                if now < late:
                    continue
                until = now - late
                broken = until < 10000.0  # the endpoint fails until then, and is well from there on
                row = endpoint_row(1, 0 if broken else 10, 10 if broken else 0)
                each.add_report(f"p{proxy}", load_report(second, [row], end_ms=until, sent_ms=now), now, now)
            found = each.drain(now + 100.0).upstream
            if now == 13000.0:
                failed = sum(row.failed for row in found)
                total = sum(row.succeeded + row.failed for row in found)
                parts.append(failed / total)
    assert parts[0] == 0.0 and parts[1] == pytest.approx(0.5)


def test_warnings_are_rate_limited_and_bounded():
    made = new_aggregator(proxies=200)
    for at in range(50):
        for proxy in range(200):
            made.warn(f"p{proxy}", "impossible arrivals", float(at))
    assert len(made.warnings) <= 64 and len(set(made.warnings)) == len(made.warnings)


def test_a_message_over_a_whole_budget_is_read_when_the_window_is_full_and_uses_it_up():
    made = new_aggregator(rows_per_s=1000.0, window_ms=100.0)
    size = 100_000
    assert message_cost(size) > 100.0 and made.wait_until_ms("p0", size, 0.0) == 0.0
    made.charge(size)
    assert made.wait_until_ms("p0", size, 1.0) > 1.0 and made.wait_until_ms("p0", size, 101.0) == 0.0


def test_reports_count_once_when_proxies_move_from_a_dead_controller_in_the_middle_of_them():
    """Each pilot counts a report once; what only the dead one may have had is sent again and counted by the other."""
    first, second = new_aggregator(proxies=4, incarnation="x"), new_aggregator(proxies=0)
    truth = 0
    for proxy in range(4):
        first.add_report(f"p{proxy}", load_report(1, [endpoint_row()], end_ms=1000.0, sent_ms=1000.0), 1000.0, 1000.0)
        truth += 5
    assert attempts(first.drain(1100.0)) == truth
    for proxy in range(4):
        second.add_proxy(ReportAccount(proxy, "ab"[proxy % 2], "x", USUAL, USUAL), f"p{proxy}")
        for number in (2, 2, 3):  # number 2 broke off in the middle, and is sent again
            until = 1000.0 * number
            second.add_report(
                f"p{proxy}", load_report(number, [endpoint_row()], end_ms=until, sent_ms=3100.0), 3100.0, 3100.0
            )
    found = second.drain(3200.0)
    assert 4 * 5 < attempts(found) <= 4 * 10 and found.rejected == {"duplicate": 4}
    assert sorted(row.arrived_ms for row in found.proxies) == [3100.0] * 8
