"""Reads a recorded scenario: controllers' incarnations, requests and attempts, endpoints and proxies.

The folder is one arm of a scenario that was played with recordings.  Its `fleet.json` holds what operators know about
endpoints (zone, cores, address) and proxies (zone, initial table), not how fast endpoints really are.
"""

import shutil
from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NamedTuple

import msgspec
from envoy.service.load_stats.v3 import lrs_pb2

from quillstep.config.controller import ControllerSettings
from quillstep.errors import QuillstepError
from quillstep.net.json_decoder import JsonDecoder, MalformedJsonError
from quillstep.planner.messages import EndpointEntry
from quillstep.recording import Incarnation, Record, read_incarnations, read_records, recorded_settings
from quillstep.xds.server import LOAD

MAX_CLOCK_DIFFERENCE_MS = 50.0  # Offsets that differ by at most this belong to one clock.

_object_decoder = JsonDecoder(dict[str, Any])


class MalformedScenarioError(QuillstepError):
    """A file of a recorded scenario cannot be decoded, or lacks a field; the message names the file and the line."""


class EndpointFields(msgspec.Struct):
    """The fields that a replay needs of an endpoint in `fleet.json`."""

    id: int
    zone: str
    cores: float
    host: str
    port: int


class ProxyFields(msgspec.Struct):
    """The fields that a replay needs of a proxy in `fleet.json`."""

    name: str
    zone: str
    usual: float
    standing: list[tuple[str, int]]


class FleetFields(msgspec.Struct):
    """The fields that a replay needs of `fleet.json`."""

    endpoints: list[EndpointFields]
    proxies: list[ProxyFields]


class RequestFields(msgspec.Struct):
    """The fields that a replay needs of a recorded request; times are milliseconds."""

    at: float
    end: float
    exchange: str
    proxy: str
    class_name: str = msgspec.field(name="class")
    outcome: str
    tries: list[list[Any]]


class DiscoveryUpdate(NamedTuple):
    """An endpoint list that arrived; `addresses` are hosts and ports by endpoint."""

    at_ms: float
    kind: str
    entries: list[EndpointEntry]
    addresses: dict[int, tuple[str, int]]


class StreamChange(NamedTuple):
    """A proxy's stream opened or closed; `is_fresh` means that the proxy held no resources yet."""

    at_ms: float
    is_open: bool
    proxy: str
    is_fresh: bool = False


class ReportArrival(NamedTuple):
    """The arrival of a proxy's load report; `age_ms` is the time since the end of its window."""

    at_ms: float
    proxy: str
    age_ms: float


@dataclass(slots=True)
class ControllerIncarnation:
    """What the replay needs of one incarnation of a controller.

    Times are milliseconds of the monotonic clock of the machine of the scenario's first incarnation; `ack_delays_ms`
    holds the times from a message to its ack or nack, by proxy.
    """

    epoch: str
    settings: ControllerSettings
    first_ms: float
    last_ms: float
    discovery_updates: list[DiscoveryUpdate] = field(default_factory=list)
    stream_changes: list[StreamChange] = field(default_factory=list)
    report_arrivals: list[ReportArrival] = field(default_factory=list)
    ack_delays_ms: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))


@dataclass(slots=True)
class RecordedScenario:
    """A recorded scenario; requests are sorted by arrival."""

    incarnations: list[ControllerIncarnation]
    endpoints: dict[int, dict[str, Any]]
    proxies: dict[str, dict[str, Any]]
    requests: list[dict[str, Any]]

    @property
    def begin_ms(self) -> float:
        """When the first request arrived."""
        return self.requests[0]["at"]

    @property
    def end_ms(self) -> float:
        """When the last request ended."""
        return max(row["end"] for row in self.requests)


def read_recorded_scenario(folder: Path) -> RecordedScenario:
    """Reads one arm of a played scenario.

    Raises:
        FileNotFoundError: The folder holds no fleet, no recording or no requests.
        CorruptBlockError: A recording is damaged.
        MalformedScenarioError: The fleet or a request cannot be decoded.
    """
    path = folder / "fleet.json"
    fleet = _decode(path.read_bytes(), str(path))
    _check_fields(fleet, FleetFields, str(path))
    recorded = [incarnation for path in sorted(folder.glob("capture-*")) for incarnation in read_incarnations(path)]
    if not recorded:
        raise FileNotFoundError(f"{folder}: expected at least one recording (capture-*), found none")
    first_offset_ms = recorded[0].header.wall_offset_ms
    incarnations = [
        read_incarnation(each, clock_shift_ms(each.header.wall_offset_ms, first_offset_ms)) for each in recorded
    ]
    requests = _read_requests(folder)
    if not requests:
        raise FileNotFoundError(f"{folder}: expected recorded requests (proxies-*.jsonl), found none")
    return RecordedScenario(
        sorted(incarnations, key=lambda incarnation: incarnation.first_ms),
        {row["id"]: row for row in fleet["endpoints"]},
        {row["name"]: row for row in fleet["proxies"]},
        requests,
    )


def _read_requests(folder: Path) -> list[dict[str, Any]]:
    requests = []
    for path in sorted(folder.glob("proxies-*.jsonl")):
        for number, line in enumerate(path.read_bytes().splitlines(), 1):
            place = f"{path}:{number}"
            row = _decode(line, place)
            if row.get("what") == "exchange":
                _check_fields(row, RequestFields, place)
                requests.append(row)
    requests.sort(key=lambda row: (row["at"], row["exchange"]))
    return requests


def _decode(data: bytes, place: str) -> dict[str, Any]:
    try:
        decoded: dict[str, Any] = _object_decoder.decode(data)
    except MalformedJsonError as error:
        raise MalformedScenarioError(f"{place}: {error}") from error
    return decoded


def _check_fields(decoded: dict[str, Any], fields: type[msgspec.Struct], place: str) -> None:
    """Checks that an object has these fields; others are not looked at."""
    try:
        msgspec.convert(decoded, fields)
    except msgspec.ValidationError as error:
        raise MalformedScenarioError(f"{place}: {error}") from error


def copy_for_replay(folder: Path, out: Path) -> int:
    """Copies what replays need from an arm: recordings, the fleet, the requests.

    Returns:
        The number of requests.

    Raises:
        FileNotFoundError: The folder holds no fleet, no recording or no requests.
        CorruptBlockError: A recording is damaged.
    """
    out.mkdir(parents=True, exist_ok=True)
    for path in sorted(folder.glob("capture-*")):
        shutil.copytree(path, out / path.name, dirs_exist_ok=True, ignore=shutil.ignore_patterns("index.lmdb"))
    shutil.copy(folder / "fleet.json", out / "fleet.json")
    rows = [msgspec.json.encode(row) for row in read_recorded_scenario(folder).requests]
    (out / "proxies-0.jsonl").write_bytes(b"\n".join(rows) + b"\n")
    return len(rows)


def clock_shift_ms(offset_ms: float, first_offset_ms: float) -> float:
    """Returns the milliseconds to add to an incarnation's times to convert them to the first one's clock.

    The monotonic clocks of machines start at different times; an offset is the wall clock minus the monotonic clock.
    """
    difference_ms = offset_ms - first_offset_ms
    return difference_ms if abs(difference_ms) > MAX_CLOCK_DIFFERENCE_MS else 0.0


def read_incarnation(incarnation: Incarnation, shift_ms: float = 0.0) -> ControllerIncarnation:
    """Reads discovery updates, stream changes, report arrivals and delays of one incarnation.

    Raises:
        CorruptBlockError: The recording is damaged.
    """
    reader = _IncarnationReader(incarnation, shift_ms)
    for record in read_records(incarnation):
        reader.read(record)
    return reader.incarnation


class _IncarnationReader:
    """Builds an incarnation from its records, whose first fields are kind, number and time."""

    def __init__(self, recorded: Incarnation, shift_ms: float) -> None:
        self.incarnation = ControllerIncarnation(
            recorded.header.epoch,
            recorded_settings(recorded.header),
            recorded.first_ms + shift_ms,
            recorded.last_ms + shift_ms,
        )
        self._shift_ms = shift_ms
        self._sent_ms: dict[tuple[str, str], float] = {}  # Times of unanswered responses by proxy and nonce.
        self._report_nodes: dict[tuple[int, int], str] = {}  # Node IDs by peer and stream; "" until the first request.
        self._proxy_names: list[str] = []  # Names by proxy number, which the first join assigns.

    def read(self, record: Record) -> None:
        """Adds one record to the incarnation."""
        at_ms = record[2] + self._shift_ms
        match record[0]:
            case "roster":
                self._read_endpoint_list(at_ms, *record[3:])
            case "sent":
                self._read_sent(at_ms, record[3], record[4])
            case "files" if record[3] == "load":
                self._add_report(at_ms, record[4], 0.0)
            case "reports":
                for proxy, arrived_ms, until_ms, *_ in record[4]["heard"]:
                    age_ms = max(0.0, arrived_ms - until_ms)
                    self._add_report(arrived_ms + self._shift_ms, self._proxy_names[proxy], age_ms)
            case "open" if record[5] == LOAD:
                self._report_nodes[record[3], record[4]] = ""
            case "request" if (record[3], record[4]) in self._report_nodes:
                self._read_report_request(at_ms, (record[3], record[4]), record[6])

    def _add_report(self, at_ms: float, proxy: str, age_ms: float) -> None:
        self.incarnation.report_arrivals.append(ReportArrival(at_ms, proxy, age_ms))

    def _read_endpoint_list(
        self, at_ms: float, kind: str, entries: list[list[Any]], addresses: list[list[Any]], *_: Any
    ) -> None:
        shifted = [_shift_entry(EndpointEntry(*entry), self._shift_ms) for entry in entries]
        by_endpoint = {endpoint: (host, port) for endpoint, host, port in addresses}
        self.incarnation.discovery_updates.append(DiscoveryUpdate(at_ms, kind, shifted, by_endpoint))

    def _read_sent(self, at_ms: float, what: str, fields: dict[str, Any]) -> None:
        match what:
            case "join" | "leave":
                self._read_stream_change(at_ms, what == "join", fields)
            case "send":
                self._sent_ms[fields["proxy"], fields["nonce"]] = at_ms
            case "ack" | "nack" if (fields["proxy"], fields["nonce"]) in self._sent_ms:
                delay_ms = at_ms - self._sent_ms.pop((fields["proxy"], fields["nonce"]))
                self.incarnation.ack_delays_ms[fields["proxy"]].append(delay_ms)

    def _read_stream_change(self, at_ms: float, is_open: bool, fields: dict[str, Any]) -> None:
        proxy = fields["proxy"]
        if is_open and proxy not in self._proxy_names:
            self._proxy_names.append(proxy)
        change = StreamChange(at_ms, is_open, proxy, fields.get("fresh", False))
        self.incarnation.stream_changes.append(change)

    def _read_report_request(self, at_ms: float, stream: tuple[int, int], data: bytes) -> None:
        """Reads a request on a load report stream: the first one has the node, later ones are reports."""
        if node := self._report_nodes[stream]:
            self._add_report(at_ms, node, 0.0)
        else:
            self._report_nodes[stream] = lrs_pb2.LoadStatsRequest.FromString(data).node.id


def _shift_entry(entry: EndpointEntry, shift_ms: float) -> EndpointEntry:
    """Converts an entry to another clock; a start of 0, which means long ago, is unchanged."""
    return entry._replace(started_ms=entry.started_ms + shift_ms) if entry.started_ms else entry
