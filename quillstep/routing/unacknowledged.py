"""What may be in effect at proxies that have not said what they hold.  Without I/O and clocks.

A proxy that never applies an order goes by its old version, and counts so: where it may still push a cold endpoint by
the line of its warm days, the others wait with theirs.
"""

from collections.abc import Iterable, Mapping

from quillstep.routing.proxy_state import Change, ProxyState
from quillstep.routing.resources import EJECTED, WEIGHT, Key, Resource

RECHECK_INTERVAL_MS = 50.0  # between two looks at who still holds an old line


def uses_outdated_weight(ledger: ProxyState, line: Key, wanted: Resource | None) -> bool:
    """Whether a proxy may pick an endpoint by a line other than the one it should hold, as far as its word goes."""
    held = ledger.acknowledged.get(line)
    if held is None or (EJECTED, line[2]) in ledger.acknowledged:
        return False
    return held != (wanted.version if wanted else None)


def is_saturated_by_outdated_weights(ledgers: Iterable[ProxyState], line: Key, wanted: Resource, usual: float) -> bool:
    """Whether proxies with old lines may push an endpoint by as much as all of them should by the wanted line.

    `usual`: the mean weight of the table's lines, which an old line is taken to have had.
    """
    rows = list(ledgers)
    old = sum(uses_outdated_weight(ledger, line, wanted) for ledger in rows)
    return old * usual > len(rows) * float(wanted.content[2])


def warming_endpoint_that_gains(change: Change, ledger: ProxyState, cold: Mapping[int, float]) -> int | None:
    """The cold endpoint that a change would send more to, at a proxy that sends it nothing now; None: it is no such."""
    kind = change.key[0]
    if kind == WEIGHT and change.resource and change.key[2] in cold:
        endpoint = change.key[2]
        return endpoint if change.key not in ledger.acknowledged or (EJECTED, endpoint) in ledger.acknowledged else None
    if kind == EJECTED and change.resource is None and change.key[1] in cold:
        return int(change.key[1])
    return None
