"""One state-of-the-world stream (`StreamAggregatedResources`), without I/O, for clients that know no deltas.

A response is all resources of one type that the client asks for; lines and withdrawals are inside the assignment.
`version_info` is the hash of all that the response holds; the ledger knows which keys that means.
"""

from typing import Any

import xxhash
from envoy.service.discovery.v3 import discovery_pb2
from google.protobuf import any_pb2

from quillstep.routing import Change, Key, Nack
from quillstep.routing.resources import ADMISSION, CLUSTER, EJECTED, LISTENER, ROUTES, WEIGHT, Resource
from quillstep.xds import resources
from quillstep.xds.stream import Response, Stream

KINDS = {
    resources.CDS: (CLUSTER,),
    resources.EDS: (ADMISSION, WEIGHT, EJECTED),
    resources.LDS: (LISTENER,),
    resources.RDS: (ROUTES,),
}
URLS = {kind: url for url, kinds in KINDS.items() for kind in kinds}
FULL = (resources.CDS, resources.LDS)  # whoever asks for no names here asks for all


class SotwStream(Stream):
    """The state of one state-of-the-world stream."""

    whole = True

    def __init__(self, *shared: Any) -> None:
        super().__init__(*shared)
        self.names: dict[str, set[str]] = {}  # by type; an empty set means all where that is allowed
        self.newest: dict[str, str] = {}  # nonce by type

    def first(self, request: discovery_pb2.DiscoveryRequest) -> dict[Key, str]:
        """A client of this kind tells no versions of single resources; it is sent all anew."""
        self.named(request)
        return {}

    def request(self, request: discovery_pb2.DiscoveryRequest, now_ms: float) -> tuple[list[Change], Nack | None]:
        """Take a request in; what it acknowledged, and what it refused."""
        url = request.type_url
        if url not in KINDS:
            self.unserved(request, list(request.resource_names), discovery_pb2.DiscoveryResponse())
            return [], None
        acknowledged, refusal = self.word(request, now_ms)
        if request.response_nonce and request.response_nonce != self.newest.get(url):
            return acknowledged, refusal  # an older word: its names are overtaken
        names = set(request.resource_names) - {"*"}
        self.bounded(len(names))
        before = self.names.get(url)
        self.names[url] = names
        if before is None or names - before:
            keys = [key for key in self.tables.desired_keys(self.proxy) if key[0] in KINDS[url] and self.wants(key)]
            self.tables.subscribe(self.proxy, keys, resend=True)
        return acknowledged, refusal

    def wants(self, key: Key) -> bool:
        url = URLS.get(key[0])
        names = self.names.get(url) if url else None
        if names is None or url is None:
            return False
        if key[0] == EJECTED:
            return True
        named = f"table-{key[1]}" if key[0] in (CLUSTER, ADMISSION, WEIGHT) else resources.ENTRY_NAME
        return named in names or (not names and url in FULL)

    def pump(self, now_ms: float) -> list[Response]:
        """What may be sent now: one response a type, and none of a type while one is under way."""
        out, self.errors = self.errors, []
        ledger = self.tables.proxies[self.proxy]
        changes = self.tables.changes_to_send(self.proxy, now_ms, self.wants)
        for url, kinds in KINDS.items():
            group = [change for change in changes if change.key[0] in kinds]
            if not group or any(key[0] in kinds for key in ledger.in_flight):
                continue
            named = {change.key for change in group}
            again = [key for key in ledger.nacked if key[0] in kinds and key not in named]
            group += [Change(key, self.tables.desired_resource(ledger, key)) for key in again]
            nonce = self.nonce()
            packed = self.state(url)
            version = xxhash.xxh3_64_hexdigest(b"".join(one.SerializeToString() for one in packed))
            self.tables.record_sent(self.proxy, nonce, group, now_ms, url)
            self.newest[url] = nonce
            response = discovery_pb2.DiscoveryResponse(
                version_info=version, resources=packed, type_url=url, nonce=nonce
            )
            response.control_plane.identifier = self.stamp(ledger.released_revision)
            message = response.SerializeToString()
            out.append(Response(message, ledger.released_revision, url, nonce, len(group), 0))
        return out

    def state(self, url: str) -> list[any_pb2.Any]:
        """All resources of a type that the client asks for, packed."""
        ledger = self.tables.proxies[self.proxy]
        packed = []
        for key in self.tables.desired_keys(self.proxy):
            if key[0] != KINDS[url][0] or not self.wants(key):
                continue
            found = self.tables.desired_resource(ledger, key)
            if found is None:
                continue
            one = any_pb2.Any()
            if key[0] == ADMISSION:
                one.Pack(self.encoder.whole(key[1], found, self.lines(key[1])), deterministic=True)
            else:
                one.Pack(self.encoder.message(key, found), deterministic=True)
            packed.append(one)
        return packed

    def lines(self, table: int) -> list[tuple]:
        rows = []
        for endpoint in self.tables.tables[table].weights:
            found: Resource | None = self.tables.shared_resource((WEIGHT, table, endpoint))
            if found:
                rows.append((*found.content, self.tables.ejected.get(endpoint, "")))
        return rows
