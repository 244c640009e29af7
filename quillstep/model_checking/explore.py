"""All states of the real tables and delta streams that a few steps reach: two pilots, one proxy, bytes between them.

The steps are those of `stream.py`: orders, pushes, a response applied, refused or lost, a word, a break, a join.
Each state is a copy of the real objects; states that differ in nothing but numbers count once.  In each of them holds
what is asked of it at once (`at_once`), and from each the rest is played to its end, where nothing may be left behind.
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
from quillstep.routing import Tables
from quillstep.routing.resources import EJECTED
from quillstep.routing.retry_policies import RetryPolicies
from quillstep.xds import resources
from quillstep.xds.delta import DeltaStream
from quillstep.xds.resources import CDS, COLLECTION, EDS, EJECTED_COLLECTION, LDS, LEDS, RDS, Encoder

TICK_MS = 1000.0
CLASSES = [
    ClassSettings(name="save", latency_objective_ms=400.0, deadline_ms=900.0, priority_weight=1.0, semantics="unsafe"),
]
LINES = (1, 2)  # endpoints
PLAYED_MOST = 400  # steps from any state to its end


class ModelController:
    """One pilot's tables, on the clock of its world."""

    def __init__(self, encoder: Encoder, make: Callable[..., Tables]) -> None:
        self.encoder = encoder
        self.ways = RetryPolicies([1], [CLASSES[0].deadline_ms])
        self.tables = make("rate", 0, 6.0, max_ack_delay_ms=600.0, retry_policies=self.ways)
        self.weights = dict.fromkeys(LINES, 10.0)
        self.out: set[int] = set()
        self.tries = 1

    def begin(self) -> None:
        def write(tables: Tables) -> None:
            for endpoint, weight in self.weights.items():
                tables.set_address(endpoint, "127.0.0.1", 9000 + endpoint)
                tables.set_weight(0, endpoint, weight)
            tables.set_admission(0, [0], 1e6, self.tries)

        self.order(write)

    def order(self, write: Callable[[Tables], Any]) -> None:
        """One order, released at once."""
        self.tables.begin()
        write(self.tables)
        for push in self.tables.commit():
            self.tables.release(push.proxy, push.revision)

    def joined(self) -> None:
        if not self.tables.proxies[0].assignments:
            self.order(lambda t: t.assign_table(0, 0, [0]))


@dataclass
class World:
    """One state."""

    pilots: list[ModelController]
    owner: int = -1
    stream: DeltaStream | None = None
    held: dict[str, dict[str, str]] = field(default_factory=dict)  # the proxy's versions by type
    down: list[bytes] = field(default_factory=list)
    up: list[bytes] = field(default_factory=list)
    now_ms: float = TICK_MS
    streams: int = 0

    def copied(self) -> "World":
        """A copy that shares what never changes."""
        shared = {id(pilot.encoder): pilot.encoder for pilot in self.pilots}
        return copy.deepcopy(self, {**shared, id(LIMITS): LIMITS})

    # the two ends

    def join(self, pilot: int) -> None:
        at = self.pilots[pilot]
        self.streams += 1
        stream = DeltaStream(at.tables, at.encoder, LIMITS, f"p{pilot}-{self.streams}", ordered_ms)
        self.owner, self.stream, self.down, self.up = pilot, stream, [], []
        first = self.request(CDS, [])
        first.node.id = "proxy"
        told = stream.initial_versions(first)
        at.tables.add_proxy(0, "a", told)
        at.ways.add_proxy(0, not self.held.get(RDS), 0)
        stream.proxy = 0
        stream.handle_request(first, self.now_ms)
        tables = sorted(self.held.get(CDS, ()))
        for url, names in (
            (LEDS, [EJECTED_COLLECTION, *(f"{COLLECTION}{table}/*" for table in tables)]), (LDS, []),
            (RDS, ["exchanges"]), (EDS, tables),
        ):  # fmt: skip
            if names or url == LDS:
                stream.handle_request(self.request(url, names), self.now_ms)
        at.joined()

    def request(self, url: str, names: list[str]) -> discovery_pb2.DeltaDiscoveryRequest:
        request = discovery_pb2.DeltaDiscoveryRequest(type_url=url, resource_names_subscribe=names)
        request.initial_resource_versions.update(self.held.get(url, {}))
        return request

    def break_off(self) -> None:
        self.pilots[self.owner].tables.remove_proxy(0)
        self.owner, self.stream, self.down, self.up = -1, None, [], []

    def push(self) -> bool:
        assert self.stream
        sent = [response.message for response in self.stream.pump(self.now_ms)]
        self.down += sent
        return bool(sent)

    def take(self, how: str) -> None:
        """The proxy's next response: applied, refused or lost."""
        response = discovery_pb2.DeltaDiscoveryResponse.FromString(self.down.pop(0))
        if how == "lose":
            return
        word = discovery_pb2.DeltaDiscoveryRequest(type_url=response.type_url, response_nonce=response.nonce)
        asked: list[discovery_pb2.DeltaDiscoveryRequest] = []
        if how == "refuse":
            word.error_detail.code, word.error_detail.message = 3, "no"
        else:
            held = self.held.setdefault(response.type_url, {})
            for resource in response.resources:
                if resource.name not in held and response.type_url in (CDS, EDS):
                    url = EDS if response.type_url == CDS else LEDS
                    named = resource.name if url == EDS else f"{COLLECTION}{resource.name}/*"
                    asked.append(discovery_pb2.DeltaDiscoveryRequest(type_url=url, resource_names_subscribe=[named]))
                held[resource.name] = resource.version
            for name in response.removed_resources:
                held.pop(name, None)
        self.up += [each.SerializeToString() for each in (word, *asked)]

    def hear(self) -> None:
        assert self.stream
        self.stream.handle_request(discovery_pb2.DeltaDiscoveryRequest.FromString(self.up.pop(0)), self.now_ms)

    # what is asked of it

    def settled(self) -> bool:
        ledger = self.pilots[self.owner].tables.proxies[0]
        return not (self.down or self.up or ledger.in_flight_updates)

    def play_out(self) -> str:
        """Go on without further faults until nothing moves; what is left behind, in words."""
        if self.owner < 0:
            self.join(0)
        tables = self.pilots[self.owner].tables
        for _ in range(PLAYED_MOST):
            if self.up:
                self.hear()
            elif self.down:
                self.take("apply")
            elif not self.push():
                ledger = tables.proxies[0]
                if self.settled() and ledger.next_retry_ms(self.now_ms) is None:
                    break
                self.now_ms += TICK_MS
        else:
            return "it never settles"
        ledger = tables.proxies[0]
        for key in tables.desired_keys(0):
            want = tables.desired_resource(ledger, key)
            version = self.held.get(resources.type_url(key), {}).get(resources.name(key))
            if want and version != want.version and key not in ledger.nacked:
                return f"{resources.name(key)} stays at {version}, {want.version} is wanted"
            if want and version != want.version and key[0] == EJECTED:
                return f"{resources.name(key)} is wanted out, and was refused for good"
        for url, held in self.held.items():
            for name in held:
                gone = resources.key_of(url, name)
                if tables.desired_resource(ledger, gone) is None and gone not in ledger.nacked:
                    return f"{name} is held, and nobody wants it"
        return ""

    def at_once(self) -> str:
        """What holds in every state; in words what does not."""
        lines = [name for name in self.held.get(LEDS, {}) if "/table-" in name]
        if self.held.get(RDS) and not lines:
            return "routes without a line"
        if self.owner < 0:
            return ""
        pilot = self.pilots[self.owner]
        ledger = pilot.tables.proxies[0]
        waiting = {discovery_pb2.DeltaDiscoveryRequest.FromString(each).response_nonce for each in self.up}
        coming = {discovery_pb2.DeltaDiscoveryResponse.FromString(each).nonce for each in self.down}
        for key, version in ledger.acknowledged.items():
            under_way = any(
                change.key == key and (nonce in waiting or nonce not in coming)
                for nonce, flight in ledger.in_flight_updates.items()
                for change in flight.changes
            )
            has = self.held.get(resources.type_url(key), {}).get(resources.name(key))
            if has != version and not under_way and not self.forgotten(key):
                return f"{resources.name(key)} counts as held at {version}, the proxy has {has}"
        return ""

    def forgotten(self, key: tuple) -> bool:
        """Whether a word on this key is in the up queue of a flight that counts as lost by now."""
        for each in self.up:
            word = discovery_pb2.DeltaDiscoveryRequest.FromString(each)
            if word.type_url == resources.type_url(key) and word.response_nonce:
                return True
        return False

    def sign(self) -> tuple:
        """What tells states apart: all but numbers that only count."""
        rows = []
        for pilot in self.pilots:
            ledger = pilot.tables.proxies.get(0)
            rows.append((
                tuple(pilot.weights.items()), tuple(sorted(pilot.out)), pilot.tries,
                ledger and (
                    frozenset(ledger.acknowledged.items()), frozenset(ledger.pending), frozenset(ledger.nacked.items()),
                    tuple(tuple(change for change in f.changes) for f in ledger.in_flight_updates.values()),
                    tuple(tuple(part) for part in ledger.split_updates), frozenset(ledger.nack_retries_ms),
                    frozenset((key, sent.version) for key, sent in ledger.in_flight.items()),
                ),
            ))  # fmt: skip
        held = frozenset((url, name, version) for url, row in self.held.items() for name, version in row.items())
        down = tuple(without_numbers(discovery_pb2.DeltaDiscoveryResponse.FromString(each)) for each in self.down)
        up = tuple(
            (word.type_url, word.HasField("error_detail"), tuple(word.resource_names_subscribe))
            for word in map(discovery_pb2.DeltaDiscoveryRequest.FromString, self.up)
        )
        return (self.owner, held, down, up, *rows)


LIMITS = LimitSettings()


def ordered_ms(number: int) -> float:
    return float(number)


def without_numbers(response: discovery_pb2.DeltaDiscoveryResponse) -> tuple:
    return (
        response.type_url,
        tuple((resource.name, resource.version) for resource in response.resources),
        tuple(response.removed_resources),
    )


def orders_of(pilot: ModelController) -> Iterator[tuple[str, Callable[[ModelController], None]]]:
    """What a pilot may come to want: a line at another weight, an endpoint out or back, another way of trying."""

    def weigh(p: ModelController) -> None:
        p.weights[1] = 30.0 - p.weights[1]
        p.order(lambda t: t.set_weight(0, 1, p.weights[1]))

    def withdraw(p: ModelController) -> None:
        p.out ^= {2}
        p.order(lambda t: t.set_ejected(2, 2 in p.out, "draining"))

    def retry(p: ModelController) -> None:
        p.tries = 3 - p.tries
        p.order(lambda t: t.set_admission(0, [0], 1e6, p.tries))

    yield "weighs 1", weigh
    yield "withdraws 2" if 2 not in pilot.out else "lets 2 back", withdraw
    yield "changes the way of trying again", retry


def steps(world: World) -> Iterator[tuple[str, World]]:
    """All states that one step leads to, with its name."""
    for at, pilot in enumerate(world.pilots):
        for name, order in orders_of(pilot):
            if at == world.owner or name.startswith("withdraws"):
                after = world.copied()
                order(after.pilots[at])
                yield f"pilot {at} {name}", after
    if world.owner >= 0:
        after = world.copied()
        if len(after.down) < 3 and after.push():
            yield "push", after
        if world.up:
            after = world.copied()
            after.hear()
            yield "word", after
        if world.down and len(world.up) < 3:
            for how in ("apply", "refuse", "lose"):
                after = world.copied()
                after.take(how)
                yield how, after
        after = world.copied()
        after.now_ms += TICK_MS
        if after.push():
            yield "a second later", after
        after = world.copied()
        after.break_off()
        yield "break", after
    else:
        for at in range(len(world.pilots)):
            after = world.copied()
            after.join(at)
            yield f"join pilot {at}", after


def first(make: Callable[..., Tables], joined: bool) -> World:
    """A proxy that holds nothing and has no stream; or one that has joined the first pilot and holds all."""
    encoder = Encoder(CLASSES, 0.8)
    world = World([ModelController(encoder, make) for _ in range(2)])
    for pilot in world.pilots:
        pilot.begin()
    if joined:
        world.join(0)
        world.play_out()
    return world


@dataclass(slots=True)
class Explored:
    """States seen, how many steps deep, in what time; the run to the first that is wrong, and what is wrong there."""

    states: int = 0
    depth: int = 0
    played: int = 0
    took_s: float = 0.0
    run: list[str] = field(default_factory=list)
    wrong: str = ""


def explore(depth: int, states_most: int, make: Callable[..., Tables] = Tables) -> Explored:
    """Breadth first, so that what is found is shortest."""
    begun = time.monotonic()
    found = Explored()
    starts = [(first(make, joined), ["joined"] if joined else []) for joined in (True, False)]
    seen = {world.sign() for world, _ in starts}
    queue: deque[tuple[World, list[str]]] = deque(starts)
    while queue and not found.wrong:
        world, run = queue.popleft()
        found.depth = len(run) - run.count("joined")
        wrong = world.at_once()
        if not wrong:
            wrong = world.copied().play_out()
            found.played += 1
        if wrong:
            found.run, found.wrong = run, wrong
            break
        if len(run) - run.count("joined") == depth:
            continue
        for name, after in steps(world):
            sign = after.sign()
            if sign not in seen and len(seen) < states_most:
                seen.add(sign)
                queue.append((after, [*run, name]))
    found.states = len(seen)
    found.took_s = round(time.monotonic() - begun, 2)
    return found
