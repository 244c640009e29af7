"""Paths of an arm's files, under the names that they are stored by."""

from pathlib import Path
from typing import Any, NamedTuple

MAX_SPANS_PER_S = 200.0  # per process


class ArmFolder(NamedTuple):
    """The folder that an arm's processes write to."""

    path: Path

    def record(self, writer: str, number: int) -> Path:
        """Returns the path of a process's part of the sockets' record."""
        return self.path / f"{writer}-{number}.jsonl"

    def settings(self, controller: int) -> Path:
        """Returns the path of a controller's settings."""
        return self.path / f"{controller_name(controller)}.cue"

    def recording(self, controller: int) -> Path:
        """Returns the folder of a controller's recording."""
        return self.path / f"capture-{controller}"

    def generations(self, controller: int) -> str:
        """Returns the root of a controller's file front; absolute, as proxies identify the controller by it."""
        return str((self.path / f"files-{controller}").absolute())

    def fleet(self) -> Path:
        """Returns the path of the file with what an operator knows of the fleet."""
        return self.path / "fleet.json"

    def span_settings(self, process: str, sampled_share: float) -> dict[str, Any] | None:
        """Returns a process's span settings under the keys of settings files; None if it records no spans."""
        if not sampled_share:
            return None
        file = self.path / f"spans-{process}.json"
        return {"file": str(file), "part": sampled_share, "most_per_s": MAX_SPANS_PER_S}


def controller_name(number: int) -> str:
    """Returns the name of a controller in its settings, its record and its log."""
    return f"pilot-{number}"
