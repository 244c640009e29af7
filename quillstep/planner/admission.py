"""Admission limits and retry policies under overload.

Load above the learned capacity is shed, starting with the class that has the lowest priority per work.  Retries are
allowed only while there is capacity for them.
"""

from collections.abc import Sequence

from quillstep.planner.capacity import (
    HIGH_RELATIVE_LATENCY,
    TARGET_UTILIZATION,
    CapacityEstimator,
    usable_capacity,
)
from quillstep.planner.outliers import endpoints_in_use
from quillstep.planner.state import (
    NO_RETRY,
    RETRY_IF_NOT_STARTED,
    ClassState,
    FleetState,
)

UNLIMITED_REQUESTS_PER_S = 1e6
MIN_SHEDDING_UTILIZATION = 0.7  # nothing needs to be shed below this fleet utilization
LOW_UTILIZATION = 0.5  # overload does not restrict retry policies below this fleet utilization
ADMISSION_RECOVERY_FRACTION = 0.15  # share of offered work readmitted per interval below MIN_SHEDDING_UTILIZATION
MAX_SHED_SHARE = 0.9  # per class; the outcomes of the remaining requests stay observable
ADMITTED_SHARE_GAIN = 0.5  # smoothing factor per interval of a class's admitted share
CLIENT_ATTEMPTS = 3  # assumed attempts of a client at a request that is rejected each time
RATE_GAIN_INCREASE = 1.05  # factor per interval
RATE_GAIN_DECREASE = 0.95  # factor per interval
MAX_RATE_GAIN = 2.0


class AdmissionController:
    """Sets the admission limit and the retry policy of each class.

    Attributes:
        admitted_fraction: Fraction of the offered work that is admitted.
        min_admitted_fraction: Lower bound of `admitted_fraction`; it rises while the fleet is not loaded.
        rate_gain: Sum of the rate limits over the rate to admit; uneven arrivals use up only some of the limits.
    """

    def __init__(self, fleet: FleetState, capacity: CapacityEstimator) -> None:
        self.fleet, self.capacity = fleet, capacity
        self.admitted_fraction = 1.0
        self.min_admitted_fraction = 1.0
        self.rate_gain = 1.0

    def update(self, now_ms: float, is_interval_due: bool) -> None:
        """Updates limits and retry policies; learned and smoothed values change only when an interval is due."""
        in_use = endpoints_in_use(self.fleet)
        usable_weight = usable_capacity(self.fleet.config, in_use.values(), now_ms)
        self.capacity.update_usage(in_use, usable_weight, now_ms)
        if is_interval_due:
            self.capacity.learn(in_use.values(), usable_weight)
        first_attempt_rates = self.first_attempt_rates()
        allowed_per_s = self._allowed_per_s(usable_weight)
        self._update_admitted_fraction(allowed_per_s, sum(first_attempt_rates), now_ms, is_interval_due)
        self._update_rate_gain(allowed_per_s, is_interval_due)
        if not self.capacity.is_learned():
            self.admitted_fraction = usable_weight / self._listed_weight()
        self._shed(first_attempt_rates, now_ms, is_interval_due)

    def first_attempt_rates(self) -> list[float]:
        """Returns requests per second by class, without repeats of rejected requests: they add no demand."""
        rates = []
        for rate, state in zip(self.fleet.request_rates(), self.fleet.classes, strict=True):
            rejected_share = 1.0 - state.smoothed_admitted_share
            rates.append(rate / sum(rejected_share**attempt for attempt in range(CLIENT_ATTEMPTS)))
        return rates

    def _allowed_per_s(self, usable_weight: float) -> float:
        """Returns the rate to admit; it reflects failed and restored endpoints before the load on the others does."""
        capacity_per_s = TARGET_UTILIZATION * self.capacity.per_proxy * len(self.fleet.proxies) * usable_weight
        return capacity_per_s / max(1.0, self.capacity.effective_utilization)

    def _update_admitted_fraction(
        self, allowed_per_s: float, offered_per_s: float, now_ms: float, is_interval_due: bool
    ) -> None:
        capacity, utilization = self.capacity, self.capacity.effective_utilization
        # The previous controller may have limited the load of a migrating proxy: it counts as new load.
        has_migrated = self.fleet.has_recent_migration(now_ms) and utilization > LOW_UTILIZATION
        is_loaded = has_migrated or utilization > MIN_SHEDDING_UTILIZATION or not capacity.is_measured
        may_shed = is_loaded or self.admitted_fraction < 1.0
        if may_shed and capacity.per_proxy and offered_per_s:
            self.admitted_fraction = min(1.0, allowed_per_s / offered_per_s)
        else:
            self.admitted_fraction = 1.0
        # Admission recovers regardless of the apparent demand, which includes repeats of rejected requests.  Failures
        # count as utilization, so admission does not recover in a fleet that fails at low load.  An unknown load is not
        # a low one.
        if is_loaded:
            self.min_admitted_fraction = self.admitted_fraction
        elif is_interval_due:
            self.min_admitted_fraction = min(1.0, self.min_admitted_fraction + ADMISSION_RECOVERY_FRACTION)
        self.admitted_fraction = max(self.admitted_fraction, self.min_admitted_fraction)

    def _update_rate_gain(self, allowed_per_s: float, is_interval_due: bool) -> None:
        """Raises the rate limits while less than allowed is admitted; under load, halves what was added."""
        capacity = self.capacity
        if (
            capacity.effective_utilization > MIN_SHEDDING_UTILIZATION
            or capacity.relative_latency > HIGH_RELATIVE_LATENCY
        ):
            self.rate_gain = 1.0 + 0.5 * (self.rate_gain - 1.0)
        elif is_interval_due and self.admitted_fraction < 1.0:
            step = RATE_GAIN_INCREASE if capacity.goodput_per_s < allowed_per_s else RATE_GAIN_DECREASE
            self.rate_gain = min(MAX_RATE_GAIN, max(1.0, self.rate_gain * step))

    def _listed_weight(self) -> float:
        return sum(endpoint.listed_weight or 1.0 for endpoint in self.fleet.endpoints.values()) or 1.0

    def _shed(self, first_attempt_rates: Sequence[float], now_ms: float, is_interval_due: bool) -> None:
        """Sheds the excess load, starting with the class that has the lowest priority per work.

        The work of a request is estimated by its latency objective, because nothing reports the work itself.
        """
        rows = zip(first_attempt_rates, self.fleet.config.classes, strict=True)
        work = [rate * row.latency_objective_ms for rate, row in rows]
        excess = (1.0 - self.admitted_fraction) * sum(work)
        is_settling = self.fleet.is_settling(now_ms)
        classes = self.fleet.classes
        for index in sorted(range(len(work)), key=lambda index: classes[index].priority_per_work):
            shed = min(excess, MAX_SHED_SHARE * work[index])
            excess -= shed
            state = classes[index]
            # A request is lost only if each of the client's attempts is rejected.
            admitted_share = 1.0 - (shed / work[index]) ** (1.0 / CLIENT_ATTEMPTS) if work[index] > 0 else 1.0
            if is_interval_due:
                state.smoothed_admitted_share += ADMITTED_SHARE_GAIN * (admitted_share - state.smoothed_admitted_share)
            state.retry_policy = self._retry_policy(state, is_settling)
            state.admission_limit = self.admission_limit(index, admitted_share)

    def _retry_policy(self, state: ClassState, is_settling: bool) -> int:
        utilization = self.capacity.effective_utilization
        if utilization < LOW_UTILIZATION and not is_settling:
            return state.normal_retry_policy
        return RETRY_IF_NOT_STARTED if utilization < 1.0 else NO_RETRY

    def admission_limit(self, class_index: int, admitted_share: float) -> float:
        """Returns the limit that admits a share of a class: the share itself, or requests per second at each proxy.

        All proxies get the same rate: the max-min fair one, with which the total of admitted requests fits.
        """
        if self.fleet.config.admission != "rate":
            return admitted_share
        if admitted_share >= 1.0:
            return UNLIMITED_REQUESTS_PER_S
        rates = sorted(proxy.request_rates[class_index] for proxy in self.fleet.proxies.values())
        total = sum(proxy.request_rates[class_index] for proxy in self.fleet.proxies.values())
        remaining = self.rate_gain * admitted_share * total
        for position, rate in enumerate(rates):
            remaining_proxies = len(rates) - position
            if rate * remaining_proxies >= remaining:
                return remaining / remaining_proxies
            remaining -= rate
        return UNLIMITED_REQUESTS_PER_S
