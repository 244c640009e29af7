"""Statistics of control intervals and load reports for the periodic status log line."""

import time
from typing import Any

from hdrh.histogram import HdrHistogram

from quillstep.controller.core import ControllerCore

UNITS_PER_MS = 10  # resolution of the histogram
MAX_LATE_UNITS = 600_000
PERCENTILES = (50.0, 99.0)


class ControllerStatus:
    """Statistics since the start; only the deciding thread uses them."""

    def __init__(self) -> None:
        self.reader_cpu_s: dict[str, dict[str, float]] = {}  # processor time of each load report reader, by part
        self._late = HdrHistogram(1, MAX_LATE_UNITS, 2)

    def record_interval(self, late_ms: float) -> None:
        """Records how late a control interval started."""
        self._late.record_value(max(1, min(MAX_LATE_UNITS, round(UNITS_PER_MS * late_ms))))

    def fields(self, core: ControllerCore) -> dict[str, Any]:
        """Returns the fields of the log line."""
        late_ms = {f"p{part:g}": self._late.get_value_at_percentile(part) / UNITS_PER_MS for part in PERCENTILES}
        late_ms["worst"] = self._late.get_max_value() / UNITS_PER_MS if self._late.get_total_count() else 0.0
        class_names = [row.name for row in core.settings.fleet.classes]
        line_ms = core.tables.line_cost.line_ms()
        own_cpu_s = {"deciding": round(time.thread_time(), 3), "process": round(time.process_time(), 3)}
        return {
            "control_intervals": core.completed_intervals,
            "late_ms": late_ms,
            **core.reports.collector.statistics(class_names),
            "line_ms": line_ms and round(line_ms, 3),
            "cpu_s": {**self.reader_cpu_s, **own_cpu_s},
        }
