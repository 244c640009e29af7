"""Values out of range are dropped or rejected, and logged."""

import pytest
from load_report_builders import endpoint_row, load_report, new_aggregator

from quillstep.load_reports.upstream_stats import ClassArrivals, EndpointRow


@pytest.mark.parametrize(
    ("fields", "rejection", "row_count"),
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
        ({"rows": [endpoint_row(), EndpointRow(2, 1000, 0, 10.0, None)]}, "", 0),  # more attempts than requests allow
        ({"rows": [endpoint_row(k, 1) for k in range(5000)]}, "", 0),  # more rows than a report may contain
        ({"unlisted_rows": 40, "rows": [endpoint_row()]}, "", 1),
    ],
)
def test_values_out_of_range_are_dropped_or_rejected_and_logged(fields, rejection, row_count):
    aggregator = new_aggregator()
    aggregator.add_report("p0", load_report(1, **fields), 1000.0, 1000.0)
    summary = aggregator.drain(1100.0)
    assert list(summary.rejected) == ([rejection] if rejection else []) and len(summary.upstream) == row_count
    assert aggregator.warnings and aggregator.warnings[0][0] == "p0"


@pytest.mark.parametrize("load", [float("nan"), float("inf"), -1.0, 1e9])
def test_a_load_value_out_of_range_is_ignored(load):
    aggregator = new_aggregator()
    aggregator.add_report("p0", load_report(1, [endpoint_row(load=load)]), 0.0, 0.0)
    (row,) = aggregator.drain(100.0).upstream
    assert row.succeeded == 5.0 and row.load_weight == 0.0
