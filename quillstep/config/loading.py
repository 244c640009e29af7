"""Loads settings files into validated records, changes single settings, and checks that values are consistent."""

import json
from pathlib import Path
from typing import Any, TypeVar

from pydantic import ValidationError

from quillstep.config.base import Settings
from quillstep.config.controller import LoadReportSettings
from quillstep.config.cue import Origin, format_value, read
from quillstep.config.errors import ConfigError
from quillstep.config.fleet import ClassSettings, FleetSettings
from quillstep.config.scenario import FaultSettings
from quillstep.net.json_decoder import NestingTooDeepError, check_nesting

MIN_QUEUED_S = 0.5  # the channel's queue must hold the lines of this time at its full rate

S = TypeVar("S", bound=Settings)


def load(kind: type[S], path: str | Path) -> S:
    """Loads a settings file into a validated record.

    Raises:
        ConfigError: The file is missing, unreadable or invalid.
    """
    try:
        values, origin = read(path)
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError(str(path), 0, "", type(error).__name__, "a readable UTF-8 file") from error
    return check(kind, values, origin)


def check(kind: type[S], values: dict[str, Any], origin: Origin) -> S:
    """Validates plain values, keyed by their names in settings files, into a record.

    Raises:
        ConfigError: A value is invalid; the error names the first one and its line in the file.
    """
    try:
        record = kind.model_validate(values, by_alias=True, by_name=False)
    except ValidationError as error:
        first = error.errors(include_url=False)[0]
        path = ".".join(str(part) for part in first["loc"])
        is_missing = first["type"] == "missing"
        found_text = "nothing" if is_missing else _shorten(first["input"])
        raise ConfigError(origin.file, origin.line(path), path, found_text, _expected(first)) from error
    _check_consistency(record, origin)
    return record


def check_older(kind: type[S], plain: dict[str, Any]) -> S:
    """Validates settings that an older version wrote: unknown fields are dropped, the rest must be valid.

    Raises:
        pydantic.ValidationError: A field that still exists has an invalid value.
    """
    try:
        return kind.model_validate(plain, by_alias=True, by_name=False)
    except ValidationError as error:
        unknown = [each["loc"] for each in error.errors() if each["type"] == "extra_forbidden"]
        if not unknown:
            raise
    remaining = json.loads(json.dumps(plain))
    for *parents, last in unknown:
        parent = remaining
        for name in parents:
            parent = parent[name]
        del parent[last]
    return check_older(kind, remaining)


def _shorten(value: Any) -> str:
    return format_value(value) if not isinstance(value, dict | list) else f"a {type(value).__name__}"


def _expected(first: Any) -> str:
    if first["type"] == "missing":
        return "a value"
    if first["type"] == "extra_forbidden":
        return "no such field here"
    text = str(first["msg"]).replace("Input should be ", "").replace("String should", "a text that should")
    return text[0].lower() + text[1:]


def _check_consistency(record: Settings, origin: Origin) -> None:
    """Checks constraints between fields, which the fields' own types cannot express."""
    fleet = getattr(record, "fleet", record)
    if not isinstance(fleet, FleetSettings):
        return
    prefix = "fleet." if fleet is not record else ""
    _check_classes(fleet.classes, prefix, origin)
    _check_channel(fleet, prefix, origin)
    zones = set(fleet.zones)
    for index, fault in enumerate(getattr(record, "faults", [])):
        _check_fault(fault, f"troubles.{index}", fleet, origin)
    reports = getattr(record, "reports", None)
    if reports is not None:
        _check_report_addresses(reports, origin)
    zone = getattr(record, "zone", "")
    if zone and zone not in zones:
        _raise_error(origin, "zone", format_value(zone), "one of " + ", ".join(sorted(zones)))


def _check_classes(classes: list[ClassSettings], prefix: str, origin: Origin) -> None:
    names: set[str] = set()
    for index, row in enumerate(classes):
        path = f"{prefix}classes.{index}"
        if row.name in names:
            _raise_error(origin, f"{path}.name", format_value(row.name), "a name that no other class has")
        names.add(row.name)
        if row.deadline_ms < row.latency_objective_ms:
            expected = f"at least {row.latency_objective_ms:g}, agreed_ms"
            _raise_error(origin, f"{path}.cut_off_ms", f"{row.deadline_ms:g}", expected)
        if row.semantics == "keyed" and not (row.idempotency_scope and row.idempotency_window_ms):
            _raise_error(origin, path, "a keyed class without them", "scope and window_ms")


def _check_channel(fleet: FleetSettings, prefix: str, origin: Origin) -> None:
    queued, minimum = fleet.channel.max_queued_lines, fleet.channel.lines_per_s * MIN_QUEUED_S
    if queued < minimum:
        expected = f"{minimum:g} or more, half a second"
        _raise_error(origin, f"{prefix}channel.lines_waiting_most", f"{queued:g}", expected)


def _check_fault(fault: FaultSettings, path: str, fleet: FleetSettings, origin: Origin) -> None:
    if fault.zone and fault.zone not in fleet.zones:
        _raise_error(origin, f"{path}.zone", format_value(fault.zone), "one of " + ", ".join(sorted(set(fleet.zones))))
    class_names = {row.name for row in fleet.classes}
    names_unknown_class = bool(fault.class_name) and fault.class_name not in class_names
    if (fault.what == "tighten") != bool(fault.class_name) or names_unknown_class:
        _raise_error(origin, f"{path}.kind", format_value(fault.class_name), "a class with `tighten`, nothing else")


def _check_report_addresses(reports: LoadReportSettings, origin: Origin) -> None:
    if (reports.by == "processes") != bool(reports.listen):
        found = f"{len(reports.listen)} with by: {format_value(reports.by)}"
        _raise_error(origin, "reports.listen", found, 'one address a process with by: "processes", else none')


def _raise_error(origin: Origin, path: str, found: str, expected: str) -> None:
    raise ConfigError(origin.file, origin.line(path), path, found, expected)


def changed(record: S, change: dict[str, Any]) -> S:
    """Returns a copy of a record with some fields changed.

    Args:
        record: The record.
        change: New values by path, such as `fleet.proxies.ejects`; paths use the names in settings files.

    Raises:
        ConfigError: A path does not exist or a value is invalid.
    """
    plain = record.model_dump()
    for path, value in change.items():
        node: Any = plain
        *parents, last = path.split(".")
        for name in parents:
            if isinstance(node, list):
                node = node[int(name)] if name.isdigit() and int(name) < len(node) else None
            else:
                node = node.get(name) if isinstance(node, dict) else None
        if not isinstance(node, dict) or last not in node:
            raise ConfigError("--set", 1, path, "no such setting", "the path of an existing setting")
        node[last] = value
    return check(type(record), plain, Origin("--set"))


def parse_changes(texts: tuple[str, ...] | list[str]) -> dict[str, Any]:
    """Parses `path=value` texts; a value that is not valid JSON is taken as a string.

    Raises:
        ConfigError: A text has no value, or its JSON is nested too deeply.
    """
    change: dict[str, Any] = {}
    for each in texts:
        path, equals, value = each.partition("=")
        if not equals:
            raise ConfigError("--set", 1, path, "no value", "path=value")
        try:
            check_nesting(value.encode())
            change[path] = json.loads(value)
        except NestingTooDeepError as error:
            raise ConfigError("--set", 1, path, f"a value {error}", "fewer levels") from error
        except ValueError:
            change[path] = value
    return change
