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
from quillstep.routing.rollout_gate import EndpointStates, RolloutGate, WithheldChange
from quillstep.routing.tables import Tables

MAX_KEPT_VERSIONS = 512  # versions of a table that are remembered here; a store keeps more
_encode = msgspec.msgpack.Encoder().encode
Weights = dict[int, float]
Admission = dict[int, tuple[float, int]]


class TableVersion(NamedTuple):
    """A table as it stood: its name follows from its content alone.  `cause`: module, pin, rollback, release, gate."""

    name: str
    table: int
    parent: str
    cause: str
    operator: str
    created_ms: float
    revision: int
    weights: Weights
    admission: Admission


def version_name(table: int, lines: Weights, levels: Admission) -> str:
    """The name of a content: the same lines and levels have the same name at every pilot."""
    rows = (table, sorted(lines.items()), sorted((place, *level) for place, level in levels.items()))
    return xxhash.xxh3_64_hexdigest(_encode(rows))


def version_from_row(told: list[Any]) -> TableVersion:
    """A version from plain values, as a store tells it: name, table, parent, cause, who, when, lines, levels."""
    name, table, parent, cause, who, wall_ms, lines, levels = told
    return TableVersion(
        name, table, parent, cause, who, wall_ms, 0, {endpoint: weight for endpoint, weight in lines},
        {place: (allowed, tries) for place, allowed, tries in levels},
    )  # fmt: skip


@dataclass(slots=True)
class TableRollout:
    """One table: what the module wants of it that does not stand yet, and the versions that stood."""

    wanted_weights: Weights = field(default_factory=dict)  # wanted; all of it
    wanted_admission: Admission = field(default_factory=dict)
    unapplied_weights: set[int] = field(default_factory=set)  # written since the last look
    unapplied_admission: set[int] = field(default_factory=set)
    is_behind: bool = False  # something wanted does not stand
    recovered: RecoveredTable | None = None  # what the last life left, while it counts
    planner_weights: Weights = field(
        default_factory=dict
    )  # the module's own, where what the last life left stands instead
    pinned: TableVersion | None = None
    versions: list[TableVersion] = field(default_factory=list)


class VersionedTables:
    """All tables' leaves.  `kept` is called with each new version that stands."""

    def __init__(self, tables: Tables, gate: RolloutGate | None, kept: Callable[[TableVersion], None]) -> None:
        self.tables, self.gate, self.on_version = tables, gate, kept
        self.rollouts: dict[int, TableRollout] = {}
        self.endpoints = EndpointStates()
        self.withheld: list[WithheldChange] = []  # what the gate kept, not told yet
        self.now_ms = 0.0

    def rollout_of(self, table: int) -> TableRollout:
        return self.rollouts.setdefault(table, TableRollout())

    # the module's writing

    def set_weight(self, table: int, endpoint: int, weight: float) -> None:
        leaf = self.rollout_of(table)
        if weight > 0:
            # Found by a test: a slot count of 10 and a stored weight of 10.0 had two versions, and all was sent anew.
            leaf.wanted_weights[endpoint] = float(weight)
        else:
            leaf.wanted_weights.pop(endpoint, None)
        leaf.unapplied_weights.add(endpoint)
        if leaf.recovered:
            leaf.planner_weights[endpoint] = float(weight)
            started = self.endpoints.started_ms.get(endpoint, 0.0)
            stands = leaf.recovered.effective_weight(
                endpoint, float(weight), self.now_ms, self.endpoints.is_warm(endpoint), started
            )
            if stands > 0.0:
                leaf.wanted_weights[endpoint] = stands

    def end_expired_recovery(self) -> None:
        """What the last life left counts no more: the module's own words are wanted from now on."""
        for leaf in self.rollouts.values():
            if leaf.recovered and self.now_ms >= leaf.recovered.trusted_until_ms:
                for endpoint, weight in leaf.planner_weights.items():
                    if endpoint in leaf.wanted_weights and weight > 0.0:
                        leaf.is_behind |= leaf.wanted_weights[endpoint] != weight
                        leaf.wanted_weights[endpoint] = weight
                leaf.recovered, leaf.planner_weights = None, {}

    def recovery_expires_ms(self) -> float:
        """When that is due next."""
        return min(
            (leaf.recovered.trusted_until_ms for leaf in self.rollouts.values() if leaf.recovered), default=float("inf")
        )

    def set_admission(self, table: int, places: Iterable[int], allowed: float, tries: int) -> None:
        leaf = self.rollout_of(table)
        for place in places:
            leaf.wanted_admission[place] = (float(allowed), tries)
            leaf.unapplied_admission.add(place)

    def flush(self, only: int | None = None) -> None:
        """Let what was written since the last time stand, as far as the gate lets it; a bind flushes its table first,
        so that what it costs is what the module counted."""
        for table in [only] if only is not None else list(self.rollouts):
            leaf = self.rollouts.get(table)
            if leaf is None or not (leaf.unapplied_weights or leaf.unapplied_admission):
                continue
            lines = {endpoint: leaf.wanted_weights.get(endpoint, 0.0) for endpoint in leaf.unapplied_weights}
            levels = {place: leaf.wanted_admission[place] for place in leaf.unapplied_admission}
            leaf.unapplied_weights, leaf.unapplied_admission = set(), set()
            record = self.tables.tables.get(table)
            if leaf.pinned and not (record and record.proxies):  # nobody is on it yet: it starts as it is pinned
                lines = self.weight_changes(self.current(table)[0], self.target(table)[0])
                self.apply(table, lines, levels, leaf.pinned.cause, leaf.pinned.operator)
            elif leaf.pinned:
                leaf.is_behind = True
                self.apply_reductions(table, lines, levels)
            else:
                self.apply(table, lines, levels, "module", "")

    def apply_reductions(self, table: int, lines: Weights, levels: Admission) -> None:
        """Of what the module writes to a pinned table levels stand, and what takes an endpoint out, or down while it
        is cold."""
        stands = self.current(table)[0]
        falls = {
            endpoint: weight
            for endpoint, weight in lines.items()
            if weight < stands.get(endpoint, 0.0) and (weight <= 0.0 or not self.endpoints.is_warm(endpoint))
        }
        if falls or levels:
            self.apply(table, falls, levels, "module", "")

    # what stands

    def current(self, table: int) -> tuple[Weights, Admission]:
        record = self.tables.tables.get(table)
        return (record.weights, record.admission) if record else ({}, {})

    def apply(self, table: int, lines: Weights, levels: Admission, cause: str, who: str) -> None:
        """These changes stand from now on, but for what the gate keeps."""
        leaf = self.rollout_of(table)
        record = self.tables.tables.get(table)
        if self.gate and record and record.proxies:
            lines, held = self.gate.filter_weights(table, record.weights, lines, self.endpoints, self.now_ms)
            for place, (allowed, tries) in list(levels.items()):
                if fault := self.gate.check_admission(table, place, allowed, tries):
                    held.append(fault)
                    del levels[place]
            leaf.is_behind |= bool(held)
            self.withheld += held
        for endpoint, weight in lines.items():
            self.tables.set_weight(table, endpoint, weight)
        for place, (allowed, tries) in levels.items():
            self.tables.set_admission(table, [place], allowed, tries)
        if lines or levels:
            self.record_version(table, cause, who)

    def record_version(self, table: int, cause: str, who: str) -> None:
        leaf = self.rollout_of(table)
        lines, levels = self.current(table)
        name = version_name(table, lines, levels)
        parent = leaf.versions[-1].name if leaf.versions else ""
        if name == parent:
            return
        version = TableVersion(
            name, table, parent, cause, who, self.now_ms, self.tables.revision, dict(lines), dict(levels)
        )
        leaf.versions.append(version)
        del leaf.versions[:-MAX_KEPT_VERSIONS]
        self.on_version(version)

    # the operator's words

    def add_stored_version(self, version: TableVersion) -> None:
        """A version of an earlier life."""
        self.rollout_of(version.table).versions.append(version)

    def recover(self, wall_ms: float, trust: Callable[[float], float]) -> None:
        """Let the newest remembered version of each table stand for as long as its age deserves.

        A table counts as old as the newest of all: that none has changed of late says nothing against it.
        """
        newest = {table: leaf.versions[-1] for table, leaf in self.rollouts.items() if leaf.versions}
        age_ms = wall_ms - max((version.created_ms for version in newest.values()), default=0.0)
        span_ms = trust(age_ms)
        for table, version in newest.items() if span_ms > 0.0 else ():
            self.rollout_of(table).recovered = RecoveredTable(
                version.weights, self.now_ms - age_ms, self.now_ms + span_ms
            )

    def pin(self, version: TableVersion) -> None:
        """This table is to stay as in this version until it is released; in flight changes are overtaken."""
        leaf = self.rollout_of(version.table)
        leaf.pinned, leaf.is_behind = version, True

    def release(self, table: int) -> bool:
        """What the module wants takes over again."""
        leaf = self.rollout_of(table)
        was = leaf.pinned is not None
        leaf.pinned, leaf.is_behind = None, leaf.is_behind or was
        return was

    def target(self, table: int) -> tuple[Weights, Admission]:
        """What a table is on its way to: its pin within the rules of now, or what the module wants.

        A pin of which no warm endpoint is left gives way to the module: no proxy may be bare.
        """
        leaf = self.rollout_of(table)
        if leaf.pinned is None:
            return leaf.wanted_weights, leaf.wanted_admission
        lines = {e: w for e, w in leaf.pinned.weights.items() if e in self.endpoints.in_service}
        if not any(self.endpoints.is_warm(endpoint) for endpoint in lines):
            return leaf.wanted_weights, leaf.wanted_admission
        mean = sum(lines.values()) / len(lines) if lines else 0.0
        for endpoint in lines:
            part = self.endpoints.capacity_shares.get(endpoint, 1.0)
            if part < 1.0:
                lines[endpoint] = min(lines[endpoint], max(1.0, part * mean))
        # Levels follow the load: a pin is about where exchanges go, and an old level may let in what now overloads.
        return lines, leaf.wanted_admission

    def catch_up(self, room_lines: float) -> None:
        """Move every table that waits towards its target, as much as the channel has room for.

        Belongs between `begin` and `commit` of an order of its own.
        """
        for table, leaf in self.rollouts.items():
            record = self.tables.tables.get(table)
            if not leaf.is_behind or record is None:
                continue
            users = max(1, len(record.proxies))
            lines, levels = self.target(table)
            changes = self.weight_changes(record.weights, lines)
            fit = int(max(0.0, room_lines) / users)
            level_changes = {p: level for p, level in levels.items() if record.admission.get(p) != level}
            if level_changes and fit:
                fit -= 1
            else:
                level_changes = {}
            first = dict(list(changes.items())[:fit])
            if first or level_changes:
                cause, who = (leaf.pinned.cause, leaf.pinned.operator) if leaf.pinned else ("release", "")
                self.apply(table, first, level_changes, cause, who)
                room_lines -= users * (len(first) + bool(level_changes))
            leaf.is_behind = bool(self.weight_changes(record.weights, lines)) or any(
                record.admission.get(place) != level for place, level in levels.items()
            )

    @staticmethod
    def weight_changes(stands: Weights, wanted: Weights) -> Weights:
        """What changes one into the other, what goes after what comes, the largest first."""
        rows = {e: wanted.get(e, 0.0) for e in {*stands, *wanted} if wanted.get(e, 0.0) != stands.get(e, 0.0)}

        def rank(row: tuple[int, float]) -> tuple[bool, float, int]:
            return row[1] <= 0.0, -abs(row[1] - stands.get(row[0], 0.0)), row[0]

        return dict(sorted(rows.items(), key=rank))

    def is_behind(self) -> bool:
        return any(leaf.is_behind for leaf in self.rollouts.values())
