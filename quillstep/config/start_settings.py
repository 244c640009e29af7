"""Builds the planner's configuration from flat fields (`lanes.0.aim`, `lanes.count`, lists joined by commas).

The simulator's adapter receives the fields in its start message, the platform's controller reads them from its
configuration file.  The quoted names below are those of the protocol, beside the names used in the code.
"""

from quillstep.errors import QuillstepError
from quillstep.planner.messages import ClassConfig, PlannerConfig

Fields = dict[str, str]

MAX_NUMBER = 1e18  # products and sums of numbers up to this stay finite
MAX_INTEGER = 2**64  # seeds have up to 64 bits
MAX_CLASSES = 4096
MAX_SHOWN_CHARACTERS = 60  # of a value in an error message


class InvalidFieldError(QuillstepError, ValueError):
    """A field has an invalid value; the message names the field and the value."""


def read_number(fields: Fields, key: str, absent: float = 0.0) -> float:
    """Returns a field as a number.

    Args:
        fields: Values by name.
        key: The field's name.
        absent: Returned where the field is absent or empty.

    Raises:
        InvalidFieldError: The value is not a finite number, or its magnitude exceeds `MAX_NUMBER`.
    """
    text = fields.get(key)
    if text is None or text == "":
        return absent
    try:
        value = float(text)
    except ValueError as error:
        raise InvalidFieldError(f"{key}={text!r} is not a number") from error
    if value != value or value in (float("inf"), float("-inf")):
        raise InvalidFieldError(f"{key}={text!r} is not a finite number")
    if abs(value) > MAX_NUMBER:
        raise InvalidFieldError(f"{key}={_shorten(text)} is out of range")
    return value


def read_integer(fields: Fields, key: str, absent: int = 0) -> int:
    """Returns a field as an integer; `absent` where it is absent or empty.

    Raises:
        InvalidFieldError: The value is not an integer, or its magnitude exceeds `MAX_INTEGER`.
    """
    text = fields.get(key)
    if text is None or text == "":
        return absent
    try:
        value = int(text)
    except ValueError as error:
        raise InvalidFieldError(f"{key}={_shorten(text)} is not a number") from error
    if abs(value) > MAX_INTEGER:
        raise InvalidFieldError(f"{key}={_shorten(text)} is out of range")
    return value


def _shorten(text: str) -> str:
    """Returns a value for an error message, cut to a length at which the line can be read."""
    return repr(text) if len(text) <= MAX_SHOWN_CHARACTERS else f"{text[:MAX_SHOWN_CHARACTERS]!r}..."


def read_milliseconds(fields: Fields, key: str) -> float:
    """Returns a field in microseconds, which may be fractional, as milliseconds; 0 where it is absent or empty.

    Raises:
        InvalidFieldError: The value is not a finite number.
    """
    return read_number(fields, key) / 1000.0


def read_flag(fields: Fields, key: str) -> bool:
    """Whether a field is `1` or `true`; false where it is absent."""
    return fields.get(key, "") in ("1", "true")


def planner_config_from_start(fields: Fields) -> tuple[PlannerConfig, list[str]]:
    """Returns the planner's configuration, and the names of the classes by index.

    Raises:
        InvalidFieldError: A field has an invalid value.
    """
    class_count = read_integer(fields, "lanes.count")
    if class_count > MAX_CLASSES:
        raise InvalidFieldError(f"lanes.count={class_count} is out of range")
    indexes = range(class_count)
    home_zone_only = fields.get("specifics.homeOnly", "").split(",")
    classes = []
    for index in indexes:
        is_home_zone_only = index < len(home_zone_only) and home_zone_only[index] in ("1", "true")
        classes.append(_class_config(fields, f"lanes.{index}.", is_home_zone_only))
    names = [fields.get(f"lanes.{index}.name", "") for index in indexes]
    return _planner_config(fields, classes), names


def _class_config(fields: Fields, prefix: str, is_home_zone_only: bool) -> ClassConfig:
    return ClassConfig(
        latency_objective_ms=read_milliseconds(fields, prefix + "aim"),
        priority_weight=read_number(fields, prefix + "worth"),
        semantics=fields.get(prefix + "semantics", "unsafe"),
        idempotency_scope=fields.get(prefix + "keyScope", ""),
        idempotency_window_ms=read_milliseconds(fields, prefix + "repeatWindow"),
        home_zone_only=is_home_zone_only,
    )


def _planner_config(fields: Fields, classes: list[ClassConfig]) -> PlannerConfig:
    return PlannerConfig(
        classes=classes,
        zones=[zone for zone in fields.get("zones", "").split(",") if zone],
        slices=read_integer(fields, "specifics.slices"),
        watches_on_request=fields.get("discovery") == "on_request",
        health_checks_allowed=read_flag(fields, "allowed.probing"),
        load_from_health_checks=fields.get("stats.how") == "probe",
        admission=fields.get("specifics.admission", "none"),
        default_retry_policy=read_integer(fields, "specifics.baseMode"),
        attempt_timeout_factor=read_number(fields, "specifics.tryFactor"),
        local_ejection_failures=read_integer(fields, "specifics.ejects"),
        initial_table_size=read_integer(fields, "specifics.standing"),
        report_interval_ms=read_milliseconds(fields, "specifics.reportEvery"),
        channel_lines_per_s=read_number(fields, "specifics.channelRate"),
        lines_per_message=read_number(fields, "specifics.perMessage"),
        max_queued_lines=read_number(fields, "specifics.mostWaiting"),
        max_messages=read_integer(fields, "specifics.pushesAllowed"),
        message_window_ms=read_milliseconds(fields, "specifics.messagesOver"),
        max_update_delay_ms=read_milliseconds(fields, "specifics.lateMost"),
        drain_grace_ms=read_milliseconds(fields, "rules.stopSendingWithin"),
        initial_capacity=read_number(fields, "rules.startCapacity"),
        warm_up_ms=read_milliseconds(fields, "rules.warmAfter"),
        overload_multiple=read_number(fields, "rules.fallMultiple"),
    )
