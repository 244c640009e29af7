"""An HTTP/1.1 client with deadlines: h11 on a blocking socket.

Every wait is bounded by the time left until one deadline, in seconds on the monotonic clock, so that a server that
sends a byte at a time can't block a thread beyond it.
"""

import socket
import time
from typing import NamedTuple

import h11

RECEIVE_BYTES = 16 * 1024
MAX_PORT = 65535
ResponseEvent = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]


class Response(NamedTuple):
    """A complete response."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes


def remaining_s(deadline_s: float) -> float:
    """Return the seconds until a deadline.

    Raises:
        TimeoutError: The deadline has passed.
    """
    remaining = deadline_s - time.monotonic()
    if remaining <= 0:
        raise TimeoutError("deadline exceeded")
    return remaining


def connect(address: tuple[str, int], deadline_s: float) -> socket.socket:
    """Connect to an address.

    Raises:
        OSError: The address can't be reached, or not before the deadline.
    """
    return socket.create_connection(address, remaining_s(deadline_s))


def send_request(
    sock: socket.socket, http: h11.Connection, host: str, target: str, deadline_s: float, *headers: tuple[str, str]
) -> None:
    """Send a GET request without a body.

    Raises:
        OSError: The connection failed, or the deadline passed.
    """
    request = h11.Request(method="GET", target=target, headers=[("Host", host), *headers])
    sock.settimeout(remaining_s(deadline_s))
    sock.sendall((http.send(request) or b"") + (http.send(h11.EndOfMessage()) or b""))


def next_event(sock: socket.socket, http: h11.Connection, deadline_s: float) -> ResponseEvent:
    """Return the next event of a response; interim responses are skipped.

    Raises:
        OSError: The connection failed, or the deadline passed.
        h11.ProtocolError: The server sent invalid HTTP.
    """
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            sock.settimeout(remaining_s(deadline_s))
            http.receive_data(sock.recv(RECEIVE_BYTES))
        elif not isinstance(event, h11.InformationalResponse):
            return event


def get(address: tuple[str, int], target: str, deadline_s: float, max_body_bytes: int) -> Response:
    """Send one GET request on a new connection, and return the complete response.

    Raises:
        OSError: The connection can't be opened or failed, or the deadline passed.
        h11.ProtocolError: The server sent invalid HTTP, or the body is longer than `max_body_bytes`.
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
                    raise h11.RemoteProtocolError("response body over the size limit")
            else:
                return Response(status, headers, bytes(body))
