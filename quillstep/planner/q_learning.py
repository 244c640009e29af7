"""Q-learning per endpoint on a load-derived payoff.

The update is equation 1 of M. Goodrich and others, "EJFAT: Towards Intelligent Compute Destination Load Balancing":

    Q[t+1, node] = Q[t, node] + alpha * (R[t, node] + gamma * max(E{R[node]}) - Q[t, node])

with a maximum expected future payoff of 1.  The paper's payoff R is the empty fraction of a server's input queue
(equation 2); here it is one minus the reported load.  `docs/design.md` lists what differs from the paper, and why.
"""

from quillstep.planner.state import CONTROL_INTERVAL_MS, EndpointState, FleetState

LEARNING_RATE = 0.15  # alpha; reports are two to three intervals old, so a higher rate chases its own effect
DISCOUNT_RATE = 0.1  # gamma; also what a full endpoint keeps, so that it stays in the calendar
MAX_EXPECTED_PAYOFF = 1.0
MAX_REPORT_AGE_INTERVALS = 2.0  # a report counts by its age, up to this
UTILIZATION_GAIN = 0.7  # how far one report moves the smoothed utilization
SILENT_FAILURE_SHARE = 0.5  # of failed attempts, from which an endpoint without a load report counts as full


def update_q_values(fleet: FleetState, now_ms: float) -> None:
    """Applies each endpoint's newest load report once, and starts to count its attempts anew."""
    for endpoint in fleet.endpoints.values():
        failure_share = endpoint.failures / endpoint.attempts if endpoint.attempts else 0.0
        if endpoint.reported_load is None and failure_share > SILENT_FAILURE_SHARE:
            endpoint.reported_load = 1.0  # it answers no attempt, so no report will come
        if endpoint.reported_load is not None:
            load = min(1.0, max(0.0, endpoint.reported_load))
            _update_utilization(endpoint, max(load, failure_share))
            if endpoint.q_value is None:
                endpoint.q_value = mean_q_value(fleet)
            _update_q_value(endpoint, payoff(load, failure_share), now_ms)
        endpoint.reported_load = None
        endpoint.attempts, endpoint.failures, endpoint.total_success_ms = 0, 0, 0.0


def payoff(load: float, failure_share: float) -> float:
    """The empty fraction of an endpoint, lowered by failing attempts: one that fails fast reports an empty queue."""
    return (1.0 - load) * (1.0 - failure_share) ** 2


def mean_q_value(fleet: FleetState) -> float:
    """What an endpoint without a report counts as; 1 where none has reported, as in the paper's equal start."""
    q_values = [
        endpoint.q_value
        for endpoint in fleet.endpoints.values()
        if endpoint.q_value is not None and endpoint.is_in_service
    ]
    return sum(q_values) / len(q_values) if q_values else 1.0


def _update_q_value(endpoint: EndpointState, reward: float, now_ms: float) -> None:
    """Equation 1; a report that covers several intervals counts as as many updates, within bounds."""
    assert endpoint.q_value is not None
    intervals = 1.0
    if endpoint.q_updated_ms is not None:
        intervals = min(MAX_REPORT_AGE_INTERVALS, (now_ms - endpoint.q_updated_ms) / CONTROL_INTERVAL_MS)
    rate = 1.0 - (1.0 - LEARNING_RATE) ** intervals
    endpoint.q_value += rate * (reward + DISCOUNT_RATE * MAX_EXPECTED_PAYOFF - endpoint.q_value)
    endpoint.q_updated_ms = now_ms


def _update_utilization(endpoint: EndpointState, observed: float) -> None:
    """Failing attempts count as load: where most fail there is no capacity left, whatever the few answers report."""
    if endpoint.utilization is None:
        endpoint.utilization = observed
    else:
        endpoint.utilization += UTILIZATION_GAIN * (observed - endpoint.utilization)
