"""The record of a scenario: JSON lines from endpoints, proxies, discovery and the controllers' sockets.

All times are milliseconds on the machine's monotonic clock, which all processes share.  Rows keep the keys under which
they were written; this module files them under the terms of the field.
"""

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NamedTuple, TypeAlias

from quillstep.config.fleet import FleetSettings
from quillstep.net.json_decoder import MalformedJsonError, decode_json

Row: TypeAlias = dict[str, Any]  # one decoded line of the record

IN_SERVICE = "in_service"
BLOCKING_COMMANDS = ("stall", "reads_nothing", "refuse")
# Field of `Evidence` by the row's `what`.  Requests and controllers' rows are filed by their writer instead.
FIELD_OF_ROW = {
    "told": "discovery_updates",
    "stream": "stream_changes",
    "bare": "unroutable",
    "applied": "applied_updates",
    "refused": "rejected_updates",
    "lost": "lost_responses",
    "command": "commands",
    "start": "endpoint_starts",
}


class Interval(NamedTuple):
    """A span of time."""

    begin_ms: float
    end_ms: float


class StreamSpan(NamedTuple):
    """A time during which a proxy's stream to a controller was open."""

    begin_ms: float
    end_ms: float
    controller: str

    def contains(self, at_ms: float) -> bool:
        """Returns whether the stream was open at a time."""
        return self.begin_ms <= at_ms < self.end_ms


class Attempt(NamedTuple):
    """One attempt of a proxy at an endpoint, with the fields in the order of the record."""

    address: str
    sent_ms: float
    ended_ms: float
    result: str
    version: str

    @classmethod
    def all_of(cls, request: Row) -> Iterator["Attempt"]:
        """Yields the attempts of a request's row in the order in which they were sent."""
        for attempt in request["tries"]:
            yield cls(*attempt)


class EndpointStatus(NamedTuple):
    """What a controller knew of an endpoint at a time."""

    state: str
    started_ms: float  # the endpoint's last start; 0: before the scenario
    since_ms: float  # start of the current period in service or not in service

    @property
    def in_service(self) -> bool:
        """Whether the endpoint is listed in service."""
        return self.state == IN_SERVICE


class EndpointHistory:
    """The states of one endpoint as one controller was notified of them."""

    def __init__(self) -> None:
        self._times_ms: list[float] = []
        self._states: list[str] = []
        self._starts_ms: list[float] = []

    def add(self, at_ms: float, state: str, started_ms: float) -> None:
        """Appends a notification; they must be added in order of time."""
        self._times_ms.append(at_ms)
        self._states.append(state)
        self._starts_ms.append(started_ms)

    def status_at(self, at_ms: float) -> EndpointStatus | None:
        """Returns what the controller knew at a time; None before the first notification."""
        last = bisect_right(self._times_ms, at_ms) - 1
        if last < 0:
            return None
        state = self._states[last]
        first = last
        while first and (self._states[first - 1] == IN_SERVICE) == (state == IN_SERVICE):
            first -= 1
        return EndpointStatus(state, self._starts_ms[last], self._times_ms[first])

    def first_start_notice_ms(self, started_ms: float) -> float | None:
        """Returns when the controller was first notified of a start at `started_ms` or later; None if it never was."""
        for at_ms, start_ms in zip(self._times_ms, self._starts_ms, strict=True):
            if start_ms >= started_ms:
                return at_ms
        return None


@dataclass(slots=True)
class Evidence:
    """The record's rows as they were written, by kind, and what the checks need to know of the fleet.

    Attributes:
        fleet: Settings of the classes, the rules and the channel.
        endpoints_by_address: Endpoint numbers by `host:port`.
        endpoint_zones: Zones by endpoint.
        endpoint_capacities: Number of cores times their speed, by endpoint.
        proxy_zones: Zones by proxy.
        controllers: Names of controllers by the address or the folder by which proxies follow them.
        requests: Requests as proxies saw them, with their attempts.
        served_requests: Requests as endpoints saw them.
        endpoint_starts: Starts of endpoints.
        discovery_updates: Endpoint states that discovery sent to controllers.
        stream_changes: Openings and closings of proxies' streams.
        unroutable: Times at which a proxy lost its last endpoint for a class, or got one again.
        applied_updates: Updates that proxies applied.
        rejected_updates: Updates that proxies rejected.
        lost_responses: Responses that proxies discarded unread.
        commands: Faults as they were injected.
        channel_rows: Responses, acks, nacks and streams on the controllers' sockets.
        retry_policy_changes: Whether a tighter retry policy is in effect at a proxy.
        end_ms: The time of the last row.
    """

    fleet: FleetSettings
    endpoints_by_address: dict[str, int] = field(default_factory=dict)
    endpoint_zones: dict[int, str] = field(default_factory=dict)
    endpoint_capacities: dict[int, float] = field(default_factory=dict)
    proxy_zones: dict[str, str] = field(default_factory=dict)
    controllers: dict[str, str] = field(default_factory=dict)
    requests: list[Row] = field(default_factory=list)
    served_requests: list[Row] = field(default_factory=list)
    endpoint_starts: list[Row] = field(default_factory=list)
    discovery_updates: list[Row] = field(default_factory=list)
    stream_changes: list[Row] = field(default_factory=list)
    unroutable: list[Row] = field(default_factory=list)
    applied_updates: list[Row] = field(default_factory=list)
    rejected_updates: list[Row] = field(default_factory=list)
    lost_responses: list[Row] = field(default_factory=list)
    commands: list[Row] = field(default_factory=list)
    channel_rows: list[Row] = field(default_factory=list)
    retry_policy_changes: list[Row] = field(default_factory=list)
    end_ms: float = 0.0

    def add(self, writer: str, row: Row) -> None:
        """Files a row under its kind; rows that no check needs are dropped.

        Args:
            writer: Kind of the process that wrote the row, as in the file's name: pilot, endpoints, proxies or roster.
            row: One decoded line of the record.
        """
        what = row["what"]
        if writer == "pilot":
            (self.retry_policy_changes if what == "way" else self.channel_rows).append(row)
        elif what == "exchange":
            (self.served_requests if writer == "endpoints" else self.requests).append(row)
        elif what in FIELD_OF_ROW:
            getattr(self, FIELD_OF_ROW[what]).append(row)

    def sort(self) -> "Evidence":
        """Sorts the rows of each kind by time, sets the record's end, and returns the evidence itself."""
        for rows in (
            self.requests,
            self.served_requests,
            self.endpoint_starts,
            self.discovery_updates,
            self.stream_changes,
            self.unroutable,
            self.applied_updates,
            self.rejected_updates,
            self.lost_responses,
            self.commands,
            self.channel_rows,
            self.retry_policy_changes,
        ):
            rows.sort(key=lambda row: row["at"])
            if rows:
                self.end_ms = max(self.end_ms, rows[-1]["at"])
        return self

    def stream_spans(self) -> dict[str, list[StreamSpan]]:
        """Returns when each proxy was connected to which controller; an open stream lasts past the record's end."""
        spans: dict[str, list[StreamSpan]] = defaultdict(list)
        opened: dict[str, tuple[float, str]] = {}
        for row in self.stream_changes:
            proxy = row["proxy"]
            if row["up"]:
                address: str = row["pilot"]
                opened[proxy] = (row["at"], self.controllers.get(address, address))
            elif proxy in opened:
                begin_ms, controller = opened.pop(proxy)
                spans[proxy].append(StreamSpan(begin_ms, row["at"], controller))
        for proxy, (begin_ms, controller) in opened.items():
            spans[proxy].append(StreamSpan(begin_ms, self.end_ms + 1.0, controller))
        return spans

    def endpoint_histories(self) -> dict[tuple[str, int], EndpointHistory]:
        """Returns the notifications of each endpoint by controller and endpoint."""
        histories: dict[tuple[str, int], EndpointHistory] = defaultdict(EndpointHistory)
        for row in self.discovery_updates:
            histories[row["pilot"], row["endpoint"]].add(row["at"], row["state"], row.get("started", 0.0))
        return histories

    def blocked_proxies(self) -> dict[str, list[Interval]]:
        """Returns when the scenario blocked proxies from reading, so that they could not apply updates."""
        intervals: dict[str, list[Interval]] = defaultdict(list)
        for row in self.commands:
            if "proxy" in row and row["do"] in BLOCKING_COMMANDS:
                intervals[row["proxy"]].append(Interval(row["at"], row["until"]))
        return intervals


def read_evidence(folder: Path, evidence: Evidence) -> Evidence:
    """Adds all rows of a folder's JSON lines to the evidence and sorts it.

    A process that is killed may leave a truncated last line, which is skipped.

    Raises:
        MalformedJsonError: A complete line is not JSON; the message names its file and number.
    """
    for path in sorted(folder.glob("*.jsonl")):
        writer = path.name.partition("-")[0]
        with path.open("rb") as lines:
            for number, line in enumerate(lines, 1):
                try:
                    row = decode_json(line)
                except MalformedJsonError as error:
                    if line.endswith(b"\n"):
                        raise MalformedJsonError(f"{path}:{number}: {error}") from error
                    continue
                evidence.add(writer, row)
    return evidence.sort()
