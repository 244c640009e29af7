"""How long one proxy takes to apply and acknowledge updates.  Without I/O and clocks; times are milliseconds.

A proxy serves nothing while it applies an update.  The cost of a line (a changed resource) is the least that lines have
cost it lately: queues and a busy controller only ever add to a time, so that the minimum over a window is the proxy's
own part (the filter that BBR uses for the round trip of a path; Cardwell et al., ACM Queue 14(5), 2016).
"""

from collections import deque
from statistics import median
from typing import NamedTuple

# Statuses of an update without an acknowledgement.  The values are recorded.
IN_TIME = "on its way"
LATE = "late"
STALLED = "stalls"
LOST = "lost"

MAX_SMALL_UPDATE_LINES = 2  # up to this size an update tells the round trip
MIN_LARGE_UPDATE_LINES = 8  # from this size on an update tells the cost of a line
KEPT_SAMPLES = 8  # of updates of each size
MIN_LARGE_SAMPLES = 2  # one alone may have met a busy controller
KEPT_FLEET_SAMPLES = 64
MIN_FLEET_SAMPLES = 8
MAX_STALL_SHARE = 0.1  # of the shortest latency objective, that one update may stall a proxy for
FIRST_UPDATE_LINES = 16  # while no cost of a line is known
MIN_UPDATE_LINES = 4  # however much a line costs
REST_FACTOR = 1.0  # a proxy is left alone after an update for as long as that stalled it, times this
MIN_REST_SHARE = 0.5  # of the stall limit, below which a stall needs no rest
LATE_FACTOR = 2.0  # times the expected latency


class LineCostEstimate:
    """The cost of a line at most proxies: the median of the last samples, so that few slow proxies do not count."""

    def __init__(self) -> None:
        self.samples_ms: deque[float] = deque(maxlen=KEPT_FLEET_SAMPLES)

    def add(self, line_ms: float) -> None:
        """Adds a proxy's sample."""
        self.samples_ms.append(line_ms)

    def line_ms(self) -> float | None:
        """Returns the estimate; None until there are enough samples."""
        return median(self.samples_ms) if len(self.samples_ms) >= MIN_FLEET_SAMPLES else None


class AckDelay(NamedTuple):
    """The status of an update that has no acknowledgement, how long it has waited, and what the status rests on."""

    nonce: str
    status: str
    waiting_ms: float
    reason: str


class AckLatency:
    """One proxy's latency.

    `max_ack_delay_ms`: from when on an update is late; 0: never.  `stall_ms`: how long one update may stall the proxy;
    0: no limit.  `usual_line_ms`: the cost of a line at other proxies, used until its own is known.
    """

    def __init__(
        self, max_ack_delay_ms: float = 0.0, stall_ms: float = 0.0, usual_line_ms: float | None = None
    ) -> None:
        self.max_ack_delay_ms, self.stall_ms, self.usual_line_ms = max_ack_delay_ms, stall_ms, usual_line_ms
        self.small_update_ms: deque[float] = deque(maxlen=KEPT_SAMPLES)
        self.large_updates: deque[tuple[int, float]] = deque(maxlen=KEPT_SAMPLES)  # lines and latency
        self.last_line_ms: float | None = None  # the sample of the last large update, until it is collected
        self.last_ack_ms = float("-inf")
        self.rest_until_ms = 0.0  # before it only ejections are sent

    def record_ack(self, lines: int, sent_ms: float, now_ms: float) -> None:
        """Records the answer to an update of so many lines; earlier updates of the stream were applied before it."""
        latency_ms = now_ms - max(sent_ms, self.last_ack_ms)
        self.last_ack_ms = now_ms
        if lines <= MAX_SMALL_UPDATE_LINES:
            self.small_update_ms.append(latency_ms)
        elif lines >= MIN_LARGE_UPDATE_LINES:
            self.large_updates.append((lines, latency_ms))
            self.last_line_ms = max(0.0, latency_ms - self.round_trip_ms()) / lines
        self.rest_until_ms = now_ms + REST_FACTOR * self.stall_of_ms(lines)

    def round_trip_ms(self) -> float:
        """Returns the latency of an update that costs nothing to apply."""
        return min(self.small_update_ms, default=0.0)

    def line_ms(self) -> float | None:
        """Returns the cost of a line; None where nothing is known of it."""
        if len(self.large_updates) < MIN_LARGE_SAMPLES:
            return self.usual_line_ms
        round_trip_ms = self.round_trip_ms()
        return min(max(0.0, latency_ms - round_trip_ms) / lines for lines, latency_ms in self.large_updates)

    def stall_of_ms(self, lines: int) -> float:
        """Returns how long so many lines stall the proxy; 0 where that is too short to need a rest."""
        stall_ms = lines * (self.line_ms() or 0.0)
        return stall_ms if stall_ms > MIN_REST_SHARE * self.stall_ms else 0.0

    def max_lines(self) -> int | None:
        """Returns the most lines of one update; None: no limit."""
        line_ms = self.line_ms()
        if not self.stall_ms:
            return None
        if line_ms is None:
            return FIRST_UPDATE_LINES
        return max(MIN_UPDATE_LINES, int(self.stall_ms / line_ms)) if line_ms else None

    def late_ms(self, lines: int) -> float:
        """Returns after how long an update of so many lines is late: the configured time, or what it surely takes."""
        return max(self.max_ack_delay_ms, LATE_FACTOR * (self.round_trip_ms() + lines * (self.line_ms() or 0.0)))

    def ack_delay(self, nonce: str, lines: int, sent_ms: float, now_ms: float, heard_ms: float | None) -> AckDelay:
        """Returns the status of the oldest update that has no acknowledgement.

        A proxy that still sends other messages is stalled by the update, or will never apply it; to one that sends
        nothing it may still be on its way.  Neither counts as acknowledged.  Only a later acknowledgement can show
        that it was lost.

        Args:
            nonce: The update's.
            lines: Its size.
            sent_ms: When it was sent.
            now_ms: The present time.
            heard_ms: When anything at all last came from this proxy, if that is known.
        """
        since_ms = max(sent_ms, self.last_ack_ms)
        waiting_ms = now_ms - since_ms
        if not self.max_ack_delay_ms or waiting_ms <= self.late_ms(lines):
            return AckDelay(nonce, IN_TIME, waiting_ms, "")
        if heard_ms is not None and heard_ms > since_ms + self.max_ack_delay_ms:
            return AckDelay(nonce, STALLED, waiting_ms, f"it talks and has not applied {lines} lines")
        return AckDelay(nonce, LATE, waiting_ms, f"nothing came from it since it was sent {lines} lines")
