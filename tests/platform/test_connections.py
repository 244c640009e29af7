"""Registration of connections, dropped messages, and connections closed by the controller."""

import pytest
from platform_peers import Client, Process, frame, settings, upstream_stats, wait_until, write_configuration
from platform_stepping import SteppedConnections, attach

from quillstep.planner.messages import UpstreamStats


@pytest.fixture
def steps():
    stepped = SteppedConnections()
    yield stepped
    stepped.close()


def test_segmented_registrations_are_accepted_while_descriptors_are_free(tmp_path):
    """Guards against closing slow registrations when all proxies reconnect at once after a controller restart."""
    path = write_configuration(tmp_path, "127.0.0.1:1", [], settings=settings(proxies=300))
    controller = Process(path)
    try:
        address = controller.wait_for_log("controller ready")["address"]
        clients = [Client(address) for _ in range(40)]
        bodies = [frame(attach(number)) for number in range(40)]
        for client, body in zip(clients, bodies, strict=True):
            client.sock.sendall(body[:9])
        for client, body in zip(clients, bodies, strict=True):
            client.sock.sendall(body[9:])
        connected = {controller.wait_for_log("proxy connected")["proxy"] for _ in range(40)}
        assert connected == set(range(40))
    finally:
        controller.stop()


@pytest.mark.parametrize("kind", [["attach"], {"t": "done"}, 7, None, True])
def test_an_invalid_kind_is_dropped_if_registered_and_closes_an_unregistered_connection(steps, kind):
    registered, unregistered = steps.connect(frame(attach(1)) + frame({"t": kind})), steps.connect(frame({"t": kind}))
    steps.poller.accept()
    connections = {connection.sock.getpeername(): connection for connection in steps.poller.connections.values()}
    mine, other = connections[registered.getsockname()], connections[unregistered.getsockname()]
    wait_until(lambda: {mine.sock.fileno(), other.sock.fileno()} <= steps.readable(), "data on both connections")
    steps.serve_ready()
    steps.poller.update_scheduled()
    assert not mine.is_closed and other.is_closed and sum(steps.manager.dropped.values()) == 1


def test_idle_collector_connections_do_not_displace_a_working_one(steps):
    registration = frame({"t": "telemetry", "site": "a"})
    working = steps.connect(registration)
    steps.poller.accept()
    steps.serve_ready()
    (connection,) = steps.poller.connections.values()
    for _ in range(4):
        steps.connect(registration)
        steps.poller.accept()
        steps.serve_ready()
        steps.poller.update_scheduled()
        working.sendall(frame(upstream_stats("a", "s0", 5, 0)))
        steps.serve_ready()
    assert not connection.is_closed and len(steps.manager.collectors) == 2
    assert [type(event) for event in steps.events] == [UpstreamStats] * 4


def test_closes_for_lengths_of_all_kinds_are_counted_under_one_reason():
    # Counters by reason grow without bound if the reason contains what a stranger has sent.
    steps = SteppedConnections()
    try:
        for length in range(2**24, 2**24 + 20):
            steps.connect(length.to_bytes(4, "big") + b"{")
        for _ in range(3):
            steps.poller.accept()
            wait_until(lambda: steps.readable() or not steps.poller.connections, "the lengths")
            steps.serve_ready()
        assert sum(steps.manager.closed_unregistered.values()) == 20 and len(steps.manager.closed_unregistered) == 1
        assert len(steps.manager.log_limiter.last_logged_ms) == 1
    finally:
        steps.close()
