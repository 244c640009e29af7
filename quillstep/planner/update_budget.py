"""The update budget: how much of the channel to the proxies is in use.

The channel sends update lines one after another and at its own pace, which the planner does not see.  The budget
counts what was written to it, and takes from the acks how much has left; since the last ack it trusts a part of the
usual pace.
"""

from dataclasses import dataclass

from quillstep.planner.messages import PlannerConfig, PlannerOutput

TRUSTED_RATE_FRACTION = 0.5  # of the channel's usual pace
MAX_ACK_SERIALS = 64  # in use at a time
MAX_QUEUE_FRACTION = 0.93  # of the channel's limit, that all updates may fill
JOIN_QUEUE_FRACTION = 0.5  # of the same, that assignments of the calendar may fill
ORDINARY_QUEUE_FRACTION = 0.4  # of the same, that ordinary changes may fill
ORDINARY_GRACE_FRACTION = 0.2  # of the drain grace, that ordinary changes may take: drains queue behind them
JOINING_ORDINARY_FACTOR = 0.5  # on what ordinary changes may fill while proxies wait for the calendar
MESSAGE_GAP_FACTOR = 1.2  # on the least mean time between two messages to a proxy


@dataclass(slots=True)
class InFlightUpdate:
    """One interval's messages: how many lines have left the channel once so many of them are acknowledged."""

    sent_lines: float
    lines_per_message: float


class UpdateBudget:
    """Counts the lines in the channel, and says how many more it may take.

    Attributes:
        written_lines: Lines that were written to the channel since the start.
        sent_lines: The part of them that is taken to have left it.
    """

    def __init__(self, config: PlannerConfig) -> None:
        self.lines_per_message = config.lines_per_message
        self.written_lines = self.sent_lines = 0.0
        self.in_flight: dict[int, InFlightUpdate] = {}  # by the serial of the ack that was requested
        self._acked_lines = 0.0  # what left by the acks, at `_acked_ms`
        self._acked_ms = 0.0
        self._serial = 0
        self._trusted_lines_per_ms = TRUSTED_RATE_FRACTION * config.channel_lines_per_s / 1000.0
        # A limit that is not configured holds nothing back.
        self.max_queued_lines = config.max_queued_lines or float("inf")
        self.drain_grace_lines = config.drain_grace_ms * config.channel_lines_per_s / 1000.0 or float("inf")
        self.ack_delay_lines = config.channel_lines_per_s * config.max_update_delay_ms / 1000.0 or float("inf")
        self.min_message_gap_ms = 0.0
        if config.max_messages:
            self.min_message_gap_ms = MESSAGE_GAP_FACTOR * config.message_window_ms / config.max_messages

    @property
    def queued_lines(self) -> float:
        """Lines that wait in the channel, as far as is known."""
        return self.written_lines - self.sent_lines

    def apply_acks(self, serials: list[int], now_ms: float) -> None:
        """Counts acks, one for each proxy and message.

        Messages leave in the order written: an ack proves that everything written before has left as well.
        """
        for serial in serials:
            update = self.in_flight.get(serial)
            if update is None:
                continue
            update.sent_lines += update.lines_per_message
            if update.sent_lines > self._acked_lines:
                self._acked_lines = min(self.written_lines, update.sent_lines)
                self._acked_ms = now_ms

    def estimate_sent(self, now_ms: float) -> None:
        """Counts what left by the acks, and what the trusted pace has sent since the last of them."""
        if self.sent_lines >= self.written_lines:
            self._acked_lines, self._acked_ms = self.written_lines, now_ms
        since_ack = self._trusted_lines_per_ms * (now_ms - self._acked_ms)
        self.sent_lines = min(self.written_lines, self._acked_lines + since_ack)

    def is_crowded(self) -> bool:
        """Whether so much waits that no change is written at all."""
        return self.queued_lines > JOIN_QUEUE_FRACTION * self.max_queued_lines

    def has_capacity_for_assignment(self, expected_lines: float) -> bool:
        """Whether one more proxy may be assigned tables; an empty channel takes one of any size.

        No more than is sent until an ack arrives: a drain may have to wait behind it.
        """
        window = min(JOIN_QUEUE_FRACTION * self.max_queued_lines, self.ack_delay_lines)
        return not (self.sent_lines < self.written_lines and self.queued_lines + expected_lines > window)

    def max_urgent_lines(self, subsets_wait: bool) -> float:
        """How full urgent changes may make the channel; less while subsets wait for it."""
        return self.ack_delay_lines if subsets_wait else MAX_QUEUE_FRACTION * self.max_queued_lines

    def max_ordinary_lines(self, max_urgent_lines: float, proxies_wait: bool) -> float:
        """How full ordinary changes may make the channel; less while proxies wait for the calendar."""
        lines = min(
            max_urgent_lines,
            ORDINARY_QUEUE_FRACTION * self.max_queued_lines,
            ORDINARY_GRACE_FRACTION * self.drain_grace_lines,
        )
        return lines * (JOINING_ORDINARY_FACTOR if proxies_wait else 1.0)

    def request_ack(self, sent_lines: float, messages: int, output: PlannerOutput) -> None:
        """Requests an ack of this interval's messages.

        Args:
            sent_lines: What had been written before them.
            messages: How many proxies they reach.
            output: Where the request is written.
        """
        self.written_lines += messages  # the request is a line of each message
        self._serial = (self._serial + 1) % MAX_ACK_SERIALS
        self.in_flight[self._serial] = InFlightUpdate(sent_lines, (self.written_lines - sent_lines) / messages)
        output.request_ack(self._serial)
