"""The poller, called step by step in the test's thread to control what arrives between two passes."""

import errno
import os
import resource
import socket
import threading

import pytest
from platform_peers import WAIT_S, frame, wait_until
from platform_stepping import LIMITS, SteppedConnections, attach

from quillstep.net.poller import Poller
from quillstep.platform.protocol.codec import MessageCodec
from quillstep.platform.protocol.connections import ConnectionLimits
from quillstep.platform.protocol.events import ProxyConnected


@pytest.fixture
def steps():
    stepped = SteppedConnections()
    yield stepped
    stepped.close()


def test_pending_registration_is_read_before_the_handshake_times_out(steps):
    """The process may pause between accepting a connection and reading a registration that arrived in time."""
    sock = steps.connect()
    steps.poller.accept()
    (connection,) = steps.poller.connections.values()
    connection.accepted_ms -= 2 * LIMITS.handshake_timeout_ms  # the process paused after accepting
    sock.sendall(frame(attach(1)))
    wait_until(lambda: connection.sock.fileno() in steps.readable(), "the bytes of the registration")
    steps.poller.run_maintenance()
    assert not connection.is_closed and [type(event) for event in steps.events] == [ProxyConnected]


def test_connection_that_does_not_register_in_time_is_closed(steps):
    steps.connect()
    steps.poller.accept()
    (connection,) = steps.poller.connections.values()
    connection.accepted_ms -= 2 * LIMITS.handshake_timeout_ms
    steps.poller.run_maintenance()
    assert connection.is_closed and not steps.poller.connections


def test_unregistered_connections_are_evicted_for_new_ones():
    steps = SteppedConnections(ConnectionLimits(8, 8))
    try:
        for _ in range(8):
            steps.connect()
        steps.poller.accept()
        assert len(steps.poller.connections) == 8
        for number in range(4):
            steps.connect(frame(attach(number)))
            steps.poller.accept()
            steps.serve_ready()
        assert sorted(event.proxy for event in steps.events if isinstance(event, ProxyConnected)) == [0, 1, 2, 3]
        assert len(steps.poller.connections) == 8 and len(steps.poller.unregistered) == 4
    finally:
        steps.close()


def test_internal_error_closes_only_the_connection_it_occurred_on(steps):
    original_handler = steps.poller.on_event

    def on_event(connection, event):
        if event.get("id") == 2:
            raise RuntimeError("handler failed")
        original_handler(connection, event)

    steps.poller.on_event = on_event
    for number in (1, 2, 3):
        steps.connect(frame(attach(number)))
    wait_until(lambda: steps.poller.listener.sock.fileno() in steps.readable(), "pending connections")
    steps.poller.accept()
    connections = list(steps.poller.connections.values())
    wait_until(
        lambda: {connection.sock.fileno() for connection in connections} <= steps.readable(), "pending registrations"
    )
    steps.serve_ready()
    assert [connection.is_closed for connection in connections] == [False, True, False]
    assert [event.proxy for event in steps.events] == [1, 3]


def test_listener_is_not_polled_while_no_descriptor_is_available(steps):
    """The listener stays readable after EMFILE: a poller that polls it would use a whole core."""
    steps.connect(frame(attach(1)))
    steps.poller.accept()
    steps.serve_ready()
    pending = steps.connect(frame(attach(2)))
    wait_until(lambda: steps.poller.listener.sock.fileno() in steps.readable(), "a pending connection")
    limits = resource.getrlimit(resource.RLIMIT_NOFILE)
    descriptors = []
    resource.setrlimit(resource.RLIMIT_NOFILE, (64 + len(os.listdir("/proc/self/fd")), limits[1]))
    try:
        with pytest.raises(OSError) as raised:
            while True:
                descriptors.append(os.open("/dev/null", os.O_RDONLY))
        assert raised.value.errno == errno.EMFILE
        steps.poller.accept()
        assert steps.poller.listener.sock.fileno() not in steps.readable()
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, limits)
        for descriptor in descriptors:
            os.close(descriptor)
    steps.poller.run_maintenance()
    assert steps.poller.listener.sock.fileno() in steps.readable()
    steps.poller.accept()
    assert any(
        connection.sock.getpeername() == pending.getsockname() for connection in steps.poller.connections.values()
    )


def test_notification_after_the_poller_has_stopped_does_not_write_to_a_reused_descriptor():
    poller = Poller(
        "127.0.0.1:0", LIMITS, lambda: MessageCodec(4096), lambda *_: None, lambda *_: None, idle_timeout_ms=1e9
    )
    thread = threading.Thread(target=poller.run)
    thread.start()
    poller.stop()
    thread.join(WAIT_S)
    pairs = [socket.socketpair() for _ in range(4)]  # these reuse the descriptors that the poller closed
    try:
        poller.wakeup.is_pending = False
        poller.wakeup.notify()
        for pair in pairs:
            for end in pair:
                end.setblocking(False)
                with pytest.raises(BlockingIOError):
                    end.recv(1)
    finally:
        for pair in pairs:
            for end in pair:
                end.close()
