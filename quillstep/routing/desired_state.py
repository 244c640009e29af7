"""The desired state: tables of weights and admission limits, ejections, addresses, and the resources made from them.

Performs no I/O and reads no clock.
"""

from dataclasses import dataclass, field
from typing import Any, NamedTuple

from quillstep.routing.proxy_state import ProxyState
from quillstep.routing.resources import (
    ADMISSION,
    CLUSTER,
    EJECTED,
    FOREIGN,
    LISTENER_KEY,
    ROUTES,
    ROUTES_KEY,
    UNASSIGNED_KINDS,
    WEIGHT,
    Key,
    Resource,
    RouteEntry,
    make_resource,
)

UNLIMITED_RATE = 1e5  # requests a second; rates from here on are sent as no limit
PUBLISHED_DIGITS = 4  # decimal places of published shares and rates


class AdmissionLimit(NamedTuple):
    """A class's admission limit in a table (a share, or requests a second), and the class's retry policy."""

    limit: float
    retry_policy: int


@dataclass(slots=True)
class Table:
    """One table: weights by endpoint, admission limits by class, and the proxies that the table is assigned to."""

    weights: dict[int, float] = field(default_factory=dict)
    admission: dict[int, AdmissionLimit] = field(default_factory=dict)
    proxies: set[int] = field(default_factory=set)


class DesiredState:
    """The resources that all proxies should hold.

    Attributes:
        admission: The kind of admission limits: share, rate or none.
        default_retry_policy: The retry policy of classes for which a table sets none.
    """

    def __init__(self, admission: str, default_retry_policy: int) -> None:
        self.admission, self.default_retry_policy = admission, default_retry_policy
        self.tables: dict[int, Table] = {}
        self.ejected: dict[int, str] = {}  # status by endpoint
        self.addresses: dict[int, tuple[str, int]] = {}
        self.shared_resources: dict[Key, Resource] = {}  # cached until an update changes their key

    def keys_of(self, state: ProxyState) -> list[Key]:
        """Returns all keys that a proxy should hold, except those that it retains while it has no table."""
        keys: list[Key] = [LISTENER_KEY, *((EJECTED, endpoint) for endpoint in self.ejected)]
        for number in sorted(set(state.assignments.values())):
            keys += [(CLUSTER, number), (ADMISSION, number)]
            keys += [(WEIGHT, number, endpoint) for endpoint in self.tables[number].weights]
        return [*keys, ROUTES_KEY] if state.assignments else keys

    def desired_resource(self, state: ProxyState, key: Key) -> Resource | None:
        """Returns the resource that a proxy should hold under a key; a proxy without a table keeps what it has."""
        kind = key[0]
        if kind == ROUTES:
            return self.desired_routes(state)
        if kind in UNASSIGNED_KINDS:
            return self.shared_resource(key)
        if not state.assignments:
            version = state.acknowledged.get(key)
            return Resource(version, ()) if version is not None else None
        if kind == FOREIGN or key[1] not in state.assignments.values():
            return None
        return self.shared_resource(key)

    def shared_resource(self, key: Key) -> Resource | None:
        """Returns the resource of a key whose content is the same for all proxies; None if none should hold it."""
        resource = self.shared_resources.get(key)
        if resource is None:
            content = self._shared_content(key)
            if content is None:
                return None
            resource = self.shared_resources[key] = make_resource(key, content)
        return resource

    def _shared_content(self, key: Key) -> tuple[Any, ...] | None:
        kind = key[0]
        if kind == WEIGHT:
            weight = self.tables[key[1]].weights.get(key[2])
            return (*self.addresses[key[2]], weight) if weight and key[2] in self.addresses else None
        if kind == EJECTED:
            status = self.ejected.get(key[1])
            return (*self.addresses[key[1]], status) if status and key[1] in self.addresses else None
        if kind == ADMISSION and self.admission == "share":
            limits = sorted(self.tables[key[1]].admission.items())
            return tuple((class_index, round(entry.limit, PUBLISHED_DIGITS)) for class_index, entry in limits)
        return ()

    def desired_routes(self, state: ProxyState) -> Resource | None:
        """Returns the routes that a proxy should hold; a proxy without a table keeps its routes."""
        if not state.assignments:
            version = state.acknowledged.get(ROUTES_KEY)
            return Resource(version, ()) if version is not None else None
        entries = []
        for class_index, table in sorted(state.assignments.items()):
            rate_limit, retry_policy = None, self.default_retry_policy
            if entry := self.tables[table].admission.get(class_index):
                retry_policy = entry.retry_policy
                if self.admission == "rate" and entry.limit < UNLIMITED_RATE:
                    rate_limit = round(entry.limit, PUBLISHED_DIGITS)
            entries.append(RouteEntry(class_index, table, rate_limit, retry_policy))
        return make_resource(ROUTES_KEY, tuple(entries))


def retry_policies_of(routes: Resource) -> dict[int, int]:
    """Returns the retry policy of each class in a resource of kind ROUTES."""
    return {entry[0]: entry[3] for entry in routes.content}
