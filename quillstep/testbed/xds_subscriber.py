"""A stand-in proxy's xDS subscription: it connects, subscribes, and applies or rejects each response.

A response takes effect as a whole and is acknowledged afterwards.  Applying it blocks the proxy for a time for each
line, as a busy proxy would be.
"""

import threading
import time
from typing import Any

from envoy.config.cluster.v3 import cluster_pb2
from envoy.config.core.v3 import health_check_pb2
from envoy.config.endpoint.v3 import endpoint_components_pb2, endpoint_pb2
from envoy.config.listener.v3 import listener_pb2
from envoy.config.route.v3 import route_pb2
from envoy.extensions.filters.http.local_ratelimit.v3 import local_rate_limit_pb2
from envoy.service.discovery.v3 import discovery_pb2
from google.protobuf.message import DecodeError

from quillstep.net.clock import now_ms
from quillstep.testbed.proxy_interface import Address, ProxyInterface, Route, TableEntry
from quillstep.xds.client import GrpcClient
from quillstep.xds.http2 import MessageReceived, StreamEnded
from quillstep.xds.resources import CDS, COLLECTION, EDS, EJECTED_COLLECTION, LDS, LEDS, RATE_FILTER, RDS
from quillstep.xds.server import DELTA, LOAD, SOTW

IDLE_TIMEOUT_MS = 12000.0
MAX_RECONNECT_DELAY_MS = 1000.0  # proxies reconnect at random within it after an injected disconnect


def routes_of(routes: route_pb2.RouteConfiguration) -> dict[str, Route]:
    """Return the routes by class.

    Raises:
        ValueError: A rate limit of a route never refills.
    """
    by_class = {}
    for route in (route for host in routes.virtual_hosts for route in host.routes):
        action = route.route
        policy = action.retry_policy
        parsed = Route(action.cluster, closed=route.HasField("direct_response"))
        if action.HasField("retry_policy"):
            parsed.retry_policy = 1 if "5xx" not in policy.retry_on else 1 + policy.num_retries.value
            parsed.attempt_timeout_ms = policy.per_try_timeout.ToNanoseconds() / 1e6
        if RATE_FILTER in route.typed_per_filter_config:
            limit = local_rate_limit_pb2.LocalRateLimit()
            route.typed_per_filter_config[RATE_FILTER].Unpack(limit)
            bucket = limit.token_bucket
            fill_ms = bucket.fill_interval.ToNanoseconds() / 1e6
            if fill_ms <= 0:
                raise ValueError(f"route {route.name}: a bucket that never fills")
            parsed.rate, parsed.burst = bucket.tokens_per_fill.value * 1000.0 / fill_ms, bucket.max_tokens
        by_class[route.name] = parsed
    return by_class


def table_entry_of(endpoint: endpoint_components_pb2.LbEndpoint, version: str) -> TableEntry:
    """Return a table's entry for an xDS endpoint."""
    address = endpoint.endpoint.address.socket_address
    return (address.address, address.port_value), float(endpoint.load_balancing_weight.value), version


def drop_shares_of(assignment: endpoint_pb2.ClusterLoadAssignment) -> dict[str, float]:
    """Return the shares of requests to shed, by class."""
    rows = assignment.policy.drop_overloads
    return {row.category: row.drop_percentage.numerator / (100, 10000, 1e6)[row.drop_percentage.denominator]
            for row in rows}  # fmt: skip


class SharedReportStream:
    """A load report stream on the subscription's connection."""

    def __init__(self, client: GrpcClient) -> None:
        self.client, self.number = client, client.open(LOAD)

    def unsent(self) -> int:
        """Return how many bytes wait to be sent on the connection."""
        return self.client.connection.unsent_bytes()

    def send(self, data: bytes) -> None:
        """Queue one report."""
        self.client.send(self.number, data)


class XdsSubscriber:
    """The part that both protocol variants share: connecting, injected faults, and the stream for load reports.

    `start` begins a daemon thread, which `stop` ends.  Faults are set from another thread, each until a time in
    milliseconds on the monotonic clock.
    """

    path = DELTA

    def __init__(self, proxy: ProxyInterface, controllers: list[str]) -> None:
        """Subscribe for `proxy`; it tries the addresses of `controllers` in turn."""
        self.proxy, self.controllers = proxy, controllers
        self.routing = proxy.routing
        self.client: GrpcClient | None = None
        self.stream = 0
        self.report_stream: SharedReportStream | None = None
        self.controller = ""  # the address connected to
        self.stalled_until_ms = self.reject_until_ms = self.disconnected_until_ms = 0.0
        self.slow_until_ms, self.slow_line_ms = 0.0, 0.0  # applying one line takes `slow_line_ms` until then
        self.delay_until_ms, self.delay_ms = 0.0, 0.0  # requests are sent `delay_ms` late until then
        self.responses_to_lose = 0  # responses to discard without processing
        self.connect_attempts = 0
        self.stopping = threading.Event()

    def stop(self) -> None:
        """Close the connection and wait for the thread; the routing state is retained."""
        self.stopping.set()
        if self.client:
            self.client.close()
        self.thread.join()

    def start(self) -> None:
        """Start the thread that follows the controllers."""
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self) -> None:
        reconnect_delay_ms = self.proxy.host.proxy_settings["dial_ms"]
        while not self.stopping.is_set():
            if (remaining_ms := self.disconnected_until_ms - now_ms()) > 0:
                self.stopping.wait((remaining_ms + MAX_RECONNECT_DELAY_MS * self.proxy.draw()) / 1000.0)
                continue
            controller = self.controllers[self.connect_attempts % len(self.controllers)]
            reason = ""
            try:
                self.client = GrpcClient(controller, 1000.0, IDLE_TIMEOUT_MS)
                self.client.queue.maxsize = 8  # further messages wait on the socket and at the controller
                self._record(what="stream", up=True, pilot=controller)
                self.controller = controller
                self._follow(self.client)
                reason = self.client.reason
            except (OSError, DecodeError) as error:
                reason = str(error)
            self.controller, self.report_stream = "", None
            if self.client:
                self.client.close()
                self.client = None
                self._record(what="stream", up=False, pilot=controller, reason=reason)
            self.connect_attempts += 1
            self.stopping.wait(reconnect_delay_ms * (0.5 + self.proxy.draw()) / 1000.0)

    def _record(self, **fields: Any) -> None:
        self.proxy.host.record.put(**{"at": now_ms(), "proxy": self.proxy.name, **fields})

    def _follow(self, client: GrpcClient) -> None:
        self.stream = client.open(self.path)
        self._subscribe(client)
        if self.report_address() is None:
            self.report_stream = SharedReportStream(client)
        for event in client.events():
            self._wait_while_stalled()
            if isinstance(event, MessageReceived) and event.stream == self.stream:
                self._handle_response(client, event.data)
            elif isinstance(event, MessageReceived):
                self.proxy.reporter.handle_response(event.data)
            elif isinstance(event, StreamEnded) and event.stream == self.stream:
                raise OSError(event.reason or "the pilot ended the stream")

    def _wait_while_stalled(self) -> None:
        while (remaining_ms := self.stalled_until_ms - now_ms()) > 0:
            time.sleep(remaining_ms / 1000.0)

    def report_address(self) -> str | None:
        """Return the address for load reports; None: they use the subscription's connection."""
        addresses = self.proxy.setup["reports"].get(self.controller)
        return self.proxy.reporter.select_reader(addresses) if addresses else None

    def disconnect(self, until_ms: float) -> None:
        """Close the connection and connect to no controller until then, as if the network had failed."""
        self.disconnected_until_ms = until_ms
        if self.client:
            self.client.close()

    def _subscribe(self, client: GrpcClient) -> None:
        raise NotImplementedError

    def _handle_response(self, client: GrpcClient, data: bytes) -> None:
        raise NotImplementedError

    def _block_while_applying(self, lines: int) -> float:
        """Block the proxy for as long as it takes to apply that many lines; return the milliseconds."""
        line_ms = self.slow_line_ms if self.slow_until_ms > now_ms() else self.proxy.host.proxy_settings["line_ms"]
        with self.proxy.lock:
            time.sleep(line_ms * lines / 1000.0)
        return line_ms * lines

    def _is_lost(self, nonce: str, type_url: str) -> bool:
        """Return whether a response is to be discarded as if it had never arrived."""
        if self.responses_to_lose <= 0:
            return False
        self.responses_to_lose -= 1
        self._record(what="lost", nonce=nonce, type=type_url)
        return True

    def _send_requests(self, client: GrpcClient, requests: list[Any]) -> None:
        """Send requests; an injected delay also holds up everything that is sent or read after them."""
        if self.delay_until_ms > now_ms():
            self.stopping.wait(self.delay_ms / 1000.0)
        for request in requests:
            client.send(self.stream, request.SerializeToString())


class DeltaSubscriber(XdsSubscriber):
    """Follows by incremental xDS: subscribes to what its tables name, and keeps versions when a stream breaks."""

    def _subscribe(self, client: GrpcClient) -> None:
        versions = self.routing.versions
        first = self._subscription(CDS, [])
        self.proxy.describe(first.node)
        first.initial_resource_versions.update(versions.get(CDS, {}))
        tables = list(versions.get(CDS, {}))
        collections = [EJECTED_COLLECTION, *(f"{COLLECTION}{table}/*" for table in tables)]
        others = [(LEDS, collections), (LDS, []), (RDS, ["exchanges"]), *([(EDS, tables)] if tables else [])]
        client.send(self.stream, first.SerializeToString())
        for url, names in others:
            request = self._subscription(url, names)
            request.initial_resource_versions.update(versions.get(url, {}))
            client.send(self.stream, request.SerializeToString())

    @staticmethod
    def _subscription(url: str, names: list[str]) -> discovery_pb2.DeltaDiscoveryRequest:
        return discovery_pb2.DeltaDiscoveryRequest(type_url=url, resource_names_subscribe=names)

    def _handle_response(self, client: GrpcClient, data: bytes) -> None:
        response = discovery_pb2.DeltaDiscoveryResponse.FromString(data)
        if self._is_lost(response.nonce, response.type_url):
            return
        blocked_ms = self._block_while_applying(len(response.resources) + len(response.removed_resources))
        ack = discovery_pb2.DeltaDiscoveryRequest(type_url=response.type_url, response_nonce=response.nonce)
        changed = [(resource.name, resource.version) for resource in response.resources]
        row: dict[str, Any] = {"type": response.type_url.rpartition(".")[2], "nonce": response.nonce,
                "system": response.system_version_info, "changed": changed,
                "removed": list(response.removed_resources), "bytes": len(data), "stood": blocked_ms}  # fmt: skip
        try:
            if self.reject_until_ms > now_ms():
                raise ValueError("told to refuse")
            with self.proxy.lock:
                ack.resource_names_subscribe.extend(self._apply(response))
                row["at"] = now_ms()  # before any choice by the new table, which takes the same lock
        except (ValueError, DecodeError) as error:
            ack.error_detail.code, ack.error_detail.message = 3, str(error)
            self._record(what="refused", reason=str(error), **row)
        else:
            self._record(what="applied", **row)
            self.proxy.on_update_applied()
        self._send_requests(client, self._replies(response, ack))

    def _replies(self, response: Any, ack: Any) -> list[discovery_pb2.DeltaDiscoveryRequest]:
        """Return the acknowledgement, and the subscription to resources that the response refers to."""
        names = list(ack.resource_names_subscribe)
        del ack.resource_names_subscribe[:]
        if not names or ack.HasField("error_detail"):
            return [ack]
        url = EDS if response.type_url == CDS else LEDS
        return [ack, self._subscription(url, names)]

    def _apply(self, response: Any) -> list[str]:
        """Apply a response as a whole; return the names of resources that it refers to and are not subscribed yet.

        Raises:
            ValueError: A resource is of another type, or a route can't be followed.
            DecodeError: A resource can't be decoded.
        """
        url, routing = response.type_url, self.routing
        versions = dict(routing.versions.get(url, {}))
        new_names: list[str] = []
        unpacked = self._unpack(url, response)
        if url == RDS:
            for _, version, message in unpacked:
                routing.routes, routing.routes_version = routes_of(message), version
        elif url == CDS:
            new_names = self._apply_clusters(unpacked, response.removed_resources, versions)
        elif url == EDS:
            new_names = self._apply_assignments(unpacked, versions)
        elif url == LEDS:
            self._apply_endpoints(unpacked, response.removed_resources)
        for name, version, _ in unpacked:
            versions[name] = version
        for name in response.removed_resources:
            versions.pop(name, None)
        routing.versions[url] = versions
        return new_names

    @staticmethod
    def _unpack(url: str, response: Any) -> list[tuple[str, str, Any]]:
        """Return name, version and message of all resources in a response."""
        unpacked = []
        for resource in response.resources:
            message = MESSAGES[url]()
            if not resource.resource.Unpack(message):
                raise ValueError(f"{resource.name} is no {url}")
            unpacked.append((resource.name, resource.version, message))
        return unpacked

    def _apply_clusters(
        self, unpacked: list[tuple[str, str, Any]], removed: Any, versions: dict[str, str]
    ) -> list[str]:
        """Add and remove tables; return the names of the new ones."""
        new_names = []
        for name, _, _ in unpacked:
            if name not in versions:
                new_names.append(name)
            self.routing.tables.setdefault(name, {})
        for name in removed:
            self._remove_table(name)
        return new_names

    def _apply_assignments(self, unpacked: list[tuple[str, str, Any]], versions: dict[str, str]) -> list[str]:
        """Set the shares to shed; return the endpoint collections of new assignments."""
        new_names: list[str] = []
        for name, _, message in unpacked:
            self.routing.drop_shares[name] = drop_shares_of(message)
            if name not in versions:
                new_names += [g.leds_cluster_locality_config.leds_collection_name for g in message.endpoints]
        return new_names

    def _remove_table(self, table: str) -> None:
        """Remove a table with its entries, and unsubscribe from both."""
        self.routing.tables.pop(table, None)
        self.routing.drop_shares.pop(table, None)
        self.routing.versions.get(EDS, {}).pop(table, None)
        prefix = f"{COLLECTION}{table}/"
        versions = self.routing.versions.get(LEDS, {})
        self.routing.versions[LEDS] = {n: v for n, v in versions.items() if not n.startswith(prefix)}
        if self.client:
            for url, name in ((EDS, table), (LEDS, f"{prefix}*")):
                request = discovery_pb2.DeltaDiscoveryRequest(type_url=url, resource_names_unsubscribe=[name])
                self.client.send(self.stream, request.SerializeToString())

    def _apply_endpoints(self, unpacked: list[tuple[str, str, Any]], removed: Any) -> None:
        routing = self.routing
        tables = dict(routing.tables)
        ejected_by_name = dict(routing.ejected_by_name)
        copied: set[str] = set()
        ejected_statuses = (health_check_pb2.DRAINING, health_check_pb2.UNHEALTHY)
        for name, version, message in unpacked:
            group, _, _ = name.removeprefix(COLLECTION).partition("/")
            if message.health_status in ejected_statuses and group == "withdrawn":
                ejected_by_name[name] = table_entry_of(message, version)[0]
            elif group in tables:
                self._writable_entries(tables, group, copied)[name] = table_entry_of(message, version)
        for name in removed:
            group, _, _ = name.removeprefix(COLLECTION).partition("/")
            ejected_by_name.pop(name, None)
            if group in tables:
                self._writable_entries(tables, group, copied).pop(name, None)
        routing.tables, routing.ejected_by_name = tables, ejected_by_name
        routing.ejected = set(ejected_by_name.values())

    @staticmethod
    def _writable_entries(
        tables: dict[str, dict[str, TableEntry]], table: str, copied: set[str]
    ) -> dict[str, TableEntry]:
        """Return a table's entries, copied at the first write: readers use the old ones until the whole is applied."""
        if table not in copied:
            copied.add(table)
            tables[table] = dict(tables[table])
        return tables[table]


class SotwSubscriber(XdsSubscriber):
    """Follows by state-of-the-world xDS: each response holds all resources of its type."""

    path = SOTW

    def __init__(self, proxy: ProxyInterface, controllers: list[str]) -> None:
        super().__init__(proxy, controllers)
        self.last_responses: dict[str, tuple[str, str]] = {}  # accepted version and last nonce by type

    def _subscribe(self, client: GrpcClient) -> None:
        self.last_responses = {url: (version, "") for url, (version, _) in self.last_responses.items()}
        for index, (url, names) in enumerate(((CDS, []), (LDS, []), (RDS, ["exchanges"]))):
            request = discovery_pb2.DiscoveryRequest(type_url=url, resource_names=names)
            request.version_info = self.last_responses.get(url, ("", ""))[0]
            if index == 0:
                self.proxy.describe(request.node)
            client.send(self.stream, request.SerializeToString())
        self._request_assignments(client)

    def _request_assignments(self, client: GrpcClient) -> None:
        if self.routing.tables:
            version, nonce = self.last_responses.get(EDS, ("", ""))
            request = discovery_pb2.DiscoveryRequest(type_url=EDS, version_info=version, response_nonce=nonce)
            request.resource_names.extend(sorted(self.routing.tables))
            client.send(self.stream, request.SerializeToString())

    def _handle_response(self, client: GrpcClient, data: bytes) -> None:
        response = discovery_pb2.DiscoveryResponse.FromString(data)
        url = response.type_url
        blocked_ms = self._block_while_applying(len(response.resources))
        version, _ = self.last_responses.get(url, ("", ""))
        row: dict[str, Any] = {"type": url.rpartition(".")[2], "nonce": response.nonce, "bytes": len(data),
                "system": response.control_plane.identifier, "changed": [["*", response.version_info]],
                "removed": [], "stood": blocked_ms}  # fmt: skip
        ack = discovery_pb2.DiscoveryRequest(type_url=url, response_nonce=response.nonce)
        tables_changed = False
        try:
            if self.reject_until_ms > now_ms():
                raise ValueError("told to refuse")
            with self.proxy.lock:
                tables_changed = self._apply(url, response)
                row["at"] = now_ms()  # before any choice by the new table, which takes the same lock
            version = response.version_info
        except (ValueError, DecodeError) as error:
            ack.error_detail.code, ack.error_detail.message = 3, str(error)
            self._record(what="refused", reason=str(error), **row)
        else:
            self._record(what="applied", **row)
            self.proxy.on_update_applied()
        self.last_responses[url] = (version, response.nonce)
        ack.version_info = version
        if url == EDS:
            ack.resource_names.extend(sorted(self.routing.tables))
        elif url == RDS:
            ack.resource_names.append("exchanges")
        self._send_requests(client, [ack])
        if tables_changed:
            self._request_assignments(client)

    def _apply(self, url: str, response: Any) -> bool:
        """Apply a response as a whole; return whether the set of tables has changed.

        Raises:
            ValueError: A resource is of another type, or a route can't be followed.
            DecodeError: A resource can't be decoded.
        """
        routing = self.routing
        messages = []
        for resource in response.resources:
            message = MESSAGES[url]()
            if not resource.Unpack(message):
                raise ValueError(f"a resource that is no {url}")
            messages.append(message)
        if url == CDS:
            names = {message.name for message in messages}
            tables_changed = names != set(routing.tables)
            routing.tables = {name: routing.tables.get(name, {}) for name in sorted(names)}
            return tables_changed
        if url == RDS:
            for message in messages:
                routing.routes, routing.routes_version = routes_of(message), response.version_info
        elif url == EDS:
            self._apply_assignments(messages, response.version_info)
        return False

    def _apply_assignments(self, messages: list[Any], version: str) -> None:
        routing = self.routing
        tables: dict[str, dict[str, TableEntry]] = dict(routing.tables)
        ejected: set[Address] = set()
        for message in messages:
            entries = {}
            for endpoint in (endpoint for group in message.endpoints for endpoint in group.lb_endpoints):
                entry = table_entry_of(endpoint, version)
                entries[f"{message.cluster_name}/{entry[0][1]}"] = entry
                if endpoint.health_status in (health_check_pb2.DRAINING, health_check_pb2.UNHEALTHY):
                    ejected.add(entry[0])
            tables[message.cluster_name] = entries
            routing.drop_shares[message.cluster_name] = drop_shares_of(message)
        routing.tables, routing.ejected = tables, ejected


MESSAGES: dict[str, Any] = {
    CDS: cluster_pb2.Cluster,
    EDS: endpoint_pb2.ClusterLoadAssignment,
    LEDS: endpoint_components_pb2.LbEndpoint,
    LDS: listener_pb2.Listener,
    RDS: route_pb2.RouteConfiguration,
}
