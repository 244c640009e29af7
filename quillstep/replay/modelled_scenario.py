"""State shared by the parts of a what-if replay: the clock, the endpoints, and the requests with their outcomes."""

import random
from typing import Any, NamedTuple

from quillstep.config.fleet import ClassSettings, FleetSettings
from quillstep.replay.endpoint_model import ModelledEndpoint
from quillstep.replay.virtual_clock import VirtualClock

Row = dict[str, Any]  # A request as proxies record it.


class ServedRequest(NamedTuple):
    """An attempt that an endpoint executed."""

    endpoint: int
    at_ms: float
    request_class: ClassSettings
    proxy: str
    request: str


class ModelledScenario:
    """The shared state of one replay.

    Attributes:
        class_indices: Indices of the fleet's classes by name.
        endpoints: Endpoints by number; `endpoints_by_address` holds the same ones by `host:port`.
        requests: All requests, each as proxies record it.
        served_requests: All attempts that endpoints executed.
    """

    def __init__(self, fleet: FleetSettings, begin_ms: float) -> None:
        self.fleet = fleet
        self.clock = VirtualClock(begin_ms)
        self.class_indices = {class_.name: index for index, class_ in enumerate(fleet.classes)}
        self.endpoints: dict[int, ModelledEndpoint] = {}
        self.endpoints_by_address: dict[str, ModelledEndpoint] = {}
        self.requests: list[Row] = []
        self.served_requests: list[ServedRequest] = []
        self._first_executed_ms: dict[tuple[str, str], float] = {}  # Times by class and request, for keyed classes.

    def add_endpoint(self, endpoint: ModelledEndpoint) -> None:
        """Adds an endpoint."""
        self.endpoints[endpoint.number] = endpoint
        self.endpoints_by_address[endpoint.address] = endpoint

    def is_duplicate(self, request_class: ClassSettings, request: str, now_ms: float) -> bool:
        """Returns whether endpoints drop this attempt as a duplicate; otherwise records it as executed.

        Assumes that all endpoints share their record of executions, whatever the idempotency scope.
        """
        if request_class.semantics != "keyed":
            return False
        executed_ms = self._first_executed_ms.get((request_class.name, request))
        if executed_ms is not None and now_ms - executed_ms <= request_class.idempotency_window_ms:
            return True
        self._first_executed_ms[request_class.name, request] = now_ms
        return False


def seeded(*parts: object) -> random.Random:
    """Returns a random generator whose seed is the combination of parts."""
    return random.Random(" ".join(str(part) for part in parts))
