"""Messages between the controller and its report readers.

To and from reader processes they travel as MessagePack: the tags are those of that format, and structs with
`array_like` are arrays there.
"""

from typing import Any

import msgspec

from quillstep.load_reports.summary import ReportSummary
from quillstep.load_reports.validation import ReportAccount


class ReportRequest(msgspec.Struct, array_like=True):
    """What one proxy has to report from now on, and which of its endpoint rows count."""

    proxy: int
    period_ms: float
    is_full: bool  # with a row for each endpoint
    sampling_factor: float  # proxies that its rows stand for
    counts_from_ms: float
    counts_to_ms: float


# Changes that the controller passes on to its readers.


class AddEndpoints(msgspec.Struct, array_like=True, tag="listed"):
    """Endpoints are in the list from now on."""

    rows: list[tuple[str, int, int]]  # host, port, endpoint

    def by_address(self) -> dict[tuple[str, int], int]:
        """The endpoints' numbers by host and port."""
        return {(host, port): endpoint for host, port, endpoint in self.rows}


class ProxyJoined(msgspec.Struct):
    """A proxy's reports count from now on."""

    name: str
    proxy: int
    zone: str
    incarnation: str


class ProxyLeft(msgspec.Struct):
    """A proxy's reports are rejected until it joins again."""

    name: str


MembershipChange = AddEndpoints | ProxyJoined | ProxyLeft


# Messages to a reader process.


class Configuration(msgspec.Struct, array_like=True):
    """The first message: where to listen, and settings as plain values."""

    listen: str
    reports: dict[str, Any]
    fleet: dict[str, Any]
    limits: dict[str, Any]


class AddProxy(msgspec.Struct, array_like=True, tag="joined"):
    """A proxy's reports count here from now on, with the account that another reader kept."""

    name: str
    proxy: int
    zone: str
    incarnation: str
    account: ReportAccount | None


class ReleaseProxy(msgspec.Struct, array_like=True, tag="release"):
    """A proxy's reports no longer count here; its account is to be sent back."""

    name: str


class RequestReports(msgspec.Struct, array_like=True, tag="ask"):
    """What a proxy has to report."""

    request: ReportRequest


MessageToReader = AddEndpoints | AddProxy | ReleaseProxy | RequestReports


# Messages from a reader process.


class ReaderReady(msgspec.Struct, array_like=True, tag="ready"):
    """The process listens."""

    address: str


class ReportStreamOpened(msgspec.Struct, array_like=True, tag="hello"):
    """A proxy has opened a stream here."""

    name: str
    incarnation: str


class ProxyReleased(msgspec.Struct, array_like=True, tag="released"):
    """A proxy's reports no longer count here; its account, if there was one."""

    name: str
    account: ReportAccount | None


class WindowDrained(msgspec.Struct, array_like=True, tag="window"):
    """The summary of one window."""

    summary: ReportSummary


MessageFromReader = ReaderReady | ReportStreamOpened | ProxyReleased | WindowDrained
