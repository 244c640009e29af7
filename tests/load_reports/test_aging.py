"""Age weights of load reports, delay estimation, and detection of repeated report numbers."""

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
        (1000.0, 0.0, 1.0),  # age equal to the grace period
        (2000.0, 0.0, 0.5),
        (3000.0, 0.0, 0.25),
        (5000.0, 1000.0, (0.5**4 - 0.5**5) / math.log(2.0)),
    ],
)
def test_weight_halves_with_each_half_life_beyond_the_grace_period(age_ms, window_ms, expected):
    assert age_weight(age_ms, window_ms, 1000.0, 1000.0) == pytest.approx(expected)


@given(st.floats(0, 20000), st.floats(1, 50000), st.floats(100, 8000))
def test_total_weight_of_old_reports_is_below_one_and_a_half_half_lives(age_ms, window_ms, grace_ms):
    weight_ms = age_weight(age_ms, window_ms, grace_ms, 1000.0) * window_ms
    assert weight_ms <= grace_ms + 1000.0 / math.log(2.0) + 1e-6
    later = age_weight(age_ms + 100.0, window_ms, grace_ms, 1000.0)
    assert later <= age_weight(age_ms, window_ms, grace_ms, 1000.0) + 1e-9


def test_delay_is_relative_to_the_minimum_offset_and_recovers_after_a_clock_change():
    delay = ExcessDelay()
    assert [
        delay.measure(sent_ms, arrived_ms, 10000.0) for sent_ms, arrived_ms in ((5e9, 100.0), (5e9 + 1000, 1100.0))
    ] == [0.0, 0.0]
    assert delay.measure(5e9 + 2000, 5100.0, 10000.0) == pytest.approx(3000.0)
    # The proxy's clock was set back; the old minimum expires after two spans.
    for arrived_ms in (12000.0, 23000.0, 34000.0):
        delay_ms = delay.measure(arrived_ms - 50000.0, arrived_ms, 10000.0)
    assert delay_ms == 0.0


@given(st.lists(st.integers(0, 60), max_size=200))
def test_each_number_is_new_only_once(numbers):
    seen_numbers, expected = SeenNumbers(), set()
    for number in numbers:
        assert seen_numbers.add(number) is (number not in expected)
        expected.add(number)


def test_with_too_many_gaps_the_lowest_ranges_are_merged_and_their_gaps_count_as_seen():
    seen_numbers = SeenNumbers()
    assert all(seen_numbers.add(number) for number in range(0, 400, 2))
    assert len(seen_numbers.ranges) <= 32 and not seen_numbers.add(1) and seen_numbers.add(399)
