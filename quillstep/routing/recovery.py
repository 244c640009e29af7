"""How long the tables of the last incarnation stay in effect after a start.

The planner starts without observations and gives every endpoint its listed weight.  Until it has observed enough, the
recovered weight stays in effect: the planner's first weight for an endpoint is based on no observation and is ignored,
and a later one takes effect if it is lower than the recovered weight.  The older a recovered table is, the sooner it
expires and the planner's weights alone are used.  An endpoint that has started since, is warming up or is not in
service has the planner's weight at once.  A recovered weight thus never overrides a new observation against an
endpoint, and never outlives the trust in it.  Performs no I/O and reads no clock; times are milliseconds.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

CLOCK_TOLERANCE_MS = 1000.0  # how far a clock may have been set back, or two clocks may differ


def recovery_trust_ms(age_ms: float, window_ms: float, max_age_ms: float) -> float:
    """Returns for how long after a start a table of this age is trusted.

    The time falls linearly from `window_ms` at age 0 to 0 at `max_age_ms`.  It is 0 if the clock was set back by more
    than `CLOCK_TOLERANCE_MS`, as the age is unknown then.
    """
    if age_ms < -CLOCK_TOLERANCE_MS or max_age_ms <= 0.0:
        return 0.0
    return window_ms * max(0.0, 1.0 - max(0.0, age_ms) / max_age_ms)


@dataclass(slots=True)
class RecoveredTable:
    """A table as it was when the last incarnation ended.

    Attributes:
        weights: The weight of each endpoint.
        recorded_ms: When the table was recorded, on this incarnation's clock.
        trusted_until_ms: When the table expires.
        planned: Endpoints for which the planner has set its first weight.
    """

    weights: Mapping[int, float]
    recorded_ms: float
    trusted_until_ms: float
    planned: set[int] = field(default_factory=set)

    def effective_weight(self, endpoint: int, weight: float, now_ms: float, is_warm: bool, started_ms: float) -> float:
        """Returns the weight that takes effect when the planner sets `weight`."""
        is_first = endpoint not in self.planned
        self.planned.add(endpoint)
        recovered = self.weights.get(endpoint, 0.0)
        has_expired = now_ms >= self.trusted_until_ms
        if has_expired or weight <= 0.0 or recovered <= 0.0 or not is_warm or started_ms > self.recorded_ms:
            return weight
        return recovered if is_first else min(recovered, weight)
