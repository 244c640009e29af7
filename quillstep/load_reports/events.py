"""The event that load report readers put into the decision thread's queue."""

from typing import NamedTuple

from quillstep.load_reports.summary import ReportSummary


class ReportsSummarized(NamedTuple):
    """A reader has summarized one window of load reports."""

    reader: int
    summary: ReportSummary
