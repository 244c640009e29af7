"""A planner behind a simulated channel, with steady updates that compete for it; times updates of each kind."""

from random import Random
from typing import NamedTuple

from planner_harness import ChannelModel, PlannerHarness, class_config, entry, planner_config

from quillstep.planner.endpoint_changes import DELISTED_RETENTION_MS, MIN_RELATIVE_CHANGE

STEP_MS = 100.0
KEPT_ENDPOINTS = 5  # the first ones are not replaced by the competing updates
MESSAGE_WINDOW_MS = 10000.0
JOINS_SHARE = 0.3  # of the channel, that proxies which join again take
MIN_STREAM_MS = 10000.0  # a proxy's stream lasts that long on average, or longer
MIN_REPLACEMENT_S = 0.7  # between two endpoints that are replaced
SETTLE_STEPS = 190  # until all endpoints are warm
SETTLE_LIMIT_S = 300.0
ZONES = ["a", "b", "c", "d"]


class Deployment(NamedTuple):
    """The size of a fleet, and the limits of its controller's channel."""

    proxies: int
    endpoints: int
    lines_per_s: float
    queued_s: float  # the queue's limit, in seconds of the channel's rate
    lines_per_message: float = 6.0
    drain_grace_ms: float = 3000.0
    max_ack_delay_ms: float = 800.0
    max_messages: int = 20
    has_zone_tables: bool = False

    @property
    def max_queued_lines(self):
        return self.queued_s * self.lines_per_s

    def lines_to_all(self, lines=1):
        """Returns the lines of one message with so many changes to each proxy."""
        return self.proxies * (self.lines_per_message + 1 + lines)

    def max_wait_s(self):
        """Returns within what time a change is published that waits for one of each other endpoint, in two parts."""
        message_s = self.lines_to_all(2) / self.lines_per_s + self.max_ack_delay_ms / 1000.0 + 1.0
        return 60.0 + 2.0 * self.endpoints * message_s

    def config(self):
        classes = [class_config(), class_config("unsafe", 3.0), class_config("keyed", 2.0)]
        if self.has_zone_tables:
            classes[2] = class_config("keyed", 2.0, home_zone_only=True)
        return planner_config(
            classes=classes,
            zones=ZONES,
            channel_lines_per_s=self.lines_per_s,
            lines_per_message=self.lines_per_message,
            max_queued_lines=self.max_queued_lines,
            drain_grace_ms=self.drain_grace_ms,
            max_update_delay_ms=self.max_ack_delay_ms,
            max_messages=self.max_messages,
            message_window_ms=MESSAGE_WINDOW_MS,
            admission="rate",
        )


class Fleet:
    """A planner, its channel, and what happens to the fleet meanwhile."""

    def __init__(self, deployment, seed=1, competing=(), channel_type=ChannelModel):
        self.deployment, self.random, self.competing = deployment, Random(seed), set(competing)
        entries = [self.entry(number) for number in range(deployment.endpoints)]
        self.harness = PlannerHarness(deployment.config(), entries, proxies=0)
        self.channel = channel_type(self.harness, 1.0, deployment.max_ack_delay_ms / 2.5)
        self.next_endpoint, self.steps = deployment.endpoints, 0
        self.replaced, self.lists, self.streams = [], [], []
        self.limits = dict.fromkeys(range(3), 50.0)
        self.harness.admission.update = self._set_limits
        self.streams += [self.stream(number, True) for number in range(deployment.proxies)]

    @staticmethod
    def stream(number, is_fresh=False):
        return (number, True, ZONES[number % len(ZONES)], 10.0, is_fresh)

    @staticmethod
    def entry(number, state="in_service", started=0.0):
        return entry(number, ZONES[number % len(ZONES)], state, started=started)

    def _set_limits(self, now_ms, is_interval_due):
        for index, state in enumerate(self.harness.fleet.classes):
            state.admission_limit = self.limits[index]

    def change(self, *entries):
        self.lists.append(("partial", list(entries)))

    def step(self):
        """Plays one step of the channel and the planner, with the competing updates that are due."""
        self.steps += 1
        self._compete()
        lists, self.lists = self.lists, []
        streams, self.streams = self.streams, []
        self.channel.observe(STEP_MS, endpoint_lists=lists, proxy_streams=streams)

    def _compete(self):
        every = self.random.random
        if "weights" in self.competing and self.steps % 10 == 0:
            for state in self.harness.fleet.endpoints.values():
                state.q_value = 0.3 + 0.7 * every()
        if "admission" in self.competing and self.steps % 5 == 0:
            self.limits.update({index: 20.0 + 80.0 * every() for index in (0, 1)})
        if "joins" in self.competing:
            lines = self.deployment.lines_per_message + 10 + 1.5 * self.deployment.endpoints
            joins_per_step = JOINS_SHARE * self.deployment.lines_per_s * STEP_MS / 1000.0 / lines
            joins_per_step = min(joins_per_step, self.deployment.proxies * STEP_MS / MIN_STREAM_MS)
            for _ in range(int(joins_per_step + every())):
                self.streams.append(self.stream(self.random.randrange(self.deployment.proxies - 1)))
        if "drains" in self.competing:
            # A replacement takes three messages to all: an ejection, an added endpoint and, later, a removal.
            span_s = 4.0 * self.deployment.lines_to_all(2) / self.deployment.lines_per_s
            span_s = max(MIN_REPLACEMENT_S, span_s + self.deployment.max_ack_delay_ms / 1000.0)
            if self.steps % int(10 * span_s) == 0:
                self._replace_endpoint()

    def _replace_endpoint(self):
        fleet = self.harness.fleet
        candidates = [id_ for id_, state in fleet.endpoints.items() if state.is_in_service and id_ >= KEPT_ENDPOINTS]
        if candidates:
            self.change(self.entry(self.next_endpoint), self.entry(min(candidates), "terminated"))
            self.next_endpoint += 1

    def wait_until(self, condition, limit_s):
        """Returns after how many seconds a condition holds; None if it does not within the limit."""
        for step in range(int(1000 * limit_s / STEP_MS)):
            if condition():
                return step * STEP_MS / 1000.0
            self.step()
        return None

    def exceeds_limits(self):
        """Whether more lines were queued, or more messages written to one proxy, than the channel allows."""
        deployment, channel = self.deployment, self.channel
        if channel.max_queued_lines > deployment.max_queued_lines:
            return True
        if not deployment.max_messages:
            return False
        spans = (
            last - first
            for times in channel.message_times.values()
            for first, last in zip(times, times[deployment.max_messages :], strict=False)
        )
        return any(span_ms < MESSAGE_WINDOW_MS for span_ms in spans)

    def is_settled(self):
        return self.harness.fleet.all_proxies_have_calendar() and not self.channel.queue and not self.channel.acks

    # The kinds of updates: each starts one and returns the condition that it has been published.

    def added(self):
        number, self.next_endpoint = self.next_endpoint, self.next_endpoint + 1
        self.change(self.entry(number))
        return lambda: number in self.harness.fleet.endpoints and self._is_in_all_tables(number)

    def _is_in_all_tables(self, number):
        state = self.harness.endpoint(number)
        zone = ZONES[number % len(ZONES)]
        tables = [table.number for table in self.harness.fleet.tables if table.zone in (None, zone)]
        return not state.is_ejected and all(state.published_slots.get(table) for table in tables)

    def ejected(self):
        self.change(self.entry(1, "terminating"))
        return lambda: self.harness.endpoint(1).is_ejected

    def restored(self):
        state = self.harness.endpoint(2)
        self.change(self.entry(2, "terminating"))
        if self.wait_until(lambda: state.is_ejected, 60.0) is None:
            return lambda: False
        self.change(self.entry(2))
        return lambda: not state.is_ejected

    def reweighted(self):
        self.competing.discard("weights")
        for state in self.harness.fleet.endpoints.values():
            state.q_value = 0.5
        self.harness.endpoint(0).q_value = 1.0
        return self._has_wanted_slots

    def _has_wanted_slots(self):
        """Whether the slots of the first endpoint are published in all tables, besides changes too small for it."""
        published = self.harness.endpoint(0).published_slots
        for table in self.harness.fleet.tables:
            wanted = self.harness.planner.calendar.slots(table.zone, self.harness.now_ms).get(0, 0)
            if abs(wanted - published.get(table.number, 0)) > MIN_RELATIVE_CHANGE * published.get(table.number, 0):
                return False
        return True

    def limited(self):
        self.limits[2] = 7.0
        tables = [table.number for table in self.harness.fleet.tables if 2 in table.classes]
        state = self.harness.fleet.classes[2]
        return lambda: all(state.published[table].limit == 7.0 for table in tables)

    def assigned(self):
        number = self.deployment.proxies - 1
        self.streams.append(self.stream(number))
        self.step()
        return lambda: self.harness.fleet.proxies[number].has_calendar

    def removed(self):
        self.change(self.entry(4, "terminated"))
        for _ in range(int(DELISTED_RETENTION_MS / STEP_MS)):
            self.step()
        return lambda: 4 not in self.harness.fleet.endpoints


KINDS = ("added", "ejected", "restored", "reweighted", "limited", "assigned", "removed")


def settled_fleet(deployment, seed=1, channel_type=ChannelModel, fleet_type=Fleet):
    """Returns a fleet whose proxies have the calendar, and whose channel is empty."""
    fleet = fleet_type(deployment, seed, channel_type=channel_type)
    waited_s = fleet.wait_until(lambda: fleet.steps > SETTLE_STEPS and fleet.is_settled(), SETTLE_LIMIT_S)
    assert waited_s is not None, "the proxies never got the calendar"
    return fleet


def time_to_publish(fleet, kind, limit_s):
    """Starts an update of a kind, and returns the seconds until it is published; None if it is not within the limit."""
    return fleet.wait_until(getattr(fleet, kind)(), limit_s)
