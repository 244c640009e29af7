"""The checker proves itself: for each rule a record that breaks it is found, one just inside passes."""

import pytest

from quillstep.config.fleet import ChannelSettings, ClassSettings, FleetSettings, InvariantSettings
from quillstep.invariants import Evidence, judge
from quillstep.invariants.evidence import put, read_evidence

COLD = {"start_capacity": 0.2, "warm_after_ms": 10000.0, "fall_multiple": 3.0, "tip_after_ms": 1500.0}
RULES = InvariantSettings(no_endpoint_grace_ms=4000.0, drain_grace_ms=2000.0, **COLD)
TIMES = {"agreed_ms": 400.0, "cut_off_ms": 1200.0, "credit": 1.0}
CLASSES = [
    ClassSettings(name="look", semantics="safe", **TIMES),
    ClassSettings(name="save", semantics="keyed", idempotency_scope="zone", idempotency_window_ms=1000.0, **TIMES),
    ClassSettings(name="issue", semantics="unsafe", **TIMES),
    ClassSettings(name="home", semantics="safe", home_zone_only=True, **TIMES),
]
CHANNEL = ChannelSettings(lines_per_s=1000.0, max_queued_lines=500.0, max_messages=3, message_window_ms=10000.0)
BROKEN, SOUND = True, False


def evidence(*rows):
    made = Evidence(
        FleetSettings(zones=["a", "b"], classes=CLASSES, rules=RULES, channel=CHANNEL),
        addresses={"h:1": 1, "h:2": 2, "h:3": 3}, zones={1: "a", 2: "a", 3: "b"}, sizes={1: 2.0, 2: 2.0, 3: 2.0},
        homes={"p": "a", "q": "b"}, pilots={"x:1": "pilot-0"},
    )  # fmt: skip
    for side, row in rows:
        put(made, side, row)
    return made.sort()


def up(at=0.0, proxy="p", on=True):
    return "proxies", {"what": "stream", "at": at, "proxy": proxy, "up": on, "pilot": "x:1"}


def told(at, endpoint, state, started=0.0):
    row = {"what": "told", "at": at, "pilot": "pilot-0", "endpoint": endpoint, "state": state, "started": started}
    return "roster", row


def tried(at, *tries, name="look", proxy="p", exchange="e1"):
    rows = [[address, sent, sent + 50.0, result, "v"] for address, sent, result in tries]
    row = {"what": "exchange", "at": at, "end": at + 100.0, "proxy": proxy, "class": name}
    return "proxies", {**row, "exchange": exchange, "outcome": "ok", "tries": rows}


def took(at, endpoint=1, work=100.0, proxy="p", exchange="e1", name="look", effect=True):
    row = {"what": "exchange", "at": at, "endpoint": endpoint, "exchange": exchange, "class": name, "proxy": proxy}
    return "endpoints", {**row, "work": work, "effect": effect, "outcome": "run"}


def bare(at, on, name="look", proxy="p"):
    return "proxies", {"what": "bare", "at": at, "proxy": proxy, "class": name, "on": on}


def sent(at, ordered, lines, order, proxy="p"):
    row = {"what": "send", "at": at, "ordered": ordered, "lines": lines, "order": order, "proxy": proxy}
    return "pilot", {**row, "bytes": 10, "nonce": f"pilot-0-1.{order}"}


def commanded(at, until, do="reads_nothing", proxy="p"):
    return "proxies", {"what": "command", "at": at, "proxy": proxy, "do": do, "until": until}


END = tried(30000.0, ("h:2", 30000.0, "ok"), exchange="last")


@pytest.mark.parametrize(
    ("rows", "broken"),
    [
        ([bare(1000.0, True), bare(5100.0, False)], BROKEN),
        ([bare(1000.0, True), bare(4900.0, False)], SOUND),
        ([bare(1000.0, True)], BROKEN),  # until the end
        ([bare(1000.0, True), bare(9000.0, False), up(4000.0, on=False), up(5500.0)], SOUND),  # joined anew between
        ([bare(1000.0, True), bare(9000.0, False), told(0.5, 1, "terminated"), told(0.5, 3, "terminated")], SOUND),
        ([bare(1000.0, True, "home"), bare(9000.0, False, "home"), told(0.5, 1, "terminated")], SOUND),  # other zone
        ([bare(1000.0, True, "home"), bare(9000.0, False, "home")], BROKEN),
        ([bare(1000.0, True), bare(9000.0, False), told(0.5, 1, "in_service", 500.0),
          told(0.5, 3, "in_service", 500.0)], SOUND),  # listed, but cold
        ([bare(1000.0, True), bare(9000.0, False), commanded(800.0, 9000.0, "stall")], SOUND),
    ],
)  # fmt: skip
def test_nobody_bare(rows, broken):
    base = [up(), told(0.0, 1, "in_service"), told(0.0, 3, "in_service"), END]
    assert [b.rule for b in judge(evidence(*base, *rows))] == ["bare"] * broken


@pytest.mark.parametrize(
    ("row", "broken"),
    [
        (tried(100.0, ("h:1", 100.0, "time-out"), ("h:2", 600.0, "ok"), name="issue"), BROKEN),
        (tried(100.0, ("h:1", 100.0, "no connection"), ("h:2", 600.0, "ok"), name="issue"), SOUND),
        (tried(100.0, ("h:1", 100.0, "error"), ("h:2", 110.0, "ok"), name="issue"), BROKEN),
        (tried(100.0, ("h:1", 100.0, "time-out"), ("h:2", 600.0, "ok")), SOUND),
        (tried(100.0, ("h:1", 100.0, "time-out"), ("h:2", 1090.0, "ok"), name="save"), SOUND),
        (tried(100.0, ("h:1", 100.0, "time-out"), ("h:2", 1110.0, "ok"), name="save"), BROKEN),
        (tried(100.0, ("h:1", 100.0, "time-out"), ("h:3", 600.0, "ok"), name="save"), BROKEN),  # another zone
    ],
)
def test_no_effect_twice_from_what_proxies_sent(row, broken):
    assert [b.rule for b in judge(evidence(up(), row))] == ["twice"] * broken


@pytest.mark.parametrize(
    ("name", "second", "broken"),
    [
        ("issue", took(900.0, 2, name="issue"), BROKEN),
        ("issue", took(900.0, 2, name="issue", effect=False), SOUND),
        ("save", took(900.0, 2, name="save"), BROKEN),
        ("look", took(900.0, 2), SOUND),
        ("issue", took(900.0, 2, name="issue", exchange="e2"), SOUND),
    ],
)
def test_no_effect_twice_from_what_endpoints_did(name, second, broken):
    assert [b.rule for b in judge(evidence(up(), took(100.0, name=name), second))] == ["twice"] * broken


@pytest.mark.parametrize(
    ("rows", "broken"),
    [
        ([tried(3010.0, ("h:1", 3010.0, "ok"))], BROKEN),
        ([tried(2990.0, ("h:1", 2990.0, "ok"))], SOUND),
        ([tried(9000.0, ("h:2", 9000.0, "ok"))], SOUND),
        ([told(2500.0, 1, "terminated"), tried(3010.0, ("h:1", 3010.0, "ok"))], BROKEN),  # known since it drained
        ([told(2500.0, 1, "in_service"), tried(3010.0, ("h:1", 3010.0, "ok"))], SOUND),
        ([up(2000.0, on=False), up(2500.0), tried(4400.0, ("h:1", 4400.0, "ok"))], SOUND),  # from the joining
        ([up(2000.0, on=False), up(2500.0), tried(4600.0, ("h:1", 4600.0, "ok"))], BROKEN),
        ([up(2000.0, on=False), tried(9000.0, ("h:1", 9000.0, "ok"))], SOUND),  # joined to nobody
        ([commanded(1500.0, 4000.0), tried(3500.0, ("h:1", 3500.0, "ok"))], SOUND),
        ([commanded(1500.0, 4000.0), tried(5900.0, ("h:1", 5900.0, "ok"))], SOUND),
        ([commanded(1500.0, 4000.0), tried(6100.0, ("h:1", 6100.0, "ok"))], BROKEN),
    ],
)
def test_drains_are_kept(rows, broken):
    base = [up(), told(0.0, 1, "in_service"), told(1000.0, 1, "terminating"), END]
    assert [b.rule for b in judge(evidence(*base, *rows))] == ["drain"] * broken


def start(at):
    return "endpoints", {"what": "start", "at": at, "endpoint": 1, "zone": "a", "cold": True}


def burst(begin, count, work):
    return [took(begin + 10.0 * at, work=work, exchange=f"e{at}") for at in range(count)]


@pytest.mark.parametrize(
    ("rows", "broken"),
    [
        # 2 cores x 1500 ms x 3 x 0.376 at this age, and a tenth for chance: about 3700 ms
        (burst(3200.0, 33, 130.0), BROKEN),
        (burst(3200.0, 24, 130.0), SOUND),
        (burst(16000.0, 70, 130.0), SOUND),  # warm by then
        (burst(2000.0, 33, 130.0), SOUND),  # its pilot has known for less than the grace
        ([up(1500.0, on=False), *burst(3200.0, 33, 130.0)], SOUND),  # joined to nobody
        ([row for at in range(3) for row in burst(3200.0 + 1600.0 * at, 24, 130.0)], SOUND),  # never within a span
    ],
)
def test_no_cold_endpoint_pushed_over(rows, broken):
    base = [up(), start(1000.0), told(1100.0, 1, "in_service", 1000.0), END]
    assert [b.rule for b in judge(evidence(*base, *rows))] == ["cold"] * broken


@pytest.mark.parametrize(
    ("rows", "broken"),
    [
        ([sent(2000.0, 1000.0, 250.0, at, proxy=f"p{at}") for at in (1, 2)], BROKEN),  # 2 x (250 + 6)
        ([sent(2000.0, 1000.0, 240.0, at, proxy=f"p{at}") for at in (1, 2)], SOUND),
        ([sent(1500.0, 1000.0, 250.0, 1, "p1"), sent(2500.0, 2000.0, 250.0, 2, "p2")], SOUND),  # one after another
        ([sent(1000.0 + at, 1000.0 + at, 1.0, at) for at in range(4)], BROKEN),
        ([sent(1000.0 + at, 1000.0 + at, 1.0, at) for at in range(3)], SOUND),
        ([sent(1000.0 + at, 1000.0, 1.0, 1) for at in range(9)], SOUND),  # the types of one order
        ([sent(1000.0 + 5001.0 * at, 1000.0 + 5001.0 * at, 1.0, at) for at in range(5)], SOUND),
    ],
)
def test_a_short_queue(rows, broken):
    assert [b.rule for b in judge(evidence(up(), *rows))] == ["queue"] * broken


def test_a_torn_last_line_is_left_out_and_a_broken_one_is_not(tmp_path):
    fleet = FleetSettings(zones=["a"], classes=CLASSES)
    path = tmp_path / "proxies-0.jsonl"
    path.write_bytes(b'{"what":"stream","at":1,"proxy":"p","up":true,"pilot":"x:1"}\n{"what":"str')
    assert len(read_evidence(tmp_path, Evidence(fleet)).streams) == 1
    path.write_bytes(b'{"what":"str\n{"what":"stream","at":1,"proxy":"p","up":true,"pilot":"x:1"}\n')
    with pytest.raises(Exception, match="JSON"):
        read_evidence(tmp_path, Evidence(fleet))
