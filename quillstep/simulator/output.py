"""Writes one instance's orders as lines of the wire."""

from collections.abc import Iterable


def _bits(classes: Iterable[int]) -> int:
    return sum(1 << place for place in classes)


class SimulatorOutput:
    """The `PlannerOutput` of the interface for one instance, written to a list of reply lines."""

    def __init__(self, instance: str, lines: list[str]) -> None:
        self._instance = instance
        self._lines = lines

    def _write(self, name: str, rest: str = "") -> None:
        self._lines.append(f"{name} i={self._instance}{rest}")

    def set_weight(self, table: int, endpoint: int, weight: float) -> None:
        self._write("set_line", f" mapId={table} endpoint={endpoint} part={weight:g}")

    def set_ejected(self, endpoint: int, out: bool) -> None:
        self._write("cordon", f" endpoint={endpoint} active={int(out)}")

    def assign_table(self, proxy: int, table: int, classes: Iterable[int]) -> None:
        self._write("install", f" agent={proxy} mapId={table} classBits={_bits(classes)}")

    def set_admission(self, table: int, classes: Iterable[int], allowed: float, tries: int) -> None:
        what = f" mapId={table} classBits={_bits(classes)}"
        self._write("set_level", f"{what} allowance={allowed:.10g} secondTry={tries}")

    def request_health_check(self, endpoint: int) -> None:
        self._write("health_check", f" endpoint={endpoint}")

    def request_ack(self, serial: int) -> None:
        self._write("ask_receipt", f" active=0 serial={serial}")

    def watch_endpoints(self) -> None:
        self._write("track", " active=1")

    def set_timer(self, token: int, at_ms: float) -> None:
        self._write("sleep", f" cookie={token} at={round(at_ms * 1000)}")

    def log_note(self, text: str) -> None:
        self._write("trace", f" line={text}")

    def broken(self, text: str) -> None:
        self._write("broken", f" line={' '.join(text.split())}")
