"""Follows endpoint discovery over xDS (a collection of `LbEndpoint`s), with the controller as its client."""

import threading
import time
from collections.abc import Callable

import structlog
from envoy.config.core.v3 import health_check_pb2
from envoy.config.endpoint.v3 import endpoint_components_pb2
from envoy.service.discovery.v3 import discovery_pb2

from quillstep.controller.events import EndpointListReceived
from quillstep.planner.messages import EndpointEntry
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
    line: endpoint_components_pb2.LbEndpoint, clock_offset_ms: float
) -> tuple[EndpointEntry, tuple[str, int]]:
    """Returns a resource as an entry, and the endpoint's address.

    Metadata under `quillstep` gives `id` and `zone`, and `started_ms` (wall clock; absent: long ago).
    `clock_offset_ms` turns wall-clock milliseconds into the controller's.
    """
    fields = line.metadata.filter_metadata[METADATA_NAMESPACE].fields
    started = fields["started_ms"].number_value if "started_ms" in fields else 0.0
    is_draining = line.health_status == health_check_pb2.DRAINING
    state = STATES.get(line.health_status, "terminating" if is_draining else "terminated")
    weight = float(line.load_balancing_weight.value) / 100.0 if line.HasField("load_balancing_weight") else 1.0
    address = line.endpoint.address.socket_address
    entry = EndpointEntry(
        int(fields["id"].number_value),
        fields["zone"].string_value,
        state,
        weight,
        started + clock_offset_ms if started else 0.0,
    )
    return entry, (address.address, address.port_value)


class DiscoveryClient:
    """Keeps a stream to discovery, in a thread of its own; `publish` is given its answers.

    The thread is a daemon and ends with the process: it may wait for discovery.
    """

    def __init__(
        self,
        address: str,
        name: str,
        zone: str,
        clock_offset_ms: float,
        publish: Callable[[EndpointListReceived], None],
    ) -> None:
        self.address, self.name, self.zone = address, name, zone
        self.clock_offset_ms, self.publish = clock_offset_ms, publish
        self.known: dict[str, EndpointEntry] = {}  # resource name to its newest entry
        self.versions: dict[str, str] = {}
        self.log = structlog.get_logger("discovery")
        threading.Thread(target=self._run, name="discovery-client", daemon=True).start()

    def _run(self) -> None:
        while True:
            try:
                self._follow()
            except (OSError, ValueError) as error:
                self.log.warning("discovery lost", address=self.address, reason=str(error))
            if self.known:
                self.publish(EndpointListReceived("error", [], {}))
            time.sleep(RECONNECT_DELAY_MS / 1000.0)

    def _follow(self) -> None:
        """Follows one stream to its end.

        Raises:
            OSError: The stream or the connection has ended.
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
                    raise OSError(f"discovery ended the stream: {event.reason}")
            raise OSError(client.reason)
        finally:
            client.close()

    def _handle_response(self, response: discovery_pb2.DeltaDiscoveryResponse) -> None:
        is_first = not self.known
        entries, addresses = [], {}
        for resource in response.resources:
            line = endpoint_components_pb2.LbEndpoint()
            if not resource.resource.Unpack(line):
                continue
            entry, address = parse_endpoint(line, self.clock_offset_ms)
            self.known[resource.name] = entry
            self.versions[resource.name] = resource.version
            entries.append(entry)
            addresses[entry.endpoint] = address
        for name in response.removed_resources:
            self.versions.pop(name, None)
            if name in self.known:
                entry = self.known.pop(name)
                entries.append(entry._replace(state="terminated"))
        self.publish(EndpointListReceived("complete" if is_first else "partial", entries, addresses))
