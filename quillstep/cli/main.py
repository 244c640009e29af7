"""`quillstep`: the top-level command."""

import click

from quillstep.cli.aliases import add_alias
from quillstep.cli.bench import bench
from quillstep.cli.check import check
from quillstep.cli.controller import controller
from quillstep.cli.model_checking import check_model
from quillstep.cli.recording import recording
from quillstep.cli.replay import replay
from quillstep.cli.scenario import scenario
from quillstep.cli.store import store
from quillstep.cli.tables import tables
from quillstep.cli.tracing import trace
from quillstep.logging import configure_logging


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.option("--log", "form", type=click.Choice(["auto", "human", "json"]), default="auto", help="Log format.")
@click.option("--log-level", type=click.Choice(["debug", "info", "warning", "error"]), default="info")
@click.version_option(package_name=None, version="0.2.0", prog_name="quillstep")
def cli(form: str, log_level: str) -> None:
    """A central planner behind a layer of plain proxies."""
    configure_logging(form, log_level)


for each in (controller, scenario, recording, replay, trace, check_model, tables, store, bench, check):
    cli.add_command(each)
add_alias(cli, "pilot", controller)
add_alias(cli, "day", scenario)
add_alias(cli, "capture", recording)
add_alias(cli, "prove", check_model)


def main() -> None:
    """The entry point of the installed command."""
    cli(prog_name="quillstep")
