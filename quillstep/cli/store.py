"""`quillstep store`: upkeep of a controller's store."""

import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import click
import msgspec
import zstandard

from quillstep.cli.output import fail, print_json
from quillstep.store import Store, StoreError

FOLDER = click.argument("folder", type=click.Path())


@click.group()
def store() -> None:
    """A controller's store: check, compact, export, import.  FOLDER is `store.folder` of its settings."""


def _open_store(folder: str, write: bool = False) -> Store:
    if not write and not Path(folder).is_dir():
        fail(f"{folder}: no store there")
    try:
        opened = Store(folder, write=write)
    except StoreError as error:
        fail(error)
    click.get_current_context().call_on_close(opened.close)
    return opened


@store.command()
@FOLDER
def check(folder: str) -> None:
    """Read all of it; status 1 if anything does not fit its checksum."""
    try:
        result = _open_store(folder).check()
    except StoreError as error:
        result = {"bad": [str(error)]}
    print_json(result)
    sys.exit(1 if result["bad"] else 0)


@store.command()
@FOLDER
@click.argument("to", type=click.Path())
def compact(folder: str, to: str) -> None:
    """Copy it without its free pages; a running controller goes on meanwhile."""
    if Path(to).exists():
        fail(f"{to}: it is there already")
    try:
        _open_store(folder).compact(Path(to))
    except (StoreError, OSError) as error:
        fail(error)
    sizes = [sum(path.stat().st_size for path in Path(each).glob("data.mdb")) for each in (folder, to)]
    print_json({"bytes_before": sizes[0], "bytes_after": sizes[1]})


@store.command()
@FOLDER
@click.argument("file", type=click.Path())
def export(folder: str, file: str) -> None:
    """All rows as JSON lines, zstd."""
    count = 0
    try:
        with Path(file).open("xb") as raw, zstandard.ZstdCompressor().stream_writer(raw) as out:
            for row in _open_store(folder).export_rows():
                out.write(msgspec.json.encode(row) + b"\n")
                count += 1
            out.write(msgspec.json.encode({"rows": count}) + b"\n")  # an export without its last line is torn
    except (OSError, StoreError) as error:
        fail(error)
    print_json({"rows": count})


@store.command("import")
@FOLDER
@click.argument("file", type=click.Path(exists=True))
def import_export(folder: str, file: str) -> None:
    """Rows of an export, into a store that may be new; all of them or none."""
    try:
        print_json({"rows": _open_store(folder, write=True).import_rows(_read_export(file))})
    except (ValueError, StoreError, zstandard.ZstdError) as error:  # a line that does not decode is a ValueError
        fail(error)


def _read_export(file: str) -> Iterator[dict[str, Any]]:
    """The rows of an export.

    Raises:
        ValueError: the export is torn, or a line does not decode.
    """
    with Path(file).open("rb") as raw, zstandard.ZstdDecompressor().stream_reader(raw) as stream:
        rows = [msgspec.json.decode(line) for line in stream.read().splitlines()]
    if not rows or rows[-1] != {"rows": len(rows) - 1}:
        raise ValueError(f"{file} is torn: its last line does not say how many rows it has")
    yield from rows[:-1]
