"""HTTP/1.1 as a client within a deadline: h11 on a blocking socket.

Each wait is bounded by what is left until one deadline, in seconds on the monotonic clock, so that a server that
sends a byte now and then can't keep a thread beyond it.
"""

import socket
import time
from typing import NamedTuple

import h11

RECEIVE_BYTES = 16 * 1024
ResponseEvent = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]


class Response(NamedTuple):
    """A complete response."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes


def remaining_s(deadline_s: float) -> float:
    """Return the seconds until a deadline.

    Raises:
        TimeoutError: It has passed.
    """
    remaining = deadline_s - time.monotonic()
    if remaining <= 0:
        raise TimeoutError("the deadline has passed")
    return remaining


def connect(address: tuple[str, int], deadline_s: float) -> socket.socket:
    """Connect to an address.

    Raises:
        OSError: It can't be reached, or not in time.
    """
    return socket.create_connection(address, remaining_s(deadline_s))


def send_request(
    sock: socket.socket, http: h11.Connection, host: str, target: str, deadline_s: float, *headers: tuple[str, str]
) -> None:
    """Send a GET request without a body.

    Raises:
        OSError: The connection broke, or the deadline passed.
    """
    request = h11.Request(method="GET", target=target, headers=[("Host", host), *headers])
    sock.settimeout(remaining_s(deadline_s))
    sock.sendall((http.send(request) or b"") + (http.send(h11.EndOfMessage()) or b""))


def next_event(sock: socket.socket, http: h11.Connection, deadline_s: float) -> ResponseEvent:
    """Return the next event of a response; interim responses are left out.

    Raises:
        OSError: The connection broke, or the deadline passed.
        h11.ProtocolError: What was received is no HTTP.
    """
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            sock.settimeout(remaining_s(deadline_s))
            http.receive_data(sock.recv(RECEIVE_BYTES))
        elif not isinstance(event, h11.InformationalResponse):
            return event


def get(address: tuple[str, int], target: str, deadline_s: float, max_body_bytes: int) -> Response:
    """Send one request on a connection of its own, and return the complete response.

    Raises:
        OSError: The connection can't be made or broke, or the deadline passed.
        h11.ProtocolError: What was received is no HTTP, or its body is too large.
    """
    http = h11.Connection(h11.CLIENT)
    status, headers, body = 0, {}, bytearray()
    with connect(address, deadline_s) as sock:
        send_request(sock, http, "{}:{}".format(*address), target, deadline_s, ("Connection", "close"))
        while True:
            event = next_event(sock, http, deadline_s)
            if isinstance(event, h11.Response):
                status, headers = event.status_code, dict(event.headers)
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > max_body_bytes:
                    raise h11.RemoteProtocolError("an answer beyond its bound")
            else:
                return Response(status, headers, bytes(body))
