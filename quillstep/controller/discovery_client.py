"""Follows the roster: xDS endpoint discovery (a collection of `LbEndpoint`s), the pilot as its client."""

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

FLEET = "xdstp://roster/envoy.config.endpoint.v3.LbEndpoint/fleet/*"
SCOPE = "quillstep"
DIAL_MS = 300.0
STATES = {health_check_pb2.HEALTHY: "in_service", health_check_pb2.UNKNOWN: "in_service"}


def entry_of(line: endpoint_components_pb2.LbEndpoint, offset_ms: float) -> tuple[EndpointEntry, tuple[str, int]]:
    """A resource as the interface's entry, and the endpoint's address.

    Metadata under `quillstep` gives `id` and `zone`, and `started_ms` (wall clock; absent: long ago).
    `offset_ms` turns wall-clock milliseconds into the pilot's.
    """
    fields = line.metadata.filter_metadata[SCOPE].fields
    started = fields["started_ms"].number_value if "started_ms" in fields else 0.0
    draining = line.health_status == health_check_pb2.DRAINING
    state = STATES.get(line.health_status, "terminating" if draining else "terminated")
    weight = float(line.load_balancing_weight.value) / 100.0 if line.HasField("load_balancing_weight") else 1.0
    address = line.endpoint.address.socket_address
    entry = EndpointEntry(
        int(fields["id"].number_value),
        fields["zone"].string_value,
        state,
        weight,
        started + offset_ms if started else 0.0,
    )
    return entry, (address.address, address.port_value)


class DiscoveryClient:
    """Keeps a stream to the roster; `put` is given its answers."""

    def __init__(
        self, address: str, name: str, zone: str, offset_ms: float, put: Callable[[EndpointListReceived], None]
    ) -> None:
        self.address, self.name, self.zone, self.offset_ms, self.put = address, name, zone, offset_ms, put
        self.known: dict[str, EndpointEntry] = {}  # resource name to its newest entry
        self.versions: dict[str, str] = {}
        self.log = structlog.get_logger("roster")
        threading.Thread(target=self.run, daemon=True).start()

    def run(self) -> None:
        while True:
            try:
                self.follow()
            except (OSError, ValueError) as trouble:
                self.log.warning("roster lost", address=self.address, reason=str(trouble))
            if self.known:
                self.put(EndpointListReceived("error", [], {}))
            time.sleep(DIAL_MS / 1000.0)

    def follow(self) -> None:
        client = GrpcClient(self.address, 1000.0)
        try:
            stream = client.open(DELTA)
            request = discovery_pb2.DeltaDiscoveryRequest(type_url=LEDS, resource_names_subscribe=[FLEET])
            request.node.id = self.name
            request.node.locality.zone = self.zone
            request.initial_resource_versions.update(self.versions)
            client.send(stream, request.SerializeToString())
            for event in client.events():
                if isinstance(event, MessageReceived):
                    response = discovery_pb2.DeltaDiscoveryResponse.FromString(event.data)
                    self.take(response)
                    word = discovery_pb2.DeltaDiscoveryRequest(type_url=LEDS, response_nonce=response.nonce)
                    client.send(stream, word.SerializeToString())
                elif isinstance(event, StreamEnded):
                    raise OSError(f"the roster ended the stream: {event.reason}")
            raise OSError(client.reason)
        finally:
            client.close()

    def take(self, response: discovery_pb2.DeltaDiscoveryResponse) -> None:
        first = not self.known
        entries, addresses = [], {}
        for resource in response.resources:
            line = endpoint_components_pb2.LbEndpoint()
            if not resource.resource.Unpack(line):
                continue
            entry, address = entry_of(line, self.offset_ms)
            self.known[resource.name] = entry
            self.versions[resource.name] = resource.version
            entries.append(entry)
            addresses[entry.endpoint] = address
        for name in response.removed_resources:
            self.versions.pop(name, None)
            if name in self.known:
                entry = self.known.pop(name)
                entries.append(entry._replace(state="terminated"))
        self.put(EndpointListReceived("complete" if first else "partial", entries, addresses))
