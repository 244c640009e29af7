"""The configuration that the platform hands a pilot: read, checked, and turned into what the pilot goes by.

`ConfigurationError` is one sentence that names file, path, what was found and what was expected.
"""

import json
import os
from collections.abc import Mapping
from pathlib import Path
from typing import Annotated, Any

import msgspec

from quillstep.config.start_settings import planner_config_from_start, read_integer, read_milliseconds
from quillstep.planner.messages import PlannerConfig
from quillstep.platform.endpoint_list import address_of
from quillstep.platform.protocol.validation import Known

Text = Annotated[str, msgspec.Meta(min_length=1)]
Count = Annotated[int, msgspec.Meta(ge=0)]
PROBE_DIALS = 1.6  # times that proxies wait for a connection that a probe may take as a whole
PROBE_MS = 500.0  # the same where the settings don't tell how long proxies wait
FILE, NAME, LISTEN, DISCOVERY = (f"BALANCER_{name}" for name in ("CONFIG", "NAME", "LISTEN", "DISCOVERY"))


class ConfigurationError(Exception):
    """What is wrong with the configuration, in one sentence."""


class MachineLimits(msgspec.Struct, frozen=True):
    """What the machine gives."""

    cores: Annotated[float, msgspec.Meta(gt=0)] = 1.0
    memory_mb: Annotated[float, msgspec.Meta(gt=0)] = 2048.0
    sockets: Annotated[int, msgspec.Meta(ge=64)] = 1024


class KnownEndpoints(msgspec.Struct, frozen=True):
    """A list of endpoints as discovery words it; entries are checked one by one (`endpoints.py`)."""

    members: list[Any]
    revision: Count
    complete: bool = True


class PlatformConfiguration(msgspec.Struct, frozen=True):
    """The file; fields that are not named here are left alone."""

    name: Text
    listen: Text
    discovery: Text
    settings: dict[str, Any]
    seed: Text
    limits: MachineLimits = MachineLimits()
    known: KnownEndpoints = KnownEndpoints([], 0)


class ControllerConfig(msgspec.Struct, frozen=True):
    """What the settings say: to the module, of what may come in, and of probes and rounds."""

    start: PlannerConfig
    classes: list[str]
    known: Known
    tick_ms: float
    probe_ms: float
    probe_path: str


def flat(value: Any, path: str = "") -> dict[str, str]:
    """Nested settings in the form of a `start`: paths, lists joined by commas, lists of objects by their places."""
    if isinstance(value, dict):
        within = {f"{path}.{name}" if path else name: inner for name, inner in value.items()}
    elif isinstance(value, list) and any(isinstance(each, dict) for each in value):
        within = {f"{path}.{place}": inner for place, inner in enumerate(value)}
        return {f"{path}.count": str(len(value)), **flattened(within)}
    else:
        return {path: ",".join(plain(each) for each in value) if isinstance(value, list) else plain(value)}
    return flattened(within)


def flattened(within: dict[str, Any]) -> dict[str, str]:
    found: dict[str, str] = {}
    for path, inner in within.items():
        found.update(flat(inner, path))
    return found


def plain(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, float) and value.is_integer():
        return str(int(value))
    return "" if value is None else str(value)


def read(environment: Mapping[str, str] = os.environ) -> PlatformConfiguration:
    """The configuration that the environment names; raises Fault."""
    path = environment.get(FILE, "")
    if not path:
        raise ConfigurationError(f"{FILE} names no configuration file: its path was expected there")
    try:
        data = Path(path).read_bytes()
    except OSError as trouble:
        raise ConfigurationError(f"{path}: it can't be read: {trouble.strerror or trouble}") from None
    try:
        told = msgspec.json.decode(data)
    except (msgspec.DecodeError, RecursionError) as trouble:
        raise ConfigurationError(f"{path}: JSON was expected, found what can't be read: {trouble}") from None
    if isinstance(told, dict):
        for field, variable in (("name", NAME), ("listen", LISTEN), ("discovery", DISCOVERY)):
            if field not in told and environment.get(variable):
                told[field] = environment[variable]
    try:
        record = msgspec.convert(told, PlatformConfiguration)
    except msgspec.ValidationError as trouble:
        raise ConfigurationError(f"{path}: {trouble}{found(told, str(trouble))}") from None
    for field in ("listen", "discovery"):
        try:
            address_of(getattr(record, field))
        except ValueError:
            what = f"Expected an address in figures with its port - at `$.{field}`"
            raise ConfigurationError(f"{path}: {what}{found(told, what)}") from None
    return record


def found(told: Any, trouble: str) -> str:
    """What stands where a check failed, cut short."""
    _, at, path = trouble.partition(" - at `$.")
    for name in path.rstrip("`").split(".") if at else []:
        if not isinstance(told, dict) or name not in told:
            return ""
        told = told[name]
    return f", found {json.dumps(told)[:60]}"


def pilot_facts(record: PlatformConfiguration, path: str) -> ControllerConfig:
    """The settings in the pilot's words; raises Fault."""
    zones = texts(record.settings.get("zones"), "names of zones", "$.settings.zones", path)
    lanes = record.settings.get("lanes")
    names = [lane.get("name") if isinstance(lane, dict) else None for lane in lanes] if isinstance(lanes, list) else []
    classes = texts(names, "a list of classes", "$.settings.lanes", path)
    try:
        settings = flat(record.settings)
        start, _ = planner_config_from_start(settings)
        # As the file tells them: a name may hold what joins names and paths in a start.
        start.zones = zones
        deadline_ms = max(read_milliseconds(settings, f"lanes.{place}.giveUp") for place in range(len(classes)))
        proxies = read_integer(settings, "specifics.dataPlaneSize")
        dial_ms = read_milliseconds(settings, "allowed.dialTimeout")
        tick_ms = read_milliseconds(settings, "tick")
    except ValueError as trouble:
        raise ConfigurationError(f"{path}: Expected a number, found {trouble} - at `$.settings`") from None
    except RecursionError:
        raise ConfigurationError(
            f"{path}: Expected settings, found what is nested beyond sense - at `$.settings`"
        ) from None
    if proxies <= 0:
        at = "$.settings.specifics.dataPlaneSize"
        raise ConfigurationError(
            f"{path}: Expected a number of proxies above 0, found {proxies or 'nothing'} - at `{at}`"
        )
    known = Known(
        proxies, frozenset(zones), {name: place for place, name in enumerate(classes)}, deadline_ms or float("inf")
    )
    return ControllerConfig(
        start, classes, known, tick_ms, PROBE_DIALS * dial_ms or PROBE_MS,
        "/status/load" if start.load_from_health_checks else "/health",
    )  # fmt: skip


def texts(told: Any, expected: str, at: str, path: str) -> list[str]:
    """Names, each once; raises Fault."""
    if not isinstance(told, list) or not told:
        raise ConfigurationError(f"{path}: Expected {expected}, found nothing - at `{at}`")
    if not all(type(name) is str and name for name in told) or len(set(told)) < len(told):
        raise ConfigurationError(f"{path}: Expected {expected}, each a text and there once - at `{at}`")
    return told


def seed_of(text: str) -> int:
    """A seed as told, hexadecimal mostly."""
    try:
        return int(text, 16)
    except ValueError:
        return int.from_bytes(text.encode(), "big")
