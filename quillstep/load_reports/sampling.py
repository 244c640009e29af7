"""Which proxies report in full, and how often, within a budget.  Without I/O and clocks.

Those that carry most traffic and suspected outliers always report in full, at the usual period.  The rest take turns:
one group of several reports in full at a time, each group once in a cycle, in an order drawn anew from the seed; a full
report then stands for as many proxies as there are groups: the inverse of its probability, so that the expected sum is
the true one (Horvitz and Thompson, "A generalization of sampling without replacement", 1952).  Where even that costs
too much, the rest report less often.
"""

import random
from dataclasses import dataclass, field
from typing import NamedTuple

from quillstep.load_reports.aggregator import MESSAGE_COST
from quillstep.load_reports.messages import ReportRequest
from quillstep.load_reports.summary import ProxyRow


class SamplingStage(NamedTuple):
    """How sparingly proxies report."""

    groups: int
    period_factor: int  # times the usual period


# From the least sparing to the most.
STAGES = [
    SamplingStage(1, 1),
    SamplingStage(2, 1),
    SamplingStage(4, 1),
    SamplingStage(4, 2),
    SamplingStage(8, 2),
    SamplingStage(8, 4),
    SamplingStage(8, 8),
]
MAX_GROUPS = 8
MAX_BUDGET_SHARE = 0.8  # of the budget that a stage may use
EASING_BUDGET_SHARE = 0.6  # of the budget within which a less sparing stage must fit before it is returned to
HEAVY_TRAFFIC_SHARE = 0.5  # of all traffic, which the proxies with most of it carry together
ALWAYS_FULL_SHARE = 0.125  # of the proxies that may be in full for their traffic, and as many as suspects
TURN_PERIODS = 8.0  # length of a group's turn, in periods of its proxies
LEAD_PERIODS = 1.5  # a group is notified before its turn, so that all its reports of the turn are full
SUSPECT_FAILED_SHARE = 0.5  # of its attempts, from which on a proxy is suspected
SUSPECT_PERIODS = 10.0  # for how long
FIRST_PLAN_PERIODS = 2.0  # after a proxy has joined
DECAY = 0.7  # of what was known of a proxy's traffic and rows, a report later


@dataclass(slots=True)
class ProxyTraffic:
    """What is known of one proxy's reports."""

    group_draw: int  # its group, modulo the number of groups
    arrival_rate: float = 0.0  # requests a second
    rows_cost: float | None = None  # of a full report, in rows
    suspect_until_ms: float = float("-inf")
    request: ReportRequest | None = None


@dataclass(slots=True)
class Turn:
    """The stage in force, and which group's turn it is."""

    stage_index: int = 0
    always_full: set[int] = field(default_factory=set)
    begin_ms: float = 0.0
    length_ms: float = 0.0
    order: list[int] = field(default_factory=list)  # of groups, in this cycle and the next
    position: int = 0

    @property
    def stage(self) -> SamplingStage:
        """The stage in force."""
        return STAGES[self.stage_index]

    @property
    def end_ms(self) -> float:
        """When the next turn begins."""
        return self.begin_ms + self.length_ms


class Sampler:
    """`observe` takes in what proxies reported; `plan` says what has changed of what they have to report."""

    def __init__(self, budget_per_s: float, usual_ms: float, seed: int) -> None:
        self.budget_per_s, self.usual_ms = budget_per_s, usual_ms
        self.random = random.Random(f"{seed} reports")
        self.proxies: dict[int, ProxyTraffic] = {}
        self.turn = Turn()
        self.due_ms = float("inf")

    def add_proxy(self, proxy: int, now_ms: float) -> None:
        """A proxy has joined."""
        self.proxies[proxy] = ProxyTraffic(self.random.randrange(MAX_GROUPS))
        self.due_ms = min(self.due_ms, now_ms + FIRST_PLAN_PERIODS * self.usual_ms)

    def remove_proxy(self, proxy: int) -> None:
        """A proxy has left."""
        self.proxies.pop(proxy, None)

    def observe(self, report: ProxyRow, now_ms: float) -> None:
        """Takes in what one report shows of its proxy."""
        traffic = self.proxies.get(report.proxy)
        if traffic is None or report.window_ms <= 0.0:
            return
        rate = report.arrived * 1000.0 / report.window_ms
        traffic.arrival_rate += (1.0 - DECAY) * (rate - traffic.arrival_rate)
        if report.rows_cost >= 0.0:
            before = traffic.rows_cost
            traffic.rows_cost = (
                report.rows_cost if before is None else before + (1.0 - DECAY) * (report.rows_cost - before)
            )
        if report.failed_share >= SUSPECT_FAILED_SHARE:
            traffic.suspect_until_ms = now_ms + SUSPECT_PERIODS * self.usual_ms

    def plan_soon(self, now_ms: float) -> None:
        """A reader has no budget to spare: where all report in full, plan again in one period, not in eight."""
        if self.turn.stage.groups == 1:
            self.due_ms = min(self.due_ms, now_ms + self.usual_ms)

    def plan(self, now_ms: float) -> list[ReportRequest]:
        """What has changed of what proxies have to report; to be called again at `due_ms`."""
        turn = self.turn
        if now_ms >= turn.end_ms or turn.stage.groups == 1:
            self._begin_turn(now_ms)
        lead_ms = LEAD_PERIODS * self.usual_ms * turn.stage.period_factor
        if turn.stage.groups == 1:
            self.due_ms = now_ms + TURN_PERIODS * self.usual_ms
        else:
            self.due_ms = turn.end_ms - lead_ms if now_ms < turn.end_ms - lead_ms else turn.end_ms
        changed = []
        for proxy, traffic in sorted(self.proxies.items()):
            request = self._request(proxy, traffic, now_ms)
            if traffic.request != request:
                traffic.request = request
                changed.append(request)
        return changed

    def cost_per_s(self, stage: SamplingStage, always_full: set[int]) -> float:
        """Rows a second that a stage is expected to cost."""
        known = [traffic.rows_cost for traffic in self.proxies.values() if traffic.rows_cost is not None]
        mean = sum(known) / len(known) if known else 0.0
        lead = 1.0 + LEAD_PERIODS / TURN_PERIODS if stage.groups > 1 else 1.0
        cost = 0.0
        for proxy, traffic in self.proxies.items():
            rows = mean if traffic.rows_cost is None else traffic.rows_cost
            if proxy in always_full:
                cost += MESSAGE_COST + rows
            else:
                cost += (MESSAGE_COST + rows * min(1.0, lead / stage.groups)) / stage.period_factor
        return cost * 1000.0 / self.usual_ms

    def _always_full(self, now_ms: float) -> set[int]:
        """The proxies with most traffic and the suspects, each within their share of all proxies."""
        most = max(1, int(ALWAYS_FULL_SHARE * len(self.proxies)))
        ranked = sorted(self.proxies, key=lambda proxy: (-self.proxies[proxy].arrival_rate, proxy))
        total, so_far = sum(traffic.arrival_rate for traffic in self.proxies.values()), 0.0
        heavy: set[int] = set()
        for proxy in ranked[:most]:
            if so_far >= HEAVY_TRAFFIC_SHARE * total:
                break
            heavy.add(proxy)
            so_far += self.proxies[proxy].arrival_rate
        suspects = [proxy for proxy in ranked if self.proxies[proxy].suspect_until_ms > now_ms and proxy not in heavy]
        return heavy | set(suspects[:most])

    def _begin_turn(self, now_ms: float) -> None:
        """Chooses the stage, and the group whose turn it is."""
        turn = self.turn
        always_full = self._always_full(now_ms)
        stage_index = self._choose_stage(always_full)
        is_changed = stage_index != turn.stage_index
        turn.stage_index, turn.always_full = stage_index, always_full
        turn.length_ms = TURN_PERIODS * self.usual_ms * turn.stage.period_factor
        turn.begin_ms = now_ms
        turn.position += 1
        if is_changed:
            turn.order, turn.position = [], 0
        groups = turn.stage.groups
        if turn.position >= groups:
            turn.order, turn.position = turn.order[groups:], turn.position - groups
        while len(turn.order) < 2 * groups:  # the next cycle too: its first group is notified before it
            cycle = list(range(groups))
            self.random.shuffle(cycle)
            turn.order += cycle

    def _choose_stage(self, always_full: set[int]) -> int:
        """The least sparing stage that fits; easing goes one stage at a time, and only where it is sure to fit."""
        current = self.turn.stage_index
        fitting = len(STAGES) - 1
        for index, stage in enumerate(STAGES):
            if self.cost_per_s(stage, always_full) <= MAX_BUDGET_SHARE * self.budget_per_s:
                fitting = index
                break
        if fitting >= current:
            return fitting
        eased_cost = self.cost_per_s(STAGES[current - 1], always_full)
        return current - 1 if eased_cost <= EASING_BUDGET_SHARE * self.budget_per_s else current

    def _request(self, proxy: int, traffic: ProxyTraffic, now_ms: float) -> ReportRequest:
        """What one proxy has to report now."""
        turn = self.turn
        groups, period_factor = turn.stage
        if groups == 1 and period_factor == 1 or proxy in turn.always_full:
            return ReportRequest(proxy, self.usual_ms, True, 1.0, float("-inf"), float("inf"))
        period_ms = self.usual_ms * period_factor
        if groups == 1:
            return ReportRequest(proxy, period_ms, True, 1.0, float("-inf"), float("inf"))
        group = traffic.group_draw % groups
        if group == turn.order[turn.position]:
            return ReportRequest(proxy, period_ms, True, float(groups), turn.begin_ms, turn.end_ms)
        is_next = group == turn.order[turn.position + 1]
        if is_next and now_ms >= turn.end_ms - LEAD_PERIODS * period_ms:
            # Notified before its turn, counted from its turn on.
            return ReportRequest(proxy, period_ms, True, float(groups), turn.end_ms, turn.end_ms + turn.length_ms)
        return ReportRequest(proxy, period_ms, False, float(groups), 0.0, 0.0)
