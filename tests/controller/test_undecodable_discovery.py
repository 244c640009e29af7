"""Bytes of the xDS discovery server that cannot be decoded: the client goes on, and follows what comes later."""

import queue
import threading

import pytest
from envoy.config.core.v3 import health_check_pb2
from envoy.config.endpoint.v3 import endpoint_components_pb2
from envoy.service.discovery.v3 import discovery_pb2

from quillstep.config.controller import LimitSettings
from quillstep.controller.discovery_client import METADATA_NAMESPACE, DiscoveryClient
from quillstep.controller.start_times import StartTimes
from quillstep.xds.events import StreamRequest
from quillstep.xds.server import Server

WAIT_S = 10.0


def resource(number, port=9001, **fields):
    endpoint = endpoint_components_pb2.LbEndpoint(health_status=health_check_pb2.HEALTHY)
    address = endpoint.endpoint.address.socket_address
    address.address, address.port_value = "127.0.0.1", port
    metadata = endpoint.metadata.filter_metadata[METADATA_NAMESPACE].fields
    metadata["id"].number_value, metadata["zone"].string_value = number, "a"
    for name, value in fields.items():
        metadata[name].number_value = value
    wrapped = discovery_pb2.Resource(name=f"e{number}", version="1")
    wrapped.resource.Pack(endpoint)
    return wrapped


def undecodable_resource():
    wrapped = resource(8)
    wrapped.resource.value = b"\xff\xff\xff\xff"
    return wrapped


def response(*resources, nonce="n"):
    return discovery_pb2.DeltaDiscoveryResponse(resources=resources, nonce=nonce).SerializeToString()


class DiscoveryServer:
    """Answers the first request of each stream with the next action, and keeps all requests."""

    def __init__(self, *actions):
        self.actions, self.requests = list(actions), queue.Queue()
        self.server = Server("127.0.0.1:0", LimitSettings(), self.handle)
        self.server.start()

    def handle(self, event):
        if isinstance(event, StreamRequest):
            self.requests.put(event.message)
            if not event.message.response_nonce and self.actions:
                self.actions.pop(0)(event.peer, event.stream)


def sends(data):
    return lambda peer, stream: peer.send(stream, data)


def ends_with(status):
    def end(peer, stream):
        peer.with_codec(lambda codec: codec.h2.send_headers(stream, [(b"grpc-status", status)], end_stream=True))

    return end


@pytest.fixture
def follow():
    """Starts a client of a server with these actions; returns the queue of the lists that it publishes."""
    servers, clients = [], []

    def start(*actions):
        servers.append(DiscoveryServer(*actions))
        published = queue.Queue()
        address = servers[0].server.address
        clients.append(DiscoveryClient(address, "c", "a", StartTimes(0.0, 1000.0), published.put))
        published.requests = servers[0].requests
        return published

    yield start
    for client in clients:
        client._run_stream = wait_for_ever  # the client would dial until the end of the process
    for each in servers:
        each.server.stop()


def wait_for_ever():
    threading.Event().wait()


def endpoints(event):
    return [entry.endpoint for entry in event.entries]


# Guards against the thread `discovery-client` ending, or waiting for ever: no endpoint would be followed any more.
@pytest.mark.parametrize(
    "action",
    [sends(b"\xff" * 9), ends_with(b"\xb2"), ends_with(b"9" * 5000), ends_with(b"-1"), ends_with(b"")],
    ids=["malformed response", "status that is no ASCII digit", "status of 5,000 digits", "negative", "empty"],
)  # fmt: skip
def test_the_client_dials_again_after_a_stream_that_cannot_be_decoded(follow, action):
    published = follow(action, sends(response(resource(1))))
    assert endpoints(published.get(timeout=WAIT_S)) == [1]


# Guards against one malformed resource that ends the thread, or keeps all other resources from being followed.
@pytest.mark.parametrize(
    "malformed",
    [
        undecodable_resource(), resource(float("nan")), resource(float("inf")), resource(-1.0), resource(1.5),
        resource(1e300), resource(8, port=65536), resource(8, started_ms=float("nan")),
        resource(8, started_ms=float("inf")),
    ],
    ids=["payload", "nan", "inf", "negative", "fraction", "large", "high port", "start nan", "start inf"],
)  # fmt: skip
def test_a_malformed_resource_is_rejected_alone(follow, malformed):
    published = follow(sends(response(malformed, resource(1), nonce="n1")))
    assert endpoints(published.get(timeout=WAIT_S)) == [1]
    requests = [published.requests.get(timeout=WAIT_S) for _ in range(2)]
    assert requests[1].response_nonce == "n1" and malformed.name in requests[1].error_detail.message
