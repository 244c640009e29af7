"""Encodes events as records of a recording and decodes them; kept in one module so that the two always match.

Record kinds and the order of fields are those of the first version of the format, whatever the events are named now.
"""

from collections.abc import Callable
from typing import Any

import msgspec

from quillstep.controller.decision_loop import ControllerEvent
from quillstep.controller.events import EndpointListReceived
from quillstep.files.events import AcknowledgementRead, FileEvent, GenerationWritten, LoadReportRead, RegistrationRead
from quillstep.files.proxy_generations import PendingGeneration
from quillstep.files.registration import RegisteredProxy, Registration
from quillstep.load_reports.events import ReportsSummarized
from quillstep.load_reports.summary import ReportSummary
from quillstep.planner.messages import EndpointEntry, HealthCheckResult
from quillstep.recording.format import Record
from quillstep.routing import Resource
from quillstep.store.events import (
    OperatorRequest,
    OperatorTarget,
    PinnedVersion,
    StoreEvent,
    StoreOpened,
    StoreUnavailable,
    UpdatesStored,
)
from quillstep.xds.events import StreamEnded, StreamOpened, StreamRequest
from quillstep.xds.server import REQUESTS, Peer

# Kinds of the records that are not events: a pass, the planner's output, and rows of the socket record.
STEP, OUTPUT, SENT = "step", "orders", "sent"


class EventEncoder:
    """Encodes events as records; peers are numbered in the order of their first appearance."""

    def __init__(self) -> None:
        self._peer_numbers: dict[Peer, int] = {}
        self._encoders: dict[type, Callable[[Any, float, float], Record]] = {
            StreamOpened: self._stream_opened,
            StreamRequest: self._stream_request,
            StreamEnded: self._stream_ended,
            EndpointListReceived: _endpoint_list,
            HealthCheckResult: lambda event, arrived, handled: ["probe", arrived, handled, *event],
            ReportsSummarized: lambda event, arrived, handled: ["reports", arrived, handled, *event],
            RegistrationRead: _registration,
            AcknowledgementRead: lambda event, arrived, handled: ["files", arrived, handled, "ack", *event],
            LoadReportRead: lambda event, arrived, handled: ["files", arrived, handled, "load", *event, 0.0],
            GenerationWritten: _generation_written,
            StoreOpened: _store_opened,
            UpdatesStored: lambda event, arrived, handled: ["store", arrived, handled, "stored", event.number, []],
            StoreUnavailable: lambda event, arrived, handled: ["store", arrived, handled, "lost", event.reason, []],
            OperatorRequest: _operator_request,
        }

    def peer_number(self, peer: Peer) -> int:
        """Returns the number that identifies a peer in this recording."""
        return self._peer_numbers.setdefault(peer, len(self._peer_numbers))

    def encode(self, event: ControllerEvent, arrived_ms: float, handled_ms: float) -> Record:
        """Returns an event as a record: its kind, when it arrived and was handled, and its fields."""
        return self._encoders[type(event)](event, arrived_ms, handled_ms)

    def _stream_opened(self, event: StreamOpened, arrived: float, handled: float) -> Record:
        return ["open", arrived, handled, self.peer_number(event.peer), event.stream, event.method]

    def _stream_request(self, event: StreamRequest, arrived: float, handled: float) -> Record:
        return ["request", arrived, handled, self.peer_number(event.peer), event.stream, "", event.data]

    def _stream_ended(self, event: StreamEnded, arrived: float, handled: float) -> Record:
        return ["end", arrived, handled, self.peer_number(event.peer), event.stream, event.reason]


def _endpoint_list(event: EndpointListReceived, arrived: float, handled: float) -> Record:
    addresses = [[endpoint, host, port] for endpoint, (host, port) in event.addresses.items()]
    return ["roster", arrived, handled, event.kind, [list(entry) for entry in event.entries], addresses]


def _registration(event: RegistrationRead, arrived: float, handled: float) -> Record:
    content: Any = event.content
    if isinstance(content, RegisteredProxy):
        resources = [[list(key), resource.version, [*resource.content]] for key, resource in content.resources.items()]
        content = [msgspec.to_builtins(content.registration), content.newest, content.held, resources]
    return ["files", arrived, handled, "hello", event.directory, content, event.age_ms]


def _generation_written(event: GenerationWritten, arrived: float, handled: float) -> Record:
    pending = event.pending
    return [
        "files",
        arrived,
        handled,
        "written",
        pending.directory,
        [pending.generation.number, event.written_ms],
        event.error,
    ]


def _store_opened(event: StoreOpened, arrived: float, handled: float) -> Record:
    return ["store", arrived, handled, "opened", [event.wall_ms, event.versions], [list(pin) for pin in event.pins]]


def _operator_request(event: OperatorRequest, arrived: float, handled: float) -> Record:
    return [
        "store",
        arrived,
        handled,
        "wish",
        event.key,
        [event.kind, [list(target) for target in event.targets], event.operator],
    ]


class EventDecoder:
    """Decodes records to events.

    `peer` returns the peer with a number; `take_generation` removes and returns the pending generation of a directory
    with a number, or None if the replay has submitted no such generation.
    """

    def __init__(
        self, peer: Callable[[int], Peer], take_generation: Callable[[str, int], PendingGeneration | None]
    ) -> None:
        self._peer, self._take_generation = peer, take_generation
        self._methods: dict[tuple[int, int], str] = {}
        self._decoders: dict[str, Callable[..., ControllerEvent | None]] = {
            "open": self._stream_opened,
            "request": self._stream_request,
            "end": self._stream_ended,
            "roster": _decode_endpoint_list,
            "probe": HealthCheckResult,
            "reports": _decode_reports,
            "files": self._file_event,
            "store": _decode_store_event,
        }

    def decode(self, record: Record) -> ControllerEvent | None:
        """Returns the event in a record, or None if it is not an event or does not apply to this replay."""
        decoder = self._decoders.get(record[0])
        return decoder(*record[3:]) if decoder else None

    def _stream_opened(self, peer: int, stream: int, method: str) -> StreamOpened:
        self._methods[peer, stream] = method
        return StreamOpened(self._peer(peer), stream, method)

    def _stream_request(self, peer: int, stream: int, _: str, data: bytes) -> StreamRequest:
        message = REQUESTS[self._methods[peer, stream]].FromString(data)
        return StreamRequest(self._peer(peer), stream, message, data)

    def _stream_ended(self, peer: int, stream: int, reason: str) -> StreamEnded:
        return StreamEnded(self._peer(peer), stream, reason)

    def _file_event(self, kind: str, directory: str, content: Any, detail: Any) -> FileEvent | None:
        match kind:
            case "written":
                number, written_ms = content
                pending = self._take_generation(directory, number)
                return GenerationWritten(pending, written_ms, detail) if pending else None
            case "hello":
                return RegistrationRead(directory, _decode_registration(content), detail)
            case "ack":
                return AcknowledgementRead(directory, content, detail)
            case _:
                return LoadReportRead(directory, content)


def _decode_endpoint_list(kind: str, entries: list[list[Any]], addresses: list[list[Any]]) -> EndpointListReceived:
    by_endpoint = {endpoint: (host, port) for endpoint, host, port in addresses}
    return EndpointListReceived(kind, [EndpointEntry(*entry) for entry in entries], by_endpoint)


def _decode_reports(reader: int, summary: dict[str, Any]) -> ReportsSummarized:
    return ReportsSummarized(reader, msgspec.convert(summary, ReportSummary))


def _decode_registration(content: list[Any] | str) -> RegisteredProxy | str:
    if isinstance(content, str):
        return content
    registration, newest, held, resources = content
    held_resources = {tuple(key): Resource(version, tuple(fields)) for key, version, fields in resources}
    return RegisteredProxy(msgspec.convert(registration, Registration), newest, held, held_resources)


def _decode_store_event(kind: str, content: Any, detail: list[Any]) -> StoreEvent:
    match kind:
        case "opened":
            wall_ms, versions = content
            return StoreOpened(wall_ms, versions, [PinnedVersion(*pin) for pin in detail])
        case "stored":
            return UpdatesStored(content)
        case "lost":
            return StoreUnavailable(content)
        case _:
            command, targets, operator = detail
            return OperatorRequest(content, command, [OperatorTarget(*target) for target in targets], operator)
