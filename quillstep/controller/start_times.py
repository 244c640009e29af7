"""Estimates when endpoints started, on the monotonic clock, from the wall-clock times that discovery lists.

The wall clock of any machine may be stepped, so a listed time alone proves no age: an endpoint that is taken for warm
too early would be overloaded.  An endpoint therefore counts from the moment at which this controller first saw it, or
saw its listed start change.  Only an age that no step explains is believed.  An estimate that is too young limits a
warm endpoint for one warm-up at most.  Performs no I/O.
"""

from dataclasses import dataclass
from typing import NamedTuple

from quillstep.planner.messages import EndpointEntry, EndpointId

STARTED_LONG_AGO = 0.0  # both as a listed and as an estimated start
MAX_CLOCK_STEP_MS = 3_600_000.0
# This machine's clock and the one that listed the start may both have been stepped; a warm-up takes less than the rest.
MIN_BELIEVED_AGE_MS = 2.0 * MAX_CLOCK_STEP_MS + 600_000.0


class ListedEndpoint(NamedTuple):
    """One endpoint as discovery lists it; `started_unix_ms` is in Unix time, and 0 if it started long ago."""

    endpoint: EndpointId
    zone: str
    state: str
    weight: float
    started_unix_ms: float


@dataclass(slots=True)
class KnownStart:
    """The start of one endpoint, as listed and as estimated."""

    listed_unix_ms: float
    started_ms: float
    removed_ms: float | None = None  # when it left the list


class StartTimes:
    """Estimated starts of all listed endpoints; used by one thread."""

    def __init__(self, clock_offset_ms: float, retention_ms: float) -> None:
        """Know no endpoints yet.

        Args:
            clock_offset_ms: Offset from this machine's Unix time to the monotonic clock, in milliseconds.
            retention_ms: How long the start of a removed endpoint is known: one that returns with the same listed start
                has not restarted.
        """
        self.clock_offset_ms, self.retention_ms = clock_offset_ms, retention_ms
        self.known: dict[EndpointId, KnownStart] = {}

    def to_entries(self, listed: list[ListedEndpoint], is_complete: bool, now_ms: float) -> list[EndpointEntry]:
        """Convert an endpoint list, or changes to one, to the planner's entries; `now_ms` is the monotonic time."""
        entries = []
        for each in listed:
            known = self.known.get(each.endpoint)
            if known is None or each.started_unix_ms != known.listed_unix_ms:
                started_ms = self._estimated_start_ms(each, known is not None, now_ms)
                known = self.known[each.endpoint] = KnownStart(each.started_unix_ms, started_ms)
            known.removed_ms = now_ms if each.state == "terminated" else None
            entries.append(EndpointEntry(each.endpoint, each.zone, each.state, each.weight, known.started_ms))
        if is_complete:
            self._mark_removed({each.endpoint for each in listed}, now_ms)
        self._forget_removed(now_ms)
        return entries

    def _estimated_start_ms(self, listed: ListedEndpoint, has_restarted: bool, now_ms: float) -> float:
        if not listed.started_unix_ms:
            return STARTED_LONG_AGO
        started_ms = listed.started_unix_ms + self.clock_offset_ms
        return now_ms if has_restarted or now_ms - started_ms < MIN_BELIEVED_AGE_MS else started_ms

    def _mark_removed(self, listed: set[EndpointId], now_ms: float) -> None:
        for endpoint, known in self.known.items():
            if endpoint not in listed and known.removed_ms is None:
                known.removed_ms = now_ms

    def _forget_removed(self, now_ms: float) -> None:
        expired = [
            endpoint
            for endpoint, known in self.known.items()
            if known.removed_ms is not None and now_ms - known.removed_ms >= self.retention_ms
        ]
        for endpoint in expired:
            del self.known[endpoint]
