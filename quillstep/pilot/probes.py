"""Health checks: HTTP/1.1 on blocking sockets in a few threads; load from the ORCA header of the answer.

The header's published forms are read: `TEXT name=value, ...`, `JSON {...}` and `BIN base64`.
"""

import base64
import binascii
import queue
import socket
import threading
import time
from collections.abc import Callable

import msgspec
from google.protobuf.message import DecodeError
from xds.data.orca.v3 import orca_load_report_pb2

HEADER = "endpoint-load-metrics"
ANSWER_MOST = 16 * 1024
NAMES = {"cpu_utilization": "util", "rps_fractional": "qps", "rps": "qps", "eps": "eps"}


def load_of(header: str) -> dict[str, float]:
    """A load report by our names; what can't be read is left out."""
    kind, _, body = header.strip().partition(" ")
    found: dict[str, float] = {}
    try:
        if kind == "BIN":
            report = orca_load_report_pb2.OrcaLoadReport.FromString(base64.b64decode(body, validate=True))
            found = {"cpu_utilization": report.cpu_utilization, "rps_fractional": report.rps_fractional}
            found.update(report.named_metrics)
        elif kind == "JSON":
            told = msgspec.json.decode(body)
            told.update(told.pop("named_metrics", {}))
            found = {name: value for name, value in told.items() if isinstance(value, int | float)}
        else:
            pairs = (body if kind == "TEXT" else header).split(",")
            split = (pair.partition("=") for pair in pairs)
            found = {name.strip(): float(value) for name, equals, value in split if equals}
    except (ValueError, AttributeError, binascii.Error, DecodeError, msgspec.DecodeError):
        return {}
    clean = {name.removeprefix("named_metrics."): value for name, value in found.items()}
    return {NAMES.get(name, name): value for name, value in clean.items() if value == value}


def check(host: str, port: int, timeout_ms: float) -> tuple[bool, dict[str, float]]:
    """Ask one endpoint; whether it answered well, and its load."""
    until = time.monotonic() + timeout_ms / 1000.0
    try:
        with socket.create_connection((host, port), timeout_ms / 1000.0) as sock:
            sock.sendall(f"GET /health HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n\r\n".encode())
            answer = b""
            while b"\r\n\r\n" not in answer and len(answer) < ANSWER_MOST:
                sock.settimeout(max(0.001, until - time.monotonic()))
                data = sock.recv(4096)
                if not data:
                    break
                answer += data
    except OSError:
        return False, {}
    head = answer.partition(b"\r\n\r\n")[0].decode("latin-1").split("\r\n")
    fields = dict(line.lower().partition(":")[::2] for line in head[1:])
    raw = next((line.partition(":")[2] for line in head[1:] if line.lower().startswith(HEADER)), "")
    status = head[0].split(" ")
    answered = len(status) > 1 and status[1] == "200"
    return answered, load_of(raw) if HEADER in fields else {}


class Prober:
    """Asks endpoints; `put` is given ("probe", endpoint, answered, took_ms, load).  What finds no room is dropped."""

    def __init__(self, threads: int, timeout_ms: float, put: Callable[[tuple], None]) -> None:
        self.timeout_ms, self.put = timeout_ms, put
        self.wanted: queue.Queue[tuple[int, str, int]] = queue.Queue(1024)
        self.asked: set[int] = set()
        for _ in range(threads):
            threading.Thread(target=self.work, daemon=True).start()

    def ask(self, endpoint: int, host: str, port: int) -> None:
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
            answered, load = check(host, port, self.timeout_ms)
            self.asked.discard(endpoint)
            self.put(("probe", endpoint, answered, (time.monotonic() - begun) * 1000.0, load))
