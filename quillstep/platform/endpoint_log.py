"""Logs each endpoint's changes of state, and the beliefs behind the weight or ejection that it was given."""

from typing import Any

import structlog

from quillstep.planner.capacity import warm_up_fraction
from quillstep.planner.messages import EndpointEntry
from quillstep.planner.planner import Planner
from quillstep.planner.state import EndpointState
from quillstep.platform.protocol.updates import ProtocolOutput

FULL_CAPACITY = 1.0


class EndpointLog:
    """Writes the log lines on endpoints; used by the deciding thread only.

    Weights are logged for ejections, restorations and warming endpoints only: those of warm endpoints change all the
    time, and `status` has the utilization that they follow.
    """

    def __init__(self, planner: Planner) -> None:
        self.planner = planner
        self.listed: dict[str, EndpointEntry] = {}
        self.log = structlog.get_logger("endpoints")

    def record_list(self, entries: list[EndpointEntry], is_complete: bool, now_ms: float) -> None:
        """Log the entries of an endpoint list that differ from the previous ones; call before the planner runs.

        Of the first list, only warming and draining endpoints are logged.
        """
        is_first = not self.listed
        if is_complete:
            self._record_missing({entry.endpoint for entry in entries})
        for entry in entries:
            before = self.listed.get(entry.endpoint)
            if entry.state == "terminated":
                self.listed.pop(entry.endpoint, None)
            else:
                self.listed[entry.endpoint] = entry
            is_ordinary = entry.state == "in_service" and not entry.started_ms
            has_changed = before is None or (before.state, before.started_ms) != (entry.state, entry.started_ms)
            if has_changed and not (is_first and is_ordinary):
                self.log.info(
                    "endpoint listed",
                    endpoint=entry.endpoint,
                    state_before=before.state if before else None,
                    state=entry.state,
                    is_start=before is not None and entry.started_ms != before.started_ms,
                    age_ms=_age_ms(entry.started_ms, now_ms),
                )

    def _record_missing(self, present: set[str]) -> None:
        """Log and forget the endpoints that a complete list no longer names."""
        for endpoint in self.listed.keys() - present:
            before = self.listed.pop(endpoint)
            self.log.info("endpoint listed", endpoint=endpoint, state_before=before.state, state=None, is_start=False)

    def record_output(self, output: ProtocolOutput, now_ms: float) -> None:
        """Log the weights and ejections of one control interval; call before the output is flushed."""
        changed = {endpoint for weights in output.changed_weights.values() for endpoint in weights}
        for endpoint in changed | output.changed_ejections.keys():
            state = self.planner.fleet.endpoints.get(endpoint)
            if state is None:
                continue  # removed after it had left the list
            fraction = warm_up_fraction(self.planner.config, state, now_ms)
            if endpoint in output.changed_ejections or fraction < FULL_CAPACITY:
                self.log.info("endpoint weight", endpoint=endpoint, **self._beliefs(state, fraction, now_ms))

    def _beliefs(self, state: EndpointState, fraction: float, now_ms: float) -> dict[str, Any]:
        planner = self.planner
        return {
            "slots": dict(state.published_slots),
            "is_ejected": state.is_ejected,
            "is_in_service": state.is_in_service,
            "is_outlier": state.is_outlier,
            "age_ms": _age_ms(state.started_ms, now_ms),
            "warm_up_fraction": round(fraction, 3),
            "q_value": _rounded(state.q_value),
            "utilization": _rounded(state.utilization),
            "fleet_utilization": round(planner.capacity.effective_utilization, 3),
            "capacity_per_proxy": round(planner.capacity.per_proxy, 6),
            "admitted_fraction": round(planner.admission.admitted_fraction, 3),
        }


def _age_ms(started_ms: float, now_ms: float) -> float | None:
    """Return the assumed age of an endpoint; None if it started long ago."""
    return round(now_ms - started_ms, 1) if started_ms else None


def _rounded(value: float | None) -> float | None:
    return None if value is None else round(value, 3)
