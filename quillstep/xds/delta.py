"""One delta stream (`DeltaAggregatedResources`), without I/O.

Versions belong to resources, nonces to the stream.  A response carries the changes of one type and one revision.  Its
`system_version_info` is `epoch/revision/ordered`, where `ordered` is the time in milliseconds when the revision was
decided.  By it, readers of the socket record find the responses that form one message of the update channel.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from envoy.service.discovery.v3 import discovery_pb2

from quillstep.routing import Change, Key
from quillstep.routing.resources import EJECTED, FOREIGN, WEIGHT
from quillstep.xds import resources
from quillstep.xds.stream import RequestResult, Response, Stream

SERVED_TYPES = frozenset(resources.TYPES.values())
WILDCARD_TYPES = (resources.LDS, resources.CDS)  # a first request without names subscribes to all resources


@dataclass(slots=True)
class Subscription:
    """A stream's subscription to one type: names, glob collections, or all resources."""

    names: set[str] = field(default_factory=set)
    globs: set[str] = field(default_factory=set)
    is_wildcard: bool = False

    def covers(self, key: Key) -> bool:
        """Returns whether a key is subscribed to."""
        if self.is_wildcard or resources.name(key) in self.names:
            return True
        return bool(self.globs) and key[0] in (WEIGHT, EJECTED) and resources.collection(key) in self.globs


class DeltaStream(Stream):
    """The state of one delta stream."""

    def __init__(self, *shared: Any) -> None:
        super().__init__(*shared)
        self.subscriptions: dict[str, Subscription] = {}  # keyed by type URL

    # Requests

    def initial_versions(self, request: discovery_pb2.DeltaDiscoveryRequest) -> dict[Key, str]:
        """Returns the versions that the proxy holds according to its first request.

        Raises:
            StreamError: The request does not name a node.
        """
        self._check_node(request)
        return _initial_versions(request)

    def handle_request(self, request: discovery_pb2.DeltaDiscoveryRequest, now_ms: float) -> RequestResult:
        """Handles a request; returns the changes that it acknowledges or rejects.

        Raises:
            StreamError: The request exceeds a limit, and the stream must be closed.
        """
        type_url = request.type_url
        if type_url not in SERVED_TYPES:
            response = discovery_pb2.DeltaDiscoveryResponse(removed_resources=request.resource_names_subscribe)
            self._reject_type(request, list(request.resource_names_subscribe), response)
            return RequestResult([], None)
        result = self._handle_ack(request, now_ms)
        is_first = type_url not in self.subscriptions
        subscription = self.subscriptions.setdefault(type_url, Subscription())
        if is_first:
            self.tables.add_reported(self.proxy, _initial_versions(request))
            if not request.resource_names_subscribe and type_url in WILDCARD_TYPES:
                subscription.is_wildcard = True
                self._subscribe_covered(type_url, subscription)
        if request.resource_names_subscribe:
            self._subscribe(type_url, subscription, request.resource_names_subscribe)
        if request.resource_names_unsubscribe:
            self._unsubscribe(type_url, subscription, request.resource_names_unsubscribe)
        return result

    def _subscribe(self, type_url: str, subscription: Subscription, names: Iterable[str]) -> None:
        """Subscribes to names; a name that is subscribed to again is sent again, as the protocol requires."""
        acknowledged: list[Key] = []
        to_send: list[Key] = []
        for name in names:
            if name == "*":
                subscription.is_wildcard = True
                self._subscribe_covered(type_url, subscription)
            elif name.endswith("/*"):
                subscription.globs.add(name)
                self._subscribe_covered(type_url, subscription)
            else:
                key = resources.key_of(type_url, name)
                is_held = key in self.tables.proxies[self.proxy].acknowledged and name not in subscription.names
                (acknowledged if is_held else to_send).append(key)
                subscription.names.add(name)
        self._check_subscriptions(len(subscription.names) + len(subscription.globs))
        self.tables.subscribe(self.proxy, acknowledged, False)
        self.tables.subscribe(self.proxy, to_send, True)

    def _subscribe_covered(self, type_url: str, subscription: Subscription) -> None:
        """Subscribes to all keys that a wildcard or glob covers; acknowledged resources are not sent again."""
        keys = [key for key in self.tables.desired_keys(self.proxy) if resources.type_url(key) == type_url]
        self.tables.subscribe(self.proxy, [key for key in keys if subscription.covers(key)], False)

    def _unsubscribe(self, type_url: str, subscription: Subscription, names: Iterable[str]) -> None:
        for name in names:
            if name == "*":
                subscription.is_wildcard = False
            subscription.names.discard(name)
            subscription.globs.discard(name)
        ledger = self.tables.proxies[self.proxy]
        ledger.unsubscribe(
            [
                key
                for key in [*ledger.acknowledged, *ledger.in_flight]
                if resources.type_url(key) == type_url and not subscription.covers(key)
            ]
        )

    def is_subscribed(self, key: Key) -> bool:
        """Returns whether the proxy has subscribed to this key.

        Resources that this controller does not define can only be removed, for any subscription to their type.
        """
        subscription = self.subscriptions.get(resources.type_url(key))
        return subscription is not None and (key[0] == FOREIGN or subscription.covers(key))

    # Responses

    def pump(self, now_ms: float) -> list[Response]:
        """Returns the responses that may be sent now, in order.

        They are limited by the number of updates in flight and by how much the proxy can apply at once.  While an
        acknowledgement is late, only ejections are sent; other changes are merged, and superseded ones never sent.
        """
        responses = self._pop_errors()
        ledger = self.tables.proxies[self.proxy]
        is_late = ledger.has_late_ack(now_ms)
        if type_url := ledger.probe_type_url(now_ms):
            responses.append(self._send(ChangesOfType(type_url, []), now_ms))
        while len(ledger.in_flight_updates) < self.limits.max_in_flight:
            is_split = bool(ledger.split_updates)  # parts of a rejected update are small, and each is sent separately
            changes = self.tables.changes_to_send(self.proxy, now_ms, self.is_subscribed)
            if not is_split:
                if is_late:
                    changes = [change for change in changes if change.is_urgent]
                else:
                    changes = ledger.limit_update(changes, now_ms)
            if not changes:
                break
            for group in group_by_type(changes):
                responses.append(self._send(group, now_ms))
            if not ledger.split_updates:
                break
        return responses

    def _send(self, group: "ChangesOfType", now_ms: float) -> Response:
        """Records changes as sent, and returns the response that carries them."""
        type_url, changes = group
        nonce = self._next_nonce()
        self.tables.record_sent(self.proxy, nonce, changes, now_ms, type_url)
        revision = self.tables.proxies[self.proxy].released_revision
        head = discovery_pb2.DeltaDiscoveryResponse(
            system_version_info=self._version_info(revision), type_url=type_url, nonce=nonce
        )
        removed = [resources.name(change.key) for change in changes if change.resource is None]
        head.removed_resources.extend(removed)
        updated = [self.encoder.encode(key, resource) for key, resource in changes if resource is not None]
        message = head.SerializeToString() + b"".join(updated)
        return Response(message, revision, type_url, nonce, len(updated), len(removed))


class ChangesOfType(NamedTuple):
    """The changes that one response carries."""

    type_url: str
    changes: list[Change]


def group_by_type(changes: list[Change]) -> list[ChangesOfType]:
    """Groups changes by type and by update or removal; what must be sent first stays first.

    Weights and ejections share a type, so they share a response.  The proxy applies a response as a whole, so an
    endpoint's ejection always takes effect together with the weights that compensate for it.
    """
    groups: dict[tuple[str, bool], ChangesOfType] = {}
    for change in changes:
        type_url = resources.type_url(change.key)
        is_removal = change.resource is None and type_url != resources.LEDS
        group = groups.get((type_url, is_removal))
        if group is None:
            group = groups[type_url, is_removal] = ChangesOfType(type_url, [])
        group.changes.append(change)
    return list(groups.values())


def _initial_versions(request: discovery_pb2.DeltaDiscoveryRequest) -> dict[Key, str]:
    versions = request.initial_resource_versions
    return {resources.key_of(request.type_url, name): version for name, version in versions.items()}
