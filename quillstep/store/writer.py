"""The store writer of a controller: commits submissions of the deciding thread in groups, then reports them durable.

The deciding thread never blocks on the disk; instead, updates are withheld for a limited time until they are durable.
While the disk does not take writes, the controller continues without waiting for them, and what was submitted is
written once the disk works again.  If the store fails for good, the controller continues without a store.
"""

import contextlib
import queue
import threading
import time
from collections.abc import Callable
from pathlib import Path
from random import Random
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
    StoreOpened,
    StoreUnavailable,
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
    numbers_of,
)
from quillstep.store.store import Store, ignore_step, rename_corrupt_store

MAX_SUBMISSIONS_PER_COMMIT = 256
MAX_QUEUED_SUBMISSIONS = 4096  # no journal rows are added while more submissions are queued
MAX_NODE_KEY_BYTES = 400  # below the limit of LMDB, whose keys have at most 511 bytes
RETENTION_INTERVAL_S = 60.0
MS_PER_HOUR = 3_600_000.0
MAX_CLOCK_STEP_MS = MS_PER_HOUR
MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S = 0.25, 15.0
MAX_OWED_ENTRIES = 10_000
INCARNATION_KEY = number_key(0)


def open_store(settings: StoreSettings, on_step: Callable[[str], None] = ignore_step) -> Store:
    """Opens the configured store; a corrupt store is renamed and a new one is created.

    Raises:
        StoreError: The store cannot be used for a reason other than corruption.
    """
    try:
        store = Store(settings.folder, settings.max_size_bytes, settings.fsync, on_step=on_step)
        for part in (PINS, OPERATOR_COMMANDS, INCARNATIONS):
            store.rows(part)
    except StoreCorruptError as error:
        path = rename_corrupt_store(Path(settings.folder))
        structlog.get_logger("store").error("corrupt store renamed", reason=str(error), path=str(path))
        return Store(settings.folder, settings.max_size_bytes, settings.fsync, on_step=on_step)
    return store


class Submission(NamedTuple):
    """Entries to write, and the revision that is durable once they are written."""

    revision: int
    entries: list[Entry]


class StoreWriter:
    """Writes one controller's store.

    The deciding thread creates entries and submits them.  `run` is executed by the store's thread, which alone writes
    to the store.  Both threads share the queue of submissions.  `put` publishes events to the deciding thread; it may
    block the store's thread.
    """

    def __init__(
        self, settings: StoreSettings, store: Store, incarnation: str, put: Callable[[StoreEvent], None]
    ) -> None:
        self.settings, self.store, self.incarnation, self.put = settings, store, incarnation, put
        self.submissions: queue.Queue[Submission] = queue.Queue()
        self.version_numbers = _last_version_numbers(store)  # last number used, by table
        self.journal_number = store.last_number(JOURNAL, b"")
        self.stopping = threading.Event()
        self.failure = ""  # why the store has failed; empty while it works
        self.is_lost = False  # the store has failed for good
        self.owed: list[Submission] = []  # taken from the queue and not written yet
        self.retry_delay_s = MIN_RETRY_DELAY_S
        self.next_attempt_s = 0.0
        self._random = Random(incarnation)
        self.published_commands: set[bytes] = set()  # keys of operators' commands sent to the deciding thread
        self.commits, self.commit_ms, self.max_commit_ms, self.skipped_journal_rows = 0, 0.0, 0.0, 0
        self.log = structlog.get_logger("store")

    # methods of the deciding thread

    def opened_event(self) -> StoreOpened:
        """Returns the state stored by earlier incarnations: the newest versions of each table, and the pins."""
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
                reason = "version not retained"
                self.log.error("pin skipped", table=pin.table, version=pin.name, reason=reason)
        return StoreOpened(time.time() * 1000.0, [version_values(row) for row in recovered], pinned)

    def version_entry(self, version: TableVersion, wall_ms: float) -> Entry:
        """Returns the entry of a version, numbered after the last one of its table."""
        table = version.table
        self.version_numbers[table] = self.version_numbers.get(table, 0) + 1
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
        """Returns the entry of the newest revision that a proxy has acknowledged."""
        row = AcknowledgedUpdate(node, self.incarnation, revision, wall_ms)
        return Entry(ACKNOWLEDGED_UPDATES, node.encode()[:MAX_NODE_KEY_BYTES], row)

    def journal_entries(self, revision: int, wall_ms: float, output: list[Any]) -> list[Entry]:
        """Returns the journal entry of the planner's output in an update; none while the disk is behind or fails."""
        if self.failure or self.submissions.qsize() > MAX_QUEUED_SUBMISSIONS:
            self.skipped_journal_rows += 1
            return []
        self.journal_number += 1
        return [Entry(JOURNAL, number_key(self.journal_number), [self.incarnation, revision, wall_ms, output])]

    @staticmethod
    def pin_entry(version: TableVersion, wall_ms: float) -> Entry:
        """Returns the entry that pins a table to a version."""
        row = PinRow(version.table, version.name, version.operator, wall_ms, version.cause)
        return Entry(PINS, number_key(version.table), row)

    @staticmethod
    def release_entry(table: int) -> Entry:
        """Returns the entry that removes a table's pin."""
        return Entry(PINS, number_key(table), None)

    @staticmethod
    def command_done_entry(key: str) -> Entry:
        """Returns the entry that removes an operator's command after its execution."""
        return Entry(OPERATOR_COMMANDS, bytes.fromhex(key), None)

    def submit(self, revision: int, entries: list[Entry]) -> None:
        """Submits entries; the revision is reported as durable once they are written."""
        if not self.is_lost:
            self.submissions.put(Submission(revision, entries))

    # methods of the store's thread

    def run(self) -> None:
        """Writes submissions, publishes operators' commands and applies retention until `stop`; closes the store."""
        incarnation = IncarnationRow(self.incarnation, time.time() * 1000.0)
        self.owed.append(Submission(0, [Entry(INCARNATIONS, INCARNATION_KEY, incarnation)]))
        try:
            self._serve()
            incarnation.ended_ms = time.time() * 1000.0
            self.store.write([Entry(INCARNATIONS, INCARNATION_KEY, incarnation)])
        except StoreError as error:
            self.is_lost = True
            self._report_failure(error)
        finally:
            with contextlib.suppress(Exception):
                self.store.close()

    def _serve(self) -> None:
        last_poll_s = last_retention_s = 0.0
        while True:
            self.owed += self._next_group()
            self._drop_oldest_owed()
            is_stopping = self.stopping.is_set() and self.submissions.empty()
            now_s = time.monotonic()
            if self.owed and (now_s >= self.next_attempt_s or is_stopping):
                self._try_to_commit()
            if not self.failure and now_s - last_poll_s > self.settings.operator_poll_interval_ms / 1000.0:
                last_poll_s = now_s
                self._publish_commands()
            if not self.failure and now_s - last_retention_s > RETENTION_INTERVAL_S:
                last_retention_s = now_s
                self._apply_retention()
            if is_stopping:
                return

    def _try_to_commit(self) -> None:
        """Writes what is owed; if the disk does not take it, another attempt follows, with exponential backoff."""
        try:
            if self.failure:
                self.store.reopen()
            self._commit(self.owed)
        except StoreError as error:
            if not error.is_retryable:
                raise
            self.next_attempt_s = time.monotonic() + self.retry_delay_s * self._random.uniform(0.5, 1.0)
            self.retry_delay_s = min(MAX_RETRY_DELAY_S, 2.0 * self.retry_delay_s)
            self._report_failure(error)
            return
        self.owed = []
        if self.failure:
            self.failure, self.retry_delay_s = "", MIN_RETRY_DELAY_S
            self.log.info("store available again")

    def _drop_oldest_owed(self) -> None:
        """Limits the memory used while the disk fails: of the versions, the oldest are dropped; all else is kept."""
        surplus = sum(len(submission.entries) for submission in self.owed) - MAX_OWED_ENTRIES
        for index, submission in enumerate(self.owed):
            if surplus <= 0:
                return
            kept = [entry for entry in submission.entries if entry.part != VERSIONS]
            surplus -= len(submission.entries) - len(kept)
            self.owed[index] = submission._replace(entries=kept)

    def _next_group(self) -> list[Submission]:
        """Returns the submissions for one commit; waits up to the poll interval for the first."""
        try:
            group = [self.submissions.get(timeout=self.settings.operator_poll_interval_ms / 1000.0)]
        except queue.Empty:
            return []
        while len(group) < MAX_SUBMISSIONS_PER_COMMIT and not self.submissions.empty():
            group.append(self.submissions.get())
        return group

    def _commit(self, group: list[Submission]) -> None:
        started_s = time.monotonic()
        self.store.write([entry for submission in group for entry in submission.entries])
        duration_ms = (time.monotonic() - started_s) * 1000.0
        self.commits, self.commit_ms = self.commits + 1, self.commit_ms + duration_ms
        self.max_commit_ms = max(self.max_commit_ms, duration_ms)
        self.put(UpdatesStored(max(submission.revision for submission in group)))

    def _publish_commands(self) -> None:
        """Publishes each operator's command once, with the versions that it names."""
        commands = self.store.rows(OPERATOR_COMMANDS)
        self.published_commands &= {key for key, _ in commands}
        for key, command in commands:
            if key in self.published_commands:
                continue
            self.published_commands.add(key)
            targets = []
            for table, name in command.targets:
                rows = [row for row in self.store.versions(table) if row.name == name]
                targets.append(OperatorTarget(table, version_values(rows[-1]) if rows else []))
            self.put(OperatorRequest(key.hex(), command.kind, targets, command.operator))

    def _apply_retention(self) -> None:
        settings = self.settings
        # The wall clock may have been stepped forward since a version was stored.
        max_age_ms = settings.keep_hours * MS_PER_HOUR + MAX_CLOCK_STEP_MS
        try:
            self.store.apply_retention(time.time() * 1000.0, settings.keep_versions, max_age_ms, settings.keep_orders)
        except StoreError as error:
            if not error.is_retryable:
                raise
            self.owed.append(Submission(0, []))  # so that another attempt follows
            self._report_failure(error)

    def _report_failure(self, error: StoreError) -> None:
        """Reports a failure, once until the store works again; until then no update waits for the store."""
        if not self.failure or self.is_lost:
            self.log.error("store unavailable", kind=error.reason, reason=str(error), is_retried=error.is_retryable)
            self.put(StoreUnavailable(str(error)))
        self.failure = str(error)

    # methods of either thread

    def stop(self) -> None:
        """Requests the store's thread to write the queued submissions and stop; does not wait for it."""
        self.stopping.set()

    def commit_stats(self) -> dict[str, float]:
        """Returns the number of commits, and their mean and maximum duration in milliseconds, for the log."""
        mean_ms = self.commit_ms / self.commits if self.commits else 0.0
        return {"commits": self.commits, "mean_ms": round(mean_ms, 3), "worst_ms": round(self.max_commit_ms, 3)}


def _last_version_numbers(store: Store) -> dict[int, int]:
    """Returns the last number of each table's versions; read once, as the store may be reopened later."""
    numbers: dict[int, int] = {}
    for key, row in store.rows(VERSIONS):
        numbers[row.table] = max(numbers.get(row.table, 0), numbers_of(key)[1])
    return numbers


def version_values(row: VersionRow) -> list[Any]:
    """Returns a version as plain values, for the deciding thread and its recording."""
    weights = [list(weight) for weight in row.weights]
    admission = [list(limit) for limit in row.admission]
    return [row.name, row.table, row.parent, row.cause, row.operator, row.wall_ms, weights, admission]
