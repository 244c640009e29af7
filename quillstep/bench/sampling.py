"""What sampling costs in truth: sums by turns beside full ones, in virtual time, from a seed."""

import math
import random
from typing import Any

from quillstep.config.controller import LoadReportSettings
from quillstep.config.fleet import ClassSettings, FleetSettings
from quillstep.load_reports.aggregator import MESSAGE_WORK, ReportAggregator
from quillstep.load_reports.sampling import Sampler
from quillstep.load_reports.upstream_stats import Row
from quillstep.load_reports.validation import ReportAccount, Told

USUAL_MS = 1000.0
TRIES_A_S = 2.0  # of the mean proxy at the mean endpoint


def sampled(proxies: int, endpoints: int, work_per_s: float, seconds: float, seed: int) -> dict[str, Any]:
    """Proxies with uneven traffic report as asked; each endpoint's tries of a second as told, over the true ones.

    `bias` is the mean of all errors, `error_rms` their root mean square, `stated_rms` what the inverse of the chance
    alone predicts: sqrt((groups - 1) x sum of squares over the rest) / total.
    """
    chance = random.Random(seed)
    kind = ClassSettings(
        name="one", latency_objective_ms=400.0, deadline_ms=1200.0, priority_weight=1.0, semantics="safe", work_ms=20.0
    )
    gatherer = ReportAggregator(LoadReportSettings(rows_per_s=1e12), FleetSettings(zones=["a"], classes=[kind]))
    sampler = Sampler(work_per_s, USUAL_MS, seed)
    sizes = [chance.expovariate(1.0) + 0.05 for _ in range(proxies)]
    for proxy in range(proxies):
        gatherer.joined(ReportAccount(proxy, "a", "", USUAL_MS, USUAL_MS), str(proxy))
        sampler.joined(proxy, 0.0)
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
            account = gatherer.accounts[str(proxy)]
            if due[proxy] > now:
                continue
            due[proxy] += account.period_ms
            rows: list[Row] = [(at, count, 0, 20.0 * count, 0.5) for at, count in enumerate(held[proxy])]
            for endpoint, count in enumerate(held[proxy]):
                true[endpoint] += count
            told = Told(second, now, now, account.period_ms, second, [(0, sum(held[proxy]), 0)])
            told.rows = rows if account.full else []
            gatherer.take(str(proxy), told, now, now, MESSAGE_WORK + len(told.rows))
            held[proxy] = [0] * endpoints
        found = gatherer.hand_over(now)
        for proxy, _, _, covers, rows_told, arrived, failing in found["heard"]:
            sampler.heard(proxy, covers, rows_told, arrived, failing, now)
        stage = sampler.stage
        if stage.groups > 1 and not begin:
            begin = now + stage.step_ms  # from the second turn on: the first was not told early
        if begin and now >= begin:
            by_endpoint = {row[1]: row[2] for row in found["sums"]}
            errors += [by_endpoint.get(e, 0.0) / each - 1.0 for e, each in enumerate(true) if each]
            rest = [TRIES_A_S * sizes[proxy] * stage.times for proxy in range(proxies) if proxy not in stage.heavy]
            spread = math.sqrt((stage.groups - 1) * sum(each * each + each for each in rest) / stage.times)
            special = TRIES_A_S * sum(sizes[proxy] for proxy in stage.heavy)
            stated.append(spread / (special + sum(rest) / stage.times))
        for each in sampler.plan(now) if now >= sampler.due_ms else ():
            gatherer.ask(each)
    mean = sum(errors) / max(1, len(errors))
    return {
        "groups": sampler.stage.groups, "times": sampler.stage.times, "samples": len(errors),
        "bias": round(mean, 4), "error_rms": round(math.sqrt(sum(e * e for e in errors) / max(1, len(errors))), 4),
        "stated_rms": round(sum(stated) / max(1, len(stated)), 4),
        "work_of_full": round(
            sampler.cost(sampler.stage.groups, sampler.stage.times, sampler.stage.heavy) / sampler.cost(1, 1, set()), 3
        ),
    }  # fmt: skip


def poisson(chance: random.Random, mean: float) -> int:
    """A draw by products of uniform ones; fit for small means."""
    limit, count, product = math.exp(-mean), 0, chance.random()
    while product > limit:
        count += 1
        product *= chance.random()
    return count
