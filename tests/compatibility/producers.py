"""What the program makes or reads, as bytes or plain JSON values, for `record.py` to write and the tests to compare.

The values hold names of the wire, of settings and of stored data alone; a renamed class or field of the code changes
nothing here but the imports and the attributes read.
"""

import dataclasses
import json
import random
from pathlib import Path

import msgspec
from envoy.service.discovery.v3 import discovery_pb2
from memory_fleet import MemoryController, apply_update, controller_settings

from quillstep.config.controller import ControllerSettings, RolloutGateSettings
from quillstep.config.errors import ConfigError
from quillstep.config.loading import load
from quillstep.config.scenario import ScenarioSettings
from quillstep.config.start_settings import planner_config_from_start
from quillstep.files.generation_files import GenerationEncoder, encode_manifest
from quillstep.net.framing import add_length
from quillstep.planner.messages import DownstreamStats, UpstreamStats
from quillstep.platform import configuration, endpoint_list
from quillstep.platform.protocol import events, validation
from quillstep.platform.protocol.codec import MessageCodec
from quillstep.platform.protocol.connections import ConnectionLimits, ConnectionManager
from quillstep.platform.protocol.updates import ProtocolOutput
from quillstep.recording import read_incarnations, read_records
from quillstep.routing.resources import make_resource
from quillstep.simulator import decode
from quillstep.simulator.host import Host
from quillstep.store import Store
from quillstep.xds.resources import CDS, EDS, LDS, RDS
from quillstep.xds.sotw import SotwStream

GOLDEN = Path(__file__).parent / "golden"
CLASS_NAMES = ["lookup", "quote", "issue"]


def plain(value):
    """A value as JSON has it, so that a typed one equals the bare one of before."""
    return json.loads(json.dumps(value, default=bare))


def bare(value):
    """A record as the list of its values."""
    return list(dataclasses.astuple(value)) if dataclasses.is_dataclass(value) else str(value)


# the simulator's wire


class Adapter:
    """The adapter without its process."""

    def __init__(self):
        self.host = Host()

    def answer(self, lines):
        for line in lines:
            self.host.handle(decode.parse_line(line))
        return self.host.reply()


# the platform's protocol


def outgoing_messages(seed=11, rounds=240):
    """All bytes that seeded orders come to, a line of hexadecimal for each message: round, proxy, bytes."""
    draw = random.Random(seed)
    orders = ProtocolOutput(CLASS_NAMES, lambda endpoint: None, lambda token, at_ms: None, lambda text: None)
    joined, lines = set(), []
    for number in range(rounds):
        for _ in range(draw.randrange(0, 7)):
            write_one_order(draw, orders, joined)
        if draw.random() < 0.5:
            orders.request_ack(draw.randrange(64))
        for proxy, message in orders.flush():
            lines.append(f"{number} {proxy} {message.hex()}")
    return "\n".join(lines) + "\n"


def write_one_order(draw, orders, joined):
    endpoint, table = f"ep-{draw.randrange(14)}", draw.choice([0, 0, 1, 2, 1003])
    classes = draw.choice([[0, 1, 2], [0], [1, 2], []])
    kind = draw.random()
    if kind < 0.4:
        orders.set_weight(table, endpoint, draw.choice([0, 1, 3.5, 10, 12.0]))
    elif kind < 0.55:
        orders.set_ejected(endpoint, draw.random() < 0.6)
    elif kind < 0.7 and joined:
        orders.assign_table(draw.choice(sorted(joined)), table, classes)
    elif kind < 0.85:
        orders.set_admission(
            draw.choice([table, 65535]), classes, draw.choice([1e6, 0.25, 33.125, 0.0]), draw.randrange(4)
        )
    elif kind < 0.95:
        proxy = draw.randrange(8)
        joined.add(proxy)
        orders.add_proxy(proxy)
    elif joined:
        proxy = draw.choice(sorted(joined))
        joined.discard(proxy)
        orders.remove_proxy(proxy)


ATTACH = {"t": "attach", "id": 3, "site": "a", "rps": 21.5, "new": True}
TELEMETRY = {"t": "telemetry", "site": "b"}
DONE = {"t": "done", "id": 3, "seq": 905, "ms": 310.4}
UPSTREAM = {
    "t": "upstream_stats", "site": "a", "target": "s-1", "count": 9, "fail": 3, "mean": 4.5, "over": 1000.0,
    "util": {"util": 0.6, "inflight": 4},
}  # fmt: skip
CLIENT = {"t": "client_stats", "id": 3, "lane": "quote", "count": 19, "fail": 2, "over": 1000.0}
NAN = "NaN"


def conversations():
    """Names and bytes of connections, one message or a few each."""
    told = {"sign of life": [{"t": "hb"}, ATTACH, {"t": "hb"}], "collector": [TELEMETRY, UPSTREAM, CLIENT]}
    told["proxy"] = [ATTACH, DONE, UPSTREAM, CLIENT, {**DONE, "seq": 0}]
    for name, message in (("attach", ATTACH), ("telemetry", TELEMETRY)):
        for field in message:
            told[f"{name} without {field}"] = [{key: value for key, value in message.items() if key != field}, DONE]
    changes = {
        "id": [4, -1, True, "3", 1.0, None], "site": ["c", 3, ""], "rps": [-1, "x", 1e10], "new": [1, None],
        "seq": [65536, -1, 1.5], "ms": [None, -3], "target": ["", 5], "count": [-1, 2.5, 10**12], "fail": [10, "x"],
        "mean": [-1, 1e7], "over": [0, -5, 1e9], "util": [3, {"util": 37.0}, {"x": "y"}, None], "lane": ["none", 7],
        "t": ["what", 4, ["attach"], {}],
    }  # fmt: skip
    for name, first, message in (
        ("attach", None, ATTACH), ("done", ATTACH, DONE), ("upstream", TELEMETRY, UPSTREAM),
        ("client", TELEMETRY, CLIENT), ("client of a proxy", ATTACH, {**CLIENT, "id": 2}),
    ):  # fmt: skip
        for field in message:
            for value in changes[field]:
                said = [message | {field: value}, UPSTREAM]
                told[f"{name} with {field}={value!r}"] = [first, *said] if first else said
            if first:
                told[f"{name} without {field}"] = [first, {k: v for k, v in message.items() if k != field}]
    found = {name: b"".join(add_length(msgspec.json.encode(m)) for m in messages) for name, messages in told.items()}
    found["http"] = b"GET / HTTP/1.1\r\n\r\n"
    found["no length"] = b"\x00\x00\x00\x00"
    found["beyond a stranger"] = (5000).to_bytes(4, "big") + b"{"
    found["beyond all"] = add_length(msgspec.json.encode(ATTACH)) + (2**20 + 1).to_bytes(4, "big") + b"{"
    found["a list"] = add_length(msgspec.json.encode(ATTACH)) + add_length(b"[1]")
    found["half a message"] = add_length(msgspec.json.encode(ATTACH))[:20]
    found["not a number"] = add_length(msgspec.json.encode(TELEMETRY)) + add_length(
        b'{"t":"upstream_stats","mean":NaN}'
    )
    return found


class Peer:
    """A connection without its socket: what it was sent, and why it was ended."""

    def __init__(self):
        self.codec = MessageCodec(4096)
        self.sent, self.close_reason, self.accept_number, self.last_received_ms = [], "", 1, 0.0

    @property
    def is_registered(self):
        return self.codec.is_registered

    def send(self, stream, message):
        self.sent.append(message)

    def close(self, reason):
        self.close_reason = self.close_reason or reason


def incoming_messages():
    """What each conversation brings the deciding thread, what is answered, dropped and ended, by conversation."""
    return {name: outcome_of(data) for name, data in conversations().items()}


BROUGHT_KINDS = {
    events.ProxyConnected: "join", events.ProxyDisconnected: "leave", events.AckReceived: "receipt",
    UpstreamStats: "sums", DownstreamStats: "arrivals",
}  # fmt: skip


def brought_event(event):
    """An event by the name of its kind in the data, and its values without the connection."""
    if isinstance(event, UpstreamStats | DownstreamStats):
        return plain([BROUGHT_KINDS[type(event)], event])
    return plain([BROUGHT_KINDS[type(event)], *event[1:]])


def outcome_of(data):
    """One connection's bytes, read by the front without its sockets."""
    brought = []
    known = validation.Deployment(4, frozenset("ab"), {"lookup": 0, "quote": 1, "issue": 2}, 1200.0)
    front = ConnectionManager(
        "127.0.0.1:0", ConnectionLimits(64, 64), known, lambda news, key=None, add=None: brought.append(news)
    )
    peer = Peer()
    for event in peer.codec.receive(data):
        front.handle_event(peer, event)
    front.poller.listener.close()
    return {
        "brought": [brought_event(event) for event in brought],
        "answered": [message.hex() for message in peer.sent], "started": peer.is_registered,
        "dropped": sum(front.dropped.values()), "ended": bool(peer.close_reason),
    }  # fmt: skip


# xDS


def xds_responses():
    """What a delta and a state-of-the-world proxy are sent, a line each.

    Names within one response stand in the order of a set, which differs from process to process: they are sorted here.
    """
    pilot = MemoryController(endpoints=6, settings=controller_settings(gate=RolloutGateSettings(enabled=False)))
    lines = []
    proxy = recording_proxy(pilot, "p0", "a", lines)
    pilot.run(3000)
    sotw = SotwProxy(pilot, "old", "b", lines)
    sotw.run(2000)
    apply_update(pilot, lambda tables: [tables.set_weight(0, 3, 17.0), tables.set_admission(0, [0, 1], 12.5, 1)])
    sotw.run(600)
    pilot.receive_endpoint_list("partial", [2], "terminating")
    sotw.run(1500)
    proxy.rejects = True
    apply_update(pilot, lambda tables: tables.set_weight(0, 4, 3.0))
    sotw.run(300)
    proxy.rejects = False
    apply_update(pilot, lambda tables: tables.set_weight(0, 4, 5.0))
    sotw.run(1500)
    held = {url: dict(versions) for url, versions in proxy.versions.items()}
    proxy.leave()
    apply_update(pilot, lambda tables: [tables.set_weight(0, 1, 0.0), tables.set_weight(0, 5, 8.0)])
    sotw.run(400)
    recording_proxy(pilot, "p0", "a", lines, held)
    sotw.run(3000)
    return "\n".join(lines) + "\n"


def recording_proxy(pilot, name, zone, lines, held=None):
    """Joins a proxy whose stream's responses are written down."""
    proxy = pilot.join(name, zone, held)
    pump = proxy.stream.pump

    def recording(now_ms):
        responses = pump(now_ms)
        lines.extend(f"{name} {delta_text(response.message)}" for response in responses)
        return responses

    proxy.stream.pump = recording
    return proxy


def delta_text(message):
    """A delta response: its fields, and each resource byte for byte."""
    response = discovery_pb2.DeltaDiscoveryResponse.FromString(message)
    resources = sorted(each.SerializeToString(deterministic=True).hex() for each in response.resources)
    removed = sorted(response.removed_resources)
    return json.dumps([response.system_version_info, response.type_url, response.nonce, resources, removed])


class SotwProxy:
    """A proxy that speaks the older stream and acknowledges all."""

    def __init__(self, pilot, name, zone, lines):
        self.pilot, self.lines, self.name = pilot, lines, name
        core = pilot.core
        self.stream = SotwStream(core.tables, pilot.encoder, core.settings.limits, "e", core.revision_time_ms)
        request = discovery_pb2.DiscoveryRequest(type_url=CDS)
        request.node.id = name
        self.stream.proxy = core.add_proxy(name, zone, 5.0, self.stream.initial_versions(request), True)
        for url, names in ((CDS, ()), (EDS, ("table-0",)), (LDS, ()), (RDS, ("exchanges",))):
            self.stream.handle_request(discovery_pb2.DiscoveryRequest(type_url=url, resource_names=names), pilot.now)

    def run(self, ms):
        for _ in range(int(ms / 100)):
            self.pilot.run(100)
            for response in self.stream.pump(self.pilot.now):
                self.lines.append(f"{self.name} {response.message.hex()}")
                names = {EDS: ("table-0",), RDS: ("exchanges",)}.get(response.type_url, ())
                word = discovery_pb2.DiscoveryRequest(
                    type_url=response.type_url, response_nonce=response.nonce, resource_names=names
                )
                self.stream.handle_request(word, self.pilot.now)


# files


def file_generation(form):
    """The files of one generation and its manifest, by name, as hexadecimal."""
    rows = {("pool", 0): (), ("share", 0): ((0, 0.25),), ("entry",): (), ("pool", 1): (), ("share", 1): ()}
    rows["routes",] = ((0, 0, None, 1), (1, 1, 3.0, 0))
    rows.update({("line", 0, at): ("127.0.0.1", 9000 + at, float(at)) for at in range(1, 30)})
    rows.update({("line", 1, at): ("127.0.0.1", 9000 + at, 2.0) for at in range(3, 9)})
    rows["out", 9] = ("127.0.0.1", 9009, "draining")
    pilot = MemoryController()
    files = GenerationEncoder(pilot.encoder, form, 4).files(
        {key: make_resource(key, what) for key, what in rows.items()}
    )
    found = {file.name: file.data.hex() for file in files}
    found["manifest"] = encode_manifest("pilot-0-17", 5, 12, 1234.5, files).hex()
    return found


# settings and configuration


def settings_values(path):
    """A settings file as checked, in the names of the file."""
    kind = ScenarioSettings if "each_zone" in path.read_text() else ControllerSettings
    return load(kind, path).model_dump(mode="json")


def settings_fault(path):
    """What is said of a settings file that does not check, without its folder."""
    try:
        load(ControllerSettings, path)
    except ConfigError as trouble:
        return str(trouble).replace(f"{path.parent}/", "")
    return "it checks"


def configuration_values(path):
    """What a platform configuration comes to: values in order, whatever their names; or the sentence on it."""
    try:
        found = configuration.read_configuration({"BALANCER_CONFIG": str(path)})
        facts = configuration.controller_config(found, str(path))
    except configuration.ConfigurationError as trouble:
        return str(trouble).replace(f"{path.parent}/", "")
    known = {"revision": found.initial_list.revision, "complete": True, "members": found.initial_list.members}
    first = endpoint_list.parse_endpoint_list(known, 5000.0, "persisted")
    return plain({
        "start": list(dataclasses.astuple(facts.planner)),
        "rest": [
            facts.class_names, facts.deployment.proxies, sorted(facts.deployment.zones), facts.deployment.class_indexes,
            facts.deployment.max_deadline_ms,
            facts.batch_window_ms, facts.health_check_timeout_ms, facts.health_check_path,
        ],
        "list": [first.kind, first.entries, first.addresses, first.revision, first.rejected, first.is_complete],
        "seed": configuration.parse_seed(found.seed),
    })  # fmt: skip


def start_values(line):
    """A `start` as the module is told it: values in order."""
    found = decode.parse_line(line).fields
    facts, names = planner_config_from_start(found)
    return plain([list(dataclasses.astuple(facts)), names])


# store and captures


def export_of(folder):
    """All rows of a store as JSON lines."""
    found = Store(folder, write=False)
    try:
        return "".join(f"{msgspec.json.encode(line).decode()}\n" for line in found.export_rows()), found.check()["bad"]
    finally:
        found.close()


def imported(folder, lines):
    """Takes an export in, into a new store."""
    found = Store(folder)
    try:
        return found.import_rows(msgspec.json.decode(line) for line in lines.splitlines())
    finally:
        found.close()


def capture_records(folder):
    """All records of the lives in a folder: the life, and each record as bytes of MessagePack."""
    return [
        (life.header.epoch, msgspec.msgpack.encode(record))
        for life in read_incarnations(folder)
        for record in read_records(life)
    ]
