"""How far the tables of the last incarnation count after a start.  Without I/O and clocks; times are milliseconds.

The planner starts with nothing learned and gives every endpoint its listed weight.  Until it has learned anew, the
weight from before the start stays in effect: the planner's first weight for an endpoint rests on no observation, a
later one counts where it is the lower one.  The older the recovered table is, the sooner the planner's weights alone
count.  An endpoint that has started since, is warming up or is gone has the planner's weight at once.  So old knowledge
never outweighs a new finding against an endpoint, and never outlives its trust.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

CLOCK_TOLERANCE_MS = 1000.0  # that a clock may have gone back, or two clocks may differ


def recovery_trust_ms(age_ms: float, window_ms: float, max_age_ms: float) -> float:
    """Returns for how long after a start a table of this age counts.

    The trust falls linearly from `window_ms` to 0 at `max_age_ms`.  A clock that went back tells nothing of the age.
    """
    if age_ms < -CLOCK_TOLERANCE_MS or max_age_ms <= 0.0:
        return 0.0
    return window_ms * max(0.0, 1.0 - max(0.0, age_ms) / max_age_ms)


@dataclass(slots=True)
class RecoveredTable:
    """A table as it was when the last incarnation ended, on this incarnation's clock, and until when it counts."""

    weights: Mapping[int, float]
    recorded_ms: float
    trusted_until_ms: float
    planned: set[int] = field(default_factory=set)  # endpoints for which the planner has set its first weight

    def effective_weight(self, endpoint: int, weight: float, now_ms: float, is_warm: bool, started_ms: float) -> float:
        """Returns the weight in effect where the planner sets this one."""
        is_first = endpoint not in self.planned
        self.planned.add(endpoint)
        recovered = self.weights.get(endpoint, 0.0)
        has_expired = now_ms >= self.trusted_until_ms
        if has_expired or weight <= 0.0 or recovered <= 0.0 or not is_warm or started_ms > self.recorded_ms:
            return weight
        return recovered if is_first else min(recovered, weight)
