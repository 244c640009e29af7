"""A rollback as a bounded model: operators' commands, the store, kills; every proxy ends on the chosen version.

One table of three versions, one proxy, one controller that may be killed at any moment.  Variables: commands `w1`, `w2`
in the store; `pin` in the store and `mem` in the controller; `granted`: the controller obeys a command that is not
committed yet; `s1` to `s3`: the version is durable; `down`: on its way to the proxy, which `has` one; `chosen`: what
was asked for last.
"""

from typing import Any

import z3

from quillstep.model_checking.bounded_model import Model, State, Step, value

VERSIONS = (1, 2, 3)
FIRST = {
    "up": 1, "w1": 0, "w2": 0, "pin": 1, "mem": 1, "granted": 0, "s1": 1, "s2": 0, "s3": 0, "has": 1, "down": 0,
    "chosen": 1,
}  # fmt: skip
And, Or, If = z3.And, z3.Or, z3.If


def durable(s: State, version: Any) -> Any:
    """Returns whether a version is in the store."""
    return Or(*[And(version == each, s[f"s{each}"] == 1) for each in VERSIONS])


def operator(s: State) -> list[Step]:
    """Returns an operator's steps: a command is durable when it is confirmed; the next waits behind it."""
    return [
        Step(f"choose {v}", s["w2"] == 0, {
            "w1": If(s["w1"] == 0, value(v), s["w1"]), "w2": If(s["w1"] == 0, s["w2"], value(v)), "chosen": value(v),
        })
        for v in VERSIONS
    ]  # fmt: skip


def controller(s: State, mutant: str) -> list[Step]:
    """Returns a controller's steps.

    It obeys a command at once, removes it in the commit that makes the pin durable, and sends what is durable.
    """
    grants = {"mem": s["w1"], "granted": value(1)}
    commits = {"pin": s["mem"], "granted": value(0), "w1": s["w2"], "w2": value(0)}
    if mutant == "wish removed first":
        grants.update(w1=s["w2"], w2=value(0))
        commits.update(w1=s["w1"], w2=s["w2"])
    if mutant == "pin not kept":
        commits["pin"] = s["pin"]
    alive = s["up"] == 1
    may_send = z3.BoolVal(True) if mutant == "leaves before it is durable" else durable(s, s["mem"])
    keeps = [Step(f"store {v}", And(alive, s["mem"] == v, s[f"s{v}"] == 0), {f"s{v}": value(1)}) for v in VERSIONS]
    return [
        Step("grant", And(alive, s["w1"] != 0, s["granted"] == 0), grants),
        Step("commit", And(alive, s["granted"] == 1), commits),
        *keeps,
        Step("send", And(alive, s["mem"] != s["has"], s["down"] == 0, may_send), {"down": s["mem"]}),
        Step("kill", alive, {"up": value(0), "mem": value(0), "granted": value(0)}),
        Step("start", s["up"] == 0, {"up": value(1), "mem": s["pin"]}),
    ]


def proxy(s: State) -> list[Step]:
    """Returns a proxy's steps: what is on its way arrives though its controller is dead by now, or is lost."""
    return [
        Step("apply", s["down"] != 0, {"has": s["down"], "down": value(0)}),
        Step("lose", s["down"] != 0, {"down": value(0)}),
    ]


def holds_another(s: State) -> Any:
    """Returns whether nothing is left to be done, and the proxy holds another version than was chosen last."""
    at_rest = [s["up"] == 1, s["w1"] == 0, s["granted"] == 0, s["down"] == 0, s["mem"] == s["has"]]
    return And(*at_rest, s["has"] != s["chosen"])


def holds_unstored(s: State) -> Any:
    """Returns whether the proxy holds a version that the store could not name."""
    return z3.Not(durable(s, s["has"]))


BAD_STATES = {"not the chosen": holds_another, "not in the store": holds_unstored}
MUTANTS = {
    "wish removed first": "not the chosen",
    "pin not kept": "not the chosen",
    "leaves before it is durable": "not in the store",
}


def model(mutant: str = "") -> Model:
    """Returns the model, or a mutant of it."""
    return Model(FIRST, lambda s: [*operator(s), *controller(s, mutant), *proxy(s)], BAD_STATES)
