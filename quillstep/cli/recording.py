"""`quillstep recording`: recordings of controllers."""

from pathlib import Path
from typing import TYPE_CHECKING

import click
from rich.console import Console
from rich.table import Table

from quillstep.cli.output import fail, print_json

if TYPE_CHECKING:
    from quillstep.recording import Incarnation

FOLDER = click.argument("folder", type=click.Path(exists=True))
INCARNATION = click.option("--life", "name", help="The incarnation's name; the first one if left out.")


@click.group()
def recording() -> None:
    """Recordings of controllers: list, show, cut, verify."""


def load_incarnations(folder: str) -> list["Incarnation"]:
    """All incarnations that a folder holds; a folder without one, or with a damaged one, ends with status 1."""
    from quillstep.recording import CorruptBlockError, read_incarnations

    try:
        found = read_incarnations(Path(folder))
    except CorruptBlockError as error:
        fail(error, status=1)
    if not found:
        fail(f"no capture in {folder}", status=1)
    return found


@recording.command("ls")
@FOLDER
def list_incarnations(folder: str) -> None:
    """The incarnations in a folder: when, how long, how much of what."""
    table = Table(title=folder)
    for name in ("life", "segments", "records", "seconds", "kB", "torn"):
        table.add_column(name, justify="left" if name in ("life", "torn") else "right")
    for each in load_incarnations(folder):
        span_s = (each.last_ms - each.first_ms) / 1000.0
        kinds = ", ".join(f"{count} {kind}" for kind, count in each.record_counts.most_common())
        row = [str(len(each.segments)), str(each.records), f"{span_s:.1f}", str(each.size_bytes // 1000)]
        table.add_row(f"{each.header.epoch}\n{kinds}", *row, each.truncation or "no")
    Console().print(table)


@recording.command("show")
@FOLDER
@INCARNATION
@click.option("--from", "begin_s", default=0.0, help="Seconds from the incarnation's beginning.")
@click.option("--for", "span_s", default=1.0, show_default=True, help="Seconds.")
@click.option("--kind", "kinds", multiple=True, help="Only records of this kind.")
def show(folder: str, name: str | None, begin_s: float, span_s: float, kinds: tuple[str, ...]) -> None:
    """Records of a span, a JSON line each; messages by their size."""
    from quillstep.recording.reader import read_span

    incarnation = _choose(load_incarnations(folder), name)
    first_ms = incarnation.first_ms + begin_s * 1000.0
    for record in read_span(incarnation, Path(folder), first_ms, first_ms + span_s * 1000.0):
        if not kinds or record[0] in kinds:
            print_json([f"{len(each)} bytes" if isinstance(each, bytes) else each for each in record])


def _choose(found: list["Incarnation"], name: str | None) -> "Incarnation":
    matching = [each for each in found if name in (None, each.header.epoch)]
    if not matching:
        fail(f"no life {name}; there are {', '.join(each.header.epoch for each in found)}")
    return matching[0]


@recording.command("cut")
@FOLDER
@click.argument("out", type=click.Path())
@INCARNATION
@click.option("--for", "span_s", required=True, type=float, help="Seconds from the incarnation's beginning.")
def cut_beginning(folder: str, out: str, name: str | None, span_s: float) -> None:
    """The beginning of an incarnation as a recording of its own; it replays like the whole."""
    from quillstep.recording.reader import cut_span

    incarnation = _choose(load_incarnations(folder), name)
    count = cut_span(incarnation, incarnation.first_ms, incarnation.first_ms + span_s * 1000.0, Path(out))
    click.echo(f"{out}: {count} records of {incarnation.header.epoch}")


@recording.command("verify")
@FOLDER
def verify(folder: str) -> None:
    """Read all of it, checksums included; status 1 if any of it is damaged, 0 if at most a tail is torn."""
    for each in load_incarnations(folder):
        truncation = f"; torn: {each.truncation}" if each.truncation else ""
        click.echo(f"{each.header.epoch}: {each.records} records whole{truncation}")


@recording.command("keep")
@FOLDER
@click.argument("out", type=click.Path())
def keep_for_replay(folder: str, out: str) -> None:
    """What replays need of a played arm, and no more: recordings, the fleet, the requests."""
    from quillstep.recording import CorruptBlockError
    from quillstep.replay.recorded_scenario import copy_for_replay

    try:
        click.echo(f"{out}: {copy_for_replay(Path(folder), Path(out))} exchanges")
    except (OSError, CorruptBlockError) as error:
        fail(error)
