"""`quillstep check-model`: bounded checking of the stream protocol."""

import sys

import click
from rich.console import Console
from rich.table import Table

from quillstep.cli.output import print_json

COLUMNS = ("by", "what", "twin", "depth", "states", "took_s")
NUMERIC_COLUMNS = ("depth", "states", "took_s")


@click.command("check-model")
@click.option("--depth", default=12, show_default=True, help="Steps of the model; the code is explored half as deep.")
def check_model(depth: int) -> None:
    """Check the stream protocol within bounds: its model with z3, all nearby states of the real code, and mutants.

    The last line of standard output is one JSON object; status 1 if a check fails or a mutant is not found.
    """
    from quillstep.model_checking.runner import check_all

    result = check_all(depth)
    table = Table(title="stream protocol, bounded checks")
    for name in (*COLUMNS, "run"):
        table.add_column(name, justify="right" if name in NUMERIC_COLUMNS else "left")
    for row in result["rows"]:
        table.add_row(*(str(row.get(name, "")) for name in COLUMNS), "; ".join(row["run"]))
    Console(stderr=True).print(table)
    print_json({name: value for name, value in result.items() if name != "rows"})
    sys.exit(1 if result["wrong"] or result["twins_found"] < result["twins"] else 0)
