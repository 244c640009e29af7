"""Derives the planner's configuration from the settings of a fleet."""

from quillstep.config.fleet import FleetSettings
from quillstep.planner.messages import ClassConfig, PlannerConfig


def planner_config(fleet: FleetSettings) -> PlannerConfig:
    """Returns the planner's configuration for a fleet."""
    rules, channel, proxies = fleet.rules, fleet.channel, fleet.proxies
    classes = [
        ClassConfig(
            latency_objective_ms=row.latency_objective_ms,
            priority_weight=row.priority_weight,
            semantics=row.semantics,
            idempotency_scope=row.idempotency_scope,
            idempotency_window_ms=row.idempotency_window_ms,
            home_zone_only=row.home_zone_only,
        )
        for row in fleet.classes
    ]
    return PlannerConfig(
        classes=classes,
        zones=list(fleet.zones),
        health_checks_allowed=fleet.probes.allowed,
        load_from_health_checks=fleet.probes.load_only_here,
        admission=proxies.admission,
        default_retry_policy=proxies.default_retry_policy,
        attempt_timeout_factor=proxies.attempt_timeout_factor,
        local_ejection_failures=proxies.local_ejection_failures,
        initial_table_size=proxies.initial_table_size,
        report_interval_ms=proxies.report_interval_ms,
        channel_lines_per_s=channel.lines_per_s,
        lines_per_message=channel.lines_per_message,
        max_queued_lines=channel.max_queued_lines,
        max_messages=channel.max_messages,
        message_window_ms=channel.message_window_ms,
        max_update_delay_ms=channel.max_ack_delay_ms,
        drain_grace_ms=rules.drain_grace_ms,
        initial_capacity=rules.initial_capacity,
        warm_up_ms=rules.warm_up_ms,
        overload_multiple=rules.overload_multiple,
    )
