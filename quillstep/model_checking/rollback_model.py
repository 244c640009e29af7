"""The way back as a bounded model: operators' words, the store, kills, pushes; every proxy ends on the chosen version.

One table of three versions, one proxy, one pilot that may be killed at any moment.  Variables: wishes `w1`, `w2` in
the store; `pin` in the store and `mem` in the pilot; `granted`: the pilot obeys a wish that is not committed yet; `s1`
to `s3`: the version is durable; `down`: on its way to the proxy, which `has` one; `chosen`: what was asked for last.
"""

from typing import Any

import z3

from quillstep.model_checking.bounded_model import Model, Row, Step, value

VERSIONS = (1, 2, 3)
FIRST = {
    "up": 1, "w1": 0, "w2": 0, "pin": 1, "mem": 1, "granted": 0, "s1": 1, "s2": 0, "s3": 0, "has": 1, "down": 0,
    "chosen": 1,
}  # fmt: skip
And, Or, If = z3.And, z3.Or, z3.If


def durable(s: Row, version: Any) -> Any:
    return Or(*[And(version == each, s[f"s{each}"] == 1) for each in VERSIONS])


def operator(s: Row) -> list[Step]:
    """A wish is durable when the command says so; the next waits behind it."""
    return [
        Step(f"choose {v}", s["w2"] == 0, {
            "w1": If(s["w1"] == 0, value(v), s["w1"]), "w2": If(s["w1"] == 0, s["w2"], value(v)), "chosen": value(v),
        })
        for v in VERSIONS
    ]  # fmt: skip


def pilot(s: Row, twin: str) -> list[Step]:
    """It obeys a wish at once, removes it in the commit that makes the pin durable, and pushes what is durable."""
    grants = {"mem": s["w1"], "granted": value(1)}
    commits = {"pin": s["mem"], "granted": value(0), "w1": s["w2"], "w2": value(0)}
    if twin == "wish removed first":
        grants.update(w1=s["w2"], w2=value(0))
        commits.update(w1=s["w1"], w2=s["w2"])
    if twin == "pin not kept":
        commits["pin"] = s["pin"]
    alive = s["up"] == 1
    leaves = z3.BoolVal(True) if twin == "leaves before it is durable" else durable(s, s["mem"])
    keeps = [Step(f"store {v}", And(alive, s["mem"] == v, s[f"s{v}"] == 0), {f"s{v}": value(1)}) for v in VERSIONS]
    return [
        Step("grant", And(alive, s["w1"] != 0, s["granted"] == 0), grants),
        Step("commit", And(alive, s["granted"] == 1), commits),
        *keeps,
        Step("push", And(alive, s["mem"] != s["has"], s["down"] == 0, leaves), {"down": s["mem"]}),
        Step("kill", alive, {"up": value(0), "mem": value(0), "granted": value(0)}),
        Step("start", s["up"] == 0, {"up": value(1), "mem": s["pin"]}),
    ]


def proxy(s: Row) -> list[Step]:
    """What is on its way arrives though its pilot is dead by now, or is lost."""
    return [
        Step("apply", s["down"] != 0, {"has": s["down"], "down": value(0)}),
        Step("lose", s["down"] != 0, {"down": value(0)}),
    ]


def elsewhere(s: Row) -> Any:
    """Nothing is left to be done, and the proxy holds another version than the one chosen last."""
    at_rest = [s["up"] == 1, s["w1"] == 0, s["granted"] == 0, s["down"] == 0, s["mem"] == s["has"]]
    return And(*at_rest, s["has"] != s["chosen"])


def unknown(s: Row) -> Any:
    """The proxy holds a version that the store could not name."""
    return z3.Not(durable(s, s["has"]))


BAD = {"not the chosen": elsewhere, "not in the store": unknown}
TWINS = {
    "wish removed first": "not the chosen",
    "pin not kept": "not the chosen",
    "leaves before it is durable": "not in the store",
}


def model(twin: str = "") -> Model:
    return Model(FIRST, lambda s: [*operator(s), *pilot(s, twin), *proxy(s)], BAD)
