"""The summary of one window of load reports, which a reader sends to the collector.

Summaries are written to recordings and sent by reader processes as MessagePack: `rename` gives the field names there,
and rows are encoded as arrays.
"""

import msgspec


class UpstreamRow(msgspec.Struct, array_like=True, gc=False):
    """Attempts at one endpoint, as observed by the proxies of one zone."""

    zone: str
    endpoint: int
    succeeded: float
    failed: float
    succeeded_ms: float  # summed latency of the successful attempts
    load_weight: float
    weighted_load: float
    window_ms: float
    end_ms: float


class DownstreamRow(msgspec.Struct, array_like=True, gc=False):
    """The requests of one class that arrived at one proxy."""

    class_index: int
    proxy: int
    arrived: float
    unanswered: float
    window_ms: float
    end_ms: float


class LatencyRow(msgspec.Struct, array_like=True, gc=False):
    """The latency of the requests of one class in one zone."""

    zone: str
    class_index: int
    mean_ms: float
    count: int


class ProxyRow(msgspec.Struct, array_like=True, gc=False):
    """Times, cost and totals of one report of one proxy."""

    proxy: int
    arrived_ms: float
    end_ms: float
    window_ms: float
    rows_cost: float  # cost of reading its endpoint rows, in rows; below 0 if none were requested
    arrived: int
    failed_share: float  # share of its attempts that failed, 0 to 1


class ReportSummary(
    msgspec.Struct,
    rename={
        "upstream": "sums", "downstream": "arrivals", "latencies": "took", "proxies": "heard",
        "superseded": "overtaken", "rejected": "void", "cost": "work", "buffered_bytes": "held_bytes",
    },
):  # fmt: skip
    """The summary of one reader's window of reports."""

    upstream: list[UpstreamRow] = []
    downstream: list[DownstreamRow] = []
    latencies: list[LatencyRow] = []
    proxies: list[ProxyRow] = []
    superseded: int = 0  # rows omitted because fresher ones of their endpoint were known
    rejected: dict[str, int] = {}  # reports that did not count, by reason
    cost: float = 0.0  # cost of the messages read, in rows
    cpu_s: dict[str, float] | msgspec.UnsetType = msgspec.UNSET  # CPU time of the reader since its start, by part
    buffered_bytes: int | msgspec.UnsetType = msgspec.UNSET

    def pop_cpu_s(self) -> dict[str, float]:
        """Removes and returns the reader's CPU time by part, which is not recorded."""
        cpu_s, self.cpu_s = self.cpu_s, msgspec.UNSET
        return {} if isinstance(cpu_s, msgspec.UnsetType) else cpu_s
