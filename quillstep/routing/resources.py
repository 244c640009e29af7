"""The resources that a proxy can hold, by key, with versions that are derived from their content alone.

A version is the hash of key and content.  Controllers share no state and may start without any.  Even so, a proxy that
comes from another controller, or from an earlier incarnation of this one, is sent only the resources that differ from
the versions that it reports.

Keys, in the order in which they must arrive:
  (EJECTED, endpoint)        the endpoint is ejected from all tables, including a proxy's initial table
  (LISTENER,)                the proxy has routes
  (CLUSTER, table)           the table with this number exists
  (ADMISSION, table)         the admitted share of each class, if admission limits are shares
  (WEIGHT, table, endpoint)  the endpoint's weight in the table
  (ROUTES,)                  each class's table, admission limit (if limits are rates) and retry policy
  (FOREIGN, type URL, name)  a resource that a proxy reports and that is none of the above
"""

from typing import Any, NamedTuple

import msgspec
import xxhash

# A kind, and the fields that identify a key among others of its kind.  Keys are plain tuples for speed: one is made for
# each weight of each proxy that a table is assigned to, and each is hashed several times.
Key = tuple[Any, ...]

# Kinds of keys.  The values are stored in recordings and used in file names.
EJECTED = "out"
LISTENER = "entry"
CLUSTER = "pool"
ADMISSION = "share"
WEIGHT = "line"
ROUTES = "routes"
FOREIGN = "other"

UNASSIGNED_KINDS = frozenset((EJECTED, LISTENER))  # kinds that are also sent to proxies without a table
LISTENER_KEY: Key = (LISTENER,)
ROUTES_KEY: Key = (ROUTES,)

SEND_RANKS = {EJECTED: 0, LISTENER: 1, CLUSTER: 2, ADMISSION: 3, WEIGHT: 4, ROUTES: 5, FOREIGN: 6}
REMOVAL_RANKS = {EJECTED: 7, WEIGHT: 4}
LAST_REMOVAL_RANK = 8

MAX_TABLES = 2**24  # distance between two offsets of table numbers
_encode = msgspec.msgpack.Encoder().encode


class RouteEntry(NamedTuple):
    """The route of one class; `rate_limit`, in requests a second, is None if there is no limit."""

    class_index: int
    table: int
    rate_limit: float | None
    retry_policy: int


class Resource(NamedTuple):
    """The content of a resource and its version.

    The content is a plain tuple whose shape depends on the key's kind: EJECTED (host, port, status), WEIGHT (host,
    port, weight), ADMISSION ((class index, share), ...), ROUTES (`RouteEntry`, ...) by class, CLUSTER and LISTENER ().
    """

    version: str
    content: tuple[Any, ...]


def make_resource(key: Key, content: tuple[Any, ...]) -> Resource:
    """Returns the resource with this content and the version derived from it."""
    return Resource(xxhash.xxh3_64_hexdigest(_encode((key, content))), content)


def send_rank(key: Key, removed: bool) -> tuple[int, str, bool]:
    """Returns the sort key of a change among those that are sent together.

    Ejections come first, and tables before the routes to them.  An endpoint is restored after its new weights are set;
    weights are removed after those that replace them; tables that routes no longer name are removed last.
    """
    kind = key[0]
    if removed:
        return (REMOVAL_RANKS.get(kind, LAST_REMOVAL_RANK), kind, True)
    return (SEND_RANKS.get(kind, SEND_RANKS[FOREIGN]), kind, False)


def table_number_offset(zones: list[str], by_zone: bool) -> int:
    """Returns the offset of table numbers, which ensures that a number never denotes two tables to a proxy.

    If idempotent classes are retried within a zone, a table's number depends on the zone's index in the configured
    list.  A controller with a different list would put the endpoints of another zone into a table that a proxy holds,
    while the routes to it still allow retries: an idempotency key would reach an endpoint that does not recognise it.
    With a different offset the table gets a new number, is built beside the old one, and the routes switch to it in
    one update.

    Args:
        zones: The configured zones, in order.
        by_zone: Whether any table belongs to a zone; if none does, the offset is 0.
    """
    return (1 + xxhash.xxh32_intdigest(_encode(zones)) % (2**16 - 1)) * MAX_TABLES if by_zone else 0
