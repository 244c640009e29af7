"""Which kind of update the channel is reserved for."""

import pytest

from quillstep.planner.overdue_updates import MAX_REMOVAL_WAIT_MS, MAX_WAIT_MS, OverdueUpdates, UpdateKind


def waiting(**since_ms):
    overdue = OverdueUpdates()
    for kind, since in since_ms.items():
        overdue.record(UpdateKind[kind], since, is_published=False, is_waiting=True)
    return overdue


def test_the_channel_is_reserved_for_the_kind_that_has_waited_longest():
    overdue = waiting(ORDINARY=200.0, ADMISSION=100.0)
    overdue.reserve(MAX_WAIT_MS + 99.0, may_remove=True)
    assert overdue.reserved is None and overdue.allows(UpdateKind.CALENDAR)
    overdue.reserve(MAX_WAIT_MS + 300.0, may_remove=True)
    assert overdue.reserved is UpdateKind.ADMISSION
    allowed = {kind for kind in UpdateKind if overdue.allows(kind)}
    assert allowed == {UpdateKind.ADMISSION, UpdateKind.URGENT}


def test_a_kind_of_which_something_is_published_waits_anew():
    overdue = waiting(CALENDAR=0.0)
    overdue.record(UpdateKind.CALENDAR, 5000.0, is_published=True, is_waiting=True)
    overdue.reserve(MAX_WAIT_MS, may_remove=True)
    assert overdue.reserved is None
    overdue.reserve(MAX_WAIT_MS + 5000.0, may_remove=True)
    assert overdue.reserved is UpdateKind.CALENDAR and overdue.allows(UpdateKind.SUBSET)


@pytest.mark.parametrize(("may_remove", "reserved"), [(True, UpdateKind.REMOVAL), (False, None)])
def test_removals_reserve_the_channel_only_while_they_can_be_published(may_remove, reserved):
    # Otherwise they would hold everything back until the last of many joining proxies has the calendar.
    overdue = waiting(REMOVAL=0.0)
    overdue.reserve(MAX_REMOVAL_WAIT_MS, may_remove)
    assert overdue.reserved is reserved
