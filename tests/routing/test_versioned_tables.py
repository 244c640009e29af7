"""Versions of tables: pins, rollbacks and releases while the planner writes and proxies reject."""

import pytest
from hypothesis import settings as hypothesis_settings  # noqa: E402
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from versioned_fleet import current_versions, holds, settled, write_weights

from quillstep.config.controller import RolloutGateSettings
from quillstep.routing.resources import EJECTED
from quillstep.routing.rollout_gate import (
    MOVED_SHARE,
)
from quillstep.routing.versions import TableVersion
from quillstep.xds.resources import LEDS


def test_a_pinned_table_rolls_back_and_stays_while_the_planner_writes_on():
    pilot = settled()
    before = current_versions(pilot)[-1]
    for weight in (14.0, 18.0):
        write_weights(pilot, {3: weight})
        pilot.run(50)
    pilot.core.versioned_tables.pin(before._replace(cause="rollback", operator="op"))
    write_weights(pilot, {3: 22.0, 4: 13.0})
    pilot.run(1500)
    assert all(holds(pilot, proxy, before.weights) for proxy in pilot.proxies.values())
    assert ("rollback", "op") in {(version.cause, version.operator) for version in current_versions(pilot)}
    pilot.core.versioned_tables.release(0)
    pilot.run(5000)
    wanted = pilot.core.versioned_tables.rollouts[0].wanted_weights
    assert (
        all(holds(pilot, proxy, wanted) for proxy in pilot.proxies.values())
        and not pilot.core.versioned_tables.is_behind()
    )


def test_an_endpoint_removed_from_a_pinned_table_is_out_at_once_and_stays_out_of_the_pin():
    pilot = settled()
    pilot.core.versioned_tables.pin(current_versions(pilot)[-1])
    pilot.roster("partial", [3], "terminating")
    pilot.run(1500)
    assert (EJECTED, 3) in pilot.core.tables.proxies[0].acknowledged
    assert 3 not in pilot.core.versioned_tables.target(0)[0]
    assert not any(line.endswith("table-0/3") for line in pilot.proxies["p0"].held(LEDS))


def test_a_warming_endpoint_of_a_pinned_version_is_limited():
    pilot = settled()
    version = current_versions(pilot)[-1]
    pilot.core.endpoints.started_ms[3] = pilot.now
    pilot.core.versioned_tables.pin(version)
    pilot.core.update_endpoint_states(pilot.now)
    assert pilot.core.versioned_tables.target(0)[0][3] <= 0.25 * version.weights[4] + 1.0


def test_a_pin_without_a_warm_endpoint_gives_way_to_the_planner():
    pilot = settled()
    version = current_versions(pilot)[-1]
    pilot.core.versioned_tables.pin(version._replace(weights={3: 10.0}))
    pilot.roster("partial", [3], "terminated")
    pilot.run(3000)
    assert len(pilot.core.versioned_tables.target(0)[0]) >= 4
    assert any("/table-0/" in line for line in pilot.proxies["p0"].held(LEDS))


@pytest.mark.parametrize("refusing", [False, True])
def test_a_rollback_overtakes_a_change_in_flight_though_some_proxies_reject_it(refusing):
    pilot = settled(3)
    before = current_versions(pilot)[-1]
    write_weights(pilot, {3: 18.0, 5: 14.0})
    for proxy in pilot.proxies.values():
        proxy.pump()
    some = pilot.proxies["p1"]
    some.refuses = refusing
    pilot.core.versioned_tables.pin(before._replace(cause="rollback"))
    pilot.run(300, step=50.0)
    some.refuses = False
    pilot.run(4000, step=50.0)
    assert all(holds(pilot, proxy, before.weights) for proxy in pilot.proxies.values())


def test_of_two_rollbacks_that_cross_the_later_one_holds():
    pilot = settled()
    versions = []
    for weight in (14.0, 18.0, 23.0):
        write_weights(pilot, {3: weight})
        pilot.run(100)
        versions.append(current_versions(pilot)[-1])
    pilot.core.versioned_tables.pin(versions[0])
    pilot.run(30, read=False)
    pilot.core.versioned_tables.pin(versions[1])
    pilot.run(3000)
    assert all(holds(pilot, proxy, versions[1].weights) for proxy in pilot.proxies.values())


def test_withheld_changes_come_later_a_part_at_a_time_and_are_reported():
    pilot = settled(gate=RolloutGateSettings(max_moved_share=0.3, move_window_ms=1000.0))
    write_weights(pilot, {1: 40.0, 2: 40.0, 3: 10.0})
    lines = pilot.core.tables.tables[0].weights
    assert lines[1] < 40.0 or lines[2] < 40.0
    assert pilot.core.versioned_tables.withheld and pilot.core.versioned_tables.withheld[0].rule == MOVED_SHARE


def test_a_proxy_that_missed_many_changes_gets_one_update():
    pilot = settled(gate=RolloutGateSettings(enabled=False))
    proxy = pilot.proxies["p0"]
    kept = {url: dict(row) for url, row in proxy.versions.items()}
    proxy.leave()
    for weight in range(11, 31):
        write_weights(pilot, {3: float(weight), 4: float(weight % 7 + 8)})
        pilot.run(20)
    pilot.core.planner.run_interval = lambda incoming, orders: None  # what it orders itself would come on top
    again = pilot.join("p0", "a", kept)
    pilot.core.tables.begin()
    pilot.core.tables.assign_table(again.number, 0, [0, 1])
    pilot.core.channel.put(pilot.core.tables.commit(), pilot.now)
    pilot.run(3000)
    lines = [names for url, names, _ in again.log if url == LEDS]
    assert sum("/table-0/3" in each for names in lines for each in names) == 1
    assert holds(pilot, again, pilot.core.tables.tables[0].weights)


class ChosenVersion(RuleBasedStateMachine):
    """Deltas, acknowledgements, refusals, rollbacks, releases, lost streams: all end on exactly what was chosen."""

    def __init__(self):
        super().__init__()
        self.pilot = settled(2)
        self.pilot.core.planner.run_interval = lambda incoming, orders: None  # the module is silent: orders are ours
        self.books()

    def books(self):
        self.weight = 10.0

    @rule(endpoint=st.integers(1, 6), weight=st.sampled_from([8.0, 10.0, 12.0, 15.0]))
    def module(self, endpoint, weight):
        write_weights(self.pilot, {endpoint: weight})

    @rule(back=st.integers(0, 4))
    def rollback(self, back):
        versions = current_versions(self.pilot)
        self.pilot.core.versioned_tables.pin(versions[max(0, len(versions) - 1 - back)]._replace(cause="rollback"))

    @rule()
    def release(self):
        self.pilot.core.versioned_tables.release(0)

    @rule(ms=st.sampled_from([20.0, 200.0, 700.0]), read=st.booleans())
    def wait(self, ms, read):
        self.pilot.run(ms, read=read)

    @rule(at=st.integers(0, 1), on=st.booleans())
    def refuse(self, at, on):
        self.pilot.proxies[f"p{at}"].refuses = on

    @rule(at=st.integers(0, 1))
    def redial(self, at):
        proxy = self.pilot.proxies[f"p{at}"]
        kept = {url: dict(row) for url, row in proxy.versions.items()}
        proxy.leave()
        self.pilot.join(f"p{at}", "ab"[at], kept)
        core = self.pilot.core
        core.tables.begin()
        core.tables.assign_table(self.pilot.proxies[f"p{at}"].number, 0, [0, 1])
        core.channel.put(core.tables.commit(), self.pilot.now)

    @invariant()
    def never_bare(self):
        assert all(any("/table-0/" in n for n in proxy.held(LEDS)) for proxy in self.pilot.proxies.values())

    def teardown(self):
        refused = any(proxy.refuses for proxy in self.pilot.proxies.values())
        for proxy in self.pilot.proxies.values():
            proxy.refuses = False
        if refused or any(state.nacked for state in self.pilot.core.tables.proxies.values()):
            # A line that was refused alone waits for its next version: each is written once more.
            book = self.pilot.core.versioned_tables
            lines = dict(book.target(0)[0])
            for extra in (0.5, 0.0):
                book.pin(TableVersion("", 0, "", "pin", "", 0.0, 0, {e: w + extra for e, w in lines.items()}, {}))
                self.pilot.run(12000.0, step=50.0)
        self.pilot.run(12000.0, step=50.0)
        wanted = self.pilot.core.versioned_tables.target(0)[0]
        for proxy in self.pilot.proxies.values():
            assert holds(self.pilot, proxy, wanted)


ChosenVersion.TestCase.settings = hypothesis_settings(
    max_examples=12, stateful_step_count=15, deadline=None, derandomize=True
)


TestChosenVersion = ChosenVersion.TestCase
