"""The store's thread in a pilot: commits what the deciding thread hands over, by groups, and tells what is durable.

The deciding thread never waits for the disk: its pushes wait, up to a time.  A store that fails is left with a line in
the log, and the pilot goes on without.
"""

import contextlib
import queue
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import structlog

from quillstep.config.controller import StoreSettings
from quillstep.routing.versions import TableVersion
from quillstep.store.errors import StoreCorruptError, StoreError
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

GROUP_MOST = 256  # hand-overs in one commit
WAITING_MOST = 4096  # hand-overs that may wait; beyond it the journal is left out
RETAIN_S = 60.0
LIFE = number_key(0)


def opened(record: StoreSettings, step: Callable[[str], None] = ignore_step) -> Store:
    """The store of these settings; one that is bad is set aside and begun anew.  Raises StoreTrouble for all else."""
    log = structlog.get_logger("store")
    try:
        store = Store(record.folder, record.max_size_bytes, record.fsync, on_step=step)
        for part in (PINS, OPERATOR_COMMANDS, INCARNATIONS):
            store.rows(part)
        return store
    except StoreCorruptError as trouble:
        aside = set_aside(Path(record.folder))
        log.error("store set aside", reason=str(trouble), now=str(aside))
        return Store(record.folder, record.max_size_bytes, record.fsync, on_step=step)


class StoreWriter:
    """One pilot's store.  `put` is where news for the deciding thread goes; it may block this thread alone."""

    def __init__(self, record: StoreSettings, store: Store, life: str, put: Callable[[tuple], None]) -> None:
        self.record, self.store, self.life, self.put = record, store, life, put
        self.jobs: queue.Queue[tuple[int, list[Entry]]] = queue.Queue()
        self.numbers: dict[int, int] = {}
        self.journal = store.last_number(JOURNAL, b"")
        self.stopping = threading.Event()
        self.failed = ""
        self.asked: set[bytes] = set()  # wishes that have been handed over
        self.commits, self.commit_ms, self.worst_ms, self.left_out = 0, 0.0, 0.0, 0
        self.log = structlog.get_logger("store")

    # in the deciding thread

    def start_news(self) -> tuple:
        """What the last life left: the newest versions of each table, and its pins."""
        tables: dict[int, list[VersionRow]] = {}
        for _, row in self.store.rows(VERSIONS):
            tables.setdefault(row.table, []).append(row)
        pins = [pin for _, pin in self.store.rows(PINS)]
        versions = [row for rows in tables.values() for row in rows[-self.record.recovered_versions :]]
        names = {(row.table, row.name): row for rows in tables.values() for row in rows}
        pinned = [
            [told(names[pin.table, pin.name]), pin.cause, pin.operator]
            for pin in pins
            if (pin.table, pin.name) in names
        ]
        for pin in pins:
            if (pin.table, pin.name) not in names:
                self.log.error("pin passed over", table=pin.table, version=pin.name, reason="its version is not kept")
        return ("store", "opened", [time.time() * 1000.0, [told(row) for row in versions]], pinned)

    def version(self, version: TableVersion, wall_ms: float) -> Entry:
        """A version as a row of its table."""
        table = version.table
        if table not in self.numbers:
            self.numbers[table] = self.store.last_number(VERSIONS, number_key(table))
        self.numbers[table] += 1
        row = VersionRow(
            version.name, table, version.parent, version.cause, version.operator, wall_ms, self.life, version.revision,
            sorted(version.weights.items()), sorted((place, *level) for place, level in version.admission.items()),
        )  # fmt: skip
        return Entry(VERSIONS, number_key(table, self.numbers[table]), row)

    def hold(self, node: str, order: int, wall_ms: float) -> Entry:
        return Entry(ACKNOWLEDGED_UPDATES, node.encode()[:400], AcknowledgedUpdate(node, self.life, order, wall_ms))

    def orders(self, order: int, wall_ms: float, orders: list[Any]) -> list[Entry]:
        """An order's journal row, unless the disk is behind."""
        if self.jobs.qsize() > WAITING_MOST:
            self.left_out += 1
            return []
        self.journal += 1
        return [Entry(JOURNAL, number_key(self.journal), [self.life, order, wall_ms, orders])]

    @staticmethod
    def pinned(version: TableVersion, wall_ms: float) -> Entry:
        row = PinRow(version.table, version.name, version.operator, wall_ms, version.cause)
        return Entry(PINS, number_key(version.table), row)

    @staticmethod
    def released(table: int) -> Entry:
        return Entry(PINS, number_key(table), None)

    @staticmethod
    def done(key: str) -> Entry:
        """A wish that has been granted."""
        return Entry(OPERATOR_COMMANDS, bytes.fromhex(key), None)

    def hand_over(self, order: int, entries: list[Entry]) -> None:
        """To be durable; `order` is told as stored once it is."""
        if not self.failed:
            self.jobs.put((order, entries))

    # its thread

    def run(self) -> None:
        """Commit groups, look for wishes, drop what is kept no longer."""
        looked = retained = 0.0
        try:
            life = IncarnationRow(self.life, time.time() * 1000.0)
            self.store.write([Entry(INCARNATIONS, LIFE, life)])
            while True:
                group = self.group()
                if group:
                    self.commit(group)
                now = time.monotonic()
                if now - looked > self.record.operator_poll_interval_ms / 1000.0:
                    looked = now
                    self.look()
                if now - retained > RETAIN_S:
                    retained = now
                    self.retain()
                if self.stopping.is_set() and self.jobs.empty():
                    break
            life.ended_ms = time.time() * 1000.0
            self.store.write([Entry(INCARNATIONS, LIFE, life)])
        except StoreError as trouble:
            self.fail(trouble)
        finally:
            with contextlib.suppress(Exception):
                self.store.close()

    def group(self) -> list[tuple[int, list[Entry]]]:
        """What waits, as one commit; waits itself for the first."""
        try:
            group = [self.jobs.get(timeout=self.record.operator_poll_interval_ms / 1000.0)]
        except queue.Empty:
            return []
        while len(group) < GROUP_MOST and not self.jobs.empty():
            group.append(self.jobs.get())
        return group

    def commit(self, group: list[tuple[int, list[Entry]]]) -> None:
        begun = time.monotonic()
        self.store.write([entry for _, entries in group for entry in entries])
        took_ms = (time.monotonic() - begun) * 1000.0
        self.commits, self.commit_ms = self.commits + 1, self.commit_ms + took_ms
        self.worst_ms = max(self.worst_ms, took_ms)
        self.put(("store", "stored", max(order for order, _ in group), []))

    def look(self) -> None:
        """Hand over the operators' wishes, with the versions that they name."""
        wishes = self.store.rows(OPERATOR_COMMANDS)
        self.asked &= {key for key, _ in wishes}
        for key, wish in wishes:
            if key in self.asked:
                continue
            self.asked.add(key)
            found = []
            for table, name in wish.targets:
                rows = [row for row in self.store.versions(table) if row.name == name]
                found.append([table, told(rows[-1]) if rows else []])
            self.put(("store", "wish", key.hex(), [wish.kind, found, wish.operator]))

    def retain(self) -> None:
        record = self.record
        age_ms = record.keep_hours * 3_600_000.0
        self.store.apply_retention(time.time() * 1000.0, record.keep_versions, age_ms, record.keep_orders)

    def fail(self, trouble: StoreError) -> None:
        """Go on without a store: no push waits for it any more."""
        self.failed = str(trouble)
        self.log.error("store lost", kind=trouble.reason, reason=str(trouble))
        self.put(("store", "lost", str(trouble), []))

    def stop(self) -> None:
        self.stopping.set()

    def figures(self) -> dict[str, float]:
        """Commits so far, their mean and worst time."""
        mean = self.commit_ms / self.commits if self.commits else 0.0
        return {"commits": self.commits, "mean_ms": round(mean, 3), "worst_ms": round(self.worst_ms, 3)}


def told(row: VersionRow) -> list[Any]:
    """A version as plain values, for the deciding thread and its capture."""
    return [row.name, row.table, row.parent, row.cause, row.operator, row.wall_ms, [list(line) for line in row.weights],
            [list(level) for level in row.admission]]  # fmt: skip
