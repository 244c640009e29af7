"""Outlier detection: an endpoint is an outlier when statistics suggest it and health checks confirm it.

Outliers stay out of the calendar as long as it has other endpoints.  An outlier is restored after consecutive passed
health checks, with a low Q value that then rises by learning.
"""

from quillstep.planner.capacity import TARGET_UTILIZATION
from quillstep.planner.messages import EndpointId, PlannerOutput
from quillstep.planner.q_learning import mean_q_value
from quillstep.planner.state import EndpointState, FleetState

# Fraction of the endpoints in service.  High, because a partitioned zone reaches only its own endpoints.
MAX_OUTLIER_FRACTION = 0.8
MIN_FAILED_HEALTH_CHECKS = 2  # consecutive failed checks that confirm an outlier
MIN_PASSED_HEALTH_CHECKS = 2  # consecutive passed checks that restore an outlier
RESTORED_Q_FRACTION = 0.1  # Q value of a restored endpoint, divided by the mean Q value
MAX_UNCHECKED_FAILURES = 2  # health checks are requested above this number of failures since the last success


def detect_outliers(fleet: FleetState, output: PlannerOutput) -> None:
    """Marks and restores outliers, and requests the health checks that are due."""
    in_service = {id_: endpoint for id_, endpoint in fleet.endpoints.items() if endpoint.is_in_service}
    outliers = sum(endpoint.is_outlier for endpoint in in_service.values())
    allowed = int(len(in_service) * MAX_OUTLIER_FRACTION) - outliers
    # If the responsive endpoints are full as well, the cause is overload and not a failure of the others.
    others_have_capacity = _mean_responsive_utilization(fleet, in_service) < TARGET_UTILIZATION
    for id_, endpoint in in_service.items():
        is_suspected = is_unreachable(fleet, endpoint) and others_have_capacity
        if endpoint.is_outlier and endpoint.passed_health_checks >= MIN_PASSED_HEALTH_CHECKS:
            _restore(fleet, endpoint)
        elif not endpoint.is_outlier and is_suspected and allowed > 0:
            endpoint.is_outlier, endpoint.passed_health_checks = True, 0
            fleet.has_urgent_change = True
            allowed -= 1
            # The text is part of recordings and of the simulator's reports.
            output.log_note(f"{id_} is shut out: {endpoint.failures_since_success} tries since its last good answer")
        if _needs_health_check(fleet, endpoint):
            output.request_health_check(id_)


def is_unreachable(fleet: FleetState, endpoint: EndpointState) -> bool:
    """Whether enough consecutive attempts failed for a proxy to avoid the endpoint, and health checks confirm it.

    A slow or overloaded endpoint still responds to some attempts; one that is unreachable responds to none.
    """
    return (
        endpoint.failures_since_success >= _min_failures(fleet)
        and endpoint.failed_health_checks >= MIN_FAILED_HEALTH_CHECKS
    )


def endpoints_in_use(fleet: FleetState) -> dict[EndpointId, EndpointState]:
    """Returns the endpoints that proxies can use: without unreachable ones, even if not marked as outliers.

    Endpoints that are not published yet are idle, and would hide that all others are full or gone; they count only
    until the first endpoint is published.
    """
    usable = {
        id_: endpoint
        for id_, endpoint in fleet.endpoints.items()
        if endpoint.is_in_service and not endpoint.is_outlier and not is_unreachable(fleet, endpoint)
    }
    if not any(endpoint.published_slots for endpoint in fleet.endpoints.values()):
        return usable
    return {id_: endpoint for id_, endpoint in usable.items() if is_in_use(endpoint)}


def is_in_use(endpoint: EndpointState) -> bool:
    """Whether the proxies' tables list an endpoint that is not ejected."""
    return bool(endpoint.published_slots) and not endpoint.is_ejected


def _min_failures(fleet: FleetState) -> int:
    return max(1, fleet.config.local_ejection_failures)


def _mean_responsive_utilization(fleet: FleetState, in_service: dict[EndpointId, EndpointState]) -> float:
    """Returns the mean utilization of the endpoints that respond; 1 if none does."""
    min_failures = _min_failures(fleet)
    responsive = [
        endpoint.utilization
        for endpoint in in_service.values()
        if endpoint.failures_since_success < min_failures and endpoint.utilization is not None
    ]
    return sum(responsive) / len(responsive) if responsive else 1.0


def _restore(fleet: FleetState, endpoint: EndpointState) -> None:
    endpoint.is_outlier, endpoint.failures_since_success = False, 0
    endpoint.q_value = mean_q_value(fleet) * RESTORED_Q_FRACTION
    fleet.has_urgent_change = True


def _needs_health_check(fleet: FleetState, endpoint: EndpointState) -> bool:
    config = fleet.config
    return config.health_checks_allowed and (
        config.load_from_health_checks
        or endpoint.is_outlier
        or endpoint.failures_since_success > MAX_UNCHECKED_FAILURES
    )
