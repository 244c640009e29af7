"""The stream protocol within bounds, twins that must be found, a machine of real pilots, bytes that nobody meant."""

from collections import deque

import pytest
from envoy.service.discovery.v3 import discovery_pb2
from hypothesis import example, given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule
from memory_fleet import MemoryPilot, fleet, order, pilot_record, settled

from quillstep.config.controller import LimitSettings
from quillstep.config.fleet import ChannelSettings
from quillstep.model_checking import fuzz, message_limit_model, mutants, rollback_model, stream_model
from quillstep.model_checking.bounded_model import search
from quillstep.model_checking.explore import explore
from quillstep.routing.message_quota import EJECTION_RESERVE, MessageQuota
from quillstep.routing.resources import CLUSTER, EJECTED, WEIGHT
from quillstep.tracing.spans import FileExporter, Spans, read
from quillstep.xds import resources
from quillstep.xds.resources import CDS, EDS, LEDS, RDS, type_url

# the model


@pytest.mark.parametrize(("one", "what"), [(one, what) for one in (stream_model, rollback_model) for what in one.BAD])
def test_no_run_of_a_model_ends_badly(one, what):
    assert search(one.model(), what, 8).run == []


@pytest.mark.parametrize(("one", "twin"), [(one, twin) for one in (stream_model, rollback_model) for twin in one.TWINS])
def test_each_broken_twin_of_a_model_is_found(one, twin):
    found = search(one.model(twin), one.TWINS[twin], 9)
    assert found.run and len(found.run) == found.depth


def test_all_states_of_the_real_code_near_its_start_leave_nothing_behind():
    found = explore(5, 5000)
    assert (found.run, found.wrong) == ([], "") and found.states > 1000


@pytest.mark.parametrize(
    ("twin", "depth"),
    [("held at sending", 2), ("lost and not missed", 3), ("refused for good", 3), ("trusts its memory", 5)],
)  # the two that need more steps are found by `quillstep prove`
def test_broken_twins_of_the_real_code_are_found(twin, depth):
    found = explore(depth, 5000, mutants.TWINS[twin])
    assert found.wrong and found.depth == depth


def test_the_gap_between_orders_keeps_the_limit_only_while_the_channel_hardly_lags():
    gap = 1.2 / 20
    assert [message_limit_model.safe_delay(20, gap, joins) for joins in (0, 1, 2)] == [0.2, 0.14, 0.08]
    leaves = message_limit_model.overrun(20, gap, 0.18, 2)
    assert leaves and leaves[-1] - leaves[0] < 1.0


@given(
    st.lists(st.tuples(st.floats(0.0, 400.0), st.booleans()), min_size=30, max_size=120),
    st.sampled_from([(5, 1000.0), (20, 10000.0)]),
)
def test_no_more_messages_leave_than_the_limit_whatever_is_asked(steps, limit):
    ration, now, left = MessageQuota(*limit), 0.0, deque()
    for number, (wait, urgent) in enumerate(steps):
        now += wait
        room = ration.remaining(number, now)
        if room > (0 if urgent else EJECTION_RESERVE):
            ration.count(number, now)
            ration.count(number, now)  # further responses of one order are one message
            left.append(now)
        elif not urgent:
            assert ration.next_expiry_ms() > now
        while left and left[0] <= now - limit[1]:
            left.popleft()
        assert len(left) <= limit[0]


def test_a_proxy_gets_no_message_beyond_its_limit_and_drains_have_room_left():
    record = pilot_record(fleet=fleet(channel=ChannelSettings(max_messages=6, message_window_ms=4000.0)))
    pilot = MemoryPilot(record=record)
    proxy = pilot.join("p0")
    pilot.run(6000)
    tables, sent = pilot.core.tables, []
    for weight in range(30, 50):
        proxy.log.clear()
        order(pilot, lambda tables, weight=weight: tables.set_weight(0, 3, float(weight)))
        pilot.run(50.0)
        sent += [pilot.now] * any(names for _, names, _ in proxy.log)
    assert len(sent) <= 4, "of six, two are kept for drains"
    order(pilot, lambda tables: tables.set_ejected(4, True, "draining"))
    pilot.run(30.0)
    assert any("withdrawn/4" in each for each in proxy.held(LEDS))
    pilot.run(4200.0)
    assert tables.proxies[0].acknowledged[WEIGHT, 0, 3] == tables.shared_resource((WEIGHT, 0, 3)).version


# real pilots


class Pilots(RuleBasedStateMachine):
    """Two pilots with the module in them and three proxies between them, bytes both ways, every fault that we know."""

    @initialize()
    def start(self):
        limits = LimitSettings(max_in_flight=4)
        self.pilots = [MemoryPilot(record=pilot_record(seed=at, limits=limits)) for at in (1, 2)]
        self.held, self.refuses, self.at = {}, {}, {}
        self.messages = {}
        for name in ("p0", "p1", "p2"):
            self.held[name], self.refuses[name] = {}, False
            self.dial(name, 0)
        self.run(3000.0)

    def dial(self, name, pilot):
        """Its old pilot has not noticed: there its stream stands, and nobody reads it."""
        proxy = self.pilots[pilot].join(name, "ab"[int(name[1]) % 2], self.held[name])
        proxy.refuses = lambda response, name=name: self.refuses[name]
        self.at[name] = pilot
        self.messages[name] = deque()

    def run(self, ms):
        for _ in range(int(ms / 50.0)):
            for at, pilot in enumerate(self.pilots):
                pilot.now += 50.0
                pilot.core.step(pilot.now)
                pilot.core.probes.clear()
                pilot.core.tables.pending_proxies.clear()
                for name, proxy in list(pilot.proxies.items()):
                    before = len(proxy.waits)
                    proxy.pump()
                    fresh = proxy.waits[before:]
                    if self.at[name] == at:
                        for response in fresh:
                            if response.resources or response.removed_resources:
                                self.left(name, response.system_version_info, pilot.now)
                        if name not in self.stalled:
                            proxy.read()

    stalled: set = set()

    def left(self, name, order, now):
        rows = self.messages[name]
        while rows and rows[0][1] <= now - 10000.0:
            rows.popleft()
        if all(each != order for each, _ in rows):
            rows.append((order, now))
        assert len(rows) <= 20, "more messages than the limit"

    @rule(ms=st.sampled_from([50.0, 300.0, 1500.0]))
    def wait(self, ms):
        self.run(ms)

    @rule(endpoint=st.integers(1, 6), state=st.sampled_from(["in_service", "terminating", "terminated"]))
    def roster(self, endpoint, state):
        for pilot in self.pilots:
            pilot.roster("partial", [endpoint], state)

    @rule(name=st.sampled_from(["p0", "p1", "p2"]), on=st.booleans())
    def refuse(self, name, on):
        self.refuses[name] = on

    @rule(name=st.sampled_from(["p0", "p1", "p2"]))
    def stall(self, name):
        self.stalled = self.stalled ^ {name}

    @rule(name=st.sampled_from(["p0", "p1", "p2"]), pilot=st.integers(0, 1), noticed=st.booleans())
    def redial(self, name, pilot, noticed):
        if noticed or self.at[name] == pilot:
            self.pilots[self.at[name]].proxies[name].leave()
        if name in self.pilots[pilot].proxies:
            self.pilots[pilot].proxies[name].leave()
        self.dial(name, pilot)

    @precondition(lambda self: any(self.pilots[at].proxies[name].waits for name, at in self.at.items()))
    @rule()
    def lose(self):
        for name, at in self.at.items():
            proxy = self.pilots[at].proxies[name]
            if proxy.waits:
                proxy.waits.pop(0)
                return

    @invariant()
    def nothing_counts_as_held_without_a_word(self):
        for name, at in getattr(self, "at", {}).items():
            proxy = self.pilots[at].proxies[name]
            ledger = self.pilots[at].core.tables.proxies[proxy.number]
            if not ledger.in_flight_updates:
                for key, version in ledger.acknowledged.items():
                    assert self.held[name].get(type_url(key), {}).get(resources.name(key)) == version

    def teardown(self):
        """No more faults: each proxy ends on the newest, what is withdrawn is in nobody's table, none is bare."""
        if not hasattr(self, "at"):
            return
        self.refuses, self.stalled = dict.fromkeys(self.refuses, False), set()
        self.run(3000.0)  # a lost one is asked after, withdrawals are tried again
        for pilot in self.pilots:
            pilot.roster("partial", [5, 6])
        self.run(16000.0)
        for name, at in self.at.items():
            proxy = self.pilots[at].proxies[name]
            tables = self.pilots[at].core.tables
            ledger = tables.proxies[proxy.number]
            for key in tables.desired_keys(proxy.number):
                want = tables.desired_resource(ledger, key)
                if want and key[0] != WEIGHT:
                    assert self.held[name].get(type_url(key), {}).get(resources.name(key)) == want.version, key
            out = {key[1] for key in ledger.acknowledged if key[0] == EJECTED}
            assert out >= set(tables.ejected)
            tables_held = [int(each.rpartition("-")[2]) for each in self.held[name].get(CDS, {})]
            lines = {key[2] for key in ledger.acknowledged if key[0] == WEIGHT and key[1] in tables_held}
            assert lines - out, "bare"


Pilots.TestCase.settings = settings(max_examples=25, stateful_step_count=25, deadline=None, derandomize=True)
TestPilots = Pilots.TestCase


# hard cases


def test_one_bad_line_among_many_is_set_apart_and_all_others_hold():
    pilot = settled()
    proxy, ledger = pilot.proxies["p0"], pilot.core.tables.proxies[0]
    proxy.refuses = lambda response: any(r.name.endswith("table-0/3") for r in response.resources)
    order(pilot, lambda tables: [tables.set_weight(0, at, 40.0 + at) for at in range(1, 7)])
    pilot.run(2000.0, step=50.0)
    wanted = {at: pilot.core.tables.shared_resource((WEIGHT, 0, at)).version for at in range(1, 7)}
    assert {at for at, version in wanted.items() if ledger.acknowledged[WEIGHT, 0, at] == version} == {1, 2, 4, 5, 6}


def test_a_cluster_that_is_refused_for_a_while_holds_later_and_its_table_with_it():
    pilot = MemoryPilot()
    proxy = pilot.join("p0")
    proxy.refuses = lambda response: response.type_url == CDS
    pilot.run(3000.0, step=50.0)
    assert not proxy.held(CDS) and not proxy.held(RDS)
    proxy.refuses = False
    pilot.run(9000.0, step=50.0)
    assert proxy.held(CDS) and proxy.held(RDS) and (CLUSTER, 0) in pilot.core.tables.proxies[0].acknowledged


def test_words_of_an_older_stream_on_the_newer_one_say_nothing():
    pilot = settled()
    proxy = pilot.proxies["p0"]
    order(pilot, lambda tables: tables.set_weight(0, 3, 55.0))
    proxy.pump()
    old = proxy.waits.pop(0)
    held = {url: dict(row) for url, row in proxy.versions.items()}
    proxy.leave()
    again = pilot.join("p0", "a", held)
    again.say(discovery_pb2.DeltaDiscoveryRequest(type_url=LEDS, response_nonce=f"x{old.nonce}"))
    ledger = pilot.core.tables.proxies[again.number]
    assert ledger.acknowledged[WEIGHT, 0, 3] != pilot.core.tables.shared_resource((WEIGHT, 0, 3)).version
    pilot.run(3000.0)
    assert again.held(LEDS)[resources.name((WEIGHT, 0, 3))] == pilot.core.tables.shared_resource((WEIGHT, 0, 3)).version


def test_version_names_that_a_proxy_knows_with_other_contents_are_not_taken_for_ours():
    """A pilot that counted versions handed out 1, 2, 3 before this one started over."""
    pilot = MemoryPilot()
    counted = {
        CDS: {"table-0": "1"}, EDS: {"table-0": "2"}, RDS: {"exchanges": "3"},
        LEDS: {resources.name((WEIGHT, 0, at)): str(at) for at in range(1, 7)},
    }  # fmt: skip
    proxy = pilot.join("p0", "a", counted)
    pilot.run(3000.0)
    tables = pilot.core.tables
    assert all(
        proxy.held(type_url(key))[resources.name(key)] == tables.desired_resource(tables.proxies[0], key).version
        for key in tables.desired_keys(0)
    )


@pytest.mark.parametrize("late", [True, False])
def test_a_version_that_comes_round_again_is_the_newest_all_the_same(late):
    """A, then B, then A: the word on the first A is no word on the second, and B is not taken for the last."""
    pilot = settled()
    proxy, ledger = pilot.proxies["p0"], pilot.core.tables.proxies[0]
    for weight in (55.0, 66.0, 55.0):
        order(pilot, lambda tables, weight=weight: tables.set_weight(0, 3, weight))
        proxy.pump()
    wanted = pilot.core.tables.shared_resource((WEIGHT, 0, 3)).version
    if late:
        proxy.read(1)
        assert (WEIGHT, 0, 3) in ledger.in_flight
    proxy.read()
    assert (
        ledger.acknowledged[WEIGHT, 0, 3] == wanted == proxy.held(LEDS)[resources.name((WEIGHT, 0, 3))]
        and not ledger.in_flight_updates
    )


# bytes


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.sampled_from(sorted(fuzz.TARGETS)), st.binary(max_size=300))
@example("requests", b"\x04\x22\x02ab\x03\x2a\x01x")
@example("connection", b"\x00\x00\x00\x04\x00\x00\x00\x00\x00")
def test_whatever_bytes_a_peer_sends_only_its_own_stream_ends(target, data):
    fuzz.TARGETS[target](data)


def texts():
    return st.text(max_size=12) | st.sampled_from(["exchanges", "table-0", "*", "xdstp://x/*", "table-0/1", "e.1"])


@settings(max_examples=100, deadline=None, derandomize=True)
@given(
    st.lists(
        st.builds(
            lambda url, subscribe, unsubscribe, versions, nonce, code: discovery_pb2.DeltaDiscoveryRequest(
                type_url=url, resource_names_subscribe=subscribe, resource_names_unsubscribe=unsubscribe,
                initial_resource_versions=versions, response_nonce=nonce,
                error_detail={"code": code} if code else None,
            ).SerializeToString(),
            st.sampled_from([CDS, EDS, LEDS, RDS, "other"]), st.lists(texts(), max_size=3),
            st.lists(texts(), max_size=3), st.dictionaries(texts(), texts(), max_size=3),
            st.sampled_from(["", "e.1", "e.2", "e.3", "e.9"]), st.sampled_from([0, 0, 3]),
        ).filter(lambda data: len(data) < 256),
        max_size=12,
    )
)  # fmt: skip
def test_requests_that_read_well_and_make_no_sense_end_no_more_than_their_stream(requests):
    fuzz.requests(b"".join(bytes([len(each)]) + each for each in requests))


# spans


def test_spans_of_a_push_and_its_application_meet_without_any_context_on_the_wire(tmp_path):
    pilot = Spans(str(tmp_path / "a"), 1.0, 100.0, "pilot-0")
    proxies = Spans(str(tmp_path / "b"), 1.0, 100.0, "proxies-0")
    sent = {"proxy": "p", "order": 4, "ordered": 900.0, "lines": 2, "nonce": "e.7", "type": "LbEndpoint"}
    pilot.round("e", 4, 890.0, 900.0, late_ms=0.0)
    pilot.tap("e", "send", 950.0, sent)
    pilot.tap("e", "nack", 990.0, {"proxy": "p", "nonce": "e.7"})
    row = {"system": "e/4/900.0", "nonce": "e.7", "at": 980.0, "changed": [["line", "v1"]], "reason": "no"}
    proxies.apply("p", row)
    proxies.exchange({"exchange": "x", "proxy": "p", "class": "c", "at": 1000.0, "end": 1010.0, "outcome": "ok",
                      "tries": [["a", 1001.0, 1009.0, "ok", "v1"]]})  # fmt: skip
    pilot.stop()
    proxies.stop()
    by = {span["name"]: span for path in ("a", "b") for span in read(tmp_path / path)}
    assert by["push"]["parentSpanId"] == by["round"]["spanId"] and by["apply"]["parentSpanId"] == by["push"]["spanId"]
    assert by["round"]["traceId"] == by["push"]["traceId"] == by["apply"]["traceId"]
    assert by["exchange"]["links"] == [{"traceId": by["apply"]["traceId"], "spanId": by["apply"]["spanId"]}]
    assert by["push"]["status"]["code"] == 2 and "status" not in by["round"]
    lasts = int(by["push"]["endTimeUnixNano"]) - int(by["push"]["startTimeUnixNano"])
    assert lasts == 90_000_000


def test_all_processes_keep_the_same_traces_and_no_more_spans_than_they_may(tmp_path):
    some = [Spans(str(tmp_path / str(at)), 0.3, 5.0, "s") for at in range(2)]
    kept = [[each.sampled(at * 2**64 + at * 7919**5 % 2**64) for at in range(400)] for each in some]
    assert kept[0] == kept[1] and 60 < sum(kept[0]) < 180
    for at in range(2000):
        some[0].round("e", at, 1000.0 + at, 1000.5 + at)
    some[0].stop()
    some[1].stop()
    assert len(read(tmp_path / "0")) <= 5 + 2 * 5 + 1 and some[0].dropped > 0


def test_a_file_that_takes_no_more_costs_spans_and_no_pilot(tmp_path):
    exporter = FileExporter(tmp_path / "s")
    exporter.file.close()
    exporter.file = open("/dev/full", "wb", buffering=0)  # noqa: SIM115
    assert exporter.export([]).name == "FAILURE"
