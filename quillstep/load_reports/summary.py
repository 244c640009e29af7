"""What a reader's window of load reports comes to, as the collector gets it.

Summaries are stored in recordings and sent by reader processes: as MessagePack, with the names in `rename`, and rows as
arrays.
"""

import msgspec


class UpstreamRow(msgspec.Struct, array_like=True, gc=False):
    """One endpoint as the proxies of one zone met it."""

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
    """One report: when it arrived, what it covers, what it cost."""

    proxy: int
    arrived_ms: float
    end_ms: float
    window_ms: float
    rows_cost: float  # of its endpoint rows, in rows; below 0: it was not to have any
    arrived: int
    failed_share: float  # of its attempts


class ReportSummary(
    msgspec.Struct,
    rename={
        "upstream": "sums", "downstream": "arrivals", "latencies": "took", "proxies": "heard",
        "superseded": "overtaken", "rejected": "void", "cost": "work", "buffered_bytes": "held_bytes",
    },
):  # fmt: skip
    """What a reader's window of reports comes to."""

    upstream: list[UpstreamRow] = []
    downstream: list[DownstreamRow] = []
    latencies: list[LatencyRow] = []
    proxies: list[ProxyRow] = []
    superseded: int = 0  # rows left out because fresher ones of their endpoint were known
    rejected: dict[str, int] = {}  # reports that did not count, by reason
    cost: float = 0.0  # in rows
    cpu_s: dict[str, float] | msgspec.UnsetType = msgspec.UNSET  # of the reader, by part
    buffered_bytes: int | msgspec.UnsetType = msgspec.UNSET

    def take_cpu_s(self) -> dict[str, float]:
        """The reader's processor time by part, which is not kept in recordings."""
        cpu_s, self.cpu_s = self.cpu_s, msgspec.UNSET
        return {} if isinstance(cpu_s, msgspec.UnsetType) else cpu_s
