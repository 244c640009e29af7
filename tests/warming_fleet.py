"""A fleet in virtual time: planners behind channels, and endpoints whose capacity grows after a start.

Requests are a fluid: each step moves arrivals, in requests, from the proxies to the endpoints of their tables.  A
warming endpoint that is sent more than a multiple of its present capacity over a window is recorded as overloaded.
"""

from collections import Counter, deque
from dataclasses import dataclass, field
from random import Random

from planner_harness import class_config, planner_config

from quillstep.planner.messages import (
    DownstreamStats,
    EndpointEntry,
    EndpointListUpdate,
    HealthCheckResult,
    Observations,
    ProxyStreamEvent,
    UpstreamStats,
)
from quillstep.planner.planner import Planner

STEP_MS = 100.0
OBJECTIVE_MS = 1000.0
RESPONSE_MS = 250.0
CLASS_SHARES = [0.6, 0.27, 0.13]
WARM_UP_MS, INITIAL_CAPACITY, OVERLOAD_MULTIPLE, TIP_MS = 18000.0, 0.15, 3.0, 1500.0
CHANCE_SLACK = 1.1
GRACE_MS = 3300.0
HEALTH_CHECK_DELAY_MS, STATS_DELAY_MS, UPDATE_DELAY_MS = 600.0, 1100.0, 300.0
REPORT_INTERVAL_MS = 1000.0
AVOIDED_FAILURE_SHARE, AVOIDED_MS = 0.9, 5000.0
INITIAL_TABLE_SIZE = 5
LONG_AGO_MS = -1e9
ZONES = ["a", "b", "c", "d"]


def fleet_config(proxies, admission="rate"):
    classes = [class_config(), class_config("keyed", 3.0), class_config("unsafe", 2.0, latency_objective_ms=750.0)]
    return planner_config(
        classes=classes, zones=ZONES, admission=admission, load_from_health_checks=True, channel_lines_per_s=3400.0,
        max_queued_lines=5100.0, initial_capacity=INITIAL_CAPACITY, warm_up_ms=WARM_UP_MS,
        overload_multiple=OVERLOAD_MULTIPLE, default_retry_policy=1, max_messages=20, message_window_ms=10000.0,
        report_interval_ms=REPORT_INTERVAL_MS, initial_table_size=INITIAL_TABLE_SIZE,
    )  # fmt: skip


@dataclass
class SimulatedEndpoint:
    """A server; its true capacity grows from `cold_from` to all of it over `cold_ms` after a start."""

    zone: str
    capacity_per_s: float
    cold_from: float
    cold_ms: float
    state: str = "in_service"
    started_ms: float = LONG_AGO_MS
    listed_start_ms: float = 0.0
    down_until_ms: float = LONG_AGO_MS
    avoided_until_ms: float = LONG_AGO_MS
    arrivals: float = 0.0  # in the present step
    attempts: Counter = field(default_factory=Counter)  # by controller, since the last report
    failures: Counter = field(default_factory=Counter)
    utilization: float = 0.0
    recent: deque = field(default_factory=lambda: deque(maxlen=int(TIP_MS / STEP_MS)))
    worst_multiple: float = 0.0

    def fraction(self, now_ms):
        return min(1.0, self.cold_from + (1.0 - self.cold_from) * max(0.0, now_ms - self.started_ms) / self.cold_ms)

    def serve(self, now_ms):
        """Ends a step: returns the share of its requests that fail."""
        is_down = now_ms < self.down_until_ms
        capacity = 0.0 if is_down else self.capacity_per_s * self.fraction(now_ms)
        per_s = self.arrivals * 1000.0 / STEP_MS
        failed_share = max(0.0, 1.0 - capacity / per_s) if per_s else 0.0
        present = min(1.0, per_s / capacity) if capacity else 1.0
        self.utilization += 0.3 * (present - self.utilization)
        self.recent.append(per_s / capacity if capacity else 0.0)
        if failed_share > AVOIDED_FAILURE_SHARE:
            self.avoided_until_ms = now_ms + AVOIDED_MS
        return failed_share

    def multiple(self):
        """Returns what it was sent over the window, divided by its present capacity."""
        return sum(self.recent) / self.recent.maxlen


@dataclass
class SimulatedProxy:
    """A proxy; `own_table` and `own_limits` are what it holds until a controller assigns a table."""

    number: int
    zone: str
    rates_per_s: list
    own_table: dict
    own_limits: dict = field(default_factory=dict)
    own_ejected: set = field(default_factory=set)
    is_fresh: bool = True
    controller: object = None
    table: int | None = None
    redial_ms: float = 0.0
    received: list = field(default_factory=list)  # requests of each class since the last report


class SimulatedController:
    """A planner, and the channel that its updates pass: first in, first out, at the configured rate."""

    def __init__(self, config, seed, now_ms, entries):
        self.config, self.planner = config, Planner(config, seed)
        self.observations = Observations(now_ms)
        self.observations.endpoint_lists.append(EndpointListUpdate("persisted", entries))
        self.timers, self.delayed = [now_ms], []
        self.weights, self.limits, self.ejected = {}, {}, set()  # in effect at its proxies
        self.proxies, self.assigned = {}, {}
        self.channel_free_ms, self.blocks = now_ms, deque()
        self.requested_checks, self.calls = set(), []

    def __getattr__(self, name):
        if name.startswith("_"):
            raise AttributeError(name)
        return lambda *args: self.calls.append((name, *args))

    def request_health_check(self, endpoint):
        self.requested_checks.add(endpoint)

    def set_timer(self, token, at_ms):
        self.timers.append(at_ms)

    def log_note(self, text):
        pass

    def watch_endpoints(self):
        pass

    def assign_table(self, proxy, table, classes):
        self.calls.append(("assign_table", proxy, table, list(classes)))

    def set_admission(self, table, classes, limit, retry_policy):
        self.calls.append(("set_admission", table, list(classes), limit, retry_policy))

    def deliver(self, due_ms, kind, row):
        """Adds an observation that arrives later."""
        self.delayed.append((due_ms, kind, row))

    def run(self, now_ms):
        arrived = [each for each in self.delayed if each[0] <= now_ms]
        self.delayed = [each for each in self.delayed if each[0] > now_ms]
        for _, kind, row in arrived:
            getattr(self.observations, kind).append(row)
        is_due = any(due_ms <= now_ms for due_ms in self.timers)
        if not (is_due or arrived or self.observations.proxy_streams):
            return
        self.timers = [due_ms for due_ms in self.timers if due_ms > now_ms]
        observations, self.observations = self.observations, Observations(now_ms)
        observations.now_ms, self.calls = now_ms, []
        self.planner.run_interval(observations, self)
        self.enqueue(now_ms)

    def enqueue(self, now_ms):
        """Puts the calls of one run into the channel; they take effect together."""
        lines, reached, serial = Counter(), set(), None
        newly = {call[1] for call in self.calls if call[0] == "assign_table"}
        for name, *args in self.calls:
            if name == "request_ack":
                serial = args[0]
            elif name in ("set_weight", "set_admission"):
                users = [proxy for proxy, table in self.assigned.items() if table == args[0] and proxy not in newly]
                lines.update(dict.fromkeys(users, len(args[1]) if name == "set_admission" else 1))
            elif name == "set_ejected":
                lines.update(dict.fromkeys(self.proxies.keys() - newly, 1))
            elif name == "assign_table":
                self.assigned[args[0]] = args[1]
                lines[args[0]] += 4 + len(self.planner.fleet.endpoints)
        reached = lines.keys()
        if not reached:
            self.apply(self.calls, [], None, now_ms)
            return
        total = sum(lines.values()) + len(reached) * (self.config.lines_per_message + 1)
        self.channel_free_ms = max(self.channel_free_ms, now_ms) + 1000.0 * total / self.config.channel_lines_per_s
        self.blocks.append((self.channel_free_ms + UPDATE_DELAY_MS, self.calls, list(reached), serial))

    def apply_due(self, now_ms):
        while self.blocks and self.blocks[0][0] <= now_ms:
            _, calls, reached, serial = self.blocks.popleft()
            self.apply(calls, reached, serial, now_ms)

    def apply(self, calls, reached, serial, now_ms):
        for name, *args in calls:
            if name == "set_weight":
                table = self.weights.setdefault(args[0], {})
                table[args[1]] = args[2]
                if not args[2]:
                    del table[args[1]]
            elif name == "set_ejected":
                (self.ejected.add if args[1] else self.ejected.discard)(args[0])
                for proxy in self.proxies.values():
                    (proxy.own_ejected.add if args[1] else proxy.own_ejected.discard)(args[0])
            elif name == "set_admission":
                self.limits.setdefault(args[0], {}).update(dict.fromkeys(args[1], args[2]))
            elif name == "assign_table" and args[0] in self.proxies:
                self.proxies[args[0]].table, self.proxies[args[0]].is_fresh = args[1], False
        if serial is not None:
            acks = [number for number in reached if number in self.proxies]
            self.delayed += [(now_ms + STEP_MS, "acks", serial)] * len(acks)


class WarmingFleet:
    """Endpoints, proxies and controllers, and the faults of a run."""

    def __init__(self, seed, proxies=150, endpoints=30, load=0.6, controllers=2, cold=None, admission="rate"):
        self.random, self.now_ms = Random(seed), 1e6
        self.config = fleet_config(proxies, admission)
        draw = self.random
        cold_from, cold_ms = cold or (draw.uniform(0.15, 0.5), draw.uniform(5700.0, 18000.0))
        capacity = 17.0
        self.endpoints = {
            f"s{index}": SimulatedEndpoint(ZONES[index % 4], capacity * draw.uniform(0.85, 1.15), cold_from, cold_ms)
            for index in range(endpoints)
        }
        sizes = [draw.lognormvariate(0.0, 0.7) for _ in range(proxies)]
        unit = load * capacity * endpoints / sum(sizes)
        self.proxies = []
        for number, size in enumerate(sizes):
            table = dict.fromkeys(draw.sample(sorted(self.endpoints), INITIAL_TABLE_SIZE), 1.0)
            rates = [share * size * unit for share in CLASS_SHARES]
            self.proxies.append(SimulatedProxy(number, ZONES[number // 2 % 4], rates, table, received=[0.0] * 3))
        self.controllers = [None] * controllers
        self.told = [{} for _ in range(controllers)]  # when each controller was told of each start
        self.events = []  # time, callable
        self.overloaded = []
        self.offered = self.admitted = self.served = 0.0  # requests a second, summed over the steps
        for index in range(controllers):
            self.start_controller(index)

    # Faults

    def at(self, seconds, action, *args):
        self.events.append((1e6 + 1000.0 * seconds, len(self.events), action, args))

    def start_controller(self, index):
        entries = [self.entry(name) for name in self.endpoints if self.endpoints[name].state != "terminated"]
        # As on the platform: the controller counts the age of a listed start from its own start.
        entries = [each._replace(started_ms=self.now_ms if each.started_ms else 0.0) for each in entries]
        self.controllers[index] = SimulatedController(self.config, self.random.getrandbits(32), self.now_ms, entries)

    def kill_controller(self, index):
        controller, self.controllers[index] = self.controllers[index], None
        for proxy in list(controller.proxies.values()):
            self.leave(proxy)

    def leave(self, proxy):
        controller = proxy.controller
        if proxy.table is not None:
            proxy.own_table = dict(controller.weights.get(proxy.table, {}))
            proxy.own_limits = dict(controller.limits.get(proxy.table, {}))
            proxy.own_ejected = set(controller.ejected)
        del controller.proxies[proxy.number]
        controller.assigned.pop(proxy.number, None)
        controller.observations.proxy_streams.append(ProxyStreamEvent(proxy.number, False))
        proxy.controller, proxy.table = None, None
        proxy.redial_ms = self.now_ms + self.random.uniform(1100.0, 2500.0)

    def rehome(self, index, seconds):
        """Proxies that prefer a controller come back to it one by one."""
        preferring = [proxy for proxy in self.proxies if proxy.number % len(self.controllers) == index]
        for proxy in preferring:
            self.at((self.now_ms - 1e6) / 1000.0 + self.random.uniform(0.0, seconds), self.rehome_one, proxy, index)

    def rehome_one(self, proxy, index):
        if self.controllers[index] is not None and proxy.controller is not self.controllers[index]:
            if proxy.controller is not None:
                self.leave(proxy)
            self.join(proxy, index)

    def take_down(self, names, seconds):
        """The endpoints answer nothing for a while, and are back cold."""
        for name in names:
            self.endpoints[name].down_until_ms = self.now_ms + 1000.0 * seconds
            self.endpoints[name].started_ms = self.now_ms + 1000.0 * seconds

    def list_as_started(self, names):
        for name in names:
            endpoint = self.endpoints[name]
            endpoint.state, endpoint.listed_start_ms = "in_service", endpoint.started_ms
        self.publish(names)

    def drain(self, names):
        for name in names:
            self.endpoints[name].state = "terminating"
        self.publish(names)

    def restart_in_place(self, names, drained_s, down_s, notice_s):
        """Drains endpoints, stops them, and lists them as started again."""
        self.drain(names)
        now_s = (self.now_ms - 1e6) / 1000.0
        self.at(now_s + drained_s, self.take_down, names, down_s)
        self.at(now_s + drained_s + down_s + notice_s, self.list_as_started, names)

    def release(self, at_s, names, group, every_s, drained_s=3.5, down_s=3.9, notice_s=0.4):
        """Restarts endpoints in groups, one group after another."""
        for first in range(0, len(names), group):
            chosen = names[first : first + group]
            self.at(at_s + every_s * first / group, self.restart_in_place, chosen, drained_s, down_s, notice_s)

    def crash(self, at_s, names, down_s=7.3, notice_s=1.0):
        self.at(at_s, self.take_down, names, down_s)
        self.at(at_s + down_s + notice_s, self.list_as_started, names)

    def restart_controller(self, at_s, index, down_s=1.2, rehome_s=13.0):
        self.at(at_s, self.kill_controller, index)
        self.at(at_s + down_s, self.start_controller, index)
        self.at(at_s + down_s + 1.0, self.rehome, index, rehome_s)

    def publish(self, names):
        for index, controller in enumerate(self.controllers):
            if controller is None:
                continue
            for name in names:
                self.told[index][name] = self.now_ms
            controller.deliver(
                self.now_ms, "endpoint_lists", EndpointListUpdate("partial", [self.entry(name) for name in names])
            )

    def entry(self, name):
        endpoint = self.endpoints[name]
        return EndpointEntry(name, endpoint.zone, endpoint.state, 1.0, endpoint.listed_start_ms)

    def join(self, proxy, index):
        controller = self.controllers[index]
        proxy.controller, proxy.table = controller, None
        controller.proxies[proxy.number] = proxy
        event = ProxyStreamEvent(proxy.number, True, proxy.zone, sum(proxy.rates_per_s), proxy.is_fresh)
        controller.observations.proxy_streams.append(event)

    # A step

    def run(self, seconds):
        end_ms = self.now_ms + 1000.0 * seconds
        while self.now_ms < end_ms:
            self.step()
        return self.overloaded

    def step(self):
        self.now_ms += STEP_MS
        due = sorted((each for each in self.events if each[0] <= self.now_ms), key=lambda each: each[:2])
        self.events = [each for each in self.events if each[0] > self.now_ms]
        for _, _, action, args in due:
            action(*args)
        self.dial()
        running = [controller for controller in self.controllers if controller]
        for controller in running:
            controller.apply_due(self.now_ms)
        self.send_requests()
        self.serve()
        if round(self.now_ms / STEP_MS) % round(REPORT_INTERVAL_MS / STEP_MS) == 0:
            self.report()
        for controller in running:
            controller.run(self.now_ms)
            for name in controller.requested_checks:
                endpoint = self.endpoints[name]
                is_up = self.now_ms >= endpoint.down_until_ms
                load = {"util": endpoint.utilization} if is_up else {}
                result = HealthCheckResult(name, is_up, 5.0, load)
                controller.deliver(self.now_ms + HEALTH_CHECK_DELAY_MS, "health_checks", result)
            controller.requested_checks = set()

    def dial(self):
        for proxy in self.proxies:
            if proxy.controller is None and self.now_ms >= proxy.redial_ms:
                own = proxy.number % len(self.controllers)
                order = [own, *(index for index in range(len(self.controllers)) if index != own)]
                index = next((index for index in order if self.controllers[index] is not None), None)
                if index is not None:
                    self.join(proxy, index)

    def send_requests(self):
        for endpoint in self.endpoints.values():
            endpoint.arrivals = 0.0
            endpoint.arrivals_by = Counter()
        shares = {}
        for proxy in self.proxies:
            controller, admitted = proxy.controller, 0.0
            has_table = controller is not None and proxy.table is not None
            limits = controller.limits.get(proxy.table, {}) if has_table else proxy.own_limits
            for index, rate in enumerate(proxy.rates_per_s):
                proxy.received[index] += rate * STEP_MS / 1000.0
                self.offered += rate
                limit = limits.get(index, 1e6)
                admitted += min(rate, limit) if self.config.admission == "rate" else rate * min(1.0, limit)
            self.admitted += admitted
            if has_table:
                key = (id(controller), proxy.table)
                if key not in shares:
                    shares[key] = self.shares(controller.weights.get(proxy.table, {}), controller.ejected)
                table = shares[key]
            else:
                table = self.shares(proxy.own_table, proxy.own_ejected)
            for name, share in table.items():
                requests = admitted * share * STEP_MS / 1000.0
                self.endpoints[name].arrivals += requests
                self.endpoints[name].arrivals_by[id(controller)] += requests

    def shares(self, weights, ejected):
        usable = {name: weight for name, weight in weights.items() if name not in ejected}
        near = {name: w for name, w in usable.items() if self.endpoints[name].avoided_until_ms < self.now_ms} or usable
        total = sum(near.values())
        return {name: weight / total for name, weight in near.items()} if total else {}

    def serve(self):
        for name, endpoint in self.endpoints.items():
            failed_share = endpoint.serve(self.now_ms)
            self.served += endpoint.arrivals * (1.0 - failed_share) * 1000.0 / STEP_MS
            for by, requests in endpoint.arrivals_by.items():
                endpoint.attempts[by] += requests
                endpoint.failures[by] += requests * failed_share
            is_warming = self.now_ms >= endpoint.down_until_ms and endpoint.fraction(self.now_ms) < 1.0
            multiple = endpoint.multiple()
            if not is_warming or not all(self.is_told(index, name) for index in range(len(self.controllers))):
                continue
            endpoint.worst_multiple = max(endpoint.worst_multiple, multiple)
            if multiple > OVERLOAD_MULTIPLE * CHANCE_SLACK:
                now_s, age_s = (self.now_ms - 1e6) / 1000.0, (self.now_ms - endpoint.started_ms) / 1000.0
                if not any(name == each[1] for each in self.overloaded):
                    self.overloaded.append((round(now_s, 1), name, round(age_s, 1), round(multiple, 2)))

    def is_told(self, index, name):
        """Whether a controller counts as knowing an endpoint's present start."""
        return self.told[index].get(name, LONG_AGO_MS) >= self.endpoints[name].started_ms

    def report(self):
        for controller in self.controllers:
            if controller is None:
                continue
            due_ms = self.now_ms + STATS_DELAY_MS
            for name, endpoint in self.endpoints.items():
                attempts, failures = endpoint.attempts[id(controller)], endpoint.failures[id(controller)]
                if attempts >= 0.5:
                    row = UpstreamStats(name, round(attempts), round(failures), RESPONSE_MS, REPORT_INTERVAL_MS, {})
                    controller.deliver(due_ms, "upstream_stats", row)
            for proxy in controller.proxies.values():
                for index, count in enumerate(proxy.received):
                    row = DownstreamStats(index, proxy.number, count, 0.0, REPORT_INTERVAL_MS)
                    controller.deliver(due_ms, "downstream_stats", row)
        for proxy in self.proxies:
            proxy.received = [0.0] * len(proxy.received)
        for endpoint in self.endpoints.values():
            endpoint.attempts.clear()
            endpoint.failures.clear()
