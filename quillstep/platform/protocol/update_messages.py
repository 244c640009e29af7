"""Encodes the changes of a control interval as updates.  Performs no I/O.

An update is one message in up to `MAX_PARTS` parts.  Proxies with the same changes are sent the same bytes, which are
encoded once.
"""

from collections.abc import Iterator
from typing import NamedTuple

from quillstep.platform.protocol import names
from quillstep.platform.protocol.codec import Message, encode_message

ALL_TABLES = 65535  # ID of the table whose admission applies to all connected proxies
MAX_PARTS = 64

TableAssignments = tuple[tuple[int, tuple[int, ...]], ...]  # pairs of a table and its classes


class Admission(NamedTuple):
    """Admission limit and retry policy of a class at the proxies that use a table."""

    limit: float
    retry_policy: int


class ProxyChanges(NamedTuple):
    """Changes of an interval for one proxy, other than weights and admission of its tables."""

    assignments: TableAssignments
    newly_assigned: frozenset[int]  # classes that were assigned a table in this interval
    ejected: frozenset[str]
    restored: frozenset[str]


class UpdateEncoder:
    """Encodes the updates of one control interval."""

    def __init__(
        self,
        class_names: list[str],
        tables: dict[int, dict[str, float]],
        admission: dict[int, dict[int, Admission]],
        changed_weights: dict[int, dict[str, float]],
        changed_admission: dict[int, set[int]],
        ack_serial: int | None,
    ) -> None:
        """Create an encoder for the state at the end of the interval.

        Args:
            class_names: Names of all classes by class index.
            tables: Weights by table and endpoint.
            admission: Admission by table and class index.
            changed_weights: Weights set in this interval, by table and endpoint.
            changed_admission: Class indexes whose admission was set in this interval, by table.
            ack_serial: Serial of the ack that the updates request; None to request no ack.
        """
        self.class_names, self.tables, self.admission = class_names, tables, admission
        self.changed_weights, self.changed_admission = changed_weights, changed_admission
        self.ack_serial = ack_serial
        self.encoded: dict[ProxyChanges, bytes] = {}

    def encode(self, changes: ProxyChanges) -> bytes:
        """Return a proxy's encoded update; empty if the interval changes nothing for it."""
        update = self.encoded.get(changes)
        if update is None:
            update = self.encoded[changes] = self._encode(changes)
        return update

    def _encode(self, changes: ProxyChanges) -> bytes:
        parts = list(self._table_parts(changes.assignments, changes.newly_assigned))
        if changes.ejected or changes.restored:
            if not parts:
                parts.append({})
            if changes.ejected:
                parts[0][names.EJECTED] = sorted(changes.ejected)
            if changes.restored:
                parts[0][names.RESTORED] = sorted(changes.restored)
        if not parts:
            return b""
        if self.ack_serial is not None:
            parts[-1][names.REQUESTED_ACK] = self.ack_serial
        for number, part in enumerate(parts[:-1], 1):
            if number % MAX_PARTS:  # after MAX_PARTS parts, the next part begins another message
                part[names.IS_CONTINUED] = True
        return b"".join(encode_message({names.KIND: names.UPDATE, **part}) for part in parts)

    def _table_parts(self, assignments: TableAssignments, newly_assigned: frozenset[int]) -> Iterator[Message]:
        for table, classes in assignments:
            is_full = not newly_assigned.isdisjoint(classes)
            weights = self.tables[table] if is_full else self.changed_weights.get(table)
            if is_full or weights:
                yield self._weights_part(classes, weights or {}, is_full)
            changed = self.changed_admission.get(table, set()) | self.changed_admission.get(ALL_TABLES, set())
            for class_index in classes:
                admission = self._admission_of(table, class_index) if is_full or class_index in changed else None
                if admission:
                    yield self._admission_part(class_index, admission)
        if not assignments and ALL_TABLES in self.changed_admission:
            for class_index in sorted(self.changed_admission[ALL_TABLES]):
                yield self._admission_part(class_index, self.admission[ALL_TABLES][class_index])

    def _weights_part(self, classes: tuple[int, ...], weights: dict[str, float], is_full: bool) -> Message:
        part = self._classes_part(classes)
        if is_full:
            part[names.IS_FULL_TABLE] = True
        part[names.WEIGHTS] = list(weights.items())
        return part

    def _admission_part(self, class_index: int, admission: Admission) -> Message:
        part = self._classes_part((class_index,))
        part[names.ADMISSION_LIMIT], part[names.RETRY_POLICY] = admission
        return part

    def _classes_part(self, classes: tuple[int, ...]) -> Message:
        if len(classes) == len(self.class_names):
            return {}
        return {names.CLASSES: [self.class_names[class_index] for class_index in classes]}

    def _admission_of(self, table: int, class_index: int) -> Admission | None:
        """Return the lower of the limits of this table and of `ALL_TABLES`, with this table's retry policy."""
        table_admission = self.admission.get(table, {}).get(class_index)
        shared_admission = self.admission.get(ALL_TABLES, {}).get(class_index)
        if table_admission and shared_admission:
            return Admission(min(table_admission.limit, shared_admission.limit), table_admission.retry_policy)
        return table_admission or shared_admission
