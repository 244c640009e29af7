"""`quillstep trace`: from a response back to the control interval that assigned its endpoint."""

import sys
from pathlib import Path

import click
import msgspec
from rich.console import Console

from quillstep.cli.output import fail, print_json
from quillstep.cli.recording import FOLDER


@click.command()
@FOLDER
@click.argument("request", metavar="REQUEST", required=False)
@click.option("--all", "traces_all", is_flag=True, help="How all responses of the run trace.")
def trace(folder: str, request: str | None, traces_all: bool) -> None:
    """Which table served a request: from its response back to the control interval, and what that had observed.

    FOLDER is an arm of a played scenario.  The last line of standard output is one JSON object; status 1 if anything
    is missing of a chain.
    """
    from quillstep.tracing.report import cause, lineage_of, summary, told

    if bool(request) == traces_all:
        raise click.UsageError("name one request, or --all")
    try:
        lineage = lineage_of(Path(folder))
        if traces_all:
            result = summary(lineage)
            print_json(result)
            sys.exit(1 if result["untraced"] else 0)
        chain = lineage.trace(str(request))
    except (FileNotFoundError, KeyError) as error:
        fail(error)
    links = []
    for link in chain.links:
        behind = cause(Path(folder), link) if link.round else None
        links.append({**told(chain, link), "round_behind": msgspec.to_builtins(behind)})
    result = {**chain._asdict(), "links": links, "gaps": chain.gaps}
    Console(stderr=True).print_json(data=result)
    print_json(result)
    sys.exit(1 if chain.gaps else 0)
