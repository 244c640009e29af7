"""Which changes of endpoints fit the channel, after the lines that are already written in the same pass."""

from enum import Enum, auto

from quillstep.planner.audience import Audience
from quillstep.planner.endpoint_changes import EndpointChange
from quillstep.planner.overdue_updates import UpdateKind
from quillstep.planner.state import EndpointState
from quillstep.planner.update_budget import OrdinaryUpdate, UpdateBudget


class Precedence(Enum):
    """Which limit a change that is not urgent is held to."""

    NONE = auto()  # the usual one
    OVERDUE = auto()  # a drain behind it must be in time
    FIRST_OF_KIND = auto()  # the channel's limit


class ChangeLimits:
    """Which changes of endpoints fit the channel in one pass."""

    def __init__(
        self, budget: UpdateBudget, audience: Audience, max_urgent_lines: float, release_lines: float = 0.0
    ) -> None:
        self.release_lines = release_lines
        self.budget, self.audience, self.max_urgent_lines = budget, audience, max_urgent_lines
        self.head_lines = budget.lines_per_message * audience.reachable
        self.fixed_lines = self.head_lines + audience.reachable  # heads and ack requests

    def parts_to_publish(
        self, change: EndpointChange, state: EndpointState, written_lines: int, precedence: Precedence
    ) -> list[EndpointChange]:
        """Returns the change itself, or its parts if the whole exceeds even an empty channel, or is overdue."""
        lines = self.fixed_lines + self.audience.line_cost(change, state)
        if precedence is Precedence.FIRST_OF_KIND:
            fits = self.budget.fits_limit(lines + written_lines)
        else:
            fits = self.budget.fits_empty_channel(lines)
        return [change] if fits else change.parts(state)

    def fits(self, change: EndpointChange, state: EndpointState, written_lines: float, precedence: Precedence) -> bool:
        """Whether a change may be queued behind the lines already written in this pass.

        Args:
            change: The change.
            state: The endpoint's state before the change.
            written_lines: Lines of the changes before it.
            precedence: Which limit the change is held to, unless it is urgent.
        """
        if self.audience.exceeds_limit(change, state):
            return self._fits_alone(written_lines)
        lines = self.audience.line_cost(change, state)
        if self.audience.is_oversized and change.is_ejected != state.is_ejected:
            # Heads and ack requests of the messages to proxies for which none are reserved.
            further = self.audience.ejection_recipients(change, state) - self.audience.reachable
            written_lines += max(0, further) * (self.budget.lines_per_message + 1)
        if not self.budget.fits_limit(self.fixed_lines + written_lines + lines):
            return False
        if change.kind is UpdateKind.URGENT:
            return self.budget.queued_lines + self.head_lines + written_lines + lines <= self.max_urgent_lines
        if precedence is Precedence.FIRST_OF_KIND:
            return True
        update = OrdinaryUpdate(lines, self.head_lines, written_lines, self.release_lines)
        if precedence is Precedence.OVERDUE and self.budget.fits_before_drain(update):
            return True
        proxies_pending = self.audience.with_calendar != self.audience.joined
        return self.budget.fits_ordinary(update, self.max_urgent_lines, proxies_pending)

    def _fits_alone(self, written_lines: float) -> bool:
        """Whether a message to all proxies of an oversized fleet may be sent: one at a time, in an empty channel."""
        return self.budget.unproven_lines <= 0.0 and written_lines < self.audience.joined
