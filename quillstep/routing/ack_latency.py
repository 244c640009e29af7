"""How one proxy takes its orders: on their way, late, stalling it, lost.  Without I/O and clocks; times are in ms.

A proxy stands still while it applies what it is sent.  What a line costs it is the least that lines have cost it of
late: queues and a busy pilot only ever add to a time, so that the minimum over a window is the proxy's own part (the
filter that BBR uses for a path's round trip; Cardwell et al., ACM Queue 14(5), 2016).
"""

from collections import deque
from statistics import median
from typing import NamedTuple

IN_TIME, LATE, STALLED, LOST = "on its way", "late", "stalls", "lost"
SMALL, LARGE = 2, 8  # lines: what a round trip is told by, and what a line's cost is told by
LOOKED_BACK, ENOUGH = 64, 8  # answers of all proxies: that are looked back on, that say something
BELIEVED = 2  # answers of many lines that tell a proxy's own cost
KEPT = 8  # answers of each size that are looked back on
MAX_STALL_SHARE = 0.1  # of the shortest agreed time: as long as one piece may make a proxy stand still
FIRST_LINES = 16  # of one piece while nothing is known of anybody
LEAST_LINES = 4  # of a piece, however long they take
REST = 1.0  # after a piece the proxy has its time for exchanges: as long again as it stood still


class LineCostEstimate:
    """What a line costs most proxies: the median of the last answers, whoever gave them; few slow ones don't count."""

    def __init__(self) -> None:
        self.samples_ms: deque[float] = deque(maxlen=LOOKED_BACK)

    def add(self, line_ms: float) -> None:
        self.samples_ms.append(line_ms)

    def line_ms(self) -> float | None:
        """None until enough have answered."""
        return median(self.samples_ms) if len(self.samples_ms) >= ENOUGH else None


class AckDelay(NamedTuple):
    """What is to be thought of a response that has no word yet: which, since when, after how many ms, why."""

    nonce: str
    status: str
    waiting_ms: float
    reason: str


class AckLatency:
    """One proxy's pace.  `max_ack_delay_ms`: from when on an order is late; `stall_ms`: what one piece may cost;
    `usual_line_ms`: what a line costs the others, gone by until its own cost is known."""

    def __init__(
        self, max_ack_delay_ms: float = 0.0, stall_ms: float = 0.0, usual_line_ms: float | None = None
    ) -> None:
        self.max_ack_delay_ms, self.stall_ms, self.usual_line_ms = max_ack_delay_ms, stall_ms, usual_line_ms
        self.small_update_ms: deque[float] = deque(maxlen=KEPT)
        self.large_updates: deque[tuple[int, float]] = deque(maxlen=KEPT)
        self.last_line_ms: float | None = None  # the cost of a line by the last answer that tells one
        self.last_ack_ms = float("-inf")  # when its last word came
        self.rest_until_ms = 0.0  # before which no further piece of ordinary changes goes

    def record_ack(self, lines: int, sent_ms: float, now_ms: float) -> None:
        """Its word on a response of so many lines; what came before it in the stream was taken first."""
        took = now_ms - max(sent_ms, self.last_ack_ms)
        self.last_ack_ms = now_ms
        if lines <= SMALL:
            self.small_update_ms.append(took)
        elif lines >= LARGE:
            self.large_updates.append((lines, took))
            self.last_line_ms = max(0.0, took - self.round_trip_ms()) / lines
        self.rest_until_ms = now_ms + REST * self.apply_ms(lines)

    def round_trip_ms(self) -> float:
        """What an answer takes that costs nothing to apply."""
        return min(self.small_update_ms, default=0.0)

    def line_ms(self) -> float | None:
        """What a line makes it stand still for; None: nothing is known.

        One answer alone may have met a busy pilot; until there are more, it is taken for one of many.
        """
        if len(self.large_updates) < BELIEVED:
            return self.usual_line_ms
        trip = self.round_trip_ms()
        return min(max(0.0, took - trip) / lines for lines, took in self.large_updates)

    def apply_ms(self, lines: int) -> float:
        """How long so many lines make it stand still, as far as that is worth a rest."""
        stands = lines * (self.line_ms() or 0.0)
        return stands if stands > 0.5 * self.stall_ms else 0.0

    def max_lines(self) -> int | None:
        """The lines of one piece; None: all at once."""
        line_ms = self.line_ms()
        if not self.stall_ms:
            return None
        if line_ms is None:
            return FIRST_LINES
        return max(LEAST_LINES, int(self.stall_ms / line_ms)) if line_ms else None

    def late_ms(self, lines: int) -> float:
        """From when on a response of so many lines is late: the settings' figure, or what it surely takes."""
        return max(self.max_ack_delay_ms, 2.0 * (self.round_trip_ms() + lines * (self.line_ms() or 0.0)))

    def ack_delay(self, nonce: str, lines: int, sent_ms: float, now_ms: float, heard_ms: float | None) -> AckDelay:
        """A response without a word.  `heard_ms`: when anything at all last came from this peer, if that is known.

        One that still talks and does not answer stands still over it, or will never apply it; one from which nothing
        comes may have it under way.  Neither counts as held.  That it was lost only a later word can tell.
        """
        since = max(sent_ms, self.last_ack_ms)
        waits = now_ms - since
        if not self.max_ack_delay_ms or waits <= self.late_ms(lines):
            return AckDelay(nonce, IN_TIME, waits, "")
        if heard_ms is not None and heard_ms > since + self.max_ack_delay_ms:
            return AckDelay(nonce, STALLED, waits, f"it talks and has not applied {lines} lines")
        return AckDelay(nonce, LATE, waits, f"nothing came from it since it was sent {lines} lines")
