"""HTTP/1.1 as a client within a deadline: h11 on a blocking socket.

Every wait takes what is left of one deadline, so that bytes that drip cannot keep a thread beyond it.
"""

import socket
import time
from typing import Any, NamedTuple

import h11

CHUNK = 16 * 1024


class Answer(NamedTuple):
    status: int
    headers: dict[bytes, bytes]
    body: bytes


def left_s(until: float) -> float:
    """What is left until a deadline on the monotonic clock, in seconds; raises TimeoutError where that is nothing."""
    left = until - time.monotonic()
    if left <= 0:
        raise TimeoutError("the deadline has passed")
    return left


def dial(address: tuple[str, int], until: float) -> socket.socket:
    """Raises OSError."""
    return socket.create_connection(address, left_s(until))


def ask(
    sock: socket.socket, http: h11.Connection, host: str, target: str, until: float, *more: tuple[str, str]
) -> None:
    """Raises OSError."""
    request = h11.Request(method="GET", target=target, headers=[("Host", host), *more])
    sock.settimeout(left_s(until))
    sock.sendall(http.send(request) + http.send(h11.EndOfMessage()))


def next_event(sock: socket.socket, http: h11.Connection, until: float) -> Any:
    """The next event of an answer, those of interim responses left out; raises OSError or h11.ProtocolError."""
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            sock.settimeout(left_s(until))
            http.receive_data(sock.recv(CHUNK))
        elif not isinstance(event, h11.InformationalResponse):
            return event


def get(address: tuple[str, int], target: str, until: float, body_most: int) -> Answer:
    """One question on a connection of its own; raises OSError or h11.ProtocolError."""
    http = h11.Connection(h11.CLIENT)
    status, headers, body = 0, {}, bytearray()
    with dial(address, until) as sock:
        ask(sock, http, "{}:{}".format(*address), target, until, ("Connection", "close"))
        while True:
            event = next_event(sock, http, until)
            if isinstance(event, h11.Response):
                status, headers = event.status_code, dict(event.headers)
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > body_most:
                    raise h11.RemoteProtocolError("an answer beyond its bound")
            else:
                return Answer(status, headers, bytes(body))
