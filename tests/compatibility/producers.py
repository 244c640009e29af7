"""Produces what the program writes or reads as bytes or JSON values, which `record.py` saves and the tests compare.

The values contain only names of the wire, of settings and of stored data; renaming a class or field in the code changes
nothing here but imports and attributes.
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


def to_json_values(value):
    """Converts a value to JSON values, so that a typed record equals the earlier list."""
    return json.loads(json.dumps(value, default=to_list))


def to_list(value):
    """Converts a record to the list of its values."""
    return list(dataclasses.astuple(value)) if dataclasses.is_dataclass(value) else str(value)


# The simulator's protocol.


class Adapter:
    """The adapter, without a process of its own."""

    def __init__(self):
        self.host = Host()

    def answer(self, lines):
        for line in lines:
            self.host.handle(decode.parse_line(line))
        return self.host.reply()


# The platform's protocol.


def outgoing_messages(seed=11, rounds=240):
    """Returns the messages of seeded updates, one per line: round, proxy, bytes in hexadecimal."""
    draw = random.Random(seed)
    output = ProtocolOutput(CLASS_NAMES, lambda endpoint: None, lambda token, at_ms: None, lambda text: None)
    joined, lines = set(), []
    for number in range(rounds):
        for _ in range(draw.randrange(0, 7)):
            write_random_update(draw, output, joined)
        if draw.random() < 0.5:
            output.request_ack(draw.randrange(64))
        for proxy, message in output.flush():
            lines.append(f"{number} {proxy} {message.hex()}")
    return "\n".join(lines) + "\n"


def write_random_update(draw, output, joined):
    endpoint, table = f"ep-{draw.randrange(14)}", draw.choice([0, 0, 1, 2, 1003])
    classes = draw.choice([[0, 1, 2], [0], [1, 2], []])
    kind = draw.random()
    if kind < 0.4:
        output.set_weight(table, endpoint, draw.choice([0, 1, 3.5, 10, 12.0]))
    elif kind < 0.55:
        output.set_ejected(endpoint, draw.random() < 0.6)
    elif kind < 0.7 and joined:
        output.assign_table(draw.choice(sorted(joined)), table, classes)
    elif kind < 0.85:
        output.set_admission(
            draw.choice([table, 65535]), classes, draw.choice([1e6, 0.25, 33.125, 0.0]), draw.randrange(4)
        )
    elif kind < 0.95:
        proxy = draw.randrange(8)
        joined.add(proxy)
        output.add_proxy(proxy)
    elif joined:
        proxy = draw.choice(sorted(joined))
        joined.discard(proxy)
        output.remove_proxy(proxy)


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
    """Returns the data of connections by name, with one message or a few each."""
    messages_by_name = {"sign of life": [{"t": "hb"}, ATTACH, {"t": "hb"}], "collector": [TELEMETRY, UPSTREAM, CLIENT]}
    messages_by_name["proxy"] = [ATTACH, DONE, UPSTREAM, CLIENT, {**DONE, "seq": 0}]
    for name, message in (("attach", ATTACH), ("telemetry", TELEMETRY)):
        for field in message:
            messages_by_name[f"{name} without {field}"] = [
                {key: value for key, value in message.items() if key != field},
                DONE,
            ]
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
                changed = [message | {field: value}, UPSTREAM]
                messages_by_name[f"{name} with {field}={value!r}"] = [first, *changed] if first else changed
            if first:
                messages_by_name[f"{name} without {field}"] = [
                    first,
                    {key: value for key, value in message.items() if key != field},
                ]
    data = {
        name: b"".join(add_length(msgspec.json.encode(message)) for message in messages)
        for name, messages in messages_by_name.items()
    }
    data["http"] = b"GET / HTTP/1.1\r\n\r\n"
    data["no length"] = b"\x00\x00\x00\x00"
    data["beyond a stranger"] = (5000).to_bytes(4, "big") + b"{"
    data["beyond all"] = add_length(msgspec.json.encode(ATTACH)) + (2**20 + 1).to_bytes(4, "big") + b"{"
    data["a list"] = add_length(msgspec.json.encode(ATTACH)) + add_length(b"[1]")
    data["half a message"] = add_length(msgspec.json.encode(ATTACH))[:20]
    data["not a number"] = add_length(msgspec.json.encode(TELEMETRY)) + add_length(b'{"t":"upstream_stats","mean":NaN}')
    return data


class Peer:
    """A connection without a socket: records the messages sent and the reason for closing."""

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
    """Returns the outcome of each connection: events for the decision loop, replies, drops, whether it was closed."""
    return {name: outcome_of(data) for name, data in conversations().items()}


EVENT_KINDS = {
    events.ProxyConnected: "join", events.ProxyDisconnected: "leave", events.AckReceived: "receipt",
    UpstreamStats: "sums", DownstreamStats: "arrivals",
}  # fmt: skip


def event_values(event):
    """Returns an event's kind, as the golden data names it, and its values without the connection."""
    if isinstance(event, UpstreamStats | DownstreamStats):
        return to_json_values([EVENT_KINDS[type(event)], event])
    return to_json_values([EVENT_KINDS[type(event)], *event[1:]])


def outcome_of(data):
    """Returns what the front does with one connection's data, without sockets."""
    published = []
    deployment = validation.Deployment(4, frozenset("ab"), {"lookup": 0, "quote": 1, "issue": 2}, 1200.0)
    front = ConnectionManager(
        "127.0.0.1:0", ConnectionLimits(64, 64), deployment, lambda event, key=None, add=None: published.append(event)
    )
    peer = Peer()
    for event in peer.codec.receive(data):
        front.handle_event(peer, event)
    front.poller.listener.close()
    return {
        "brought": [event_values(event) for event in published],
        "answered": [message.hex() for message in peer.sent], "started": peer.is_registered,
        "dropped": sum(front.dropped.values()), "ended": bool(peer.close_reason),
    }  # fmt: skip


# xDS.


def xds_responses():
    """Returns the responses to a delta proxy and to a state-of-the-world proxy, one per line.

    The order of names within a response is that of a set, which differs between processes, so they are sorted here.
    """
    controller = MemoryController(endpoints=6, settings=controller_settings(gate=RolloutGateSettings(enabled=False)))
    lines = []
    proxy = recording_proxy(controller, "p0", "a", lines)
    controller.run(3000)
    sotw = SotwProxy(controller, "old", "b", lines)
    sotw.run(2000)
    apply_update(controller, lambda tables: [tables.set_weight(0, 3, 17.0), tables.set_admission(0, [0, 1], 12.5, 1)])
    sotw.run(600)
    controller.receive_endpoint_list("partial", [2], "terminating")
    sotw.run(1500)
    proxy.rejects = True
    apply_update(controller, lambda tables: tables.set_weight(0, 4, 3.0))
    sotw.run(300)
    proxy.rejects = False
    apply_update(controller, lambda tables: tables.set_weight(0, 4, 5.0))
    sotw.run(1500)
    held = {url: dict(versions) for url, versions in proxy.versions.items()}
    proxy.leave()
    apply_update(controller, lambda tables: [tables.set_weight(0, 1, 0.0), tables.set_weight(0, 5, 8.0)])
    sotw.run(400)
    recording_proxy(controller, "p0", "a", lines, held)
    sotw.run(3000)
    return "\n".join(lines) + "\n"


def recording_proxy(controller, name, zone, lines, held=None):
    """Joins a proxy whose responses are appended to `lines`."""
    proxy = controller.join(name, zone, held)
    pump = proxy.stream.pump

    def recording(now_ms):
        responses = pump(now_ms)
        lines.extend(f"{name} {delta_text(response.message)}" for response in responses)
        return responses

    proxy.stream.pump = recording
    return proxy


def delta_text(message):
    """Returns a delta response as text: its fields, and the bytes of each resource."""
    response = discovery_pb2.DeltaDiscoveryResponse.FromString(message)
    resources = sorted(each.SerializeToString(deterministic=True).hex() for each in response.resources)
    removed = sorted(response.removed_resources)
    return json.dumps([response.system_version_info, response.type_url, response.nonce, resources, removed])


class SotwProxy:
    """A proxy with a state-of-the-world stream that acknowledges all responses."""

    def __init__(self, controller, name, zone, lines):
        self.controller, self.lines, self.name = controller, lines, name
        core = controller.core
        self.stream = SotwStream(core.tables, controller.encoder, core.settings.limits, "e", core.revision_time_ms)
        request = discovery_pb2.DiscoveryRequest(type_url=CDS)
        request.node.id = name
        self.stream.proxy = core.add_proxy(name, zone, 5.0, self.stream.initial_versions(request), True)
        for url, names in ((CDS, ()), (EDS, ("table-0",)), (LDS, ()), (RDS, ("exchanges",))):
            self.stream.handle_request(
                discovery_pb2.DiscoveryRequest(type_url=url, resource_names=names), controller.now
            )

    def run(self, ms):
        for _ in range(int(ms / 100)):
            self.controller.run(100)
            for response in self.stream.pump(self.controller.now):
                self.lines.append(f"{self.name} {response.message.hex()}")
                names = {EDS: ("table-0",), RDS: ("exchanges",)}.get(response.type_url, ())
                ack = discovery_pb2.DiscoveryRequest(
                    type_url=response.type_url, response_nonce=response.nonce, resource_names=names
                )
                self.stream.handle_request(ack, self.controller.now)


# Files.


def file_generation(form):
    """Returns the files of one generation and its manifest by name, in hexadecimal."""
    contents = {("pool", 0): (), ("share", 0): ((0, 0.25),), ("entry",): (), ("pool", 1): (), ("share", 1): ()}
    contents["routes",] = ((0, 0, None, 1), (1, 1, 3.0, 0))
    contents.update({("line", 0, number): ("127.0.0.1", 9000 + number, float(number)) for number in range(1, 30)})
    contents.update({("line", 1, number): ("127.0.0.1", 9000 + number, 2.0) for number in range(3, 9)})
    contents["out", 9] = ("127.0.0.1", 9009, "draining")
    controller = MemoryController()
    files = GenerationEncoder(controller.encoder, form, 4).files(
        {key: make_resource(key, content) for key, content in contents.items()}
    )
    data = {file.name: file.data.hex() for file in files}
    data["manifest"] = encode_manifest("pilot-0-17", 5, 12, 1234.5, files).hex()
    return data


# Settings and configuration.


def settings_values(path):
    """Returns the values of a validated settings file under the names of the file."""
    kind = ScenarioSettings if "each_zone" in path.read_text() else ControllerSettings
    return load(kind, path).model_dump(mode="json")


def settings_error(path):
    """Returns the error of an invalid settings file, without its folder."""
    try:
        load(ControllerSettings, path)
    except ConfigError as error:
        return str(error).replace(f"{path.parent}/", "")
    return "it checks"


def configuration_values(path):
    """Returns the values of a platform configuration in order, without their names; the error if it is invalid."""
    try:
        file = configuration.read_configuration({"BALANCER_CONFIG": str(path)})
        config = configuration.controller_config(file, str(path))
    except configuration.ConfigurationError as error:
        return str(error).replace(f"{path.parent}/", "")
    message = {"revision": file.initial_list.revision, "complete": True, "members": file.initial_list.members}
    initial = endpoint_list.parse_endpoint_list(message, "persisted")
    # The stored values are listed starts plus this offset; 0, for an endpoint that started long ago, has none.
    entries = [
        each._replace(started_unix_ms=each.started_unix_ms + 5000.0 if each.started_unix_ms else 0.0)
        for each in initial.entries
    ]
    return to_json_values({
        "start": list(dataclasses.astuple(config.planner)),
        "rest": [
            config.class_names, config.deployment.proxies, sorted(config.deployment.zones),
            config.deployment.class_indexes, config.deployment.max_deadline_ms,
            config.batch_window_ms, config.health_check_timeout_ms, config.health_check_path,
        ],
        "list": [
            initial.kind, entries, initial.addresses, initial.revision, initial.rejected, initial.is_complete
        ],
        "seed": configuration.parse_seed(file.seed),
    })  # fmt: skip


def start_values(line):
    """Returns the planner's settings of a `start` message: values in order."""
    fields = decode.parse_line(line).fields
    config, names = planner_config_from_start(fields)
    return to_json_values([list(dataclasses.astuple(config)), names])


# Store and recordings.


def export_rows(folder):
    """Returns all rows of a store as JSON lines, and the invalid ones that its check finds."""
    store = Store(folder, write=False)
    try:
        return "".join(f"{msgspec.json.encode(line).decode()}\n" for line in store.export_rows()), store.check()["bad"]
    finally:
        store.close()


def import_rows(folder, lines):
    """Imports an export into a new store; returns the number of rows."""
    store = Store(folder)
    try:
        return store.import_rows(msgspec.json.decode(line) for line in lines.splitlines())
    finally:
        store.close()


def recorded_events(folder):
    """Returns all records of a folder, each as its incarnation's epoch and MessagePack bytes."""
    return [
        (incarnation.header.epoch, msgspec.msgpack.encode(record))
        for incarnation in read_incarnations(folder)
        for record in read_records(incarnation)
    ]
