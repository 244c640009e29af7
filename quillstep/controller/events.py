"""Events of the controller's own parts for the deciding thread.

Events of other packages stand beside their producers; `quillstep.controller.decision_loop` names them all.
"""

from typing import NamedTuple

from quillstep.planner.messages import EndpointEntry


class EndpointListReceived(NamedTuple):
    """An answer of endpoint discovery: `complete`, `partial` or `error`, with the addresses of what it lists."""

    kind: str
    entries: list[EndpointEntry]
    addresses: dict[int, tuple[str, int]]


class StopRequested(NamedTuple):
    """The deciding thread is to end."""
