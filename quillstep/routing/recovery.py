"""What the last life's tables are worth after a start.  Without I/O and clocks; times are milliseconds.

The module starts clean and gives every endpoint its listed weight until it has learnt anew.  Until then the line that
stood before the start stands on, for the module's first word on it is no news; a later word counts where it is the
lower one.  The older what stood is, the sooner the module's word alone counts; an endpoint that has started since, or
is cold or gone, is judged by the module at once.  So old news never beats a fresh bad word, nor outlives its trust.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

BACK_MS = 1000.0  # that a clock may have gone back, or two clocks be apart


def recovery_trust_ms(age_ms: float, window_ms: float, age_most_ms: float) -> float:
    """For how long after a start a table of this age counts; a clock that went back says nothing of its age."""
    if age_ms < -BACK_MS or age_most_ms <= 0.0:
        return 0.0
    return window_ms * max(0.0, 1.0 - max(0.0, age_ms) / age_most_ms)


@dataclass(slots=True)
class RecoveredTable:
    """A table as it stood when the last life ended: since when on our clock, and until when it counts."""

    weights: Mapping[int, float]
    recorded_ms: float
    trusted_until_ms: float
    planned: set[int] = field(default_factory=set)  # endpoints on which the module has had its first word

    def effective_weight(self, endpoint: int, weight: float, now_ms: float, warm: bool, started_ms: float) -> float:
        """The weight that stands where the module says this one."""
        first = endpoint not in self.planned
        self.planned.add(endpoint)
        before = self.weights.get(endpoint, 0.0)
        if (
            now_ms >= self.trusted_until_ms
            or weight <= 0.0
            or before <= 0.0
            or not warm
            or started_ms > self.recorded_ms
        ):
            return weight
        return before if first else min(before, weight)
