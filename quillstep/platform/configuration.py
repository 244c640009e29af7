"""Reads and validates the controller's configuration file, and derives the configuration of each component.

The message of a `ConfigurationError` is a single line with the file, the JSON path, and the expected and found values.
"""

import json
import os
from collections.abc import Mapping
from pathlib import Path
from typing import Annotated, Any

import msgspec

from quillstep.config.start_settings import planner_config_from_start, read_integer, read_milliseconds
from quillstep.errors import QuillstepError
from quillstep.planner.messages import PlannerConfig
from quillstep.platform.endpoint_list import parse_address
from quillstep.platform.protocol.validation import Deployment
from quillstep.platform.settings_flattening import flatten_settings

NonEmptyString = Annotated[str, msgspec.Meta(min_length=1)]
Count = Annotated[int, msgspec.Meta(ge=0)]

# Environment variables: the path of the configuration file, and fallbacks for fields that the file does not set.
CONFIG_VARIABLE = "BALANCER_CONFIG"
FIELD_VARIABLES = {"name": "BALANCER_NAME", "listen": "BALANCER_LISTEN", "discovery": "BALANCER_DISCOVERY"}

# Field names within `settings`.  The platform calls traffic classes lanes.
ZONES, CLASSES, CLASS_NAME, CLASS_DEADLINE = "zones", "lanes", "name", "giveUp"
PROXIES, CONNECT_TIMEOUT, CONTROL_INTERVAL = "specifics.dataPlaneSize", "allowed.dialTimeout", "tick"

HEALTH_CHECK_TIMEOUT_FACTOR = 1.6  # timeout of a complete health check, as a multiple of the proxies' connect timeout
DEFAULT_HEALTH_CHECK_TIMEOUT_MS = 500.0  # used if the settings have no connect timeout
HEALTH_PATH, LOAD_PATH = "/health", "/status/load"
MAX_ERROR_VALUE_CHARACTERS = 60  # longer values are truncated in error messages


class ConfigurationError(QuillstepError):
    """The configuration is missing, unreadable or invalid; the message is a single line."""


class MachineLimits(msgspec.Struct, frozen=True):
    """Resources of the machine that the controller may use."""

    cores: Annotated[float, msgspec.Meta(gt=0)] = 1.0
    memory_mb: Annotated[float, msgspec.Meta(gt=0)] = 2048.0
    sockets: Annotated[int, msgspec.Meta(ge=64)] = 1024


class InitialEndpointList(msgspec.Struct, frozen=True):
    """The endpoint list at the time the file was written, in discovery's format.

    Entries are validated one by one by `endpoint_list.parse_endpoint_list`.
    """

    members: list[Any]
    revision: Count
    complete: bool = True


class PlatformConfiguration(msgspec.Struct, frozen=True):
    """The contents of the configuration file; unknown fields are ignored."""

    name: NonEmptyString
    listen: NonEmptyString
    discovery: NonEmptyString
    settings: dict[str, Any]
    seed: NonEmptyString
    limits: MachineLimits = MachineLimits()
    initial_list: InitialEndpointList = msgspec.field(name="known", default=InitialEndpointList([], 0))


class ControllerConfig(msgspec.Struct, frozen=True):
    """Configuration of the controller's components, derived from `PlatformConfiguration`."""

    planner: PlannerConfig
    class_names: list[str]
    deployment: Deployment
    batch_window_ms: float
    health_check_timeout_ms: float
    health_check_path: str


def read_configuration(environment: Mapping[str, str] = os.environ) -> PlatformConfiguration:
    """Read the configuration file whose path is in `BALANCER_CONFIG`.

    Fields that are missing in the file are taken from the environment variables in `FIELD_VARIABLES`.

    Raises:
        ConfigurationError: The file cannot be read, or a field is missing or invalid.
    """
    path = environment.get(CONFIG_VARIABLE, "")
    if not path:
        raise ConfigurationError(
            f"{CONFIG_VARIABLE}: expected the path of the configuration file, got an unset or empty variable"
        )
    document = _read_document(path)
    if isinstance(document, dict):
        for field, variable in FIELD_VARIABLES.items():
            if field not in document and environment.get(variable):
                document[field] = environment[variable]
    try:
        configuration = msgspec.convert(document, PlatformConfiguration)
    except msgspec.ValidationError as error:
        raise ConfigurationError(f"{path}: {error}{_found_suffix(document, str(error))}") from error
    for field in ("listen", "discovery"):
        try:
            parse_address(getattr(configuration, field))
        except ValueError as error:
            expected = f"Expected an address in figures with its port - at `$.{field}`"
            raise ConfigurationError(f"{path}: {expected}{_found_suffix(document, expected)}") from error
    return configuration


def _read_document(path: str) -> Any:
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        raise ConfigurationError(f"{path}: cannot be read: {error.strerror or error}") from error
    try:
        return msgspec.json.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        raise ConfigurationError(f"{path}: JSON was expected, found what can't be read: {error}") from error


def _found_suffix(document: Any, message: str) -> str:
    """Return `, found VALUE` for the JSON path in an error message, truncated; empty if the path does not exist."""
    _, separator, path = message.partition(" - at `$.")
    for name in path.rstrip("`").split(".") if separator else []:
        if not isinstance(document, dict) or name not in document:
            return ""
        document = document[name]
    try:
        return f", found {json.dumps(document)[:MAX_ERROR_VALUE_CHARACTERS]}"
    except RecursionError:  # decoded within the recursion limit, but too deep for the encoder
        return ", found a deeply nested value"


def controller_config(configuration: PlatformConfiguration, path: str) -> ControllerConfig:
    """Derive the configuration of the controller's components from the settings.

    Args:
        configuration: The contents of the configuration file.
        path: Path of the file, for error messages.

    Raises:
        ConfigurationError: A setting is missing or invalid.
    """
    settings = configuration.settings
    zones = _unique_names(settings.get(ZONES), "names of zones", f"$.settings.{ZONES}", path)
    class_names = _unique_names(_class_names(settings), "a list of classes", f"$.settings.{CLASSES}", path)
    try:
        flat = flatten_settings(settings)
        planner, _ = planner_config_from_start(flat)
        planner.zones = zones  # the flat form joins zones by commas, which may also occur in a zone's name
        max_deadline_ms = max(
            read_milliseconds(flat, f"{CLASSES}.{index}.{CLASS_DEADLINE}") for index in range(len(class_names))
        )
        proxies = read_integer(flat, PROXIES)
        connect_timeout_ms, batch_window_ms = (
            read_milliseconds(flat, CONNECT_TIMEOUT),
            read_milliseconds(flat, CONTROL_INTERVAL),
        )
    except ValueError as error:
        raise ConfigurationError(f"{path}: Expected a number, found {error} - at `$.settings`") from error
    except RecursionError as error:
        raise ConfigurationError(
            f"{path}: Expected settings, found objects nested too deeply - at `$.settings`"
        ) from error
    if proxies <= 0:
        found = f"found {proxies or 'nothing'} - at `$.settings.{PROXIES}`"
        raise ConfigurationError(f"{path}: Expected a number of proxies above 0, {found}")
    class_indexes = {name: index for index, name in enumerate(class_names)}
    return ControllerConfig(
        planner,
        class_names,
        Deployment(proxies, frozenset(zones), class_indexes, max_deadline_ms or float("inf")),
        batch_window_ms,
        HEALTH_CHECK_TIMEOUT_FACTOR * connect_timeout_ms or DEFAULT_HEALTH_CHECK_TIMEOUT_MS,
        LOAD_PATH if planner.load_from_health_checks else HEALTH_PATH,
    )


def _class_names(settings: dict[str, Any]) -> list[Any]:
    classes = settings.get(CLASSES)
    if not isinstance(classes, list):
        return []
    return [each.get(CLASS_NAME) if isinstance(each, dict) else None for each in classes]


def _unique_names(value: Any, expected: str, location: str, path: str) -> list[str]:
    if not isinstance(value, list) or not value:
        raise ConfigurationError(f"{path}: Expected {expected}, found nothing - at `{location}`")
    if not all(type(name) is str and name for name in value) or len(set(value)) < len(value):
        raise ConfigurationError(f"{path}: Expected {expected}, each a text and there once - at `{location}`")
    return value


def parse_seed(text: str) -> int:
    """Return the number written in hexadecimal, or else the UTF-8 bytes of the text as a big-endian number."""
    try:
        return int(text, 16)
    except ValueError:
        return int.from_bytes(text.encode(), "big")
