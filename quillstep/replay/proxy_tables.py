"""The resources that a modelled proxy holds."""

from typing import NamedTuple

from quillstep.routing import Change, Key, Resource
from quillstep.routing.resources import ADMISSION, CLUSTER, EJECTED, ROUTES, WEIGHT


class Route(NamedTuple):
    """The route of a class; `limit_per_s` is None if there is no rate limit."""

    table: int
    limit_per_s: float | None
    retry_policy: int


class ProxyTables:
    """Tables, routes and ejected endpoints after the changes applied so far.

    Attributes:
        weights: Weights by address, by table.
        routes: Routes by class index.
        admitted_shares: The share of requests to admit by class index, by table.
        versions: The version of each resource held.
    """

    def __init__(self) -> None:
        self.weights: dict[int, dict[str, float]] = {}
        self.routes: dict[int, Route] = {}
        self.admitted_shares: dict[int, dict[int, float]] = {}
        self.versions: dict[Key, str] = {}
        self._addresses: dict[Key, str] = {}  # Addresses by key of the weight; needed to remove it.
        self._ejected: dict[int, str] = {}

    @property
    def ejected_addresses(self) -> set[str]:
        """The addresses of ejected endpoints."""
        return set(self._ejected.values())

    def apply(self, changes: list[Change]) -> None:
        """Applies changes in order."""
        for key, resource in changes:
            if resource:
                self.versions[key] = resource.version
            else:
                self.versions.pop(key, None)
            self._apply_change(key, resource)

    def _apply_change(self, key: Key, resource: Resource | None) -> None:
        kind = key[0]
        if kind == WEIGHT:
            self._set_weight(key, resource)
        elif kind == EJECTED:
            self._set_ejected(key[1], resource)
        elif kind == ROUTES and resource:
            self.routes = {class_index: Route(*route) for class_index, *route in resource.content}
        elif kind == ADMISSION and resource:
            self.admitted_shares[key[1]] = dict(resource.content)
        elif kind == CLUSTER and resource is None:
            self._remove_table(key[1])

    def _set_weight(self, key: Key, resource: Resource | None) -> None:
        previous = self._addresses.pop(key, None)
        weights = self.weights.setdefault(key[1], {})
        if previous:
            weights.pop(previous, None)
        if resource:
            address = f"{resource.content[0]}:{resource.content[1]}"
            weights[address] = resource.content[2]
            self._addresses[key] = address

    def _set_ejected(self, endpoint: int, resource: Resource | None) -> None:
        if resource:
            self._ejected[endpoint] = f"{resource.content[0]}:{resource.content[1]}"
        else:
            self._ejected.pop(endpoint, None)

    def _remove_table(self, table: int) -> None:
        self.weights.pop(table, None)
        for key in [key for key in self.versions if key[0] in (WEIGHT, ADMISSION) and key[1] == table]:
            self.versions.pop(key)
            self._addresses.pop(key, None)
