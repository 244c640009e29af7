"""Traces requests in the sockets' record: control interval, version, nonce or generation, ack, request.

Each attempt used a weight of some version and each request the routes of some version, as its proxy recorded.  The
version was applied with a response whose nonce and system version (epoch/revision/decided) the proxy recorded too; the
controller's own record says when that revision was sent under that nonce and when the ack came.  No I/O; times are
milliseconds.
"""

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterator
from typing import Any, NamedTuple

import msgspec

from quillstep.invariants.evidence import Attempt, Evidence, Row
from quillstep.tracing.errors import UnknownRequestError

INITIAL_VERSION = "standing"  # of the weights that a proxy starts with, which no interval assigned
INITIAL_RESOURCE = "the table it started with"
ROUTE_TYPES = ("RouteConfiguration", "files")
WEIGHT_TYPES = ("LbEndpoint", "ClusterLoadAssignment", "files")


class VersionOrigin(msgspec.Struct):
    """One version that a request used, and where it came from; what is not known is empty or None.

    The names in JSON are those of `quillstep trace`.

    Attributes:
        subject: `line` (a weight) or `routes`.
        version: The version used.
        resource: Name of the resource.
        epoch: The controller's incarnation that assigned it.
        revision: The revision that first sent it with this response; 0: not known.
        decided_ms: When the planner decided it.
        nonce: Of the response that brought it.
        sent_ms: When the controller sent that response.
        applied_ms: When the proxy applied it.
        acked_ms: When the controller received the ack.
        gap: What is missing of the trace; empty if it is complete.
    """

    subject: str = msgspec.field(name="what")
    version: str
    resource: str = ""
    epoch: str = msgspec.field(name="pilot", default="")
    revision: int = msgspec.field(name="round", default=0)
    decided_ms: float | None = msgspec.field(name="ordered_ms", default=None)
    nonce: str = ""
    sent_ms: float | None = None
    applied_ms: float | None = None
    acked_ms: float | None = msgspec.field(name="acknowledged_ms", default=None)
    gap: str = ""


class RequestTrace(msgspec.Struct):
    """A request and the origins of what served it, or of its last attempt where it got no response.

    The names in JSON are those of `quillstep trace`.
    """

    request: str = msgspec.field(name="exchange")
    proxy: str
    class_name: str = msgspec.field(name="kind")
    at_ms: float
    outcome: str
    endpoint: str
    attempts: int = msgspec.field(name="tries")
    origins: list[VersionOrigin] = msgspec.field(name="links")

    @property
    def gaps(self) -> list[str]:
        """What is missing of the trace, in words; empty if it is complete."""
        return [f"{origin.subject}: {origin.gap}" for origin in self.origins if origin.gap]


class Application(NamedTuple):
    """A proxy's application of one resource of a response."""

    at_ms: float
    resource: str
    row: Row


class SystemVersion(NamedTuple):
    """What a response says of its origin: `epoch/revision/decided`, of which the end may be missing."""

    epoch: str
    revision: int
    decided_ms: float | None

    @classmethod
    def parse(cls, text: str) -> "SystemVersion":
        """Reads a response's `system_version_info`."""
        epoch, revision, decided_ms = (text.split("/") + ["", "", ""])[:3]
        return cls(epoch, int(revision or 0), float(decided_ms) if decided_ms else None)


class TraceIndex:
    """All that a run's record says of versions, by proxy and version."""

    def __init__(self, evidence: Evidence) -> None:
        self._end_ms = evidence.end_ms
        self._requests: dict[str, Row] = {row["exchange"]: row for row in evidence.requests}
        self._applications: dict[tuple[str, str], list[Application]] = defaultdict(list)
        for row in evidence.applied_updates:
            for resource, version in row["changed"]:
                self._applications[row["proxy"], version].append(Application(row["at"], resource, row))
        self._sent: dict[tuple[str, str], Row] = {}
        self._acks_ms: dict[tuple[str, str], float] = {}
        for row in evidence.channel_rows:
            proxy_and_nonce = (row["proxy"], row.get("nonce", ""))
            if row["what"] == "send":
                self._sent.setdefault(proxy_and_nonce, row)
            elif row["what"] == "ack":
                self._acks_ms.setdefault(proxy_and_nonce, row["at"])
        self._stream_ends_ms: dict[str, list[float]] = defaultdict(list)
        for row in evidence.stream_changes:
            if not row["up"]:
                self._stream_ends_ms[row["proxy"]].append(row["at"])

    def trace(self, request: str) -> RequestTrace:
        """Traces one request.

        Raises:
            UnknownRequestError: The record holds no such request.
        """
        try:
            row = self._requests[request]
        except KeyError as error:
            raise UnknownRequestError(f"no request {request!r} in the record") from error
        attempts = list(Attempt.all_of(row))
        proxy = row["proxy"]
        origins = []
        endpoint = ""
        if attempts:
            last = attempts[-1]
            endpoint = last.address
            origins.append(self._origin("line", proxy, last.version, last.sent_ms, WEIGHT_TYPES))
        if routes := row.get("routes", ""):
            chosen_ms = attempts[0].sent_ms if attempts else row["end"]
            origins.append(self._origin("routes", proxy, routes, chosen_ms, ROUTE_TYPES))
        return RequestTrace(request, proxy, row["class"], row["at"], row["outcome"], endpoint, len(attempts), origins)

    def trace_all(self) -> Iterator[RequestTrace]:
        """Traces every request of the record, in its order."""
        for request in self._requests:
            yield self.trace(request)

    def _origin(self, subject: str, proxy: str, version: str, at_ms: float, types: tuple[str, ...]) -> VersionOrigin:
        """Where a version came from that a proxy used at a time."""
        if version == INITIAL_VERSION:
            return VersionOrigin(subject, version, INITIAL_RESOURCE)
        application = self._last_application(proxy, version, at_ms, types)
        if application is None:
            return VersionOrigin(subject, version, gap="no response that it applied held this version")
        system = SystemVersion.parse(application.row["system"])
        origin = VersionOrigin(
            subject,
            version,
            application.resource,
            system.epoch,
            system.revision,
            system.decided_ms,
            application.row["nonce"],
            applied_ms=application.at_ms,
        )
        self._add_delivery(origin, proxy, application.at_ms)
        return origin

    def _last_application(self, proxy: str, version: str, at_ms: float, types: tuple[str, ...]) -> Application | None:
        """The newest application of a version by a proxy, at a time or before it, in a response of these types."""
        applications = self._applications.get((proxy, version), [])
        newest = bisect_right(applications, at_ms, key=lambda application: application.at_ms)
        for application in reversed(applications[:newest]):
            if application.row["type"] in types:
                return application
        return None

    def _add_delivery(self, origin: VersionOrigin, proxy: str, applied_ms: float) -> None:
        """Adds when the controller sent the response and received its ack, or what is missing of these."""
        sent: dict[str, Any] | None = self._sent.get((proxy, origin.nonce))
        if sent is None:
            origin.gap = self._gap_unless_ended(proxy, origin.epoch, applied_ms, "no record of its sending")
            return
        origin.sent_ms = sent["at"]
        if sent["order"] != origin.revision:
            origin.gap = f"sent as order {sent['order']}"
            return
        origin.acked_ms = self._acks_ms.get((proxy, origin.nonce))
        if origin.acked_ms is None:
            origin.gap = self._gap_unless_ended(proxy, origin.epoch, applied_ms, "no acknowledgement")

    def _gap_unless_ended(self, proxy: str, epoch: str, applied_ms: float, gap: str) -> str:
        """The gap, or none if the proxy's stream or controller ended before the ack could arrive.

        A later ack on the same stream shows that it could.
        """
        ends_ms = self._stream_ends_ms.get(proxy, [])
        following = bisect_right(ends_ms, applied_ms)
        end_ms = ends_ms[following] if following < len(ends_ms) else self._end_ms
        has_later_ack = any(
            applied_ms < at_ms <= end_ms
            for (acking_proxy, nonce), at_ms in self._acks_ms.items()
            if acking_proxy == proxy and nonce.startswith(f"{epoch}.")
        )
        return gap if has_later_ack else ""
