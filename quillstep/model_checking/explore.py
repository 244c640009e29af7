"""Explores all states of the real tables and delta streams that a few steps reach: two controllers, one proxy.

Steps are a planner update, sending, a response applied, rejected or lost, an ack, a disconnect, a join; messages are
serialized.  Each state is a copy of the real objects; states that differ only in counters count once.  In each state
`violation` must find nothing, and from each the run goes on without faults until it is idle, when the proxy must hold
the desired state.
"""

import copy
import time
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

from envoy.service.discovery.v3 import discovery_pb2

from quillstep.config.controller import LimitSettings
from quillstep.config.fleet import ClassSettings
from quillstep.routing import Key, ProxyState, Tables
from quillstep.routing.resources import EJECTED
from quillstep.routing.retry_policies import RetryPolicies
from quillstep.xds import resources
from quillstep.xds.delta import DeltaStream
from quillstep.xds.resources import CDS, COLLECTION, EDS, EJECTED_COLLECTION, LDS, LEDS, RDS, Encoder

TICK_MS = 1000.0
CLASSES = [
    ClassSettings(name="save", latency_objective_ms=400.0, deadline_ms=900.0, priority_weight=1.0, semantics="unsafe"),
]
ENDPOINTS = (1, 2)
WEIGHT_SUM = 30.0  # Sum of the two weights between which endpoint 1 alternates.
RETRY_POLICY_SUM = 3  # Sum of the two retry policies between which the class alternates.
MAX_STEPS_UNTIL_IDLE = 400
MAX_RESPONSES = 3  # Limit of responses in transit to the proxy.
MAX_REQUESTS = 3  # Limit of requests in transit to the controller.
LIMITS = LimitSettings()


class ModelController:
    """A controller's tables; times come from the `World`."""

    def __init__(self, encoder: Encoder, make_tables: Callable[..., Tables]) -> None:
        self.encoder = encoder
        self.retry_policies = RetryPolicies([1], [CLASSES[0].deadline_ms])
        self.tables = make_tables("rate", 0, 6.0, max_ack_delay_ms=600.0, retry_policies=self.retry_policies)
        self.weights = dict.fromkeys(ENDPOINTS, 10.0)
        self.ejected: set[int] = set()
        self.retry_policy = 1

    def begin(self) -> None:
        """Writes the initial table."""

        def write(tables: Tables) -> None:
            for endpoint, weight in self.weights.items():
                tables.set_address(endpoint, "127.0.0.1", 9000 + endpoint)
                tables.set_weight(0, endpoint, weight)
            tables.set_admission(0, [0], 1e6, self.retry_policy)

        self.update(write)

    def update(self, write: Callable[[Tables], Any]) -> None:
        """Commits one update and releases it at once."""
        self.tables.begin()
        write(self.tables)
        for update in self.tables.commit():
            self.tables.release(update.proxy, update.revision)

    def assign(self) -> None:
        """Assigns the table to the proxy, unless it is assigned already."""
        if not self.tables.proxies[0].assignments:
            self.update(lambda tables: tables.assign_table(0, 0, [0]))


@dataclass
class World:
    """One state; `owner` is the controller that has the proxy's stream, -1 if none has."""

    controllers: list[ModelController]
    owner: int = -1
    stream: DeltaStream | None = None
    held: dict[str, dict[str, str]] = field(default_factory=dict)  # Versions that the proxy holds, by type and name.
    responses: list[bytes] = field(default_factory=list)  # Responses in transit to the proxy.
    requests: list[bytes] = field(default_factory=list)  # Requests in transit to the controller.
    now_ms: float = TICK_MS
    streams: int = 0

    def copy(self) -> "World":
        """Returns a copy that shares the immutable objects."""
        memo = {id(controller.encoder): controller.encoder for controller in self.controllers}
        return copy.deepcopy(self, {**memo, id(LIMITS): LIMITS})

    def owner_state(self) -> ProxyState:
        """Returns the owner's state of the proxy."""
        return self.controllers[self.owner].tables.proxies[0]

    # Steps.

    def join(self, number: int) -> None:
        """Opens a stream to a controller, on which the proxy reports the versions that it holds."""
        controller = self.controllers[number]
        self.streams += 1
        epoch = f"p{number}-{self.streams}"
        stream = DeltaStream(controller.tables, controller.encoder, LIMITS, epoch, revision_time_ms)
        self.owner, self.stream, self.responses, self.requests = number, stream, [], []
        first = self._subscription(CDS, [])
        first.node.id = "proxy"
        reported = stream.initial_versions(first)
        controller.tables.add_proxy(0, "a", reported)
        controller.retry_policies.add_proxy(0, not self.held.get(RDS), 0)
        stream.proxy = 0
        stream.handle_request(first, self.now_ms)
        tables = sorted(self.held.get(CDS, ()))
        weights = [EJECTED_COLLECTION, *(f"{COLLECTION}{table}/*" for table in tables)]
        for url, names in ((LEDS, weights), (LDS, []), (RDS, ["exchanges"]), (EDS, tables)):
            if names or url == LDS:
                stream.handle_request(self._subscription(url, names), self.now_ms)
        controller.assign()

    def _subscription(self, url: str, names: list[str]) -> discovery_pb2.DeltaDiscoveryRequest:
        request = discovery_pb2.DeltaDiscoveryRequest(type_url=url, resource_names_subscribe=names)
        request.initial_resource_versions.update(self.held.get(url, {}))
        return request

    def disconnect(self) -> None:
        """Closes the stream; messages in transit are lost."""
        self.controllers[self.owner].tables.remove_proxy(0)
        self.owner, self.stream, self.responses, self.requests = -1, None, [], []

    def send(self) -> bool:
        """Sends the responses that the controller may send now; returns whether there were any."""
        assert self.stream
        sent = [response.message for response in self.stream.pump(self.now_ms)]
        self.responses += sent
        return bool(sent)

    def receive(self, outcome: str) -> None:
        """Applies, rejects or loses the proxy's next response (`apply`, `refuse`, `lose`)."""
        response = discovery_pb2.DeltaDiscoveryResponse.FromString(self.responses.pop(0))
        if outcome == "lose":
            return
        reply = discovery_pb2.DeltaDiscoveryRequest(type_url=response.type_url, response_nonce=response.nonce)
        subscriptions: list[discovery_pb2.DeltaDiscoveryRequest] = []
        if outcome == "refuse":
            reply.error_detail.code, reply.error_detail.message = 3, "no"
        else:
            subscriptions = self._apply(response)
        self.requests += [request.SerializeToString() for request in (reply, *subscriptions)]

    def _apply(self, response: discovery_pb2.DeltaDiscoveryResponse) -> list[discovery_pb2.DeltaDiscoveryRequest]:
        """Applies a response to the proxy's state; returns the subscriptions that follow from it."""
        subscriptions = []
        held = self.held.setdefault(response.type_url, {})
        for resource in response.resources:
            if resource.name not in held and response.type_url in (CDS, EDS):
                url = EDS if response.type_url == CDS else LEDS
                name = resource.name if url == EDS else f"{COLLECTION}{resource.name}/*"
                subscriptions.append(discovery_pb2.DeltaDiscoveryRequest(type_url=url, resource_names_subscribe=[name]))
            held[resource.name] = resource.version
        for name in response.removed_resources:
            held.pop(name, None)
        return subscriptions

    def deliver_request(self) -> None:
        """Delivers the proxy's next request to the controller."""
        assert self.stream
        self.stream.handle_request(discovery_pb2.DeltaDiscoveryRequest.FromString(self.requests.pop(0)), self.now_ms)

    # Properties.

    def is_settled(self) -> bool:
        """Returns whether nothing is in transit or in flight."""
        return not (self.responses or self.requests or self.owner_state().in_flight_updates)

    def run_until_idle(self) -> str:
        """Continues without faults until nothing is left to do; returns what is wrong then, empty if nothing is."""
        if self.owner < 0:
            self.join(0)
        for _ in range(MAX_STEPS_UNTIL_IDLE):
            if self.requests:
                self.deliver_request()
            elif self.responses:
                self.receive("apply")
            elif not self.send():
                if self.is_settled() and self.owner_state().next_retry_ms(self.now_ms) is None:
                    return self._missing_resource() or self._unwanted_resource()
                self.now_ms += TICK_MS
        return "it never settles"

    def _missing_resource(self) -> str:
        """Describes a desired resource that the proxy does not hold; empty if there is none."""
        tables, state = self.controllers[self.owner].tables, self.owner_state()
        for key in tables.desired_keys(0):
            desired = tables.desired_resource(state, key)
            version = self._held_version(key)
            if not desired or version == desired.version:
                continue
            if key not in state.nacked:
                return f"{resources.name(key)} stays at {version}, {desired.version} is wanted"
            if key[0] == EJECTED:
                return f"{resources.name(key)} is wanted out, and was refused for good"
        return ""

    def _unwanted_resource(self) -> str:
        """Describes a resource that the proxy holds and should not; empty if there is none."""
        tables, state = self.controllers[self.owner].tables, self.owner_state()
        for url, held in self.held.items():
            for name in held:
                key = resources.key_of(url, name)
                if tables.desired_resource(state, key) is None and key not in state.nacked:
                    return f"{name} is held, and nobody wants it"
        return ""

    def _held_version(self, key: Key) -> str | None:
        return self.held.get(resources.type_url(key), {}).get(resources.name(key))

    def violation(self) -> str:
        """Describes a property that is violated in this state; empty if there is none."""
        has_weights = any("/table-" in name for name in self.held.get(LEDS, {}))
        if self.held.get(RDS) and not has_weights:
            return "routes without a line"
        if self.owner < 0:
            return ""
        state = self.owner_state()
        replied = {request.response_nonce for request in map(parse_request, self.requests)}
        in_transit = {response.nonce for response in map(parse_response, self.responses)}
        for key, version in state.acknowledged.items():
            is_in_flight = any(
                change.key == key and (nonce in replied or nonce not in in_transit)
                for nonce, update in state.in_flight_updates.items()
                for change in update.changes
            )
            held = self._held_version(key)
            if held != version and not is_in_flight and not self._has_unread_reply(key):
                return f"{resources.name(key)} counts as held at {version}, the proxy has {held}"
        return ""

    def _has_unread_reply(self, key: Key) -> bool:
        """Whether a reply to a response of this key's type is in transit; its update may already count as lost."""
        url = resources.type_url(key)
        return any(request.type_url == url and request.response_nonce for request in map(parse_request, self.requests))

    def fingerprint(self) -> tuple[Any, ...]:
        """Returns a value that identifies the state, without counters such as nonces and revisions."""
        held = frozenset((url, name, version) for url, row in self.held.items() for name, version in row.items())
        responses = tuple(response_fingerprint(parse_response(data)) for data in self.responses)
        requests = tuple(
            (request.type_url, request.HasField("error_detail"), tuple(request.resource_names_subscribe))
            for request in map(parse_request, self.requests)
        )
        controllers = (controller_fingerprint(controller) for controller in self.controllers)
        return (self.owner, held, responses, requests, *controllers)


def controller_fingerprint(controller: ModelController) -> tuple[Any, ...]:
    """Returns a value that identifies a controller's state."""
    weights, ejected = tuple(controller.weights.items()), tuple(sorted(controller.ejected))
    state = controller.tables.proxies.get(0)
    return (weights, ejected, controller.retry_policy, state and proxy_fingerprint(state))


def proxy_fingerprint(state: ProxyState) -> tuple[Any, ...]:
    """Returns a value that identifies a controller's state of a proxy."""
    return (
        frozenset(state.acknowledged.items()),
        frozenset(state.pending),
        frozenset(state.nacked.items()),
        tuple(tuple(update.changes) for update in state.in_flight_updates.values()),
        tuple(tuple(part) for part in state.split_updates),
        frozenset(state.nack_retries_ms),
        frozenset((key, in_flight.version) for key, in_flight in state.in_flight.items()),
    )


def parse_request(data: bytes) -> discovery_pb2.DeltaDiscoveryRequest:
    """Parses a request."""
    return discovery_pb2.DeltaDiscoveryRequest.FromString(data)


def parse_response(data: bytes) -> discovery_pb2.DeltaDiscoveryResponse:
    """Parses a response."""
    return discovery_pb2.DeltaDiscoveryResponse.FromString(data)


def revision_time_ms(revision: int) -> float:
    """Returns the time of a revision; the model uses the revision itself."""
    return float(revision)


def response_fingerprint(response: discovery_pb2.DeltaDiscoveryResponse) -> tuple[Any, ...]:
    """Returns a value that identifies a response, without its nonce and revision."""
    return (
        response.type_url,
        tuple((resource.name, resource.version) for resource in response.resources),
        tuple(response.removed_resources),
    )


def planner_updates(controller: ModelController) -> Iterator[tuple[str, Callable[[ModelController], None]]]:
    """Yields the changes that a planner may make: a weight, an ejection, a retry policy."""

    def change_weight(target: ModelController) -> None:
        target.weights[1] = WEIGHT_SUM - target.weights[1]
        target.update(lambda tables: tables.set_weight(0, 1, target.weights[1]))

    def eject(target: ModelController) -> None:
        target.ejected ^= {2}
        target.update(lambda tables: tables.set_ejected(2, 2 in target.ejected, "draining"))

    def change_policy(target: ModelController) -> None:
        target.retry_policy = RETRY_POLICY_SUM - target.retry_policy
        target.update(lambda tables: tables.set_admission(0, [0], 1e6, target.retry_policy))

    yield "sets a weight", change_weight
    yield "ejects" if 2 not in controller.ejected else "restores", eject
    yield "sets a retry policy", change_policy


def successors(world: World) -> Iterator[tuple[str, World]]:
    """Yields all states that one step leads to, each with the step's name."""
    for number, controller in enumerate(world.controllers):
        for name, change in planner_updates(controller):
            if number == world.owner or name.startswith("ejects"):
                after = world.copy()
                change(after.controllers[number])
                yield f"controller {number} {name}", after
    if world.owner >= 0:
        yield from stream_successors(world)
    else:
        for number in range(len(world.controllers)):
            after = world.copy()
            after.join(number)
            yield f"join controller {number}", after


def stream_successors(world: World) -> Iterator[tuple[str, World]]:
    """Yields the states that one step on the proxy's stream leads to."""
    after = world.copy()
    if len(after.responses) < MAX_RESPONSES and after.send():
        yield "send", after
    if world.requests:
        after = world.copy()
        after.deliver_request()
        yield "answer", after
    if world.responses and len(world.requests) < MAX_REQUESTS:
        for outcome in ("apply", "refuse", "lose"):
            after = world.copy()
            after.receive(outcome)
            yield outcome, after
    after = world.copy()
    after.now_ms += TICK_MS
    if after.send():
        yield "send a second later", after
    after = world.copy()
    after.disconnect()
    yield "disconnect", after


def initial_world(make_tables: Callable[..., Tables], joined: bool) -> World:
    """Returns a state in which the proxy holds nothing, or has joined the first controller and holds everything."""
    encoder = Encoder(CLASSES, 0.8)
    world = World([ModelController(encoder, make_tables) for _ in range(2)])
    for controller in world.controllers:
        controller.begin()
    if joined:
        world.join(0)
        world.run_until_idle()
    return world


@dataclass(slots=True)
class Exploration:
    """The result of an exploration.

    Attributes:
        states: The number of different states.
        depth: The number of steps to the last state examined.
        completed: The number of states from which the run was continued until idle.
        took_s: The duration, seconds.
        run: The steps to the first state with a violation; empty without one.
        violation: What is wrong there; empty without one.
    """

    states: int = 0
    depth: int = 0
    completed: int = 0
    took_s: float = 0.0
    run: list[str] = field(default_factory=list)
    violation: str = ""


def explore(depth: int, max_states: int, make_tables: Callable[..., Tables] = Tables) -> Exploration:
    """Explores breadth first, so that the run to a violation is the shortest.

    Args:
        depth: The maximum number of steps.
        max_states: The maximum number of different states.
        make_tables: The class of tables: the real one or a mutant.
    """
    begun_s = time.monotonic()
    result = Exploration()
    starts = [(initial_world(make_tables, joined), ["joined"] if joined else []) for joined in (True, False)]
    seen = {world.fingerprint() for world, _ in starts}
    queue: deque[tuple[World, list[str]]] = deque(starts)
    while queue:
        world, run = queue.popleft()
        result.depth = len(run) - run.count("joined")
        violation = world.violation()
        if not violation:
            violation = world.copy().run_until_idle()
            result.completed += 1
        if violation:
            result.run, result.violation = run, violation
            break
        if result.depth == depth:
            continue
        for name, after in successors(world):
            fingerprint = after.fingerprint()
            if fingerprint not in seen and len(seen) < max_states:
                seen.add(fingerprint)
                queue.append((after, [*run, name]))
    result.states = len(seen)
    result.took_s = round(time.monotonic() - begun_s, 2)
    return result
