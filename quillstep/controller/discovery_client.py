"""The xDS client for endpoint discovery: subscribes to a collection of `LbEndpoint` resources."""

import math
import threading
import time
from collections.abc import Callable

import structlog
from envoy.config.core.v3 import health_check_pb2
from envoy.config.endpoint.v3 import endpoint_components_pb2
from envoy.service.discovery.v3 import discovery_pb2
from google.protobuf.message import DecodeError

from quillstep.controller.events import EndpointListReceived
from quillstep.controller.start_times import ListedEndpoint, StartTimes
from quillstep.errors import QuillstepError
from quillstep.net.clock import now_ms
from quillstep.net.http import MAX_PORT
from quillstep.xds.client import GrpcClient
from quillstep.xds.grpc import INVALID_ARGUMENT
from quillstep.xds.http2 import MessageReceived, StreamEnded
from quillstep.xds.resources import LEDS
from quillstep.xds.server import DELTA

ENDPOINTS_COLLECTION = "xdstp://roster/envoy.config.endpoint.v3.LbEndpoint/fleet/*"
METADATA_NAMESPACE = "quillstep"
RECONNECT_DELAY_MS = 300.0
CONNECT_TIMEOUT_MS = 1000.0
MAX_ENDPOINT_NUMBER = 2**53  # numbers are sent as doubles, which represent integers exactly up to this value
MAX_LOGGED_REJECTIONS = 3
STATES = {health_check_pb2.HEALTHY: "in_service", health_check_pb2.UNKNOWN: "in_service"}


class MalformedEndpointError(QuillstepError, ValueError):
    """A resource is not an endpoint, or a field of it is out of range; the message names the resource and the field."""


def unpack_endpoint(resource: discovery_pb2.Resource) -> endpoint_components_pb2.LbEndpoint | None:
    """Returns the endpoint in a resource; None for a resource of another type, which is not for this client.

    Raises:
        MalformedEndpointError: The content cannot be decoded.
    """
    lb_endpoint = endpoint_components_pb2.LbEndpoint()
    try:
        return lb_endpoint if resource.resource.Unpack(lb_endpoint) else None
    except DecodeError as error:
        raise MalformedEndpointError(f"{resource.name}: cannot be decoded") from error


def parse_endpoint(
    lb_endpoint: endpoint_components_pb2.LbEndpoint, name: str
) -> tuple[ListedEndpoint, tuple[str, int]]:
    """Returns a resource's entry in the endpoint list, and the endpoint's address.

    The metadata namespace `quillstep` holds `id`, `zone` and optionally `started_ms` (wall clock; absent if the
    endpoint started long ago).

    Raises:
        MalformedEndpointError: A field is out of range; `name` is the resource's name for the message.
    """
    fields = lb_endpoint.metadata.filter_metadata[METADATA_NAMESPACE].fields
    started = fields["started_ms"].number_value if "started_ms" in fields else 0.0
    is_draining = lb_endpoint.health_status == health_check_pb2.DRAINING
    state = STATES.get(lb_endpoint.health_status, "terminating" if is_draining else "terminated")
    weight = (
        float(lb_endpoint.load_balancing_weight.value) / 100.0 if lb_endpoint.HasField("load_balancing_weight") else 1.0
    )
    address, number = lb_endpoint.endpoint.address.socket_address, fields["id"].number_value
    if not (number.is_integer() and 0 <= number <= MAX_ENDPOINT_NUMBER):
        raise MalformedEndpointError(f"{name}: id: expected an integer up to 2^53, got {number:g}")
    if not math.isfinite(started):
        raise MalformedEndpointError(f"{name}: started_ms: expected a finite number, got {started:g}")
    if address.port_value > MAX_PORT:
        raise MalformedEndpointError(f"{name}: port_value: expected up to {MAX_PORT}, got {address.port_value}")
    entry = ListedEndpoint(int(number), fields["zone"].string_value, state, weight, started)
    return entry, (address.address, address.port_value)


class DiscoveryClient:
    """Keeps a stream to the discovery server open, in its own thread, and calls `publish` with each endpoint list.

    The thread is a daemon and is not joined, because it may block while it waits for the server.
    """

    def __init__(
        self,
        address: str,
        name: str,
        zone: str,
        start_times: StartTimes,
        publish: Callable[[EndpointListReceived], None],
    ) -> None:
        self.address, self.name, self.zone = address, name, zone
        self.start_times, self.publish = start_times, publish
        self.entries: dict[str, ListedEndpoint] = {}  # newest entry by resource name
        self.versions: dict[str, str] = {}
        self.log = structlog.get_logger("discovery")
        threading.Thread(target=self._run, name="discovery-client", daemon=True).start()

    def _run(self) -> None:
        while True:
            try:
                self._run_stream()
            except (OSError, ValueError) as error:
                self.log.warning("discovery unavailable", address=self.address, reason=str(error))
            except DecodeError:
                self.log.warning("discovery unavailable", address=self.address, reason="malformed response")
            except Exception as error:  # keeps the thread running: the next stream may send other data
                self.log.error("discovery failed with an internal error", address=self.address, exc_info=error)
            if self.entries:
                self.publish(EndpointListReceived("error", [], {}))
            time.sleep(RECONNECT_DELAY_MS / 1000.0)

    def _run_stream(self) -> None:
        """Runs one stream until it closes.

        Raises:
            OSError: The stream or the connection was closed.
        """
        client = GrpcClient(self.address, CONNECT_TIMEOUT_MS)
        try:
            stream = client.open(DELTA)
            request = discovery_pb2.DeltaDiscoveryRequest(
                type_url=LEDS, resource_names_subscribe=[ENDPOINTS_COLLECTION]
            )
            request.node.id = self.name
            request.node.locality.zone = self.zone
            request.initial_resource_versions.update(self.versions)
            client.send(stream, request.SerializeToString())
            for event in client.events():
                if isinstance(event, MessageReceived):
                    response = discovery_pb2.DeltaDiscoveryResponse.FromString(event.data)
                    rejected = self._handle_response(response)
                    client.send(stream, _acknowledgement(response.nonce, rejected))
                elif isinstance(event, StreamEnded):
                    raise OSError(f"stream closed by the server: {event.reason}")
            raise OSError(client.reason)
        finally:
            client.close()

    def _handle_response(self, response: discovery_pb2.DeltaDiscoveryResponse) -> list[str]:
        """Publishes the valid resources of a response; returns the reasons for those that were rejected.

        A first list with rejected resources is published as partial: the rejected endpoints may exist.
        """
        is_first = not self.entries
        listed, addresses, rejected = [], {}, []
        for resource in response.resources:
            try:
                lb_endpoint = unpack_endpoint(resource)
                if lb_endpoint is None:
                    continue
                entry, address = parse_endpoint(lb_endpoint, resource.name)
            except MalformedEndpointError as error:
                rejected.append(str(error))
                continue
            self.entries[resource.name] = entry
            self.versions[resource.name] = resource.version
            listed.append(entry)
            addresses[entry.endpoint] = address
        for name in response.removed_resources:
            self.versions.pop(name, None)
            if name in self.entries:
                entry = self.entries.pop(name)
                listed.append(entry._replace(state="terminated"))
        if rejected:
            self.log.warning("endpoints rejected", rejected=len(rejected), reasons=rejected[:MAX_LOGGED_REJECTIONS])
        is_complete = is_first and not rejected
        entries = self.start_times.to_entries(listed, is_complete, now_ms())
        self.publish(EndpointListReceived("complete" if is_complete else "partial", entries, addresses))
        return rejected


def _acknowledgement(nonce: str, rejected: list[str]) -> bytes:
    """Returns the request that acknowledges a response, or rejects it if resources of it were rejected."""
    request = discovery_pb2.DeltaDiscoveryRequest(type_url=LEDS, response_nonce=nonce)
    if rejected:
        request.error_detail.code = INVALID_ARGUMENT
        request.error_detail.message = "; ".join(rejected[:MAX_LOGGED_REJECTIONS])
    return request.SerializeToString()
