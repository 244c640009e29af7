"""`quillstep recording`: lists, shows, cuts and verifies recordings of controllers."""

from pathlib import Path
from typing import TYPE_CHECKING

import click
from rich.console import Console
from rich.table import Table

from quillstep.cli.output import fail, print_json

if TYPE_CHECKING:
    from quillstep.recording import Incarnation

FOLDER = click.argument("folder", type=click.Path(exists=True))
INCARNATION = click.option("--life", "name", help="Name of the incarnation.  Default: the first one.")


@click.group()
def recording() -> None:
    """Recordings of controllers: list, show, cut, verify."""


def load_incarnations(folder: str) -> list["Incarnation"]:
    """Returns all incarnations in a folder; exits with status 1 if there is none or one is corrupt."""
    from quillstep.recording import CorruptBlockError, read_incarnations

    try:
        incarnations = read_incarnations(Path(folder))
    except CorruptBlockError as error:
        fail(error, status=1)
    if not incarnations:
        fail(f"no recording found in {folder}", status=1)
    return incarnations


@recording.command("ls")
@FOLDER
def list_incarnations(folder: str) -> None:
    """List the incarnations in a folder with their lengths, sizes and records by kind."""
    table = Table(title=folder)
    for name in ("incarnation", "segments", "records", "seconds", "kB", "truncated"):
        table.add_column(name, justify="left" if name in ("incarnation", "truncated") else "right")
    for incarnation in load_incarnations(folder):
        span_s = (incarnation.last_ms - incarnation.first_ms) / 1000.0
        kinds = ", ".join(f"{count} {kind}" for kind, count in incarnation.record_counts.most_common())
        row = [
            str(len(incarnation.segments)),
            str(incarnation.records),
            f"{span_s:.1f}",
            str(incarnation.size_bytes // 1000),
        ]
        table.add_row(f"{incarnation.header.epoch}\n{kinds}", *row, incarnation.truncation or "no")
    Console().print(table)


@recording.command("show")
@FOLDER
@INCARNATION
@click.option("--from", "begin_s", default=0.0, help="Seconds from the beginning of the incarnation.")
@click.option("--for", "span_s", default=1.0, show_default=True, help="Seconds.")
@click.option("--kind", "kinds", multiple=True, help="Only records of this kind.")
def show(folder: str, name: str | None, begin_s: float, span_s: float, kinds: tuple[str, ...]) -> None:
    """Print the records of a time span, one JSON line each; messages are shown by their size."""
    from quillstep.recording.reader import read_span

    incarnation = _choose(load_incarnations(folder), name)
    first_ms = incarnation.first_ms + begin_s * 1000.0
    for record in read_span(incarnation, Path(folder), first_ms, first_ms + span_s * 1000.0):
        if not kinds or record[0] in kinds:
            print_json([f"{len(each)} bytes" if isinstance(each, bytes) else each for each in record])


def _choose(incarnations: list["Incarnation"], name: str | None) -> "Incarnation":
    matching = [incarnation for incarnation in incarnations if name in (None, incarnation.header.epoch)]
    if not matching:
        fail(
            f"incarnation {name} not found: "
            f"expected one of {', '.join(incarnation.header.epoch for incarnation in incarnations)}"
        )
    return matching[0]


@recording.command("cut")
@FOLDER
@click.argument("out", type=click.Path())
@INCARNATION
@click.option("--for", "span_s", required=True, type=float, help="Length in seconds.")
def cut_beginning(folder: str, out: str, name: str | None, span_s: float) -> None:
    """Copy the beginning of an incarnation into a new recording, which replays like the original."""
    from quillstep.recording.reader import cut_span

    incarnation = _choose(load_incarnations(folder), name)
    count = cut_span(incarnation, incarnation.first_ms, incarnation.first_ms + span_s * 1000.0, Path(out))
    click.echo(f"{out}: {count} records of {incarnation.header.epoch}")


@recording.command("verify")
@FOLDER
def verify(folder: str) -> None:
    """Read all records and check their checksums; status 1 if any is corrupt, 0 if at most the end is truncated."""
    for incarnation in load_incarnations(folder):
        truncation = f"; truncated: {incarnation.truncation}" if incarnation.truncation else ""
        click.echo(f"{incarnation.header.epoch}: {incarnation.records} complete records{truncation}")


@recording.command("keep")
@FOLDER
@click.argument("out", type=click.Path())
def keep_for_replay(folder: str, out: str) -> None:
    """Copy only what replays need from a played arm: recordings, the fleet, the requests."""
    from quillstep.recording import CorruptBlockError
    from quillstep.replay.recorded_scenario import MalformedScenarioError, copy_for_replay

    try:
        click.echo(f"{out}: {copy_for_replay(Path(folder), Path(out))} requests")
    except (OSError, CorruptBlockError, MalformedScenarioError) as error:
        fail(error)
