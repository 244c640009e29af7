"""The five rules, read from what passed on the sockets, apart from what any pilot believes."""

from quillstep.invariants.checks import Break, judge, longest_channel, slowest_drain
from quillstep.invariants.evidence import Evidence, read_evidence

__all__ = ["Break", "Evidence", "judge", "longest_channel", "read_evidence", "slowest_drain"]
