"""The stream protocol as a bounded model: update, send, ack, disconnect, resume, loss, overtaking, two controllers.

One proxy, one resource, two controllers that know nothing of each other.  It states what `routing/in_flight.py`,
`routing/proxy_state.py`, `routing/retry_policies.py` and `xds/delta.py` do with one key; `explore.py` holds the real
code against the same properties.

Variables: `owner` (controller of the stream, 0: none), `want1`, `want2` (what each controller wants the proxy to
hold), `has` (what the proxy holds); of the owner's state `held` (acknowledged), `dirty` (pending), `refused`
(nacked), two updates in flight (`n`, `v`: nonce and version; 0: none) and `top` (the nonce under which the newest
version is in flight); queues of two towards the proxy (`d`) and the controller (`u`); the class's retry policy:
version 1 retries after any failure, the others only what was not executed. A request (`runs`: the version that it
began with, 0: none) takes until `ends`.
"""

from typing import Any

import z3

from quillstep.model_checking.bounded_model import Model, State, Step, value

HIGHER_POLICY = 1  # the version with the higher retry policy
VERSIONS = (1, 2, 3)
MAX_NONCE = 12  # that a bounded run can use
PROBE = 15  # the version of a response without changes
REQUEST_STEPS = 2  # clock steps of a request, and of the wait after an ack

FIRST = {
    "owner": 1, "want1": 1, "want2": 1, "has": 1, "held": 1, "dirty": 0, "refused": 0, "again": 0,
    "n1": 0, "v1": 0, "n2": 0, "v2": 0, "top": 0, "nonce": 0,
    "dn1": 0, "dv1": 0, "dn2": 0, "dv2": 0, "un1": 0, "uo1": 0, "un2": 0, "uo2": 0,
    "clock": 0, "runs": 0, "ends": 0, "until": 0, "forgot": 0,
}  # fmt: skip

If, And, Or, Not, ULT = z3.If, z3.And, z3.Or, z3.Not, z3.ULT


def desired(s: State) -> Any:
    """Returns what the owner wants the proxy to hold."""
    return If(s["owner"] == 1, s["want1"], s["want2"])


def newest_sent(s: State) -> Any:
    """Returns what the proxy will hold once all that is in flight has come: `newest_sent_version`."""
    return If(s["top"] == 0, s["held"], If(s["top"] == s["n2"], s["v2"], s["v1"]))


def is_quiet(s: State) -> Any:
    """Returns whether nothing is in flight, and the owner sees nothing to send."""
    empty = [s[name] == 0 for name in ("dn1", "dn2", "un1", "un2", "n1", "n2", "dirty", "again")]
    return And(s["owner"] != 0, *empty)


def updates(s: State) -> list[Step]:
    """Returns what controllers come to want; a key that is held already is marked all the same."""
    found = []
    for controller in (1, 2):
        for version in VERSIONS:
            marks = If(s["owner"] == controller, value(1), s["dirty"])
            found.append(Step(f"controller {controller} wants {version}", s[f"want{controller}"] != version,
                              {f"want{controller}": value(version), "dirty": marks}))  # fmt: skip
    return found


def sends(s: State, mutant: str) -> list[Step]:
    """Returns `changes_to_send` and `record_sent`, and the probe after a late update."""
    room = And(s["n2"] == 0, s["dn2"] == 0, ULT(s["nonce"], MAX_NONCE))
    nonce = s["nonce"] + 1
    differs = And(newest_sent(s) != desired(s), s["refused"] != desired(s))
    second = s["n1"] != 0
    flight = {
        "n1": If(second, s["n1"], nonce), "n2": If(second, nonce, s["n2"]),
        "dn1": If(s["dn1"] == 0, nonce, s["dn1"]), "dn2": If(s["dn1"] == 0, s["dn2"], nonce),
    }  # fmt: skip

    def carrying(version: Any) -> State:
        return {
            **flight, "nonce": nonce,
            "v1": If(second, s["v1"], version), "v2": If(second, version, s["v2"]),
            "dv1": If(s["dn1"] == 0, version, s["dv1"]), "dv2": If(s["dn1"] == 0, s["dv2"], version),
        }  # fmt: skip

    sent = {**carrying(desired(s)), "top": nonce, "dirty": value(0)}
    if mutant == "held at sending":
        sent["held"] = desired(s)
    # A nack holds for one version; once another is wanted, the same may be sent again.
    nacked = If(s["refused"] != desired(s), value(0), s["refused"])
    may_probe = And(s["owner"] != 0, room, s["n1"] != 0, s["n2"] == 0, s["v1"] != PROBE)
    return [
        Step("send", And(s["owner"] != 0, s["dirty"] == 1, differs, room), {**sent, "refused": nacked}),
        Step("settle", And(s["owner"] != 0, s["dirty"] == 1, Not(differs)), {"dirty": value(0), "refused": nacked}),
        Step("probe", may_probe, carrying(value(PROBE))),
    ]  # fmt: skip


def proxy(s: State) -> list[Step]:
    """Returns what the proxy does: the head of what came is applied, refused or lost; a probe changes nothing."""
    shifted = {"dn1": s["dn2"], "dv1": s["dv2"], "dn2": value(0), "dv2": value(0)}
    room = And(s["dn1"] != 0, s["un2"] == 0)

    def answer(good: int) -> State:
        first = s["un1"] == 0
        return {
            "un1": If(first, s["dn1"], s["un1"]), "uo1": If(first, value(good), s["uo1"]),
            "un2": If(first, s["un2"], s["dn1"]), "uo2": If(first, s["uo2"], value(good)),
        }  # fmt: skip

    has = If(s["dv1"] == PROBE, s["has"], s["dv1"])
    return [
        Step("apply", room, {**shifted, **answer(1), "has": has}),
        Step("refuse", And(room, s["dv1"] != PROBE), {**shifted, **answer(0)}),
        Step("lose", s["dn1"] != 0, shifted),
    ]


def answers(s: State, mutant: str) -> list[Step]:
    """Returns `record_ack` and `record_nack`: what was sent before and was not answered is lost, and is sent again."""
    nonce, good = s["un1"], s["uo1"] == 1
    shifted = {"un1": s["un2"], "uo1": s["uo2"], "un2": value(0), "uo2": value(0)}
    is_first, is_second = And(nonce == s["n1"], nonce != 0), And(nonce == s["n2"], nonce != 0)
    known = Or(is_first, is_second)
    version = If(is_first, s["v1"], s["v2"])
    newest = s["top"] == nonce
    lost_top = And(is_second, s["top"] == s["n1"], s["n1"] != 0)  # the first update will never be answered
    holds = And(known, good, version != PROBE)
    refuses = And(known, Not(good), newest)
    if mutant == "old word on new":
        holds = And(nonce != 0, good, version != PROBE)
        version = newest_sent(s)
    clears = Or(And(known, newest), lost_top)
    if mutant == "lost and not missed":
        clears, lost_top = And(known, newest), z3.BoolVal(False)
    left = If(is_first, s["n2"], value(0))
    sets = {
        **shifted,
        "held": If(holds, version, s["held"]),
        "top": If(clears, value(0), s["top"]),
        "dirty": If(Or(refuses, lost_top), value(1), s["dirty"]),
        "refused": If(refuses, version, If(holds, value(0), s["refused"])),
        "again": If(refuses, value(1), s["again"]),
        "n1": If(known, left, s["n1"]), "v1": If(is_first, s["v2"], s["v1"]),
        "n2": If(known, value(0), s["n2"]),
    }  # fmt: skip
    if mutant == "refused for good":
        sets["again"] = value(0)
    # A lower policy is in effect when it is acknowledged and what began before is over.
    waits = s["clock"] + (0 if mutant == "in force at the word" else REQUEST_STEPS)
    sets["until"] = If(And(holds, s["held"] == HIGHER_POLICY, version != HIGHER_POLICY), waits, s["until"])
    once_more = {"again": value(0), "dirty": value(1), "refused": value(0)}
    return [
        Step("answer", And(s["owner"] != 0, nonce != 0), sets),
        Step("retry", And(s["owner"] != 0, s["again"] == 1), once_more),
    ]


def streams(s: State, mutant: str) -> list[Step]:
    """Returns disconnects, with all that is on its way, and joins to either controller, with what the proxy holds."""
    clean = {
        name: value(0)
        for name in ("n1", "v1", "n2", "v2", "top", "dn1", "dv1", "dn2", "dv2", "un1", "uo1", "un2", "uo2",
                     "refused", "again")
    }  # fmt: skip
    found = [Step("disconnect", s["owner"] != 0, {**clean, "owner": value(0), "dirty": value(0)})]
    for controller in (1, 2):
        # That it holds the version is known, since when is not: what began before may have a higher policy.
        joins = {"owner": value(controller), "held": s["has"], "dirty": value(1), "until": s["clock"] + REQUEST_STEPS}
        if mutant == "trusts its memory":
            joins["held"] = s["held"]
        found.append(Step(f"join controller {controller}", s["owner"] == 0, joins))
    return found


def requests(s: State, mutant: str) -> list[Step]:
    """Returns requests, by the routes that they began with; endpoints forget keys when the controller lets them."""
    early = ULT(s["clock"], 10)
    is_lower_in_effect = And(
        s["owner"] != 0, s["held"] != HIGHER_POLICY, z3.UGE(s["clock"], s["until"]),
        *[Not(And(s[n] != 0, s[v] == HIGHER_POLICY)) for n, v in (("n1", "v1"), ("n2", "v2"))],
        s["want1"] != HIGHER_POLICY, s["want2"] != HIGHER_POLICY,
    )  # fmt: skip
    if mutant == "in force at sending":
        is_lower_in_effect = And(
            s["owner"] != 0, newest_sent(s) != HIGHER_POLICY, s["want1"] != HIGHER_POLICY, s["want2"] != HIGHER_POLICY
        )
    ticks = And(early, Or(s["runs"] == 0, ULT(s["clock"] + 1, s["ends"])))  # over at its deadline at the latest
    return [
        Step("begin", And(s["runs"] == 0, early), {"runs": s["has"], "ends": s["clock"] + REQUEST_STEPS}),
        Step("end", s["runs"] != 0, {"runs": value(0)}),
        Step("tick", ticks, {"clock": s["clock"] + 1}),
        Step("forget", And(is_lower_in_effect, s["forgot"] == 0), {"forgot": value(1)}),
    ]


def acknowledged_wrongly(s: State) -> Any:
    """Returns whether a version counts as held that the proxy neither has nor has replaced by a newer one."""
    pending = Or(s["un1"] != 0, s["un2"] != 0)
    return And(s["owner"] != 0, s["held"] != s["has"], Not(pending), Not(has_unanswered(s)))


def has_unanswered(s: State) -> Any:
    """Returns whether an update in flight is no longer on its way: applied and not answered yet, or lost."""
    under_way = [And(s[n] != 0, s[n] != s["dn1"], s[n] != s["dn2"]) for n in ("n1", "n2")]
    return Or(*under_way)


def stays_behind(s: State) -> Any:
    """Returns whether all is quiet, and the proxy holds something else than it should."""
    return And(is_quiet(s), s["has"] != desired(s))


def runs_twice(s: State) -> Any:
    """Returns whether a request may be retried after any failure, at endpoints that have forgotten its key."""
    return And(s["forgot"] == 1, Or(s["runs"] == HIGHER_POLICY, s["has"] == HIGHER_POLICY))


BAD_STATES = {
    "held without a word": acknowledged_wrongly,
    "not the newest": stays_behind,
    "run twice": runs_twice,
}
MUTANTS = {
    "held at sending": "held without a word",
    "old word on new": "held without a word",
    "trusts its memory": "not the newest",
    "lost and not missed": "not the newest",
    "refused for good": "not the newest",
    "in force at sending": "run twice",
    "in force at the word": "run twice",
}


def model(mutant: str = "") -> Model:
    """Returns the protocol as it is, or a mutant of it."""

    def steps(s: State) -> list[Step]:
        found = [
            *updates(s),
            *sends(s, mutant),
            *proxy(s),
            *answers(s, mutant),
            *streams(s, mutant),
            *requests(s, mutant),
        ]
        # Once endpoints may forget, no controller sets the higher policy: its settings forbid it.
        return [
            step._replace(condition=And(step.condition, s["forgot"] == 0))
            if step.name.endswith(f"wants {HIGHER_POLICY}")
            else step
            for step in found
        ]

    return Model(FIRST, steps, BAD_STATES)
