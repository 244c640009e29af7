"""Which versions a store keeps."""

import pytest

from quillstep.store.retention import StoredVersion, numbers_to_drop


@pytest.mark.parametrize(
    ("wall", "pinned", "count", "age", "dropped"),
    [
        ([1, 2, 3, 4], set(), 2, 1e9, [1, 2]),
        ([1, 2, 3, 4], {"v1"}, 2, 1e9, [2, 3]),
        ([0, 0, 90, 100], set(), 10, 50, [1, 2]),
        ([0, 0, 0, 0], set(), 10, 50, [1, 2, 3]),  # the newest stays
        ([900, 901, 902, 5], set(), 10, 50, []),  # a clock that went back makes nothing old
    ],
)
def test_versions_are_kept_by_count_age_and_pins(wall, pinned, count, age, dropped):
    rows = [StoredVersion(at + 1, f"v{at + 1}", float(ms)) for at, ms in enumerate(wall)]
    assert numbers_to_drop(rows, pinned, 100.0, count, age) == dropped
