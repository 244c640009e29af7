"""Accuracy of sampled load reports: compares estimated with true attempts, in virtual time, from a seed."""

import math
import random
from typing import Any

from quillstep.config.controller import LoadReportSettings
from quillstep.config.fleet import ClassSettings, FleetSettings
from quillstep.load_reports.aggregator import MESSAGE_COST, ReportAggregator
from quillstep.load_reports.sampling import STAGES, Sampler
from quillstep.load_reports.upstream_stats import ClassArrivals, EndpointRow
from quillstep.load_reports.validation import LoadReport, ReportAccount

DEFAULT_PERIOD_MS = 1000.0
ATTEMPTS_PER_S = 2.0  # Attempts of a proxy of mean size at one endpoint.
MIN_PROXY_SIZE = 0.05  # Lower bound of the traffic of a proxy, as a share of the mean one.
ATTEMPT_MS = 20.0
UNLIMITED_ROWS_PER_S = 1e12
REQUEST_CLASS = ClassSettings(
    name="one", latency_objective_ms=400.0, deadline_ms=1200.0, priority_weight=1.0, semantics="safe", work_ms=20.0
)


def measure_sampling(proxies: int, endpoints: int, rows_per_s: float, seconds: float, seed: int) -> dict[str, Any]:
    """Simulates sampled reports from proxies with uneven traffic and compares the estimates with the true counts.

    Args:
        proxies: The number of proxies.
        endpoints: The number of endpoints.
        rows_per_s: The limit of report rows per second; the lower, the sparser the samples.
        seconds: The length of the trial in virtual time.
        seed: The seed of the traffic.

    Returns:
        `bias` is the mean of all relative errors, `error_rms` their root mean square, and `stated_rms` the
        error expected from sampling alone: sqrt((groups - 1) x sum of squares over the sampled proxies) / total.
    """
    trial = _SamplingTrial(proxies, endpoints, rows_per_s, seed)
    for second in range(int(seconds)):
        trial.run_second(second)
    return trial.result()


class _SamplingTrial:
    """Simulated proxies, the controller's aggregator and its sampler."""

    def __init__(self, proxies: int, endpoints: int, rows_per_s: float, seed: int) -> None:
        self.random = random.Random(seed)
        self.sampler = Sampler(rows_per_s, DEFAULT_PERIOD_MS, seed)
        self.aggregator = ReportAggregator(
            LoadReportSettings(rows_per_s=UNLIMITED_ROWS_PER_S), FleetSettings(zones=["a"], classes=[REQUEST_CLASS])
        )
        self.endpoints = range(endpoints)
        self.proxies = range(proxies)
        self.sizes = [self.random.expovariate(1.0) + MIN_PROXY_SIZE for _ in self.proxies]
        for proxy in self.proxies:
            account = ReportAccount(proxy, "a", "", DEFAULT_PERIOD_MS, DEFAULT_PERIOD_MS)
            self.aggregator.add_proxy(account, str(proxy))
            self.sampler.add_proxy(proxy, 0.0)
        self.due_ms = [DEFAULT_PERIOD_MS * self.random.random() for _ in self.proxies]
        self.attempts = [[0] * endpoints for _ in self.proxies]  # Not reported yet.
        self.begin_ms = 0.0  # Start of the comparison; 0 while every proxy reports in full.
        self.errors: list[float] = []
        self.stated: list[float] = []

    def run_second(self, second: int) -> None:
        """Runs one second: traffic, reports that are due, the comparison, new requests to proxies."""
        now_ms = (second + 1) * DEFAULT_PERIOD_MS
        self._add_traffic()
        true_attempts = self._send_reports(second, now_ms)
        summary = self.aggregator.drain(now_ms)
        for row in summary.proxies:
            self.sampler.observe(row, now_ms)
        turn = self.sampler.turn
        if turn.stage.groups > 1 and not self.begin_ms:
            # From the second turn on: in the first one proxies have not been notified yet.
            self.begin_ms = now_ms + turn.length_ms
        if self.begin_ms and now_ms >= self.begin_ms:
            estimates = {row.endpoint: row.succeeded for row in summary.upstream}
            self._compare(true_attempts, estimates)
        if now_ms >= self.sampler.due_ms:
            for request in self.sampler.plan(now_ms):
                self.aggregator.set_request(request)

    def result(self) -> dict[str, Any]:
        """Returns the errors of all comparisons so far."""
        turn = self.sampler.turn
        full_cost = self.sampler.cost_per_s(STAGES[0], set())
        samples = len(self.errors)
        mean_square = sum(error * error for error in self.errors) / max(1, samples)
        return {
            "groups": turn.stage.groups,
            "times": turn.stage.period_factor,
            "samples": samples,
            "bias": round(sum(self.errors) / max(1, samples), 4),
            "error_rms": round(math.sqrt(mean_square), 4),
            "stated_rms": round(sum(self.stated) / max(1, len(self.stated)), 4),
            "work_of_full": round(self.sampler.cost_per_s(turn.stage, turn.always_full) / full_cost, 3),
        }

    def _add_traffic(self) -> None:
        for proxy in self.proxies:
            for endpoint in self.endpoints:
                self.attempts[proxy][endpoint] += draw_poisson(self.random, ATTEMPTS_PER_S * self.sizes[proxy])

    def _send_reports(self, second: int, now_ms: float) -> list[int]:
        """Sends the reports that are due; returns the true attempts of their windows by endpoint."""
        true_attempts = [0 for _ in self.endpoints]
        for proxy in self.proxies:
            account = self.aggregator.accounts[str(proxy)]
            if self.due_ms[proxy] > now_ms:
                continue
            self.due_ms[proxy] += account.period_ms
            counts = self.attempts[proxy]
            self.attempts[proxy] = [0 for _ in self.endpoints]
            true_attempts = [total + count for total, count in zip(true_attempts, counts, strict=True)]
            arrivals = [ClassArrivals(0, sum(counts), 0)]
            report = LoadReport(second, now_ms, now_ms, account.period_ms, second, arrivals)
            if account.is_full:
                report.rows = [
                    EndpointRow(endpoint, count, 0, ATTEMPT_MS * count, 0.5) for endpoint, count in enumerate(counts)
                ]
            self.aggregator.add_report(str(proxy), report, now_ms, now_ms, MESSAGE_COST + len(report.rows))
        return true_attempts

    def _compare(self, true_attempts: list[int], estimates: dict[int, float]) -> None:
        for endpoint, count in enumerate(true_attempts):
            if count:
                self.errors.append(estimates.get(endpoint, 0.0) / count - 1.0)
        self.stated.append(self._stated_error())

    def _stated_error(self) -> float:
        """Returns the relative error for one endpoint that is expected from sampling alone."""
        turn = self.sampler.turn
        factor = turn.stage.period_factor
        sampled = [
            ATTEMPTS_PER_S * self.sizes[proxy] * factor for proxy in self.proxies if proxy not in turn.always_full
        ]
        variance = (turn.stage.groups - 1) * sum(mean * mean + mean for mean in sampled) / factor
        full = ATTEMPTS_PER_S * sum(self.sizes[proxy] for proxy in turn.always_full)
        return math.sqrt(variance) / (full + sum(sampled) / factor)


def draw_poisson(generator: random.Random, mean: float) -> int:
    """Draws from a Poisson distribution by multiplying uniform draws (Knuth); the time grows with the mean."""
    limit, count, product = math.exp(-mean), 0, generator.random()
    while product > limit:
        count += 1
        product *= generator.random()
    return count
