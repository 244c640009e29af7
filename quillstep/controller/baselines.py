"""Baselines to compare with: every listed, ready endpoint in one table, evenly or by listed weight."""

from quillstep.planner.messages import Incoming, Orders, StartFacts

TABLE = 0


class EvenPlanner:
    """Follows the list and nothing else; called as the module is."""

    weigh = False

    def __init__(self, facts: StartFacts, seed: int) -> None:
        self.classes = len(facts.classes)
        self.ready: dict[int, float] = {}
        self.out: set[int] = set()
        self.unbound: list[int] = []

    def round(self, incoming: Incoming, orders: Orders) -> None:
        for kind, entries in incoming.lists:
            listed = {entry[0]: (entry[2], entry[3]) for entry in entries}
            if kind == "complete":
                listed = {**dict.fromkeys(self.ready, ("terminated", 0.0)), **listed}
            for endpoint, (state, weight) in listed.items():
                self.follow(endpoint, state == "in_service", weight, orders)
        for stream in incoming.streams:
            if stream[1]:
                self.unbound.append(stream[0])
        if self.ready:
            for proxy in self.unbound:
                orders.bind(proxy, TABLE, range(self.classes))
            self.unbound = []

    def follow(self, endpoint: int, ready: bool, listed: float, orders: Orders) -> None:
        weight = 10.0 * (listed or 1.0) if self.weigh else 10.0
        if ready and self.ready.get(endpoint) != weight:
            self.ready[endpoint] = weight
            orders.line(TABLE, endpoint, weight)
        if ready and endpoint in self.out:
            self.out.discard(endpoint)
            orders.withdraw(endpoint, False)
        if not ready and endpoint not in self.out:
            self.out.add(endpoint)
            self.ready.pop(endpoint, None)
            orders.line(TABLE, endpoint, 0.0)
            orders.withdraw(endpoint, True)


class ListedPlanner(EvenPlanner):
    """By listed weight."""

    weigh = True
