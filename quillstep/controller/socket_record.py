"""A log file of a controller's messages to and from proxies, read by `quillstep.invariants` and `quillstep.tracing`."""

from pathlib import Path
from typing import Any

import msgspec


class SocketRecord:
    """Writes a JSON line for each row.  Rows hold only what was sent and received, not the controller's state.

    Rows are buffered until `flush`.  Only the deciding thread uses this object.
    """

    def __init__(self, path: str) -> None:
        """Opens the file for appending; with an empty path nothing is recorded."""
        self._file = Path(path).open("ab") if path else None  # noqa: SIM115 (open for the life of the controller)
        self._encode = msgspec.json.Encoder().encode
        self._lines: list[bytes] = []

    def tap(self, what: str, at_ms: float, **fields: Any) -> None:
        """Adds a row; `what` is its kind, `at_ms` its time."""
        if self._file:
            self._lines.append(self._encode({"at": at_ms, "what": what, **fields}))

    def flush(self) -> None:
        """Writes the buffered rows to the file."""
        if self._file and self._lines:
            self._file.write(b"\n".join(self._lines) + b"\n")
            self._file.flush()
            self._lines = []
