"""The planner: sets the endpoints that the proxies use, their weights, and the admission limits.

The design follows EJFAT (`docs/design.md`): each endpoint has a Q value that is learned from a load-derived payoff.
Q value times listed weight, normalised, is rounded to slots of one calendar that all joined proxies share.  Six
mechanisms complement the calendar:

    outlier detection   an endpoint is kept out when statistics suggest a failure and health checks confirm
                        it (`outliers`)
    last endpoint       no table loses its last usable endpoint (`calendar`); a proxy that may have none is assigned
                        a subset of the calendar first (`assignment`)
    admission limits    under overload, the classes with the lowest priority per work are shed first (`admission`)
    retry policies      depend on the class's semantics, and allow fewer retries under overload (`admission`)
    update budget       lines and messages are limited; drains, failures and joins precede ordinary changes
                        (`update_budget`, `publishing`)
    clean start         no state survives a restart; each proxy is assigned tables when it joins
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

INTERVAL_TIMER = 1  # token of the timer for the next control interval


class Planner:
    """Makes the decisions of one controller, from one start to the next.

    Attributes:
        fleet: The state of endpoints, proxies and classes.
        capacity: The fleet's load and its learned capacity.
        admission: The admission limits.
        budget: How much of the channel to the proxies is in use.
        assigner: The assignment of tables to proxies.
        calendar: The slots of each table.
        publisher: Sends changes to the proxies.
    """

    def __init__(self, config: PlannerConfig, seed: int, *, ejections_reach_all: bool = False) -> None:
        """Creates a planner that has observed nothing.

        Args:
            config: The settings.
            seed: Seed of the phase of control intervals.
            ejections_reach_all: Whether the front sends each ejection to all proxies, not only to those whose tables
                list the endpoint.
        """
        self.config = config
        self.fleet = FleetState(config, ejections_reach_all)
        self.capacity = CapacityEstimator(self.fleet)
        self.admission = AdmissionController(self.fleet, self.capacity)
        self.calendar = Calendar(self.fleet, self.capacity, self.admission)
        self.budget = UpdateBudget(config)
        self.assigner = TableAssigner(self.fleet, self.budget)
        self.publisher = Publisher(self.fleet, self.calendar, self.budget, self.assigner)
        self._random = Random(seed)
        self._next_interval_ms: float | None = None

    def run_interval(self, observations: Observations, output: PlannerOutput) -> None:
        """Handles observations, and writes the updates that result from them.

        Each call handles its observations; learning advances only when a full control interval is due.

        Args:
            observations: Everything observed since the previous call.
            output: Receives the updates.
        """
        if self.config.slices:
            return  # sliced key spaces are not supported
        now_ms = self.fleet.now_ms = observations.now_ms
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

    def has_capacity_for(self, changes: int) -> bool:
        """Whether an update of the caller's own may be sent now, with so many changes to each proxy.

        An update that exceeds the channel's limit by itself may be sent in an empty channel.
        """
        budget = self.budget
        lines = len(self.fleet.proxies) * (budget.lines_per_message + 1 + changes)
        if not budget.fits_empty_channel(lines):
            return budget.unproven_lines <= 0.0
        return budget.fits_limit(lines)

    def record_messages(self, messages: int) -> None:
        """Records how many messages the update of the last call became; fewer if the caller withheld changes."""
        self.budget.limit_awaited_acks(messages)

    def record_own_update(self, lines: float, messages: int, output: PlannerOutput) -> None:
        """Counts an update that the caller has written by itself, and requests its acks.

        Args:
            lines: Lines of all its messages, without heads and ack requests.
            messages: Number of its messages.
            output: Receives the request.
        """
        written_before = self.budget.written_lines
        self.budget.written_lines += lines + messages * self.budget.lines_per_message
        self.budget.request_ack(written_before, messages, output)

    def _start(self, now_ms: float, output: PlannerOutput) -> float:
        """Starts the first interval at a random phase, so that controllers started together do not act in lockstep."""
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
