"""System calls that fail for a moment: the peer of a connection does not pay for this process's faults."""

import errno
import socket
import time

import pytest
from platform_peers import WAIT_S, Client, Endpoint, Process, Proxy, frame, wait_until, write_configuration
from platform_stepping import SteppedConnections, attach

from quillstep.controller.health_checker import HealthChecker
from quillstep.platform.endpoint_list import parse_address

MAX_CPU_SHARE = 0.05  # of one core, while calls fail
MOMENTARY = ["ENOBUFS", "ENOMEM"]


@pytest.fixture
def steps():
    stepped = SteppedConnections()
    yield stepped
    stepped.close()


def failing(number, function=None, failures=1):
    """Returns a function that fails with an error number a few times, and then calls `function`."""
    remaining = [failures]

    def call(*args):
        if remaining[0]:
            remaining[0] -= 1
            raise OSError(number, errno.errorcode[number])
        return function(*args) if function else None

    return call


def cpu_s(pid):
    with open(f"/proc/{pid}/stat", encoding="ascii") as stat:
        fields = stat.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / 100.0


@pytest.mark.parametrize("name", ["ENOBUFS", "ENOMEM", "ENFILE", "EMFILE", "ECONNABORTED", "EPROTO", "EPERM"])
def test_connections_are_accepted_after_accept_has_failed_and_the_process_does_not_spin(tmp_path, name):
    fault = {"call": "accept", "errno": name, "from_s": 0.0, "until_s": 3.0}
    process = Process(write_configuration(tmp_path, "127.0.0.1:1", []), calls=[fault])
    try:
        address = process.wait_for_log("controller ready")["address"]
        started_s, cpu_before_s = time.monotonic(), cpu_s(process.process.pid)
        client = Client(address)
        client.send({"t": "hb"})
        time.sleep(1.5)
        used_s = cpu_s(process.process.pid) - cpu_before_s
        assert used_s < MAX_CPU_SHARE * (time.monotonic() - started_s) + 0.02
        assert client.received.get(timeout=WAIT_S) == {"t": "hb_ok"}
    finally:
        process.stop()


@pytest.mark.parametrize("name", ["ENFILE", "ENOBUFS", "ENOMEM"])
def test_no_peer_is_evicted_for_a_resource_that_the_system_lacks(steps, name, monkeypatch):
    steps.connect()
    steps.poller.accept()
    number = getattr(errno, name)
    monkeypatch.setattr(steps.poller.listener, "sock", FailingAccept(steps.poller.listener.sock, number))
    steps.poller.accept()
    assert len(steps.poller.connections) == 1


class FailingAccept:
    """A listening socket whose `accept` fails."""

    def __init__(self, sock, number):
        self.sock, self.accept, self.fileno, self.close = sock, failing(number, failures=9), sock.fileno, sock.close


def test_a_connection_that_cannot_be_configured_is_closed_and_the_next_one_is_served(steps, monkeypatch):
    monkeypatch.setattr(socket.socket, "setsockopt", failing(errno.ENOBUFS, lambda *_: None))
    first = steps.connect()
    wait_until(lambda: steps.poller.listener.sock.fileno() in steps.readable(), "a pending connection")
    steps.poller.accept()
    second = steps.connect(frame(attach(1)))
    wait_until(lambda: steps.poller.listener.sock.fileno() in steps.readable(), "a pending connection")
    steps.poller.accept()
    steps.serve_ready()
    assert [event.proxy for event in steps.events] == [1] and first and second


def test_the_poller_goes_on_after_poll_has_failed(tmp_path):
    fault = {"call": "poll", "errno": "ENOMEM", "from_s": 0.0, "until_s": 2.5}
    process = Process(write_configuration(tmp_path, "127.0.0.1:1", []), calls=[fault])
    try:
        client = Client(process.wait_for_log("controller ready")["address"])
        client.send({"t": "hb"})
        assert client.received.get(timeout=WAIT_S) == {"t": "hb_ok"}
    finally:
        process.stop()


@pytest.mark.parametrize("name", MOMENTARY)
@pytest.mark.parametrize("call", ["recv", "send"])
def test_a_stream_outlives_a_call_that_fails_for_lack_of_memory(steps, call, name, monkeypatch):
    sock = steps.connect(frame(attach(1)))
    steps.poller.accept()
    wait_until(lambda: len(steps.readable()) >= 1, "the registration")
    steps.serve_ready()
    (connection,) = steps.poller.connections.values()
    fault = failing(getattr(errno, name), getattr(socket.socket, call))
    with monkeypatch.context() as patch:
        patch.setattr(socket.socket, call, fault)
        if call == "send":
            connection.send(0, b"x" * 100)
            steps.poller.update_scheduled()
        else:
            sock.send(frame({"t": "hb"}))
            wait_until(lambda: connection.sock.fileno() in steps.readable(), "a heartbeat")
            steps.poller.handle_ready(connection, 1)
    assert not connection.is_closed
    steps.poller.run_maintenance()
    steps.serve_ready()
    sock.settimeout(WAIT_S)
    assert sock.recv(100)


@pytest.mark.parametrize("number", [errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET, errno.EPIPE])
def test_a_broken_stream_costs_its_peer_alone_and_is_closed_once(steps, number, monkeypatch):
    for proxy in (1, 2):
        steps.connect(frame(attach(proxy)))
    steps.poller.accept()
    wait_until(lambda: len(steps.readable()) >= 2, "the registrations")
    steps.serve_ready()
    first, second = steps.poller.connections.values()
    with monkeypatch.context() as patch:
        patch.setattr(socket.socket, "recv", failing(number, socket.socket.recv))
        steps.poller.handle_ready(first, 1)
    steps.poller.handle_ready(second, 1)
    assert first.is_closed and not second.is_closed
    assert len([event for event in steps.events if type(event).__name__ == "ProxyDisconnected"]) == 1


LOCAL_FAULTS = ["EADDRNOTAVAIL", "ENETUNREACH", "ENETDOWN", "ENOBUFS", "ENOMEM", "EMFILE", "ENFILE", "EAGAIN", "EACCES"]


@pytest.mark.parametrize("name", LOCAL_FAULTS)
def test_a_health_check_that_this_process_could_not_run_says_nothing_of_the_endpoint(name, monkeypatch):
    endpoint, results = Endpoint("s", "a"), []
    checker = HealthChecker(1, 1000.0, results.append)
    number = getattr(errno, name)
    monkeypatch.setattr(socket.socket, "connect", failing(number, socket.socket.connect))
    try:
        checker.request("s", *parse_address(endpoint.address))
        wait_until(lambda: "s" not in checker.in_progress, "the end of the check")
        checker.request("s", *parse_address(endpoint.address))
        wait_until(lambda: results, "the next check")
        assert [result.is_healthy for result in results] == [True]
    finally:
        endpoint.close()


def test_short_reads_and_writes_lose_no_message(tmp_path):
    endpoints = [Endpoint(f"s{index}", "ab"[index % 2]) for index in range(4)]
    members = [endpoint.entry() for endpoint in endpoints]
    process = Process(write_configuration(tmp_path, "127.0.0.1:1", members), short=0.5, seed=3)
    try:
        proxy = Proxy(process.wait_for_log("controller ready")["address"], 0)
        wait_until(lambda: len(proxy.usable_endpoints()) == 4, "the table")
        proxy.close()
    finally:
        process.stop()
        for endpoint in endpoints:
            endpoint.close()
