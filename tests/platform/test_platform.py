"""The live pilot: the platform's frames, its lists, its configuration, its orders; met by stand-ins over loopback."""

import json
import os
import random
import signal
import subprocess
import sys
import threading
import time

import platform_peers as live
import pytest
from platform_peers import Client, Discovery, Endpoint, Proxy, configuration, frame, settings, sums, wait_until

from quillstep.controller.event_queue import EventQueue
from quillstep.planner.messages import DownstreamStats, UpstreamStats
from quillstep.platform import configuration as platform_configuration
from quillstep.platform.discovery_watch import LINE_MOST, DiscoveryWatch, Lines
from quillstep.platform.endpoint_list import MalformedListError, read_list
from quillstep.platform.protocol import validation
from quillstep.platform.protocol.codec import MessageCodec
from quillstep.platform.protocol.connections import ConnectionLimits, add_arrivals, add_sums
from quillstep.platform.protocol.updates import ProtocolOutput
from quillstep.platform.service import PlatformController, limits_of
from quillstep.simulator.decode import parse_line, start_config

KNOWN = validation.Known(4, frozenset("ab"), {"lookup": 0, "issue": 1}, 1200.0)

# the codec


@pytest.mark.parametrize("size", [1, 3, 7, 1000])
def test_frames_come_whole_however_their_bytes_are_cut(size):
    codec = MessageCodec(4096)
    data = b"".join(frame({"t": "hb", "n": number, "text": "ü" * number}) for number in range(20))
    found = [event for at in range(0, len(data), size) for event in codec.receive(data[at : at + size])]
    assert [what["n"] for _, what in found] == list(range(20)) and not codec.buffer


@pytest.mark.parametrize(
    ("data", "started"),
    [
        (b"GET / HTTP/1.1\r\n", False), (b"\x00\x00\x00\x00", False), (b"\xff\xff\xff\xff", True),
        ((2**20 + 1).to_bytes(4, "big"), True), ((5000).to_bytes(4, "big"), False), (frame(b"[1]"), True),
        (frame(b"{nonsense}"), True), (frame(b'{"a":NaN}'), True), (frame(b"{" * 4000), True),
        (frame(b"\xff\xfe"), True),
    ],
)  # fmt: skip
def test_what_cannot_be_read_breaks_the_connection_after_what_could(data, started):
    codec = MessageCodec(4096)
    codec.is_registered = started
    events = codec.receive(frame({"t": "hb"}) + data) if started else codec.receive(data)
    assert [kind for kind, _ in events] == (["message", "broken"] if started else ["broken"])
    assert codec.receive(frame({"t": "hb"})) == []


def test_a_length_is_judged_before_its_body_is_held():
    codec = MessageCodec(4096)
    codec.is_registered = True
    codec.receive((2**20).to_bytes(4, "big"))
    assert codec.receive(b"x")[0][0] == "broken" and not codec.buffer


# what may stand in a message

GOOD = {
    "attach": {"id": 3, "site": "a", "rps": 21.5, "new": True},
    "done": {"id": 3, "seq": 905, "ms": 310.4},
    "upstream_stats": {
        "site": "a", "target": "s", "count": 9, "fail": 3, "mean": 4.5, "over": 1000.0, "util": {"util": 0.6},
    },
    "client_stats": {"id": 3, "lane": "lookup", "count": 19, "fail": 0, "over": 1000.0},
}  # fmt: skip
READS = {
    "attach": validation.joining,
    "done": validation.receipt,
    "upstream_stats": validation.sums,
    "client_stats": validation.usage,
}


@pytest.mark.parametrize("kind", sorted(GOOD))
def test_a_good_message_is_read_and_one_without_a_field_is_not(kind):
    READS[kind](GOOD[kind], KNOWN)
    for name in GOOD[kind].keys() - {"util"}:
        with pytest.raises(validation.InvalidMessageError, match=name):
            READS[kind]({key: value for key, value in GOOD[kind].items() if key != name}, KNOWN)


@pytest.mark.parametrize(
    ("kind", "name", "value"),
    [
        ("attach", "id", 4), ("attach", "id", -1), ("attach", "id", True), ("attach", "id", 1.0),
        ("attach", "site", "c"), ("attach", "rps", -1.0), ("attach", "new", 1),
        ("done", "seq", 65536), ("done", "seq", "9"), ("done", "ms", None),
        ("upstream_stats", "fail", 10), ("upstream_stats", "count", 2.5), ("upstream_stats", "mean", -1),
        ("upstream_stats", "mean", 1e7), ("upstream_stats", "over", 0), ("upstream_stats", "over", float("nan")),
        ("upstream_stats", "util", {"util": 37.0}), ("upstream_stats", "util", {"util": "x"}),
        ("upstream_stats", "util", 3),
        ("upstream_stats", "target", 5), ("upstream_stats", "site", "c"), ("client_stats", "lane", "none"),
        ("client_stats", "count", 10**12), ("client_stats", "id", 4),
    ],
)  # fmt: skip
def test_a_field_out_of_range_or_of_another_type_spoils_its_message(kind, name, value):
    with pytest.raises(validation.InvalidMessageError):
        READS[kind]({**GOOD[kind], name: value}, KNOWN)


def test_tries_that_all_failed_need_no_mean_and_more_may_be_unanswered_than_arrived():
    told = {**GOOD["upstream_stats"], "fail": 9}
    del told["mean"]
    assert validation.sums(told, KNOWN)[1] == UpstreamStats("s", 9, 9, 0.0, 1000.0, {"util": 0.6})
    usage = validation.usage({**GOOD["client_stats"], "count": 1, "fail": 4}, KNOWN)
    assert (usage.requests, usage.unanswered) == (1, 4)


def test_reports_add_up_while_the_deciding_thread_is_late_and_joins_are_kept():
    lanes = EventQueue(2, 1)
    rows = [
        UpstreamStats("s", 4, 1, 10.0, 1000.0, {"util": 0.2}), UpstreamStats("s", 6, 6, 0.0, 1000.0, {}),
        UpstreamStats("s", 2, 0, 40.0, 1000.0, {"util": 0.9}),
    ]  # fmt: skip
    for row in [rows[0], rows[0], *rows]:
        lanes.put_nowait(0.0, ("sums", row), ("a", "s"), add_sums)
    for arrived in (3, 4):
        lanes.put_nowait(0.0, ("arrivals", DownstreamStats(0, 1, arrived, 1, 500.0)), (0, 1), add_arrivals)
    lanes.put_nowait(0.0, ("join", 1))
    found = [news for _, news in lanes.drain(10)]
    assert found[:3] == [("sums", rows[0]), ("sums", rows[0]), ("join", 1)]
    assert found[3] == ("sums", UpstreamStats("s", 12, 7, pytest.approx(22.0), 3000.0, {"util": 0.9}))
    assert found[4] == ("arrivals", DownstreamStats(0, 1, 7, 2, 1000.0)) and not lanes.drain(10)


# orders


class Meaning:
    """What the simulator's page says of the same orders: messages and their lines by proxy, and final tables."""

    def __init__(self, places):
        self.places, self.tables, self.levels, self.out = places, {}, {}, set()
        self.users = {}  # proxy: class to table
        self.told = {}

    def round(self, orders):
        cost = dict.fromkeys(self.users, 0)
        bound = {proxy for kind, proxy, *_ in orders if kind == "assign_table"}
        for kind, *what in orders:
            getattr(self, kind)(cost, bound, *what)
        return {proxy: lines + 1 for proxy, lines in cost.items() if lines}  # and its mark

    def using(self, table):
        return [proxy for proxy, classes in self.users.items() if table in classes.values()]

    def set_weight(self, cost, bound, table, endpoint, weight):
        lines = self.tables.setdefault(table, {})
        lines[endpoint] = weight
        for proxy in self.using(table):
            if proxy not in bound:
                cost[proxy] += 1

    def set_admission(self, cost, bound, table, places, allowed, tries):
        self.levels.setdefault(table, {}).update({place: (allowed, tries) for place in places})
        for proxy in self.using(table):
            if proxy not in bound:
                cost[proxy] += len(places)

    def set_ejected(self, cost, bound, endpoint, out):
        (self.out.add if out else self.out.discard)(endpoint)
        for proxy, classes in self.users.items():
            # Who is bound in this round is told with the table.  What was shut out before a binding is let back by
            # name: whether a proxy still holds that need not be known.
            told = self.told.setdefault(proxy, set())
            named = not classes or any(endpoint in self.tables[table] for table in classes.values())
            if (named and out and proxy not in bound) or (not out and endpoint in told):
                cost[proxy] += 1
                (told.add if out else told.discard)(endpoint)

    def assign_table(self, cost, bound, proxy, table, places):
        self.users[proxy] = dict.fromkeys(places, table)
        lines = self.tables[table]
        cost[proxy] += 1 + len(lines) + len(self.levels.get(table, {})) + len(self.out & lines.keys())
        self.told.setdefault(proxy, set()).update(self.out & lines.keys())


@pytest.mark.parametrize("seed", range(6))
def test_orders_come_to_the_same_messages_lines_and_tables_by_both_ways(seed):
    draw = random.Random(seed)
    names, places = [f"s{at}" for at in range(8)], range(2)
    writer, meaning, held = ProtocolOutput(["lookup", "issue"], None, None, None), Meaning(places), {}
    for proxy in range(5):
        writer.join(proxy)
        meaning.users[proxy] = {}
        held[proxy] = live.Proxy.__new__(live.Proxy)
        held[proxy].number, held[proxy].lines, held[proxy].messages = proxy, 0, 0
        held[proxy].tables, held[proxy].levels, held[proxy].out = {"lookup": {}, "issue": {}}, {}, set()
        held[proxy].say = lambda *_: None
    for serial in range(40):
        orders = [("set_weight", 0, draw.choice(names), draw.randint(1, 20)) for _ in range(draw.randint(0, 3))]
        orders = list({order[2]: order for order in orders if order[2] not in meaning.out}.values())
        if draw.random() < 0.3:
            orders.append(("set_admission", 0, [draw.choice(places)], draw.randint(1, 9) / 2.0, draw.randint(0, 2)))
        toggled = draw.choice(names)
        if draw.random() < 0.4:
            orders.append(("set_ejected", toggled, toggled not in meaning.out))
        unbound = [proxy for proxy, classes in meaning.users.items() if not classes]
        if unbound and draw.random() < 0.3:
            orders.append(("assign_table", draw.choice(unbound), 0, list(places)))
        if any(order[0] == "assign_table" for order in orders) and 0 not in meaning.tables:
            orders.insert(0, ("set_weight", 0, names[0], 1))
        expected = meaning.round(orders)
        for kind, *what in orders:
            getattr(writer, kind)(*what)
        if orders:
            writer.request_ack(serial)
        found = {}
        for proxy, message in writer.flush():
            before = held[proxy].lines
            for _, part in MessageCodec(2**20).receive(message):
                held[proxy].apply(part)
            found[proxy] = held[proxy].lines - before
        assert found == expected, orders
    bound = [proxy for proxy, classes in meaning.users.items() if classes]
    assert bound
    for proxy in bound:
        assert held[proxy].tables["issue"] == meaning.tables[0] == held[proxy].tables["lookup"]
        assert held[proxy].out & meaning.tables[0].keys() == meaning.out & meaning.tables[0].keys()
        for lane, place in (("lookup", 0), ("issue", 1)):
            assert held[proxy].levels.get(lane) == meaning.levels.get(0, {}).get(place)


def test_a_proxy_that_nothing_concerns_gets_nothing_and_its_marks_are_its_own():
    writer = ProtocolOutput(["lookup", "issue"], None, None, None)
    for proxy in (0, 1):
        writer.join(proxy)
    writer.set_weight(0, "s", 10)
    writer.assign_table(0, 0, [0, 1])
    writer.request_ack(7)
    assert [proxy for proxy, _ in writer.flush()] == [0] and writer.flush() == []
    assert not writer.answered(1, 7) and writer.answered(0, 7) and not writer.answered(0, 7)
    writer.set_admission(0, [0], 3.5, 1)
    ((_, message),) = writer.flush()
    ((_, part),) = MessageCodec(4096).receive(message)
    assert part == {"t": "assign", "routes": ["lookup"], "admit": 3.5, "policy": 1}


@pytest.mark.parametrize("classes", [63, 64, 130])
def test_more_classes_than_a_message_has_parts_go_in_messages_of_their_own(classes):
    names = [f"c{at}" for at in range(classes)]
    writer = ProtocolOutput(names, None, None, None)
    writer.join(0)
    writer.set_weight(0, "s", 10)
    writer.assign_table(0, 0, range(classes))
    for place in range(classes):
        writer.set_admission(0, [place], 1.0 + place, 1)
    writer.request_ack(7)
    ((_, message),) = writer.flush()
    parts = [part for _, part in MessageCodec(2**20).receive(message)]
    runs = "".join("+" if part.get("continued") else "." for part in parts).split(".")
    assert max(map(len, runs)) < 64 and runs[-1] == "" and len(runs) - 1 == -(-len(parts) // 64)
    assert {name: part["admit"] for part in parts if "admit" in part for name in part["routes"]} == {
        name: 1.0 + place for place, name in enumerate(names)
    }
    assert [part.get("nonce_out") for part in parts] == [None] * (len(parts) - 1) + [7]


# lists and the watch


def member(name="s", **other):
    told = {"id": name, "host_port": "10.1.0.18:3000", "locality": "a", "phase": "ready", "size": 1.5, "up_since_ms": 0}
    return {**told, **other}


def test_a_list_is_read_in_the_modules_words():
    told = {"revision": 4, "complete": True, "members": [member(), member("t", phase="draining", up_since_ms=5000)]}
    news = read_list(told, -1000.0)
    assert news.kind == "complete" and news.addresses["s"] == ("10.1.0.18", 3000)
    assert news.entries == [("s", "a", "in_service", 1.5, 0.0), ("t", "a", "terminating", 1.5, 4000.0)]


@pytest.mark.parametrize(
    "other", [{"id": 5}, {"host_port": "x"}, {"phase": "odd"}, {"size": "1"}, {"up_since_ms": -1}, {"locality": None}]
)
def test_an_entry_that_is_spoilt_is_left_out_and_what_it_hides_is_not_gone(other):
    news = read_list({"revision": 4, "complete": True, "members": [member(), member("t", **other)]}, 0.0)
    assert news.kind == "partial" and [entry[0] for entry in news.entries] == ["s"] and len(news.spoilt) == 1


@pytest.mark.parametrize(
    "told", [[], {"revision": "4", "complete": True, "members": []}, {"revision": 1, "complete": True}]
)
def test_what_is_no_list_is_not_read(told):
    with pytest.raises(MalformedListError):
        read_list(told, 0.0)


def test_changes_that_go_back_are_dropped_and_a_line_without_end_is_not_held():
    found = []
    watch = DiscoveryWatch("127.0.0.1:1", 5, 0.0, found.append)
    for revision, complete in ((4, False), (6, False), (2, True)):
        watch.take(json.dumps({"revision": revision, "complete": complete, "members": [member()]}).encode())
    assert [news.revision for _, news in found] == [6, 2] and watch.revision == 2
    lines = Lines()
    assert lines.feed(b"a\nb") == [b"a"] and lines.feed(b"c\n") == [b"bc"]
    with pytest.raises(MalformedListError):
        lines.feed(b"x" * (LINE_MOST + 1))


def test_a_watch_that_ends_falls_silent_or_moves_is_dialled_anew_from_where_it_was(monkeypatch):
    monkeypatch.setattr("quillstep.platform.discovery_watch.SILENT_MS", 1200.0)
    first, second, found = Discovery(), Discovery(), []
    watch = DiscoveryWatch(first.address, 1, 0.0, found.append)
    watch.start()
    try:
        wait_until(lambda: first.asked, "a first dial")
        first.tell(member("s"))
        wait_until(lambda: len(found) == 1, "news")
        first.silent = True
        wait_until(lambda: len(first.asked) > 1, "a dial after a silence")
        assert first.asked[1].endswith("since=2")
        watch.move(second.address)
        wait_until(lambda: second.asked, "a dial to the new address")
        assert second.asked[0].endswith("since=2")
        second.tell(member("t"))
        second.say(b"{spoilt")
        wait_until(lambda: len(found) == 2 and len(second.asked) > 1, "a dial after a line that can't be read")
    finally:
        first.close()
        second.close()


# the configuration


def test_nested_settings_tell_the_module_what_a_start_of_the_simulator_tells_it(tmp_path):
    told = settings(zones=["a", "b"])
    flat = platform_configuration.flat(told)
    line = "start i=0 randomSeed=1 " + " ".join(f"{key}={value}" for key, value in flat.items() if " " not in value)
    path = configuration(tmp_path, "127.0.0.1:1", [])
    facts = platform_configuration.pilot_facts(platform_configuration.read({"BALANCER_CONFIG": str(path)}), str(path))
    assert (facts.start, facts.classes) == start_config(parse_line(line).fields)
    assert (
        facts.start.channel_lines_per_s == 3000.0
        and facts.start.health_checks_allowed
        and facts.start.load_from_health_checks
    )
    assert facts.known == KNOWN and facts.probe_path == "/status/load"


@pytest.mark.parametrize(
    ("change", "says"),
    [
        ({"listen": 5}, ["Expected `str`, got `int`", "$.listen", "found 5"]),
        ({"limits": {"sockets": "many"}}, ["$.limits.sockets", 'found "many"']),
        ({"settings": {"lanes": [], "zones": ["a"]}}, ["$.settings.lanes", "Expected a list of classes"]),
        ({"settings": {**settings(), "zones": []}}, ["$.settings.zones", "found nothing"]),
        ({"settings": {**settings(), "tick": "soon"}}, ["$.settings", "tick='soon'"]),
    ],
)
def test_a_configuration_that_is_wrong_ends_the_start_with_one_sentence(tmp_path, change, says):
    path = configuration(tmp_path, "127.0.0.1:1", [], **change)
    done = subprocess.run(
        [sys.executable, "-m", "quillstep.platform"], capture_output=True, text=True,
        env={**os.environ, "BALANCER_CONFIG": str(path)},
    )  # fmt: skip
    assert done.returncode == 1 and done.stderr.count("\n") == 1 and str(path) in done.stderr
    assert all(text in done.stderr for text in says), done.stderr


@pytest.mark.parametrize("text", ["", "{", "[]", "\xff"])
def test_a_file_that_is_no_configuration_is_named(tmp_path, text):
    path = tmp_path / "config.json"
    path.write_bytes(text.encode("latin-1"))
    with pytest.raises(platform_configuration.ConfigurationError, match=str(path)):
        platform_configuration.read({"BALANCER_CONFIG": str(path)})
    with pytest.raises(platform_configuration.ConfigurationError, match="BALANCER_CONFIG"):
        platform_configuration.read({})


# one pilot in a process


@pytest.fixture
def fleet(tmp_path):
    """Six endpoints, discovery, and a pilot as the platform starts it."""
    with live.served(tmp_path, 6) as pilot:
        yield pilot


def joined(pilot, numbers=range(4)):
    proxies = [Proxy(pilot.address, number, "ab"[number % 2]) for number in numbers]
    for proxy in proxies:
        wait_until(lambda proxy=proxy: len(proxy.tables["issue"]) == 6, f"the calendar of proxy {proxy.number}")
    return proxies


def test_proxies_get_the_calendar_drains_reach_them_and_a_new_stream_takes_over(fleet):
    proxies = joined(fleet)
    drained = fleet.endpoints["s1"].entry("draining")
    fleet.discovery.tell(drained)
    for proxy in proxies:
        wait_until(lambda proxy=proxy: "s1" not in proxy.usable("issue"), "the drain at every proxy")
    again = Proxy(fleet.address, 0, "a", fresh=False, out=["s1"])
    assert proxies[0].ended()
    wait_until(lambda: len(again.usable("issue")) == 5, "the calendar on the new stream")
    proxies[0].close()
    fleet.discovery.tell(fleet.endpoints["s2"].entry("draining"))
    wait_until(lambda: "s2" not in again.usable("issue"), "orders go on after the old stream's end")


STRANGERS = {
    "HTTP": b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
    "a length that can't be": b"\xff\xff\xff\xff{",
    "an order": frame({"t": "assign", "eject": ["s0"]}),
    "a report before a joining": frame(sums("a", "s0", 5, 0)),
    "a proxy that doesn't exist": frame({"t": "attach", "id": 4, "site": "a", "rps": 1.0, "new": True}),
    "a zone that doesn't exist": frame({"t": "telemetry", "site": "c"}),
    "no JSON": frame(b"{nonsense"),
    "half a message": frame({"t": "telemetry", "site": "a"})[:9],
    "silence": b"",
    "a sign of life and no more": frame({"t": "hb"}),
}


@pytest.mark.parametrize("what", sorted(STRANGERS))
def test_strangers_are_closed_and_cost_nobody_else_anything(fleet, what):
    (proxy,) = joined(fleet, [1])
    stranger = Client(fleet.address)
    stranger.sock.sendall(STRANGERS[what])
    assert stranger.ended(live.WAIT_S)
    fleet.discovery.tell(fleet.endpoints["s0"].entry("draining"))
    wait_until(lambda: "s0" not in proxy.usable(), "the drain all the same")
    assert fleet.process.poll() is None


def test_silent_ones_by_hundreds_leave_room_for_who_joins(fleet):
    strangers = [Client(fleet.address) for _ in range(300)]
    proxies = joined(fleet)
    sign = Client(fleet.address)
    sign.say({"t": "hb"})
    assert sign.got.get(timeout=live.WAIT_S) == {"t": "hb_ok"}
    assert all(stranger.ended() for stranger in strangers)
    figures = fleet.said("figures")
    assert figures["descriptors"] <= 256 and figures["joined"] == len(proxies)


def test_spoilt_messages_are_dropped_and_an_unreadable_stream_is_closed(fleet):
    collector = Client(fleet.address)
    collector.say({"t": "telemetry", "site": "a"})
    (proxy,) = joined(fleet, [0])
    good = sums("a", "s0", 5, 0)
    for spoilt in ({**good, "fail": 9}, {**good, "target": 5}, {"t": "assign"}, {"t": None}, {"count": 3}):
        collector.say(spoilt)
    proxy.say({"t": "done", "id": 0, "seq": "x"}, {"t": "done", "id": 0, "seq": 60000, "ms": 1.0}, {"t": "attach"})
    proxy.say({"t": "client_stats", "id": 1, "lane": "lookup", "count": 1, "fail": 0, "over": 1000.0})
    fleet.discovery.tell(fleet.endpoints["s0"].entry("draining"))
    wait_until(lambda: "s0" not in proxy.usable(), "orders after spoilt messages")
    collector.say(good)
    figures = fleet.said("figures")
    assert sum(figures["dropped"].values()) == 9 and figures["joined"] == 1 and figures["connections"] == 2
    proxy.sock.sendall(frame(b"no JSON at all"))
    assert proxy.ended() and fleet.said("proxy left")["proxy"] == 0
    collector.say({"t": "hb"})
    assert collector.got.get(timeout=live.WAIT_S) == {"t": "hb_ok"}


def test_a_new_configuration_moves_the_watch_and_a_bad_one_leaves_the_old_in_force(fleet):
    (proxy,) = joined(fleet, [0])
    fleet.path.write_text("{spoilt")
    fleet.process.send_signal(signal.SIGHUP)
    assert "JSON was expected" in fleet.said("configuration kept")["reason"]
    fleet.discovery.tell(fleet.endpoints["s0"].entry("draining"))
    wait_until(lambda: "s0" not in proxy.usable(), "the old watch goes on")
    others = [Discovery(fleet.discovery.members) for _ in range(2)]
    try:
        for other in others:
            configuration(fleet.path.parent, other.address, fleet.discovery.members)
            fleet.process.send_signal(signal.SIGHUP)
            wait_until(lambda other=other: other.asked, "a dial at the new address")
            assert other.asked[0].endswith("since=2")
        others[1].revision = 2
        others[1].tell(fleet.endpoints["s3"].entry("draining"))
        wait_until(lambda: "s3" not in proxy.usable(), "news of the new address")
        fleet.process.send_signal(signal.SIGHUP)
        fleet.process.send_signal(signal.SIGTERM)
        begun = time.monotonic()
        assert fleet.process.wait(live.WAIT_S) == 0 and proxy.ended() and time.monotonic() - begun < live.WAIT_S / 4
    finally:
        for other in others:
            other.close()


# what is believed against what passed


def test_what_the_pilot_believes_of_load_and_health_is_what_the_endpoints_counted(tmp_path):
    """Proxies try, endpoints count for themselves; one endpoint dies; sums and probes go over sockets."""
    endpoints = {f"s{at}": Endpoint(f"s{at}", "ab"[at % 2], util=0.2 + 0.1 * at) for at in range(6)}
    members = [endpoint.entry() for endpoint in endpoints.values()]
    discovery = Discovery(members)
    path = configuration(tmp_path, discovery.address, members)
    told = platform_configuration.read({"BALANCER_CONFIG": str(path)})
    pilot = PlatformController(told, platform_configuration.pilot_facts(told, str(path)))
    planner, believed = pilot.control_intervals.planner, {}
    real = planner.run_interval

    def counted(incoming, orders):
        for stats in incoming.upstream_stats:
            row = believed.setdefault(stats.endpoint, [0, 0])
            row[0] += stats.attempts
            row[1] += stats.failures
        real(incoming, orders)

    planner.run_interval = counted
    thread = threading.Thread(target=pilot.run, args=(None,), daemon=True)
    thread.start()
    pilot.address = pilot.front.poller.address
    proxies = joined(pilot)
    collectors = {}
    for zone in live.ZONES:
        collectors[zone] = Client(pilot.address)
        collectors[zone].say({"t": "telemetry", "site": zone})
    endpoints["s2"].up = False
    try:
        for _ in range(60):
            for proxy in proxies:
                for name, (tries, failed) in proxy.try_all(endpoints, 12).items():
                    collectors[proxy.zone].say(sums(proxy.zone, name, tries, failed))
                proxy.report(12)
            if planner.fleet.endpoints["s2"].is_outlier:
                break
            time.sleep(0.1)
        assert planner.fleet.endpoints["s2"].is_outlier
        wait_until(lambda: all("s2" not in proxy.usable() for proxy in proxies), "the dead one out at every proxy")
        passed = {name: [each.tries, each.failed] for name, each in endpoints.items()}
        wait_until(lambda: believed == passed, "all that passed is believed")
        assert not any(planner.fleet.endpoints[name].is_outlier for name in endpoints.keys() - {"s2"})
        for name in endpoints.keys() - {"s2"}:
            util = endpoints[name].util
            wait_until(
                lambda name=name, util=util: abs(planner.fleet.endpoints[name].utilization - util) < 0.05,
                f"{name}'s load",
            )
    finally:
        pilot.stops = True
        thread.join(live.WAIT_S)
        discovery.close()
        for endpoint in endpoints.values():
            endpoint.close()


def test_a_proxy_is_counted_with_its_stream_and_limits_leave_room_for_all(tmp_path):
    path = configuration(tmp_path, "127.0.0.1:1", [], limits={"cores": 0.5, "memory_mb": 64, "sockets": 256})
    told = platform_configuration.read({"BALANCER_CONFIG": str(path)})
    facts = platform_configuration.pilot_facts(told, str(path))
    limits = limits_of(told, facts)
    assert isinstance(limits, ConnectionLimits) and limits.max_connections < 256
    # Who has not joined gives way to who comes, so that room is left for all: see test_crossings.py.
    assert limits.max_connections >= limits.max_unregistered >= facts.known.proxies
