"""A set of resources as files: discovery responses, one resource type or shard of a collection a file.

Each resource is wrapped in a `Resource` with its name and version, as the published protocol allows in any discovery
response; `version_info` is the hash of the names and versions.  One changed weight changes one small file.
Without I/O.
"""

from typing import NamedTuple

import msgspec
import xxhash
from envoy.service.discovery.v3 import discovery_pb2
from google.protobuf import json_format

from quillstep.errors import QuillstepError
from quillstep.routing import Key, Resource
from quillstep.routing.resources import ADMISSION, CLUSTER, EJECTED, LISTENER, ROUTES, WEIGHT
from quillstep.xds import resources

MANIFEST = "manifest.json"
FILE_STEMS = {LISTENER: "lds", CLUSTER: "cds", ADMISSION: "eds", ROUTES: "rds", EJECTED: "leds-withdrawn"}
SUFFIXES = {"protobuf": ".pb", "json": ".json"}
RAW = "raw"  # first place of a content that was read back from files: its resource's bytes follow
MAX_CACHED_FILES = 16384


class MalformedFileError(QuillstepError, ValueError):
    """A file of a generation can't be read."""


class GenerationFile(NamedTuple):
    """One file of a generation: its name, the hash that names its content, its bytes."""

    name: str
    digest: str
    data: bytes


class Manifest(msgspec.Struct, rename={"revision": "order"}):
    """What a generation is made of: files by name with their hashes.  Versions stand in the files."""

    origin: str  # the controller's incarnation that wrote it
    generation: int
    revision: int  # of the tables
    ordered_ms: float
    files: dict[str, str]


class GenerationEncoder:
    """Makes files of resources; the same group of resources is encoded once, whoever holds it."""

    def __init__(self, encoder: resources.Encoder, form: str, shards: int) -> None:
        self.encoder, self.form, self.shards = encoder, form, shards
        self.cached: dict[tuple[str, tuple[tuple[Key, str], ...]], GenerationFile] = {}

    def files(self, held: dict[Key, Resource]) -> list[GenerationFile]:
        """All files of a set, in the order of their names."""
        groups: dict[str, list[tuple[Key, Resource]]] = {}
        for key, resource in held.items():
            if key[0] in FILE_STEMS or key[0] == WEIGHT:
                groups.setdefault(self._file_name(key), []).append((key, resource))
        return [self._file(name, sorted(groups[name], key=lambda row: row[0])) for name in sorted(groups)]

    def _file_name(self, key: Key) -> str:
        """The file that a key belongs to."""
        stem = f"leds-table-{key[1]}-{key[2] % self.shards:02x}" if key[0] == WEIGHT else FILE_STEMS[key[0]]
        return stem + SUFFIXES[self.form]

    def _file(self, name: str, rows: list[tuple[Key, Resource]]) -> GenerationFile:
        identity = (name, tuple((key, resource.version) for key, resource in rows))
        cached = self.cached.get(identity)
        if cached is None:
            version = xxhash.xxh3_64_hexdigest(repr(identity).encode())
            data = self._encode(version, rows)
            if len(self.cached) > MAX_CACHED_FILES:
                self.cached.clear()
            cached = self.cached[identity] = GenerationFile(name, xxhash.xxh3_128_hexdigest(data), data)
        return cached

    def _encode(self, version: str, rows: list[tuple[Key, Resource]]) -> bytes:
        response = discovery_pb2.DiscoveryResponse(version_info=version, type_url=resources.type_url(rows[0][0]))
        for key, resource in rows:
            wrapped = discovery_pb2.Resource(name=resources.name(key), version=resource.version)
            if resource.content[:1] == (RAW,):
                wrapped.resource.ParseFromString(resource.content[1])
            else:
                wrapped.resource.Pack(self.encoder.message(key, resource), deterministic=True)
            response.resources.add().Pack(wrapped, deterministic=True)
        if self.form == "json":
            return json_format.MessageToJson(response, indent=1).encode() + b"\n"
        data: bytes = response.SerializeToString(deterministic=True)
        return data


def decode(name: str, data: bytes) -> discovery_pb2.DiscoveryResponse:
    """A file of either form.

    Raises:
        MalformedFileError: It can't be read.
    """
    try:
        if name.endswith(".json"):
            return json_format.Parse(data, discovery_pb2.DiscoveryResponse())
        return discovery_pb2.DiscoveryResponse.FromString(data)
    except Exception as error:  # the two parsers raise types of their own
        raise MalformedFileError(f"{name}: {error}") from error


def encode_manifest(
    origin: str, generation: int, revision: int, ordered_ms: float, files: list[GenerationFile]
) -> bytes:
    """The manifest of a generation, as bytes."""
    digests = {file.name: file.digest for file in files}
    return msgspec.json.encode(Manifest(origin, generation, revision, ordered_ms, digests))


def read_resources(files: dict[str, bytes]) -> dict[Key, Resource]:
    """A generation read back: what a proxy that holds it holds.

    Raises:
        MalformedFileError: A file can't be read.
    """
    found: dict[Key, Resource] = {}
    for name, data in files.items():
        response = decode(name, data)
        for packed in response.resources:
            wrapped = discovery_pb2.Resource()
            if not packed.Unpack(wrapped):
                raise MalformedFileError(f"{name}: a resource without its wrapping")
            key = resources.key_of(response.type_url, wrapped.name)
            found[key] = Resource(wrapped.version, (RAW, wrapped.resource.SerializeToString()))
    return found
