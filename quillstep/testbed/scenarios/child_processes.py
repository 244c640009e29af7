"""Child processes that take commands on standard input and answer on standard output, one JSON object a line."""

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
    """A child process that did not answer in time or has ended; the message names it."""


class ChildProcess:
    """One Python program as a child; it ends when its standard input is closed.

    The owner calls `stop` or `kill`.  A thread reads the child's answers into a queue until its output ends; it is
    not joined, as it ends with the child.

    Attributes:
        name: Name of the child, and of its log below the folder.
        process: The process itself.
        last_answer: The answer that was last waited for.
    """

    def __init__(self, name: str, arguments: list[str], folder: Path) -> None:
        self.name = name
        self.last_answer: dict[str, Any] = {}
        self._log = (folder / f"{name}.log").open("ab")
        self.process = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=self._log,
            start_new_session=True,
            env={**os.environ, "PYTHONUNBUFFERED": "1"},
        )
        self._answers: queue.Queue[dict[str, Any] | None] = queue.Queue()
        threading.Thread(target=self._read_answers, daemon=True, name=f"answers-{name}").start()

    def send(self, **command: Any) -> None:
        """Sends a command.

        Raises:
            ChildError: The child has ended.
        """
        assert self.process.stdin
        try:
            self.process.stdin.write(msgspec.json.encode(command) + b"\n")
            self.process.stdin.flush()
        except OSError as error:
            raise ChildError(f"{self.name} has ended: {error}") from error

    def wait_for(self, key: str, timeout_s: float = ANSWER_TIMEOUT_S) -> Any:
        """Returns the value of a key in the next answer that has it; other answers are dropped.

        Raises:
            ChildError: No such answer came in time, or the child ended before.
        """
        while True:
            try:
                answer = self._answers.get(timeout=timeout_s)
            except queue.Empty as error:
                raise ChildError(f"{self.name} gave no {key!r} within {timeout_s:g} s") from error
            if answer is None:
                raise ChildError(f"{self.name} ended before it gave {key!r}; see {self._log.name}")
            if key in answer:
                self.last_answer = answer
                return answer[key]

    def kill(self) -> None:
        """Ends the process at once and waits for its end."""
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()

    def stop(self) -> None:
        """Closes the child's input and waits for its end; a child that does not end in time is killed."""
        with contextlib.suppress(OSError):
            if self.process.stdin:
                self.process.stdin.close()
        try:
            self.process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.kill()
        self._log.close()

    def _read_answers(self) -> None:
        assert self.process.stdout
        for line in self.process.stdout:
            with contextlib.suppress(msgspec.DecodeError):
                self._answers.put(msgspec.json.decode(line))
        self._answers.put(None)
