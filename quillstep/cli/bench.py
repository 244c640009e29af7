"""`quillstep bench`: benchmarks on loopback."""

from pathlib import Path
from typing import Any

import click
from rich.console import Console
from rich.table import Table

from quillstep.cli.output import parse_settings_changes, print_json, write_json
from quillstep.logging import configure_logging

MAX_COLUMN_ROWS = 4  # results with more rows are printed one row a line, others one row a column
RECORD = click.option(
    "--record", "folder", type=click.Path(), default=".day/bench", help="Folder for the socket records."
)
OUT = click.option("--out", type=click.Path(), help="File to write the result to, as JSON.")


@click.group()
def bench() -> None:
    """Benchmarks on loopback; the last line of standard output is one JSON object."""


@bench.command()
@click.option("--proxies", "sizes", multiple=True, type=int, default=[16, 64, 262], show_default=True)
@click.option(
    "--exchanges", "requests_per_s", default=860.0, show_default=True, help="Requests per second, at the largest size."
)
@click.option("--seconds", default=20.0, show_default=True)
@click.option("--pilots", "controllers", default=1, show_default=True, help="Controllers.")
@RECORD
@OUT
def streams(
    sizes: tuple[int, ...], requests_per_s: float, seconds: float, controllers: int, folder: str, out: str | None
) -> None:
    """Proxies per controller, time to the last acknowledgement of a drain, cost of a changed slot."""
    from quillstep.bench.streams import run

    _report(run(list(sizes), requests_per_s, seconds, controllers, Path(folder)), out)


@bench.command()
@click.option("--proxies", "sizes", multiple=True, type=int, default=[16, 64, 262], show_default=True)
@click.option(
    "--exchanges", "requests_per_s", default=400.0, show_default=True, help="Requests per second, at the largest size."
)
@click.option("--seconds", default=12.0, show_default=True)
@RECORD
@OUT
def fronts(sizes: tuple[int, ...], requests_per_s: float, seconds: float, folder: str, out: str | None) -> None:
    """Compare streams and files, with full tables sent on every change as the baseline."""
    from quillstep.bench.fronts import run

    _report(run(list(sizes), requests_per_s, seconds, Path(folder)), out)


@bench.command("reports")
@click.option("--proxies", "sizes", multiple=True, type=int, default=[64, 262, 1000, 2000], show_default=True)
@click.option("--by", "readers", multiple=True, type=click.Choice(["inbox", "thread", "processes"]),
              default=["inbox", "thread", "processes"], show_default=True)  # fmt: skip
@click.option(
    "--exchanges", "requests_per_s", default=300.0, show_default=True, help="Requests per second, at every size."
)
@click.option("--spans", default=4, show_default=True, help="Time spans, alternately with and without reports.")
@click.option("--set", "changes", multiple=True, help="field=value, a setting of load reports.")
@RECORD
@OUT
@click.option("--chart", type=click.Path(), help="PNG file to draw the result to.")
def load_reports(
    sizes: tuple[int, ...], readers: tuple[str, ...], requests_per_s: float, spans: int, changes: tuple[str, ...],
    folder: str, out: str | None, chart: str | None,
) -> None:  # fmt: skip
    """Drains with and without many load reports, and the cost of reading them, for three kinds of readers."""
    from quillstep.bench.load_reports import run

    result = run(list(sizes), list(readers), requests_per_s, spans, Path(folder), parse_settings_changes(changes))
    if chart:
        from quillstep.bench.charts import reports as draw

        draw(result["rows"], Path(chart))
    _report(result, out)


@bench.command("lineage")
@click.option("--proxies", default=262, show_default=True)
@click.option("--exchanges", "requests_per_s", default=860.0, show_default=True, help="Requests per second.")
@click.option("--seconds", default=20.0, show_default=True, help="Length of each arm.")
@click.option("--turns", default=2, show_default=True, help="Runs of each arm: no record, record, record and spans.")
@click.option("--depth", default=12, show_default=True, help="Depth of the model, as in `quillstep check-model`.")
@RECORD
@OUT
def tracing(
    proxies: int, requests_per_s: float, seconds: float, turns: int, depth: int, folder: str, out: str | None
) -> None:
    """Trace every response of a run; check detection of late updates, costs, splitting of updates and the model."""
    from quillstep.bench.tracing import run

    configure_logging("auto", "error")
    _report(run(proxies, requests_per_s, seconds, turns, depth, Path(folder)), out)


@bench.command("store")
@click.option("--proxies", "sizes", multiple=True, type=int, default=[16, 64, 262], show_default=True)
@click.option("--seeds", default=3, show_default=True, help="Crashes, each with and without a store.")
@click.option("--seconds", default=15.0, show_default=True, help="Length of the scenario that costs are measured on.")
@RECORD
@OUT
@click.option("--kills", default=2000, show_default=True, help="Kills of a store's writer, at its write points.")
def store(sizes: tuple[int, ...], seeds: int, seconds: float, kills: int, folder: str, out: str | None) -> None:
    """Cost of commits, rollbacks compared with full tables, crashes of a controller with and without a store."""
    from quillstep.bench.store import run

    configure_logging("auto", "error")
    _report(run(list(sizes), seeds, seconds, kills, Path(folder) / "store"), out)


@bench.command("replay")
@click.option("--proxies", default=262, show_default=True)
@click.option(
    "--exchanges",
    "requests_per_s",
    default=860.0,
    show_default=True,
    help="Requests per second, in the large scenario.",
)
@click.option("--seconds", default=60.0, show_default=True, help="Length of the large scenario.")
@RECORD
@OUT
def replay(proxies: int, requests_per_s: float, seconds: float, folder: str, out: str | None) -> None:
    """Speed of both replays on a large scenario, and the error of the model on five kinds of scenarios."""
    from quillstep.bench.replay import run

    configure_logging("auto", "error")
    _report(run(proxies, requests_per_s, seconds, Path(folder)), out)


def _report(result: dict[str, Any], out: str | None) -> None:
    """Prints a result as a table on standard error, writes it to `out` if given, and prints it as one JSON line."""
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
