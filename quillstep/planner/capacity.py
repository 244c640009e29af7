"""Estimates the fleet's capacity from its load and goodput.

Capacity is learned as the successful attempts per second that one reporting proxy may send to a unit of listed weight
before the endpoints are full.  It is counted per proxy, because proxies that move to another controller take their
share of the capacity with them.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass

from quillstep.planner.messages import EndpointId, PlannerConfig
from quillstep.planner.state import SETTLING_INTERVALS, EndpointState, FleetState
from quillstep.planner.usage import EndpointUsage

TARGET_UTILIZATION = 0.85  # fleet utilization that admission limits are set for
SATURATED_UTILIZATION = 0.95  # from this utilization on, goodput no longer indicates capacity
OVERLOADED_UTILIZATION = 1.1  # the learned capacity is reduced above this utilization
OVERLOAD_CAPACITY_FACTOR = 0.92  # factor on the learned capacity per overloaded interval
MIN_LATENCY_FACTOR_UTILIZATION = 0.8  # above this, high relative latency raises the effective utilization
HIGH_RELATIVE_LATENCY = 0.5  # above this, a loaded fleet counts as slow
LOW_RELATIVE_LATENCY = 0.35  # below this, an endpoint's lost responses count as completed work
SMOOTHING_GAIN = 0.5  # smoothing factor per interval of relative latency and goodput
CAPACITY_GAIN = 0.3  # smoothing factor per interval of the learned capacity
MIN_MEASURED_SHARE = 0.5  # of the capacity in use, whose load is known


@dataclass(slots=True)
class LearnedCapacity:
    """Attempts per second that a proxy may send to a unit of listed weight; 0 until learned."""

    per_proxy: float = 0.0
    samples: int = 0  # control intervals in which it was learned

    def learn(self, goodput_per_s: float, utilization: float, usable_units: float) -> None:
        """Learns the capacity while the fleet is not full, and reduces it while the fleet is overloaded.

        Args:
            goodput_per_s: Completed attempts per second.
            utilization: The fleet's effective utilization, above 0.
            usable_units: The listed weight that completed them, times the number of proxies.
        """
        if utilization < SATURATED_UTILIZATION:
            observed = goodput_per_s / utilization / usable_units
            self.samples += 1
            # The first samples raise the estimate at once: one smoothed up from zero would shed most load.
            gain = 1.0 if observed > self.per_proxy and self.samples <= SETTLING_INTERVALS else CAPACITY_GAIN
            self.per_proxy += gain * (observed - self.per_proxy)
        elif not self.per_proxy:
            # The planner started during overload, where most attempts are retries: there are no unloaded intervals
            # to learn from.
            self.per_proxy = goodput_per_s / utilization**2 / usable_units
            self.samples = SETTLING_INTERVALS
        elif utilization > OVERLOADED_UTILIZATION:
            self.per_proxy *= OVERLOAD_CAPACITY_FACTOR


class CapacityEstimator:
    """Learns the fleet's capacity from the observations of each control interval.

    Attributes:
        is_measured: Whether the load of the endpoints in use is known.  Warming endpoints that have just been put into
            the tables report the load that they had before.
        mean_utilization: Mean utilization of the endpoints in use; the last one that was measured.
        effective_utilization: Mean utilization, raised when a loaded fleet is slow as well; it may exceed 1.
        relative_latency: Mean attempt time over the latency objective, smoothed; a failure counts as 1.
        goodput_per_s: Successful attempts per second over all joined proxies, smoothed.
        learned: Learned from all attempts.
        learned_in_use: Learned from the attempts at the endpoints in use.
    """

    def __init__(self, fleet: FleetState) -> None:
        self.fleet = fleet
        self.usage = EndpointUsage()
        self.is_measured = True
        self.mean_utilization = 0.0
        self.effective_utilization = 0.0
        self.relative_latency = 0.0
        self.goodput_per_s = 0.0
        self.learned, self.learned_in_use = LearnedCapacity(), LearnedCapacity()
        self._counted_since_ms = 0.0

    def start(self, now_ms: float) -> None:
        """Starts counting attempts."""
        self._counted_since_ms = now_ms

    def measure_attempts(self, now_ms: float) -> None:
        """Updates relative latency and goodput from all attempts since the last control interval."""
        objective_ms = self._mean_latency_objective_ms()
        elapsed_ms = max(1.0, now_ms - self._counted_since_ms)
        attempts = spent_ms = answered = 0.0
        for endpoint in self.fleet.endpoints.values():
            successes = endpoint.attempts - endpoint.failures
            attempts += endpoint.attempts
            spent_ms += endpoint.total_success_ms + endpoint.failures * objective_ms
            # While responses are fast and the load is low, an attempt whose response is lost was still completed work.
            is_fast = (
                endpoint.total_success_ms < LOW_RELATIVE_LATENCY * objective_ms * successes
                and (endpoint.utilization or 0.0) < TARGET_UTILIZATION
            )
            completed = endpoint.attempts if is_fast else successes
            answered += completed
            endpoint.goodput_per_s += SMOOTHING_GAIN * (1000.0 * completed / elapsed_ms - endpoint.goodput_per_s)
        if attempts and objective_ms:
            self.relative_latency += SMOOTHING_GAIN * (spent_ms / attempts / objective_ms - self.relative_latency)
        self.goodput_per_s += SMOOTHING_GAIN * (1000.0 * answered / elapsed_ms - self.goodput_per_s)
        self._counted_since_ms = now_ms

    def _mean_latency_objective_ms(self) -> float:
        """Returns the latency objective averaged over requests; 0 without requests."""
        rates = self.fleet.request_rates()
        classes = self.fleet.config.classes
        offered_ms = sum(rate * row.latency_objective_ms for rate, row in zip(rates, classes, strict=True))
        total = sum(rates)
        return offered_ms / total if total else 0.0

    def update_usage(self, in_use: dict[EndpointId, EndpointState], usable_weight: float, now_ms: float) -> None:
        """Updates whether the load of the endpoints in use is known.

        Args:
            in_use: The endpoints that proxies can use.
            usable_weight: Their total listed weight; a warming endpoint counts by the fraction of capacity that it has.
            now_ms: The current time.
        """
        self.usage.update(in_use, now_ms)
        measured = [
            endpoint
            for id_, endpoint in in_use.items()
            if is_warm(self.fleet.config, endpoint, now_ms) or self.usage.is_settled(id_, endpoint, now_ms)
        ]
        measured_weight = usable_capacity(self.fleet.config, measured, now_ms)
        self.is_measured = bool(in_use) and measured_weight >= MIN_MEASURED_SHARE * usable_weight
        if not self.is_measured:
            self._lower_to_capacity_in_use()

    def _lower_to_capacity_in_use(self) -> None:
        """Lowers the learned capacity to what the endpoints in use have shown.

        Attempts at endpoints that have just left the tables make the capacity of the others seem too high.  The
        utilization of these corrects that, but limits depend on the capacity alone while the load is not known.
        """
        if 0.0 < self.learned_in_use.per_proxy < self.learned.per_proxy:
            self.learned.per_proxy = self.learned_in_use.per_proxy

    def learn(self, in_use: Collection[EndpointState], usable_weight: float) -> None:
        """Updates the utilization of the endpoints in use, and learns the capacity from it, if their load is known.

        Args:
            in_use: The endpoints that proxies can use.
            usable_weight: Their total listed weight; a warming endpoint counts by the fraction of capacity that it has.
        """
        if not self.is_measured:
            return
        utilizations = [endpoint.utilization for endpoint in in_use if endpoint.utilization is not None]
        self.mean_utilization = sum(utilizations) / len(utilizations) if utilizations else 0.0
        latency_factor = 1.0
        if self.mean_utilization > MIN_LATENCY_FACTOR_UTILIZATION:
            latency_factor = max(1.0, self.relative_latency / HIGH_RELATIVE_LATENCY)
        self.effective_utilization = self.mean_utilization * latency_factor
        proxies = self.fleet.proxies
        if self.effective_utilization > 0.0 and self.goodput_per_s > 0.0 and usable_weight and proxies:
            # Only proxies that have reported: goodput does not include the traffic of the others yet.
            reporting = max(1, sum(proxy.has_reported for proxy in proxies.values()))
            usable_units = usable_weight * reporting
            self.learned.learn(self.goodput_per_s, self.effective_utilization, usable_units)
            goodput_in_use_per_s = sum(endpoint.goodput_per_s for endpoint in in_use)
            self.learned_in_use.learn(goodput_in_use_per_s, self.effective_utilization, usable_units)

    @property
    def per_proxy(self) -> float:
        """Attempts per second that a proxy may send to a unit of listed weight; 0 until learned."""
        return self.learned.per_proxy

    @property
    def samples(self) -> int:
        """Control intervals in which the capacity was learned."""
        return self.learned.samples

    def is_learned(self) -> bool:
        """Whether the estimate is reliable: learned in enough intervals, or the fleet is full."""
        return bool(self.per_proxy) and not (
            self.samples < SETTLING_INTERVALS and self.effective_utilization < SATURATED_UTILIZATION
        )


def usable_capacity(config: PlannerConfig, endpoints: Iterable[EndpointState], now_ms: float) -> float:
    """Returns the total listed weight of endpoints, each times the fraction of its capacity that it has."""
    return sum((endpoint.listed_weight or 1.0) * warm_up_fraction(config, endpoint, now_ms) for endpoint in endpoints)


def is_warm(config: PlannerConfig, endpoint: EndpointState, now_ms: float) -> bool:
    """Whether an endpoint has all of its capacity."""
    return warm_up_fraction(config, endpoint, now_ms) >= 1.0


def warm_up_fraction(config: PlannerConfig, endpoint: EndpointState, now_ms: float) -> float:
    """Returns the fraction of its capacity that an endpoint has, which rises from the initial one to 1 over warm-up."""
    if not endpoint.started_ms or not config.warm_up_ms:
        return 1.0
    initial = config.initial_capacity
    return min(1.0, initial + (1.0 - initial) * max(0.0, now_ms - endpoint.started_ms) / config.warm_up_ms)
