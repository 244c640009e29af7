"""Merges statistics that arrive faster than the deciding thread takes them; see `EventQueue.put_nowait`."""

from quillstep.planner.messages import DownstreamStats, UpstreamStats


def merge_upstream_stats(older: UpstreamStats, newer: UpstreamStats) -> UpstreamStats:
    """Add up two reports of one zone on one endpoint; metrics of the newer load report stand."""
    older_successes, newer_successes = older.attempts - older.failures, newer.attempts - newer.failures
    successes = older_successes + newer_successes
    total_ms = older.mean_success_ms * older_successes + newer.mean_success_ms * newer_successes
    return UpstreamStats(
        older.endpoint,
        older.attempts + newer.attempts,
        older.failures + newer.failures,
        total_ms / successes if successes else 0.0,
        older.window_ms + newer.window_ms,
        {**older.load, **newer.load},
    )


def merge_downstream_stats(older: DownstreamStats, newer: DownstreamStats) -> DownstreamStats:
    """Add up two reports of one proxy on one class."""
    return DownstreamStats(
        older.class_index,
        older.proxy,
        older.requests + newer.requests,
        older.unanswered + newer.unanswered,
        older.window_ms + newer.window_ms,
    )
