"""A log file of a controller's messages to and from proxies, read by `quillstep.invariants` and `quillstep.tracing`."""

from io import FileIO
from pathlib import Path
from typing import Any

import msgspec
import structlog

MAX_UNWRITTEN_BYTES = 4 * 2**20  # rows that wait while the file cannot be written


class SocketRecord:
    """Writes a JSON line for each row.  Rows hold only what was sent and received, not the controller's state.

    Rows are buffered until `flush`.  Only the deciding thread uses this object.
    """

    def __init__(self, path: str) -> None:
        """Opens the file for appending; with an empty path nothing is recorded."""
        self._file = FileIO(Path(path), "ab") if path else None  # noqa: SIM115 (open for the life of the controller)
        self._encode = msgspec.json.Encoder().encode
        self._lines: list[bytes] = []
        self._unwritten = b""
        self.is_failing = False  # the last write has failed
        self._log = structlog.get_logger("socket_record")

    def tap(self, what: str, at_ms: float, **fields: Any) -> None:
        """Adds a row; `what` is its kind, `at_ms` its time."""
        if self._file:
            self._lines.append(self._encode({"at": at_ms, "what": what, **fields}))

    def flush(self) -> None:
        """Writes the buffered rows to the file; what cannot be written is tried again by the next call."""
        if not self._file:
            return
        if self._lines:
            self._unwritten += b"\n".join(self._lines) + b"\n"
            self._lines = []
        try:
            while self._unwritten:
                self._unwritten = self._unwritten[self._file.write(self._unwritten) :]
        except OSError as error:
            self._keep_for_retry(error)
            return
        if self.is_failing:
            self.is_failing = False
            self._log.info("socket record is written again")

    def _keep_for_retry(self, error: OSError) -> None:
        """Logs the first of several failures; drops whole rows if too many wait."""
        if not self.is_failing:
            self.is_failing = True
            self._log.error("socket record cannot be written", reason=error.strerror)
        if len(self._unwritten) > MAX_UNWRITTEN_BYTES:
            first_row = self._unwritten.partition(b"\n")[0] + b"\n"  # may have been written in part
            self._log.error("socket record rows dropped", bytes=len(self._unwritten) - len(first_row))
            self._unwritten = first_row
