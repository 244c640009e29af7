"""The record of a day as the checker reads it: JSON lines of endpoints, proxies, roster and pilots' sockets.

All times are milliseconds of the machine's monotonic clock, the same in all processes.
"""

from bisect import bisect_right
from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from quillstep.config.fleet import FleetSettings


@dataclass(slots=True)
class Evidence:
    """Rows as they were written, by who wrote them; `pilots` names the address each pilot listened on."""

    fleet: FleetSettings
    addresses: dict[str, int] = field(default_factory=dict)  # host:port to endpoint
    zones: dict[int, str] = field(default_factory=dict)  # of endpoints
    sizes: dict[int, float] = field(default_factory=dict)  # cores x speed of endpoints
    homes: dict[str, str] = field(default_factory=dict)  # zones of proxies
    pilots: dict[str, str] = field(default_factory=dict)  # address to name
    exchanges: list[dict[str, Any]] = field(default_factory=list)  # from proxies
    served: list[dict[str, Any]] = field(default_factory=list)  # from endpoints
    starts: list[dict[str, Any]] = field(default_factory=list)  # from endpoints
    told: list[dict[str, Any]] = field(default_factory=list)  # from the roster
    streams: list[dict[str, Any]] = field(default_factory=list)  # from proxies
    bare: list[dict[str, Any]] = field(default_factory=list)  # from proxies
    applied: list[dict[str, Any]] = field(default_factory=list)  # from proxies
    refused: list[dict[str, Any]] = field(default_factory=list)  # from proxies
    lost: list[dict[str, Any]] = field(default_factory=list)  # from proxies: responses that they dropped unread
    commands: list[dict[str, Any]] = field(default_factory=list)  # troubles as they struck
    sent: list[dict[str, Any]] = field(default_factory=list)  # from pilots' sockets, and acks, joins
    ways: list[dict[str, Any]] = field(default_factory=list)  # from pilots: whether a tighter way is in force
    end_ms: float = 0.0

    def sort(self) -> "Evidence":
        for rows in (self.exchanges, self.served, self.starts, self.told, self.streams, self.bare,
                     self.applied, self.refused, self.lost, self.commands, self.sent, self.ways):  # fmt: skip
            rows.sort(key=lambda row: row["at"])
            if rows:
                self.end_ms = max(self.end_ms, rows[-1]["at"])
        return self

    def joined(self) -> dict[str, list[tuple[float, float, str]]]:
        """For each proxy when it was joined to which pilot: from, to, name."""
        spans: dict[str, list[tuple[float, float, str]]] = defaultdict(list)
        up: dict[str, tuple[float, str]] = {}
        for row in self.streams:
            if row["up"]:
                up[row["proxy"]] = (row["at"], self.pilots.get(row["pilot"], row["pilot"]))
            elif row["proxy"] in up:
                since, pilot = up.pop(row["proxy"])
                spans[row["proxy"]].append((since, row["at"], pilot))
        for proxy, (since, pilot) in up.items():
            spans[proxy].append((since, self.end_ms + 1.0, pilot))
        return spans

    def listed(self) -> dict[tuple[str, int], "History"]:
        """What each pilot was told of each endpoint, and when."""
        found: dict[tuple[str, int], History] = defaultdict(History)
        for row in self.told:
            found[row["pilot"], row["endpoint"]].add(row["at"], row["state"], row.get("started", 0.0))
        return found

    def excused(self) -> dict[str, list[tuple[float, float]]]:
        """When the script held a proxy up itself: it can't follow an order that it was kept from reading."""
        spans: dict[str, list[tuple[float, float]]] = defaultdict(list)
        for row in self.commands:
            if "proxy" in row and row["do"] in ("stall", "reads_nothing", "refuse"):
                spans[row["proxy"]].append((row["at"], row["until"]))
        return spans


class History:
    """States over time."""

    def __init__(self) -> None:
        self.times: list[float] = []
        self.rows: list[tuple[str, float]] = []  # state, and when it last started

    def add(self, at: float, state: str, started: float) -> None:
        self.times.append(at)
        self.rows.append((state, started))

    def at(self, at: float) -> tuple[str, float, float] | None:
        """The state then, when it last started, and since when this is said."""
        place = bisect_right(self.times, at) - 1
        if place < 0:
            return None
        state, started = self.rows[place]
        while place and (self.rows[place - 1][0] == "in_service") == (state == "in_service"):
            place -= 1
        return state, started, self.times[place]


PLACES = {
    "change": None, "told": "told", "stream": "streams", "bare": "bare", "applied": "applied",
    "refused": "refused", "lost": "lost", "command": "commands", "start": "starts",
}  # fmt: skip


def read_evidence(folder: Path, evidence: Evidence) -> Evidence:
    """All JSON lines of a folder; the last line of a process that was killed may be torn and is left out."""
    for path in sorted(folder.glob("*.jsonl")):
        side = path.name.partition("-")[0]
        with path.open("rb") as lines:
            for line in lines:
                try:
                    row = msgspec.json.decode(line)
                except msgspec.DecodeError:
                    if line.endswith(b"\n"):
                        raise
                    continue
                put(evidence, side, row)
    return evidence.sort()


def put(evidence: Evidence, side: str, row: dict[str, Any]) -> None:
    if side == "pilot":
        (evidence.ways if row["what"] == "way" else evidence.sent).append(row)
    elif row["what"] == "exchange":
        (evidence.served if side == "endpoints" else evidence.exchanges).append(row)
    elif place := PLACES.get(row["what"]):
        getattr(evidence, place).append(row)
