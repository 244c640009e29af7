"""Helpers that all commands share: errors on standard error, results as one JSON line, settings files."""

import sys
from pathlib import Path
from typing import Any, NoReturn, TypeVar

import click
import msgspec

from quillstep.config.base import Settings
from quillstep.config.errors import ConfigError
from quillstep.config.loading import load, parse_changes

USAGE_STATUS = 2  # exit status of a command with invalid input

S = TypeVar("S", bound=Settings)


def fail(error: object, status: int = USAGE_STATUS) -> NoReturn:
    """Prints one line on standard error and exits with this status."""
    click.echo(f"quillstep: {error}", err=True)
    sys.exit(status)


def print_json(result: Any) -> None:
    """Prints a result as one line of JSON: the last line of a command's standard output."""
    click.echo(msgspec.json.encode(result).decode())


def write_json(result: Any, path: str) -> None:
    """Writes a result to a file, as indented JSON."""
    Path(path).write_bytes(msgspec.json.format(msgspec.json.encode(result)) + b"\n")


def load_settings(kind: type[S], path: str) -> S:
    """Loads a settings file; prints one line and exits with status 2 if it is invalid."""
    try:
        return load(kind, path)
    except ConfigError as error:
        fail(error)


def parse_settings_changes(texts: tuple[str, ...]) -> dict[str, Any]:
    """Parses `path=value` options; prints one line and exits with status 2 if one has no value."""
    try:
        return parse_changes(texts)
    except ConfigError as error:
        fail(error)
