"""What sampling costs in truth: sums by turns beside full ones, in virtual time, from a seed."""

import math
import random
from typing import Any

from quillstep.config.controller import LoadReportSettings
from quillstep.config.fleet import ClassSettings, FleetSettings
from quillstep.load_reports.aggregator import MESSAGE_COST, ReportAggregator
from quillstep.load_reports.sampling import STAGES, Sampler
from quillstep.load_reports.upstream_stats import ClassArrivals, EndpointRow
from quillstep.load_reports.validation import LoadReport, ReportAccount

USUAL_MS = 1000.0
TRIES_A_S = 2.0  # of the mean proxy at the mean endpoint


def sampled(proxies: int, endpoints: int, rows_per_s: float, seconds: float, seed: int) -> dict[str, Any]:
    """Proxies with uneven traffic report as asked; each endpoint's tries of a second as told, over the true ones.

    `bias` is the mean of all errors, `error_rms` their root mean square, `stated_rms` what the inverse of the chance
    alone predicts: sqrt((groups - 1) x sum of squares over the rest) / total.
    """
    chance = random.Random(seed)
    kind = ClassSettings(
        name="one", latency_objective_ms=400.0, deadline_ms=1200.0, priority_weight=1.0, semantics="safe", work_ms=20.0
    )
    aggregator = ReportAggregator(LoadReportSettings(rows_per_s=1e12), FleetSettings(zones=["a"], classes=[kind]))
    sampler = Sampler(rows_per_s, USUAL_MS, seed)
    sizes = [chance.expovariate(1.0) + 0.05 for _ in range(proxies)]
    for proxy in range(proxies):
        aggregator.add_proxy(ReportAccount(proxy, "a", "", USUAL_MS, USUAL_MS), str(proxy))
        sampler.add_proxy(proxy, 0.0)
    errors: list[float] = []
    stated: list[float] = []
    due = [USUAL_MS * chance.random() for _ in range(proxies)]
    held = [[0] * endpoints for _ in range(proxies)]
    begin = 0.0
    for second in range(int(seconds)):
        now = (second + 1) * USUAL_MS
        for proxy in range(proxies):
            for endpoint in range(endpoints):
                held[proxy][endpoint] += poisson(chance, TRIES_A_S * sizes[proxy])
        true = [0] * endpoints
        for proxy in range(proxies):
            account = aggregator.accounts[str(proxy)]
            if due[proxy] > now:
                continue
            due[proxy] += account.period_ms
            rows = [EndpointRow(at, count, 0, 20.0 * count, 0.5) for at, count in enumerate(held[proxy])]
            for endpoint, count in enumerate(held[proxy]):
                true[endpoint] += count
            report = LoadReport(second, now, now, account.period_ms, second, [ClassArrivals(0, sum(held[proxy]), 0)])
            report.rows = rows if account.is_full else []
            aggregator.add_report(str(proxy), report, now, now, MESSAGE_COST + len(report.rows))
            held[proxy] = [0] * endpoints
        summary = aggregator.drain(now)
        for row in summary.proxies:
            sampler.observe(row, now)
        turn, stage = sampler.turn, sampler.turn.stage
        if stage.groups > 1 and not begin:
            begin = (
                now + turn.length_ms
            )  # from the second turn on: of the first the proxies were not notified before it
        if begin and now >= begin:
            by_endpoint = {row.endpoint: row.succeeded for row in summary.upstream}
            errors += [by_endpoint.get(e, 0.0) / each - 1.0 for e, each in enumerate(true) if each]
            rest = [
                TRIES_A_S * sizes[proxy] * stage.period_factor
                for proxy in range(proxies)
                if proxy not in turn.always_full
            ]
            spread = math.sqrt((stage.groups - 1) * sum(each * each + each for each in rest) / stage.period_factor)
            special = TRIES_A_S * sum(sizes[proxy] for proxy in turn.always_full)
            stated.append(spread / (special + sum(rest) / stage.period_factor))
        for each in sampler.plan(now) if now >= sampler.due_ms else ():
            aggregator.set_request(each)
    mean = sum(errors) / max(1, len(errors))
    turn = sampler.turn
    full_cost = sampler.cost_per_s(STAGES[0], set())
    return {
        "groups": turn.stage.groups,
        "times": turn.stage.period_factor,
        "samples": len(errors),
        "bias": round(mean, 4),
        "error_rms": round(math.sqrt(sum(e * e for e in errors) / max(1, len(errors))), 4),
        "stated_rms": round(sum(stated) / max(1, len(stated)), 4),
        "work_of_full": round(sampler.cost_per_s(turn.stage, turn.always_full) / full_cost, 3),
    }


def poisson(chance: random.Random, mean: float) -> int:
    """A draw by products of uniform ones; fit for small means."""
    limit, count, product = math.exp(-mean), 0, chance.random()
    while product > limit:
        count += 1
        product *= chance.random()
    return count
