"""What a stand-in proxy's parts know of each other: the tables that it holds, and the proxy as its parts see it.

Subscribers and the load reporter are given a `ProxyInterface`, and never import the proxy itself.
"""

import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from quillstep.testbed.process import EventLog

Address = tuple[str, int]
Line = tuple[Address, float, str]  # address, weight, version


@dataclass(slots=True)
class Route:
    """Where requests of one class go, and how they are admitted and retried."""

    table: str
    tries: int = 0  # the retry policy by its number
    per_try_ms: float = 0.0
    rate: float | None = None  # requests a second that are admitted; None: all
    burst: float = 1.0
    closed: bool = False  # nothing is admitted


@dataclass(slots=True)
class HeldTables:
    """What a proxy has been sent; it stays when its stream breaks."""

    tables: dict[str, dict[str, Line]] = field(default_factory=dict)  # lines by table and name
    out: set[Address] = field(default_factory=set)  # ejected endpoints
    outs: dict[str, Address] = field(default_factory=dict)  # the same by resource name
    drops: dict[str, dict[str, float]] = field(default_factory=dict)  # shares to be shed, by table and class
    routes: dict[str, Route] = field(default_factory=dict)  # by class
    routes_version: str = ""
    versions: dict[str, dict[str, str]] = field(default_factory=dict)  # by type and resource name


class HostInterface(Protocol):
    """The process that a proxy lives in."""

    proxies: dict[str, Any]  # settings of all proxies
    classes: dict[str, dict[str, Any]]
    record: EventLog


class ReportStream(Protocol):
    """Where load reports go."""

    def unsent(self) -> int:
        """Return how many bytes wait to be taken."""

    def send(self, data: bytes) -> None:
        """Send one report."""


class SubscriberInterface(Protocol):
    """How a proxy follows its controllers, as the load reporter sees it."""

    stalled_ms: float

    @property
    def load_stream(self) -> ReportStream | None:
        """The subscription's own stream for load reports, if there is one."""

    def report_address(self) -> str | None:
        """Return where load reports go, if not by the subscription's connection."""


class ReporterInterface(Protocol):
    """The load reporter, as subscribers see it."""

    def asked(self, data: bytes) -> None:
        """Take a controller's response on the stream of load reports."""

    def address_of(self, addresses: list[str]) -> str:
        """Return the reader process that this proxy reports to."""


class ProxyInterface(Protocol):
    """A proxy, as its subscriber and its load reporter see it."""

    name: str
    zone: str
    usual: float
    row: dict[str, Any]
    lock: threading.RLock
    draw: Callable[[], float]
    held: HeldTables

    @property
    def host(self) -> HostInterface:
        """The process that it lives in."""

    @property
    def subscriber(self) -> SubscriberInterface | None:
        """How it follows its controllers."""

    @property
    def reporter(self) -> ReporterInterface:
        """Its load reporter."""

    def describe(self, node: Any) -> None:
        """Write into a first request who this is."""

    def applied(self) -> None:
        """Record what an update that was applied has changed."""

    def hand_over(self) -> tuple[dict[Address, list[Any]], dict[str, Any], float]:
        """Return the counts by endpoint and by class since the last report, and the window in milliseconds."""
