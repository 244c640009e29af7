"""What reads bytes from peers, as targets for a fuzzer: each takes any bytes and may raise only what it says.

    pip install -r requirements-fuzz.txt
    python -m quillstep.model_checking.fuzz TARGET [options of libFuzzer, e.g. -max_total_time=60]

The tests drive the same targets with `hypothesis`; `atheris` follows the code's branches and stays out of CI.
"""

import importlib
import sys
from collections.abc import Callable
from typing import Any

from envoy.service.discovery.v3 import discovery_pb2
from envoy.service.load_stats.v3 import lrs_pb2
from google.protobuf.message import DecodeError

from quillstep.files.disk import read_ack
from quillstep.model_checking.explore import CLASSES, LIMITS, ModelController, ordered_ms
from quillstep.routing import Tables
from quillstep.xds.delta import DeltaStream
from quillstep.xds.grpc import FrameDecoder, FramingError
from quillstep.xds.http2 import GrpcConnection, ProtocolError
from quillstep.xds.load_stats import read_report
from quillstep.xds.resources import Encoder, key_of, name, type_url
from quillstep.xds.sotw import SotwStream
from quillstep.xds.stream import StreamError

MESSAGE_MOST = 4096
FOLLOWED = ("quillstep", "h2", "hpack", "hyperframe")  # packages whose branches a fuzzer follows
ENCODER = Encoder(CLASSES, 0.8)


def frames(data: bytes) -> None:
    """gRPC's framing: cut anywhere, the messages are the same."""

    def cut(size: int) -> list[bytes] | int:
        unframer, found = FrameDecoder(MESSAGE_MOST), []
        try:
            for at in range(0, len(data), size):
                found += unframer.feed(data[at : at + size])
        except FramingError as trouble:
            return trouble.status
        return found

    size = 1 + (data[0] if data else 0) % 16
    assert cut(size) == cut(max(1, len(data)))


def connection(data: bytes) -> None:
    """HTTP/2 from a peer: nothing but ConnectionBroken, and what we owe it stays bounded."""
    server = GrpcConnection(False, MESSAGE_MOST)
    client = GrpcConnection(True, MESSAGE_MOST)
    client.open("/m", "a")
    server.receive(client.pump())
    try:
        server.receive(data)
    except ProtocolError:
        return
    assert len(server.pump()) <= 64 * 1024 + 64 * len(data)


def requests(data: bytes) -> None:
    """A row of requests, a byte of length before each, to both kinds of streams that stand."""
    kinds: list[tuple[Any, Any]] = [
        (DeltaStream, discovery_pb2.DeltaDiscoveryRequest), (SotwStream, discovery_pb2.DiscoveryRequest)
    ]  # fmt: skip
    for kind, request in kinds:
        pilot = ModelController(ENCODER, Tables)
        pilot.begin()
        stream = kind(pilot.tables, ENCODER, LIMITS, "e", ordered_ms)
        pilot.tables.add_proxy(0, "a", {})
        pilot.ways.add_proxy(0, True, 0)
        stream.proxy = 0
        pilot.joined()
        at, now_ms = 0, 0.0
        while at < len(data):
            size = data[at]
            try:
                said = request.FromString(data[at + 1 : at + 1 + size])
                stream.handle_request(said, now_ms)
            except (DecodeError, StreamError):
                pass
            at, now_ms = at + 1 + size, now_ms + 100.0
            stream.pump(now_ms)
        assert len(pilot.tables.proxies[0].in_flight_updates) <= LIMITS.max_in_flight + 5


def report(data: bytes) -> None:
    """A load report: whatever reads as one becomes plain values."""
    try:
        request = lrs_pb2.LoadStatsRequest.FromString(data)
    except DecodeError:
        return
    read_report(request, data, {"save": 0}, {("127.0.0.1", 9001): 1})


def names(data: bytes) -> None:
    """A resource's name: what is ours comes back as it was, all else stays what it is."""
    text = data.decode("utf-8", "replace")
    url, _, named = text.partition(" ")
    key = key_of(url, named)
    assert (type_url(key), name(key)) == (url, named)


def acknowledgement(data: bytes) -> None:
    """A proxy's word on a generation of files."""
    try:
        number, reason = read_ack(data)
    except ValueError:
        return
    assert isinstance(number, int) and isinstance(reason, str)


TARGETS: dict[str, Callable[[bytes], None]] = {
    "frames": frames, "connection": connection, "requests": requests, "report": report, "names": names,
    "acknowledgement": acknowledgement,
}  # fmt: skip


def main() -> None:
    """As libFuzzer's driver."""
    import atheris

    name = sys.argv[1] if len(sys.argv) > 1 else ""
    if name not in TARGETS:
        sys.exit(f"name one of {', '.join(TARGETS)}")
    for module in [each for each in sys.modules if each.partition(".")[0] in FOLLOWED]:
        del sys.modules[module]  # they come again, with their branches counted
    with atheris.instrument_imports(include=list(FOLLOWED)):
        target = importlib.import_module("quillstep.model_checking.fuzz").TARGETS[name]
    atheris.Setup([sys.argv[0], *sys.argv[2:]], target)
    atheris.Fuzz()


if __name__ == "__main__":
    main()
