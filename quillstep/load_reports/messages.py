"""Messages between the controller and its load report readers.

Messages to and from reader processes are encoded as MessagePack: `tag` is the tag on the wire, and `array_like` structs
are encoded as arrays.
"""

from typing import Any

import msgspec

from quillstep.load_reports.summary import ReportSummary
from quillstep.load_reports.validation import ReportAccount


class ReportRequest(msgspec.Struct, array_like=True):
    """How one proxy is to report from now on, and which of its endpoint rows count.

    Attributes:
        proxy: The proxy's number.
        period_ms: Interval between reports.
        is_full: Whether reports contain a row for each endpoint.
        sampling_factor: Number of proxies that the rows represent.
        counts_from_ms: Start of the interval in which the rows count.
        counts_to_ms: End of the interval in which the rows count.
    """

    proxy: int
    period_ms: float
    is_full: bool
    sampling_factor: float
    counts_from_ms: float
    counts_to_ms: float


# Membership changes that the controller sends to its readers.


class AddEndpoints(msgspec.Struct, array_like=True, tag="listed"):
    """Endpoints were added to the endpoint list."""

    rows: list[tuple[str, int, int]]  # host, port, endpoint

    def by_address(self) -> dict[tuple[str, int], int]:
        """Returns the endpoints' numbers by host and port."""
        return {(host, port): endpoint for host, port, endpoint in self.rows}


class ProxyJoined(msgspec.Struct):
    """A proxy has joined; its reports count from now on."""

    name: str
    proxy: int
    zone: str
    incarnation: str


class ProxyLeft(msgspec.Struct):
    """A proxy has left; its reports are rejected until it joins again."""

    name: str


MembershipChange = AddEndpoints | ProxyJoined | ProxyLeft


# Messages to a reader process.


class Configuration(msgspec.Struct, array_like=True):
    """The first message to a reader process: the address to listen on, and settings as plain values."""

    listen: str
    reports: dict[str, Any]
    fleet: dict[str, Any]
    limits: dict[str, Any]


class AddProxy(msgspec.Struct, array_like=True, tag="joined"):
    """Count a proxy's reports from now on, continuing the account of the previous reader if there is one."""

    name: str
    proxy: int
    zone: str
    incarnation: str
    account: ReportAccount | None


class ReleaseProxy(msgspec.Struct, array_like=True, tag="release"):
    """Stop counting a proxy's reports and send its account back."""

    name: str


class RequestReports(msgspec.Struct, array_like=True, tag="ask"):
    """Change how a proxy is to report."""

    request: ReportRequest


MessageToReader = AddEndpoints | AddProxy | ReleaseProxy | RequestReports


# Messages from a reader process.


class ReaderReady(msgspec.Struct, array_like=True, tag="ready"):
    """The process accepts connections at this address."""

    address: str


class ReportStreamOpened(msgspec.Struct, array_like=True, tag="hello"):
    """A proxy has opened a report stream at this reader."""

    name: str
    incarnation: str


class ProxyReleased(msgspec.Struct, array_like=True, tag="released"):
    """The reader no longer counts a proxy's reports; `account` is the proxy's account, if there was one."""

    name: str
    account: ReportAccount | None


class WindowDrained(msgspec.Struct, array_like=True, tag="window"):
    """The summary of one window."""

    summary: ReportSummary


MessageFromReader = ReaderReady | ReportStreamOpened | ProxyReleased | WindowDrained
