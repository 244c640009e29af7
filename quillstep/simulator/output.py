"""Encodes a planner's updates as reply lines of the simulator's protocol."""

from collections.abc import Iterable

from quillstep.planner.messages import EndpointId

MICROSECONDS_PER_MS = 1000


class SimulatorOutput:
    """The `PlannerOutput` of one instance; appends to the lines of a reply."""

    def __init__(self, instance: str, lines: list[str]) -> None:
        self._instance = instance
        self._lines = lines

    def set_weight(self, table: int, endpoint: EndpointId, weight: float) -> None:
        """Writes an endpoint's weight in a table."""
        self._write("set_line", f" mapId={table} endpoint={endpoint} part={weight:g}")

    def set_ejected(self, endpoint: EndpointId, ejected: bool) -> None:
        """Writes an ejection or a restoration."""
        self._write("cordon", f" endpoint={endpoint} active={int(ejected)}")

    def assign_table(self, proxy: int, table: int, classes: Iterable[int]) -> None:
        """Writes the assignment of a table to a proxy."""
        self._write("install", f" agent={proxy} mapId={table} classBits={_class_bits(classes)}")

    def set_admission(self, table: int, classes: Iterable[int], limit: float, retry_policy: int) -> None:
        """Writes an admission limit and a retry policy."""
        target = f" mapId={table} classBits={_class_bits(classes)}"
        self._write("set_level", f"{target} allowance={limit:.10g} secondTry={retry_policy}")

    def request_health_check(self, endpoint: EndpointId) -> None:
        """Writes the request for a health check."""
        self._write("health_check", f" endpoint={endpoint}")

    def request_ack(self, serial: int) -> None:
        """Writes the request for acks from the proxies that this reply reaches."""
        self._write("ask_receipt", f" active=0 serial={serial}")

    def watch_endpoints(self) -> None:
        """Writes the request for endpoint list updates."""
        self._write("track", " active=1")

    def set_timer(self, token: int, at_ms: float) -> None:
        """Writes the request for a timer event."""
        self._write("sleep", f" cookie={token} at={round(at_ms * MICROSECONDS_PER_MS)}")

    def log_note(self, text: str) -> None:
        """Writes a line of the simulator's report."""
        self._write("trace", f" line={text}")

    def report_failure(self, error: Exception) -> None:
        """Reports that the planner failed, which ends the simulation with the error's text."""
        text = f"{type(error).__name__}: {error}"
        self._write("broken", f" line={' '.join(text.split())}")

    def _write(self, name: str, rest: str) -> None:
        self._lines.append(f"{name} i={self._instance}{rest}")


def _class_bits(classes: Iterable[int]) -> int:
    """Returns the classes as a bit mask, one bit per index."""
    return sum(1 << index for index in classes)
