"""A state machine of two controllers with three proxies between them, and hard cases."""

from collections import deque

import pytest
from envoy.service.discovery.v3 import discovery_pb2
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule
from memory_fleet import MemoryController, apply_update, controller_settings, settled

from quillstep.config.controller import LimitSettings
from quillstep.routing.resources import CLUSTER, EJECTED, WEIGHT
from quillstep.xds import resources
from quillstep.xds.resources import CDS, EDS, LEDS, RDS, type_url


class Pilots(RuleBasedStateMachine):
    """Two pilots with the module in them and three proxies between them, bytes both ways, every fault that we know."""

    @initialize()
    def start(self):
        limits = LimitSettings(max_in_flight=4)
        self.pilots = [MemoryController(settings=controller_settings(seed=at, limits=limits)) for at in (1, 2)]
        self.held, self.refuses, self.at = {}, {}, {}
        self.messages = {}
        for name in ("p0", "p1", "p2"):
            self.held[name], self.refuses[name] = {}, False
            self.dial(name, 0)
        self.run(3000.0)

    def dial(self, name, pilot):
        """Its old pilot has not noticed: there its stream stands, and nobody reads it."""
        proxy = self.pilots[pilot].join(name, "ab"[int(name[1]) % 2], self.held[name])
        proxy.rejects = lambda response, name=name: self.refuses[name]
        self.at[name] = pilot
        self.messages[name] = deque()

    def run(self, ms):
        for _ in range(int(ms / 50.0)):
            for at, pilot in enumerate(self.pilots):
                pilot.now += 50.0
                pilot.core.step(pilot.now)
                pilot.core.health_check_requests.clear()
                pilot.core.tables.pending_proxies.clear()
                for name, proxy in list(pilot.proxies.items()):
                    before = len(proxy.unread)
                    proxy.pump()
                    fresh = proxy.unread[before:]
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
            pilot.receive_endpoint_list("partial", [endpoint], state)

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

    @precondition(lambda self: any(self.pilots[at].proxies[name].unread for name, at in self.at.items()))
    @rule()
    def lose(self):
        for name, at in self.at.items():
            proxy = self.pilots[at].proxies[name]
            if proxy.unread:
                proxy.unread.pop(0)
                return

    @invariant()
    def nothing_counts_as_held_without_a_word(self):
        for name, at in getattr(self, "at", {}).items():
            proxy = self.pilots[at].proxies[name]
            state = self.pilots[at].core.tables.proxies[proxy.number]
            if not state.in_flight_updates:
                for key, version in state.acknowledged.items():
                    assert self.held[name].get(type_url(key), {}).get(resources.name(key)) == version

    def teardown(self):
        """No more faults: each proxy ends on the newest, what is withdrawn is in nobody's table, none is bare."""
        if not hasattr(self, "at"):
            return
        self.refuses, self.stalled = dict.fromkeys(self.refuses, False), set()
        self.run(3000.0)  # a lost one is asked after, withdrawals are tried again
        for pilot in self.pilots:
            pilot.receive_endpoint_list("partial", [5, 6])
        self.run(16000.0)
        for name, at in self.at.items():
            proxy = self.pilots[at].proxies[name]
            tables = self.pilots[at].core.tables
            state = tables.proxies[proxy.number]
            for key in tables.desired_keys(proxy.number):
                want = tables.desired_resource(state, key)
                if want and key[0] != WEIGHT:
                    assert self.held[name].get(type_url(key), {}).get(resources.name(key)) == want.version, key
            out = {key[1] for key in state.acknowledged if key[0] == EJECTED}
            assert out >= set(tables.ejected)
            tables_held = [int(each.rpartition("-")[2]) for each in self.held[name].get(CDS, {})]
            lines = {key[2] for key in state.acknowledged if key[0] == WEIGHT and key[1] in tables_held}
            assert lines - out, "bare"


Pilots.TestCase.settings = settings(max_examples=25, stateful_step_count=25, deadline=None, derandomize=True)


TestPilots = Pilots.TestCase


def test_one_bad_weight_among_many_is_isolated_and_all_others_are_acknowledged():
    pilot = settled()
    proxy, state = pilot.proxies["p0"], pilot.core.tables.proxies[0]
    proxy.rejects = lambda response: any(r.name.endswith("table-0/3") for r in response.resources)
    apply_update(pilot, lambda tables: [tables.set_weight(0, at, 40.0 + at) for at in range(1, 7)])
    pilot.run(2000.0, step=50.0)
    wanted = {at: pilot.core.tables.shared_resource((WEIGHT, 0, at)).version for at in range(1, 7)}
    assert {at for at, version in wanted.items() if state.acknowledged[WEIGHT, 0, at] == version} == {1, 2, 4, 5, 6}


def test_a_cluster_rejected_for_a_while_is_acknowledged_later_with_its_table():
    pilot = MemoryController()
    proxy = pilot.join("p0")
    proxy.rejects = lambda response: response.type_url == CDS
    pilot.run(3000.0, step=50.0)
    assert not proxy.held(CDS) and not proxy.held(RDS)
    proxy.rejects = False
    pilot.run(9000.0, step=50.0)
    assert proxy.held(CDS) and proxy.held(RDS) and (CLUSTER, 0) in pilot.core.tables.proxies[0].acknowledged


def test_acks_of_an_older_stream_on_the_newer_one_count_for_nothing():
    pilot = settled()
    proxy = pilot.proxies["p0"]
    apply_update(pilot, lambda tables: tables.set_weight(0, 3, 55.0))
    proxy.pump()
    old = proxy.unread.pop(0)
    held = {url: dict(row) for url, row in proxy.versions.items()}
    proxy.leave()
    again = pilot.join("p0", "a", held)
    again.send(discovery_pb2.DeltaDiscoveryRequest(type_url=LEDS, response_nonce=f"x{old.nonce}"))
    state = pilot.core.tables.proxies[again.number]
    assert state.acknowledged[WEIGHT, 0, 3] != pilot.core.tables.shared_resource((WEIGHT, 0, 3)).version
    pilot.run(3000.0)
    assert again.held(LEDS)[resources.name((WEIGHT, 0, 3))] == pilot.core.tables.shared_resource((WEIGHT, 0, 3)).version


def test_reported_versions_with_other_contents_are_not_taken_for_ours():
    """A pilot that counted versions handed out 1, 2, 3 before this one started over."""
    pilot = MemoryController()
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
def test_a_version_that_returns_is_the_newest_all_the_same(late):
    """A, then B, then A: the word on the first A is no word on the second, and B is not taken for the last."""
    pilot = settled()
    proxy, state = pilot.proxies["p0"], pilot.core.tables.proxies[0]
    for weight in (55.0, 66.0, 55.0):
        apply_update(pilot, lambda tables, weight=weight: tables.set_weight(0, 3, weight))
        proxy.pump()
    wanted = pilot.core.tables.shared_resource((WEIGHT, 0, 3)).version
    if late:
        proxy.read(1)
        assert (WEIGHT, 0, 3) in state.in_flight
    proxy.read()
    assert (
        state.acknowledged[WEIGHT, 0, 3] == wanted == proxy.held(LEDS)[resources.name((WEIGHT, 0, 3))]
        and not state.in_flight_updates
    )
