"""What all commands share: errors on standard error, results as one JSON line, settings files checked."""

import sys
from pathlib import Path
from typing import Any, NoReturn, TypeVar

import click
import msgspec

from quillstep.config.base import Settings
from quillstep.config.errors import ConfigError
from quillstep.config.loading import load, parse_changes

USAGE_STATUS = 2  # the exit status of a command whose input cannot be used

S = TypeVar("S", bound=Settings)


def fail(error: object, status: int = USAGE_STATUS) -> NoReturn:
    """Prints one line on standard error and ends the process with this status."""
    click.echo(f"quillstep: {error}", err=True)
    sys.exit(status)


def print_json(result: Any) -> None:
    """Prints a result as one line of JSON: the last line of a command's standard output."""
    click.echo(msgspec.json.encode(result).decode())


def write_json(result: Any, path: str) -> None:
    """Keeps a result in a file, as indented JSON."""
    Path(path).write_bytes(msgspec.json.format(msgspec.json.encode(result)) + b"\n")


def load_settings(kind: type[S], path: str) -> S:
    """Reads a settings file; one that does not check ends the process with status 2 and one line."""
    try:
        return load(kind, path)
    except ConfigError as error:
        fail(error)


def parse_settings_changes(texts: tuple[str, ...]) -> dict[str, Any]:
    """Reads `path=value` options; one without a value ends the process with status 2 and one line."""
    try:
        return parse_changes(texts)
    except ConfigError as error:
        fail(error)
