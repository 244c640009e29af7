"""The files of one arm, under the names that they are stored by."""

from pathlib import Path
from typing import Any, NamedTuple

MAX_SPANS_PER_S = 200.0  # of one process


class ArmFolder(NamedTuple):
    """The folder that holds all that an arm's processes write."""

    path: Path

    def record(self, writer: str, number: int) -> Path:
        """The sockets' record of one process, by its kind and number."""
        return self.path / f"{writer}-{number}.jsonl"

    def settings(self, controller: int) -> Path:
        """The settings that a controller starts with."""
        return self.path / f"{controller_name(controller)}.cue"

    def recording(self, controller: int) -> Path:
        """Where a controller records its events."""
        return self.path / f"capture-{controller}"

    def generations(self, controller: int) -> str:
        """Where a controller writes for proxies that follow files; absolute, as these name it too."""
        return str((self.path / f"files-{controller}").absolute())

    def fleet(self) -> Path:
        """What operators know of the fleet."""
        return self.path / "fleet.json"

    def span_settings(self, process: str, sampled_share: float) -> dict[str, Any] | None:
        """Where a process writes its spans, in the words of settings files; None if it is to write none."""
        if not sampled_share:
            return None
        file = self.path / f"spans-{process}.json"
        return {"file": str(file), "part": sampled_share, "most_per_s": MAX_SPANS_PER_S}


def controller_name(number: int) -> str:
    """The name of a controller of an arm, in its settings, its record and its log."""
    return f"pilot-{number}"
