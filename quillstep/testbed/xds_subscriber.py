"""How a stand-in proxy follows its pilot: dials, subscribes, applies, acknowledges, refuses, reports load.

A change takes effect as a whole, then it is acknowledged; a proxy stands still for a moment for each line of it.
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
from quillstep.testbed.proxy_interface import Line, ProxyInterface, Route
from quillstep.xds.client import GrpcClient
from quillstep.xds.http2 import MessageReceived, StreamEnded
from quillstep.xds.resources import CDS, COLLECTION, EDS, EJECTED_COLLECTION, LDS, LEDS, RATE_FILTER, RDS
from quillstep.xds.server import DELTA, LOAD, SOTW

IDLE_TIMEOUT_MS = 12000.0
RECONNECT_SPREAD_MS = 1000.0  # over which proxies that were cut off come back


def routes_of(routes: route_pb2.RouteConfiguration) -> dict[str, Route]:
    """The routes by class; raises ValueError where one can't be followed."""
    found = {}
    for route in (route for host in routes.virtual_hosts for route in host.routes):
        action = route.route
        policy = action.retry_policy
        made = Route(action.cluster, closed=route.HasField("direct_response"))
        if action.HasField("retry_policy"):
            made.tries = 1 if "5xx" not in policy.retry_on else 1 + policy.num_retries.value
            made.per_try_ms = policy.per_try_timeout.ToNanoseconds() / 1e6
        if RATE_FILTER in route.typed_per_filter_config:
            limit = local_rate_limit_pb2.LocalRateLimit()
            route.typed_per_filter_config[RATE_FILTER].Unpack(limit)
            bucket = limit.token_bucket
            fill_ms = bucket.fill_interval.ToNanoseconds() / 1e6
            if fill_ms <= 0:
                raise ValueError(f"route {route.name}: a bucket that never fills")
            made.rate, made.burst = bucket.tokens_per_fill.value * 1000.0 / fill_ms, bucket.max_tokens
        found[route.name] = made
    return found


def line_of(line: endpoint_components_pb2.LbEndpoint, version: str) -> Line:
    address = line.endpoint.address.socket_address
    return (address.address, address.port_value), float(line.load_balancing_weight.value), version


def drop_shares_of(assignment: endpoint_pb2.ClusterLoadAssignment) -> dict[str, float]:
    rows = assignment.policy.drop_overloads
    return {row.category: row.drop_percentage.numerator / (100, 10000, 1e6)[row.drop_percentage.denominator]
            for row in rows}  # fmt: skip


class SharedReportStream:
    """A load report stream on the connection that the tables come by."""

    def __init__(self, client: GrpcClient) -> None:
        self.client, self.number = client, client.open(LOAD)

    def unsent(self) -> int:
        return self.client.connection.unsent_bytes()

    def send(self, data: bytes) -> None:
        self.client.send(self.number, data)


class XdsSubscriber:
    """What both kinds share: dialling, standing still, refusing, where load reports go."""

    path = DELTA

    def __init__(self, proxy: ProxyInterface, pilots: list[str]) -> None:
        self.proxy, self.pilots = proxy, pilots
        self.held = proxy.held
        self.client: GrpcClient | None = None
        self.stream = 0
        self.load_stream: SharedReportStream | None = None
        self.pilot = ""
        self.stalled_ms = self.refuses_ms = self.cut_ms = 0.0
        self.slow_until, self.line_ms = 0.0, 0.0  # a line takes this long until then
        self.late_until, self.late_ms = 0.0, 0.0  # words go out this late until then
        self.loses = 0  # responses that it will drop unread
        self.dials = 0
        self.ended = threading.Event()

    def end(self) -> None:
        """Follow no more; what is held stays held."""
        self.ended.set()
        if self.client:
            self.client.close()
        self.thread.join()

    def start(self) -> None:
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self) -> None:
        dial_ms = self.proxy.host.proxies["dial_ms"]
        while not self.ended.is_set():
            if (left := self.cut_ms - now_ms()) > 0:
                self.ended.wait((left + RECONNECT_SPREAD_MS * self.proxy.draw()) / 1000.0)
                continue
            pilot = self.pilots[self.dials % len(self.pilots)]
            reason = ""
            try:
                self.client = GrpcClient(pilot, 1000.0, IDLE_TIMEOUT_MS)
                self.client.queue.maxsize = 8  # what it does not take stays with its pilot
                self.record(what="stream", up=True, pilot=pilot)
                self.pilot = pilot
                self.follow(self.client)
                reason = self.client.reason
            except (OSError, DecodeError) as trouble:
                reason = str(trouble)
            self.pilot, self.load_stream = "", None
            if self.client:
                self.client.close()
                self.client = None
                self.record(what="stream", up=False, pilot=pilot, reason=reason)
            self.dials += 1
            self.ended.wait(dial_ms * (0.5 + self.proxy.draw()) / 1000.0)

    def record(self, **fields: Any) -> None:
        self.proxy.host.record.put(**{"at": now_ms(), "proxy": self.proxy.name, **fields})

    def follow(self, client: GrpcClient) -> None:
        self.stream = client.open(self.path)
        self.begin(client)
        if self.report_address() is None:
            self.load_stream = SharedReportStream(client)
        for event in client.events():
            self.wait()
            if isinstance(event, MessageReceived) and event.stream == self.stream:
                self.message(client, event.data)
            elif isinstance(event, MessageReceived):
                self.proxy.reporter.asked(event.data)
            elif isinstance(event, StreamEnded) and event.stream == self.stream:
                raise OSError(event.reason or "the pilot ended the stream")

    def wait(self) -> None:
        while (left := self.stalled_ms - now_ms()) > 0:
            time.sleep(left / 1000.0)

    def report_address(self) -> str | None:
        """Where load reports go, if not by this connection."""
        addresses = self.proxy.row["reports"].get(self.pilot)
        return self.proxy.reporter.address_of(addresses) if addresses else None

    def cut(self, until_ms: float) -> None:
        """As if the network to all pilots were gone until then."""
        self.cut_ms = until_ms
        if self.client:
            self.client.close()

    def begin(self, client: GrpcClient) -> None:
        raise NotImplementedError

    def message(self, client: GrpcClient, data: bytes) -> None:
        raise NotImplementedError

    def stand_still(self, lines: int) -> float:
        """Apply so many lines' worth of time; the milliseconds that it took."""
        line_ms = self.line_ms if self.slow_until > now_ms() else self.proxy.host.proxies["line_ms"]
        with self.proxy.lock:
            time.sleep(line_ms * lines / 1000.0)
        return line_ms * lines

    def dropped(self, nonce: str, kind: str) -> bool:
        """Whether a response is lost on it, as if it had never come."""
        if self.loses <= 0:
            return False
        self.loses -= 1
        self.record(what="lost", nonce=nonce, type=kind)
        return True

    def say(self, client: GrpcClient, words: list[Any]) -> None:
        """Send words, late if so told; what is late holds up all that comes after it."""
        if self.late_until > now_ms():
            self.ended.wait(self.late_ms / 1000.0)
        for word in words:
            client.send(self.stream, word.SerializeToString())


class DeltaSubscriber(XdsSubscriber):
    """Follows by deltas: subscribes to what its tables name, keeps versions over a broken stream."""

    def begin(self, client: GrpcClient) -> None:
        versions = self.held.versions
        first = self.request(CDS, [])
        self.proxy.describe(first.node)
        first.initial_resource_versions.update(versions.get(CDS, {}))
        tables = list(versions.get(CDS, {}))
        out = [EJECTED_COLLECTION, *(f"{COLLECTION}{table}/*" for table in tables)]
        others = [(LEDS, out), (LDS, []), (RDS, ["exchanges"]), *([(EDS, tables)] if tables else [])]
        client.send(self.stream, first.SerializeToString())
        for url, names in others:
            request = self.request(url, names)
            request.initial_resource_versions.update(versions.get(url, {}))
            client.send(self.stream, request.SerializeToString())

    @staticmethod
    def request(url: str, names: list[str]) -> discovery_pb2.DeltaDiscoveryRequest:
        return discovery_pb2.DeltaDiscoveryRequest(type_url=url, resource_names_subscribe=names)

    def message(self, client: GrpcClient, data: bytes) -> None:
        response = discovery_pb2.DeltaDiscoveryResponse.FromString(data)
        if self.dropped(response.nonce, response.type_url):
            return
        stood_ms = self.stand_still(len(response.resources) + len(response.removed_resources))
        word = discovery_pb2.DeltaDiscoveryRequest(type_url=response.type_url, response_nonce=response.nonce)
        changed = [(resource.name, resource.version) for resource in response.resources]
        note: dict[str, Any] = {"type": response.type_url.rpartition(".")[2], "nonce": response.nonce,
                "system": response.system_version_info, "changed": changed,
                "removed": list(response.removed_resources), "bytes": len(data), "stood": stood_ms}  # fmt: skip
        try:
            if self.refuses_ms > now_ms():
                raise ValueError("told to refuse")
            with self.proxy.lock:
                word.resource_names_subscribe.extend(self.apply(response, word))
                note["at"] = now_ms()  # whoever picks by it does so later: both hold the lock
        except (ValueError, DecodeError) as trouble:
            word.error_detail.code, word.error_detail.message = 3, str(trouble)
            self.record(what="refused", reason=str(trouble), **note)
        else:
            self.record(what="applied", **note)
            self.proxy.applied()
        self.say(client, self.follow_up(response, word))

    def follow_up(self, response: Any, word: Any) -> list[discovery_pb2.DeltaDiscoveryRequest]:
        """The acknowledgement, and what is asked for of other types because of it."""
        names = list(word.resource_names_subscribe)
        del word.resource_names_subscribe[:]
        if not names or word.HasField("error_detail"):
            return [word]
        url = EDS if response.type_url == CDS else LEDS
        return [word, self.request(url, names)]

    def apply(self, response: Any, word: Any) -> list[str]:
        """Take a response as a whole; the names to subscribe to because of it."""
        url, held = response.type_url, self.held
        versions = dict(held.versions.get(url, {}))
        opened: list[str] = []
        unpacked = []
        for resource in response.resources:
            message = MESSAGES[url]()
            if not resource.resource.Unpack(message):
                raise ValueError(f"{resource.name} is no {url}")
            unpacked.append((resource.name, resource.version, message))
        if url == RDS:
            for _, version, message in unpacked:
                held.routes, held.routes_version = routes_of(message), version
        elif url == CDS:
            for name, _, _ in unpacked:
                if name not in versions:
                    opened.append(name)
                held.tables.setdefault(name, {})
            for name in response.removed_resources:
                self.drop(name)
        elif url == EDS:
            for name, _, message in unpacked:
                held.drops[name] = drop_shares_of(message)
                if name not in versions:
                    opened += [g.leds_cluster_locality_config.leds_collection_name for g in message.endpoints]
        elif url == LEDS:
            self.lines(unpacked, response.removed_resources)
        for name, version, _ in unpacked:
            versions[name] = version
        for name in response.removed_resources:
            versions.pop(name, None)
        held.versions[url] = versions
        return opened

    def drop(self, table: str) -> None:
        """A table that is there no more: its lines go with it."""
        self.held.tables.pop(table, None)
        self.held.drops.pop(table, None)
        self.held.versions.get(EDS, {}).pop(table, None)
        prefix = f"{COLLECTION}{table}/"
        lines = self.held.versions.get(LEDS, {})
        self.held.versions[LEDS] = {n: v for n, v in lines.items() if not n.startswith(prefix)}
        if self.client:
            for url, name in ((EDS, table), (LEDS, f"{prefix}*")):
                request = discovery_pb2.DeltaDiscoveryRequest(type_url=url, resource_names_unsubscribe=[name])
                self.client.send(self.stream, request.SerializeToString())

    def lines(self, unpacked: list[tuple], removed: Any) -> None:
        held = self.held
        tables = dict(held.tables)
        outs = dict(held.outs)
        fresh: set[str] = set()
        gone = (health_check_pb2.DRAINING, health_check_pb2.UNHEALTHY)
        for name, version, message in unpacked:
            group, _, _ = name.removeprefix(COLLECTION).partition("/")
            if message.health_status in gone and group == "withdrawn":
                outs[name] = line_of(message, version)[0]
            elif group in tables:
                self.own(tables, group, fresh)[name] = line_of(message, version)
        for name in removed:
            group, _, _ = name.removeprefix(COLLECTION).partition("/")
            outs.pop(name, None)
            if group in tables:
                self.own(tables, group, fresh).pop(name, None)
        held.tables, held.outs = tables, outs
        held.out = set(outs.values())

    @staticmethod
    def own(tables: dict, group: str, fresh: set[str]) -> dict[str, Line]:
        """A table's lines to write to: those who read go on with the old ones until all is done."""
        if group not in fresh:
            fresh.add(group)
            tables[group] = dict(tables[group])
        return tables[group]


class SotwSubscriber(XdsSubscriber):
    """Follows by whole states: each response is all there is of its type."""

    path = SOTW

    def __init__(self, proxy: ProxyInterface, pilots: list[str]) -> None:
        super().__init__(proxy, pilots)
        self.newest: dict[str, tuple[str, str]] = {}  # version and nonce by type

    def begin(self, client: GrpcClient) -> None:
        self.newest = {url: (version, "") for url, (version, _) in self.newest.items()}
        for at, (url, names) in enumerate(((CDS, []), (LDS, []), (RDS, ["exchanges"]))):
            request = discovery_pb2.DiscoveryRequest(type_url=url, resource_names=names)
            request.version_info = self.newest.get(url, ("", ""))[0]
            if at == 0:
                self.proxy.describe(request.node)
            client.send(self.stream, request.SerializeToString())
        self.ask_lines(client)

    def ask_lines(self, client: GrpcClient) -> None:
        if self.held.tables:
            version, nonce = self.newest.get(EDS, ("", ""))
            request = discovery_pb2.DiscoveryRequest(type_url=EDS, version_info=version, response_nonce=nonce)
            request.resource_names.extend(sorted(self.held.tables))
            client.send(self.stream, request.SerializeToString())

    def message(self, client: GrpcClient, data: bytes) -> None:
        response = discovery_pb2.DiscoveryResponse.FromString(data)
        url = response.type_url
        stood_ms = self.stand_still(len(response.resources))
        version, _ = self.newest.get(url, ("", ""))
        note: dict[str, Any] = {"type": url.rpartition(".")[2], "nonce": response.nonce, "bytes": len(data),
                "system": response.control_plane.identifier, "changed": [["*", response.version_info]],
                "removed": [], "stood": stood_ms}  # fmt: skip
        word = discovery_pb2.DiscoveryRequest(type_url=url, response_nonce=response.nonce)
        asks = False
        try:
            if self.refuses_ms > now_ms():
                raise ValueError("told to refuse")
            with self.proxy.lock:
                asks = self.apply(url, response)
                note["at"] = now_ms()  # whoever picks by it does so later: both hold the lock
            version = response.version_info
        except (ValueError, DecodeError) as trouble:
            word.error_detail.code, word.error_detail.message = 3, str(trouble)
            self.record(what="refused", reason=str(trouble), **note)
        else:
            self.record(what="applied", **note)
            self.proxy.applied()
        self.newest[url] = (version, response.nonce)
        word.version_info = version
        if url == EDS:
            word.resource_names.extend(sorted(self.held.tables))
        elif url == RDS:
            word.resource_names.append("exchanges")
        self.say(client, [word])
        if asks:
            self.ask_lines(client)

    def apply(self, url: str, response: Any) -> bool:
        held = self.held
        messages = []
        for resource in response.resources:
            message = MESSAGES[url]()
            if not resource.Unpack(message):
                raise ValueError(f"a resource that is no {url}")
            messages.append(message)
        if url == CDS:
            names = {message.name for message in messages}
            asks = names != set(held.tables)
            held.tables = {name: held.tables.get(name, {}) for name in sorted(names)}
            return asks
        if url == RDS:
            for message in messages:
                held.routes, held.routes_version = routes_of(message), response.version_info
        elif url == EDS:
            self.assignments(messages, response.version_info)
        return False

    def assignments(self, messages: list, version: str) -> None:
        held = self.held
        tables, out = dict(held.tables), set()
        for message in messages:
            lines = {}
            for row in (row for group in message.endpoints for row in group.lb_endpoints):
                line = line_of(row, version)
                lines[f"{message.cluster_name}/{line[0][1]}"] = line
                if row.health_status in (health_check_pb2.DRAINING, health_check_pb2.UNHEALTHY):
                    out.add(line[0])
            tables[message.cluster_name] = lines
            held.drops[message.cluster_name] = drop_shares_of(message)
        held.tables, held.out = tables, out


MESSAGES: dict[str, Any] = {
    CDS: cluster_pb2.Cluster,
    EDS: endpoint_pb2.ClusterLoadAssignment,
    LEDS: endpoint_components_pb2.LbEndpoint,
    LDS: listener_pb2.Listener,
    RDS: route_pb2.RouteConfiguration,
}
