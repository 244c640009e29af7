"""One pilot under test: a planner, a clock, and a writer that keeps its orders as tuples."""

from quillstep.planner import planner as rules
from quillstep.planner.messages import ClassFacts, Incoming, StartFacts


def class_facts(semantics="safe", credit=1.0, **other):
    row = {"agreed_ms": 1000.0, "scope": "all", "window_ms": 5000.0, "home_only": False, **other}
    return ClassFacts(semantics=semantics, credit=credit, **row)


def facts(**other):
    base = {
        "classes": [class_facts(), class_facts("unsafe", 3.0)], "may_probe": True, "admission": "share",
        "channel_rate": 3000.0, "lines_per_message": 6.0, "lines_waiting_most": 5000.0, "start_capacity": 0.2,
        "warm_after_ms": 18000.0, "fall_multiple": 3.0, "ejects": 5, "try_factor": 0.8,
        "order_late_most_ms": 800.0, "standing": 5, "drain_grace_ms": 3000.0, "zones": ["a", "b"],
    }  # fmt: skip
    return StartFacts(**{**base, **other})


def entry(endpoint, zone="a", state="in_service", weight=1.0, started=0.0):
    return (endpoint, zone, state, weight, started)


class Pilot:
    """Writes what the planner orders to `orders`, anew each round; `first` keeps those of the start."""

    rules = rules

    def __init__(self, start_facts, entries, proxies=2):
        self.facts = start_facts
        self.planner = rules.Planner(start_facts, 7)
        self.now = 1000.0
        self.orders = []
        self.ordered_levels = {}
        streams = [(at, True, "ab"[at % 2], 10.0, True) for at in range(proxies)]
        self.first = self.round(lists=[("persisted", entries)], streams=streams)

    def __getattr__(self, name):
        return lambda *args: self.orders.append((name, *args))

    def bind(self, proxy, table, classes):
        self.orders.append(("bind", proxy, table, list(classes)))

    def level(self, table, classes, allowed, tries):
        self.ordered_levels.update({place: (allowed, tries) for place in classes})

    def round(self, after=0.0, **incoming):
        self.now += after
        self.orders = []
        self.planner.round(Incoming(self.now, **incoming), self)
        return self.orders

    def turn(self, **incoming):
        return self.round(after=1001.0, **incoming)

    def settle(self, util=0.5, tries=10, failed=0, turns=12):
        """Turns of even traffic, the same load at every endpoint."""
        sums = [(e, tries, failed, 200.0, 1000.0, {"util": util}) for e in self.planner.endpoints]
        arrivals = [(place, p, tries // 2, 0, 1000.0) for place in (0, 1) for p in self.planner.proxies]
        for _ in range(turns):
            self.turn(sums=sums, arrivals=arrivals)

    def record(self, endpoint):
        return self.planner.endpoints[endpoint]

    def slots(self, table=0):
        used = {e: r for e, r in self.planner.endpoints.items() if not r.withdrawn}
        return {e: r.sent[table] for e, r in used.items() if r.sent.get(table)}

    def levels(self):
        return [self.ordered_levels[place] for place in sorted(self.ordered_levels)]

    def wakes(self):
        return sum(order[0] == "wake" and order[1] == rules.TURN for order in self.orders)


class Channel:
    """A pilot's channel, counted line by line; each message that leaves is answered with its receipt."""

    def __init__(self, pilot, pace):
        self.pilot, self.pace, self.queue, self.most, self.held = pilot, pace, [], 0.0, {}
        self.users = {}  # by proxy, the table of each class
        self.reached = {}  # by proxy, when its first table of ours left the channel
        self.take(pilot.first)

    def round(self, after, **incoming):
        room, receipts = self.pilot.facts.channel_rate * self.pace * after / 1000.0, []
        while self.queue and room >= self.queue[0][0]:
            room -= self.queue[0][0]
            _, serial, number = self.queue.pop(0)
            receipts.append(serial)
            if number is not None:
                self.reached.setdefault(number, self.pilot.now)
        if self.queue:
            self.queue[0][0] -= room
        self.take(self.pilot.round(after, receipts=receipts, **incoming))
        return self.pilot.orders

    def take(self, orders):
        joins = {}
        for order in orders:
            if order[0] == "line":
                held = self.held.setdefault(order[1], set())
                (held.add if order[3] else held.discard)(order[2])
            if order[0] == "bind":
                held = sum(1 + self.pilot.record(endpoint).withdrawn for endpoint in self.held[order[2]])
                joins[order[1]] = joins.get(order[1], 0) + 1 + len(order[3]) + held
                self.users.setdefault(order[1], {}).update(dict.fromkeys(order[3], order[2]))
        toggles = [order[1] for order in orders if order[0] == "withdraw"]
        pieces = self.pilot.rules.PIECES
        changes = sum(order[0] in ("line", "level") and order[1] < pieces for order in orders)
        for number, proxy in self.pilot.planner.proxies.items():
            # A withdrawal is a line at each proxy that holds a table with that endpoint; one without a table of ours
            # may hold it, and one that is bound in this round is told with its table.
            holds = {endpoint for table in self.users.get(number, {}).values() for endpoint in self.held[table]}
            told = [endpoint for endpoint in toggles if number not in self.users or endpoint in holds]
            cost = joins[number] if number in joins else (changes if proxy.bound else 0) + len(told)
            if cost:
                lines = cost + 1 + self.pilot.facts.lines_per_message
                self.queue.append([lines, orders[-1][1], number if number in joins else None])
        self.most = max(self.most, sum(cost for cost, *_ in self.queue))
