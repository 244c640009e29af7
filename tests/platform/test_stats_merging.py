"""Merging of statistics that arrive faster than the deciding thread handles them."""

import pytest

from quillstep.controller.event_queue import EventQueue
from quillstep.planner.messages import DownstreamStats, UpstreamStats
from quillstep.platform.protocol.events import ProxyDisconnected
from quillstep.platform.protocol.stats_merging import merge_downstream_stats, merge_upstream_stats


def test_a_full_queue_merges_stats_and_keeps_connection_events():
    event_queue = EventQueue(2, 1)
    reports = [
        UpstreamStats("s", 4, 1, 10.0, 1000.0, {"util": 0.2}), UpstreamStats("s", 6, 6, 0.0, 1000.0, {}),
        UpstreamStats("s", 2, 0, 40.0, 1000.0, {"util": 0.9}),
    ]  # fmt: skip
    for stats in [reports[0], reports[0], *reports]:
        event_queue.put_nowait(0.0, stats, ("a", "s"), merge_upstream_stats)
    for requests in (3, 4):
        event_queue.put_nowait(0.0, DownstreamStats(0, 1, requests, 1, 500.0), (0, 1), merge_downstream_stats)
    disconnected = ProxyDisconnected(None, 1)
    event_queue.put_nowait(0.0, disconnected)
    events = [event for _, event in event_queue.drain(10)]
    assert events[:3] == [reports[0], reports[0], disconnected]
    assert type(events[3]) is UpstreamStats
    assert events[3] == UpstreamStats("s", 12, 7, pytest.approx(22.0), 3000.0, {"util": 0.9})
    assert type(events[4]) is DownstreamStats
    assert events[4] == DownstreamStats(0, 1, 7, 2, 1000.0) and not event_queue.drain(10)
