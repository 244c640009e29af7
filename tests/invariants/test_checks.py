"""Each rule is tested with a record that violates it and with one just within the limits."""

import pytest

from quillstep.config.fleet import ChannelSettings, ClassSettings, FleetSettings, InvariantSettings
from quillstep.invariants import Evidence, Rule, Violation, check_invariants
from quillstep.invariants.evidence import read_evidence

WARM_UP = {"start_capacity": 0.2, "warm_after_ms": 10000.0, "fall_multiple": 3.0, "tip_after_ms": 1500.0}
RULES = InvariantSettings(no_endpoint_grace_ms=4000.0, drain_grace_ms=2000.0, **WARM_UP)
TIMES = {"agreed_ms": 400.0, "cut_off_ms": 1200.0, "credit": 1.0}
CLASSES = [
    ClassSettings(name="look", semantics="safe", **TIMES),
    ClassSettings(name="save", semantics="keyed", idempotency_scope="zone", idempotency_window_ms=1000.0, **TIMES),
    ClassSettings(name="issue", semantics="unsafe", **TIMES),
    ClassSettings(name="home", semantics="safe", home_zone_only=True, **TIMES),
]
CHANNEL = ChannelSettings(lines_per_s=1000.0, max_queued_lines=500.0, max_messages=3, message_window_ms=10000.0)


def evidence_of(*rows):
    """Evidence of two proxies and three endpoints, two of them in the first proxy's zone."""
    evidence = Evidence(
        FleetSettings(zones=["a", "b"], classes=CLASSES, rules=RULES, channel=CHANNEL),
        endpoints_by_address={"h:1": 1, "h:2": 2, "h:3": 3}, endpoint_zones={1: "a", 2: "a", 3: "b"},
        endpoint_capacities={1: 2.0, 2: 2.0, 3: 2.0},
        proxy_zones={"p": "a", "q": "b"}, controllers={"x:1": "pilot-0"},
    )  # fmt: skip
    for writer, row in rows:
        evidence.add(writer, row)
    return evidence.sort()


def broken_rules(*rows):
    return [violation.rule for violation in check_invariants(evidence_of(*rows))]


def stream(at=0.0, proxy="p", is_open=True):
    return "proxies", {"what": "stream", "at": at, "proxy": proxy, "up": is_open, "pilot": "x:1"}


def discovery_update(at, endpoint, state, started=0.0):
    row = {"what": "told", "at": at, "pilot": "pilot-0", "endpoint": endpoint, "state": state, "started": started}
    return "roster", row


def request(at, *attempts, name="look", proxy="p", request_id="e1"):
    rows = [[address, sent, sent + 50.0, result, "v"] for address, sent, result in attempts]
    row = {"what": "exchange", "at": at, "end": at + 100.0, "proxy": proxy, "class": name}
    return "proxies", {**row, "exchange": request_id, "outcome": "ok", "tries": rows}


def served_request(at, endpoint=1, work=100.0, proxy="p", request_id="e1", name="look", effect=True):
    row = {"what": "exchange", "at": at, "endpoint": endpoint, "exchange": request_id, "class": name, "proxy": proxy}
    return "endpoints", {**row, "work": work, "effect": effect, "outcome": "run"}


def unroutable(begin, end=None, name="look", proxy="p"):
    row = {"what": "bare", "proxy": proxy, "class": name}
    rows = [("proxies", {**row, "at": begin, "on": True})]
    return rows if end is None else [*rows, ("proxies", {**row, "at": end, "on": False})]


def response(at, ordered, lines, order, proxy="p"):
    row = {"what": "send", "at": at, "ordered": ordered, "lines": lines, "order": order, "proxy": proxy}
    return "pilot", {**row, "bytes": 10, "nonce": f"pilot-0-1.{order}"}


def command(at, until, do="reads_nothing", proxy="p"):
    return "proxies", {"what": "command", "at": at, "proxy": proxy, "do": do, "until": until}


def endpoint_start(at):
    return "endpoints", {"what": "start", "at": at, "endpoint": 1, "zone": "a", "cold": True}


def burst_of_requests(begin, count, work=130.0):
    return [served_request(begin + 10.0 * at, work=work, request_id=f"e{at}") for at in range(count)]


END = request(30000.0, ("h:2", 30000.0, "ok"), request_id="last")


@pytest.mark.parametrize(
    ("rows", "is_violation"),
    [
        pytest.param(unroutable(1000.0, 5100.0), True, id="longer-than-the-grace"),
        pytest.param(unroutable(1000.0, 4900.0), False, id="within-the-grace"),
        pytest.param(unroutable(1000.0), True, id="until-the-end"),
        pytest.param(
            [*unroutable(1000.0, 9000.0), stream(4000.0, is_open=False), stream(5500.0)],
            False,
            id="reconnected-between",
        ),
        pytest.param(
            [
                *unroutable(1000.0, 9000.0),
                discovery_update(0.5, 1, "terminated"),
                discovery_update(0.5, 3, "terminated"),
            ],
            False,
            id="none-in-service",
        ),
        pytest.param(
            [*unroutable(1000.0, 9000.0, "home"), discovery_update(0.5, 1, "terminated")],
            False,
            id="home-zone-only-and-none-in-the-zone",
        ),
        pytest.param(unroutable(1000.0, 9000.0, "home"), True, id="home-zone-only"),
        pytest.param(
            [
                *unroutable(1000.0, 9000.0),
                discovery_update(0.5, 1, "in_service", 500.0),
                discovery_update(0.5, 3, "in_service", 500.0),
            ],
            False,
            id="all-warming-up",
        ),
        pytest.param([*unroutable(1000.0, 9000.0), command(800.0, 9000.0, "stall")], False, id="proxy-stalled"),
    ],
)
def test_a_connected_proxy_has_an_endpoint_while_one_is_listed_and_warm(rows, is_violation):
    base = [stream(), discovery_update(0.0, 1, "in_service"), discovery_update(0.0, 3, "in_service"), END]
    assert broken_rules(*base, *rows) == [Rule.NO_ENDPOINT] * is_violation


def retried(first_result, second_sent=600.0, second_address="h:2", name="look"):
    return request(100.0, ("h:1", 100.0, first_result), (second_address, second_sent, "ok"), name=name)


@pytest.mark.parametrize(
    ("row", "is_violation"),
    [
        pytest.param(retried("time-out", name="issue"), True, id="unsafe-after-time-out"),
        pytest.param(retried("no connection", name="issue"), False, id="unsafe-that-never-ran"),
        pytest.param(retried("error", 110.0, name="issue"), True, id="unsafe-after-error"),
        pytest.param(retried("time-out"), False, id="safe"),
        pytest.param(retried("time-out", 1090.0, name="save"), False, id="keyed-within-the-window"),
        pytest.param(retried("time-out", 1110.0, name="save"), True, id="keyed-after-the-window"),
        pytest.param(retried("time-out", 600.0, "h:3", name="save"), True, id="keyed-in-another-zone"),
    ],
)
def test_no_retry_of_what_may_have_run_outside_what_the_class_allows(row, is_violation):
    assert broken_rules(stream(), row) == [Rule.DUPLICATE_EFFECT] * is_violation


@pytest.mark.parametrize(
    ("name", "second", "is_violation"),
    [
        pytest.param("issue", served_request(900.0, 2, name="issue"), True, id="unsafe"),
        pytest.param("issue", served_request(900.0, 2, name="issue", effect=False), False, id="without-effect"),
        pytest.param("save", served_request(900.0, 2, name="save"), True, id="keyed"),
        pytest.param("look", served_request(900.0, 2), False, id="safe"),
        pytest.param("issue", served_request(900.0, 2, name="issue", request_id="e2"), False, id="another-request"),
    ],
)
def test_no_request_takes_effect_at_endpoints_twice(name, second, is_violation):
    rows = [stream(), served_request(100.0, name=name), second]
    assert broken_rules(*rows) == [Rule.DUPLICATE_EFFECT] * is_violation


def request_at(at, address="h:1"):
    return request(at, (address, at, "ok"))


DISCONNECT = stream(2000.0, is_open=False)


@pytest.mark.parametrize(
    ("rows", "is_violation"),
    [
        pytest.param([request_at(3010.0)], True, id="after-the-grace"),
        pytest.param([request_at(2990.0)], False, id="within-the-grace"),
        pytest.param([request_at(9000.0, "h:2")], False, id="another-endpoint"),
        pytest.param(
            [discovery_update(2500.0, 1, "terminated"), request_at(3010.0)], True, id="terminated-counts-from-draining"
        ),
        pytest.param([discovery_update(2500.0, 1, "in_service"), request_at(3010.0)], False, id="in-service-again"),
        pytest.param([DISCONNECT, stream(2500.0), request_at(4400.0)], False, id="within-the-grace-of-a-reconnect"),
        pytest.param([DISCONNECT, stream(2500.0), request_at(4600.0)], True, id="after-the-grace-of-a-reconnect"),
        pytest.param([DISCONNECT, request_at(9000.0)], False, id="disconnected"),
        pytest.param([command(1500.0, 4000.0), request_at(3500.0)], False, id="blocked"),
        pytest.param([command(1500.0, 4000.0), request_at(5900.0)], False, id="within-the-grace-of-a-block"),
        pytest.param([command(1500.0, 4000.0), request_at(6100.0)], True, id="after-the-grace-of-a-block"),
    ],
)
def test_no_attempt_at_a_draining_endpoint_after_the_grace(rows, is_violation):
    base = [stream(), discovery_update(0.0, 1, "in_service"), discovery_update(1000.0, 1, "terminating"), END]
    assert broken_rules(*base, *rows) == [Rule.LATE_AFTER_DRAIN] * is_violation


@pytest.mark.parametrize(
    ("rows", "is_violation"),
    [
        # At this age the budget is 2 cores x 1500 ms x 3 x 0.376, plus 10 % for random arrivals: about 3700 ms.
        pytest.param(burst_of_requests(3200.0, 33), True, id="over-the-budget"),
        pytest.param(burst_of_requests(3200.0, 24), False, id="within-the-budget"),
        pytest.param(burst_of_requests(16000.0, 70), False, id="warm"),
        pytest.param(burst_of_requests(2000.0, 33), False, id="controller-not-informed-for-the-grace"),
        pytest.param([stream(1500.0, is_open=False), *burst_of_requests(3200.0, 33)], False, id="disconnected"),
        pytest.param(
            [row for at in range(3) for row in burst_of_requests(3200.0 + 1600.0 * at, 24)],
            False,
            id="never-within-one-window",
        ),
    ],
)
def test_no_endpoint_is_overloaded_while_warming_up(rows, is_violation):
    base = [stream(), endpoint_start(1000.0), discovery_update(1100.0, 1, "in_service", 1000.0), END]
    assert broken_rules(*base, *rows) == [Rule.WARM_UP_OVERLOAD] * is_violation


def responses_at_once(lines):
    return [response(2000.0, 1000.0, lines, at, proxy=f"p{at}") for at in (1, 2)]


def single_lines(count, interval):
    return [response(1000.0 + interval * at, 1000.0 + interval * at, 1.0, at) for at in range(count)]


@pytest.mark.parametrize(
    ("rows", "is_violation"),
    [
        pytest.param(responses_at_once(250.0), True, id="queue-over-the-limit"),  # 2 x (250 + 6 per message)
        pytest.param(responses_at_once(240.0), False, id="queue-within-the-limit"),
        pytest.param(
            [response(1500.0, 1000.0, 250.0, 1, "p1"), response(2500.0, 2000.0, 250.0, 2, "p2")],
            False,
            id="one-after-another",
        ),
        pytest.param(single_lines(4, 1.0), True, id="messages-over-the-quota"),
        pytest.param(single_lines(3, 1.0), False, id="messages-within-the-quota"),
        pytest.param(
            [response(1000.0 + at, 1000.0, 1.0, 1) for at in range(9)], False, id="resource-types-of-one-update"
        ),
        pytest.param(single_lines(5, 5001.0), False, id="messages-spread-over-windows"),
    ],
)
def test_channel_queue_and_message_quota_stay_within_the_limits(rows, is_violation):
    assert broken_rules(stream(), *rows) == [Rule.CHANNEL_LIMIT] * is_violation


def test_a_violation_is_printed_under_the_names_of_stored_results():
    violations = [Violation(rule, 1.5, "text", "p", 7, "e1").to_row() for rule in Rule]
    assert [row["rule"] for row in violations] == ["bare", "twice", "drain", "cold", "queue"]
    assert violations[0] == {
        "rule": "bare", "at_ms": 1.5, "text": "text", "proxy": "p", "endpoint": 7, "exchange": "e1",
    }  # fmt: skip


def test_a_truncated_last_line_is_skipped_and_a_malformed_complete_one_is_rejected(tmp_path):
    fleet = FleetSettings(zones=["a"], classes=CLASSES)
    path = tmp_path / "proxies-0.jsonl"
    path.write_bytes(b'{"what":"stream","at":1,"proxy":"p","up":true,"pilot":"x:1"}\n{"what":"str')
    assert len(read_evidence(tmp_path, Evidence(fleet)).stream_changes) == 1
    path.write_bytes(b'{"what":"str\n{"what":"stream","at":1,"proxy":"p","up":true,"pilot":"x:1"}\n')
    with pytest.raises(Exception, match="JSON"):
        read_evidence(tmp_path, Evidence(fleet))
