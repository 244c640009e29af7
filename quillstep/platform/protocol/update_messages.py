"""Encodes one interval's changes as updates.  Without I/O.

An update is one message in up to `MAX_PARTS` parts.  Proxies that the same changes concern get the same bytes, which
are encoded once.
"""

from collections.abc import Iterator
from typing import NamedTuple

from quillstep.platform.protocol import names
from quillstep.platform.protocol.codec import Message, encode_message

ALL_TABLES = 65535  # the table whose admission holds for all connected proxies
MAX_PARTS = 64

TableAssignments = tuple[tuple[int, tuple[int, ...]], ...]  # tables, and the classes that each is used for


class Admission(NamedTuple):
    """What the proxies of a table admit of a class."""

    limit: float
    retry_policy: int


class ProxyChanges(NamedTuple):
    """What an interval changes for one proxy, beside weights and admission of its tables."""

    assignments: TableAssignments
    newly_assigned: frozenset[int]  # classes
    ejected: frozenset[str]
    restored: frozenset[str]


class UpdateEncoder:
    """Encodes the updates of one interval."""

    def __init__(
        self,
        class_names: list[str],
        tables: dict[int, dict[str, float]],
        admission: dict[int, dict[int, Admission]],
        changed_weights: dict[int, dict[str, float]],
        changed_admission: dict[int, set[int]],
        ack_serial: int | None,
    ) -> None:
        """Take the state at the end of the interval.

        Args:
            class_names: All classes by index.
            tables: Weights by table and endpoint.
            admission: By table and class.
            changed_weights: Those of this interval, by table and endpoint.
            changed_admission: Classes whose admission was set in this interval, by table.
            ack_serial: What the updates are to be acknowledged by, if at all.
        """
        self.class_names, self.tables, self.admission = class_names, tables, admission
        self.changed_weights, self.changed_admission = changed_weights, changed_admission
        self.ack_serial = ack_serial
        self.encoded: dict[ProxyChanges, bytes] = {}

    def encode(self, changes: ProxyChanges) -> bytes:
        """Return a proxy's update; empty where the interval changes nothing for it."""
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
            if number % MAX_PARTS:  # with very many classes the rest is a message of its own
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
        """Return the lower limit of the table's own and that of all tables, with the table's own retry policy."""
        own = self.admission.get(table, {}).get(class_index)
        general = self.admission.get(ALL_TABLES, {}).get(class_index)
        if own and general:
            return Admission(min(own.limit, general.limit), own.retry_policy)
        return own or general
