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

from quillstep.errors import QuillstepError

ANSWER_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 10.0


class ChildError(QuillstepError):
    """A child process that did not answer or has ended; the text names it."""


class Child:
    """One child process, which ends once its standard input is closed.

    A daemon thread reads its answers until the process ends.
    """

    def __init__(self, name: str, arguments: list[str], folder: Path) -> None:
        """Start a module of this program; its standard error goes to a file in the folder."""
        self.name = name
        self.log = (folder / f"{name}.log").open("ab")
        self.process = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=self.log,
            start_new_session=True,
            env={**os.environ, "PYTHONUNBUFFERED": "1"},
        )
        self.last_answer: dict[str, Any] = {}  # the one that `wait_for` returned from
        self.answers: queue.Queue[dict[str, Any] | None] = queue.Queue()
        threading.Thread(target=self._read, name=f"answers-{name}", daemon=True).start()

    def _read(self) -> None:
        assert self.process.stdout
        for line in self.process.stdout:
            with contextlib.suppress(msgspec.DecodeError):
                self.answers.put(msgspec.json.decode(line))
        self.answers.put(None)

    def send(self, **command: Any) -> None:
        """Send a command.

        Raises:
            ChildError: The process has ended.
        """
        assert self.process.stdin
        try:
            self.process.stdin.write(msgspec.json.encode(command) + b"\n")
            self.process.stdin.flush()
        except OSError as error:
            raise ChildError(f"{self.name} has ended: {error}") from error

    def wait_for(self, key: str, timeout_s: float = ANSWER_TIMEOUT_S) -> Any:
        """Return the value of this key in the next answer that has it; other answers are skipped.

        Raises:
            ChildError: No such answer came in time, or the process has ended.
        """
        while True:
            try:
                answer = self.answers.get(timeout=timeout_s)
            except queue.Empty as error:
                raise ChildError(f"{self.name} gave no {key!r} within {timeout_s:g} s") from error
            if answer is None:
                raise ChildError(f"{self.name} ended before it gave {key!r}; see {self.log.name}")
            if key in answer:
                self.last_answer = answer
                return answer[key]

    def kill(self) -> None:
        """Kill the process at once."""
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()

    def stop(self) -> None:
        """Close the process's input and wait for its end; kill it if that takes too long."""
        with contextlib.suppress(OSError):
            if self.process.stdin:
                self.process.stdin.close()
        try:
            self.process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.kill()
        self.log.close()
