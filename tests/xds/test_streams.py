"""A running pilot met by clients that nobody here wrote, and by peers that break the protocol; on loopback."""

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
from memory_fleet import small_day

from quillstep.testbed.scenarios.arm import Arm
from quillstep.testbed.scenarios.plan import plan_scenario
from quillstep.xds.client import GrpcClient
from quillstep.xds.resources import CDS, COLLECTION, EDS, EJECTED_COLLECTION, LDS, LEDS, RDS
from quillstep.xds.server import DELTA, LOAD, SOTW

WAIT_S = 20.0
LIMITS = {"handshake_ms": 500.0, "write_ms": 800.0, "unacknowledged_ms": 2500.0, "message_most_bytes": 65536}


@pytest.fixture(scope="module")
def arm(tmp_path_factory):
    """Four endpoints, a roster and one pilot, without proxies of ours."""
    day = small_day(limits=LIMITS, pilots=1)
    made = Arm(day, plan_scenario(day), "learnt", tmp_path_factory.mktemp("streams") / "learnt")
    try:
        made.start_endpoints()
        made.start_discovery()
        made.controllers.start(0)
        yield made
    finally:
        made.stop()


class Stream:
    """One stream of a standard gRPC client."""

    def __init__(self, address, path, kind, answer):
        self.channel = grpc.insecure_channel(address)
        self.out = queue.Queue()
        method = self.channel.stream_stream(
            path, request_serializer=kind.SerializeToString, response_deserializer=answer.FromString
        )
        self.call = method(iter(self.out.get, None))
        self.answers = queue.Queue()
        threading.Thread(target=self.read, daemon=True).start()

    def read(self):
        try:
            for answer in self.call:
                self.answers.put(answer)
        except grpc.RpcError as trouble:
            self.answers.put(trouble)

    def next(self):
        answer = self.answers.get(timeout=WAIT_S)
        if isinstance(answer, Exception):
            raise answer
        return answer

    def close(self):
        self.out.put(None)
        self.call.cancel()
        self.channel.close()


class DeltaClient(Stream):
    """Speaks deltas; keeps every resource that it acknowledged."""

    def __init__(self, address, name, held=None):
        super().__init__(address, DELTA, discovery_pb2.DeltaDiscoveryRequest, discovery_pb2.DeltaDiscoveryResponse)
        self.held = held or {}
        first = self.request(CDS)
        first.node.id, first.node.locality.zone = name, "a"
        self.out.put(first)
        self.out.put(self.request(LEDS, EJECTED_COLLECTION, *([COLLECTION + "table-0/*"] if held else [])))
        self.out.put(self.request(RDS, "exchanges"))
        if held:
            self.out.put(self.request(EDS, "table-0"))

    def request(self, url, *names):
        request = discovery_pb2.DeltaDiscoveryRequest(type_url=url, resource_names_subscribe=names)
        for (kind, name), resource in self.held.items():
            if kind == url:
                request.initial_resource_versions[name] = resource.version
        return request

    def acknowledge(self, response, refuse=""):
        word = discovery_pb2.DeltaDiscoveryRequest(type_url=response.type_url, response_nonce=response.nonce)
        if refuse:
            word.error_detail.code, word.error_detail.message = 3, refuse
        self.out.put(word)
        for resource in () if refuse else response.resources:
            fresh = (response.type_url, resource.name) not in self.held
            self.held[response.type_url, resource.name] = resource
            if fresh and response.type_url == CDS:
                self.out.put(self.request(EDS, resource.name))
            if fresh and response.type_url == EDS:
                self.out.put(self.request(LEDS, f"{COLLECTION}{resource.name}/*"))
        for name in () if refuse else response.removed_resources:
            self.held.pop((response.type_url, name), None)

    def until(self, there):
        """Acknowledge all that comes until something is so; the responses on the way."""
        met = []
        while not there(self):
            met.append(self.next())
            self.acknowledge(met[-1])
        return met

    def names(self, url):
        return {name for kind, name in self.held if kind == url}


def routed(client):
    return client.names(RDS) == {"exchanges"} and len(client.names(LEDS)) >= 4


def change(arm, number, state):
    arm.discovery.send(id=number, state=state)


def test_a_standard_client_subscribes_acknowledges_and_can_read_what_it_gets(arm):
    client = DeltaClient(arm.controllers.addresses[0], "interop/1")
    client.until(routed)
    ports = {arm.ports[row.number] for row in arm.plan.endpoints}
    met = set()
    for (url, _), resource in client.held.items():
        if url == LEDS:
            line = endpoint_components_pb2.LbEndpoint()
            assert resource.resource.Unpack(line) and line.load_balancing_weight.value > 0
            met.add(line.endpoint.address.socket_address.port_value)
    assert met == ports
    routes = route_pb2.RouteConfiguration()
    assert client.held[RDS, "exchanges"].resource.Unpack(routes)
    assert [route.name for route in routes.virtual_hosts[0].routes] == ["lookup", "issue"]
    client.close()


def test_a_client_that_comes_back_is_sent_only_what_differs(arm):
    client = DeltaClient(arm.controllers.addresses[0], "interop/2")
    client.until(routed)
    # Levels and weights may move while it is away; what it lost is certain to differ.
    client.close()
    lost = next(key for key in client.held if key[0] == LEDS)
    held = {key: value for key, value in client.held.items() if key != lost}
    again = DeltaClient(arm.controllers.addresses[0], "interop/2", held)
    met = again.until(lambda c: lost in c.held)
    sent = {(m.type_url, r.name) for m in met for r in m.resources}
    assert lost in sent and (CDS, "table-0") not in sent and (EDS, "table-0") not in sent
    again.close()


def test_a_drain_that_a_client_refuses_is_logged_and_tried_again_until_it_holds(arm):
    client = DeltaClient(arm.controllers.addresses[0], "interop/3")
    client.until(routed)
    number = arm.plan.endpoints[0].number
    change(arm, number, "terminating")
    refused = None
    while refused is None:
        response = client.next()
        drain = any(resource.name.endswith(f"withdrawn/{number}") for resource in response.resources)
        client.acknowledge(response, refuse="no such endpoint here" if drain else "")
        refused = response if drain and len(response.resources) == 1 else None
    client.until(lambda c: any(name.endswith(f"withdrawn/{number}") for name in c.names(LEDS)))
    change(arm, number, "in_service")
    client.until(lambda c: not any("withdrawn" in name for name in c.names(LEDS)))
    text = (arm.folder / "pilot-0.log").read_text()
    assert "version rejected" in text and "no such endpoint here" in text
    client.close()


def test_an_unknown_type_gets_a_readable_answer_and_the_stream_goes_on(arm):
    client = DeltaClient(arm.controllers.addresses[0], "interop/4")
    url = "type.googleapis.com/envoy.service.runtime.v3.Runtime"
    client.out.put(client.request(url, "x"))
    while (answer := client.next()).type_url != url:
        client.acknowledge(answer)
    assert answer.resource_errors[0].resource_name.name == "x"
    assert "Runtime" in answer.resource_errors[0].error_detail.message
    client.until(routed)
    client.close()


def test_unsubscribed_lines_come_no_more_and_come_back_when_asked_for_again(arm):
    client = DeltaClient(arm.controllers.addresses[0], "interop/5")
    client.until(routed)
    table = f"{COLLECTION}table-0/*"
    client.out.put(discovery_pb2.DeltaDiscoveryRequest(type_url=LEDS, resource_names_unsubscribe=[table]))
    for key in [key for key in client.held if key[0] == LEDS]:
        del client.held[key]
    client.out.put(discovery_pb2.DeltaDiscoveryRequest(type_url=LEDS, resource_names_subscribe=[table]))
    client.until(lambda c: len(c.names(LEDS)) >= 4)
    client.close()


def test_a_client_without_deltas_gets_whole_states(arm):
    client = Stream(arm.controllers.addresses[0], SOTW, discovery_pb2.DiscoveryRequest, discovery_pb2.DiscoveryResponse)

    def say(url, names=(), response=None):
        request = discovery_pb2.DiscoveryRequest(type_url=url, resource_names=names)
        request.node.id, request.node.locality.zone = "interop/6", "a"
        if response:
            request.version_info, request.response_nonce = response.version_info, response.nonce
        client.out.put(request)

    for url, names in ((CDS, ()), (LDS, ()), (RDS, ["exchanges"])):
        say(url, names)
    seen = {}
    while RDS not in seen:
        response = client.next()
        seen[response.type_url] = response
        say(response.type_url, {EDS: ["table-0"], RDS: ["exchanges"]}.get(response.type_url, ()), response)
        if response.type_url == CDS:
            say(EDS, ["table-0"])
    assignment = endpoint_pb2.ClusterLoadAssignment()
    assert seen[EDS].resources[0].Unpack(assignment)
    assert len(assignment.endpoints[0].lb_endpoints) == 4
    client.close()


def test_load_reports_are_asked_for_and_an_unknown_method_is_refused(arm):
    client = Stream(arm.controllers.addresses[0], LOAD, lrs_pb2.LoadStatsRequest, lrs_pb2.LoadStatsResponse)
    request = lrs_pb2.LoadStatsRequest()
    request.node.id = "interop/7"
    client.out.put(request)
    answer = client.next()
    assert answer.send_all_clusters and answer.load_reporting_interval.ToMilliseconds() == 300
    client.close()
    odd = Stream(arm.controllers.addresses[0], "/no.Such/Method", lrs_pb2.LoadStatsRequest, lrs_pb2.LoadStatsResponse)
    with pytest.raises(grpc.RpcError) as refused:
        odd.next()
    assert refused.value.code() == grpc.StatusCode.UNIMPLEMENTED
    odd.close()


def test_a_request_without_a_node_ends_its_stream_with_a_readable_status(arm):
    kinds = (discovery_pb2.DeltaDiscoveryRequest, discovery_pb2.DeltaDiscoveryResponse)
    client = Stream(arm.controllers.addresses[0], DELTA, *kinds)
    client.out.put(kinds[0](type_url=CDS))
    with pytest.raises(grpc.RpcError) as refused:
        client.next()
    assert refused.value.code() == grpc.StatusCode.INVALID_ARGUMENT and "node" in refused.value.details()
    client.close()


PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + SettingsFrame(0).serialize()


def opened(path=DELTA):
    """The preface and an opened stream, as bytes."""
    import hpack

    fields = [(":method", "POST"), (":scheme", "http"), (":path", path), (":authority", "x")]
    block = hpack.Encoder().encode([*fields, ("content-type", "application/grpc"), ("te", "trailers")])
    return PREFACE + HeadersFrame(1, block, flags=["END_HEADERS"]).serialize()


def header_flood():
    """A block of headers that never ends."""
    first = HeadersFrame(1, b"\x00\x01a\x7f\xff\x0f" + b"b" * 12000).serialize()
    return PREFACE + first + b"".join(ContinuationFrame(1, b"b" * 16000).serialize() for _ in range(80))


PEERS = {
    "HTTP/1": b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
    "noise": bytes(range(256)) * 8,
    "a frame that lies": PREFACE + b"\xff\xff\xff\x09\xff\x00\x00\x00\x01" + b"x" * 64,
    "a header flood": header_flood(),
    "a message on no stream": PREFACE + DataFrame(7, b"\0\0\0\0\1x").serialize(),
    "half open": b"",
    "a preface and no more": PREFACE,
    "an oversized message": opened() + DataFrame(1, struct.pack(">BI", 0, 2**30)).serialize(),
    "a message that is none": opened() + DataFrame(1, struct.pack(">BI", 0, 4) + b"\xff" * 4).serialize(),
    "a compressed message": opened() + DataFrame(1, struct.pack(">BI", 1, 4) + b"abcd").serialize(),
}


@pytest.mark.parametrize("kind", PEERS)
def test_a_peer_that_breaks_the_protocol_harms_nobody_else_and_is_logged(arm, kind):
    log = arm.folder / "pilot-0.log"
    before = log.read_text().count("\n")
    host, port = arm.controllers.addresses[0].split(":")
    with socket.create_connection((host, int(port)), WAIT_S) as peer:
        peer.settimeout(WAIT_S)
        peer.sendall(PEERS[kind])
        answer = b""
        try:
            # Ended by the pilot, or its one stream ended with a status the peer can read.
            while (data := peer.recv(65536)) and b"grpc-message" not in answer:
                answer += data
                if "message" in kind and HeadersFrame.type in frame_types(answer):
                    break
        except ConnectionResetError:
            pass
    client = DeltaClient(arm.controllers.addresses[0], "interop/8")
    client.until(routed)
    client.close()
    lines = log.read_text().splitlines()[before:]
    assert any("connection closed" in line or "stream closed" in line for line in lines)


def frame_types(data):
    """The types of the frames in a run of bytes."""
    found, at = [], 0
    while at + 9 <= len(data):
        found.append(data[at + 3])
        at += 9 + int.from_bytes(data[at : at + 3], "big")
    return found


def test_a_flood_of_pings_that_reads_no_answers_is_cut_off(arm):
    host, port = arm.controllers.addresses[0].split(":")
    pings = PingFrame(0, b"12345678").serialize() * 4000
    with socket.create_connection((host, int(port)), WAIT_S) as peer:
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        peer.settimeout(WAIT_S)
        peer.sendall(opened())
        with pytest.raises(OSError):
            for _ in range(4000):
                peer.sendall(pings)


def test_a_proxy_that_reads_nothing_costs_its_own_stream_alone(arm):
    """Its stream is ended when it acknowledges nothing; drains reach the others meanwhile."""
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
    client.until(routed)
    number = arm.plan.endpoints[2].number
    change(arm, number, "terminating")
    client.until(lambda c: any(name.endswith(f"withdrawn/{number}") for name in c.names(LEDS)))
    change(arm, number, "in_service")
    for _ in stuck.events():
        pass  # reads at last, and still acknowledges nothing: until its pilot ends it
    client.close()
    text = (arm.folder / "pilot-0.log").read_text()
    assert "no acknowledgement within" in text and "stuck/1" in text
