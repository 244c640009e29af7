"""Active health checks over HTTP/1.1, on blocking sockets in worker threads; responses may carry a load report."""

import base64
import math
import queue
import threading
import time
from collections.abc import Callable

import h11
import structlog

from quillstep.errors import QuillstepError
from quillstep.net.errors import is_local_connect_fault
from quillstep.net.http import get
from quillstep.net.json_decoder import decode_json
from quillstep.net.log_limit import LogLimiter
from quillstep.planner.messages import EndpointId, HealthCheckResult

LOAD_HEADER = "endpoint-load-metrics"
MAX_BODY_BYTES = 16 * 1024
MAX_QUEUED_CHECKS = 1024
NOT_RUN_LOG_INTERVAL_MS = 1000.0
# The planner's names for metrics of ORCA load reports.
METRIC_NAMES = {"cpu_utilization": "util", "rps_fractional": "qps", "rps": "qps", "eps": "eps"}


def parse_load_report(text: str) -> dict[str, float]:
    """Return a load report's metrics under the planner's names; a malformed report has none.

    Accepts the formats of ORCA's header, `TEXT name=value, ...`, `JSON {...}` and `BIN base64`, and pairs without a
    prefix.  Values that are not finite numbers are omitted.
    """
    form, _, body = text.strip().partition(" ")
    metrics: dict[str, float] = {}
    try:
        if form == "BIN":
            metrics = _parse_binary(base64.b64decode(body, validate=True))
        elif form == "JSON":
            metrics = _parse_json(body)
        else:
            metrics = _parse_pairs(body if form == "TEXT" else text)
        values = {name.removeprefix("named_metrics."): float(value) for name, value in metrics.items()}
    except (ValueError, TypeError, AttributeError, OverflowError, RecursionError):
        return {}
    return {METRIC_NAMES.get(name, name): value for name, value in values.items() if math.isfinite(value)}


def _parse_pairs(text: str) -> dict[str, float]:
    pairs = (pair.partition("=") for pair in text.split(","))
    return {name.strip(): float(value) for name, equals, value in pairs if equals}


def _parse_json(text: str) -> dict[str, float]:
    report = decode_json(text.encode())
    report.update(report.pop("named_metrics", {}))
    return {name: value for name, value in report.items() if isinstance(value, int | float)}


def _parse_binary(data: bytes) -> dict[str, float]:
    # Imported here because only deployments whose endpoints send the binary form need the library.
    from google.protobuf.message import DecodeError
    from xds.data.orca.v3 import orca_load_report_pb2

    try:
        report = orca_load_report_pb2.OrcaLoadReport.FromString(data)
    except DecodeError as error:
        raise ValueError(str(error)) from error
    metrics = {"cpu_utilization": report.cpu_utilization, "rps_fractional": report.rps_fractional}
    return {**metrics, **report.named_metrics}


class CheckNotRunError(QuillstepError):
    """A fault of this machine prevented a check, which says nothing of the endpoint."""


def check_endpoint(host: str, port: int, timeout_ms: float, path: str = "/health") -> tuple[bool, dict[str, float]]:
    """Check one endpoint; return whether it is healthy, and its load report from the header or else the body.

    Raises:
        CheckNotRunError: No connection could be opened because of a fault of this machine.
    """
    try:
        response = get((host, port), path, time.monotonic() + timeout_ms / 1000.0, MAX_BODY_BYTES)
    except OSError as error:
        if is_local_connect_fault(error):
            raise CheckNotRunError(error.strerror or type(error).__name__) from error
        return False, {}
    except h11.ProtocolError:
        return False, {}
    report = response.headers.get(LOAD_HEADER.encode(), b"") or response.body
    return response.status == 200, parse_load_report(report.decode("latin-1"))


class HealthChecker:
    """Checks endpoints on request, with at most one check of each in progress; drops requests while its queue is full.

    The worker threads are daemons and are not joined: a check may take up to its timeout, and shutdown must not wait.
    """

    def __init__(
        self, workers: int, timeout_ms: float, publish: Callable[[HealthCheckResult], None], path: str = "/health"
    ) -> None:
        """Start the worker threads, which call `publish` with each result."""
        self.timeout_ms, self.publish, self.path = timeout_ms, publish, path
        self.requests: queue.Queue[tuple[EndpointId, str, int]] = queue.Queue(MAX_QUEUED_CHECKS)
        self.in_progress: set[EndpointId] = set()
        self.not_run_log_limiter = LogLimiter(NOT_RUN_LOG_INTERVAL_MS)
        self.log = structlog.get_logger("health_checks")
        for number in range(workers):
            threading.Thread(target=self._work, name=f"health-check-{number}", daemon=True).start()

    def request(self, endpoint: EndpointId, host: str, port: int) -> None:
        """Queue a check, unless one for this endpoint is in progress."""
        if endpoint in self.in_progress:
            return
        self.in_progress.add(endpoint)  # before queuing: a worker may finish at once and remove it
        try:
            self.requests.put_nowait((endpoint, host, port))
        except queue.Full:
            self.in_progress.discard(endpoint)

    def _work(self) -> None:
        while True:
            endpoint, host, port = self.requests.get()
            started_s = time.monotonic()
            result = self._check(host, port)
            self.in_progress.discard(endpoint)
            if result:
                is_healthy, load = result
                duration_ms = (time.monotonic() - started_s) * 1000.0
                self.publish(HealthCheckResult(endpoint, is_healthy, duration_ms, load))

    def _check(self, host: str, port: int) -> tuple[bool, dict[str, float]] | None:
        """Check an endpoint; None if this machine could not run the check.

        An internal error fails the check but does not end the worker thread: without any workers left, no endpoint
        would be checked at all.
        """
        try:
            return check_endpoint(host, port, self.timeout_ms, self.path)
        except CheckNotRunError as error:
            if self.not_run_log_limiter.is_due():
                self.log.warning("health check not run", reason=str(error))
            return None
        except Exception:
            self.log.exception("health check failed with an internal error", host=host, port=port)
            return False, {}
