"""The stream protocol as a bounded model: order, push, word, break, resume, loss, overtaking, two pilots.

One proxy, one resource, two pilots that know nothing of each other.  What stands here is what `tables/ledger.py`,
`tables/ways.py` and `xds/delta.py` do with one key; `explore.py` holds the real code against the same properties.

Variables: `owner` (pilot of the stream, 0: none), `want1`, `want2` (what each pilot wants it to hold), `has` (what
the proxy holds); of the owner's ledger `held`, `dirty`, `refused`, two flights (`n`, `v`: nonce and version; 0: none)
and `top` (the nonce under which the newest is under way); down and up queues of two; a class's ways: version 1 repeats
after any failure, the others only after proof.  An exchange (`runs`: the version that it began by, 0: none) takes until
`ends`.
"""

from typing import Any

import z3

from quillstep.model_checking.bounded_model import Model, Row, Step, value

LOOSE = 1  # the version whose way of trying again is the looser one
VERSIONS = (1, 2, 3)
NONCES = 12  # that a bounded run can use
QUESTION = 15  # the version of a response without changes
LASTS = 2  # clock steps of an exchange, and of the wait after an acknowledgement

FIRST = {
    "owner": 1, "want1": 1, "want2": 1, "has": 1, "held": 1, "dirty": 0, "refused": 0, "again": 0,
    "n1": 0, "v1": 0, "n2": 0, "v2": 0, "top": 0, "nonce": 0,
    "dn1": 0, "dv1": 0, "dn2": 0, "dv2": 0, "un1": 0, "uo1": 0, "un2": 0, "uo2": 0,
    "clock": 0, "runs": 0, "ends": 0, "until": 0, "forgot": 0,
}  # fmt: skip

If, And, Or, Not, ULT = z3.If, z3.And, z3.Or, z3.Not, z3.ULT


def want(s: Row) -> Any:
    return If(s["owner"] == 1, s["want1"], s["want2"])


def have(s: Row) -> Any:
    """What it will hold once all that is under way has come: the ledger's `have`."""
    return If(s["top"] == 0, s["held"], If(s["top"] == s["n2"], s["v2"], s["v1"]))


def quiet(s: Row) -> Any:
    """Nothing is under way, and the pilot sees nothing to send."""
    empty = [s[name] == 0 for name in ("dn1", "dn2", "un1", "un2", "n1", "n2", "dirty", "again")]
    return And(s["owner"] != 0, *empty)


def orders(s: Row) -> list[Step]:
    """What pilots come to want; a key that is held already is marked all the same."""
    found = []
    for pilot in (1, 2):
        for version in VERSIONS:
            marks = If(s["owner"] == pilot, value(1), s["dirty"])
            found.append(Step(f"pilot {pilot} wants {version}", s[f"want{pilot}"] != version,
                              {f"want{pilot}": value(version), "dirty": marks}))  # fmt: skip
    return found


def pushes(s: Row, twin: str) -> list[Step]:
    """The ledger's `take` and `send`, and the question after a response that is late."""
    room = And(s["n2"] == 0, s["dn2"] == 0, ULT(s["nonce"], NONCES))
    nonce = s["nonce"] + 1
    differs = And(have(s) != want(s), s["refused"] != want(s))
    second = s["n1"] != 0
    flight = {
        "n1": If(second, s["n1"], nonce), "n2": If(second, nonce, s["n2"]),
        "dn1": If(s["dn1"] == 0, nonce, s["dn1"]), "dn2": If(s["dn1"] == 0, s["dn2"], nonce),
    }  # fmt: skip

    def carrying(version: Any) -> Row:
        return {
            **flight, "nonce": nonce,
            "v1": If(second, s["v1"], version), "v2": If(second, version, s["v2"]),
            "dv1": If(s["dn1"] == 0, version, s["dv1"]), "dv2": If(s["dn1"] == 0, s["dv2"], version),
        }  # fmt: skip

    sends = {**carrying(want(s)), "top": nonce, "dirty": value(0)}
    if twin == "held at sending":
        sends["held"] = want(s)
    # A refusal stands against one version; when another is wanted, it is void, and the same may be told again.
    void = If(s["refused"] != want(s), value(0), s["refused"])
    asks = And(s["owner"] != 0, room, s["n1"] != 0, s["n2"] == 0, s["v1"] != QUESTION)
    return [
        Step("push", And(s["owner"] != 0, s["dirty"] == 1, differs, room), {**sends, "refused": void}),
        Step("settle", And(s["owner"] != 0, s["dirty"] == 1, Not(differs)), {"dirty": value(0), "refused": void}),
        Step("ask", asks, carrying(value(QUESTION))),
    ]  # fmt: skip


def proxy(s: Row) -> list[Step]:
    """The head of what came is applied, refused or lost on it; a question changes nothing."""
    shifted = {"dn1": s["dn2"], "dv1": s["dv2"], "dn2": value(0), "dv2": value(0)}
    room = And(s["dn1"] != 0, s["un2"] == 0)

    def word(good: int) -> Row:
        first = s["un1"] == 0
        return {
            "un1": If(first, s["dn1"], s["un1"]), "uo1": If(first, value(good), s["uo1"]),
            "un2": If(first, s["un2"], s["dn1"]), "uo2": If(first, s["uo2"], value(good)),
        }  # fmt: skip

    has = If(s["dv1"] == QUESTION, s["has"], s["dv1"])
    return [
        Step("apply", room, {**shifted, **word(1), "has": has}),
        Step("refuse", And(room, s["dv1"] != QUESTION), {**shifted, **word(0)}),
        Step("lose", s["dn1"] != 0, shifted),
    ]


def words(s: Row, twin: str) -> list[Step]:
    """The ledger's `acknowledge` and `refuse`: what was sent before and has no word is lost, and is sent again."""
    nonce, good = s["un1"], s["uo1"] == 1
    shifted = {"un1": s["un2"], "uo1": s["uo2"], "un2": value(0), "uo2": value(0)}
    is_first, is_second = And(nonce == s["n1"], nonce != 0), And(nonce == s["n2"], nonce != 0)
    known = Or(is_first, is_second)
    version = If(is_first, s["v1"], s["v2"])
    newest = s["top"] == nonce
    lost_top = And(is_second, s["top"] == s["n1"], s["n1"] != 0)  # the first flight has no word and never will
    holds = And(known, good, version != QUESTION)
    refuses = And(known, Not(good), newest)
    if twin == "old word on new":
        holds = And(nonce != 0, good, version != QUESTION)
        version = have(s)
    clears = Or(And(known, newest), lost_top)
    if twin == "lost and not missed":
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
    if twin == "refused for good":
        sets["again"] = value(0)
    # A tighter way is in force when its word has come and what began before is over.
    waits = s["clock"] + (0 if twin == "in force at the word" else LASTS)
    sets["until"] = If(And(holds, s["held"] == LOOSE, version != LOOSE), waits, s["until"])
    once_more = {"again": value(0), "dirty": value(1), "refused": value(0)}
    return [
        Step("word", And(s["owner"] != 0, nonce != 0), sets),
        Step("try again", And(s["owner"] != 0, s["again"] == 1), once_more),
    ]


def streams(s: Row, twin: str) -> list[Step]:
    """A stream breaks with all that is on it; the proxy dials either pilot and says what it holds."""
    clean = {
        name: value(0)
        for name in ("n1", "v1", "n2", "v2", "top", "dn1", "dv1", "dn2", "dv2", "un1", "uo1", "un2", "uo2",
                     "refused", "again")
    }  # fmt: skip
    found = [Step("break", s["owner"] != 0, {**clean, "owner": value(0), "dirty": value(0)})]
    for pilot in (1, 2):
        # It says what it holds; that it holds it is known, since when is not: what began before may be looser.
        joins = {"owner": value(pilot), "held": s["has"], "dirty": value(1), "until": s["clock"] + LASTS}
        if twin == "trusts its memory":
            joins["held"] = s["held"]
        found.append(Step(f"join pilot {pilot}", s["owner"] == 0, joins))
    return found


def exchanges(s: Row, twin: str) -> list[Step]:
    """An exchange goes by the routes that it began with; endpoints forget when the pilot says that they may."""
    early = ULT(s["clock"], 10)
    tight = And(
        s["owner"] != 0, s["held"] != LOOSE, z3.UGE(s["clock"], s["until"]),
        *[Not(And(s[n] != 0, s[v] == LOOSE)) for n, v in (("n1", "v1"), ("n2", "v2"))],
        s["want1"] != LOOSE, s["want2"] != LOOSE,
    )  # fmt: skip
    if twin == "in force at sending":
        tight = And(s["owner"] != 0, have(s) != LOOSE, s["want1"] != LOOSE, s["want2"] != LOOSE)
    ticks = And(early, Or(s["runs"] == 0, ULT(s["clock"] + 1, s["ends"])))  # over at its cut-off at the latest
    return [
        Step("begin", And(s["runs"] == 0, early), {"runs": s["has"], "ends": s["clock"] + LASTS}),
        Step("end", s["runs"] != 0, {"runs": value(0)}),
        Step("tick", ticks, {"clock": s["clock"] + 1}),
        Step("forget", And(tight, s["forgot"] == 0), {"forgot": value(1)}),
    ]


def held_and_not(s: Row) -> Any:
    """The owner counts a version as held that the proxy neither has nor has overtaken by a newer one of this stream."""
    pending = Or(s["un1"] != 0, s["un2"] != 0)
    return And(s["owner"] != 0, s["held"] != s["has"], Not(pending), Not(quiet_flight(s)))


def quiet_flight(s: Row) -> Any:
    """A flight whose message is gone from the way down: applied and its word lost, or lost altogether."""
    under_way = [And(s[n] != 0, s[n] != s["dn1"], s[n] != s["dn2"]) for n in ("n1", "n2")]
    return Or(*under_way)


def stays_behind(s: Row) -> Any:
    """All is quiet, and the proxy holds something else than what is wanted of it."""
    return And(quiet(s), s["has"] != want(s))


def runs_twice(s: Row) -> Any:
    """An exchange that may be repeated after any failure, at endpoints that drop no repeats any more."""
    return And(s["forgot"] == 1, Or(s["runs"] == LOOSE, s["has"] == LOOSE))


BAD = {
    "held without a word": held_and_not,
    "not the newest": stays_behind,
    "run twice": runs_twice,
}
TWINS = {
    "held at sending": "held without a word",
    "old word on new": "held without a word",
    "trusts its memory": "not the newest",
    "lost and not missed": "not the newest",
    "refused for good": "not the newest",
    "in force at sending": "run twice",
    "in force at the word": "run twice",
}


def model(twin: str = "") -> Model:
    """The protocol as it is, or with one thing broken."""

    def steps(s: Row) -> list[Step]:
        found = [*orders(s), *pushes(s, twin), *proxy(s), *words(s, twin), *streams(s, twin), *exchanges(s, twin)]
        # Once pilots say that endpoints may forget, none orders the looser way: it is not in its settings.
        return [
            step._replace(may=And(step.may, s["forgot"] == 0)) if step.name.endswith(f"wants {LOOSE}") else step
            for step in found
        ]

    return Model(FIRST, steps, BAD)
