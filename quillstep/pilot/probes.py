"""Health checks: HTTP/1.1 on blocking sockets in a few threads; load from the answer's ORCA header, or its body.

The published forms are read: `TEXT name=value, ...`, `JSON {...}` and `BIN base64`.
"""

import base64
import binascii
import math
import queue
import socket
import threading
import time
from collections.abc import Callable
from typing import Any

import h11
import msgspec

HEADER = "endpoint-load-metrics"
ANSWER_MOST = 16 * 1024
NAMES = {"cpu_utilization": "util", "rps_fractional": "qps", "rps": "qps", "eps": "eps"}


def load_of(header: str) -> dict[str, float]:
    """A load report by our names; what can't be read is left out."""
    kind, _, body = header.strip().partition(" ")
    found: dict[str, float] = {}
    try:
        if kind == "BIN":
            found = binary(base64.b64decode(body, validate=True))
        elif kind == "JSON":
            told = msgspec.json.decode(body)
            told.update(told.pop("named_metrics", {}))
            found = {name: value for name, value in told.items() if isinstance(value, int | float)}
        else:
            pairs = (body if kind == "TEXT" else header).split(",")
            split = (pair.partition("=") for pair in pairs)
            found = {name.strip(): float(value) for name, equals, value in split if equals}
    except (ValueError, AttributeError, binascii.Error, msgspec.DecodeError):
        return {}
    clean = {name.removeprefix("named_metrics."): value for name, value in found.items()}
    return {NAMES.get(name, name): value for name, value in clean.items() if math.isfinite(value)}


def binary(data: bytes) -> dict[str, float]:
    """Raises ValueError.  Only who meets this form needs the library for it."""
    from google.protobuf.message import DecodeError
    from xds.data.orca.v3 import orca_load_report_pb2

    try:
        report = orca_load_report_pb2.OrcaLoadReport.FromString(data)
    except DecodeError as trouble:
        raise ValueError(str(trouble)) from None
    found = {"cpu_utilization": report.cpu_utilization, "rps_fractional": report.rps_fractional}
    return {**found, **report.named_metrics}


def check(host: str, port: int, timeout_ms: float, path: str = "/health") -> tuple[bool, dict[str, float]]:
    """Ask one endpoint; whether it answered well, and its load, from the header or else the body."""
    until = time.monotonic() + timeout_ms / 1000.0
    http = h11.Connection(h11.CLIENT, max_incomplete_event_size=ANSWER_MOST)
    request = h11.Request(method="GET", target=path, headers=[("Host", host), ("Connection", "close")])
    try:
        with socket.create_connection((host, port), timeout_ms / 1000.0) as sock:
            sock.sendall(http.send(request) + http.send(h11.EndOfMessage()))
            return read_answer(http, sock, until)
    except (OSError, h11.RemoteProtocolError):
        return False, {}


def read_answer(http: h11.Connection, sock: socket.socket, until: float) -> tuple[bool, dict[str, float]]:
    """Raises OSError or h11.RemoteProtocolError; a body that says more than a load report needs is left."""
    status, raw, body = 0, "", b""
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            sock.settimeout(max(0.001, until - time.monotonic()))
            http.receive_data(sock.recv(4096))
        elif isinstance(event, h11.Response):
            status = event.status_code
            raw = dict(event.headers).get(HEADER.encode(), b"").decode("latin-1")
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
            if len(body) > ANSWER_MOST:
                return False, {}
        elif not isinstance(event, h11.InformationalResponse):
            break
    return status == 200, load_of(raw or body.decode("latin-1"))


class Prober:
    """Asks endpoints; `put` is given ("probe", endpoint, answered, took_ms, load).  What finds no room is dropped."""

    def __init__(
        self, threads: int, timeout_ms: float, put: Callable[[tuple], None], path: str = "/health"
    ) -> None:
        self.timeout_ms, self.put, self.path = timeout_ms, put, path
        self.wanted: queue.Queue[tuple[Any, str, int]] = queue.Queue(1024)
        self.asked: set[Any] = set()
        for _ in range(threads):
            threading.Thread(target=self.work, daemon=True).start()

    def ask(self, endpoint: Any, host: str, port: int) -> None:
        if endpoint in self.asked:
            return  # one that takes long is not asked twice at once
        try:
            self.wanted.put_nowait((endpoint, host, port))
            self.asked.add(endpoint)
        except queue.Full:
            pass

    def work(self) -> None:
        while True:
            endpoint, host, port = self.wanted.get()
            begun = time.monotonic()
            answered, load = check(host, port, self.timeout_ms, self.path)
            self.asked.discard(endpoint)
            self.put(("probe", endpoint, answered, (time.monotonic() - begun) * 1000.0, load))
