"""Deadlines of the HTTP client."""

import socket
import time

import h11
import pytest
from platform_peers import WAIT_S, LoopbackServer

from quillstep.controller.health_checker import check_endpoint
from quillstep.net.http import get, next_event, send_request
from quillstep.platform.endpoint_list import parse_address


class EndlessInterimResponses(LoopbackServer):
    """Sends interim responses, each a complete event, for 2 s, much longer than the deadlines in the test."""

    def answer(self, sock, path):
        end_s = time.monotonic() + 2.0
        while time.monotonic() < end_s:
            sock.sendall(b"HTTP/1.1 102 Processing\r\n\r\n")


def test_interim_responses_do_not_extend_the_deadline():
    endpoint = EndlessInterimResponses()
    try:
        with pytest.raises(TimeoutError):
            get(parse_address(endpoint.address), "/health", time.monotonic() + 0.2, 1000)
        assert check_endpoint(*parse_address(endpoint.address), 50.0) == (False, {})
    finally:
        endpoint.close()


def test_pending_bytes_are_not_read_after_the_deadline():
    client, server = socket.socketpair()
    with client, server:
        http = h11.Connection(h11.CLIENT)
        send_request(client, http, "x", "/health", time.monotonic() + WAIT_S)
        server.sendall(b"HTTP/1.1 200 OK\r\n\r\n")
        with pytest.raises(TimeoutError):
            next_event(client, http, time.monotonic() - 0.001)
