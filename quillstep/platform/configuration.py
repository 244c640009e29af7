"""The configuration file that the platform gives a controller: read, checked, and turned into what each part needs.

A `ConfigurationError` is one sentence that names the file, the path in it, what was found and what was expected.
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

NonEmptyText = Annotated[str, msgspec.Meta(min_length=1)]
Count = Annotated[int, msgspec.Meta(ge=0)]

# Environment variables: the file, and fields that may stand there in place of the file.
CONFIG_VARIABLE = "BALANCER_CONFIG"
FIELD_VARIABLES = {"name": "BALANCER_NAME", "listen": "BALANCER_LISTEN", "discovery": "BALANCER_DISCOVERY"}

# Names within `settings`, whose classes are called lanes.
ZONES, CLASSES, CLASS_NAME, CLASS_DEADLINE = "zones", "lanes", "name", "giveUp"
PROXIES, CONNECT_TIMEOUT, CONTROL_INTERVAL = "specifics.dataPlaneSize", "allowed.dialTimeout", "tick"

HEALTH_CHECK_CONNECT_TIMEOUTS = 1.6  # the proxies' connect timeouts that a whole health check may take
DEFAULT_HEALTH_CHECK_TIMEOUT_MS = 500.0  # where the settings do not give the proxies' connect timeout
HEALTH_PATH, LOAD_PATH = "/health", "/status/load"
MAX_SHOWN_CHARACTERS = 60  # of a value in an error


class ConfigurationError(QuillstepError):
    """What is wrong with the configuration, in one sentence."""


class MachineLimits(msgspec.Struct, frozen=True):
    """What the machine gives the controller."""

    cores: Annotated[float, msgspec.Meta(gt=0)] = 1.0
    memory_mb: Annotated[float, msgspec.Meta(gt=0)] = 2048.0
    sockets: Annotated[int, msgspec.Meta(ge=64)] = 1024


class InitialEndpointList(msgspec.Struct, frozen=True):
    """What was known of the endpoints when the file was written, as discovery sends it.

    Its entries are checked one by one, in `endpoint_list.py`.
    """

    members: list[Any]
    revision: Count
    complete: bool = True


class PlatformConfiguration(msgspec.Struct, frozen=True):
    """The file, by its own names; fields that are not named here are ignored."""

    name: NonEmptyText
    listen: NonEmptyText
    discovery: NonEmptyText
    settings: dict[str, Any]
    seed: NonEmptyText
    limits: MachineLimits = MachineLimits()
    initial_list: InitialEndpointList = msgspec.field(name="known", default=InitialEndpointList([], 0))


class ControllerConfig(msgspec.Struct, frozen=True):
    """What the parts of a controller are configured by."""

    planner: PlannerConfig
    class_names: list[str]
    deployment: Deployment
    batch_window_ms: float
    health_check_timeout_ms: float
    health_check_path: str


def read_configuration(environment: Mapping[str, str] = os.environ) -> PlatformConfiguration:
    """Return the configuration that the environment names.

    Raises:
        ConfigurationError: The file can't be read, or a field is missing or invalid.
    """
    path = environment.get(CONFIG_VARIABLE, "")
    if not path:
        raise ConfigurationError(f"{CONFIG_VARIABLE} names no configuration file: its path was expected there")
    document = _read_document(path)
    if isinstance(document, dict):
        for field, variable in FIELD_VARIABLES.items():
            if field not in document and environment.get(variable):
                document[field] = environment[variable]
    try:
        configuration = msgspec.convert(document, PlatformConfiguration)
    except msgspec.ValidationError as error:
        raise ConfigurationError(f"{path}: {error}{_found_at(document, str(error))}") from error
    for field in ("listen", "discovery"):
        try:
            parse_address(getattr(configuration, field))
        except ValueError as error:
            expected = f"Expected an address in figures with its port - at `$.{field}`"
            raise ConfigurationError(f"{path}: {expected}{_found_at(document, expected)}") from error
    return configuration


def _read_document(path: str) -> Any:
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        raise ConfigurationError(f"{path}: it can't be read: {error.strerror or error}") from error
    try:
        return msgspec.json.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        raise ConfigurationError(f"{path}: JSON was expected, found what can't be read: {error}") from error


def _found_at(document: Any, message: str) -> str:
    """Return what stands at the path that an error names, shortened; nothing where nothing stands there."""
    _, separator, path = message.partition(" - at `$.")
    for name in path.rstrip("`").split(".") if separator else []:
        if not isinstance(document, dict) or name not in document:
            return ""
        document = document[name]
    return f", found {json.dumps(document)[:MAX_SHOWN_CHARACTERS]}"


def controller_config(configuration: PlatformConfiguration, path: str) -> ControllerConfig:
    """Return what the settings of a configuration come to; `path` is named in errors.

    Raises:
        ConfigurationError: A setting is missing or invalid.
    """
    settings = configuration.settings
    zones = _unique_names(settings.get(ZONES), "names of zones", f"$.settings.{ZONES}", path)
    class_names = _unique_names(_names_of_classes(settings), "a list of classes", f"$.settings.{CLASSES}", path)
    try:
        flat = flatten_settings(settings)
        planner, _ = planner_config_from_start(flat)
        planner.zones = zones  # not as the flat form has them: a zone's name may hold a comma
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
            f"{path}: Expected settings, found what is nested beyond sense - at `$.settings`"
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
        HEALTH_CHECK_CONNECT_TIMEOUTS * connect_timeout_ms or DEFAULT_HEALTH_CHECK_TIMEOUT_MS,
        LOAD_PATH if planner.load_from_health_checks else HEALTH_PATH,
    )


def _names_of_classes(settings: dict[str, Any]) -> list[Any]:
    classes = settings.get(CLASSES)
    if not isinstance(classes, list):
        return []
    return [each.get(CLASS_NAME) if isinstance(each, dict) else None for each in classes]


def _unique_names(value: Any, expected: str, at: str, path: str) -> list[str]:
    if not isinstance(value, list) or not value:
        raise ConfigurationError(f"{path}: Expected {expected}, found nothing - at `{at}`")
    if not all(type(name) is str and name for name in value) or len(set(value)) < len(value):
        raise ConfigurationError(f"{path}: Expected {expected}, each a text and there once - at `{at}`")
    return value


def parse_seed(text: str) -> int:
    """Return a seed that is written in hexadecimal; of any other text, its bytes as a number."""
    try:
        return int(text, 16)
    except ValueError:
        return int.from_bytes(text.encode(), "big")
