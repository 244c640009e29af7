"""A set of contents as files: discovery responses, one resource type or shard of a collection a file.

Each resource is wrapped in a `Resource` with its name and version, as the published protocol allows in any discovery
response; `version_info` is the hash of the names and versions.  One changed line changes one small file.
Without I/O.
"""

from typing import NamedTuple

import msgspec
import xxhash
from envoy.service.discovery.v3 import discovery_pb2
from google.protobuf import json_format

from quillstep.routing import Key, Resource
from quillstep.routing.resources import ADMISSION, CLUSTER, EJECTED, LISTENER, ROUTES, WEIGHT
from quillstep.xds import resources

MANIFEST = "manifest.json"
NAMES = {LISTENER: "lds", CLUSTER: "cds", ADMISSION: "eds", ROUTES: "rds", EJECTED: "leds-withdrawn"}
SUFFIX = {"protobuf": ".pb", "json": ".json"}


RAW = "raw"  # a content read back from files: its resource's bytes


class Packed(NamedTuple):
    """One file of a generation: its name, the hash that names its content, its bytes."""

    name: str
    digest: str
    data: bytes


class Manifest(msgspec.Struct):
    """What a generation is made of: files by name with their hashes.  Versions stand in the files."""

    origin: str  # the pilot's life that wrote it
    generation: int
    order: int
    ordered_ms: float
    files: dict[str, str]


class Packer:
    """Makes files of contents; the same group of contents is made once, whoever holds it."""

    def __init__(self, encoder: resources.Encoder, form: str, shards: int) -> None:
        self.encoder, self.form, self.shards = encoder, form, shards
        self.made: dict[tuple, Packed] = {}

    def place(self, key: Key) -> str:
        """The file that a key belongs to."""
        stem = f"leds-table-{key[1]}-{key[2] % self.shards:02x}" if key[0] == WEIGHT else NAMES[key[0]]
        return stem + SUFFIX[self.form]

    def files(self, contents: dict[Key, Resource]) -> list[Packed]:
        """All files of a set, in the sequence of their names."""
        groups: dict[str, list[tuple[Key, Resource]]] = {}
        for key, content in contents.items():
            if key[0] in NAMES or key[0] == WEIGHT:
                groups.setdefault(self.place(key), []).append((key, content))
        return [self.pack(name, sorted(groups[name], key=lambda row: row[0])) for name in sorted(groups)]

    def pack(self, name: str, rows: list[tuple[Key, Resource]]) -> Packed:
        at = (name, tuple((key, content.version) for key, content in rows))
        made = self.made.get(at)
        if made is None:
            version = xxhash.xxh3_64_hexdigest(repr(at).encode())
            response = discovery_pb2.DiscoveryResponse(version_info=version, type_url=resources.type_url(rows[0][0]))
            for key, content in rows:
                wrapped = discovery_pb2.Resource(name=resources.name(key), version=content.version)
                if content.content[:1] == (RAW,):
                    wrapped.resource.ParseFromString(content.content[1])
                else:
                    wrapped.resource.Pack(self.encoder.message(key, content), deterministic=True)
                response.resources.add().Pack(wrapped, deterministic=True)
            data = encode(response, self.form)
            if len(self.made) > 16384:
                self.made.clear()
            made = self.made[at] = Packed(name, xxhash.xxh3_128_hexdigest(data), data)
        return made


def encode(response: discovery_pb2.DiscoveryResponse, form: str) -> bytes:
    if form == "json":
        return json_format.MessageToJson(response, indent=1).encode() + b"\n"
    return response.SerializeToString(deterministic=True)


def decode(name: str, data: bytes) -> discovery_pb2.DiscoveryResponse:
    """A file of either form; raises ValueError."""
    try:
        if name.endswith(".json"):
            return json_format.Parse(data, discovery_pb2.DiscoveryResponse())
        return discovery_pb2.DiscoveryResponse.FromString(data)
    except Exception as trouble:  # the two parsers raise kinds of their own
        raise ValueError(f"{name}: {trouble}") from None


def manifest(origin: str, number: int, order: int, ordered_ms: float, files: list[Packed]) -> bytes:
    digests = {packed.name: packed.digest for packed in files}
    return msgspec.json.encode(Manifest(origin, number, order, ordered_ms, digests))


def contents_of(files: dict[str, bytes]) -> dict[Key, Resource]:
    """A generation read back: what a proxy that holds it holds.  Raises ValueError."""
    found: dict[Key, Resource] = {}
    for name, data in files.items():
        response = decode(name, data)
        for packed in response.resources:
            wrapped = discovery_pb2.Resource()
            if not packed.Unpack(wrapped):
                raise ValueError(f"{name}: a resource without its wrapping")
            key = resources.key_of(response.type_url, wrapped.name)
            found[key] = Resource(wrapped.version, (RAW, wrapped.resource.SerializeToString()))
    return found
