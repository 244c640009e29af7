"""A planner under test, with a clock and an output that records the planner's calls as tuples."""

from collections import Counter

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

SEED = 7
JUST_OVER_AN_INTERVAL_MS = 1001.0
OBSERVATION_TYPES = {
    "endpoint_lists": EndpointListUpdate,
    "proxy_streams": ProxyStreamEvent,
    "upstream_stats": UpstreamStats,
    "downstream_stats": DownstreamStats,
    "health_checks": HealthCheckResult,
}


def class_config(semantics="safe", priority_weight=1.0, **overrides):
    row = {
        "latency_objective_ms": 1000.0,
        "idempotency_scope": "all",
        "idempotency_window_ms": 5000.0,
        "home_zone_only": False,
        **overrides,
    }
    return ClassConfig(semantics=semantics, priority_weight=priority_weight, **row)


def planner_config(**overrides):
    defaults = {
        "classes": [class_config(), class_config("unsafe", 3.0)], "health_checks_allowed": True, "admission": "share",
        "channel_lines_per_s": 3000.0, "lines_per_message": 6.0, "max_queued_lines": 5000.0, "initial_capacity": 0.2,
        "warm_up_ms": 18000.0, "overload_multiple": 3.0, "local_ejection_failures": 5, "attempt_timeout_factor": 0.8,
        "max_update_delay_ms": 800.0, "initial_table_size": 5, "drain_grace_ms": 3000.0, "zones": ["a", "b"],
    }  # fmt: skip
    return PlannerConfig(**{**defaults, **overrides})


def entry(endpoint, zone="a", state="in_service", weight=1.0, started=0.0):
    return EndpointEntry(endpoint, zone, state, weight, started)


def typed(kind, rows):
    """Converts tuples to the planner's messages of a kind; acks are plain integers."""
    return [OBSERVATION_TYPES[kind](*row) if kind in OBSERVATION_TYPES else row for row in rows]


class PlannerHarness:
    """Runs a planner; `written` holds the calls of the last run, `written_at_start` those of the first."""

    def __init__(self, config, entries, proxies=2):
        self.config = config
        self.planner = Planner(config, SEED)
        self.fleet, self.capacity, self.admission = self.planner.fleet, self.planner.capacity, self.planner.admission
        self.budget = self.planner.budget
        self.now_ms = 1000.0
        self.written = []
        self.written_admission = {}  # limit and retry policy by class index
        streams = [(number, True, "ab"[number % 2], 10.0, True) for number in range(proxies)]
        self.written_at_start = self.observe(endpoint_lists=[("persisted", entries)], proxy_streams=streams)

    def __getattr__(self, name):
        return lambda *args: self.written.append((name, *args))

    def assign_table(self, proxy, table, classes):
        self.written.append(("assign_table", proxy, table, list(classes)))

    def set_admission(self, table, classes, limit, retry_policy):
        self.written.append(("set_admission", table, list(classes), limit, retry_policy))
        self.written_admission.update({index: (limit, retry_policy) for index in classes})

    def observe(self, after=0.0, **observations):
        """Passes observations to the planner, `after` milliseconds after the previous ones."""
        self.now_ms += after
        self.written = []
        observed = {kind: typed(kind, rows) for kind, rows in observations.items()}
        self.planner.run_interval(Observations(self.now_ms, **observed), self)
        return self.written

    def run_interval(self, **observations):
        """Passes observations to the planner when the next control interval is due."""
        return self.observe(after=JUST_OVER_AN_INTERVAL_MS, **observations)

    def settle(self, util=0.5, attempts=10, failures=0, intervals=12):
        """Runs control intervals with uniform traffic and the same load at every endpoint."""
        fleet = self.fleet
        upstream = [(e, attempts, failures, 200.0, 1000.0, {"util": util}) for e in fleet.endpoints]
        downstream = [(index, p, attempts // 2, 0, 1000.0) for index in (0, 1) for p in fleet.proxies]
        for _ in range(intervals):
            self.run_interval(upstream_stats=upstream, downstream_stats=downstream)

    def endpoint(self, endpoint):
        return self.fleet.endpoints[endpoint]

    def slots(self, table=0):
        """Returns the published slots of a table, without ejected endpoints."""
        usable = {e: state for e, state in self.fleet.endpoints.items() if not state.is_ejected}
        return {e: state.published_slots[table] for e, state in usable.items() if state.published_slots.get(table)}

    def limits(self):
        """Returns the published limit and retry policy of each class."""
        return [self.written_admission[index] for index in sorted(self.written_admission)]

    def interval_timers(self):
        return sum(call[0] == "set_timer" and call[1] == INTERVAL_TIMER for call in self.written)


class ChannelModel:
    """Simulates a planner's channel line by line; each message that is sent is acknowledged after a delay.

    `rate_factor` is the sending rate divided by the configured channel rate.  A proxy that leaves takes its messages
    and acks with it.
    """

    def __init__(self, harness, rate_factor, ack_delay_ms=0.0):
        self.harness, self.rate_factor, self.ack_delay_ms = harness, rate_factor, ack_delay_ms
        self.queue, self.max_queued_lines = [], 0.0  # messages: remaining lines, serial, proxy, is assignment
        self.acks = []  # (due time, serial, proxy)
        self.table_endpoints = {}  # endpoints by table
        self.proxy_tables = {}  # table by class, by proxy
        self.first_sent_ms = {}  # time when the first assigned table was sent, by proxy
        self.message_times = {}  # times at which messages were written, by proxy
        self.enqueue(harness.written_at_start)

    def observe(self, after, **observations):
        now_ms = self.harness.now_ms + after
        self._send(after, now_ms)
        for stream in observations.get("proxy_streams", ()):
            self._reset_stream(stream[0])
        acks = [serial for due_ms, serial, _ in self.acks if due_ms <= now_ms]
        self.acks = [ack for ack in self.acks if ack[0] > now_ms]
        self.enqueue(self.harness.observe(after, acks=acks, **observations))
        return self.harness.written

    def _send(self, after, now_ms):
        capacity = self.harness.config.channel_lines_per_s * self.rate_factor * after / 1000.0
        while self.queue and capacity >= self.queue[0][0]:
            lines, serial, proxy, is_assignment = self.queue.pop(0)
            capacity -= lines
            self.acks.append((now_ms + self.ack_delay_ms, serial, proxy))
            if is_assignment:
                self.first_sent_ms.setdefault(proxy, self.harness.now_ms)
        if self.queue:
            self.queue[0][0] -= capacity

    def _reset_stream(self, proxy):
        self.proxy_tables.pop(proxy, None)
        self.message_times.pop(proxy, None)
        self.acks = [ack for ack in self.acks if ack[2] != proxy]
        self.queue = [message for message in self.queue if message[2] != proxy]

    def enqueue(self, written):
        """Queues the messages of one run of the planner."""
        lines = Counter()
        assigned = {call[1] for call in written if call[0] == "assign_table"}
        for call in written:
            if call[0] == "set_weight":
                endpoints = self.table_endpoints.setdefault(call[1], set())
                (endpoints.add if call[3] else endpoints.discard)(call[2])
            if call[0] in ("set_weight", "set_admission"):
                users = (proxy for proxy, tables in self.proxy_tables.items() if call[1] in tables.values())
                cost = len(call[2]) if call[0] == "set_admission" else 1
                lines.update({proxy: cost for proxy in users if proxy not in assigned})
            if call[0] == "assign_table":
                endpoints = self.table_endpoints.setdefault(call[2], set())
                ejected = self.harness.fleet.ejected_endpoints()
                lines[call[1]] += 1 + len(call[3]) + len(endpoints) + len(ejected & endpoints)
                self.proxy_tables.setdefault(call[1], {}).update(dict.fromkeys(call[3], call[2]))
        self._count_ejections([call[1] for call in written if call[0] == "set_ejected"], assigned, lines)
        for proxy, cost in lines.items():
            total = cost + 1 + self.harness.config.lines_per_message
            self.queue.append([total, written[-1][1], proxy, proxy in assigned])
            self.message_times.setdefault(proxy, []).append(self.harness.now_ms)
        self.max_queued_lines = max(self.max_queued_lines, sum(cost for cost, *_ in self.queue))

    def _count_ejections(self, ejections, assigned, lines):
        """Counts a line of each ejection for each proxy whose table lists the endpoint, and for each without a table.

        A table that is assigned in the same run includes its ejections.
        """
        for proxy in self.harness.fleet.proxies if ejections else ():
            if proxy in assigned:
                continue
            tables = set(self.proxy_tables.get(proxy, {}).values())
            held = set().union(*(self.table_endpoints[table] for table in tables))
            sent = sum(proxy not in self.proxy_tables or endpoint in held for endpoint in ejections)
            if sent:
                lines[proxy] += sent
