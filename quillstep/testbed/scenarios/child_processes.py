"""Child processes that take commands on standard input and answer on standard output, one JSON object per line."""

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
    """A child process did not answer in time or has ended."""


class ChildProcess:
    """A Python program that runs as a child process and ends when its standard input is closed.

    Call `stop` or `kill` at the end.  A thread reads the child's answers into a queue.  It is not joined, as it ends
    with the child's output.

    Attributes:
        name: Name of the child and of its log file.
        process: The operating system's process.
        last_answer: The answer that `wait_for` returned a value of last.
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
            raise ChildError(f"{self.name}: process has ended: {error}") from error

    def wait_for(self, key: str, timeout_s: float = ANSWER_TIMEOUT_S) -> Any:
        """Returns the value of a key in the next answer that has it; earlier answers are dropped.

        Raises:
            ChildError: There was no such answer in time, or the child ended before it.
        """
        while True:
            try:
                answer = self._answers.get(timeout=timeout_s)
            except queue.Empty as error:
                raise ChildError(
                    f"{self.name}: expected an answer with {key!r} within {timeout_s:g} s, got none"
                ) from error
            if answer is None:
                raise ChildError(f"{self.name}: process ended without an answer with {key!r}; see {self._log.name}")
            if key in answer:
                self.last_answer = answer
                return answer[key]

    def kill(self) -> None:
        """Kills the process and waits for its end."""
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
