"""One state-of-the-world stream (`StreamAggregatedResources`), without I/O, for clients without delta support.

A response carries all resources of one type that the client subscribes to; weights and ejections are part of the
assignment.  `version_info` is a hash of the response's resources; the proxy's state records which keys were sent.
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
WILDCARD_TYPES = (resources.CDS, resources.LDS)  # a request without names subscribes to all resources


class SotwStream(Stream):
    """The state of one state-of-the-world stream."""

    sends_full_state = True

    def __init__(self, *shared: Any) -> None:
        super().__init__(*shared)
        self.names: dict[str, set[str]] = {}  # keyed by type URL; an empty set means all for wildcard types
        self.nonces: dict[str, str] = {}  # nonce of the newest response, by type URL

    def initial_versions(self, request: discovery_pb2.DiscoveryRequest) -> dict[Key, str]:
        """Returns no versions: these clients do not report versions of single resources, and are sent everything.

        Raises:
            StreamError: The request does not name a node.
        """
        self._check_node(request)
        return {}

    def handle_request(self, request: discovery_pb2.DiscoveryRequest, now_ms: float) -> RequestResult:
        """Handles a request; returns the changes that it acknowledges or rejects.

        Raises:
            StreamError: The request exceeds a limit, and the stream must be closed.
        """
        type_url = request.type_url
        if type_url not in KINDS:
            self._reject_type(request, list(request.resource_names), discovery_pb2.DiscoveryResponse())
            return RequestResult([], None)
        result = self._handle_ack(request, now_ms)
        if request.response_nonce and request.response_nonce != self.nonces.get(type_url):
            return result  # the response it answers is outdated, and so are its resource names
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
        """Returns whether the proxy has subscribed to this key, or to the assignment that contains it."""
        type_url = TYPE_URLS.get(key[0])
        names = self.names.get(type_url) if type_url else None
        if names is None or type_url is None:
            return False
        if key[0] == EJECTED:
            return True
        name = resources.table_name(key[1]) if key[0] in (CLUSTER, ADMISSION, WEIGHT) else resources.LISTENER_NAME
        return name in names or (not names and type_url in WILDCARD_TYPES)

    def pump(self, now_ms: float) -> list[Response]:
        """Returns the responses that may be sent now: one per type, and none while one of that type is in flight."""
        responses = self._pop_errors()
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
        """Records changes as sent, and returns the response that carries them."""
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
        """Returns all resources of a type that the client subscribes to, packed in `Any`."""
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
        """Returns the endpoints of a table, in the order of its weights."""
        assigned = []
        for endpoint in self.tables.tables[table].weights:
            weight: Resource | None = self.tables.shared_resource((WEIGHT, table, endpoint))
            if weight:
                host, port, value = weight.content
                status = self.tables.ejected.get(endpoint, "")
                assigned.append(resources.AssignedEndpoint(host, port, value, status))
        return assigned
