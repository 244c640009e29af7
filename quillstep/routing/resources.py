"""What can be held: keys, and contents with versions that follow from the content alone.

A version is the hash of key and content.  Pilots share nothing and start over cold, and yet a proxy that comes
from another pilot, or from this one's last life, is sent only what differs from what it says it holds.

Keys, in the sequence in which they must arrive:
  ("out", endpoint)          keep this endpoint out of all tables, the one a proxy started with too
  ("pool", table)            there is a table of this number
  ("share", table)           what is let in of each class where levels are shares
  ("line", table, endpoint)  one line: the endpoint's weight
  ("routes",)                which table serves each class, the levels where they are rates, the further tries
  ("entry",)                 that there are routes at all
  ("other", ...)             held by a proxy by its own word, and nothing of ours
"""

from typing import Any, NamedTuple

import msgspec
import xxhash

Key = tuple  # a kind and what tells it from others of the kind
# Kinds of keys.  The values are stored in recordings and shown in file names.
EJECTED = "out"
LISTENER = "entry"
CLUSTER = "pool"
ADMISSION = "share"
WEIGHT = "line"
ROUTES = "routes"
FOREIGN = "other"
SEND_RANKS = {EJECTED: 0, LISTENER: 1, CLUSTER: 2, ADMISSION: 3, WEIGHT: 4, ROUTES: 5, FOREIGN: 6}
_encode = msgspec.msgpack.Encoder().encode


MAX_TABLES = 2**24  # numbers of tables under one set of terms


class Resource(NamedTuple):
    """A content and its version; `what` is a plain tuple whose shape goes by the key's kind.

    out: (host, port, status)   pool: ()   share: ((class, allowed), ...)   line: (host, port, weight)
    routes: ((class, table, allowed, tries), ...) by class; allowed is None where no rate is set
    """

    version: str
    content: tuple


def make_resource(key: Key, content: tuple) -> Resource:
    return Resource(xxhash.xxh3_64_hexdigest(_encode((key, content))), content)


def send_rank(key: Key, removed: bool) -> tuple[Any, ...]:
    """The place of a change among others: endpoints to keep out first, tables before the routes to them.

    An endpoint that is let back comes after the lines that it returns with; lines that go come after those that
    replace them; what routes no longer name goes last.
    """
    if removed:
        return (7 if key[0] == EJECTED else 4 if key[0] == WEIGHT else 8, key[0], True)
    return (SEND_RANKS.get(key[0], 6), key[0], False)


def table_number_offset(zones: list[str], by_zone: bool) -> int:
    """What is added to a table's number, so that a number never means another thing to a proxy than it did before.

    Where keyed classes are repeated within a zone, a table's number stands for a zone by its place in the settings'
    list.  A pilot with another list would give a held table the lines of another zone while the routes to it still
    repeat: a key would meet a memory that never saw it.  Under other terms the table has another number, is built
    beside the old one, and the routes move over in one piece.  0 where no table belongs to a zone.
    """
    return (1 + xxhash.xxh32_intdigest(_encode(zones)) % (2**16 - 1)) * MAX_TABLES if by_zone else 0
