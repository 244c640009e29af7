"""Load reports in our words, whichever front brings them; and what a front tells its pilot."""

from typing import Any, Protocol

from envoy.config.endpoint.v3 import load_report_pb2


class Hooks(Protocol):
    """What the pilot is told."""

    def join(self, node: str, zone: str, usual: float, held: dict, fresh: bool, front: Any) -> int:
        """A proxy is there, by this front; returns its number.  Another front that had it is told to drop it."""

    def leave(self, proxy: int) -> None:
        """A proxy's stream is gone."""

    def proxy_of(self, node: str) -> int | None:
        """The number of a proxy whose stream stands."""

    def report(self, proxy: int, cluster: str, covers_ms: float, arrived: int, unanswered: int) -> None:
        """What came to a proxy of one class."""

    def tried(
        self,
        proxy: int,
        host: str,
        port: int,
        tries: int,
        failed: int,
        good_ms: float,
        load: dict[str, float],
    ) -> None:
        """What a proxy met at one endpoint; `good_ms` is the summed time of the good ones."""


def take_report(hooks: Hooks, proxy: int, stats: load_report_pb2.ClusterStats) -> None:
    """One class's sums.  `arrived` and `unanswered` are told as metrics; else they follow from the tries."""
    covers_ms = stats.load_report_interval.ToNanoseconds() / 1e6
    arrived = unanswered = told = 0
    for locality in stats.upstream_locality_stats:
        for metric in locality.load_metric_stats:
            if metric.metric_name == "arrived":
                arrived, told = arrived + metric.num_requests_finished_with_metric, 1
            elif metric.metric_name == "unanswered":
                unanswered += metric.num_requests_finished_with_metric
        for row in locality.upstream_endpoint_stats:
            take_endpoint(hooks, proxy, row)
        if not told:
            arrived += locality.total_issued_requests
            unanswered += locality.total_error_requests
    if not told:
        arrived += stats.total_dropped_requests
    hooks.report(proxy, stats.cluster_name, covers_ms, arrived, unanswered)


def take_endpoint(hooks: Hooks, proxy: int, row: load_report_pb2.UpstreamEndpointStats) -> None:
    good, failed = row.total_successful_requests, row.total_error_requests
    load: dict[str, float] = {}
    good_ms = 0.0
    for metric in row.load_metric_stats:
        count = metric.num_requests_finished_with_metric
        if metric.metric_name == "took_ms":
            good_ms += metric.total_metric_value
        elif count:
            load[metric.metric_name] = metric.total_metric_value / count
    address = row.address.socket_address
    if good or failed:
        hooks.tried(proxy, address.address, address.port_value, good + failed, failed, good_ms, load)
