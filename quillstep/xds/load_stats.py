"""Load reports in our words, whichever front brings them; and what a front tells its pilot."""

from collections.abc import Mapping
from typing import Any, Protocol

import xxhash
from envoy.config.endpoint.v3 import load_report_pb2
from envoy.service.load_stats.v3 import lrs_pb2

from quillstep.load_reports.validation import Told

TOOK = "took_le_"  # buckets of times by class: a metric each, the bound in its name


class Hooks(Protocol):
    """What the pilot is told."""

    def join(self, node: str, zone: str, usual: float, held: dict, fresh: bool, front: Any, life: str = "") -> int:
        """A proxy is there, by this front; returns its number.  Another front that had it is told to drop it."""

    def leave(self, proxy: int) -> None:
        """A proxy's stream is gone."""

    def proxy_of(self, node: str) -> int | None:
        """The number of a proxy whose stream stands."""

    def told(self, proxy: int, told: Told) -> None:
        """A load report of a proxy."""

    places: dict[str, int]  # classes by name
    endpoints: dict[tuple[str, int], int]  # by address


def load_request(period_ms: float, full: bool) -> bytes:
    """What a proxy is asked for: how often, and whether by endpoint."""
    answer = lrs_pb2.LoadStatsResponse(send_all_clusters=True, report_endpoint_granularity=full)
    answer.load_reporting_interval.FromMilliseconds(round(period_ms))
    return answer.SerializeToString()


def life_of(node: Any) -> str:
    """What a proxy calls this life of its, or nothing: its load reports must come under the same word."""
    return node.metadata.fields["life"].string_value if "life" in node.metadata.fields else ""


def read_report(
    request: lrs_pb2.LoadStatsRequest,
    data: bytes,
    places: Mapping[str, int],
    endpoints: Mapping[tuple[str, int], int],
) -> Told:
    """A load report as plain values, nothing of it checked.  A proxy may number its reports and stamp them: metadata
    `report: {number, until_ms, sent_ms}`, on its own clock."""
    told = Told(-1, None, None, 0.0, xxhash.xxh3_64_intdigest(data) >> 1)
    if request.HasField("node") and "report" in request.node.metadata.fields:
        stamps = request.node.metadata.fields["report"].struct_value.fields
        figures = {name: stamps[name].number_value for name in ("number", "until_ms", "sent_ms") if name in stamps}
        number = figures.get("number", -1.0)
        told.number = int(number) if 0 <= number < 2**53 else -1
        told.until_ms, told.sent_ms = figures.get("until_ms"), figures.get("sent_ms")
    numbered = False
    for stats in request.cluster_stats:
        interval = stats.load_report_interval
        told.covers_ms = max(told.covers_ms, interval.seconds * 1000.0 + interval.nanos / 1e6)
        place = places.get(stats.cluster_name)
        arrived = unanswered = 0
        here = False
        for locality in stats.upstream_locality_stats:
            for metric in locality.load_metric_stats:
                name, count = metric.metric_name, metric.num_requests_finished_with_metric
                if name == "arrived":
                    arrived, here = arrived + count, True
                elif name == "unanswered":
                    unanswered += count
                elif name.startswith(TOOK) and place is not None and count:
                    told.took.append((place, count, metric.total_metric_value))
            for row in locality.upstream_endpoint_stats:
                read_endpoint(told, row, endpoints)
            if not here:
                arrived += locality.total_issued_requests
                unanswered += locality.total_error_requests
        if not here:
            arrived += stats.total_dropped_requests
        numbered = numbered or here
        if place is not None:
            told.arrivals.append((place, arrived, unanswered))
    told.numbered = numbered
    return told


def read_endpoint(
    told: Told, row: load_report_pb2.UpstreamEndpointStats, endpoints: Mapping[tuple[str, int], int]
) -> None:
    good, failed = row.total_successful_requests, row.total_error_requests
    good_ms, load = 0.0, None
    for metric in row.load_metric_stats:
        name = metric.metric_name
        if name == "took_ms":
            good_ms += metric.total_metric_value
        elif name == "util" and (count := metric.num_requests_finished_with_metric):
            load = metric.total_metric_value / count
    if good or failed:
        address = row.address.socket_address
        endpoint = endpoints.get((address.address, address.port_value))
        if endpoint is None:
            told.unlisted += 1
        else:
            told.rows.append((endpoint, good, failed, good_ms, load))
