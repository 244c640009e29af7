"""`quillstep trace`: traces responses back to the control interval that assigned their endpoints."""

import sys
from pathlib import Path

import click
import msgspec
from rich.console import Console

from quillstep.cli.output import fail, print_json
from quillstep.cli.recording import FOLDER
from quillstep.net.json_decoder import MalformedJsonError


@click.command()
@FOLDER
@click.argument("request", metavar="REQUEST", required=False)
@click.option("--all", "traces_all", is_flag=True, help="Trace all responses of the run and print a summary.")
def trace(folder: str, request: str | None, traces_all: bool) -> None:
    """Trace a request from its response back to the control interval and the events that it handled.

    FOLDER is an arm of a played scenario.  The last line of standard output is one JSON object; status 1 if a trace
    has a gap.
    """
    from quillstep.tracing.errors import NoArmError, UnknownRequestError
    from quillstep.tracing.report import read_trace_index, summarize, trace_report

    if bool(request) == traces_all:
        raise click.UsageError("expected either REQUEST or --all")
    try:
        index = read_trace_index(Path(folder))
        if traces_all:
            summary = summarize(index)
            print_json(msgspec.to_builtins(summary))
            sys.exit(1 if summary.untraced else 0)
        traced = index.trace(str(request))
    except (NoArmError, UnknownRequestError, MalformedJsonError) as error:
        fail(error)
    result = trace_report(Path(folder), traced)
    Console(stderr=True).print_json(data=result)
    print_json(result)
    sys.exit(1 if traced.gaps else 0)
