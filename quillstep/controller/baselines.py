"""Baseline planners: one table with all endpoints in service, weighted evenly or by their listed weights."""

from quillstep.planner.messages import EndpointId, Observations, PlannerConfig, PlannerOutput

TABLE = 0
BASE_WEIGHT = 10.0  # table weight of an endpoint, or for each unit of its listed weight


class EvenPlanner:
    """A planner with the interface of `Planner` that uses the endpoint list alone and weights all endpoints equally."""

    uses_listed_weight = False

    def __init__(self, config: PlannerConfig, seed: int) -> None:
        self._class_count = len(config.classes)
        self._weights: dict[EndpointId, float] = {}  # weights of the endpoints in service
        self._ejected: set[EndpointId] = set()
        self._waiting_proxies: list[int] = []

    def run_interval(self, observations: Observations, output: PlannerOutput) -> None:
        """Applies endpoint lists and new proxies, and writes the resulting changes to `output`."""
        for update in observations.endpoint_lists:
            listed = {entry.endpoint: (entry.state, entry.weight) for entry in update.entries}
            if update.kind == "complete":
                listed = {**dict.fromkeys(self._weights, ("terminated", 0.0)), **listed}
            for endpoint, (state, weight) in listed.items():
                self._update_endpoint(endpoint, state == "in_service", weight, output)
        for event in observations.proxy_streams:
            if event.is_open:
                self._waiting_proxies.append(event.proxy)
        if self._weights:
            for proxy in self._waiting_proxies:
                output.assign_table(proxy, TABLE, range(self._class_count))
            self._waiting_proxies = []

    def _update_endpoint(
        self, endpoint: EndpointId, is_in_service: bool, listed_weight: float, output: PlannerOutput
    ) -> None:
        weight = BASE_WEIGHT * (listed_weight or 1.0) if self.uses_listed_weight else BASE_WEIGHT
        if is_in_service and self._weights.get(endpoint) != weight:
            self._weights[endpoint] = weight
            output.set_weight(TABLE, endpoint, weight)
        if is_in_service and endpoint in self._ejected:
            self._ejected.discard(endpoint)
            output.set_ejected(endpoint, False)
        if not is_in_service and endpoint not in self._ejected:
            self._ejected.add(endpoint)
            self._weights.pop(endpoint, None)
            output.set_weight(TABLE, endpoint, 0.0)
            output.set_ejected(endpoint, True)


class ListedWeightPlanner(EvenPlanner):
    """Weights endpoints in proportion to their listed weights."""

    uses_listed_weight = True
