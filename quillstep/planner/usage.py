"""Since when each endpoint has been in use: its load reports reflect that only after some control intervals."""

from quillstep.planner.messages import EndpointId
from quillstep.planner.state import CONTROL_INTERVAL_MS, SETTLING_INTERVALS, EndpointState

SETTLING_MS = SETTLING_INTERVALS * CONTROL_INTERVAL_MS

EndpointRun = tuple[EndpointId, float]  # an endpoint and its start; a restarted endpoint carries no requests at first


class EndpointUsage:
    """Records which endpoints are in use, and since when.

    A planner that starts cannot tell whether the proxies' earlier tables listed an endpoint.
    """

    def __init__(self) -> None:
        self._since_ms: dict[EndpointRun, float] = {}

    def update(self, in_use: dict[EndpointId, EndpointState], now_ms: float) -> None:
        """Records the endpoints in use."""
        runs = ((id_, endpoint.started_ms) for id_, endpoint in in_use.items())
        self._since_ms = {run: self._since_ms.get(run, now_ms) for run in runs}

    def is_settled(self, id_: EndpointId, endpoint: EndpointState, now_ms: float) -> bool:
        """Whether an endpoint has been in use for so long that its load reports reflect it."""
        since_ms = self._since_ms.get((id_, endpoint.started_ms), now_ms)
        return now_ms - since_ms >= SETTLING_MS
