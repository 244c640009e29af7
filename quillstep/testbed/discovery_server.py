"""A stand-in roster: xDS endpoint discovery of the whole fleet as one collection, late by its settings.

It knows what its parent tells it, and tells each subscriber each change after a time drawn for it, in sequence.
It writes down when it told whom of what.
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
from quillstep.testbed.process import STACK_BYTES, EventLog, answer, now_ms, read_setup, serve
from quillstep.xds.events import StreamEnded, StreamEvent, StreamRequest
from quillstep.xds.resources import LEDS
from quillstep.xds.server import DELTA, Peer, Server

FLEET = "xdstp://roster/envoy.config.endpoint.v3.LbEndpoint/fleet/"
STATUS = {"in_service": health_check_pb2.HEALTHY, "terminating": health_check_pb2.DRAINING}


class Subscriber:
    """One pilot's stream: what it holds, and when its next news may be told."""

    def __init__(self, peer: Peer, stream: int, node: str) -> None:
        self.peer, self.stream, self.node = peer, stream, node
        self.held: dict[str, str] = {}
        self.ready_ms = 0.0
        self.nonce = 0


class EndpointChanged(NamedTuple):
    """The parent says what an endpoint is from now on."""

    row: dict[str, Any]


class DiscoveryServer:
    """The list, its subscribers and the news under way."""

    def __init__(self, setup: dict[str, Any]) -> None:
        threading.stack_size(STACK_BYTES)
        self.late_ms = setup["late_ms"]
        self.draw = random.Random(setup["seed"]).uniform
        self.record = EventLog(setup["record"])
        self.list: dict[int, dict[str, Any]] = {row["id"]: dict(row, version=1) for row in setup["endpoints"]}
        self.subscribers: dict[tuple[Peer, int], Subscriber] = {}
        self.later: list[tuple[float, int, Subscriber, list[int]]] = []
        self.counter = 0
        self.inbox: queue.Queue[StreamEvent | EndpointChanged] = queue.Queue(4096)
        self.server = Server(setup.get("listen", "127.0.0.1:0"), LimitSettings(), self.inbox.put)
        self.server.start()
        answer(ready=self.server.address)

    def run(self) -> None:
        while True:
            wait = (self.later[0][0] - now_ms()) / 1000.0 if self.later else 1.0
            try:
                self.take(self.inbox.get(timeout=max(0.0, min(1.0, wait))))
            except queue.Empty:
                pass
            while self.later and self.later[0][0] <= now_ms():
                _, _, subscriber, changed = heapq.heappop(self.later)
                self.tell(subscriber, changed)

    def take(self, event: StreamEvent | EndpointChanged) -> None:
        match event:
            case EndpointChanged(row):
                self.change(row)
            case StreamEnded(peer, stream):
                self.subscribers.pop((peer, stream), None)
            case StreamRequest(peer, stream, request):
                known = self.subscribers.get((peer, stream))
                if known is None and request.resource_names_subscribe:
                    known = self.subscribers[peer, stream] = Subscriber(peer, stream, request.node.id)
                    known.held = dict(request.initial_resource_versions)
                    self.tell(known, list(self.list))

    def change(self, row: dict[str, Any]) -> None:
        """An endpoint is as the parent says from now on; each subscriber hears of it later."""
        before = self.list.get(row["id"], {"version": 0})
        self.list[row["id"]] = {**before, **row, "version": before["version"] + 1}
        self.record.put(what="change", at=now_ms(), endpoint=row["id"], state=row.get("state"))
        for subscriber in self.subscribers.values():
            # News keeps its sequence, so none is earlier than the one before.
            at = max(subscriber.ready_ms, now_ms() + self.draw(0.5, 1.5) * self.late_ms)
            subscriber.ready_ms = at
            self.counter += 1
            heapq.heappush(self.later, (at, self.counter, subscriber, [row["id"]]))

    def tell(self, subscriber: Subscriber, changed: list[int]) -> None:
        if (subscriber.peer, subscriber.stream) not in self.subscribers:
            return
        subscriber.nonce += 1
        response = discovery_pb2.DeltaDiscoveryResponse(type_url=LEDS, nonce=str(subscriber.nonce))
        for number in changed:
            row = self.list[number]
            name, version = f"{FLEET}{number}", str(row["version"])
            if row["state"] == "terminated":
                subscriber.held.pop(name, None)
                response.removed_resources.append(name)
            elif subscriber.held.get(name) != version:
                subscriber.held[name] = version
                resource = response.resources.add(name=name, version=version)
                resource.resource.Pack(line_of(row))
            else:
                continue
            self.record.put(
                what="told", at=now_ms(), pilot=subscriber.node, endpoint=number, state=row["state"],
                started=row.get("began", 0.0), zone=row["zone"],
            )  # fmt: skip
        subscriber.peer.send(subscriber.stream, response.SerializeToString())


def line_of(row: dict[str, Any]) -> endpoint_components_pb2.LbEndpoint:
    line = endpoint_components_pb2.LbEndpoint(health_status=STATUS[row["state"]])
    address = line.endpoint.address.socket_address
    address.address, address.port_value = "127.0.0.1", row["port"]
    line.load_balancing_weight.value = max(1, round(row["listed"] * 100))
    fields = line.metadata.filter_metadata["quillstep"].fields
    fields["id"].number_value = row["id"]
    fields["zone"].string_value = row["zone"]
    if row.get("started_ms"):
        fields["started_ms"].number_value = row["started_ms"]
    return line


def main() -> None:
    roster = DiscoveryServer(read_setup())
    threading.Thread(target=roster.run, daemon=True).start()
    serve(lambda command: roster.inbox.put(EndpointChanged(command)), roster.record)


__all__ = ["DELTA", "DiscoveryServer", "main"]

if __name__ == "__main__":
    main()
