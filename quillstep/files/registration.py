"""Reads a proxy's registration (its hello file) and the generation that the proxy holds."""

from typing import NamedTuple

import msgspec

from quillstep.files.disk import Disk, read_ack, safe_name
from quillstep.files.generation_files import read_resources
from quillstep.net.json_decoder import JsonDecoder, MalformedJsonError
from quillstep.routing import Key, Resource

HELLO, ACK = "hello.json", "ack.json"
UNKNOWN_GENERATION = -1  # the proxy holds a generation whose number is not known


class Registration(msgspec.Struct):
    """The content of a hello file.

    Attributes:
        node: The proxy's node id.
        zone: The zone of the proxy.
        expected_requests_per_s: The request rate that the proxy expects, in requests per second; `usual` in the file.
        generation: The generation that the proxy holds from this root, or 0.
        versions: Versions of resources that the proxy holds from another source, by type URL and name.
    """

    node: str
    zone: str = ""
    expected_requests_per_s: float = msgspec.field(name="usual", default=0.0)
    generation: int = 0
    versions: dict[str, dict[str, str]] = {}


_registration_decoder = JsonDecoder(Registration)


class RegisteredProxy(NamedTuple):
    """A registration together with the generations on disk that belong to it.

    Attributes:
        registration: The content of the hello file.
        newest: The highest generation number on disk.
        held: The generation that the proxy holds; 0 if it holds none, or one that cannot be read.
        resources: The resources of the held generation.
    """

    registration: Registration
    newest: int
    held: int
    resources: dict[Key, Resource]


def read_registration(disk: Disk, directory: str, data: bytes) -> RegisteredProxy | str:
    """Reads a hello file and the generation it refers to; returns the reason as text if the file is invalid."""
    try:
        registration: Registration = _registration_decoder.decode(data)
    except MalformedJsonError as error:
        return str(error)
    if safe_name(registration.node) != directory:
        return f"node: expected the node of this directory, got {registration.node!r}"
    registration = _with_ack(disk, directory, registration)
    newest = disk.newest(directory)
    claimed = disk.generation(directory, registration.generation) if registration.generation > 0 else None
    if claimed is None:
        return RegisteredProxy(registration, newest, 0, {})
    try:
        return RegisteredProxy(registration, newest, registration.generation, read_resources(claimed[1]))
    except ValueError:
        return RegisteredProxy(registration, newest, 0, {})


def _with_ack(disk: Disk, directory: str, registration: Registration) -> Registration:
    """Updates a registration with a later acknowledgement.

    A proxy writes its hello file only when it registers.  Without the acknowledgement, a restarted controller would
    take a proxy that has followed it for a long time for a new one that holds nothing.
    """
    registered = disk.stamp(directory, HELLO)
    ack = disk.read(ACK, directory)
    if ack is None or (registered is not None and ack.stamp.modified_ns < registered.modified_ns):
        return registration
    try:
        number, reason = read_ack(ack.data)
    except ValueError:
        return registration
    if reason:
        return msgspec.structs.replace(registration, generation=registration.generation or UNKNOWN_GENERATION)
    return msgspec.structs.replace(registration, generation=number, versions={})
