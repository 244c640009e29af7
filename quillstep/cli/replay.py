"""`quillstep replay`: replays recorded scenarios."""

import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click
from rich.console import Console
from rich.table import Table

from quillstep.cli.output import fail, parse_settings_changes, print_json, write_json
from quillstep.cli.recording import FOLDER, load_incarnations
from quillstep.config.errors import ConfigError
from quillstep.logging import configure_logging

if TYPE_CHECKING:
    from quillstep.replay.recorded_scenario import RecordedScenario

SET_HELP = "path=value, a setting of a controller, e.g. fleet.proxies.ejects=3."


@click.group()
def replay() -> None:
    """Replay recorded scenarios."""


@replay.command()
@FOLDER
def faithful(folder: str) -> None:
    """Replay every incarnation of a recording through the controller's own core; its output must be identical.

    The last line of standard output is one JSON object; status 1 at the first difference.
    """
    from quillstep.recording import read_records
    from quillstep.replay.faithful import Replay

    configure_logging("auto", "error")
    rows = []
    for incarnation in load_incarnations(folder):
        start_s = time.perf_counter()
        outcome = Replay(incarnation.header).play(read_records(incarnation))
        took_s = time.perf_counter() - start_s
        rows.append({
            "life": incarnation.header.epoch, "identical": outcome.is_identical, "rounds": outcome.intervals,
            "records": outcome.records, "digest": outcome.digest, "seconds": round(outcome.span_ms / 1000.0, 1),
            "times_real": round(outcome.span_ms / 1000.0 / max(took_s, 1e-9), 1), "torn": incarnation.truncation,
            "difference": outcome.difference,
        })  # fmt: skip
    is_identical = all(row["identical"] for row in rows)
    print_json({"identical": is_identical, "lives": rows})
    sys.exit(0 if is_identical else 1)


def _read_recorded_scenario(folder: str) -> "RecordedScenario":
    from quillstep.recording import CorruptBlockError
    from quillstep.replay.recorded_scenario import MalformedScenarioError, read_recorded_scenario

    configure_logging("auto", "error")
    try:
        return read_recorded_scenario(Path(folder))
    except (OSError, CorruptBlockError, MalformedScenarioError) as error:
        fail(error)


@replay.command()
@FOLDER
@click.option("--set", "changes", multiple=True, help=SET_HELP)
@click.option("--against", "against", multiple=True, help="path=value, a setting of the replay to compare with.")
@click.option("--seeds", default=3, show_default=True)
@click.option("--chart", type=click.Path(), help="PNG file to draw service over time to.")
@click.option("--out", type=click.Path(), help="File to write the result to, as JSON.")
def compare(
    folder: str,
    changes: tuple[str, ...],
    against: tuple[str, ...],
    seeds: int,
    chart: str | None,
    out: str | None,
) -> None:
    """Compare a recorded scenario, replayed with changed settings, with the scenario as recorded.

    FOLDER is one arm of a scenario played with recordings.  The last line of standard output is one JSON object.
    """
    from quillstep.replay.comparison import compare as compare_settings

    recorded = _read_recorded_scenario(folder)
    try:
        result = compare_settings(recorded, parse_settings_changes(against), parse_settings_changes(changes), seeds)
    except ConfigError as error:
        fail(error)
    _print_comparison(folder, result)
    if chart:
        from quillstep.bench.charts import service_over_time

        service_over_time(result, Path(chart))
    if out:
        write_json(result, out)
    print_json(result)


def _print_comparison(folder: str, result: dict[str, Any]) -> None:
    """Prints a comparison as a table, on standard error, with its gain unless it is inconclusive."""
    runs = ["measured", "replayed", *(["against"] if result["against"] else []), "changed"]
    console = Console(stderr=True)
    console.print(_comparison_table(folder, result, runs))
    for each in result["breaks"]:
        console.print(f"rule violated in the replay: {each}")
    if not result["tells"]:
        error, tolerance = result["error"], result["tolerance"]
        console.print(f"inconclusive: the replay without changes deviates by {error:+.3f}, tolerance {tolerance}")
        return
    changed_requests = result["changed_fate"]
    console.print(
        f"gain {result['gain']:+.4f}, noise over {result['seeds']} seeds {result['noise']:.4f}; "
        f"{changed_requests['won']} requests gained, {changed_requests['lost']} lost"
    )


def _comparison_table(folder: str, result: dict[str, Any], runs: list[str]) -> Table:
    table = Table(title=f"{folder}: service, replayed in virtual time")
    for name in ("", *runs):
        table.add_column(name, justify="left" if not name else "right")
    overall = {"measured": result["measured"], **result["service"]}
    table.add_row("all", *(f"{overall[name]:.3f}" for name in runs))
    for name, row in result["by_class"].items():
        table.add_row(name, *(f"{row[run]:.3f}" for run in runs))
    for cause in sorted({cause for row in result["lost_by_cause"].values() for cause in row}):
        lost = (result["lost_by_cause"][run].get(cause, 0.0) for run in runs)
        table.add_row(f"priority weight lost: {cause}", *(f"{part:.3f}" for part in lost))
    violations = result["rules_broken"]
    table.add_row("rule violations", *(str(violations.get(run, "")) for run in runs))
    return table


@replay.command()
@FOLDER
@click.argument("setting")
@click.option("--seeds", default=3, show_default=True)
@click.option("--chart", type=click.Path(), help="PNG file to draw service against the values to.")
def sweep(folder: str, setting: str, seeds: int, chart: str | None) -> None:
    """Replay with several values of one setting, e.g. fleet.proxies.ejects=1,2,5, on all cores."""
    from quillstep.replay.sweep import run

    path, _, values = setting.partition("=")
    changes = [parse_settings_changes((f"{path}={value}",)) for value in values.split(",") if value]
    try:
        rows = run(_read_recorded_scenario(folder), changes, seeds)
    except ConfigError as error:
        fail(error)
    table = Table(title=f"{folder}: {path}")
    for name in ("value", "service", "noise", "rule violations"):
        table.add_column(name, justify="right")
    for row in rows:
        table.add_row(str(row["value"]), f"{row['service']:.4f}", f"{row['noise']:.4f}", str(row["rules_broken"]))
    Console(stderr=True).print(table)
    if chart:
        from quillstep.bench.charts import sweep as draw

        draw(rows, path, Path(chart))
    print_json({"setting": path, "rows": rows})
