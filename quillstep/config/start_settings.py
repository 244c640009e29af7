"""The settings of a start, flat (`lanes.0.aim`, `lanes.count`, lists joined by commas), in the module's words.

Both ways in give them so: the adapter reads them from a line, a live pilot from its configuration file.
"""

from collections.abc import Callable

from quillstep.planner.messages import ClassConfig, PlannerConfig


def number(found: dict[str, str], key: str, absent: float = 0.0, to: Callable = float) -> float:
    """A field as a number; `absent` where it was left out."""
    text = found.get(key)
    if text is None or text == "":
        return absent
    try:
        value = to(text)
    except ValueError:
        raise ValueError(f"{key}={text!r} is not a number") from None
    if value != value or value in (float("inf"), float("-inf")):
        raise ValueError(f"{key}={text!r} is not a finite number")
    return value


def whole(found: dict[str, str], key: str, absent: int = 0) -> int:
    return int(number(found, key, absent, int))


def ms(found: dict[str, str], key: str) -> float:
    """A time in microseconds, with fractions where a settings file has them."""
    return number(found, key) / 1000.0


def yes(found: dict[str, str], key: str) -> bool:
    return found.get(key, "") in ("1", "true")


def planner_config_of_start(found: dict[str, str]) -> tuple[PlannerConfig, list[str]]:
    """The settings of a `start` in our words, and the wire's names of the classes by their places."""
    places = range(whole(found, "lanes.count"))
    home_zone_only = found.get("specifics.homeOnly", "").split(",")
    classes = []
    for place in places:
        lane = f"lanes.{place}."
        classes.append(
            ClassConfig(
                latency_objective_ms=ms(found, lane + "aim"),
                priority_weight=number(found, lane + "worth"),
                semantics=found.get(lane + "semantics", "unsafe"),
                idempotency_scope=found.get(lane + "keyScope", ""),
                idempotency_window_ms=ms(found, lane + "repeatWindow"),
                home_zone_only=place < len(home_zone_only) and home_zone_only[place] in ("1", "true"),
            )
        )
    facts = PlannerConfig(
        classes=classes,
        zones=[zone for zone in found.get("zones", "").split(",") if zone],
        slices=whole(found, "specifics.slices"),
        watches_on_request=found.get("discovery") == "on_request",
        health_checks_allowed=yes(found, "allowed.probing"),
        load_from_health_checks=found.get("stats.how") == "probe",
        admission=found.get("specifics.admission", "none"),
        default_retry_policy=whole(found, "specifics.baseMode"),
        attempt_timeout_factor=number(found, "specifics.tryFactor"),
        local_ejection_failures=whole(found, "specifics.ejects"),
        initial_table_size=whole(found, "specifics.standing"),
        report_interval_ms=ms(found, "specifics.reportEvery"),
        channel_lines_per_s=number(found, "specifics.channelRate"),
        lines_per_message=number(found, "specifics.perMessage"),
        max_queued_lines=number(found, "specifics.mostWaiting"),
        max_messages=whole(found, "specifics.pushesAllowed"),
        message_window_ms=ms(found, "specifics.messagesOver"),
        max_update_delay_ms=ms(found, "specifics.lateMost"),
        drain_grace_ms=ms(found, "rules.stopSendingWithin"),
        initial_capacity=number(found, "rules.startCapacity"),
        warm_up_ms=ms(found, "rules.warmAfter"),
        overload_multiple=number(found, "rules.fallMultiple"),
    )
    return facts, [found.get(f"lanes.{place}.name", "") for place in places]
