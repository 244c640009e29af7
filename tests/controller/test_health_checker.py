"""Health checks: responses, load reports in all formats, and worker threads that survive malformed ones."""

import threading

import pytest
from platform_peers import WAIT_S, Endpoint, LoopbackServer, wait_until

from quillstep.controller.health_checker import HealthChecker, parse_load_report
from quillstep.platform.endpoint_list import parse_address


def test_endpoint_is_checked_again_after_a_check_that_ends_before_the_request_returns():
    """An endpoint marked as in progress only after its check had ended would never be checked again."""
    results, published = [], threading.Event()
    endpoint = Endpoint("s", "a")

    def publish(result):
        results.append(result)
        published.set()

    checker = HealthChecker(1, 1000.0, publish)
    original_put = checker.requests.put_nowait

    def put_and_wait(item):
        """Lets the worker finish the check before the request returns."""
        original_put(item)
        assert published.wait(WAIT_S)
        wait_until(lambda: "s" not in checker.in_progress or len(results) > 1, "the end of the check", 0.5)

    checker.requests.put_nowait = put_and_wait
    try:
        checker.request("s", *parse_address(endpoint.address))
        assert "s" not in checker.in_progress
        published.clear()
        checker.request("s", *parse_address(endpoint.address))
        assert [result.is_healthy for result in results] == [True, True]
    finally:
        endpoint.close()


class FixedBody(LoopbackServer):
    """Sends the same body in response to each request."""

    def __init__(self, body):
        self.body = body
        super().__init__()

    def answer(self, sock, path):
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(self.body) + self.body)


MALFORMED_LOAD_REPORTS = [
    "JSON 5", "JSON []", 'JSON {"named_metrics": 5}', 'JSON {"named_metrics": [1]}', "JSON " + "[" * 3000,
    'JSON {"util": 1' + "0" * 400 + "}", "TEXT util=", "TEXT util=nan", "TEXT util=1e999", "TEXT " + "," * 5000,
    "\xff\x00", "BIN !!",
]  # fmt: skip


@pytest.mark.parametrize("text", MALFORMED_LOAD_REPORTS, ids=range(len(MALFORMED_LOAD_REPORTS)))
def test_malformed_load_report_has_no_metrics(text):
    assert parse_load_report(text) == {}


def test_worker_survives_malformed_responses_and_internal_errors(monkeypatch):
    """A single worker receives every malformed body, an invalid host name and an internal error, then a valid one."""
    endpoints = [FixedBody(text.encode("latin-1")) for text in MALFORMED_LOAD_REPORTS]
    valid, results = Endpoint("s", "a"), []
    checker = HealthChecker(1, 1000.0, results.append, "/status/load")
    try:
        for number, endpoint in enumerate(endpoints):
            checker.request(number, *parse_address(endpoint.address))
        checker.request("invalid host name", "a..b", 80)
        monkeypatch.setattr("quillstep.controller.health_checker.parse_load_report", lambda text: 1 / 0)
        checker.request("internal error", *parse_address(valid.address))
        wait_until(lambda: len(results) == len(endpoints) + 2, "a result for each request")
        monkeypatch.undo()
        checker.request("s", *parse_address(valid.address))
        wait_until(lambda: len(results) == len(endpoints) + 3, "the result of the valid response")
        assert (
            results[-1][1:] == (True, results[-1].duration_ms, {"inflight": 3.0, "util": 0.4})
            and not checker.in_progress
        )
    finally:
        for endpoint in [*endpoints, valid]:
            endpoint.close()
