"""Encodes the resources of the tables as xDS resources, and maps resource names to keys.

| kind of key | type | name |
| --- | --- | --- |
| LISTENER | Listener | exchanges |
| ROUTES | RouteConfiguration | exchanges |
| CLUSTER, table N | Cluster | table-N |
| ADMISSION, table N | ClusterLoadAssignment | table-N |
| WEIGHT, table N, endpoint E | LbEndpoint | xdstp://quillstep/envoy.config.endpoint.v3.LbEndpoint/table-N/E |
| EJECTED, endpoint E | LbEndpoint | xdstp://quillstep/envoy.config.endpoint.v3.LbEndpoint/withdrawn/E |
"""

import re
from collections.abc import Sequence
from typing import Any, NamedTuple

from envoy.config.cluster.v3 import cluster_pb2
from envoy.config.core.v3 import health_check_pb2
from envoy.config.endpoint.v3 import endpoint_components_pb2, endpoint_pb2
from envoy.config.listener.v3 import listener_pb2
from envoy.config.route.v3 import route_components_pb2, route_pb2
from envoy.extensions.filters.http.local_ratelimit.v3 import local_rate_limit_pb2
from envoy.extensions.filters.http.router.v3 import router_pb2
from envoy.extensions.filters.network.http_connection_manager.v3 import http_connection_manager_pb2
from envoy.service.discovery.v3 import discovery_pb2

from quillstep.config.fleet import ClassSettings
from quillstep.routing.resources import ADMISSION, CLUSTER, EJECTED, FOREIGN, LISTENER, ROUTES, WEIGHT, Key, Resource

PREFIX = "type.googleapis.com/"
LDS = PREFIX + "envoy.config.listener.v3.Listener"
RDS = PREFIX + "envoy.config.route.v3.RouteConfiguration"
CDS = PREFIX + "envoy.config.cluster.v3.Cluster"
EDS = PREFIX + "envoy.config.endpoint.v3.ClusterLoadAssignment"
LEDS = PREFIX + "envoy.config.endpoint.v3.LbEndpoint"
TYPES = {LISTENER: LDS, ROUTES: RDS, CLUSTER: CDS, ADMISSION: EDS, WEIGHT: LEDS, EJECTED: LEDS}
COLLECTION = "xdstp://quillstep/envoy.config.endpoint.v3.LbEndpoint/"
LISTENER_NAME = "exchanges"  # name of the listener and of its route configuration
TABLE_PREFIX = "table-"
GENERATED_NUMBER = re.compile(r"0|[1-9][0-9]{0,17}")  # a number that a signed integer of 64 bits holds
EJECTED_GROUP = "withdrawn"
EJECTED_COLLECTION = f"{COLLECTION}{EJECTED_GROUP}/*"
RATE_FILTER = "envoy.filters.http.local_ratelimit"
RETRY_ON_NOT_EXECUTED = "connect-failure,refused-stream"  # failures that prove an attempt was never executed
RETRY_ON_ANY_FAILURE = RETRY_ON_NOT_EXECUTED + ",5xx,reset"
HEALTH_STATUS = {"draining": health_check_pb2.DRAINING, "lost": health_check_pb2.UNHEALTHY}
BUCKET_MS = 250.0  # a rate limit's bucket holds the requests of this time at the full rate, at least one
MIN_FILL_INTERVAL_US, MAX_FILL_INTERVAL_US = 50, 10**10
MIN_RATE_PER_S = 1e-4
CONNECT_TIMEOUT_MS = 250
SERVICE_UNAVAILABLE = 503  # HTTP status
DROP_SCALE = 10000  # drop shares are sent in ten-thousandths
MAX_CACHED_RESOURCES = 65536  # encoded resources in the cache
RESOURCE_API_V3 = 2  # V3 in the enumeration envoy.config.core.v3.ApiVersion


class AssignedEndpoint(NamedTuple):
    """An endpoint in an assignment; `status` is empty unless the endpoint is ejected."""

    host: str
    port: int
    weight: float
    status: str


def table_name(table: int) -> str:
    """Returns the name of a table's cluster and assignment."""
    return f"{TABLE_PREFIX}{table}"


def table_collection(table: int) -> str:
    """Returns the glob collection of a table's weights."""
    return f"{COLLECTION}{table_name(table)}/*"


def name(key: Key) -> str:
    """Returns the resource name of a key."""
    kind = key[0]
    if kind == WEIGHT:
        return f"{COLLECTION}{table_name(key[1])}/{key[2]}"
    if kind == EJECTED:
        return f"{COLLECTION}{EJECTED_GROUP}/{key[1]}"
    if kind in (CLUSTER, ADMISSION):
        return table_name(key[1])
    return str(key[2]) if kind == FOREIGN else LISTENER_NAME


def type_url(key: Key) -> str:
    """Returns the type URL of a key."""
    return str(key[1]) if key[0] == FOREIGN else TYPES[key[0]]


def key_of(url: str, resource_name: str) -> Key:
    """Returns the key of a type URL and resource name; a FOREIGN key if this controller defines no such resource."""
    if url in (LDS, RDS) and resource_name == LISTENER_NAME:
        return (LISTENER,) if url == LDS else (ROUTES,)
    if url in (CDS, EDS):
        table = _table_number(resource_name)
        if table is not None:
            return (CLUSTER if url == CDS else ADMISSION, table)
    if url == LEDS and resource_name.startswith(COLLECTION):
        group, _, last = resource_name.removeprefix(COLLECTION).partition("/")
        endpoint, table = _parse_number(last), _table_number(group)
        if endpoint is not None and group == EJECTED_GROUP:
            return (EJECTED, endpoint)
        if endpoint is not None and table is not None:
            return (WEIGHT, table, endpoint)
    return (FOREIGN, url, resource_name)


def _table_number(group: str) -> int | None:
    return _parse_number(group.removeprefix(TABLE_PREFIX)) if group.startswith(TABLE_PREFIX) else None


def _parse_number(text: str) -> int | None:
    """Parses a number in the form in which names are generated: without sign or leading zeros.  None otherwise."""
    return int(text) if GENERATED_NUMBER.fullmatch(text) else None


def collection(key: Key) -> str:
    """Returns the glob collection that a weight or ejection belongs to."""
    return EJECTED_COLLECTION if key[0] == EJECTED else table_collection(key[1])


class Encoder:
    """Encodes resources as xDS messages, and caches the encoded form."""

    def __init__(self, classes: Sequence[ClassSettings], attempt_timeout_factor: float) -> None:
        self.classes, self.attempt_timeout_factor = classes, attempt_timeout_factor
        self.encoded: dict[tuple[Key, str], bytes] = {}  # cached encodings, by key and version

    def encode(self, key: Key, resource: Resource) -> bytes:
        """Returns a `Resource` encoded as field 2 of a delta response: tag, length, bytes."""
        cache_key = (key, resource.version)
        encoded = self.encoded.get(cache_key)
        if encoded is None:
            wrapped = discovery_pb2.Resource(name=name(key), version=resource.version)
            wrapped.resource.Pack(self.message(key, resource))
            encoded = b"\x12" + _with_length(wrapped.SerializeToString(deterministic=True))
            if len(self.encoded) > MAX_CACHED_RESOURCES:
                self.encoded.clear()  # most entries are old versions; current ones are encoded again
            self.encoded[cache_key] = encoded
        return encoded

    def message(self, key: Key, resource: Resource) -> Any:
        """Returns a resource as its xDS message."""
        kind = key[0]
        if kind == WEIGHT:
            return _weighted_endpoint(*resource.content)
        if kind == EJECTED:
            host, port, status = resource.content
            return _set_address(endpoint_components_pb2.LbEndpoint(health_status=HEALTH_STATUS[status]), host, port)
        if kind == CLUSTER:
            return _cluster(key)
        if kind == ADMISSION:
            return self._assignment(key, resource)
        if kind == ROUTES:
            return self._routes(resource)
        return _listener()

    def full_assignment(
        self, table: int, admission: Resource, endpoints: list[AssignedEndpoint]
    ) -> endpoint_pb2.ClusterLoadAssignment:
        """Returns a table's assignment with its endpoints inline, for state-of-the-world clients."""
        assignment = endpoint_pb2.ClusterLoadAssignment(cluster_name=table_name(table))
        group = assignment.endpoints.add()
        for host, port, weight, status in endpoints:
            endpoint = group.lb_endpoints.add(health_status=HEALTH_STATUS.get(status, health_check_pb2.HEALTHY))
            endpoint.load_balancing_weight.value = max(1, round(weight))
            _set_address(endpoint, host, port)
        self._add_drops(assignment, admission)
        return assignment

    def _assignment(self, key: Key, admission: Resource) -> endpoint_pb2.ClusterLoadAssignment:
        """Returns a table's assignment, which refers to the collection of its endpoints."""
        assignment = endpoint_pb2.ClusterLoadAssignment(cluster_name=name(key))
        leds = assignment.endpoints.add().leds_cluster_locality_config
        leds.leds_config.ads.SetInParent()
        leds.leds_config.resource_api_version = RESOURCE_API_V3
        leds.leds_collection_name = table_collection(key[1])
        self._add_drops(assignment, admission)
        return assignment

    def _add_drops(self, assignment: endpoint_pb2.ClusterLoadAssignment, admission: Resource) -> None:
        """Adds a drop policy for each class that is not fully admitted."""
        for class_index, allowed in admission.content:
            if allowed < 1.0:
                drop = assignment.policy.drop_overloads.add(category=self.classes[class_index].name)
                drop.drop_percentage.numerator = round((1.0 - max(0.0, allowed)) * DROP_SCALE)
                drop.drop_percentage.denominator = 1  # FractionalPercent.TEN_THOUSAND

    def _routes(self, routes: Resource) -> route_pb2.RouteConfiguration:
        """Returns the routes: the table, the retry policy and the admitted rate of each class."""
        configuration = route_pb2.RouteConfiguration(name=LISTENER_NAME)
        host = configuration.virtual_hosts.add(name=LISTENER_NAME, domains=["*"])
        for class_index, table, rate_per_s, retry_policy in routes.content:
            request_class = self.classes[class_index]
            route = host.routes.add(name=request_class.name)
            route.match.prefix = f"/{request_class.name}"
            route.route.cluster = table_name(table)
            route.route.timeout.FromMilliseconds(round(request_class.deadline_ms))
            if retry_policy:
                self._set_retries(route.route.retry_policy, request_class, retry_policy)
            if rate_per_s is not None and rate_per_s <= 0.0:
                route.direct_response.status = SERVICE_UNAVAILABLE
            elif rate_per_s is not None:
                limit = _rate_limit(request_class.name, rate_per_s)
                route.typed_per_filter_config[RATE_FILTER].Pack(limit)
        return configuration

    def _set_retries(
        self, policy: route_components_pb2.RetryPolicy, request_class: ClassSettings, retry_policy: int
    ) -> None:
        policy.retry_on = RETRY_ON_NOT_EXECUTED if retry_policy == 1 else RETRY_ON_ANY_FAILURE
        policy.num_retries.value = 2 if retry_policy == 3 else 1
        if retry_policy > 1:
            policy.per_try_timeout.FromMilliseconds(
                round(self.attempt_timeout_factor * request_class.latency_objective_ms)
            )


def _cluster(key: Key) -> cluster_pb2.Cluster:
    cluster = cluster_pb2.Cluster(name=name(key), type=cluster_pb2.Cluster.EDS)
    cluster.eds_cluster_config.eds_config.ads.SetInParent()
    cluster.eds_cluster_config.eds_config.resource_api_version = RESOURCE_API_V3
    cluster.connect_timeout.FromMilliseconds(CONNECT_TIMEOUT_MS)
    cluster.lb_policy = cluster_pb2.Cluster.ROUND_ROBIN
    return cluster


def _listener() -> listener_pb2.Listener:
    manager = http_connection_manager_pb2.HttpConnectionManager(stat_prefix=LISTENER_NAME)
    manager.rds.route_config_name = LISTENER_NAME
    manager.rds.config_source.ads.SetInParent()
    manager.rds.config_source.resource_api_version = RESOURCE_API_V3
    manager.http_filters.add(name="envoy.filters.http.router").typed_config.Pack(router_pb2.Router())
    listener = listener_pb2.Listener(name=LISTENER_NAME)
    listener.api_listener.api_listener.Pack(manager)
    return listener


def _rate_limit(prefix: str, rate_per_s: float) -> local_rate_limit_pb2.LocalRateLimit:
    """Returns a token bucket; tokens are integers, so a rate below 1/s becomes one token per longer fill interval."""
    limit = local_rate_limit_pb2.LocalRateLimit(stat_prefix=prefix)
    bucket = limit.token_bucket
    bucket.max_tokens = max(1, round(rate_per_s * BUCKET_MS / 1000.0))
    bucket.tokens_per_fill.value = 1
    interval_us = round(1e6 / max(rate_per_s, MIN_RATE_PER_S))
    bucket.fill_interval.FromMicroseconds(max(MIN_FILL_INTERVAL_US, min(MAX_FILL_INTERVAL_US, interval_us)))
    return limit


def _weighted_endpoint(host: str, port: int, weight: float) -> endpoint_components_pb2.LbEndpoint:
    endpoint = endpoint_components_pb2.LbEndpoint(health_status=health_check_pb2.HEALTHY)
    endpoint.load_balancing_weight.value = max(1, round(weight))
    return _set_address(endpoint, host, port)


def _set_address(
    endpoint: endpoint_components_pb2.LbEndpoint, host: str, port: int
) -> endpoint_components_pb2.LbEndpoint:
    address = endpoint.endpoint.address.socket_address
    address.address, address.port_value = host, port
    return endpoint


def _with_length(data: bytes) -> bytes:
    """Returns bytes prefixed with their length as a varint."""
    size, head = len(data), bytearray()
    while size > 127:
        head.append(size & 127 | 128)
        size >>= 7
    head.append(size)
    return bytes(head) + data
