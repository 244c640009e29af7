"""`quillstep tables`: versions of tables, pins and rollbacks in a controller's store."""

import getpass
import time
from collections.abc import Callable
from datetime import datetime
from typing import Any, TypeVar

import click
import msgspec
from rich.console import Console
from rich.table import Table

from quillstep.cli.output import fail, load_settings, print_json
from quillstep.config.controller import ControllerSettings
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

MAX_ACCEPT_S = 5.0  # time to wait for a running controller to accept a command
POLL_INTERVAL_S = 0.05
LOG_KEYS = ("table", "name", "parent", "cause", "who", "wall_ms", "order", "life")
LOG_COLUMNS = (
    "when", "table", "version", "parent", "cause", "operator", "weights", "revision", "incarnation", "pinned",
)  # fmt: skip
SETTINGS = click.argument("settings", type=click.Path(exists=True))

C = TypeVar("C", bound=Callable[..., Any])


class TableStore:
    """The store that a controller's settings name, opened for one command; an error prints one line and exits."""

    def __init__(self, path: str, write: bool = False) -> None:
        self.record = load_settings(ControllerSettings, path)
        if not self.record.store.folder:
            fail(f"{path}: store.folder: found nothing, expected a folder")
        fleet = self.record.fleet
        self._table_offset = table_number_offset(fleet.zones, any(row.home_zone_only for row in fleet.classes))
        try:
            self.store = Store(self.record.store.folder, self.record.store.max_size_bytes, write=write)
        except StoreError as error:
            fail(error)
        click.get_current_context().call_on_close(self.store.close)

    def select(self, table: int | None, zone: str | None) -> list[int]:
        """Returns the numbers of the selected tables: one by its number, a zone's, or all in the store."""
        stored = sorted({row.table for _, row in self.rows(VERSIONS)})
        if table is not None:
            selected = [self._table_offset + table]
        elif zone:
            if zone not in self.record.fleet.zones:
                fail(f"zone {zone}: expected one of {', '.join(self.record.fleet.zones)}")
            selected = [self._table_offset + 1 + self.record.fleet.zones.index(zone)]
        else:
            selected = stored
        if not set(selected) <= set(stored):
            fail(f"table {table if table is not None else zone}: no version in the store")
        return selected

    def rows(self, part: str) -> list[tuple[bytes, Any]]:
        """Returns all keys and rows of one part of the store."""
        try:
            return self.store.rows(part)
        except StoreError as error:
            fail(error)

    def versions(self, table: int) -> list[VersionRow]:
        """Returns a table's versions, oldest first."""
        try:
            return self.store.versions(table)
        except StoreError as error:
            fail(error)

    def version(self, table: int, name: str) -> VersionRow:
        """Returns a version by its name or a unique prefix; `~3` is three versions before the newest."""
        rows = self.versions(table)
        if name.startswith("~") and name[1:].isdigit():
            back = int(name[1:])
            if back >= len(rows):
                fail(f"table {table % MAX_TABLES}: {len(rows)} versions are known, none is {back} before the newest")
            return rows[-1 - back]
        matching = {row.name: row for row in rows if row.name.startswith(name)}
        if len(matching) != 1:
            fail(f"table {table % MAX_TABLES}: {len(matching)} versions begin with {name!r}, expected one")
        return next(iter(matching.values()))

    def version_at(self, table: int, moment: str) -> VersionRow:
        """Returns the version in effect at a time (ISO 8601; local time if it has no UTC offset)."""
        try:
            wall_ms = datetime.fromisoformat(moment).timestamp() * 1000.0
        except ValueError:
            fail(f"--at {moment}: expected a time such as 2026-12-01T18:30:00")
        rows = [row for row in self.versions(table) if row.wall_ms <= wall_ms]
        if not rows:
            fail(f"table {table % MAX_TABLES}: no version was in effect at {moment}")
        return rows[-1]

    def request(self, kind: str, targets: list[tuple[int, str]]) -> dict[str, Any]:
        """Stores an operator's command and waits up to `MAX_ACCEPT_S` for a running controller to accept it.

        Returns:
            What is printed: the command, its targets, and whether it was accepted in time.
        """
        # The clock may have been set back since the last command: commands are executed in the order of their keys.
        key = number_key(max(time.time_ns(), self.store.last_number(OPERATOR_COMMANDS, b"") + 1))
        command = OperatorCommand(kind, targets, getpass.getuser(), time.time() * 1000.0)
        try:
            self.store.write([Entry(OPERATOR_COMMANDS, key, command)])
            deadline_s = time.monotonic() + MAX_ACCEPT_S
            while time.monotonic() < deadline_s and self._is_pending(key):
                time.sleep(POLL_INTERVAL_S)
            is_accepted = not self._is_pending(key)
        except StoreError as error:
            fail(error)
        return {
            "asked": kind,
            "targets": [[table % MAX_TABLES, name] for table, name in targets],
            "taken": is_accepted,
        }

    def _is_pending(self, key: bytes) -> bool:
        return any(pending == key for pending, _ in self.store.rows(OPERATOR_COMMANDS))


def _fields_of(row: msgspec.Struct) -> dict[str, Any]:
    """Returns a row's values under the names of its fields in JSON."""
    return dict(zip(row.__struct_encode_fields__, msgspec.to_builtins(row), strict=True))


def _version_fields(row: VersionRow) -> dict[str, Any]:
    return {**_fields_of(row), "table": row.table % MAX_TABLES}


@click.group()
def tables() -> None:
    """Show, pin and roll back versions of tables.  SETTINGS is a controller's settings file.

    The last line of standard output is one JSON object.
    """


@tables.command("log")
@SETTINGS
@click.option("--table", type=int, help="Only versions of this table.")
@click.option("--limit", default=20, show_default=True)
def log_versions(settings: str, table: int | None, limit: int) -> None:
    """List the newest versions with their parents and causes, and the pins."""
    store = TableStore(settings)
    pins = {(pin.table, pin.name) for _, pin in store.rows(PINS)}
    rows = [row for number in store.select(table, None) for row in store.versions(number)]
    rows = sorted(rows, key=lambda row: row.wall_ms)[-limit:]
    shown = Table(*LOG_COLUMNS, title=f"versions of {store.record.name}")
    for row in rows:
        shown.add_row(*_log_cells(row, is_pinned=(row.table, row.name) in pins))
    Console(stderr=True).print(shown)
    print_json({
        "versions": [{name: _version_fields(row)[name] for name in LOG_KEYS} for row in rows],
        "pins": [[table % MAX_TABLES, name] for table, name in sorted(pins)],
    })  # fmt: skip


def _log_cells(row: VersionRow, is_pinned: bool) -> list[str]:
    time_text = datetime.fromtimestamp(row.wall_ms / 1000.0).isoformat(timespec="milliseconds")
    table, weights = str(row.table % MAX_TABLES), str(len(row.weights))
    origin = [row.name, row.parent, row.cause, row.operator, weights, str(row.revision), row.incarnation]
    return [time_text, table, *origin, "pinned" if is_pinned else ""]


@tables.command("held")
@SETTINGS
def show_acknowledged(settings: str) -> None:
    """Show the update that each proxy acknowledged last, its incarnation and its age."""
    store = TableStore(settings)
    now_ms = time.time() * 1000.0
    rows = [_fields_of(update) for _, update in store.rows(ACKNOWLEDGED_UPDATES)]
    shown = Table(
        "proxy", "incarnation", "revision", "seconds ago", title=f"last acknowledged updates of {store.record.name}"
    )
    for row in rows:
        shown.add_row(row["node"], row["life"], str(row["order"]), f"{(now_ms - row['wall_ms']) / 1000.0:.1f}")
    Console(stderr=True).print(shown)
    print_json({"proxies": rows})


@tables.command()
@SETTINGS
@click.argument("table", type=int)
@click.argument("version", default="~0")
def show(settings: str, table: int, version: str) -> None:
    """Print one version in full: a name, a unique prefix of one, or ~N (N before the newest)."""
    store = TableStore(settings)
    print_json(_version_fields(store.version(store.select(table, None)[0], version)))


@tables.command()
@SETTINGS
@click.argument("table", type=int)
@click.argument("one")
@click.argument("other", default="~0")
def diff(settings: str, table: int, one: str, other: str) -> None:
    """Print the changes from one version to another: [endpoint, before, after], 0 where there is no weight."""
    store = TableStore(settings)
    number = store.select(table, None)[0]
    before, after = store.version(number, one), store.version(number, other)
    limits = [
        {class_index: (limit, retry_policy) for class_index, limit, retry_policy in row.admission}
        for row in (before, after)
    ]
    print_json({
        "from": before.name,
        "to": after.name,
        "lines": _differences(dict(before.weights), dict(after.weights), 0.0),
        "levels": _differences(limits[0], limits[1], None),
    })  # fmt: skip


def _differences(before: dict[int, Any], after: dict[int, Any], absent: Any) -> list[list[Any]]:
    """Returns [key, value before, value after] for each key whose values differ."""
    changed = []
    for key in sorted({*before, *after}):
        if before.get(key) != after.get(key):
            changed.append([key, before.get(key, absent), after.get(key, absent)])
    return changed


def target_options(command: C) -> C:
    """Adds the options that select the tables of a command."""
    for option in (
        click.option("--table", type=int, help="One table."),
        click.option("--zone", help="The table of this zone's home-zone classes."),
        click.option("--all", "all_tables", is_flag=True, help="All tables."),
    ):
        command = option(command)
    return command


def _select_targets(store: TableStore, table: int | None, zone: str | None, all_tables: bool) -> list[int]:
    if sum((table is not None, zone is not None, all_tables)) != 1:
        raise click.UsageError("expected exactly one of --table, --zone, --all")
    return store.select(table, zone)


@tables.command()
@SETTINGS
@target_options
@click.option("--version", help="A name, a unique prefix of one, or ~N.  Default: the version in effect.")
def pin(settings: str, table: int | None, zone: str | None, all_tables: bool, version: str | None) -> None:
    """Pin tables to a version, whatever the planner decides, until they are released."""
    store = TableStore(settings, write=True)
    numbers = _select_targets(store, table, zone, all_tables)
    targets = [(number, store.version(number, version or "~0").name) for number in numbers]
    print_json(store.request("pin", targets))


@tables.command()
@SETTINGS
@target_options
@click.option("--version", help="A name, a unique prefix of one, or ~N.  Default: ~1, the version before the newest.")
@click.option("--at", "moment", help="The version in effect at this time, e.g. 2026-12-01T18:30:00.")
def rollback(
    settings: str, table: int | None, zone: str | None, all_tables: bool, version: str | None, moment: str | None
) -> None:
    """Roll tables back to a version and pin them to it until they are released."""
    store = TableStore(settings, write=True)
    if version and moment:
        raise click.UsageError("expected at most one of --version, --at")
    targets = []
    for number in _select_targets(store, table, zone, all_tables):
        row = store.version_at(number, moment) if moment else store.version(number, version or "~1")
        targets.append((number, row.name))
    print_json(store.request("rollback", targets))


@tables.command()
@SETTINGS
@target_options
def release(settings: str, table: int | None, zone: str | None, all_tables: bool) -> None:
    """Release pinned tables to the planner, which takes over a share of the traffic at a time."""
    store = TableStore(settings, write=True)
    print_json(store.request("release", [(n, "") for n in _select_targets(store, table, zone, all_tables)]))
