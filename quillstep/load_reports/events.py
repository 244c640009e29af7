"""The event that report readers hand to the deciding thread."""

from typing import NamedTuple

from quillstep.load_reports.summary import ReportSummary


class ReportsSummarized(NamedTuple):
    """What the load reports of one reader's window come to."""

    reader: int
    summary: ReportSummary
