"""Which urgent changes are published in a pass: all of them in one message to each proxy, or the fewest lots.

A message to a proxy costs its head, whatever it contains, so a release of many endpoints that goes out in many lots
takes several times the lines of one that goes out at once.  Urgent changes that do not fit the channel together
therefore wait until they do, unless the channel would then stand still for longer than another lot's heads take.
"""

from collections.abc import Sequence
from dataclasses import replace
from math import ceil
from typing import NamedTuple

from quillstep.planner.audience import Audience, WrittenUpdates
from quillstep.planner.endpoint_changes import EndpointChange
from quillstep.planner.messages import EndpointId
from quillstep.planner.state import FleetState
from quillstep.planner.update_budget import UpdateBudget

EXPECTED_DELAY_FRACTION = 0.5  # how long an ack takes as a rule, divided by the longest delay of an update


class UpdateCost(NamedTuple):
    """The lines of an update over all proxies, and those of them that its messages cost whatever they contain."""

    lines: float  # of the changes
    head_lines: float  # of message heads and ack requests

    @property
    def total_lines(self) -> float:
        """All lines of the update."""
        return self.lines + self.head_lines


class UrgentLines(NamedTuple):
    """The lines of the urgent changes that are due, over all proxies and without message heads."""

    first: float  # of the first change
    total: float


class UrgentUpdates:
    """Selects the urgent changes of a pass."""

    def __init__(self, fleet: FleetState, budget: UpdateBudget) -> None:
        self.fleet, self.budget = fleet, budget

    def cost(self, changes: Sequence[EndpointChange], audience: Audience) -> UpdateCost:
        """Returns what one message with all these changes costs; there is at least one."""
        return self._costs(changes, WrittenUpdates(audience))[-1]

    def fewest_lots(self, changes: int, cost: UpdateCost, max_lines: float = float("inf")) -> int:
        """Returns the fewest updates that so many changes take, if each fits an empty channel and the given limit."""
        return ceil(changes / self._changes_per_lot(changes, cost, max_lines))

    def fits_empty_channel(self, change: EndpointChange, audience: Audience) -> bool:
        """Whether a change fits the channel as a whole while nothing else is queued."""
        return self.budget.fits_empty_channel(self.cost([change], audience).total_lines)

    def select(self, changes: Sequence[EndpointChange], written: WrittenUpdates, max_lines: float) -> set[EndpointId]:
        """Returns the endpoints whose changes are published in this pass.

        Args:
            changes: All urgent changes that are due, in the order of publishing.
            written: What the messages of this pass contain already.
            max_lines: The limit of queued lines for urgent changes.
        """
        if not changes:
            return set()
        count = self._selected_count(self._costs(changes, written), written, max_lines)
        return {change.endpoint for change in changes[:count]}

    def _selected_count(self, costs: Sequence[UpdateCost], written: WrittenUpdates, max_lines: float) -> int:
        """Returns how many changes are published, from the first on, given the costs of the first ones."""
        fitting = sum(self._fits(cost, max_lines) for cost in costs)
        are_heads_paid = written.lines > 0
        if fitting == len(costs) or are_heads_paid or self._is_lot_cheaper(costs[-1]):
            return fitting
        changes_per_lot = self._changes_per_lot(len(costs), costs[-1], max_lines)
        further_lots = ceil((len(costs) - fitting) / changes_per_lot)
        return fitting if further_lots < self.fewest_lots(len(costs), costs[-1], max_lines) else 0

    def _changes_per_lot(self, changes: int, cost: UpdateCost, max_lines: float) -> int:
        """Returns how many changes of the mean size fit an empty channel; at least one."""
        lines_per_change = max(1.0, cost.lines / changes)
        room = min(self.budget.empty_channel_lines, max_lines) - cost.head_lines
        return max(1, int(min(room / lines_per_change, changes)))

    def _costs(self, changes: Sequence[EndpointChange], written: WrittenUpdates) -> list[UpdateCost]:
        """Returns the cost of the first change, of the first two, and so on, each with what is written already."""
        total = replace(written, tables=set(written.tables))
        costs = []
        for change in changes:
            total.add_change(change, self.fleet.endpoints[change.endpoint])
            costs.append(UpdateCost(total.lines, (self.budget.lines_per_message + 1) * total.messages))
        return costs

    def _fits(self, cost: UpdateCost, max_lines: float) -> bool:
        return self.budget.fits_limit(cost.total_lines) and self.budget.queued_lines + cost.total_lines <= max_lines

    def _is_lot_cheaper(self, cost: UpdateCost) -> bool:
        """Whether the heads of another lot take the channel less time than it would stand still for one update.

        The channel stands still while the acks that prove it empty enough for the update are on their way.
        """
        spare_lines = max(0.0, self.budget.empty_channel_lines - cost.total_lines)
        return cost.head_lines < EXPECTED_DELAY_FRACTION * self.budget.ack_delay_lines - spare_lines
