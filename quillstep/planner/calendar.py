"""The calendar: the number of slots that each endpoint has in a table.

All joined proxies share one calendar.  As in the paper's equation 6, an endpoint's share is its Q value, here times its
listed weight, over the sum for all endpoints.  The share is rounded to slots, at least one.
"""

from enum import Enum

from quillstep.planner.admission import MIN_SHEDDING_UTILIZATION, AdmissionController
from quillstep.planner.capacity import (
    HIGH_RELATIVE_LATENCY,
    TARGET_UTILIZATION,
    CapacityEstimator,
    is_warm,
    warm_up_fraction,
)
from quillstep.planner.messages import EndpointId
from quillstep.planner.outliers import is_in_use
from quillstep.planner.q_learning import mean_q_value
from quillstep.planner.state import EndpointState, FleetState

SLOTS_PER_ENDPOINT = 10


class HoldBackReason(Enum):
    """Why warming endpoints stay out of the tables."""

    JOINING = "a proxy has not been assigned the calendar"
    SETTLING = "reports do not reflect the proxies that joined or left"
    UNMEASURED = "no capacity has been measured"
    LOADED = "the fleet is loaded or slow"


class Calendar:
    """Divides the slots of a table among the usable endpoints.

    Attributes:
        hold_back_reason: Why the last calendar left out its warming endpoints; None if it did not.
    """

    def __init__(self, fleet: FleetState, capacity: CapacityEstimator, admission: AdmissionController) -> None:
        self.fleet, self.capacity, self.admission = fleet, capacity, admission
        self.hold_back_reason: HoldBackReason | None = None

    def slots(self, zone: str | None, now_ms: float) -> dict[EndpointId, int]:
        """Returns slots by endpoint, of one zone's calendar or, where the zone is None, of the shared calendar."""
        weights = self._weights(zone, now_ms)
        total = sum(weights.values()) or 1.0
        scale = SLOTS_PER_ENDPOINT * len(weights)
        return {id_: max(1, round(scale * weight / total)) for id_, weight in weights.items()}

    def _weights(self, zone: str | None, now_ms: float) -> dict[EndpointId, float]:
        """Returns Q value times listed weight; warming endpoints are capped at their fraction of the warm mean."""
        usable = self._usable_endpoints(zone)
        config = self.fleet.config
        warm = {id_: e for id_, e in usable.items() if is_warm(config, e, now_ms)}
        # If no endpoint is warm, the warming ones are used: an empty table would leave proxies without endpoints.
        self.hold_back_reason = self._reason_to_hold_back(now_ms) if 0 < len(warm) < len(usable) else None
        if self.hold_back_reason:
            usable = _without_warming(usable, warm)
        mean_q = mean_q_value(self.fleet)
        weights = {
            id_: (mean_q if endpoint.q_value is None else endpoint.q_value) * (endpoint.listed_weight or 1.0)
            for id_, endpoint in usable.items()
        }
        reference = warm or usable
        mean_weight = sum(weights[id_] for id_ in reference) / max(1, len(reference))
        for id_, endpoint in usable.items():
            if id_ not in warm:
                cap = mean_weight * warm_up_fraction(config, endpoint, now_ms)
                cap /= max(1.0, self.capacity.effective_utilization)
                weights[id_] = min(weights[id_], cap)
        return weights

    def _usable_endpoints(self, zone: str | None) -> dict[EndpointId, EndpointState]:
        """Returns the endpoints in service except outliers, or all in service if all are outliers."""
        in_service = {
            id_: endpoint
            for id_, endpoint in self.fleet.endpoints.items()
            if endpoint.is_in_service and (zone is None or endpoint.zone == zone)
        }
        return {id_: endpoint for id_, endpoint in in_service.items() if not endpoint.is_outlier} or in_service

    def _reason_to_hold_back(self, now_ms: float) -> HoldBackReason | None:
        """Returns why warming endpoints stay out of the tables, or None if they do not.

        When many attempts fail, proxies avoid the failing endpoints and send everything to the others, which would
        overload a warming endpoint.  High load, failures and high latency indicate this.  Until a proxy is assigned
        the calendar, its earlier tables give a warming endpoint its full weight.
        """
        capacity, fleet = self.capacity, self.fleet
        if fleet.uses_other_tables():
            return HoldBackReason.JOINING
        if fleet.is_settling(now_ms):
            return HoldBackReason.SETTLING
        if not capacity.per_proxy:
            return HoldBackReason.UNMEASURED
        max_utilization = TARGET_UTILIZATION if self.admission.admitted_fraction == 1.0 else MIN_SHEDDING_UTILIZATION
        if capacity.effective_utilization > max_utilization or capacity.relative_latency > HIGH_RELATIVE_LATENCY:
            return HoldBackReason.LOADED
        return None


def _without_warming(
    usable: dict[EndpointId, EndpointState], warm: dict[EndpointId, EndpointState]
) -> dict[EndpointId, EndpointState]:
    """Returns the warm endpoints and, until one of these is in use, the warming ones in use.

    Ejections precede added and restored endpoints, so tables would be empty until the warm endpoints follow.
    """
    if any(is_in_use(endpoint) for endpoint in warm.values()):
        return warm
    return {id_: endpoint for id_, endpoint in usable.items() if id_ in warm or is_in_use(endpoint)}
