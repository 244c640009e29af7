"""One pilot under test: a planner, a clock, and a writer that keeps its orders as tuples."""

from quillstep.planner.assignment import FIRST_SUBSET_TABLE
from quillstep.planner.messages import (
    ClassConfig,
    DownstreamStats,
    EndpointEntry,
    EndpointListUpdate,
    HealthCheckResult,
    Observations,
    PlannerConfig,
    ProxyStreamEvent,
    UpstreamStats,
)
from quillstep.planner.planner import INTERVAL_TIMER, Planner

TYPES = {
    "endpoint_lists": EndpointListUpdate,
    "proxy_streams": ProxyStreamEvent,
    "upstream_stats": UpstreamStats,
    "downstream_stats": DownstreamStats,
    "health_checks": HealthCheckResult,
}


def class_facts(semantics="safe", priority_weight=1.0, **other):
    row = {
        "latency_objective_ms": 1000.0,
        "idempotency_scope": "all",
        "idempotency_window_ms": 5000.0,
        "home_zone_only": False,
        **other,
    }
    return ClassConfig(semantics=semantics, priority_weight=priority_weight, **row)


def facts(**other):
    base = {
        "classes": [class_facts(), class_facts("unsafe", 3.0)], "health_checks_allowed": True, "admission": "share",
        "channel_lines_per_s": 3000.0, "lines_per_message": 6.0, "max_queued_lines": 5000.0, "initial_capacity": 0.2,
        "warm_up_ms": 18000.0, "overload_multiple": 3.0, "local_ejection_failures": 5, "attempt_timeout_factor": 0.8,
        "max_update_delay_ms": 800.0, "initial_table_size": 5, "drain_grace_ms": 3000.0, "zones": ["a", "b"],
    }  # fmt: skip
    return PlannerConfig(**{**base, **other})


def entry(endpoint, zone="a", state="in_service", weight=1.0, started=0.0):
    return EndpointEntry(endpoint, zone, state, weight, started)


def typed(name, rows):
    """Plain tuples as the planner's messages of this kind."""
    return [TYPES[name](*row) for row in rows] if name in TYPES else rows


class PlannerHarness:
    """Writes what the planner orders to `orders`, anew each round; `first` keeps those of the start."""

    def __init__(self, start_facts, entries, proxies=2):
        self.facts = start_facts
        self.planner = Planner(start_facts, 7)
        self.now = 1000.0
        self.orders = []
        self.ordered_levels = {}
        streams = [(at, True, "ab"[at % 2], 10.0, True) for at in range(proxies)]
        self.first = self.round(endpoint_lists=[("persisted", entries)], proxy_streams=streams)

    def __getattr__(self, name):
        return lambda *args: self.orders.append((name, *args))

    def assign_table(self, proxy, table, classes):
        self.orders.append(("assign_table", proxy, table, list(classes)))

    def set_admission(self, table, classes, allowed, tries):
        self.ordered_levels.update({place: (allowed, tries) for place in classes})

    def round(self, after=0.0, **incoming):
        self.now += after
        self.orders = []
        observed = {
            name: [TYPES[name](*row) if name in TYPES else row for row in rows] for name, rows in incoming.items()
        }
        self.planner.run_interval(Observations(self.now, **observed), self)
        return self.orders

    def turn(self, **incoming):
        return self.round(after=1001.0, **incoming)

    def settle(self, util=0.5, tries=10, failed=0, turns=12):
        """Turns of even traffic, the same load at every endpoint."""
        sums = [(e, tries, failed, 200.0, 1000.0, {"util": util}) for e in self.planner.fleet.endpoints]
        arrivals = [(place, p, tries // 2, 0, 1000.0) for place in (0, 1) for p in self.planner.fleet.proxies]
        for _ in range(turns):
            self.turn(upstream_stats=sums, downstream_stats=arrivals)

    def record(self, endpoint):
        return self.planner.fleet.endpoints[endpoint]

    def slots(self, table=0):
        used = {e: r for e, r in self.planner.fleet.endpoints.items() if not r.is_ejected}
        return {e: r.published_slots[table] for e, r in used.items() if r.published_slots.get(table)}

    def levels(self):
        return [self.ordered_levels[place] for place in sorted(self.ordered_levels)]

    def wakes(self):
        return sum(order[0] == "set_timer" and order[1] == INTERVAL_TIMER for order in self.orders)


class ChannelModel:
    """A pilot's channel, counted line by line; each message that leaves is answered with its receipt."""

    def __init__(self, pilot, pace):
        self.pilot, self.pace, self.queue, self.most, self.held = pilot, pace, [], 0.0, {}
        self.users = {}  # by proxy, the table of each class
        self.reached = {}  # by proxy, when its first table of ours left the channel
        self.take(pilot.first)

    def round(self, after, **incoming):
        room, receipts = self.pilot.facts.channel_lines_per_s * self.pace * after / 1000.0, []
        while self.queue and room >= self.queue[0][0]:
            room -= self.queue[0][0]
            _, serial, number = self.queue.pop(0)
            receipts.append(serial)
            if number is not None:
                self.reached.setdefault(number, self.pilot.now)
        if self.queue:
            self.queue[0][0] -= room
        self.take(self.pilot.round(after, acks=receipts, **incoming))
        return self.pilot.orders

    def take(self, orders):
        joins = {}
        for order in orders:
            if order[0] == "set_weight":
                held = self.held.setdefault(order[1], set())
                (held.add if order[3] else held.discard)(order[2])
            if order[0] == "assign_table":
                held = sum(1 + self.pilot.record(endpoint).is_ejected for endpoint in self.held[order[2]])
                joins[order[1]] = joins.get(order[1], 0) + 1 + len(order[3]) + held
                self.users.setdefault(order[1], {}).update(dict.fromkeys(order[3], order[2]))
        toggles = [order[1] for order in orders if order[0] == "set_ejected"]
        changes = sum(order[0] in ("set_weight", "set_admission") and order[1] < FIRST_SUBSET_TABLE for order in orders)
        for number, proxy in self.pilot.planner.fleet.proxies.items():
            # A withdrawal is a line at each proxy that holds a table with that endpoint; one without a table of ours
            # may hold it, and one that is bound in this round is told with its table.
            holds = {endpoint for table in self.users.get(number, {}).values() for endpoint in self.held[table]}
            told = [endpoint for endpoint in toggles if number not in self.users or endpoint in holds]
            cost = joins[number] if number in joins else (changes if proxy.has_calendar else 0) + len(told)
            if cost:
                lines = cost + 1 + self.pilot.facts.lines_per_message
                self.queue.append([lines, orders[-1][1], number if number in joins else None])
        self.most = max(self.most, sum(cost for cost, *_ in self.queue))
