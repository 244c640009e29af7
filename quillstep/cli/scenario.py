"""`quillstep scenario`: plays a scripted scenario on the testbed and checks the five rules."""

import sys
from pathlib import Path
from typing import Any

import click
from rich.console import Console
from rich.table import Table

from quillstep.cli.output import fail, load_settings, parse_settings_changes, print_json
from quillstep.config.errors import ConfigError
from quillstep.config.loading import changed
from quillstep.config.scenario import ScenarioSettings


@click.command()
@click.argument("script", type=click.Path())
@click.option("--record", "folder", type=click.Path(), default=".day", help="Folder for the socket records.")
@click.option("--arm", "arms", multiple=True, help="Play only these arms: learnt, standing, even, listed.")
@click.option("--seed", type=int, help="Seed to use instead of the script's.")
@click.option("--set", "changes", multiple=True, help="path=value, a setting of the script.")
def scenario(script: str, folder: str, arms: tuple[str, ...], seed: int | None, changes: tuple[str, ...]) -> None:
    """Play a scripted scenario on loopback and check the five rules against the socket records.

    The last line of standard output is one JSON object.
    """
    record = load_settings(ScenarioSettings, script)
    if seed is not None:
        changes = (*changes, f"seed={seed}")
    try:
        record = changed(record, parse_settings_changes(changes))
    except ConfigError as error:
        fail(error)
    from quillstep.testbed.scenarios.child_processes import ChildError
    from quillstep.testbed.scenarios.runner import play_scenario

    try:
        result = play_scenario(record, Path(folder), list(arms) or None)
    except ChildError as error:
        fail(error, status=1)
    _print_summary(result)
    print_json(result)
    sys.exit(1 if result["rules_broken"] else 0)


def _print_summary(result: dict[str, Any]) -> None:
    """Prints the service of each arm as a table, and the rule violations, on standard error."""
    table = Table(title=f"{result['day']}: service (loopback)")
    table.add_column("arm")
    table.add_column("service", justify="right")
    table.add_row("quillstep", f"{result['service']:.3f}")
    for name, value in result["baselines"].items():
        table.add_row(name, f"{value:.3f}")
    console = Console(stderr=True)
    console.print(table)
    for violation in result["breaks"]:
        console.print(f"rule violated: {violation}")
