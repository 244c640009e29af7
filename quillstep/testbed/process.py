"""What the stand-in processes share: commands on standard input, answers on standard output, and an event log.

Commands and answers are JSON objects, one per line.  A stand-in process ends when its standard input does, so that no
child outlives its parent.
"""

import os
import sys
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

FLUSH_INTERVAL_S = 0.2


class EventLog:
    """Appends JSON lines to a file.  `put` may be called from any thread; a daemon thread writes the lines out."""

    def __init__(self, path: str) -> None:
        self.file = Path(path).open("ab", buffering=0)  # noqa: SIM115 (open until the process ends)
        self.encode = msgspec.json.Encoder().encode
        self.lines: list[bytes] = []
        threading.Thread(target=self._run, name="event-log", daemon=True).start()

    def put(self, **fields: Any) -> None:
        """Append a line; its field `what` names the event."""
        self.lines.append(self.encode(fields))

    def flush(self) -> None:
        """Write out all lines appended so far."""
        lines, self.lines = self.lines, []
        if lines:
            self.file.write(b"\n".join(lines) + b"\n")

    def close(self) -> None:
        """Write out the remaining lines, before the process ends."""
        self.flush()

    def _run(self) -> None:
        while True:
            time.sleep(FLUSH_INTERVAL_S)
            self.flush()


def answer(**fields: Any) -> None:
    """Send an answer to the parent."""
    sys.stdout.buffer.write(msgspec.json.encode(fields) + b"\n")
    sys.stdout.buffer.flush()


def read_setup() -> dict[str, Any]:
    """Return the parent's first message: the setup of the stand-in."""
    setup: dict[str, Any] = msgspec.json.decode(sys.stdin.buffer.readline())
    return setup


def serve(handle_command: Callable[[dict[str, Any]], None], record: EventLog) -> None:
    """Handle commands until standard input ends, then end the process."""
    for line in sys.stdin.buffer:
        if line.strip():
            handle_command(msgspec.json.decode(line))
    record.close()
    os._exit(0)
