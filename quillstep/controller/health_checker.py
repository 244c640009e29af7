"""Health checks: HTTP/1.1 on blocking sockets in a few threads; load from the answer's ORCA header, or its body.

The published forms are read: `TEXT name=value, ...`, `JSON {...}` and `BIN base64`.
"""

import base64
import math
import queue
import threading
import time
from collections.abc import Callable
from typing import Any

import h11
import msgspec
import structlog

from quillstep.net.http import get

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
        clean = {name.removeprefix("named_metrics."): float(value) for name, value in found.items()}
    except (ValueError, TypeError, AttributeError, OverflowError, RecursionError):
        return {}
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
    try:
        answer = get((host, port), path, time.monotonic() + timeout_ms / 1000.0, ANSWER_MOST)
    except (OSError, h11.ProtocolError):
        return False, {}
    raw = answer.headers.get(HEADER.encode(), b"") or answer.body
    return answer.status == 200, load_of(raw.decode("latin-1"))


class HealthChecker:
    """Asks endpoints; `put` is given ("probe", endpoint, answered, took_ms, load).  What finds no room is dropped."""

    def __init__(self, threads: int, timeout_ms: float, put: Callable[[tuple], None], path: str = "/health") -> None:
        self.timeout_ms, self.put, self.path = timeout_ms, put, path
        self.wanted: queue.Queue[tuple[Any, str, int]] = queue.Queue(1024)
        self.asked: set[Any] = set()
        self.log = structlog.get_logger("probes")
        for _ in range(threads):
            threading.Thread(target=self.work, daemon=True).start()

    def ask(self, endpoint: Any, host: str, port: int) -> None:
        if endpoint in self.asked:
            return  # one that takes long is not asked twice at once
        self.asked.add(endpoint)  # first: a thread that has its answer at once takes it out again
        try:
            self.wanted.put_nowait((endpoint, host, port))
        except queue.Full:
            self.asked.discard(endpoint)

    def work(self) -> None:
        while True:
            endpoint, host, port = self.wanted.get()
            begun = time.monotonic()
            answered, load = self.answer(host, port)
            self.asked.discard(endpoint)
            self.put(("probe", endpoint, answered, (time.monotonic() - begun) * 1000.0, load))

    def answer(self, host: str, port: int) -> tuple[bool, dict[str, float]]:
        """A fault of ours with one answer costs that answer, not the thread: a dozen such, and health is blind."""
        try:
            return check(host, port, self.timeout_ms, self.path)
        except Exception:
            self.log.exception("a probe met a fault of ours", host=host, port=port)
            return False, {}
