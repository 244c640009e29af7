"""`quillstep bench`: measurements on loopback."""

from pathlib import Path
from typing import Any

import click
from rich.console import Console
from rich.table import Table

from quillstep.cli.output import parse_settings_changes, print_json, write_json
from quillstep.logging import configure_logging

MAX_COLUMN_ROWS = 4  # up to so many rows of a result are printed as columns
RECORD = click.option(
    "--record", "folder", type=click.Path(), default=".day/bench", help="Where the sockets' record goes."
)
OUT = click.option("--out", type=click.Path(), help="A file to keep the result in.")


@click.group()
def bench() -> None:
    """Measurements on loopback; the last line of standard output is one JSON object."""


@bench.command()
@click.option("--proxies", "sizes", multiple=True, type=int, default=[16, 64, 262], show_default=True)
@click.option("--exchanges", default=860.0, show_default=True, help="Requests a second, at the largest size.")
@click.option("--seconds", default=20.0, show_default=True)
@click.option("--pilots", "controllers", default=1, show_default=True, help="Controllers.")
@RECORD
@OUT
def streams(
    sizes: tuple[int, ...], exchanges: float, seconds: float, controllers: int, folder: str, out: str | None
) -> None:
    """Proxies a controller carries, time to the last acknowledgement of a drain, cost of a changed slot."""
    from quillstep.bench.streams import run

    _report(run(list(sizes), exchanges, seconds, controllers, Path(folder)), out)


@bench.command()
@click.option("--proxies", "sizes", multiple=True, type=int, default=[16, 64, 262], show_default=True)
@click.option("--exchanges", default=400.0, show_default=True, help="Requests a second, at the largest size.")
@click.option("--seconds", default=12.0, show_default=True)
@RECORD
@OUT
def fronts(sizes: tuple[int, ...], exchanges: float, seconds: float, folder: str, out: str | None) -> None:
    """Streams and files side by side, against whole tables sent again."""
    from quillstep.bench.fronts import run

    _report(run(list(sizes), exchanges, seconds, Path(folder)), out)


@bench.command("reports")
@click.option("--proxies", "sizes", multiple=True, type=int, default=[64, 262, 1000, 2000], show_default=True)
@click.option("--by", "ways", multiple=True, type=click.Choice(["inbox", "thread", "processes"]),
              default=["inbox", "thread", "processes"], show_default=True)  # fmt: skip
@click.option("--exchanges", default=300.0, show_default=True, help="Requests a second, at every size.")
@click.option("--spans", default=4, show_default=True, help="With and without reports, in turn.")
@click.option("--set", "changes", multiple=True, help="field=value in the settings of load reports.")
@RECORD
@OUT
@click.option("--chart", type=click.Path(), help="A PNG of the result.")
def load_reports(
    sizes: tuple[int, ...], ways: tuple[str, ...], exchanges: float, spans: int, changes: tuple[str, ...],
    folder: str, out: str | None, chart: str | None,
) -> None:  # fmt: skip
    """Drains with and without many load reports, what reading them costs, by three ways of reading."""
    from quillstep.bench.load_reports import run

    result = run(list(sizes), list(ways), exchanges, spans, Path(folder), parse_settings_changes(changes))
    if chart:
        from quillstep.bench.charts import reports as draw

        draw(result["rows"], Path(chart))
    _report(result, out)


@bench.command("lineage")
@click.option("--proxies", default=262, show_default=True)
@click.option("--exchanges", default=860.0, show_default=True, help="Requests a second.")
@click.option("--seconds", default=20.0, show_default=True, help="Of each arm.")
@click.option("--turns", default=2, show_default=True, help="Of each arm: nothing kept, the record, record and spans.")
@click.option("--depth", default=12, show_default=True, help="Of the model, as in `quillstep check-model`.")
@RECORD
@OUT
def tracing(
    proxies: int, exchanges: float, seconds: float, turns: int, depth: int, folder: str, out: str | None
) -> None:
    """Every response of a run traced, late updates judged against the truth, costs, splitting, the model."""
    from quillstep.bench.tracing import run

    configure_logging("auto", "error")
    _report(run(proxies, exchanges, seconds, turns, depth, Path(folder)), out)


@bench.command("store")
@click.option("--proxies", "sizes", multiple=True, type=int, default=[16, 64, 262], show_default=True)
@click.option("--seeds", default=3, show_default=True, help="Of the crash, each with and without.")
@click.option("--seconds", default=15.0, show_default=True, help="Of the scenario that costs are taken on.")
@RECORD
@OUT
@click.option("--kills", default=2000, show_default=True, help="Of a store's writer, at its write points.")
def store(sizes: tuple[int, ...], seeds: int, seconds: float, kills: int, folder: str, out: str | None) -> None:
    """Commits, rollbacks against whole tables, a controller's crash with a store and without."""
    from quillstep.bench.store import run

    configure_logging("auto", "error")
    _report(run(list(sizes), seeds, seconds, kills, Path(folder) / "store"), out)


@bench.command("replay")
@click.option("--proxies", default=262, show_default=True)
@click.option("--exchanges", default=860.0, show_default=True, help="Requests a second, of the large scenario.")
@click.option("--seconds", default=60.0, show_default=True, help="Of the large scenario.")
@RECORD
@OUT
def replay(proxies: int, exchanges: float, seconds: float, folder: str, out: str | None) -> None:
    """Speed of both replays on a large scenario, and how near the model comes to five kinds of scenarios."""
    from quillstep.bench.replay import run

    configure_logging("auto", "error")
    _report(run(proxies, exchanges, seconds, Path(folder)), out)


def _report(result: dict[str, Any], out: str | None) -> None:
    """Prints a benchmark's rows as a table, keeps them in a file if asked, and prints them as the last line."""
    rows = result["rows"]
    names = [name for name in dict.fromkeys(name for row in rows for name in row) if name != "breaks"]
    title = f"{result['bench']} (loopback; {result['machine']})"
    make_table = _table_by_row if len(rows) > MAX_COLUMN_ROWS else _table_by_column
    Console(stderr=True).print(make_table(title, rows, names))
    if out:
        write_json(result, out)
    print_json(result)


def _table_by_row(title: str, rows: list[dict[str, Any]], names: list[str]) -> Table:
    table = Table(title=title)
    for name in names:
        table.add_column(name.replace("_", " "), justify="right")
    for row in rows:
        table.add_row(*(str(row.get(name, "")) for name in names))
    return table


def _table_by_column(title: str, rows: list[dict[str, Any]], names: list[str]) -> Table:
    table = Table(title=title)
    table.add_column("figure")
    for _ in rows:
        table.add_column(justify="right")
    for name in names:
        table.add_row(name, *(str(row.get(name, "")) for row in rows))
    return table
