"""A record of what passed on a controller's sockets, for `quillstep.invariants` and `quillstep.tracing` to read."""

from pathlib import Path
from typing import Any

import msgspec


class SocketRecord:
    """Appends a JSON line for each row; holds nothing of what the controller assumes.

    Rows wait until `flush`; the deciding thread owns it.
    """

    def __init__(self, path: str) -> None:
        """Opens the file; an empty path records nothing."""
        self._file = Path(path).open("ab") if path else None  # noqa: SIM115 (held as long as the controller lives)
        self._encode = msgspec.json.Encoder().encode
        self._lines: list[bytes] = []

    def tap(self, what: str, at_ms: float, **fields: Any) -> None:
        """Adds a row."""
        if self._file:
            self._lines.append(self._encode({"at": at_ms, "what": what, **fields}))

    def flush(self) -> None:
        """Writes the rows since the last call."""
        if self._file and self._lines:
            self._file.write(b"\n".join(self._lines) + b"\n")
            self._file.flush()
            self._lines = []
