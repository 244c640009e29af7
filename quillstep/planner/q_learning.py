"""Q-learning with one Q value per endpoint and a load-derived payoff.

The update is equation 1 of M. Goodrich and others, "EJFAT: Towards Intelligent Compute Destination Load Balancing":

    Q[t+1, node] = Q[t, node] + alpha * (R[t, node] + gamma * max(E{R[node]}) - Q[t, node])

with a maximum expected future payoff of 1.  The paper's payoff R is the empty fraction of a server's input queue
(equation 2); here it is one minus the reported load.  `docs/design.md` lists the differences from the paper, and why.
"""

from quillstep.planner.state import CONTROL_INTERVAL_MS, EndpointState, FleetState

LEARNING_RATE = 0.15  # alpha; reports are two to three intervals old, and a higher rate would oscillate
DISCOUNT_RATE = 0.1  # gamma; also the Q value that a full endpoint tends to, which keeps it in the calendar
MAX_EXPECTED_PAYOFF = 1.0
MAX_REPORT_AGE_INTERVALS = 2.0  # limit on the age by which a report is weighted
UTILIZATION_GAIN = 0.7  # smoothing factor per report
MAX_UNREPORTED_FAILURE_SHARE = 0.5  # an endpoint without a load report counts as full above this share of failures


def update_q_values(fleet: FleetState, now_ms: float) -> None:
    """Applies each endpoint's newest load report once, and resets its attempt counts."""
    for endpoint in fleet.endpoints.values():
        failure_share = endpoint.failures / endpoint.attempts if endpoint.attempts else 0.0
        if endpoint.reported_load is None and failure_share > MAX_UNREPORTED_FAILURE_SHARE:
            endpoint.reported_load = 1.0  # most attempts get no response, so no load report arrives
        if endpoint.reported_load is not None:
            load = min(1.0, max(0.0, endpoint.reported_load))
            _update_utilization(endpoint, max(load, failure_share))
            if endpoint.q_value is None:
                endpoint.q_value = mean_q_value(fleet)
            _update_q_value(endpoint, payoff(load, failure_share), now_ms)
        endpoint.reported_load = None
        endpoint.attempts, endpoint.failures, endpoint.total_success_ms = 0, 0, 0.0


def payoff(load: float, failure_share: float) -> float:
    """Returns an endpoint's free fraction, reduced by failures: an endpoint that fails fast reports an empty queue."""
    return (1.0 - load) * (1.0 - failure_share) ** 2


def mean_q_value(fleet: FleetState) -> float:
    """Returns the mean Q value, used for endpoints without a report; 1 where none has reported, as in the paper."""
    q_values = [
        endpoint.q_value
        for endpoint in fleet.endpoints.values()
        if endpoint.q_value is not None and endpoint.is_in_service
    ]
    return sum(q_values) / len(q_values) if q_values else 1.0


def _update_q_value(endpoint: EndpointState, reward: float, now_ms: float) -> None:
    """Applies equation 1, repeated for a report that covers several intervals, up to MAX_REPORT_AGE_INTERVALS."""
    assert endpoint.q_value is not None
    intervals = 1.0
    if endpoint.q_updated_ms is not None:
        intervals = min(MAX_REPORT_AGE_INTERVALS, (now_ms - endpoint.q_updated_ms) / CONTROL_INTERVAL_MS)
    rate = 1.0 - (1.0 - LEARNING_RATE) ** intervals
    endpoint.q_value += rate * (reward + DISCOUNT_RATE * MAX_EXPECTED_PAYOFF - endpoint.q_value)
    endpoint.q_updated_ms = now_ms


def _update_utilization(endpoint: EndpointState, observed: float) -> None:
    """Smooths the utilization.

    Callers count failures as load: an endpoint at which most attempts fail has no capacity left, whatever the load
    reports of the few responses.
    """
    if endpoint.utilization is None:
        endpoint.utilization = observed
    else:
        endpoint.utilization += UTILIZATION_GAIN * (observed - endpoint.utilization)
