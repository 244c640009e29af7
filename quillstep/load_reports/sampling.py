"""Which proxies report in full, and how often, within a budget of work.  Without I/O and clocks.

Those that carry most traffic and those under suspicion always report in full, at the usual period.  The rest take
turns: one group of several reports in full at a time, each group once in a cycle, in a sequence drawn anew from the
seed; a full report then stands for as many proxies as there are groups (the inverse of its chance, so that the
expected sum is the true one).  Where even that is too much work, the rest are asked less often.
"""

import random
from dataclasses import dataclass, field

from quillstep.load_reports.aggregator import MESSAGE_WORK, Asked

# Groups, and times the usual period: from the least sparing to the most.
STAGES = [(1, 1), (2, 1), (4, 1), (4, 2), (8, 2), (8, 4), (8, 8)]
FILLS = 0.8  # of the budget that a plan may use
EASES = 0.6  # of the budget within which a less sparing plan must fit before it is taken up again
HEAVY_PART = 0.5  # of all traffic, which the heavy hitters carry together
SPECIAL_PART = 0.125  # of the proxies that may be heavy hitters, and as many suspects
STEP_PERIODS = 8.0  # a group's turn, in periods of its proxies
LEAD_PERIODS = 1.5  # a group is told before its turn, so that all its reports of the turn are full
SUSPECT_FAILS = 0.5  # the part of its tries that failed from which a proxy is a suspect
SUSPECT_PERIODS = 10.0
KEEPS = 0.7  # of what was known of a proxy's traffic and rows, a report later


@dataclass(slots=True)
class Known:
    """What is known of one proxy's reports."""

    rate: float = 0.0  # exchanges a second
    rows: float | None = None  # of a full report, by what they cost to read
    suspect_ms: float = float("-inf")  # until when
    turn: int = 0  # of its group, drawn
    asked: Asked | None = None


@dataclass(slots=True)
class Stage:
    """The plan in force."""

    at: int = 0
    groups: int = 1
    times: int = 1
    heavy: set[int] = field(default_factory=set)
    begin_ms: float = 0.0  # of the turn under way
    step_ms: float = 0.0
    order: list[int] = field(default_factory=list)  # of groups, in this cycle and the next
    turn: int = 0


class Sampler:
    """`heard` takes in what proxies reported; `plan` says what whom to ask for, when that has changed."""

    def __init__(self, work_per_s: float, usual_ms: float, seed: int) -> None:
        self.work_per_s, self.usual_ms = work_per_s, usual_ms
        self.draw = random.Random(f"{seed} reports")
        self.known: dict[int, Known] = {}
        self.stage = Stage()
        self.due_ms = float("inf")

    def joined(self, proxy: int, now_ms: float) -> None:
        self.known[proxy] = Known(turn=self.draw.randrange(8))
        self.due_ms = min(self.due_ms, now_ms + 2.0 * self.usual_ms)

    def left(self, proxy: int) -> None:
        self.known.pop(proxy, None)

    def heard(self, proxy: int, covers_ms: float, rows: int, arrived: int, failing: float, now_ms: float) -> None:
        known = self.known.get(proxy)
        if known is None or covers_ms <= 0.0:
            return
        known.rate += (1.0 - KEEPS) * (arrived * 1000.0 / covers_ms - known.rate)
        if rows >= 0.0:
            known.rows = rows if known.rows is None else known.rows + (1.0 - KEEPS) * (rows - known.rows)
        if failing >= SUSPECT_FAILS:
            known.suspect_ms = now_ms + SUSPECT_PERIODS * self.usual_ms

    def cost(self, groups: int, times: int, special: set[int]) -> float:
        """Work a second that a plan is expected to take."""
        told = [row.rows for row in self.known.values() if row.rows is not None]
        mean = sum(told) / len(told) if told else 0.0
        lead = 1.0 + LEAD_PERIODS / STEP_PERIODS if groups > 1 else 1.0
        work = 0.0
        for proxy, row in self.known.items():
            rows = mean if row.rows is None else row.rows
            if proxy in special:
                work += MESSAGE_WORK + rows
            else:
                work += (MESSAGE_WORK + rows * min(1.0, lead / groups)) / times
        return work * 1000.0 / self.usual_ms

    def special(self, now_ms: float) -> set[int]:
        """The heavy hitters and the suspects, each within their part of all proxies."""
        most = max(1, int(SPECIAL_PART * len(self.known)))
        ranked = sorted(self.known, key=lambda proxy: (-self.known[proxy].rate, proxy))
        total, so_far = sum(row.rate for row in self.known.values()), 0.0
        heavy: set[int] = set()
        for proxy in ranked[:most]:
            if so_far >= HEAVY_PART * total:
                break
            heavy.add(proxy)
            so_far += self.known[proxy].rate
        suspects = [p for p in ranked if self.known[p].suspect_ms > now_ms and p not in heavy]
        return heavy | set(suspects[:most])

    def pressed(self, now_ms: float) -> None:
        """A gatherer has no work to spare: where all report in full, look again in a period, not in eight."""
        if self.stage.groups == 1:
            self.due_ms = min(self.due_ms, now_ms + self.usual_ms)

    def plan(self, now_ms: float) -> list[Asked]:
        """What has changed of what is asked of whom; call again at `due_ms`."""
        stage = self.stage
        if now_ms >= stage.begin_ms + stage.step_ms or stage.groups == 1:
            self.choose(now_ms)
        step = stage.begin_ms + stage.step_ms
        early = LEAD_PERIODS * self.usual_ms * stage.times
        self.due_ms = step - early if now_ms < step - early and stage.groups > 1 else step
        if stage.groups == 1:
            self.due_ms = now_ms + STEP_PERIODS * self.usual_ms
        asked = []
        for proxy, row in sorted(self.known.items()):
            wish = self.wish(proxy, row, now_ms)
            if row.asked != wish:
                row.asked = wish
                asked.append(wish)
        return asked

    def choose(self, now_ms: float) -> None:
        """A turn begins: is the plan still the right one, and whose turn is it?"""
        stage = self.stage
        special = self.special(now_ms)
        wanted = next(
            (
                at
                for at, (groups, times) in enumerate(STAGES)
                if self.cost(groups, times, special) <= FILLS * self.work_per_s
            ),
            len(STAGES) - 1,
        )
        if wanted < stage.at:  # ease one stage at a time, and only where it is sure to fit
            eased = self.cost(*STAGES[stage.at - 1], special) <= EASES * self.work_per_s
            wanted = stage.at - 1 if eased else stage.at
        changed = wanted != stage.at
        stage.at, stage.heavy = wanted, special
        stage.groups, stage.times = STAGES[wanted]
        stage.step_ms = STEP_PERIODS * self.usual_ms * stage.times
        stage.begin_ms = now_ms
        stage.turn += 1
        if changed:
            stage.order, stage.turn = [], 0
        if stage.turn >= stage.groups:
            stage.order, stage.turn = stage.order[stage.groups :], stage.turn - stage.groups
        while len(stage.order) < 2 * stage.groups:  # the next cycle is drawn early: its first group is told early
            cycle = list(range(stage.groups))
            self.draw.shuffle(cycle)
            stage.order += cycle

    def wish(self, proxy: int, row: Known, now_ms: float) -> Asked:
        """What one proxy is to do now."""
        stage = self.stage
        if stage.groups == 1 and stage.times == 1 or proxy in stage.heavy:
            return Asked(proxy, self.usual_ms, True, 1.0, float("-inf"), float("inf"))
        period = self.usual_ms * stage.times
        if stage.groups == 1:
            return Asked(proxy, period, True, 1.0, float("-inf"), float("inf"))
        group = row.turn % stage.groups
        end = stage.begin_ms + stage.step_ms
        if group == stage.order[stage.turn]:
            return Asked(proxy, period, True, float(stage.groups), stage.begin_ms, end)
        if (
            group == stage.order[stage.turn + 1] and now_ms >= end - LEAD_PERIODS * period
        ):  # told early, counted from its turn on
            return Asked(proxy, period, True, float(stage.groups), end, end + stage.step_ms)
        return Asked(proxy, period, False, float(stage.groups), 0.0, 0.0)
