"""The rollout gate: which changes pass, which are withheld, and by which rule."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from quillstep.routing.rollout_gate import (
    MOVED_SHARE,
    NO_WARM_ENDPOINT,
    NOT_IN_SERVICE,
    WARMING_UP,
    EndpointStates,
    RolloutGate,
)

NAN = float("nan")


def endpoint_states(in_service=range(1, 11), **capacity_shares):
    return EndpointStates(set(in_service), {int(name[1:]): share for name, share in capacity_shares.items()})


TEN_WEIGHTS = dict.fromkeys(range(1, 11), 10.0)


@pytest.mark.parametrize(
    ("wanted", "endpoints", "passed", "rules"),
    [
        ({1: 15.0}, endpoint_states(), {1: 15.0}, []),
        ({1: 15.0}, endpoint_states(range(2, 11)), {}, [NOT_IN_SERVICE]),  # draining
        ({11: 10.0}, endpoint_states(range(1, 12), e11=0.2), {}, [WARMING_UP]),
        ({11: 3.0}, endpoint_states(range(1, 12), e11=0.2), {11: 3.0}, []),
        ({11: 1.0}, endpoint_states(range(1, 12), e11=0.001), {11: 1.0}, []),  # one slot, the minimum
        ({1: 0.0}, endpoint_states(), {1: 0.0}, []),  # removals are never withheld
        ({1: 60.0, 2: 30.0}, endpoint_states(), {1: 60.0}, [MOVED_SHARE]),  # 0.5 of the traffic, then 0.2 more of 0.6
        ({1: 90.0}, endpoint_states(), {}, [MOVED_SHARE]),
        ({1: NAN}, endpoint_states(), {}, [MOVED_SHARE]),
        (dict.fromkeys(range(1, 11), 0.0), endpoint_states(), {}, [NO_WARM_ENDPOINT]),
        (dict.fromkeys(range(1, 10), 0.0), endpoint_states(), dict.fromkeys(range(1, 10), 0.0), []),
        (dict.fromkeys(range(1, 11), 0.0), endpoint_states(()), dict.fromkeys(range(1, 11), 0.0), []),  # all are down
        ({1: 5.0}, endpoint_states(e1=0.5), {1: 5.0}, []),  # a reduction of a warming endpoint
    ],
)
def test_the_gate_passes_allowed_weights_and_names_the_rule_of_withheld_ones(wanted, endpoints, passed, rules):
    found, withheld = RolloutGate(0.6, 2000.0, [1]).filter_weights(0, TEN_WEIGHTS, wanted, endpoints, 0.0)
    assert found == passed and [change.rule for change in withheld] == rules


def test_moved_traffic_is_counted_within_the_window_and_removals_are_not():
    gate, endpoints = RolloutGate(0.5, 1000.0, [1]), endpoint_states()
    assert gate.filter_weights(0, TEN_WEIGHTS, {1: 45.0}, endpoints, 0.0)[0] == {1: 45.0}
    assert gate.filter_weights(0, TEN_WEIGHTS, {2: 45.0}, endpoints, 500.0)[0] == {}
    assert gate.filter_weights(1, TEN_WEIGHTS, {2: 45.0}, endpoints, 500.0)[0] == {2: 45.0}  # another table
    assert gate.filter_weights(0, TEN_WEIGHTS, {3: 0.0}, endpoints, 600.0)[0] == {3: 0.0}
    assert gate.filter_weights(0, TEN_WEIGHTS, {2: 45.0}, endpoints, 1001.0)[0] == {2: 45.0}


def test_an_endpoint_is_added_to_a_table_so_small_that_it_moves_more_than_the_limit():
    # Guards against a table of one endpoint that is never given a second one, and has none once the first is gone.
    gate, endpoints = RolloutGate(0.6, 2000.0, [1]), endpoint_states(range(1, 4))
    assert gate.filter_weights(0, {1: 10.0}, {2: 30.0}, endpoints, 0.0)[0] == {}, "more than its share"
    assert gate.filter_weights(0, {1: 10.0}, {2: 10.0}, endpoints, 0.0)[0] == {2: 10.0}
    assert gate.filter_weights(0, {1: 10.0, 2: 10.0}, {3: 10.0}, endpoints, 100.0)[0] == {}, "within the window"


@pytest.mark.parametrize(
    ("limit", "retry_policy", "allowed"),
    [
        (5.0, 1, True),
        (1e6, 0, True),
        (-1.0, 1, False),
        (NAN, 1, False),
        (1e9, 1, False),
        (5.0, 2, False),
        (5.0, -1, False),
    ],  # fmt: skip
)
def test_admission_limits_and_retry_policies_stay_within_bounds(limit, retry_policy, allowed):
    assert (RolloutGate(0.6, 2000.0, [1]).check_admission(0, 0, limit, retry_policy) is None) is allowed


NUMBERS = st.integers(1, 12)


@given(st.dictionaries(NUMBERS, st.floats(0.0, 100.0)), st.sets(NUMBERS), st.sets(NUMBERS))
def test_no_table_loses_its_last_warm_endpoint_nor_gains_one_not_in_service(wanted, in_service, warming):
    endpoints = EndpointStates(in_service, dict.fromkeys(warming, 0.3))
    passed, _ = RolloutGate(0.6, 2000.0, [1]).filter_weights(0, TEN_WEIGHTS, wanted, endpoints, 0.0)
    after = {**TEN_WEIGHTS, **passed}
    warm = [e for e in TEN_WEIGHTS if endpoints.is_warm(e)]
    assert not warm or any(after[e] > 0 for e in after if endpoints.is_warm(e))
    assert not [e for e, w in passed.items() if w > TEN_WEIGHTS.get(e, 0.0) and e not in in_service]
