"""Encodes a set of resources as files and decodes them, without I/O.

Each file is a discovery response with the resources of one type, or with one shard of a table's weights, so that one
changed weight changes one small file.  Each resource is wrapped in a `Resource` with its name and version, as xDS
allows in any discovery response; `version_info` is a hash of the names and versions.
"""

from typing import NamedTuple

import msgspec
import xxhash
from envoy.service.discovery.v3 import discovery_pb2
from google.protobuf import any_pb2, json_format
from google.protobuf.message import DecodeError

from quillstep.errors import QuillstepError
from quillstep.routing import Key, Resource
from quillstep.routing.resources import ADMISSION, CLUSTER, EJECTED, LISTENER, ROUTES, WEIGHT
from quillstep.xds import resources

MANIFEST = "manifest.json"
FILE_STEMS = {LISTENER: "lds", CLUSTER: "cds", ADMISSION: "eds", ROUTES: "rds", EJECTED: "leds-withdrawn"}
SUFFIXES = {"protobuf": ".pb", "json": ".json"}
RAW = "raw"  # marks the content of a resource that was read from a file: (RAW, serialized resource)
MAX_CACHED_FILES = 16384


class MalformedFileError(QuillstepError, ValueError):
    """A file of a generation cannot be decoded."""


class GenerationFile(NamedTuple):
    """One file of a generation: its name, the digest of its content, and the content."""

    name: str
    digest: str
    data: bytes


class Manifest(msgspec.Struct, rename={"revision": "order"}):
    """Lists the files of a generation; the versions of resources are in the files themselves.

    Attributes:
        origin: Incarnation of the controller that wrote the generation.
        generation: Number of the generation.
        revision: Revision of the tables.
        ordered_ms: Time at which that revision was made.
        files: Digests by file name.
    """

    origin: str
    generation: int
    revision: int
    ordered_ms: float
    files: dict[str, str]


class GenerationEncoder:
    """Encodes resources as files; a group of resources that several proxies hold is encoded once and cached."""

    def __init__(self, encoder: resources.Encoder, form: str, shards: int) -> None:
        self.encoder, self.form, self.shards = encoder, form, shards
        self.cached: dict[tuple[str, tuple[tuple[Key, str], ...]], GenerationFile] = {}

    def files(self, held: dict[Key, Resource]) -> list[GenerationFile]:
        """Returns the files for a set of resources, sorted by name."""
        groups: dict[str, list[tuple[Key, Resource]]] = {}
        for key, resource in held.items():
            if key[0] in FILE_STEMS or key[0] == WEIGHT:
                groups.setdefault(self._file_name(key), []).append((key, resource))
        return [self._file(name, sorted(groups[name], key=lambda row: row[0])) for name in sorted(groups)]

    def _file_name(self, key: Key) -> str:
        """Returns the name of the file that contains a key."""
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
    """Decodes a file in JSON or protobuf form, by its suffix.

    Raises:
        MalformedFileError: The content is not a discovery response.
    """
    try:
        if name.endswith(".json"):
            return json_format.Parse(data, discovery_pb2.DiscoveryResponse())
        return discovery_pb2.DiscoveryResponse.FromString(data)
    except Exception as error:  # the JSON and protobuf parsers have no common exception type
        raise MalformedFileError(f"{name}: {error}") from error


def encode_manifest(
    origin: str, generation: int, revision: int, revision_time_ms: float, files: list[GenerationFile]
) -> bytes:
    """Returns a generation's manifest as JSON."""
    digests = {file.name: file.digest for file in files}
    return msgspec.json.encode(Manifest(origin, generation, revision, revision_time_ms, digests))


def read_resources(files: dict[str, bytes]) -> dict[Key, Resource]:
    """Decodes the files of a generation, given by name, into resources by key.

    Raises:
        MalformedFileError: A file cannot be decoded, or contains a resource without its `Resource` wrapper.
    """
    decoded: dict[Key, Resource] = {}
    for name, data in files.items():
        response = decode(name, data)
        for packed in response.resources:
            wrapped = _unpack_resource(name, packed)
            key = resources.key_of(response.type_url, wrapped.name)
            decoded[key] = Resource(wrapped.version, (RAW, wrapped.resource.SerializeToString()))
    return decoded


def _unpack_resource(name: str, packed: any_pb2.Any) -> discovery_pb2.Resource:
    wrapped = discovery_pb2.Resource()
    try:
        if packed.Unpack(wrapped):
            return wrapped
    except DecodeError as error:
        raise MalformedFileError(f"{name}: {error}") from error
    raise MalformedFileError(f"{name}: expected a resource wrapped in Resource")
