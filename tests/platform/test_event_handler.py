"""Reconnects of a proxy, with the events of its old and new stream in any order."""

import socket
import time

import pytest
from platform_peers import frame, write_configuration
from platform_stepping import SteppedConnections, attach, member

from quillstep.platform.configuration import controller_config, read_configuration
from quillstep.platform.service import PlatformController


@pytest.fixture
def controller(tmp_path):
    """A controller whose deciding thread is the test's thread; see `handle_events`."""
    path = write_configuration(tmp_path, "127.0.0.1:1", [member("s0"), member("s1", locality="b")])
    configuration = read_configuration({"BALANCER_CONFIG": str(path)})
    controller = PlatformController(configuration, controller_config(configuration, str(path)))
    controller.handler.handle(controller.initial_update)
    controller.steps = SteppedConnections()
    controller.steps.manager.publish = controller.publish
    yield controller
    controller.steps.close()
    controller.connections.poller.listener.close()


def handle_events(controller):
    """Run one pass of the poller, handle its events, and let the poller apply what the handlers scheduled."""
    controller.steps.serve_ready()
    for _ in range(2):
        for _, event in controller.event_queue.drain(1024):
            controller.handler.handle(event)
        controller.steps.poller.update_scheduled()


def streams_of(controller, *socks):
    by_address = {
        connection.sock.getpeername(): connection for connection in controller.steps.poller.connections.values()
    }
    return [by_address[sock.getsockname()] for sock in socks]


def test_the_stream_accepted_last_is_kept_regardless_of_read_order(controller):
    first, second = controller.steps.connect(), controller.steps.connect()
    controller.steps.poller.accept()
    older, newer = streams_of(controller, first, second)
    second.sendall(frame(attach(1, "b")))
    handle_events(controller)
    assert controller.handler.streams[1] is newer
    first.sendall(frame(attach(1, "a")))  # the connection accepted first is read last
    handle_events(controller)
    assert controller.handler.streams[1] is newer and not newer.is_closed and older.is_closed
    assert 1 in controller.output.proxies


@pytest.mark.parametrize("ends", ["closed", "reset"])
def test_closing_an_old_stream_does_not_affect_the_new_one_in_another_zone(controller, ends):
    first = controller.steps.connect(frame(attach(1, "a")))
    controller.steps.poller.accept()
    handle_events(controller)
    second = controller.steps.connect(frame(attach(1, "b")))
    controller.steps.poller.accept()
    if ends == "reset":
        first.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
    first.close()
    handle_events(controller)
    handle_events(controller)
    (newer,) = streams_of(controller, second)
    assert controller.handler.streams == {1: newer} and 1 in controller.output.proxies
    opened = [row for row in controller.intervals.pending.proxy_streams if row.is_open]
    assert opened[-1].zone == "b" and controller.intervals.pending.proxy_streams[-1].is_open


def test_a_registration_followed_at_once_by_a_close_opens_and_closes_the_stream(controller):
    sock = controller.steps.connect(frame(attach(1)))
    sock.close()
    controller.steps.poller.accept()
    while controller.steps.poller.connections:
        handle_events(controller)
    assert [row[:2] for row in controller.intervals.pending.proxy_streams] == [(1, True), (1, False)]
    assert not controller.handler.streams and not controller.output.proxies and not controller.steps.poller.connections


def test_an_update_to_a_stream_that_has_just_closed_is_dropped(controller):
    sock = controller.steps.connect(frame(attach(1)))
    controller.steps.poller.accept()
    handle_events(controller)
    controller.steps.poller.close_now(controller.handler.streams[1], "connection failed")
    # The event of the closed stream is still queued.
    sent_before = controller.interval_metrics.updates_sent
    controller.run_interval(time.monotonic() * 1000.0)
    assert controller.interval_metrics.updates_sent > sent_before and controller.output.proxies[1].assignments
    handle_events(controller)
    assert not controller.output.proxies and not controller.handler.streams
    sock.close()


def test_an_internal_error_in_a_reload_keeps_the_current_configuration(controller):
    before = controller.configuration
    controller.reload(lambda: 1 / 0)
    assert controller.configuration is before and controller.watch.address == before.discovery
