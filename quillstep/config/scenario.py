"""Settings of a scripted scenario on the testbed."""

from typing import Annotated, Literal

from pydantic import Field

from quillstep.config.base import Count, NonNegative, Positive, PositiveCount, Settings, Share, in_file
from quillstep.config.controller import (
    FileSettings,
    LimitSettings,
    LoadReportSettings,
    RolloutGateSettings,
    StoreSettings,
)
from quillstep.config.fleet import FleetSettings


class EndpointKindSettings(Settings):
    """So many endpoints of one kind in every zone."""

    each_zone: PositiveCount
    cores: PositiveCount = 2
    speed: Positive = 1.0
    listed: NonNegative = 1.0
    max_connections: Annotated[PositiveCount, in_file("connections_most")] = 200
    max_queue: Annotated[PositiveCount, in_file("waiting_most")] = 200
    connect_work_ms: NonNegative = 2.0
    probe_work_ms: NonNegative = 2.0


class PhaseSettings(Settings):
    """From `at_s` on, for `for_s`, traffic is `times` the usual."""

    at_s: NonNegative
    for_s: Positive
    times: NonNegative


class FaultSettings(Settings):
    """One fault to inject: what, when, and into how much of what."""

    at_s: NonNegative
    for_s: Positive = 5.0
    what: Literal[
        "stall", "slow", "fail", "silent", "die", "drain", "lose_answers", "zone_loss", "join",
        "proxy_stall", "proxy_refuses", "proxy_reads_nothing", "pilot_kill", "pilot_stall", "proxy_moves",
        "proxy_cut", "proxy_slow_lines", "proxy_late_words", "proxy_loses", "tighten",
        "reports_late", "reports_heavy", "reports_cut",
    ]  # fmt: skip
    zone: str = ""
    count: PositiveCount = 1
    # Of `slow`; `reports_late`, `proxy_late_words`: seconds; `proxy_slow_lines`: ms a line; `proxy_loses`: responses;
    # the share of responses lost or failed is 1 - 1 / factor.
    factor: Positive = 4.0
    # The class that `tighten` makes unsafe: controllers restart with it so, endpoints follow.
    class_name: Annotated[str, in_file("kind")] = ""


class ScenarioSettings(Settings):
    """A scripted scenario: `quillstep scenario FILE`."""

    name: Annotated[str, Field(min_length=1)]
    seed: int = 1
    seconds: Positive
    warm_up_s: NonNegative = 3.0  # before the first request: streams join, tables arrive
    fleet: FleetSettings
    limits: LimitSettings = LimitSettings()
    reports: LoadReportSettings = LoadReportSettings()
    endpoints: Annotated[list[EndpointKindSettings], Field(min_length=1)]
    reserves: Count = 0  # endpoints per zone of the first kind that only `join` starts
    proxies: PositiveCount
    proxy_processes: PositiveCount = 2
    sotw_proxies: Share = 0.0  # the share that speaks state of the world
    file_proxies: Share = 0.0  # the share that follows files
    files: FileSettings = FileSettings()
    capture: bool = False  # controllers record their events, below the scenario's folder
    # Controllers write down what passes on their sockets; without it nothing can be judged or traced.
    record: bool = True
    gate: RolloutGateSettings = RolloutGateSettings()
    store: StoreSettings = StoreSettings()  # of each controller; its folder is a name below the scenario's folder
    spans: Share = 0.0  # the share of control intervals and requests that spans are written of
    controllers: Annotated[PositiveCount, in_file("pilots")] = 2
    requests_per_s: Annotated[Positive, in_file("exchanges_per_s")]
    callers_skew: NonNegative = 1.0  # how unevenly traffic comes to the proxies; 0: evenly
    keys: PositiveCount = 500
    discovery_delay_ms: Annotated[NonNegative, in_file("roster_late_ms")] = 700.0
    phases: list[PhaseSettings] = []
    faults: Annotated[list[FaultSettings], in_file("troubles")] = []
    baselines: list[Literal["standing", "even", "listed"]] = ["standing", "even", "listed"]
