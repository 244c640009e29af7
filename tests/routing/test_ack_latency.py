"""Orders that are late, stall their proxy, are lost; old versions in the counts; ways of trying again in force."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from memory_fleet import MemoryPilot, order, small_day

from quillstep.invariants import Rule, check_invariants
from quillstep.planner.messages import EndpointEntry
from quillstep.routing.ack_latency import IN_TIME, LATE, LOST, STALLED, AckLatency, LineCostEstimate
from quillstep.routing.resources import EJECTED, WEIGHT, table_number_offset
from quillstep.routing.retry_policies import MAX_RETRY_POLICY, RetryPolicies, max_retry_policy
from quillstep.testbed.scenarios.runner import play_arm
from quillstep.xds.resources import LEDS

LATE_MS, STALL_MS = 600.0, 40.0


def pace(*answers, usual=None):
    made, now = AckLatency(LATE_MS, STALL_MS, usual), 0.0
    for lines, took in answers:
        made.record_ack(lines, now, now + took)
        now += took
    return made


@pytest.mark.parametrize(
    ("answers", "usual", "line_ms", "most"),
    [
        ([], None, None, 16),  # a first piece, to learn by
        ([], 2.0, 2.0, 20),  # what the others take, until its own is known
        ([(1, 5.0), (20, 45.0)], None, None, 16),  # one answer may have met a busy pilot
        ([(1, 5.0), (20, 45.0), (20, 65.0)], None, 2.0, 20),  # queues only add: the least counts
        ([(1, 5.0), (20, 45.0), (20, 65.0)], 0.01, 2.0, 20),
        ([(1, 5.0), (20, 6.0), (20, 65.0)], None, 0.05, 800),
        ([(1, 5.0), (20, 400.0), (20, 400.0)], None, 19.75, 4),  # a piece has a few lines, however slow
    ],
)
def test_what_a_line_costs_is_the_least_it_has_cost(answers, usual, line_ms, most):
    made = pace(*answers, usual=usual)
    assert made.line_ms() == (pytest.approx(line_ms) if line_ms is not None else None)
    assert made.max_lines() == most


def test_few_slow_proxies_do_not_move_what_is_usual():
    usual = LineCostEstimate()
    for at in range(200):
        usual.add(5.0 if at % 10 == 0 else 0.04)
    assert usual.line_ms() == 0.04
    assert LineCostEstimate().line_ms() is None


@pytest.mark.parametrize(
    ("waits", "heard", "kind"),
    [
        (500.0, None, IN_TIME),
        (700.0, None, LATE),
        (700.0, 100.0, LATE),  # what came before it was due says nothing
        (700.0, 650.0, STALLED),
    ],
)
def test_a_proxy_that_talks_and_does_not_apply_is_told_from_one_that_is_silent(waits, heard, kind):
    assert pace().ack_delay("n", 3, 0.0, waits, heard).status == kind


def test_what_surely_takes_long_is_not_late():
    slow = pace((1, 5.0), (100, 2005.0), (100, 2005.0))
    now = slow.last_ack_ms
    assert slow.ack_delay("n", 100, now, now + 3000.0, None).status == IN_TIME
    assert slow.ack_delay("n", 1, now, now + 3000.0, None).status == LATE


def settled(**other):
    pilot = MemoryPilot(**other)
    for at in range(3):
        pilot.join(f"p{at}", "ab"[at % 2])
    return pilot.run(8000)


def drop(proxy):
    """Its next response is lost on it."""
    proxy.pump()
    return proxy.waits.pop(0)


def test_a_response_that_a_later_word_passes_over_is_lost_and_sent_again():
    pilot = settled()
    proxy, ledger = pilot.proxies["p0"], pilot.core.tables.proxies[0]
    order(pilot, lambda tables: tables.set_ejected(3, True, "draining"))
    lost = drop(proxy)
    order(pilot, lambda tables: tables.set_weight(0, 4, 55.0))
    pilot.run(20)
    assert (EJECTED, 3) in ledger.acknowledged and any("withdrawn/3" in name for name in proxy.held(LEDS))
    assert [v.status for v in ledger.new_ack_delays(pilot.now, None) if v.nonce == lost.nonce] == [LOST]


def test_a_lost_drain_is_found_by_a_question_where_nothing_follows_it():
    pilot = settled()
    proxy, ledger = pilot.proxies["p0"], pilot.core.tables.proxies[0]
    order(pilot, lambda tables: tables.set_ejected(3, True, "draining"))
    lost = drop(proxy)
    proxy.log.clear()
    pilot.run(LATE_MS - 50.0)
    assert (EJECTED, 3) not in ledger.acknowledged
    pilot.run(200.0)
    assert (EJECTED, 3) in ledger.acknowledged and lost.nonce not in ledger.in_flight_updates
    asked = [(names, removed) for _, names, removed in proxy.log if not names and not removed]
    assert len(asked) == 1, "one question, without changes"


def test_a_staller_is_asked_once_and_told_of_drains_alone_until_it_answers():
    pilot = settled()
    proxy, ledger = pilot.proxies["p0"], pilot.core.tables.proxies[0]
    order(pilot, lambda tables: tables.set_weight(0, 3, 55.0))
    proxy.pump()
    held = len(proxy.waits)
    for weight in range(60, 70):
        pilot.run(100.0, read=False)
        order(pilot, lambda tables, weight=weight: tables.set_weight(0, 3, float(weight)))
    order(pilot, lambda tables: tables.set_ejected(4, True, "draining"))
    pilot.run(50.0, read=False)
    late = proxy.waits[held:]
    drains = [r for r in late if any("withdrawn/4" in each.name for each in r.resources)]
    assert len(drains) == 1 and ledger.has_late_ack(pilot.now)
    lines = [each.name for r in proxy.waits for each in r.resources if each.name.endswith("table-0/3")]
    assert len(lines) <= 7, "what is overtaken after it is late is not sent"
    pilot.run(50.0)
    assert (
        ledger.acknowledged[WEIGHT, 0, 3] == pilot.core.tables.shared_resource((WEIGHT, 0, 3)).version
        and not ledger.in_flight_updates
    )
    assert not [v for v in ledger.new_ack_delays(pilot.now, None) if v.status == LOST]


def test_words_that_come_late_and_in_sequence_are_no_loss():
    pilot = settled()
    proxy, ledger = pilot.proxies["p0"], pilot.core.tables.proxies[0]
    for weight in (55.0, 56.0, 57.0):
        order(pilot, lambda tables, weight=weight: tables.set_weight(0, 3, weight))
        proxy.pump()
    pilot.run(2000.0, read=False)
    pilot.run(20.0)
    kinds = [v.status for v in ledger.new_ack_delays(pilot.now, None)]
    assert LOST not in kinds and not ledger.in_flight_updates


def test_what_stalls_most_is_spread_with_drains_first_and_no_proxy_bare():
    pilot = MemoryPilot(endpoints=60)
    proxy = pilot.join("p0")
    proxy.line_ms = 2.0
    pilot.run(4000)
    ledger = pilot.core.tables.proxies[0]
    assert max(len(names) for _, names, _ in proxy.log) <= 25, "the first table too goes in pieces"
    most = ledger.ack_latency.max_lines()
    assert most and 10 <= most <= 25
    proxy.log.clear()

    def write(tables):
        for endpoint in range(1, 51):
            tables.set_weight(0, endpoint, 33.0)
        tables.set_weight(0, 55, 0.0)
        tables.set_ejected(55, True, "draining")

    order(pilot, write)
    pilot.run(60.0)
    assert any("withdrawn/55" in name for name in proxy.log[0][1])
    pilot.run(1500.0)
    tables = pilot.core.tables
    assert all(
        ledger.acknowledged[key] == tables.shared_resource(key).version
        for key in tables.desired_keys(0)
        if key[0] == WEIGHT
    )
    sizes = [len(names) + len(removed) for _, names, removed in proxy.log]
    assert max(sizes) <= 25 and sum(sizes) >= 52
    gone = next(at for at, row in enumerate(proxy.log) if any(name.endswith("table-0/55") for name in row[2]))
    assert all(not any(name.endswith("/1") for name in row[1]) for row in proxy.log[gone + 1 :])  # what goes, goes last


def cold_return(stale):
    """Endpoint 3 dies and comes back cold; so many of five proxies never applied its death."""
    pilot = MemoryPilot()
    for at in range(5):
        pilot.join(f"p{at}", "ab"[at % 2])
    pilot.run(9000)
    core = pilot.core
    held = list(pilot.proxies.values())
    core.roster("partial", [EndpointEntry(3, "b", "terminated", 1.0, 0.0)], {})
    core.heard(pilot.now)
    for _ in range(60):
        pilot.now += 10.0
        core.step(pilot.now)
        for at, proxy in enumerate(held):
            proxy.pump()
            if at >= stale:
                proxy.read()
    core.roster("partial", [EndpointEntry(3, "b", "in_service", 1.0, pilot.now)], {})
    core.heard(pilot.now)
    core.tables.saturation.warming_up[3] = pilot.now
    order(pilot, lambda tables: (tables.set_weight(0, 3, 2.0), tables.set_ejected(3, False, "")))
    for _ in range(20):
        pilot.now += 10.0
        core.tables.pending_proxies.update(core.tables.proxies)
        for at, proxy in enumerate(held):
            proxy.pump()
            if at >= stale:
                proxy.read()
    return pilot, held


@pytest.mark.parametrize(("stale", "others"), [(0, True), (1, True), (3, False)])
def test_a_cold_endpoint_that_old_lines_push_gets_no_more(stale, others):
    pilot, held = cold_return(stale)
    out = [any("withdrawn/3" in name for name in proxy.held(LEDS)) for proxy in held[stale:]]
    assert all(out) if not others else not any(out)
    for proxy in held:  # those that were behind apply all; then nobody waits any more
        proxy.read()
    pilot.run(300.0)
    lines = {proxy.held(LEDS)[name] for proxy in held for name in proxy.held(LEDS) if name.endswith("table-0/3")}
    assert len(lines) == 1


SAFE, KEYED, UNSAFE = (max_retry_policy(each) for each in ("safe", "keyed", "unsafe"))


def loose(ways, now):
    return {row.class_index: row.proxies for row in ways.excesses(now)}


def test_a_tighter_way_is_in_force_when_it_is_acknowledged_and_the_last_exchange_is_over():
    ways = RetryPolicies([UNSAFE], [1000.0])
    ways.add_proxy(1, True, 0)
    ways.allowed = [2]
    ways.record_sent(1, "a", {0: 2})
    ways.record_ack(1, "a", 100.0)
    ways.allowed = [UNSAFE]  # as new settings would have it
    ways.has_changed = True
    assert loose(ways, 200.0) == {0: [1]}
    ways.record_sent(1, "b", {0: 1})
    assert loose(ways, 300.0) == {0: [1]}  # sent is not held
    ways.record_ack(1, "b", 400.0)
    assert [(told.exceeding, told.compliant) for told in ways.changes(1350.0)] == [([1], [])]
    assert loose(ways, 1399.0) == {0: [1]} and loose(ways, 1401.0) == {}
    assert ways.next_expiry_ms == 1400.0
    assert [(told.exceeding, told.compliant) for told in ways.changes(1400.1)] == [([], [1])]


@pytest.mark.parametrize("steps", [["refuse"], ["rejoin"], ["leave"], ["unknown"]])
def test_what_is_not_known_to_be_tight_counts_as_loose(steps):
    ways = RetryPolicies([UNSAFE], [1000.0])
    ways.add_proxy(1, "unknown" not in steps, 0)
    ways.record_sent(1, "a", {0: 2})
    if "refuse" in steps:
        ways.record_ack(1, "a", 0.0)
        ways.record_sent(1, "b", {0: 1})
        ways.record_nack(1, "b")
    if "rejoin" in steps:  # it may have applied what its old stream brought
        ways.record_sent(1, "b", {0: 1})
        ways.add_proxy(1, False, 0)
    assert loose(ways, 5000.0) == {0: [1]}


def test_a_looser_way_counts_from_its_sending_on():
    ways = RetryPolicies([KEYED], [1000.0])
    ways.add_proxy(1, True, 0)
    ways.record_sent(1, "a", {0: MAX_RETRY_POLICY})
    assert ways.highest_in_effect(1, 0, 0.0) == MAX_RETRY_POLICY
    ways.record_sent(1, "b", {0: 1})
    ways.record_ack(1, "b", 10.0)  # the first was overtaken: it may have been held for a while
    assert ways.highest_in_effect(1, 0, 20.0) == MAX_RETRY_POLICY and ways.highest_in_effect(1, 0, 1011.0) == 1


@given(st.lists(st.sampled_from(["loosen", "tighten", "ack", "nack", "apply", "begin", "rejoin", "wait"]), max_size=30))
def test_no_exchange_goes_by_a_way_that_is_not_counted(steps):
    """A proxy on its own side of the stream: whatever it goes by, the pilot has counted."""
    ways, now, nonce = RetryPolicies([UNSAFE], [100.0]), 0.0, 0
    ways.add_proxy(1, True, 0)
    holds, waits, words, running = 0, [], [], []
    for step in steps:
        now += 30.0
        if step in ("loosen", "tighten"):
            nonce += 1
            ways.record_sent(1, str(nonce), {0: 2 if step == "loosen" else 1})
            waits.append((str(nonce), 2 if step == "loosen" else 1))
        elif step == "apply" and waits:
            name, holds = waits.pop(0)
            words.append((name, True))
        elif step == "nack" and waits:
            words.append((waits.pop(0)[0], False))
        elif step == "ack" and words:
            name, good = words.pop(0)
            ways.record_ack(1, name, now) if good else ways.record_nack(1, name)
        elif step == "rejoin":
            waits, words = [], []
            ways.add_proxy(1, False, 0)
        elif step == "begin":
            running.append((holds, now + 100.0))
        running = [row for row in running if row[1] > now]
        assert ways.highest_in_effect(1, 0, now) >= max([holds, *(way for way, _ in running)])


def test_a_table_means_another_zone_only_under_another_number():
    base, other = table_number_offset(["a", "b"], True), table_number_offset(["b", "a"], True)
    assert base != other and base >= 2**24 and table_number_offset(["a", "b"], False) == 0
    assert table_number_offset(["a", "b"], True) == base


TIMES = {"agreed_ms": 400.0, "cut_off_ms": 1200.0, "work_ms": 20.0}
KINDS = [
    {"name": "lookup", "credit": 1.0, "semantics": "safe", "share": 0.3, **TIMES},
    {"name": "save", "credit": 2.0, "semantics": "keyed", "scope": "all", "window_ms": 4000.0, "share": 0.5, **TIMES},
    {"name": "issue", "credit": 3.0, "semantics": "unsafe", "share": 0.2, **TIMES},
]


def tight_day():
    """A class becomes unsafe while answers are lost; one proxy is cut off, one answers late, two lose a response."""
    knobs = {"report_every_ms": 300.0, "dial_ms": 100.0, "standing": 2, "base_tries": 0}
    return small_day(
        seconds=15.0, warm_up_s=7.0, proxies=8, pilots=2, exchanges_per_s=90.0, file_proxies=0.13, sotw_proxies=0.13,
        fleet={"zones": ["a", "b"], "classes": KINDS, "proxies": knobs},
        troubles=[
            {"at_s": 0.5, "for_s": 14.0, "what": "lose_answers", "count": 2, "factor": 1.5},
            {"at_s": 1.5, "for_s": 4.0, "what": "proxy_cut", "count": 2},
            {"at_s": 2.0, "for_s": 12.0, "what": "tighten", "kind": "save"},
            {"at_s": 2.5, "for_s": 4.0, "what": "proxy_late_words", "count": 2, "factor": 0.5},
            {"at_s": 6.0, "for_s": 1.0, "what": "proxy_loses", "count": 3, "factor": 1},
        ],
    )  # fmt: skip


def test_no_repeat_runs_where_endpoints_forget_only_once_the_tighter_way_is_in_force(tmp_path):
    evidence = play_arm(tight_day(), tmp_path / "learnt").evidence()
    assert check_invariants(evidence) == []
    forgot = [row for row in evidence.commands if row["do"] == "tighten"]
    assert forgot, "the pilots said so in time"
    assert {row["kind"] for row in evidence.retry_policy_changes} >= {"save", "issue"}
    repeated = [
        row["tries"] for row in evidence.requests
        if row["class"] == "save" and len(row["tries"]) > 1 and row["tries"][0][3] != "no connection"
    ]  # fmt: skip
    assert repeated, "the older way was gone by"
    for row in forgot:  # the broken twin: endpoints that forget before they are told
        row["at"] = repeated[-1][1][1] - 1.0
    assert {found.rule for found in check_invariants(evidence)} == {Rule.DUPLICATE_EFFECT}
