"""Between the module's orders and the tables: what is wanted, what stands, what is pinned.  Without I/O and clocks.

The module goes on writing while a table is pinned; what it wants is kept here and takes over again when it is released,
through the gate, a part of the traffic at a time.  A rollback is a pin to a version that stood before.  What is pinned
obeys the rules all the same: a line of an endpoint that is gone by now stays out, a cold one is capped.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import msgspec
import xxhash

from quillstep.routing.recovery import RecoveredTable
from quillstep.routing.rollout_gate import EndpointView, Held, RolloutGate
from quillstep.routing.tables import Tables

KEPT = 512  # versions of a table that are remembered here; a store keeps more
_encode = msgspec.msgpack.Encoder().encode
Lines = dict[int, float]
Levels = dict[int, tuple[float, int]]


class Version(NamedTuple):
    """A table as it stood: its name follows from its content alone.  `cause`: module, pin, rollback, release, gate."""

    name: str
    table: int
    parent: str
    cause: str
    who: str
    at_ms: float
    order: int
    lines: Lines
    levels: Levels


def name_of(table: int, lines: Lines, levels: Levels) -> str:
    """The name of a content: the same lines and levels have the same name at every pilot."""
    rows = (table, sorted(lines.items()), sorted((place, *level) for place, level in levels.items()))
    return xxhash.xxh3_64_hexdigest(_encode(rows))


def version_of(told: list[Any]) -> Version:
    """A version from plain values, as a store tells it: name, table, parent, cause, who, when, lines, levels."""
    name, table, parent, cause, who, wall_ms, lines, levels = told
    return Version(
        name, table, parent, cause, who, wall_ms, 0, {endpoint: weight for endpoint, weight in lines},
        {place: (allowed, tries) for place, allowed, tries in levels},
    )  # fmt: skip


@dataclass(slots=True)
class TableVersions:
    """One table: what the module wants of it that does not stand yet, and the versions that stood."""

    lines: Lines = field(default_factory=dict)  # wanted; all of it
    levels: Levels = field(default_factory=dict)
    fresh_lines: set[int] = field(default_factory=set)  # written since the last look
    fresh_levels: set[int] = field(default_factory=set)
    waits: bool = False  # something wanted does not stand
    former: RecoveredTable | None = None  # what the last life left, while it counts
    words: Lines = field(default_factory=dict)  # the module's own, where what the last life left stands instead
    pin: Version | None = None
    versions: list[Version] = field(default_factory=list)


class VersionedTables:
    """All tables' leaves.  `kept` is called with each new version that stands."""

    def __init__(self, tables: Tables, gate: RolloutGate | None, kept: Callable[[Version], None]) -> None:
        self.tables, self.gate, self.kept = tables, gate, kept
        self.leaves: dict[int, TableVersions] = {}
        self.seen = EndpointView()
        self.held: list[Held] = []  # what the gate kept, not told yet
        self.now_ms = 0.0

    def leaf(self, table: int) -> TableVersions:
        return self.leaves.setdefault(table, TableVersions())

    # the module's writing

    def line(self, table: int, endpoint: int, weight: float) -> None:
        leaf = self.leaf(table)
        if weight > 0:
            # Found by a test: a slot count of 10 and a stored weight of 10.0 had two versions, and all was sent anew.
            leaf.lines[endpoint] = float(weight)
        else:
            leaf.lines.pop(endpoint, None)
        leaf.fresh_lines.add(endpoint)
        if leaf.former:
            leaf.words[endpoint] = float(weight)
            started = self.seen.started.get(endpoint, 0.0)
            stands = leaf.former.word(endpoint, float(weight), self.now_ms, self.seen.warm(endpoint), started)
            if stands > 0.0:
                leaf.lines[endpoint] = stands

    def expire(self) -> None:
        """What the last life left counts no more: the module's own words are wanted from now on."""
        for leaf in self.leaves.values():
            if leaf.former and self.now_ms >= leaf.former.until_ms:
                for endpoint, weight in leaf.words.items():
                    if endpoint in leaf.lines and weight > 0.0:
                        leaf.waits |= leaf.lines[endpoint] != weight
                        leaf.lines[endpoint] = weight
                leaf.former, leaf.words = None, {}

    def expires_ms(self) -> float:
        """When that is due next."""
        return min((leaf.former.until_ms for leaf in self.leaves.values() if leaf.former), default=float("inf"))

    def level(self, table: int, places: Iterable[int], allowed: float, tries: int) -> None:
        leaf = self.leaf(table)
        for place in places:
            leaf.levels[place] = (float(allowed), tries)
            leaf.fresh_levels.add(place)

    def flush(self, only: int | None = None) -> None:
        """Let what was written since the last time stand, as far as the gate lets it; a bind flushes its table first,
        so that what it costs is what the module counted."""
        for table in [only] if only is not None else list(self.leaves):
            leaf = self.leaves.get(table)
            if leaf is None or not (leaf.fresh_lines or leaf.fresh_levels):
                continue
            lines = {endpoint: leaf.lines.get(endpoint, 0.0) for endpoint in leaf.fresh_lines}
            levels = {place: leaf.levels[place] for place in leaf.fresh_levels}
            leaf.fresh_lines, leaf.fresh_levels = set(), set()
            record = self.tables.tables.get(table)
            if leaf.pin and not (record and record.proxies):  # nobody is on it yet: it starts as it is pinned
                lines = self.differences(self.stands(table)[0], self.target(table)[0])
                self.stand(table, lines, levels, leaf.pin.cause, leaf.pin.who)
            elif leaf.pin:
                leaf.waits = True
                self.keep_out(table, lines, levels)
            else:
                self.stand(table, lines, levels, "module", "")

    def keep_out(self, table: int, lines: Lines, levels: Levels) -> None:
        """Of what the module writes to a pinned table levels stand, and what takes an endpoint out, or down while it
        is cold."""
        stands = self.stands(table)[0]
        falls = {
            endpoint: weight
            for endpoint, weight in lines.items()
            if weight < stands.get(endpoint, 0.0) and (weight <= 0.0 or not self.seen.warm(endpoint))
        }
        if falls or levels:
            self.stand(table, falls, levels, "module", "")

    # what stands

    def stands(self, table: int) -> tuple[Lines, Levels]:
        record = self.tables.tables.get(table)
        return (record.weights, record.admission) if record else ({}, {})

    def stand(self, table: int, lines: Lines, levels: Levels, cause: str, who: str) -> None:
        """These changes stand from now on, but for what the gate keeps."""
        leaf = self.leaf(table)
        record = self.tables.tables.get(table)
        if self.gate and record and record.proxies:
            lines, held = self.gate.lines(table, record.weights, lines, self.seen, self.now_ms)
            for place, (allowed, tries) in list(levels.items()):
                if fault := self.gate.level(table, place, allowed, tries):
                    held.append(fault)
                    del levels[place]
            leaf.waits |= bool(held)
            self.held += held
        for endpoint, weight in lines.items():
            self.tables.set_weight(table, endpoint, weight)
        for place, (allowed, tries) in levels.items():
            self.tables.set_admission(table, [place], allowed, tries)
        if lines or levels:
            self.note(table, cause, who)

    def note(self, table: int, cause: str, who: str) -> None:
        leaf = self.leaf(table)
        lines, levels = self.stands(table)
        name = name_of(table, lines, levels)
        parent = leaf.versions[-1].name if leaf.versions else ""
        if name == parent:
            return
        version = Version(name, table, parent, cause, who, self.now_ms, self.tables.revision, dict(lines), dict(levels))
        leaf.versions.append(version)
        del leaf.versions[:-KEPT]
        self.kept(version)

    # the operator's words

    def remember(self, version: Version) -> None:
        """A version of an earlier life."""
        self.leaf(version.table).versions.append(version)

    def recover(self, wall_ms: float, trust: Callable[[float], float]) -> None:
        """Let the newest remembered version of each table stand for as long as its age deserves.

        A table counts as old as the newest of all: that none has changed of late says nothing against it.
        """
        newest = {table: leaf.versions[-1] for table, leaf in self.leaves.items() if leaf.versions}
        age_ms = wall_ms - max((version.at_ms for version in newest.values()), default=0.0)
        span_ms = trust(age_ms)
        for table, version in newest.items() if span_ms > 0.0 else ():
            self.leaf(table).former = RecoveredTable(version.lines, self.now_ms - age_ms, self.now_ms + span_ms)

    def pin(self, version: Version) -> None:
        """This table is to stay as in this version until it is released; in flight changes are overtaken."""
        leaf = self.leaf(version.table)
        leaf.pin, leaf.waits = version, True

    def release(self, table: int) -> bool:
        """What the module wants takes over again."""
        leaf = self.leaf(table)
        was = leaf.pin is not None
        leaf.pin, leaf.waits = None, leaf.waits or was
        return was

    def target(self, table: int) -> tuple[Lines, Levels]:
        """What a table is on its way to: its pin within the rules of now, or what the module wants.

        A pin of which no warm endpoint is left gives way to the module: no proxy may be bare.
        """
        leaf = self.leaf(table)
        if leaf.pin is None:
            return leaf.lines, leaf.levels
        lines = {e: w for e, w in leaf.pin.lines.items() if e in self.seen.ready}
        if not any(self.seen.warm(endpoint) for endpoint in lines):
            return leaf.lines, leaf.levels
        mean = sum(lines.values()) / len(lines) if lines else 0.0
        for endpoint in lines:
            part = self.seen.part.get(endpoint, 1.0)
            if part < 1.0:
                lines[endpoint] = min(lines[endpoint], max(1.0, part * mean))
        # Levels follow the load: a pin is about where exchanges go, and an old level may let in what now overloads.
        return lines, leaf.levels

    def catch_up(self, room_lines: float) -> None:
        """Move every table that waits towards its target, as much as the channel has room for.

        Belongs between `begin` and `commit` of an order of its own.
        """
        for table, leaf in self.leaves.items():
            record = self.tables.tables.get(table)
            if not leaf.waits or record is None:
                continue
            users = max(1, len(record.proxies))
            lines, levels = self.target(table)
            changes = self.differences(record.weights, lines)
            fit = int(max(0.0, room_lines) / users)
            level_changes = {p: level for p, level in levels.items() if record.admission.get(p) != level}
            if level_changes and fit:
                fit -= 1
            else:
                level_changes = {}
            first = dict(list(changes.items())[:fit])
            if first or level_changes:
                cause, who = (leaf.pin.cause, leaf.pin.who) if leaf.pin else ("release", "")
                self.stand(table, first, level_changes, cause, who)
                room_lines -= users * (len(first) + bool(level_changes))
            leaf.waits = bool(self.differences(record.weights, lines)) or any(
                record.admission.get(place) != level for place, level in levels.items()
            )

    @staticmethod
    def differences(stands: Lines, wanted: Lines) -> Lines:
        """What changes one into the other, what goes after what comes, the largest first."""
        rows = {e: wanted.get(e, 0.0) for e in {*stands, *wanted} if wanted.get(e, 0.0) != stands.get(e, 0.0)}

        def rank(row: tuple[int, float]) -> tuple[bool, float, int]:
            return row[1] <= 0.0, -abs(row[1] - stands.get(row[0], 0.0)), row[0]

        return dict(sorted(rows.items(), key=rank))

    def waits(self) -> bool:
        return any(leaf.waits for leaf in self.leaves.values())
