"""Fuzzing targets for the parsers of data from peers: each accepts any bytes and raises only documented errors.

    pip install -r requirements-fuzz.txt
    python -m quillstep.model_checking.fuzz TARGET [options of libFuzzer, e.g. -max_total_time=60]

The tests run the same targets with `hypothesis`; `atheris` is guided by the code's branches and is not part of CI.
"""

import importlib
import sys
from collections.abc import Callable
from typing import Any

from envoy.service.discovery.v3 import discovery_pb2
from envoy.service.load_stats.v3 import lrs_pb2
from google.protobuf.message import DecodeError

from quillstep.files.disk import read_ack
from quillstep.model_checking.explore import CLASSES, LIMITS, ModelController, revision_time_ms
from quillstep.routing import Tables
from quillstep.xds.delta import DeltaStream
from quillstep.xds.grpc import FrameDecoder, FramingError
from quillstep.xds.http2 import GrpcConnection, ProtocolError
from quillstep.xds.load_stats import read_report
from quillstep.xds.resources import Encoder, key_of, name, type_url
from quillstep.xds.sotw import SotwStream
from quillstep.xds.stream import StreamError

MAX_MESSAGE_BYTES = 4096
INSTRUMENTED = ("quillstep", "h2", "hpack", "hyperframe")  # Packages whose branches guide the fuzzer.
ENCODER = Encoder(CLASSES, 0.8)


def frames(data: bytes) -> None:
    """Checks gRPC framing: the messages do not depend on where the data is split."""

    def decode(size: int) -> list[bytes] | int:
        decoder, messages = FrameDecoder(MAX_MESSAGE_BYTES), []
        try:
            for offset in range(0, len(data), size):
                messages += decoder.feed(data[offset : offset + size])
        except FramingError as error:
            return error.status
        return messages

    size = 1 + (data[0] if data else 0) % 16
    assert decode(size) == decode(max(1, len(data)))


def connection(data: bytes) -> None:
    """Feeds an HTTP/2 connection: it raises only ProtocolError, and the data to send stays bounded."""
    server = GrpcConnection(False, MAX_MESSAGE_BYTES)
    client = GrpcConnection(True, MAX_MESSAGE_BYTES)
    client.open("/m", "a")
    server.receive(client.pump())
    try:
        server.receive(data)
    except ProtocolError:
        return
    assert len(server.pump()) <= 64 * 1024 + 64 * len(data)


def requests(data: bytes) -> None:
    """Feeds requests, each preceded by a byte with its length, to an open stream of each kind."""
    kinds: list[tuple[Any, Any]] = [
        (DeltaStream, discovery_pb2.DeltaDiscoveryRequest), (SotwStream, discovery_pb2.DiscoveryRequest)
    ]  # fmt: skip
    for stream_type, request_type in kinds:
        controller = ModelController(ENCODER, Tables)
        controller.begin()
        stream = stream_type(controller.tables, ENCODER, LIMITS, "e", revision_time_ms)
        controller.tables.add_proxy(0, "a", {})
        controller.retry_policies.add_proxy(0, True, 0)
        stream.proxy = 0
        controller.assign()
        offset, now_ms = 0, 0.0
        while offset < len(data):
            size = data[offset]
            try:
                request = request_type.FromString(data[offset + 1 : offset + 1 + size])
                stream.handle_request(request, now_ms)
            except (DecodeError, StreamError):
                pass
            offset, now_ms = offset + 1 + size, now_ms + 100.0
            stream.pump(now_ms)
        assert len(controller.tables.proxies[0].in_flight_updates) <= LIMITS.max_in_flight + 5


def report(data: bytes) -> None:
    """Reads a load report: any message that parses is accepted."""
    try:
        request = lrs_pb2.LoadStatsRequest.FromString(data)
    except DecodeError:
        return
    read_report(request, data, {"save": 0}, {("127.0.0.1", 9001): 1})


def names(data: bytes) -> None:
    """Converts a resource name to a key and back."""
    text = data.decode("utf-8", "replace")
    url, _, named = text.partition(" ")
    key = key_of(url, named)
    assert (type_url(key), name(key)) == (url, named)


def acknowledgement(data: bytes) -> None:
    """Reads a proxy's acknowledgement of a generation of files."""
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
    """Runs libFuzzer on the target named by the first argument."""
    import atheris

    name = sys.argv[1] if len(sys.argv) > 1 else ""
    if name not in TARGETS:
        sys.exit(f"target: expected one of {', '.join(TARGETS)}, got {name!r}")
    for module in [each for each in sys.modules if each.partition(".")[0] in INSTRUMENTED]:
        del sys.modules[module]  # Imported again below, instrumented.
    with atheris.instrument_imports(include=list(INSTRUMENTED)):
        target = importlib.import_module("quillstep.model_checking.fuzz").TARGETS[name]
    atheris.Setup([sys.argv[0], *sys.argv[2:]], target)
    atheris.Fuzz()


if __name__ == "__main__":
    main()
