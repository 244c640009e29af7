"""Fields of the periodic status log line: counters, current state, and the planner's estimates."""

import os
import time
from pathlib import Path
from typing import Any

from quillstep.controller.control_intervals import ControlIntervals
from quillstep.planner.planner import Planner
from quillstep.platform.discovery_watch import DiscoveryWatch
from quillstep.platform.event_handler import EventHandler
from quillstep.platform.protocol.connections import ConnectionManager


class IntervalMetrics:
    """Durations and output of control intervals; maxima since the last status line, counters since the start."""

    def __init__(self) -> None:
        self.max_late_ms = 0.0  # delay of a control interval after it was due
        self.max_cpu_ms = 0.0
        self.updates_sent = self.update_bytes_sent = 0

    def reset_maxima(self) -> None:
        """Reset the maxima for the next status line."""
        self.max_late_ms = self.max_cpu_ms = 0.0


def status_fields(
    handler: EventHandler,
    connections: ConnectionManager,
    watch: DiscoveryWatch,
    intervals: ControlIntervals[Planner],
    interval_metrics: IntervalMetrics,
) -> dict[str, Any]:
    """Return the fields of the status line."""
    return {
        "proxies": len(handler.streams),
        "connections": len(connections.poller.connections),
        "control_intervals": intervals.completed,
        "max_late_ms": round(interval_metrics.max_late_ms, 1),
        "max_interval_cpu_ms": round(interval_metrics.max_cpu_ms, 1),
        "cpu_s": round(time.process_time(), 2),
        "updates": interval_metrics.updates_sent,
        "update_bytes": interval_metrics.update_bytes_sent,
        "endpoints": len(handler.endpoints.addresses),
        "dropped": dict(connections.dropped + handler.dropped),
        "closed_unregistered": dict(connections.closed_unregistered),
        **_discovery_fields(watch),
        "assumed": {**_planner_fields(intervals.planner), **handler.report_totals},
        **_process_fields(),
    }


def _discovery_fields(watch: DiscoveryWatch) -> dict[str, Any]:
    return {
        "watch": watch.state,
        "watch_connects": watch.connects,
        "watch_lines": watch.lines,
        "list_refreshes": watch.refreshes,
        "revision": watch.tracker.resume_revision,
        "entries_rejected": watch.tracker.rejected,
        "has_missing_entries": watch.tracker.has_missing_entries,
    }


def _planner_fields(planner: Planner) -> dict[str, Any]:
    """Return the planner's estimates, for comparison with measurements at the endpoints."""
    return {
        "utilization": round(planner.capacity.mean_utilization, 2),
        "admitted_fraction": round(planner.admission.admitted_fraction, 2),
        "goodput_per_s": round(planner.capacity.goodput_per_s, 1),
        "ejected": [endpoint for endpoint, state in planner.fleet.endpoints.items() if state.is_outlier],
    }


def _process_fields() -> dict[str, float]:
    """Return the resident memory and open descriptors of this process; empty if `/proc` is not available."""
    try:
        resident_pages = int(Path("/proc/self/statm").read_text(encoding="ascii").split()[1])
        return {
            "resident_mb": round(resident_pages * os.sysconf("SC_PAGE_SIZE") / 2**20, 1),
            "descriptors": sum(1 for _ in Path("/proc/self/fd").iterdir()),
        }
    except (OSError, ValueError, IndexError):
        return {}
