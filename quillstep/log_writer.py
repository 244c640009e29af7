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
        self._lines: queue.SimpleQueue[str] = queue.SimpleQueue()
        self._is_writing = False
        self._dropped = 0
        threading.Thread(target=self._run, name="log-writer", daemon=True).start()

    def write(self, line: str) -> None:
        """Queue a line, which ends with a newline; never blocks, and may be called from any thread."""
        if self._lines.qsize() >= MAX_QUEUED_LINES:
            self._dropped += 1
            return
        self._lines.put(line)

    def flush(self, timeout_s: float) -> None:
        """Wait until all lines are written, or the time-out has passed."""
        deadline_s = time.monotonic() + timeout_s
        while (self._is_writing or not self._lines.empty()) and time.monotonic() < deadline_s:
            time.sleep(FLUSH_POLL_S)

    def _run(self) -> None:
        while True:
            lines = [self._lines.get()]
            self._is_writing = True
            while len(lines) < MAX_BATCH_LINES and not self._lines.empty():
                lines.append(self._lines.get())
            self._write_all("".join(lines).encode(errors="replace"))
            if dropped := self._dropped:
                self._dropped -= dropped
                self._write_all(f'{{"event": "log lines dropped", "dropped": {dropped}}}\n'.encode())
            self._is_writing = False

    def _write_all(self, data: bytes) -> None:
        view = memoryview(data)
        while view:
            try:
                view = view[os.write(self._descriptor, view) :]
            except BlockingIOError:
                time.sleep(RETRY_S)
            except OSError:
                return  # the reader has closed the log, or its disk is full; the process continues without these lines
