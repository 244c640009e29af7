"""What a proxy says of itself in its hello file, and what is known of the generation that it holds."""

from typing import NamedTuple

import msgspec

from quillstep.files.disk import Disk, read_ack, safe_name
from quillstep.files.generation_files import read_resources
from quillstep.routing import Key, Resource

HELLO, ACK = "hello.json", "ack.json"
UNKNOWN_GENERATION = -1  # it holds some generation, and which is not known


class Registration(msgspec.Struct):
    """A hello file: who the proxy is, the generation it holds here, and versions it holds from elsewhere."""

    node: str
    zone: str = ""
    usual: float = 0.0  # requests a second
    generation: int = 0  # 0: none
    versions: dict[str, dict[str, str]] = {}  # by type URL and name


class RegisteredProxy(NamedTuple):
    """A registration, where the proxy's generations stand, and what the one it holds is made of."""

    registration: Registration
    newest: int
    held: int  # 0 where it holds none, or one that can't be read
    resources: dict[Key, Resource]


def read_registration(disk: Disk, directory: str, data: bytes) -> RegisteredProxy | str:
    """A hello file and what it refers to on disk; a text says what is wrong with it."""
    try:
        registration = msgspec.json.decode(data, type=Registration)
    except msgspec.DecodeError as error:
        return str(error)
    if safe_name(registration.node) != directory:
        return f"it says it is {registration.node!r}"
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
    """A registration with what its proxy has acknowledged since.

    Guards against a controller that starts over and takes a proxy that has followed it for long, by its old hello
    file, for a new one that holds nothing.
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
