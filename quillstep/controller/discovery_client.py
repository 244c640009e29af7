"""The xDS client for endpoint discovery: subscribes to a collection of `LbEndpoint` resources."""

import threading
import time
from collections.abc import Callable

import structlog
from envoy.config.core.v3 import health_check_pb2
from envoy.config.endpoint.v3 import endpoint_components_pb2
from envoy.service.discovery.v3 import discovery_pb2

from quillstep.controller.events import EndpointListReceived
from quillstep.controller.start_times import ListedEndpoint, StartTimes
from quillstep.net.clock import now_ms
from quillstep.xds.client import GrpcClient
from quillstep.xds.http2 import MessageReceived, StreamEnded
from quillstep.xds.resources import LEDS
from quillstep.xds.server import DELTA

ENDPOINTS_COLLECTION = "xdstp://roster/envoy.config.endpoint.v3.LbEndpoint/fleet/*"
METADATA_NAMESPACE = "quillstep"
RECONNECT_DELAY_MS = 300.0
CONNECT_TIMEOUT_MS = 1000.0
STATES = {health_check_pb2.HEALTHY: "in_service", health_check_pb2.UNKNOWN: "in_service"}


def parse_endpoint(
    lb_endpoint: endpoint_components_pb2.LbEndpoint,
) -> tuple[ListedEndpoint, tuple[str, int]]:
    """Returns a resource's entry in the endpoint list, and the endpoint's address.

    The metadata namespace `quillstep` holds `id`, `zone` and optionally `started_ms` (wall clock; absent if the
    endpoint started long ago).
    """
    fields = lb_endpoint.metadata.filter_metadata[METADATA_NAMESPACE].fields
    started = fields["started_ms"].number_value if "started_ms" in fields else 0.0
    is_draining = lb_endpoint.health_status == health_check_pb2.DRAINING
    state = STATES.get(lb_endpoint.health_status, "terminating" if is_draining else "terminated")
    weight = (
        float(lb_endpoint.load_balancing_weight.value) / 100.0 if lb_endpoint.HasField("load_balancing_weight") else 1.0
    )
    address = lb_endpoint.endpoint.address.socket_address
    entry = ListedEndpoint(int(fields["id"].number_value), fields["zone"].string_value, state, weight, started)
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
                    self._handle_response(response)
                    ack = discovery_pb2.DeltaDiscoveryRequest(type_url=LEDS, response_nonce=response.nonce)
                    client.send(stream, ack.SerializeToString())
                elif isinstance(event, StreamEnded):
                    raise OSError(f"stream closed by the server: {event.reason}")
            raise OSError(client.reason)
        finally:
            client.close()

    def _handle_response(self, response: discovery_pb2.DeltaDiscoveryResponse) -> None:
        is_first = not self.entries
        listed, addresses = [], {}
        for resource in response.resources:
            lb_endpoint = endpoint_components_pb2.LbEndpoint()
            if not resource.resource.Unpack(lb_endpoint):
                continue
            entry, address = parse_endpoint(lb_endpoint)
            self.entries[resource.name] = entry
            self.versions[resource.name] = resource.version
            listed.append(entry)
            addresses[entry.endpoint] = address
        for name in response.removed_resources:
            self.versions.pop(name, None)
            if name in self.entries:
                entry = self.entries.pop(name)
                listed.append(entry._replace(state="terminated"))
        entries = self.start_times.to_entries(listed, is_first, now_ms())
        self.publish(EndpointListReceived("complete" if is_first else "partial", entries, addresses))
