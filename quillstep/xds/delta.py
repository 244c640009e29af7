"""One delta stream (`DeltaAggregatedResources`), without I/O: requests in, responses out, tables between them.

Versions are the contents' own, nonces are the stream's.  A response is one type's changes of one order; its
`system_version_info` is `epoch/order/ordered`, by which a record of the sockets tells which responses make one
message of the channel, and when it was ordered (milliseconds).
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from envoy.service.discovery.v3 import discovery_pb2

from quillstep.routing import Change, Key, Nack
from quillstep.routing.resources import EJECTED, FOREIGN, WEIGHT
from quillstep.xds import resources
from quillstep.xds.stream import Response, Stream

KNOWN = frozenset(resources.TYPES.values())


@dataclass(slots=True)
class Subscription:
    """What a stream asks for of one type: names, globs of collections, or all."""

    names: set[str] = field(default_factory=set)
    globs: set[str] = field(default_factory=set)
    wildcard: bool = False


class DeltaStream(Stream):
    """The state of one delta stream."""

    def __init__(self, *shared: Any) -> None:
        super().__init__(*shared)
        self.subscriptions: dict[str, Subscription] = {}

    # requests

    def first(self, request: discovery_pb2.DeltaDiscoveryRequest) -> dict[Key, str]:
        """What the opening words say the proxy holds."""
        self.named(request)
        return self.held(request)

    def held(self, request: discovery_pb2.DeltaDiscoveryRequest) -> dict[Key, str]:
        versions = request.initial_resource_versions
        return {resources.key_of(request.type_url, named): version for named, version in versions.items()}

    def request(self, request: discovery_pb2.DeltaDiscoveryRequest, now_ms: float) -> tuple[list[Change], Nack | None]:
        """Take a request in; what it acknowledged, and what it refused."""
        url = request.type_url
        if url not in KNOWN:
            response = discovery_pb2.DeltaDiscoveryResponse(removed_resources=request.resource_names_subscribe)
            self.unserved(request, list(request.resource_names_subscribe), response)
            return [], None
        acknowledged, refusal = self.word(request, now_ms)
        fresh = url not in self.subscriptions
        held = self.subscriptions.setdefault(url, Subscription())
        if fresh:
            self.tables.add_reported(self.proxy, self.held(request))
            bare = not request.resource_names_subscribe
            if bare and url in (resources.LDS, resources.CDS):
                held.wildcard = True
                self.ask_all(url, held)
        if request.resource_names_subscribe:
            self.subscribe(url, held, request.resource_names_subscribe)
        if request.resource_names_unsubscribe:
            self.unsubscribe(url, held, request.resource_names_unsubscribe)
        return acknowledged, refusal

    def subscribe(self, url: str, held: Subscription, names: Iterable[str]) -> None:
        """Ask for names; one that is asked for again is sent again, as the protocol has it."""
        known: list[Key] = []
        again: list[Key] = []
        for named in names:
            if named == "*":
                held.wildcard = True
            elif named.endswith("/*"):
                held.globs.add(named)
            else:
                key = resources.key_of(url, named)
                told = key in self.tables.proxies[self.proxy].acknowledged and named not in held.names
                (known if told else again).append(key)
                held.names.add(named)
                continue
            self.ask_all(url, held)
        self.bounded(len(held.names) + len(held.globs))
        self.tables.subscribe(self.proxy, known, False)
        self.tables.subscribe(self.proxy, again, True)

    def ask_all(self, url: str, held: Subscription) -> None:
        """Mark all that a wildcard or glob covers; what is held already needs no repetition."""
        keys = [key for key in self.tables.desired_keys(self.proxy) if resources.type_url(key) == url]
        self.tables.subscribe(self.proxy, [key for key in keys if self.covers(held, key)], False)

    def unsubscribe(self, url: str, held: Subscription, names: Iterable[str]) -> None:
        for named in names:
            if named == "*":
                held.wildcard = False
            held.names.discard(named)
            held.globs.discard(named)
        ledger = self.tables.proxies[self.proxy]
        gone = [k for k in ledger.acknowledged if resources.type_url(k) == url and not self.covers(held, k)]
        under_way = [k for k in ledger.in_flight if resources.type_url(k) == url and not self.covers(held, k)]
        ledger.unsubscribe(gone + under_way)

    def covers(self, held: Subscription, key: Key) -> bool:
        if held.wildcard or resources.name(key) in held.names:
            return True
        return bool(held.globs) and key[0] in (WEIGHT, EJECTED) and resources.collection(key) in held.globs

    def wants(self, key: Key) -> bool:
        """Whether the proxy has asked for this key; what is not ours is only ever taken back."""
        held = self.subscriptions.get(resources.type_url(key))
        return held is not None and (key[0] == FOREIGN or self.covers(held, key))

    # responses

    def pump(self, now_ms: float) -> list[Response]:
        """What may be sent now, in sequence; bounded by what may be in flight, and by what the proxy takes at once.

        While a response is late only endpoints to keep out are sent: all else that is ordered meanwhile merges, and
        what is overtaken is never sent.
        """
        out, self.errors = self.errors, []
        ledger = self.tables.proxies[self.proxy]
        behind = ledger.has_late_ack(now_ms)
        if lane := ledger.probe_type_url(now_ms):
            nonce = self.nonce()
            self.tables.record_sent(self.proxy, nonce, [], now_ms, lane)
            out.append(self.response(lane, nonce, [], ledger.released_revision))
        while len(ledger.in_flight_updates) < self.limits.max_in_flight:
            apart = bool(ledger.split_updates)  # parts of what was refused are small, and go by themselves
            changes = self.tables.changes_to_send(self.proxy, now_ms, self.wants)
            if not apart:
                changes = (
                    [change for change in changes if change.is_urgent]
                    if behind
                    else ledger.limit_update(changes, now_ms)
                )
            if not changes:
                break
            for url, group in grouped(changes):
                nonce = self.nonce()
                self.tables.record_sent(self.proxy, nonce, group, now_ms, url)
                out.append(self.response(url, nonce, group, ledger.released_revision))
            if not ledger.split_updates:
                break
        return out

    def response(self, url: str, nonce: str, changes: list[Change], number: int) -> Response:
        head = discovery_pb2.DeltaDiscoveryResponse(
            system_version_info=self.stamp(number),
            type_url=url,
            nonce=nonce,
        )
        removed = [resources.name(key) for key, content in changes if content is None]
        head.removed_resources.extend(removed)
        body = [self.encoder.delta(key, content) for key, content in changes if content is not None]
        message = head.SerializeToString() + b"".join(body)
        return Response(message, number, url, nonce, len(body), len(removed))


def grouped(changes: list[Change]) -> list[tuple[str, list[Change]]]:
    """Runs of one type, so that what must go first does; lines and withdrawals share a type and a response.

    One response is applied as a whole: an endpoint that goes and the lines that replace it are never apart.
    """
    groups: list[tuple[str, list[Change]]] = []
    at: dict[tuple[str, bool], int] = {}
    for change in changes:
        url = resources.type_url(change.key)
        late = change.resource is None and url not in (resources.LEDS,)
        if (url, late) in at:
            groups[at[url, late]][1].append(change)
        else:
            at[url, late] = len(groups)
            groups.append((url, [change]))
    return groups
