"""Baselines to compare with: every listed, ready endpoint in one table, evenly or by listed weight."""

from quillstep.planner.messages import Observations, PlannerConfig, PlannerOutput

TABLE = 0


class EvenPlanner:
    """Follows the list and nothing else; called as the module is."""

    weigh = False

    def __init__(self, facts: PlannerConfig, seed: int) -> None:
        self.classes = len(facts.classes)
        self.ready: dict[int, float] = {}
        self.out: set[int] = set()
        self.unbound: list[int] = []

    def run_interval(self, incoming: Observations, orders: PlannerOutput) -> None:
        for update in incoming.endpoint_lists:
            listed = {entry.endpoint: (entry.state, entry.weight) for entry in update.entries}
            if update.kind == "complete":
                listed = {**dict.fromkeys(self.ready, ("terminated", 0.0)), **listed}
            for endpoint, (state, weight) in listed.items():
                self.follow(endpoint, state == "in_service", weight, orders)
        for stream in incoming.proxy_streams:
            if stream.is_open:
                self.unbound.append(stream.proxy)
        if self.ready:
            for proxy in self.unbound:
                orders.assign_table(proxy, TABLE, range(self.classes))
            self.unbound = []

    def follow(self, endpoint: int, ready: bool, listed: float, orders: PlannerOutput) -> None:
        weight = 10.0 * (listed or 1.0) if self.weigh else 10.0
        if ready and self.ready.get(endpoint) != weight:
            self.ready[endpoint] = weight
            orders.set_weight(TABLE, endpoint, weight)
        if ready and endpoint in self.out:
            self.out.discard(endpoint)
            orders.set_ejected(endpoint, False)
        if not ready and endpoint not in self.out:
            self.out.add(endpoint)
            self.ready.pop(endpoint, None)
            orders.set_weight(TABLE, endpoint, 0.0)
            orders.set_ejected(endpoint, True)


class ListedPlanner(EvenPlanner):
    """By listed weight."""

    weigh = True
