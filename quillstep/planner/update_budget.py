"""The update budget: how much of the channel to the proxies is in use.

The channel sends update lines one after another, at a rate that the planner cannot observe.  The budget counts the
lines written to the channel and derives the sent lines from acks; since the last ack, it assumes a fraction of the
configured rate.
"""

from dataclasses import dataclass
from typing import NamedTuple

from quillstep.planner.messages import PlannerConfig, PlannerOutput

ASSUMED_RATE_FRACTION = 0.5  # sending rate assumed since the last ack, divided by the configured channel rate
# Without any ack for MAX_ACK_SILENCE_MS, the proxies that should acknowledge may all have left: the channel is then
# taken to send at this fraction of its configured rate, so that it does not count as full for good.
SILENT_RATE_FRACTION = 0.1
MAX_ACK_SILENCE_MS = 10_000.0
MAX_ACK_SERIALS = 65536  # serials are reused after this many ack requests; the protocol allows no more
# Fractions of the channel's limit of queued lines, by kind of update.
MAX_QUEUE_FRACTION = 0.93  # all updates together
JOIN_QUEUE_FRACTION = 0.5  # table assignments
ORDINARY_QUEUE_FRACTION = 0.4  # ordinary changes
ORDINARY_GRACE_FRACTION = 0.2  # share of the drain grace for queued ordinary changes, which delay drains behind them
JOINING_ORDINARY_FACTOR = 0.5  # applied to the limit of ordinary changes while proxies wait for the calendar
MESSAGE_GAP_FACTOR = 1.2  # factor on the minimum mean gap between two messages to a proxy


@dataclass(slots=True)
class InFlightUpdate:
    """The messages of one interval, and how many of them are acknowledged."""

    start_lines: float  # written lines before these messages
    end_lines: float  # written lines up to and including these messages
    messages: int
    acks: int = 0

    @property
    def sent_lines(self) -> float:
        """Written lines that the acks prove to be sent; messages are taken to be equally long."""
        if self.acks >= self.messages:
            return self.end_lines
        return self.start_lines + (self.end_lines - self.start_lines) / self.messages * self.acks


class OrdinaryUpdate(NamedTuple):
    """The lines of an ordinary change to the proxies."""

    lines: float  # of the change
    head_lines: float  # of its messages
    written_lines: float  # changes written before it in the same messages
    release_lines: float = 0.0  # the lines with which any release can be kept in time behind it

    @property
    def least_lines(self) -> float:
        """Lines of messages that contain this change alone."""
        return self.head_lines + self.lines


class UpdateBudget:
    """Counts the lines in the channel, and limits how many more may be written.

    Attributes:
        written_lines: Lines written to the channel since the start.
        sent_lines: Written lines that are assumed to have left the channel.
    """

    def __init__(self, config: PlannerConfig) -> None:
        self.lines_per_message = config.lines_per_message
        self.rate_lines_per_ms = config.channel_lines_per_s / 1000.0  # configured; 0 if it is not
        self.written_lines = self.sent_lines = 0.0
        self.in_flight: dict[int, InFlightUpdate] = {}  # by serial of the requested ack
        self._acked_lines = 0.0  # lines sent as of the newest ack, at `_acked_ms`
        self._acked_ms = 0.0
        self._serial = 0
        self._assumed_lines_per_ms = ASSUMED_RATE_FRACTION * config.channel_lines_per_s / 1000.0
        self._silent_lines_per_ms = SILENT_RATE_FRACTION * config.channel_lines_per_s / 1000.0
        self._proven_lines = 0.0  # lines that acks prove to be sent, or that count as sent after a long silence
        self._proven_ms = 0.0  # when the newest of these was proven
        # A limit that is not configured does not restrict updates.
        self.max_queued_lines = config.max_queued_lines or float("inf")
        self.drain_grace_lines = config.drain_grace_ms * config.channel_lines_per_s / 1000.0 or float("inf")
        self.update_delay_lines = config.channel_lines_per_s * config.max_update_delay_ms / 1000.0
        self.ack_delay_lines = self.update_delay_lines or float("inf")
        self.min_message_gap_ms = 0.0
        if config.max_messages:
            self.min_message_gap_ms = MESSAGE_GAP_FACTOR * config.message_window_ms / config.max_messages

    @property
    def queued_lines(self) -> float:
        """Estimated lines that are queued in the channel."""
        return self.written_lines - self.sent_lines

    def fits_limit(self, lines: float) -> bool:
        """Whether this many more lines keep the channel within its limit, whatever rate it has been sending at.

        Only lines that acks prove to be sent count as sent here: a channel that is slow or stands still sends no acks.
        """
        return self.unproven_lines + lines <= self.empty_channel_lines

    @property
    def empty_channel_lines(self) -> float:
        """Lines that may be written to the channel while nothing else is queued."""
        return MAX_QUEUE_FRACTION * self.max_queued_lines

    def fits_empty_channel(self, lines: float) -> bool:
        """Whether this many lines fit the limit while nothing else is queued."""
        return lines <= self.empty_channel_lines

    def apply_acks(self, serials: list[int], now_ms: float) -> None:
        """Applies acks, one per proxy and message.

        Messages are sent in the order written: an ack proves that everything written earlier was sent as well.
        """
        for serial in serials:
            update = self.in_flight.get(serial)
            if update is None:
                continue
            update.acks += 1
            sent_lines = update.sent_lines
            if sent_lines > self._acked_lines:
                self._acked_lines, self._acked_ms = sent_lines, now_ms
            if sent_lines > self._proven_lines:
                self._proven_lines, self._proven_ms = sent_lines, now_ms

    def estimate_sent(self, now_ms: float) -> None:
        """Updates `sent_lines` from the acks, and from the assumed sending rate since the newest of them."""
        if self.sent_lines >= self.written_lines:
            self._acked_lines, self._acked_ms = self.written_lines, now_ms
        since_ack_ms = now_ms - self._acked_ms
        self.sent_lines = min(self.written_lines, self._acked_lines + self._assumed_lines_per_ms * since_ack_ms)
        self._release_after_silence(now_ms)
        self._forget_proven()

    def _release_after_silence(self, now_ms: float) -> None:
        if self._proven_lines >= self.written_lines:
            self._proven_ms = now_ms
        silence_ms = now_ms - self._proven_ms - MAX_ACK_SILENCE_MS
        if silence_ms > 0.0:
            self._proven_lines = min(self.written_lines, self._proven_lines + self._silent_lines_per_ms * silence_ms)
            self._proven_ms += silence_ms

    def _forget_proven(self) -> None:
        """Drops the ack requests whose messages are proven to be sent: further acks of them prove nothing new."""
        while self.in_flight:
            oldest = next(iter(self.in_flight))
            if self.in_flight[oldest].end_lines > self._proven_lines:
                return
            del self.in_flight[oldest]

    def is_congested(self) -> bool:
        """Whether the queue is too long for any change to be written."""
        return self.queued_lines > JOIN_QUEUE_FRACTION * self.max_queued_lines

    @property
    def unproven_lines(self) -> float:
        """Lines that may still be queued in the channel, for all that acks prove."""
        return self.written_lines - self._proven_lines

    def has_capacity_for_assignment(self, expected_lines: float) -> bool:
        """Whether one more proxy may be assigned tables; an empty channel accepts an assignment of any size.

        The queue is limited to the lines sent before an ack arrives, because a drain may have to wait behind it.
        """
        window = min(JOIN_QUEUE_FRACTION * self.max_queued_lines, self.ack_delay_lines)
        if not self.unproven_lines:
            return True
        is_empty = self.sent_lines >= self.written_lines
        return (is_empty or self.queued_lines + expected_lines <= window) and self.fits_limit(expected_lines)

    def max_urgent_lines(self, subsets_pending: bool) -> float:
        """Returns the limit of queued lines for urgent changes; lower while subsets wait for the channel."""
        return self.ack_delay_lines if subsets_pending else self.empty_channel_lines

    def fits_ordinary(self, change: OrdinaryUpdate, max_urgent_lines: float, proxies_pending: bool) -> bool:
        """Whether an ordinary change may be queued.

        The limit keeps the queue short for a drain that may follow.  It does not grow with the fleet, but the heads of
        messages to all proxies do.  Where these alone leave no room for the change, the limit applies to the changes
        without heads in an empty channel, and `fits_before_drain` applies in any other.

        Args:
            change: The lines that the change takes.
            max_urgent_lines: The limit of queued lines for urgent changes.
            proxies_pending: Whether proxies wait for the calendar; the limit is then lower.
        """
        allowed = min(
            max_urgent_lines,
            ORDINARY_QUEUE_FRACTION * self.max_queued_lines,
            ORDINARY_GRACE_FRACTION * self.drain_grace_lines,
        )
        allowed *= JOINING_ORDINARY_FACTOR if proxies_pending else 1.0
        if change.least_lines <= allowed:
            return self.queued_lines + change.written_lines + change.least_lines <= allowed
        if self.unproven_lines <= 0.0:
            return change.written_lines + change.lines <= max(change.lines, allowed)
        return not proxies_pending and self.fits_before_drain(change)

    def fits_before_drain(self, change: OrdinaryUpdate) -> bool:
        """Whether a drain of the same size behind a change, and any release, still takes effect within its grace."""
        queued_lines = self.unproven_lines + change.written_lines + change.least_lines
        drain_lines = max(change.least_lines, change.release_lines)
        return queued_lines + drain_lines + self.update_delay_lines <= self.drain_grace_lines

    def limit_awaited_acks(self, messages: int) -> None:
        """Awaits acks of the last update from no more proxies than it became messages; counts no lines without any."""
        update = self.in_flight.get(self._serial)
        if update is None:
            return
        update.messages = min(update.messages, messages)
        if not messages and self.written_lines == update.end_lines:
            del self.in_flight[self._serial]
            self.written_lines = update.start_lines

    def request_ack(self, sent_lines: float, messages: int, output: PlannerOutput) -> None:
        """Requests acks of this interval's messages.

        Args:
            sent_lines: Lines written before these messages.
            messages: Number of messages, one per proxy that they reach.
            output: Receives the request.
        """
        self.written_lines += messages  # the ack request adds a line to each message
        self._serial = (self._serial + 1) % MAX_ACK_SERIALS
        self.in_flight[self._serial] = InFlightUpdate(sent_lines, self.written_lines, messages)
        output.request_ack(self._serial)
