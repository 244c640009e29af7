"""A bounded model of the stream protocol: updates, acks, disconnects, resumption, loss, reordering, two controllers.

One proxy, one resource, two controllers that do not communicate.  It describes what `routing/in_flight.py`,
`routing/proxy_state.py`, `routing/retry_policies.py` and `xds/delta.py` do with one key; `explore.py` checks the real
code against the same properties.

Variables: `owner` (controller of the stream, 0: none), `want1`, `want2` (the version that each controller wants the
proxy to hold), `has` (the version that the proxy holds); in the owner's state `held` (acknowledged), `dirty` (pending),
`refused` (nacked), `again` (a retry after a nack is due), two updates in flight (`n`, `v`: nonce and version; 0: none)
and `top` (the nonce under which the newest version is in flight); queues of two messages to the proxy (`d`) and to the
controller (`u`).  The resource is the class's retry policy: version 1 retries after any failure, the others only
requests that were not executed.  A request (`runs`: the version that it began with, 0: none) lasts until `ends`;
`until`: when a lower policy is in effect; `forgot`: endpoints may have forgotten idempotency keys.
"""

from typing import Any

import z3

from quillstep.model_checking.bounded_model import Model, State, Step, value

HIGHER_POLICY = 1  # The version with the higher retry policy.
VERSIONS = (1, 2, 3)
MAX_NONCE = 12  # Enough for a bounded run.
PROBE = 15  # The version that stands for a response without changes.
REQUEST_STEPS = 2  # Clock ticks that a request lasts, and that the controller waits after an ack.

INITIAL_STATE = {
    "owner": 1, "want1": 1, "want2": 1, "has": 1, "held": 1, "dirty": 0, "refused": 0, "again": 0,
    "n1": 0, "v1": 0, "n2": 0, "v2": 0, "top": 0, "nonce": 0,
    "dn1": 0, "dv1": 0, "dn2": 0, "dv2": 0, "un1": 0, "uo1": 0, "un2": 0, "uo2": 0,
    "clock": 0, "runs": 0, "ends": 0, "until": 0, "forgot": 0,
}  # fmt: skip

If, And, Or, Not, ULT = z3.If, z3.And, z3.Or, z3.Not, z3.ULT


def desired(s: State) -> Any:
    """Returns the version that the owner wants the proxy to hold."""
    return If(s["owner"] == 1, s["want1"], s["want2"])


def newest_sent(s: State) -> Any:
    """Returns the version that the proxy holds once all updates in flight are applied (`newest_sent_version`)."""
    return If(s["top"] == 0, s["held"], If(s["top"] == s["n2"], s["v2"], s["v1"]))


def is_idle(s: State) -> Any:
    """Returns whether nothing is in flight and the owner has nothing to send."""
    empty = [s[name] == 0 for name in ("dn1", "dn2", "un1", "un2", "n1", "n2", "dirty", "again")]
    return And(s["owner"] != 0, *empty)


def update_steps(s: State) -> list[Step]:
    """Returns the steps that change the desired version; the key is marked as pending even if it is held already."""
    steps = []
    for controller in (1, 2):
        for version in VERSIONS:
            marks = If(s["owner"] == controller, value(1), s["dirty"])
            steps.append(Step(f"controller {controller} wants {version}", s[f"want{controller}"] != version,
                              {f"want{controller}": value(version), "dirty": marks}))  # fmt: skip
    return steps


def send_steps(s: State, mutant: str) -> list[Step]:
    """Returns the steps of `changes_to_send` and `record_sent`, and the probe after a late update."""
    has_room = And(s["n2"] == 0, s["dn2"] == 0, ULT(s["nonce"], MAX_NONCE))
    nonce = s["nonce"] + 1
    differs = And(newest_sent(s) != desired(s), s["refused"] != desired(s))
    is_second = s["n1"] != 0
    in_flight = {
        "n1": If(is_second, s["n1"], nonce), "n2": If(is_second, nonce, s["n2"]),
        "dn1": If(s["dn1"] == 0, nonce, s["dn1"]), "dn2": If(s["dn1"] == 0, s["dn2"], nonce),
    }  # fmt: skip

    def sent_version(version: Any) -> State:
        return {
            **in_flight, "nonce": nonce,
            "v1": If(is_second, s["v1"], version), "v2": If(is_second, version, s["v2"]),
            "dv1": If(s["dn1"] == 0, version, s["dv1"]), "dv2": If(s["dn1"] == 0, s["dv2"], version),
        }  # fmt: skip

    sent = {**sent_version(desired(s)), "top": nonce, "dirty": value(0)}
    if mutant == "held at sending":
        sent["held"] = desired(s)
    # A nack applies to one version; once another is desired, the rejected one may be sent again later.
    nacked = If(s["refused"] != desired(s), value(0), s["refused"])
    may_probe = And(s["owner"] != 0, has_room, s["n1"] != 0, s["n2"] == 0, s["v1"] != PROBE)
    return [
        Step("send", And(s["owner"] != 0, s["dirty"] == 1, differs, has_room), {**sent, "refused": nacked}),
        Step("settle", And(s["owner"] != 0, s["dirty"] == 1, Not(differs)), {"dirty": value(0), "refused": nacked}),
        Step("probe", may_probe, sent_version(value(PROBE))),
    ]  # fmt: skip


def proxy_steps(s: State) -> list[Step]:
    """Returns the proxy's steps: the first queued response is applied, rejected or lost; a probe changes nothing."""
    shifted = {"dn1": s["dn2"], "dv1": s["dv2"], "dn2": value(0), "dv2": value(0)}
    can_reply = And(s["dn1"] != 0, s["un2"] == 0)

    def reply(is_ack: int) -> State:
        is_first = s["un1"] == 0
        return {
            "un1": If(is_first, s["dn1"], s["un1"]), "uo1": If(is_first, value(is_ack), s["uo1"]),
            "un2": If(is_first, s["un2"], s["dn1"]), "uo2": If(is_first, s["uo2"], value(is_ack)),
        }  # fmt: skip

    has = If(s["dv1"] == PROBE, s["has"], s["dv1"])
    return [
        Step("apply", can_reply, {**shifted, **reply(1), "has": has}),
        Step("refuse", And(can_reply, s["dv1"] != PROBE), {**shifted, **reply(0)}),
        Step("lose", s["dn1"] != 0, shifted),
    ]


def reply_steps(s: State, mutant: str) -> list[Step]:
    """Returns the steps of `record_ack` and `record_nack`: earlier updates without a reply are lost and resent."""
    nonce, is_ack = s["un1"], s["uo1"] == 1
    shifted = {"un1": s["un2"], "uo1": s["uo2"], "un2": value(0), "uo2": value(0)}
    is_first, is_second = And(nonce == s["n1"], nonce != 0), And(nonce == s["n2"], nonce != 0)
    is_in_flight = Or(is_first, is_second)
    version = If(is_first, s["v1"], s["v2"])
    is_newest = s["top"] == nonce
    is_top_lost = And(is_second, s["top"] == s["n1"], s["n1"] != 0)  # No reply to the first update can follow.
    acknowledges = And(is_in_flight, is_ack, version != PROBE)
    rejects = And(is_in_flight, Not(is_ack), is_newest)
    if mutant == "old word on new":
        acknowledges = And(nonce != 0, is_ack, version != PROBE)
        version = newest_sent(s)
    clears = Or(And(is_in_flight, is_newest), is_top_lost)
    if mutant == "lost and not missed":
        clears, is_top_lost = And(is_in_flight, is_newest), z3.BoolVal(False)
    remaining = If(is_first, s["n2"], value(0))
    sets = {
        **shifted,
        "held": If(acknowledges, version, s["held"]),
        "top": If(clears, value(0), s["top"]),
        "dirty": If(Or(rejects, is_top_lost), value(1), s["dirty"]),
        "refused": If(rejects, version, If(acknowledges, value(0), s["refused"])),
        "again": If(rejects, value(1), s["again"]),
        "n1": If(is_in_flight, remaining, s["n1"]), "v1": If(is_first, s["v2"], s["v1"]),
        "n2": If(is_in_flight, value(0), s["n2"]),
    }  # fmt: skip
    if mutant == "refused for good":
        sets["again"] = value(0)
    # A lower policy is in effect once it is acknowledged and the requests that began before have ended.
    in_effect_at = s["clock"] + (0 if mutant == "in force at the word" else REQUEST_STEPS)
    sets["until"] = If(
        And(acknowledges, s["held"] == HIGHER_POLICY, version != HIGHER_POLICY), in_effect_at, s["until"]
    )
    retry = {"again": value(0), "dirty": value(1), "refused": value(0)}
    return [
        Step("answer", And(s["owner"] != 0, nonce != 0), sets),
        Step("retry", And(s["owner"] != 0, s["again"] == 1), retry),
    ]


def stream_steps(s: State, mutant: str) -> list[Step]:
    """Returns disconnects, which lose all messages in transit, and joins, which report the version that is held."""
    cleared = {
        name: value(0)
        for name in ("n1", "v1", "n2", "v2", "top", "dn1", "dv1", "dn2", "dv2", "un1", "uo1", "un2", "uo2",
                     "refused", "again")
    }  # fmt: skip
    steps = [Step("disconnect", s["owner"] != 0, {**cleared, "owner": value(0), "dirty": value(0)})]
    for controller in (1, 2):
        # The held version is reported, but not since when: earlier requests may have a higher policy.
        joins = {"owner": value(controller), "held": s["has"], "dirty": value(1), "until": s["clock"] + REQUEST_STEPS}
        if mutant == "trusts its memory":
            joins["held"] = s["held"]
        steps.append(Step(f"join controller {controller}", s["owner"] == 0, joins))
    return steps


def request_steps(s: State, mutant: str) -> list[Step]:
    """Returns the steps of a request, which follows the routes that it began with.

    Endpoints forget idempotency keys when the controller permits it.
    """
    is_early = ULT(s["clock"], 10)
    is_lower_in_effect = And(
        s["owner"] != 0, s["held"] != HIGHER_POLICY, z3.UGE(s["clock"], s["until"]),
        *[Not(And(s[n] != 0, s[v] == HIGHER_POLICY)) for n, v in (("n1", "v1"), ("n2", "v2"))],
        s["want1"] != HIGHER_POLICY, s["want2"] != HIGHER_POLICY,
    )  # fmt: skip
    if mutant == "in force at sending":
        is_lower_in_effect = And(
            s["owner"] != 0, newest_sent(s) != HIGHER_POLICY, s["want1"] != HIGHER_POLICY, s["want2"] != HIGHER_POLICY
        )
    may_tick = And(is_early, Or(s["runs"] == 0, ULT(s["clock"] + 1, s["ends"])))  # A request ends by its deadline.
    return [
        Step("begin", And(s["runs"] == 0, is_early), {"runs": s["has"], "ends": s["clock"] + REQUEST_STEPS}),
        Step("end", s["runs"] != 0, {"runs": value(0)}),
        Step("tick", may_tick, {"clock": s["clock"] + 1}),
        Step("forget", And(is_lower_in_effect, s["forgot"] == 0), {"forgot": value(1)}),
    ]


def acknowledged_wrongly(s: State) -> Any:
    """Returns whether a version counts as acknowledged that the proxy neither holds nor has replaced by a newer one."""
    has_unread_reply = Or(s["un1"] != 0, s["un2"] != 0)
    return And(s["owner"] != 0, s["held"] != s["has"], Not(has_unread_reply), Not(has_unanswered(s)))


def has_unanswered(s: State) -> Any:
    """Returns whether an update in flight is not in transit: applied without a reply so far, or lost."""
    unanswered = [And(s[n] != 0, s[n] != s["dn1"], s[n] != s["dn2"]) for n in ("n1", "n2")]
    return Or(*unanswered)


def is_stale(s: State) -> Any:
    """Returns whether nothing is left to do and the proxy does not hold the desired version."""
    return And(is_idle(s), s["has"] != desired(s))


def may_run_twice(s: State) -> Any:
    """Returns whether a request may be retried after any failure although endpoints have forgotten its key."""
    return And(s["forgot"] == 1, Or(s["runs"] == HIGHER_POLICY, s["has"] == HIGHER_POLICY))


BAD_STATES = {
    "held without a word": acknowledged_wrongly,
    "not the newest": is_stale,
    "run twice": may_run_twice,
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
    """Returns the model or a mutant of it."""

    def steps(s: State) -> list[Step]:
        all_steps = [
            *update_steps(s),
            *send_steps(s, mutant),
            *proxy_steps(s),
            *reply_steps(s, mutant),
            *stream_steps(s, mutant),
            *request_steps(s, mutant),
        ]
        # Once endpoints may forget keys, the settings of controllers do not allow the higher policy.
        return [
            step._replace(condition=And(step.condition, s["forgot"] == 0))
            if step.name.endswith(f"wants {HIGHER_POLICY}")
            else step
            for step in all_steps
        ]

    return Model(INITIAL_STATE, steps, BAD_STATES)
