"""What may be in effect at proxies that have not acknowledged newer versions.  Without I/O and clocks.

A proxy that never applies an update goes by its old version, and counts so: where it may still send requests to a
warming endpoint by the weight that the endpoint had when it was warm, the other proxies wait with theirs.
"""

from collections.abc import Iterable, Mapping

from quillstep.routing.changes import Change
from quillstep.routing.desired_state import DesiredState
from quillstep.routing.proxy_state import ProxyState
from quillstep.routing.resources import EJECTED, WEIGHT, Key, Resource

RECHECK_INTERVAL_MS = 50.0


def uses_outdated_weight(state: ProxyState, key: Key, desired: Resource | None) -> bool:
    """Whether a proxy may pick an endpoint by another weight than it should hold, as far as it has acknowledged."""
    version = state.acknowledged.get(key)
    if version is None or (EJECTED, key[2]) in state.acknowledged:
        return False
    return version != (desired.version if desired else None)


def is_saturated_by_outdated_weights(
    states: Iterable[ProxyState], key: Key, desired: Resource, usual_weight: float
) -> bool:
    """Whether proxies with outdated weights may send an endpoint as much as all proxies should by the desired weight.

    Args:
        states: The proxies of the table.
        key: The endpoint's weight in it.
        desired: The weight that they should hold.
        usual_weight: The mean of the table's weights, which an outdated weight is taken to have been.
    """
    proxies = list(states)
    outdated = sum(uses_outdated_weight(state, key, desired) for state in proxies)
    return outdated * usual_weight > len(proxies) * float(desired.content[2])


def warming_endpoint_that_gains(change: Change, state: ProxyState, warming_up: Mapping[int, float]) -> int | None:
    """Returns the warming endpoint to which a change would send requests from a proxy that sends it none now."""
    kind = change.key[0]
    if kind == WEIGHT and change.resource and change.key[2] in warming_up:
        endpoint: int = change.key[2]
        is_unused = change.key not in state.acknowledged or (EJECTED, endpoint) in state.acknowledged
        return endpoint if is_unused else None
    if kind == EJECTED and change.resource is None and change.key[1] in warming_up:
        return int(change.key[1])
    return None


class SaturationGuard:
    """Holds back changes that would send more to a warming endpoint that outdated weights saturate already.

    This guards against a proxy that never applied an endpoint's death: by its old weight it sends the endpoint a full
    part when that is back and warming up, and all other proxies would send theirs beside it.
    """

    def __init__(self, desired: DesiredState, proxies: Mapping[int, ProxyState]) -> None:
        self.desired, self.proxies = desired, proxies
        self.warming_up: dict[int, float] = {}  # when each warming endpoint started
        self._checks: dict[int, tuple[float, bool]] = {}  # until when a check holds, and its result, by endpoint

    def without_saturating(self, state: ProxyState, changes: list[Change], now_ms: float) -> list[Change]:
        """Returns the changes that may be sent; the proxy is to be tried again where some may not."""
        allowed = []
        for change in changes:
            endpoint = warming_endpoint_that_gains(change, state, self.warming_up)
            if endpoint is None or not self.is_saturated(endpoint, now_ms):
                allowed.append(change)
            else:
                state.warm_up_retry_ms = now_ms + RECHECK_INTERVAL_MS
        return allowed

    def is_saturated(self, endpoint: int, now_ms: float) -> bool:
        """Whether outdated weights of any table saturate an endpoint; checked once in `RECHECK_INTERVAL_MS`."""
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
        usual_weight = sum(table.weights.values()) / len(table.weights)
        states = (self.proxies[proxy] for proxy in table.proxies)
        return is_saturated_by_outdated_weights(states, key, desired, usual_weight)
