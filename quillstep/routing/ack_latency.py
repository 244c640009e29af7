"""How long one proxy takes to apply and acknowledge updates.

A proxy serves no requests while it applies an update.  The cost of a line (a changed resource) is estimated as the
minimum over the proxy's recent updates: queues and a busy controller only ever add to a latency, so the minimum is the
proxy's own share of it.  BBR filters round-trip times in the same way (Cardwell et al., ACM Queue 14(5), 2016).
Performs no I/O and reads no clock; times are milliseconds.
"""

from collections import deque
from statistics import median
from typing import NamedTuple

# Statuses of an update without an acknowledgement.  The values are recorded.
IN_TIME = "on its way"
LATE = "late"
STALLED = "stalls"
LOST = "lost"

MAX_SMALL_UPDATE_LINES = 2  # updates of at most this size are samples of the round trip
MIN_LARGE_UPDATE_LINES = 8  # updates of at least this size are samples of the cost of a line
MAX_SAMPLES = 8  # retained for small and for large updates each
MIN_LARGE_SAMPLES = 2  # a single sample may include the delay of a busy controller
MAX_FLEET_SAMPLES = 64
MIN_FLEET_SAMPLES = 8
MAX_STALL_SHARE = 0.1  # longest stall of a proxy by one update, as a share of the shortest latency objective
FIRST_UPDATE_LINES = 16  # size limit of an update while the cost of a line is unknown
MIN_UPDATE_LINES = 4  # lower bound of the size limit, for proxies with a very high cost of a line
PAUSE_FACTOR = 1.0  # pause after an update, as a multiple of the stall that the update caused
MIN_PAUSE_SHARE = 0.5  # stalls shorter than this share of the stall limit need no pause
LATE_FACTOR = 2.0  # an update is late after this multiple of its expected latency


class LineCostEstimate:
    """The typical cost of a line in the fleet: the median of recent samples, which a few slow proxies do not move."""

    def __init__(self) -> None:
        self.samples_ms: deque[float] = deque(maxlen=MAX_FLEET_SAMPLES)

    def add(self, line_ms: float) -> None:
        """Adds one proxy's sample."""
        self.samples_ms.append(line_ms)

    def line_ms(self) -> float | None:
        """Returns the estimate; None until there are enough samples."""
        return median(self.samples_ms) if len(self.samples_ms) >= MIN_FLEET_SAMPLES else None


class AckDelay(NamedTuple):
    """The status of an unacknowledged update, how long it has waited, and the reason for the status."""

    nonce: str
    status: str
    waiting_ms: float
    reason: str


class AckLatency:
    """The acknowledgement latency of one proxy.

    Attributes:
        max_ack_delay_ms: How long an update may be unacknowledged before it is late; 0: updates are never late.
        max_stall_ms: The longest time that one update may stall the proxy; 0: no limit.
        fleet_line_ms: The cost of a line at other proxies, used until the proxy's own is known.
    """

    def __init__(
        self, max_ack_delay_ms: float = 0.0, max_stall_ms: float = 0.0, fleet_line_ms: float | None = None
    ) -> None:
        self.max_ack_delay_ms, self.max_stall_ms, self.fleet_line_ms = max_ack_delay_ms, max_stall_ms, fleet_line_ms
        self.small_update_ms: deque[float] = deque(maxlen=MAX_SAMPLES)
        self.large_updates: deque[tuple[int, float]] = deque(maxlen=MAX_SAMPLES)  # (lines, latency)
        self.last_line_ms: float | None = None  # sample of the last large update, until added to the fleet's
        self.last_ack_ms = float("-inf")
        self.pause_until_ms = 0.0  # the end of the pause, during which only ejections are sent

    def record_ack(self, lines: int, sent_ms: float, now_ms: float) -> None:
        """Records the ack or nack of an update of `lines` lines, which the proxy applied after all earlier updates."""
        latency_ms = now_ms - max(sent_ms, self.last_ack_ms)
        self.last_ack_ms = now_ms
        if lines <= MAX_SMALL_UPDATE_LINES:
            self.small_update_ms.append(latency_ms)
        elif lines >= MIN_LARGE_UPDATE_LINES:
            self.large_updates.append((lines, latency_ms))
            self.last_line_ms = max(0.0, latency_ms - self.round_trip_ms()) / lines
        self.pause_until_ms = now_ms + PAUSE_FACTOR * self.significant_stall_ms(lines)

    def round_trip_ms(self) -> float:
        """Returns the estimated latency of an update that takes no time to apply."""
        return min(self.small_update_ms, default=0.0)

    def line_ms(self) -> float | None:
        """Returns the estimated cost of a line; None if neither this proxy nor the fleet has enough samples."""
        if len(self.large_updates) < MIN_LARGE_SAMPLES:
            return self.fleet_line_ms
        round_trip_ms = self.round_trip_ms()
        return min(max(0.0, latency_ms - round_trip_ms) / lines for lines, latency_ms in self.large_updates)

    def significant_stall_ms(self, lines: int) -> float:
        """Returns how long an update of `lines` lines stalls the proxy; 0 if that is too short to need a pause."""
        stall_ms = lines * (self.line_ms() or 0.0)
        return stall_ms if stall_ms > MIN_PAUSE_SHARE * self.max_stall_ms else 0.0

    def max_lines(self) -> int | None:
        """Returns the size limit of one update in lines; None: no limit."""
        line_ms = self.line_ms()
        if not self.max_stall_ms:
            return None
        if line_ms is None:
            return FIRST_UPDATE_LINES
        return max(MIN_UPDATE_LINES, int(self.max_stall_ms / line_ms)) if line_ms else None

    def late_ms(self, lines: int) -> float:
        """Returns how long an update of `lines` lines may be unacknowledged before it is late.

        That is the configured delay, or a multiple of the expected latency if that is longer.
        """
        return max(self.max_ack_delay_ms, LATE_FACTOR * (self.round_trip_ms() + lines * (self.line_ms() or 0.0)))

    def ack_delay(
        self, nonce: str, lines: int, sent_ms: float, now_ms: float, last_received_ms: float | None
    ) -> AckDelay:
        """Returns the status of the oldest unacknowledged update.

        A proxy that still sends other messages is stalled by the update, or will never apply it.  If the proxy sends
        nothing, the update may not have arrived yet.  Neither case counts as acknowledged.  Only the acknowledgement of
        a later update can show that this one was lost.

        Args:
            nonce: The nonce of the update.
            lines: The size of the update.
            sent_ms: When the update was sent.
            now_ms: The current time.
            last_received_ms: When the last message of any kind was received from this proxy, if known.
        """
        since_ms = max(sent_ms, self.last_ack_ms)
        waiting_ms = now_ms - since_ms
        if not self.max_ack_delay_ms or waiting_ms <= self.late_ms(lines):
            return AckDelay(nonce, IN_TIME, waiting_ms, "")
        if last_received_ms is not None and last_received_ms > since_ms + self.max_ack_delay_ms:
            return AckDelay(nonce, STALLED, waiting_ms, f"proxy is active but has not acknowledged {lines} lines")
        return AckDelay(nonce, LATE, waiting_ms, f"no message from the proxy since it was sent {lines} lines")
