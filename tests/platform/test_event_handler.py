"""How a proxy passes from one stream to the next, whichever event is handled first."""

import socket
import time

import pytest
from platform_peers import frame, write_configuration
from platform_stepping import SteppedConnections, attach, member

from quillstep.platform.configuration import controller_config, read_configuration
from quillstep.platform.service import PlatformController


@pytest.fixture
def controller(tmp_path):
    """A controller whose deciding thread is this one; see `handle_events`."""
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
    """Run one pass of the poller, the handling of its events, and what follows from that at the poller."""
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


def test_of_two_streams_of_a_proxy_the_later_accepted_stands_in_whichever_order_they_are_read(controller):
    first, second = controller.steps.connect(), controller.steps.connect()
    controller.steps.poller.accept()
    older, newer = streams_of(controller, first, second)
    second.sendall(frame(attach(1, "b")))
    handle_events(controller)
    assert controller.handler.streams[1] is newer
    first.sendall(frame(attach(1, "a")))  # it was sent first, and is read last
    handle_events(controller)
    assert controller.handler.streams[1] is newer and not newer.is_closed and older.is_closed
    assert 1 in controller.output.proxies


@pytest.mark.parametrize("ends", ["closed", "reset"])
def test_the_end_of_an_old_stream_takes_nothing_from_the_new_one_in_another_zone(controller, ends):
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


def test_a_registration_that_arrives_with_its_connections_end_opens_and_ends_the_stream(controller):
    sock = controller.steps.connect(frame(attach(1)))
    sock.close()
    controller.steps.poller.accept()
    while controller.steps.poller.connections:
        handle_events(controller)
    assert [row[:2] for row in controller.intervals.pending.proxy_streams] == [(1, True), (1, False)]
    assert not controller.handler.streams and not controller.output.proxies and not controller.steps.poller.connections


def test_an_update_to_a_stream_that_has_just_ended_is_dropped_with_it(controller):
    sock = controller.steps.connect(frame(attach(1)))
    controller.steps.poller.accept()
    handle_events(controller)
    controller.steps.poller.close_now(controller.handler.streams[1], "it broke")
    # The end of the stream waits in the queue.
    sent_before = controller.figures.updates_sent
    controller.run_interval(time.monotonic() * 1000.0)
    assert controller.figures.updates_sent > sent_before and controller.output.proxies[1].assignments
    handle_events(controller)
    assert not controller.output.proxies and not controller.handler.streams
    sock.close()


def test_an_internal_error_with_a_new_configuration_leaves_the_old_one_in_force(controller):
    before = controller.configuration
    controller.reload(lambda: 1 / 0)
    assert controller.configuration is before and controller.watch.address == before.discovery
