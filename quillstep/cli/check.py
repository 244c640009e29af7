"""`quillstep check`: validates settings files."""

import click

from quillstep.cli.output import load_settings
from quillstep.config.base import Settings
from quillstep.config.controller import ControllerSettings
from quillstep.config.scenario import ScenarioSettings

KINDS: dict[str, type[Settings]] = {"controller": ControllerSettings, "scenario": ScenarioSettings}
EARLIER_NAMES = {"pilot": "controller", "day": "scenario"}


@click.command()
@click.argument("kind", type=click.Choice([*KINDS, *EARLIER_NAMES]), metavar="[controller|scenario]")
@click.argument("path", type=click.Path())
def check(kind: str, path: str) -> None:
    """Validate a settings file; status 2 and one line on standard error if it is invalid."""
    if kind in EARLIER_NAMES:
        click.echo(f"quillstep: check {kind} is now check {EARLIER_NAMES[kind]}", err=True)
    load_settings(KINDS[EARLIER_NAMES.get(kind, kind)], path)
    click.echo(f"{path}: valid {kind} settings")
