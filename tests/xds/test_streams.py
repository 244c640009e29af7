"""A running controller with standard gRPC clients, and with peers that violate the protocol, on loopback."""

import queue
import socket
import struct
import threading

import grpc
import pytest
from envoy.config.endpoint.v3 import endpoint_components_pb2, endpoint_pb2
from envoy.config.route.v3 import route_pb2
from envoy.service.discovery.v3 import discovery_pb2
from envoy.service.load_stats.v3 import lrs_pb2
from hyperframe.frame import ContinuationFrame, DataFrame, HeadersFrame, PingFrame, SettingsFrame
from memory_fleet import small_scenario

from quillstep.testbed.scenarios.arm import Arm
from quillstep.testbed.scenarios.plan import plan_scenario
from quillstep.xds.client import GrpcClient
from quillstep.xds.resources import CDS, COLLECTION, EDS, EJECTED_COLLECTION, LDS, LEDS, RDS
from quillstep.xds.server import DELTA, LOAD, SOTW

WAIT_S = 20.0
LIMITS = {"handshake_ms": 500.0, "write_ms": 800.0, "unacknowledged_ms": 2500.0, "message_most_bytes": 65536}


@pytest.fixture(scope="module")
def arm(tmp_path_factory):
    """Four endpoints, an endpoint discovery server and one controller, without stand-in proxies."""
    scenario = small_scenario(limits=LIMITS, pilots=1)
    running = Arm(scenario, plan_scenario(scenario), "learnt", tmp_path_factory.mktemp("streams") / "learnt")
    try:
        running.start_endpoints()
        running.start_discovery()
        running.controllers.start(0)
        yield running
    finally:
        running.stop()


class Stream:
    """One stream of a standard gRPC client."""

    def __init__(self, address, path, request_type, response_type):
        self.channel = grpc.insecure_channel(address)
        self.requests = queue.Queue()
        method = self.channel.stream_stream(
            path, request_serializer=request_type.SerializeToString, response_deserializer=response_type.FromString
        )
        self.call = method(iter(self.requests.get, None))
        self.responses = queue.Queue()
        threading.Thread(target=self.read, daemon=True).start()

    def read(self):
        try:
            for response in self.call:
                self.responses.put(response)
        except grpc.RpcError as error:
            self.responses.put(error)

    def next(self):
        response = self.responses.get(timeout=WAIT_S)
        if isinstance(response, Exception):
            raise response
        return response

    def close(self):
        self.requests.put(None)
        self.call.cancel()
        self.channel.close()


class DeltaClient(Stream):
    """A delta client that stores every resource that it has acknowledged, by type URL and name."""

    def __init__(self, address, name, held=None):
        super().__init__(address, DELTA, discovery_pb2.DeltaDiscoveryRequest, discovery_pb2.DeltaDiscoveryResponse)
        self.held = held or {}
        first = self.request(CDS)
        first.node.id, first.node.locality.zone = name, "a"
        self.requests.put(first)
        self.requests.put(self.request(LEDS, EJECTED_COLLECTION, *([COLLECTION + "table-0/*"] if held else [])))
        self.requests.put(self.request(RDS, "exchanges"))
        if held:
            self.requests.put(self.request(EDS, "table-0"))

    def request(self, url, *names):
        request = discovery_pb2.DeltaDiscoveryRequest(type_url=url, resource_names_subscribe=names)
        for (type_url, name), resource in self.held.items():
            if type_url == url:
                request.initial_resource_versions[name] = resource.version
        return request

    def acknowledge(self, response, rejection=""):
        """Acknowledges a response, or rejects it with a reason; subscribes to what new resources refer to."""
        ack = discovery_pb2.DeltaDiscoveryRequest(type_url=response.type_url, response_nonce=response.nonce)
        if rejection:
            ack.error_detail.code, ack.error_detail.message = 3, rejection
        self.requests.put(ack)
        for resource in () if rejection else response.resources:
            is_new = (response.type_url, resource.name) not in self.held
            self.held[response.type_url, resource.name] = resource
            if is_new and response.type_url == CDS:
                self.requests.put(self.request(EDS, resource.name))
            if is_new and response.type_url == EDS:
                self.requests.put(self.request(LEDS, f"{COLLECTION}{resource.name}/*"))
        for name in () if rejection else response.removed_resources:
            self.held.pop((response.type_url, name), None)

    def acknowledge_until(self, condition):
        """Acknowledges responses until a condition holds; returns them."""
        responses = []
        while not condition(self):
            responses.append(self.next())
            self.acknowledge(responses[-1])
        return responses

    def names(self, url):
        return {name for type_url, name in self.held if type_url == url}


def is_routable(client):
    return client.names(RDS) == {"exchanges"} and len(client.names(LEDS)) >= 4


def set_endpoint_state(arm, number, state):
    arm.discovery.send(id=number, state=state)


def test_a_standard_client_subscribes_acknowledges_and_can_decode_all_resources(arm):
    client = DeltaClient(arm.controllers.addresses[0], "interop/1")
    client.acknowledge_until(is_routable)
    ports = {arm.ports[row.number] for row in arm.plan.endpoints}
    assigned_ports = set()
    for (url, _), resource in client.held.items():
        if url == LEDS:
            endpoint = endpoint_components_pb2.LbEndpoint()
            assert resource.resource.Unpack(endpoint) and endpoint.load_balancing_weight.value > 0
            assigned_ports.add(endpoint.endpoint.address.socket_address.port_value)
    assert assigned_ports == ports
    routes = route_pb2.RouteConfiguration()
    assert client.held[RDS, "exchanges"].resource.Unpack(routes)
    assert [route.name for route in routes.virtual_hosts[0].routes] == ["lookup", "issue"]
    client.close()


def test_a_reconnecting_client_is_sent_only_changes(arm):
    client = DeltaClient(arm.controllers.addresses[0], "interop/2")
    client.acknowledge_until(is_routable)
    # Admission limits and weights may change while the client is away; the resource that it lost must be sent again.
    client.close()
    lost = next(key for key in client.held if key[0] == LEDS)
    held = {key: value for key, value in client.held.items() if key != lost}
    reconnected = DeltaClient(arm.controllers.addresses[0], "interop/2", held)
    responses = reconnected.acknowledge_until(lambda c: lost in c.held)
    sent = {(response.type_url, resource.name) for response in responses for resource in response.resources}
    assert lost in sent and (CDS, "table-0") not in sent and (EDS, "table-0") not in sent
    reconnected.close()


def test_an_ejection_that_a_client_rejects_is_logged_and_retried_until_acknowledged(arm):
    client = DeltaClient(arm.controllers.addresses[0], "interop/3")
    client.acknowledge_until(is_routable)
    number = arm.plan.endpoints[0].number
    set_endpoint_state(arm, number, "terminating")
    # Reject the ejection until it arrives in a response of its own.
    rejected = None
    while rejected is None:
        response = client.next()
        has_ejection = any(resource.name.endswith(f"withdrawn/{number}") for resource in response.resources)
        client.acknowledge(response, rejection="no such endpoint here" if has_ejection else "")
        rejected = response if has_ejection and len(response.resources) == 1 else None
    client.acknowledge_until(lambda c: any(name.endswith(f"withdrawn/{number}") for name in c.names(LEDS)))
    set_endpoint_state(arm, number, "in_service")
    client.acknowledge_until(lambda c: not any("withdrawn" in name for name in c.names(LEDS)))
    text = (arm.folder / "pilot-0.log").read_text()
    assert "version rejected" in text and "no such endpoint here" in text
    client.close()


def test_an_unknown_type_is_answered_with_an_error_and_the_stream_stays_open(arm):
    client = DeltaClient(arm.controllers.addresses[0], "interop/4")
    url = "type.googleapis.com/envoy.service.runtime.v3.Runtime"
    client.requests.put(client.request(url, "x"))
    while (response := client.next()).type_url != url:
        client.acknowledge(response)
    assert response.resource_errors[0].resource_name.name == "x"
    assert "Runtime" in response.resource_errors[0].error_detail.message
    client.acknowledge_until(is_routable)
    client.close()


def test_unsubscribed_weights_are_sent_again_after_a_new_subscription(arm):
    client = DeltaClient(arm.controllers.addresses[0], "interop/5")
    client.acknowledge_until(is_routable)
    table = f"{COLLECTION}table-0/*"
    client.requests.put(discovery_pb2.DeltaDiscoveryRequest(type_url=LEDS, resource_names_unsubscribe=[table]))
    for key in [key for key in client.held if key[0] == LEDS]:
        del client.held[key]
    client.requests.put(discovery_pb2.DeltaDiscoveryRequest(type_url=LEDS, resource_names_subscribe=[table]))
    client.acknowledge_until(lambda c: len(c.names(LEDS)) >= 4)
    client.close()


def test_a_client_without_deltas_receives_complete_states(arm):
    client = Stream(arm.controllers.addresses[0], SOTW, discovery_pb2.DiscoveryRequest, discovery_pb2.DiscoveryResponse)

    def send_request(url, names=(), response=None):
        request = discovery_pb2.DiscoveryRequest(type_url=url, resource_names=names)
        request.node.id, request.node.locality.zone = "interop/6", "a"
        if response:
            request.version_info, request.response_nonce = response.version_info, response.nonce
        client.requests.put(request)

    for url, names in ((CDS, ()), (LDS, ()), (RDS, ["exchanges"])):
        send_request(url, names)
    responses = {}
    while RDS not in responses:
        response = client.next()
        responses[response.type_url] = response
        send_request(response.type_url, {EDS: ["table-0"], RDS: ["exchanges"]}.get(response.type_url, ()), response)
        if response.type_url == CDS:
            send_request(EDS, ["table-0"])
    assignment = endpoint_pb2.ClusterLoadAssignment()
    assert responses[EDS].resources[0].Unpack(assignment)
    assert len(assignment.endpoints[0].lb_endpoints) == 4
    client.close()


def test_load_reports_are_requested_and_an_unknown_method_is_rejected(arm):
    client = Stream(arm.controllers.addresses[0], LOAD, lrs_pb2.LoadStatsRequest, lrs_pb2.LoadStatsResponse)
    request = lrs_pb2.LoadStatsRequest()
    request.node.id = "interop/7"
    client.requests.put(request)
    response = client.next()
    assert response.send_all_clusters and response.load_reporting_interval.ToMilliseconds() == 300
    client.close()
    unknown = Stream(
        arm.controllers.addresses[0], "/no.Such/Method", lrs_pb2.LoadStatsRequest, lrs_pb2.LoadStatsResponse
    )
    with pytest.raises(grpc.RpcError) as raised:
        unknown.next()
    assert raised.value.code() == grpc.StatusCode.UNIMPLEMENTED
    unknown.close()


def test_a_request_without_a_node_closes_its_stream_with_a_readable_status(arm):
    types = (discovery_pb2.DeltaDiscoveryRequest, discovery_pb2.DeltaDiscoveryResponse)
    client = Stream(arm.controllers.addresses[0], DELTA, *types)
    client.requests.put(types[0](type_url=CDS))
    with pytest.raises(grpc.RpcError) as raised:
        client.next()
    assert raised.value.code() == grpc.StatusCode.INVALID_ARGUMENT and "node" in raised.value.details()
    client.close()


PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + SettingsFrame(0).serialize()


def stream_opening(path=DELTA):
    """Returns the connection preface and the headers that open stream 1."""
    import hpack

    fields = [(":method", "POST"), (":scheme", "http"), (":path", path), (":authority", "x")]
    block = hpack.Encoder().encode([*fields, ("content-type", "application/grpc"), ("te", "trailers")])
    return PREFACE + HeadersFrame(1, block, flags=["END_HEADERS"]).serialize()


def header_flood():
    """Returns a header block that exceeds any limit and never ends."""
    first = HeadersFrame(1, b"\x00\x01a\x7f\xff\x0f" + b"b" * 12000).serialize()
    return PREFACE + first + b"".join(ContinuationFrame(1, b"b" * 16000).serialize() for _ in range(80))


PEERS = {
    "HTTP/1": b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
    "arbitrary bytes": bytes(range(256)) * 8,
    "an invalid frame header": PREFACE + b"\xff\xff\xff\x09\xff\x00\x00\x00\x01" + b"x" * 64,
    "a header flood": header_flood(),
    "a message on an unopened stream": PREFACE + DataFrame(7, b"\0\0\0\0\1x").serialize(),
    "no bytes": b"",
    "a preface only": PREFACE,
    "an oversized message": stream_opening() + DataFrame(1, struct.pack(">BI", 0, 2**30)).serialize(),
    "an undecodable message": stream_opening() + DataFrame(1, struct.pack(">BI", 0, 4) + b"\xff" * 4).serialize(),
    "a compressed message": stream_opening() + DataFrame(1, struct.pack(">BI", 1, 4) + b"abcd").serialize(),
}


@pytest.mark.parametrize("kind", PEERS)
def test_a_peer_that_violates_the_protocol_is_logged_and_does_not_affect_others(arm, kind):
    log = arm.folder / "pilot-0.log"
    before = log.read_text().count("\n")
    host, port = arm.controllers.addresses[0].split(":")
    with socket.create_connection((host, int(port)), WAIT_S) as peer:
        peer.settimeout(WAIT_S)
        peer.sendall(PEERS[kind])
        received = b""
        try:
            # The controller closes the connection, or closes the stream with a status.
            while (data := peer.recv(65536)) and b"grpc-message" not in received:
                received += data
                if "message" in kind and HeadersFrame.type in frame_types(received):
                    break
        except ConnectionResetError:
            pass
    client = DeltaClient(arm.controllers.addresses[0], "interop/8")
    client.acknowledge_until(is_routable)
    client.close()
    lines = log.read_text().splitlines()[before:]
    assert any("connection closed" in line or "stream closed" in line for line in lines)


def frame_types(data):
    """Returns the types of the HTTP/2 frames in the data."""
    types, offset = [], 0
    while offset + 9 <= len(data):
        types.append(data[offset + 3])
        offset += 9 + int.from_bytes(data[offset : offset + 3], "big")
    return types


def test_a_peer_that_floods_pings_and_reads_no_responses_is_disconnected(arm):
    host, port = arm.controllers.addresses[0].split(":")
    pings = PingFrame(0, b"12345678").serialize() * 4000
    with socket.create_connection((host, int(port)), WAIT_S) as peer:
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        peer.settimeout(WAIT_S)
        peer.sendall(stream_opening())
        with pytest.raises(OSError):
            for _ in range(4000):
                peer.sendall(pings)


def test_a_proxy_that_reads_nothing_does_not_delay_others_and_is_disconnected(arm):
    """Guards against a blocked connection that delays a drain for the other proxies.

    The stream that acknowledges nothing is closed; meanwhile a drain reaches another client.
    """
    stuck = GrpcClient(arm.controllers.addresses[0], 1000.0)
    stuck.queue.maxsize = 1
    stream = stuck.open(DELTA)
    first = discovery_pb2.DeltaDiscoveryRequest(type_url=CDS)
    first.node.id, first.node.locality.zone = "stuck/1", "a"
    stuck.send(stream, first.SerializeToString())
    for url, names in ((LEDS, [EJECTED_COLLECTION]), (EDS, ["table-0"])):
        request = discovery_pb2.DeltaDiscoveryRequest(type_url=url, resource_names_subscribe=names)
        stuck.send(stream, request.SerializeToString())
    client = DeltaClient(arm.controllers.addresses[0], "interop/9")
    client.acknowledge_until(is_routable)
    number = arm.plan.endpoints[2].number
    set_endpoint_state(arm, number, "terminating")
    client.acknowledge_until(lambda c: any(name.endswith(f"withdrawn/{number}") for name in c.names(LEDS)))
    set_endpoint_state(arm, number, "in_service")
    for _ in stuck.events():
        pass  # read, but do not acknowledge, until the controller closes the connection
    client.close()
    text = (arm.folder / "pilot-0.log").read_text()
    assert "no acknowledgement within" in text and "stuck/1" in text
