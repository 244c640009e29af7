"""Explores all states of the real tables and delta streams that a few steps reach: two controllers, one proxy.

Steps are planner updates, sending, a response applied, rejected or lost, an ack, a disconnect, a join; between the two
ends there are bytes.  Each state is a copy of the real objects; states that differ in nothing but numbers count once.
In each of them `violation` must find nothing, and from each the rest is played to its end, where the proxy must hold
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
WEIGHT_SUM = 30.0  # of the two weights that endpoint 1 has by turns
RETRY_POLICY_SUM = 3  # of the two retry policies
MAX_STEPS_TO_REST = 400
MAX_RESPONSES = 3  # on their way to the proxy
MAX_REQUESTS = 3  # on their way to the controller
LIMITS = LimitSettings()


class ModelController:
    """One controller's tables, on the clock of its world."""

    def __init__(self, encoder: Encoder, make_tables: Callable[..., Tables]) -> None:
        self.encoder = encoder
        self.retry_policies = RetryPolicies([1], [CLASSES[0].deadline_ms])
        self.tables = make_tables("rate", 0, 6.0, max_ack_delay_ms=600.0, retry_policies=self.retry_policies)
        self.weights = dict.fromkeys(ENDPOINTS, 10.0)
        self.ejected: set[int] = set()
        self.retry_policy = 1

    def begin(self) -> None:
        """Writes the first table."""

        def write(tables: Tables) -> None:
            for endpoint, weight in self.weights.items():
                tables.set_address(endpoint, "127.0.0.1", 9000 + endpoint)
                tables.set_weight(0, endpoint, weight)
            tables.set_admission(0, [0], 1e6, self.retry_policy)

        self.update(write)

    def update(self, write: Callable[[Tables], Any]) -> None:
        """Makes one update, released at once."""
        self.tables.begin()
        write(self.tables)
        for update in self.tables.commit():
            self.tables.release(update.proxy, update.revision)

    def assign(self) -> None:
        """Assigns the table to the proxy, unless it has it."""
        if not self.tables.proxies[0].assignments:
            self.update(lambda tables: tables.assign_table(0, 0, [0]))


@dataclass
class World:
    """One state; `owner` is the controller that has the proxy's stream, -1: none."""

    controllers: list[ModelController]
    owner: int = -1
    stream: DeltaStream | None = None
    held: dict[str, dict[str, str]] = field(default_factory=dict)  # the proxy's versions by type and name
    responses: list[bytes] = field(default_factory=list)  # on their way to the proxy
    requests: list[bytes] = field(default_factory=list)  # on their way to the controller
    now_ms: float = TICK_MS
    streams: int = 0

    def copied(self) -> "World":
        """Returns a copy that shares what never changes."""
        shared = {id(controller.encoder): controller.encoder for controller in self.controllers}
        return copy.deepcopy(self, {**shared, id(LIMITS): LIMITS})

    def owner_state(self) -> ProxyState:
        """Returns what the owner knows of the proxy."""
        return self.controllers[self.owner].tables.proxies[0]

    # steps

    def join(self, number: int) -> None:
        """The proxy opens a stream to a controller and reports what it holds."""
        controller = self.controllers[number]
        self.streams += 1
        epoch = f"p{number}-{self.streams}"
        stream = DeltaStream(controller.tables, controller.encoder, LIMITS, epoch, ordered_ms)
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
        """The stream ends with all that is on its way."""
        self.controllers[self.owner].tables.remove_proxy(0)
        self.owner, self.stream, self.responses, self.requests = -1, None, [], []

    def send(self) -> bool:
        """The controller sends what may be sent now; returns whether that is anything."""
        assert self.stream
        sent = [response.message for response in self.stream.pump(self.now_ms)]
        self.responses += sent
        return bool(sent)

    def receive(self, outcome: str) -> None:
        """The proxy's next response is applied, refused or lost (`apply`, `refuse`, `lose`)."""
        response = discovery_pb2.DeltaDiscoveryResponse.FromString(self.responses.pop(0))
        if outcome == "lose":
            return
        answer = discovery_pb2.DeltaDiscoveryRequest(type_url=response.type_url, response_nonce=response.nonce)
        subscriptions: list[discovery_pb2.DeltaDiscoveryRequest] = []
        if outcome == "refuse":
            answer.error_detail.code, answer.error_detail.message = 3, "no"
        else:
            subscriptions = self._apply(response)
        self.requests += [request.SerializeToString() for request in (answer, *subscriptions)]

    def _apply(self, response: discovery_pb2.DeltaDiscoveryResponse) -> list[discovery_pb2.DeltaDiscoveryRequest]:
        """Applies a response to what the proxy holds; returns what it subscribes to for it."""
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
        """The controller reads the proxy's next request."""
        assert self.stream
        self.stream.handle_request(discovery_pb2.DeltaDiscoveryRequest.FromString(self.requests.pop(0)), self.now_ms)

    # properties

    def is_settled(self) -> bool:
        """Whether nothing is on its way."""
        return not (self.responses or self.requests or self.owner_state().in_flight_updates)

    def run_to_rest(self) -> str:
        """Goes on without further faults until nothing moves; returns what is left behind, in words."""
        if self.owner < 0:
            self.join(0)
        for _ in range(MAX_STEPS_TO_REST):
            if self.requests:
                self.deliver_request()
            elif self.responses:
                self.receive("apply")
            elif not self.send():
                if self.is_settled() and self.owner_state().next_retry_ms(self.now_ms) is None:
                    return self._missing() or self._unwanted()
                self.now_ms += TICK_MS
        return "it never settles"

    def _missing(self) -> str:
        """Returns a desired resource that the proxy does not hold, in words."""
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

    def _unwanted(self) -> str:
        """Returns a resource that the proxy holds and should not, in words."""
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
        """Returns what does not hold in this state, in words; empty: all does."""
        has_weights = any("/table-" in name for name in self.held.get(LEDS, {}))
        if self.held.get(RDS) and not has_weights:
            return "routes without a line"
        if self.owner < 0:
            return ""
        state = self.owner_state()
        answered = {request.response_nonce for request in map(request_of, self.requests)}
        coming = {response.nonce for response in map(response_of, self.responses)}
        for key, version in state.acknowledged.items():
            is_in_flight = any(
                change.key == key and (nonce in answered or nonce not in coming)
                for nonce, update in state.in_flight_updates.items()
                for change in update.changes
            )
            held = self._held_version(key)
            if held != version and not is_in_flight and not self._has_unread_answer(key):
                return f"{resources.name(key)} counts as held at {version}, the proxy has {held}"
        return ""

    def _has_unread_answer(self, key: Key) -> bool:
        """Whether the answer to a response with this key's type is on its way; its update may count as lost by now."""
        url = resources.type_url(key)
        return any(request.type_url == url and request.response_nonce for request in map(request_of, self.requests))

    def fingerprint(self) -> tuple[Any, ...]:
        """Returns what tells states apart: all but numbers that only count."""
        held = frozenset((url, name, version) for url, row in self.held.items() for name, version in row.items())
        responses = tuple(without_numbers(response_of(data)) for data in self.responses)
        requests = tuple(
            (request.type_url, request.HasField("error_detail"), tuple(request.resource_names_subscribe))
            for request in map(request_of, self.requests)
        )
        controllers = (controller_fingerprint(controller) for controller in self.controllers)
        return (self.owner, held, responses, requests, *controllers)


def controller_fingerprint(controller: ModelController) -> tuple[Any, ...]:
    """Returns what tells a controller's states apart."""
    weights, ejected = tuple(controller.weights.items()), tuple(sorted(controller.ejected))
    state = controller.tables.proxies.get(0)
    return (weights, ejected, controller.retry_policy, state and proxy_fingerprint(state))


def proxy_fingerprint(state: ProxyState) -> tuple[Any, ...]:
    """Returns what tells a proxy's states apart."""
    return (
        frozenset(state.acknowledged.items()),
        frozenset(state.pending),
        frozenset(state.nacked.items()),
        tuple(tuple(update.changes) for update in state.in_flight_updates.values()),
        tuple(tuple(part) for part in state.split_updates),
        frozenset(state.nack_retries_ms),
        frozenset((key, in_flight.version) for key, in_flight in state.in_flight.items()),
    )


def request_of(data: bytes) -> discovery_pb2.DeltaDiscoveryRequest:
    """Returns the request that these bytes are."""
    return discovery_pb2.DeltaDiscoveryRequest.FromString(data)


def response_of(data: bytes) -> discovery_pb2.DeltaDiscoveryResponse:
    """Returns the response that these bytes are."""
    return discovery_pb2.DeltaDiscoveryResponse.FromString(data)


def ordered_ms(revision: int) -> float:
    """Returns when a revision was made: revisions stand for times here."""
    return float(revision)


def without_numbers(response: discovery_pb2.DeltaDiscoveryResponse) -> tuple[Any, ...]:
    """Returns a response without its nonce and revision."""
    return (
        response.type_url,
        tuple((resource.name, resource.version) for resource in response.resources),
        tuple(response.removed_resources),
    )


def planner_updates(controller: ModelController) -> Iterator[tuple[str, Callable[[ModelController], None]]]:
    """Yields what a planner may change: a weight, an ejection, a retry policy."""

    def weigh(target: ModelController) -> None:
        target.weights[1] = WEIGHT_SUM - target.weights[1]
        target.update(lambda tables: tables.set_weight(0, 1, target.weights[1]))

    def eject(target: ModelController) -> None:
        target.ejected ^= {2}
        target.update(lambda tables: tables.set_ejected(2, 2 in target.ejected, "draining"))

    def change_policy(target: ModelController) -> None:
        target.retry_policy = RETRY_POLICY_SUM - target.retry_policy
        target.update(lambda tables: tables.set_admission(0, [0], 1e6, target.retry_policy))

    yield "sets a weight", weigh
    yield "ejects" if 2 not in controller.ejected else "restores", eject
    yield "sets a retry policy", change_policy


def successors(world: World) -> Iterator[tuple[str, World]]:
    """Yields all states that one step leads to, with its name."""
    for number, controller in enumerate(world.controllers):
        for name, change in planner_updates(controller):
            if number == world.owner or name.startswith("ejects"):
                after = world.copied()
                change(after.controllers[number])
                yield f"controller {number} {name}", after
    if world.owner >= 0:
        yield from stream_successors(world)
    else:
        for number in range(len(world.controllers)):
            after = world.copied()
            after.join(number)
            yield f"join controller {number}", after


def stream_successors(world: World) -> Iterator[tuple[str, World]]:
    """Yields the states that one step on the proxy's stream leads to."""
    after = world.copied()
    if len(after.responses) < MAX_RESPONSES and after.send():
        yield "send", after
    if world.requests:
        after = world.copied()
        after.deliver_request()
        yield "answer", after
    if world.responses and len(world.requests) < MAX_REQUESTS:
        for outcome in ("apply", "refuse", "lose"):
            after = world.copied()
            after.receive(outcome)
            yield outcome, after
    after = world.copied()
    after.now_ms += TICK_MS
    if after.send():
        yield "send a second later", after
    after = world.copied()
    after.disconnect()
    yield "disconnect", after


def initial_world(make_tables: Callable[..., Tables], joined: bool) -> World:
    """Returns a world whose proxy holds nothing and has no stream, or has joined the first controller and holds all."""
    encoder = Encoder(CLASSES, 0.8)
    world = World([ModelController(encoder, make_tables) for _ in range(2)])
    for controller in world.controllers:
        controller.begin()
    if joined:
        world.join(0)
        world.run_to_rest()
    return world


@dataclass(slots=True)
class Exploration:
    """States found, how many steps deep, in what time; the run to the first that is wrong, and what is wrong there."""

    states: int = 0
    depth: int = 0
    played: int = 0
    took_s: float = 0.0
    run: list[str] = field(default_factory=list)
    wrong: str = ""


def explore(depth: int, max_states: int, make_tables: Callable[..., Tables] = Tables) -> Exploration:
    """Explores breadth first, so that the run that is found is the shortest."""
    begun_s = time.monotonic()
    found = Exploration()
    starts = [(initial_world(make_tables, joined), ["joined"] if joined else []) for joined in (True, False)]
    known = {world.fingerprint() for world, _ in starts}
    queue: deque[tuple[World, list[str]]] = deque(starts)
    while queue:
        world, run = queue.popleft()
        found.depth = len(run) - run.count("joined")
        wrong = world.violation()
        if not wrong:
            wrong = world.copied().run_to_rest()
            found.played += 1
        if wrong:
            found.run, found.wrong = run, wrong
            break
        if found.depth == depth:
            continue
        for name, after in successors(world):
            fingerprint = after.fingerprint()
            if fingerprint not in known and len(known) < max_states:
                known.add(fingerprint)
                queue.append((after, [*run, name]))
    found.states = len(known)
    found.took_s = round(time.monotonic() - begun_s, 2)
    return found
