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
    """A group of identical endpoints, `each_zone` of them in every zone."""

    each_zone: PositiveCount
    cores: PositiveCount = 2
    speed: Positive = 1.0
    listed: NonNegative = 1.0
    max_connections: Annotated[PositiveCount, in_file("connections_most")] = 200
    max_queue: Annotated[PositiveCount, in_file("waiting_most")] = 200
    connect_work_ms: NonNegative = 2.0
    probe_work_ms: NonNegative = 2.0


class PhaseSettings(Settings):
    """A phase of changed traffic: from `at_s` on, for `for_s`, the request rate is multiplied by `times`."""

    at_s: NonNegative
    for_s: Positive
    times: NonNegative


class FaultSettings(Settings):
    """One fault to inject: its kind, its time and the number of its targets."""

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
    # Strength of the fault: for `slow` a factor; for `reports_late` and `proxy_late_words` seconds; for
    # `proxy_slow_lines` ms per line; for `proxy_loses` a number of responses.  Where a share of responses is lost or
    # failed, it is 1 - 1 / factor.
    factor: Positive = 4.0
    # The class that `tighten` makes unsafe: controllers restart with the changed class, then endpoints follow.
    class_name: Annotated[str, in_file("kind")] = ""


class ScenarioSettings(Settings):
    """A scripted scenario: `quillstep scenario FILE`."""

    name: Annotated[str, Field(min_length=1)]
    seed: int = 1
    seconds: Positive
    warm_up_s: NonNegative = 3.0  # time before the first request, in which proxies connect and receive tables
    fleet: FleetSettings
    limits: LimitSettings = LimitSettings()
    reports: LoadReportSettings = LoadReportSettings()
    endpoints: Annotated[list[EndpointKindSettings], Field(min_length=1)]
    reserves: Count = 0  # endpoints of the first kind per zone that are started only by `join`
    proxies: PositiveCount
    proxy_processes: PositiveCount = 2
    sotw_proxies: Share = 0.0  # share of proxies that use state-of-the-world xDS
    file_proxies: Share = 0.0  # share of proxies that follow files
    files: FileSettings = FileSettings()
    capture: bool = False  # whether controllers record their events, below the scenario's folder
    # Whether controllers write a socket record; without it the rules cannot be checked and no request traced.
    record: bool = True
    gate: RolloutGateSettings = RolloutGateSettings()
    # The store of each controller; its `folder` is a name below the scenario's folder.
    store: StoreSettings = StoreSettings()
    spans: Share = 0.0  # share of control intervals and of requests that are sampled
    controllers: Annotated[PositiveCount, in_file("pilots")] = 2
    requests_per_s: Annotated[Positive, in_file("exchanges_per_s")]
    callers_skew: NonNegative = 1.0  # skew of the traffic between proxies; 0 means even
    keys: PositiveCount = 500
    discovery_delay_ms: Annotated[NonNegative, in_file("roster_late_ms")] = 700.0
    phases: list[PhaseSettings] = []
    faults: Annotated[list[FaultSettings], in_file("troubles")] = []
    baselines: list[Literal["standing", "even", "listed"]] = ["standing", "even", "listed"]
