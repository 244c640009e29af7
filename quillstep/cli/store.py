"""`quillstep tables` and `quillstep store`: versions of tables, the way back, the store's upkeep."""

import getpass
import sys
import time
from collections.abc import Iterator
from datetime import datetime
from pathlib import Path
from typing import Any, NoReturn

import click
import msgspec
import zstandard
from rich.console import Console
from rich.table import Table

from quillstep.config.controller import ControllerSettings
from quillstep.config.errors import ConfigError
from quillstep.config.loading import load
from quillstep.routing.resources import MAX_TABLES, table_number_offset
from quillstep.store import Store, StoreError
from quillstep.store.records import (
    ACKNOWLEDGED_UPDATES,
    OPERATOR_COMMANDS,
    PINS,
    VERSIONS,
    Entry,
    OperatorCommand,
    VersionRow,
    number_key,
)

TAKEN_S = 5.0  # that a running pilot is given to take an order
LOOK_S = 0.05


def fail(text: Any) -> NoReturn:
    click.echo(f"quillstep: {text}", err=True)
    sys.exit(2)


class Desk:
    """A pilot's store as its settings name it, for one command."""

    def __init__(self, path: str, write: bool = False) -> None:
        try:
            self.record = load(ControllerSettings, path)
        except ConfigError as fault:
            fail(fault)
        if not self.record.store.folder:
            fail(f"{path}: store.folder: found nothing, expected a folder")
        fleet = self.record.fleet
        self.terms = table_number_offset(fleet.zones, any(row.home_zone_only for row in fleet.classes))
        try:
            self.store = Store(self.record.store.folder, self.record.store.max_size_bytes, write=write)
        except StoreError as trouble:
            fail(trouble)
        click.get_current_context().call_on_close(self.store.close)

    def tables(self, table: int | None, zone: str | None) -> list[int]:
        """The tables that are meant: one by its number, a zone's, or all that the store knows."""
        known = sorted({row.table for _, row in self.rows(VERSIONS)})
        if table is not None:
            found = [self.terms + table]
        elif zone:
            if zone not in self.record.fleet.zones:
                fail(f"zone {zone}: expected one of {', '.join(self.record.fleet.zones)}")
            found = [self.terms + 1 + self.record.fleet.zones.index(zone)]
        else:
            found = known
        if not set(found) <= set(known):
            fail(f"table {table if table is not None else zone}: the store knows no version of it")
        return found

    def rows(self, part: str) -> list[tuple[bytes, Any]]:
        try:
            return self.store.rows(part)
        except StoreError as trouble:
            fail(trouble)

    def versions(self, table: int) -> list[VersionRow]:
        try:
            return self.store.versions(table)
        except StoreError as trouble:
            fail(trouble)

    def version(self, table: int, name: str) -> VersionRow:
        """By its name or the beginning of one; `~3`: three versions before the newest."""
        rows = self.versions(table)
        if name.startswith("~") and name[1:].isdigit():
            back = int(name[1:])
            if back >= len(rows):
                fail(f"table {table % MAX_TABLES}: {len(rows)} versions are known, not {back} before the newest")
            return rows[-1 - back]
        found = {row.name: row for row in rows if row.name.startswith(name)}
        if len(found) != 1:
            fail(f"table {table % MAX_TABLES}: {len(found)} versions begin with {name!r}, expected one")
        return next(iter(found.values()))

    def at(self, table: int, moment: str) -> VersionRow:
        """The version that stood at a moment (ISO 8601; without a zone: this machine's)."""
        try:
            wall_ms = datetime.fromisoformat(moment).timestamp() * 1000.0
        except ValueError:
            fail(f"--at {moment}: expected a time such as 2026-12-01T18:30:00")
        rows = [row for row in self.versions(table) if row.wall_ms <= wall_ms]
        if not rows:
            fail(f"table {table % MAX_TABLES}: nothing stood at {moment}")
        return rows[-1]

    def ask(self, kind: str, targets: list[tuple[int, str]]) -> dict[str, Any]:
        """Write an operator's order down, and wait a little for a running pilot to take it."""
        key = number_key(time.time_ns())
        wish = OperatorCommand(kind, targets, getpass.getuser(), time.time() * 1000.0)
        try:
            self.store.write([Entry(OPERATOR_COMMANDS, key, wish)])
            until = time.monotonic() + TAKEN_S
            while time.monotonic() < until and any(found == key for found, _ in self.store.rows(OPERATOR_COMMANDS)):
                time.sleep(LOOK_S)
            taken = all(found != key for found, _ in self.store.rows(OPERATOR_COMMANDS))
        except StoreError as trouble:
            fail(trouble)
        return {
            "asked": kind,
            "targets": [[table % MAX_TABLES, name] for table, name in targets],
            "taken": taken,
        }


def say(found: Any) -> None:
    click.echo(msgspec.json.encode(found).decode())


def fields_of(row: msgspec.Struct) -> dict[str, Any]:
    """A row's values under the names that its fields have in reports."""
    return dict(zip(row.__struct_encode_fields__, msgspec.to_builtins(row), strict=True))


def plain(row: VersionRow) -> dict[str, Any]:
    return {**fields_of(row), "table": row.table % MAX_TABLES}


@click.group()
def tables() -> None:
    """Versions of tables and the way back.  SETTINGS is a pilot's; the last line of output is one JSON object."""


SETTINGS = click.argument("settings", type=click.Path(exists=True))


@tables.command("log")
@SETTINGS
@click.option("--table", type=int, help="One table's alone.")
@click.option("--limit", default=20, show_default=True)
def log_of(settings: str, table: int | None, limit: int) -> None:
    """The newest versions, what each was made by and from what, and what is pinned."""
    desk = Desk(settings)
    pins = {(pin.table, pin.name) for _, pin in desk.rows(PINS)}
    rows = [row for number in desk.tables(table, None) for row in desk.versions(number)]
    rows = sorted(rows, key=lambda row: row.wall_ms)[-limit:]
    shown = Table(title=f"versions of {desk.record.name}")
    for name in ("when", "table", "version", "parent", "cause", "who", "lines", "order", "life", "pinned"):
        shown.add_column(name)
    for row in rows:
        when = datetime.fromtimestamp(row.wall_ms / 1000.0).isoformat(timespec="milliseconds")
        pinned = "pinned" if (row.table, row.name) in pins else ""
        shown.add_row(
            when,
            str(row.table % MAX_TABLES),
            row.name,
            row.parent,
            row.cause,
            row.operator,
            str(len(row.weights)),
            str(row.revision),
            row.incarnation,
            pinned,
        )
    Console(stderr=True).print(shown)
    keep = ("table", "name", "parent", "cause", "who", "wall_ms", "order", "life")
    say({"versions": [{name: plain(row)[name] for name in keep} for row in rows],
         "pins": [[table % MAX_TABLES, name] for table, name in sorted(pins)]})  # fmt: skip


@tables.command()
@SETTINGS
def held(settings: str) -> None:
    """Which order of which life each proxy acknowledged last, and how long ago."""
    desk = Desk(settings)
    now_ms = time.time() * 1000.0
    rows = [fields_of(update) for _, update in desk.rows(ACKNOWLEDGED_UPDATES)]
    shown = Table(title=f"acknowledged last, by {desk.record.name}'s store")
    for column in ("proxy", "life", "order", "seconds ago"):
        shown.add_column(column)
    for row in rows:
        shown.add_row(row["node"], row["life"], str(row["order"]), f"{(now_ms - row['wall_ms']) / 1000.0:.1f}")
    Console(stderr=True).print(shown)
    say({"proxies": rows})


@tables.command()
@SETTINGS
@click.argument("table", type=int)
@click.argument("version", default="~0")
def show(settings: str, table: int, version: str) -> None:
    """One version whole: a name, the beginning of one, or ~N (N before the newest)."""
    desk = Desk(settings)
    say(plain(desk.version(desk.tables(table, None)[0], version)))


@tables.command()
@SETTINGS
@click.argument("table", type=int)
@click.argument("one")
@click.argument("other", default="~0")
def diff(settings: str, table: int, one: str, other: str) -> None:
    """What changed from one version to another: [endpoint, before, after], 0 where there is no line."""
    desk = Desk(settings)
    number = desk.tables(table, None)[0]
    before, after = (desk.version(number, name) for name in (one, other))
    lines = [dict(row.weights) for row in (before, after)]
    levels = [{place: (allowed, tries) for place, allowed, tries in row.admission} for row in (before, after)]
    changed = [
        [endpoint, lines[0].get(endpoint, 0.0), lines[1].get(endpoint, 0.0)]
        for endpoint in sorted({*lines[0], *lines[1]})
        if lines[0].get(endpoint) != lines[1].get(endpoint)
    ]
    moved = [
        [place, levels[0].get(place), levels[1].get(place)]
        for place in sorted({*levels[0], *levels[1]})
        if levels[0].get(place) != levels[1].get(place)
    ]
    say({"from": before.name, "to": after.name, "lines": changed, "levels": moved})


def target_options(command: Any) -> Any:
    for option in (
        click.option("--table", type=int, help="One table."),
        click.option("--zone", help="The table of a zone's own classes."),
        click.option("--all", "all_of_them", is_flag=True, help="All tables."),
    ):
        command = option(command)
    return command


def meant(desk: Desk, table: int | None, zone: str | None, all_of_them: bool) -> list[int]:
    if sum((table is not None, zone is not None, all_of_them)) != 1:
        raise click.UsageError("name one of --table, --zone, --all")
    return desk.tables(table, zone)


@tables.command()
@SETTINGS
@target_options
@click.option("--version", help="A name, the beginning of one, or ~N.  Default: what stands now.")
def pin(settings: str, table: int | None, zone: str | None, all_of_them: bool, version: str | None) -> None:
    """Keep tables as they are in a version, whatever the module says, until they are released."""
    desk = Desk(settings, write=True)
    targets = [(n, desk.version(n, version or "~0").name) for n in meant(desk, table, zone, all_of_them)]
    say(desk.ask("pin", targets))


@tables.command()
@SETTINGS
@target_options
@click.option("--version", help="A name, the beginning of one, or ~N.  Default: ~1, the one before.")
@click.option("--at", "moment", help="What stood at a time, e.g. 2026-12-01T18:30:00.")
def rollback(
    settings: str, table: int | None, zone: str | None, all_of_them: bool, version: str | None, moment: str | None
) -> None:
    """Go back to a version and stay there until released."""
    desk = Desk(settings, write=True)
    if version and moment:
        raise click.UsageError("name --version or --at")
    targets = []
    for number in meant(desk, table, zone, all_of_them):
        row = desk.at(number, moment) if moment else desk.version(number, version or "~1")
        targets.append((number, row.name))
    say(desk.ask("rollback", targets))


@tables.command()
@SETTINGS
@target_options
def release(settings: str, table: int | None, zone: str | None, all_of_them: bool) -> None:
    """Give pinned tables back to the module, which takes over a part of the traffic at a time."""
    desk = Desk(settings, write=True)
    say(desk.ask("release", [(number, "") for number in meant(desk, table, zone, all_of_them)]))


@click.group()
def store() -> None:
    """A pilot's store: check, compact, export, import.  FOLDER is `store.folder` of its settings."""


FOLDER = click.argument("folder", type=click.Path())


def opened(folder: str, write: bool = False, size: int = 2**30) -> Store:
    if not write and not Path(folder).is_dir():
        fail(f"{folder}: no store there")
    try:
        found = Store(folder, size, write=write)
    except StoreError as trouble:
        fail(trouble)
    click.get_current_context().call_on_close(found.close)
    return found


@store.command()
@FOLDER
def check(folder: str) -> None:
    """Read all of it; status 1 if anything does not fit its checksum."""
    try:
        found = opened(folder).check()
    except StoreError as trouble:
        found = {"bad": [str(trouble)]}
    say(found)
    sys.exit(1 if found["bad"] else 0)


@store.command()
@FOLDER
@click.argument("to", type=click.Path())
def compact(folder: str, to: str) -> None:
    """Copy it without its free pages; a running pilot goes on meanwhile."""
    if Path(to).exists():
        fail(f"{to}: it is there already")
    try:
        opened(folder).compact(Path(to))
    except (StoreError, OSError) as trouble:
        fail(trouble)
    sizes = [sum(path.stat().st_size for path in Path(each).glob("data.mdb")) for each in (folder, to)]
    say({"bytes_before": sizes[0], "bytes_after": sizes[1]})


@store.command()
@FOLDER
@click.argument("file", type=click.Path())
def export(folder: str, file: str) -> None:
    """All rows as JSON lines, zstd."""
    count = 0
    try:
        with open(file, "xb") as raw, zstandard.ZstdCompressor().stream_writer(raw) as out:
            for line in opened(folder).export_rows():
                out.write(msgspec.json.encode(line) + b"\n")
                count += 1
            out.write(msgspec.json.encode({"rows": count}) + b"\n")  # an export without its last line is torn
    except (OSError, StoreError) as trouble:
        fail(trouble)
    say({"rows": count})


@store.command("import")
@FOLDER
@click.argument("file", type=click.Path(exists=True))
def take_in(folder: str, file: str) -> None:
    """Rows of an export, into a store that may be new; all of them or none."""

    def lines() -> Iterator[dict[str, Any]]:
        with open(file, "rb") as raw, zstandard.ZstdDecompressor().stream_reader(raw) as found:
            rows = [msgspec.json.decode(line) for line in found.read().splitlines()]
        if not rows or rows[-1] != {"rows": len(rows) - 1}:
            raise ValueError(f"{file} is torn: its last line does not say how many rows it has")
        yield from rows[:-1]

    try:
        say({"rows": opened(folder, write=True).import_rows(lines())})
    except (ValueError, StoreError, zstandard.ZstdError) as trouble:  # a line that does not decode is a ValueError
        fail(trouble)
