"""One state-of-the-world stream (`StreamAggregatedResources`), without I/O, for clients that know no deltas.

A response is all resources of one type that the client subscribes to; weights and ejections are inside the assignment.
`version_info` is the hash of all that the response holds; the ledger knows which keys that means.
"""

from typing import Any

import xxhash
from envoy.service.discovery.v3 import discovery_pb2
from google.protobuf import any_pb2

from quillstep.routing import Change, Key
from quillstep.routing.resources import ADMISSION, CLUSTER, EJECTED, LISTENER, ROUTES, WEIGHT, Resource
from quillstep.xds import resources
from quillstep.xds.stream import RequestResult, Response, Stream

KINDS = {
    resources.CDS: (CLUSTER,),
    resources.EDS: (ADMISSION, WEIGHT, EJECTED),
    resources.LDS: (LISTENER,),
    resources.RDS: (ROUTES,),
}
TYPE_URLS = {kind: type_url for type_url, kinds in KINDS.items() for kind in kinds}
WILDCARD_TYPES = (resources.CDS, resources.LDS)  # no names in a request for these mean all


class SotwStream(Stream):
    """The state of one state-of-the-world stream."""

    sends_full_state = True

    def __init__(self, *shared: Any) -> None:
        super().__init__(*shared)
        self.names: dict[str, set[str]] = {}  # by type URL; an empty set means all where that is allowed
        self.nonces: dict[str, str] = {}  # of the newest response by type URL

    def initial_versions(self, request: discovery_pb2.DiscoveryRequest) -> dict[Key, str]:
        """Nothing: a client of this kind sends no versions of single resources, and is sent all anew.

        Raises:
            StreamError: The request names no node.
        """
        self._check_node(request)
        return {}

    def handle_request(self, request: discovery_pb2.DiscoveryRequest, now_ms: float) -> RequestResult:
        """Records a request; returns what it acknowledged or rejected.

        Raises:
            StreamError: The stream has to end.
        """
        type_url = request.type_url
        if type_url not in KINDS:
            self._reject_type(request, list(request.resource_names), discovery_pb2.DiscoveryResponse())
            return RequestResult([], None)
        result = self._handle_ack(request, now_ms)
        if request.response_nonce and request.response_nonce != self.nonces.get(type_url):
            return result  # it answers an older response: its names are superseded
        names = set(request.resource_names) - {"*"}
        self._check_subscriptions(len(names))
        before = self.names.get(type_url)
        self.names[type_url] = names
        if before is None or names - before:
            kinds = KINDS[type_url]
            desired = self.tables.desired_keys(self.proxy)
            keys = [key for key in desired if key[0] in kinds and self.is_subscribed(key)]
            self.tables.subscribe(self.proxy, keys, resend=True)
        return result

    def is_subscribed(self, key: Key) -> bool:
        """Whether the proxy has subscribed to this key, or to the assignment that holds it."""
        type_url = TYPE_URLS.get(key[0])
        names = self.names.get(type_url) if type_url else None
        if names is None or type_url is None:
            return False
        if key[0] == EJECTED:
            return True
        name = resources.table_name(key[1]) if key[0] in (CLUSTER, ADMISSION, WEIGHT) else resources.LISTENER_NAME
        return name in names or (not names and type_url in WILDCARD_TYPES)

    def pump(self, now_ms: float) -> list[Response]:
        """What may be sent now: one response a type, and none of a type while one is in flight."""
        responses = self._take_errors()
        ledger = self.tables.proxies[self.proxy]
        changes = self.tables.changes_to_send(self.proxy, now_ms, self.is_subscribed)
        for type_url, kinds in KINDS.items():
            group = [change for change in changes if change.key[0] in kinds]
            if not group or any(key[0] in kinds for key in ledger.in_flight):
                continue
            changed = {change.key for change in group}
            rejected = [key for key in ledger.nacked if key[0] in kinds and key not in changed]
            group += [Change(key, self.tables.desired_resource(ledger, key)) for key in rejected]
            responses.append(self._send(type_url, group, now_ms))
        return responses

    def _send(self, type_url: str, changes: list[Change], now_ms: float) -> Response:
        """Records changes as sent, and makes the response that holds them."""
        nonce = self._next_nonce()
        packed = self._state(type_url)
        version = xxhash.xxh3_64_hexdigest(b"".join(each.SerializeToString() for each in packed))
        self.tables.record_sent(self.proxy, nonce, changes, now_ms, type_url)
        self.nonces[type_url] = nonce
        revision = self.tables.proxies[self.proxy].released_revision
        response = discovery_pb2.DiscoveryResponse(
            version_info=version, resources=packed, type_url=type_url, nonce=nonce
        )
        response.control_plane.identifier = self._version_info(revision)
        return Response(response.SerializeToString(), revision, type_url, nonce, len(changes), 0)

    def _state(self, type_url: str) -> list[any_pb2.Any]:
        """All resources of a type that the client subscribes to, packed."""
        ledger = self.tables.proxies[self.proxy]
        packed = []
        for key in self.tables.desired_keys(self.proxy):
            if key[0] != KINDS[type_url][0] or not self.is_subscribed(key):
                continue
            resource = self.tables.desired_resource(ledger, key)
            if resource is None:
                continue
            if key[0] == ADMISSION:
                message = self.encoder.full_assignment(key[1], resource, self._endpoints(key[1]))
            else:
                message = self.encoder.message(key, resource)
            each = any_pb2.Any()
            each.Pack(message, deterministic=True)
            packed.append(each)
        return packed

    def _endpoints(self, table: int) -> list[resources.AssignedEndpoint]:
        """The endpoints of a table."""
        assigned = []
        for endpoint in self.tables.tables[table].weights:
            weight: Resource | None = self.tables.shared_resource((WEIGHT, table, endpoint))
            if weight:
                host, port, value = weight.content
                status = self.tables.ejected.get(endpoint, "")
                assigned.append(resources.AssignedEndpoint(host, port, value, status))
        return assigned
