"""A stand-in for xDS endpoint discovery.  It serves the whole fleet as one collection and delays every change.

Its parent sends it each change of an endpoint.  It forwards the change to every subscriber after a random delay, in
order, and records what it sent to whom.
"""

import heapq
import queue
import random
import threading
from typing import Any, NamedTuple

from envoy.config.core.v3 import health_check_pb2
from envoy.config.endpoint.v3 import endpoint_components_pb2
from envoy.service.discovery.v3 import discovery_pb2

from quillstep.config.controller import LimitSettings
from quillstep.net.clock import now_ms
from quillstep.net.threads import set_thread_stack_size
from quillstep.testbed.process import EventLog, answer, read_setup, serve
from quillstep.xds.events import StreamEnded, StreamEvent, StreamRequest
from quillstep.xds.resources import LEDS
from quillstep.xds.server import Peer, Server

COLLECTION = "xdstp://roster/envoy.config.endpoint.v3.LbEndpoint/fleet/"
HEALTH_STATUS = {"in_service": health_check_pb2.HEALTHY, "terminating": health_check_pb2.DRAINING}
MAX_QUEUED_EVENTS = 4096
MAX_WAIT_S = 1.0
WEIGHT_UNITS = 100  # integer weight on the wire that stands for a listed weight of 1
MIN_DELAY_FACTOR, MAX_DELAY_FACTOR = 0.5, 1.5  # bounds of the random factor on the configured delay


class Subscriber:
    """One controller's stream: the versions that it holds, and the earliest time for its next change."""

    def __init__(self, peer: Peer, stream: int, node: str, held_versions: dict[str, str]) -> None:
        self.peer, self.stream, self.node = peer, stream, node
        self.held_versions = held_versions  # keyed by resource name
        self.next_due_ms = 0.0
        self.nonce = 0


class EndpointChanged(NamedTuple):
    """The parent's command: an endpoint's new state."""

    row: dict[str, Any]


class PendingChange(NamedTuple):
    """A change to send later; ordered by due time, then by number."""

    due_ms: float
    number: int
    subscriber: Subscriber
    endpoints: list[int]


class DiscoveryServer:
    """The endpoint list, its subscribers and the pending changes; only the thread that calls `run` uses them."""

    def __init__(self, setup: dict[str, Any]) -> None:
        """Listen, and send the address to the parent."""
        set_thread_stack_size()
        self.delay_ms = setup["late_ms"]
        self.draw_uniform = random.Random(setup["seed"]).uniform
        self.record = EventLog(setup["record"])
        self.endpoints: dict[int, dict[str, Any]] = {row["id"]: dict(row, version=1) for row in setup["endpoints"]}
        self.subscribers: dict[tuple[Peer, int], Subscriber] = {}
        self.pending: list[PendingChange] = []  # a heap
        self.pending_count = 0  # changes queued so far; numbers them
        self.events: queue.Queue[StreamEvent | EndpointChanged] = queue.Queue(MAX_QUEUED_EVENTS)
        self.server = Server(setup.get("listen", "127.0.0.1:0"), LimitSettings(), self.events.put)
        self.server.start()
        answer(ready=self.server.address)

    def run(self) -> None:
        """Handle events and send pending changes, until the process ends."""
        while True:
            wait_s = (self.pending[0].due_ms - now_ms()) / 1000.0 if self.pending else MAX_WAIT_S
            try:
                self._handle(self.events.get(timeout=max(0.0, min(MAX_WAIT_S, wait_s))))
            except queue.Empty:
                pass
            while self.pending and self.pending[0].due_ms <= now_ms():
                change = heapq.heappop(self.pending)
                self._send(change.subscriber, change.endpoints)

    def _handle(self, event: StreamEvent | EndpointChanged) -> None:
        match event:
            case EndpointChanged(row):
                self._change(row)
            case StreamEnded(peer, stream):
                self.subscribers.pop((peer, stream), None)
            case StreamRequest(peer, stream, request):
                if (peer, stream) not in self.subscribers and request.resource_names_subscribe:
                    held_versions = dict(request.initial_resource_versions)
                    subscriber = Subscriber(peer, stream, request.node.id, held_versions)
                    self.subscribers[peer, stream] = subscriber
                    self._send(subscriber, list(self.endpoints))

    def _change(self, row: dict[str, Any]) -> None:
        before = self.endpoints.get(row["id"], {"version": 0})
        self.endpoints[row["id"]] = {**before, **row, "version": before["version"] + 1}
        self.record.put(what="change", at=now_ms(), endpoint=row["id"], state=row.get("state"))
        for subscriber in self.subscribers.values():
            # Changes stay in order: none is due before the previous one.
            delay_ms = self.draw_uniform(MIN_DELAY_FACTOR, MAX_DELAY_FACTOR) * self.delay_ms
            subscriber.next_due_ms = max(subscriber.next_due_ms, now_ms() + delay_ms)
            self.pending_count += 1
            change = PendingChange(subscriber.next_due_ms, self.pending_count, subscriber, [row["id"]])
            heapq.heappush(self.pending, change)

    def _send(self, subscriber: Subscriber, endpoints: list[int]) -> None:
        if (subscriber.peer, subscriber.stream) not in self.subscribers:
            return
        subscriber.nonce += 1
        response = discovery_pb2.DeltaDiscoveryResponse(type_url=LEDS, nonce=str(subscriber.nonce))
        for number in endpoints:
            row = self.endpoints[number]
            name, version = f"{COLLECTION}{number}", str(row["version"])
            if row["state"] == "terminated":
                subscriber.held_versions.pop(name, None)
                response.removed_resources.append(name)
            elif subscriber.held_versions.get(name) != version:
                subscriber.held_versions[name] = version
                resource = response.resources.add(name=name, version=version)
                resource.resource.Pack(make_resource(row))
            else:
                continue
            self.record.put(
                what="told", at=now_ms(), pilot=subscriber.node, endpoint=number, state=row["state"],
                started=row.get("began", 0.0), zone=row["zone"],
            )  # fmt: skip
        subscriber.peer.send(subscriber.stream, response.SerializeToString())


def make_resource(row: dict[str, Any]) -> endpoint_components_pb2.LbEndpoint:
    """Return the xDS resource of a listed endpoint."""
    resource = endpoint_components_pb2.LbEndpoint(health_status=HEALTH_STATUS[row["state"]])
    address = resource.endpoint.address.socket_address
    address.address, address.port_value = "127.0.0.1", row["port"]
    resource.load_balancing_weight.value = max(1, round(row["listed"] * WEIGHT_UNITS))
    fields = resource.metadata.filter_metadata["quillstep"].fields
    fields["id"].number_value = row["id"]
    fields["zone"].string_value = row["zone"]
    if row.get("started_ms"):
        fields["started_ms"].number_value = row["started_ms"]
    return resource


def main() -> None:
    """Serve the endpoint list that the parent sets up."""
    discovery = DiscoveryServer(read_setup())
    threading.Thread(target=discovery.run, name="discovery", daemon=True).start()
    serve(lambda command: discovery.events.put(EndpointChanged(command)), discovery.record)


if __name__ == "__main__":
    main()
