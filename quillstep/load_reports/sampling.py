"""Sampling of load reports: which proxies report in full, and how often, within a budget.

Performs no I/O and reads no clock.  Proxies with the most traffic and suspected outliers always report in full, at the
fleet's report interval.  The others are divided into groups that report in full in turn, each once per cycle, in an
order shuffled for every cycle from the seed.  A full report then represents as many proxies as there are groups, the
inverse of its sampling probability, so that the estimated totals are unbiased (Horvitz and Thompson, "A generalization
of sampling without replacement", 1952).  If that still exceeds the budget, these proxies report less often.
"""

import random
from dataclasses import dataclass, field
from typing import NamedTuple

from quillstep.load_reports.aggregator import MESSAGE_COST
from quillstep.load_reports.messages import ReportRequest
from quillstep.load_reports.summary import ProxyRow


class SamplingStage(NamedTuple):
    """The number of groups and the report period that one sampling stage uses."""

    groups: int
    period_factor: int  # report period, in fleet report intervals


# From the most detailed to the cheapest.
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
MAX_BUDGET_SHARE = 0.8  # share of the budget that a stage may use
EASING_BUDGET_SHARE = 0.6  # lower limit under which a more detailed stage is restored; prevents flapping
HEAVY_TRAFFIC_SHARE = 0.5  # proxies with the most traffic always report in full, up to this share of it
ALWAYS_FULL_SHARE = 0.125  # limit, as a share of all proxies, for each: those with the most traffic, suspects
TURN_PERIODS = 8.0  # length of a group's turn, in report periods of its proxies
LEAD_PERIODS = 1.5  # a group is notified this early, so that all reports of its turn are full
SUSPECT_FAILED_SHARE = 0.5  # share of failed attempts from which a proxy is a suspect
SUSPECT_PERIODS = 10.0  # how long a proxy remains a suspect
FIRST_PLAN_PERIODS = 2.0  # delay of the first plan after a proxy has joined
ESTIMATE_DECAY = 0.7  # weight that the estimates of a proxy's traffic and row cost retain at each report


@dataclass(slots=True)
class ProxyTraffic:
    """Traffic and cost estimates of one proxy, and its current report request."""

    group_draw: int  # the group is this modulo the number of groups
    arrival_rate: float = 0.0  # requests per second
    rows_cost: float | None = None  # cost of the rows of a full report, in rows; None until one was read
    suspect_until_ms: float = float("-inf")
    request: ReportRequest | None = None


@dataclass(slots=True)
class Turn:
    """The current stage, and the group that reports in full."""

    stage_index: int = 0
    always_full: set[int] = field(default_factory=set)
    begin_ms: float = 0.0
    length_ms: float = 0.0
    order: list[int] = field(default_factory=list)  # groups in the order of their turns, for this cycle and the next
    position: int = 0

    @property
    def stage(self) -> SamplingStage:
        """The current stage."""
        return STAGES[self.stage_index]

    @property
    def end_ms(self) -> float:
        """The end of this turn, at which the next one begins."""
        return self.begin_ms + self.length_ms


class Sampler:
    """Observes the proxies' reports and plans how they are to report.

    Attributes:
        budget_per_s: The budget of all readers, in rows per second.
        default_period_ms: The fleet's report interval.
        due_ms: When `plan` is to be called next.
    """

    def __init__(self, budget_per_s: float, default_period_ms: float, seed: int) -> None:
        self.budget_per_s, self.default_period_ms = budget_per_s, default_period_ms
        self.random = random.Random(f"{seed} reports")
        self.proxies: dict[int, ProxyTraffic] = {}
        self.turn = Turn()
        self.due_ms = float("inf")

    def add_proxy(self, proxy: int, now_ms: float) -> None:
        """Handles a proxy that has joined; it gets a random group."""
        self.proxies[proxy] = ProxyTraffic(self.random.randrange(MAX_GROUPS))
        self.due_ms = min(self.due_ms, now_ms + FIRST_PLAN_PERIODS * self.default_period_ms)

    def remove_proxy(self, proxy: int) -> None:
        """Handles a proxy that has left."""
        self.proxies.pop(proxy, None)

    def observe(self, report: ProxyRow, now_ms: float) -> None:
        """Updates the estimates of a proxy from one of its reports."""
        traffic = self.proxies.get(report.proxy)
        if traffic is None or report.window_ms <= 0.0:
            return
        rate = report.arrived * 1000.0 / report.window_ms
        traffic.arrival_rate += (1.0 - ESTIMATE_DECAY) * (rate - traffic.arrival_rate)
        if report.rows_cost >= 0.0:
            previous = traffic.rows_cost
            traffic.rows_cost = (
                report.rows_cost
                if previous is None
                else previous + (1.0 - ESTIMATE_DECAY) * (report.rows_cost - previous)
            )
        if report.failed_share >= SUSPECT_FAILED_SHARE:
            traffic.suspect_until_ms = now_ms + SUSPECT_PERIODS * self.default_period_ms

    def plan_soon(self, now_ms: float) -> None:
        """Brings the next plan forward when a reader has no budget to spare.

        While all proxies report in full, the next plan is then due after one report interval instead of eight.
        """
        if self.turn.stage.groups == 1:
            self.due_ms = min(self.due_ms, now_ms + self.default_period_ms)

    def plan(self, now_ms: float) -> list[ReportRequest]:
        """Returns the report requests that have changed; sets `due_ms` to the time of the next call."""
        turn = self.turn
        if now_ms >= turn.end_ms or turn.stage.groups == 1:
            self._begin_turn(now_ms)
        lead_ms = LEAD_PERIODS * self.default_period_ms * turn.stage.period_factor
        if turn.stage.groups == 1:
            self.due_ms = now_ms + TURN_PERIODS * self.default_period_ms
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
        """Returns the expected cost of a stage, in rows per second."""
        known_costs = [traffic.rows_cost for traffic in self.proxies.values() if traffic.rows_cost is not None]
        mean_cost = sum(known_costs) / len(known_costs) if known_costs else 0.0
        lead_factor = 1.0 + LEAD_PERIODS / TURN_PERIODS if stage.groups > 1 else 1.0
        cost = 0.0
        for proxy, traffic in self.proxies.items():
            rows_cost = mean_cost if traffic.rows_cost is None else traffic.rows_cost
            if proxy in always_full:
                cost += MESSAGE_COST + rows_cost
            else:
                cost += (MESSAGE_COST + rows_cost * min(1.0, lead_factor / stage.groups)) / stage.period_factor
        return cost * 1000.0 / self.default_period_ms

    def _always_full(self, now_ms: float) -> set[int]:
        """Returns the proxies with the most traffic and the suspects, each at most `ALWAYS_FULL_SHARE` of all."""
        max_count = max(1, int(ALWAYS_FULL_SHARE * len(self.proxies)))
        ranked = sorted(self.proxies, key=lambda proxy: (-self.proxies[proxy].arrival_rate, proxy))
        total, cumulative = sum(traffic.arrival_rate for traffic in self.proxies.values()), 0.0
        heavy: set[int] = set()
        for proxy in ranked[:max_count]:
            if cumulative >= HEAVY_TRAFFIC_SHARE * total:
                break
            heavy.add(proxy)
            cumulative += self.proxies[proxy].arrival_rate
        suspects = [proxy for proxy in ranked if self.proxies[proxy].suspect_until_ms > now_ms and proxy not in heavy]
        return heavy | set(suspects[:max_count])

    def _begin_turn(self, now_ms: float) -> None:
        """Chooses the stage and begins the next group's turn; a change of stage starts a new cycle."""
        turn = self.turn
        always_full = self._always_full(now_ms)
        stage_index = self._choose_stage(always_full)
        is_changed = stage_index != turn.stage_index
        turn.stage_index, turn.always_full = stage_index, always_full
        turn.length_ms = TURN_PERIODS * self.default_period_ms * turn.stage.period_factor
        turn.begin_ms = now_ms
        turn.position += 1
        if is_changed:
            turn.order, turn.position = [], 0
        groups = turn.stage.groups
        if turn.position >= groups:
            turn.order, turn.position = turn.order[groups:], turn.position - groups
        while len(turn.order) < 2 * groups:  # includes the next cycle, whose first group is notified before it begins
            cycle = list(range(groups))
            self.random.shuffle(cycle)
            turn.order += cycle

    def _choose_stage(self, always_full: set[int]) -> int:
        """Returns the index of the most detailed stage that fits the budget.

        A more detailed stage than the current one is restored one step at a time, and only within
        `EASING_BUDGET_SHARE`.
        """
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
        """Returns how one proxy is to report now."""
        turn = self.turn
        groups, period_factor = turn.stage
        if groups == 1 and period_factor == 1 or proxy in turn.always_full:
            return ReportRequest(proxy, self.default_period_ms, True, 1.0, float("-inf"), float("inf"))
        period_ms = self.default_period_ms * period_factor
        if groups == 1:
            return ReportRequest(proxy, period_ms, True, 1.0, float("-inf"), float("inf"))
        group = traffic.group_draw % groups
        if group == turn.order[turn.position]:
            return ReportRequest(proxy, period_ms, True, float(groups), turn.begin_ms, turn.end_ms)
        is_next = group == turn.order[turn.position + 1]
        if is_next and now_ms >= turn.end_ms - LEAD_PERIODS * period_ms:
            # Notified before its turn; its rows count from the start of the turn.
            return ReportRequest(proxy, period_ms, True, float(groups), turn.end_ms, turn.end_ms + turn.length_ms)
        return ReportRequest(proxy, period_ms, False, float(groups), 0.0, 0.0)
