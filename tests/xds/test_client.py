"""The gRPC client: its owner learns of each end of the connection."""

import pytest

from quillstep.config.controller import LimitSettings
from quillstep.xds.client import GrpcClient
from quillstep.xds.http2 import GrpcConnection, StreamEnded
from quillstep.xds.server import DELTA, Server


@pytest.fixture
def server():
    running = Server("127.0.0.1:0", LimitSettings(), lambda event: None)
    running.start()
    yield running
    running.stop()


# Guards against an owner that waits for ever: an error of the reader's thread must close the connection.
def test_an_internal_error_while_reading_closes_the_connection(server, monkeypatch):
    client = GrpcClient(server.address, 1000.0)
    monkeypatch.setattr(client.connection.codec, "receive", lambda data: 1 / 0)
    client.open(DELTA)
    assert list(client.events()) == []  # ends, without an event
    assert "ZeroDivisionError" in client.reason


# Guards against ValueError in the reader's thread: `isdigit` accepts digits that `int` does not.
@pytest.mark.parametrize("status", [b"\xb2", b"9" * 5000, b"", b"-1", b"1_0"])
def test_a_status_that_is_no_number_is_an_internal_error_of_the_server(status):
    client, server = GrpcConnection(True, 1000, 16384), GrpcConnection(False, 1000, 16384)
    stream = client.open(DELTA, "server")
    server.receive(client.pump())
    server.h2.send_headers(stream, [(b":status", b"200"), (b"grpc-status", status)], end_stream=True)
    ends = [event for event in client.receive(server.pump()) if isinstance(event, StreamEnded)]
    assert ends[0].status == 13
