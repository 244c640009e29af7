"""Weights that may still be in effect at proxies that have not acknowledged newer versions.

A proxy that never applies an update uses its old version.  While such a proxy may still send requests to a warming
endpoint by the weight that the endpoint had when it was warm, the other proxies do not add theirs.  Performs no I/O and
reads no clock.
"""

from collections.abc import Iterable, Mapping

from quillstep.routing.changes import Change
from quillstep.routing.desired_state import DesiredState
from quillstep.routing.proxy_state import ProxyState
from quillstep.routing.resources import EJECTED, WEIGHT, Key, Resource

RECHECK_INTERVAL_MS = 50.0


def uses_outdated_weight(state: ProxyState, key: Key, desired: Resource | None) -> bool:
    """Whether a proxy may use a weight other than the desired one, judging by what it has acknowledged."""
    version = state.acknowledged.get(key)
    if version is None or (EJECTED, key[2]) in state.acknowledged:
        return False
    return version != (desired.version if desired else None)


def is_saturated_by_outdated_weights(
    states: Iterable[ProxyState], key: Key, desired: Resource, mean_weight: float
) -> bool:
    """Whether proxies with outdated weights may send more to an endpoint than all proxies should by the desired weight.

    Args:
        states: The proxies of the table.
        key: The key of the endpoint's weight in the table.
        desired: The weight that the proxies should hold.
        mean_weight: The mean of the table's weights, used as an estimate of outdated weights.
    """
    proxies = list(states)
    outdated = sum(uses_outdated_weight(state, key, desired) for state in proxies)
    return outdated * mean_weight > len(proxies) * float(desired.content[2])


def warming_endpoint_that_gains(change: Change, state: ProxyState, warming_up: Mapping[int, float]) -> int | None:
    """Returns the warming endpoint that a proxy would start to use by a change; None if there is none."""
    kind = change.key[0]
    if kind == WEIGHT and change.resource and change.key[2] in warming_up:
        endpoint: int = change.key[2]
        is_unused = change.key not in state.acknowledged or (EJECTED, endpoint) in state.acknowledged
        return endpoint if is_unused else None
    if kind == EJECTED and change.resource is None and change.key[1] in warming_up:
        return int(change.key[1])
    return None


class SaturationGuard:
    """Withholds changes that would add load to a warming endpoint that outdated weights saturate already.

    A proxy that never applied an endpoint's ejection sends it a full share by the old weight when the endpoint is back
    and warming up; the requests of all other proxies in addition would overload the endpoint.
    """

    def __init__(self, desired: DesiredState, proxies: Mapping[int, ProxyState]) -> None:
        self.desired, self.proxies = desired, proxies
        self.warming_up: dict[int, float] = {}  # start of each warming endpoint
        self._checks: dict[int, tuple[float, bool]] = {}  # (valid until, result) by endpoint

    def without_saturating(self, state: ProxyState, changes: list[Change], now_ms: float) -> list[Change]:
        """Returns the changes that may be sent; schedules another attempt for the proxy if some may not."""
        allowed = []
        for change in changes:
            endpoint = warming_endpoint_that_gains(change, state, self.warming_up)
            if endpoint is None or not self.is_saturated(endpoint, now_ms):
                allowed.append(change)
            else:
                state.warm_up_retry_ms = now_ms + RECHECK_INTERVAL_MS
        return allowed

    def is_saturated(self, endpoint: int, now_ms: float) -> bool:
        """Whether outdated weights of any table saturate an endpoint; checked at most once in `RECHECK_INTERVAL_MS`."""
        until_ms, is_saturated = self._checks.get(endpoint, (0.0, False))
        if now_ms < until_ms:
            return is_saturated
        is_saturated = any(self._is_saturated_in(number, endpoint) for number in self.desired.tables)
        self._checks[endpoint] = (now_ms + RECHECK_INTERVAL_MS, is_saturated)
        return is_saturated

    def _is_saturated_in(self, number: int, endpoint: int) -> bool:
        table = self.desired.tables[number]
        key = (WEIGHT, number, endpoint)
        desired = self.desired.shared_resource(key) if endpoint in table.weights else None
        if not desired or not table.proxies:
            return False
        mean_weight = sum(table.weights.values()) / len(table.weights)
        states = (self.proxies[proxy] for proxy in table.proxies)
        return is_saturated_by_outdated_weights(states, key, desired, mean_weight)
