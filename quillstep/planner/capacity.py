"""What the fleet can do: its load, its goodput, and the capacity learned from both.

Capacity is learned as the answered attempts per second that one reporting proxy may send to a unit of listed weight
until the endpoints are full.  It is counted per proxy, as proxies that move to another controller take their part of
the capacity with them.
"""

from collections.abc import Iterable

from quillstep.planner.messages import PlannerConfig
from quillstep.planner.state import SETTLING_INTERVALS, EndpointState, FleetState

TARGET_UTILIZATION = 0.85  # of the fleet, that admission limits aim at
SATURATED_UTILIZATION = 0.95  # from which on goodput no longer shows what the fleet could do
OVERLOADED_UTILIZATION = 1.1  # from which on the learned capacity is taken back
OVERLOAD_CAPACITY_FACTOR = 0.92  # by which it is taken back each interval
LATE_UTILIZATION = 0.8  # above which late attempts count as further utilization
LATE_RELATIVE_LATENCY = 0.5  # the relative latency from which on a full fleet counts as late
QUICK_RELATIVE_LATENCY = 0.35  # of an endpoint, below which a lost answer counts as work done
SMOOTHING_GAIN = 0.5  # how far one interval moves relative latency and goodput
CAPACITY_GAIN = 0.3  # how far one interval moves the learned capacity


class CapacityEstimator:
    """Learns the fleet's capacity from what was observed in each control interval.

    Attributes:
        mean_utilization: Mean utilization of the endpoints in use.
        effective_utilization: The same, raised where a loaded fleet is late as well; it may exceed 1.
        relative_latency: Mean time of an attempt over the latency objective; a failure counts as the whole objective.
        goodput_per_s: Answered attempts per second over all joined proxies, smoothed.
        per_proxy: Attempts per second that a proxy may send to a unit of listed weight; 0 until learned.
        samples: Control intervals in which it was learned.
    """

    def __init__(self, fleet: FleetState) -> None:
        self.fleet = fleet
        self.mean_utilization = 0.0
        self.effective_utilization = 0.0
        self.relative_latency = 0.0
        self.goodput_per_s = 0.0
        self.per_proxy = 0.0
        self.samples = 0
        self._counted_since_ms = 0.0

    def start(self, now_ms: float) -> None:
        """Begins to count attempts."""
        self._counted_since_ms = now_ms

    def measure_attempts(self, now_ms: float) -> None:
        """Takes relative latency and goodput from all attempts since the last control interval."""
        objective_ms = self._mean_latency_objective_ms()
        attempts = spent_ms = answered = 0.0
        for endpoint in self.fleet.endpoints.values():
            successes = endpoint.attempts - endpoint.failures
            attempts += endpoint.attempts
            spent_ms += endpoint.total_success_ms + endpoint.failures * objective_ms
            # Where answers are quick and the load is low, an attempt whose answer is lost was work all the same.
            is_quick = (
                endpoint.total_success_ms < QUICK_RELATIVE_LATENCY * objective_ms * successes
                and (endpoint.utilization or 0.0) < TARGET_UTILIZATION
            )
            answered += endpoint.attempts if is_quick else successes
        if attempts and objective_ms:
            self.relative_latency += SMOOTHING_GAIN * (spent_ms / attempts / objective_ms - self.relative_latency)
        elapsed_ms = max(1.0, now_ms - self._counted_since_ms)
        self.goodput_per_s += SMOOTHING_GAIN * (1000.0 * answered / elapsed_ms - self.goodput_per_s)
        self._counted_since_ms = now_ms

    def _mean_latency_objective_ms(self) -> float:
        """The latency objective of the mean request; 0 where none arrives."""
        rates = self.fleet.request_rates()
        classes = self.fleet.config.classes
        offered_ms = sum(rate * row.latency_objective_ms for rate, row in zip(rates, classes, strict=True))
        total = sum(rates)
        return offered_ms / total if total else 0.0

    def learn(self, in_use: Iterable[EndpointState], usable_weight: float) -> None:
        """Takes the utilization of the endpoints in use, and learns the capacity from it.

        Args:
            in_use: The endpoints that proxies can use.
            usable_weight: Their listed weight, counted by the capacity that warming endpoints already have.
        """
        utilizations = [endpoint.utilization for endpoint in in_use if endpoint.utilization is not None]
        self.mean_utilization = sum(utilizations) / len(utilizations) if utilizations else 0.0
        lateness = 1.0
        if self.mean_utilization > LATE_UTILIZATION:
            lateness = max(1.0, self.relative_latency / LATE_RELATIVE_LATENCY)
        self.effective_utilization = self.mean_utilization * lateness
        proxies = self.fleet.proxies
        if self.effective_utilization > 0.0 and self.goodput_per_s > 0.0 and usable_weight and proxies:
            # Only those that have reported: what the others send is not in the goodput yet.
            reporting = max(1, sum(proxy.has_reported for proxy in proxies.values()))
            self._learn_per_proxy(usable_weight * reporting)

    def _learn_per_proxy(self, usable_units: float) -> None:
        """Learns while the fleet is not full; takes back what was learned while it is overloaded."""
        if self.effective_utilization < SATURATED_UTILIZATION:
            observed = self.goodput_per_s / self.effective_utilization / usable_units
            self.samples += 1
            # The first figures rise at once: learned step by step from nothing they would shed most of the load.
            gain = 1.0 if observed > self.per_proxy and self.samples <= SETTLING_INTERVALS else CAPACITY_GAIN
            self.per_proxy += gain * (observed - self.per_proxy)
        elif not self.per_proxy:
            # A start during overload, where most attempts are retries; there is no calm to learn in.
            self.per_proxy = self.goodput_per_s / self.effective_utilization**2 / usable_units
            self.samples = SETTLING_INTERVALS
        elif self.effective_utilization > OVERLOADED_UTILIZATION:
            self.per_proxy *= OVERLOAD_CAPACITY_FACTOR

    def is_learned(self) -> bool:
        """Whether the capacity can be relied on: learned in enough intervals, or the fleet is full."""
        return bool(self.per_proxy) and not (
            self.samples < SETTLING_INTERVALS and self.effective_utilization < SATURATED_UTILIZATION
        )


def warm_up_fraction(config: PlannerConfig, endpoint: EndpointState, now_ms: float) -> float:
    """The part of its capacity that an endpoint surely has: from the initial part to all over the warm-up time."""
    if not endpoint.started_ms or not config.warm_up_ms:
        return 1.0
    initial = config.initial_capacity
    return min(1.0, initial + (1.0 - initial) * max(0.0, now_ms - endpoint.started_ms) / config.warm_up_ms)
