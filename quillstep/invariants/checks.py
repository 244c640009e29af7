"""All invariants in one call."""

from quillstep.invariants.availability import proxies_without_endpoint
from quillstep.invariants.channel import exceeded_channel_limits
from quillstep.invariants.draining import attempts_after_drain
from quillstep.invariants.duplicates import repeated_effects, unsafe_retries
from quillstep.invariants.evidence import Evidence
from quillstep.invariants.violation import Violation
from quillstep.invariants.warm_up import overloaded_while_warming_up

CHECKS = (
    proxies_without_endpoint,
    unsafe_retries,
    repeated_effects,
    attempts_after_drain,
    overloaded_while_warming_up,
    exceeded_channel_limits,
)


def check_invariants(evidence: Evidence) -> list[Violation]:
    """Returns all violations, ordered by time."""
    violations = [violation for check in CHECKS for violation in check(evidence)]
    return sorted(violations, key=lambda violation: violation.at_ms)
