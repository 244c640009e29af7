"""The five rules, read from what passed on the sockets, apart from what any pilot believes."""

from quillstep.rulecheck.evidence import Evidence, read_evidence
from quillstep.rulecheck.rules import Break, judge, longest_channel, slowest_drain

__all__ = ["Break", "Evidence", "judge", "longest_channel", "read_evidence", "slowest_drain"]
