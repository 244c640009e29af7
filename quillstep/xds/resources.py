"""Contents of the tables as published xDS resources, and back from names to keys.

| key | type | name |
| --- | --- | --- |
| entry | Listener | exchanges |
| routes | RouteConfiguration | exchanges |
| pool N | Cluster | table-N |
| share N | ClusterLoadAssignment | table-N |
| line N E | LbEndpoint | xdstp://quillstep/envoy.config.endpoint.v3.LbEndpoint/table-N/E |
| out E | LbEndpoint | xdstp://quillstep/envoy.config.endpoint.v3.LbEndpoint/withdrawn/E |
"""

from collections.abc import Sequence
from typing import Any

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
ENTRY_NAME = "exchanges"
WITHDRAWN = COLLECTION + "withdrawn/*"
RATE_FILTER = "envoy.filters.http.local_ratelimit"
NEVER_RAN = "connect-failure,refused-stream"  # proof that a try never ran
ANY_FAILURE = NEVER_RAN + ",5xx,reset"
STATUS = {"draining": health_check_pb2.DRAINING, "lost": health_check_pb2.UNHEALTHY}
FILL_MS = 250.0  # a rate's bucket holds what comes in this time, one at least


def name(key: Key) -> str:
    """A key's resource name."""
    kind = key[0]
    if kind == WEIGHT:
        return f"{COLLECTION}table-{key[1]}/{key[2]}"
    if kind == EJECTED:
        return f"{COLLECTION}withdrawn/{key[1]}"
    if kind in (CLUSTER, ADMISSION):
        return f"table-{key[1]}"
    return str(key[2]) if kind == FOREIGN else ENTRY_NAME


def type_url(key: Key) -> str:
    return str(key[1]) if key[0] == FOREIGN else TYPES[key[0]]


def key_of(url: str, named: str) -> Key:
    """The key of a resource name; a name that is none of ours is a key of its own."""
    other = (FOREIGN, url, named)
    if url in (LDS, RDS):
        return ((LISTENER,) if url == LDS else (ROUTES,)) if named == ENTRY_NAME else other
    if url in (CDS, EDS):
        number = _whole(named.removeprefix("table-")) if named.startswith("table-") else None
        return other if number is None else (CLUSTER if url == CDS else ADMISSION, number)
    if url == LEDS and named.startswith(COLLECTION):
        group, _, last = named.removeprefix(COLLECTION).partition("/")
        endpoint = _whole(last)
        if endpoint is not None and group == "withdrawn":
            return (EJECTED, endpoint)
        table = _whole(group.removeprefix("table-")) if group.startswith("table-") else None
        if endpoint is not None and table is not None:
            return (WEIGHT, table, endpoint)
    return other


def _whole(text: str) -> int | None:
    """A number as we write it ourselves: no signs, no leading zeros."""
    return int(text) if text.isascii() and text.isdigit() and str(int(text)) == text else None


def collection(key: Key) -> str:
    """The glob collection that a line or withdrawal belongs to."""
    return WITHDRAWN if key[0] == EJECTED else f"{COLLECTION}table-{key[1]}/*"


class Encoder:
    """Makes resources of contents, each once: bytes ready to be put into a response of either kind."""

    def __init__(self, classes: Sequence[ClassSettings], attempt_timeout_factor: float) -> None:
        self.classes, self.attempt_timeout_factor = classes, attempt_timeout_factor
        self.made: dict[tuple[Key, str], bytes] = {}

    def delta(self, key: Key, content: Resource) -> bytes:
        """A `Resource` as field 2 of a delta response: tag, length, bytes."""
        at = (key, content.version)
        made = self.made.get(at)
        if made is None:
            resource = discovery_pb2.Resource(name=name(key), version=content.version)
            resource.resource.Pack(self.message(key, content))
            made = b"\x12" + _sized(resource.SerializeToString(deterministic=True))
            if len(self.made) > 65536:
                self.made.clear()  # old versions; the current ones are made again
            self.made[at] = made
        return made

    def message(self, key: Key, content: Resource) -> Any:
        kind = key[0]
        if kind == WEIGHT:
            host, port, weight = content.content
            line = endpoint_components_pb2.LbEndpoint(health_status=health_check_pb2.HEALTHY)
            line.load_balancing_weight.value = max(1, round(weight))
            return _addressed(line, host, port)
        if kind == EJECTED:
            host, port, status = content.content
            return _addressed(endpoint_components_pb2.LbEndpoint(health_status=STATUS[status]), host, port)
        if kind == CLUSTER:
            cluster = cluster_pb2.Cluster(name=name(key), type=cluster_pb2.Cluster.EDS)
            cluster.eds_cluster_config.eds_config.ads.SetInParent()
            cluster.eds_cluster_config.eds_config.resource_api_version = 2
            cluster.connect_timeout.FromMilliseconds(250)
            cluster.lb_policy = cluster_pb2.Cluster.ROUND_ROBIN
            return cluster
        if kind == ADMISSION:
            return self.assignment(key, content)
        if kind == ROUTES:
            return self.routes(content)
        return self.listener()

    def assignment(self, key: Key, content: Resource) -> endpoint_pb2.ClusterLoadAssignment:
        assignment = endpoint_pb2.ClusterLoadAssignment(cluster_name=name(key))
        group = assignment.endpoints.add()
        leds = group.leds_cluster_locality_config
        leds.leds_config.ads.SetInParent()
        leds.leds_config.resource_api_version = 2
        leds.leds_collection_name = f"{COLLECTION}table-{key[1]}/*"
        self.drops(assignment, content)
        return assignment

    def whole(self, table: int, share: Resource, lines: list[tuple]) -> endpoint_pb2.ClusterLoadAssignment:
        """A table with its lines inside, for clients that know no deltas: (host, port, weight, status) each."""
        assignment = endpoint_pb2.ClusterLoadAssignment(cluster_name=f"table-{table}")
        group = assignment.endpoints.add()
        for host, port, weight, status in lines:
            line = group.lb_endpoints.add(health_status=STATUS.get(status, health_check_pb2.HEALTHY))
            line.load_balancing_weight.value = max(1, round(weight))
            _addressed(line, host, port)
        self.drops(assignment, share)
        return assignment

    def drops(self, assignment: endpoint_pb2.ClusterLoadAssignment, content: Resource) -> None:
        for place, allowed in content.content:
            if allowed < 1.0:
                drop = assignment.policy.drop_overloads.add(category=self.classes[place].name)
                drop.drop_percentage.numerator = round((1.0 - max(0.0, allowed)) * 10000)
                drop.drop_percentage.denominator = 1  # of ten thousand

    def routes(self, content: Resource) -> route_pb2.RouteConfiguration:
        routes = route_pb2.RouteConfiguration(name=ENTRY_NAME)
        host = routes.virtual_hosts.add(name=ENTRY_NAME, domains=["*"])
        for place, table, allowed, tries in content.content:
            row = self.classes[place]
            route = host.routes.add(name=row.name)
            route.match.prefix = f"/{row.name}"
            route.route.cluster = f"table-{table}"
            route.route.timeout.FromMilliseconds(round(row.deadline_ms))
            if tries:
                self.retry(route.route.retry_policy, row, tries)
            if allowed is not None and allowed <= 0.0:
                route.direct_response.status = 503
            elif allowed is not None:
                limit = local_rate_limit_pb2.LocalRateLimit(stat_prefix=row.name)
                bucket = limit.token_bucket
                # Whole tokens an interval: a rate below one a second becomes one in a longer time.
                bucket.max_tokens = max(1, round(allowed * FILL_MS / 1000.0))
                bucket.tokens_per_fill.value = 1
                bucket.fill_interval.FromMicroseconds(max(50, min(10**10, round(1e6 / max(allowed, 1e-4)))))
                route.typed_per_filter_config[RATE_FILTER].Pack(limit)
        return routes

    def retry(self, policy: route_components_pb2.RetryPolicy, row: ClassSettings, tries: int) -> None:
        policy.retry_on = NEVER_RAN if tries == 1 else ANY_FAILURE
        policy.num_retries.value = 2 if tries == 3 else 1
        if tries > 1:
            policy.per_try_timeout.FromMilliseconds(round(self.attempt_timeout_factor * row.latency_objective_ms))

    def listener(self) -> listener_pb2.Listener:
        manager = http_connection_manager_pb2.HttpConnectionManager(stat_prefix=ENTRY_NAME)
        manager.rds.route_config_name = ENTRY_NAME
        manager.rds.config_source.ads.SetInParent()
        manager.rds.config_source.resource_api_version = 2
        manager.http_filters.add(name="envoy.filters.http.router").typed_config.Pack(router_pb2.Router())
        listener = listener_pb2.Listener(name=ENTRY_NAME)
        listener.api_listener.api_listener.Pack(manager)
        return listener


def _addressed(line: endpoint_components_pb2.LbEndpoint, host: str, port: int) -> endpoint_components_pb2.LbEndpoint:
    address = line.endpoint.address.socket_address
    address.address, address.port_value = host, port
    return line


def _sized(data: bytes) -> bytes:
    """Bytes with their length as a varint before them."""
    size, head = len(data), bytearray()
    while size > 127:
        head.append(size & 127 | 128)
        size >>= 7
    head.append(size)
    return bytes(head) + data
