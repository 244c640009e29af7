"""Deeply nested JSON from each kind of peer: it must not overflow the stack of the thread that decodes it."""

import queue

import pytest
from platform_peers import CLASSES, WAIT_S, Client, Endpoint, Proxy, running_controller, wait_until

CLOSE_S = 3.0  # a peer whose message cannot be decoded is closed within this time
NESTED_VALUES = {
    "never closed": b"[" * 2000,
    "arrays": b"[" * 900 + b"]" * 900,
    "objects": b'{"a":' * 650 + b"1" + b"}" * 650,
}
nested_values = pytest.mark.parametrize("nested", NESTED_VALUES.values(), ids=NESTED_VALUES)


@pytest.fixture
def running(tmp_path):
    with running_controller(tmp_path, 3) as controller:
        yield controller


def assert_still_serves(controller, proxy):
    """The controller answers a heartbeat, and the proxy that sent nothing wrong has kept its connection."""
    client = Client(controller.address)
    client.send({"t": "hb"})
    assert client.received.get(timeout=WAIT_S) == {"t": "hb_ok"}
    assert controller.process.poll() is None
    assert not is_closed(proxy)
    client.close()


def is_closed(client):
    while True:
        try:
            if client.received.get_nowait() is None:
                return True
        except queue.Empty:
            return False


def joined_proxy(controller, number=0):
    proxy = Proxy(controller.address, number)
    wait_until(lambda: len(proxy.usable_endpoints()) == 3, "the table")
    return proxy


REGISTRATIONS = {
    "stranger": None,
    "proxy": {"t": "attach", "id": 1, "site": "a", "rps": 10.0, "new": True},
    "collector": {"t": "telemetry", "site": "a"},
}


# Guards against SIGSEGV of the controller: the decoder overflowed the small stack of the thread `connections`.
@nested_values
@pytest.mark.parametrize("registration", REGISTRATIONS.values(), ids=REGISTRATIONS)
def test_a_nested_message_closes_its_sender_alone_and_does_not_end_the_controller(running, registration, nested):
    proxy = joined_proxy(running)
    sender = Client(running.address)
    if registration:
        sender.send(registration)
    sender.send(b'{"t":"attach","id":' + nested + b"}")
    assert sender.is_closed_within(CLOSE_S)
    assert_still_serves(running, proxy)


# Guards against SIGSEGV of the controller: the decoder overflowed the small stack of the thread `discovery-watch`.
@nested_values
def test_a_nested_line_of_discovery_does_not_end_the_controller_and_later_lists_are_followed(running, nested):
    proxy = joined_proxy(running)
    running.discovery.send_line(b'{"revision":2,"complete":false,"members":[],"unused":' + nested + b"}")
    assert "nested deeper" in running.wait_for_log("watch closed")["reason"]
    added = Endpoint("s9", "a")
    running.discovery.revision = 2
    running.discovery.publish(added.entry())
    wait_until(lambda: "s9" in proxy.usable_endpoints(), "the endpoint that was listed after the nested line")
    assert_still_serves(running, proxy)
    added.close()


# Guards against SIGSEGV of the controller: the decoder overflowed the stack while a complete list was refreshed.
@nested_values
def test_a_nested_complete_list_does_not_end_the_controller(running, nested):
    proxy = joined_proxy(running)

    def answer_with_nested_list(sock, path, answer=running.discovery.answer):
        if "follow" in path:
            answer(sock, path)
            return
        running.discovery.refreshes += 1
        body = b'{"revision":9,"complete":true,"members":[],"unused":' + nested + b"}"
        sock.sendall(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)

    running.discovery.answer = answer_with_nested_list
    seen = running.discovery.refreshes
    wait_until(lambda: running.discovery.refreshes > seen + 1, "two refreshes")
    assert_still_serves(running, proxy)


# Guards against SIGSEGV of the controller: the decoder overflowed the small stack of a thread `health-check-N`.
@nested_values
def test_a_nested_load_report_of_an_endpoint_does_not_end_the_controller(running, nested):
    proxy = joined_proxy(running)
    bad = running.endpoints["s1"]

    def answer_with_nested_report(sock, path):
        bad.health_checks += 1
        body = b"JSON " + nested
        sock.sendall(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)

    bad.answer = answer_with_nested_report
    seen = bad.health_checks
    wait_until(lambda: bad.health_checks > seen + 1, "two health checks")
    assert_still_serves(running, proxy)
    assert "s1" in proxy.usable_endpoints(CLASSES[0]["name"])  # it is healthy, and has no load
