"""Rule: a request takes effect at most once, unless its class is safe or its idempotency key covers the retry."""

from collections.abc import Iterator
from typing import Any, NamedTuple

from quillstep.config.fleet import ClassSettings
from quillstep.invariants.evidence import Attempt, Evidence, Row
from quillstep.invariants.violation import Rule, Violation

NEVER_RAN = "no connection"


class Execution(NamedTuple):
    """The first attempt of a request that may have had an effect."""

    sent_ms: float
    zone: str


def unsafe_retries(evidence: Evidence) -> Iterator[Violation]:
    """Finds attempts that the class does not allow, as an earlier attempt of the request may have run."""
    classes = {row.name: row for row in evidence.fleet.classes}
    unsafe_since = {row["kind"]: row["at"] for row in evidence.commands if row["do"] == "tighten"}
    for row in evidence.requests:
        class_ = classes[row["class"]]
        if class_.semantics == "safe" or len(row["tries"]) < 2:
            continue
        unsafe_from_ms = float("-inf") if class_.semantics == "unsafe" else unsafe_since.get(class_.name, float("inf"))
        yield from unsafe_retries_of(row, class_, unsafe_from_ms, evidence)


def unsafe_retries_of(
    row: Row, class_: ClassSettings, unsafe_from_ms: float, evidence: Evidence
) -> Iterator[Violation]:
    """Finds the attempts of one request that its class does not allow; the class is unsafe from `unsafe_from_ms` on."""
    executed: Execution | None = None
    for attempt in Attempt.all_of(row):
        endpoint = evidence.endpoints_by_address.get(attempt.address, 0)
        zone = evidence.endpoint_zones.get(endpoint, "")
        if executed:
            elapsed_ms = attempt.sent_ms - executed.sent_ms
            in_window = elapsed_ms <= class_.idempotency_window_ms
            in_scope = class_.idempotency_scope == "all" or zone == executed.zone
            if attempt.sent_ms >= unsafe_from_ms or not in_window or not in_scope:
                text = f"{class_.name} was retried {elapsed_ms:.0f} ms after an attempt that may have run"
                yield Violation(Rule.DUPLICATE_EFFECT, attempt.sent_ms, text, row["proxy"], endpoint, row["exchange"])
        elif attempt.result != NEVER_RAN:
            executed = Execution(attempt.sent_ms, zone)


def repeated_effects(evidence: Evidence) -> Iterator[Violation]:
    """Finds requests of classes that are not safe which took effect at endpoints more than once."""
    classes = {row.name: row for row in evidence.fleet.classes}
    effects: dict[str, dict[str, Any]] = {}
    for row in evidence.served_requests:
        if not row["effect"] or classes[row["class"]].semantics == "safe":
            continue
        first = effects.setdefault(row["exchange"], row)
        if first is not row:
            text = f"{row['class']} took effect at {first['endpoint']} and again {row['at'] - first['at']:.0f} ms later"
            yield Violation(Rule.DUPLICATE_EFFECT, row["at"], text, row["proxy"], row["endpoint"], row["exchange"])
