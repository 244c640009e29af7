"""Operations on streams and connections that reader threads and reader processes share."""

from typing import NamedTuple

import structlog

from quillstep.load_reports.aggregator import ReportWarning
from quillstep.load_reports.readers.session import MessageToSend, StreamToEnd
from quillstep.xds.http2 import GrpcPeer


class StreamKey(NamedTuple):
    """The key of a stream: its connection and its number there."""

    connection: GrpcPeer
    stream: int


def send_messages(sends: list[MessageToSend[StreamKey]]) -> None:
    """Sends responses on their streams."""
    for (connection, stream), data in sends:
        connection.send(stream, data)


def finish_stream(end: StreamToEnd[StreamKey]) -> None:
    """Ends a stream with a gRPC status."""
    connection, stream = end.key
    connection.with_codec(lambda codec: codec.finish(stream, end.status, end.text))


def log_warnings(log: structlog.stdlib.BoundLogger, warnings: list[ReportWarning]) -> None:
    """Logs warnings about proxies' reports."""
    for warning in warnings:
        log.warning("invalid load report", proxy=warning.proxy, reason=warning.reason)
