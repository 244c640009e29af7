"""One state-of-the-world stream (`StreamAggregatedResources`), without I/O, for clients that know no deltas.

A response is all resources of one type that the client asks for; lines and withdrawals are inside the assignment.
`version_info` is the hash of all that the response holds; the ledger knows which keys that means.
"""

from collections.abc import Callable

import xxhash
from envoy.service.discovery.v3 import discovery_pb2
from google.protobuf import any_pb2
from google.rpc import status_pb2

from quillstep.settings import LimitsRecord
from quillstep.tables import Change, Key, Refusal, Tables
from quillstep.tables.content import ENTRY, LINE, OUT, POOL, ROUTES, SHARE, Content
from quillstep.xds import resources
from quillstep.xds.delta import Response, StreamFault
from quillstep.xds.grpc import INVALID_ARGUMENT, RESOURCE_EXHAUSTED

KINDS = {
    resources.CDS: (POOL,),
    resources.EDS: (SHARE, LINE, OUT),
    resources.LDS: (ENTRY,),
    resources.RDS: (ROUTES,),
}
URLS = {kind: url for url, kinds in KINDS.items() for kind in kinds}
FULL = (resources.CDS, resources.LDS)  # whoever asks for no names here asks for all


class SotwStream:
    """The state of one stream of one proxy; belongs to the deciding thread."""

    def __init__(
        self,
        tables: Tables,
        encoder: resources.Encoder,
        limits: LimitsRecord,
        epoch: str,
        ordered_ms: Callable[[int], float],
    ) -> None:
        self.tables, self.encoder, self.limits, self.epoch = tables, encoder, limits, epoch
        self.ordered_ms = ordered_ms
        self.proxy = -1
        self.names: dict[str, set[str]] = {}  # by type; an empty set means all where that is allowed
        self.newest: dict[str, str] = {}  # nonce by type
        self.nonces = 0
        self.errors: list[Response] = []

    def first(self, request: discovery_pb2.DiscoveryRequest) -> dict[Key, str]:
        """A client of this kind tells no versions of single resources; it is sent all anew."""
        if not request.node.id:
            raise StreamFault(INVALID_ARGUMENT, "the first request names no node")
        return {}

    def request(
        self, request: discovery_pb2.DiscoveryRequest, now_ms: float
    ) -> tuple[list[Change], Refusal | None]:
        url = request.type_url
        if url not in KINDS:
            self.unknown(request)
            return [], None
        acknowledged: list[Change] = []
        refusal = None
        if request.response_nonce:
            if request.HasField("error_detail"):
                reason = request.error_detail.message or f"code {request.error_detail.code}"
                refusal = self.tables.refuse(self.proxy, request.response_nonce, reason, now_ms, whole=True)
            else:
                acknowledged = self.tables.acknowledge(self.proxy, request.response_nonce)
            if request.response_nonce != self.newest.get(url):
                return acknowledged, refusal  # an older word: its names are overtaken
        names = set(request.resource_names) - {"*"}
        if len(names) > self.limits.subscriptions_most:
            most = self.limits.subscriptions_most
            raise StreamFault(RESOURCE_EXHAUSTED, f"more than {most} names subscribed of one type")
        before = self.names.get(url)
        self.names[url] = names
        if before is None or names - before:
            keys = [key for key in self.tables.keys(self.proxy) if key[0] in KINDS[url] and self.wants(key)]
            self.tables.ask(self.proxy, keys, anew=True)
        return acknowledged, refusal

    def wants(self, key: Key) -> bool:
        url = URLS.get(key[0])
        names = self.names.get(url) if url else None
        if names is None or url is None:
            return False
        if key[0] == OUT:
            return True
        named = f"table-{key[1]}" if key[0] in (POOL, SHARE, LINE) else resources.ENTRY_NAME
        return named in names or (not names and url in FULL)

    def unknown(self, request: discovery_pb2.DiscoveryRequest) -> None:
        """A type that we don't serve: an answer that the peer can read, and its stream goes on."""
        if request.response_nonce:
            return
        response = discovery_pb2.DiscoveryResponse(type_url=request.type_url, nonce=self.nonce())
        for named in list(request.resource_names) or ["*"]:
            error = response.resource_errors.add()
            error.resource_name.name = named
            text = f"this pilot serves no {request.type_url or 'resources without a type'}"
            error.error_detail.CopyFrom(status_pb2.Status(code=INVALID_ARGUMENT, message=text))
        self.errors.append(Response(response.SerializeToString(), 0, request.type_url, response.nonce, 0, 0))

    def nonce(self) -> str:
        self.nonces += 1
        return f"{self.epoch}.{self.nonces}"

    def pump(self, now_ms: float) -> list[Response]:
        """What may be sent now: one response a type, and none of a type while one is under way."""
        out, self.errors = self.errors, []
        ledger = self.tables.ledgers[self.proxy]
        changes = self.tables.take(self.proxy, now_ms, self.wants)
        for url, kinds in KINDS.items():
            group = [change for change in changes if change.key[0] in kinds]
            if not group or any(key[0] in kinds for key in ledger.sent):
                continue
            named = {change.key for change in group}
            again = [key for key in ledger.refused if key[0] in kinds and key not in named]
            group += [Change(key, self.tables.desired(ledger, key)) for key in again]
            nonce = self.nonce()
            packed = self.state(url)
            version = xxhash.xxh3_64_hexdigest(b"".join(one.SerializeToString() for one in packed))
            ledger.send(nonce, group, now_ms)
            self.newest[url] = nonce
            response = discovery_pb2.DiscoveryResponse(
                version_info=version, resources=packed, type_url=url, nonce=nonce
            )
            stamp = f"{self.epoch}/{ledger.released}/{self.ordered_ms(ledger.released):.1f}"
            response.control_plane.identifier = stamp
            message = response.SerializeToString()
            out.append(Response(message, ledger.released, url, nonce, len(group), 0))
        return out

    def state(self, url: str) -> list[any_pb2.Any]:
        """All resources of a type that the client asks for, packed."""
        ledger = self.tables.ledgers[self.proxy]
        packed = []
        for key in self.tables.keys(self.proxy):
            if key[0] != KINDS[url][0] or not self.wants(key):
                continue
            found = self.tables.desired(ledger, key)
            if found is None:
                continue
            one = any_pb2.Any()
            if key[0] == SHARE:
                one.Pack(self.encoder.whole(key[1], found, self.lines(key[1])), deterministic=True)
            else:
                one.Pack(self.encoder.message(key, found), deterministic=True)
            packed.append(one)
        return packed

    def lines(self, table: int) -> list[tuple]:
        rows = []
        for endpoint in self.tables.tables[table].lines:
            found: Content | None = self.tables.content((LINE, table, endpoint))
            if found:
                rows.append((*found.what, self.tables.withdrawn.get(endpoint, "")))
        return rows
