"""Which versions a store retains."""

import pytest

from quillstep.store.retention import StoredVersion, numbers_to_drop


@pytest.mark.parametrize(
    ("wall_ms", "pinned", "max_versions", "max_age_ms", "dropped"),
    [
        ([1, 2, 3, 4], set(), 2, 1e9, [1, 2]),
        ([1, 2, 3, 4], {"v1"}, 2, 1e9, [2, 3]),
        ([0, 0, 90, 100], set(), 10, 50, [1, 2]),
        ([0, 0, 0, 0], set(), 10, 50, [1, 2, 3]),  # the newest version is retained
        ([900, 901, 902, 5], set(), 10, 50, []),  # no version is removed because the clock was set back
    ],
)
def test_versions_are_retained_by_count_age_and_pins(wall_ms, pinned, max_versions, max_age_ms, dropped):
    versions = [StoredVersion(at + 1, f"v{at + 1}", float(ms)) for at, ms in enumerate(wall_ms)]
    assert numbers_to_drop(versions, pinned, 100.0, max_versions, max_age_ms) == dropped
