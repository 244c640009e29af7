"""Traces requests in the socket records: control interval, version, nonce or generation, ack, request.

Each attempt uses a weight of some version and each request the routes of some version; both are in the proxy's record.
The proxy also records the nonce and the system version (epoch/revision/decided) of the response with which it applied
that version.  The controller's record has the times at which it sent that revision with that nonce and received the
ack.  No I/O; times are milliseconds.
"""

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterator
from typing import Any, NamedTuple

import msgspec

from quillstep.invariants.evidence import Attempt, Evidence, Row
from quillstep.tracing.errors import UnknownRequestError

INITIAL_VERSION = "standing"  # version of the weights in an initial table, which no interval assigned
INITIAL_RESOURCE = "the table it started with"
ROUTE_TYPES = ("RouteConfiguration", "files")
WEIGHT_TYPES = ("LbEndpoint", "ClusterLoadAssignment", "files")


class VersionOrigin(msgspec.Struct):
    """The origin of one version that a request used; fields that are not known are empty or None.

    The names in JSON are those that `quillstep trace` prints.

    Attributes:
        subject: `line` (a weight) or `routes`.
        version: The version used.
        resource: Name of the resource.
        epoch: Incarnation of the controller that assigned the version.
        revision: Revision that the response carried; 0 if not known.
        decided_ms: Time at which the planner decided the revision.
        nonce: Nonce of the response that carried the version.
        sent_ms: Time at which the controller sent that response.
        applied_ms: Time at which the proxy applied it.
        acked_ms: Time at which the controller received the ack.
        gap: What is missing from the trace; empty if it is complete.
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
    """A request, and the origins of its routes and of the weight that its last attempt used.

    The names in JSON are those that `quillstep trace` prints.
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
        """Descriptions of what is missing from the trace; empty if it is complete."""
        return [f"{origin.subject}: {origin.gap}" for origin in self.origins if origin.gap]


class Application(NamedTuple):
    """A proxy's application of one resource of a response."""

    at_ms: float
    resource: str
    row: Row


class SystemVersion(NamedTuple):
    """The origin that a response names: `epoch/revision/decided`; trailing parts may be missing."""

    epoch: str
    revision: int
    decided_ms: float | None

    @classmethod
    def parse(cls, text: str) -> "SystemVersion":
        """Parses a response's `system_version_info`."""
        epoch, revision, decided_ms = (text.split("/") + ["", "", ""])[:3]
        return cls(epoch, int(revision or 0), float(decided_ms) if decided_ms else None)


class TraceIndex:
    """Index of the socket records of a run, by proxy and version."""

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
            UnknownRequestError: The request is not in the record.
        """
        try:
            row = self._requests[request]
        except KeyError as error:
            raise UnknownRequestError(f"request {request!r} not found in the record") from error
        attempts = list(Attempt.all_of(row))
        proxy = row["proxy"]
        origins = []
        endpoint = ""
        if attempts:
            last = attempts[-1]
            endpoint = last.address
            origins.append(self._origin("line", proxy, last.version, last.sent_ms, WEIGHT_TYPES))
        if routes := row.get("routes", ""):
            routed_ms = attempts[0].sent_ms if attempts else row["end"]
            origins.append(self._origin("routes", proxy, routes, routed_ms, ROUTE_TYPES))
        return RequestTrace(request, proxy, row["class"], row["at"], row["outcome"], endpoint, len(attempts), origins)

    def trace_all(self) -> Iterator[RequestTrace]:
        """Yields the traces of all requests, in the order of the record."""
        for request in self._requests:
            yield self.trace(request)

    def _origin(self, subject: str, proxy: str, version: str, at_ms: float, types: tuple[str, ...]) -> VersionOrigin:
        """Returns the origin of a version that a proxy used at `at_ms`."""
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
        """Returns a proxy's latest application of a version at or before `at_ms`, in a response of these types."""
        applications = self._applications.get((proxy, version), [])
        newest = bisect_right(applications, at_ms, key=lambda application: application.at_ms)
        for application in reversed(applications[:newest]):
            if application.row["type"] in types:
                return application
        return None

    def _add_delivery(self, origin: VersionOrigin, proxy: str, applied_ms: float) -> None:
        """Sets the times at which the controller sent the response and received its ack, or the gap."""
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
        """Returns the gap; empty if the proxy's stream or its controller may have ended before the ack arrived.

        A later ack on the same stream shows that this ack could have arrived.
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
