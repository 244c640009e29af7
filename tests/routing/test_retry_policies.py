"""Retry policies in effect: higher ones from when they are sent, lower ones from the end of the last request."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from memory_fleet import small_scenario

from quillstep.invariants import Rule, check_invariants
from quillstep.routing.retry_policies import MAX_RETRY_POLICY, RetryPolicies, max_retry_policy
from quillstep.testbed.scenarios.runner import play_arm

SAFE, KEYED, UNSAFE = (max_retry_policy(semantics) for semantics in ("safe", "keyed", "unsafe"))


def exceeding_proxies(policies, now):
    return {row.class_index: row.proxies for row in policies.excesses(now)}


def test_a_lower_policy_is_in_effect_once_acknowledged_and_the_last_request_has_ended():
    policies = RetryPolicies([UNSAFE], [1000.0])
    policies.add_proxy(1, True, 0)
    policies.allowed = [2]
    policies.record_sent(1, "a", {0: 2})
    policies.record_ack(1, "a", 100.0)
    policies.allowed = [UNSAFE]  # as after a change of the settings
    policies.has_changed = True
    assert exceeding_proxies(policies, 200.0) == {0: [1]}
    policies.record_sent(1, "b", {0: 1})
    assert exceeding_proxies(policies, 300.0) == {0: [1]}  # sent but not acknowledged
    policies.record_ack(1, "b", 400.0)
    assert [(change.exceeding, change.compliant) for change in policies.changes(1350.0)] == [([1], [])]
    assert exceeding_proxies(policies, 1399.0) == {0: [1]} and exceeding_proxies(policies, 1401.0) == {}
    assert policies.next_expiry_ms == 1400.0
    assert [(change.exceeding, change.compliant) for change in policies.changes(1400.1)] == [([], [1])]


@pytest.mark.parametrize("steps", [["nack"], ["reconnect"], ["leave"], ["unknown"]])
def test_an_unknown_policy_counts_as_the_highest(steps):
    policies = RetryPolicies([UNSAFE], [1000.0])
    policies.add_proxy(1, "unknown" not in steps, 0)
    policies.record_sent(1, "a", {0: 2})
    if "nack" in steps:
        policies.record_ack(1, "a", 0.0)
        policies.record_sent(1, "b", {0: 1})
        policies.record_nack(1, "b")
    if "reconnect" in steps:  # the proxy may have applied routes sent on its old stream
        policies.record_sent(1, "b", {0: 1})
        policies.add_proxy(1, False, 0)
    assert exceeding_proxies(policies, 5000.0) == {0: [1]}


def test_a_higher_policy_counts_from_when_it_is_sent():
    policies = RetryPolicies([KEYED], [1000.0])
    policies.add_proxy(1, True, 0)
    policies.record_sent(1, "a", {0: MAX_RETRY_POLICY})
    assert policies.highest_in_effect(1, 0, 0.0) == MAX_RETRY_POLICY
    policies.record_sent(1, "b", {0: 1})
    policies.record_ack(1, "b", 10.0)  # the first was superseded, but may have been in effect for a while
    assert policies.highest_in_effect(1, 0, 20.0) == MAX_RETRY_POLICY and policies.highest_in_effect(1, 0, 1011.0) == 1


@given(st.lists(st.sampled_from(["raise", "lower", "ack", "nack", "apply", "begin", "reconnect", "wait"]), max_size=30))
def test_no_request_is_retried_under_a_policy_that_is_not_counted(steps):
    """Simulates a proxy: the controller must count every policy that the proxy may use."""
    policies, now, nonce = RetryPolicies([UNSAFE], [100.0]), 0.0, 0
    policies.add_proxy(1, True, 0)
    applied, unread, replies, running = 0, [], [], []
    for step in steps:
        now += 30.0
        if step in ("raise", "lower"):
            nonce += 1
            policies.record_sent(1, str(nonce), {0: 2 if step == "raise" else 1})
            unread.append((str(nonce), 2 if step == "raise" else 1))
        elif step == "apply" and unread:
            name, applied = unread.pop(0)
            replies.append((name, True))
        elif step == "nack" and unread:
            replies.append((unread.pop(0)[0], False))
        elif step == "ack" and replies:
            name, accepted = replies.pop(0)
            policies.record_ack(1, name, now) if accepted else policies.record_nack(1, name)
        elif step == "reconnect":
            unread, replies = [], []
            policies.add_proxy(1, False, 0)
        elif step == "begin":
            running.append((applied, now + 100.0))
        running = [request for request in running if request[1] > now]
        assert policies.highest_in_effect(1, 0, now) >= max([applied, *(policy for policy, _ in running)])


TIMES = {"agreed_ms": 400.0, "cut_off_ms": 1200.0, "work_ms": 20.0}


CLASSES = [
    {"name": "lookup", "credit": 1.0, "semantics": "safe", "share": 0.3, **TIMES},
    {"name": "save", "credit": 2.0, "semantics": "keyed", "scope": "all", "window_ms": 4000.0, "share": 0.5, **TIMES},
    {"name": "issue", "credit": 3.0, "semantics": "unsafe", "share": 0.2, **TIMES},
]


def restricted_scenario():
    """A class becomes unsafe while answers are lost; proxies are disconnected, acknowledge late or lose a response."""
    proxy_settings = {"report_every_ms": 300.0, "dial_ms": 100.0, "standing": 2, "base_tries": 0}
    return small_scenario(
        seconds=15.0, warm_up_s=7.0, proxies=8, pilots=2, exchanges_per_s=90.0, file_proxies=0.13, sotw_proxies=0.13,
        fleet={"zones": ["a", "b"], "classes": CLASSES, "proxies": proxy_settings},
        troubles=[
            {"at_s": 0.5, "for_s": 14.0, "what": "lose_answers", "count": 2, "factor": 1.5},
            {"at_s": 1.5, "for_s": 4.0, "what": "proxy_cut", "count": 2},
            {"at_s": 2.0, "for_s": 12.0, "what": "tighten", "kind": "save"},
            {"at_s": 2.5, "for_s": 4.0, "what": "proxy_late_words", "count": 2, "factor": 0.5},
            {"at_s": 6.0, "for_s": 1.0, "what": "proxy_loses", "count": 3, "factor": 1},
        ],
    )  # fmt: skip


def test_no_retry_is_executed_twice_where_endpoints_forget_keys_once_the_lower_policy_is_in_effect(tmp_path):
    evidence = play_arm(restricted_scenario(), tmp_path / "learnt").evidence()
    assert check_invariants(evidence) == []
    commands = [row for row in evidence.commands if row["do"] == "tighten"]
    assert commands, "expected the controllers to report the lower policy in time"
    assert {row["kind"] for row in evidence.retry_policy_changes} >= {"save", "issue"}
    repeated = [
        row["tries"] for row in evidence.requests
        if row["class"] == "save" and len(row["tries"]) > 1 and row["tries"][0][3] != "no connection"
    ]  # fmt: skip
    assert repeated, "expected retries under the former policy"
    for row in commands:  # negative check: endpoints that forget keys before the lower policy is in effect
        row["at"] = repeated[-1][1][1] - 1.0
    assert {found.rule for found in check_invariants(evidence)} == {Rule.DUPLICATE_EFFECT}
