"""Versions of tables: pins, rollbacks and releases while the planner writes and proxies reject."""

import pytest
from hypothesis import settings as hypothesis_settings  # noqa: E402
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from memory_fleet import fleet
from versioned_fleet import current_versions, holds, settled, write_weights

from quillstep.config.controller import RolloutGateSettings
from quillstep.config.fleet import ChannelSettings
from quillstep.routing.resources import EJECTED
from quillstep.routing.rollout_gate import (
    MOVED_SHARE,
)
from quillstep.routing.versions import TableVersion
from quillstep.xds.resources import LEDS


def test_a_pinned_table_rolls_back_and_stays_while_the_planner_continues_to_write():
    controller = settled()
    before = current_versions(controller)[-1]
    for weight in (14.0, 18.0):
        write_weights(controller, {3: weight})
        controller.run(50)
    controller.core.versioned_tables.pin(before._replace(cause="rollback", operator="op"))
    write_weights(controller, {3: 22.0, 4: 13.0})
    controller.run(1500)
    assert all(holds(controller, proxy, before.weights) for proxy in controller.proxies.values())
    assert ("rollback", "op") in {(version.cause, version.operator) for version in current_versions(controller)}
    controller.core.versioned_tables.release(0)
    controller.run(5000)
    wanted = controller.core.versioned_tables.rollouts[0].wanted_weights
    assert (
        all(holds(controller, proxy, wanted) for proxy in controller.proxies.values())
        and not controller.core.versioned_tables.is_behind()
    )


def test_a_pinned_table_rolls_back_where_message_heads_take_half_of_the_channel():
    # Guards against rollbacks and releases that never take effect, because no change fits beside the heads.
    channel = ChannelSettings(lines_per_s=40.0, max_queued_lines=20.0)
    controller = settled(proxies=2, fleet=fleet(channel=channel))
    controller.run(8000)
    before = current_versions(controller)[-1]
    write_weights(controller, {3: 14.0})
    controller.run(1000)
    controller.core.versioned_tables.pin(before._replace(cause="rollback"))
    controller.run(4000)
    assert all(holds(controller, proxy, before.weights) for proxy in controller.proxies.values())
    assert controller.core.channel.max_queued_lines <= channel.max_queued_lines


def test_an_endpoint_that_leaves_while_its_table_is_pinned_is_ejected_at_once_and_left_out_of_the_target():
    controller = settled()
    controller.core.versioned_tables.pin(current_versions(controller)[-1])
    controller.receive_endpoint_list("partial", [3], "terminating")
    controller.run(1500)
    assert (EJECTED, 3) in controller.core.tables.proxies[0].acknowledged
    assert 3 not in controller.core.versioned_tables.target(0)[0]
    assert not any(name.endswith("table-0/3") for name in controller.proxies["p0"].held(LEDS))


def test_a_warming_endpoint_of_a_pinned_version_is_limited():
    controller = settled()
    version = current_versions(controller)[-1]
    controller.core.endpoints.started_ms[3] = controller.now
    controller.core.versioned_tables.pin(version)
    controller.core.update_endpoint_states(controller.now)
    assert controller.core.versioned_tables.target(0)[0][3] <= 0.25 * version.weights[4] + 1.0


def test_a_pin_without_a_warm_endpoint_has_no_effect():
    controller = settled()
    version = current_versions(controller)[-1]
    controller.core.versioned_tables.pin(version._replace(weights={3: 10.0}))
    controller.receive_endpoint_list("partial", [3], "terminated")
    controller.run(3000)
    assert len(controller.core.versioned_tables.target(0)[0]) >= 4
    assert any("/table-0/" in name for name in controller.proxies["p0"].held(LEDS))


@pytest.mark.parametrize("rejects", [False, True])
def test_a_rollback_supersedes_a_change_in_flight_even_if_a_proxy_rejects_it(rejects):
    controller = settled(3)
    before = current_versions(controller)[-1]
    write_weights(controller, {3: 18.0, 5: 14.0})
    for proxy in controller.proxies.values():
        proxy.pump()
    proxy = controller.proxies["p1"]
    proxy.rejects = rejects
    controller.core.versioned_tables.pin(before._replace(cause="rollback"))
    controller.run(300, step=50.0)
    proxy.rejects = False
    controller.run(4000, step=50.0)
    assert all(holds(controller, proxy, before.weights) for proxy in controller.proxies.values())


def test_the_later_of_two_overlapping_rollbacks_takes_effect():
    controller = settled()
    versions = []
    for weight in (14.0, 18.0, 23.0):
        write_weights(controller, {3: weight})
        controller.run(100)
        versions.append(current_versions(controller)[-1])
    controller.core.versioned_tables.pin(versions[0])
    controller.run(30, read=False)
    controller.core.versioned_tables.pin(versions[1])
    controller.run(3000)
    assert all(holds(controller, proxy, versions[1].weights) for proxy in controller.proxies.values())


def test_changes_beyond_the_limit_of_moved_traffic_are_withheld_and_reported():
    controller = settled(gate=RolloutGateSettings(max_moved_share=0.3, move_window_ms=1000.0))
    write_weights(controller, {1: 40.0, 2: 40.0, 3: 10.0})
    weights = controller.core.tables.tables[0].weights
    assert weights[1] < 40.0 or weights[2] < 40.0
    assert (
        controller.core.versioned_tables.withheld and controller.core.versioned_tables.withheld[0].rule == MOVED_SHARE
    )


def test_a_proxy_that_missed_many_changes_gets_one_update():
    controller = settled(gate=RolloutGateSettings(enabled=False))
    proxy = controller.proxies["p0"]
    held = {url: dict(row) for url, row in proxy.versions.items()}
    proxy.leave()
    for weight in range(11, 31):
        write_weights(controller, {3: float(weight), 4: float(weight % 7 + 8)})
        controller.run(20)
    # The planner's own output would be sent in addition.
    controller.core.planner.run_interval = lambda incoming, output: None
    again = controller.join("p0", "a", held)
    controller.core.tables.begin()
    controller.core.tables.assign_table(again.number, 0, [0, 1])
    controller.core.channel.put(controller.core.tables.commit(), controller.now)
    controller.run(3000)
    updates = [names for url, names, _ in again.log if url == LEDS]
    assert sum("/table-0/3" in name for names in updates for name in names) == 1
    assert holds(controller, again, controller.core.tables.tables[0].weights)


class ConvergenceToTarget(RuleBasedStateMachine):
    """Writes, acks, nacks, rollbacks, releases and reconnects in any sequence; proxies converge to the target."""

    def __init__(self):
        super().__init__()
        self.controller = settled(2)
        # The planner writes nothing; all updates come from the rules.
        self.controller.core.planner.run_interval = lambda incoming, output: None
        self.set_initial_weight()

    def set_initial_weight(self):
        self.weight = 10.0

    @rule(endpoint=st.integers(1, 6), weight=st.sampled_from([8.0, 10.0, 12.0, 15.0]))
    def write_weight(self, endpoint, weight):
        write_weights(self.controller, {endpoint: weight})

    @rule(steps=st.integers(0, 4))
    def rollback(self, steps):
        versions = current_versions(self.controller)
        self.controller.core.versioned_tables.pin(
            versions[max(0, len(versions) - 1 - steps)]._replace(cause="rollback")
        )

    @rule()
    def release(self):
        self.controller.core.versioned_tables.release(0)

    @rule(ms=st.sampled_from([20.0, 200.0, 700.0]), read=st.booleans())
    def wait(self, ms, read):
        self.controller.run(ms, read=read)

    @rule(at=st.integers(0, 1), on=st.booleans())
    def set_rejects(self, at, on):
        self.controller.proxies[f"p{at}"].rejects = on

    @rule(at=st.integers(0, 1))
    def reconnect(self, at):
        proxy = self.controller.proxies[f"p{at}"]
        held = {url: dict(row) for url, row in proxy.versions.items()}
        proxy.leave()
        self.controller.join(f"p{at}", "ab"[at], held)
        core = self.controller.core
        core.tables.begin()
        core.tables.assign_table(self.controller.proxies[f"p{at}"].number, 0, [0, 1])
        core.channel.put(core.tables.commit(), self.controller.now)

    @invariant()
    def every_proxy_has_an_endpoint(self):
        assert all(any("/table-0/" in n for n in proxy.held(LEDS)) for proxy in self.controller.proxies.values())

    def teardown(self):
        rejected = any(proxy.rejects for proxy in self.controller.proxies.values())
        for proxy in self.controller.proxies.values():
            proxy.rejects = False
        if rejected or any(state.nacked for state in self.controller.core.tables.proxies.values()):
            # A weight that was rejected by itself is not sent again until its next version, so all weights are changed.
            tables = self.controller.core.versioned_tables
            weights = dict(tables.target(0)[0])
            for extra in (0.5, 0.0):
                tables.pin(TableVersion("", 0, "", "pin", "", 0.0, 0, {e: w + extra for e, w in weights.items()}, {}))
                self.controller.run(12000.0, step=50.0)
        self.controller.run(12000.0, step=50.0)
        wanted = self.controller.core.versioned_tables.target(0)[0]
        for proxy in self.controller.proxies.values():
            assert holds(self.controller, proxy, wanted)


ConvergenceToTarget.TestCase.settings = hypothesis_settings(
    max_examples=12, stateful_step_count=15, deadline=None, derandomize=True
)


TestConvergenceToTarget = ConvergenceToTarget.TestCase
