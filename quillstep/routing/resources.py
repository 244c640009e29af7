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
OUT, POOL, SHARE, LINE, ROUTES, ENTRY, OTHER = "out", "pool", "share", "line", "routes", "entry", "other"
RANKS = {OUT: 0, ENTRY: 1, POOL: 2, SHARE: 3, LINE: 4, ROUTES: 5, OTHER: 6}
_encode = msgspec.msgpack.Encoder().encode


TABLES = 2**24  # numbers of tables under one set of terms


class Resource(NamedTuple):
    """A content and its version; `what` is a plain tuple whose shape goes by the key's kind.

    out: (host, port, status)   pool: ()   share: ((class, allowed), ...)   line: (host, port, weight)
    routes: ((class, table, allowed, tries), ...) by class; allowed is None where no rate is set
    """

    version: str
    what: tuple


def content(key: Key, what: tuple) -> Resource:
    return Resource(xxhash.xxh3_64_hexdigest(_encode((key, what))), what)


def rank(key: Key, gone: bool) -> tuple[Any, ...]:
    """The place of a change among others: endpoints to keep out first, tables before the routes to them.

    An endpoint that is let back comes after the lines that it returns with; lines that go come after those that
    replace them; what routes no longer name goes last.
    """
    if gone:
        return (7 if key[0] == OUT else 4 if key[0] == LINE else 8, key[0], True)
    return (RANKS.get(key[0], 6), key[0], False)


def terms_of(zones: list[str], by_zone: bool) -> int:
    """What is added to a table's number, so that a number never means another thing to a proxy than it did before.

    Where keyed classes are repeated within a zone, a table's number stands for a zone by its place in the settings'
    list.  A pilot with another list would give a held table the lines of another zone while the routes to it still
    repeat: a key would meet a memory that never saw it.  Under other terms the table has another number, is built
    beside the old one, and the routes move over in one piece.  0 where no table belongs to a zone.
    """
    return (1 + xxhash.xxh32_intdigest(_encode(zones)) % (2**16 - 1)) * TABLES if by_zone else 0
