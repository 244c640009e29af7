"""Kills the writer of a store at its write points, incarnation after incarnation, and checks the store after each kill.

Points are counted from the start of an incarnation: the begin of a commit, each row of it, just before its end and just
after.  A commit consists of a version, the acknowledged updates of some proxies, and the pin.  After a kill a commit
must be complete or absent, and all commits that were reported durable must be present.
"""

import os
import random
import signal
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

from quillstep.store import Store, StoreError
from quillstep.store.records import (
    ACKNOWLEDGED_UPDATES,
    PINS,
    VERSIONS,
    AcknowledgedUpdate,
    Entry,
    PinRow,
    VersionRow,
    number_key,
    numbers_of,
)

COMMITS_PER_INCARNATION = 6
PROXIES = 3
ROWS_PER_COMMIT = PROXIES + 2
POINTS_PER_INCARNATION = COMMITS_PER_INCARNATION * (ROWS_PER_COMMIT + 3)  # Rows, begin and two ends per commit.
MAX_INCARNATION_S = 20
MAX_REPORT_BYTES = 65536
NUMBER_BYTES = 8
RETAINED_VERSIONS = 40  # Limits the growth of the store over many incarnations.


def kill_points(seed: int, count: int) -> Iterator[int]:
    """Yields `count` points, counted from 1: all in ascending order, all in descending order, then random ones."""
    draw = random.Random(seed).randint
    for index in range(count):
        if index < POINTS_PER_INCARNATION:
            yield index + 1
        elif index < 2 * POINTS_PER_INCARNATION:
            yield 2 * POINTS_PER_INCARNATION - index
        else:
            yield draw(1, POINTS_PER_INCARNATION)


def run(folder: Path, points: Iterable[int]) -> dict[str, Any]:
    """Kills one incarnation at each point; stops at the first fault.

    Returns:
        The number of kills, the last commit found, and the fault, which is empty if there is none.
    """
    kills = commits = 0
    fault = ""
    for point in points:
        durable = kill_incarnation(folder, point)
        kills += 1
        try:
            store = Store(folder)
            fault = find_fault(store, commits, durable)
            commits = store.last_number(VERSIONS, number_key(0))
            store.apply_retention(2000.0, RETAINED_VERSIONS, 1e12, 0)
            store.close()
        except StoreError as error:
            fault = str(error)
        if fault:
            fault = f"kill {kills} at point {point}: {fault}"
            break
    return {"kills": kills, "commits": commits, "fault": fault}


def kill_incarnation(folder: Path, point: int) -> int:
    """Runs one incarnation in a child process, which kills itself at a point.

    Returns:
        The last commit that it reported durable; 0 if none.
    """
    read_end, write_end = os.pipe()
    pid = os.fork()
    if pid == 0:
        signal.alarm(MAX_INCARNATION_S)  # Also ends a writer that hangs; that is one more kill point.
        try:
            write_commits(folder, point, write_end)
        finally:
            os._exit(0)
    os.close(write_end)
    os.waitpid(pid, 0)
    report = os.read(read_end, MAX_REPORT_BYTES)
    os.close(read_end)
    return int.from_bytes(report[-NUMBER_BYTES:], "big")


def write_commits(folder: Path, point: int, report_fd: int) -> None:
    """Writes commits in order and reports each durable one; kills its own process at a write point."""
    passed = 0

    def count_point(_: str) -> None:
        nonlocal passed
        passed += 1
        if passed == point:
            os.kill(os.getpid(), signal.SIGKILL)

    store = Store(folder, on_step=count_point)
    last = store.last_number(VERSIONS, number_key(0))
    for number in range(last + 1, last + COMMITS_PER_INCARNATION + 1):
        store.write(entries_of_commit(number))
        os.write(report_fd, number.to_bytes(NUMBER_BYTES, "big"))


def entries_of_commit(number: int) -> list[Entry]:
    """Returns the entries of one commit: a version, each proxy's acknowledged update, and a pin on the version."""
    version = VersionRow(
        f"v{number}", 0, f"v{number - 1}", "module", "", 1000.0, "e", number, [(1, 10.0)], [(0, 5.0, 1)]
    )
    entries = [Entry(VERSIONS, number_key(0, number), version)]
    for proxy in range(PROXIES):
        update = AcknowledgedUpdate(f"p{proxy}", "e", number, 0.0)
        entries.append(Entry(ACKNOWLEDGED_UPDATES, f"p{proxy}".encode(), update))
    entries.append(Entry(PINS, number_key(0), PinRow(0, version.name, "op", 0.0)))
    return entries


def find_fault(store: Store, before: int, durable: int) -> str:
    """Describes what is wrong with a store after a kill; empty if nothing is.

    Args:
        store: The reopened store.
        before: The last commit before the killed incarnation.
        durable: The last commit that it reported durable.
    """
    last = store.last_number(VERSIONS, number_key(0))
    if not before <= last <= before + COMMITS_PER_INCARNATION or last < durable or last > max(durable, before) + 1:
        return f"the last commit is {last}, it was {before} before, and {durable} was reported durable"
    if not last:
        return ""
    pinned = [pin.name for _, pin in store.rows(PINS)]
    revisions = {update.revision for _, update in store.rows(ACKNOWLEDGED_UPDATES)}
    if pinned != [f"v{last}"] or revisions != {last}:
        return f"commit {last} is there in part"
    numbers = [numbers_of(key)[1] for key, _ in store.rows(VERSIONS)]
    if numbers != list(range(numbers[0], last + 1)):
        return "versions are missing in between"
    return ""
