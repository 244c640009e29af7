"""What one reader of load reports decides: whose to read, what counts, what a window comes to.  No I/O, no clocks.

The same gatherer stands in a thread of the pilot, in a process of its own, and on the virtual time of a replay.
Work is counted in rows: a message costs as much as so many rows of it, so that the figure is the same on any machine.
"""

from dataclasses import dataclass
from typing import Any

from quillstep.config.controller import LoadReportSettings
from quillstep.config.fleet import FleetSettings
from quillstep.load_reports.aging import HALVES, horizon_ms, weight
from quillstep.load_reports.upstream_stats import Folded, Report, Window, fold
from quillstep.load_reports.validation import ReportAccount, Told, counted, sound

MESSAGE_WORK = 40.0  # rows that reading one message costs as much as; measured, see docs/reports.md
ROW_BYTES = 60.0  # about the least that a row takes
SAID_MS = 10000.0  # a complaint of a kind about a proxy is said once in so long
COMPLAINTS_MOST = 64  # in one window
GONE_MOST = 4096  # proxies that left and are remembered


@dataclass(slots=True)
class Asked:
    """What a proxy is asked for from now on."""

    proxy: int
    period_ms: float
    full: bool
    factor: float
    counts_from_ms: float
    counts_to_ms: float


def work_of(size: int) -> float:
    """What a message of so many bytes may cost at most, before it is read."""
    return MESSAGE_WORK + size / ROW_BYTES


class ReportAggregator:
    """Accounts of all joined proxies by name, the window that gathers, and the work it may do."""

    def __init__(self, facts: LoadReportSettings, fleet: FleetSettings) -> None:
        self.facts = facts
        self.usual_ms = fleet.proxies.report_interval_ms
        self.deadline_ms = max(row.deadline_ms for row in fleet.classes)
        self.places = {row.name: place for place, row in enumerate(fleet.classes)}
        self.endpoints: dict[tuple[str, int], int] = {}
        self.accounts: dict[str, ReportAccount] = {}
        self.gone: dict[str, ReportAccount] = {}  # of proxies that left
        self.names: dict[int, str] = {}
        self.newest: dict[tuple[str, int], float] = {}
        self.carried: dict[tuple[str, int], float] = {}  # tries that wait for fresh news of their endpoint
        self.window = Window()
        self.window_work = facts.rows_per_s * facts.window_ms / 1000.0
        self.work = self.window_work  # that may be done now
        self.work_ms: float | None = None
        self.done = 0.0  # work since the last hand-over
        self.void: dict[str, int] = {}  # reports that did not count, by reason, since the last hand-over
        self.complaints: list[tuple[str, str]] = []
        self.said: dict[tuple[str, str], float] = {}
        self.since_ms: float | None = None

    # what the pilot tells

    def listed(self, addresses: dict[tuple[str, int], int]) -> None:
        self.endpoints.update(addresses)

    def joined(self, account: ReportAccount, name: str) -> None:
        """A proxy's reports count here from now on; what was met in this very life of it before is remembered."""
        before = self.gone.pop(name, None)
        if before is not None and before.life == account.life:
            account.numbers, account.digests, account.delay = before.numbers, before.digests, before.delay
            account.cover_ms, account.until_ms = before.cover_ms, before.until_ms
        self.accounts[name] = account
        self.names[account.number] = name

    def left(self, name: str) -> None:
        """Its reports are void until it joins again."""
        held = self.accounts.pop(name, None)
        if held is None:
            return
        self.names.pop(held.number, None)
        self.gone[name] = held
        if len(self.gone) > GONE_MOST:
            del self.gone[next(iter(self.gone))]

    def release(self, name: str) -> ReportAccount | None:
        """Forget a proxy here; what is remembered of it goes to whoever reads its reports next."""
        self.left(name)
        return self.gone.pop(name, None)

    def ask(self, asked: Asked) -> str | None:
        """Take down what a proxy is asked for; returns its name where it must be told."""
        name = self.names.get(asked.proxy)
        if name is None:
            return None
        held = self.accounts[name]
        told = (held.period_ms, held.full) != (asked.period_ms, asked.full)
        held.period_ms, held.full, held.factor = asked.period_ms, asked.full, asked.factor
        held.counts_from_ms, held.counts_to_ms = asked.counts_from_ms, asked.counts_to_ms
        return name if told else None

    # reading

    def room(self, now_ms: float) -> float:
        """Work that may be done now; a window's worth at most gathers."""
        if self.work_ms is None:
            self.work_ms = now_ms
        self.work = min(
            max(self.window_work, self.work),
            self.work + (now_ms - self.work_ms) * self.facts.rows_per_s / 1000.0,
        )
        self.work_ms = now_ms
        return self.work

    def may_read(self, name: str, size: int, now_ms: float) -> float:
        """0 where a message of this size may be read now, else when to ask again; it costs nothing until it is taken.

        A message larger than a window's whole work waits until a window is whole, and then uses it up."""
        held = self.accounts.get(name)
        if held is not None and (later := held.may_read(now_ms)):
            self.complain(name, "reports more often than asked", now_ms)
            return later
        cost = min(work_of(size), self.window_work)
        if self.room(now_ms) + 1e-6 < cost:
            return now_ms + (cost - self.work) * 1000.0 / self.facts.rows_per_s
        return 0.0

    def spend(self, size: int) -> float:
        """Charge for a message that is about to be read; returns what it costs."""
        cost = min(work_of(size), self.window_work)
        self.work -= cost
        self.done += cost
        return work_of(size)

    def take(self, name: str, told: Told, arrived_ms: float, now_ms: float, work: float = MESSAGE_WORK) -> None:
        """One report that was read, at the cost of so much work."""
        account = self.accounts.get(name)
        if account is None:
            self.count("no stream stands")  # its reports are void until its stream stands
            return
        account.allowed -= 1.0
        reason, struck = sound(told, account, self.deadline_ms, self.facts.max_rows)
        if struck:
            self.complain(name, f"{struck} rows struck out: absurd, or more than can be", now_ms)
        if told.unlisted:
            self.complain(name, f"{told.unlisted} rows of endpoints that are not listed", now_ms)
        if reason:
            self.complain(name, reason, now_ms)
            self.count(reason)
            return
        report = counted(told, account, arrived_ms)
        if isinstance(report, str):
            self.count(report)
            return
        if now_ms - report.until_ms > horizon_ms(report.grace_ms, self.usual_ms) and self.facts.ageing:
            self.count("too old")
            return
        if self.facts.ageing:
            report.volume = account.flows(report.part * report.covers_ms, now_ms)
        report.rows_work = max(0.0, work - MESSAGE_WORK) if account.full else -1.0
        self.window.add(report)
        if self.since_ms is None:
            self.since_ms = now_ms

    def count(self, reason: str) -> None:
        self.void[reason] = self.void.get(reason, 0) + 1

    def complain(self, name: str, text: str, now_ms: float) -> None:
        kind = (name, text.lstrip("0123456789 "))
        if now_ms - self.said.get(kind, float("-inf")) >= SAID_MS and len(self.complaints) < COMPLAINTS_MOST:
            if len(self.said) > 4096:
                self.said.clear()
            self.said[kind] = now_ms
            self.complaints.append((name, text))

    # hand-over

    def weigh(self, report: Report, now_ms: float) -> float:
        if not self.facts.ageing:
            return 1.0
        return weight(
            max(0.0, now_ms - report.until_ms - self.facts.window_ms),
            report.covers_ms,
            report.grace_ms,
            self.usual_ms,
        )

    def due_ms(self) -> float:
        """When the window is to be handed over; never while there is nothing in it."""
        if self.since_ms is None:
            return float("inf")
        return self.since_ms + self.facts.window_ms

    def hand_over(self, now_ms: float) -> dict[str, Any]:
        """The window as plain values, and what became of the rest; starts anew."""
        slack_ms = self.usual_ms if self.facts.ageing else float("inf")
        made: Folded = fold(self.window, now_ms, self.weigh, self.newest, slack_ms, self.carried)
        found = {
            "sums": made.sums, "arrivals": made.arrivals, "took": made.took, "heard": made.heard,
            "overtaken": made.overtaken, "void": self.void, "work": round(self.done, 1),
        }  # fmt: skip
        self.window, self.since_ms, self.done, self.void = Window(), None, 0.0, {}
        if len(self.newest) > 4 * (len(self.endpoints) + 1) * 16:
            self.newest = {key: at for key, at in self.newest.items() if now_ms - at < HALVES * 60 * self.usual_ms}
        return found


__all__ = ["Asked", "ReportAggregator", "work_of"]
