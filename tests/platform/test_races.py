"""What comes between two lines: each crossing is forced in a set order over loopback sockets.

A stand-in stops at a chosen byte, or a seam that is passed in waits at a barrier; nothing here goes by luck.
"""

import errno
import json
import os
import resource
import signal
import socket
import subprocess
import sys
import threading
import time

import h11
import platform_peers as live
import pytest
from platform_peers import (
    Client,
    Discovery,
    Endpoint,
    Listening,
    Process,
    Proxy,
    configuration,
    frame,
    settings,
    wait_until,
)

from quillstep.controller.health_checker import HealthChecker, check_endpoint, parse_load_report
from quillstep.net.http import get, next_event, send_request
from quillstep.net.poller import Poller
from quillstep.platform import configuration as platform_configuration
from quillstep.platform.__main__ import Signals
from quillstep.platform.discovery_watch import DIAL_MS, DiscoveryWatch
from quillstep.platform.endpoint_list import address_of, read_list
from quillstep.platform.protocol.codec import MessageCodec
from quillstep.platform.protocol.connections import ConnectionLimits, ConnectionManager
from quillstep.platform.protocol.validation import Known
from quillstep.platform.service import PlatformController

KNOWN = Known(4, frozenset(live.ZONES), {"lookup": 0, "issue": 1}, 1200.0)
LIMITS = ConnectionLimits(64, 64)


def member(name="s", **other):
    told = {"id": name, "host_port": "127.0.0.1:9", "locality": "a", "phase": "ready", "size": 1.0, "up_since_ms": 0}
    return {**told, **other}


def list_line(revision, *members, complete=False):
    return json.dumps({"revision": revision, "complete": complete, "members": list(members)}).encode()


def attach(number, zone="a"):
    return {"t": "attach", "id": number, "site": zone, "rps": 1.0, "new": True}


# the poller, passed by hand so that what came between two passes is known


class Steps:
    """A front whose poller's thread is this one: `step` is a pass over what is ready, in the order of descriptors."""

    def __init__(self, limits=LIMITS):
        self.news = []
        self.front = ConnectionManager(
            "127.0.0.1:0", limits, KNOWN, lambda news, key=None, add=None: self.news.append(news)
        )
        self.poller = self.front.poller
        self.poller.poll.register(self.poller.listener.sock, 1)
        self.open = []

    def dial(self, data=b""):
        host, _, port = self.poller.address.rpartition(":")
        sock = socket.create_connection((host, int(port)), live.WAIT_S)
        self.open.append(sock)
        sock.sendall(data)
        return sock

    def readable(self):
        return {descriptor for descriptor, _ in self.poller.poll.poll(0)}

    def serve_ready(self):
        for descriptor, events in sorted(self.poller.poll.poll(1000 if self.poller.connections else 0)):
            if descriptor in self.poller.connections:
                self.poller.handle_ready(self.poller.connections[descriptor], events)

    def close(self):
        for peer in list(self.poller.connections.values()):
            self.poller.close_now(peer, "the test ends")
        for sock in self.open:
            sock.close()
        self.poller.listener.close()


@pytest.fixture
def steps():
    made = Steps()
    yield made
    made.close()


def test_a_joining_that_waits_to_be_read_is_read_before_its_time_is_over(steps):
    sock = steps.dial()
    steps.poller.accept()
    (peer,) = steps.poller.connections.values()
    peer.accepted_ms -= 2 * LIMITS.handshake_timeout_ms  # the process stood still after its accept
    sock.sendall(frame(attach(1)))
    wait_until(lambda: peer.sock.fileno() in steps.readable(), "the joining's bytes")
    steps.poller.run_maintenance()
    assert not peer.is_closed and [news[0] for news in steps.news] == ["join"]


def test_one_that_says_nothing_in_its_time_is_closed(steps):
    steps.dial()
    steps.poller.accept()
    (peer,) = steps.poller.connections.values()
    peer.accepted_ms -= 2 * LIMITS.handshake_timeout_ms
    steps.poller.run_maintenance()
    assert peer.is_closed and not steps.poller.connections


def test_a_joining_in_pieces_is_not_cut_off_while_descriptors_are_free(tmp_path):
    """As many proxies as descriptors, all dialling at once after a kill; each stops within its joining."""
    path = configuration(tmp_path, "127.0.0.1:1", [], settings=settings(proxies=300))
    pilot = Process(path)
    try:
        address = pilot.said("pilot ready")["address"]
        clients = [Client(address) for _ in range(40)]
        bodies = [frame(attach(number)) for number in range(40)]
        for client, body in zip(clients, bodies, strict=True):
            client.sock.sendall(body[:9])
        for client, body in zip(clients, bodies, strict=True):
            client.sock.sendall(body[9:])
        joined = {pilot.said("proxy joined")["proxy"] for _ in range(40)}
        assert joined == set(range(40))
    finally:
        pilot.stop()


def test_strangers_that_fill_all_room_give_way_to_who_joins():
    steps = Steps(ConnectionLimits(8, 8))
    try:
        for _ in range(8):
            steps.dial()
        steps.poller.accept()
        assert len(steps.poller.connections) == 8
        for number in range(4):
            steps.dial(frame(attach(number)))
            steps.poller.accept()
            steps.serve_ready()
        assert sorted(news[2] for news in steps.news if news[0] == "join") == [0, 1, 2, 3]
        assert len(steps.poller.connections) == 8 and len(steps.poller.unregistered) == 4
    finally:
        steps.close()


def test_a_fault_of_ours_with_one_connection_ends_that_one_alone(steps):
    real = steps.poller.on_event

    def sink(peer, event):
        if event[1].get("id") == 2:
            raise RuntimeError("a handler that fails")
        real(peer, event)

    steps.poller.on_event = sink
    for number in (1, 2, 3):
        steps.dial(frame(attach(number)))
    wait_until(lambda: steps.poller.listener.sock.fileno() in steps.readable(), "connections")
    steps.poller.accept()
    peers = list(steps.poller.connections.values())
    wait_until(lambda: {peer.sock.fileno() for peer in peers} <= steps.readable(), "joinings")
    steps.serve_ready()
    assert [peer.is_closed for peer in peers] == [False, True, False]
    assert [news[2] for news in steps.news] == [1, 3]


@pytest.mark.parametrize("kind", [["attach"], {"t": "done"}, 7, None, True])
def test_a_kind_that_is_no_text_is_dropped_on_a_joined_stream_and_ends_a_stranger(steps, kind):
    joined, stranger = steps.dial(frame(attach(1)) + frame({"t": kind})), steps.dial(frame({"t": kind}))
    steps.poller.accept()
    peers = {peer.sock.getpeername(): peer for peer in steps.poller.connections.values()}
    mine, other = peers[joined.getsockname()], peers[stranger.getsockname()]
    wait_until(lambda: {mine.sock.fileno(), other.sock.fileno()} <= steps.readable(), "their bytes")
    steps.serve_ready()
    steps.poller.update_scheduled()
    assert not mine.is_closed and other.is_closed and sum(steps.front.dropped.values()) == 1


def test_who_only_says_that_it_is_a_collector_ends_none_that_works(steps):
    joining = frame({"t": "telemetry", "site": "a"})
    works = steps.dial(joining)
    steps.poller.accept()
    steps.serve_ready()
    (peer,) = steps.poller.connections.values()
    for _ in range(4):
        steps.dial(joining)
        steps.poller.accept()
        steps.serve_ready()
        steps.poller.update_scheduled()
        works.sendall(frame(live.sums("a", "s0", 5, 0)))
        steps.serve_ready()
    assert not peer.is_closed and len(steps.front.collectors) == 2
    assert [news[0] for news in steps.news] == ["sums"] * 4


def test_without_a_descriptor_left_the_listener_is_left_alone_until_there_is_one(steps):
    """EMFILE keeps the listener readable: the poller would take the whole core."""
    steps.dial(frame(attach(1)))
    steps.poller.accept()
    steps.serve_ready()
    waiting = steps.dial(frame(attach(2)))
    wait_until(lambda: steps.poller.listener.sock.fileno() in steps.readable(), "a connection that waits")
    before = resource.getrlimit(resource.RLIMIT_NOFILE)
    held = []
    resource.setrlimit(resource.RLIMIT_NOFILE, (64 + len(os.listdir("/proc/self/fd")), before[1]))
    try:
        with pytest.raises(OSError) as found:
            while True:
                held.append(os.open("/dev/null", os.O_RDONLY))
        assert found.value.errno == errno.EMFILE
        steps.poller.accept()
        assert steps.poller.listener.sock.fileno() not in steps.readable()
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, before)
        for descriptor in held:
            os.close(descriptor)
    steps.poller.run_maintenance()
    assert steps.poller.listener.sock.fileno() in steps.readable()
    steps.poller.accept()
    assert any(peer.sock.getpeername() == waiting.getsockname() for peer in steps.poller.connections.values())


def test_a_poller_that_has_ended_wakes_nobody_elses_descriptor():
    poller = Poller(
        "127.0.0.1:0", LIMITS, lambda: MessageCodec(4096), lambda *_: None, lambda *_: None, idle_timeout_ms=1e9
    )
    thread = threading.Thread(target=poller.run)
    thread.start()
    poller.stop()
    thread.join(live.WAIT_S)
    pairs = [socket.socketpair() for _ in range(4)]  # these take the numbers that have become free
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


# hand-overs of a proxy between streams


@pytest.fixture
def pilot(tmp_path):
    """A pilot whose deciding thread is this one: `taken` takes what was brought."""
    path = configuration(tmp_path, "127.0.0.1:1", [member("s0"), member("s1", locality="b")])
    told = platform_configuration.read({"BALANCER_CONFIG": str(path)})
    made = PlatformController(told, platform_configuration.pilot_facts(told, str(path)))
    made.take_list(made.first)
    made.steps = Steps()
    made.steps.front.bring = made.bring
    yield made
    made.steps.close()
    made.front.poller.listener.close()


def taken(pilot):
    """One pass of the poller, what it brought, and what follows from that at the poller."""
    pilot.steps.serve_ready()
    for _ in range(2):
        for _, news in pilot.event_queue.drain(1024):
            getattr(pilot, f"take_{news[0]}")(*news[1:])
        pilot.steps.poller.update_scheduled()


def streams_of(pilot, *socks):
    by_name = {peer.sock.getpeername(): peer for peer in pilot.steps.poller.connections.values()}
    return [by_name[sock.getsockname()] for sock in socks]


def test_of_two_streams_of_a_proxy_the_one_that_dialled_later_stands_however_they_are_read(pilot):
    first, second = pilot.steps.dial(), pilot.steps.dial()
    pilot.steps.poller.accept()
    older, newer = streams_of(pilot, first, second)
    second.sendall(frame(attach(1, "b")))
    taken(pilot)
    assert pilot.at[1] is newer
    first.sendall(frame(attach(1, "a")))  # it was sent first, and is read last
    taken(pilot)
    assert pilot.at[1] is newer and not newer.is_closed and older.is_closed
    assert 1 in pilot.orders.proxies


@pytest.mark.parametrize("ends", ["closed", "reset"])
def test_an_old_streams_end_after_the_new_joining_in_another_zone_takes_nothing_away(pilot, ends):
    first = pilot.steps.dial(frame(attach(1, "a")))
    pilot.steps.poller.accept()
    taken(pilot)
    second = pilot.steps.dial(frame(attach(1, "b")))
    pilot.steps.poller.accept()
    if ends == "reset":
        first.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
    first.close()
    taken(pilot)
    taken(pilot)
    (newer,) = streams_of(pilot, second)
    assert pilot.at == {1: newer} and 1 in pilot.orders.proxies
    joins = [row for row in pilot.control_intervals.pending.proxy_streams if row[1]]
    assert joins[-1][2] == "b" and pilot.control_intervals.pending.proxy_streams[-1][1]


def test_a_joining_that_comes_with_its_connections_end_is_a_joining_and_a_leaving(pilot):
    sock = pilot.steps.dial(frame(attach(1)))
    sock.close()
    pilot.steps.poller.accept()
    while pilot.steps.poller.connections:
        taken(pilot)
    assert [row[:2] for row in pilot.control_intervals.pending.proxy_streams] == [(1, True), (1, False)]
    assert not pilot.at and not pilot.orders.proxies and not pilot.steps.poller.connections


def test_an_order_to_a_stream_that_has_just_ended_is_forgotten_with_it(pilot):
    sock = pilot.steps.dial(frame(attach(1)))
    pilot.steps.poller.accept()
    taken(pilot)
    pilot.steps.poller.close_now(pilot.at[1], "it breaks before the round")  # its end waits in the lane
    written = pilot.written
    pilot.round(time.monotonic() * 1000.0)
    assert pilot.written > written and pilot.orders.proxies[1].users  # it counts as told
    taken(pilot)
    assert not pilot.orders.proxies and not pilot.at
    sock.close()


# discovery


class Scripted(Listening):
    """Discovery that answers a watch by `script(sock, since)` and the whole list by `whole`; both are counted."""

    def __init__(self, script, whole=b""):
        self.script, self.whole, self.watches, self.looks = script, whole, [], 0
        super().__init__()

    def answer(self, sock, path):
        if "follow" not in path:
            self.looks += 1
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(self.whole) + self.whole)
            return
        self.watches.append(int(path.partition("since=")[2]))
        sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.script(sock, len(self.watches))

    @staticmethod
    def line(sock, line=b""):
        sock.sendall(b"%x\r\n" % (len(line) + 1) + line + b"\n\r\n")


def watched(script, whole=b"", revision=1, **other):
    found = []
    discovery = Scripted(script, whole)
    watch = DiscoveryWatch(discovery.address, revision, 0.0, lambda news: found.append(news[1]), **other)
    watch.start()
    return discovery, watch, found


def stays(sock, *_):
    """A watch that lives and has nothing to tell."""
    while True:
        Scripted.line(sock)
        time.sleep(0.02)


@pytest.fixture
def brisk(monkeypatch):
    monkeypatch.setattr("quillstep.platform.discovery_watch.LOOK_MS", 20.0)


def test_a_watch_that_lives_but_keeps_news_back_is_found_by_the_whole_list(brisk):
    discovery, watch, found = watched(stays, list_line(7, member("s"), member("t"), complete=True))
    try:
        wait_until(lambda: found, "the list that the watch kept back")
        assert found[0].kind == "complete" and found[0].revision == 7 and watch.revision == 7
        looks = discovery.looks
        wait_until(lambda: discovery.looks > looks + 2, "further looks")
        assert len(found) == 1 and discovery.watches == [1]  # the same list is told once, and the watch stays
    finally:
        discovery.close()


def test_a_spoilt_entry_is_asked_for_again_though_good_lines_follow(brisk):
    def script(sock, _):
        Scripted.line(sock, list_line(2, member("t", phase="odd"), member("u")))
        Scripted.line(sock, list_line(3, member("v")))
        stays(sock)

    discovery, watch, found = watched(script, list_line(3, member("t"), member("u"), member("v"), complete=True))
    try:
        wait_until(lambda: {"t", "u", "v"} <= {name for news in found for name in news.addresses}, "all entries")
        assert watch.revision == watch.seen == 3 and not watch.owed
    finally:
        discovery.close()


def test_a_spoilt_entry_is_owed_over_a_break_and_the_first_line_of_the_next_watch_pays_it():
    def script(sock, time_):
        if time_ == 1:
            Scripted.line(sock, list_line(2, member("t", phase="odd")))
            Scripted.line(sock, list_line(3, member("v")))
            return
        Scripted.line(sock, list_line(3, member("t"), member("v")))
        stays(sock)

    discovery, watch, found = watched(script, whole=b"spoilt, as every look here")
    try:
        wait_until(lambda: any("t" in news.addresses for news in found), "the entry that could not be read")
        assert discovery.watches == [1, 1] and watch.revision == 3 and not watch.owed
    finally:
        discovery.close()


def test_what_the_configuration_knew_only_in_part_is_asked_for_whole():
    discovery, watch, found = watched(stays, revision=9, owed=True)
    try:
        wait_until(lambda: discovery.watches, "a dial")
        assert discovery.watches == [0] and watch.owed
    finally:
        discovery.close()


CASES = [
    ("changes in order", [(2, "t", False), (3, "u", False)], ["t", "u"], 3),
    ("changes that go back", [(5, "t", False), (4, "u", False)], ["t"], 5),
    ("the same revision again", [(5, "t", False), (5, "t", False)], ["t", "t"], 5),
    ("a change that a whole list held", [(5, "t", True), (5, "u", False), (6, "v", False)], ["t", "v"], 6),
    ("a whole list in mid-watch", [(5, "t", False), (6, "u", True)], ["t", "u"], 6),
    ("a whole list with a lower revision", [(5, "t", False), (2, "u", True), (3, "v", False)], ["t", "u", "v"], 3),
]


@pytest.mark.parametrize(("lines", "told", "revision"), [case[1:] for case in CASES], ids=[case[0] for case in CASES])
def test_lines_of_a_watch_in_each_order(lines, told, revision):
    found = []
    watch = DiscoveryWatch("127.0.0.1:1", 1, 0.0, lambda news: found.append(news[1]))
    for at, (number, name, complete) in enumerate(lines):
        watch.take(list_line(number, member(name), complete=complete), first=not at)
    assert [next(iter(news.addresses)) for news in found] == told and watch.revision == watch.seen == revision


def test_a_whole_list_with_a_spoilt_entry_and_a_lower_revision_is_no_change_that_goes_back():
    found = []
    watch = DiscoveryWatch("127.0.0.1:1", 9, 0.0, lambda news: found.append(news[1]))
    watch.take(list_line(2, member("s"), member("t", size="x"), complete=True))
    watch.take(list_line(3, member("u")))
    assert [sorted(news.addresses) for news in found] == [["s"], ["u"]] and watch.seen == 3 and watch.owed


def test_a_whole_list_by_other_numbers_forgets_what_an_earlier_one_held():
    found = []
    watch = DiscoveryWatch("127.0.0.1:1", 1, 0.0, lambda news: found.append(news[1]))
    for line in (list_line(7, member("s"), complete=True), list_line(2, member("t", size="x"), complete=True)):
        watch.take(line)
    watch.take(list_line(7, member("u")))
    assert "u" in found[-1].addresses


def test_a_watch_that_ends_after_each_line_is_not_dialled_without_a_pause(monkeypatch):
    monkeypatch.setattr("quillstep.platform.discovery_watch.AGAIN_MS", 200.0)
    begun = time.monotonic()
    discovery, watch, found = watched(lambda sock, _: Scripted.line(sock, list_line(2, member("t"))))
    try:
        wait_until(lambda: watch.dials >= 4, "further dials")
        assert time.monotonic() - begun >= 3 * 0.2 and found
    finally:
        discovery.close()


def test_who_moves_a_watch_does_not_wait_for_its_pause(monkeypatch):
    monkeypatch.setattr("quillstep.platform.discovery_watch.AGAIN_MS", 1e6)
    discovery, watch, found = watched(lambda sock, _: Scripted.line(sock, list_line(2, member("t"))))
    try:
        wait_until(lambda: found and watch.state != "follows", "a line and the end")
        watch.move("127.0.0.1:1")
        wait_until(lambda: watch.dials == 2, "a dial at the new address")
        assert discovery.watches == [1]
    finally:
        discovery.close()


def test_a_fault_of_ours_with_a_line_costs_that_watch_and_not_the_thread(monkeypatch):
    monkeypatch.setattr("quillstep.platform.discovery_watch.AGAIN_MS", 1.0)
    failed = []

    def put(news):
        if not failed:
            failed.append(news)
            raise RuntimeError("a taker that fails")
        failed.append(news)

    discovery = Scripted(lambda sock, _: (Scripted.line(sock, list_line(2, member("t"))), stays(sock)))
    watch = DiscoveryWatch(discovery.address, 1, 0.0, put)
    watch.start()
    try:
        wait_until(lambda: len(failed) == 2, "the line again on the next watch")
    finally:
        discovery.close()


@pytest.mark.parametrize("hangs", ["dial", "answer"])
def test_a_move_while_a_dial_or_an_answer_hangs_is_followed_within_the_dials_time(hangs):
    """Two moves in a row and the same address again, while the old address says nothing."""
    with socket.socket() as old:
        old.bind(("127.0.0.1", 0))
        old.listen(0)
        fills = [socket.socket() for _ in range(3)] if hangs == "dial" else []
        for sock in fills:  # until its queue is full no connection hangs
            sock.setblocking(False)
            sock.connect_ex(old.getsockname())
        discovery, found = Discovery(), []
        watch = DiscoveryWatch(f"127.0.0.1:{old.getsockname()[1]}", 1, 0.0, found.append)
        watch.start()
        try:
            wait_until(lambda: watch.dials and (hangs == "dial" or watch.sock), "a dial that hangs")
            begun = time.monotonic()
            for address in ("127.0.0.1:1", discovery.address, discovery.address):
                watch.move(address)
            wait_until(lambda: discovery.asked, "a dial at the newest address")
            assert time.monotonic() - begun < 2 * DIAL_MS / 1000.0
            discovery.tell(member("t"))
            wait_until(lambda: found, "news from there")
        finally:
            discovery.close()
            for sock in fills:
                sock.close()


# deadlines


class Dripping(Listening):
    """Sends interim answers one after the other, each a whole event, for much longer than anybody's deadline."""

    def answer(self, sock, path):
        until = time.monotonic() + 2.0
        while time.monotonic() < until:
            sock.sendall(b"HTTP/1.1 102 Processing\r\n\r\n")


def test_bytes_that_drip_keep_nobody_beyond_the_deadline():
    endpoint = Dripping()
    try:
        with pytest.raises(TimeoutError):
            get(address_of(endpoint.address), "/health", time.monotonic() + 0.2, 1000)
        assert check_endpoint(*address_of(endpoint.address), 50.0) == (False, {})
    finally:
        endpoint.close()


def test_what_waits_to_be_read_is_not_read_after_the_deadline():
    ours, theirs = socket.socketpair()
    with ours, theirs:
        http = h11.Connection(h11.CLIENT)
        send_request(ours, http, "x", "/health", time.monotonic() + live.WAIT_S)
        theirs.sendall(b"HTTP/1.1 200 OK\r\n\r\n")
        with pytest.raises(TimeoutError):
            next_event(ours, http, time.monotonic() - 0.001)


# probes


def test_an_endpoint_answered_before_ask_returns_is_asked_again():
    found, answered = [], threading.Event()
    endpoint = Endpoint("s", "a")

    def put(news):
        found.append(news)
        answered.set()

    prober = HealthChecker(1, 1000.0, put)
    real = prober.requests.put_nowait

    def put_and_wait(item):
        """The thread finishes between the two lines of `ask`."""
        real(item)
        assert answered.wait(live.WAIT_S)
        wait_until(lambda: "s" not in prober.in_progress or len(found) > 1, "the thread's end with it", 0.5)

    prober.requests.put_nowait = put_and_wait
    try:
        prober.request("s", *address_of(endpoint.address))
        assert "s" not in prober.in_progress
        answered.clear()
        prober.request("s", *address_of(endpoint.address))
        assert [news.is_healthy for news in found] == [True, True]
    finally:
        endpoint.close()


class Body(Listening):
    """Answers with one body."""

    def __init__(self, body):
        self.body = body
        super().__init__()

    def answer(self, sock, path):
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(self.body) + self.body)


SPOILT_LOADS = [
    "JSON 5", "JSON []", 'JSON {"named_metrics": 5}', 'JSON {"named_metrics": [1]}', "JSON " + "[" * 3000,
    'JSON {"util": 1' + "0" * 400 + "}", "TEXT util=", "TEXT util=nan", "TEXT util=1e999", "TEXT " + "," * 5000,
    "\xff\x00", "BIN !!",
]  # fmt: skip


@pytest.mark.parametrize("text", SPOILT_LOADS, ids=range(len(SPOILT_LOADS)))
def test_a_load_report_that_cannot_be_read_is_an_answer_without_one(text):
    assert parse_load_report(text) == {}


def test_answers_of_any_kind_cost_no_prober_thread(monkeypatch):
    """One thread; each endpoint answers something else that can't be read, and a fault of ours comes between."""
    endpoints = [Body(text.encode("latin-1")) for text in SPOILT_LOADS]
    good, found = Endpoint("s", "a"), []
    prober = HealthChecker(1, 1000.0, found.append, "/status/load")
    try:
        for at, endpoint in enumerate(endpoints):
            prober.request(at, *address_of(endpoint.address))
        prober.request("a name that can't be", "a..b", 80)
        monkeypatch.setattr("quillstep.controller.health_checker.parse_load_report", lambda text: 1 / 0)
        prober.request("a fault of ours", *address_of(good.address))
        wait_until(lambda: len(found) == len(endpoints) + 2, "an answer for each")
        monkeypatch.undo()
        prober.request("s", *address_of(good.address))
        wait_until(lambda: len(found) == len(endpoints) + 3, "a good answer after them")
        assert found[-1][1:] == (True, found[-1].duration_ms, {"inflight": 3.0, "util": 0.4}) and not prober.in_progress
    finally:
        for endpoint in [*endpoints, good]:
            endpoint.close()


# lists and configurations of other customers


@pytest.mark.parametrize(
    "other",
    [
        {"host_port": "10.1.0.1:99999"}, {"host_port": "a..b:80"}, {"host_port": "endpoint-1:80"},
        {"host_port": "10.1.0:80"}, {"host_port": "10.1.0.1:\u0661"}, {"host_port": "10.1.0.1:80\n"},
        {"host_port": "x" * 100000 + ":1"}, {"size": 10**400}, {"up_since_ms": 10**400}, {"size": True},
    ],
    ids=range(10),
)  # fmt: skip
def test_an_entry_that_could_not_be_dialled_or_counted_is_spoilt(other):
    told = {"revision": 1, "complete": True, "members": [member("s"), member("t", **other)]}
    news = read_list(told, 0.0)
    assert list(news.addresses) == ["s"] and len(news.spoilt) == 1


@pytest.mark.parametrize("revision", [10**5000, -1, True, 1.0], ids=["huge", "below 0", "bool", "float"])
def test_a_revision_that_could_not_be_asked_for_is_no_list(revision):
    with pytest.raises(Exception, match="revision"):
        read_list({"revision": revision, "complete": True, "members": []}, 0.0)


def nested(depth):
    told = 1
    for _ in range(depth):
        told = {"a": told}
    return told


LANE = live.LANES[0]
BAD = {
    "a port that can't be": ({"discovery": "127.0.0.1:99999"}, "$.discovery"),
    "a host that is no address": ({"discovery": "a..b:80"}, "$.discovery"),
    "a name where there is no DNS": ({"discovery": "discovery:80"}, "$.discovery"),
    "an address and a line's end": ({"listen": "127.0.0.1:80\n"}, "$.listen"),
    "classes by number": ({"settings": {**settings(), "lanes": {"count": 10**9}}}, "$.settings.lanes"),
    "a class without a name": ({"settings": {**settings(), "lanes": [{**LANE, "name": None}]}}, "$.settings.lanes"),
    "two classes of one name": ({"settings": {**settings(), "lanes": [LANE, LANE]}}, "$.settings.lanes"),
    "a class that is no object": ({"settings": {**settings(), "lanes": [5]}}, "$.settings.lanes"),
    "zones of another type": ({"settings": {**settings(), "zones": [1]}}, "$.settings.zones"),
    "fewer than no proxies": ({"settings": settings(proxies=-4)}, "dataPlaneSize"),
    "nesting beyond sense": ({"settings": {**settings(), "x": nested(800)}}, "$.settings"),
}


@pytest.mark.parametrize("what", sorted(BAD))
def test_a_configuration_that_cannot_be_used_is_told_in_one_sentence(tmp_path, what):
    change, at = BAD[what]
    path = configuration(tmp_path, **{"discovery": "127.0.0.1:1", "members": [], **change})
    with pytest.raises(platform_configuration.ConfigurationError) as found:
        platform_configuration.pilot_facts(platform_configuration.read({"BALANCER_CONFIG": str(path)}), str(path))
    assert at in str(found.value) and str(path) in str(found.value) and "\n" not in str(found.value)


def test_names_with_commas_dots_and_spaces_and_times_with_fractions_are_as_the_file_has_them(tmp_path):
    lanes = [{**LANE, "name": "pay, final", "aim": 400000.5}, {**LANE, "name": "v.2"}]
    zones = ["port, north", "v.2 south", "c"]
    path = configuration(tmp_path, "127.0.0.1:1", [], settings={**settings(), "lanes": lanes, "zones": zones})
    facts = platform_configuration.pilot_facts(platform_configuration.read({"BALANCER_CONFIG": str(path)}), str(path))
    assert facts.known.zones == set(zones) and facts.start.zones == zones
    assert facts.classes == ["pay, final", "v.2"] and facts.start.classes[0].latency_objective_ms == 400.0005


def test_a_proxy_of_a_zone_whose_name_holds_a_comma_is_served(tmp_path):
    """Played: two of five pilots took no proxy in, and their drains came to nobody."""
    endpoint = Endpoint("s0", "port, north")
    discovery = Discovery([endpoint.entry()])
    told = {**settings(), "zones": ["port, north", "b"]}
    pilot = Process(configuration(tmp_path, discovery.address, discovery.members, settings=told))
    try:
        proxy = Proxy(pilot.said("pilot ready")["address"], 0, "port, north")
        wait_until(lambda: proxy.usable("issue") == ["s0"], "the calendar")
    finally:
        pilot.stop()
        discovery.close()
        endpoint.close()


# signals and ends


@pytest.fixture
def running(tmp_path):
    with live.served(tmp_path, 3) as pilot:
        yield pilot


@pytest.mark.parametrize("what", ["a port that can't be", "nesting beyond sense", "two classes of one name"])
def test_a_reload_that_cannot_be_used_leaves_the_old_configuration_in_force(running, what):
    proxy = Proxy(running.address, 0)
    wait_until(lambda: len(proxy.usable()) == 3, "the calendar")
    configuration(running.path.parent, **{
        "discovery": running.discovery.address, "members": running.discovery.members, **BAD[what][0],
    })  # fmt: skip
    running.process.send_signal(signal.SIGHUP)
    assert BAD[what][1] in running.said("configuration kept")["reason"]
    running.discovery.tell(running.endpoints["s0"].entry("draining"))
    wait_until(lambda: "s0" not in proxy.usable(), "the drain over the old watch")


def test_a_fault_of_ours_with_a_new_configuration_leaves_the_old_one_in_force(pilot):
    before = pilot.record
    pilot.reload(lambda: 1 / 0)
    assert pilot.record is before and pilot.watch.address == before.discovery


def test_a_drain_at_the_new_address_before_its_first_whole_list_reaches_the_proxies(running):
    proxy = Proxy(running.address, 0)
    wait_until(lambda: len(proxy.usable()) == 3, "the calendar")
    other = Discovery(running.discovery.members)
    other.tell(running.endpoints["s1"].entry("draining"))  # all that it tells is the change after what is known
    try:
        configuration(running.path.parent, other.address, running.discovery.members)
        running.process.send_signal(signal.SIGHUP)
        wait_until(lambda: "s1" not in proxy.usable(), "the drain")
        assert other.asked[0].endswith("since=1")
    finally:
        other.close()


def test_signals_between_any_two_lines_of_a_start_are_all_kept():
    class Pilot:
        stops = reloads = False

    for number, wanted in ((signal.SIGTERM, "stops"), (signal.SIGHUP, "reloads")):
        for handed_over in (False, True):
            signals, pilot = Signals(), Pilot()
            if handed_over:
                signals.hand_over(pilot)
            signals.take(number, None)
            if not handed_over:
                signals.hand_over(pilot)
            assert getattr(pilot, wanted)
    signals.take(signal.SIGTERM, None)
    assert pilot.stops and pilot.reloads  # neither undoes the other


def test_a_hangup_while_modules_are_imported_does_not_end_the_process(tmp_path):
    """The first import after the handlers waits for this test to send the signal."""
    path = configuration(tmp_path, "127.0.0.1:1", [])
    gate = tmp_path / "gate"
    os.mkfifo(gate)
    seam = tmp_path / "sitecustomize.py"
    seam.write_text(
        "import sys\n"
        "class Gate:\n"
        "    def find_spec(self, name, path=None, target=None):\n"
        "        if name == 'structlog':\n"
        f"            sys.meta_path.remove(self); open({str(gate)!r}).read()\n"
        "sys.meta_path.insert(0, Gate())\n"
    )
    environment = {**os.environ, "BALANCER_CONFIG": str(path), "PYTHONPATH": f"{tmp_path}{os.pathsep}{os.getcwd()}"}
    process = subprocess.Popen(
        [sys.executable, "-m", "quillstep.platform"], stderr=subprocess.PIPE, text=True, env=environment,
        preexec_fn=live.dies_with_parent,
    )  # fmt: skip
    try:
        with open(gate, "w"):  # it waits at its first import
            process.send_signal(signal.SIGHUP)
            wait_until(lambda: pending_is_delivered(process.pid), "the signal's delivery")
        assert any("pilot ready" in line for line in process.stderr)
        process.send_signal(signal.SIGTERM)
        assert process.wait(live.WAIT_S) == 0
    finally:
        process.kill()
        process.wait(live.WAIT_S)
        process.stderr.close()


def pending_is_delivered(pid):
    with open(f"/proc/{pid}/status", encoding="ascii") as status:
        return all(int(line.split()[1], 16) == 0 for line in status if line.startswith(("SigPnd", "ShdPnd")))


@pytest.mark.parametrize("thread", ["poller", "watch", "deciding"])
def test_a_thread_that_cannot_go_on_ends_the_process_with_its_traceback(tmp_path, thread):
    """The seam raises where nothing of a peer's is at hand: what could be served afterwards is served by nobody."""
    path = configuration(tmp_path, "127.0.0.1:1", [])
    seams = {
        "poller": "import quillstep.net.poller as at; at.Poller.run_maintenance = lambda self: 1 / 0",
        "watch": (
            "import quillstep.platform.discovery_watch as at; at.AGAIN_MS = None; "
            "at.DiscoveryWatch.follow = lambda *_: None"
        ),
        "deciding": "import quillstep.platform.service as at; at.PlatformController.turn = lambda self: 1 / 0",
    }
    code = f"{seams[thread]}; import sys; from quillstep.platform.__main__ import main; sys.exit(main())"
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, timeout=live.WAIT_S,
        env={**os.environ, "BALANCER_CONFIG": str(path)},
    )  # fmt: skip
    assert done.returncode == 70 and "Traceback" in done.stderr and "fault of ours" in done.stderr


def test_who_dials_between_sigterm_and_the_end_is_ended_at_once(running):
    proxy = Proxy(running.address, 0)
    wait_until(lambda: len(proxy.usable()) == 3, "the calendar")
    running.process.send_signal(signal.SIGTERM)
    begun, refused = time.monotonic(), False
    while not refused:
        try:
            assert Client(running.address).ended()
        except OSError:
            refused = True
    assert running.process.wait(live.WAIT_S) == 0 and proxy.ended() and time.monotonic() - begun < live.WAIT_S / 4
