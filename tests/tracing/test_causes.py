"""The control interval behind a revision is found in a recording, with its events and commands."""

import pytest

from quillstep.tracing.causes import concerns, find_cause

WEIGHT = "xdstp://quillstep/envoy.config.endpoint.v3.LbEndpoint/table-0/5"


@pytest.mark.parametrize(
    ("command", "resource", "expected"),
    [
        (["line", 0, 5, 10.0], WEIGHT, True),
        (["line", 1, 5, 10.0], WEIGHT, False),
        (["line", 0, 55, 10.0], WEIGHT, False),
        (["withdraw", 5, True], WEIGHT, True),
        (["level", 0, [1], 3.0, 1], "exchanges", True),
        (["level", 0, [1], 3.0, 1], WEIGHT, False),
    ],
)
def test_a_cause_includes_only_commands_that_concern_the_resource(command, resource, expected):
    assert concerns(command, resource) is expected


def test_a_cause_includes_the_events_of_the_interval_and_their_ages():
    reports = [[3, 800.0, 400.0, 1000.0, 5.0, 9, 0.0]]
    records = [
        ["probe", 90.0, 95.0, 1, True, 3.0, {}],
        ["orders", 100.0, 100.0, 3, [["line", 0, 5, 9.0]]],
        ["roster", 850.0, 860.0, "partial", [[5, "a", "terminating", 1.0, 0.0]], []],
        ["reports", 870.0, 870.0, 0, {"heard": reports}],
        ["sent", 880.0, 880.0, "send", {}],
        ["orders", 900.0, 900.0, 4, [["withdraw", 5, True], ["note", "it drains"], ["line", 0, 6, 2.0]]],
    ]
    found = find_cause(records, 4, WEIGHT)
    assert (
        found
        and found.event_counts == {"roster": 1, "reports": 1}
        and found.oldest_ms == {"roster": 50.0, "reports": 500.0}
    )
    assert found.commands == [["withdraw", 5, True]] and found.notes == ["it drains"]
    assert found.descriptions[0] == "roster, partial: 5 terminating, 50 ms before"
    assert find_cause(records, 9, WEIGHT) is None
