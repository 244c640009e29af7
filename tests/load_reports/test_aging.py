"""Load reports weigh less with age; how late they are; which numbers were seen."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from quillstep.load_reports.aging import ExcessDelay, SeenNumbers, age_weight


@pytest.mark.parametrize(
    ("age_ms", "window_ms", "expected"),
    [
        (0.0, 1000.0, 1.0),  # fresh
        (0.0, 0.0, 1.0),
        (1000.0, 0.0, 1.0),  # as old as its period
        (2000.0, 0.0, 0.5),
        (3000.0, 0.0, 0.25),
        (5000.0, 1000.0, (0.5**4 - 0.5**5) / math.log(2.0)),
    ],
)
def test_weight_halves_with_each_period_beyond_the_requested_one(age_ms, window_ms, expected):
    assert age_weight(age_ms, window_ms, 1000.0, 1000.0) == pytest.approx(expected)


@given(st.floats(0, 20000), st.floats(1, 50000), st.floats(100, 8000))
def test_all_old_reports_together_weigh_less_than_one_and_a_half_periods(age_ms, window_ms, grace_ms):
    weight_ms = age_weight(age_ms, window_ms, grace_ms, 1000.0) * window_ms
    assert weight_ms <= grace_ms + 1000.0 / math.log(2.0) + 1e-6
    later = age_weight(age_ms + 100.0, window_ms, grace_ms, 1000.0)
    assert later <= age_weight(age_ms, window_ms, grace_ms, 1000.0) + 1e-9


def test_delay_is_measured_from_the_least_one_whatever_the_clock_and_recovers():
    delay = ExcessDelay()
    assert [delay.measure(sent, at, 10000.0) for sent, at in ((5e9, 100.0), (5e9 + 1000, 1100.0))] == [0.0, 0.0]
    assert delay.measure(5e9 + 2000, 5100.0, 10000.0) == pytest.approx(3000.0)
    for at in (12000.0, 23000.0, 34000.0):  # its clock was set back; after two spans it is believed again
        late = delay.measure(at - 50000.0, at, 10000.0)
    assert late == 0.0


@given(st.lists(st.integers(0, 60), max_size=200))
def test_each_number_is_new_once(numbers):
    held, seen = SeenNumbers(), set()
    for number in numbers:
        assert held.add(number) is (number not in seen)
        seen.add(number)


def test_numbers_with_too_many_gaps_are_forgotten_from_below_and_count_as_seen():
    held = SeenNumbers()
    assert all(held.add(number) for number in range(0, 400, 2))
    assert len(held.ranges) <= 32 and not held.add(1) and held.add(399)
