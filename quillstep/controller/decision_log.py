"""Logs the planner's decisions on admission, warming endpoints and ejections, with the beliefs behind them."""

from typing import Any, NamedTuple

import structlog

from quillstep.planner.calendar import HoldBackReason
from quillstep.planner.messages import EndpointId
from quillstep.planner.outliers import is_in_use
from quillstep.planner.planner import Planner
from quillstep.planner.publishing import HoldReason
from quillstep.planner.state import PublishedAdmission

PublishedLimits = dict[tuple[int, int], PublishedAdmission]  # by table and class


class AssignedProxies(NamedTuple):
    """How many joined proxies use the calendar, only a subset of it, or tables of another controller."""

    with_calendar: int
    with_subset: int
    with_other_tables: int


class HeldEjections(NamedTuple):
    """How many endpoints are draining or gone and not ejected yet, and why."""

    endpoints: int
    reason: HoldReason | None


class DecisionLog:
    """Writes one line for each change of a decision; used by the deciding thread only.

    A line on admission limits is written for each change that is published, at most one in a control interval.
    """

    def __init__(self, planner: Planner) -> None:
        self.planner = planner
        self.log = structlog.get_logger("decisions")
        self._limits: PublishedLimits = {}
        self._hold_back_reason: HoldBackReason | None = None
        self._assigned: AssignedProxies | None = None
        self._ejected: set[EndpointId] = set()  # draining or gone, and ejected
        self._held = HeldEjections(0, None)

    def record(self) -> None:
        """Log the decisions that the last control interval changed; call after the planner has run."""
        self._record_limits()
        self._record_hold_back()
        self._record_assignments()
        self._record_ejections()

    def _record_limits(self) -> None:
        limits = {
            (table, index): published
            for index, state in enumerate(self.planner.fleet.classes)
            for table, published in state.published.items()
        }
        if limits != self._limits:
            self._limits = limits
            rows = [[table, index, round(each.limit, 3), each.retry_policy] for (table, index), each in limits.items()]
            self.log.info("admission limits", limits=sorted(rows), **self._beliefs())

    def _record_hold_back(self) -> None:
        reason = self.planner.calendar.hold_back_reason
        if reason is not self._hold_back_reason:
            before, self._hold_back_reason = self._hold_back_reason, reason
            self.log.info(
                "warming endpoints held back" if reason else "warming endpoints admitted",
                reason=reason.value if reason else None,
                reason_before=before.value if before else None,
                **self._beliefs(),
            )

    def _record_assignments(self) -> None:
        proxies = self.planner.fleet.proxies.values()
        with_calendar = sum(proxy.has_calendar for proxy in proxies)
        with_subset = sum(not proxy.has_calendar and bool(proxy.subsets) for proxy in proxies)
        assigned = AssignedProxies(with_calendar, with_subset, len(proxies) - with_calendar - with_subset)
        if assigned != self._assigned:
            self._assigned = assigned
            self.log.info("tables assigned", **assigned._asdict())

    def _record_ejections(self) -> None:
        """Log ejections of draining and lost endpoints: how long they waited, what held them back, and the margin."""
        leaving = {
            id_: state for id_, state in self.planner.fleet.endpoints.items() if state.left_service_ms is not None
        }
        ejected = {id_ for id_, state in leaving.items() if state.is_ejected}
        if new := ejected - self._ejected:
            since_ms = min(leaving[id_].left_service_ms or 0.0 for id_ in new)
            self.log.info("endpoints ejected", endpoints=len(new), **self._channel(since_ms))
        self._ejected = ejected
        waiting = [state.left_service_ms or 0.0 for state in leaving.values() if state.awaits_ejection]
        held = HeldEjections(len(waiting), self.planner.publisher.hold_reason)
        if held != self._held and waiting:
            reason = held.reason.value if held.reason else None
            self.log.info("ejections held back", endpoints=len(waiting), reason=reason, **self._channel(min(waiting)))
        self._held = held

    def _channel(self, since_ms: float) -> dict[str, Any]:
        """Return what is queued, and the time left for ejections that have been due since then.

        `margin_ms` is what remains of the drain grace once all that is queued has been sent and has taken effect.
        """
        planner = self.planner
        config, budget = planner.config, planner.budget
        waited_ms = planner.fleet.now_ms - since_ms
        queue_ms = 1000.0 * budget.unproven_lines / config.channel_lines_per_s if config.channel_lines_per_s else 0.0
        margin_ms = config.drain_grace_ms - waited_ms - queue_ms - config.max_update_delay_ms
        return {
            "waited_ms": round(waited_ms),
            "margin_ms": round(margin_ms),
            "queued_lines": round(budget.queued_lines),
            "unproven_lines": round(budget.unproven_lines),
            "proxies": len(planner.fleet.proxies),
            "awaiting_calendar": sum(not proxy.has_calendar for proxy in planner.fleet.proxies.values()),
        }

    def _beliefs(self) -> dict[str, Any]:
        planner = self.planner
        capacity, admission = planner.capacity, planner.admission
        return {
            "admitted_fraction": round(admission.admitted_fraction, 3),
            "min_admitted_fraction": round(admission.min_admitted_fraction, 3),
            "offered_per_s": round(sum(planner.fleet.request_rates()), 1),
            "goodput_per_s": round(capacity.goodput_per_s, 1),
            "capacity_per_proxy": round(capacity.per_proxy, 6),
            "capacity_samples": capacity.samples,
            "fleet_utilization": round(capacity.effective_utilization, 3),
            "relative_latency": round(capacity.relative_latency, 3),
            "in_service": sum(endpoint.is_in_service for endpoint in planner.fleet.endpoints.values()),
            "in_use": sum(map(is_in_use, planner.fleet.endpoints.values())),
        }
