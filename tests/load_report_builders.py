"""Builders of load reports, aggregators and report streams for tests."""

from envoy.service.load_stats.v3 import lrs_pb2
from memory_fleet import fleet

from quillstep.config.controller import LoadReportSettings
from quillstep.load_reports.aggregator import ReportAggregator
from quillstep.load_reports.upstream_stats import ClassArrivals, EndpointRow
from quillstep.load_reports.validation import LoadReport, ReportAccount

PERIOD_MS = 1000.0  # report interval of the fleet that `fleet()` builds


def new_aggregator(proxies=2, incarnation="", **settings):
    aggregator = ReportAggregator(LoadReportSettings(**settings), fleet())
    aggregator.add_endpoints({("127.0.0.1", 9000 + number): number for number in range(1, 7)})
    for proxy in range(proxies):
        aggregator.add_proxy(ReportAccount(proxy, "ab"[proxy % 2], incarnation, PERIOD_MS, PERIOD_MS), f"p{proxy}")
    return aggregator


def load_report(number=1, rows=(), arrived=10, window_ms=PERIOD_MS, end_ms=None, sent_ms=None, **fields):
    """Returns a report; `end_ms` and `sent_ms` are on the proxy's clock, `fields` are set as attributes."""
    end_ms = end_ms if end_ms is not None else sent_ms
    report = LoadReport(number, sent_ms, end_ms, window_ms, number, [ClassArrivals(0, arrived, 0)], list(rows))
    for name, value in fields.items():
        setattr(report, name, value)
    return report


def endpoint_row(endpoint=1, succeeded=5, failed=0, latency_ms=20.0, load=0.5):
    return EndpointRow(endpoint, succeeded, failed, latency_ms * succeeded, load)


def attempts(summary):
    return sum(row.succeeded + row.failed for row in summary.upstream)


def message(name, incarnation="", rows=0, number=1):
    request = lrs_pb2.LoadStatsRequest()
    request.node.id = name
    if incarnation:
        request.node.metadata.fields["life"].string_value = incarnation
    stamps = request.node.metadata.fields["report"].struct_value.fields
    stamps["number"].number_value, stamps["until_ms"].number_value, stamps["sent_ms"].number_value = (
        number,
        0.0,
        0.0,
    )
    if rows or number:
        stats = request.cluster_stats.add(cluster_name="lookup")
        stats.load_report_interval.seconds = 1
        locality = stats.upstream_locality_stats.add()
        metric = locality.load_metric_stats.add(metric_name="arrived")
        metric.num_requests_finished_with_metric = max(1, rows)
        latency = locality.load_metric_stats.add(metric_name="took_le_80", total_metric_value=140.0)
        latency.num_requests_finished_with_metric = 2
        for index in range(rows):
            row = locality.upstream_endpoint_stats.add(total_successful_requests=1)
            row.address.socket_address.address, row.address.socket_address.port_value = (
                "127.0.0.1",
                9001 + index % 6,
            )
    return request.SerializeToString()


def open_session_stream(session, name, incarnation="", key=None, now=0.0):
    key = key or name
    session.open_stream(key)
    session.add_message(key, message(name, incarnation, number=0), now)
    session.read_messages(now)
    return session.drain_pending()
