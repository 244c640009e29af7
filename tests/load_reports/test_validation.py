"""Impossible figures are dropped or rejected, and logged."""

import pytest
from load_report_builders import endpoint_row, load_report, new_aggregator

from quillstep.load_reports.upstream_stats import ClassArrivals, EndpointRow


@pytest.mark.parametrize(
    ("change", "void", "rows"),
    [
        ({"window_ms": -5.0}, "invalid window length", 0),
        ({"window_ms": float("nan")}, "invalid window length", 0),
        ({"window_ms": 1e12}, "invalid window length", 0),
        ({"end_ms": 5000.0, "sent_ms": 1000.0}, "window ends in the future", 0),
        ({"end_ms": float("nan"), "sent_ms": 1000.0}, "window ends in the future", 0),
        ({"end_ms": float("-inf"), "sent_ms": float("-inf")}, "window ends in the future", 0),
        ({"arrived": 10**19}, "impossible arrivals", 0),
        ({"arrivals": [ClassArrivals(0, 3, 10**6)]}, "impossible arrivals", 0),
        ({"rows": [endpoint_row(), EndpointRow(2, 2**63, 0, 1.0, None)]}, "", 1),
        ({"rows": [endpoint_row(), EndpointRow(2, 1, 0, float("nan"), None)]}, "", 1),
        ({"rows": [endpoint_row(), EndpointRow(2, 1, 0, -1.0, None)]}, "", 1),
        ({"rows": [endpoint_row(), EndpointRow(2, 1, 0, 1e9, None)]}, "", 1),
        ({"rows": [endpoint_row(), EndpointRow(2, 1000, 0, 10.0, None)]}, "", 0),  # more tries than exchanges can make
        ({"rows": [endpoint_row(k, 1) for k in range(5000)]}, "", 0),  # more rows than one report may have
        ({"unlisted_rows": 40, "rows": [endpoint_row()]}, "", 1),
    ],
)
def test_impossible_figures_are_dropped_or_rejected_and_logged(change, void, rows):
    made = new_aggregator()
    made.add_report("p0", load_report(1, **change), 1000.0, 1000.0)
    found = made.drain(1100.0)
    assert list(found.rejected) == ([void] if void else []) and len(found.upstream) == rows
    assert made.warnings and made.warnings[0][0] == "p0"


@pytest.mark.parametrize("load", [float("nan"), float("inf"), -1.0, 1e9])
def test_an_impossible_load_figure_is_left_out(load):
    made = new_aggregator()
    made.add_report("p0", load_report(1, [endpoint_row(load=load)]), 0.0, 0.0)
    (row,) = made.drain(100.0).upstream
    assert row.succeeded == 5.0 and row.load_weight == 0.0
