"""Kills a store's writer at its write points, one life after another on one store, and checks what is found after each.

Points are counted from a life's start: the begin of a commit, each row of it, just before it, just after it.  A commit
is a version, what some proxies hold, and the pin: all of it or nothing must be there, and all that was told durable.
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

COMMITS, PROXIES = 6, 3
ROWS = PROXIES + 2
POINTS = COMMITS * (ROWS + 3)
LIFE_S = 20
KEPT = 40  # versions that stay; a store that is killed again and again must not grow for ever


def points(seed: int, count: int) -> Iterator[int]:
    """All points forwards and backwards, then drawn ones."""
    drawn = random.Random(seed).randint
    for at in range(count):
        yield at + 1 if at < POINTS else 2 * POINTS - at if at < 2 * POINTS else drawn(1, POINTS)


def commit_of(number: int) -> list[Entry]:
    row = VersionRow(f"v{number}", 0, f"v{number - 1}", "module", "", 1000.0, "e", number, [(1, 10.0)], [(0, 5.0, 1)])
    held = [
        Entry(ACKNOWLEDGED_UPDATES, f"p{at}".encode(), AcknowledgedUpdate(f"p{at}", "e", number, 0.0))
        for at in range(PROXIES)
    ]
    pin = Entry(PINS, number_key(0), PinRow(0, row.name, "op", 0.0))
    return [Entry(VERSIONS, number_key(0, number), row), *held, pin]


def life(folder: Path, kill_at: int, told: int) -> None:
    """Commits in sequence; says in a pipe which are durable; ends itself at one of its write points."""
    count = 0

    def step(_: str) -> None:
        nonlocal count
        count += 1
        if count == kill_at:
            os.kill(os.getpid(), signal.SIGKILL)

    store = Store(folder, on_step=step)
    begin = store.last_number(VERSIONS, number_key(0))
    for number in range(begin + 1, begin + COMMITS + 1):
        store.write(commit_of(number))
        os.write(told, number.to_bytes(8, "big"))


def kill(folder: Path, kill_at: int) -> int:
    """One life; the last commit that it told of, 0: none."""
    read, write = os.pipe()
    pid = os.fork()
    if pid == 0:
        signal.alarm(LIFE_S)  # a life that hangs is ended too: one more moment to be killed at
        try:
            life(folder, kill_at, write)
        finally:
            os._exit(0)
    os.close(write)
    os.waitpid(pid, 0)
    told = os.read(read, 65536)
    os.close(read)
    return int.from_bytes(told[-8:], "big")


def fault(store: Store, before: int, told: int) -> str:
    """What is wrong with a store after a kill; empty: nothing."""
    last = store.last_number(VERSIONS, number_key(0))
    if not before <= last <= before + COMMITS or last < told or last > max(told, before) + 1:
        return f"it stands at commit {last}, {before} stood before and {told} was told durable"
    if not last:
        return ""
    pins = [pin.name for _, pin in store.rows(PINS)]
    if pins != [f"v{last}"] or {hold.revision for _, hold in store.rows(ACKNOWLEDGED_UPDATES)} != {last}:
        return f"commit {last} is there in part"
    numbers = [numbers_of(key)[1] for key, _ in store.rows(VERSIONS)]
    return "" if numbers == list(range(numbers[0], last + 1)) else "versions are missing in between"


def run(folder: Path, at: Iterable[int]) -> dict[str, Any]:
    """Kills at these points; stops at the first fault."""
    found: dict[str, Any] = {"kills": 0, "commits": 0, "fault": ""}
    before = 0
    for kill_at in at:
        told = kill(folder, kill_at)
        found["kills"] += 1
        try:
            store = Store(folder)
            found["fault"] = fault(store, before, told)
            before = store.last_number(VERSIONS, number_key(0))
            store.apply_retention(2000.0, KEPT, 1e12, 0)
            store.close()
        except StoreError as trouble:
            found["fault"] = str(trouble)
        if found["fault"]:
            found["fault"] = f"kill {found['kills']} at point {kill_at}: {found['fault']}"
            break
    found["commits"] = before
    return found
