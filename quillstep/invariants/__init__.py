"""Invariants of a scenario, checked from the sockets' record and independent of any controller's state."""

from quillstep.invariants.channel import longest_queue
from quillstep.invariants.checks import check_invariants
from quillstep.invariants.draining import longest_drain_ms
from quillstep.invariants.evidence import Evidence, read_evidence
from quillstep.invariants.violation import Rule, Violation

__all__ = [
    "Evidence",
    "Rule",
    "Violation",
    "check_invariants",
    "longest_drain_ms",
    "longest_queue",
    "read_evidence",
]
