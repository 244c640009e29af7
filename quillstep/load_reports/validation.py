"""What one proxy's reports may say and how often.  Without I/O and clocks; times are milliseconds.

What is absurd is void and said; what is merely a lie among the plausible is bounded where sums are made
(`sums.ONE_MOST`).  All that is held for a proxy has a bound.
"""

from dataclasses import dataclass, field

from quillstep.load_reports.aging import Delay, Numbers, horizon_ms
from quillstep.load_reports.upstream_stats import Report, Row

COUNT_MOST = 100_000.0  # exchanges or tries a second that one proxy may tell of at all
TOOK_MOST = 10.0  # cut-offs that one try may have taken
LOAD_MOST = 16.0  # a load figure above this is none
TRIES_MOST = 3.0  # tries for each exchange that arrived: no way of trying again makes more
CAME_KEEPS = 0.8  # of the arrivals whose tries may still end, a report later
SPARE_TRIES = 8.0
BURST = 4.0  # reports that may come at once; a mean of REPORTS_MOST in a period
REPORTS_MOST = 2.0
COVER_SPARE = 2.0  # periods of cover beyond the time that has passed, for clocks and jitter
FLOW_MOST = 1.5  # periods of cover that may count as flow at once
DELAY_SPAN = 60.0  # periods after which the best delay is forgotten
DIGESTS_KEPT = 32


@dataclass(slots=True)
class Told:
    """A report as it was read, nothing of it checked; `number` < 0 and `sent_ms` None where the proxy told none."""

    number: int
    sent_ms: float | None
    until_ms: float | None  # on the clock of `sent_ms`
    covers_ms: float
    digest: int
    arrivals: list[tuple[int, int, int]] = field(default_factory=list)
    rows: list[Row] = field(default_factory=list)
    took: list[tuple[int, int, float]] = field(default_factory=list)
    unlisted: int = 0  # rows of endpoints that no roster has named
    numbered: bool = True  # it told whether exchanges arrived apart from tries


@dataclass(slots=True)
class ReportAccount:
    """What is remembered of one joined proxy's reports."""

    number: int
    zone: str
    life: str
    period_ms: float  # as asked
    usual_ms: float  # the fleet's period
    full: bool = True
    factor: float = 1.0
    counts_from_ms: float = float("-inf")  # when its rows count, where it reports in full by turns
    counts_to_ms: float = float("inf")
    numbers: Numbers = field(default_factory=Numbers)
    digests: list[int] = field(default_factory=list)
    delay: Delay = field(default_factory=Delay)
    cover_ms: float = float("inf")  # that may still be counted
    until_ms: float | None = None  # up to when it has told, at most
    allowed: float = BURST  # reports that may be read now
    allowed_ms: float | None = None
    came: float = 0.0
    flow_ms: float = float("inf")  # of cover whose tries may still count as flow of the present
    flow_at_ms: float | None = None

    def flows(self, covers_ms: float, now_ms: float) -> float:
        """The part of a report's tries that counts as flow of the present: as much cover as time has passed, so that
        a proxy that is always late counts in full, and one that brings ten periods at once for a little over one."""
        most = FLOW_MOST * max(self.period_ms, self.usual_ms)
        passed = now_ms - self.flow_at_ms if self.flow_at_ms is not None else most
        self.flow_ms, self.flow_at_ms = min(most, self.flow_ms + max(0.0, passed)), now_ms
        part = min(1.0, self.flow_ms / covers_ms)
        self.flow_ms -= part * covers_ms
        return part

    def may_read(self, now_ms: float) -> float:
        """0 where a report of its may be read now, else when; a flood is read at the pace of its period."""
        if self.allowed_ms is not None:
            pace = REPORTS_MOST / self.usual_ms
            self.allowed = min(BURST, self.allowed + (now_ms - self.allowed_ms) * pace)
            self.allowed_ms = now_ms
            if self.allowed < 1.0:
                return now_ms + (1.0 - self.allowed) / pace
        self.allowed_ms = now_ms
        return 0.0


def sound(told: Told, account: ReportAccount, deadline_ms: float, max_rows: int) -> tuple[str, int]:
    """Strike out what is absurd; returns why all is void (or ""), and how many rows were struck."""
    if not 0.0 < told.covers_ms <= 86_400_000.0:
        return "a cover that is none", 0
    if told.sent_ms is not None and (
        told.until_ms is None or not told.until_ms <= told.sent_ms or not abs(told.sent_ms) < 1e15
    ):
        return "sums from the future", 0
    most = COUNT_MOST * max(told.covers_ms, account.usual_ms) / 1000.0
    arrived = 0
    for _, came, unanswered in told.arrivals:
        arrived += came
        if not (0 <= came <= most and 0 <= unanswered <= came + account.came + SPARE_TRIES):
            return "absurd arrivals", 0
    if len(told.rows) > max_rows:
        struck, told.rows = len(told.rows), []
        return "", struck
    kept: list[Row] = []
    tries = 0
    for row in told.rows:
        _, good, failed, good_ms, load = row
        # Written so that a NaN fails too.
        if 0 <= good <= most and 0 <= failed <= most and 0.0 <= good_ms <= good * TOOK_MOST * deadline_ms:
            tries += good + failed
            if load is not None and not 0.0 <= load <= LOAD_MOST:
                row = (*row[:4], None)
            kept.append(row)
    struck = len(told.rows) - len(kept)
    account.came = CAME_KEEPS * account.came + arrived
    if told.numbered and tries > TRIES_MOST * account.came + SPARE_TRIES:
        struck, kept = len(told.rows), []
    told.rows = kept
    told.took = [row for row in told.took if 0 <= row[1] <= most and 0.0 <= row[2] <= row[1] * TOOK_MOST * deadline_ms]
    return "", struck


def counted(told: Told, account: ReportAccount, arrived_ms: float) -> Report | str:
    """The report as it counts: its age on our clock, its cover no more than the time that has passed.  A text says why
    it does not count at all."""
    # A proxy without numbers is known by what it sent: its times are such that no two reports are alike.
    if told.number >= 0:
        if not account.numbers.add(told.number):
            return "repeated"
    elif told.digest in account.digests:
        return "repeated"
    else:
        account.digests = [*account.digests[1 - DIGESTS_KEPT :], told.digest]
    late_ms = 0.0
    if told.sent_ms is not None and told.until_ms is not None:
        late_ms = (
            told.sent_ms - told.until_ms + account.delay.over(told.sent_ms, arrived_ms, DELAY_SPAN * account.usual_ms)
        )
    until_ms = arrived_ms - late_ms
    most = horizon_ms(max(account.period_ms, account.usual_ms), account.usual_ms)
    most += COVER_SPARE * max(account.period_ms, account.usual_ms)
    if account.until_ms is None:
        account.cover_ms, account.until_ms = most, until_ms
    else:
        passed = max(0.0, until_ms - account.until_ms)
        account.cover_ms = min(most, account.cover_ms + passed)
        account.until_ms = max(account.until_ms, until_ms)
    # Two reports over the same time, however they are numbered, count for that time once.
    part = min(1.0, account.cover_ms / told.covers_ms)
    account.cover_ms -= part * told.covers_ms
    if part <= 0.0:
        return "more cover than time"
    number = told.number if told.number >= 0 else told.digest
    turn = account.full and account.counts_from_ms <= arrived_ms < account.counts_to_ms
    return Report(
        account.number, account.life, number, account.zone, arrived_ms, until_ms, told.covers_ms,
        max(account.period_ms, account.usual_ms), part, account.factor if turn else 0.0,
        told.arrivals, told.rows, told.took,
    )  # fmt: skip
