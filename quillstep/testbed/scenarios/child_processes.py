"""Child processes that take commands on standard input and answer on standard output, a JSON line each."""

import contextlib
import os
import queue
import signal
import subprocess
import sys
import threading
from pathlib import Path
from typing import Any

import msgspec

ANSWER_S = 60.0


class ChildError(Exception):
    """A child that did not answer or has ended; the text names it."""


class Child:
    """One process; it ends when its standard input is closed."""

    def __init__(self, name: str, arguments: list[str], folder: Path) -> None:
        self.name = name
        self.log = open(folder / f"{name}.log", "ab")  # noqa: SIM115 (closed with the child)
        self.process = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=self.log,
            start_new_session=True,
            env={**os.environ, "PYTHONUNBUFFERED": "1"},
        )
        self.last: dict[str, Any] = {}  # the answer that was waited for last
        self.answers: queue.Queue[dict[str, Any] | None] = queue.Queue()
        threading.Thread(target=self.read, daemon=True).start()

    def read(self) -> None:
        assert self.process.stdout
        for line in self.process.stdout:
            with contextlib.suppress(msgspec.DecodeError):
                self.answers.put(msgspec.json.decode(line))
        self.answers.put(None)

    def say(self, **command: Any) -> None:
        assert self.process.stdin
        try:
            self.process.stdin.write(msgspec.json.encode(command) + b"\n")
            self.process.stdin.flush()
        except OSError as trouble:
            raise ChildError(f"{self.name} has ended: {trouble}") from None

    def wait_for(self, key: str, seconds: float = ANSWER_S) -> Any:
        """The next answer that has this key; others are passed over."""
        while True:
            try:
                found = self.answers.get(timeout=seconds)
            except queue.Empty:
                raise ChildError(f"{self.name} gave no {key!r} within {seconds:g} s") from None
            if found is None:
                raise ChildError(f"{self.name} ended before it gave {key!r}; see {self.log.name}")
            if key in found:
                self.last = found
                return found[key]

    def kill(self) -> None:
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()

    def stop(self) -> None:
        """Close its input and wait; one that doesn't end is killed."""
        with contextlib.suppress(OSError):
            if self.process.stdin:
                self.process.stdin.close()
        try:
            self.process.wait(10.0)
        except subprocess.TimeoutExpired:
            self.kill()
        self.log.close()
