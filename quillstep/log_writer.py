"""Writes log lines to standard error in a thread of its own, so that a log nobody reads holds up no other thread."""

import os
import queue
import threading
import time

MAX_QUEUED_LINES = 10_000
MAX_BATCH_LINES = 256
RETRY_S = 0.05  # while standard error is non-blocking and full
FLUSH_POLL_S = 0.005
STDERR = 2


class LogWriter:
    """A bounded queue of lines and the thread that writes them; lines are dropped, and counted, while it is full."""

    def __init__(self, descriptor: int = STDERR) -> None:
        """Start the thread."""
        self._descriptor = descriptor
        self._lines: queue.Queue[str] = queue.Queue(MAX_QUEUED_LINES)
        self._lock = threading.Lock()  # guards `_dropped`
        self._dropped = 0  # since the start
        self._reported = 0  # how many of these the log tells of
        threading.Thread(target=self._run, name="log-writer", daemon=True).start()

    def write(self, line: str) -> None:
        """Queue a line, which ends with a newline; never blocks, and may be called from any thread."""
        try:
            self._lines.put_nowait(line)
        except queue.Full:
            with self._lock:
                self._dropped += 1

    def flush(self, timeout_s: float) -> None:
        """Wait until all lines are written, or the time-out has passed."""
        deadline_s = time.monotonic() + timeout_s
        while self._lines.unfinished_tasks and time.monotonic() < deadline_s:
            time.sleep(FLUSH_POLL_S)

    def _run(self) -> None:
        while True:
            lines = [self._lines.get()]
            while len(lines) < MAX_BATCH_LINES and not self._lines.empty():
                lines.append(self._lines.get())
            self._write_all("".join(lines).encode(errors="replace"))
            if dropped := self._dropped - self._reported:
                self._reported += dropped
                self._write_all(f'{{"event": "log lines dropped", "dropped": {dropped}}}\n'.encode())
            for _ in lines:
                self._lines.task_done()

    def _write_all(self, data: bytes) -> None:
        view = memoryview(data)
        while view:
            try:
                view = view[os.write(self._descriptor, view) :]
            except BlockingIOError:
                time.sleep(RETRY_S)
            except OSError:
                return  # the reader has closed the log, or its disk is full; the process continues without these lines
