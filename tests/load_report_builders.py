"""Builders of load reports, and of the parts that read them."""

from envoy.service.load_stats.v3 import lrs_pb2
from memory_fleet import fleet

from quillstep.config.controller import LoadReportSettings
from quillstep.load_reports.aggregator import ReportAggregator
from quillstep.load_reports.upstream_stats import ClassArrivals, EndpointRow
from quillstep.load_reports.validation import LoadReport, ReportAccount

USUAL = 1000.0  # fleet()'s report period


def new_aggregator(proxies=2, incarnation="", **facts):
    made = ReportAggregator(LoadReportSettings(**facts), fleet())
    made.add_endpoints({("127.0.0.1", 9000 + number): number for number in range(1, 7)})
    for proxy in range(proxies):
        made.add_proxy(ReportAccount(proxy, "ab"[proxy % 2], incarnation, USUAL, USUAL), f"p{proxy}")
    return made


def load_report(number=1, rows=(), arrived=10, window_ms=USUAL, end_ms=None, sent_ms=None, **more):
    """A report as a stand-in stamps it; `end_ms` and `sent_ms` on its own clock."""
    end_ms = end_ms if end_ms is not None else sent_ms
    made = LoadReport(number, sent_ms, end_ms, window_ms, number, [ClassArrivals(0, arrived, 0)], list(rows))
    for name, value in more.items():
        setattr(made, name, value)
    return made


def endpoint_row(endpoint=1, succeeded=5, failed=0, ms=20.0, load=0.5):
    return EndpointRow(endpoint, succeeded, failed, ms * succeeded, load)


def attempts(summary):
    return sum(row.succeeded + row.failed for row in summary.upstream)


def message(name, life="", rows=0, number=1):
    request = lrs_pb2.LoadStatsRequest()
    request.node.id = name
    if life:
        request.node.metadata.fields["life"].string_value = life
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
        took = locality.load_metric_stats.add(metric_name="took_le_80", total_metric_value=140.0)
        took.num_requests_finished_with_metric = 2
        for at in range(rows):
            row = locality.upstream_endpoint_stats.add(total_successful_requests=1)
            row.address.socket_address.address, row.address.socket_address.port_value = (
                "127.0.0.1",
                9001 + at % 6,
            )
    return request.SerializeToString()


def open_session_stream(session, name, life="", key=None, now=0.0):
    key = key or name
    session.open_stream(key)
    session.add_message(key, message(name, life, number=0), now)
    session.read_messages(now)
    return session.drain_pending()
