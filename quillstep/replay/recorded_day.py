"""What is known of a captured day: pilots' lives, exchanges as they came, tries as they went, the fleet's description.

The folder is one arm of `quillstep day` with captures; the fleet's description (`fleet.json`) holds what operators know
of their machines (zone, cores, address) and of their proxies (zone, standing table), not how fast anything really is.
"""

import shutil
from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
from envoy.service.load_stats.v3 import lrs_pb2

from quillstep.config.controller import ControllerSettings
from quillstep.planner.messages import EndpointEntry
from quillstep.recording import Incarnation, read_incarnations, read_records, recorded_settings
from quillstep.xds.server import LOAD

CLOCKS_MS = 50.0  # up to which clocks count as one


@dataclass(slots=True)
class ControllerIncarnation:
    """One life of one pilot as the replay needs it; times are milliseconds of the machine's monotonic clock."""

    epoch: str
    record: ControllerSettings
    first_ms: float
    last_ms: float
    roster: list[tuple[float, str, list[EndpointEntry], dict[int, tuple[str, int]]]] = field(default_factory=list)
    streams: list[tuple[float, str, str, dict[str, Any]]] = field(default_factory=list)  # at, join or leave, proxy
    reports: list[tuple[float, str, float]] = field(
        default_factory=list
    )  # when a load report of which proxy came, and how old its sums were then
    delays: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))  # from send to word, by proxy


@dataclass(slots=True)
class RecordedDay:
    """A captured day."""

    lives: list[ControllerIncarnation]
    endpoints: dict[int, dict[str, Any]]
    proxies: dict[str, dict[str, Any]]
    exchanges: list[dict[str, Any]]

    @property
    def begin_ms(self) -> float:
        return self.exchanges[0]["at"]

    @property
    def end_ms(self) -> float:
        return max(row["end"] for row in self.exchanges)


def read_daybook(folder: Path) -> RecordedDay:
    """Raises FileNotFoundError where the folder is no captured day, BadBlock where a capture is damaged."""
    fleet = msgspec.json.decode((folder / "fleet.json").read_bytes())
    held = [life for path in sorted(folder.glob("capture-*")) for life in read_incarnations(path)]
    if not held:
        raise FileNotFoundError(f"{folder} holds no capture")
    offsets = [life.header.wall_offset_ms for life in held]
    found = [pilot_life(life, apart(life.header.wall_offset_ms, offsets[0])) for life in held]
    exchanges = []
    for path in sorted(folder.glob("proxies-*.jsonl")):
        for line in path.read_bytes().splitlines():
            row = msgspec.json.decode(line)
            if row["what"] == "exchange":
                exchanges.append(row)
    exchanges.sort(key=lambda row: (row["at"], row["exchange"]))
    if not exchanges:
        raise FileNotFoundError(f"{folder} holds no exchanges")
    return RecordedDay(
        sorted(found, key=lambda life: life.first_ms),
        {row["id"]: row for row in fleet["endpoints"]},
        {row["name"]: row for row in fleet["proxies"]},
        exchanges,
    )


def keep(folder: Path, out: Path) -> int:
    """What replays need of a played arm, and no more: captures, the fleet, the exchanges; returns their number."""
    out.mkdir(parents=True, exist_ok=True)
    for path in sorted(folder.glob("capture-*")):
        shutil.copytree(path, out / path.name, dirs_exist_ok=True, ignore=shutil.ignore_patterns("index.lmdb"))
    shutil.copy(folder / "fleet.json", out / "fleet.json")
    book = read_daybook(folder)
    rows = [msgspec.json.encode(row) for row in book.exchanges]
    (out / "proxies-0.jsonl").write_bytes(b"\n".join(rows) + b"\n")
    return len(rows)


def apart(offset_ms: float, first_ms: float) -> float:
    """What to add to a life's times for those of the first: machines' clocks begin at different moments."""
    difference = offset_ms - first_ms
    return difference if abs(difference) > CLOCKS_MS else 0.0


def shifted(entry: EndpointEntry, shift_ms: float) -> EndpointEntry:
    """An entry on another clock; a start of 0 means long ago and stays."""
    return entry._replace(started_ms=entry.started_ms + shift_ms) if entry.started_ms else entry


def pilot_life(life: Incarnation, shift_ms: float = 0.0) -> ControllerIncarnation:
    """Roster news, streams, report times and message delays of one life, late as they were."""
    record = recorded_settings(life.header)
    found = ControllerIncarnation(life.header.epoch, record, life.first_ms + shift_ms, life.last_ms + shift_ms)
    sent: dict[tuple[str, str], float] = {}
    nodes: dict[tuple[int, int], str] = {}
    names: list[str] = []  # of proxies, by the numbers that they got as they first joined
    for row in read_records(life):
        kind, taken = row[0], row[2] + shift_ms
        if kind == "roster":
            addresses = {number: (host, port) for number, host, port in row[5]}
            entries = [shifted(EndpointEntry(*entry), shift_ms) for entry in row[4]]
            found.roster.append((taken, row[3], entries, addresses))
        elif kind == "sent":
            what, fields = row[3], row[4]
            if what == "join" and fields["proxy"] not in names:
                names.append(fields["proxy"])
            if what in ("join", "leave"):
                found.streams.append((taken, what, fields["proxy"], fields))
            elif what == "send":
                sent[fields["proxy"], fields["nonce"]] = taken
            elif what in ("ack", "nack") and (fields["proxy"], fields["nonce"]) in sent:
                found.delays[fields["proxy"]].append(taken - sent.pop((fields["proxy"], fields["nonce"])))
        elif kind == "files" and row[3] == "load":
            found.reports.append((taken, row[4], 0.0))
        elif kind == "reports":
            for proxy, arrived, until, *_ in row[4]["heard"]:
                found.reports.append((arrived + shift_ms, names[proxy], max(0.0, arrived - until)))
        elif kind == "open":
            if row[5] == LOAD:
                nodes[row[3], row[4]] = ""
        elif kind == "request" and (row[3], row[4]) in nodes:
            take_report_time(found, row, taken, nodes)
    return found


def take_report_time(
    found: ControllerIncarnation, row: list[Any], taken: float, nodes: dict[tuple[int, int], str]
) -> None:
    """Remember when load reports came: a report stream's first request names its node, later ones are reports."""
    at = (row[3], row[4])
    if nodes[at]:
        found.reports.append((taken, nodes[at], 0.0))
    else:
        nodes[at] = lrs_pb2.LoadStatsRequest.FromString(row[6]).node.id
