"""The store's thread in a controller: commits what the deciding thread submits, in groups, and reports what is durable.

The deciding thread never waits for the disk: its updates wait, up to a time.  Where the store fails, that is logged,
and the controller goes on without it.
"""

import contextlib
import queue
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

import structlog

from quillstep.config.controller import StoreSettings
from quillstep.routing.versions import TableVersion
from quillstep.store.errors import StoreCorruptError, StoreError
from quillstep.store.events import (
    OperatorRequest,
    OperatorTarget,
    PinnedVersion,
    StoreEvent,
    StoreLost,
    StoreOpened,
    UpdatesStored,
)
from quillstep.store.records import (
    ACKNOWLEDGED_UPDATES,
    INCARNATIONS,
    JOURNAL,
    OPERATOR_COMMANDS,
    PINS,
    VERSIONS,
    AcknowledgedUpdate,
    Entry,
    IncarnationRow,
    PinRow,
    VersionRow,
    number_key,
)
from quillstep.store.store import Store, ignore_step, set_aside

MAX_GROUP = 256  # submissions in one commit
MAX_WAITING = 4096  # submissions, beyond which journal rows are left out
MAX_NODE_KEY_BYTES = 400  # LMDB's keys have at most 511
RETENTION_INTERVAL_S = 60.0
MS_PER_HOUR = 3_600_000.0
INCARNATION_KEY = number_key(0)


def open_store(settings: StoreSettings, on_step: Callable[[str], None] = ignore_step) -> Store:
    """Opens the configured store; a corrupt one is set aside and a new one begun.

    Raises:
        StoreError: It cannot be used for another reason.
    """
    try:
        store = Store(settings.folder, settings.max_size_bytes, settings.fsync, on_step=on_step)
        for part in (PINS, OPERATOR_COMMANDS, INCARNATIONS):
            store.rows(part)
    except StoreCorruptError as error:
        aside = set_aside(Path(settings.folder))
        structlog.get_logger("store").error("store set aside", reason=str(error), now=str(aside))
        return Store(settings.folder, settings.max_size_bytes, settings.fsync, on_step=on_step)
    return store


class Submission(NamedTuple):
    """Entries to write, and the revision that is durable once they are."""

    revision: int
    entries: list[Entry]


class StoreWriter:
    """One controller's store.

    The deciding thread makes entries and submits them; `run` is the store's thread, which alone writes.  What both use
    is the queue of submissions.  `put` takes events for the deciding thread; it may block the store's thread.
    """

    def __init__(
        self, settings: StoreSettings, store: Store, incarnation: str, put: Callable[[StoreEvent], None]
    ) -> None:
        self.settings, self.store, self.incarnation, self.put = settings, store, incarnation, put
        self.submissions: queue.Queue[Submission] = queue.Queue()
        self.version_numbers: dict[int, int] = {}  # the last, by table
        self.journal_number = store.last_number(JOURNAL, b"")
        self.stopping = threading.Event()
        self.failure = ""  # why the store is no longer written; empty: it is
        self.delivered_commands: set[bytes] = set()  # keys of operators' commands that the deciding thread has
        self.commits, self.commit_ms, self.max_commit_ms, self.skipped_journal_rows = 0, 0.0, 0.0, 0
        self.log = structlog.get_logger("store")

    # in the deciding thread

    def opened_event(self) -> StoreOpened:
        """Returns what the last incarnation left: the newest versions of each table, and its pins."""
        tables: dict[int, list[VersionRow]] = {}
        for _, row in self.store.rows(VERSIONS):
            tables.setdefault(row.table, []).append(row)
        recovered = [row for rows in tables.values() for row in rows[-self.settings.recovered_versions :]]
        by_name = {(row.table, row.name): row for rows in tables.values() for row in rows}
        pinned = []
        for _, pin in self.store.rows(PINS):
            if row := by_name.get((pin.table, pin.name)):
                pinned.append(PinnedVersion(version_values(row), pin.cause, pin.operator))
            else:
                reason = "its version is not kept"
                self.log.error("pin passed over", table=pin.table, version=pin.name, reason=reason)
        return StoreOpened(time.time() * 1000.0, [version_values(row) for row in recovered], pinned)

    def version_entry(self, version: TableVersion, wall_ms: float) -> Entry:
        """Returns a version as the next row of its table."""
        table = version.table
        if table not in self.version_numbers:
            self.version_numbers[table] = self.store.last_number(VERSIONS, number_key(table))
        self.version_numbers[table] += 1
        row = VersionRow(
            name=version.name,
            table=table,
            parent=version.parent,
            cause=version.cause,
            operator=version.operator,
            wall_ms=wall_ms,
            incarnation=self.incarnation,
            revision=version.revision,
            weights=sorted(version.weights.items()),
            admission=sorted((class_index, *limit) for class_index, limit in version.admission.items()),
        )
        return Entry(VERSIONS, number_key(table, self.version_numbers[table]), row)

    def acknowledged_entry(self, node: str, revision: int, wall_ms: float) -> Entry:
        """Returns the newest revision that a proxy has acknowledged."""
        row = AcknowledgedUpdate(node, self.incarnation, revision, wall_ms)
        return Entry(ACKNOWLEDGED_UPDATES, node.encode()[:MAX_NODE_KEY_BYTES], row)

    def journal_entries(self, revision: int, wall_ms: float, orders: list[Any]) -> list[Entry]:
        """Returns the journal row of what the planner wrote in an update; none while the disk is behind."""
        if self.submissions.qsize() > MAX_WAITING:
            self.skipped_journal_rows += 1
            return []
        self.journal_number += 1
        return [Entry(JOURNAL, number_key(self.journal_number), [self.incarnation, revision, wall_ms, orders])]

    @staticmethod
    def pin_entry(version: TableVersion, wall_ms: float) -> Entry:
        """Returns the pin of a table to a version."""
        row = PinRow(version.table, version.name, version.operator, wall_ms, version.cause)
        return Entry(PINS, number_key(version.table), row)

    @staticmethod
    def release_entry(table: int) -> Entry:
        """Returns the removal of a table's pin."""
        return Entry(PINS, number_key(table), None)

    @staticmethod
    def command_done_entry(key: str) -> Entry:
        """Returns the removal of an operator's command that was carried out."""
        return Entry(OPERATOR_COMMANDS, bytes.fromhex(key), None)

    def submit(self, revision: int, entries: list[Entry]) -> None:
        """Submits entries to be written; the revision is reported as durable once they are."""
        if not self.failure:
            self.submissions.put(Submission(revision, entries))

    # in the store's thread

    def run(self) -> None:
        """Writes submissions, delivers operators' commands and applies the retention until `stop`; closes the store."""
        try:
            incarnation = IncarnationRow(self.incarnation, time.time() * 1000.0)
            self.store.write([Entry(INCARNATIONS, INCARNATION_KEY, incarnation)])
            self._serve()
            incarnation.ended_ms = time.time() * 1000.0
            self.store.write([Entry(INCARNATIONS, INCARNATION_KEY, incarnation)])
        except StoreError as error:
            self._fail(error)
        finally:
            with contextlib.suppress(Exception):
                self.store.close()

    def _serve(self) -> None:
        polled_s = retained_s = 0.0
        while True:
            group = self._next_group()
            if group:
                self._commit(group)
            now_s = time.monotonic()
            if now_s - polled_s > self.settings.operator_poll_interval_ms / 1000.0:
                polled_s = now_s
                self._deliver_commands()
            if now_s - retained_s > RETENTION_INTERVAL_S:
                retained_s = now_s
                self._apply_retention()
            if self.stopping.is_set() and self.submissions.empty():
                return

    def _next_group(self) -> list[Submission]:
        """Returns what has been submitted, for one commit; waits a while for the first."""
        try:
            group = [self.submissions.get(timeout=self.settings.operator_poll_interval_ms / 1000.0)]
        except queue.Empty:
            return []
        while len(group) < MAX_GROUP and not self.submissions.empty():
            group.append(self.submissions.get())
        return group

    def _commit(self, group: list[Submission]) -> None:
        begun_s = time.monotonic()
        self.store.write([entry for submission in group for entry in submission.entries])
        took_ms = (time.monotonic() - begun_s) * 1000.0
        self.commits, self.commit_ms = self.commits + 1, self.commit_ms + took_ms
        self.max_commit_ms = max(self.max_commit_ms, took_ms)
        self.put(UpdatesStored(max(submission.revision for submission in group)))

    def _deliver_commands(self) -> None:
        """Delivers each operator's command once, with the versions that it names."""
        commands = self.store.rows(OPERATOR_COMMANDS)
        self.delivered_commands &= {key for key, _ in commands}
        for key, command in commands:
            if key in self.delivered_commands:
                continue
            self.delivered_commands.add(key)
            targets = []
            for table, name in command.targets:
                rows = [row for row in self.store.versions(table) if row.name == name]
                targets.append(OperatorTarget(table, version_values(rows[-1]) if rows else []))
            self.put(OperatorRequest(key.hex(), command.kind, targets, command.operator))

    def _apply_retention(self) -> None:
        settings = self.settings
        max_age_ms = settings.keep_hours * MS_PER_HOUR
        self.store.apply_retention(time.time() * 1000.0, settings.keep_versions, max_age_ms, settings.keep_orders)

    def _fail(self, error: StoreError) -> None:
        """Goes on without a store: no update waits for it any more."""
        self.failure = str(error)
        self.log.error("store lost", kind=error.reason, reason=str(error))
        self.put(StoreLost(str(error)))

    # for both

    def stop(self) -> None:
        """Asks the store's thread to write what was submitted and to end; does not wait for it."""
        self.stopping.set()

    def figures(self) -> dict[str, float]:
        """Returns the commits so far, their mean and worst time in milliseconds, for the log."""
        mean_ms = self.commit_ms / self.commits if self.commits else 0.0
        return {"commits": self.commits, "mean_ms": round(mean_ms, 3), "worst_ms": round(self.max_commit_ms, 3)}


def version_values(row: VersionRow) -> list[Any]:
    """Returns a version as plain values, as the deciding thread and its recording take it."""
    weights = [list(weight) for weight in row.weights]
    admission = [list(limit) for limit in row.admission]
    return [row.name, row.table, row.parent, row.cause, row.operator, row.wall_ms, weights, admission]
