"""The planner: which endpoints the proxies use, in what parts, and which requests they admit.

The design follows EJFAT (`docs/design.md`): a Q value for each endpoint learns from a load-derived payoff; Q value
times listed weight, normalised, is rounded into the slots of one calendar that all joined proxies share.  Beside it
stand six mechanisms:

    outlier detection   an endpoint stays out where statistics suggest it and health checks confirm it (`outliers`)
    last endpoint       no table loses its last usable endpoint (`calendar`); a proxy that may hold none is assigned
                        a subset of the calendar first (`assignment`)
    admission limits    under overload less is admitted, the least priority per work first (`admission`)
    retry policies      follow what a class allows, and allow fewer retries under overload (`admission`)
    update budget       lines and messages are counted; drains, failures and joins go before ordinary changes
                        (`update_budget`, `publishing`)
    clean start         nothing is taken over from before a start; each proxy is assigned tables as it joins
"""

from random import Random

from quillstep.planner.admission import AdmissionController
from quillstep.planner.assignment import TableAssigner
from quillstep.planner.calendar import Calendar
from quillstep.planner.capacity import CapacityEstimator
from quillstep.planner.messages import Observations, PlannerConfig, PlannerOutput
from quillstep.planner.outliers import detect_outliers
from quillstep.planner.publishing import Publisher
from quillstep.planner.q_learning import update_q_values
from quillstep.planner.state import CONTROL_INTERVAL_MS, FleetState
from quillstep.planner.update_budget import UpdateBudget

INTERVAL_TIMER = 1  # the token of the timer for the next control interval


class Planner:
    """Decides for one controller, from a start to the next.

    Attributes:
        fleet: What is known of endpoints, proxies and classes.
        capacity: The load on the fleet and its learned capacity.
        admission: The admission limits.
        budget: The use of the channel to the proxies.
        assigner: The assignment of tables to proxies.
        calendar: The slots of each table.
        publisher: What goes to the proxies.
    """

    def __init__(self, config: PlannerConfig, seed: int) -> None:
        self.config = config
        self.fleet = FleetState(config)
        self.capacity = CapacityEstimator(self.fleet)
        self.admission = AdmissionController(self.fleet, self.capacity)
        self.calendar = Calendar(self.fleet, self.capacity, self.admission)
        self.budget = UpdateBudget(config)
        self.assigner = TableAssigner(self.fleet, self.budget)
        self.publisher = Publisher(self.fleet, self.calendar, self.budget, self.assigner)
        self._random = Random(seed)
        self._next_interval_ms: float | None = None

    def run_interval(self, observations: Observations, output: PlannerOutput) -> None:
        """Takes in what was observed, and writes what follows from it.

        Observations are taken in at each call; learning goes by full control intervals, whenever one is due.
        """
        if self.config.slices:
            return  # fleets with sliced key spaces are not supported
        now_ms = observations.now_ms
        if self._next_interval_ms is None:
            self._next_interval_ms = self._start(now_ms, output)
        self._observe(observations)
        is_interval_due = now_ms >= self._next_interval_ms
        if is_interval_due:
            self.capacity.measure_attempts(now_ms)
            update_q_values(self.fleet, now_ms)
            detect_outliers(self.fleet, output)
        if is_interval_due or self.fleet.has_urgent_change:
            self.admission.update(now_ms, is_interval_due)
        if is_interval_due:
            self._next_interval_ms = self._schedule_next(now_ms, output)
        self.publisher.publish(now_ms, is_interval_due, output)

    def _start(self, now_ms: float, output: PlannerOutput) -> float:
        """Begins at a random moment of an interval, so that controllers started together do not act together."""
        first_interval_ms = now_ms + CONTROL_INTERVAL_MS * self._random.random()
        output.set_timer(INTERVAL_TIMER, first_interval_ms)
        if self.config.watches_on_request:
            output.watch_endpoints()
        self.capacity.start(now_ms)
        self.fleet.last_proxy_change_ms, self.fleet.has_urgent_change = now_ms, True
        return first_interval_ms

    def _observe(self, observations: Observations) -> None:
        now_ms = observations.now_ms
        for update in observations.endpoint_lists:
            self.fleet.apply_endpoint_list(update, now_ms)
        for event in observations.proxy_streams:
            self.fleet.apply_proxy_stream(event, now_ms)
        self.fleet.apply_upstream_stats(observations.upstream_stats)
        self.fleet.apply_health_checks(observations.health_checks)
        self.budget.apply_acks(observations.acks, now_ms)
        self.fleet.apply_downstream_stats(observations.downstream_stats)

    def _schedule_next(self, now_ms: float, output: PlannerOutput) -> float:
        if self.fleet.must_watch_again:
            output.watch_endpoints()
            self.fleet.must_watch_again = False
        next_interval_ms = now_ms + CONTROL_INTERVAL_MS
        output.set_timer(INTERVAL_TIMER, next_interval_ms)
        return next_interval_ms
