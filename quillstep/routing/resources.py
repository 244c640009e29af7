"""What a proxy can hold: resources by key, with versions that follow from their content alone.

A version is the hash of key and content.  Controllers share nothing and may start over with nothing, and yet a proxy
that comes from another controller, or from an earlier incarnation of this one, is sent only what differs from the
versions that it reports.

Keys, in the order in which they must arrive:
  (EJECTED, endpoint)        the endpoint is ejected from all tables, those that a proxy started with too
  (LISTENER,)                there are routes at all
  (CLUSTER, table)           there is a table of this number
  (ADMISSION, table)         the admitted share of each class, where admission limits are shares
  (WEIGHT, table, endpoint)  the endpoint's weight in the table
  (ROUTES,)                  each class's table, its admission limit where limits are rates, its retry policy
  (FOREIGN, type URL, name)  reported by a proxy, and no resource of ours
"""

from typing import Any, NamedTuple

import msgspec
import xxhash

# A kind, and what tells a key from others of its kind.  Keys are plain tuples: one is made for each weight of each
# proxy that a table is assigned to, and they are hashed more often than that.
Key = tuple[Any, ...]

# Kinds of keys.  The values are stored in recordings and shown in file names.
EJECTED = "out"
LISTENER = "entry"
CLUSTER = "pool"
ADMISSION = "share"
WEIGHT = "line"
ROUTES = "routes"
FOREIGN = "other"

UNASSIGNED_KINDS = frozenset((EJECTED, LISTENER))  # sent to proxies that have no table, too
LISTENER_KEY: Key = (LISTENER,)
ROUTES_KEY: Key = (ROUTES,)

SEND_RANKS = {EJECTED: 0, LISTENER: 1, CLUSTER: 2, ADMISSION: 3, WEIGHT: 4, ROUTES: 5, FOREIGN: 6}
REMOVAL_RANKS = {EJECTED: 7, WEIGHT: 4}
LAST_REMOVAL_RANK = 8

MAX_TABLES = 2**24  # table numbers from one offset to the next
_encode = msgspec.msgpack.Encoder().encode


class RouteEntry(NamedTuple):
    """A class's part of the routes; `rate_limit` is None where no rate is set."""

    class_index: int
    table: int
    rate_limit: float | None
    retry_policy: int


class Resource(NamedTuple):
    """A content and its version.

    The content is a plain tuple whose shape goes by the key's kind: EJECTED (host, port, status), WEIGHT (host, port,
    weight), ADMISSION ((class index, share), ...), ROUTES (`RouteEntry`, ...) by class, CLUSTER and LISTENER ().
    """

    version: str
    content: tuple[Any, ...]


def make_resource(key: Key, content: tuple[Any, ...]) -> Resource:
    """Returns the resource with this content, under the version that follows from it."""
    return Resource(xxhash.xxh3_64_hexdigest(_encode((key, content))), content)


def send_rank(key: Key, removed: bool) -> tuple[int, str, bool]:
    """Returns a change's place among those that are sent together.

    Ejections go first, and tables before the routes to them.  An endpoint is restored after the weights that it
    returns with; weights are removed after those that replace them; what routes no longer name goes last.
    """
    kind = key[0]
    if removed:
        return (REMOVAL_RANKS.get(kind, LAST_REMOVAL_RANK), kind, True)
    return (SEND_RANKS.get(kind, SEND_RANKS[FOREIGN]), kind, False)


def table_number_offset(zones: list[str], by_zone: bool) -> int:
    """Returns what is added to table numbers, so that one number never means two tables to a proxy.

    Where idempotent classes are retried within a zone, a table's number stands for a zone by its place in the
    configured list.  A controller with another list would give a held table the endpoints of another zone while the
    routes to it still allow retries: a key would reach an endpoint that does not recognise it.  With another offset
    the table has another number, is built beside the old one, and the routes move over in one update.

    Args:
        zones: The configured zones, in order.
        by_zone: Whether any table belongs to a zone; where none does, the offset is 0.
    """
    return (1 + xxhash.xxh32_intdigest(_encode(zones)) % (2**16 - 1)) * MAX_TABLES if by_zone else 0
