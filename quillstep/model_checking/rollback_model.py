"""A bounded model of rollbacks: operator commands, the store, kills; every proxy must end on the requested version.

One table with three versions, one proxy, one controller that can be killed at any time.  Variables: commands `w1` and
`w2` in the store; the pinned version `pin` in the store and `mem` in the controller; `granted`: the controller has
applied a command that is not committed yet; `s1` to `s3`: whether the version is durable; `down`: the version in
transit to the proxy; `has`: the version that the proxy holds; `chosen`: the version requested last.
"""

from typing import Any

import z3

from quillstep.model_checking.bounded_model import Model, State, Step, value

VERSIONS = (1, 2, 3)
INITIAL_STATE = {
    "up": 1, "w1": 0, "w2": 0, "pin": 1, "mem": 1, "granted": 0, "s1": 1, "s2": 0, "s3": 0, "has": 1, "down": 0,
    "chosen": 1,
}  # fmt: skip
And, Or, If = z3.And, z3.Or, z3.If


def is_durable(s: State, version: Any) -> Any:
    """Returns whether a version is in the store."""
    return Or(*[And(version == each, s[f"s{each}"] == 1) for each in VERSIONS])


def operator_steps(s: State) -> list[Step]:
    """Returns the operator's steps: a confirmed command is durable; the next one queues behind it."""
    return [
        Step(f"choose {v}", s["w2"] == 0, {
            "w1": If(s["w1"] == 0, value(v), s["w1"]), "w2": If(s["w1"] == 0, s["w2"], value(v)), "chosen": value(v),
        })
        for v in VERSIONS
    ]  # fmt: skip


def controller_steps(s: State, mutant: str) -> list[Step]:
    """Returns the controller's steps.

    It applies a command at once, removes it in the commit that makes the pin durable, and sends only durable versions.
    """
    grants = {"mem": s["w1"], "granted": value(1)}
    commits = {"pin": s["mem"], "granted": value(0), "w1": s["w2"], "w2": value(0)}
    if mutant == "wish removed first":
        grants.update(w1=s["w2"], w2=value(0))
        commits.update(w1=s["w1"], w2=s["w2"])
    if mutant == "pin not kept":
        commits["pin"] = s["pin"]
    alive = s["up"] == 1
    may_send = z3.BoolVal(True) if mutant == "leaves before it is durable" else is_durable(s, s["mem"])
    stores = [Step(f"store {v}", And(alive, s["mem"] == v, s[f"s{v}"] == 0), {f"s{v}": value(1)}) for v in VERSIONS]
    return [
        Step("grant", And(alive, s["w1"] != 0, s["granted"] == 0), grants),
        Step("commit", And(alive, s["granted"] == 1), commits),
        *stores,
        Step("send", And(alive, s["mem"] != s["has"], s["down"] == 0, may_send), {"down": s["mem"]}),
        Step("kill", alive, {"up": value(0), "mem": value(0), "granted": value(0)}),
        Step("start", s["up"] == 0, {"up": value(1), "mem": s["pin"]}),
    ]


def proxy_steps(s: State) -> list[Step]:
    """Returns the proxy's steps: a version in transit arrives, even if its controller was killed, or is lost."""
    return [
        Step("apply", s["down"] != 0, {"has": s["down"], "down": value(0)}),
        Step("lose", s["down"] != 0, {"down": value(0)}),
    ]


def holds_other_version(s: State) -> Any:
    """Returns whether nothing is left to do and the proxy holds a version other than the one requested last."""
    is_idle = [s["up"] == 1, s["w1"] == 0, s["granted"] == 0, s["down"] == 0, s["mem"] == s["has"]]
    return And(*is_idle, s["has"] != s["chosen"])


def holds_unstored(s: State) -> Any:
    """Returns whether the proxy holds a version that is not in the store."""
    return z3.Not(is_durable(s, s["has"]))


BAD_STATES = {"not the chosen": holds_other_version, "not in the store": holds_unstored}
MUTANTS = {
    "wish removed first": "not the chosen",
    "pin not kept": "not the chosen",
    "leaves before it is durable": "not in the store",
}


def model(mutant: str = "") -> Model:
    """Returns the model or a mutant of it."""
    return Model(
        INITIAL_STATE, lambda s: [*operator_steps(s), *controller_steps(s, mutant), *proxy_steps(s)], BAD_STATES
    )
