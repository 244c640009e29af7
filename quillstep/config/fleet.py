"""Settings of a fleet: zones, classes of requests, proxies, the update channel and the limits of the five rules."""

from typing import Annotated, Literal

from pydantic import Field

from quillstep.config.base import Count, NonNegative, Positive, PositiveCount, Settings, Share, in_file


class ClassSettings(Settings):
    """One class of requests."""

    name: Annotated[str, Field(min_length=1)]
    latency_objective_ms: Annotated[Positive, in_file("agreed_ms")]
    deadline_ms: Annotated[Positive, in_file("cut_off_ms")]
    priority_weight: Annotated[Positive, in_file("credit")]
    # The share of the priority weight that a response after the latency objective still earns.
    late_priority_weight: Annotated[Share, in_file("late_credit")] = 0.0
    semantics: Literal["safe", "keyed", "unsafe"]
    idempotency_scope: Annotated[Literal["", "all", "zone"], in_file("scope")] = ""
    idempotency_window_ms: Annotated[NonNegative, in_file("window_ms")] = 0.0
    home_zone_only: Annotated[bool, in_file("home_only")] = False
    work_ms: Positive = 50.0  # processing time of a request on one core of speed 1, in the testbed
    share: Share = 1.0  # share of the traffic


class InvariantSettings(Settings):
    """Limits of the five rules that runs are checked against."""

    no_endpoint_grace_ms: Annotated[Positive, in_file("bare_ms")] = 5000.0
    drain_grace_ms: Positive = 3000.0
    initial_capacity: Annotated[float, Field(gt=0, le=1), in_file("start_capacity")] = 0.2
    warm_up_ms: Annotated[Positive, in_file("warm_after_ms")] = 10000.0
    overload_multiple: Annotated[Positive, in_file("fall_multiple")] = 3.0
    overload_window_ms: Annotated[Positive, in_file("tip_after_ms")] = 1500.0


class ChannelSettings(Settings):
    """A controller's update channel: its rate, its limits per proxy and the size of its queue."""

    lines_per_s: Positive = 3000.0
    lines_per_message: NonNegative = 6.0
    max_queued_lines: Annotated[Positive, in_file("lines_waiting_most")] = 5000.0
    # Messages to one proxy within `message_window_ms`; 0 means no limit.
    max_messages: Annotated[Count, in_file("messages_most")] = 20
    message_window_ms: Annotated[NonNegative, in_file("messages_over_ms")] = 10000.0
    # From the time that an update leaves the channel until a proxy has acknowledged it.
    max_ack_delay_ms: Annotated[NonNegative, in_file("late_most_ms")] = 600.0


class ProxySettings(Settings):
    """Behaviour of the proxies themselves: admission, retries, local ejection, reports and connections."""

    admission: Literal["share", "rate", "none"] = "rate"
    default_retry_policy: Annotated[int, Field(ge=0, le=3), in_file("base_tries")] = 0
    attempt_timeout_factor: Annotated[NonNegative, in_file("try_factor")] = 0.8
    local_ejection_failures: Annotated[Count, in_file("ejects")] = 5
    local_ejection_ms: Annotated[NonNegative, in_file("avoid_ms")] = 4000.0
    initial_table_size: Annotated[PositiveCount, in_file("standing")] = 5
    report_interval_ms: Annotated[Positive, in_file("report_every_ms")] = 1000.0
    reconnect_delay_ms: Annotated[Positive, in_file("dial_ms")] = 300.0
    connect_timeout_ms: Annotated[Positive, in_file("connect_ms")] = 250.0
    keep_alive_ms: Annotated[Positive, in_file("idle_ms")] = 3000.0  # idle time after which a connection is closed
    line_ms: NonNegative = 0.04  # a proxy is blocked this long for each line it applies, in the testbed


class HealthCheckSettings(Settings):
    """Settings of health checks of endpoints."""

    allowed: bool = True
    load_only_here: bool = True  # responses to requests carry no load, health checks do
    timeout_ms: Positive = 800.0
    max_concurrent: Annotated[PositiveCount, in_file("at_once")] = 16


class FleetSettings(Settings):
    """Settings that controllers, proxies and checks of one deployment share."""

    zones: Annotated[list[str], Field(min_length=1)]
    classes: Annotated[list[ClassSettings], Field(min_length=1, max_length=32)]
    rules: InvariantSettings = InvariantSettings()
    channel: ChannelSettings = ChannelSettings()
    proxies: ProxySettings = ProxySettings()
    probes: HealthCheckSettings = HealthCheckSettings()
