"""What stand-in processes share: commands on standard input, answers on standard output, a record on disk.

A stand-in ends when its standard input does, so that no child outlives its parent.
"""

import os
import sys
import threading
import time
from collections.abc import Callable
from typing import Any

import msgspec

STACK_BYTES = 256 * 1024
FLUSH_S = 0.2


def now_ms() -> float:
    """The machine's monotonic clock, the same in all processes."""
    return time.monotonic() * 1000.0


class Record:
    """Appends JSON lines to a file from any thread; a thread of its own writes them out."""

    def __init__(self, path: str) -> None:
        self.file = open(path, "ab", buffering=0)  # noqa: SIM115 (held for the life of the process)
        self.encode = msgspec.json.Encoder().encode
        self.lines: list[bytes] = []
        threading.Thread(target=self.run, daemon=True).start()

    def put(self, **fields: Any) -> None:
        self.lines.append(self.encode(fields))

    def flush(self) -> None:
        lines, self.lines = self.lines, []
        if lines:
            self.file.write(b"\n".join(lines) + b"\n")

    def close(self) -> None:
        """Write out what is left; the process ends."""
        self.flush()

    def run(self) -> None:
        while True:
            time.sleep(FLUSH_S)
            self.flush()


def answer(**fields: Any) -> None:
    """Say something to the parent."""
    sys.stdout.buffer.write(msgspec.json.encode(fields) + b"\n")
    sys.stdout.buffer.flush()


def first_command() -> dict[str, Any]:
    """What the parent says first: how the stand-in is set up."""
    return msgspec.json.decode(sys.stdin.buffer.readline())


def serve(take: Callable[[dict[str, Any]], None], record: Record) -> None:
    """Hand commands over until the input ends, then end the process."""
    for line in sys.stdin.buffer:
        if line.strip():
            take(msgspec.json.decode(line))
    record.close()
    os._exit(0)
