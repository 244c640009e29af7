"""Tests of two controllers that share proxies: a state machine with random faults, and single cases."""

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


class TwoControllers(RuleBasedStateMachine):
    """Two controllers with real planners, three proxies that move between them, serialized messages, random faults."""

    @initialize()
    def start(self):
        limits = LimitSettings(max_in_flight=4)
        self.controllers = [MemoryController(settings=controller_settings(seed=seed, limits=limits)) for seed in (1, 2)]
        self.held, self.rejects, self.controller_of = {}, {}, {}
        self.messages = {}
        for name in ("p0", "p1", "p2"):
            self.held[name], self.rejects[name] = {}, False
            self.connect(name, 0)
        self.run(3000.0)

    def connect(self, name, index):
        """Opens a stream; the previous controller, if not notified, keeps its own open, which nobody reads."""
        proxy = self.controllers[index].join(name, "ab"[int(name[1]) % 2], self.held[name])
        proxy.rejects = lambda response, name=name: self.rejects[name]
        self.controller_of[name] = index
        self.messages[name] = deque()

    def run(self, ms):
        for _ in range(int(ms / 50.0)):
            for index, controller in enumerate(self.controllers):
                controller.now += 50.0
                controller.core.step(controller.now)
                controller.core.health_check_requests.clear()
                controller.core.tables.pending_proxies.clear()
                for name, proxy in list(controller.proxies.items()):
                    before = len(proxy.unread)
                    proxy.pump()
                    fresh = proxy.unread[before:]
                    if self.controller_of[name] == index:
                        for response in fresh:
                            if response.resources or response.removed_resources:
                                self.count_message(name, response.system_version_info, controller.now)
                        if name not in self.stalled:
                            proxy.read()

    stalled: set = set()

    def count_message(self, name, revision, now):
        """Counts the messages to a proxy within 10 s, one for each revision, as the message limit does."""
        rows = self.messages[name]
        while rows and rows[0][1] <= now - 10000.0:
            rows.popleft()
        if all(each != revision for each, _ in rows):
            rows.append((revision, now))
        assert len(rows) <= 20, "more messages than the limit"

    @rule(ms=st.sampled_from([50.0, 300.0, 1500.0]))
    def wait(self, ms):
        self.run(ms)

    @rule(endpoint=st.integers(1, 6), state=st.sampled_from(["in_service", "terminating", "terminated"]))
    def update_endpoint(self, endpoint, state):
        for controller in self.controllers:
            controller.receive_endpoint_list("partial", [endpoint], state)

    @rule(name=st.sampled_from(["p0", "p1", "p2"]), on=st.booleans())
    def reject(self, name, on):
        self.rejects[name] = on

    @rule(name=st.sampled_from(["p0", "p1", "p2"]))
    def stall(self, name):
        self.stalled = self.stalled ^ {name}

    @rule(name=st.sampled_from(["p0", "p1", "p2"]), index=st.integers(0, 1), notified=st.booleans())
    def reconnect(self, name, index, notified):
        if notified or self.controller_of[name] == index:
            self.controllers[self.controller_of[name]].proxies[name].leave()
        if name in self.controllers[index].proxies:
            self.controllers[index].proxies[name].leave()
        self.connect(name, index)

    @precondition(
        lambda self: any(self.controllers[index].proxies[name].unread for name, index in self.controller_of.items())
    )
    @rule()
    def lose(self):
        for name, index in self.controller_of.items():
            proxy = self.controllers[index].proxies[name]
            if proxy.unread:
                proxy.unread.pop(0)
                return

    @invariant()
    def acknowledged_versions_are_held(self):
        for name, index in getattr(self, "controller_of", {}).items():
            proxy = self.controllers[index].proxies[name]
            state = self.controllers[index].core.tables.proxies[proxy.number]
            if not state.in_flight_updates:
                for key, version in state.acknowledged.items():
                    assert self.held[name].get(type_url(key), {}).get(resources.name(key)) == version

    def teardown(self):
        """Without further faults each proxy reaches the desired state, with all ejections and a usable endpoint."""
        if not hasattr(self, "controller_of"):
            return
        self.rejects, self.stalled = dict.fromkeys(self.rejects, False), set()
        self.run(3000.0)  # Lost updates are probed for, rejected ejections are sent again.
        for controller in self.controllers:
            controller.receive_endpoint_list("partial", [5, 6])
        self.run(16000.0)
        for name, index in self.controller_of.items():
            proxy = self.controllers[index].proxies[name]
            tables = self.controllers[index].core.tables
            state = tables.proxies[proxy.number]
            for key in tables.desired_keys(proxy.number):
                desired = tables.desired_resource(state, key)
                if desired and key[0] != WEIGHT:
                    assert self.held[name].get(type_url(key), {}).get(resources.name(key)) == desired.version, key
            ejected = {key[1] for key in state.acknowledged if key[0] == EJECTED}
            assert ejected >= set(tables.ejected)
            tables_held = [int(each.rpartition("-")[2]) for each in self.held[name].get(CDS, {})]
            weighted = {key[2] for key in state.acknowledged if key[0] == WEIGHT and key[1] in tables_held}
            assert weighted - ejected, "no usable endpoint"


TwoControllers.TestCase.settings = settings(max_examples=25, stateful_step_count=25, deadline=None, derandomize=True)


TestTwoControllers = TwoControllers.TestCase


def test_one_bad_weight_among_many_is_isolated_and_all_others_are_acknowledged():
    controller = settled()
    proxy, state = controller.proxies["p0"], controller.core.tables.proxies[0]
    proxy.rejects = lambda response: any(r.name.endswith("table-0/3") for r in response.resources)
    apply_update(controller, lambda tables: [tables.set_weight(0, at, 40.0 + at) for at in range(1, 7)])
    controller.run(2000.0, step=50.0)
    wanted = {at: controller.core.tables.shared_resource((WEIGHT, 0, at)).version for at in range(1, 7)}
    assert {at for at, version in wanted.items() if state.acknowledged[WEIGHT, 0, at] == version} == {1, 2, 4, 5, 6}


def test_a_cluster_rejected_for_a_while_is_acknowledged_later_with_its_table():
    controller = MemoryController()
    proxy = controller.join("p0")
    proxy.rejects = lambda response: response.type_url == CDS
    controller.run(3000.0, step=50.0)
    assert not proxy.held(CDS) and not proxy.held(RDS)
    proxy.rejects = False
    controller.run(9000.0, step=50.0)
    assert proxy.held(CDS) and proxy.held(RDS) and (CLUSTER, 0) in controller.core.tables.proxies[0].acknowledged


def test_acks_for_an_older_stream_are_ignored_on_the_newer_one():
    controller = settled()
    proxy = controller.proxies["p0"]
    apply_update(controller, lambda tables: tables.set_weight(0, 3, 55.0))
    proxy.pump()
    old = proxy.unread.pop(0)
    held = {url: dict(row) for url, row in proxy.versions.items()}
    proxy.leave()
    again = controller.join("p0", "a", held)
    again.send(discovery_pb2.DeltaDiscoveryRequest(type_url=LEDS, response_nonce=f"x{old.nonce}"))
    state = controller.core.tables.proxies[again.number]
    assert state.acknowledged[WEIGHT, 0, 3] != controller.core.tables.shared_resource((WEIGHT, 0, 3)).version
    controller.run(3000.0)
    assert (
        again.held(LEDS)[resources.name((WEIGHT, 0, 3))]
        == controller.core.tables.shared_resource((WEIGHT, 0, 3)).version
    )


def test_reported_versions_of_other_contents_are_not_treated_as_current():
    """An earlier controller counted its versions 1, 2, 3; an equal version must not stand for equal contents."""
    controller = MemoryController()
    counted = {
        CDS: {"table-0": "1"}, EDS: {"table-0": "2"}, RDS: {"exchanges": "3"},
        LEDS: {resources.name((WEIGHT, 0, at)): str(at) for at in range(1, 7)},
    }  # fmt: skip
    proxy = controller.join("p0", "a", counted)
    controller.run(3000.0)
    tables = controller.core.tables
    assert all(
        proxy.held(type_url(key))[resources.name(key)] == tables.desired_resource(tables.proxies[0], key).version
        for key in tables.desired_keys(0)
    )


@pytest.mark.parametrize("late", [True, False])
def test_a_version_that_is_sent_again_after_another_is_the_newest(late):
    """A, then B, then A: the ack of the first A does not count for the second, and B is not treated as the newest."""
    controller = settled()
    proxy, state = controller.proxies["p0"], controller.core.tables.proxies[0]
    for weight in (55.0, 66.0, 55.0):
        apply_update(controller, lambda tables, weight=weight: tables.set_weight(0, 3, weight))
        proxy.pump()
    wanted = controller.core.tables.shared_resource((WEIGHT, 0, 3)).version
    if late:
        proxy.read(1)
        assert (WEIGHT, 0, 3) in state.in_flight
    proxy.read()
    assert (
        state.acknowledged[WEIGHT, 0, 3] == wanted == proxy.held(LEDS)[resources.name((WEIGHT, 0, 3))]
        and not state.in_flight_updates
    )
