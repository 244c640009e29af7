"""The rollout of tables: the planner's wanted state, the state in effect, and pins.

The planner continues to write while a table is pinned.  Its wanted state is stored here and takes effect again when the
table is released, through the rollout gate, a part of the traffic at a time.  A rollback is a pin to an earlier
version.  Pinned versions obey the rules of the gate: endpoints that are no longer in service are left out, and the
weights of warming endpoints are limited.  Performs no I/O and reads no clock; times are milliseconds.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from quillstep.routing.desired_state import AdmissionLimit, Table
from quillstep.routing.recovery import RecoveredTable
from quillstep.routing.rollout_gate import EndpointStates, RolloutGate, WithheldChange
from quillstep.routing.tables import Tables
from quillstep.routing.versions import Admission, TableVersion, Weights, version_name

MAX_VERSIONS_IN_MEMORY = 512  # per table; a store may retain more


@dataclass(slots=True)
class TableRollout:
    """One table's wanted state, the changes that are not in effect yet, its pin and its versions."""

    wanted_weights: Weights = field(default_factory=dict)  # all wanted weights, whether in effect or not
    wanted_admission: Admission = field(default_factory=dict)
    unapplied_weights: set[int] = field(default_factory=set)  # endpoints written since the last flush
    unapplied_admission: set[int] = field(default_factory=set)  # classes written since the last flush
    is_behind: bool = False  # whether a wanted change is not in effect
    recovered: RecoveredTable | None = None  # the last incarnation's table, while it is trusted
    planner_weights: Weights = field(default_factory=dict)  # the planner's weights while recovered ones are in effect
    pinned: TableVersion | None = None
    versions: list[TableVersion] = field(default_factory=list)


class VersionedTables:
    """The rollouts of all tables.  `on_version` is called with each new version that takes effect."""

    def __init__(self, tables: Tables, gate: RolloutGate | None, on_version: Callable[[TableVersion], None]) -> None:
        self.tables, self.gate, self.on_version = tables, gate, on_version
        self.rollouts: dict[int, TableRollout] = {}
        self.endpoints = EndpointStates()
        self.withheld: list[WithheldChange] = []  # changes withheld by the gate that are not logged yet
        self.now_ms = 0.0

    def rollout_of(self, table: int) -> TableRollout:
        """Returns a table's rollout; creates it if there is none."""
        return self.rollouts.setdefault(table, TableRollout())

    # changes by the planner

    def set_weight(self, table: int, endpoint: int, weight: float) -> None:
        """Sets the weight that the planner wants; 0 removes the endpoint.

        Weights are always floats: 10 and 10.0 would be encoded differently and make two versions of the same table.
        """
        rollout = self.rollout_of(table)
        weight = float(weight)
        if weight > 0:
            rollout.wanted_weights[endpoint] = weight
        else:
            rollout.wanted_weights.pop(endpoint, None)
        rollout.unapplied_weights.add(endpoint)
        if rollout.recovered:
            rollout.planner_weights[endpoint] = weight
            is_warm = self.endpoints.is_warm(endpoint)
            started_ms = self.endpoints.started_ms.get(endpoint, 0.0)
            effective = rollout.recovered.effective_weight(endpoint, weight, self.now_ms, is_warm, started_ms)
            if effective > 0.0:
                rollout.wanted_weights[endpoint] = effective

    def set_admission(self, table: int, classes: Iterable[int], limit: float, retry_policy: int) -> None:
        """Sets the admission limit and retry policy that the planner wants for these classes."""
        rollout = self.rollout_of(table)
        for class_index in classes:
            rollout.wanted_admission[class_index] = AdmissionLimit(float(limit), retry_policy)
            rollout.unapplied_admission.add(class_index)

    def flush(self, only: int | None = None) -> None:
        """Applies the changes since the last call, as far as the gate allows them.

        A table is flushed by itself (`only`) before it is assigned, so that the assignment costs as many lines as the
        planner counted.
        """
        for table in [only] if only is not None else list(self.rollouts):
            rollout = self.rollouts.get(table)
            if rollout and (rollout.unapplied_weights or rollout.unapplied_admission):
                self._flush_table(table, rollout)

    def _flush_table(self, table: int, rollout: TableRollout) -> None:
        weights = {endpoint: rollout.wanted_weights.get(endpoint, 0.0) for endpoint in rollout.unapplied_weights}
        admission = {index: rollout.wanted_admission[index] for index in rollout.unapplied_admission}
        rollout.unapplied_weights, rollout.unapplied_admission = set(), set()
        if not rollout.pinned:
            self._apply(table, weights, admission, "module", "")
            return
        record = self.tables.tables.get(table)
        if record and record.proxies:
            rollout.is_behind = True
            self._apply_while_pinned(table, weights, admission)
        else:  # no proxy holds the table yet, so it starts at its pinned version
            weights = weight_changes(self._current_weights(table), self.target(table)[0])
            self._apply(table, weights, admission, rollout.pinned.cause, rollout.pinned.operator)

    def _apply_while_pinned(self, table: int, weights: Weights, admission: Admission) -> None:
        """Applies admission limits, and weights that remove an endpoint or reduce one that is not warm."""
        current = self._current_weights(table)
        reduced = {
            endpoint: weight
            for endpoint, weight in weights.items()
            if weight < current.get(endpoint, 0.0) and (weight <= 0.0 or not self.endpoints.is_warm(endpoint))
        }
        if reduced or admission:
            self._apply(table, reduced, admission, "module", "")

    # the state in effect

    def _current_weights(self, table: int) -> Weights:
        record = self.tables.tables.get(table)
        return record.weights if record else {}

    def _apply(self, table: int, weights: Weights, admission: Admission, cause: str, operator: str) -> Admission:
        """Applies the changes that the gate allows; returns the admission limits among them."""
        record = self.tables.tables.get(table)
        if self.gate and record and record.proxies:
            weights, admission = self._filtered(self.gate, table, record, weights, admission)
        for endpoint, weight in weights.items():
            self.tables.set_weight(table, endpoint, weight)
        for class_index, (limit, retry_policy) in admission.items():
            self.tables.set_admission(table, [class_index], limit, retry_policy)
        if weights or admission:
            self._record_version(table, cause, operator)
        return admission

    def _filtered(
        self, gate: RolloutGate, table: int, record: Table, weights: Weights, admission: Admission
    ) -> tuple[Weights, Admission]:
        """Returns the changes that the gate allows."""
        weights, withheld = gate.filter_weights(table, record.weights, weights, self.endpoints, self.now_ms)
        allowed: Admission = {}
        for class_index, entry in admission.items():
            if change := gate.check_admission(table, class_index, entry.limit, entry.retry_policy):
                withheld.append(change)
            else:
                allowed[class_index] = entry
        self.rollout_of(table).is_behind |= bool(withheld)
        self.withheld += withheld
        return weights, allowed

    def _record_version(self, table: int, cause: str, operator: str) -> None:
        """Records the table in effect as a version, unless it is equal to the last one."""
        versions = self.rollout_of(table).versions
        record = self.tables.tables[table]
        name = version_name(table, record.weights, record.admission)
        parent = versions[-1].name if versions else ""
        if name == parent:
            return
        revision = self.tables.revision
        weights, admission = dict(record.weights), dict(record.admission)
        version = TableVersion(name, table, parent, cause, operator, self.now_ms, revision, weights, admission)
        versions.append(version)
        del versions[:-MAX_VERSIONS_IN_MEMORY]
        self.on_version(version)

    # recovery after a start

    def add_stored_version(self, version: TableVersion) -> None:
        """Adds a version of an earlier incarnation."""
        self.rollout_of(version.table).versions.append(version)

    def recover(self, wall_ms: float, trust_ms: Callable[[float], float]) -> None:
        """Puts the newest stored version of each table into effect for as long as its age allows.

        All tables are as old as the newest of them: a table that did not change for a while is not outdated by that.

        Args:
            wall_ms: The current wall-clock time; stored versions have wall-clock times.
            trust_ms: Returns for how long a table of a given age is trusted.
        """
        newest = {table: rollout.versions[-1] for table, rollout in self.rollouts.items() if rollout.versions}
        age_ms = wall_ms - max((version.created_ms for version in newest.values()), default=0.0)
        span_ms = trust_ms(age_ms)
        if span_ms <= 0.0:
            return
        for table, version in newest.items():
            recovered = RecoveredTable(version.weights, self.now_ms - age_ms, self.now_ms + span_ms)
            self.rollout_of(table).recovered = recovered

    def end_expired_recovery(self) -> None:
        """Replaces expired recovered weights by the planner's."""
        for rollout in self.rollouts.values():
            if rollout.recovered and self.now_ms >= rollout.recovered.trusted_until_ms:
                for endpoint, weight in rollout.planner_weights.items():
                    if endpoint in rollout.wanted_weights and weight > 0.0:
                        rollout.is_behind |= rollout.wanted_weights[endpoint] != weight
                        rollout.wanted_weights[endpoint] = weight
                rollout.recovered, rollout.planner_weights = None, {}

    def recovery_expires_ms(self) -> float:
        """Returns when the next recovered table expires; infinity if there is none."""
        recovered = (rollout.recovered for rollout in self.rollouts.values())
        return min((table.trusted_until_ms for table in recovered if table), default=float("inf"))

    # operators' commands

    def pin(self, version: TableVersion) -> None:
        """Keeps a table at a version until it is released; supersedes changes in flight."""
        rollout = self.rollout_of(version.table)
        rollout.pinned, rollout.is_behind = version, True

    def release(self, table: int) -> bool:
        """Lets the planner's wanted state take effect again; returns whether the table was pinned."""
        rollout = self.rollout_of(table)
        was_pinned = rollout.pinned is not None
        rollout.pinned, rollout.is_behind = None, rollout.is_behind or was_pinned
        return was_pinned

    # convergence to the target

    def target(self, table: int) -> tuple[Weights, Admission]:
        """Returns a table's target: its pinned version as far as the gate's rules allow now, or the planner's state.

        A pin without a remaining warm endpoint has no effect, because no proxy may be without a usable endpoint.
        Admission limits are never pinned: they follow the load, and an old limit may admit an overload now.
        """
        rollout = self.rollout_of(table)
        if rollout.pinned is None:
            return rollout.wanted_weights, rollout.wanted_admission
        in_service = self.endpoints.in_service
        weights = {endpoint: weight for endpoint, weight in rollout.pinned.weights.items() if endpoint in in_service}
        if not any(self.endpoints.is_warm(endpoint) for endpoint in weights):
            return rollout.wanted_weights, rollout.wanted_admission
        mean = sum(weights.values()) / len(weights) if weights else 0.0
        for endpoint in weights:
            share = self.endpoints.capacity_shares.get(endpoint, 1.0)
            if share < 1.0:
                weights[endpoint] = min(weights[endpoint], max(1.0, share * mean))
        return weights, rollout.wanted_admission

    def is_behind(self) -> bool:
        """Whether any table has not reached its target."""
        return any(rollout.is_behind for rollout in self.rollouts.values())

    def catch_up(self, available_lines: float) -> None:
        """Moves every table that is behind towards its target, as far as the update channel has capacity.

        Must be called between `begin` and `commit` of a separate update.
        """
        for table, rollout in self.rollouts.items():
            record = self.tables.tables.get(table)
            if rollout.is_behind and record is not None:
                available_lines -= self._catch_up_table(table, rollout, record, available_lines)

    def _catch_up_table(self, table: int, rollout: TableRollout, record: Table, available_lines: float) -> float:
        """Moves one table towards its target; returns the lines that this costs."""
        proxies = max(1, len(record.proxies))
        weights, admission = self.target(table)
        max_changes = int(max(0.0, available_lines) / proxies)
        limits = {index: limit for index, limit in admission.items() if record.admission.get(index) != limit}
        if limits and max_changes:
            max_changes -= 1
        else:
            limits = {}
        changes = dict(list(weight_changes(record.weights, weights).items())[:max_changes])
        lines = 0.0
        if changes or limits:
            cause, operator = (rollout.pinned.cause, rollout.pinned.operator) if rollout.pinned else ("release", "")
            applied = self._apply(table, changes, limits, cause, operator)
            lines = proxies * (len(changes) + bool(applied))
        rollout.is_behind = bool(weight_changes(record.weights, weights)) or any(
            record.admission.get(index) != limit for index, limit in admission.items()
        )
        return lines


def weight_changes(current: Weights, wanted: Weights) -> Weights:
    """Returns the changes from current to wanted weights: largest changes first, removals last."""
    changed = {
        endpoint: wanted.get(endpoint, 0.0)
        for endpoint in {*current, *wanted}
        if wanted.get(endpoint, 0.0) != current.get(endpoint, 0.0)
    }

    def order(item: tuple[int, float]) -> tuple[bool, float, int]:
        endpoint, weight = item
        return weight <= 0.0, -abs(weight - current.get(endpoint, 0.0)), endpoint

    return dict(sorted(changed.items(), key=order))
