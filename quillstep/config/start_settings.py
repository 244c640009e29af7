"""The settings of a start, flat (`lanes.0.aim`, `lanes.count`, lists joined by commas), in the module's words.

Both ways in give them so: the adapter reads them from a line, a live pilot from its configuration file.
"""

from collections.abc import Callable

from quillstep.planner.messages import ClassFacts, StartFacts


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


def start_facts(found: dict[str, str]) -> tuple[StartFacts, list[str]]:
    """The settings of a `start` in our words, and the wire's names of the classes by their places."""
    places = range(whole(found, "lanes.count"))
    home_only = found.get("specifics.homeOnly", "").split(",")
    classes = []
    for place in places:
        lane = f"lanes.{place}."
        classes.append(
            ClassFacts(
                agreed_ms=ms(found, lane + "aim"),
                credit=number(found, lane + "worth"),
                semantics=found.get(lane + "semantics", "unsafe"),
                scope=found.get(lane + "keyScope", ""),
                window_ms=ms(found, lane + "repeatWindow"),
                home_only=place < len(home_only) and home_only[place] in ("1", "true"),
            )
        )
    facts = StartFacts(
        classes=classes,
        zones=[zone for zone in found.get("zones", "").split(",") if zone],
        slices=whole(found, "specifics.slices"),
        list_on_request=found.get("discovery") == "on_request",
        may_probe=yes(found, "allowed.probing"),
        load_by_probe=found.get("stats.how") == "probe",
        admission=found.get("specifics.admission", "none"),
        base_mode=whole(found, "specifics.baseMode"),
        try_factor=number(found, "specifics.tryFactor"),
        ejects=whole(found, "specifics.ejects"),
        standing=whole(found, "specifics.standing"),
        report_every_ms=ms(found, "specifics.reportEvery"),
        channel_rate=number(found, "specifics.channelRate"),
        lines_per_message=number(found, "specifics.perMessage"),
        lines_waiting_most=number(found, "specifics.mostWaiting"),
        messages_most=whole(found, "specifics.pushesAllowed"),
        messages_over_ms=ms(found, "specifics.messagesOver"),
        order_late_most_ms=ms(found, "specifics.lateMost"),
        drain_grace_ms=ms(found, "rules.stopSendingWithin"),
        start_capacity=number(found, "rules.startCapacity"),
        warm_after_ms=ms(found, "rules.warmAfter"),
        fall_multiple=number(found, "rules.fallMultiple"),
    )
    return facts, [found.get(f"lanes.{place}.name", "") for place in places]
