"""Merges statistics that arrive faster than the deciding thread handles them; see `EventQueue.put_nowait`."""

from quillstep.planner.messages import DownstreamStats, UpstreamStats


def merge_upstream_stats(older: UpstreamStats, newer: UpstreamStats) -> UpstreamStats:
    """Merge two reports of the same zone and endpoint.

    Counts and windows are added up.  Metrics of the newer load report replace those of the older one.
    """
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
    """Merge two reports of the same proxy and class; counts and windows are added up."""
    return DownstreamStats(
        older.class_index,
        older.proxy,
        older.requests + newer.requests,
        older.unanswered + newer.unanswered,
        older.window_ms + newer.window_ms,
    )
