"""The routing state of a stand-in proxy, and the proxy as its subscriber and its load reporter see it.

Subscribers and the load reporter depend on `ProxyInterface` and never import the proxy itself.
"""

import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from quillstep.testbed.process import EventLog

Address = tuple[str, int]
TableEntry = tuple[Address, float, str]  # address, weight, version


@dataclass(slots=True)
class Route:
    """Where requests of one class go, and how they are admitted and retried."""

    table: str
    retry_policy: int = 0  # number of the policy
    attempt_timeout_ms: float = 0.0  # 0: only the request's deadline applies
    rate: float | None = None  # admitted requests per second; None: no limit
    burst: float = 1.0
    closed: bool = False  # no request is admitted


@dataclass(slots=True)
class RoutingState:
    """What controllers have sent to a proxy; it is retained when the stream breaks."""

    tables: dict[str, dict[str, TableEntry]] = field(default_factory=dict)  # entries by table and resource name
    ejected: set[Address] = field(default_factory=set)
    ejected_by_name: dict[str, Address] = field(default_factory=dict)  # the same endpoints, by resource name
    drop_shares: dict[str, dict[str, float]] = field(default_factory=dict)  # shares to shed, by table and class
    routes: dict[str, Route] = field(default_factory=dict)  # keyed by class
    routes_version: str = ""
    versions: dict[str, dict[str, str]] = field(default_factory=dict)  # keyed by type and resource name


class HostInterface(Protocol):
    """The process that hosts a proxy."""

    proxy_settings: dict[str, Any]  # shared by all proxies
    classes: dict[str, dict[str, Any]]
    record: EventLog


class ReportStream(Protocol):
    """Where load reports are sent."""

    def unsent(self) -> int:
        """Return how many bytes wait to be sent."""

    def send(self, data: bytes) -> None:
        """Send one report."""


class SubscriberInterface(Protocol):
    """A proxy's subscription to its controllers, as the load reporter sees it."""

    stalled_until_ms: float

    @property
    def report_stream(self) -> ReportStream | None:
        """The subscription's own stream for load reports, if there is one."""

    def report_address(self) -> str | None:
        """Return the address for load reports; None: they use the subscription's own stream."""


class ReporterInterface(Protocol):
    """The load reporter, as subscribers see it."""

    def handle_response(self, data: bytes) -> None:
        """Apply a controller's response on the stream of load reports."""

    def select_reader(self, addresses: list[str]) -> str:
        """Return the address of the reader process that this proxy reports to."""


class ProxyInterface(Protocol):
    """A proxy, as its subscriber and its load reporter see it."""

    name: str
    zone: str
    requests_per_s: float
    setup: dict[str, Any]
    lock: threading.RLock
    draw: Callable[[], float]
    routing: RoutingState

    @property
    def host(self) -> HostInterface:
        """The process that hosts the proxy."""

    @property
    def subscriber(self) -> SubscriberInterface | None:
        """The subscription to controllers; None for a proxy without controllers."""

    @property
    def reporter(self) -> ReporterInterface:
        """The proxy's load reporter."""

    def describe(self, node: Any) -> None:
        """Fill in the node of a stream's first request."""

    def on_update_applied(self) -> None:
        """Record which classes have become unroutable or routable by an update."""

    def drain_stats(self) -> tuple[dict[Address, list[Any]], dict[str, Any], float]:
        """Return the stats by endpoint and by class since the last report, and the window in milliseconds."""
