"""Since when each endpoint has been in use: its load reports reflect that only after some control intervals."""

from quillstep.planner.messages import EndpointId
from quillstep.planner.state import CONTROL_INTERVAL_MS, SETTLING_INTERVALS, EndpointState

ALWAYS_MS = float("-inf")
SETTLING_MS = SETTLING_INTERVALS * CONTROL_INTERVAL_MS

EndpointRun = tuple[EndpointId, float]  # an endpoint and its start; a restarted endpoint carries no requests at first


class EndpointUsage:
    """Records which endpoints are in use, and since when.

    The endpoints in use at the first update count as always in use: the proxies used them before the planner started.
    """

    def __init__(self) -> None:
        self._since_ms: dict[EndpointRun, float] | None = None

    def update(self, in_use: dict[EndpointId, EndpointState], now_ms: float) -> None:
        """Records the endpoints in use."""
        added_ms = ALWAYS_MS if self._since_ms is None else now_ms
        before = self._since_ms or {}
        runs = ((id_, endpoint.started_ms) for id_, endpoint in in_use.items())
        self._since_ms = {run: before.get(run, added_ms) for run in runs}

    def is_settled(self, id_: EndpointId, endpoint: EndpointState, now_ms: float) -> bool:
        """Whether an endpoint has been in use for so long that its load reports reflect it."""
        since_ms = (self._since_ms or {}).get((id_, endpoint.started_ms), now_ms)
        return now_ms - since_ms >= SETTLING_MS
