"""The chain of an exchange, from the sockets' record: round, version, nonce or generation, acknowledgement, exchange.

Each try went by a line of a version and each exchange by routes of a version, as its proxy wrote down.  The version was
applied with a response whose nonce and stamp (epoch/order/ordered) the proxy wrote down too; the pilot's own record
says when that order was sent under that nonce and when the acknowledgement came.  No I/O; times are milliseconds.
"""

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterator
from typing import Any, NamedTuple

from quillstep.invariants.evidence import Evidence

STANDING = "standing"  # the version of lines that a proxy starts with: nobody's order
ROUTES = ("RouteConfiguration", "files")
LINES = ("LbEndpoint", "ClusterLoadAssignment", "files")


class Link(NamedTuple):
    """One version that an exchange went by, and where it came from; what is not known is empty or None."""

    what: str  # line or routes
    version: str
    resource: str = ""
    pilot: str = ""  # whose life (epoch) it was
    round: int = 0
    ordered_ms: float | None = None
    nonce: str = ""
    sent_ms: float | None = None
    applied_ms: float | None = None
    acknowledged_ms: float | None = None
    gap: str = ""  # what is missing of the chain; empty: it is whole


class Chain(NamedTuple):
    """An exchange and the links of its answer, or of its last try where it got none."""

    exchange: str
    proxy: str
    kind: str
    at_ms: float
    outcome: str
    endpoint: str
    tries: int
    links: list[Link]

    @property
    def gaps(self) -> list[str]:
        return [f"{link.what}: {link.gap}" for link in self.links if link.gap]


class Lineage:
    """All that a run's record says of versions, by proxy and version."""

    def __init__(self, evidence: Evidence) -> None:
        self.evidence = evidence
        self.exchanges = {row["exchange"]: row for row in evidence.requests}
        self.applied: dict[tuple[str, str], list[tuple[float, str, dict[str, Any]]]] = defaultdict(list)
        for row in evidence.applied_updates:
            for name, version in row["changed"]:
                self.applied[row["proxy"], version].append((row["at"], name, row))
        self.sent: dict[tuple[str, str], dict[str, Any]] = {}
        self.acks: dict[tuple[str, str], float] = {}
        self.ends: dict[str, float] = {}  # when each life of a pilot was last heard of
        for row in evidence.channel_rows:
            key = (row["proxy"], row.get("nonce", ""))
            if row["what"] == "send":
                self.sent.setdefault(key, row)
            elif row["what"] == "ack":
                self.acks.setdefault(key, row["at"])
            if nonce := row.get("nonce", ""):
                self.ends[nonce.rpartition(".")[0]] = row["at"]
        self.left: dict[str, list[float]] = defaultdict(list)  # when streams of a proxy ended
        for row in evidence.stream_changes:
            if not row["up"]:
                self.left[row["proxy"]].append(row["at"])

    def trace(self, exchange: str) -> Chain:
        """Raises KeyError where the record knows no such exchange."""
        row = self.exchanges[exchange]
        links = []
        endpoint = ""
        if row["tries"]:
            endpoint, sent, _, _, version = row["tries"][-1]
            links.append(self.link("line", row["proxy"], version, sent, LINES))
        if routes := row.get("routes", ""):
            picked = row["tries"][0][1] if row["tries"] else row["end"]
            links.append(self.link("routes", row["proxy"], routes, picked, ROUTES))
        return Chain(
            exchange,
            row["proxy"],
            row["class"],
            row["at"],
            row["outcome"],
            endpoint,
            len(row["tries"]),
            links,
        )

    def all(self) -> Iterator[Chain]:
        for exchange in self.exchanges:
            yield self.trace(exchange)

    def link(self, what: str, proxy: str, version: str, at: float, types: tuple[str, ...]) -> Link:
        """Where a version came from that a proxy went by at a moment."""
        if version == STANDING:
            return Link(what, version, "the table it started with")
        rows = self.applied.get((proxy, version), [])
        place = bisect_right(rows, at, key=lambda row: row[0]) - 1
        while place >= 0 and rows[place][2]["type"] not in types:
            place -= 1
        if place < 0:
            return Link(what, version, gap="no response that it applied held this version")
        applied_ms, resource, row = rows[place]
        epoch, order, ordered = (row["system"].split("/") + ["", "", ""])[:3]
        found = Link(
            what, version, resource, epoch, int(order or 0), float(ordered) if ordered else None, row["nonce"],
            applied_ms=applied_ms,
        )  # fmt: skip
        sent = self.sent.get((proxy, row["nonce"]))
        if sent is None:
            return found._replace(gap=self.unless_ended(proxy, epoch, applied_ms, "no record of its sending"))
        found = found._replace(sent_ms=sent["at"])
        if sent["order"] != found.round:
            return found._replace(gap=f"sent as order {sent['order']}")
        acknowledged = self.acks.get((proxy, row["nonce"]))
        if acknowledged is None:
            return found._replace(gap=self.unless_ended(proxy, epoch, applied_ms, "no acknowledgement"))
        return found._replace(acknowledged_ms=acknowledged)

    def unless_ended(self, proxy: str, epoch: str, applied_ms: float, gap: str) -> str:
        """A proxy whose stream or pilot ended before its word could arrive has applied what it says it has."""
        stream = self.left.get(proxy, [])
        place = bisect_right(stream, applied_ms)
        follows = stream[place] if place < len(stream) else self.evidence.end_ms
        after = any(
            at > applied_ms
            for (name, nonce), at in self.acks.items()
            if name == proxy and nonce.startswith(f"{epoch}.") and at <= follows
        )
        return gap if after else ""
