"""Validation of received messages."""

import pytest

from quillstep.planner.messages import UpstreamStats
from quillstep.platform.protocol import validation
from quillstep.platform.protocol.validation import Deployment

DEPLOYMENT = Deployment(4, frozenset("ab"), {"lookup": 0, "issue": 1}, 1200.0)


VALID_MESSAGES = {
    "attach": {"id": 3, "site": "a", "rps": 21.5, "new": True},
    "done": {"id": 3, "seq": 905, "ms": 310.4},
    "upstream_stats": {
        "site": "a", "target": "s", "count": 9, "fail": 3, "mean": 4.5, "over": 1000.0, "util": {"util": 0.6},
    },
    "client_stats": {"id": 3, "lane": "lookup", "count": 19, "fail": 0, "over": 1000.0},
}  # fmt: skip


PARSERS = {
    "attach": validation.parse_proxy_registration,
    "done": validation.parse_ack,
    "upstream_stats": validation.parse_upstream_stats,
    "client_stats": validation.parse_downstream_stats,
}


@pytest.mark.parametrize("kind", sorted(VALID_MESSAGES))
def test_valid_messages_are_parsed_and_missing_fields_are_rejected(kind):
    PARSERS[kind](VALID_MESSAGES[kind], DEPLOYMENT)
    for name in VALID_MESSAGES[kind].keys() - {"util"}:
        with pytest.raises(validation.InvalidMessageError, match=f"^missing field {name}$"):
            PARSERS[kind]({key: value for key, value in VALID_MESSAGES[kind].items() if key != name}, DEPLOYMENT)


@pytest.mark.parametrize(
    ("kind", "name", "value"),
    [
        ("attach", "id", 4), ("attach", "id", -1), ("attach", "id", True), ("attach", "id", 1.0),
        ("attach", "site", "c"), ("attach", "rps", -1.0), ("attach", "new", 1),
        ("done", "seq", 65536), ("done", "seq", "9"), ("done", "ms", None),
        ("upstream_stats", "fail", 10), ("upstream_stats", "count", 2.5), ("upstream_stats", "mean", -1),
        ("upstream_stats", "mean", 1e7), ("upstream_stats", "over", 0), ("upstream_stats", "over", float("nan")),
        ("upstream_stats", "util", {"util": 37.0}), ("upstream_stats", "util", {"util": "x"}),
        ("upstream_stats", "util", 3),
        ("upstream_stats", "target", 5), ("upstream_stats", "site", "c"), ("client_stats", "lane", "none"),
        ("client_stats", "count", 10**12), ("client_stats", "id", 4),
    ],
)  # fmt: skip
def test_fields_of_the_wrong_type_or_out_of_range_are_rejected(kind, name, value):
    with pytest.raises(validation.InvalidMessageError):
        PARSERS[kind]({**VALID_MESSAGES[kind], name: value}, DEPLOYMENT)


def test_failed_attempts_need_no_mean_and_unanswered_requests_may_exceed_requests():
    message = {**VALID_MESSAGES["upstream_stats"], "fail": 9}
    del message["mean"]
    assert validation.parse_upstream_stats(message, DEPLOYMENT)[1] == UpstreamStats(
        "s", 9, 9, 0.0, 1000.0, {"util": 0.6}
    )
    stats = validation.parse_downstream_stats({**VALID_MESSAGES["client_stats"], "count": 1, "fail": 4}, DEPLOYMENT)
    assert (stats.requests, stats.unanswered) == (1, 4)
