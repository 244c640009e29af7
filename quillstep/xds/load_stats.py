"""Decodes load reports (LRS messages) into the types of `quillstep.load_reports`, and encodes LRS responses."""

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple, Protocol

import xxhash
from envoy.config.endpoint.v3 import load_report_pb2
from envoy.service.load_stats.v3 import lrs_pb2

from quillstep.load_reports.upstream_stats import ClassArrivals, ClassLatency, EndpointRow
from quillstep.load_reports.validation import LoadReport
from quillstep.routing import Key

# Names of the load metrics that proxies report in addition to the counts of LRS.
LATENCY_BUCKET_PREFIX = "took_le_"  # one metric per latency bucket; the name ends with the bucket's bound
ARRIVED_METRIC = "arrived"
UNANSWERED_METRIC = "unanswered"
LATENCY_METRIC = "took_ms"
LOAD_METRIC = "util"
MAX_REPORT_NUMBER = 2**53  # report numbers are sent as doubles, which represent integers exactly up to this value


class Hooks(Protocol):
    """The interface of the controller that the fronts use."""

    class_indexes: dict[str, int]  # keyed by class name

    @property
    def endpoint_numbers(self) -> Mapping[tuple[str, int], int]:
        """The numbers of the listed endpoints, by host and port."""

    def add_proxy(
        self,
        node: str,
        zone: str,
        expected_requests_per_s: float,
        held: Mapping[Key, str],
        is_fresh: bool,
        front: Any = None,
        incarnation: str = "",
    ) -> int:
        """Adds a proxy that has joined through a front and returns its number; any other front drops the proxy."""

    def remove_proxy(self, proxy: int) -> None:
        """Removes a proxy that has left."""

    def joined_number(self, node: str) -> int | None:
        """Returns the number of a joined proxy, or None if it has not joined."""

    def add_load_report(self, proxy: int, report: LoadReport) -> None:
        """Adds a load report of a joined proxy."""


def load_request(period_ms: float, is_full: bool) -> bytes:
    """Returns the LRS response that requests reports every `period_ms`, with per-endpoint rows if `is_full`."""
    response = lrs_pb2.LoadStatsResponse(send_all_clusters=True, report_endpoint_granularity=is_full)
    response.load_reporting_interval.FromMilliseconds(round(period_ms))
    return response.SerializeToString()


def incarnation_of(node: Any) -> str:
    """Returns a proxy's incarnation, or an empty string; its load reports must name the same one."""
    return node.metadata.fields["life"].string_value if "life" in node.metadata.fields else ""


def read_report(
    request: lrs_pb2.LoadStatsRequest,
    data: bytes,
    class_indexes: Mapping[str, int],
    endpoints: Mapping[tuple[str, int], int],
) -> LoadReport:
    """Decodes a load report without validating its values.

    A proxy may number its reports and add time stamps of its own clock, in the metadata of its node:
    `report: {number, until_ms, sent_ms}`.

    Args:
        request: The decoded message.
        data: The encoded message; its hash identifies the report.
        class_indexes: Indexes of the request classes, by name.
        endpoints: Numbers of the listed endpoints, by host and port.
    """
    report = LoadReport(-1, None, None, 0.0, xxhash.xxh3_64_intdigest(data) >> 1)
    if request.HasField("node") and "report" in request.node.metadata.fields:
        _read_stamps(report, request.node.metadata.fields["report"].struct_value.fields)
    has_arrivals = False
    for stats in request.cluster_stats:
        interval = stats.load_report_interval
        report.window_ms = max(report.window_ms, interval.seconds * 1000.0 + interval.nanos / 1e6)
        class_index = class_indexes.get(stats.cluster_name)
        counts = _read_localities(report, stats.upstream_locality_stats, class_index, endpoints)
        arrived = counts.arrived
        if not counts.has_arrivals:
            arrived += stats.total_dropped_requests
        has_arrivals = has_arrivals or counts.has_arrivals
        if class_index is not None:
            report.arrivals.append(ClassArrivals(class_index, arrived, counts.unanswered))
    report.has_arrivals = has_arrivals
    return report


def _read_stamps(report: LoadReport, fields: Any) -> None:
    """Reads a report's number and time stamps from the node's metadata."""
    stamps = {name: fields[name].number_value for name in ("number", "until_ms", "sent_ms") if name in fields}
    number = stamps.get("number", -1.0)
    report.number = int(number) if 0 <= number < MAX_REPORT_NUMBER else -1
    report.end_ms, report.sent_ms = stamps.get("until_ms"), stamps.get("sent_ms")


class _Counts(NamedTuple):
    """Request counts of one class."""

    arrived: int
    unanswered: int
    has_arrivals: bool  # whether the proxy counts requests separately from attempts


def _read_localities(
    report: LoadReport,
    localities: Iterable[load_report_pb2.UpstreamLocalityStats],
    class_index: int | None,
    endpoints: Mapping[tuple[str, int], int],
) -> _Counts:
    """Reads the stats of one class: adds latencies and endpoint rows to the report, returns the request counts."""
    arrived = unanswered = 0
    has_arrivals = False
    for locality in localities:
        for metric in locality.load_metric_stats:
            name, count = metric.metric_name, metric.num_requests_finished_with_metric
            if name == ARRIVED_METRIC:
                arrived, has_arrivals = arrived + count, True
            elif name == UNANSWERED_METRIC:
                unanswered += count
            elif name.startswith(LATENCY_BUCKET_PREFIX) and class_index is not None and count:
                report.latencies.append(ClassLatency(class_index, count, metric.total_metric_value))
        for row in locality.upstream_endpoint_stats:
            _read_endpoint(report, row, endpoints)
        if not has_arrivals:
            arrived += locality.total_issued_requests
            unanswered += locality.total_error_requests
    return _Counts(arrived, unanswered, has_arrivals)


def _read_endpoint(
    report: LoadReport, row: load_report_pb2.UpstreamEndpointStats, endpoints: Mapping[tuple[str, int], int]
) -> None:
    """Reads the row of one endpoint; a row without attempts is skipped."""
    succeeded, failed = row.total_successful_requests, row.total_error_requests
    succeeded_ms, load = 0.0, None
    for metric in row.load_metric_stats:
        name = metric.metric_name
        if name == LATENCY_METRIC:
            succeeded_ms += metric.total_metric_value
        elif name == LOAD_METRIC and (count := metric.num_requests_finished_with_metric):
            load = metric.total_metric_value / count
    if succeeded or failed:
        address = row.address.socket_address
        endpoint = endpoints.get((address.address, address.port_value))
        if endpoint is None:
            report.unlisted_rows += 1
        else:
            report.rows.append(EndpointRow(endpoint, succeeded, failed, succeeded_ms, load))
