"""`quillstep store`: checks, compacts, exports and imports a controller's store."""

import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import click
import msgspec
import zstandard

from quillstep.cli.output import fail, print_json
from quillstep.net.json_decoder import decode_json
from quillstep.store import Store, StoreError

FOLDER = click.argument("folder", type=click.Path())


@click.group()
def store() -> None:
    """Maintain a controller's store.  FOLDER is `store.folder` of its settings."""


def _open_store(folder: str, write: bool = False) -> Store:
    if not write and not Path(folder).is_dir():
        fail(f"{folder}: no store found")
    try:
        opened = Store(folder, write=write)
    except StoreError as error:
        fail(error)
    click.get_current_context().call_on_close(opened.close)
    return opened


@store.command()
@FOLDER
def check(folder: str) -> None:
    """Read all rows and check their checksums; status 1 if any does not match."""
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
    """Copy the store without its free pages; a running controller is not interrupted."""
    if Path(to).exists():
        fail(f"{to}: already exists")
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
    """Export all rows as JSON lines, compressed with zstd."""
    count = 0
    try:
        with Path(file).open("xb") as raw, zstandard.ZstdCompressor().stream_writer(raw) as out:
            for row in _open_store(folder).export_rows():
                out.write(msgspec.json.encode(row) + b"\n")
                count += 1
            out.write(msgspec.json.encode({"rows": count}) + b"\n")  # without this line an export is truncated
    except (OSError, StoreError) as error:
        fail(error)
    print_json({"rows": count})


@store.command("import")
@FOLDER
@click.argument("file", type=click.Path(exists=True))
def import_export(folder: str, file: str) -> None:
    """Import the rows of an export into a new or existing store: all of them or none."""
    try:
        print_json({"rows": _open_store(folder, write=True).import_rows(_read_export(file))})
    except (ValueError, StoreError, zstandard.ZstdError) as error:  # a line that does not decode is a ValueError
        fail(error)


def _read_export(file: str) -> Iterator[dict[str, Any]]:
    """Yields the rows of an export.

    Raises:
        ValueError: The export is truncated, or a line cannot be decoded.
    """
    with Path(file).open("rb") as raw, zstandard.ZstdDecompressor().stream_reader(raw) as stream:
        rows = [decode_json(line) for line in stream.read().splitlines()]
    if not rows or rows[-1] != {"rows": len(rows) - 1}:
        raise ValueError(f"{file} is truncated: the last line does not hold the number of rows")
    yield from rows[:-1]
