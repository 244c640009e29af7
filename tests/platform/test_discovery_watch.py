"""The discovery watch: published lists, resume revisions, and faulty servers."""

import json
import socket
import time

import pytest
from platform_peers import Discovery, LoopbackServer, wait_until
from platform_stepping import list_line, member

from quillstep.platform.discovery_watch import CONNECT_TIMEOUT_MS, MAX_LINE_BYTES, DiscoveryWatch, LineSplitter
from quillstep.platform.endpoint_list import MalformedListError


def test_outdated_changes_are_dropped_and_lines_are_bounded():
    published = []
    watch = DiscoveryWatch("127.0.0.1:1", 5, published.append)
    for revision, complete in ((4, False), (6, False), (2, True)):
        watch.handle_line(json.dumps({"revision": revision, "complete": complete, "members": [member()]}).encode())
    assert [update.revision for update in published] == [6, 2] and watch.tracker.resume_revision == 2
    splitter = LineSplitter()
    assert splitter.feed(b"a\nb") == [b"a"] and splitter.feed(b"c\n") == [b"bc"]
    with pytest.raises(MalformedListError):
        splitter.feed(b"x" * (MAX_LINE_BYTES + 1))


def test_a_reconnected_watch_resumes_from_its_revision(monkeypatch):
    monkeypatch.setattr("quillstep.platform.discovery_watch.IDLE_TIMEOUT_MS", 1200.0)
    first, second, published = Discovery(), Discovery(), []
    watch = DiscoveryWatch(first.address, 1, published.append)
    watch.start()
    try:
        wait_until(lambda: first.watch_requests, "a first connection")
        first.publish(member("s"))
        wait_until(lambda: len(published) == 1, "the update")
        first.is_silent = True
        wait_until(lambda: len(first.watch_requests) > 1, "a connection after the idle timeout")
        assert first.watch_requests[1].endswith("since=2")
        watch.set_address(second.address)
        wait_until(lambda: second.watch_requests, "a connection to the new address")
        assert second.watch_requests[0].endswith("since=2")
        second.revision = first.revision  # revisions belong to the list and are the same at every server
        second.publish(member("t"))
        second.send_line(b"{malformed")
        wait_until(
            lambda: len(published) == 2 and len(second.watch_requests) > 1,
            "a connection after a malformed line",
        )
    finally:
        first.close()
        second.close()


class ScriptedDiscovery(LoopbackServer):
    """Runs `script(sock, n)` for the nth watch and answers refreshes with `complete_list`; records both."""

    def __init__(self, script, complete_list=b""):
        self.script, self.complete_list, self.resumed_from, self.refreshes = script, complete_list, [], 0
        super().__init__()

    def answer(self, sock, path):
        if "follow" not in path:
            self.refreshes += 1
            sock.sendall(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(self.complete_list) + self.complete_list
            )
            return
        self.resumed_from.append(int(path.partition("since=")[2]))
        sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.script(sock, len(self.resumed_from))

    @staticmethod
    def send_line(sock, line=b""):
        sock.sendall(b"%x\r\n" % (len(line) + 1) + line + b"\n\r\n")


def start_watch(script, complete_list=b"", revision=1, **other):
    published = []
    discovery = ScriptedDiscovery(script, complete_list)
    watch = DiscoveryWatch(discovery.address, revision, published.append, **other)
    watch.start()
    return discovery, watch, published


def stay_open(sock, *_):
    """Send keep-alives and no updates."""
    while True:
        ScriptedDiscovery.send_line(sock)
        time.sleep(0.02)


@pytest.fixture
def frequent_refreshes(monkeypatch):
    monkeypatch.setattr("quillstep.platform.discovery_watch.MIN_REFRESH_INTERVAL_MS", 20.0)


def test_a_refresh_publishes_updates_that_the_watch_withholds(frequent_refreshes):
    discovery, watch, published = start_watch(stay_open, list_line(7, member("s"), member("t"), complete=True))
    try:
        wait_until(lambda: published, "the list that the watch withheld")
        assert published[0].kind == "complete" and published[0].revision == 7 and watch.tracker.resume_revision == 7
        refreshes = discovery.refreshes
        wait_until(lambda: discovery.refreshes > refreshes + 2, "further refreshes")
        # The same list is published once, and the watch stays open.
        assert len(published) == 1 and discovery.resumed_from == [1]
    finally:
        discovery.close()


def test_a_rejected_entry_is_refreshed_even_if_valid_lines_follow(frequent_refreshes):
    def script(sock, _):
        ScriptedDiscovery.send_line(sock, list_line(2, member("t", phase="odd"), member("u")))
        ScriptedDiscovery.send_line(sock, list_line(3, member("v")))
        stay_open(sock)

    discovery, watch, published = start_watch(
        script, list_line(3, member("t"), member("u"), member("v"), complete=True)
    )
    try:
        wait_until(
            lambda: {"t", "u", "v"} <= {name for update in published for name in update.addresses}, "all entries"
        )
        assert (
            watch.tracker.resume_revision == watch.tracker.newest_revision == 3
            and not watch.tracker.has_missing_entries
        )
    finally:
        discovery.close()


def test_a_missing_entry_is_resolved_by_the_first_list_of_the_next_watch():
    def script(sock, number):
        if number == 1:
            ScriptedDiscovery.send_line(sock, list_line(2, member("t", phase="odd")))
            ScriptedDiscovery.send_line(sock, list_line(3, member("v")))
            return
        ScriptedDiscovery.send_line(sock, list_line(3, member("t"), member("v")))
        stay_open(sock)

    discovery, watch, published = start_watch(script, complete_list=b"malformed list")
    try:
        wait_until(lambda: any("t" in update.addresses for update in published), "the entry that was rejected before")
        assert (
            discovery.resumed_from == [1, 1]
            and watch.tracker.resume_revision == 3
            and not watch.tracker.has_missing_entries
        )
    finally:
        discovery.close()


def test_a_watch_starts_from_revision_0_if_the_known_list_has_missing_entries():
    discovery, watch, published = start_watch(stay_open, revision=9, has_missing_entries=True)
    try:
        wait_until(lambda: discovery.resumed_from, "a connection")
        assert discovery.resumed_from == [0] and watch.tracker.has_missing_entries
    finally:
        discovery.close()


CASES = [
    ("changes in order", [(2, "t", False), (3, "u", False)], ["t", "u"], 3),
    ("older changes", [(5, "t", False), (4, "u", False)], ["t"], 5),
    ("the same revision again", [(5, "t", False), (5, "t", False)], ["t", "t"], 5),
    ("a change already in a complete list", [(5, "t", True), (5, "u", False), (6, "v", False)], ["t", "v"], 6),
    ("a complete list during a watch", [(5, "t", False), (6, "u", True)], ["t", "u"], 6),
    ("a complete list with a lower revision", [(5, "t", False), (2, "u", True), (3, "v", False)], ["t", "u", "v"], 3),
]


@pytest.mark.parametrize(("lines", "names", "revision"), [case[1:] for case in CASES], ids=[case[0] for case in CASES])
def test_published_lists_by_order_of_revisions(lines, names, revision):
    published = []
    watch = DiscoveryWatch("127.0.0.1:1", 1, published.append)
    for index, (number, name, complete) in enumerate(lines):
        watch.handle_line(list_line(number, member(name), complete=complete), is_first=not index)
    assert [
        next(iter(update.addresses)) for update in published
    ] == names and watch.tracker.resume_revision == watch.tracker.newest_revision == revision


def test_a_complete_list_with_a_rejected_entry_and_a_lower_revision_is_published():
    published = []
    watch = DiscoveryWatch("127.0.0.1:1", 9, published.append)
    watch.handle_line(list_line(2, member("s"), member("t", size="x"), complete=True))
    watch.handle_line(list_line(3, member("u")))
    assert (
        [sorted(update.addresses) for update in published] == [["s"], ["u"]]
        and watch.tracker.newest_revision == 3
        and watch.tracker.has_missing_entries
    )


def test_a_complete_list_with_lower_revisions_replaces_the_earlier_complete_revision():
    published = []
    watch = DiscoveryWatch("127.0.0.1:1", 1, published.append)
    for line in (list_line(7, member("s"), complete=True), list_line(2, member("t", size="x"), complete=True)):
        watch.handle_line(line)
    watch.handle_line(list_line(7, member("u")))
    assert "u" in published[-1].addresses


def test_reconnects_are_rate_limited(monkeypatch):
    monkeypatch.setattr("quillstep.platform.discovery_watch.MIN_RECONNECT_INTERVAL_MS", 200.0)
    started_s = time.monotonic()
    discovery, watch, published = start_watch(
        lambda sock, _: ScriptedDiscovery.send_line(sock, list_line(2, member("t")))
    )
    try:
        wait_until(lambda: watch.connects >= 4, "further connections")
        assert time.monotonic() - started_s >= 3 * 0.2 and published
    finally:
        discovery.close()


def test_an_address_change_takes_effect_before_the_reconnect_interval_ends(monkeypatch):
    monkeypatch.setattr("quillstep.platform.discovery_watch.MIN_RECONNECT_INTERVAL_MS", 1e6)
    discovery, watch, published = start_watch(
        lambda sock, _: ScriptedDiscovery.send_line(sock, list_line(2, member("t")))
    )
    try:
        wait_until(lambda: published and watch.state != "watching", "a line and the end of the watch")
        watch.set_address("127.0.0.1:1")
        wait_until(lambda: watch.connects == 2, "a connection at the new address")
        assert discovery.resumed_from == [1]
    finally:
        discovery.close()


def test_an_internal_error_ends_the_watch_but_not_its_thread(monkeypatch):
    monkeypatch.setattr("quillstep.platform.discovery_watch.MIN_RECONNECT_INTERVAL_MS", 1.0)
    received = []

    def publish(update):
        if not received:
            received.append(update)
            raise RuntimeError("injected consumer error")
        received.append(update)

    discovery = ScriptedDiscovery(
        lambda sock, _: (ScriptedDiscovery.send_line(sock, list_line(2, member("t"))), stay_open(sock))
    )
    watch = DiscoveryWatch(discovery.address, 1, publish)
    watch.start()
    try:
        wait_until(lambda: len(received) == 2, "the same line on the next watch")
    finally:
        discovery.close()


@pytest.mark.parametrize("hangs", ["connect", "response"])
def test_an_address_change_takes_effect_within_the_connect_timeout_while_a_server_hangs(hangs):
    """The address changes twice and is then set to the same value, while the old server does not respond."""
    with socket.socket() as old:
        old.bind(("127.0.0.1", 0))
        old.listen(0)
        queue_fillers = [socket.socket() for _ in range(3)] if hangs == "connect" else []
        for sock in queue_fillers:  # a connection hangs only once the listen queue is full
            sock.setblocking(False)
            sock.connect_ex(old.getsockname())
        discovery, published = Discovery(), []
        watch = DiscoveryWatch(f"127.0.0.1:{old.getsockname()[1]}", 1, published.append)
        watch.start()
        try:
            wait_until(lambda: watch.connects and (hangs == "connect" or watch.sock), "a connection that hangs")
            started_s = time.monotonic()
            for address in ("127.0.0.1:1", discovery.address, discovery.address):
                watch.set_address(address)
            wait_until(lambda: discovery.watch_requests, "a connection at the newest address")
            assert time.monotonic() - started_s < 2 * CONNECT_TIMEOUT_MS / 1000.0
            discovery.publish(member("t"))
            wait_until(lambda: published, "an update from the new address")
        finally:
            discovery.close()
            for sock in queue_fillers:
                sock.close()
