"""Health checks: answers and load reports of any kind, and the workers that outlive them."""

import threading

import pytest
from platform_peers import WAIT_S, Endpoint, LoopbackServer, wait_until

from quillstep.controller.health_checker import HealthChecker, parse_load_report
from quillstep.platform.endpoint_list import parse_address


def test_an_endpoint_whose_check_ends_before_the_request_returns_is_checked_again():
    results, published = [], threading.Event()
    endpoint = Endpoint("s", "a")

    def publish(result):
        results.append(result)
        published.set()

    checker = HealthChecker(1, 1000.0, publish)
    real = checker.requests.put_nowait

    def put_and_wait(item):
        """The worker finishes before the request returns."""
        real(item)
        assert published.wait(WAIT_S)
        wait_until(lambda: "s" not in checker.in_progress or len(results) > 1, "the worker's end with it", 0.5)

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
    """Answers each request with the same body."""

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
def test_a_malformed_load_report_is_an_answer_without_one(text):
    assert parse_load_report(text) == {}


def test_malformed_answers_and_internal_errors_end_no_worker(monkeypatch):
    """One worker; each endpoint answers something else that can't be parsed, and an internal error comes between."""
    endpoints = [FixedBody(text.encode("latin-1")) for text in MALFORMED_LOAD_REPORTS]
    good, results = Endpoint("s", "a"), []
    checker = HealthChecker(1, 1000.0, results.append, "/status/load")
    try:
        for at, endpoint in enumerate(endpoints):
            checker.request(at, *parse_address(endpoint.address))
        checker.request("a name that can't be", "a..b", 80)
        monkeypatch.setattr("quillstep.controller.health_checker.parse_load_report", lambda text: 1 / 0)
        checker.request("an internal error", *parse_address(good.address))
        wait_until(lambda: len(results) == len(endpoints) + 2, "an answer for each")
        monkeypatch.undo()
        checker.request("s", *parse_address(good.address))
        wait_until(lambda: len(results) == len(endpoints) + 3, "a good answer after them")
        assert (
            results[-1][1:] == (True, results[-1].duration_ms, {"inflight": 3.0, "util": 0.4})
            and not checker.in_progress
        )
    finally:
        for endpoint in [*endpoints, good]:
            endpoint.close()
