"""How fast endpoints really were and when they secretly failed, inferred from what proxies met there.  No I/O.

Speeds follow from the quickest answers (a tenth of them are quicker): an answer that waited for nothing took its work
over the speed.  Slowness is what the queue of known work at that speed does not explain.  Hidden states (down, silent,
failing, losing answers, slow) are fitted in spans of half a second from the tries that began in them.  What half of
the tries say is judged on the other half.
"""

import heapq
from bisect import bisect_right
from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from quillstep.config.fleet import ClassSettings

SPAN_MS = 500.0
QUICK = 0.1
SLOW = 1.6  # times the usual from which a span counts as slow
NET_MS = 1.0


class State(NamedTuple):
    """An endpoint in one span: parts of tries that meet a closed door, no answer, an error; how slow it is."""

    closed: float = 0.0
    silent: float = 0.0
    fails: float = 0.0
    slow: float = 1.0


FINE = State()


@dataclass(slots=True)
class Inferred:
    """Speeds, and states by endpoint and span; `known` tells in which spans anything was seen."""

    speeds: dict[int, float] = field(default_factory=dict)
    states: dict[int, dict[int, State]] = field(default_factory=dict)
    spans: dict[int, list[int]] = field(default_factory=dict)

    def state(self, endpoint: int, at_ms: float) -> State:
        """The state then; where nothing was seen, as it was last seen."""
        spans = self.spans.get(endpoint)
        if not spans:
            return FINE
        place = bisect_right(spans, int(at_ms // SPAN_MS)) - 1
        return self.states[endpoint][spans[place]] if place >= 0 else FINE


Try = tuple[float, float, str, ClassSettings]  # sent, ended, result, class


def tries_of(
    exchanges: list[dict[str, Any]], classes: dict[str, ClassSettings], addresses: dict[str, int]
) -> dict[int, list[Try]]:
    """All tries by endpoint, in time."""
    found: dict[int, list[Try]] = defaultdict(list)
    for row in exchanges:
        for address, sent, ended, result, _ in row["tries"]:
            if address in addresses:
                found[addresses[address]].append((sent, ended, result, classes[row["class"]]))
    for rows in found.values():
        rows.sort(key=lambda row: row[0])
    return found


def infer(tries: dict[int, list[Try]], cores: dict[int, int]) -> Inferred:
    made = Inferred()
    for endpoint, rows in tries.items():
        made.speeds[endpoint] = speed(rows)
        expected = queued(rows, made.speeds[endpoint], cores.get(endpoint, 1))
        spans: dict[int, list[tuple[Try, float]]] = defaultdict(list)
        for row, took in zip(rows, expected, strict=True):
            spans[int(row[0] // SPAN_MS)].append((row, took))
        made.states[endpoint] = {span: fit(each) for span, each in spans.items()}
        made.spans[endpoint] = sorted(spans)
    return made


def speed(rows: list[Try]) -> float:
    """Work a millisecond, from the quickest answers."""
    ratios = sorted((ended - sent - NET_MS) / kind.work_ms for sent, ended, result, kind in rows if result == "ok")
    if not ratios:
        return 1.0
    quick = ratios[int(QUICK * len(ratios))]
    return 1.0 / max(0.05, quick)


def queued(rows: list[Try], usual: float, cores: int) -> list[float]:
    """How long each try should have taken: behind what was known to be there, at the usual speed."""
    free = [0.0] * cores
    found = []
    for sent, _, result, kind in rows:
        if result in ("no connection", "error"):
            found.append(NET_MS)
            continue
        end = max(sent, free[0]) + kind.work_ms / usual
        heapq.heapreplace(free, end)
        found.append(end - sent + NET_MS)
    return found


def fit(met: list[tuple[Try, float]]) -> State:
    """The state that explains what was met in one span, beside what was expected."""
    rows = [row for row, _ in met]
    count = len(rows)
    closed = sum(result == "no connection" for _, _, result, _ in rows) / count
    errors = sum(result == "error" for _, _, result, _ in rows) / count
    lost = sum(result in ("time-out", "reset") for _, _, result, _ in rows) / count
    ratios = sorted((e - s - NET_MS) / (took - NET_MS) for (s, e, result, _), took in met if result == "ok")
    slow = ratios[len(ratios) // 4] if ratios else 1.0
    return State(closed, lost, errors, slow if slow > SLOW else 1.0)


def held_out_error(tries: dict[int, list[Try]], cores: dict[int, int]) -> dict[str, float]:
    """Fit on every other try, predict the rest: how often good and bad are told apart, and the error of times."""
    made = infer({endpoint: rows[::2] for endpoint, rows in tries.items()}, cores)
    right = total = 0
    errors: list[float] = []
    for endpoint, rows in tries.items():
        took = queued(rows, made.speeds.get(endpoint, 1.0), cores.get(endpoint, 1))
        for (sent, ended, result, _), alone in list(zip(rows, took, strict=True))[1::2]:
            state = made.state(endpoint, sent)
            bad = 1.0 - (1.0 - state.closed) * (1.0 - state.silent) * (1.0 - state.fails)
            right += (bad >= 0.5) == (result != "ok")
            total += 1
            if result == "ok" and bad < 0.5:
                expected = (alone - NET_MS) * state.slow + NET_MS
                errors.append((ended - sent - expected) / max(1.0, ended - sent))
    errors.sort()
    return {
        "told_apart": round(right / max(1, total), 4),
        "time_error_median": round(errors[len(errors) // 2], 4) if errors else 0.0,
        "tries": total,
    }
