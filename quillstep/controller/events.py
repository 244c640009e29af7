"""Events that the controller package itself sends to the deciding thread.

Other packages define their own events; `quillstep.controller.decision_loop.ControllerEvent` lists all of them.
"""

from typing import NamedTuple

from quillstep.planner.messages import EndpointEntry


class EndpointListReceived(NamedTuple):
    """An endpoint list from discovery, of kind `complete`, `partial` or `error`, and the addresses of its endpoints."""

    kind: str
    entries: list[EndpointEntry]
    addresses: dict[int, tuple[str, int]]


class StopRequested(NamedTuple):
    """Asks the deciding thread to stop."""
